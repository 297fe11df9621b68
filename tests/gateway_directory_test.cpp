// The directory of targets and processes: late, reordered and repeated announcements, reused
// addresses, lost updates, and departures that need a majority.
#include "departures.h"
#include "directorysync.h"
#include "directorywire.h"
#include "packedtext.h"
#include "rng.h"

#include <doctest/doctest.h>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;

time_point at_ms(std::int64_t count) {
    return time_point{milliseconds{count}};
}

wall_time born_at(std::int64_t ms) {
    return wall_time{milliseconds{ms}};
}

target_announcement announce(std::string const& id, std::int64_t born, std::uint64_t sequence,
                             target_phase condition = target_phase::ready) {
    target_announcement said;
    said.id = id;
    said.service = "s";
    said.address = "10.0.0.1:80";
    said.zone = "z";
    said.slots = 4;
    said.started_at = born_at(born);
    said.sequence = sequence;
    said.state = condition;
    return said;
}

target_phase condition_of(target_directory const& directory, std::string const& id) {
    return directory.targets.at(id).announcement.state;
}

} // namespace

// A delayed heartbeat must not bring a leaving target back.
TEST_CASE("announcements in any order end in the same state") {
    std::vector<target_announcement> const all{announce("a", 100, 1), announce("a", 100, 2),
                                               announce("a", 100, 3, target_phase::draining),
                                               announce("a", 100, 4)};
    rng random{1};
    for (int round = 0; round < 200; ++round) {
        target_directory directory;
        auto order = all;
        for (std::size_t at = order.size(); at > 1; --at) {
            std::swap(order[at - 1], order[next_below(random, at)]);
        }
        for (auto const& one : order) {
            apply_announcement(directory, one, announcement_source::target, at_ms(0));
        }
        CHECK(condition_of(directory, "a") == target_phase::draining);
    }
}

TEST_CASE("a new incarnation under the same id replaces the old one, never the reverse") {
    target_directory directory;
    apply_announcement(directory, announce("a", 100, 9, target_phase::departed),
                       announcement_source::target, at_ms(0));
    CHECK(apply_announcement(directory, announce("a", 200, 1), announcement_source::target,
                             at_ms(1)));
    CHECK(condition_of(directory, "a") == target_phase::ready);
    CHECK_FALSE(
        apply_announcement(directory, announce("a", 100, 50), announcement_source::peer, at_ms(2)));
    CHECK(directory.targets.at("a").announcement.started_at == born_at(200));
}

// Behind a partition a dead target's heartbeat may arrive after its address has a new owner.
TEST_CASE("an address belongs to the incarnation that started last") {
    target_directory directory;
    apply_announcement(directory, announce("new", 300, 1), announcement_source::target, at_ms(0));
    CHECK_FALSE(apply_announcement(directory, announce("old", 100, 7), announcement_source::target,
                                   at_ms(1)));
    CHECK_FALSE(directory.targets.contains("old"));
    apply_announcement(directory, announce("newer", 400, 1), announcement_source::target, at_ms(2));
    CHECK(condition_of(directory, "new") == target_phase::departed);
}

