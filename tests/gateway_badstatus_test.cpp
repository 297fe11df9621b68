// Targets in trouble whose answers have a status that HTTP does not define. Guards against such an
// answer being passed on (MIXED), and against a call that waits for its deadline because the answer
// was taken for an interim one.
#include "gatewayworld.h"

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;

std::string padded(unsigned status) {
    auto const digits = std::to_string(status);
    return std::string(3 - digits.size(), '0') + digits;
}

bool is_read(std::string const& status) {
    message_reader reader{http_kind::response, 4096, 0};
    return reader.put("HTTP/1.1 " + status + " Text\r\nContent-Length: 2\r\n\r\nok") ==
           read_fault::none;
}

} // namespace

TEST_CASE("a response has a status that HTTP defines") {
    constexpr unsigned first_status = 100;
    constexpr unsigned last_status = 599;
    for (unsigned status = 0; status <= 999; ++status) {
        CAPTURE(status);
        CHECK(is_read(padded(status)) == (status >= first_status && status <= last_status));
    }
    for (std::string const status : {"1000", "20", "0x0", "-01", "+00", ""}) {
        CAPTURE(status);
        CHECK_FALSE(is_read(status));
    }
}

// The target has not answered: what may run again is served by another target, the rest fails at
// once.
TEST_CASE("an answer with no valid status is as no answer") {
    for (std::string const status : {"000", "001", "099", "600", "999"}) {
        for (auto const framing :
             {body_framing::length, body_framing::chunks, body_framing::connection}) {
            for (auto const close : {response_close::none, response_close::orderly}) {
                for (std::string const route : {"idempotent", "resumable", "stream", "once"}) {
                    CAPTURE(status);
                    CAPTURE(static_cast<int>(framing));
                    CAPTURE(static_cast<int>(close));
                    CAPTURE(route);
                    scripted_response script{framing, all_events};
                    script.close = close;
                    script.status = status + " Text";
                    gateway_world world{script};
                    auto const begun = loop_now(world.owner.loop);
                    auto const outcome = world.call(route);
                    bool const may_run_again = route == "idempotent" || route == "resumable";
                    CHECK(outcome.status == (may_run_again ? 200 : 502));
                    CHECK(world.second_requests == (may_run_again ? 1 : 0));
                    CHECK(loop_now(world.owner.loop) - begun < milliseconds{500});
                }
            }
        }
    }
}

// An extra response that ends with its connection: nothing can follow it there.
TEST_CASE("another request's response that ends with its connection is as no answer") {
    for (std::string const route : {"idempotent", "resumable", "stream", "once"}) {
        CAPTURE(route);
        scripted_response script{body_framing::connection, all_events};
        script.attempt_id = "other";
        gateway_world world{script};
        auto const begun = loop_now(world.owner.loop);
        bool const may_run_again = route == "idempotent" || route == "resumable";
        CHECK(world.call(route).status == (may_run_again ? 200 : 502));
        CHECK(loop_now(world.owner.loop) - begun < milliseconds{500});
    }
}

// The gateway asks whoever listens at the address whether it is the target; so do its other checks.
TEST_CASE("a health check with no valid status proves nothing") {
    gateway_world world{{body_framing::connection, plain_body}};
    world.health_response = "HTTP/1.1 000 OK\r\nInstance-Id: first\r\nContent-Length: 0\r\n\r\n";
    world.add_target("second", world.second.address);
    auto const outcome = world.call("idempotent");
    CHECK(outcome.status == 200);
    CHECK(world.second_requests == 1); // the first target's answer is not proved whole
}

} // namespace fireflycrank
