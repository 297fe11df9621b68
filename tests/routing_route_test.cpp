#include "route.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>

using namespace fireflycrank;
using namespace std::chrono_literals;

namespace {

time_point const start{100s};

target_info info_of(std::string name, std::string zone = "a") {
    target_info info;
    info.name = std::move(name);
    info.incarnation = 1;
    info.zone = std::move(zone);
    info.serves = {"model"};
    return info;
}

target_load load_of_work(double work) {
    target_load load;
    load.queued_work = work;
    load.tokens_per_second = 100;
    load.slots = 8;
    return load;
}

route_table table_of(std::size_t targets) {
    route_table table;
    table.own_zone = "a";
    for (std::size_t index = 0; index < targets; ++index) {
        upsert_target(table, info_of("t" + std::to_string(index)), start);
    }
    return table;
}

route_request long_request() {
    route_request request;
    request.serves = "model";
    request.work = 100;
    request.is_long = true;
    return request;
}

/// Reference implementation of the cost of a long request, after the rules in docs/routing.md.
double reference_cost(route_table const& table, route_request const& request, target_index target,
                      time_point now) {
    double sum = 0;
    int reported = 0;
    for (auto const& entry : table.targets) {
        if (entry.in_use && entry.has_report) {
            sum += entry.load.queued_work / entry.load.tokens_per_second;
            ++reported;
        }
    }
    double const mean = reported == 0 ? 0 : sum / reported;
    auto const& entry = table.targets[target];
    double const speed = entry.has_report ? entry.load.tokens_per_second : 200;
    double cost = mean;
    if (entry.has_report) {
        double const age = std::chrono::duration<double>(now - entry.reported_at).count();
        cost += std::exp(-age / 3) * (entry.load.queued_work / speed - mean);
    }
    for (auto const& sent : entry.unreported) {
        cost += sent.work / speed;
    }
    double const wait = cost;
    cost += entry.info.zone == "a" ? 0 : 0.02;
    cost += entry.suspected ? 10 : 0;
    for (auto const& match : request.prefix_matches) {
        if (match.target == target && wait <= 1.25 * mean + 0.5) {
            cost -= match.tokens / 4000.0;
        }
    }
    return cost;
}

bool may_choose(route_table const& table, route_request const& request, target_index target) {
    auto const& entry = table.targets[target];
    return entry.in_use && !entry.info.leaving &&
           std::find(request.excluded_targets.begin(), request.excluded_targets.end(), target) ==
               request.excluded_targets.end();
}

/// A table after random announcements, reports, dispatches, removals and restarts.
route_table random_table(rng& source, std::size_t targets) {
    auto table = table_of(targets);
    for (int step = 0; step < 60; ++step) {
        auto const name = "t" + std::to_string(next_below(source, targets));
        auto const target = find_target(table, name);
        auto const now = start + std::chrono::milliseconds{100 * step};
        if (target == no_target) {
            upsert_target(table, info_of(name, next_below(source, 2) == 0 ? "a" : "b"), now);
            continue;
        }
        switch (next_below(source, 8)) {
        case 0:
            erase_target(table, name);
            break;
        case 1: {
            auto info = info_of(name, "b");
            info.incarnation = 1 + next_below(source, 3);
            info.leaving = next_below(source, 4) == 0;

            upsert_target(table, info,
                          now - 1h); // The warm-up has ended by the time of the decision.
            break;
        }
        case 2:
            mark_suspected(table, target, next_below(source, 2) == 0);
            break;
        case 3:
            record_dispatch(table, target, static_cast<std::uint64_t>(step), 50, true, now);
            break;
        case 4:
            remove_dispatch(table, target, next_below(source, 60));
            break;
        default:
            record_load_report(table, target, table.targets[target].info.incarnation,
                               load_of_work(next_unit(source) * 1000),
                               now - std::chrono::milliseconds{next_below(source, 5000)});
        }
    }
    return table;
}

} // namespace

