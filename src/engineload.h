/// @file
/// What a rank agent reports about the engine beside it.
#pragma once

#include "clock.h"

#include <cstdint>
#include <string>

namespace fireflycrank {

/// A report about a target, from its agent to every gateway.
struct engine_load {
    std::string target_id;
    wall_time born{};
    std::uint64_t started{0}; ///< the agent's run
    std::uint64_t number{0};  ///< rises within the run
    bool answering{true};     ///< the engine answers its agent
    unsigned running{0};
    unsigned waiting{0};
    std::uint64_t memory_used{0}; ///< tokens that cannot be evicted
    std::uint64_t memory_total{0};
    double pace{1.0}; ///< over 1 when the engine is slow
    std::string group;
    std::uint64_t epoch{0};
    unsigned rank{0};
    unsigned group_size{0};
    bool group_open{true};
    std::chrono::duration<double, std::milli> pass{0}; ///< smoothed time of a pass of the group
};

} // namespace fireflycrank
