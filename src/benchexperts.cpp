#include "bench.h"
#include "expertplan.h"
#include "mapswitch.h"
#include "placement.h"
#include "rng.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <ctime>
#include <map>
#include <numeric>

namespace fireflycrank {

namespace {

// Lower bound of step_skew (skew_lower_bound): no map with these slots can be better than the
// higher of two values. One is 1, since the highest load is at least the mean. The other is the
// least possible load of the most loaded replica over the mean rank load, found by bisection: a
// limit is possible when the replicas that keep every expert's replicas below it fit into the
// slots, with at most one replica of an expert on a rank. Shares may differ between replicas; the
// bound holds then too. The bound takes the true popularity of the window, which the planner never
// sees.
constexpr std::uint32_t ranks = 128;
constexpr std::uint32_t experts = 128;
constexpr std::uint32_t slots = 2;
constexpr std::uint32_t windows_per_day = 1440; // counts and plans every minute
constexpr std::uint32_t topic_windows = 180;    // a topic lasts three hours
// A group's tokens in a window: 950,000 a second over the 18.75 groups of 128 ranks in 2,400.
constexpr double tokens_per_window = 950'000.0 / (2'400.0 / 128) * 60;
// Tokens of one request resemble each other, so counts vary more than independent draws do.
constexpr double count_dispersion = 4;

// Popularity over a day: a Zipf law whose order of experts drifts. Each expert's log popularity
// follows two slow waves of its own, and every few hours a topic makes some experts jump.
struct drifting_day {
    std::vector<double> base;
    std::vector<double> phase;
    std::vector<double> swing;
    std::vector<std::uint32_t> topic;
    double jump;
};

drifting_day make_day(double exponent, rng& random) {
    drifting_day day;
    day.jump = 1.0;
    std::vector<std::uint32_t> order(experts);
    std::iota(order.begin(), order.end(), 0U);
    for (std::size_t index = experts; index > 1; --index) {
        std::swap(order[index - 1], order[next_below(random, index)]);
    }
    for (std::uint32_t expert = 0; expert < experts; ++expert) {
        day.base.push_back(-exponent * std::log(1.0 + order[expert]));
        day.phase.push_back(next_unit(random) * 6.283185307);
        day.swing.push_back(0.2 + 0.6 * next_unit(random));
        day.topic.push_back(static_cast<std::uint32_t>(next_below(random, 8)));
    }
    return day;
}

std::vector<double> popularity(drifting_day const& day, std::uint32_t window) {
    double const turn = 6.283185307 * window / windows_per_day;
    std::vector<double> load(experts);
    auto const topic = window / topic_windows % 8;
    for (std::uint32_t expert = 0; expert < experts; ++expert) {
        double const wave = day.swing[expert] * (std::sin(turn + day.phase[expert]) +
                                                 0.4 * std::sin(3 * turn + 2 * day.phase[expert]));
        load[expert] =
            std::exp(day.base[expert] + wave + (day.topic[expert] == topic ? day.jump : 0.0));
    }
    double const total = std::accumulate(load.begin(), load.end(), 0.0);
    for (auto& one : load) {
        one /= total;
    }
    return load;
}

// Counts of one window as control receives them, with a tenth of the ranks' reports lost.
std::vector<std::uint64_t> counted(std::vector<double> const& load, rng& random) {
    std::vector<std::uint64_t> counts;
    for (auto const one : load) {
        double const expected = one * tokens_per_window * 0.9;
        double const noise = (next_unit(random) + next_unit(random) + next_unit(random) - 1.5) * 2;
        counts.push_back(static_cast<std::uint64_t>(
            std::max(0.0, expected + noise * std::sqrt(expected * count_dispersion))));
    }
    return counts;
}

struct day_figures {
    double ratio_sum{0}; // skew over its lower bound
    double ratio_worst{0};
    double static_sum{0};
    double static_worst{0};
    std::uint64_t moves{0};
    std::uint64_t full_moves{0};
    std::uint32_t windows{0};
    std::uint32_t decisions{0};
    double plan_ms_sum{0};
    double plan_ms_worst{0};
    double plan_cpu_ms_worst{0};
    std::uint32_t plans{0};

    void add(day_figures const& other) {
        ratio_sum += other.ratio_sum;
        ratio_worst = std::max(ratio_worst, other.ratio_worst);
        static_sum += other.static_sum;
        static_worst = std::max(static_worst, other.static_worst);
        moves += other.moves;
        full_moves += other.full_moves;
        windows += other.windows;
        decisions += other.decisions;
        plan_ms_sum += other.plan_ms_sum;
        plan_ms_worst = std::max(plan_ms_worst, other.plan_ms_worst);
        plan_cpu_ms_worst = std::max(plan_cpu_ms_worst, other.plan_cpu_ms_worst);
        plans += other.plans;
    }
};

// Processor time of this thread, which other processes on the machine do not lengthen.
double thread_cpu_ms() {
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) * 1e3 + static_cast<double>(used.tv_nsec) * 1e-6;
}