TEST_CASE("decisions agree with a full scan over thousands of random tables") {
    // Guards against rounding drift in the group sums, choices of ineligible targets, and targets
    // that the sampling misses.
    for (std::uint64_t seed = 0; seed < 4000; ++seed) {
        rng source{seed};
        auto const targets = 1 + next_below(source, seed % 2 == 0 ? 4 : 40);
        auto const table = random_table(source, targets);
        auto const now = start + 7s;
        auto request = long_request();
        for (std::uint64_t draw = 0; draw < targets / 2; ++draw) {
            request.excluded_targets.push_back(
                static_cast<target_index>(next_below(source, targets)));
        }
        request.prefix_matches = {{static_cast<target_index>(next_below(source, targets)), 800}};
        auto const decision = choose_target(table, request, source, now);
        double least = HUGE_VAL;
        for (target_index target = 0; target < table.targets.size(); ++target) {
            if (may_choose(table, request, target)) {
                least = std::min(least, reference_cost(table, request, target, now));
            }
        }
        REQUIRE((decision.target == no_target) == (least == HUGE_VAL));
        if (decision.target == no_target) {
            continue;
        }
        REQUIRE(may_choose(table, request, decision.target));
        double least_sampled = HUGE_VAL;
        for (std::size_t index = 0; index < decision.candidate_count; ++index) {
            auto const& scored = decision.candidates[index];
            REQUIRE(may_choose(table, request, scored.target));
            REQUIRE(
                scored.total ==
                doctest::Approx(reference_cost(table, request, scored.target, now)).epsilon(1e-4));
            least_sampled = std::min(least_sampled, scored.total);
        }
        auto const chosen = reference_cost(table, request, decision.target, now);
        REQUIRE(chosen == doctest::Approx(least_sampled).epsilon(1e-4));
        if (targets <= 4) { // All targets are sampled.
            REQUIRE(chosen == doctest::Approx(least).epsilon(1e-4));
        }
    }
}

TEST_CASE("entries that decide on the same old reports do not all choose the same target") {
    // Guards against all entries sending their next request to the one target that was reported
    // idle.
    auto table = table_of(20);
    for (target_index target = 0; target < 20; ++target) {
        record_load_report(table, target, 1, load_of_work(target == 7 ? 0 : 400), start);
    }
    std::vector<int> chosen(20, 0);
    for (std::uint64_t entry = 0; entry < 400; ++entry) {
        rng source{entry};
        ++chosen[choose_target(table, long_request(), source, start + 5s).target];
    }
    // Four samples of twenty contain the idle target in a fifth of the decisions; a full scan would
    // send all 400 requests to it.
    CHECK(chosen[7] < 120);
    CHECK(*std::min_element(chosen.begin(), chosen.end()) > 0);
}

TEST_CASE("a report 5 s old counts for a fifth and unreported dispatches count in full") {
    // Guards against an old report having the same weight as a new one.
    auto table = table_of(2);
    record_load_report(table, 0, 1, load_of_work(0), start);
    record_load_report(table, 1, 1, load_of_work(1000), start);
    rng source{1};
    auto const decision = choose_target(table, long_request(), source, start + 5s);
    auto const& group = table.groups.at("model");
    double const trust = std::exp(-5.0 / 3);
    CHECK(decision.target == 0);
    CHECK(score_target(table, group, long_request(), 0, start + 5s).queue ==
          doctest::Approx((1 - trust) * 5));
    CHECK(score_target(table, group, long_request(), 1, start + 5s).queue ==
          doctest::Approx(trust * 10 + (1 - trust) * 5));
    for (std::uint64_t attempt = 0; attempt < 3; ++attempt) {
        record_dispatch(table, 0, attempt, 100, true, start + 5s);
    }
    CHECK(choose_target(table, long_request(), source, start + 5s).target == 1);
    // A report measured before the dispatches does not include them; one measured after does.
    record_load_report(table, 0, 1, load_of_work(0), start + 4s);
    CHECK(table.targets[0].unreported.size() == 3);
    record_load_report(table, 0, 1, load_of_work(300), start + 6s);
    CHECK(table.targets[0].unreported.empty());
}

