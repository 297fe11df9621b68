#include "returnplan.h"

#include <algorithm>
#include <cmath>

namespace fireflycrank {

namespace {

constexpr std::chrono::duration<double> flow_memory{1.0};
constexpr double min_recent_slots = 1.0;
// Share of the slots that returning callers may expect; the rest go to new requests.
constexpr int return_share_divisor = 8;
constexpr std::chrono::milliseconds min_delay{1'000};
// Callers return after at most this part of their remaining time, whatever they are told.
constexpr int honoured_divisor = 3;

double decayed(slot_flow const& flow, time_point now) {
    return flow.recent *
           std::exp(-(std::chrono::duration<double>{now - flow.updated_at} / flow_memory));
}

} // namespace

void record_free_slot(slot_flow& flow, time_point now) {
    flow.recent = decayed(flow, now) + 1.0;
    flow.updated_at = now;
}

duration free_slot_interval(slot_flow const& flow, time_point now) {
    double const recent = decayed(flow, now);
    if (recent < min_recent_slots) {
        return {};
    }
    return std::chrono::duration_cast<duration>(flow_memory / recent);
}

std::chrono::milliseconds plan_return(return_plan& plan, duration slot_interval, duration time_left,
                                      rng& random, time_point now) {
    auto const earliest = now + min_delay;
    auto const latest =
        std::max<time_point>(earliest + min_delay, now + time_left / honoured_divisor);
    auto const planned = std::max(earliest, plan.last + slot_interval * return_share_divisor);
    if (planned <= latest) {
        plan.last = planned;
        return std::chrono::ceil<std::chrono::milliseconds>(planned - now);
    }
    // More callers were refused than can be served by then. Spread, they find the places that
    // others leave unused.
    auto const spread = std::chrono::duration_cast<duration>(
        next_unit(random) * std::chrono::duration<double>{(latest - earliest) / 2});
    return std::chrono::ceil<std::chrono::milliseconds>(latest - spread - now);
}

} // namespace fireflycrank
