/// @file
/// Schedule of a graceful stop. A gateway keeps accepting connections for a while, because cached
/// directory answers still send callers to it, but not so long that a request could not finish
/// within the grace period.
#pragma once

#include "clock.h"

#include <optional>

namespace fireflycrank {

/// How long a connection of a stopping gateway waits for a request after accept_until. Callers
/// often send the next request as soon as they have an answer; a second covers a round trip between
/// regions. A caller that waits longer does better with a closed connection, since another gateway
/// can serve it.
inline constexpr std::chrono::milliseconds reuse_time{1'000};

/// Times of a graceful stop.
struct stop_plan {
    time_point begun{};        ///< when the stop signal arrived
    time_point accept_until{}; ///< then the listener and connections that wait are closed
    time_point finish_by{};    ///< answers to requests sent during the stop are done by then
    time_point abort_at{};     ///< then connections that are still open are aborted
};

/// Schedules a stop.
/// @param begun when the stop signal arrived
/// @param grace time from the signal until the process is killed
stop_plan plan_stop(time_point begun, duration grace);

/// Whether a run that begins now ends early enough for its answer to be written.
/// @param run how long it is estimated to last
bool can_finish(stop_plan const& plan, time_point now, duration run);

/// What a stopping gateway does next.
enum class stop_step {
    wait,
    cut_off, ///< end the calls that are left
    exit
};

/// Decides what a stopping gateway does next. After the calls were cut off, it waits a short time
/// for their answers to be written, also if the process was suspended past `abort_at`.
/// @param idle there is no call, and no connection with a request or an unwritten answer
/// @param cut_off_at when the calls were cut off; nothing if they were not
stop_step next_stop_step(stop_plan const& plan, time_point now, bool idle,
                         std::optional<time_point> cut_off_at);

} // namespace fireflycrank
