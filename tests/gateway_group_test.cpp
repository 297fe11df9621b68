// Messages of large expert groups: what ranks and coordinator send must fit the coordinator's link,
// whose orders to its engine wait behind them.
#include "countcode.h"
#include "directorywire.h"
#include "groupswitch.h"
#include "grouptuning.h"
#include "rng.h"

#include <doctest/doctest.h>

#include <cmath>
#include <numeric>
#include <set>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;

struct fleet_shape {
    unsigned ranks;
    unsigned sets;
    unsigned experts;
    unsigned places;
    double link; ///< megabits a second
};

constexpr fleet_shape shapes[]{
    {32, 12, 128, 5, 8}, {63, 8, 252, 5, 8}, {96, 16, 192, 3, 6}, {128, 16, 128, 2, 6}};

group_shape message_shape(fleet_shape const& shape) {
    return {shape.ranks, std::size_t{shape.sets} * shape.experts, shape.link};
}

// Choices of one rank in a second: a few experts of each set get most of them.
std::vector<std::uint64_t> choices(fleet_shape const& shape, rng& random) {
    std::vector<std::uint64_t> counts;
    for (unsigned set = 0; set < shape.sets; ++set) {
        for (unsigned expert = 0; expert < shape.experts; ++expert) {
            double const popularity = 400.0 / (1 + (expert * 7 + set * 31) % shape.experts);
            counts.push_back(static_cast<std::uint64_t>(popularity * next_unit(random)));
        }
    }
    return counts;
}

group_experts full_map(fleet_shape const& shape) {
    group_experts map(shape.ranks, rank_experts(shape.sets));
    for (unsigned set = 0; set < shape.sets; ++set) {
        for (unsigned place = 0; place < shape.ranks * shape.places; ++place) {
            map[place % shape.ranks][set].push_back((place * 13 + set) % shape.experts);
        }
    }
    return map;
}

rank_status status_of(fleet_shape const& shape, unsigned rank) {
    rank_status status;
    status.group = "puje56a/g0-0";
    status.epoch = 1;
    status.rank = rank;
    status.group_size = shape.ranks;
    status.pass = 1'000;
    status.sets = shape.sets;
    status.engine_address = "10.3.0.83:8066";
    status.experts = full_map(shape)[rank];
    return status;
}

group_coordinator make_coordinator(fleet_shape const& shape, time_point now) {
    auto const budget = derive_group_tuning(message_shape(shape), false);
    group_coordinator coordinator;
    coordinator.group = "puje56a/g0-0";
    coordinator.settings.relay_fanout = budget.relay_fanout;
    coordinator.settings.prepare_resend = budget.prepare_resend;
    for (unsigned rank = 0; rank < shape.ranks; ++rank) {
        update_rank_status(coordinator, status_of(shape, rank),
                           "10.3.0." + std::to_string(rank) + ":7340", now);
    }
    return coordinator;
}

double link_seconds(std::size_t bytes, double megabits) {
    return static_cast<double>(bytes) * 8 / (megabits * 1e6);
}

} // namespace

// 63 ranks that sent their counts every 150 ms filled the link, and orders waited behind them.
TEST_CASE("counts of all ranks take a third of the coordinator's link at most") {
    rng random{3};
    for (auto const& shape : shapes) {
        CAPTURE(shape.ranks);
        auto const budget = derive_group_tuning(message_shape(shape), false);
        std::size_t bytes = 0;
        for (unsigned rank = 0; rank < shape.ranks; ++rank) {
            auto status = status_of(shape, rank);
            status.counts = choices(shape, random);
            bytes += serialize(status).size();
        }
        auto const period = std::chrono::duration<double>{budget.counts_period}.count();
        CHECK(link_seconds(bytes, shape.link) / period < 0.34);
        CHECK(budget.counts_period <= std::chrono::seconds{1});
    }
}

TEST_CASE("packed counts keep the sums over many ranks") {
    rng random{9};
    auto const& shape = shapes[2];
    std::vector<double> exact(std::size_t{shape.sets} * shape.experts, 0.0);
    std::vector<double> packed = exact;
    for (unsigned rank = 0; rank < shape.ranks; ++rank) {
        auto const counts = choices(shape, random);
        auto const restored = unpack_counts(pack_counts(counts, rank));
        REQUIRE(restored);
        REQUIRE(restored.value().size() == counts.size());
        for (std::size_t at = 0; at < counts.size(); ++at) {
            exact[at] += static_cast<double>(counts[at]);
            packed[at] += static_cast<double>(restored.value()[at]);
        }
    }
    double const mean =
        std::accumulate(exact.begin(), exact.end(), 0.0) / static_cast<double>(exact.size());
    for (std::size_t at = 0; at < exact.size(); ++at) {
        // Half a unit of a rank's mean each, over the root of the ranks; four times that is rare.
        CHECK(std::abs(packed[at] - exact[at]) < 0.15 * std::max(mean, exact[at]));
    }
    CHECK(unpack_counts("").value().empty());
    CHECK_FALSE(unpack_counts("no counts"));
    std::vector<std::uint64_t> const few{0, 1, 3, 0};
    CHECK(unpack_counts(pack_counts(few, 1)).value() == few);
}

