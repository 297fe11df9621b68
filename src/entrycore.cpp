#include "entrycore.h"

#include "entryinternal.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// Prefix index entries checked per tick; a full index is checked in about 30 s.
constexpr std::size_t max_aged_entries_per_tick = 64;

std::vector<std::string> request_ids(entry_core const& core) {
    std::vector<std::string> ids;
    ids.reserve(core.requests.size());
    for (auto const& [id, request] : core.requests) {
        ids.push_back(id);
    }
    return ids;
}

// Calls a function with a request, if it exists, and updates the index. The function may erase the
// request.
template <class function>
void with_request(event_context& context, std::string const& id, function&& act) {
    auto const found = context.core->requests.find(id);
    if (found != context.core->requests.end()) {
        ++context.core->requests_visited;
        act(found->second);
        update_request_index(context, id);
    }
}

attempt_ref const& attempt_of(attempt_refusal const& message) {
    return message.id;
}
attempt_ref const& attempt_of(agent_status const& message) {
    return message.id;
}
attempt_ref const& attempt_of(agent_chunk const& message) {
    return message.id;
}
attempt_ref const& attempt_of(agent_end const& message) {
    return message.id;
}

order_event to_order_event(attempt_refusal const& message) {
    return agent_status{message.id, attempt_state::refused};
}
order_event to_order_event(agent_status const& message) {
    return message;
}
order_event to_order_event(agent_chunk const& message) {
    return message;
}
order_event to_order_event(agent_end const& message) {
    return message;
}

void handle_message(event_context& context, entry_request& request,
                    attempt_refusal const& message) {
    handle_refusal(context, request, message);
}
void handle_message(event_context& context, entry_request& request, agent_status const& message) {
    handle_status(context, request, message);
}
void handle_message(event_context& context, entry_request& request, agent_chunk const& message) {
    handle_chunk(context, request, message);
}
void handle_message(event_context& context, entry_request& request, agent_end const& message) {
    handle_end(context, request, message);
}

// The requests that a message about an attempt concerns: the one that started the attempt, and
// orders that took the attempt over from it, at this entry or from another.
std::vector<std::string> affected_requests(entry_core const& core, attempt_ref const& id) {
    std::vector<std::string> ids = requests_for_source(core.index, id.request_id);
    if (core.requests.contains(id.request_id) &&
        std::find(ids.begin(), ids.end(), id.request_id) == ids.end()) {
        ids.push_back(id.request_id);
    }
    return ids;
}

bool is_target_alive(entry_core const& core, std::string const& name, std::uint64_t incarnation) {
    target_index const target = find_target(core.routing, name);
    return target != no_target && core.routing.targets[target].info.incarnation == incarnation;
}

// Whether the target's agent reported that the order has started, and not yet that it ended.
bool is_running_on(order_flow const& flow, std::string const& target, std::uint64_t incarnation) {
    return flow.phase == order_phase::awaiting && flow.begun && !flow.end &&
           flow.attempt.target == target && flow.attempt.incarnation == incarnation;
}

} // namespace

entry_actions on_caller_disconnected(entry_core& core, std::string const& id, time_point now,
                                     wall_time wall) {
    event_context context{&core, now, wall, {}};
    with_request(context, id, [&context](entry_request& request) {
        context.actions.push_back(write_log{&events::caller_gone, {{"request", request.id}}});
        if (request.order) {
            // The order ends in the background without an answer to the caller, so the request is
            // closed here.
            if (!request.closed) {
                close_request(context, request, request_outcome::failed, "caller_gone");
            }
            advance_order(context, request, caller_gone{});
            return;
        }
        if (request.attempt) {
            target_index const target =
                find_target(context.core->routing, request.attempt->id.target);
            remove_dispatch(context.core->routing, request.attempt->target,
                            request.attempt->dispatch_number);
            if (target != no_target) {
                context.actions.push_back(
                    send_to_agent{context.core->routing.targets[target].info.address,
                                  attempt_query{attempt_query_kind::cancel, request.attempt->id,
                                                request.start_by, 0}});
            }
        }
        close_request(context, request, request_outcome::failed, "caller_gone");
    });
    return std::move(context.actions);
}

