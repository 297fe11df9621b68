/// @file
/// Chooses when callers that a gateway refuses should return: spread in time, at the rate at which
/// slots are expected to be free for them. Pure functions without I/O.
#pragma once

#include "clock.h"
#include "rng.h"

namespace fireflycrank {

/// How often slots of a service become free for this gateway.
struct slot_flow {
    double recent{0}; ///< decayed number of slots
    time_point updated_at{};
};

/// Records that a slot has become free.
void record_free_slot(slot_flow& flow, time_point now);

/// Returns the mean time between two slots that became free lately.
/// @return zero if too few did
duration free_slot_interval(slot_flow const& flow, time_point now);

/// Times that were given to refused callers.
struct return_plan {
    time_point last{}; ///< latest return that was planned
};

/// Plans the return of a refused caller.
/// @param slot_interval as free_slot_interval() returns it
/// @param time_left of the caller
/// @return delay until it should return
std::chrono::milliseconds plan_return(return_plan& plan, duration slot_interval, duration time_left,
                                      rng& random, time_point now);

} // namespace fireflycrank
