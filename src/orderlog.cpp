#include "orderlog.h"

#include <algorithm>

namespace fireflycrank {

namespace {

order_reply reply_of(order_outcome outcome, order_record const& record) {
    return {outcome, record.state, record.result};
}

order_reply apply_create(order_table& table, order_create const& command, std::uint64_t index) {
    if (command.order.id.empty() || command.order.target.empty()) {
        return {.outcome = order_outcome::malformed};
    }
    auto const [place, added] = table.orders.try_emplace(
        command.order.id,
        order_record{.order = command.order, .index = index, .created = command.at});
    if (added) {
        return reply_of(order_outcome::accepted, place->second);
    }
    bool const same = place->second.order == command.order;
    return reply_of(same ? order_outcome::repeated : order_outcome::conflict, place->second);
}

order_reply apply_finish(order_table& table, order_finish const& command) {
    if (command.state == target_order_state::pending) {
        return {.outcome = order_outcome::malformed};
    }
    auto const found = table.orders.find(command.id);
    if (found == table.orders.end()) {
        return {.outcome = order_outcome::not_found};
    }
    auto& record = found->second;
    if (record.state != target_order_state::pending) {
        return reply_of(order_outcome::repeated, record);
    }
    record.state = command.state;
    record.result = command.result;
    record.finished = command.at;
    return reply_of(order_outcome::accepted, record);
}

order_reply apply_prune(order_table& table, order_prune const& command) {
    std::erase_if(table.orders, [&command](auto const& entry) {
        return entry.second.state != target_order_state::pending &&
               entry.second.finished < command.before;
    });
    return {};
}

target_order_reply make_reply(order_applier const& applier, std::string const& id,
                              applied_outcome outcome, std::string result = {}) {
    return {.id = id,
            .target = applier.target,
            .target_incarnation = applier.incarnation,
            .outcome = outcome,
            .result = std::move(result),
            .highest_fence = applier.fence.highest};
}

target_order_reply result_reply(order_applier const& applier, applied_order const& applied) {
    auto const outcome = applied.succeeded ? applied_outcome::done : applied_outcome::failed;
    return make_reply(applier, applied.order.id, outcome, applied.result);
}

// Drops the oldest finished orders by log index. What is dropped is never run again: its index is
// remembered.
void forget_oldest(order_applier& applier) {
    while (applier.applied.size() > applier.remembered) {
        auto oldest = applier.applied.end();
        for (auto place = applier.applied.begin(); place != applier.applied.end(); ++place) {
            if (place->second.finished &&
                (oldest == applier.applied.end() || place->second.index < oldest->second.index)) {
                oldest = place;
            }
        }
        if (oldest == applier.applied.end()) {
            return;
        }
        applier.forgotten_index = std::max(applier.forgotten_index, oldest->second.index);
        applier.applied.erase(oldest);
    }
}

// Reasons not to run a target order, apart from having run it before.
std::optional<applied_outcome> refusal(order_applier& applier,
                                       target_order_message const& message) {
    if (message.order.target != applier.target) {
        return applied_outcome::wrong_target;
    }
    auto const verdict = judge_fence(applier.fence, message.fence);
    if (verdict == fence_verdict::stale) {
        return applied_outcome::stale_fence;
    }
    if (message.order.target_incarnation != applier.incarnation) {
        return applied_outcome::restarted;
    }
    if (verdict == fence_verdict::unknown) {
        return applied_outcome::fence_unknown;
    }
    return std::nullopt;
}

duration retry_delay(order_sender& sender, std::uint32_t sent) {
    duration delay = sender.options.first_retry;
    for (std::uint32_t step = 1; step < sent && delay < sender.options.last_retry; ++step) {
        delay *= 2;
    }
    delay = std::min(delay, sender.options.last_retry);
    double const jitter = 0.75 + (next_unit(sender.random) / 2);
    return duration{static_cast<std::int64_t>(double(delay.count()) * jitter)};
}

} // namespace

order_reply apply(order_table& table, order_command const& command, std::uint64_t index) {
    if (auto const* create = std::get_if<order_create>(&command)) {
        return apply_create(table, *create, index);
    }
    if (auto const* finish = std::get_if<order_finish>(&command)) {
        return apply_finish(table, *finish);
    }
    return apply_prune(table, std::get<order_prune>(command));
}

order_applier start_order_applier(std::string target, std::uint64_t incarnation) {
    order_applier applier;
    applier.target = std::move(target);
    applier.incarnation = incarnation;
    applier.fence = start_fence(incarnation);
    return applier;
}

order_decision receive_target_order(order_applier& applier, std::string const& from,
                                    target_order_message const& message) {
    auto const& order = message.order;
    if (auto const reason = refusal(applier, message)) {
        return {.reply = make_reply(applier, order.id, *reason)};
    }
    auto const known = applier.applied.find(order.id);
    if (known != applier.applied.end()) {
        auto& applied = known->second;
        if (applied.order != order) {
            return {.reply = make_reply(applier, order.id, applied_outcome::id_conflict)};
        }
        applied.reply_to = from;
        applied.fence = message.fence;
        if (!applied.finished) {
            return {};
        }
        return {.reply = result_reply(applier, applied)};
    }
    if (message.index <= applier.forgotten_index) {
        return {.reply = make_reply(applier, order.id, applied_outcome::forgotten)};
    }
    applier.applied[order.id] = {
        .order = order, .fence = message.fence, .index = message.index, .reply_to = from};
    forget_oldest(applier);
    return {.run = true};
}

bool may_pass(order_applier const& applier, std::string const& id) {
    auto const known = applier.applied.find(id);
    return known != applier.applied.end() && !known->second.finished &&
           fence_holds(applier.fence, known->second.fence);
}

void abandon_target_order(order_applier& applier, std::string const& id) {
    auto const known = applier.applied.find(id);
    if (known != applier.applied.end() && !known->second.finished) {
        applier.applied.erase(known);
    }
}

std::optional<std::pair<std::string, target_order_reply>>
finish_target_order(order_applier& applier, std::string const& id, bool succeeded,
                    std::string result) {
    auto const known = applier.applied.find(id);
    if (known == applier.applied.end()) {
        return std::nullopt;
    }
    auto& applied = known->second;
    if (!applied.finished) {
        applied.finished = true;
        applied.succeeded = succeeded;
        applied.result = std::move(result);
    }
    return std::pair{applied.reply_to, result_reply(applier, applied)};
}

std::vector<target_order_message> order_sender_tick(order_sender& sender, order_table const& table,
                                                    std::uint64_t fence, time_point now) {
    if (fence != sender.fence) {
        sender.fence = fence;
        sender.fenced = false;
        sender.attempts.clear();
    }
    if (fence == 0 || sender.fenced) {
        return {};
    }
    std::map<std::string, order_record const*> oldest;
    for (auto const& [id, record] : table.orders) {
        if (record.state != target_order_state::pending) {
            sender.attempts.erase(id);
            continue;
        }
        auto& first = oldest[record.order.target];
        if (first == nullptr || record.index < first->index) {
            first = &record;
        }
    }
    std::vector<target_order_message> due;
    for (auto const& [target, record] : oldest) {
        auto& attempt = sender.attempts[record->order.id];
        if (now < attempt.next_send || due.size() >= sender.options.sends_per_tick) {
            continue;
        }
        attempt.next_send = now + retry_delay(sender, ++attempt.sent);
        due.push_back({record->order, fence, record->index});
    }
    return due;
}

std::optional<order_command> order_sender_reply(order_sender& sender, order_table const& table,
                                                target_order_reply const& reply, wall_time at) {
    auto const found = table.orders.find(reply.id);
    if (found == table.orders.end() || found->second.state != target_order_state::pending ||
        found->second.order.target != reply.target) {
        return std::nullopt;
    }
    auto const& order = found->second.order;
    auto const finish = [&](target_order_state state, std::string result) {
        return order_finish{reply.id, state, std::move(result), at};
    };
    bool const same_start = reply.target_incarnation == order.target_incarnation;
    switch (reply.outcome) {
    case applied_outcome::done:
        return same_start
                   ? std::optional<order_command>{finish(target_order_state::done, reply.result)}
                   : std::nullopt;
    case applied_outcome::failed:
        return same_start
                   ? std::optional<order_command>{finish(target_order_state::failed, reply.result)}
                   : std::nullopt;
    case applied_outcome::restarted:
        // A delayed reply of an earlier incarnation than the one meant ends nothing.
        if (reply.target_incarnation < order.target_incarnation) {
            return std::nullopt;
        }
        return finish(target_order_state::unknown,
                      "the target restarted before it replied; plan again from its present state");
    case applied_outcome::id_conflict:
        return finish(target_order_state::failed, "the target knows this id with other content");
    case applied_outcome::forgotten:
        return finish(target_order_state::unknown, "the target no longer remembers this order");
    case applied_outcome::stale_fence:
        sender.fenced = sender.fenced || reply.highest_fence > sender.fence;
        return std::nullopt;
    case applied_outcome::fence_unknown:
    case applied_outcome::wrong_target:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace fireflycrank