TEST_CASE("stale reports and reports of another incarnation are ignored") {
    // Guards against an idle report from before a restart directing work to a busy target.
    auto table = table_of(1);
    CHECK(record_load_report(table, 0, 1, load_of_work(500), start));
    CHECK_FALSE(record_load_report(table, 0, 1, load_of_work(0), start - 1ms));
    CHECK_FALSE(record_load_report(table, 0, 2, load_of_work(0), start + 1s));
    CHECK(table.targets[0].load.queued_work == 500);
    CHECK_FALSE(record_load_report(table, 9, 1, load_of_work(0), start));
    auto load = load_of_work(500);
    load.queued = 3;
    load.waiting_long = 300;
    load.waiting_short = 20;
    record_load_report(table, 0, 1, load, start);
    rng source{1};
    // The expected wait covers queued work, not running work.
    CHECK(choose_target(table, long_request(), source, start).expected_wait == 3200ms);
    auto short_request = long_request();
    short_request.is_long = false;
    CHECK(choose_target(table, short_request, source, start).expected_wait == 200ms);
}

TEST_CASE("a cached prefix lowers the cost until its target is above the load bound") {
    // Guards against an unsigned negation that turned the saving into a huge cost, and against a
    // prompt shared by many requests directing all of them to one target.
    auto table = table_of(2);
    record_load_report(table, 0, 1, load_of_work(100), start);
    record_load_report(table, 1, 1, load_of_work(105), start);
    auto request = long_request();
    request.prefix_matches = {{1, 800}};
    rng source{3};
    auto decision = choose_target(table, request, source, start);
    CHECK(decision.target == 1);
    CHECK(decision.reason == route_reason::cached_prefix);
    CHECK(describe(table, decision).find("prefix=-0.200") != std::string::npos);
    record_load_report(table, 1, 1, load_of_work(400), start);
    request.prefix_matches = {{1, 80'000}};
    decision = choose_target(table, request, source, start);
    CHECK(decision.target == 0);
}

TEST_CASE("names, versions, adapters, warm-up and suspicion affect the choice") {
    // Guards against sending a request to a target that lacks its version, and full load to one
    // that has just restarted.
    route_table table;
    table.own_zone = "a";
    auto info = info_of("new");
    info.serves = {"model@2"};
    info.adapters = {"kai"};
    auto const restarted = upsert_target(table, info, start);
    info = info_of("old");
    info.serves = {"model@1"};
    auto const old = upsert_target(table, info, start);
    rng source{5};
    auto request = long_request();
    request.serves = "model@1";
    CHECK(choose_target(table, request, source, start).target == old);
    request.serves = "model@3";
    CHECK(choose_target(table, request, source, start).reason == route_reason::unknown_name);
    request.serves = "model";
    request.adapter = "kai";
    CHECK(choose_target(table, request, source, start).target == restarted);
    mark_suspected(table, restarted, true);
    CHECK(choose_target(table, request, source, start).target == old);
    mark_suspected(table, restarted, false);
    info = table.targets[restarted].info;
    info.incarnation = 2;
    upsert_target(table, info, start); // It has restarted.
    CHECK(choose_target(table, request, source, start).target == old);
    CHECK(choose_target(table, request, source, start + 30s).target == restarted);
    mark_leaving(table, old);
    mark_leaving(table, restarted);
    for (info.incarnation = 1; info.incarnation <= 2; ++info.incarnation) {
        upsert_target(table, info, start); // Late announcements do not clear `leaving`.
    }
    CHECK(choose_target(table, request, source, start).reason == route_reason::none_eligible);
}
