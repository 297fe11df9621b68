#include "expertplan.h"
#include "expertswire.h"
#include "placement.h"
#include "rng.h"
#include "rollout.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

using namespace fireflycrank;

namespace {

std::vector<double> random_load(rng& random, std::size_t experts, double exponent) {
    std::vector<double> load(experts);
    for (auto& one : load) {
        one = std::pow(0.02 + next_unit(random), exponent * 3);
    }
    double const total = std::accumulate(load.begin(), load.end(), 0.0);
    for (auto& one : load) {
        one /= total;
    }
    return load;
}

// Every expert with load has a live replica, and no dead slot has a share.
bool serves_all(layer_map const& map, std::vector<double> const& speed, std::size_t experts,
                std::uint32_t per_rank) {
    std::vector<double> share(experts, 0);
    for (std::size_t slot = 0; slot < map.slot_expert.size(); ++slot) {
        if (speed[slot / per_rank] <= 0 && map.share[slot] > 0) {
            return false;
        }
        if (map.slot_expert[slot] != no_expert) {
            share[map.slot_expert[slot]] += map.share[slot];
        }
    }
    return std::all_of(share.begin(), share.end(),
                       [](double one) { return std::abs(one - 1) < 1e-3; });
}

// The best skew of all maps within `moves` replaced slots, by trying them all.
double naive_best(layer_map const& present, std::vector<double> const& load,
                  std::vector<double> const& speed, std::uint32_t per_rank, std::uint32_t moves) {
    auto map = present;
    balance_shares(map, load, speed, per_rank, 300);
    double best =
        serves_all(map, speed, load.size(), per_rank) ? skew(map, load, speed, per_rank) : 1e9;
    for (std::size_t slot = 0; moves > 0 && slot < map.slot_expert.size(); ++slot) {
        auto const first =
            present.slot_expert.begin() + static_cast<std::ptrdiff_t>(slot / per_rank * per_rank);
        for (std::size_t expert = 0; expert < load.size(); ++expert) {
            if (std::find(first, first + per_rank, expert) == first + per_rank) {
                auto next = present;
                next.slot_expert[slot] = static_cast<std::uint16_t>(expert);
                best = std::min(best, naive_best(next, load, speed, per_rank, moves - 1));
            }
        }
    }
    return best;
}

plan_settings free_moves(std::uint32_t moves) {
    plan_settings settings;
    settings.max_moves = moves;
    settings.life_steps = 1e9; // the search itself is tested, not the weighing
    return settings;
}

} // namespace

TEST_CASE("small plans come within the target of an exhaustive search") {
    // Guards against a local search that stops far from the optimum. 1.10 is the stated target.
    double sum = 0;
    int cases = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        rng random{seed};
        std::vector<double> const speed(4, 1.0);
        auto const present = full_recompute(random_load(random, 5, 1), speed, 2);
        auto const load = random_load(random, 5, 0.7);
        auto const settings = free_moves(2);
        auto const plan = plan_layer(present, load, speed, settings);
        CHECK(serves_all(plan.map, speed, 5, 2));
        CHECK(plan.moves <= 2);
        CHECK(moved_replicas(present, plan.map, 2) <= plan.moves);
        CHECK(plan.skew_after <= plan.skew_before);
        auto const best = naive_best(present, load, speed, 2, 2);
        CHECK(best >= skew_lower_bound(load, speed, 2) - 1e-3);
        sum += skew(plan.map, load, speed, 2) / best;
        ++cases;
    }
    MESSAGE("mean ratio to the optimum " << sum / cases);
    CHECK(sum / cases <= 1.10);
}

