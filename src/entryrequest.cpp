// Arrival, admission, routing and final answers of requests at the entry.

#include "entryinternal.h"
#include "orderkey.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fireflycrank {

namespace {

constexpr duration no_target_retry_after = std::chrono::seconds{1};
constexpr duration not_serving_retry_after = std::chrono::seconds{2};

std::int64_t to_millis(duration length) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

// Rounds up to whole seconds, the unit of the Retry-After header.
std::int64_t to_seconds_up(duration length) {
    return std::chrono::ceil<std::chrono::seconds>(length).count();
}

std::string refusal_body(std::string const& id, refusal const& why) {
    nlohmann::json body{
        {"outcome", name_of(why.outcome)}, {"reason", why.reason}, {"message", why.message}};
    if (!id.empty()) {
        body["request_id"] = id;
    }
    if (why.retry_after > duration::zero()) {
        body["retry_after_ms"] = to_millis(why.retry_after);
    }
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

http_headers refusal_headers(std::string const& id, refusal const& why) {
    http_headers headers{{"content-type", "application/json"},
                         {"x-request-id", id},
                         {"x-outcome", name_of(why.outcome)}};
    if (why.retry_after > duration::zero()) {
        headers["retry-after"] = std::to_string(to_seconds_up(why.retry_after));
    }
    return headers;
}

// Refuses a request that is not stored in entry_core::requests.
void refuse_new_request(event_context& context, std::string const& id, std::string const& route,
                        refusal const& why) {
    context.actions.push_back(
        send_response{id, why.status, refusal_headers(id, why), refusal_body(id, why)});
    context.actions.push_back(write_log{&events::request_refused,
                                        {{"request", id},
                                         {"route", route},
                                         {"outcome", name_of(why.outcome)},
                                         {"reason", why.reason}}});
    context.actions.push_back(request_finished{route, "", why.outcome, duration::zero(), 0});
}

int status_of(error_kind kind) {
    return kind == error_kind::unknown_route ? http_status::not_found : http_status::bad_request;
}

// Refusal of any request while the entry can't serve; empty while it can.
std::optional<refusal> serving_refusal(entry_core const& core) {
    if (!core.serving) {
        return refusal{request_outcome::not_run, http_status::unavailable, "not_serving",
                       "this entry has no confirmed configuration; use another address",
                       not_serving_retry_after};
    }
    if (core.drain.phase == drain_phase::finishing || core.drain.phase == drain_phase::stopped) {
        return refusal{request_outcome::not_run, http_status::unavailable, "leaving",
                       "this entry is stopping; ask for the addresses again",
                       no_target_retry_after};
    }
    return std::nullopt;
}

std::string make_request_id(entry_core& core) {
    return core.name + "-" + std::to_string(core.incarnation) + "-" +
           std::to_string(core.next_request_number++);
}

entry_request make_request(event_context& context, std::string const& id, caller_request call) {
    entry_core& core = *context.core;
    entry_request request;
    request.id = id;
    request.route = core.configuration.routes.at(call.route);
    request.received_at = context.now;
    request.deadline = context.now + request.route.deadline;
    request.start_by = context.wall + request.route.deadline;
    request.estimate =
        estimate_work(core.work_estimator, call.route, call.prompt_tokens, 0, call.output_limit);
    request.estimate.is_long = request.estimate.work >= request.route.long_work_tokens;
    request.fingerprint = order_fingerprint(call.route, call.body);
    request.prompt_block_hashes =
        hash_prompt_blocks(core.configuration, request.route, call.prompt);
    call.prompt = {}; // The body still contains it.
    request.answer.stream = call.stream;
    request.answer.resumable = request.route.resumable;
    request.call = std::move(call);
    return request;
}

refusal admission_refusal(admission_result const& result) {
    bool const team_limit = result.reason == admission_reason::rate_limited ||
                            result.reason == admission_reason::in_flight_limit;
    return {request_outcome::not_run, team_limit ? http_status::too_many : http_status::unavailable,
            name_of(result.reason), "send the request again after the given time",
            result.retry_after};
}

// Admits a request by its team's limits and share. The expected wait is the mean over the targets.
bool admit_request(event_context& context, entry_request& request) {
    entry_core& core = *context.core;
    admission_request candidate;
    candidate.team = request.call.team;
    candidate.work = request.estimate.work;
    auto const team = core.configuration.teams.find(request.call.team);
    candidate.priority = request.route.priority +
                         (team == core.configuration.teams.end() ? 0 : team->second.priority);
    candidate.deadline = request.deadline;
    candidate.mean_queue_wait = mean_queue_wait(core.routing, request.route.serves);
    candidate.expected_wait = candidate.mean_queue_wait;
    admission_result const result = admit(core.admission, candidate, core.random, context.now);
    if (result.admitted) {
        return true;
    }
    refusal const why = admission_refusal(result);
    refuse_new_request(context, request.id, request.route.name, why);
    return false;
}

// Applies control's quarantine of requests that crash targets.
bool quarantine_allows(event_context& context, entry_request& request) {
    auto const verdict = judge(context.core->quarantine, request.fingerprint, context.wall);
    request.run_alone = verdict == quarantine_verdict::alone;
    if (verdict != quarantine_verdict::refuse) {
        return true;
    }
    refuse_new_request(
        context, request.id, request.route.name,
        {request_outcome::failed, http_status::unprocessable, "quarantined",
         "this request crashed the targets that ran it; change it or ask an operator to "
         "release it",
         duration::zero()});
    return false;
}

// The work of a request at one target, which may have part of the prompt cached.
double work_at_target(entry_core const& core, entry_request const& request,
                      std::vector<prefix_match> const& matches, target_index target) {
    auto const match =
        std::find_if(matches.begin(), matches.end(),
                     [target](auto const& candidate) { return candidate.target == target; });
    if (match == matches.end()) {
        return request.estimate.work;
    }
    return estimate_work(core.work_estimator, request.route.name, request.call.prompt_tokens,
                         match->tokens, request.call.output_limit)
        .work;
}

void start_request(event_context& context, entry_request& request) {
    if (!request.route.idempotent) {
        start_order(context, request);
        return;
    }
    auto& budget = context.core->retry_budgets[request.route.name];
    record_first_attempt(budget, context.now);
    send_next_attempt(context, request);
}

} // namespace

char const* name_of(request_outcome outcome) {
    switch (outcome) {
    case request_outcome::answered:
        return "answered";
    case request_outcome::not_run:
        return "not_run";
    case request_outcome::outcome_unknown:
        return "outcome_unknown";
    case request_outcome::failed:
        return "failed";
    }
    return "failed";
}

http_headers answer_headers(entry_request const& request) {
    return {{"x-request-id", request.id}, {"x-outcome", "answered"}};
}

void apply_config(entry_core& core, config const& configuration, std::uint64_t revision) {
    core.configuration = configuration;
    core.config_revision = revision;
    core.admission.policies.clear();
    for (auto const& [name, team] : configuration.teams) {
        team_policy policy;
        policy.weight = team.weight;
        policy.max_requests_per_s = team.requests_per_s;
        policy.max_in_flight = team.max_in_flight;
        core.admission.policies.emplace(name, policy);
    }
    for (auto const& [name, route] : configuration.routes) {
        core.retry_budgets[name].settings.retry_ratio = configuration.limits.retry_budget;
    }
    std::erase_if(core.retry_budgets, [&configuration](auto const& entry) {
        return !configuration.routes.contains(entry.first);
    });
    core.drain.settings.address_time_to_live = configuration.limits.address_ttl;
}

entry_actions on_caller_request(entry_core& core, http_request const& request, time_point now,
                                wall_time wall, std::string& id) {
    event_context context{&core, now, wall, {}};
    id = make_request_id(core);
    if (auto const why = serving_refusal(core)) {
        refuse_new_request(context, id, "", *why);
        return std::move(context.actions);
    }
    auto parsed = parse_caller_request(core.configuration, request);
    if (!parsed) {
        refuse_new_request(
            context, id, "",
            {request_outcome::not_run, status_of(parsed.error().kind), name_of(parsed.error().kind),
             parsed.error().message + "; " + parsed.error().remedy, duration::zero()});
        return std::move(context.actions);
    }
    entry_request created = make_request(context, id, std::move(parsed.value()));
    context.actions.push_back(write_log{&events::request_received,
                                        {{"request", id},
                                         {"route", created.route.name},
                                         {"team", created.call.team},
                                         {"work", created.estimate.work},
                                         {"long", created.estimate.is_long}}});
    if (!quarantine_allows(context, created) || !admit_request(context, created)) {
        return std::move(context.actions);
    }
    auto& stored = core.requests.emplace(id, std::move(created)).first->second;
    start_request(context, stored);
    update_request_index(context, id);
    return std::move(context.actions);
}

void close_request(event_context& context, entry_request& request, request_outcome outcome,
                   std::string const& reason) {
    request.closed = true;
    bool const served = outcome == request_outcome::answered;
    release_admission(context.core->admission, request.call.team, request.estimate.work, served,
                      context.now);
    duration const took = context.now - request.received_at;
    context.actions.push_back(
        write_log{served ? &events::request_answered : &events::request_refused,
                  {{"request", request.id},
                   {"route", request.route.name},
                   {"team", request.call.team},
                   {"outcome", name_of(outcome)},
                   {"reason", reason},
                   {"attempts", request.attempts},
                   {"took_ms", to_millis(took)}}});
    context.actions.push_back(
        request_finished{request.route.name, request.call.team, outcome, took, request.attempts});
    if (!request.order) {
        context.core->requests.erase(request.id);
    }
}

void refuse_request(event_context& context, entry_request& request, refusal const& why) {
    std::string const id = request.id;
    if (request.stream_started) {
        // The caller has received part of a stream: it ends with an error event and an incomplete
        // body.
        context.actions.push_back(stream_response{
            id, stream_part::bytes, 0, {}, "event: error\ndata: " + refusal_body(id, why) + "\n"});
        context.actions.push_back(stream_response{id, stream_part::abort, 0, {}, ""});
        context.actions.push_back(
            write_log{&events::answer_broken, {{"request", id}, {"reason", why.reason}}});
    } else {
        context.actions.push_back(
            send_response{id, why.status, refusal_headers(id, why), refusal_body(id, why)});
    }
    close_request(context, request, why.outcome, why.reason);
}

void answer_request(event_context& context, entry_request& request, std::uint32_t status,
                    std::string const& content_type, std::string body) {
    http_headers headers = answer_headers(request);
    headers["content-type"] = content_type;
    context.actions.push_back(
        send_response{request.id, static_cast<int>(status), std::move(headers), std::move(body)});
    close_request(context, request, request_outcome::answered, "complete");
}

route_decision choose_request_target(event_context& context, entry_request& request) {
    entry_core& core = *context.core;
    route_request query;
    query.serves = request.route.version.empty()
                       ? request.route.serves
                       : request.route.serves + "@" + request.route.version;
    query.adapter = request.route.adapter;
    query.work = request.estimate.work;
    query.is_long = request.estimate.is_long;
    query.prefix_matches =
        find_prefix(core.cache_view.index, request.prompt_block_hashes, context.now);
    for (std::string const& name : request.tried_targets) {
        query.excluded_targets.push_back(find_target(core.routing, name));
    }
    route_decision const decision = choose_target(core.routing, query, core.random, context.now);
    request.attempt_work = work_at_target(core, request, query.prefix_matches, decision.target);
    bool const found = decision.target != no_target;
    context.actions.push_back(
        write_log{found ? &events::route_chosen : &events::route_impossible,
                  {{"request", request.id},
                   {"route", request.route.name},
                   {"target", found ? core.routing.targets[decision.target].info.name : ""},
                   {"reason", name_of(decision.reason)},
                   {"attempt", request.attempts + 1},
                   {"candidates", describe(core.routing, decision)}}});
    return decision;
}

attempt_request make_attempt_request(event_context const& context, entry_request const& request,
                                     attempt_ref const& id, wall_time start_by) {
    entry_core const& core = *context.core;
    attempt_request message;
    message.start = {id, start_by, !request.route.idempotent, request.run_alone,
                     request.fingerprint};
    message.route = request.route.name;
    message.team = request.call.team;
    auto const team = core.configuration.teams.find(request.call.team);
    message.team_weight = team == core.configuration.teams.end() ? 1 : team->second.weight;
    message.priority = request.route.priority +
                       (team == core.configuration.teams.end() ? 0 : team->second.priority);
    message.method = request.call.method;
    message.path = request.route.path;
    message.content_type = request.call.content_type;
    message.body = request.call.body;
    message.stream = request.call.stream;
    message.work = request.attempt_work;
    message.is_long = request.estimate.is_long;
    message.time_left =
        std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - context.now);
    return message;
}

