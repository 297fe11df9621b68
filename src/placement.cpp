#include "placement.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <set>

namespace fireflycrank {

namespace {

bool usable(placement_target const& target) {
    return target.alive && !target.stopping;
}

bool ready(placement_target const& target, model_intent const& intent) {
    return target.alive && !target.busy && target.model == intent.model;
}

std::uint64_t used_bytes(placement_target const& target) {
    std::uint64_t used = target.model_bytes;
    for (auto const& [name, bytes] : target.adapters) {
        used += bytes;
    }
    return used;
}

// A step under planning: the input's targets, changed as decisions fall.
struct workspace {
    std::vector<placement_target> targets;
    std::vector<bool> changed;
    std::map<std::string, std::uint32_t> ready_count; // usable targets that serve a model now
    std::map<std::string, std::uint32_t> held;        // usable targets with or after this step
    std::map<std::string, std::map<std::string, std::uint32_t>> zone_count;
    std::set<std::string> zones;
    std::uint64_t bytes_left{0};
    placement_plan plan;
};

workspace make_workspace(placement_input const& input) {
    workspace work;
    work.targets = input.targets;
    work.changed.assign(input.targets.size(), false);
    for (auto const& target : input.targets) {
        if (usable(target)) {
            work.zones.insert(target.zone);
            ++work.held[target.model];
            ++work.zone_count[target.model][target.zone];
        }
        // A stopping target still serves, but no decision may count on it.
        if (usable(target) && !target.busy) {
            ++work.ready_count[target.model];
        }
    }
    auto const seconds = std::chrono::duration<double>(input.limits.step).count();
    auto const budget =
        static_cast<std::uint64_t>(static_cast<double>(input.limits.store_bytes_per_s) * seconds);
    work.bytes_left =
        budget > input.limits.store_bytes_open ? budget - input.limits.store_bytes_open : 0;
    return work;
}

std::map<std::string, double> demand_by_model(placement_input const& input) {
    std::map<std::string, double> demand;
    for (auto const& team : input.teams) {
        demand[team.model] += std::max(0.0, team.work);
    }
    return demand;
}

std::vector<model_intent const*> by_priority(placement_input const& input) {
    std::vector<model_intent const*> order;
    for (auto const& intent : input.models) {
        order.push_back(&intent);
    }
    std::stable_sort(order.begin(), order.end(), [](auto const* left, auto const* right) {
        return left->priority != right->priority ? left->priority > right->priority
                                                 : left->model < right->model;
    });
    return order;
}

std::uint32_t enough_for(model_intent const& intent, double demand, double headroom) {
    double const targets = std::ceil(demand * headroom / std::max(1e-9, intent.target_capacity));
    auto count = static_cast<std::uint32_t>(std::min(targets, 1e9));
    if (intent.max_targets != 0) {
        count = std::min(count, intent.max_targets);
    }
    return std::max(count, intent.min_ready);
}

// Records a change and what it does to the target.
void commit(workspace& work, std::size_t index, placement_change change,
            placement_limits const& limits) {
    change.target = work.targets[index].name;
    auto const nanoseconds =
        static_cast<double>(change.fetch_bytes) * 1e9 /
        static_cast<double>(std::max<std::uint64_t>(1, limits.store_bytes_per_s));
    change.cost = duration{static_cast<std::int64_t>(nanoseconds)};
    work.bytes_left -= change.fetch_bytes;
    work.plan.fetch_bytes += change.fetch_bytes;
    work.changed[index] = true;
    work.plan.changes.push_back(std::move(change));
}

bool in_hand(workspace const& work, std::size_t index) {
    auto const& target = work.targets[index];
    return usable(target) && !target.busy && !target.pinned && !work.changed[index];
}

std::uint32_t lookup(std::map<std::string, std::uint32_t> const& counts, std::string const& key) {
    auto const found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

std::uint32_t zone_held(workspace const& work, std::string const& model, std::string const& zone) {
    auto const found = work.zone_count.find(model);
    return found == work.zone_count.end() ? 0 : lookup(found->second, zone);
}

// What a model may lose now: it stays above its minimum of ready targets and above its surplus.
bool may_give(workspace const& work, placement_input const& input,
              std::map<std::string, model_intent const*> const& intents,
              std::map<std::string, double> const& demand,
              std::map<std::string, std::uint32_t> const& wanted, std::string const& model,
              model_intent const& taker) {
    auto const found = intents.find(model);
    if (found == intents.end()) {
        return true; // empty, or a model that no operator wants any more
    }
    auto const& intent = *found->second;
    if (lookup(work.ready_count, model) <= intent.min_ready) {
        return false;
    }
    auto const held = lookup(work.held, model);
    if (held <= lookup(wanted, model)) {
        return false;
    }
    auto const need = demand.find(model);
    double const work_wanted = need == demand.end() ? 0 : need->second;
    // Between headroom and surplus a target stays where it is, unless the taker cannot serve its
    // present demand.
    auto const taken = demand.find(taker.model);
    bool const urgent = lookup(work.held, taker.model) <
                        enough_for(taker, taken == demand.end() ? 0 : taken->second, 1);
    return urgent || intent.priority < taker.priority ||
           held > enough_for(intent, work_wanted, input.limits.surplus);
}

struct model_step {
    placement_input const& input;
    std::map<std::string, model_intent const*> const& intents;
    std::map<std::string, double> const& demand;
    std::map<std::string, std::uint32_t> const& wanted;
};

// Loads a model onto one more target. Prefers zones with few of the model's targets, then empty
// targets, then models with most to spare and their fullest zones. Returns false when nothing fits.
bool add_target(workspace& work, model_step const& step, model_intent const& intent,
                std::string const& cause) {
    if (work.bytes_left < intent.bytes) {
        return false;
    }
    std::size_t best = work.targets.size();
    auto best_key =
        std::make_tuple(std::numeric_limits<std::uint32_t>::max(), 0, 0, 0, std::string{});
    for (std::size_t index = 0; index < work.targets.size(); ++index) {
        auto const& target = work.targets[index];
        if (!in_hand(work, index) || target.model == intent.model ||
            target.memory_bytes < intent.bytes ||
            !may_give(work, step.input, step.intents, step.demand, step.wanted, target.model,
                      intent)) {
            continue;
        }
        auto const spare = static_cast<int>(lookup(work.held, target.model)) -
                           static_cast<int>(lookup(step.wanted, target.model));
        auto key = std::make_tuple(
            zone_held(work, intent.model, target.zone), step.intents.contains(target.model) ? 1 : 0,
            step.intents.contains(target.model) ? -spare : 0,
            -static_cast<int>(zone_held(work, target.model, target.zone)), target.name);
        if (best == work.targets.size() || key < best_key) {
            best = index;
            best_key = std::move(key);
        }
    }
    if (best == work.targets.size()) {
        return false;
    }
    auto& target = work.targets[best];
    if (!target.model.empty()) {
        --work.ready_count[target.model];
    }
    --work.held[target.model];
    --work.zone_count[target.model][target.zone];
    ++work.held[intent.model];
    ++work.zone_count[intent.model][target.zone];
    placement_change change;
    change.model = intent.model;
    change.version = intent.version;
    change.fetch_bytes = intent.bytes;
    change.cause = cause;
    change.gain = intent.target_capacity;
    target.model = intent.model;
    target.version = intent.version;
    target.model_bytes = intent.bytes;
    target.adapters.clear();
    commit(work, best, std::move(change), step.input.limits);
    return true;
}

void place_models(workspace& work, model_step const& step) {
    // Minima of all models come before the demand of any.
    for (bool const minimum : {true, false}) {
        for (auto const* intent : by_priority(step.input)) {
            auto const goal = minimum
                                  ? std::min(intent->min_ready, lookup(step.wanted, intent->model))
                                  : lookup(step.wanted, intent->model);
            while (lookup(work.held, intent->model) < goal &&
                   add_target(work, step, *intent, minimum ? "minimum" : "demand")) {
            }
        }
    }
}

// Targets of a model crowded in one zone move to the zones with fewest, one a step and model.
void spread_zones(workspace& work, model_step const& step) {
    for (auto const* intent : by_priority(step.input)) {
        auto const held = lookup(work.held, intent->model);
        auto const zones = static_cast<std::uint32_t>(std::max<std::size_t>(1, work.zones.size()));
        auto const even = (held + zones - 1) / zones;
        auto const crowded =
            std::any_of(work.zones.begin(), work.zones.end(), [&](auto const& zone) {
                return zone_held(work, intent->model, zone) > even + step.input.limits.zone_slack;
            });
        // The new target comes first; the crowded zone's one is given up in a later step, as
        // surplus.
        if (crowded && held <= lookup(step.wanted, intent->model)) {
            add_target(work, step, *intent, "zone spread");
        }
    }
}

// Adapters: each needs targets in proportion to its demand, two as soon as it has any, so that the
// loss of one target does not take a team out of service.
void place_adapters(workspace& work, model_step const& step) {
    struct need {
        std::string model;
        std::string name;
        std::uint64_t bytes;
        double work;
    };
    std::map<std::pair<std::string, std::string>, need> needs;
    for (auto const& team : step.input.teams) {
        if (!team.adapter.empty()) {
            auto& entry = needs[{team.model, team.adapter}];
            entry = {team.model, team.adapter, team.adapter_bytes, entry.work + team.work};
        }
    }
    std::vector<need> order;
    std::map<std::string, std::set<std::string>> known; // adapters wanted, by model
    for (auto const& [key, entry] : needs) {
        order.push_back(entry);
        known[key.first].insert(key.second);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](need const& left, need const& right) { return left.work > right.work; });
    std::map<std::string, std::vector<std::size_t>> by_model;
    std::map<std::pair<std::string, std::string>, std::uint32_t> holders;
    for (std::size_t index = 0; index < work.targets.size(); ++index) {
        auto const& target = work.targets[index];
        if (!usable(target)) {
            continue;
        }
        by_model[target.model].push_back(index);
        for (auto const& [name, bytes] : target.adapters) {
            ++holders[{target.model, name}];
        }
    }
    std::vector<std::uint64_t> used;
    used.reserve(work.targets.size());
    for (auto const& target : work.targets) {
        used.push_back(used_bytes(target));
    }
    for (auto const& one : order) {
        auto const found = step.intents.find(one.model);
        if (found == step.intents.end() || one.work <= 0) {
            continue;
        }
        auto const& candidates = by_model[one.model];
        auto const share = std::ceil(one.work * step.input.limits.headroom /
                                     std::max(1e-9, found->second->target_capacity));
        auto const goal =
            static_cast<std::uint32_t>(std::min(std::max(share, 2.0), double(candidates.size())));
        auto& count = holders[{one.model, one.name}];
        while (count < goal && work.bytes_left >= one.bytes) {
            std::size_t best = work.targets.size();
            for (auto const index : candidates) {
                auto const& target = work.targets[index];
                if (in_hand(work, index) && !target.adapters.contains(one.name) &&
                    used[index] + one.bytes <= target.memory_bytes &&
                    (best == work.targets.size() || used[index] < used[best])) {
                    best = index;
                }
            }
            if (best == work.targets.size()) {
                break;
            }
            placement_change change;
            change.action = placement_action::load_adapter;
            change.model = one.model;
            change.version = work.targets[best].version;
            change.adapter = one.name;
            change.fetch_bytes = one.bytes;
            change.cause = "team demand";
            change.gain = one.work / goal;
            work.targets[best].adapters[one.name] = one.bytes;
            used[best] += one.bytes;
            ++count;
            commit(work, best, std::move(change), step.input.limits);
        }
        // Memory is short everywhere: make room by dropping an adapter that no team needs.
        if (count < goal) {
            for (auto const index : candidates) {
                auto const& target = work.targets[index];
                auto const unused = std::find_if(
                    target.adapters.begin(), target.adapters.end(),
                    [&](auto const& held) { return !known[one.model].contains(held.first); });
                if (in_hand(work, index) && unused != target.adapters.end()) {
                    placement_change change;
                    change.action = placement_action::unload_adapter;
                    change.model = one.model;
                    change.adapter = unused->first;
                    change.cause = "memory for " + one.name;
                    commit(work, index, std::move(change), step.input.limits);
                    break;
                }
            }
        }
    }
}

void assign_roles(workspace& work, model_step const& step) {
    for (auto const* intent : by_priority(step.input)) {
        std::vector<std::size_t> holders;
        std::uint32_t prefill = 0;
        for (std::size_t index = 0; index < work.targets.size(); ++index) {
            if (ready(work.targets[index], *intent) && usable(work.targets[index])) {
                holders.push_back(index);
                prefill += work.targets[index].role == target_role::prefill ? 1 : 0;
            }
        }
        auto const count = static_cast<std::uint32_t>(holders.size());
        auto const goal =
            intent->prefill_share <= 0
                ? 0
                : prefill_targets(count, intent->prefill_share, 1 - intent->prefill_share, prefill);
        // A role change costs its target's cache, so at most one target in eight changes a step.
        auto room = std::max<std::uint32_t>(1, count / 8);
        for (auto const index : holders) {
            auto& target = work.targets[index];
            auto role = target.role;
            if (intent->prefill_share <= 0) {
                role = target_role::mixed;
            } else if (prefill < goal && role != target_role::prefill) {
                role = target_role::prefill;
            } else if ((prefill > goal && role == target_role::prefill) ||
                       role == target_role::mixed) {
                role = target_role::decode;
            }
            // A ready target that changes its role is out of service until it answers.
            if (room == 0 || role == target.role || !in_hand(work, index) ||
                lookup(work.ready_count, intent->model) <= intent->min_ready) {
                continue;
            }
            prefill += role == target_role::prefill ? 1 : 0;
            prefill -= target.role == target_role::prefill ? 1 : 0;
            --room;
            --work.ready_count[intent->model];
            placement_change change;
            change.action = placement_action::change_role;
            change.model = intent->model;
            change.version = target.version;
            change.role = role;
            change.cause = "prefill and decode mix";
            target.role = role;
            commit(work, index, std::move(change), step.input.limits);
        }
    }
}

} // namespace

std::map<std::string, std::uint32_t> wanted_targets(placement_input const& input) {
    auto left = static_cast<std::uint32_t>(
        std::count_if(input.targets.begin(), input.targets.end(), usable));
    auto const demand = demand_by_model(input);
    auto const order = by_priority(input);
    std::map<std::string, std::uint32_t> wanted;
    for (auto const* intent : order) {
        auto const given = std::min(left, intent->min_ready);
        wanted[intent->model] = given;
        left -= given;
    }
    for (auto const* intent : order) {
        auto const found = demand.find(intent->model);
        auto const need =
            enough_for(*intent, found == demand.end() ? 0 : found->second, input.limits.headroom);
        auto const more = std::min(left, need - std::min(need, wanted[intent->model]));
        wanted[intent->model] += more;
        left -= more;
    }
    return wanted;
}

placement_plan plan_placement(placement_input const& input) {
    auto work = make_workspace(input);
    auto const demand = demand_by_model(input);
    auto const wanted = wanted_targets(input);
    std::map<std::string, model_intent const*> intents;
    for (auto const& intent : input.models) {
        intents[intent.model] = &intent;
    }
    model_step const step{input, intents, demand, wanted};
    place_models(work, step);
    spread_zones(work, step);
    place_adapters(work, step);
    assign_roles(work, step);
    for (auto const& [model, count] : wanted) {
        if (lookup(work.held, model) < count) {
            work.plan.unmet.push_back(model);
        }
    }
    return work.plan;
}

std::uint32_t prefill_targets(std::uint32_t targets, double prefill_time, double decode_time,
                              std::uint32_t present) {
    double const total = prefill_time + decode_time;
    if (targets < 2 || total <= 0) {
        return 0;
    }
    double const ideal = targets * prefill_time / total;
    // The band is wider than rounding, so that noise in the mix does not flip a role.
    if (std::abs(ideal - present) <= 0.75 && present >= 1 && present < targets) {
        return present;
    }
    return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(std::lround(ideal)), 1U,
                                     targets - 1U);
}

