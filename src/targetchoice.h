/// @file
/// Which target takes a request, seen from one gateway: reports that are some time old, corrected
/// by the gateway's own sends since then. Pure.
#pragma once

#include "clock.h"
#include "rng.h"
#include "targetdirectory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fireflycrank {

/// The newest report about a target's load.
struct load_sample {
    time_point sampled_at{};
    unsigned running{0};
    unsigned waiting{0};
    unsigned own_at_sample{
        0};               ///< this gateway's unfinished requests there when the report was taken
    double slowdown{1.0}; ///< over 1 when the target is slow
};

/// Targets that a request may not or only be sent to.
struct target_filter {
    std::vector<std::string> excluded;
    std::vector<std::string> only; ///< empty: all
    /// Sorted ids of the targets that this gateway uses while they are sound; empty: all. Gateways
    /// that follow different targets do not all send to one that has just become free.
    std::vector<std::string> const* subset{nullptr};
};

/// A target's place in a group that works in lock-step.
struct group_membership {
    std::string name;
    std::uint64_t epoch{0};
    unsigned rank{0};
    bool open{true};
    time_point reported_at{};
};

/// What one gateway knows of a target beyond its announcement.
struct target_view {
    target_announcement announcement;
    time_point last_heard{};
    unsigned own_in_flight{0}; ///< requests of this gateway that it has not finished
    std::optional<load_sample> load;
    std::optional<group_membership> group;
    unsigned consecutive_failures{0}; ///< in a row
    time_point backoff_until{};       ///< after failures
    unsigned consecutive_errors{0};   ///< in a row
    time_point suspect_until{};       ///< after bad answers
    bool responsive{true};            ///< false: its agent gets no answer from it
};

/// Weights and times of the choice.
struct choice_settings {
    /// A target that was not heard for this long is used only when no other is left. Three
    /// announcement periods and the seconds by which one may be late.
    duration silent_after{std::chrono::seconds{5}};
    /// Reports older than this no longer count.
    duration report_ttl{std::chrono::seconds{2}};
    /// First pause after a failure; doubled with each further one.
    duration initial_backoff{std::chrono::milliseconds{200}};
    duration max_backoff{std::chrono::seconds{3}};
    /// A target that answers with failures is fast and looks idle. Others are preferred for this
    /// long after one, doubled with each further one in a row.
    duration initial_suspicion{std::chrono::seconds{1}};
    duration max_suspicion{std::chrono::seconds{8}};
    double cross_zone_penalty{0.3}; ///< in requests: bytes between zones cost more
    double tie_margin{0.75}; ///< loads this close count as equal, so that gateways do not herd
};

/// The outcome of a choice.
struct target_choice {
    std::string id; ///< empty when there is no target
    double load{0}; ///< estimated requests there, running and waiting
    unsigned slots{0};
    unsigned candidates{0}; ///< targets that could be used
    duration report_age{};  ///< of the report behind `load`; negative without one
    bool healthy{false};    ///< heard of lately, not avoided, its group open
    bool suspect{false};    ///< answered with a failure lately
};

/// Estimates the requests that a target has now.
/// @param view the target
/// @param settings the times
/// @param now the time
/// @return running and waiting requests
double estimated_load(target_view const& view, choice_settings const& settings, time_point now);

/// Chooses the target with the least load for its slots.
/// @param targets all targets by id
/// @param service the service
/// @param zone this gateway's availability zone
/// @param filter targets that the request may not, or only, be sent to
/// @param settings weights and times
/// @param random breaks ties
/// @param now the time
/// @return the choice
target_choice choose_target(std::map<std::string, target_view> const& targets,
                            std::string const& service, std::string const& zone,
                            target_filter const& filter, choice_settings const& settings,
                            rng& random, time_point now);

/// What a request needs a place for.
struct slot_request {
    bool stream{false};
    bool resumed{false}; ///< its answer has begun and broke off
    duration slack{};    ///< in which it has to be sent to be on time; negative when it is late
};

/// Whether a request may be sent to a target now instead of waiting at the gateway.
/// @param choice the target
/// @param need the request
/// @return false when it should wait
bool has_capacity(target_choice const& choice, slot_request const& need);

/// Notes that a group does not work now, as one of its targets said.
/// @param targets all targets by id
/// @param of a target of the group
/// @param now the time
void mark_group_closed(std::map<std::string, target_view>& targets, std::string const& of,
                       time_point now);

/// Notes that a target failed to serve; it is avoided for a growing pause.
/// @param view the target
/// @param settings the pauses
/// @param now the time
void record_failure(target_view& view, choice_settings const& settings, time_point now);

/// Notes that a target ran a request and answered that it failed.
/// @param view the target
/// @param settings the pauses
/// @param now the time
void record_error_response(target_view& view, choice_settings const& settings, time_point now);

/// Notes that a target served.
/// @param view the target
void record_success(target_view& view);

} // namespace fireflycrank