TEST_CASE("large plans stay close to a full recompute for a quarter of its moves") {
    // Guards against a planner that follows a drift only by rebuilding the map.
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        rng random{seed};
        std::vector<double> const speed(128, 1.0);
        auto load = random_load(random, 128, 0.3 * static_cast<double>(seed % 3 + 1));
        auto const present = full_recompute(load, speed, 2);
        for (auto& one : load) {
            one *= 0.7 + 0.6 * next_unit(random);
        }
        auto const plan = plan_layer(present, load, speed, free_moves(32));
        auto const anew = full_recompute(load, speed, 2);
        CHECK(serves_all(plan.map, speed, 128, 2));
        CHECK(plan.skew_after <= 1.10 * skew(anew, load, speed, 2));
        CHECK(moved_replicas(present, plan.map, 2) <= moved_replicas(present, anew, 2) / 4.0);
    }
}

TEST_CASE("dead ranks are covered by replicas first, and slow ones get less") {
    // Guards against experts without a live replica, and against moves that replicas make needless.
    rng random{5};
    std::vector<double> speed(16, 1.0);
    auto const load = random_load(random, 20, 0.5);
    auto const present = full_recompute(load, speed, 2);
    for (std::uint32_t dead = 0; dead < 16; ++dead) {
        auto broken = speed;
        broken[dead] = 0;
        std::uint32_t single = 0;
        for (std::uint32_t slot = dead * 2; slot < dead * 2 + 2; ++slot) {
            auto const& held = present.slot_expert;
            single += std::count(held.begin(), held.end(), held[slot]) == 1 ? 1 : 0;
        }
        auto const plan = plan_layer(present, load, broken, free_moves(0));
        CHECK(plan.cause == plan_cause::dead_rank);
        CHECK(plan.moves == single);
        CHECK(serves_all(plan.map, broken, 20, 2));
        auto const group = plan_group({present}, {plan}, free_moves(0), 0);
        CHECK(group.accepted);
    }
    auto few = std::vector<double>(16, 0.0);
    few[3] = 1;
    CHECK(plan_layer(present, load, few, free_moves(4)).cause == plan_cause::impossible);
    // One rank takes twice as long per token, another has twice the tokens.
    std::vector<rank_sample> samples(16, {true, 1000, std::chrono::microseconds{300}});
    samples[2].busy = std::chrono::microseconds{500};
    samples[7] = {true, 2000, std::chrono::microseconds{500}};
    samples[9].alive = false;
    std::vector<rank_condition> judged;
    for (int round = 0; round < 6; ++round) {
        judged = judge_ranks(samples, std::chrono::microseconds{100}, judged);
    }
    CHECK(judged[2].health == rank_health::slow);
    CHECK(judged[2].speed == doctest::Approx(0.5).epsilon(0.05));
    CHECK(judged[7].health == rank_health::overloaded);
    CHECK(judged[7].speed == doctest::Approx(1.0));
    CHECK(judged[9].health == rank_health::dead);
    speed[2] = 0.5;
    auto const slowed = plan_layer(present, load, speed, free_moves(4));
    CHECK(slowed.cause == plan_cause::slow_rank);
    CHECK(slowed.skew_after < slowed.skew_before);
    // Gain below the cost, or below the hysteresis: nothing moves.
    auto settings = free_moves(4);
    settings.life_steps = 1;
    auto const kept = plan_layer(present, load, speed, settings);
    CHECK(kept.moves == 0); // shares alone cost nothing but the stall, which the group weighs
    auto const stays = plan_group({present}, {kept}, settings, 4);
    CHECK(!stays.accepted);
    CHECK(stays.layers.at(0) == present);
}

TEST_CASE("popularity follows a trend through late, lost and partial counts") {
    // Guards against a forecast that lost or late windows throw off.
    rng random{3};
    popularity_settings const settings;
    layer_popularity state;
    auto const truth = [](double window) { return 0.2 + 0.002 * window; };
    for (std::uint64_t window = 0; window < 60; ++window) {
        if (window > 0 && next_unit(random) < 0.2) {
            continue;
        }
        auto const late = window > 4 && next_unit(random) < 0.2 ? window - 2 : window;
        auto const first = truth(static_cast<double>(late));
        auto const part = 0.5 + 0.5 * next_unit(random);
        observe(state, late,
                {static_cast<std::uint64_t>(1e6 * part * first),
                 static_cast<std::uint64_t>(1e6 * part * (1 - first))},
                part, settings);
    }
    auto const expected = forecast(state, 1, settings);
    CHECK(expected[0] + expected[1] == doctest::Approx(1.0));
    CHECK(expected[0] == doctest::Approx(truth(60)).epsilon(0.05));
    auto const before = state;
    observe(state, 1, {0, 1'000'000}, 1, settings);
    observe(state, 70, {0, 0}, 1, settings);
    CHECK(state.level == before.level);
}

