// Attempts of idempotent requests at the entry: agents' messages, retries and time limits.

#include "entryinternal.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// Time without a message from the agent, after which it is queried.
constexpr duration query_after = std::chrono::milliseconds{500};
// Time without a message from the agent, after which the attempt counts as lost.
constexpr duration loss_timeout = std::chrono::seconds{3};
constexpr duration default_retry_after = std::chrono::seconds{1};
constexpr std::uint32_t server_error = 500;
constexpr std::uint32_t client_error = 400;

std::string address_of(entry_core const& core, attempt_ref const& id) {
    target_index const target = find_target(core.routing, id.target);
    return target == no_target ? "" : core.routing.targets[target].info.address;
}

void send_query(event_context& context, attempt_ref const& id, attempt_query_kind kind,
                wall_time start_by = {}, std::uint64_t offset = 0) {
    std::string const address = address_of(*context.core, id);
    if (!address.empty()) {
        context.actions.push_back(
            send_to_agent{address, attempt_query{kind, id, start_by, offset}});
    }
}

// Ends the present attempt and sends the agent a final cancel or release. A cancelled attempt frees
// its slot early; its late messages are ignored.
void end_attempt(event_context& context, entry_request& request, attempt_query_kind final_query) {
    running_attempt const attempt = *request.attempt;
    remove_dispatch(context.core->routing, attempt.target, attempt.dispatch_number);
    send_query(context, attempt.id, final_query, request.start_by);
    request.attempt.reset();
}

void send_stream_bytes(event_context& context, entry_request& request, std::string const& bytes) {
    if (bytes.empty() || !request.call.stream) {
        return;
    }
    if (!request.stream_started) {
        request.stream_started = true;
        request.stream_status = request.status;
        http_headers headers = answer_headers(request);
        headers["content-type"] = request.content_type;
        context.actions.push_back(stream_response{request.id, stream_part::start,
                                                  static_cast<int>(request.status), headers, ""});
    }
    context.actions.push_back(stream_response{request.id, stream_part::bytes, 0, {}, bytes});
}

// The response is complete: sends what remains to the caller and releases the agent's copy.
void complete_request(event_context& context, entry_request& request,
                      std::string const& remaining) {
    entry_core& core = *context.core;
    std::uint64_t const bytes = request.answer.received;
    end_attempt(context, request, attempt_query_kind::release);
    constexpr std::uint64_t bytes_per_token = 4;
    record_output_length(core.work_estimator, request.route.name, request.call.prompt_tokens,
                         static_cast<std::uint32_t>(bytes / bytes_per_token));
    if (request.run_alone) {
        context.actions.push_back(
            send_quarantine{{context.wall, report_finished{request.fingerprint}}});
    }
    if (!request.call.stream) {
        answer_request(context, request, request.status, request.content_type, remaining);
        return;
    }
    if (!request.stream_started && remaining.empty()) {
        answer_request(context, request, request.status, request.content_type, "");
        return;
    }
    send_stream_bytes(context, request, remaining);
    context.actions.push_back(stream_response{request.id, stream_part::finish, 0, {}, ""});
    close_request(context, request, request_outcome::answered, "complete");
}

void apply_answer(event_context& context, entry_request& request, answer_actions const& actions) {
    if (actions.attempt_broken) {
        handle_lost_attempt(context, request, attempt_outcome::corrupt_output, "output_broken");
        return;
    }
    if (actions.completed) {
        complete_request(context, request, actions.pass_on);
        return;
    }
    send_stream_bytes(context, request, actions.pass_on);
    if (actions.resend_from) {
        send_query(context, request.attempt->id, attempt_query_kind::resend, {},
                   *actions.resend_from);
    }
}

refusal give_up_refusal(entry_request const& request, give_up_reason reason) {
    bool const not_run = !request.may_have_run;
    refusal why;
    why.outcome = not_run ? request_outcome::not_run : request_outcome::outcome_unknown;
    why.status = not_run ? http_status::unavailable : http_status::bad_gateway;
    why.reason = name_of(reason);
    why.message = not_run ? "no target took the request; send it again after the given time"
                          : "attempts failed that may have run; the request may be sent again";
    why.retry_after = default_retry_after;
    return why;
}

