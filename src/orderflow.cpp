#include "orderflow.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// Pieces beyond a gap are asked for again, so dropping them costs a round trip only.
constexpr std::size_t max_pieces = 256;
// Until then, an agent without room for a tombstone may still find some.
constexpr std::chrono::minutes unseen_grace{1};
constexpr std::uint32_t first_server_error = 500;

/// One step: the flow, the times and the actions so far.
struct stepper {
    order_flow& flow;
    time_point now;
    wall_time wall;
    std::vector<order_action>& actions;

    void command(order_phase phase, decltype(claim_command::action) action) {
        flow.phase = phase;
        flow.pending =
            claim_command{flow.request.request_id + "/" + std::to_string(++flow.commands),
                          flow.request.key,
                          {},
                          std::move(action)};
        resend_command();
    }

    void resend_command() {
        actions.emplace_back(send_control{*flow.pending});
        flow.next_resend = now + flow.timing.resend;
    }

    void ask_agent(agent_request what) {
        actions.emplace_back(send_agent{what, flow.attempt, flow.start_by, flow.output.size()});
        flow.next_resend = now + flow.timing.resend;
    }

    void answer(order_answer outcome, stored_response response = {}) {
        if (!flow.answered) {
            flow.answered = true;
            actions.emplace_back(answer_caller{outcome, std::move(response)});
        }
    }

    void finish_flow() {
        flow.phase = order_phase::over;
        flow.pending.reset();
        actions.emplace_back(flow_over{});
    }

    void answer_and_end(order_answer outcome, stored_response response = {}) {
        answer(outcome, std::move(response));
        finish_flow();
    }

    /// Takes up an attempt, with nothing known about it yet.
    void adopt(claim_view const& view) {
        flow.attempt = view.attempt;
        flow.start_by = view.start_by;
        flow.owned = view.attempt.request_id == flow.request.request_id;
        flow.sent = false;
        flow.begun = false;
        flow.output.clear();
        flow.pieces.clear();
        flow.end.reset();
    }

    void answer_from(claim_view const& view) {
        if (view.response) {
            answer(order_answer::response, *view.response);
        } else {
            answer(order_answer::already_run);
        }
    }

    /// Acts on what the claim table says about the key.
    void follow(control_replied const& told) {
        auto const& view = told.reply.view;
        switch (told.reply.outcome) {
        case claim_outcome::conflict:
            return answer_and_end(order_answer::conflict);
        case claim_outcome::full:
        case claim_outcome::refused:
            return answer_and_end(order_answer::not_run);
        case claim_outcome::missing:
            // Expired or pruned meanwhile: the table says nothing about earlier runs any more.
            return answer_and_end(order_answer::outcome_unknown);
        case claim_outcome::accepted:
        case claim_outcome::existing:
        case claim_outcome::stale:
            break;
        }
        switch (view.state) {
        case claim_state::done:
        case claim_state::failed:
            answer_from(view);
            return finish_flow();
        case claim_state::voided:
            return answer_and_end(order_answer::not_run);
        case claim_state::bound:
        case claim_state::unknown:
            break;
        }
        if (view.attempt.request_id == flow.request.request_id) {
            return follow_own(told);
        }
        follow_other(told);
    }

    void follow_own(control_replied const& told) {
        auto const& view = told.reply.view;
        if (view.state == claim_state::unknown) {
            return answer_and_end(order_answer::outcome_unknown);
        }
        adopt(view);
        if (!told.target_alive) {
            return never_started();
        }
        send_start();
    }

    void follow_other(control_replied const& told) {
        auto const& view = told.reply.view;
        bool const bound = view.state == claim_state::bound;
        // A stale reply shows that another entry acts on the key right now. Taking over from it
        // would let two entries that suspect each other void each other's attempts in turn.
        bool const contended = told.reply.outcome == claim_outcome::stale;
        bool const owned_elsewhere = told.owner_alive && wall <= view.start_by;
        if (bound && (contended || owned_elsewhere)) {
            return answer_and_end(order_answer::in_progress);
        }
        if (flow.answered || (!bound && !told.target_alive)) {
            return answer_and_end(order_answer::outcome_unknown);
        }
        adopt(view);
        if (!told.target_alive) {
            return outcome_lost();
        }
        command(order_phase::taking_over, takeover_claim{view.attempt, flow.request.owner});
    }

