#include "streamadmission.h"

#include <algorithm>
#include <cmath>

namespace fireflycrank {

namespace {

// Load reports are this old on average: sampling at the target, report period, transfer.
constexpr std::chrono::duration<double> report_age{0.4};
// Weight of this gateway's newest streams in the estimate for all gateways. Their numbers are small
// and vary by chance.
constexpr double certainty = 0.5;
// While a group is filled less than this, a gateway may exceed its part by its share of the rest.
constexpr double filled_share = 0.85;
// Late requests take places only below this share of the limit, so that the next request that can
// still be on time finds one.
constexpr double late_share = 0.7;
// Passes longer than this share of the pause target are too long for further prompts.
constexpr double hold_share = 0.7;
// A stream is held until this long before its latest send time.
constexpr std::chrono::milliseconds min_hold_slack{90};

// Gateways reach their limits at different moments, so a group would stay below its limit if each
// kept its part exactly. While nothing is turned away, unused slots say nothing about the parts.
void adjust_gain(group_admission& group, double unused_share, std::chrono::duration<double> elapsed,
                 time_point now) {
    constexpr double max_gain = 1.3;
    constexpr double min_gain = 0.8;
    // Slow compared with the age of the reports, so that the number of streams does not oscillate.
    constexpr double gain_per_second = 0.3;
    constexpr double reset_per_second = 0.5;
    constexpr std::chrono::milliseconds shortage_memory{1'000};
    double const seconds = std::min(1.0, elapsed.count());
    bool const is_short = group.short_at != time_point{} && now - group.short_at < shortage_memory;
    double const step = is_short || unused_share < 0 ? gain_per_second * unused_share
                                                     : reset_per_second * (1.0 - group.gain);
    group.gain = std::clamp(group.gain + step * seconds, min_gain, max_gain);
}

} // namespace

namespace {

void update_parts(group_admission& group, group_streams const& streams, double slots,
                  double limit_per_rank, unsigned gateways, time_point now) {
    auto const elapsed = std::chrono::duration<double>{now - group.updated_at};
    double const newest_weight = 1.0 - std::exp(-elapsed / report_age);
    group.usual_own += newest_weight * (streams.own - group.usual_own);
    group.updated_at = now;
    group.streams = streams;
    // A pass takes as long as all ranks need for the streams of the whole group.
    double const usable_ranks = streams.ranks - streams.unusable_ranks;
    group.limit =
        std::min(usable_ranks * limit_per_rank, (usable_ranks - streams.closed_ranks) * slots);
    if (group.limit <= 0) {
        group.own_limit = 0;
        return;
    }
    double const equal_part = group.limit / std::max(1U, gateways);
    // What this gateway has started since the reports, others are likely to have started as well.
    double const started_since = gateways * (streams.own - group.usual_own);
    double const running = std::max(1.0, streams.running + certainty * started_since);
    // Gateways above the equal part shrink and grow in proportion, so that together they approach
    // the limit.
    double const proportional_part = group.usual_own * group.limit / running;
    double const spare =
        std::max(0.0, filled_share * group.limit - running) / std::max(1U, gateways);
    adjust_gain(group, (group.limit - running) / group.limit, elapsed, now);
    group.own_limit = group.gain * std::max(equal_part, proportional_part) + spare;
}

} // namespace

void update_limits(group_admission& group, group_streams const& streams,
                   pass_requirements const& requirements, unsigned gateways, time_point now) {
    update_parts(group, streams, requirements.slots,
                 sustainable_streams(group.passes, requirements, streams.slowdown, now), gateways,
                 now);
}

void update_started_limits(group_admission& group, group_streams const& streams,
                           pass_requirements const& requirements, gateway_census const& census,
                           time_point now) {
    auto const gateways = static_cast<unsigned>(census.gateways);
    auto& start = group.start;
    double const ranks = std::max(1U, streams.ranks);
    start_view view{ranks, streams.running, static_cast<double>(streams.own), streams.reported};
    view.passes_known = has_observations(group.passes, requirements, now);
    view.start_limit =
        start_streams(requirements, {streams.running / ranks, streams.pass, streams.slowdown});
    view.slots = requirements.slots;
    view.usual_limit = sustainable_streams(group.passes, requirements, streams.slowdown, now);
    advance_start(start, view, census, now);
    if (start.phase == start_phase::none) {
        if (streams.reported) {
            update_limits(group, streams, requirements, gateways, now);
        } else {
            group.limit = 0; // nothing tells how many streams run
            group.streams = streams;
        }
        return;
    }
    update_parts(group, streams, requirements.slots, start.limit, gateways, now);
    if (start.phase == start_phase::unshared) {
        group.gain = 1.0;
        constexpr double rounding = 0.5; // is_full() rounds to the nearest number of streams
        group.own_limit = start.part + start.offset - rounding;
    } else if (!streams.reported) {
        group.own_limit = group.limit / std::max(1U, gateways);
    }
}

bool is_busy(group_admission const& group) {
    if (group.streams.ranks > 0 && group.streams.closed_ranks == group.streams.ranks) {
        return true;
    }
    constexpr double nearly_full = 0.75; // fewer streams leave slots for those that wait
    return group.streams.running > nearly_full * group.limit;
}

bool is_full(group_admission const& group, admission_request const& request) {
    if (request.resumed || group.limit <= 0) {
        return false;
    }
    constexpr double rounding = 0.5;
    bool const late = request.slack < duration::zero();
    double const allowed = late ? late_share * group.own_limit : group.own_limit;
    return group.streams.own + rounding > allowed;
}

void record_shortage(group_admission& group, time_point now) {
    group.short_at = now;
    group.start.short_of_room = true;
}

bool should_hold(group_admission const& group, admission_request const& request,
                 pass_requirements const& requirements, time_point now) {
    auto const slack = double_milliseconds{request.slack} - request.prompt.first_event;
    bool const tight = request.slack >= duration::zero() && slack < min_hold_slack;
    bool const has_target = requirements.pause_target > double_milliseconds{0};
    if (request.resumed || tight || !has_target || !is_busy(group)) {
        return false;
    }
    auto const pass = recent_pass(group.passes, now);
    return pass > double_milliseconds{0} &&
           pass + request.prompt.of_pass > hold_share * requirements.pause_target;
}

} // namespace fireflycrank
