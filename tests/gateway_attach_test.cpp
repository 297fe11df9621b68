// Hundreds of processes on a few small registrars: each process talks to few of them, everybody
// still learns of everybody, and a loaded registrar is not taken for a dead one.
#include "directorysync.h"
#include "linkpace.h"
#include "targetchoice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;

time_point at_ms(std::int64_t count) {
    return time_point{milliseconds{count}};
}

constexpr milliseconds step{100};

// The registrars and all other processes of a fleet, which exchange beats and updates without
// delay. A registrar's word is lost while it is down, and between registrars of two sides.
struct fleet_model {
    struct process {
        directory_subscriber subscriber;
        target_directory targets;
        bool up{true};
    };
    struct registrar {
        directory_publisher publisher;
        directory_subscriber subscriber;
        target_directory targets;
        bool up{true};
        int side{0};
        std::size_t messages{0};
        std::size_t entries{0};
    };
    std::map<std::string, registrar> registrars;
    std::map<std::string, process> processes;
    std::int64_t ms{0};
};

std::string zone_of(std::size_t number) {
    return "z" + std::to_string(number % 5);
}

fleet_model make_fleet(std::size_t registrars, std::size_t gateways, std::size_t agents) {
    fleet_model fleet;
    std::vector<std::string> const seeds{"r0:1", "r1:1", "r2:1"};
    for (std::size_t one = 0; one < registrars; ++one) {
        auto const address = "r" + std::to_string(one) + ":1";
        auto& made = fleet.registrars[address];
        made.publisher.address = address;
        made.publisher.zone = zone_of(one);
        made.publisher.run = one + 1;
        made.subscriber.self = {address, daemon_role::registrar, zone_of(one), "", false, "", 1, "",
                                0};
        configure_registrars(made.subscriber, seeds, at_ms(0));
    }
    for (std::size_t one = 0; one < gateways + agents; ++one) {
        bool const is_gateway = one < gateways;
        auto const address = (is_gateway ? "g" : "a") + std::to_string(one) + ":1";
        auto& made = fleet.processes[address];
        made.subscriber.self = {address,
                                is_gateway ? daemon_role::gateway : daemon_role::rank_agent,
                                zone_of(one),
                                "c" + address,
                                is_gateway,
                                "",
                                1,
                                is_gateway ? "" : "group",
                                0};
        configure_registrars(made.subscriber, seeds, at_ms(0));
    }
    return fleet;
}

// One beat and its answer.
void deliver(fleet_model& fleet, std::string const& to, directory_beat const& beat,
             directory_subscriber& subscriber, target_directory& targets) {
    auto const found = fleet.registrars.find(to);
    if (found == fleet.registrars.end() || !found->second.up) {
        return;
    }
    auto& registrar = found->second;
    auto const now = at_ms(fleet.ms);
    for (auto const& address : beat.registrars) {
        registrar.subscriber.registrars.try_emplace(address).first->second.learned_at = now;
    }
    take_beat(registrar.publisher, beat, now);
    auto const all_up = [&] {
        std::size_t reached = 0;
        for (auto const& [address, other] : fleet.registrars) {
            reached += other.up && other.side == registrar.side ? 1 : 0;
        }
        return 2 * reached > fleet.registrars.size();
    };
    auto const update =
        update_for(registrar.publisher, beat.self.address, {&registrar.targets, 0, all_up(), now});
    ++registrar.messages;
    registrar.entries += update.daemons.size();
    take_update(subscriber, to, update, now);
    for (auto const& said : update.targets) {
        apply_announcement(targets, said, announcement_source::peer, now);
    }
    if (beat.self.role == daemon_role::gateway) {
        refresh_heard(targets, subscriber.settings, update, now);
    }
}

void run_for(fleet_model& fleet, milliseconds time) {
    for (auto const end = fleet.ms + time.count(); fleet.ms < end; fleet.ms += step.count()) {
        auto const now = at_ms(fleet.ms);
        for (auto& [address, registrar] : fleet.registrars) {
            if (!registrar.up) {
                continue;
            }
            for (auto const& beat : due_beats(registrar.subscriber, false, now)) {
                auto const other = fleet.registrars.find(beat.to);
                if (other != fleet.registrars.end() && other->second.side == registrar.side) {
                    deliver(fleet, beat.to, beat.message, registrar.subscriber, registrar.targets);
                }
            }
            refresh_daemons(registrar.publisher, relayed_daemons(registrar.subscriber, now), now);
        }
        for (auto& [address, process] : fleet.processes) {
            if (!process.up) {
                continue;
            }
            for (auto const& beat : due_beats(process.subscriber, false, now)) {
                deliver(fleet, beat.to, beat.message, process.subscriber, process.targets);
            }
        }
    }
}