    /// Sends the start of an attempt that this flow has bound. Never after the caller has its
    /// answer: a caller that was told `not_run` must not see a run.
    void send_start() {
        if (flow.answered || !flow.caller_present || now >= void_time() || wall > flow.start_by) {
            return close_voided();
        }
        flow.sent = true;
        flow.phase = order_phase::awaiting;
        ask_agent(agent_request::start);
    }

    time_point void_time() const { return flow.request.deadline - flow.timing.void_margin; }

    void close_voided() {
        flow.close_answer = order_answer::not_run;
        command(order_phase::closing, void_claim{flow.attempt});
    }

    /// The attempt may have run and nobody can tell.
    void outcome_lost() {
        answer(order_answer::outcome_unknown);
        flow.close_answer = order_answer::outcome_unknown;
        command(order_phase::closing, mark_unknown{flow.attempt});
    }

    /// The attempt is proven never to run: voided or refused by its agent, or never sent.
    void never_started() {
        bool const give_up = flow.answered || !flow.caller_present || now >= void_time() ||
                             flow.rebinds >= flow.timing.rebinds;
        if (give_up) {
            return close_voided();
        }
        flow.phase = order_phase::choosing;
        actions.emplace_back(request_target{flow.attempt.target});
    }

    void void_at_agent() {
        flow.phase = order_phase::voiding;
        ask_agent(agent_request::void_start);
    }

    bool concerns(attempt_ref const& id) const {
        bool const listening = flow.phase == order_phase::awaiting ||
                               flow.phase == order_phase::querying ||
                               flow.phase == order_phase::voiding;
        return listening && id == flow.attempt;
    }

    void began() {
        flow.begun = true;
        if (!flow.owned) {
            answer(order_answer::in_progress);
        }
        flow.phase = order_phase::awaiting;
    }

    void on(agent_status const& status) {
        if (!concerns(status.id)) {
            return;
        }
        switch (status.state) {
        case attempt_state::queued:
            if (flow.phase == order_phase::querying) {
                answer(order_answer::in_progress);
                flow.phase = order_phase::awaiting;
            }
            return;
        case attempt_state::running:
            return began();
        case attempt_state::done:
            flow.begun = true;
            flow.phase = order_phase::awaiting;
            return ask_agent(agent_request::resend);
        case attempt_state::voided:
        case attempt_state::refused:
            return never_started();
        case attempt_state::crashed:
        case attempt_state::cancelled:
        case attempt_state::other_incarnation:
            return outcome_lost();
        case attempt_state::unknown:
            return on_unseen();
        }
    }

    /// The agent has no record of the attempt.
    void on_unseen() {
        bool const start_may_be_in_flight =
            flow.phase == order_phase::awaiting && flow.owned && wall <= flow.start_by;
        if (flow.phase == order_phase::voiding && wall > flow.start_by + unseen_grace) {
            // The agent can't prove anything any more, and `unknown` lets an operator prune.
            return outcome_lost();
        }
        if (flow.phase == order_phase::voiding || start_may_be_in_flight) {
            return; // The next tick asks again.
        }
        void_at_agent();
    }

    void on(agent_chunk const& chunk) {
        if (!concerns(chunk.id)) {
            return;
        }
        flow.begun = true;
        flow.phase = order_phase::awaiting;
        if (flow.pieces.size() < max_pieces || chunk.offset <= flow.output.size()) {
            flow.pieces[chunk.offset] = chunk.bytes;
        }
        while (!flow.pieces.empty() && flow.pieces.begin()->first <= flow.output.size()) {
            auto const& [offset, bytes] = *flow.pieces.begin();
            auto const known = flow.output.size() - offset;
            if (known < bytes.size()) {
                flow.output.append(bytes, known);
            }
            flow.pieces.erase(flow.pieces.begin());
        }
        try_complete();
    }

    void on(agent_end const& end) {
        if (!concerns(end.id)) {
            return;
        }
        if (never_runs(end.state)) {
            return never_started();
        }
        if (end.state != attempt_state::done) {
            return outcome_lost();
        }
        flow.begun = true;
        flow.phase = order_phase::awaiting;
        flow.end = end;
        try_complete();
        if (flow.phase == order_phase::awaiting) {
            ask_agent(agent_request::resend);
        }
    }

