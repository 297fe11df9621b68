#include "clock.h"

#include <ctime>

namespace fireflycrank {

time_point now(runtime_clock const& clock) {
    if (clock.paused.load()) {
        return time_point{duration{clock.paused_at.load()}};
    }
    if (clock.counts_suspension.load()) {
        std::timespec at{};
        ::clock_gettime(CLOCK_BOOTTIME, &at);
        return time_point{std::chrono::seconds{at.tv_sec} + std::chrono::nanoseconds{at.tv_nsec}};
    }
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

wall_time wall_now(runtime_clock const& clock) {
    if (clock.paused.load()) {
        auto const since = duration{clock.paused_at.load()};
        return wall_time{std::chrono::duration_cast<std::chrono::milliseconds>(since)};
    }
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

void pause(runtime_clock& clock, time_point at) {
    clock.paused_at.store(at.time_since_epoch().count());
    clock.paused.store(true);
}

void advance_clock(runtime_clock& clock, duration by) {
    if (by > duration::zero()) {
        clock.paused_at.fetch_add(by.count());
    }
}

} // namespace fireflycrank
