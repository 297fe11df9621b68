#include "drain.h"

#include <algorithm>

namespace fireflycrank {

namespace {

void enter(drain_state& state, drain_phase phase, time_point now) {
    state.phase = phase;
    state.phase_since = now;
}

/// The actions that hold in a phase, whatever step led to it.
drain_actions standing_actions(drain_state const& state) {
    drain_actions actions;
    actions.announce_leaving = state.phase != drain_phase::serving;
    actions.refuse_new =
        state.phase == drain_phase::finishing || state.phase == drain_phase::stopped;
    actions.may_exit = state.phase == drain_phase::stopped;
    return actions;
}

/// Stops once nothing is in flight and outputs are released or waited long enough.
void stop_when_empty(drain_state& state, drain_load const& load, time_point now) {
    if (load.in_flight > 0) {
        state.phase_since = now; // The wait for releases starts when the last request ends.
        return;
    }
    if (load.unreleased == 0 || now - state.phase_since >= state.settings.release_wait) {
        enter(state, drain_phase::stopped, now);
    }
}

} // namespace

drain_actions leave_target(drain_state& state, time_point now) {
    if (state.phase == drain_phase::serving) {
        enter(state, drain_phase::notice, now);
    }
    return standing_actions(state);
}

drain_actions step_target(drain_state& state, drain_load const& load, time_point now) {
    bool hand_back = false;
    if (state.phase == drain_phase::notice && now - state.phase_since >= state.settings.notice) {
        enter(state, drain_phase::finishing, now);
        hand_back = true;
    }
    if (state.phase == drain_phase::finishing) {
        stop_when_empty(state, load, now);
    }
    auto actions = standing_actions(state);
    actions.hand_back_waiting = hand_back;
    return actions;
}

drain_actions leave_entry(drain_state& state, time_point now) {
    if (state.phase == drain_phase::serving) {
        enter(state, drain_phase::withdrawn, now);
    }
    return standing_actions(state);
}

drain_actions step_entry(drain_state& state, drain_load const& load, time_point now) {
    auto const served_for = state.settings.address_time_to_live + state.settings.address_slack;
    if (state.phase == drain_phase::withdrawn && now - state.phase_since >= served_for) {
        enter(state, drain_phase::finishing, now);
    }
    if (state.phase == drain_phase::finishing) {
        stop_when_empty(state, load, now);
    }
    return standing_actions(state);
}

bool address_published(drain_state const& state) {
    return state.phase == drain_phase::serving;
}

double warm_share(duration up, duration ramp, double floor) {
    if (ramp <= duration::zero() || up >= ramp) {
        return 1;
    }
    auto const part =
        std::max(static_cast<double>(up.count()) / static_cast<double>(ramp.count()), 0.0);
    return floor + (1 - floor) * part;
}

} // namespace fireflycrank
