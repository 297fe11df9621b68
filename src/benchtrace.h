/// @file
/// Request traces of the two workloads for the bench, by seed.
#pragma once

#include "fakerunner.h"
#include "rng.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fireflycrank {

/// The two workloads of the design page.
enum class workload { kumamoto, cordillera };

/// One request of a trace.
struct trace_request {
    time_point arrives;
    std::uint32_t entry{0};
    std::uint32_t team{0};
    char const* route{""};
    std::uint32_t output_limit{0};
    bool is_short{false};
    bool is_long{false};
    duration patience{0}; ///< time from arrival to the deadline
    fake_request body;
};

/// What a trace contains.
struct trace_settings {
    workload kind{workload::kumamoto};
    std::uint32_t entries{8};
    std::uint32_t runners{16};
    std::uint32_t teams{10};
    duration length{std::chrono::seconds{240}};
    double load{0.85}; ///< share of the runners' capacity
    double surge{1};   ///< demand from surge_from to surge_to, as a multiple
    duration surge_from{0};
    duration surge_to{0};
    double flood{0};     ///< demand of team 0 beside its own, as a multiple of the total
    bool patient{false}; ///< deadlines far away, for figures on waits
};

/// Makes a trace.
/// @param settings its contents
/// @param seed seed of all random choices
/// @return requests by arrival
std::vector<trace_request> make_trace(trace_settings const& settings, std::uint64_t seed);

} // namespace fireflycrank