// Decides what follows a failed attempt, within the request's limits and the route's retry budget.
void retry_or_give_up(event_context& context, entry_request& request, attempt_outcome outcome) {
    entry_core& core = *context.core;
    retry_request retry;
    retry.idempotent = request.route.idempotent;
    retry.resumable = request.route.resumable;
    retry.response_started = request.answer.passed_on > 0;
    retry.repeats = request.repeats;
    retry.tries_elsewhere = request.tries_elsewhere;
    retry.deadline = request.deadline;
    auto& budget = core.retry_budgets[request.route.name];
    budget.settings.max_repeats = request.route.max_attempts - 1;
    retry_decision const decision = decide_retry(budget, retry, outcome, core.random, context.now);
    if (decision.action == retry_action::give_up) {
        refuse_request(context, request, give_up_refusal(request, decision.reason));
        return;
    }
    if (decision.action == retry_action::try_elsewhere) {
        ++request.tries_elsewhere;
        send_next_attempt(context, request);
        return;
    }
    ++request.repeats;
    request.retry_at = context.now + decision.delay;
}

bool is_current_attempt(entry_request const& request, attempt_ref const& id) {
    return request.attempt && request.attempt->id == id;
}

// Whether an attempt's HTTP status differs from that of the stream that the caller is receiving.
bool differs_from_stream(entry_request const& request, std::uint32_t status) {
    return request.stream_started && status != request.stream_status;
}

void record_agent_message(event_context& context, entry_request& request) {
    request.attempt->last_heard_at = context.now;
    request.attempt->last_queried_at = context.now;
}

// The caller's deadline has passed.
void expire_request(event_context& context, entry_request& request) {
    bool const started = request.may_have_run || (request.attempt && request.attempt->started);
    // An attempt that was sent without a reply so far may still start, so not_run could be wrong.
    bool const sent = request.attempt.has_value();
    if (request.attempt) {
        end_attempt(context, request, attempt_query_kind::cancel);
    }
    bool const not_run = !started && !sent;
    refuse_request(context, request,
                   {not_run ? request_outcome::not_run : request_outcome::outcome_unknown,
                    http_status::timed_out, "deadline",
                    "the route's deadline passed; raise deadline_ms or send less work",
                    default_retry_after});
}

} // namespace

void handle_refusal(event_context& context, entry_request& request,
                    attempt_refusal const& message) {
    if (!is_current_attempt(request, message.id)) {
        return;
    }
    context.actions.push_back(write_log{
        &events::attempt_refused,
        {{"request", request.id}, {"target", message.id.target}, {"reason", message.reason}}});
    remove_dispatch(context.core->routing, request.attempt->target,
                    request.attempt->dispatch_number);
    request.attempt.reset();
    request.tried_targets.push_back(message.id.target);
    retry_or_give_up(context, request, attempt_outcome::not_run);
}

void handle_status(event_context& context, entry_request& request, agent_status const& message) {
    if (!is_current_attempt(request, message.id)) {
        return;
    }
    record_agent_message(context, request);
    if (never_runs(message.state)) {
        handle_refusal(context, request, {message.id, "voided", {}, {}});
        return;
    }
    if (message.state == attempt_state::unknown) {
        // The start message was lost. The agent runs an attempt at most once, so sending it again
        // is safe.
        context.actions.push_back(
            send_to_agent{address_of(*context.core, message.id),
                          make_attempt_request(context, request, message.id, request.start_by)});
        return;
    }
    if (message.state == attempt_state::other_incarnation) {
        handle_lost_attempt(context, request, attempt_outcome::target_lost, "target_restarted");
        return;
    }
    request.attempt->started |= message.state != attempt_state::queued;
    if (message.state == attempt_state::queued || message.state == attempt_state::running) {
        note_attempt_alive(request.answer);
    }
}

