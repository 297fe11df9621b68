// Evacuated zones and allowed regions at a gateway: how it hears of them, and every way on which a
// request comes to a target.
#include "directorywire.h"
#include "gatewayworld.h"
#include "platform/operatorconfig.h"
#include "streamadmission.h"
#include "targetaccess.h"

namespace fireflycrank {

namespace {

using platform::registrar_request_kind;
using std::chrono::milliseconds;

time_point at_ms(std::int64_t count) {
    return time_point{milliseconds{count}};
}

void evacuate(gateway& owner, std::set<std::string> zones) {
    owner.subscriber.evacuations = {owner.subscriber.evacuations.revision + 1, std::move(zones)};
    recheck_access(owner);
}

// The first target is in zone z, the second one in zone y.
struct zoned_world : gateway_world {
    explicit zoned_world(scripted_response response) : gateway_world{std::move(response)} {
        owner.settings.zone_regions = {{"z", "north"}, {"y", "south"}};
    }

    void add_second() {
        add_target("second", second.address);
        owner.targets["second"].announcement.zone = "y";
    }

    void set_regions(std::vector<std::string> const& regions) {
        auto config = std::make_shared<service_config>(*owner.config);
        for (auto& route : config->routes) {
            route.regions = regions;
        }
        REQUIRE(index_config(*config));
        owner.config = config;
    }