    void try_complete() {
        if (!flow.end) {
            return;
        }
        finish_claim finish{flow.attempt, flow.end->status >= first_server_error, {}};
        if (flow.output.size() == flow.end->total_bytes) {
            stored_response response{flow.end->status, flow.end->content_type, flow.output};
            answer(order_answer::response, response);
            finish.response = std::move(response);
        } else if (flow.end->output_available) {
            return;
        }
        // Without the output, the caller waits for the majority: another entry may have stored it.
        flow.close_answer = order_answer::already_run;
        command(order_phase::closing, std::move(finish));
    }

    void on(control_replied const& told) {
        if (!flow.pending || told.command_id != flow.pending->id) {
            return;
        }
        flow.pending.reset();
        bool const shows_claim = told.reply.outcome == claim_outcome::accepted ||
                                 told.reply.outcome == claim_outcome::existing ||
                                 told.reply.outcome == claim_outcome::stale;
        if (shows_claim) {
            flow.applied = told.reply.view;
        }
        switch (flow.phase) {
        case order_phase::taking_over:
            if (told.reply.outcome == claim_outcome::accepted) {
                flow.phase = order_phase::querying;
                return ask_agent(agent_request::query);
            }
            return follow(told);
        case order_phase::closing:
            return on_closed(told);
        default:
            return follow(told);
        }
    }

    void on_closed(control_replied const& told) {
        if (flow.close_answer == order_answer::already_run) {
            // The output is needed until the majority has stored it, and not after.
            ask_agent(agent_request::release);
        }
        bool const settled = told.reply.outcome == claim_outcome::accepted;
        if (!settled && !flow.answered) {
            return follow(told);
        }
        answer_and_end(flow.close_answer);
    }

    void on(control_failed const& failed) {
        if (flow.pending && failed.command_id == flow.pending->id && failed.applied) {
            flow.applied = failed.applied;
        }
    }

    void on(target_died const& death) {
        bool const ours =
            death.target == flow.attempt.target && death.incarnation == flow.attempt.incarnation;
        bool const open = flow.phase == order_phase::awaiting ||
                          flow.phase == order_phase::querying || flow.phase == order_phase::voiding;
        if (ours && open) {
            outcome_lost();
        }
    }

    void on(target_chosen const& chosen) {
        if (flow.phase != order_phase::choosing) {
            return;
        }
        if (!chosen.target || flow.answered || now >= void_time()) {
            return close_voided();
        }
        ++flow.rebinds;
        command(order_phase::rebinding,
                rebind_claim{flow.attempt, flow.request.request_id, chosen.target->target,
                             chosen.target->incarnation, flow.request.start_by,
                             flow.request.owner});
    }

    void on(caller_gone const& /*event*/) {
        flow.caller_present = false;
        flow.answered = true;
        if (flow.phase == order_phase::choosing) {
            close_voided();
        }
    }

    void on(flow_tick const& /*event*/) {
        if (now >= flow.request.deadline + flow.timing.background) {
            return answer_and_end(order_answer::outcome_unknown);
        }
        if (!flow.answered) {
            check_deadline();
        }
        bool const claim_useless =
            flow.phase == order_phase::claiming && flow.answered && wall > flow.request.start_by;
        if (claim_useless) {
            // From here on, any entry that meets the claim takes it over.
            return finish_flow();
        }
        if (now >= flow.next_resend && flow.phase != order_phase::over) {
            resend();
        }
    }

    void check_deadline() {
        if (flow.phase == order_phase::claiming) {
            if (now >= std::min(flow.claim_by, flow.request.deadline)) {
                give_up_claim();
            }
            return;
        }
        if (now >= flow.request.deadline) {
            // Also for a void that the majority has not confirmed: another entry may have rebound.
            answer(order_answer::outcome_unknown);
        }
        bool const late = now >= void_time();
        if (late && flow.phase == order_phase::choosing) {
            return close_voided();
        }
        if (late && flow.phase == order_phase::awaiting && flow.owned && !flow.begun) {
            void_at_agent();
        }
    }

