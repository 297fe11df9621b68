#include "orderagent.h"

#include "drain.h"
#include "utf8.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace fireflycrank {

namespace {

constexpr duration fence_read_patience = std::chrono::seconds{2};
constexpr int ok_status = 200;
constexpr int conflict_status = 409;

char const* name_of(target_order_kind kind) {
    switch (kind) {
    case target_order_kind::load_model:
        return "load_model";
    case target_order_kind::unload_model:
        return "unload_model";
    case target_order_kind::load_adapter:
        return "load_adapter";
    case target_order_kind::unload_adapter:
        return "unload_adapter";
    case target_order_kind::load_version:
        return "load_version";
    case target_order_kind::change_role:
        return "change_role";
    case target_order_kind::switch_map:
        return "switch_map";
    }
    return "unknown";
}

char const* name_of(applied_outcome outcome) {
    switch (outcome) {
    case applied_outcome::done:
        return "done";
    case applied_outcome::failed:
        return "failed";
    case applied_outcome::stale_fence:
        return "stale_fence";
    case applied_outcome::fence_unknown:
        return "fence_unknown";
    case applied_outcome::restarted:
        return "restarted";
    case applied_outcome::wrong_target:
        return "wrong_target";
    case applied_outcome::id_conflict:
        return "id_conflict";
    case applied_outcome::forgotten:
        return "forgotten";
    }
    return "unknown";
}

// What is loaded after an order that the engine has accepted.
void change_loaded(std::vector<std::string>& loaded, target_order const& order) {
    switch (order.kind) {
    case target_order_kind::load_model:
    case target_order_kind::load_version:
        // A target holds one model: the new one replaces what was there.
        loaded = {order.argument.empty() ? order.subject : order.subject + "@" + order.argument};
        break;
    case target_order_kind::unload_model:
        std::erase_if(loaded, [&](std::string const& served) {
            return served.substr(0, served.find('@')) == order.subject;
        });
        break;
    case target_order_kind::load_adapter:
    case target_order_kind::unload_adapter:
    case target_order_kind::change_role:
    case target_order_kind::switch_map:
        break; // not part of what a member announces
    }
}

} // namespace

order_agent start_order_agent(process_config const& settings, std::uint64_t incarnation) {
    order_agent state;
    state.applier = start_order_applier(settings.name, incarnation);
    state.configured = settings.target.serves;
    state.loaded = settings.target.serves;
    return state;
}

fleet_news tick_fence(order_agent& state, fleet& net, time_point now) {
    std::uint64_t const read = begin_fence_read(state.applier.fence, now);
    if (read == 0) {
        return {};
    }
    std::string const id = next_call_id(net);
    state.fence_reads[id] = read;
    // Any linearizable read will do: its reply carries the leader's term.
    return ask_control(net, {id, "config", "", true}, fence_read_patience, now);
}

void take_fence(order_agent& state, std::string const& id,
                std::optional<control_reply> const& reply) {
    auto const found = state.fence_reads.find(id);
    if (found == state.fence_reads.end()) {
        return;
    }
    std::uint64_t const read = found->second;
    state.fence_reads.erase(found);
    if (reply && reply->accepted) {
        finish_fence_read(state.applier.fence, read, reply->term);
    }
}

std::optional<target_order_reply> take_target_order(order_agent& state, std::string const& from,
                                                    target_order_message const& message) {
    bool const known = state.applier.applied.contains(message.order.id);
    if (state.leaving && !known) {
        return std::nullopt; // sent again, to the agent's next start
    }
    auto decision = receive_target_order(state.applier, from, message);
    if (decision.run) {
        state.waiting.push_back(message.order);
    }
    if (decision.reply && decision.reply->outcome != applied_outcome::done &&
        decision.reply->outcome != applied_outcome::failed) {
        log_event(events::target_order_refused, {{"order", message.order.id},
                                                 {"fence", message.fence},
                                                 {"highest_fence", decision.reply->highest_fence},
                                                 {"reason", name_of(decision.reply->outcome)}});
    }
    return decision.reply;
}

void stop_taking_orders(order_agent& state) {
    state.leaving = true;
    std::size_t const kept = state.at_engine ? 1 : 0;
    while (state.waiting.size() > kept) {
        abandon_target_order(state.applier, state.waiting.back().id);
        state.waiting.pop_back();
    }
}

bool order_in_hand(order_agent const& state) {
    return !state.waiting.empty();
}

bool notice_over(order_agent& state, time_point now) {
    if (!state.withdrawn) {
        state.withdrawn = now;
    }
    // Entries hear of a planned stop and of a target order in the same way, so the time is equal.
    return now - *state.withdrawn >= drain_settings{}.notice;
}

std::vector<std::string> serves_now(order_agent const& state, bool engine_up) {
    return engine_up && !order_in_hand(state) ? state.loaded : std::vector<std::string>{};
}

std::optional<engine_order> next_engine_order(order_agent& state, bool idle) {
    while (idle && !state.at_engine && !state.waiting.empty()) {
        target_order const& order = state.waiting.front();
        if (!may_pass(state.applier, order.id)) {
            abandon_target_order(state.applier, order.id);
            state.waiting.pop_front();
            continue;
        }
        state.at_engine = true;
        nlohmann::json const body{{"order", order.id},
                                  {"kind", name_of(order.kind)},
                                  {"subject", order.subject},
                                  {"argument", order.argument},
                                  {"fence", state.applier.applied.at(order.id).fence}};
        return engine_order{order, body.dump()};
    }
    return std::nullopt;
}

std::optional<addressed_order_reply> finish_engine_order(order_agent& state, int status,
                                                         std::string result) {
    if (!state.at_engine) {
        return std::nullopt;
    }
    target_order const order = state.waiting.front();
    state.waiting.pop_front();
    state.at_engine = false;
    if (status == conflict_status) {
        abandon_target_order(state.applier, order.id);
        return std::nullopt;
    }
    if (!is_utf8(result)) {
        result = "the engine's answer is not UTF-8"; // the leader could not read the reply
    }
    bool const succeeded = status == ok_status;
    if (succeeded) {
        change_loaded(state.loaded, order);
    }
    log_event(events::target_order_applied, {{"order", order.id},
                                             {"subject", order.subject},
                                             {"argument", order.argument},
                                             {"fence", state.applier.applied.at(order.id).fence},
                                             {"succeeded", succeeded},
                                             {"result", result}});
    return finish_target_order(state.applier, order.id, succeeded, std::move(result));
}

void engine_restarted(order_agent& state) {
    state.loaded = state.configured;
}

} // namespace fireflycrank