namespace {

placement_input random_input(rng& random) {
    placement_input input;
    auto const pick = [&](std::uint64_t count) {
        return std::to_string(next_below(random, count));
    };
    std::uint64_t const targets = 6 + next_below(random, 30);
    for (std::uint64_t index = 0; index < 3; ++index) {
        input.models.push_back({.model = "m" + std::to_string(index),
                                .version = "1",
                                .bytes = 20 + next_below(random, 30),
                                .priority = static_cast<std::uint32_t>(next_below(random, 3)),
                                .min_ready = static_cast<std::uint32_t>(next_below(random, 3)),
                                .max_targets = 0,
                                .target_capacity = 10,
                                .prefill_share = index == 0 ? 0.3 : 0});
    }
    for (std::uint64_t index = 0; index < targets; ++index) {
        placement_target target;
        target.name = "t" + std::to_string(index);
        target.zone = "z" + pick(3);
        target.memory_bytes = 60 + next_below(random, 40);
        if (next_unit(random) < 0.8) {
            auto const& model = input.models[next_below(random, 3)];
            target.model = model.model;
            target.version = "1";
            target.model_bytes = model.bytes;
        }
        target.alive = next_unit(random) < 0.9;
        target.stopping = next_unit(random) < 0.1;
        target.busy = next_unit(random) < 0.1;
        input.targets.push_back(target);
    }
    for (int team = 0; team < 20; ++team) {
        input.teams.push_back({"team" + std::to_string(team), "m" + pick(3),
                               next_unit(random) < 0.5 ? "a" + pick(6) : "", 3,
                               8 * next_unit(random)});
    }
    input.limits.store_bytes_per_s = 10 + next_below(random, 30);
    return input;
}

// Applies a plan to the targets and checks each limit in the plainest way.
void check_plan(placement_input& input, placement_plan const& plan) {
    auto const ready = [&](model_intent const& intent) {
        return std::count_if(input.targets.begin(), input.targets.end(), [&](auto const& target) {
            return target.alive && !target.stopping && !target.busy && target.model == intent.model;
        });
    };
    std::map<std::string, std::ptrdiff_t> before;
    for (auto const& intent : input.models) {
        before[intent.model] = ready(intent);
    }
    std::uint64_t bytes = 0;
    std::set<std::string> touched;
    for (auto const& change : plan.changes) {
        auto const target =
            std::find_if(input.targets.begin(), input.targets.end(),
                         [&](auto const& one) { return one.name == change.target; });
        REQUIRE(target != input.targets.end());
        REQUIRE(touched.insert(change.target).second);
        CHECK((target->alive && !target->stopping && !target->busy && !target->pinned));
        CHECK(!change.cause.empty());
        CHECK(change.cost >= duration::zero());
        bytes += change.fetch_bytes;
        if (change.action == placement_action::load_model) {
            target->model = change.model;
            target->version = change.version;
            target->model_bytes = change.fetch_bytes;
            target->adapters.clear();
            target->busy = true;
        } else if (change.action == placement_action::load_adapter) {
            CHECK(target->model == change.model);
            target->adapters[change.adapter] = change.fetch_bytes;
        } else if (change.action == placement_action::change_role) {
            target->role = change.role;
            target->busy = true;
        } else {
            CHECK(target->adapters.erase(change.adapter) == 1);
        }
        auto used = target->model_bytes;
        for (auto const& [name, size] : target->adapters) {
            used += size;
        }
        CHECK(used <= target->memory_bytes);
    }
    CHECK(bytes == plan.fetch_bytes);
    CHECK(bytes + input.limits.store_bytes_open <= input.limits.store_bytes_per_s * 10);
    for (auto const& intent : input.models) {
        auto const floor = std::min<std::ptrdiff_t>(before[intent.model], intent.min_ready);
        CHECK(ready(intent) >= floor);
    }
}

} // namespace

