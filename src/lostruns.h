/// @file
/// Runs of requests that ended without a complete answer, until it is known whether the target
/// ended with them. A connection may break while its target goes on, so a broken run alone says
/// nothing of the request. Pure.
#pragma once

#include "clock.h"

#include <deque>
#include <string>
#include <vector>

namespace fireflycrank {

/// A run that ended without a complete answer.
struct lost_run {
    std::string fingerprint; ///< of the request, see call_fingerprint()
    std::string target;      ///< id
    wall_time born;          ///< start of the target's incarnation
    std::string address;     ///< of the target
    time_point sent_at{};
    time_point lost_at{};
    std::string after{}; ///< id of a crash seen under the request before the run; may be empty
};

/// Runs whose target may have ended, in the order in which they were lost.
struct lost_runs {
    std::deque<lost_run> pending;
};

/// Times and bounds.
struct lost_run_settings {
    /// A target that ended is back, and has announced itself, within this time.
    duration life{std::chrono::seconds{15}};
    /// Older ones are dropped. The requests that all of a gateway's targets can have at once.
    std::size_t most{2'000};
};

/// Notes a lost run.
/// @param runs the runs
/// @param run the run
/// @param settings the bounds
void note_lost(lost_runs& runs, lost_run run, lost_run_settings const& settings);

/// Takes out the runs of a target that were lost up to a moment.
/// @param runs the runs
/// @param target the target's id
/// @param born start of its incarnation
/// @param until the moment
/// @return the runs
std::vector<lost_run> take_lost(lost_runs& runs, std::string const& target, wall_time born,
                                time_point until);

/// Takes out the runs whose target has ended for certain, as a later incarnation is at its address.
/// @param runs the runs
/// @param address the address
/// @param born start of the later incarnation
/// @return the runs
std::vector<lost_run> take_replaced(lost_runs& runs, std::string const& address, wall_time born);

/// Drops runs of which nothing was found out in time.
/// @param runs the runs
/// @param settings the times
/// @param now the time
void forget_old(lost_runs& runs, lost_run_settings const& settings, time_point now);

} // namespace fireflycrank