void run_day(double exponent, std::uint64_t seed, day_figures& figures) {
    rng random{seed};
    auto const day = make_day(exponent, random);
    std::vector<double> const speed(ranks, 1.0);
    plan_settings settings;
    settings.slots_per_rank = slots;
    popularity_settings const smoothing;
    layer_popularity seen;
    // Baseline: a good map for the first window, never changed.
    auto const first = full_recompute(popularity(day, 0), speed, slots);
    auto present = first;
    auto recomputed = first;
    std::vector<std::uint64_t> late;
    for (std::uint32_t window = 0; window < windows_per_day; ++window) {
        auto const load = popularity(day, window);
        // The map in force during the window was planned from the counts of earlier windows.
        double const bound = skew_lower_bound(load, speed, slots);
        double const ratio = skew(present, load, speed, slots) / bound;
        double const fixed = skew(first, load, speed, slots) / bound;
        figures.ratio_sum += ratio;
        figures.ratio_worst = std::max(figures.ratio_worst, ratio);
        figures.static_sum += fixed;
        figures.static_worst = std::max(figures.static_worst, fixed);
        ++figures.windows;
        auto counts = counted(load, random);
        double const draw = next_unit(random);
        if (draw < 0.1) {
            late = counts;        // arrives one window late
        } else if (draw > 0.15) { // the rest is lost
            observe(seen, window, counts, 0.9, smoothing);
        }
        if (!late.empty() && draw >= 0.1) {
            observe(seen, window == 0 ? 0 : window - 1, late, 0.9, smoothing);
            late.clear();
        }
        auto const expected = forecast(seen, 1.0, smoothing);
        if (expected.empty()) {
            continue;
        }
        settings.life_steps = 20'000;
        auto const before = std::chrono::steady_clock::now();
        double const cpu_before = thread_cpu_ms();
        auto const plan = plan_layer(present, expected, speed, settings);
        double const cpu = thread_cpu_ms() - cpu_before;
        double const took =
            std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - before)
                .count();
        figures.plan_ms_sum += took;
        figures.plan_ms_worst = std::max(figures.plan_ms_worst, took);
        figures.plan_cpu_ms_worst = std::max(figures.plan_cpu_ms_worst, cpu);
        ++figures.plans;
        // The stall is shared by the layers of a group; one layer stands for 60.
        if (plan.cause == plan_cause::balanced || plan.gain < plan.cost + settings.stall / 60) {
            continue;
        }
        ++figures.decisions;
        figures.moves += moved_replicas(present, plan.map, slots);
        auto const anew = full_recompute(expected, speed, slots);
        figures.full_moves += moved_replicas(recomputed, anew, slots);
        recomputed = anew;
        present = plan.map;
    }
}

// A group of 128 ranks switches maps over messages of one millisecond each way. A record takes two
// of them. All steps last 39 ms; a rank whose gate is closed holds up the group.
struct switch_scenario {
    double loss{0};
    std::uint64_t lead{4};
    bool leader_lost{false}; // right after the arm is recorded
};

struct switch_run {
    static constexpr int step_ms = 39;
    static constexpr int election_ms = 3'000; // the stated bound for a new leader
    switch_scenario scenario;
    rng random;
    map_table table;
    switch_controller controller;
    std::vector<switch_participant> members;
    std::multimap<int, map_view_message> views;
    std::multimap<int, map_view_query> asks;
    std::multimap<int, rank_report> reports;
    std::multimap<int, map_command> commands;
    int now_ms{0};
    int leader_from{0};

    time_point now() const { return time_point{std::chrono::milliseconds{now_ms}}; }
    wall_time wall() const { return wall_time{std::chrono::milliseconds{now_ms}}; }
    bool led() const { return now_ms >= leader_from; }
    bool arrives() { return next_unit(random) >= scenario.loss; }

    void send(participant_actions const& actions) {
        for (auto const& report : actions.reports) {
            if (arrives()) {
                reports.emplace(now_ms + 1, report);
            }
        }
        for (auto const& ask : actions.queries) {
            if (arrives()) {
                asks.emplace(now_ms + 1, ask);
            }
        }
    }
    void send(controller_actions const& actions) {
        for (auto const& view : actions.views) {
            if (arrives()) {
                views.emplace(now_ms + 1, view);
            }
        }
        for (auto const& command : actions.commands) {
            commands.emplace(now_ms + 2, command);
        }
    }
    template <class Message, class Handle>
    void deliver(std::multimap<int, Message>& queue, Handle handle) {
        while (!queue.empty() && queue.begin()->first <= now_ms) {
            auto const message = queue.begin()->second;
            queue.erase(queue.begin());
            handle(message);
        }
    }
    group_record const& record() const { return table.groups.at("g"); }