    /// No reply to acquire: this call never sends a start, so it is not run. An earlier call under
    /// the key may have run, which a replica's applied table can tell.
    void give_up_claim() {
        bool const earlier = flow.applied && flow.applied->state != claim_state::voided &&
                             flow.applied->attempt.request_id != flow.request.request_id;
        if (!earlier) {
            return answer(order_answer::not_run);
        }
        bool const ended =
            flow.applied->state == claim_state::done || flow.applied->state == claim_state::failed;
        if (ended) {
            return answer_from(*flow.applied);
        }
        answer(order_answer::outcome_unknown);
    }

    void resend() {
        if (flow.pending) {
            return resend_command();
        }
        switch (flow.phase) {
        case order_phase::querying:
            return ask_agent(agent_request::query);
        case order_phase::voiding:
            return ask_agent(agent_request::void_start);
        case order_phase::awaiting:
            return resend_awaiting();
        default:
            return;
        }
    }

    void resend_awaiting() {
        if (flow.end) {
            return ask_agent(agent_request::resend);
        }
        bool const may_start = flow.owned && flow.sent && !flow.begun && wall <= flow.start_by;
        if (may_start && !flow.answered) {
            return ask_agent(agent_request::start);
        }
        if (flow.owned && !flow.begun) {
            return void_at_agent();
        }
        ask_agent(agent_request::query);
    }
};

} // namespace

order_flow begin_order(order_request request, order_timing const& timing, order_target const& first,
                       time_point now, std::vector<order_action>& actions) {
    order_flow flow;
    flow.request = std::move(request);
    flow.timing = timing;
    flow.claim_by = now + timing.claim_wait;
    flow.applied = flow.request.remembered;
    stepper step{flow, now, {}, actions};
    step.command(order_phase::claiming,
                 acquire_claim{flow.request.body_digest, flow.request.request_id, first.target,
                               first.incarnation, flow.request.start_by, flow.request.owner,
                               flow.request.window});
    return flow;
}

void remember_order(order_memory& memory, order_flow const& flow) {
    claim_view view;
    if (flow.sent || flow.begun) {
        bool const voided = flow.applied && flow.applied->state == claim_state::voided &&
                            flow.applied->attempt == flow.attempt;
        view = {voided ? claim_state::voided : claim_state::bound,
                flow.attempt,
                flow.start_by,
                flow.request.owner,
                {}};
    } else if (flow.applied) {
        view = *flow.applied;
        view.response.reset();
    } else {
        return;
    }
    auto const known = memory.views.find(flow.request.key);
    bool const older = known != memory.views.end() && view.state == claim_state::voided &&
                       known->second.second.attempt != view.attempt;
    if (older) {
        return; // A flow that lingers must not hide a later attempt.
    }
    auto& [age, remembered] = memory.views[flow.request.key];
    memory.ages.erase(age);
    age = ++memory.next_age;
    memory.ages.emplace(age, flow.request.key);
    remembered = std::move(view);
    while (memory.views.size() > memory.limit) {
        memory.views.erase(memory.ages.begin()->second);
        memory.ages.erase(memory.ages.begin());
    }
}

std::optional<claim_view> recall_order(order_memory const& memory, std::string_view key) {
    auto const found = memory.views.find(key);
    return found == memory.views.end() ? std::nullopt : std::optional{found->second.second};
}

time_point next_order_tick(order_flow const& flow, time_point now) {
    time_point const deadline = flow.request.deadline;
    time_point next = deadline + flow.timing.background;
    if (flow.phase != order_phase::over) {
        next = std::min(next, flow.next_resend);
    }
    // The wall clock passes `start_by` just after the deadline.
    for (time_point const limit : {deadline, deadline + std::chrono::milliseconds{1},
                                   deadline - flow.timing.void_margin, flow.claim_by}) {
        if (limit > now) {
            next = std::min(next, limit);
        }
    }
    return next;
}

std::vector<order_action> step_order(order_flow& flow, order_event const& event, time_point now,
                                     wall_time wall) {
    std::vector<order_action> actions;
    if (flow.phase == order_phase::over) {
        return actions;
    }
    stepper step{flow, now, wall, actions};
    std::visit([&step](auto const& happened) { step.on(happened); }, event);
    return actions;
}

} // namespace fireflycrank
