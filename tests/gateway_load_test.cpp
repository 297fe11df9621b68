// Tests of a gateway's scheduling decisions under difficult load patterns. Targets are represented
// by counters.
#include "callqueue.h"
#include "engineload.h"
#include "rng.h"
#include "subset.h"
#include "targetchoice.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <numeric>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;

time_point at_ms(std::int64_t count) {
    return time_point{milliseconds{count}};
}

target_view make_target(std::string const& id, unsigned slots, std::string const& zone) {
    target_view view;
    view.announcement.id = id;
    view.announcement.service = "s";
    view.announcement.zone = zone;
    view.announcement.slots = slots;
    return view;
}

std::map<std::string, target_view> make_fleet(unsigned count, unsigned slots) {
    std::map<std::string, target_view> fleet;
    for (unsigned at = 0; at < count; ++at) {
        auto const id = "t" + std::to_string(100 + at);
        fleet[id] = make_target(id, slots, "z" + std::to_string(at % 3));
    }
    return fleet;
}

struct surge_outcome {
    unsigned on_time{0};
    unsigned served{0};
};

// Simulates a backlog from an outage together with steady arrivals at the service rate.
template <class choose_function>
surge_outcome run_surge(choose_function&& choose_next) {
    constexpr std::int64_t objective_ms = 400;
    constexpr std::int64_t queue_timeout_ms = 1'500;
    constexpr std::int64_t service_gap_ms = 10;
    call_queue queue;
    std::map<std::uint64_t, time_point> arrived;
    surge_outcome outcome;
    std::uint64_t next = 0;
    auto const arrive = [&](std::int64_t ms) {
        enqueue(queue, "s",
                {++next, at_ms(ms), at_ms(ms + objective_ms), at_ms(ms + queue_timeout_ms)});
        arrived[next] = at_ms(ms);
    };
    for (int backlog = 0; backlog < 120; ++backlog) {
        arrive(-300 - backlog);
    }
    for (std::int64_t ms = 0; ms < 5'000; ms += service_gap_ms) {
        arrive(ms);
        auto const now = at_ms(ms);
        for (auto const id : expired_calls(queue, now)) {
            remove(queue, "s", id);
        }
        if (auto const id = choose_next(queue, now)) {
            remove(queue, "s", *id);
            ++outcome.served;
            outcome.on_time += now - arrived[*id] < milliseconds{objective_ms} ? 1 : 0;
        }
    }
    return outcome;
}

} // namespace

// Load pattern: all processes were down for a second at peak load. First in, first out would serve
// every request late until the load falls.
TEST_CASE("after an outage, requests that can still meet their objective go first") {
    auto const by_deadline = run_surge([](call_queue const& queue, time_point now) {
        return next_call(queue, "s", queue_order::by_time, now);
    });
    auto const first_in_first_out = run_surge([](call_queue const& queue, time_point /*now*/) {
        auto const found = queue.by_service.find("s");
        return found == queue.by_service.end() || found->second.empty()
                   ? std::optional<std::uint64_t>{}
                   : std::optional{found->second.front().id};
    });
    CHECK(by_deadline.served >= first_in_first_out.served);
    CHECK(by_deadline.on_time > 3 * first_in_first_out.on_time);
    CHECK(by_deadline.on_time > 450);
}