entry_actions
on_agent_message(entry_core& core,
                 std::variant<attempt_refusal, agent_status, agent_chunk, agent_end> const& message,
                 time_point now, wall_time wall) {
    event_context context{&core, now, wall, {}};
    std::visit(
        [&context](auto const& received) {
            for (std::string const& id : affected_requests(*context.core, attempt_of(received))) {
                with_request(context, id, [&context, &received](entry_request& request) {
                    if (request.order) {
                        advance_order(context, request, to_order_event(received));
                    } else {
                        handle_message(context, request, received);
                    }
                });
            }
        },
        message);
    return std::move(context.actions);
}

entry_actions on_claim_reply(entry_core& core, std::string const& command_id,
                             std::optional<claim_reply> const& reply, time_point now,
                             wall_time wall) {
    event_context context{&core, now, wall, {}};
    with_request(context, request_for_command(core.index, command_id), [&](entry_request& request) {
        if (!reply) {
            advance_order(context, request, control_failed{command_id, std::nullopt});
            return;
        }
        attempt_ref const& bound = reply->view.attempt;
        advance_order(context, request,
                      control_replied{command_id, *reply,
                                      is_target_alive(core, bound.target, bound.incarnation),
                                      core.live_owners.contains(reply->view.owner)});
    });
    return std::move(context.actions);
}

void on_target_update(entry_core& core, target_info const& info, bool suspected, time_point now) {
    mark_suspected(core.routing, upsert_target(core.routing, info, now), suspected);
}

entry_actions on_target_lost(entry_core& core, std::string const& target, std::uint64_t incarnation,
                             time_point now, wall_time wall) {
    event_context context{&core, now, wall, {}};
    std::vector<running_fingerprint> running;
    for (std::string const& id : request_ids(core)) {
        with_request(context, id, [&](entry_request& request) {
            if (request.order) {
                if (is_running_on(*request.order, target, incarnation)) {
                    running.push_back({request.fingerprint, request.run_alone});
                }
                advance_order(context, request, target_died{target, incarnation});
                return;
            }
            if (request.attempt && request.attempt->id.target == target &&
                request.attempt->id.incarnation == incarnation) {
                if (request.attempt->started) {
                    running.push_back({request.fingerprint, request.run_alone});
                }
                handle_lost_attempt(context, request, attempt_outcome::target_lost, "target_died");
            }
        });
    }
    if (!running.empty()) {
        context.actions.push_back(send_quarantine{
            {wall, make_target_death_report(target, incarnation, std::move(running))}});
    }
    target_index const index = find_target(core.routing, target);
    if (index != no_target && core.routing.targets[index].info.incarnation == incarnation) {
        remove_target_cache(core.cache_view, index); // The index is reused.
        erase_target(core.routing, target);
    }
    return std::move(context.actions);
}

void on_target_load(entry_core& core, std::string const& target, std::uint64_t incarnation,
                    target_load const& load, time_point measured_at) {
    target_index const index = find_target(core.routing, target);
    if (index != no_target) {
        record_load_report(core.routing, index, incarnation, load, measured_at);
    }
}

entry_actions on_cache_update(entry_core& core, cache_news const& update, time_point now) {
    target_index const index = find_target(core.routing, update.target);
    if (index == no_target || core.routing.targets[index].info.incarnation != update.incarnation ||
        !apply_cache_update(core.cache_view, index, update, now)) {
        return {};
    }
    return {request_cache_listing{core.routing.targets[index].info.address}};
}

entry_actions on_entry_tick(entry_core& core, time_point now, wall_time wall) {
    event_context context{&core, now, wall, {}};
    age_out(core.cache_view.index, now, max_aged_entries_per_tick);
    for (std::string const& id : due_requests(core.index, now)) {
        with_request(context, id, [&context](entry_request& request) {
            if (request.order) {
                advance_order(context, request, flow_tick{});
            } else {
                tick_request(context, request);
            }
        });
    }
    return std::move(context.actions);
}

} // namespace fireflycrank
