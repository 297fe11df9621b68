#include "bench.h"
#include "benchworld.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <string>

namespace fireflycrank {

namespace {

struct workload_case {
    workload kind;
    char const* suffix;
};

constexpr std::array<workload_case, 2> workloads{
    {{workload::kumamoto, "_kumamoto"}, {workload::cordillera, "_cordillera"}}};

/// Requests that arrive earlier meet empty queues and untaught estimates, and are not counted.
constexpr time_point warm_from{std::chrono::seconds{30}};

/// Capacity of one fake runner whose slots are all in use, in output tokens per second.
constexpr double runner_speed = 8 / 0.028;

double seconds(duration span) {
    return std::chrono::duration<double>(span).count();
}

world_settings settings_for(workload kind) {
    world_settings settings;
    settings.trace.kind = kind;
    settings.queue.tokens_per_second = runner_speed;
    settings.routing.default_tokens_per_second = runner_speed;
    return settings;
}

double percentile(std::vector<double> values, double share) {
    if (values.empty()) {
        return 0;
    }
    auto const at = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

double mean(std::vector<double> const& values) {
    double sum = 0;
    for (auto const value : values) {
        sum += value;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

double short_wait_p95(world_result const& run) {
    std::vector<double> waits;
    for (std::size_t at = 0; at < run.trace.size(); ++at) {
        if (run.trace[at].is_short && run.trace[at].arrives >= warm_from) {
            // A refused request waits for ever as far as its caller is concerned.
            waits.push_back(run.requests[at].done
                                ? seconds(run.requests[at].started - run.trace[at].arrives)
                                : HUGE_VAL);
        }
    }
    return percentile(std::move(waits), 0.95);
}

/// Mean time of long requests as a multiple of their time alone on an empty runner.
double long_slowdown(world_result const& run) {
    std::vector<double> slowdowns;
    for (std::size_t at = 0; at < run.trace.size(); ++at) {
        auto const& request = run.trace[at];
        if (request.is_long && request.arrives >= warm_from) {
            slowdowns.push_back(run.requests[at].done
                                    ? seconds(run.requests[at].finished - request.arrives) /
                                          seconds(ideal_time({}, request.body))
                                    : HUGE_VAL);
        }
    }
    return mean(slowdowns);
}

double hit_share(world_result const& run) {
    double hits = 0;
    double prompts = 0;
    for (auto const& runner : run.runners) {
        hits += static_cast<double>(runner.hit_tokens);
        prompts += static_cast<double>(runner.prompt_tokens);
    }
    return prompts > 0 ? hits / prompts : 0;
}

/// Largest over mean work of a runner, in slot time.
double load_imbalance(world_result const& run) {
    std::vector<double> work;
    for (auto const& runner : run.runners) {
        work.push_back(runner.slot_seconds);
    }
    return *std::max_element(work.begin(), work.end()) / mean(work);
}

bool in_time(world_result const& run, std::size_t at) {
    return run.requests[at].done &&
           run.requests[at].finished <= run.trace[at].arrives + run.trace[at].patience;
}

double goodput(world_result const& run) {
    double count = 0;
    for (std::size_t at = 0; at < run.trace.size(); ++at) {
        count += in_time(run, at) ? 1 : 0;
    }
    return count;
}

/// Jain's index over the teams' work answered in time, each relative to its max-min fair part of
/// what was answered in all.
double team_fairness(world_result const& run, std::uint32_t teams) {
    std::vector<double> asked(teams, 0);
    std::vector<double> got(teams, 0);
    double capacity = 0;
    for (std::size_t at = 0; at < run.trace.size(); ++at) {
        auto const& request = run.trace[at];
        if (request.arrives >= warm_from) {
            asked[request.team] += request.body.output_tokens;
            got[request.team] += in_time(run, at) ? request.body.output_tokens : 0;
            capacity += in_time(run, at) ? request.body.output_tokens : 0;
        }
    }
    auto sorted = asked;
    std::sort(sorted.begin(), sorted.end());
    double level = HUGE_VAL;
    auto left = static_cast<double>(teams);
    for (auto const demand : sorted) {
        if (demand * left >= capacity) {
            level = capacity / left;
            break;
        }
        capacity -= demand;
        left -= 1;
    }
    double sum = 0;
    double squares = 0;
    for (std::uint32_t team = 0; team < teams; ++team) {
        auto const part = got[team] / std::max(std::min(asked[team], level), 1.0);
        sum += part;
        squares += part * part;
    }
    return squares > 0 ? sum * sum / (teams * squares) : 0;
}

/// Attempts that reached a slot per request that did.
double amplification(world_result const& run) {
    double attempts = 0;
    double first = 0;
    for (auto const& request : run.requests) {
        attempts += request.attempts;
        first += request.attempts > 0 ? 1 : 0;
    }
    return first > 0 ? attempts / first : 0;
}

/// A figure whose value must not exceed its target.
bench_result at_most(std::string name, std::string unit, double value, double baseline,
                     double target) {
    return {std::move(name), std::move(unit), value, baseline, target, value <= target, true};
}

/// A figure whose value must reach its target.
bench_result at_least(std::string name, std::string unit, double value, double baseline,
                      double target) {
    return {std::move(name), std::move(unit), value, baseline, target, value >= target, true};
}

void bench_steady(workload_case const& work, std::uint64_t seed, std::vector<bench_result>& out) {
    auto settings = settings_for(work.kind);
    settings.trace.patient = true;
    auto const ours = run_world(settings, seed);
    settings.baseline = true;
    auto const plain = run_world(settings, seed);
    std::string const suffix = work.suffix;
    out.push_back(at_most("short_wait_p95_ratio" + suffix, "ratio",
                          short_wait_p95(ours) / short_wait_p95(plain), short_wait_p95(plain),
                          0.25));
    out.push_back(at_most("long_slowdown_ratio" + suffix, "ratio",
                          long_slowdown(ours) / long_slowdown(plain), long_slowdown(plain), 1.3));
    out.push_back(at_least("prefix_hit_ratio" + suffix, "ratio", hit_share(ours) / hit_share(plain),
                           hit_share(plain), 1.5));
    out.push_back(at_most("prefix_load_imbalance" + suffix, "ratio", load_imbalance(ours),
                          load_imbalance(plain), 1.25));
}

void bench_crest(workload_case const& work, std::uint64_t seed, std::vector<bench_result>& out) {
    auto settings = settings_for(work.kind);
    settings.trace.load = 0.6;
    settings.trace.surge = 3;
    settings.trace.surge_from = std::chrono::seconds{60};
    settings.trace.surge_to = std::chrono::seconds{150};
    auto const ours = run_world(settings, seed);
    settings.baseline = true;
    auto const plain = run_world(settings, seed);
    out.push_back(at_least(std::string{"crest_goodput_ratio"} + work.suffix, "ratio",
                           goodput(ours) / goodput(plain), goodput(plain), 1.5));
}

void bench_flood(workload_case const& work, std::uint64_t seed, std::vector<bench_result>& out) {
    auto settings = settings_for(work.kind);
    settings.trace.load = 0.6;
    settings.trace.flood = 2;
    auto const ours = run_world(settings, seed);
    settings.baseline = true;
    auto const plain = run_world(settings, seed);
    auto const teams = settings.trace.teams;
    out.push_back(at_least(std::string{"team_fairness"} + work.suffix, "Jain index",
                           team_fairness(ours, teams), team_fairness(plain, teams), 0.95));
}

void bench_retries(workload_case const& work, std::uint64_t seed, std::vector<bench_result>& out) {
    auto settings = settings_for(work.kind);
    settings.trace.load = 0.6;
    settings.trace.length = std::chrono::seconds{120};
    settings.failing_runners = 8;
    settings.failing_share = 0.5;
    auto const ours = run_world(settings, seed);
    settings.baseline = true;
    auto const plain = run_world(settings, seed);
    out.push_back(at_most(std::string{"retry_amplification"} + work.suffix, "attempts/request",
                          amplification(ours), amplification(plain), 1.1));
}

/// Nanoseconds of one decision, lookup of the cached prefix included. The least of several rounds,
/// because other work on the machine only ever adds time.
double decision_ns(std::uint32_t targets, std::uint64_t seed) {
    constexpr int rounds = 12;
    constexpr int decisions = 5000;
    rng source{seed};
    route_table table;
    table.own_zone = "a";
    prefix_index index;
    time_point const now{std::chrono::seconds{10}};
    std::vector<std::uint64_t> blocks(32);
    for (auto& block : blocks) {
        block = next_bits(source);
    }
    for (std::uint32_t target = 0; target < targets; ++target) {
        target_info facts;
        facts.name = "t" + std::to_string(target);
        facts.incarnation = 1;
        facts.zone = target % 3 == 0 ? "a" : "b";
        facts.serves = {"model"};
        upsert_target(table, facts, now);
        record_load_report(table, target, 1, {4, 2, next_unit(source) * 4000, 280, 8, 0, 0}, now);
        if (target % 5 == 0) {
            apply_event(index, {target, 1, 1, cache_event_kind::stored, blocks}, now);
        }
    }
    route_request request;
    request.serves = "model";
    request.work = 40;
    double best = HUGE_VAL;
    std::uint64_t chosen = 0;
    for (int round = 0; round < rounds; ++round) {
        auto const from = std::chrono::steady_clock::now();
        for (int at = 0; at < decisions; ++at) {
            request.prefix_matches = find_prefix(index, blocks, now);
            chosen += choose_target(table, request, source, now).target;
        }
        std::chrono::duration<double, std::nano> const took =
            std::chrono::steady_clock::now() - from;
        best = std::min(best, took.count() / decisions);
    }
    return chosen == UINT64_MAX ? HUGE_VAL : best; // Uses the choices, so that none is left out.
}

void bench_decision(std::uint64_t seed, std::vector<bench_result>& out) {
    auto const large = decision_ns(600, seed);
    auto const small = decision_ns(60, seed);
    out.push_back({"route_decision_ns", "ns", large, small, 2000, large <= 2000, false});
    out.push_back(
        {"route_decision_growth", "ratio", large / small, 1, 3, large / small <= 3, false});
}

} // namespace

std::vector<bench_result> bench_routing(std::uint64_t seed) {
    std::vector<bench_result> out;
    bench_decision(seed, out);
    for (auto const& work : workloads) {
        bench_steady(work, seed, out);
        bench_crest(work, seed, out);
        bench_flood(work, seed, out);
        bench_retries(work, seed, out);
    }
    return out;
}

} // namespace fireflycrank