TEST_CASE("placement keeps every limit at every step and settles") {
    // Guards against a step that breaks a limit, and against targets moved back and forth for ever.
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        rng random{seed};
        auto input = random_input(random);
        CHECK(plan_placement(input).changes == plan_placement(input).changes);
        std::size_t last = 1;
        for (int step = 0; step < 60; ++step) {
            auto const plan = plan_placement(input);
            check_plan(input, plan);
            last = plan.changes.size();
            for (auto& target : input.targets) {
                target.busy = false;
            }
        }
        CHECK(last == 0);
        // Between plain demand and headroom the dead band may keep a target where it is.
        auto plain = input;
        plain.limits.headroom = 1;
        auto const wanted = wanted_targets(input);
        auto const needed = wanted_targets(plain);
        for (auto const& intent : input.models) {
            auto const held =
                std::count_if(input.targets.begin(), input.targets.end(), [&](auto const& target) {
                    return target.alive && !target.stopping && target.model == intent.model;
                });
            CHECK(held >= std::min(wanted.at(intent.model), needed.at(intent.model)));
        }
    }
    CHECK(prefill_targets(8, 3, 5, 3) == 3);
    CHECK(prefill_targets(8, 3.5, 4.5, 3) == 3); // inside the dead band
    CHECK(prefill_targets(8, 5, 3, 3) == 5);
    CHECK(prefill_targets(8, 0, 3, 3) == 1);
}

TEST_CASE("a rollout resumes after controller loss without repeating or losing an order") {
    // Guards against a target ordered twice, left out, or left on the wrong version.
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        rng random{seed};
        bool const fails = seed % 3 == 0;
        placement_table table;
        std::vector<placement_target> targets(9);
        for (std::size_t index = 0; index < targets.size(); ++index) {
            targets[index].name = "t" + std::to_string(index);
            targets[index].model = "m";
            targets[index].version = "1";
        }
        placement_command begin;
        begin.kind = placement_command_kind::begin_rollout;
        begin.fence = 1;
        begin.rollout = {.id = "r",
                         .model = "m",
                         .from_version = "1",
                         .to_version = "2",
                         .bytes = 5,
                         .batch = 2,
                         .min_ready = 6,
                         .cause = {}};
        REQUIRE(apply(table, begin).accepted);
        REQUIRE(apply(table, begin).accepted);
        std::map<std::string, int> runs; // order id to number of runs at the target
        std::map<std::string, bool> results;
        std::uint64_t fence = 1;
        wall_time now{std::chrono::hours{1}};
        for (int round = 0; round < 4000; ++round) {
            now += std::chrono::seconds{5};
            if (next_unit(random) < 0.1) {
                ++fence; // a new leader: it has the table's bytes and nothing else
                table = parse_placement_table(serialize(table)).value();
            }
            auto const actions = plan_rollouts(table, targets, fence, now);
            for (auto command : actions.commands) {
                command = parse_placement_command(serialize(command)).value();
                if (next_unit(random) < 0.8) {
                    apply(table, command);
                }
                if (next_unit(random) < 0.3) {
                    apply(table, command); // proposed again after a lost reply
                }
            }
            for (auto const& order : actions.send) {
                if (next_unit(random) < 0.5) {
                    continue; // lost
                }
                if (!results.contains(order.id)) { // the agent runs an id once
                    ++runs[order.id];
                    bool const good =
                        !(fails && order.change.version == "2" && order.change.target == "t4");
                    results[order.id] = good;
                    auto& target = targets[std::stoul(order.change.target.substr(1))];
                    target.version = good ? order.change.version : target.version;
                }
                placement_command result;
                result.kind = placement_command_kind::record_result;
                result.fence = fence;
                result.at = now;
                result.order = order.id;
                result.succeeded = results[order.id];
                if (next_unit(random) < 0.7) {
                    CHECK(apply(table, result).accepted);
                }
            }
            std::ptrdiff_t const open =
                std::count_if(table.orders.begin(), table.orders.end(), [](auto const& entry) {
                    return entry.second.state == order_state::open;
                });
            REQUIRE(open <= 2);
        }
        auto const phase = table.rollouts.at("r").phase;
        CHECK(phase == (fails ? rollout_phase::rolled_back : rollout_phase::done));
        std::map<std::string, int> per_target;
        for (auto const& [id, order] : table.orders) {
            CHECK(order.state != order_state::open);
            CHECK(runs[id] == 1);
            per_target[order.change.target + order.change.version] += 1;
        }
        for (auto const& target : targets) {
            CHECK(target.version == (fails ? "1" : "2"));
            CHECK(per_target[target.name + "2"] <= 1);
        }
        CHECK(fence > 1);
        prune(table, now);
        CHECK(table.orders.empty());
        begin.fence = 0;
        CHECK(!apply(table, begin).accepted);
    }
}

