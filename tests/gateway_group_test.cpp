// Messages of large lock-step groups: what ranks and coordinator send must fit the coordinator's
// link, because orders to its engine queue behind it.
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

struct test_group {
    unsigned ranks;
    unsigned sets;
    unsigned experts;
    unsigned places;
    double link_megabits_per_second; ///< megabits per second
};

constexpr test_group shapes[]{
    {32, 12, 128, 5, 8}, {63, 8, 252, 5, 8}, {96, 16, 192, 3, 6}, {128, 16, 128, 2, 6}};

group_shape shape_of(test_group const& shape) {
    return {shape.ranks, std::size_t{shape.sets} * shape.experts, shape.link_megabits_per_second};
}

// Choices of one rank in one second; a few experts of each set get most of them.
std::vector<std::uint64_t> make_choices(test_group const& shape, rng& random) {
    std::vector<std::uint64_t> counts;
    for (unsigned set = 0; set < shape.sets; ++set) {
        for (unsigned expert = 0; expert < shape.experts; ++expert) {
            double const popularity = 400.0 / (1 + (expert * 7 + set * 31) % shape.experts);
            counts.push_back(static_cast<std::uint64_t>(popularity * next_unit(random)));
        }
    }
    return counts;
}

group_experts make_full_map(test_group const& shape) {
    group_experts map(shape.ranks, rank_experts(shape.sets));
    for (unsigned set = 0; set < shape.sets; ++set) {
        for (unsigned place = 0; place < shape.ranks * shape.places; ++place) {
            map[place % shape.ranks][set].push_back((place * 13 + set) % shape.experts);
        }
    }
    return map;
}

rank_status make_status(test_group const& shape, unsigned rank) {
    rank_status status;
    status.group = "puje56a/g0-0";
    status.epoch = 1;
    status.rank = rank;
    status.group_size = shape.ranks;
    status.pass = 1'000;
    status.sets = shape.sets;
    status.engine_address = "10.3.0.83:8066";
    status.experts = make_full_map(shape)[rank];
    return status;
}

group_coordinator make_coordinator(test_group const& shape, time_point now) {
    auto const tuning = derive_group_tuning(shape_of(shape), false);
    group_coordinator coordinator;
    coordinator.group = "puje56a/g0-0";
    coordinator.settings.relay_fanout = tuning.relay_fanout;
    coordinator.settings.prepare_resend = tuning.prepare_resend;
    for (unsigned rank = 0; rank < shape.ranks; ++rank) {
        update_rank_status(coordinator, make_status(shape, rank),
                           "10.3.0." + std::to_string(rank) + ":7340", now);
    }
    return coordinator;
}

double link_seconds(std::size_t bytes, double megabits) {
    return static_cast<double>(bytes) * 8 / (megabits * 1e6);
}

} // namespace

// Guards against counts that delay orders: 63 ranks that sent their counts every 150 ms filled the
// link.
TEST_CASE("the counts of all ranks take at most a third of the coordinator's link") {
    rng random{3};
    for (auto const& shape : shapes) {
        CAPTURE(shape.ranks);
        auto const tuning = derive_group_tuning(shape_of(shape), false);
        std::size_t bytes = 0;
        for (unsigned rank = 0; rank < shape.ranks; ++rank) {
            auto status = make_status(shape, rank);
            status.counts = make_choices(shape, random);
            bytes += serialize(status).size();
        }
        auto const period = std::chrono::duration<double>{tuning.counts_period}.count();
        CHECK(link_seconds(bytes, shape.link_megabits_per_second) / period < 0.34);
        CHECK(tuning.counts_period <= std::chrono::seconds{1});
    }
}

