// Tests a listener whose memory is short over loopback sockets. Guards against a refusal of a
// request that runs after all, a refusal that lacks what callers need, bodies that are stored
// though they are refused, and an account that keeps what has been freed.
#include "rawsocket.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include <sys/resource.h>
#include <unistd.h>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t body_bytes = 1'000'000;

struct test_process {
    event_loop loop;
    std::string address{address_of(free_port())};
    std::vector<std::shared_ptr<response_writer>> writers;
    std::vector<std::size_t> bodies;
    std::shared_ptr<http_listener> listener;

    explicit test_process(memory_limits limits) {
        pause(loop.clock, time_point{seconds{100}});
        loop.admission->budget.limits = limits;
        auto opened = http_listener::open(
            loop.context, address, loop.clock,
            [this](incoming_request const& request, std::shared_ptr<response_writer> const& out) {
                bodies.push_back(request.body.size());
                writers.push_back(out);
            },
            loop.admission);
        REQUIRE(opened);
        listener = opened.value();
    }

    std::unique_ptr<raw_connection> connect() {
        auto peer = std::make_unique<raw_connection>(loop);
        peer->socket.connect(parse_endpoint(address).value());
        peer->read();
        return peer;
    }

    std::size_t held() const { return loop.admission->budget.held; }
};

std::string post(std::string const& id, std::size_t length) {
    return "POST /a HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id +
           "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

bool answered(raw_connection const& peer, char const* status) {
    return peer.received.starts_with(std::string{"HTTP/1.1 "} + status);
}

} // namespace