void handle_chunk(event_context& context, entry_request& request, agent_chunk const& message) {
    if (!is_current_attempt(request, message.id)) {
        return;
    }
    record_agent_message(context, request);
    request.attempt->started = true;
    if (message.status >= server_error || differs_from_stream(request, message.status)) {
        return; // The end message decides about a retry; no part of an error response is forwarded.
    }
    request.status = message.status;
    request.content_type = message.content_type;
    apply_answer(context, request,
                 on_chunk(request.answer, message.id, message.offset, message.bytes, context.now));
}

void handle_end(event_context& context, entry_request& request, agent_end const& message) {
    if (!is_current_attempt(request, message.id)) {
        return;
    }
    record_agent_message(context, request);
    request.attempt->started = true;
    if (message.state != attempt_state::done) {
        handle_lost_attempt(context, request, attempt_outcome::target_lost,
                            message.state == attempt_state::crashed ? "engine_crashed"
                                                                    : "cancelled");
        return;
    }
    if (message.status >= server_error) {
        handle_lost_attempt(context, request, attempt_outcome::server_error,
                            "engine_status_" + std::to_string(message.status));
        return;
    }
    if (differs_from_stream(request, message.status)) {
        handle_lost_attempt(context, request, attempt_outcome::client_error,
                            "engine_status_" + std::to_string(message.status));
        return;
    }
    request.status = message.status;
    request.content_type = message.content_type;
    apply_answer(context, request,
                 on_end(request.answer, message.id, message.total_bytes, context.now));
}

void handle_lost_attempt(event_context& context, entry_request& request, attempt_outcome outcome,
                         std::string const& reason) {
    attempt_ref const id = request.attempt->id;
    bool const started = request.attempt->started;
    context.actions.push_back(
        write_log{&events::attempt_failed,
                  {{"request", request.id}, {"target", id.target}, {"reason", reason}}});
    end_attempt(context, request, attempt_query_kind::cancel);
    request.may_have_run = true;
    request.tried_targets.push_back(id.target);
    if (outcome == attempt_outcome::target_lost && request.run_alone && started) {
        // It ran with no other request beside it, so it is held responsible; control quarantines
        // it too.
        refuse_request(context, request,
                       {request_outcome::failed, http_status::unprocessable, "crashed_alone",
                        "this request crashed the targets that ran it; change it or ask an "
                        "operator to release it",
                        duration::zero()});
        return;
    }
    // From now on no other request runs beside one whose target died.
    request.run_alone |= outcome == attempt_outcome::target_lost;
    // An error response may differ in the next attempt, so only a successful one is continued.
    bool const may_resume = request.stream_status < client_error;
    if (on_attempt_lost(request.answer, may_resume) == continue_from::nowhere) {
        refuse_request(context, request,
                       {request_outcome::failed, http_status::bad_gateway, reason,
                        "the answer broke off; send the request again", default_retry_after});
        return;
    }
    retry_or_give_up(context, request, outcome);
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
    due = std::min(
        {due, attempt.last_heard_at + loss_timeout, attempt.last_queried_at + query_after});
    return std::min(due, next_resend(request.answer, attempt.last_heard_at + query_after));
}

void tick_request(event_context& context, entry_request& request) {
    if (context.now >= request.deadline) {
        expire_request(context, request);
        return;
    }
    if (request.retry_at && context.now >= *request.retry_at) {
        send_next_attempt(context, request);
        return;
    }
    if (!request.attempt) {
        return;
    }
    running_attempt& attempt = *request.attempt;
    duration const silence = context.now - attempt.last_heard_at;
    if (silence >= loss_timeout) {
        handle_lost_attempt(context, request, attempt_outcome::timed_out, "agent_silent");
        return;
    }
    if (context.now - attempt.last_queried_at >= query_after) {
        attempt.last_queried_at = context.now;
        send_query(context, attempt.id, attempt_query_kind::query);
    }
    apply_answer(context, request,
                 tick_answer(request.answer, silence >= query_after, context.now));
}

} // namespace fireflycrank
