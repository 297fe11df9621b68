// entry_core with many requests in flight.
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
    config configuration;
    configuration.teams["clerks"].name = "clerks";
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
        configuration.routes[route.name] = route;
    }
    apply_config(core, configuration, 1);
    for (int number = 1; number <= 16; ++number) {
        target_info info;
        info.name = "target-" + std::to_string(number);
        info.incarnation = 7;
        info.address = info.name;
        info.serves = {"draft", "print"};
        on_target_update(core, info, false, start);
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

// Reports every attempt as running, as agents do.
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

TEST_CASE("a tick examines only the requests that are due") {
    // Guards against a tick that iterates over all requests in flight.
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
        // Each attempt is queried every 500 ms: at most twice in 50 ticks of 20 ms.
        CHECK(requests_visited <= static_cast<std::uint64_t>(count) * 2);
    }
}

TEST_CASE("a claim reply examines only its own order") {
    // Guards against a reply that iterates over all requests in flight.
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

TEST_CASE("an attempt without output is kept while its agent reports that it runs") {
    // Guards against a paused stream, or a long answer that is not streamed, that counts as lost
    // after 3.5 s without bytes.
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

TEST_CASE("a tick handles every request that needs it") {
    // Guards against a deadline, resend or retry that the index of due requests misses: ticking all
    // requests after a tick must produce no action.
    for (std::uint64_t const seed : {1U, 2U, 3U}) {
        entry_core core = make_entry();
        rng source{seed};
        time_point now = start;
        wall_time wall = wall_start;
        int ticks_with_missed_actions = 0;
        for (int tick = 0; tick < 3'500; ++tick, now += 20ms, wall += 20ms) {
            entry_actions actions = on_entry_tick(core, now, wall);
            entry_core copy = core;
            event_context second_tick{&copy, now, wall, {}};
            for (auto const& [id, unused] : core.requests) {
                auto& request = copy.requests.at(id);
                if (request.order) {
                    advance_order(second_tick, request, flow_tick{});
                } else {
                    tick_request(second_tick, request);
                }
            }
            ticks_with_missed_actions += second_tick.actions.empty() ? 0 : 1;
            if (tick < 600 && tick % 30 == 0) {
                auto const more = post(core, tick % 60 == 0 ? "draft" : "print",
                                       "body " + std::to_string(tick), now, wall);
                actions.insert(actions.end(), more.begin(), more.end());
            }
            // Three of ten actions are dropped, as if the message to the agent or its reply were
            // lost.
            std::erase_if(actions, [&source](auto const&) { return next_below(source, 10) < 3; });
            acknowledge(core, actions, now, wall);
        }
        CHECK(ticks_with_missed_actions == 0);
    }
}
