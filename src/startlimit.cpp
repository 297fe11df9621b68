#include "startlimit.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// Without counts of the present demand, an expert map leaves this multiple of the mean work on the
// busiest rank; up to 3.4 was measured, but a limit for 3.5 refused more than it kept in time.
constexpr double uncounted_skew = 3.0;
constexpr double usable_pause = 0.95;
constexpr double min_limit_share = 0.4;
// With fewer streams, prompts dominate a pass and hide the share of each stream.
constexpr double min_slot_share = 0.25;
// Passes of groups that can run more streams are shorter than this share of the pause target.
constexpr double short_pass_share = 0.7;
// A part of this size times the largest number of gateways is about the limit.
constexpr double first_part_divisor = 100;
// Gateways that start together appear in the registrars' lists within half a second. A number that
// has not changed for this long is nearly complete, and the margin allows for those that are late.
constexpr std::chrono::milliseconds census_pauses_for{250};
constexpr double census_margin = 1.5;
// While the number still rises, as many as this may be missing.
constexpr double rising_margin = 1.3;
// Longer than the oldest load reports, so that they show what the round has begun.
constexpr std::chrono::milliseconds round_length{600};
// Gateways that start together do so within half a second; until the reports show all of them,
// parts would grow too much.
constexpr std::chrono::milliseconds first_round_length{850};
constexpr double max_growth = 4.0;
// In streams: a small part is not in use all the time, since callers come at random to a gateway.
constexpr double unused_streams = 0.12;
// Two beats to a registrar and the updates that follow.
constexpr std::chrono::milliseconds census_settles_in{1'200};
// Groups that are filled like this when they are first seen are used by other gateways, which are
// in the registrars' lists already: one beat shows them.
constexpr double in_use_share = 0.5;
constexpr std::chrono::milliseconds known_census_settles_in{600};
constexpr std::chrono::milliseconds min_start{2'000};
constexpr std::chrono::milliseconds max_start{4'000};
// Callers who waited for the start are late when it begins. The room for them grows within this
// time; if they were refused, they would return when new callers have filled it.
constexpr std::chrono::milliseconds late_wait{1'000};
// Of the slots, for each second. Gateways fill a higher limit before reports show what others do.
constexpr double rise_per_second = 0.12;

double stream_work(pass_requirements const& requirements, double skew) {
    double const experts = requirements.expert_fraction;
    return requirements.per_stream.count() * (1.0 - experts + experts * skew);
}

double streams_within(pass_requirements const& requirements, double slowdown, double work) {
    auto const target = requirements.pause_target * usable_pause;
    double const streams =
        (target / slowdown - requirements.fixed).count() / work - requirements.prompt_work;
    return std::clamp(streams, min_limit_share * requirements.slots, requirements.slots);
}

void grow_part(group_start& start, start_view const& view, gateway_census const& census,
               time_point now) {
    if (!view.reported) {
        return;
    }
    double const running = std::max({1.0, view.running, view.own});
    double const limit = start.limit * view.ranks;
    double const factor = limit / running;
    // A part that is not in use says nothing about those of the others.
    if (factor < 1.0 || start.short_of_room) {
        start.part *= std::min(factor, max_growth);
    }
    auto const known = static_cast<double>(std::max<std::uint64_t>(1, census.gateways));
    bool const complete = now - census.changed_at >= census_pauses_for;
    double const largest = limit / (complete ? known : rising_margin * known) + unused_streams;
    start.part = std::max(start.first_part, std::min(start.part, largest));
}

// The limit rises slowly from that of the start to the usual one, which ends the start.
void update_limit(group_start& start, start_view const& view, time_point now) {
    auto const age = now - start.begun;
    bool const rises = age >= max_start || (age >= min_start && view.passes_known);
    std::chrono::duration<double> const elapsed{now - start.updated_at};
    start.updated_at = now;
    if (!rises) {
        start.limit = view.start_limit;
        return;
    }
    start.limit += rise_per_second * view.slots * elapsed.count();
    if (start.limit >= view.usual_limit) {
        start.phase = start_phase::none;
    }
}

} // namespace

double start_streams(pass_requirements const& requirements, group_reports const& reports) {
    auto const target = requirements.pause_target * usable_pause;
    double const work = stream_work(requirements, uncounted_skew);
    if (target <= requirements.fixed * reports.slowdown || work <= 0) {
        return requirements.slots;
    }
    double const by_traits = streams_within(requirements, reports.slowdown, work);
    bool const usable = reports.pass > double_milliseconds{0} &&
                        reports.streams_per_rank >= min_slot_share * requirements.slots;
    if (!usable) {
        return by_traits;
    }
    double const measured = (reports.pass / reports.slowdown - requirements.fixed).count() /
                            (reports.streams_per_rank + requirements.prompt_work);
    if (measured > work) {
        return streams_within(requirements, reports.slowdown, measured);
    }
    bool const sustained = reports.pass < short_pass_share * requirements.pause_target;
    return sustained ? std::clamp(reports.streams_per_rank, by_traits, requirements.slots)
                     : by_traits;
}

void record_census(gateway_census& census, std::uint64_t gateways, time_point now) {
    if (census.gateways != gateways) {
        census = {gateways, now};
    }
}

group_start begin_start(double draw, time_point now) {
    group_start start;
    start.phase = start_phase::unshared;
    start.begun = now;
    start.round_begun = now;
    start.updated_at = now;
    start.offset = draw;
    return start;
}

void advance_start(group_start& start, start_view const& view, gateway_census const& census,
                   time_point now) {
    if (start.phase == start_phase::none) {
        return;
    }
    update_limit(start, view, now);
    if (start.phase == start_phase::none) {
        return;
    }
    double const limit = start.limit * view.ranks;
    if (view.reported && !start.reported) {
        start.reported = true;
        start.in_use = view.running - view.own > in_use_share * limit;
    }
    bool const has_others = start.in_use && census.gateways > 1;
    auto const settles_in = has_others ? known_census_settles_in : census_settles_in;
    if (now - census.changed_at >= settles_in) {
        start.phase = start_phase::shared;
    }
    if (start.phase == start_phase::shared) {
        return;
    }
    start.first_part = limit / first_part_divisor;
    if (census.gateways > 1 && now - census.changed_at >= census_pauses_for) {
        start.first_part = std::max(start.first_part, expected_part(limit, census));
    }
    start.part = std::max(start.part, start.first_part);
    bool const is_first = start.round_begun == start.begun;
    if (now - start.round_begun >= (is_first ? first_round_length : round_length)) {
        grow_part(start, view, census, now);
        start.round_begun = now;
        start.short_of_room = false;
    }
}

double expected_part(double limit, gateway_census const& census) {
    auto const known = static_cast<double>(std::max<std::uint64_t>(1, census.gateways));
    return limit / (census_margin * known);
}

time_point late_wait_end(group_start const& start) {
    return start.phase == start_phase::none ? time_point{} : start.begun + late_wait;
}

duration usual_stream(pass_requirements const& requirements) {
    // About half of the pause target, as in a group below its limit.
    return std::chrono::duration_cast<duration>(requirements.usual_passes *
                                                requirements.pause_target / 2);
}

duration expected_slot_interval(pass_requirements const& requirements, double part) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{usual_stream(requirements)} / std::max(1.0, part));
}

} // namespace fireflycrank
