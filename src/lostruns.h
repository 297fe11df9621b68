/// @file
/// Runs of requests that ended without a complete response, kept until it is known whether the
/// target's process ended too. A connection may break while the target keeps running, so a lost run
/// alone is no evidence against the request. Pure functions without I/O.
#pragma once

#include "clock.h"

#include <deque>
#include <string>
#include <vector>

namespace fireflycrank {

/// A part of the prompt of a lost run.
struct run_part {
    std::string fingerprint; ///< see part_fingerprint()
    /// The run had sent nothing, and this gateway knows of no run with the part that ended well.
    bool unproven{false};
};

/// A run that ended without a complete response.
struct lost_run {
    std::string fingerprint; ///< of the request, see call_fingerprint()
    std::string target;      ///< the target's id
    wall_time born;          ///< start of the target's incarnation
    std::string address;     ///< the target's address
    time_point sent_at{};
    time_point lost_at{};
    std::string
        prior_crash_id{}; ///< last crash seen under the request before the run; may be empty
    std::vector<run_part> parts{}; ///< that may have caused the crash
};

/// Runs whose target may have ended, in the order in which they were lost.
struct lost_runs {
    std::deque<lost_run> pending;
};

/// Time and size limits.
struct lost_run_settings {
    /// A target that ended has restarted and announced itself within this time.
    duration max_age{std::chrono::seconds{15}};
    /// When there are more, the oldest is dropped. A gateway has no more requests than this running
    /// at all its targets together.
    std::size_t max_runs{2'000};
};

void add_lost_run(lost_runs& runs, lost_run run, lost_run_settings const& settings);

/// Removes and returns the runs of a target that were lost up to a given time.
/// @param target the target's id
/// @param born start of its incarnation
/// @param until latest time of loss, inclusive
std::vector<lost_run> take_lost_runs(lost_runs& runs, std::string const& target, wall_time born,
                                     time_point until);

/// Removes and returns the runs whose target has certainly ended because a later incarnation uses
/// its address.
/// @param born start of the later incarnation
std::vector<lost_run> take_replaced_runs(lost_runs& runs, std::string const& address,
                                         wall_time born);

/// Drops runs older than `settings.max_age`.
void drop_expired(lost_runs& runs, lost_run_settings const& settings, time_point now);

} // namespace fireflycrank
