/// @file
/// Load reports about an engine that its rank agent sends to the gateways.
#pragma once

#include "clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace fireflycrank {

/// A load report. Each agent sends it to every gateway.
struct engine_load {
    std::string target_id;
    wall_time started_at{};
    std::uint64_t agent_run{0}; ///< identifies the agent process
    std::uint64_t sequence{0};  ///< increases within `agent_run`
    bool responsive{true};      ///< false: the engine does not answer its agent
    unsigned running{0};
    unsigned waiting{0};
    std::uint64_t kv_tokens_used{0}; ///< tokens in the KV cache that cannot be evicted
    std::uint64_t kv_tokens_total{0};
    double slowdown{1.0}; ///< 1 at normal speed, above 1 when the engine is slow
    std::string group;
    std::uint64_t epoch{0};
    unsigned rank{0};
    unsigned group_size{0};
    bool group_open{true};
    /// Smoothed duration of a forward pass of the group.
    std::chrono::duration<double, std::milli> pass_time{0};
    std::chrono::milliseconds cold_left{0}; ///< the engine stays cold for so long
};

/// How often an agent sends reports to a gateway. The total is large, since each agent sends to
/// every gateway. A gateway follows the targets of its subset and renews this every second.
struct load_report_settings {
    /// Period for a gateway that follows the target: about two forward passes of a busy engine.
    duration subset_period{std::chrono::milliseconds{140}};
    /// Period for the other gateways, which use the target only when those of their subset fail: a
    /// quarter of choice_settings::report_ttl.
    duration base_period{std::chrono::milliseconds{500}};
    /// A gateway renews every second that it follows the target; two renewals in a row may be lost.
    duration follow_ttl{std::chrono::seconds{3}};
};

/// A gateway that receives an agent's reports.
struct load_recipient {
    /// When the gateway last said that it follows the target.
    std::optional<time_point> followed_at;
    std::optional<time_point> sent_at; ///< when the last report was sent
};

/// Whether a report to a gateway is due.
inline bool is_report_due(load_recipient const& recipient, load_report_settings const& settings,
                          time_point now) {
    bool const follows =
        recipient.followed_at && now - *recipient.followed_at < settings.follow_ttl;
    return !recipient.sent_at ||
           now - *recipient.sent_at >= (follows ? settings.subset_period : settings.base_period);
}

} // namespace fireflycrank
