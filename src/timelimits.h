/// @file
/// Estimates how long ago a caller first sent a request. A caller states the time that it has left,
/// which is shorter when it repeats a request, but also differs from caller to caller. The limits
/// of first attempts are learned while no caller has a reason to repeat one. Pure functions without
/// I/O.
#pragma once

#include "clock.h"

#include <deque>

namespace fireflycrank {

/// Time limits that callers stated on their first attempts.
struct time_limit_history {
    std::deque<double> first_attempts; ///< in timeouts of the route; the most recent ones
    time_point quiet_from{};           ///< repeated attempts may arrive until then
};

/// Records that a caller was refused and may repeat its request.
/// @param time_left of the caller
void record_refused_caller(time_limit_history& history, duration time_left, time_point now);

/// Records the time limit of a request unless it may be a repeated attempt.
/// @param timeout of the route
void record_time_limit(time_limit_history& history, duration limit, duration timeout,
                       time_point now);

/// Estimates the time that earlier attempts of a request took.
/// @param limit that the caller stated
/// @param timeout of the route
/// @return a lower bound; zero if the limit is usual for a first attempt
duration time_spent_before(time_limit_history const& history, duration limit, duration timeout);

} // namespace fireflycrank