TEST_CASE("a body without room is refused at its announcement and never runs") {
    test_process process{{4 * body_bytes, 0}}; // three quarters: one such body, counted twice
    auto const first = process.connect();
    first->write(post("1", body_bytes));
    REQUIRE(run_until(process.loop, [&] { return process.held() > 2 * body_bytes; }));
    auto const before = process.held();
    auto const second = process.connect();
    second->write(post("2", body_bytes));
    REQUIRE(run_until(process.loop, [&] { return second->ended; }));
    CHECK(answered(*second, "503"));
    CHECK(second->received.find("Attempt-Id: 2\r\n") != std::string::npos);
    CHECK(second->received.find("Retry-After: ") != std::string::npos);
    CHECK(second->received.find("Connection: close\r\n") != std::string::npos);
    second->write(std::string(100'000, 'x'));
    run_briefly(process.loop);
    CHECK(process.held() < before + 100'000);
    first->write(std::string(body_bytes, 'x'));
    REQUIRE(run_until(process.loop, [&] { return !process.bodies.empty(); }));
    CHECK(process.bodies == std::vector<std::size_t>{body_bytes});
}

TEST_CASE("a body that stands still is ended with 408 for another one") {
    test_process process{{4 * body_bytes, 0}};
    auto const still = process.connect();
    still->write(post("1", body_bytes) + std::string(body_bytes - 20, 'x'));
    REQUIRE(run_until(process.loop, [&] { return process.held() > 2 * body_bytes; }));
    run_briefly(process.loop);
    advance_clock(process.loop.clock, seconds{2});
    auto const other = process.connect();
    other->write(post("2", body_bytes) + std::string(body_bytes, 'x'));
    REQUIRE(run_until(process.loop, [&] { return still->ended && !process.bodies.empty(); }));
    CHECK(answered(*still, "408"));
    CHECK(still->received.find("Retry-After: ") != std::string::npos);
    still->write(std::string(20, 'x'));
    run_briefly(process.loop);
    CHECK(process.bodies.size() == 1);
}

TEST_CASE("a small request is served while large bodies fill the rest") {
    test_process process{{4 * body_bytes, 0}};
    auto const large = process.connect();
    large->write(post("1", 1'450'000));
    REQUIRE(run_until(process.loop, [&] { return process.held() > 2'900'000; }));
    auto const small = process.connect();
    small->write(post("2", 1'000) + std::string(1'000, 'x'));
    CHECK(run_until(process.loop, [&] { return process.bodies.size() == 1; }));
}

TEST_CASE("a request at its handler is not ended for others, and its room is free afterwards") {
    test_process process{{4 * body_bytes, 0}};
    auto const first = process.connect();
    first->write(post("1", body_bytes) + std::string(body_bytes, 'x'));
    REQUIRE(run_until(process.loop, [&] { return process.writers.size() == 1; }));
    advance_clock(process.loop.clock, seconds{20});
    auto const second = process.connect();
    second->write(post("2", body_bytes));
    REQUIRE(run_until(process.loop, [&] { return second->ended; }));
    CHECK(answered(*second, "503"));
    process.writers[0]->send(200, {}, "done");
    CHECK(run_until(process.loop, [&] { return answered(*first, "200"); }));
    CHECK(process.held() < 20'000);
    first->socket.close();
    second->socket.close();
    CHECK(run_until(process.loop, [&] { return process.loop.admission->connections() == 0; }));
    CHECK(process.held() == 0);
}

TEST_CASE("a chunked body takes room as it grows and is refused when there is none") {
    test_process process{{body_bytes, 0}};
    auto const caller = process.connect();
    caller->write("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::string const chunk = "2710\r\n" + std::string(10'000, 'x') + "\r\n";
    for (int sent = 0; sent < 60 && !caller->ended; ++sent) {
        caller->write(chunk);
        run_until(process.loop, [&] { return process.loop.context.poll() == 0; });
    }
    REQUIRE(run_until(process.loop, [&] { return caller->ended; }));
    CHECK(answered(*caller, "503"));
    CHECK(process.bodies.empty());
}

TEST_CASE("an answer that is not read is closed for others") {
    test_process process{{8 * body_bytes, 0}};
    auto const reader = std::make_unique<raw_connection>(process.loop);
    reader->socket.connect(parse_endpoint(process.address).value());
    reader->write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(run_until(process.loop, [&] { return process.writers.size() == 1; }));
    process.writers[0]->send(200, {}, std::string(20 * body_bytes, 'x'));
    run_briefly(process.loop);
    advance_clock(process.loop.clock, seconds{2});
    auto const other = process.connect();
    other->write(post("2", body_bytes) + std::string(body_bytes, 'x'));
    CHECK(run_until(process.loop, [&] { return process.bodies.size() == 2; }));
    CHECK(process.loop.admission->refusals().at("response_not_read") == 1);
}

TEST_CASE("with all connections in use a silent one yields to a new one") {
    test_process process{{0, 2}};
    auto const silent = process.connect();
    auto const busy = process.connect();
    busy->write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(run_until(process.loop, [&] { return process.writers.size() == 1; }));
    advance_clock(process.loop.clock, seconds{1});
    auto const fresh = process.connect();
    fresh->write("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(run_until(process.loop, [&] { return process.writers.size() == 2; }));
    CHECK(silent->ended);
    CHECK_FALSE(busy->ended);
}

// Without a pause the loop did nothing else than to accept again.
TEST_CASE("a listener without free descriptors does not retry all the time") {
    test_process process{{0, 0}};
    raw_connection caller{process.loop};
    caller.socket.open(tcp::v4());
    auto const lowest_free = ::dup(STDIN_FILENO);
    ::close(lowest_free);
    rlimit before{};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &before) == 0);
    rlimit const none_free{static_cast<rlim_t>(lowest_free), before.rlim_max};
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &none_free) == 0);
    caller.socket.connect(parse_endpoint(process.address).value());
    process.loop.context.restart();
    auto const handlers = process.loop.context.run_for(milliseconds{200});
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &before) == 0);
    CHECK(handlers > 0);
    CHECK(handlers < 50);
    caller.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(run_until(process.loop, [&] { return process.writers.size() == 1; }));
}

} // namespace fireflycrank