// Load pattern: no request can meet its objective any more. The oldest go first, and all leave the
// queue.
TEST_CASE("late requests are served in order of arrival") {
    call_queue queue;
    for (std::uint64_t id = 1; id <= 5; ++id) {
        auto const ms = static_cast<std::int64_t>(id) * 10;
        enqueue(queue, "s", {id, at_ms(ms), at_ms(ms), at_ms(ms + 1'000)});
    }
    for (std::uint64_t id = 1; id <= 5; ++id) {
        REQUIRE(next_call(queue, "s", queue_order::by_time, at_ms(500)) == id);
        remove(queue, "s", id);
    }
    CHECK(queued_call_count(queue, "s") == 0);
    CHECK_FALSE(next_call(queue, "s", queue_order::by_time, at_ms(500)));
}

// Load pattern: many gateways choose by the same report. Without counting their own sends and
// without a margin for ties, all of them would send to the same target.
TEST_CASE("eight gateways with the same old reports do not choose the same target") {
    constexpr int gateways = 8;
    std::vector<std::map<std::string, target_view>> views(gateways, make_fleet(16, 12));
    std::map<std::string, unsigned> sent;
    rng random{1};
    for (int call = 0; call < 96; ++call) {
        auto& fleet = views[static_cast<std::size_t>(call % gateways)];
        auto const choice =
            choose_target(fleet, "s", "z" + std::to_string(call % 3), {}, {}, random, at_ms(100));
        REQUIRE_FALSE(choice.id.empty());
        ++fleet.at(choice.id).own_in_flight;
        ++sent[choice.id];
    }
    unsigned most = 0;
    for (auto const& [id, count] : sent) {
        most = std::max(most, count);
    }
    CHECK(most <= 12); // the mean is 6
    CHECK(sent.size() == 16);
}

// Load pattern: at peak load every gateway has queued calls, and one of 64 targets becomes free.
// All gateways learn of it at the same time.
TEST_CASE("a target that becomes free is not overloaded by all gateways at once") {
    constexpr unsigned free_slots = 8;
    std::vector<subset_node> gateways;
    gateways.reserve(38);
    for (int number = 0; number < 38; ++number) {
        gateways.push_back(
            {"10.1.0." + std::to_string(number) + ":7340", "z" + std::to_string(number % 3)});
    }
    auto fleet = make_fleet(64, 10);
    std::vector<subset_node> targets;
    for (auto& [id, view] : fleet) {
        view.load = load_sample{at_ms(0), 10, 0, 0, 1.0};
        targets.push_back({id, view.announcement.zone});
    }
    rng random{5};
    unsigned most = 0;
    unsigned unused = 0;
    for (auto const& [freed_id, ignored] : fleet) {
        auto views = fleet;
        views.at(freed_id).load = load_sample{at_ms(0), 10 - free_slots, 0, 0, 1.0};
        unsigned sent = 0;
        for (auto const& gateway : gateways) {
            auto const followed = choose_subset(gateway, gateways, targets, {8, 3, 1.0});
            target_filter filter;
            filter.subset = &followed;
            auto const choice =
                choose_target(views, "s", gateway.zone, filter, {}, random, at_ms(100));
            sent += choice.id == freed_id ? 1 : 0;
        }
        most = std::max(most, sent);
        unused += sent == 0 ? 1 : 0;
    }
    CHECK(most <= free_slots + 4); // a few may queue there
    CHECK(unused == 0);
}

// Load pattern: all targets that a gateway follows have failed.
TEST_CASE("a gateway uses other targets if none that it follows is usable") {
    auto fleet = make_fleet(4, 12);
    rng random{6};
    std::vector<std::string> const followed{fleet.begin()->first};
    target_filter filter;
    filter.subset = &followed;
    CHECK(choose_target(fleet, "s", "z0", filter, {}, random, at_ms(100)).id == followed.front());
    fleet.begin()->second.backoff_until = at_ms(500);
    auto const other = choose_target(fleet, "s", "z0", filter, {}, random, at_ms(100));
    CHECK(other.id != followed.front());
    CHECK(other.healthy);
}

// Load pattern: with many gateways and agents, reports to gateways that do not use a target are a
// considerable load.
TEST_CASE("reports are frequent to gateways that follow a target and rare to others") {
    load_report_settings const settings;
    load_recipient follower;
    load_recipient other;
    unsigned to_follower = 0;
    unsigned to_other = 0;
    for (std::int64_t ms = 0; ms < 10'000; ms += 10) {
        if (ms % 1'000 == 0 && ms < 5'000) {
            follower.followed_at = at_ms(ms);
        }
        for (auto* reader : {&follower, &other}) {
            if (is_report_due(*reader, settings, at_ms(ms))) {
                reader->sent_at = at_ms(ms);
                ++(reader == &follower ? to_follower : to_other);
            }
        }
    }
    CHECK(to_other == 20);
    // The last follow message came at 4 s and is valid for 3 s, until 7 s.
    CHECK(to_follower >= 50 + 6);
    CHECK(to_follower <= 50 + 7);
}

// Load pattern: a burst of streams. Each one lengthens the passes of the engine.
TEST_CASE("streams use part of the slots while they have time, and all when they are late") {
    target_choice choice;
    choice.id = "t1";
    choice.slots = 12;
    choice.candidates = 1;
    choice.healthy = true;
    auto const usable_slots = [&](slot_request const& need) {
        unsigned count = 0;
        for (choice.load = 0; choice.load < 20 && has_capacity(choice, need); ++choice.load) {
            ++count;
        }
        return count;
    };
    CHECK(usable_slots({true, false, std::chrono::milliseconds{200}}) == 9);
    CHECK(usable_slots({true, false, std::chrono::milliseconds{30}}) == 13);
    CHECK(usable_slots({true, false, std::chrono::milliseconds{-1}}) == 12);
    CHECK(usable_slots({true, true, std::chrono::milliseconds{-1}}) == 13);
    // A service without streams refuses by itself what it cannot take. Nothing is sent to an
    // unusable target.
    CHECK(usable_slots({false, false, std::chrono::milliseconds{200}}) == 20);
    choice.healthy = false;
    CHECK(usable_slots({false, false, std::chrono::milliseconds{200}}) == 0);
}

// Load pattern: half of the targets are slow, which the queues in their reports show.
TEST_CASE("slow targets get fewer requests") {
    auto fleet = make_fleet(8, 12);
    rng random{2};
    for (auto& [id, view] : fleet) {
        bool const slow = id < "t104";
        view.load = load_sample{at_ms(0), slow ? 11U : 5U, slow ? 3U : 0U, 0, slow ? 3.0 : 1.0};
    }
    unsigned to_slow = 0;
    for (int call = 0; call < 20; ++call) {
        auto const choice = choose_target(fleet, "s", "z0", {}, {}, random, at_ms(50));
        to_slow += choice.id < "t104" ? 1 : 0;
        ++fleet.at(choice.id).own_in_flight;
    }
    CHECK(to_slow == 0);
}

// Load pattern: a group has stalled. Its ranks are used only if no other target is left.
TEST_CASE("targets of a closed group are used only as a last resort") {
    auto fleet = make_fleet(4, 12);
    rng random{3};
    for (auto& [id, view] : fleet) {
        view.group = group_membership{id < "t102" ? "g0" : "g1", 1, 0, id >= "t102", at_ms(0)};
        view.own_in_flight = id < "t102" ? 0 : 10;
    }
    auto const choice = choose_target(fleet, "s", "z0", {}, {}, random, at_ms(100));
    CHECK(choice.id >= "t102");
    CHECK(choice.healthy);
    fleet["t102"].announcement.state = target_phase::draining;
    fleet["t103"].announcement.state = target_phase::departed;
    auto const last = choose_target(fleet, "s", "z0", {}, {}, random, at_ms(100));
    CHECK(last.id < "t102");
    CHECK_FALSE(last.healthy);
}

// Load pattern: a group cannot form because ranks are missing. Regression: with 15 targets for a
// group of 100, 23,000 streams waited 1.5 s each before they were refused.
TEST_CASE(
    "in a prolonged outage of a service no request waits, and the first usable target ends it") {
    service_outage outage;
    int waited = 0;
    int refused = 0;
    for (std::int64_t ms = 0; ms < 30'000; ms += 100) {
        (is_prolonged(outage, at_ms(ms)) ? refused : waited) += 1;
        update_outage(outage, false, at_ms(ms));
    }
    CHECK(waited == 61); // a group that lost a rank forms again within six seconds
    CHECK(refused == 239);
    update_outage(outage, true, at_ms(30'000));
    update_outage(outage, false, at_ms(30'100));
    CHECK_FALSE(is_prolonged(outage, at_ms(36'000)));
    CHECK(is_prolonged(outage, at_ms(36'101)));
}

// Load pattern: one rank of a group is slow. The whole group is as slow, whatever its other ranks
// report.
TEST_CASE("a group is as slow as its slowest rank") {
    auto fleet = make_fleet(4, 12);
    rng random{4};
    for (auto& [id, view] : fleet) {
        bool const first = id < "t102";
        view.group = group_membership{first ? "g0" : "g1", 1, 0, true, at_ms(0)};
        view.load = load_sample{at_ms(0), first ? 0U : 4U, 0, 0, id == "t100" ? 8.0 : 1.0};
    }
    CHECK(choose_target(fleet, "s", "z0", {}, {}, random, at_ms(50)).id >= "t102");
    mark_group_closed(fleet, "t103", at_ms(60));
    CHECK(choose_target(fleet, "s", "z0", {}, {}, random, at_ms(70)).id < "t102");
}

// Load pattern: one rank of the only group is slow, and each pass waits for it. Regression: it got
// as many streams as the other ranks, since all counted as slow as it is.
TEST_CASE("a slow rank gets fewer streams than others of its group") {
    auto fleet = make_fleet(4, 12);
    rng random{4};
    for (auto& [id, view] : fleet) {
        view.group = group_membership{"g", 1, 0, true, at_ms(0)};
        view.load = load_sample{at_ms(0), 0, 0, 0, id == "t100" ? 5.0 : 1.0};
    }
    target_filter filter;
    filter.weigh_pace = true;
    std::map<std::string, unsigned> sent;
    for (unsigned stream = 0; stream < 24; ++stream) {
        auto const id = choose_target(fleet, "s", "z0", filter, {}, random, at_ms(50)).id;
        ++fleet.at(id).own_in_flight;
        ++sent[id];
    }
    CHECK(sent["t100"] <= 1);
    for (auto const* const id : {"t101", "t102", "t103"}) {
        CHECK(sent[id] >= 7);
    }
}

// Load pattern: a target fails repeatedly. Each failure doubles the time for which it is avoided,
// up to a limit, and a success ends it.
TEST_CASE("a failing target is avoided for increasing times") {
    auto view = make_target("t", 12, "z0");
    choice_settings const settings;
    duration last{};
    for (int failure = 0; failure < 10; ++failure) {
        record_failure(view, settings, at_ms(0));
        auto const pause = view.backoff_until - at_ms(0);
        CHECK(pause >= last);
        CHECK(pause <= settings.max_backoff);
        last = pause;
    }
    CHECK(last == settings.max_backoff);
    record_success(view);
    CHECK(view.backoff_until == time_point{});
}

// Load pattern: reports stop. Old ones must not make a target look busy or free forever.
TEST_CASE("an old report is replaced by the gateway's own count") {
    auto view = make_target("t", 12, "z0");
    view.load = load_sample{at_ms(0), 10, 4, 0, 1.0};
    view.own_in_flight = 2;
    CHECK(estimated_load(view, {}, at_ms(100)) == doctest::Approx(16.0));
    CHECK(estimated_load(view, {}, at_ms(5'000)) == doctest::Approx(2.0));
}

} // namespace fireflycrank
