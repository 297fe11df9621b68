#include "stopplan.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// A request that arrives later than 3 s after the signal must be completed in any case; an earlier
// one may still be running in the last sixth of the grace period.
constexpr std::chrono::milliseconds accept_limit{2'700};
constexpr int accept_divisor = 2; // share of a short grace period
// Time for the processes of the VM to exit after the last connection was closed.
constexpr std::chrono::milliseconds exit_margin{300};
// A call ends up to 120 ms after its deadline and a sweep of 30 ms; then its answer is written.
constexpr std::chrono::milliseconds finish_margin{200};
// For the answers to calls that were cut off. Half of the exit margin stays for the exit.
constexpr std::chrono::milliseconds write_time{150};

} // namespace

stop_plan plan_stop(time_point begun, duration grace) {
    auto const accept_time = std::min<duration>(accept_limit, grace / accept_divisor);
    auto const abort_at = begun + std::max<duration>(grace - exit_margin, accept_time);
    return {begun, begun + accept_time, std::max(begun, abort_at - finish_margin), abort_at};
}

bool can_finish(stop_plan const& plan, time_point now, duration run) {
    return now + run <= plan.finish_by;
}

stop_step next_stop_step(stop_plan const& plan, time_point now, bool idle,
                         std::optional<time_point> cut_off_at) {
    if (cut_off_at) {
        return idle || now >= *cut_off_at + write_time ? stop_step::exit : stop_step::wait;
    }
    if (now >= plan.abort_at) {
        return stop_step::cut_off;
    }
    return idle && now > plan.accept_until ? stop_step::exit : stop_step::wait;
}

} // namespace fireflycrank
