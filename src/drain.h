/// @file
/// Graceful leaving of a target and of an entry, and the slow warm-up of a restarted target.
#pragma once

#include "clock.h"

#include <cstdint>

namespace fireflycrank {

/// Where a leaving process stands.
enum class drain_phase {
    serving,
    notice,    ///< target: leaving is announced, late dispatches are still accepted
    withdrawn, ///< entry: out of the address responses, still serving cached addresses
    finishing, ///< new work is refused as not_run, work in flight runs on
    stopped    ///< nothing is in flight; the process may exit
};

/// Limits of a planned stop.
struct drain_settings {
    /// A target accepts late dispatches this long, so that entries that have not heard of the
    /// leaving cause no refusals. Kept under the 3 s after which no new work may arrive.
    duration notice{std::chrono::seconds{1}};
    /// How long callers may use a cached address of an entry.
    duration address_time_to_live{std::chrono::seconds{30}};
    /// Added to the time to live: slow callers and clock drift.
    duration address_slack{std::chrono::seconds{2}};
    /// How long finished output waits for its release by the entry.
    duration release_wait{std::chrono::seconds{30}};
};

/// State of a planned stop.
struct drain_state {
    drain_settings settings;
    drain_phase phase{drain_phase::serving};
    time_point phase_since;
};

/// What is still in the process.
struct drain_load {
    std::uint32_t in_flight{0};  ///< running, paused or waiting requests
    std::uint32_t unreleased{0}; ///< finished outputs that the entry has not confirmed
};

/// What the daemon does after a step.
struct drain_actions {
    bool announce_leaving{false};  ///< send the leaving state now
    bool refuse_new{false};        ///< refuse new work as not_run
    bool hand_back_waiting{false}; ///< refuse what waits and has not started, once
    bool may_exit{false};
};

/// Starts the stop of a target. Repeated calls change nothing.
drain_actions leave_target(drain_state& state, time_point now);

/// Moves a target's stop forward; call it at least every 200 ms and after each end of a request.
drain_actions step_target(drain_state& state, drain_load const& load, time_point now);

/// Starts the stop of an entry. Repeated calls change nothing.
drain_actions leave_entry(drain_state& state, time_point now);

/// Moves an entry's stop forward.
drain_actions step_entry(drain_state& state, drain_load const& load, time_point now);

/// Whether an entry stands in the responses to address queries.
bool address_published(drain_state const& state);

/// Share of its full work that a restarted target is given.
/// @param up time since the start of the warm-up
/// @param ramp length of the warm-up
/// @param floor share at its start, above 0
/// @return a value in [floor, 1], rising linearly
double warm_share(duration up, duration ramp, double floor);

} // namespace fireflycrank