TEST_CASE("a departure without incarnation ends the known one and nothing later") {
    target_directory directory;
    apply_announcement(directory, announce("a", 100, 3), announcement_source::target, at_ms(0));
    apply_departure(directory, "a", wall_time{}, born_at(1'000), at_ms(10));
    CHECK(condition_of(directory, "a") == target_phase::departed);
    CHECK_FALSE(apply_announcement(directory, announce("a", 100, 4), announcement_source::target,
                                   at_ms(20)));
    // Where the target was unknown, whatever started before the word is gone.
    auto const departed = apply_departure(directory, "b", wall_time{}, born_at(1'000), at_ms(10));
    CHECK(departed.state == target_phase::departed);
    CHECK_FALSE(apply_announcement(directory, announce("b", 900, 4), announcement_source::target,
                                   at_ms(20)));
    CHECK(apply_announcement(directory, announce("b", 1'100, 1), announcement_source::target,
                             at_ms(30)));
    // A late word about an incarnation that was replaced.
    apply_departure(directory, "b", born_at(900), born_at(2'000), at_ms(40));
    CHECK(condition_of(directory, "b") == target_phase::ready);
}

TEST_CASE("departed targets are remembered, then forgotten") {
    target_directory directory;
    apply_announcement(directory, announce("a", 100, 1, target_phase::departed),
                       announcement_source::target, at_ms(0));
    remove_expired(directory, {}, at_ms(30'000));
    CHECK(directory.targets.size() == 1);
    remove_expired(directory, {}, at_ms(61'000));
    CHECK(directory.targets.empty());
}

// Updates are lost and repeated; a subscriber still ends with the publisher's view.
// Registrars end with every announcement; gateways are spared those that only repeat.
TEST_CASE("a subscriber converges over a lossy exchange") {
    auto role = daemon_role::gateway;
    SUBCASE("a registrar") {
        role = daemon_role::registrar;
    }
    SUBCASE("a gateway") {}
    rng random{5};
    target_directory truth;
    directory_publisher publisher;
    publisher.address = "r:1";
    publisher.run = 7;
    directory_subscriber subscriber;
    subscriber.self.address = "g:1";
    subscriber.self.role = role;
    subscriber.self.started = 1;
    configure_registrars(subscriber, {"r:1"}, at_ms(0));
    target_directory mirror;
    for (int step = 0; step < 400; ++step) {
        auto const now = at_ms(std::int64_t{100} * step);
        if (step < 300) {
            auto said = announce("t" + std::to_string(next_below(random, 5)),
                                 static_cast<std::int64_t>(1 + next_below(random, 3)),
                                 static_cast<std::uint64_t>(step));
            said.address = said.id;
            apply_announcement(truth, said, announcement_source::target, now);
        }
        for (auto const& beat : due_beats(subscriber, false, now)) {
            if (next_below(random, 10) < 3) {
                continue;
            }
            auto const carried = parse_beat(serialize(beat.message));
            REQUIRE(carried);
            take_beat(publisher, carried.value(), now);
            auto const update =
                parse_update(serialize(update_for(publisher, "g:1", {&truth, 0, true})));
            REQUIRE(update);
            if (next_below(random, 10) < 3) {
                continue;
            }
            take_update(subscriber, "r:1", update.value(), now);
            for (auto const& said : update.value().targets) {
                apply_announcement(mirror, said, announcement_source::peer, now);
            }
        }
    }
    REQUIRE(mirror.targets.size() == truth.targets.size());
    for (auto const& [id, record] : truth.targets) {
        auto const& said = mirror.targets.at(id).announcement;
        auto expected = record.announcement;
        if (role == daemon_role::gateway) {
            CHECK(said.sequence <= expected.sequence);
            expected.sequence = said.sequence;
        }
        CHECK(said == expected);
    }
}

TEST_CASE("a process is listed while some believed registrar hears of it") {
    directory_subscriber subscriber;
    subscriber.self.address = "g:1";
    directory_update update;
    update.registrar_run = 1;
    update.daemons_revision = 1;
    update.all_daemons = true;
    update.daemons = {{"g:2", daemon_role::gateway, "z", "c:2", true, "", 5, "", 0}};
    take_update(subscriber, "r:1", update, at_ms(0));
    CHECK(listed_daemons(subscriber, daemon_role::gateway, at_ms(1'000)).size() == 1);
    CHECK(listed_daemons(subscriber, daemon_role::gateway, at_ms(2'000)).empty());
    // Another registrar has heard that it stops.
    take_update(subscriber, "r:1", update, at_ms(3'000));
    update.daemons[0].ready = false;
    take_update(subscriber, "r:2", update, at_ms(3'000));
    CHECK_FALSE(listed_daemons(subscriber, daemon_role::gateway, at_ms(3'100)).at("g:2").ready);
}

// A rank whose beat was lost after it learnt its group never heard of the group's coordinator.
TEST_CASE("an answer from before a process had its group does not hide the group from it") {
    directory_publisher publisher;
    publisher.address = "r:1";
    publisher.run = 1;
    target_directory targets;
    daemon_entry const first{"a:0", daemon_role::rank_agent, "z", "e:0", false, "t0", 1, "x", 0};
    take_beat(publisher, {first, 0, 0, 0, {}}, at_ms(0));
    directory_subscriber subscriber;
    subscriber.self = {"a:1", daemon_role::rank_agent, "z", "e:1", false, "t1", 1, "", 0};
    configure_registrars(subscriber, {"r:1"}, at_ms(0));
    auto const early = due_beats(subscriber, true, at_ms(0));
    REQUIRE(early.size() == 1);
    take_beat(publisher, early[0].message, at_ms(0));
    auto const late_answer = update_for(publisher, "a:1", {&targets, 0, true});
    subscriber.self.group = "x";
    ++subscriber.self.edition;
    forget_daemons(subscriber);
    due_beats(subscriber, true, at_ms(10)); // lost
    take_update(subscriber, "r:1", late_answer, at_ms(20));
    for (auto const& beat : due_beats(subscriber, true, at_ms(1'000))) {
        take_beat(publisher, beat.message, at_ms(1'000));
        take_update(subscriber, "r:1", update_for(publisher, "a:1", {&targets, 0, true}),
                    at_ms(1'000));
    }
    CHECK(listed_daemons(subscriber, daemon_role::rank_agent, at_ms(1'000)).contains("a:0"));
}

// Guards against ranks that keep their status to themselves while the registrars start again.
TEST_CASE("an agent keeps its coordinator while no registrar lists it") {
    directory_subscriber subscriber;
    subscriber.self = {"a1:1", daemon_role::rank_agent, "z", "c1", true, "", 1, "group", 1};
    auto& registrar = subscriber.registrars["r:1"];
    registrar.heard_at = at_ms(100);
    registrar.daemons["a0:1"] = {"a0:1", daemon_role::rank_agent, "z", "c0", true, "", 1, "group",
                                 0};
    coordinator_contact known;
    note_coordinator_address(known, subscriber, at_ms(200));
    CHECK(known.address == "a0:1");
    registrar.daemons.clear(); // it has started again
    note_coordinator_address(known, subscriber, at_ms(300));
    CHECK(known.address == "a0:1");
    subscriber.self.group = "other";
    note_coordinator_address(known, subscriber, at_ms(400));
    CHECK(known.address.empty());
}

TEST_CASE("the newest edition of a process's entry is listed") {
    directory_publisher publisher;
    publisher.address = "r:1";
    directory_beat beat;
    beat.self = {"a:1", daemon_role::rank_agent, "z", "e:1", false, "t1", 1, "x", 3, 1};
    take_beat(publisher, beat, at_ms(0));
    auto old = beat.self;
    old.group = "";
    old.edition = 0;
    refresh_daemons(publisher, {{"a:1", old}}, at_ms(10));
    CHECK(publisher.listed.at("a:1").entry.group == "x");
    auto newer = beat.self;
    newer.group = "y";
    newer.edition = 2;
    refresh_daemons(publisher, {{"a:1", newer}}, at_ms(20));
    CHECK(publisher.listed.at("a:1").entry.group == "y");
}

TEST_CASE("a configuration is fetched in the own zone, and elsewhere only after a while") {
    // Guards against every gateway fetching each large configuration across zones.
    directory_subscriber subscriber;
    subscriber.self.zone = "a";
    configure_registrars(subscriber, {"near:1", "far:1"}, at_ms(0));
    auto const hear = [&](std::string const& from, std::uint64_t version, std::int64_t at) {
        directory_update update;
        update.registrar_run = 1;
        update.config_version = version;
        update.zone = from == "near:1" ? "a" : "b";
        take_update(subscriber, from, update, at_ms(at));
    };
    hear("near:1", 4, 0);
    hear("far:1", 4, 0);
    CHECK_FALSE(configuration_source(subscriber, 4, at_ms(0)));
    hear("far:1", 5, 100);
    CHECK_FALSE(configuration_source(subscriber, 4, at_ms(150)));
    SUBCASE("the near registrar follows in time") {
        hear("near:1", 5, 200);
        CHECK(configuration_source(subscriber, 4, at_ms(200)) == "near:1");
        CHECK(configuration_source(subscriber, 4, at_ms(900)) == "near:1");
    }
    SUBCASE("the near registrar stays behind") {
        hear("near:1", 4, 480);
        CHECK(configuration_source(subscriber, 4, at_ms(501)) == "far:1");
    }
    SUBCASE("the near registrar is silent") {
        hear("far:1", 5, 2000);
        CHECK(configuration_source(subscriber, 4, at_ms(2000)) == "far:1");
    }
}

TEST_CASE("a packed text is restored, and a torn or overlong one is refused") {
    // Guards against a configuration that expands without bound or is taken in part.
    std::string text;
    for (int line = 0; line < 20'000; ++line) {
        text += "{\"name\":\"r-" + std::to_string(line) + "\",\"path_prefix\":\"/p/\"},";
    }
    auto const packed = pack_text(text);
    CHECK(packed.size() < text.size() / 4);
    CHECK(unpack_text(packed, text.size()).value() == text);
    CHECK_FALSE(unpack_text(packed, text.size() - 1));
    CHECK_FALSE(unpack_text(packed.substr(0, packed.size() / 2), text.size()));
    CHECK_FALSE(unpack_text("no zlib data", 100));
    CHECK_FALSE(unpack_text("", 100));
    CHECK(unpack_text(pack_text(""), 100).value().empty());
}

TEST_CASE("a silent process leaves the list, and an older run of it changes nothing") {
    directory_publisher publisher;
    publisher.address = "r:1";
    directory_beat beat;
    beat.self = {"g:1", daemon_role::gateway, "z", "c:1", true, "", 10, "", 0};
    CHECK(take_beat(publisher, beat, at_ms(0)));
    beat.self.started = 9;
    beat.self.ready = false;
    CHECK_FALSE(take_beat(publisher, beat, at_ms(10)));
    CHECK(publisher.subscribers.at("g:1").entry.ready);
    CHECK_FALSE(refresh_daemons(publisher, {}, at_ms(1'000)));
    CHECK(refresh_daemons(publisher, {}, at_ms(3'000)));
    CHECK(publisher.subscribers.empty());
    CHECK(publisher.listed.empty());
}

// With a hundred processes a list sent to each at every change would be ten thousand entries.
TEST_CASE("an update holds only what changed and concerns the subscriber") {
    directory_publisher publisher;
    publisher.address = "r:1";
    publisher.run = 1;
    target_directory targets;
    auto const beat = [&](daemon_entry const& self, std::uint64_t known) {
        take_beat(publisher, {self, 1, targets.last_change, known, {}}, at_ms(0));
    };
    daemon_entry const first{"g:1", daemon_role::gateway, "z", "c:1", true, "", 1, "", 0};
    daemon_entry const second{"g:2", daemon_role::gateway, "z", "c:2", true, "", 1, "", 0};
    daemon_entry const agent{"a:1", daemon_role::rank_agent, "z", "e:1", false, "t1", 1, "x", 0};
    daemon_entry const other{"a:2", daemon_role::rank_agent, "z", "e:2", false, "t2", 1, "y", 0};
    for (auto const& one : {first, second, agent, other}) {
        beat(one, 0);
    }
    auto const whole = update_for(publisher, "g:1", {&targets, 0, true});
    CHECK(whole.all_daemons);
    CHECK(whole.daemons.size() == 2);
    CHECK(update_for(publisher, "a:1", {&targets, 0, true}).daemons.size() == 3);
    beat(first, publisher.daemons_revision);
    CHECK_FALSE(has_news(update_for(publisher, "g:1", {&targets, 0, true})));
    take_beat(publisher, {first, 1, 0, publisher.daemons_revision, {}}, at_ms(1'000));
    refresh_daemons(publisher, {}, at_ms(2'000));
    auto const after = update_for(publisher, "g:1", {&targets, 0, true});
    CHECK(after.gone_daemons == std::vector<std::string>{"g:2"});
    CHECK(after.daemons.empty());
}

// A registrar that is cut off from the others must not take a target's word that it leaves.
TEST_CASE("a departure is acknowledged by a majority only") {
    std::vector<std::string> const members{"a", "b", "c", "d", "e"};
    departure_table table;
    auto const number = begin_departure(table, announce("t", 1, 2), {}, at_ms(0));
    table.pending.at(number).recorded_by.insert("a");
    auto first = advance(table, members, {}, at_ms(0));
    CHECK(first.notices.size() == 4);
    CHECK(first.acknowledged.empty());
    CHECK(advance(table, members, {}, at_ms(50)).notices.empty());
    table.pending.at(number).recorded_by.insert("b");
    table.pending.at(number).recorded_by.insert("x"); // no member
    CHECK(advance(table, members, {}, at_ms(100)).acknowledged.empty());
    CHECK(advance(table, members, {}, at_ms(250)).notices.size() == 3);
    table.pending.at(number).recorded_by.insert("c");
    CHECK(advance(table, members, {}, at_ms(300)).acknowledged.size() == 1);
    CHECK(table.pending.empty());

    auto const unanswered = begin_departure(table, announce("u", 1, 2), {}, at_ms(0));
    table.pending.at(unanswered).recorded_by.insert("a");
    CHECK(advance(table, members, {}, at_ms(1'000)).failed.size() == 1);
    auto const without_members = begin_departure(table, announce("v", 1, 2), {}, at_ms(0));
    table.pending.at(without_members).recorded_by.insert("a");
    CHECK(advance(table, {}, {}, at_ms(1)).acknowledged.empty());
}

} // namespace fireflycrank