    void lose_leader() {
        switch_controller fresh;
        fresh.group = "g";
        fresh.fence = controller.fence + 1;
        fresh.settings = controller.settings;
        controller = fresh;
        leader_from = now_ms + election_ms;
        commands.clear();
        reports.clear();
        asks.clear();
    }
    void apply_command(map_command const& command) {
        if (!led() || !apply(table, command).accepted) {
            return;
        }
        if (scenario.leader_lost && command.kind == map_command_kind::arm) {
            send(on_record(controller, record(), now(), wall()));
            lose_leader();
            return;
        }
        send(on_record(controller, record(), now(), wall()));
    }
    void exchange() {
        deliver(commands, [&](auto const& command) { apply_command(command); });
        deliver(views, [&](auto const& view) {
            auto& rank = members[view.rank];
            send(on_view(rank, view, now()));
            while (rank.fetching_map != 0) {
                send(on_loaded(rank, rank.fetching_map));
            }
        });
        deliver(asks, [&](auto const& ask) {
            if (led() && arrives()) { // a linearizable read takes two messages more
                views.emplace(now_ms + 3, make_query_reply(record(), controller.fence, ask));
            }
        });
        deliver(reports, [&](auto const& report) {
            if (led()) {
                send(on_report(controller, report, now(), wall()));
            }
        });
        if (led() && now_ms % 40 == 0) {
            send(on_record(controller, record(), now(), wall()));
        }
    }
};

switch_run make_switch_run(switch_scenario scenario, std::uint64_t seed) {
    switch_run run;
    run.scenario = scenario;
    run.random = rng{seed};
    map_command create;
    create.group = "g";
    create.fence = 1;
    create.map.id = 1;
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
        create.map.members.push_back(rank);
    }
    apply(run.table, create);
    auto begin = create;
    begin.kind = map_command_kind::begin;
    begin.revision = 1;
    begin.map.id = 2;
    begin.deadline = wall_time{std::chrono::minutes{10}};
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
        switch_participant member;
        member.group = "g";
        member.rank = rank;
        member.incarnation = 1;
        member.synced = true;
        member.view = make_group_view(run.record(), rank);
        member.loaded_maps = {1};
        run.members.push_back(member);
    }
    apply(run.table, begin);
    run.controller.group = "g";
    run.controller.fence = 1;
    run.controller.settings.arm_lead_steps = scenario.lead;
    // With the leader lost, the deadline has to outlast the election for the switch to go through.
    run.controller.settings.arm_timeout =
        std::chrono::milliseconds{scenario.leader_lost ? 6'000 : 1'000};
    return run;
}

// Milliseconds that the group's steps came late, from the record of the switch to the decision and
// ten steps on.
double switch_stall_ms(switch_scenario scenario, std::uint64_t seed) {
    auto run = make_switch_run(scenario, seed);
    double stall = 0;
    int next_step_at = 0;
    int steps_after = 0;
    for (; run.now_ms < 60'000 && steps_after < 10; ++run.now_ms) {
        run.exchange();
        if (run.now_ms < next_step_at) {
            continue;
        }
        bool const open = std::all_of(run.members.begin(), run.members.end(), [](auto const& rank) {
            return check_next_step(rank).status == step_status::run;
        });
        if (!open) {
            stall += 1;
            for (auto& rank : run.members) {
                run.send(tick(rank, run.now()));
            }
            continue;
        }
        std::for_each(run.members.begin(), run.members.end(), on_step_started);
        next_step_at = run.now_ms + switch_run::step_ms;
        steps_after += run.record().pending.phase == switch_phase::none ? 1 : 0;
    }
    return stall;
}

double mean_stall_ms(switch_scenario scenario, std::uint64_t seed) {
    constexpr int runs = 10;
    double sum = 0;
    for (std::uint64_t run = 0; run < runs; ++run) {
        sum += switch_stall_ms(scenario, seed + run);
    }
    return sum / runs;
}