std::string describe(placement_change const& change) {
    auto const seconds = std::chrono::duration<double>(change.cost).count();
    char numbers[80];
    std::snprintf(numbers, sizeof numbers, // NOLINT(cppcoreguidelines-pro-type-vararg)
                  " gain=%.1f cost_s=%.2f", change.gain, seconds);
    std::string text = std::string{name_of(change.action)} + " target=" + change.target +
                       " model=" + change.model + " version=" + change.version;
    if (!change.adapter.empty()) {
        text += " adapter=" + change.adapter;
    }
    if (change.action == placement_action::change_role) {
        text += std::string{" role="} + name_of(change.role);
    }
    return text + " cause=\"" + change.cause + '"' + numbers;
}

char const* name_of(placement_action action) {
    switch (action) {
    case placement_action::load_model:
        return "load_model";
    case placement_action::load_adapter:
        return "load_adapter";
    case placement_action::unload_adapter:
        return "unload_adapter";
    case placement_action::change_role:
        return "change_role";
    }
    return "unknown";
}

char const* name_of(target_role role) {
    switch (role) {
    case target_role::mixed:
        return "mixed";
    case target_role::prefill:
        return "prefill";
    case target_role::decode:
        return "decode";
    }
    return "unknown";
}

} // namespace fireflycrank
