#include "placementloop.h"

#include "settings.h"

#include <algorithm>
#include <cstdlib>
#include <limits>

namespace fireflycrank {

namespace {

constexpr duration step_period = std::chrono::seconds{1};
// A replica that has just started knows few members; a plan made then would replace targets that
// are alive.
constexpr duration settle_time = std::chrono::seconds{5};
// An unknown member is one whose tombstone has expired, unless this replica has started lately.
constexpr duration unknown_is_gone = std::chrono::seconds{60};
// A finished order's effect reaches the leader by gossip, within 7 s at 10% loss and 1,005 members
// (docs/membership.md).
constexpr std::chrono::milliseconds gossip_time{15'000};
// A restart of an engine takes less; until then no other target takes its place.
constexpr duration silence_limit = std::chrono::seconds{30};
constexpr std::size_t sends_per_step = 64; // a new leader does not resend everything in one burst
constexpr std::uint64_t steps_remembered = 600; // drops ended orders from the planner's memory
constexpr std::uint32_t repair_attempts = 3;
constexpr std::uint32_t batch_share = 8; // at most one target in eight changes at one time
constexpr double bytes_per_gb = 1e9;

std::uint64_t bytes_of(model_config const& model) {
    return static_cast<std::uint64_t>(model.weight_gb * bytes_per_gb);
}

std::string prefix_of(std::string const& model) {
    return model + "/";
}

// Ids of one model's rollouts rise, so the greatest is the newest.
rollout_record const* newest_rollout(placement_table const& table, std::string const& model) {
    rollout_record const* newest = nullptr;
    for (auto const& [id, rollout] : table.rollouts) {
        if (rollout.model == model) {
            newest = &rollout;
        }
    }
    return newest;
}

bool under_way(rollout_record const& rollout) {
    return rollout.phase == rollout_phase::forward || rollout.phase == rollout_phase::rolling_back;
}

// The version that a rollout has left behind.
std::string const& settled_version(rollout_record const& rollout) {
    return rollout.phase == rollout_phase::done ? rollout.to_version : rollout.from_version;
}

// The version that a model's new targets get: not one that has been rolled back.
std::string const& version_in_use(placement_table const& table, model_config const& model) {
    auto const* newest = newest_rollout(table, model.name);
    if (newest != nullptr && newest->to_version == model.version &&
        newest->phase != rollout_phase::forward && newest->phase != rollout_phase::done &&
        !newest->from_version.empty()) {
        return newest->from_version;
    }
    return model.version;
}

// A target that does not state its version has the one from before the newest rollout.
std::string assumed_version(placement_table const& table, model_config const& model) {
    auto const* newest = newest_rollout(table, model.name);
    if (newest == nullptr) {
        return model.version;
    }
    if (newest->to_version != model.version) {
        return settled_version(*newest);
    }
    return newest->from_version.empty() ? model.version : newest->from_version;
}

recorded_order const* open_order(placement_table const& table, std::string const& target) {
    for (auto const& [id, order] : table.orders) {
        if (order.state == order_state::open && order.change.target == target) {
            return &order;
        }
    }
    return nullptr;
}

// Model and version of a member that serves one configured model and nothing else.
std::optional<seen_serves> read_serves(placement_loop const& loop, placement_table const& table,
                                       std::vector<std::string> const& serves, time_point now) {
    if (serves.size() != 1) {
        return std::nullopt;
    }
    auto const at = serves.front().find('@');
    auto const model = loop.intent.models.find(serves.front().substr(0, at));
    if (model == loop.intent.models.end()) {
        return std::nullopt;
    }
    return seen_serves{model->first,
                       at == std::string::npos ? assumed_version(table, model->second)
                                               : serves.front().substr(at + 1),
                       now};
}

// Fills what the target holds; false for a plain service or one that was never seen to serve.
bool take_serves(placement_loop const& loop, placement_table const& table,
                 std::vector<std::string> const& serves, time_point now, placement_target& target) {
    auto held = read_serves(loop, table, serves, now);
    if (!held && serves.empty()) {
        auto const seen = loop.seen.find(target.name);
        if (seen == loop.seen.end()) {
            return false;
        }
        held = seen->second;
        target.busy = true; // its engine is down or loads; it holds its place for a while
        target.alive = target.alive && now < held->at + silence_limit;
    }
    if (!held || !loop.intent.models.contains(held->model)) {
        return false;
    }
    target.model = held->model;
    target.version = held->version;
    target.model_bytes = bytes_of(loop.intent.models.at(held->model));
    return true;
}

placement_target target_of(placement_loop const& loop, member_record const& record) {
    placement_target target;
    target.name = record.name;
    target.zone = record.zone;
    target.memory_bytes = std::numeric_limits<std::uint64_t>::max(); // members do not state it
    target.alive = record.health == member_health::alive || record.health == member_health::suspect;
    target.stopping = record.leaving || loop.intent.stops.contains(record.name);
    return target;
}

std::uint64_t store_rate(config const& intent) {
    return static_cast<std::uint64_t>(intent.limits.weight_store_gb_per_s * bytes_per_gb);
}

placement_input input_of(placement_loop const& loop, placement_table const& table,
                         std::vector<placement_target> const& targets) {
    placement_input input;
    input.targets = targets;
    if (store_rate(loop.intent) > 0) {
        input.limits.store_bytes_per_s = store_rate(loop.intent);
    }
    input.limits.store_bytes_open = open_bytes(table);
    for (auto const& [name, model] : loop.intent.models) {
        model_intent intent;
        intent.model = name;
        intent.version = version_in_use(table, model);
        intent.bytes = bytes_of(model);
        // The configured priority may be negative; the planner only compares.
        constexpr std::int32_t lowest_priority = -10;
        intent.priority =
            static_cast<std::uint32_t>(std::max(model.priority, lowest_priority) - lowest_priority);
        intent.min_ready = model.min_ready;
        intent.max_targets = model.targets;
        input.models.push_back(std::move(intent));
        // Demand is not measured at control: the configured number of targets stands for it. Half a
        // target less keeps rounding from adding one.
        constexpr double half = 0.5;
        team_demand demand;
        demand.model = name;
        demand.work = model.targets == 0 ? 0 : (model.targets - half) / input.limits.headroom;
        input.teams.push_back(std::move(demand));
        // A model that takes longer to fetch than one step must still fit into an idle store.
        auto const fetch = std::chrono::milliseconds{
            1 + (bytes_of(model) * 1000 / input.limits.store_bytes_per_s)};
        input.limits.step = std::max(input.limits.step, fetch);
    }
    return input;
}

placement_command command_of(placement_command_kind kind, placement_moment const& moment) {
    placement_command command;
    command.kind = kind;
    command.fence = moment.fence;
    command.at = moment.wall;
    return command;
}

std::uint32_t failed_orders(placement_table const& table, placement_target const& target,
                            std::string const& version) {
    return static_cast<std::uint32_t>(
        std::count_if(table.orders.begin(), table.orders.end(), [&](auto const& entry) {
            auto const& order = entry.second;
            return order.state == order_state::failed && order.change.target == target.name &&
                   order.change.version == version;
        }));
}

// Records an order for a target that returned with another version than the last rollout left, or
// whose order had failed; one at a time for each model.
std::optional<placement_command> repair_command(placement_table const& table,
                                                model_config const& model,
                                                rollout_record const& newest,
                                                std::vector<placement_target> const& targets,
                                                placement_moment const& moment) {
    auto const& version = settled_version(newest);
    std::uint32_t ready = 0;
    placement_target const* wrong = nullptr;
    for (auto const& target : targets) {
        if (target.model != model.name || !target.alive || target.stopping) {
            continue;
        }
        if (auto const* order = open_order(table, target.name);
            order != nullptr && order->change.model == model.name) {
            return std::nullopt;
        }
        ready += target.busy ? 0 : 1;
        if (!target.busy && target.version != version &&
            failed_orders(table, target, version) < repair_attempts) {
            wrong = &target;
        }
    }
    if (wrong == nullptr || version.empty() || ready <= model.min_ready ||
        moment.wall < newest.batch_done + gossip_time) {
        return std::nullopt;
    }
    auto command = command_of(placement_command_kind::record_order, moment);
    command.request = "repair:" + std::to_string(table.next_order) + ":" + wrong->name;
    command.change.target = wrong->name;
    command.change.model = model.name;
    command.change.version = version;
    command.change.role = wrong->role;
    command.change.fetch_bytes = bytes_of(model);
    command.change.cause = "repair: the target has version " + wrong->version;
    return command;
}

std::string most_common_other(std::vector<placement_target const*> const& holders,
                              std::string const& version) {
    std::map<std::string, std::size_t> counts;
    std::string best;
    for (auto const* holder : holders) {
        if (holder->version != version && ++counts[holder->version] > counts[best]) {
            best = holder->version;
        }
    }
    return best;
}

placement_command begin_command(placement_table const& table, model_config const& model,
                                std::vector<placement_target const*> const& holders,
                                placement_moment const& moment) {
    auto command = command_of(placement_command_kind::begin_rollout, moment);
    auto& rollout = command.rollout;
    auto const* newest = newest_rollout(table, model.name);
    auto const earlier =
        std::count_if(table.rollouts.begin(), table.rollouts.end(),
                      [&](auto const& entry) { return entry.second.model == model.name; });
    constexpr std::size_t digits = 8; // keeps the ids of one model in order
    auto const number = std::to_string(earlier + 1);
    rollout.id = prefix_of(model.name) + std::string(digits - number.size(), '0') + number;
    rollout.model = model.name;
    rollout.to_version = model.version;
    rollout.from_version = newest != nullptr && settled_version(*newest) != model.version
                               ? settled_version(*newest)
                               : most_common_other(holders, model.version);
    rollout.bytes = bytes_of(model);
    auto const share = static_cast<std::uint32_t>(holders.size()) / batch_share;
    rollout.batch = std::max(1U, share);
    // One lost target does not turn a rollout back; without an earlier version nothing can.
    rollout.max_failures = rollout.from_version.empty() ? std::numeric_limits<std::uint32_t>::max()
                                                        : std::max(1U, share);
    rollout.min_ready = model.min_ready;
    rollout.soak = model.soak;
    rollout.cause = newest == nullptr ? "first configuration" : "the configured version changed";
    return command;
}

// Begins, turns back or stops the rollout of one model as its configuration demands.
std::optional<placement_command> follow_configuration(placement_table const& table,
                                                      model_config const& model,
                                                      std::vector<placement_target> const& targets,
                                                      placement_moment const& moment) {
    std::vector<placement_target const*> holders;
    for (auto const& target : targets) {
        if (target.model == model.name && target.alive) {
            holders.push_back(&target);
        }
    }
    auto const* newest = newest_rollout(table, model.name);
    if (newest != nullptr && under_way(*newest)) {
        bool const returned = newest->from_version == model.version;
        if (newest->to_version == model.version ||
            (returned && newest->phase == rollout_phase::rolling_back)) {
            return std::nullopt;
        }
        auto command = command_of(returned ? placement_command_kind::roll_back
                                           : placement_command_kind::stop_rollout,
                                  moment);
        command.rollout.id = newest->id;
        command.message = "the configured version changed to " + model.version;
        return command;
    }
    if (newest != nullptr && newest->to_version == model.version) {
        return repair_command(table, model, *newest, targets, moment);
    }
    if (holders.empty()) {
        return std::nullopt;
    }
    return begin_command(table, model, holders, moment);
}

target_order_kind kind_of(placement_action action) {
    switch (action) {
    case placement_action::load_model:
        return target_order_kind::load_model;
    case placement_action::load_adapter:
        return target_order_kind::load_adapter;
    case placement_action::unload_adapter:
        return target_order_kind::unload_adapter;
    case placement_action::change_role:
        return target_order_kind::change_role;
    }
    return target_order_kind::load_model;
}

target_order_message message_of(recorded_order const& order, std::uint64_t fence) {
    auto const& change = order.change;
    bool const adapter = change.action == placement_action::load_adapter ||
                         change.action == placement_action::unload_adapter;
    target_order_message message;
    message.order = {order.id,
                     kind_of(change.action),
                     change.target,
                     change.target_incarnation,
                     adapter ? change.adapter : change.model,
                     change.action == placement_action::change_role ? name_of(change.role)
                                                                    : change.version};
    message.fence = fence;
    // Order ids begin with a number that rises with every recorded order.
    message.index = std::strtoull(order.id.c_str(), nullptr, 10);
    return message;
}

// Sends the orders first that have waited longest, so that those of silent targets hold up none.
void send_orders(placement_loop& loop, std::vector<recorded_order> orders,
                 membership_state const& members, placement_moment const& moment,
                 placement_step& step) {
    auto const last_sent = [&loop](recorded_order const& order) {
        auto const found = loop.sent.find(order.id);
        return found == loop.sent.end() ? 0 : found->second;
    };
    std::stable_sort(orders.begin(), orders.end(), [&](auto const& left, auto const& right) {
        return last_sent(left) < last_sent(right);
    });
    ++loop.steps;
    for (auto const& order : orders) {
        auto const* agent = find_member(members, order.change.target);
        if (agent == nullptr || step.send.size() >= sends_per_step) {
            continue;
        }
        step.send.push_back({agent->address, message_of(order, moment.fence)});
        if (loop.sent.insert_or_assign(order.id, loop.steps).second) {
            step.logs.push_back(
                {&events::target_order_sent,
                 {{"order", order.id}, {"target", order.change.target}, {"fence", moment.fence}}});
        }
    }
    std::erase_if(loop.sent,
                  [&](auto const& entry) { return entry.second + steps_remembered < loop.steps; });
}

// Logs rollouts whose phase has changed. A new leader's first look is no change.
void log_phases(placement_loop& loop, placement_table const& table, placement_step& step) {
    for (auto const& [id, rollout] : table.rollouts) {
        auto const [known, added] = loop.phases.try_emplace(id, rollout.phase);
        if (!added && known->second != rollout.phase) {
            known->second = rollout.phase;
            bool const back = rollout.phase == rollout_phase::rolling_back;
            step.logs.push_back(
                {back ? &events::rollout_turned_back : &events::rollout_phase_changed,
                 {{"rollout", id},
                  {"model", rollout.model},
                  {"from", rollout.from_version},
                  {"to", rollout.to_version},
                  {"phase", name_of(rollout.phase)},
                  {"failures", rollout.failures},
                  {"cause", rollout.cause}}});
        }
    }
}

} // namespace

void take_intent(placement_loop& loop, std::uint64_t revision,
                 std::map<std::string, std::string> const& files) {
    if (revision == loop.revision) {
        return;
    }
    loop.revision = revision;
    if (auto const parsed = parse_config(files)) {
        loop.intent = parsed.value();
    }
}

std::vector<placement_target> placement_targets(placement_loop const& loop,
                                                placement_table const& table,
                                                membership_state const& members, time_point now) {
    std::map<std::string, placement_target> found;
    std::set<std::string> left;
    for (auto const& slot : members.slots) {
        auto const& record = slot.record;
        if (record.role != member_role::agent) {
            continue;
        }
        if (record.health == member_health::left) {
            left.insert(record.name);
            continue;
        }
        auto target = target_of(loop, record);
        if (take_serves(loop, table, record.serves, now, target) ||
            open_order(table, record.name) != nullptr) {
            found.emplace(record.name, std::move(target));
        }
    }
    for (auto const& [id, order] : table.orders) {
        auto const& name = order.change.target;
        bool const unknown = !found.contains(name) && !left.contains(name);
        if (order.state == order_state::open && unknown && now < loop.started + unknown_is_gone) {
            placement_target absent;
            absent.name = name;
            absent.alive = false;
            found.emplace(name, std::move(absent));
        }
    }
    std::vector<placement_target> targets;
    targets.reserve(found.size());
    for (auto& [name, target] : found) {
        targets.push_back(std::move(target));
    }
    mark_targets(table, targets);
    return targets;
}

void observe_targets(placement_loop& loop, placement_table const& table,
                     membership_state const& members, time_point now) {
    for (auto const& slot : members.slots) {
        auto const& record = slot.record;
        if (auto const held = read_serves(loop, table, record.serves, now)) {
            loop.seen[record.name] = *held;
        } else if (!record.serves.empty() || record.health == member_health::left) {
            loop.seen.erase(record.name);
        }
    }
    for (auto const& [id, order] : table.orders) {
        if (order.state == order_state::open &&
            order.change.action == placement_action::load_model) {
            loop.seen[order.change.target] = {order.change.model, order.change.version, now};
        }
    }
}

placement_step step_placement(placement_loop& loop, placement_table const& table,
                              membership_state const& members, placement_moment const& moment) {
    placement_step step;
    observe_targets(loop, table, members, moment.now);
    if (moment.fence != loop.fence) {
        loop.fence = moment.fence;
        loop.sent.clear();
        loop.phases.clear();
    }
    if (moment.fence == 0 || moment.now < loop.next_step ||
        moment.now < loop.started + settle_time || loop.proposals > 0) {
        return step;
    }
    loop.next_step = moment.now + step_period;
    log_phases(loop, table, step);
    auto const targets = placement_targets(loop, table, members, moment.now);
    auto rollouts = plan_rollouts(table, targets, moment.fence, moment.wall);
    step.commands = std::move(rollouts.commands);
    for (auto const& [name, model] : loop.intent.models) {
        if (auto command = follow_configuration(table, model, targets, moment)) {
            step.commands.push_back(std::move(*command));
        }
    }
    auto const plan = plan_placement(input_of(loop, table, targets));
    for (auto& command : order_commands(table, plan, moment.fence, moment.wall)) {
        step.commands.push_back(std::move(command));
    }
    std::erase_if(step.commands, [&](placement_command& command) {
        if (command.kind != placement_command_kind::record_order) {
            return false;
        }
        auto const* agent = find_member(members, command.change.target);
        command.change.target_incarnation = agent == nullptr ? 0 : agent->incarnation;
        return agent == nullptr;
    });
    send_orders(loop, std::move(rollouts.send), members, moment, step);
    return step;
}

std::optional<placement_command> end_of_order(placement_table const& table,
                                              target_order_reply const& reply,
                                              placement_moment const& moment) {
    auto const found = table.orders.find(reply.id);
    if (found == table.orders.end() || found->second.state != order_state::open ||
        found->second.change.target != reply.target) {
        return std::nullopt;
    }
    auto const meant = found->second.change.target_incarnation;
    auto command = command_of(placement_command_kind::record_result, moment);
    command.order = reply.id;
    command.message = reply.result;
    switch (reply.outcome) {
    case applied_outcome::done:
    case applied_outcome::failed:
        command.succeeded = reply.outcome == applied_outcome::done;
        return reply.target_incarnation == meant ? std::optional{command} : std::nullopt;
    case applied_outcome::restarted:
        command.message = "the target restarted before it replied";
        // A delayed reply of an earlier start than the one meant ends nothing.
        return reply.target_incarnation > meant ? std::optional{command} : std::nullopt;
    case applied_outcome::id_conflict:
        command.message = "the target knows this id with other content";
        return command;
    case applied_outcome::forgotten:
        command.message = "the target no longer remembers this order";
        return command;
    case applied_outcome::stale_fence:
    case applied_outcome::fence_unknown:
    case applied_outcome::wrong_target:
        break;
    }
    return std::nullopt;
}

std::optional<fleet_log> log_of(placement_table const& table, placement_command const& command,
                                placement_reply const& reply) {
    if (!reply.accepted) {
        return std::nullopt;
    }
    if (command.kind == placement_command_kind::record_order) {
        auto const& change = command.change;
        return fleet_log{
            &events::placement_decided,
            {{"order", reply.order},
             {"action", name_of(change.action)},
             {"target", change.target},
             {"model", change.model},
             {"version", change.version},
             {"cause", change.cause},
             {"gain", change.gain},
             {"cost_ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(change.cost).count()},
             {"bytes", change.fetch_bytes}}};
    }
    auto const order = table.orders.find(command.order);
    if (command.kind == placement_command_kind::record_result && order != table.orders.end()) {
        return fleet_log{&events::target_order_ended,
                         {{"order", command.order},
                          {"target", order->second.change.target},
                          {"succeeded", order->second.state == order_state::done},
                          {"message", order->second.message}}};
    }
    return std::nullopt;
}

} // namespace fireflycrank