void send_next_attempt(event_context& context, entry_request& request) {
    entry_core& core = *context.core;
    route_decision const decision = choose_request_target(context, request);
    if (decision.target == no_target) {
        bool const ran = request.may_have_run;
        refuse_request(
            context, request,
            {ran ? request_outcome::outcome_unknown : request_outcome::not_run,
             http_status::unavailable, name_of(decision.reason),
             "no target can take the request now",
             jitter_retry_after(core.admission.settings, no_target_retry_after, core.random)});
        return;
    }
    target_state const& target = core.routing.targets[decision.target];
    running_attempt attempt;
    attempt.id = {request.id, ++request.attempts, target.info.name, target.info.incarnation};
    attempt.target = decision.target;
    attempt.dispatch_number = core.next_dispatch_number++;
    attempt.sent_at = context.now;
    attempt.last_heard_at = context.now;
    attempt.last_queried_at = context.now;
    record_dispatch(core.routing, attempt.target, attempt.dispatch_number, request.attempt_work,
                    request.estimate.is_long, context.now);
    begin_attempt(
        request.answer,
        {attempt.id.request_id, attempt.id.number, attempt.id.target, attempt.id.incarnation},
        request.answer.passed_on > 0, context.now);
    request.retry_at.reset();
    request.status = 0;
    context.actions.push_back(send_to_agent{
        target.info.address, make_attempt_request(context, request, attempt.id, request.start_by)});
    request.attempt = std::move(attempt);
}

} // namespace fireflycrank
