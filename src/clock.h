/// @file
/// The runtime's clock. Decisions never read it; they receive the time as an argument.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace fireflycrank {

using duration = std::chrono::nanoseconds;

/// A moment on the process's monotonic time line; not comparable between processes.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Wall-clock time in milliseconds since the Unix epoch. Only replicated commands carry it, because
/// durable state outlives a process's monotonic time line.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// A clock that either follows the machine or stands still until a test advances it.
struct runtime_clock {
    std::atomic<bool> paused{false};
    /// Count the time during which the machine was suspended. The steady clock of the standard
    /// library leaves it out, so a process that was suspended would trust what is long outdated.
    std::atomic<bool> counts_suspension{false};
    std::atomic<std::int64_t> paused_at{0}; ///< nanoseconds on the monotonic time line
};

/// Reads the monotonic time.
/// @param clock the runtime's clock
/// @return the machine's monotonic time, or the paused time
time_point now(runtime_clock const& clock);

/// Reads the wall time.
/// @param clock the runtime's clock
/// @return the machine's wall time, or the paused time counted from the Unix epoch
wall_time wall_now(runtime_clock const& clock);

/// Stops the clock at a given moment.
/// @param clock the runtime's clock
/// @param at the moment that now() returns from here on
void pause(runtime_clock& clock, time_point at);

/// Moves a paused clock forward.
/// @param clock a paused clock
/// @param by how far; negative values are ignored, since monotonic time never falls
void advance_clock(runtime_clock& clock, duration by);

} // namespace fireflycrank