TEST_CASE("a packed map is restored, and a torn one is refused") {
    auto const map = full_map(shapes[1]);
    auto const packed = pack_map(map);
    CHECK(unpack_map(packed).value() == map);
    CHECK(unpack_map(pack_map({})).value().empty());
    CHECK_FALSE(unpack_map(packed.substr(0, packed.size() / 2)));
}

// A map for each of 96 ranks took 4.2 s of the coordinator's link.
TEST_CASE("a map leaves the coordinator a few times and reaches every rank once") {
    auto const now = time_point{milliseconds{5'000}};
    for (auto const& shape : shapes) {
        CAPTURE(shape.ranks);
        auto coordinator = make_coordinator(shape, now);
        REQUIRE(can_begin_switch(coordinator, now));
        begin_switch(coordinator, pack_map(full_map(shape)), 7, now);
        auto const first = advance_switch(coordinator, now);
        std::size_t bytes = 0;
        std::multiset<unsigned> told;
        for (auto const& instruction : first.instructions) {
            bytes += instruction.rank == 0 ? 0 : serialize(instruction).size();
            told.insert(instruction.rank);
            std::size_t handed_on = 0;
            for (auto const& next : instruction.relay_to) {
                told.insert(next.rank);
                auto passed_on = instruction;
                passed_on.relay_to.clear();
                handed_on += serialize(passed_on).size();
            }
            CHECK(link_seconds(handed_on, shape.link) < 0.15);
        }
        CHECK(told.size() == shape.ranks);
        CHECK(std::set<unsigned>(told.begin(), told.end()).size() == shape.ranks);
        CHECK(link_seconds(bytes, shape.link) < 0.15);

        // One that should hand on is down: those behind it are told directly the next time.
        auto const later = now + coordinator.settings.prepare_resend;
        for (unsigned rank = 0; rank < shape.ranks; ++rank) {
            auto status = status_of(shape, rank);
            status.prepared_version = rank < shape.ranks / 2 ? coordinator.version : 0;
            update_rank_status(coordinator, status, "a", later);
        }
        auto const second = advance_switch(coordinator, later);
        CHECK(second.instructions.size() == shape.ranks - shape.ranks / 2);
        for (auto const& instruction : second.instructions) {
            CHECK(instruction.relay_to.empty());
        }
    }
}

TEST_CASE("an instruction keeps its map and its next ranks on the wire") {
    rank_instruction instruction;
    instruction.group = "g";
    instruction.rank = 4;
    instruction.version = 9;
    instruction.packed_map = pack_map(full_map(shapes[0]));
    instruction.relay_to = {{5, "a:5"}, {6, "a:6"}};
    auto const restored = parse_rank_instruction(serialize(instruction));
    REQUIRE(restored);
    CHECK(restored.value().packed_map == instruction.packed_map);
    REQUIRE(restored.value().relay_to.size() == 2);
    CHECK(restored.value().relay_to[1].rank == 6);
    CHECK(restored.value().relay_to[1].agent_address == "a:6");
}

// A copy of 18 ms and one of 150 ms must not lead to changes that last equally many copies.
TEST_CASE("a change copies as many experts as its time allows") {
    engine_traits slow;
    slow.expert_megabytes = 1'700;
    slow.link_megabits_per_second = 92'000;
    CHECK(derive_copy_limits(slow).usual == 2);
    CHECK(derive_copy_limits(slow).high_skew == 3);
    auto fast = slow;
    fast.expert_megabytes = 210;
    CHECK(derive_copy_limits(fast).usual > 2);
    CHECK(derive_copy_limits(fast).high_skew > derive_copy_limits(fast).usual);
    CHECK(derive_copy_limits(engine_traits{}).usual == 2);
}

// Pattern: demand moves to other experts in a group of 96 with one spare place a rank and set.
TEST_CASE("a group of 96 is near balance after three changes") {
    rng random{5};
    auto const& shape = shapes[2];
    group_experts map(shape.ranks, rank_experts(shape.sets));
    expert_demand demand(shape.sets, std::vector<double>(shape.experts));
    for (unsigned set = 0; set < shape.sets; ++set) {
        for (unsigned expert = 0; expert < shape.experts; ++expert) {
            map[expert % shape.ranks][set].push_back(expert);
            demand[set][expert] = std::pow(next_unit(random), 3.0) + 0.02;
        }
    }
    double const before = place_skew(map, demand);
    for (int change = 0; change < 3; ++change) {
        map = plan_places(map, demand, {shape.places, 2, 8}).map;
    }
    CHECK(before > 2.5);
    CHECK(place_skew(map, demand) < 1.6);
}

} // namespace fireflycrank
