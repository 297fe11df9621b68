// Tests of requests whose connection fails while they are being sent. A target may run a request
// from the moment at which its head has arrived, so one of which a part was sent may have run.
#include "gatewayworld.h"
#include "responseend.h"

#include <doctest/doctest.h>

namespace fireflycrank {

namespace {

// More than the buffers of a connection take.
std::string const long_body(16U << 20U, 'x');
std::string const short_body(600, 'x');

scripted_response reset_without_response(bool target_ends = false) {
    return {body_framing::none, "", false, response_close::reset, target_ends, true};
}

void serve_one_call(gateway_world& world, std::string const& route) {
    world.script = {body_framing::length, plain_body, true, response_close::none};
    if (route == "stream" || route == "resumable") {
        world.script.body = all_events;
    }
    REQUIRE(world.call(route).status == 200);
    world.owner.targets.erase("second");
}

} // namespace

// Regression (TWICE, REFUSED): an order whose connection failed while its long body was being sent
// counted as not run. It ran at a second target, or its caller was told that it had not run.
TEST_CASE("a request of which a part was sent may have run") {
    for (std::string const route : {"resumable", "stream", "idempotent", "once"}) {
        for (auto const* const body : {&long_body, &short_body}) {
            for (bool const kept_connection : {false, true}) {
                for (unsigned const max_attempts : {1U, 2U}) {
                    CAPTURE(route);
                    CAPTURE(body->size());
                    CAPTURE(kept_connection);
                    CAPTURE(max_attempts);
                    gateway_world world{reset_without_response()};
                    set_max_attempts(world, max_attempts);
                    world.use_small_buffers();
                    world.listener->set_limits({1'024, long_body.size()});
                    if (kept_connection) {
                        serve_one_call(world, route);
                        world.script = reset_without_response();
                    }
                    world.first_reads_body = false;
                    auto const outcome = world.call(route, "POST", {}, *body);
                    bool const may_run_again = route == "resumable" || route == "idempotent";
                    if (may_run_again && max_attempts == 2) {
                        CHECK(outcome.status == 200);
                        CHECK(outcome.complete);
                    } else {
                        CHECK(outcome.status == 502);
                        CHECK(world.second_requests == 0);
                    }
                    CHECK(world.owner.pool.counters().reused == (kept_connection ? 1 : 0));
                }
            }
        }
    }
}

// Regression (MIXED): the write that was still in progress took the connection's reset, after which
// the read saw an orderly end, and a response without framing looked complete.
TEST_CASE("a response that is reset while its request is being sent is not taken for whole") {
    for (std::string const route : {"stream", "once"}) {
        CAPTURE(route);
        auto const part = route == "stream" ? std::string{event_1} : plain_body.substr(0, 7);
        gateway_world world{{body_framing::connection, part, false, response_close::reset}};
        world.use_small_buffers();
        world.listener->set_limits({1'024, long_body.size()});
        world.first_reads_body = false;
        auto const outcome = world.call(route, "POST", {}, long_body);
        bool const shows_failure = outcome.status == 502 || !outcome.complete;
        CHECK(shows_failure);
    }
}

// Regression (BUDGET): a request that crashed its targets while its long body was being sent was
// never recognized, and reached one target after the other.
TEST_CASE("a target that ends while a request is being sent counts as crashed under it") {
    for (std::string const route : {"idempotent", "once"}) {
        for (auto const* const body : {&long_body, &short_body}) {
            for (bool const target_ends : {false, true}) {
                CAPTURE(route);
                CAPTURE(body->size());
                CAPTURE(target_ends);
                gateway_world world{reset_without_response(target_ends)};
                set_max_attempts(world, 1);
                world.use_small_buffers();
                world.listener->set_limits({1'024, long_body.size()});
                world.first_reads_body = false;
                CHECK(world.call(route, "POST", {}, *body).status == 502);
                REQUIRE(run_until(world.owner.loop,
                                  [&] { return world.owner.targets_being_checked.empty(); }));
                CHECK(world.owner.crashes.local_table.entries.size() == (target_ends ? 1 : 0));
            }
        }
    }
}

} // namespace fireflycrank
