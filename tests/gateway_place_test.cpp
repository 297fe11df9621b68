// Tests of expert placement plans: their limits, and how close they come to a balanced load.
#include "expertplace.h"
#include "grouptuning.h"
#include "rng.h"

#include <doctest/doctest.h>

#include <numeric>

#include <algorithm>
#include <cmath>
#include <set>

namespace fireflycrank {

namespace {

struct test_group {
    unsigned ranks{8};
    unsigned sets{6};
    unsigned experts{64};
    place_limits limits{11, 4, 4};
};

group_experts initial_map(test_group const& group) {
    group_experts map(group.ranks, rank_experts(group.sets));
    for (unsigned set = 0; set < group.sets; ++set) {
        for (unsigned expert = 0; expert < group.experts; ++expert) {
            map[expert % group.ranks][set].push_back(expert);
        }
    }
    return map;
}

// A few experts get most of the tokens; they differ by set.
expert_demand skewed_demand(test_group const& group, rng& random) {
    expert_demand demand(group.sets, std::vector<double>(group.experts));
    for (auto& set : demand) {
        for (double& expert_weight : set) {
            expert_weight = std::pow(next_unit(random), 8.0) + 0.01;
        }
    }
    return demand;
}

void check_plan(test_group const& group, group_experts const& before, place_plan const& plan) {
    unsigned copies = 0;
    for (unsigned set = 0; set < group.sets; ++set) {
        std::set<unsigned> held;
        for (unsigned rank = 0; rank < group.ranks; ++rank) {
            auto const& after = plan.map[rank][set];
            CHECK(after.size() <= group.limits.places);
            CHECK(std::set<unsigned>(after.begin(), after.end()).size() == after.size());
            held.insert(after.begin(), after.end());
            auto const& old = before[rank][set];
            auto const added = std::count_if(after.begin(), after.end(), [&](unsigned expert) {
                return std::find(old.begin(), old.end(), expert) == old.end();
            });
            CHECK(added <= group.limits.spare);
            copies += static_cast<unsigned>(added);
        }
        CHECK(held.size() == group.experts);
    }
    CHECK(copies <= group.ranks * group.limits.copies_a_rank);
    CHECK(copies <= plan.copies);
}

} // namespace

TEST_CASE("a plan keeps every expert, respects all limits, and never increases the skew") {
    rng random{7};
    for (int round = 0; round < 60; ++round) {
        CAPTURE(round);
        test_group group;
        group.limits.copies_a_rank = 1 + static_cast<unsigned>(next_below(random, 6));
        auto map = initial_map(group);
        for (int change = 0; change < 4; ++change) {
            auto const demand = skewed_demand(group, random);
            auto const plan = plan_places(map, demand, group.limits);
            check_plan(group, map, plan);
            CHECK(plan.after <= plan.before + 1e-9);
            CHECK(place_skew(plan.map, demand) == doctest::Approx(plan.after));
            map = plan.map;
        }
    }
}

// Compared with a map that is never changed.
TEST_CASE("a few changes nearly balance a skewed group") {
    rng random{11};
    test_group group;
    double unchanged_skew = 0;
    double planned_skew = 0;
    constexpr int rounds = 20;
    for (int round = 0; round < rounds; ++round) {
        auto map = initial_map(group);
        auto const demand = skewed_demand(group, random);
        unchanged_skew += place_skew(map, demand);
        for (int change = 0; change < 5; ++change) {
            map = plan_places(map, demand, group.limits).map;
        }
        planned_skew += place_skew(map, demand);
    }
    CHECK(planned_skew / rounds < 1.15);
    CHECK(unchanged_skew / rounds > 1.5);
}

TEST_CASE("nothing is copied in a balanced group or one without demand") {
    test_group group;
    auto const map = initial_map(group);
    expert_demand const even(group.sets, std::vector<double>(group.experts, 1.0));
    CHECK(plan_places(map, even, group.limits).copies == 0);
    expert_demand const none(group.sets, std::vector<double>(group.experts, 0.0));
    CHECK(plan_places(map, none, group.limits).copies == 0);
    CHECK(place_skew(map, none) == doctest::Approx(1.0));
}

namespace {

// A single large group, with a fifth of its places for copies.
test_group large_group() {
    constexpr unsigned copies_a_rank = 8;
    return {63, 8, 252, {5, 2, copies_a_rank, 0.01}};
}

} // namespace

// Load pattern: some ranks of the only group are several times slower for seconds, and all ranks
// wait for them. Regression: slow ranks kept their experts, so passes were longer by their
// slowness.
TEST_CASE("slow ranks keep few experts") {
    auto const group = large_group();
    for (double const slowdown : {2.0, 5.0, 12.0}) {
        for (unsigned const slow_ranks : {1U, 3U}) {
            CAPTURE(slowdown);
            CAPTURE(slow_ranks);
            rng random{5};
            auto map = initial_map(group);
            auto const demand = skewed_demand(group, random);
            for (int change = 0; change < 4; ++change) {
                map = plan_places(map, demand, group.limits).map;
            }
            double const before = place_skew(map, demand);
            rank_paces paces(group.ranks, 1.0);
            constexpr std::size_t distance = 20;
            for (std::size_t slow = 0; slow < slow_ranks; ++slow) {
                paces[slow * distance] = planned_pace(slowdown);
            }
            double const unplanned = place_skew(map, demand, paces);
            for (int change = 0; change < 4; ++change) {
                auto const plan = plan_places(map, demand, group.limits, paces);
                check_plan(group, map, plan);
                map = plan.map;
            }
            // As long as without slow ranks, but for a quarter.
            CHECK(place_skew(map, demand, paces) < 1.25 * before);
            CHECK(unplanned > 1.25 * before);
            // The slow ranks are well again.
            for (int change = 0; change < 2; ++change) {
                map = plan_places(map, demand, group.limits).map;
            }
            CHECK(place_skew(map, demand) < 1.25 * before);
        }
    }
}

// Failure: a rank whose pace varies a little makes the coordinator change the map each time.
TEST_CASE("small variations of pace cause no change of the map") {
    auto const group = large_group();
    rng random{6};
    auto map = initial_map(group);
    auto const demand = skewed_demand(group, random);
    rank_paces paces(group.ranks, 1.0);
    paces[3] = planned_pace(5.0);
    for (int change = 0; change < 20; ++change) {
        map = plan_places(map, demand, group.limits, paces).map;
    }
    for (double const slowdown : {4.9, 5.3, 6.0, 5.1}) {
        paces[3] = planned_pace(slowdown);
        CHECK(plan_places(map, demand, group.limits, paces).copies == 0);
    }
    CHECK(planned_pace(1.0) == 1.0);
    CHECK(planned_pace(1.2) == 1.0);
    CHECK(planned_pace(1.6) == doctest::Approx(std::sqrt(2.0)));
    CHECK(planned_pace(1'000) == doctest::Approx(16.0));
}

// Load pattern: demand moves to other experts at once, while the demand windows still contain
// earlier choices.
TEST_CASE("a sudden change of demand is extrapolated to its end") {
    expert_demand const before{{100, 100, 100, 100}};
    expert_demand const after{{10, 10, 370, 10}};
    auto const mixed = [&](double part) {
        expert_demand demand = before;
        for (std::size_t expert = 0; expert < 4; ++expert) {
            demand[0][expert] += part * (after[0][expert] - before[0][expert]);
        }
        return demand;
    };
    auto const extrapolated = extrapolate_demand(mixed(0.58), mixed(0.16), 1.0);
    double total = 0;
    for (std::size_t expert = 0; expert < 4; ++expert) {
        CHECK(extrapolated[0][expert] == doctest::Approx(after[0][expert]).epsilon(0.01));
        total += extrapolated[0][expert];
    }
    CHECK(total == doctest::Approx(400));
    // An expert that loses all demand does not become negative, and the total stays the same.
    auto const beyond = extrapolate_demand(mixed(0.9), mixed(0.2), 1.0);
    CHECK(beyond[0][0] == 0);
    CHECK(std::accumulate(beyond[0].begin(), beyond[0].end(), 0.0) == doctest::Approx(400));
    // An empty window changes nothing.
    CHECK(extrapolate_demand(after, {{0, 0, 0, 0}}, 1.0) == after);
}

// Load pattern: demand moves to other experts at peak load. A forward pass of a balanced group of
// 96 with all slots in use takes 87 ms, of which 85 % grows with the most loaded rank. With the 40
// ms for which arming may hold it, a pass stays within the 150 ms that callers accept up to this
// skew.
TEST_CASE(
    "one change after a shift of demand makes the passes of a group of 96 short enough again") {
    constexpr double skew_limit = 1.32;
    rng random{3};
    auto const copy_gain = derive_group_tuning({96, std::size_t{16} * 192, 6}, false).min_copy_gain;
    test_group const group{96, 16, 192, {3, 2, 8, copy_gain}};
    auto map = initial_map(group);
    for (int shift = 0; shift < 4; ++shift) {
        expert_demand demand(group.sets, std::vector<double>(group.experts));
        for (auto& set : demand) {
            for (std::size_t place = 0; place < set.size(); ++place) {
                set[place] = std::pow(1.0 + static_cast<double>(place), -0.53) + 0.02;
            }
            for (std::size_t left = set.size(); left > 1; --left) {
                std::swap(set[left - 1], set[next_below(random, left)]);
            }
        }
        CHECK(place_skew(map, demand) > 2.5);
        auto const plan = plan_places(map, demand, group.limits);
        check_plan(group, map, plan);
        CHECK(plan.after < skew_limit);
        map = plan.map;
    }
}

TEST_CASE("plans for a large group reduce its skew") {
    rng random{5};
    test_group group{32, 12, 128, {5, 2, 2}};
    auto map = initial_map(group);
    auto const demand = skewed_demand(group, random);
    double const before = place_skew(map, demand);
    for (int change = 0; change < 6; ++change) {
        auto const plan = plan_places(map, demand, group.limits);
        check_plan(group, map, plan);
        map = plan.map;
    }
    CHECK(place_skew(map, demand) < before / 1.5);
}

} // namespace fireflycrank