    static std::size_t requests_at(raw_target const& target) {
        std::size_t count = 0;
        for (auto const& peer : target.peers) {
            count += peer->received.empty() ? 0 : 1;
        }
        return count;
    }
};

scripted_response const whole{body_framing::chunks, all_events};

directory_update update_from(directory_publisher& publisher, evacuation_list const& list,
                             bool confirmed) {
    static target_directory const targets;
    publisher_context context;
    context.targets = &targets;
    context.confirmed = confirmed;
    context.evacuations = &list;
    return parse_update(serialize(update_for(publisher, "g:1", context))).value();
}

directory_beat beat_of(directory_subscriber const& subscriber) {
    directory_beat beat;
    beat.self = subscriber.self;
    beat.known_evacuations = subscriber.evacuations.revision;
    return parse_beat(serialize(beat)).value();
}

directory_subscriber make_subscriber(std::uint64_t started) {
    directory_subscriber subscriber;
    subscriber.self.address = "g:1";
    subscriber.self.role = daemon_role::gateway;
    subscriber.self.started = started;
    return subscriber;
}

} // namespace

TEST_CASE("the operator's orders of evacuation are decoded") {
    auto const begun = platform::decode_registrar_request("POST", "/-/Evacuations.Begin/hamilton");
    CHECK(begun.kind == registrar_request_kind::begin_evacuation);
    CHECK(begun.zone == "hamilton");
    auto const ended = platform::decode_registrar_request("POST", "/-/Evacuations.Finish/hamilton");
    CHECK(ended.kind == registrar_request_kind::finish_evacuation);
    CHECK(ended.zone == "hamilton");
    CHECK(platform::decode_registrar_request("GET", "/-/Evacuations.Begin/hamilton").kind ==
          registrar_request_kind::unknown);
}

TEST_CASE("zones and regions decide whether a request may run at a target") {
    std::set<std::string> const evacuated{"a"};
    std::map<std::string, std::string> const regions{{"a", "r"}, {"b", "r"}, {"c", "s"}};
    access_rules rules{&evacuated, &regions, {}, {}};
    CHECK(judge_access(rules, "a") == access_denial::evacuated_zone);
    CHECK(judge_access(rules, "b") == access_denial::none);
    CHECK(judge_access(rules, "unknown") == access_denial::none);
    rules.route_regions = {"r"};
    CHECK(judge_access(rules, "b") == access_denial::none);
    CHECK(judge_access(rules, "c") == access_denial::foreign_region);
    CHECK(judge_access(rules, "unknown") == access_denial::foreign_region);
    rules.team_regions = {"s"}; // both bind
    CHECK(judge_access(rules, "b") == access_denial::foreign_region);
    CHECK(judge_access(rules, "c") == access_denial::foreign_region);
}

// EVAC: "any target is better than none" must not reach a target of an evacuated zone.
TEST_CASE("nothing is sent to an evacuated zone, and what no other target serves is refused") {
    for (std::string const route : {"resumable", "stream", "idempotent", "once"}) {
        CAPTURE(route);
        zoned_world world{whole};
        evacuate(world.owner, {"z"});
        auto const begun = loop_now(world.owner.loop);
        auto const refused = world.call(route);
        CHECK(refused.status == 503);
        CHECK(loop_now(world.owner.loop) - begun < milliseconds{100});
        CHECK(world.caller->received.find("Retry-After") != std::string::npos);
        CHECK(zoned_world::requests_at(world.first) == 0);
        world.add_second();
        CHECK(world.call(route).status == 200);
        CHECK(world.second_requests == 1);
        evacuate(world.owner, {"y"});
        CHECK(world.call(route).status == 200);
        CHECK(world.second_requests == 1);
    }
}

TEST_CASE("a route's regions keep its requests from targets elsewhere") {
    for (std::string const route : {"resumable", "once"}) {
        CAPTURE(route);
        zoned_world world{whole};
        world.set_regions({"south"});
        CHECK(world.call(route).status == 503);
        CHECK(zoned_world::requests_at(world.first) == 0);
        CHECK_FALSE(world.owner.outages["s"].since); // other routes can use the target
        world.add_second();
        CHECK(world.call(route).status == 200);
        CHECK(world.second_requests == 1);
    }
}

// A run that breaks off is repeated or resumed elsewhere only where the zone is not evacuated.
TEST_CASE("repeats and resumed streams obey an evacuation that began during the run") {
    for (std::string const route : {"resumable", "idempotent"}) {
        for (bool const empty : {false, true}) {
            CAPTURE(route);
            CAPTURE(empty);
            zoned_world world{whole};
            world.first_handler = [&](raw_connection& peer) {
                world.add_second();
                evacuate(world.owner, empty ? std::set<std::string>{"y"} : std::set<std::string>{});
                peer.write(encode({body_framing::chunks, event_1, false, response_close::none}));
                run_briefly(world.owner.loop);
                peer.reset();
            };
            auto const outcome = world.call(route);
            CHECK(world.second_requests == (empty ? 0 : 1));
            CHECK((outcome.status == 200 && outcome.complete) == !empty);
        }
    }
}

// Guards against queued calls that wait for their timeout although nothing may run them any more.
TEST_CASE("a queued call is refused when its last zone is evacuated") {
    zoned_world world{whole};
    world.owner.targets["first"].own_in_flight = 12;
    world.schedule(milliseconds{100}, [&] { evacuate(world.owner, {"z"}); });
    auto const begun = loop_now(world.owner.loop);
    CHECK(world.call("stream").status == 503);
    CHECK(loop_now(world.owner.loop) - begun < milliseconds{250});
    CHECK(zoned_world::requests_at(world.first) == 0);
}

// The same behind a call that may still wait: only the front of the queue is tried regularly.
TEST_CASE("a call is refused in the middle of the queue when its last zone is evacuated") {
    zoned_world world{whole};
    world.add_second();
    auto config = std::make_shared<service_config>(*world.owner.config);
    config->routes.front().regions = {"north"};
    REQUIRE(index_config(*config));
    world.owner.config = config;
    for (auto& [id, view] : world.owner.targets) {
        view.own_in_flight = 12;
    }
    raw_connection front{world.owner.loop};
    front.socket.connect(parse_endpoint(world.address).value());
    front.read();
    std::string const request = "POST /stream/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a0\r\n\r\n";
    net::async_write(front.socket, net::buffer(request), [](net_error, std::size_t) {});
    REQUIRE(run_until(world.owner.loop, [&] { return !world.owner.queued_calls.empty(); }));
    world.schedule(milliseconds{100}, [&] { evacuate(world.owner, {"z"}); });
    auto const begun = loop_now(world.owner.loop);
    CHECK(world.call("resumable").status == 503);
    CHECK(loop_now(world.owner.loop) - begun < milliseconds{250});
    CHECK(front.received.empty());
}

// A target that only asked for a pause can be waited for.
TEST_CASE("a request waits for a paused target where an evacuated one is left out") {
    zoned_world world{whole};
    world.add_second();
    evacuate(world.owner, {"z"});
    record_pause(world.owner.targets["second"], milliseconds{150}, loop_now(world.owner.loop));
    CHECK(world.call("stream").status == 200);
    CHECK(world.second_requests == 1);
}

TEST_CASE("an evacuated service is not back before another zone has a target") {
    zoned_world world{whole};
    evacuate(world.owner, {"z"});
    auto const now = loop_now(world.owner.loop);
    update_outage(world.owner.outages["s"], false, now);
    refresh_outages(world.owner);
    CHECK(world.owner.outages["s"].since);
    evacuate(world.owner, {});
    refresh_outages(world.owner);
    CHECK_FALSE(world.owner.outages["s"].since);
}

// Guards against a gateway that takes a default for the word of a registrar.
TEST_CASE("a gateway knows the evacuations once a registrar that is sure has told it") {
    evacuation_list const list{7, {"a"}};
    directory_publisher publisher;
    publisher.run = 1;
    auto subscriber = make_subscriber(2);
    CHECK_FALSE(knows_evacuations(subscriber, false));
    take_beat(publisher, beat_of(subscriber), at_ms(0));
    take_update(subscriber, "r:1", update_from(publisher, list, false), at_ms(0));
    CHECK_FALSE(knows_evacuations(subscriber, false));
    CHECK(subscriber.evacuations == list);
    CHECK(knows_evacuations(subscriber, true)); // none was sure for too long
    take_update(subscriber, "r:1", update_from(publisher, list, true), at_ms(1));
    CHECK(knows_evacuations(subscriber, false));

    take_beat(publisher, beat_of(subscriber), at_ms(2));
    CHECK_FALSE(update_from(publisher, list, true).evacuations); // it names the revision
    // After a restart, an update by what the earlier process knew must not count.
    auto restarted = make_subscriber(3);
    take_update(restarted, "r:1", update_from(publisher, list, true), at_ms(3));
    CHECK_FALSE(knows_evacuations(restarted, true));
    take_beat(publisher, beat_of(restarted), at_ms(4));
    take_update(restarted, "r:1", update_from(publisher, list, true), at_ms(5));
    CHECK(restarted.evacuations == list);
    CHECK(knows_evacuations(restarted, false));
}

TEST_CASE("no order at all is known as well once a registrar is sure") {
    directory_publisher publisher;
    auto subscriber = make_subscriber(1);
    take_update(subscriber, "r:1", update_from(publisher, {}, true), at_ms(0));
    CHECK(knows_evacuations(subscriber, false));
}

// Guards against a registrar that is behind, or has lost its disk, ending an evacuation.
TEST_CASE("a registrar that is behind takes no evacuation back") {
    directory_publisher ahead;
    directory_publisher behind;
    auto subscriber = make_subscriber(1);
    for (auto* const publisher : {&ahead, &behind}) {
        take_beat(*publisher, beat_of(subscriber), at_ms(0));
    }
    take_update(subscriber, "r:1", update_from(ahead, {7, {"a"}}, true), at_ms(1));
    take_update(subscriber, "r:2", update_from(behind, {3, {}}, true), at_ms(2));
    take_update(subscriber, "r:2", update_from(behind, {}, true), at_ms(3));
    CHECK(subscriber.evacuations == evacuation_list{7, {"a"}});
    // Cut off from all of them, it keeps what it knows.
    CHECK(due_beats(subscriber, true, at_ms(600'000)).empty());
    CHECK(subscriber.evacuations.zones.contains("a"));
    take_update(subscriber, "r:1", update_from(ahead, {9, {}}, true), at_ms(600'001));
    CHECK(subscriber.evacuations.zones.empty());
}

TEST_CASE("a change of the evacuations is pushed and the beat names the revision") {
    directory_publisher publisher;
    publisher.address = "r:1";
    auto subscriber = make_subscriber(1);
    configure_registrars(subscriber, {"r:1"}, at_ms(0));
    take_beat(publisher, beat_of(subscriber), at_ms(0));
    auto const update = update_from(publisher, {7, {"a"}}, true);
    CHECK(has_news(update));
    take_update(subscriber, "r:1", update, at_ms(1));
    auto const beats = due_beats(subscriber, true, at_ms(2));
    REQUIRE(beats.size() == 1);
    CHECK(beats.front().message.known_evacuations == 7);
}

// HOME: callers must not be led to another region while their own has a ready gateway.
TEST_CASE("the directory names gateways of the caller's region where any is ready") {
    std::map<std::string, std::string> const regions{{"a", "r"}, {"b", "r"}, {"c", "s"}};
    std::vector<daemon_entry> ready;
    for (std::string const zone : {"a", "b", "c"}) {
        daemon_entry entry;
        entry.zone = zone;
        entry.client_address = "gateway-" + zone;
        ready.push_back(entry);
    }
    using names = std::vector<std::string>;
    CHECK(choose_gateways(ready, "s", regions, 64) == names{"gateway-c"});
    CHECK(choose_gateways(ready, "r", regions, 64) == names{"gateway-a", "gateway-b"});
    for (std::string const region : {"", "unknown"}) {
        CHECK(choose_gateways(ready, region, regions, 64).size() == 3);
    }
    CHECK(choose_gateways(ready, "", regions, 2) == names{"gateway-a", "gateway-c"});
    CHECK(choose_gateways({}, "r", regions, 64).empty());
}

// Guards against streams that are admitted for places in an evacuated zone.
TEST_CASE("ranks in an evacuated zone have no places, and the length of passes stays the group's") {
    pass_requirements needs;
    needs.slots = 10;
    group_streams streams;
    streams.ranks = 24;
    group_admission group;
    update_limits(group, streams, needs, 4, at_ms(1'000));
    CHECK(group.limit == doctest::Approx(240));
    streams.closed_ranks = 8;
    update_limits(group, streams, needs, 4, at_ms(1'100));
    CHECK(group.limit == doctest::Approx(160));
    streams.closed_ranks = 24;
    update_limits(group, streams, needs, 4, at_ms(1'200));
    CHECK(group.limit == 0);
    CHECK(is_busy(group)); // it is no reason to let other groups' calls wait
    streams.closed_ranks = 0;
    update_limits(group, streams, needs, 4, at_ms(1'300));
    CHECK(group.limit == doctest::Approx(240));
    CHECK(group.gain > 0);
}

} // namespace fireflycrank