std::size_t attached_links(directory_subscriber const& subscriber) {
    return static_cast<std::size_t>(
        std::count_if(subscriber.registrars.begin(), subscriber.registrars.end(),
                      [](auto const& entry) { return entry.second.attached; }));
}

// The fewest gateways that a running process of the role lists.
std::size_t least_listed(fleet_model const& fleet, daemon_role role) {
    std::size_t least = fleet.processes.size();
    for (auto const& [address, process] : fleet.processes) {
        if (process.up && process.subscriber.self.role == role) {
            least = std::min(
                least,
                listed_daemons(process.subscriber, daemon_role::gateway, at_ms(fleet.ms)).size());
        }
    }
    return least;
}

} // namespace

// With 289 processes that each beat to nine registrars, the answers alone took all of a registrar's
// processor, and no configuration was ever acknowledged.
TEST_CASE("a registrar hears a bounded part of a large fleet, and everybody learns of everybody") {
    auto fleet = make_fleet(9, 97, 192);
    run_for(fleet, milliseconds{6'000});
    CHECK(least_listed(fleet, daemon_role::gateway) == 97);
    CHECK(least_listed(fleet, daemon_role::rank_agent) == 97);
    std::size_t const links = 97 * 3 + 192 * 2;
    for (auto& [address, registrar] : fleet.registrars) {
        std::size_t direct = 0;
        for (auto const& [peer, state] : registrar.publisher.subscribers) {
            direct += state.entry.role == daemon_role::registrar ? 0 : 1;
        }
        // Twice the mean: zones have one or two registrars.
        CHECK(direct < 2 * links / 9);
        registrar.messages = 0;
        registrar.entries = 0;
    }
    run_for(fleet, milliseconds{5'000});
    for (auto const& [address, registrar] : fleet.registrars) {
        CHECK(registrar.messages < 1'200); // 240 a second; all beats to all would be 386
        CHECK(registrar.entries == 0);
    }
    for (auto const& [address, process] : fleet.processes) {
        auto const& registrars = process.subscriber.registrars;
        auto const& zone = process.subscriber.self.zone;
        bool const near =
            std::any_of(registrars.begin(), registrars.end(), [&zone](auto const& entry) {
                return entry.second.attached && entry.second.zone == zone;
            });
        CHECK(near);
    }
}

TEST_CASE("lists survive the loss of two registrars and of a zone of processes") {
    auto fleet = make_fleet(9, 97, 192);
    run_for(fleet, milliseconds{6'000});
    fleet.registrars.at("r0:1").up = false;
    fleet.registrars.at("r5:1").up = false; // the other one of its zone
    for (int second = 0; second < 6; ++second) {
        run_for(fleet, milliseconds{1'000});
        CHECK(least_listed(fleet, daemon_role::gateway) == 97);
    }
    for (auto& [address, process] : fleet.processes) {
        process.up = process.subscriber.self.zone != "z3";
    }
    run_for(fleet, milliseconds{3'500});
    std::size_t most = 0;
    for (auto const& [address, process] : fleet.processes) {
        if (process.up) {
            most = std::max(
                most,
                listed_daemons(process.subscriber, daemon_role::gateway, at_ms(fleet.ms)).size());
        }
    }
    CHECK(most == 97 - 19); // every fifth of 97 gateways stopped, nobody lists them any more
}

// A gateway that talks to the cut-off registrars only would not hear that a target leaves.
TEST_CASE("registrars that are cut off from the majority are left") {
    auto fleet = make_fleet(9, 20, 0);
    run_for(fleet, milliseconds{6'000});
    for (auto const* const address : {"r0:1", "r1:1", "r2:1", "r3:1"}) {
        fleet.registrars.at(address).side = 1;
    }
    run_for(fleet, milliseconds{4'000});
    for (auto const& [address, process] : fleet.processes) {
        auto const& registrars = process.subscriber.registrars;
        bool const hears_majority =
            std::any_of(registrars.begin(), registrars.end(), [&](auto const& entry) {
                return entry.second.attached && fleet.registrars.at(entry.first).side == 0;
            });
        CHECK(hears_majority);
        CHECK(attached_links(process.subscriber) <= 6);
    }
    for (auto& [address, registrar] : fleet.registrars) {
        registrar.side = 0;
    }
    run_for(fleet, milliseconds{20'000});
    for (auto const& [address, process] : fleet.processes) {
        CHECK(attached_links(process.subscriber) == 3);
    }
}

// Guards against a registrar that is left at once when it is attached again, for an answer from
// before it was detached.
TEST_CASE("a registrar that is attached again has its time to answer") {
    directory_subscriber subscriber;
    subscriber.self = {"g:1", daemon_role::gateway, "z0", "c", true, "", 1, "", 0};
    subscriber.settings.attachment.gateway_links = 1;
    configure_registrars(subscriber, {"r0:1", "r1:1"}, at_ms(0));
    choose_attachments(subscriber, at_ms(0));
    auto& registrars = subscriber.registrars;
    auto const preferred = registrars.at("r0:1").attached ? "r0:1" : "r1:1";
    auto const other = registrars.at("r0:1").attached ? "r1:1" : "r0:1";

    // The other one is attached while the preferred one is avoided, and answers that it is unsure.
    registrars.at(preferred).attached = false;
    registrars.at(preferred).avoid_until = at_ms(500);
    registrars.at(preferred).learned_at = at_ms(20000);
    registrars.at(other).learned_at = at_ms(20000);
    choose_attachments(subscriber, at_ms(100));
    REQUIRE(registrars.at(other).attached);
    registrars.at(other).heard_at = at_ms(200);
    registrars.at(other).confirmed = false;
    choose_attachments(subscriber, at_ms(200));

    // The preferred one is back and sure, so the other one is detached.
    choose_attachments(subscriber, at_ms(600));
    registrars.at(preferred).heard_at = at_ms(700);
    registrars.at(preferred).confirmed = true;
    choose_attachments(subscriber, at_ms(700));
    REQUIRE_FALSE(registrars.at(other).attached);

    // Much later the preferred one falls silent, and the other one is attached again.
    registrars.at(preferred).attached = false;
    registrars.at(preferred).avoid_until = at_ms(60000);
    choose_attachments(subscriber, at_ms(10000));
    REQUIRE(registrars.at(other).attached);
    choose_attachments(subscriber, at_ms(10100));
    CHECK(registrars.at(other).attached);
}

// Only registrars are told of each announcement; gateways learn which targets fell silent.
TEST_CASE("a target stays heard through registrars that it does not call") {
    auto const silent_after = choice_settings{}.silent_after;
    auto fleet = make_fleet(9, 10, 0);
    target_announcement said;
    said.id = "t";
    said.service = "s";
    said.address = "10.0.0.1:80";
    said.started_at = wall_time{milliseconds{5}};
    auto const oldest = [&] {
        duration age{};
        for (auto const& [address, process] : fleet.processes) {
            age = std::max(age, at_ms(fleet.ms) - process.targets.targets.at("t").last_heard);
        }
        return age;
    };
    for (std::uint64_t round = 0; round < 10; ++round) {
        said.sequence = round + 1;
        auto& called = fleet.registrars.at("r" + std::to_string(round % 9) + ":1");
        apply_announcement(called.targets, said, announcement_source::target, at_ms(fleet.ms));
        run_for(fleet, milliseconds{1'200});
        CHECK(oldest() < silent_after);
    }
    run_for(fleet, milliseconds{6'000});
    CHECK(oldest() > silent_after);
}

// A peer that answers after 1.2 s was taken for dead after 0.8 s, and each new connection made it
// slower.
TEST_CASE("a slow peer is given up once, a dead one in time") {
    link_pace_settings const settings;
    link_pace pace;
    CHECK(silent_limit(pace, settings) == milliseconds{800});
    CHECK(note_given_up(pace, settings, 1) <= milliseconds{150});
    CHECK(silent_limit(pace, settings) > milliseconds{1'200});
    note_confirmed(pace, milliseconds{1'200});
    for (int answer = 0; answer < 8; ++answer) {
        note_confirmed(pace, milliseconds{answer % 2 == 0 ? 300 : 1'200});
        CHECK(silent_limit(pace, settings) > milliseconds{1'200});
    }
    for (int answer = 0; answer < 30; ++answer) {
        note_confirmed(pace, milliseconds{5});
    }
    CHECK(silent_limit(pace, settings) == milliseconds{800});
}

TEST_CASE("pauses between dials grow up to a limit and differ between links") {
    link_pace_settings const settings;
    link_pace one;
    link_pace other;
    duration last{};
    bool differ = false;
    for (int dial = 0; dial < 8; ++dial) {
        auto const pause = note_given_up(one, settings, 1);
        differ = differ || pause != note_given_up(other, settings, 2);
        CHECK(pause <= settings.longest_pause);
        CHECK(connect_limit(one, settings) <= settings.longest_limit);
        last = pause;
    }
    CHECK(last >= settings.longest_pause / 2);
    CHECK(differ);
}

} // namespace fireflycrank