// 600 targets in 6 zones, 3 models in steady use, 860 teams, a third of them with an adapter.
placement_input make_placement(std::uint64_t seed) {
    rng random{seed};
    placement_input input;
    for (std::uint32_t index = 0; index < 3; ++index) {
        input.models.push_back({.model = "model-" + std::to_string(index),
                                .version = "1",
                                .bytes = 60'000'000'000,
                                .priority = index,
                                .min_ready = 8,
                                .max_targets = 0,
                                .target_capacity = 1'580, // 950,000 tokens a second over 600
                                .prefill_share = index == 0 ? 0.3 : 0});
    }
    for (std::uint32_t index = 0; index < 600; ++index) {
        placement_target target;
        target.name = "target-" + std::to_string(index);
        target.zone = "zone-" + std::to_string(index % 6);
        target.memory_bytes = 160'000'000'000;
        auto const& model = input.models[next_below(random, 3)];
        target.model = model.model;
        target.version = model.version;
        target.model_bytes = model.bytes;
        target.stopping = next_unit(random) < 0.02;
        input.targets.push_back(std::move(target));
    }
    for (std::uint32_t team = 0; team < 860; ++team) {
        double const size = 1.0 / (1.0 + 200.0 * next_unit(random));
        input.teams.push_back(
            {"team-" + std::to_string(team), "model-" + std::to_string(next_below(random, 3)),
             team % 3 == 0 ? "adapter-" + std::to_string(team) : "", 400'000'000, size * 12'000});
    }
    input.limits.store_bytes_per_s = 20'000'000'000;
    return input;
}

double milliseconds_since(std::chrono::steady_clock::time_point start) {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
        .count();
}

void add_skew_figures(std::vector<bench_result>& results, std::uint64_t seed) {
    day_figures all;
    for (double const exponent : {0.3, 0.6, 0.9, 1.2}) {
        day_figures day;
        run_day(exponent, seed, day);
        all.add(day);
        double const mean = day.ratio_sum / day.windows;
        results.push_back({"step_skew_zipf_" + std::to_string(exponent).substr(0, 3), "ratio", mean,
                           day.static_sum / day.windows, 1.10, mean <= 1.10, true});
    }
    double const mean = all.ratio_sum / all.windows;
    results.push_back(
        {"step_skew", "ratio", mean, all.static_sum / all.windows, 1.10, mean <= 1.10, true});
    results.push_back({"step_skew_worst", "ratio", all.ratio_worst, all.static_worst,
                       all.static_worst, all.ratio_worst <= all.static_worst, true});
    double const moves =
        static_cast<double>(all.moves) / std::max(1.0, static_cast<double>(all.full_moves));
    results.push_back({"rebalance_moves_ratio", "ratio", moves, 1, 0.25, moves <= 0.25, true});
    double const days = 4;
    double const gigabytes = plan_settings{}.bytes_per_expert / 1e9 / days;
    results.push_back(
        {"rebalance_gb_per_layer_day", "GB", static_cast<double>(all.moves) * gigabytes,
         static_cast<double>(all.full_moves) * gigabytes,
         static_cast<double>(all.full_moves) * gigabytes * 0.25, moves <= 0.25, true});
    double const plan_ms = all.plan_ms_sum / all.plans;
    results.push_back({"rebalance_plan_ms", "ms", plan_ms, 0, 5, plan_ms <= 5, false});
    results.push_back(
        {"rebalance_plan_worst_ms", "ms", all.plan_ms_worst, 0, 5, all.plan_ms_worst <= 5, false});
    results.push_back({"rebalance_plan_worst_cpu_ms", "ms", all.plan_cpu_ms_worst, 0, 5,
                       all.plan_cpu_ms_worst <= 5, false});
}

} // namespace

std::vector<bench_result> bench_experts(std::uint64_t seed) {
    std::vector<bench_result> results;
    add_skew_figures(results, seed);
    // Baseline: ranks stop as soon as they hear of the switch (a lead of one step).
    double const stop_at_once = mean_stall_ms({.loss = 0, .lead = 1}, seed);
    double const stall = mean_stall_ms({}, seed);
    results.push_back({"map_switch_stall_ms", "ms", stall, stop_at_once, switch_run::step_ms,
                       stall <= switch_run::step_ms, true});
    double const loss_stall = mean_stall_ms({.loss = 0.1}, seed);
    results.push_back({"map_switch_stall_loss_ms", "ms", loss_stall,
                       mean_stall_ms({.loss = 0.1, .lead = 1}, seed), 1'000, loss_stall <= 1'000,
                       true});
    double const leader_stall = mean_stall_ms({.loss = 0, .lead = 4, .leader_lost = true}, seed);
    results.push_back({"map_switch_stall_leader_loss_ms", "ms", leader_stall,
                       switch_run::election_ms, switch_run::election_ms + 1'000,
                       leader_stall <= switch_run::election_ms + 1'000, true});
    auto const input = make_placement(seed);
    constexpr int placements = 5;
    auto const start = std::chrono::steady_clock::now();
    std::size_t changes = 0;
    for (int run = 0; run < placements; ++run) {
        changes += plan_placement(input).changes.size();
    }
    double const placement_ms = milliseconds_since(start) / placements;
    results.push_back(
        {"placement_plan_ms", "ms", placement_ms, 0, 1'000, placement_ms <= 1'000, false});
    results.push_back({"placement_changes", "changes", static_cast<double>(changes) / placements, 0,
                       600, changes > 0, true});
    return results;
}

} // namespace fireflycrank
