// Attempts of idempotent requests at the entry: output, ends, losses, retries and time limits.

#include "entryinternal.h"

#include <algorithm>

namespace fireflycrank {

namespace {

constexpr duration ask_after = std::chrono::milliseconds{500}; // silence before the agent is asked
constexpr duration lost_after = std::chrono::seconds{3};       // silence that loses the attempt
constexpr duration answer_retry = std::chrono::seconds{1};
constexpr std::uint32_t server_error = 500;
constexpr std::uint32_t client_error = 400;

std::string address_of(entry_core const& core, attempt_ref const& id) {
    target_index const target = find_target(core.routing, id.target);
    return target == no_target ? "" : core.routing.targets[target].info.address;
}

void ask_agent(event_context& step, attempt_ref const& id, attempt_query_kind kind,
               wall_time start_by = {}, std::uint64_t offset = 0) {
    std::string const address = address_of(*step.core, id);
    if (!address.empty()) {
        step.actions.push_back(send_to_agent{address, attempt_query{kind, id, start_by, offset}});
    }
}

// Forgets the present attempt. A cancelled attempt frees its slot early; its late output is stale.
void drop_attempt(event_context& step, entry_request& request, attempt_query_kind last_word) {
    running_attempt const attempt = *request.attempt;
    remove_dispatch(step.core->routing, attempt.target, attempt.dispatch_number);
    ask_agent(step, attempt.id, last_word, request.start_by);
    request.attempt.reset();
}

void pass_on(event_context& step, entry_request& request, std::string const& bytes) {
    if (bytes.empty() || !request.call.stream) {
        return;
    }
    if (!request.stream_started) {
        request.stream_started = true;
        request.stream_status = request.status;
        http_headers headers = answer_headers(request);
        headers["content-type"] = request.content_type;
        step.actions.push_back(stream_response{request.id, stream_part::start,
                                               static_cast<int>(request.status), headers, ""});
    }
    step.actions.push_back(stream_response{request.id, stream_part::bytes, 0, {}, bytes});
}

// The whole answer is here: passes it on and releases the agent's copy.
void complete(event_context& step, entry_request& request, std::string const& rest) {
    entry_core& core = *step.core;
    std::uint64_t const bytes = request.answer.received;
    drop_attempt(step, request, attempt_query_kind::release);
    constexpr std::uint64_t bytes_per_token = 4;
    record_output_length(core.work_estimator, request.route.name, request.call.prompt_tokens,
                         static_cast<std::uint32_t>(bytes / bytes_per_token));
    if (request.run_alone) {
        step.actions.push_back(send_quarantine{{step.wall, report_finished{request.fingerprint}}});
    }
    if (!request.call.stream) {
        answer_request(step, request, request.status, request.content_type, rest);
        return;
    }
    if (!request.stream_started && rest.empty()) {
        answer_request(step, request, request.status, request.content_type, "");
        return;
    }
    pass_on(step, request, rest);
    step.actions.push_back(stream_response{request.id, stream_part::finish, 0, {}, ""});
    close_request(step, request, request_outcome::answered, "complete");
}

void apply_answer(event_context& step, entry_request& request, answer_actions const& todo) {
    if (todo.attempt_broken) {
        handle_lost_attempt(step, request, attempt_outcome::corrupt_output, "output_broken");
        return;
    }
    if (todo.completed) {
        complete(step, request, todo.pass_on);
        return;
    }
    pass_on(step, request, todo.pass_on);
    if (todo.resend_from) {
        ask_agent(step, request.attempt->id, attempt_query_kind::resend, {}, *todo.resend_from);
    }
}

refusal give_up_refusal(entry_request const& request, give_up_reason reason) {
    bool const never = !request.may_have_run;
    refusal why;
    why.outcome = never ? request_outcome::not_run : request_outcome::outcome_unknown;
    why.status = never ? http_status::unavailable : http_status::bad_gateway;
    why.reason = name_of(reason);
    why.message = never ? "no target took the request; send it again after the given time"
                        : "the targets that ran the request were lost; it may be sent again";
    why.retry_after = answer_retry;
    return why;
}

// Decides what follows a failed attempt, within the request's limits and the entry's budget.
void retry_or_give_up(event_context& step, entry_request& request, attempt_outcome outcome) {
    entry_core& core = *step.core;
    retry_request asked;
    asked.idempotent = request.route.idempotent;
    asked.resumable = request.route.resumable;
    asked.response_started = request.answer.passed_on > 0;
    asked.repeats = request.repeats;
    asked.tries_elsewhere = request.tries_elsewhere;
    asked.deadline = request.deadline;
    auto& budget = core.retry_budgets[request.route.name];
    budget.settings.max_repeats = request.route.max_attempts - 1;
    retry_decision const decision = decide_retry(budget, asked, outcome, core.random, step.now);
    if (decision.action == retry_action::give_up) {
        refuse_request(step, request, give_up_refusal(request, decision.reason));
        return;
    }
    if (decision.action == retry_action::try_elsewhere) {
        ++request.tries_elsewhere;
        send_next_attempt(step, request);
        return;
    }
    ++request.repeats;
    request.retry_at = step.now + decision.delay;
}

bool is_present(entry_request const& request, attempt_ref const& id) {
    return request.attempt && request.attempt->id == id;
}

// Whether an attempt answers with another status than the stream that the caller is receiving.
bool unlike_stream(entry_request const& request, std::uint32_t status) {
    return request.stream_started && status != request.stream_status;
}

void note_life(event_context& step, entry_request& request) {
    request.attempt->last_heard_at = step.now;
    request.attempt->last_queried_at = step.now;
}

// The caller's deadline has passed.
void expire_request(event_context& step, entry_request& request) {
    bool const begun = request.may_have_run || (request.attempt && request.attempt->started);
    // An attempt that was sent and not heard of may still start, so not_run would be a guess.
    bool const sent = request.attempt.has_value();
    if (request.attempt) {
        drop_attempt(step, request, attempt_query_kind::cancel);
    }
    bool const never = !begun && !sent;
    refuse_request(step, request,
                   {never ? request_outcome::not_run : request_outcome::outcome_unknown,
                    http_status::timed_out, "deadline",
                    "the route's deadline passed; raise deadline_ms or send less work",
                    answer_retry});
}

} // namespace

void handle_refusal(event_context& step, entry_request& request, attempt_refusal const& message) {
    if (!is_present(request, message.id)) {
        return;
    }
    step.actions.push_back(write_log{
        &events::attempt_refused,
        {{"request", request.id}, {"target", message.id.target}, {"reason", message.reason}}});
    remove_dispatch(step.core->routing, request.attempt->target, request.attempt->dispatch_number);
    request.attempt.reset();
    request.tried_targets.push_back(message.id.target);
    retry_or_give_up(step, request, attempt_outcome::not_run);
}

void handle_status(event_context& step, entry_request& request, agent_status const& message) {
    if (!is_present(request, message.id)) {
        return;
    }
    note_life(step, request);
    if (never_runs(message.state)) {
        handle_refusal(step, request, {message.id, "voided", {}, {}});
        return;
    }
    if (message.state == attempt_state::unknown) {
        // The start was lost. The agent runs an attempt once, so sending it again is harmless.
        step.actions.push_back(
            send_to_agent{address_of(*step.core, message.id),
                          make_attempt_request(step, request, message.id, request.start_by)});
        return;
    }
    if (message.state == attempt_state::other_incarnation) {
        handle_lost_attempt(step, request, attempt_outcome::target_lost, "target_restarted");
        return;
    }
    request.attempt->started |= message.state != attempt_state::queued;
    if (message.state == attempt_state::queued || message.state == attempt_state::running) {
        note_attempt_alive(request.answer);
    }
}

void handle_chunk(event_context& step, entry_request& request, agent_chunk const& message) {
    if (!is_present(request, message.id)) {
        return;
    }
    note_life(step, request);
    request.attempt->started = true;
    if (message.status >= server_error || unlike_stream(request, message.status)) {
        return; // the end message decides about a retry; nothing of an error is passed on
    }
    request.status = message.status;
    request.content_type = message.content_type;
    apply_answer(step, request,
                 on_chunk(request.answer, message.id, message.offset, message.bytes, step.now));
}

void handle_end(event_context& step, entry_request& request, agent_end const& message) {
    if (!is_present(request, message.id)) {
        return;
    }
    note_life(step, request);
    request.attempt->started = true;
    if (message.state != attempt_state::done) {
        handle_lost_attempt(step, request, attempt_outcome::target_lost,
                            message.state == attempt_state::crashed ? "engine_crashed"
                                                                    : "cancelled");
        return;
    }
    if (message.status >= server_error) {
        handle_lost_attempt(step, request, attempt_outcome::server_error,
                            "engine_status_" + std::to_string(message.status));
        return;
    }
    if (unlike_stream(request, message.status)) {
        handle_lost_attempt(step, request, attempt_outcome::client_error,
                            "engine_status_" + std::to_string(message.status));
        return;
    }
    request.status = message.status;
    request.content_type = message.content_type;
    apply_answer(step, request, on_end(request.answer, message.id, message.total_bytes, step.now));
}

void handle_lost_attempt(event_context& step, entry_request& request, attempt_outcome outcome,
                         std::string const& reason) {
    attempt_ref const id = request.attempt->id;
    bool const begun = request.attempt->started;
    step.actions.push_back(
        write_log{&events::attempt_failed,
                  {{"request", request.id}, {"target", id.target}, {"reason", reason}}});
    drop_attempt(step, request, attempt_query_kind::cancel);
    request.may_have_run = true;
    request.tried_targets.push_back(id.target);
    if (outcome == attempt_outcome::target_lost && request.run_alone && begun) {
        // It ran with nothing beside it, so this request crashed the target; control quarantines it
        // too.
        refuse_request(step, request,
                       {request_outcome::failed, http_status::unprocessable, "crashed_alone",
                        "this request crashed the targets that ran it; change it or ask an "
                        "operator to release it",
                        duration::zero()});
        return;
    }
    // A request that was running when its target died is tried alone from here on.
    request.run_alone |= outcome == attempt_outcome::target_lost;
    // The body of an error answer need not repeat, so only a good answer is continued.
    bool const may_resume = request.stream_status < client_error;
    if (on_attempt_lost(request.answer, may_resume) == continue_from::nowhere) {
        refuse_request(step, request,
                       {request_outcome::failed, http_status::bad_gateway, reason,
                        "the target was lost in the middle of the answer; send the request again",
                        answer_retry});
        return;
    }
    retry_or_give_up(step, request, outcome);
}

time_point next_tick_time(entry_request const& request) {
    time_point due = request.deadline;
    if (request.retry_at) {
        due = std::min(due, *request.retry_at);
    }
    if (!request.attempt) {
        return due;
    }
    running_attempt const& attempt = *request.attempt;
    due = std::min({due, attempt.last_heard_at + lost_after, attempt.last_queried_at + ask_after});
    return std::min(due, next_resend(request.answer, attempt.last_heard_at + ask_after));
}

void tick_request(event_context& step, entry_request& request) {
    if (step.now >= request.deadline) {
        expire_request(step, request);
        return;
    }
    if (request.retry_at && step.now >= *request.retry_at) {
        send_next_attempt(step, request);
        return;
    }
    if (!request.attempt) {
        return;
    }
    running_attempt& attempt = *request.attempt;
    duration const silence = step.now - attempt.last_heard_at;
    if (silence >= lost_after) {
        handle_lost_attempt(step, request, attempt_outcome::timed_out, "agent_silent");
        return;
    }
    if (step.now - attempt.last_queried_at >= ask_after) {
        attempt.last_queried_at = step.now;
        ask_agent(step, attempt.id, attempt_query_kind::query);
    }
    apply_answer(step, request, tick_answer(request.answer, silence >= ask_after, step.now));
}

} // namespace fireflycrank
