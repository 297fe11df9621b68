#include "rollout.h"

#include <algorithm>
#include <set>

namespace fireflycrank {

namespace {

placement_reply refuse(std::string reason) {
    return {false, std::move(reason), {}};
}

bool under_way(rollout_record const& rollout) {
    return rollout.phase == rollout_phase::forward || rollout.phase == rollout_phase::rolling_back;
}

recorded_order const* open_order_for(placement_table const& table, std::string const& target) {
    for (auto const& [id, order] : table.orders) {
        if (order.state == order_state::open && order.change.target == target) {
            return &order;
        }
    }
    return nullptr;
}

// The version that the rollout's targets are to have in its present phase.
std::string const& goal_version(rollout_record const& rollout) {
    return rollout.phase == rollout_phase::forward ? rollout.to_version : rollout.from_version;
}

placement_reply begin_rollout(placement_table& table, placement_command const& command) {
    auto const& wanted = command.rollout;
    if (auto const found = table.rollouts.find(wanted.id); found != table.rollouts.end()) {
        // A resent command finds its own rollout; the phase and counts may have moved on.
        bool const same = found->second.model == wanted.model &&
                          found->second.from_version == wanted.from_version &&
                          found->second.to_version == wanted.to_version;
        return same ? placement_reply{true, "already begun", {}}
                    : refuse("the id names another rollout; choose a new id");
    }
    if (wanted.id.empty() || wanted.model.empty() || wanted.to_version == wanted.from_version ||
        wanted.batch == 0) {
        return refuse("a rollout needs an id, a model, two versions and a batch above 0");
    }
    for (auto const& [id, rollout] : table.rollouts) {
        if (rollout.model == wanted.model && under_way(rollout)) {
            return refuse("rollout " + id + " of this model is under way; stop it first");
        }
    }
    auto rollout = wanted;
    rollout.phase = rollout_phase::forward;
    rollout.failures = 0;
    rollout.batch_done = {};
    table.rollouts.emplace(rollout.id, std::move(rollout));
    return {true, {}, {}};
}

placement_reply record_order(placement_table& table, placement_command const& command) {
    std::string const suffix = "/" + command.request;
    for (auto const& [id, order] : table.orders) {
        if (id.ends_with(suffix)) {
            return {true, "already recorded", id};
        }
    }
    // Two open orders on one target could run in either order.
    if (open_order_for(table, command.change.target) != nullptr) {
        return refuse("the target has an open order");
    }
    if (!command.rollout.id.empty()) {
        auto const found = table.rollouts.find(command.rollout.id);
        if (found == table.rollouts.end() || !under_way(found->second) ||
            goal_version(found->second) != command.change.version) {
            return refuse("the rollout has ended or turned back");
        }
    }
    recorded_order order;
    order.id = std::to_string(table.next_order++) + suffix;
    order.change = command.change;
    order.rollout = command.rollout.id;
    order.recorded = command.at;
    order.fence = command.fence;
    auto id = order.id;
    table.orders.emplace(id, std::move(order));
    return {true, {}, id};
}

// Turns a rollout back when too many targets fail; ends a rollback that fails as well.
void count_failure(rollout_record& rollout, std::string const& target) {
    ++rollout.failures;
    if (rollout.phase == rollout_phase::forward && rollout.failures > rollout.max_failures) {
        rollout.phase = rollout_phase::rolling_back;
        rollout.cause = "target " + target + " failed";
    }
}

placement_reply record_result(placement_table& table, placement_command const& command) {
    auto const found = table.orders.find(command.order);
    if (found == table.orders.end()) {
        return refuse("no such order");
    }
    auto& order = found->second;
    if (order.state != order_state::open) {
        return {true, "already recorded", order.id};
    }
    order.state = command.succeeded ? order_state::done : order_state::failed;
    order.message = command.message;
    auto const rollout = table.rollouts.find(order.rollout);
    if (rollout != table.rollouts.end()) {
        rollout->second.batch_done = std::max(rollout->second.batch_done, command.at);
        // A failure that belongs to the phase before does not count against the rollback.
        if (!command.succeeded && under_way(rollout->second) &&
            order.change.version == goal_version(rollout->second)) {
            count_failure(rollout->second, order.change.target);
        }
    }
    return {true, {}, order.id};
}

placement_reply end_rollout(placement_table& table, placement_command const& command) {
    auto const found = table.rollouts.find(command.rollout.id);
    if (found == table.rollouts.end() || !under_way(found->second)) {
        return refuse("no such rollout under way");
    }
    auto& rollout = found->second;
    bool const back = rollout.phase == rollout_phase::rolling_back;
    if (command.kind == placement_command_kind::roll_back) {
        rollout.phase = rollout_phase::rolling_back;
    } else if (command.succeeded) {
        rollout.phase = back ? rollout_phase::rolled_back : rollout_phase::done;
    } else {
        rollout.phase = rollout_phase::stopped;
    }
    if (!command.message.empty()) {
        rollout.cause = command.message;
    }
    return {true, {}, {}};
}

placement_command make_command(placement_command_kind kind, std::uint64_t fence, wall_time now) {
    placement_command command;
    command.kind = kind;
    command.fence = fence;
    command.at = now;
    return command;
}

// Counts how often a target has been ordered to a version by a rollout; names the next attempt.
std::uint32_t attempts(placement_table const& table, rollout_record const& rollout,
                       std::string const& target, std::string const& version) {
    return static_cast<std::uint32_t>(
        std::count_if(table.orders.begin(), table.orders.end(), [&](auto const& entry) {
            auto const& order = entry.second;
            return order.rollout == rollout.id && order.change.target == target &&
                   order.change.version == version;
        }));
}

void plan_rollout(placement_table const& table, rollout_record const& rollout,
                  std::vector<placement_target> const& targets, std::uint64_t fence, wall_time now,
                  rollout_actions& actions) {
    // A target that fails the old version as well needs a person; three attempts are enough to ride
    // out a restart.
    constexpr std::uint32_t rollback_attempts = 3;
    bool const forward = rollout.phase == rollout_phase::forward;
    auto const& goal = goal_version(rollout);
    std::uint32_t ready = 0;
    std::uint32_t open = 0;
    std::vector<placement_target const*> waiting;
    for (auto const& target : targets) {
        // An open order of a dead target counts too: it may still run when the target returns, and
        // a rollback that had ended by then would leave the wrong version there.
        auto const* order = open_order_for(table, target.name);
        if (order != nullptr || target.busy) {
            open += order != nullptr && order->rollout == rollout.id ? 1 : 0;
            continue;
        }
        if (target.model != rollout.model || !target.alive) {
            continue;
        }
        ready += target.stopping ? 0 : 1;
        auto const tried = attempts(table, rollout, target.name, goal);
        bool const again = forward ? tried == 0 : tried < rollback_attempts;
        if (target.version != goal && !target.stopping && again) {
            waiting.push_back(&target);
        }
    }
    if (waiting.empty() && open == 0) {
        auto command = make_command(placement_command_kind::stop_rollout, fence, now);
        command.rollout.id = rollout.id;
        command.succeeded = true;
        actions.commands.push_back(std::move(command));
        return;
    }
    // A rollback does not wait: the new version is known to be worse.
    bool const soaking =
        forward && rollout.batch_done != wall_time{} && now < rollout.batch_done + rollout.soak;
    if (open > 0 || soaking) {
        return;
    }
    std::stable_sort(waiting.begin(), waiting.end(),
                     [](auto const* left, auto const* right) { return left->name < right->name; });
    for (auto const* target : waiting) {
        if (open >= rollout.batch || ready <= rollout.min_ready) {
            break;
        }
        auto command = make_command(placement_command_kind::record_order, fence, now);
        command.rollout.id = rollout.id;
        command.request = rollout.id + ":" + target->name + ":" + goal + ":" +
                          std::to_string(attempts(table, rollout, target->name, goal));
        command.change.target = target->name;
        command.change.model = rollout.model;
        command.change.version = goal;
        command.change.role = target->role;
        command.change.fetch_bytes = rollout.bytes;
        command.change.cause = forward ? "rollout" : "rollback: " + rollout.cause;
        actions.commands.push_back(std::move(command));
        ++open;
        --ready;
    }
}

} // namespace

placement_reply apply(placement_table& table, placement_command const& command) {
    if (command.fence < table.fence) {
        return refuse("stale fencing token");
    }
    placement_reply reply;
    switch (command.kind) {
    case placement_command_kind::begin_rollout:
        reply = begin_rollout(table, command);
        break;
    case placement_command_kind::record_order:
        reply = record_order(table, command);
        break;
    case placement_command_kind::record_result:
        reply = record_result(table, command);
        break;
    case placement_command_kind::roll_back:
    case placement_command_kind::stop_rollout:
        reply = end_rollout(table, command);
        break;
    }
    if (reply.accepted) {
        table.fence = command.fence;
    }
    return reply;
}

void prune(placement_table& table, wall_time keep_after) {
    std::erase_if(table.orders, [&](auto const& entry) {
        auto const& order = entry.second;
        auto const rollout = table.rollouts.find(order.rollout);
        bool const needed = rollout != table.rollouts.end() && under_way(rollout->second);
        return order.state != order_state::open && !needed && order.recorded <= keep_after;
    });
}

rollout_actions plan_rollouts(placement_table const& table,
                              std::vector<placement_target> const& targets, std::uint64_t fence,
                              wall_time now) {
    rollout_actions actions;
    std::set<std::string> present;
    for (auto const& target : targets) {
        present.insert(target.name);
    }
    for (auto const& [id, order] : table.orders) {
        if (order.state == order_state::open && !present.contains(order.change.target)) {
            auto command = make_command(placement_command_kind::record_result, fence, now);
            command.order = id;
            command.message = "the target has left";
            actions.commands.push_back(std::move(command));
        } else if (order.state == order_state::open) {
            actions.send.push_back(order);
            actions.send.back().fence = fence;
        }
    }
    for (auto const& [id, rollout] : table.rollouts) {
        if (under_way(rollout)) {
            plan_rollout(table, rollout, targets, fence, now, actions);
        }
    }
    return actions;
}

std::vector<placement_command> order_commands(placement_table const& table,
                                              placement_plan const& plan, std::uint64_t fence,
                                              wall_time now) {
    std::vector<placement_command> commands;
    for (auto const& change : plan.changes) {
        if (open_order_for(table, change.target) != nullptr) {
            continue;
        }
        auto command = make_command(placement_command_kind::record_order, fence, now);
        // A new plan after the order has ended may rightly repeat a change, so the id carries the
        // number of the next order; a resent command carries the same one.
        command.request = "placement:" + std::to_string(table.next_order) + ":" + change.target;
        command.change = change;
        commands.push_back(std::move(command));
    }
    return commands;
}

void mark_targets(placement_table const& table, std::vector<placement_target>& targets) {
    std::set<std::string> busy;
    for (auto const& [id, order] : table.orders) {
        if (order.state == order_state::open) {
            busy.insert(order.change.target);
        }
    }
    std::set<std::string> models;
    for (auto const& [id, rollout] : table.rollouts) {
        if (under_way(rollout)) {
            models.insert(rollout.model);
        }
    }
    for (auto& target : targets) {
        target.busy = target.busy || busy.contains(target.name);
        target.pinned = target.pinned || models.contains(target.model);
    }
}

std::uint64_t open_bytes(placement_table const& table) {
    std::uint64_t bytes = 0;
    for (auto const& [id, order] : table.orders) {
        bytes += order.state == order_state::open ? order.change.fetch_bytes : 0;
    }
    return bytes;
}

std::string describe(rollout_record const& rollout) {
    return "rollout " + rollout.id + " model=" + rollout.model + " " + rollout.from_version + "->" +
           rollout.to_version + " phase=" + name_of(rollout.phase) +
           " failures=" + std::to_string(rollout.failures) + " cause=\"" + rollout.cause + '"';
}

char const* name_of(rollout_phase phase) {
    switch (phase) {
    case rollout_phase::forward:
        return "forward";
    case rollout_phase::rolling_back:
        return "rolling_back";
    case rollout_phase::done:
        return "done";
    case rollout_phase::rolled_back:
        return "rolled_back";
    case rollout_phase::stopped:
        return "stopped";
    }
    return "unknown";
}

} // namespace fireflycrank