TEST_CASE("packing counts keeps their sums over many ranks") {
    rng random{9};
    auto const& shape = shapes[2];
    std::vector<double> exact(std::size_t{shape.sets} * shape.experts, 0.0);
    std::vector<double> packed = exact;
    for (unsigned rank = 0; rank < shape.ranks; ++rank) {
        auto const counts = make_choices(shape, random);
        auto const restored = unpack_counts(pack_counts(counts, rank));
        REQUIRE(restored);
        REQUIRE(restored.value().size() == counts.size());
        for (std::size_t index = 0; index < counts.size(); ++index) {
            exact[index] += static_cast<double>(counts[index]);
            packed[index] += static_cast<double>(restored.value()[index]);
        }
    }
    double const mean =
        std::accumulate(exact.begin(), exact.end(), 0.0) / static_cast<double>(exact.size());
    for (std::size_t index = 0; index < exact.size(); ++index) {
        // The rounding error of each rank is about half a unit, and relative to the sum it shrinks
        // with the root of the number of ranks; an error four times as large is rare.
        CHECK(std::abs(packed[index] - exact[index]) < 0.15 * std::max(mean, exact[index]));
    }
    CHECK(unpack_counts("").value().empty());
    CHECK_FALSE(unpack_counts("no counts"));
    std::vector<std::uint64_t> const few{0, 1, 3, 0};
    CHECK(unpack_counts(pack_counts(few, 1)).value() == few);
}

TEST_CASE("a packed map is restored, and a truncated one is refused") {
    auto const map = make_full_map(shapes[1]);
    auto const packed = pack_map(map);
    CHECK(unpack_map(packed).value() == map);
    CHECK(unpack_map(pack_map({})).value().empty());
    CHECK_FALSE(unpack_map(packed.substr(0, packed.size() / 2)));
}

// Guards against a coordinator that sends the map to each rank itself: for 96 ranks that took 4.2 s
// of its link.
TEST_CASE("relaying sends a map over the coordinator's link a few times and to every rank once") {
    auto const now = time_point{milliseconds{5'000}};
    for (auto const& shape : shapes) {
        CAPTURE(shape.ranks);
        auto coordinator = make_coordinator(shape, now);
        REQUIRE(can_begin_switch(coordinator, now));
        begin_switch(coordinator, pack_map(make_full_map(shape)), 7, now);
        auto const first = advance_switch(coordinator, now);
        std::size_t bytes = 0;
        std::multiset<unsigned> receivers;
        for (auto const& instruction : first.instructions) {
            bytes += instruction.rank == 0 ? 0 : serialize(instruction).size();
            receivers.insert(instruction.rank);
            std::size_t relayed_bytes = 0;
            for (auto const& next : instruction.relay_to) {
                receivers.insert(next.rank);
                auto relayed = instruction;
                relayed.relay_to.clear();
                relayed_bytes += serialize(relayed).size();
            }
            CHECK(link_seconds(relayed_bytes, shape.link_megabits_per_second) < 0.15);
        }
        CHECK(receivers.size() == shape.ranks);
        CHECK(std::set<unsigned>(receivers.begin(), receivers.end()).size() == shape.ranks);
        CHECK(link_seconds(bytes, shape.link_megabits_per_second) < 0.15);

        // A relaying agent is down: the resend goes directly to the ranks behind it.
        auto const later = now + coordinator.settings.prepare_resend;
        for (unsigned rank = 0; rank < shape.ranks; ++rank) {
            auto status = make_status(shape, rank);
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

TEST_CASE("serialization keeps an instruction's map and relay destinations") {
    rank_instruction instruction;
    instruction.group = "g";
    instruction.rank = 4;
    instruction.version = 9;
    instruction.packed_map = pack_map(make_full_map(shapes[0]));
    instruction.relay_to = {{5, "a:5"}, {6, "a:6"}};
    auto const restored = parse_rank_instruction(serialize(instruction));
    REQUIRE(restored);
    CHECK(restored.value().packed_map == instruction.packed_map);
    REQUIRE(restored.value().relay_to.size() == 2);
    CHECK(restored.value().relay_to[1].rank == 6);
    CHECK(restored.value().relay_to[1].agent_address == "a:6");
}

// Copying an expert takes 18 ms on some engines and 150 ms on others; the number of copies in a
// change must depend on it.
TEST_CASE("a change copies as many experts as its copying time allows") {
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

// Demand moves to other experts in a group of 96 ranks with one spare place per rank and set.
TEST_CASE("a group of 96 ranks is nearly balanced after three changes") {
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
