/// @file
/// State that an engine reports to its rank agent.
#pragma once

#include "clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fireflycrank {

/// Experts that one rank holds, by expert set.
using rank_experts = std::vector<std::vector<unsigned>>;

/// The engine's membership in a group of ranks that run each forward pass together.
struct engine_group {
    std::string name;
    std::uint64_t epoch{0};
    unsigned rank{0};
    unsigned size{0};
    bool open{true};
};

/// A switch to a prepared expert placement map that the engine is to make.
struct armed_change {
    std::uint64_t version{0};
    std::uint64_t pass{0}; ///< the switch takes effect at the start of this pass
};

/// An engine's report.
struct engine_report {
    wall_time started_at{};
    unsigned running{0};
    unsigned waiting{0};
    std::uint64_t kv_tokens_used{0}; ///< tokens in the KV cache that cannot be evicted
    std::uint64_t kv_tokens_total{0};
    bool command_in_progress{false};
    std::uint64_t commands_accepted{0};
    double slowdown{1.0};                   ///< 1 at normal speed, above 1 when the engine is slow
    std::chrono::milliseconds cold_left{0}; ///< it stays cold for so long
    std::optional<engine_group> group;
    std::uint64_t pass{0};        ///< last forward pass that started
    std::uint64_t map_version{0}; ///< version of the expert placement map in use
    std::uint64_t prepared_version{
        0}; ///< version of a map whose experts have been fetched; it can be armed
    std::optional<armed_change> armed;
    std::optional<std::uint64_t>
        held_pass; ///< the group does not start this pass until it is released
};

/// Number of times that each expert was chosen since the engine started.
struct expert_counts {
    std::uint64_t pass{0};
    std::uint64_t epoch{0};
    std::vector<std::uint64_t> counts; ///< concatenated by expert set
};

} // namespace fireflycrank
