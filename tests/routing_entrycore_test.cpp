// The entry's decisions with many requests in flight, without processes.
#include "entryinternal.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace fireflycrank;
using namespace std::chrono_literals;

namespace {

time_point const start{100s};
wall_time const wall_start{std::chrono::milliseconds{1'000'000}};

entry_core make_entry() {
    entry_core core;
    core.name = "entry-1";
    core.incarnation = 1;
    core.serving = true;
    core.orders_possible = true;
    config intent;
    intent.teams["clerks"].name = "clerks";
    for (bool const is_order : {false, true}) {
        route_config route;
        route.name = is_order ? "print" : "draft";
        route.kind = is_order ? route_kind::service : route_kind::model;
        route.serves = route.name;
        route.idempotent = !is_order;
        route.order_key.window = 1min;
        route.deadline = 60s;
        route.max_body_bytes = 1U << 20U;
        route.max_attempts = 3;
        route.default_team = "clerks";
        route.long_work_tokens = 512;
        intent.routes[route.name] = route;
    }
    apply_config(core, intent, 1);
    for (int number = 1; number <= 16; ++number) {
        target_info facts;
        facts.name = "target-" + std::to_string(number);
        facts.incarnation = 7;
        facts.address = facts.name;
        facts.serves = {"draft", "print"};
        on_target_update(core, facts, false, start);
    }
    return core;
}

entry_actions post(entry_core& core, std::string const& route, std::string body, time_point now,
                   wall_time wall) {
    http_request request;
    request.path = "/v1/routes/" + route;
    request.body = std::move(body);
    std::string id;
    return on_caller_request(core, request, now, wall, id);
}

// Acknowledges every attempt as running, as agents do.
void acknowledge(entry_core& core, entry_actions const& actions, time_point now, wall_time wall) {
    for (entry_action const& action : actions) {
        auto const* sent = std::get_if<send_to_agent>(&action);
        if (sent == nullptr) {
            continue;
        }
        auto const* query = std::get_if<attempt_query>(&sent->message);
        attempt_ref const id =
            query != nullptr ? query->id : std::get<attempt_request>(sent->message).start.id;
        on_agent_message(core, agent_status{id, attempt_state::running}, now, wall);
    }
}

} // namespace

TEST_CASE("a tick looks only at the requests that are due") {
    // Guards against a tick that walks every request in flight.
    for (int const count : {100, 1'000, 10'000}) {
        entry_core core = make_entry();
        time_point now = start;
        wall_time wall = wall_start;
        for (int number = 0; number < count; ++number) {
            acknowledge(core, post(core, "draft", "body " + std::to_string(number), now, wall), now,
                        wall);
        }
        REQUIRE(core.requests.size() == static_cast<std::size_t>(count));
        std::uint64_t requests_visited = 0;
        constexpr int ticks = 50;
        for (int tick = 0; tick < ticks; ++tick) {
            now += 20ms;
            wall += 20ms;
            std::uint64_t const before = core.requests_visited;
            entry_actions const actions = on_entry_tick(core, now, wall);
            requests_visited += core.requests_visited - before;
            acknowledge(core, actions, now, wall);
        }
        MESSAGE(count << " requests: " << double(requests_visited) / ticks
                      << " looked at per tick");
        CHECK(core.requests.size() == static_cast<std::size_t>(count));
        // Each is asked about every 500 ms: at most twice in 50 ticks of 20 ms.
        CHECK(requests_visited <= static_cast<std::uint64_t>(count) * 2);
    }
}

TEST_CASE("a claim's reply looks only at its own order") {
    // Guards against a reply that walks every request in flight.
    for (int const count : {100, 1'000, 10'000}) {
        entry_core core = make_entry();
        std::vector<std::string> commands;
        for (int number = 0; number < count; ++number) {
            for (entry_action const& action :
                 post(core, "print", "body " + std::to_string(number), start, wall_start)) {
                if (auto const* claim = std::get_if<send_claim>(&action)) {
                    commands.push_back(claim->command.id);
                }
            }
        }
        REQUIRE(commands.size() == static_cast<std::size_t>(count));
        std::uint64_t const before = core.requests_visited;
        on_claim_reply(core, commands.back(), std::nullopt, start + 1ms, wall_start + 1ms);
        MESSAGE(count << " orders: " << core.requests_visited - before << " looked at per reply");
        CHECK(core.requests_visited - before == 1);
    }
}

TEST_CASE("a silent attempt stays while its agent says that it runs") {
    // Guards against a paused stream, or a long answer that is not streamed, that is taken for lost
    // output after 3.5 s without bytes.
    entry_core core = make_entry();
    time_point now = start;
    wall_time wall = wall_start;
    acknowledge(core, post(core, "draft", "body", now, wall), now, wall);
    for (int tick = 0; tick < 1'000; ++tick) {
        now += 20ms;
        wall += 20ms;
        entry_actions const actions = on_entry_tick(core, now, wall);
        acknowledge(core, actions, now + 2ms, wall);
    }
    REQUIRE(core.requests.size() == 1);
    CHECK(core.requests.begin()->second.attempts == 1);
    CHECK(core.requests.begin()->second.attempt.has_value());
}

TEST_CASE("a walk over all requests after a tick finds nothing left to do") {
    // Guards against a deadline, resend or retry that the index of due requests misses.
    for (std::uint64_t const seed : {1U, 2U, 3U}) {
        entry_core core = make_entry();
        rng source{seed};
        time_point now = start;
        wall_time wall = wall_start;
        int missed = 0;
        for (int tick = 0; tick < 3'500; ++tick, now += 20ms, wall += 20ms) {
            entry_actions actions = on_entry_tick(core, now, wall);
            entry_core copy = core;
            event_context walk{&copy, now, wall, {}};
            for (auto const& [id, unused] : core.requests) {
                auto& request = copy.requests.at(id);
                if (request.order) {
                    advance_order(walk, request, flow_tick{});
                } else {
                    tick_request(walk, request);
                }
            }
            missed += walk.actions.empty() ? 0 : 1;
            if (tick < 600 && tick % 30 == 0) {
                auto const more = post(core, tick % 60 == 0 ? "draft" : "print",
                                       "body " + std::to_string(tick), now, wall);
                actions.insert(actions.end(), more.begin(), more.end());
            }
            // Three of ten messages to agents or their replies are lost.
            std::erase_if(actions, [&source](auto const&) { return next_below(source, 10) < 3; });
            acknowledge(core, actions, now, wall);
        }
        CHECK(missed == 0);
    }
}
