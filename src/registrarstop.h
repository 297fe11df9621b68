/// @file
/// Schedule of a registrar's stop: it takes calls for a short time, settles what it has taken, and
/// ends when every answer is written. Pure functions without I/O.
#pragma once

#include "clock.h"

#include <cstddef>

namespace fireflycrank {

/// Times of a registrar's stop.
struct registrar_stop {
    time_point take_until{};   ///< then calls that need a majority are refused
    time_point settle_until{}; ///< then calls that no majority has settled are refused
    time_point end_at{};       ///< then the process ends, also with unwritten answers
};

/// What a stopping registrar still owes its callers.
struct owed_answers {
    std::size_t calls{0};       ///< that wait for a majority
    std::size_t connections{0}; ///< on which a request is read or answered
};

/// What a stopping registrar does now.
struct registrar_stop_step {
    bool refuse_new{false};
    bool refuse_waiting{false};
    bool may_end{false};
};

/// Schedules a stop.
/// @param begun when the stop signal arrived
/// @param grace time from the signal until the process is killed
registrar_stop plan_registrar_stop(time_point begun, duration grace);

/// Moves a stop forward; to be called about every 20 ms.
/// @param owed what callers still wait for
registrar_stop_step step_registrar_stop(registrar_stop const& stop, owed_answers const& owed,
                                        time_point now);

} // namespace fireflycrank
