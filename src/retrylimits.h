/// @file
/// The retry budget of a gateway: its share of a limit on the retries of all gateways together,
/// which must hold in every sliding window, also while gateways restart or are partitioned. The
/// gateways do not coordinate their counts.
#pragma once

#include "clock.h"

#include <cstdint>
#include <deque>
#include <utility>

namespace fireflycrank {

/// Limit on the retries of all gateways together.
struct retry_limits {
    double ratio{0.2};    ///< retries per request
    double allowance{50}; ///< retries per window in addition to `ratio`
    duration window{std::chrono::seconds{10}};
};

/// Requests and retries of one service at one gateway.
struct retry_window_counts {
    struct bucket {
        time_point start{};
        std::uint64_t requests{0};
        std::uint64_t retries{0};
    };
    std::deque<bucket> buckets; ///< ascending by time
};

/// Recent maxima of the number of known gateways. The maximum matters because a gateway that is
/// partitioned away is not known and still uses its share of the allowance.
struct gateway_count_history {
    std::deque<std::pair<time_point, std::uint64_t>> peaks; ///< descending numbers, ascending times
};

/// Records the number of gateways that are known now.
/// @param known at least 1
/// @return the highest number of the last ten minutes
std::uint64_t record_gateway_count(gateway_count_history& counts, std::uint64_t known,
                                   time_point now);

/// A gateway's share of the allowance.
struct allowance_share {
    std::uint64_t gateways{1};    ///< number of gateways that share the allowance
    time_point process_started{}; ///< of this gateway
};

/// Counts a caller's request.
void count_request(retry_window_counts& counts, retry_limits const& limits, time_point now);

/// Takes one retry from the budget. A process has no share of the allowance until it has counted
/// a whole window, because it does not know what its predecessor used.
/// @return false if the retry would exceed this gateway's share; nothing is counted then
bool take_retry(retry_window_counts& counts, retry_limits const& limits,
                allowance_share const& share, time_point now);

} // namespace fireflycrank
