/// @file
/// The budget of repeated sends, kept by each gateway alone: its part of a bound that holds over
/// all gateways together in every sliding window. No message is needed to keep it.
#pragma once

#include "clock.h"

#include <cstdint>
#include <deque>

namespace fireflycrank {

/// The bound over all gateways.
struct retry_bound {
    double ratio{0.2};    ///< repeated sends for each request
    double allowance{50}; ///< repeated sends in a window that need no request
    duration window{std::chrono::seconds{10}};
};

/// Counts of one service at one gateway.
struct retry_ledger {
    struct bucket {
        time_point begins{};
        std::uint64_t requests{0};
        std::uint64_t repeats{0};
    };
    std::deque<bucket> buckets; ///< ascending
};

/// Counts a request of a caller.
/// @param ledger the service's ledger
/// @param bound the bound
/// @param now the time
void count_request(retry_ledger& ledger, retry_bound const& bound, time_point now);

/// Takes one repeated send out of the budget.
/// @param ledger the service's ledger
/// @param bound the bound
/// @param gateways how many gateways share the allowance, at least 1
/// @param now the time
/// @return false when the send would exceed this gateway's part; nothing is counted then
bool take_repeat(retry_ledger& ledger, retry_bound const& bound, std::uint64_t gateways,
                 time_point now);

} // namespace fireflycrank
