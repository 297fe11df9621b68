/// @file
/// What a rank agent reports about the engine beside it.
#pragma once

#include "clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace fireflycrank {

/// A report about a target, from its agent to every gateway.
struct engine_load {
    std::string target_id;
    wall_time started_at{};
    std::uint64_t agent_run{0}; ///< the agent's run
    std::uint64_t sequence{0};  ///< rises within the run
    bool responsive{true};      ///< the engine answers its agent
    unsigned running{0};
    unsigned waiting{0};
    std::uint64_t kv_tokens_used{0}; ///< tokens that cannot be evicted
    std::uint64_t kv_tokens_total{0};
    double slowdown{1.0}; ///< over 1 when the engine is slow
    std::string group;
    std::uint64_t epoch{0};
    unsigned rank{0};
    unsigned group_size{0};
    bool group_open{true};
    std::chrono::duration<double, std::milli> pass_time{
        0}; ///< smoothed time of a pass of the group
};

/// How often reports go to a gateway. They are many: each agent sends to every gateway.
struct load_report_settings {
    /// To a gateway that follows the target: about two passes of a busy engine.
    duration subset_period{std::chrono::milliseconds{140}};
    /// To the others, which need the target only when theirs fail; a quarter of a report's life.
    duration base_period{std::chrono::milliseconds{500}};
    /// A gateway tells every second that it follows the target; two may be lost.
    duration follow_ttl{std::chrono::seconds{3}};
};

/// A gateway that reads an agent's reports.
struct load_recipient {
    std::optional<time_point> followed_at; ///< it told last that it follows the target
    std::optional<time_point> sent_at;     ///< of the last report
};

/// Whether a report is due.
/// @param reader the gateway
/// @param settings the periods
/// @param now the time
/// @return true when a report is to be sent
inline bool is_report_due(load_recipient const& reader, load_report_settings const& settings,
                          time_point now) {
    bool const follows = reader.followed_at && now - *reader.followed_at < settings.follow_ttl;
    return !reader.sent_at ||
           now - *reader.sent_at >= (follows ? settings.subset_period : settings.base_period);
}

} // namespace fireflycrank