TEST_CASE("messages and tables survive the wire, and damage is an error") {
    // Guards against a field that a snapshot or a message drops.
    map_table table;
    map_command command;
    command.group = "g";
    command.fence = 3;
    command.map = {.id = 7,
                   .members = {0, 2},
                   .slots_per_rank = 2,
                   .layers = {{{1, 0, no_expert, 1}, {0.25F, 1, 0, 0.75F}}}};
    command.at = command.deadline = wall_time{std::chrono::seconds{9}};
    command.cause = "start";
    REQUIRE(apply(table, command).accepted);
    command.kind = map_command_kind::begin;
    command.revision = 1;
    command.map.id = 8;
    command.dead_ranks = {1};
    REQUIRE(apply(table, command).accepted);
    CHECK(parse_map_command(serialize(command)).value() == command);
    CHECK(parse_map_table(serialize(table)).value() == table);
    map_view_message const view{"g", 2, 3, make_group_view(table.groups["g"], 2), 4, 5, true};
    auto const read = parse_map_view(serialize(view)).value();
    CHECK((read.view == view.view && read.rank == 2 && read.fence == 3 && read.incarnation == 4 &&
           read.query_id == 5 && read.may_fetch && read.group == "g"));
    rank_report const report{"g", 1, 2, 3, 4, 5, 6, 7};
    CHECK(parse_rank_report(serialize(report)).value() == report);
    auto const ask = parse_map_ask(serialize(map_view_query{"g", 1, 2, 3})).value();
    CHECK((ask.group == "g" && ask.rank == 1 && ask.incarnation == 2 && ask.query_id == 3));
    CHECK(parse_map_reply(serialize(map_command_reply{false, "why", 4})).value().reason == "why");
    placement_command order;
    order.request = "q";
    order.change = {.action = placement_action::change_role,
                    .target = "t",
                    .model = "m",
                    .version = "1",
                    .adapter = "a",
                    .role = target_role::decode,
                    .fetch_bytes = 6,
                    .cause = "c",
                    .gain = 1.5,
                    .cost = duration{8}};
    placement_table placed;
    CHECK(parse_placement_command(serialize(order)).value() == order);
    auto const reply = apply(placed, order);
    CHECK(parse_placement_reply(serialize(reply)).value().order == reply.order);
    CHECK(parse_placement_table(serialize(placed)).value() == placed);
    auto const bytes = serialize(placed);
    CHECK(!parse_placement_table(std::string_view{bytes}.substr(0, bytes.size() - 3)));
    CHECK(!parse_map_command("\x08\x09"));
}
