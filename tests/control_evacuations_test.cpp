// The replicated table of evacuated zones, and orders that may be late copies of earlier ones.
#include "control_fakes.h"
#include "directory.pb.h"
#include "evacuationtable.h"
#include "servicetable.h"

using namespace control_test;

namespace {

wall_time wall_at(std::int64_t ms) {
    return wall_time{milliseconds{ms}};
}

time_point at_ms(std::int64_t ms) {
    return time_point{milliseconds{ms}};
}

evacuation_order begin(std::string const& zone) {
    return {zone, true, false};
}

evacuation_order finish(std::string const& zone) {
    return {zone, false, false};
}

// A leader that applies what it proposes at once.
struct leading_replica {
    leading_replica() {
        memory.repeat_time = milliseconds{5'000};
        note_time(memory, at_ms(1));
    }

    // Takes an order as the registrar does; returns whether it took effect. What is acknowledged is
    // in force, whether it took effect or was so before.
    bool take(evacuation_order const& order, std::int64_t ms) {
        for (auto step = now_ms; step < ms; step += 50) {
            note_time(memory, at_ms(step));
        }
        return take_after_pause(order, ms);
    }

    // The same after a time in which the process did not run.
    bool take_after_pause(evacuation_order const& order, std::int64_t ms) {
        now_ms = ms;
        note_time(memory, at_ms(ms));
        acknowledged = wait_for_copies(memory, table.current, order) == duration::zero();
        if (!acknowledged) {
            return false;
        }
        auto const before = table.current.revision;
        apply(table, order, wall_at(ms));
        note_all_applied(ms);
        CHECK_FALSE(is_change(table.current, order));
        return table.current.revision != before;
    }

    void note_all_applied(std::int64_t ms) {
        for (auto const& order : std::exchange(table.applied, {})) {
            note_applied(memory, order, wall_at(ms));
        }
    }

    evacuation_table table;
    evacuation_memory memory;
    std::int64_t now_ms{1};
    bool acknowledged{false}; ///< the last order
};

// An operator that sends an order again every 100 ms, for as long as orders are repeated.
bool insist(leading_replica& leader, evacuation_order const& order, std::int64_t from_ms) {
    for (auto ms = from_ms; ms <= from_ms + 5'000; ms += 100) {
        leader.take(order, ms);
        if (leader.acknowledged) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("evacuations in series change the table, and repeats change nothing") {
    leading_replica leader;
    CHECK(leader.take(begin("a"), 1'000));
    CHECK_FALSE(leader.take(begin("a"), 1'500));
    CHECK(leader.take(begin("b"), 2'000));
    CHECK(leader.table.current.zones == std::set<std::string>{"a", "b"});
    CHECK(leader.take(finish("a"), 9'000));
    CHECK_FALSE(leader.take(finish("a"), 9'500));
    CHECK(leader.take(begin("a"), 20'000));
    CHECK(leader.take(finish("b"), 21'000));
    CHECK(leader.take(finish("a"), 28'000));
    CHECK(leader.table.current.zones.empty());
}

// Guards against a copy of an order that got no clear answer and arrives after the opposite one.
TEST_CASE("a late copy of an order does not undo the opposite order after it") {
    leading_replica leader;
    CHECK(leader.take(begin("a"), 1'000));
    CHECK(leader.take(finish("a"), 3'000));
    CHECK_FALSE(leader.take(begin("a"), 5'900));
    CHECK_FALSE(leader.acknowledged); // as long as it may be a new order
    CHECK(leader.table.current.zones.empty());
    CHECK(leader.take(begin("a"), 6'100)); // no copy can be that late
    CHECK_FALSE(leader.take(finish("a"), 7'900));
    CHECK_FALSE(leader.acknowledged);
    CHECK(leader.table.current.zones.contains("a"));
    // A copy in one zone says nothing about another one.
    CHECK(leader.take(begin("b"), 7'950));
}

// EVAC: the last order was acknowledged, and never in force.
TEST_CASE(
    "orders by turns in quick succession are all acknowledged, and the last one is in force") {
    for (std::int64_t const pause : {50, 400, 1'000, 4'000, 6'000}) {
        for (bool const finishes_first : {false, true}) {
            CAPTURE(pause);
            CAPTURE(finishes_first);
            leading_replica leader;
            std::int64_t ms = 1'000;
            for (int number = 0; number < 7; ++number) {
                bool const evacuates = number % 2 == (finishes_first ? 1 : 0);
                CHECK(insist(leader, evacuates ? begin("a") : finish("a"), ms));
                CHECK(leader.table.current.zones.contains("a") == evacuates);
                ms = leader.now_ms + pause;
            }
        }
    }
}

// The zone was as ordered already, so the order changed nothing, but its sender may repeat it.
TEST_CASE("a late copy of an order that found the zone so does not undo the opposite one") {
    leading_replica leader;
    CHECK_FALSE(leader.take(finish("a"), 1'000));
    CHECK(leader.acknowledged);
    CHECK(leader.take(begin("a"), 2'000));
    CHECK_FALSE(leader.take(finish("a"), 5'900));
    CHECK_FALSE(leader.acknowledged);
    CHECK(leader.table.current.zones.contains("a"));
    CHECK_FALSE(leader.take(begin("a"), 5'950)); // a second operator's
    CHECK(leader.acknowledged);
    CHECK(leader.take(finish("a"), 6'050));
    CHECK_FALSE(leader.take(begin("a"), 10'900));
    CHECK(leader.take(begin("a"), 11'000));
}

TEST_CASE("the wait for copies is told to the operator") {
    leading_replica leader;
    CHECK(leader.take(begin("a"), 1'000));
    CHECK(leader.take(finish("a"), 2'000));
    CHECK_FALSE(leader.take(begin("a"), 3'000));
    auto const wait = wait_for_copies(leader.memory, leader.table.current, begin("a"));
    CHECK(wait == milliseconds{3'000});
}

// A replica that was sent a snapshot may lead a moment later.
TEST_CASE("a replica with a snapshot awaits copies of the orders in it") {
    leading_replica leader;
    leader.take(begin("a"), 1'000);
    leader.take(finish("a"), 2'000);
    control_state state;
    register_evacuations(state, leader.table);
    leading_replica restored;
    control_state other;
    register_evacuations(other, restored.table);
    REQUIRE(parse_tables(other, serialize_tables(state)));
    restored.note_all_applied(2'500);
    CHECK_FALSE(restored.take(begin("a"), 3'000));
    CHECK_FALSE(restored.acknowledged);
    // A snapshot of an earlier version has no times.
    wire::EvacuationTable old;
    old.set_revision(5);
    old.add_zones("b");
    evacuation_table table;
    control_state plain;
    register_evacuations(plain, table);
    REQUIRE(plain.tables.at(evacuation_table_kind).parse(old.SerializeAsString()));
    CHECK(table.current == evacuation_list{5, {"b"}});
}

TEST_CASE("the times of orders are forgotten after some minutes") {
    evacuation_table table;
    for (std::int64_t number = 0; number < 100; ++number) {
        apply(table, begin("zone-" + std::to_string(number)), wall_at(60'000 * number));
    }
    CHECK(table.last_orders.size() == 11);
}

// An earlier version that leads marks what may be a copy.
TEST_CASE("an order that an earlier version marked as a copy changes nothing") {
    evacuation_table table;
    auto order = begin("a");
    order.copy = true;
    apply(table, order, wall_at(1'000));
    CHECK(table.current == evacuation_list{});
    CHECK(table.applied.empty());
}

// Guards against copies that waited in the sockets of a suspended leader.
TEST_CASE("the time of a suspended leader does not count") {
    leading_replica leader;
    CHECK(leader.take(begin("a"), 1'000));
    CHECK(leader.take_after_pause(finish("a"), 13'000));
    CHECK_FALSE(leader.take_after_pause(begin("a"), 13'010));
    CHECK(leader.take(begin("a"), 19'000));
}

// A replica that has taken over counts from when it applied the entries; entries that it reads from
// its disk after a restart are old.
TEST_CASE("a new leader recognizes copies of what it applied, not of what is long past") {
    leading_replica follower;
    follower.take(begin("a"), 100); // the log's times
    follower.take(finish("a"), 2'000);
    CHECK_FALSE(follower.take(begin("a"), 4'000));

    leading_replica restarted;
    for (auto const& order : {begin("a"), finish("a")}) {
        apply(restarted.table, order, wall_at(1'000));
        restarted.note_all_applied(60'000);
    }
    CHECK(restarted.take(begin("a"), 61'000));
}

// Guards against an order whose copy is proposed before the opposite one is applied.
TEST_CASE("an order waits until the opposite one of its zone is settled") {
    evacuation_memory memory;
    memory.pending[7] = finish("a");
    CHECK(awaits_opposite(memory, begin("a")));
    CHECK_FALSE(awaits_opposite(memory, finish("a")));
    CHECK_FALSE(awaits_opposite(memory, begin("b")));
}

// Gateways keep the highest revision that they have heard of, so a log that lost everything must
// not begin again below it.
TEST_CASE("revisions rise over the loss of the log and over clocks that go back") {
    evacuation_table table;
    apply(table, begin("a"), wall_at(1'000'000));
    auto const before = table.current.revision;
    apply(table, begin("b"), wall_at(900'000));
    CHECK(table.current.revision > before);
    evacuation_table empty;
    apply(empty, begin("c"), wall_at(1'001'000));
    CHECK(empty.current.revision > table.current.revision);
}

TEST_CASE("a snapshot from before the table opens, and one with it keeps it") {
    service_table services;
    control_state old_state;
    register_services(old_state, services);
    auto const old_bytes = serialize_tables(old_state);

    evacuation_table table;
    control_state state;
    register_services(state, services);
    register_evacuations(state, table);
    REQUIRE(parse_tables(state, old_bytes));
    CHECK(table.current == evacuation_list{});
    apply(table, begin("a"), wall_at(5));
    evacuation_table restored;
    control_state other;
    register_services(other, services);
    register_evacuations(other, restored);
    REQUIRE(parse_tables(other, serialize_tables(state)));
    CHECK(restored.current == table.current);
    CHECK_FALSE(parse_evacuation_list("\xff"));
    CHECK_FALSE(parse_evacuation_order("\xff"));
}

// LOST: what was acknowledged is there after a power cut.
TEST_CASE("a committed evacuation is read back from the disk after a power loss") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        rng random{seed};
        fake_disk disk;
        auto now = at_ms(1);
        bool committed = false;
        for (int life = 0; life < 2; ++life) {
            evacuation_table table;
            control_state state;
            register_evacuations(state, table);
            control_node_settings settings;
            settings.name = "a";
            settings.peers = {"a"};
            settings.folder = "data";
            settings.consensus.allow_bootstrap = true;
            auto opened = open_control_node(settings, disk.make_layer(), state, seed, now);
            REQUIRE(opened);
            auto& node = *opened.value();
            auto const until = now + milliseconds{8'000};
            bool submitted = life == 1;
            while (now < until && !(committed && table.current.zones.contains("z"))) {
                now += milliseconds{20};
                tick(node, now);
                auto const output = flush(node, now);
                committed = committed || !output.replies.empty();
                submitted =
                    submitted ||
                    submit(node, 1, {evacuation_table_kind, serialize(begin("z")), wall_at(7)});
            }
            CHECK(committed);
            CHECK(table.current.zones.contains("z"));
            CHECK(table.current.revision == 7);
            disk.crash(random);
        }
    }
}
