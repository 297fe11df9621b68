// Orders at the entry: performs the actions of an order's state machine (orderflow.h) through
// routing, agents, control and the caller.

#include "entryinternal.h"
#include "orderkey.h"

namespace fireflycrank {

namespace {

constexpr duration order_retry_after = std::chrono::seconds{2};

std::string owner_name(entry_core const& core) {
    return core.name + "/" + std::to_string(core.incarnation);
}

order_key_rule key_rule_of(route_config const& route) {
    key_source const source =
        route.order_key.source == order_key_source::header ? key_source::header
        : route.order_key.source == order_key_source::json ? key_source::json_field
                                                           : key_source::digest;
    std::string name = route.order_key.name;
    if (source == key_source::json_field && !name.empty() && name.front() != '/') {
        name.insert(name.begin(), '/');
    }
    return {source, std::move(name), route.order_key.window, false};
}

refusal order_refusal(order_answer outcome) {
    switch (outcome) {
    case order_answer::in_progress:
        return {request_outcome::outcome_unknown, http_status::conflict, "in_progress",
                "the order is running; ask again to receive its answer", order_retry_after};
    case order_answer::not_run:
        return {request_outcome::not_run, http_status::unavailable, "not_run",
                "the order was not run; send it again after the given time", order_retry_after};
    case order_answer::conflict:
        return {request_outcome::not_run, http_status::conflict, "key_conflict",
                "another order with a different body has this key; use a new key",
                duration::zero()};
    case order_answer::already_run:
        return {request_outcome::failed, http_status::conflict, "already_run",
                "the order ran earlier; its answer is no longer stored", duration::zero()};
    case order_answer::response:
    case order_answer::outcome_unknown:
        break;
    }
    return {request_outcome::outcome_unknown, http_status::bad_gateway, "outcome_unknown",
            "the order may have run; check before ordering again under another key",
            duration::zero()};
}

void send_to_target(event_context& context, entry_request const& request,
                    send_agent const& message) {
    target_index const target = find_target(context.core->routing, message.id.target);
    if (target == no_target) {
        return;
    }
    std::string const& address = context.core->routing.targets[target].info.address;
    if (message.what == agent_request::start) {
        context.actions.push_back(send_to_agent{
            address, make_attempt_request(context, request, message.id, message.start_by)});
        return;
    }
    static_assert(static_cast<int>(agent_request::void_start) == 1);
    attempt_query_kind const kind =
        message.what == agent_request::void_start ? attempt_query_kind::void_start
        : message.what == agent_request::query    ? attempt_query_kind::query
        : message.what == agent_request::resend   ? attempt_query_kind::resend
                                                  : attempt_query_kind::release;
    context.actions.push_back(
        send_to_agent{address, attempt_query{kind, message.id, message.start_by, message.offset}});
}

std::optional<order_target> choose_order_target(event_context& context, entry_request& request,
                                                std::string const& avoid) {
    if (!avoid.empty()) {
        request.tried_targets.push_back(avoid);
    }
    route_decision const decision = choose_request_target(context, request);
    if (decision.target == no_target) {
        return std::nullopt;
    }
    ++request.attempts;
    target_info const& info = context.core->routing.targets[decision.target].info;
    return order_target{info.name, info.incarnation};
}

void send_order_answer(event_context& context, entry_request& request,
                       answer_caller const& answer) {
    if (request.closed) {
        return;
    }
    if (answer.outcome != order_answer::response) {
        refuse_request(context, request, order_refusal(answer.outcome));
        return;
    }
    answer_request(context, request, answer.response.status, answer.response.content_type,
                   answer.response.body);
}

// Without a control majority nothing can be claimed. An order that this entry knows to be claimed
// may have run in an earlier call, so it must not be reported as not_run.
void refuse_without_majority(event_context& context, entry_request& request,
                             std::optional<claim_view> const& remembered) {
    if (remembered && remembered->state != claim_state::voided) {
        refuse_request(context, request, order_refusal(order_answer::outcome_unknown));
        return;
    }
    refuse_request(context, request,
                   {request_outcome::not_run, http_status::unavailable, "no_majority",
                    "this call was not run, because orders need a control majority; send it again "
                    "after the given time",
                    order_retry_after});
}

// Performs the actions of an order; choosing a target leads to further actions of the same order.
void perform_order_actions(event_context& context, entry_request& request,
                           std::vector<order_action> const& order_actions) {
    for (order_action const& action : order_actions) {
        if (auto const* control = std::get_if<send_control>(&action)) {
            context.actions.push_back(send_claim{control->command});
        } else if (auto const* agent = std::get_if<send_agent>(&action)) {
            send_to_target(context, request, *agent);
        } else if (auto const* choice = std::get_if<request_target>(&action)) {
            target_chosen const chosen{choose_order_target(context, request, choice->avoid)};
            perform_order_actions(context, request,
                                  step_order(*request.order, chosen, context.now, context.wall));
        } else if (auto const* answer = std::get_if<answer_caller>(&action)) {
            send_order_answer(context, request, *answer);
        }
    }
}

request_keys keys_of(event_context const& context, entry_request const& request) {
    if (!request.order) {
        return {next_tick_time(request), "", ""};
    }
    order_flow const& flow = *request.order;
    return {request.last_event_was_tick ? next_order_tick(flow, context.now) : context.now,
            flow.pending ? flow.pending->id : "",
            flow.attempt.request_id == request.id ? "" : flow.attempt.request_id};
}

} // namespace

void update_request_index(event_context& context, std::string const& id) {
    auto const found = context.core->requests.find(id);
    update_index(context.core->index, id,
                 found == context.core->requests.end()
                     ? std::nullopt
                     : std::optional{keys_of(context, found->second)});
}

void start_order(event_context& context, entry_request& request) {
    entry_core& core = *context.core;
    auto const key = make_order_key(
        key_rule_of(request.route),
        {request.call.team, request.route.name, request.call.order_key_header, request.call.body});
    if (!key) {
        refuse_request(context, request,
                       {request_outcome::not_run, http_status::bad_request,
                        name_of(key.error().kind), key.error().message + "; " + key.error().remedy,
                        duration::zero()});
        return;
    }
    auto const remembered = recall_order(core.known_orders, key.value().key);
    if (!core.orders_possible) {
        refuse_without_majority(context, request, remembered);
        return;
    }
    auto const first = choose_order_target(context, request, "");
    if (!first) {
        refuse_request(context, request,
                       {request_outcome::not_run, http_status::unavailable, "no_target",
                        "no target can take the order now", order_retry_after});
        return;
    }
    context.actions.push_back(
        write_log{&events::order_claimed,
                  {{"request", request.id}, {"key", key.value().key}, {"target", first->target}}});
    order_request order;
    order.key = key.value().key;
    order.body_digest = key.value().body_digest;
    order.window = key.value().window;
    order.request_id = request.id;
    order.owner = owner_name(core);
    order.deadline = request.deadline;
    order.start_by = request.start_by;
    order.remembered = remembered;
    std::vector<order_action> actions;
    request.order = begin_order(std::move(order), order_timing{}, *first, context.now, actions);
    remember_order(core.known_orders, *request.order);
    perform_order_actions(context, request, actions);
}

void advance_order(event_context& context, entry_request& request, order_event const& event) {
    request.last_event_was_tick = std::holds_alternative<flow_tick>(event);
    auto const actions = step_order(*request.order, event, context.now, context.wall);
    remember_order(context.core->known_orders, *request.order);
    perform_order_actions(context, request, actions);
    if (request.order->phase == order_phase::over && request.closed) {
        context.core->requests.erase(request.id);
    }
}

} // namespace fireflycrank
