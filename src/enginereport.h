/// @file
/// What an engine reports of itself to the agent beside it.
#pragma once

#include "clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fireflycrank {

/// Experts by set; on one rank.
using rank_experts = std::vector<std::vector<unsigned>>;

/// The engine's place in a lock-step group.
struct engine_group {
    std::string name;
    std::uint64_t epoch{0};
    unsigned rank{0};
    unsigned size{0};
    bool open{true};
};

/// A map change that the engine has been told to make.
struct armed_change {
    std::uint64_t version{0};
    std::uint64_t pass{0}; ///< the change happens as this pass begins
};

/// One report.
struct engine_report {
    wall_time started_at{};
    unsigned running{0};
    unsigned waiting{0};
    std::uint64_t kv_tokens_used{0}; ///< tokens that cannot be evicted
    std::uint64_t kv_tokens_total{0};
    bool command_in_progress{false};
    std::uint64_t commands_accepted{0};
    double slowdown{1.0}; ///< over 1 when the engine is slow
    std::optional<engine_group> group;
    std::uint64_t pass{0};             ///< the last pass that began
    std::uint64_t map_version{0};      ///< in use
    std::uint64_t prepared_version{0}; ///< copied and ready to be armed
    std::optional<armed_change> armed;
    std::optional<std::uint64_t> held_pass; ///< the group waits before this pass
};

/// How often each expert was chosen, by set, since the engine started.
struct expert_counts {
    std::uint64_t pass{0};
    std::uint64_t epoch{0};
    std::vector<std::uint64_t> counts; ///< sets one after the other
};

} // namespace fireflycrank
