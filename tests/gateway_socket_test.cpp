// The forwarding path's sockets over loopback: what a library's server or client may hide, and what
// the decision about a repeat rests on.
#include "eventloop.h"
#include "httplistener.h"
#include "peerlink.h"
#include "targetpool.h"

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;

// Runs the loop until a condition holds; the bound only ends a test that would hang.
template <class condition>
bool run_until(event_loop& loop, condition&& holds) {
    constexpr int rounds = 5'000;
    for (int round = 0; round < rounds && !holds(); ++round) {
        loop.context.restart();
        loop.context.run_for(milliseconds{2});
    }
    return holds();
}

// Lets everything that is on its way arrive.
void settle(event_loop& loop) {
    loop.context.restart();
    loop.context.run_for(milliseconds{100});
}

std::uint16_t free_port() {
    net::io_context context;
    tcp::acceptor acceptor{context, tcp::endpoint{net::ip::address_v4::loopback(), 0}};
    return acceptor.local_endpoint().port();
}

std::string address_of(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

// A caller or a target as plain sockets, so that the test decides about every byte.
struct raw_peer {
    explicit raw_peer(event_loop& loop) : socket{loop.context} {}
    tcp::socket socket;
    std::string received;
    bool ended{false};
    net_error failure;
    std::array<char, 4096> chunk{};

    void read() {
        socket.async_read_some(net::buffer(chunk), [this](net_error failed, std::size_t size) {
            received.append(chunk.data(), size);
            ended = static_cast<bool>(failed);
            failure = failed;
            if (!failed) {
                read();
            }
        });
    }

    void write(std::string const& bytes) { net::write(socket, net::buffer(bytes)); }

    void reset() {
        socket.set_option(net::socket_base::linger{true, 0});
        socket.close();
    }
};

struct raw_target {
    explicit raw_target(event_loop& loop)
        : acceptor{loop.context, tcp::endpoint{net::ip::address_v4::loopback(), 0}} {
        address = address_of(acceptor.local_endpoint().port());
        accept(loop);
    }
    tcp::acceptor acceptor;
    std::string address;
    std::vector<std::unique_ptr<raw_peer>> peers;

    void accept(event_loop& loop) {
        auto peer = std::make_unique<raw_peer>(loop);
        auto& socket = peer->socket;
        acceptor.async_accept(socket, [this, &loop, kept = peer.release()](net_error failed) {
            peers.emplace_back(kept);
            if (!failed) {
                kept->read();
                accept(loop);
            }
        });
    }
};

struct call_record {
    std::vector<unsigned> heads;
    std::string body;
    std::optional<exchange_result> end;
};

exchange_callbacks recording(call_record& record, unsigned skip_status = 0) {
    return {[&record, skip_status](message_head const& head) {
                record.heads.push_back(head.status);
                return head.status != skip_status;
            },
            [&record](std::string const& bytes) {
                record.body += bytes;
                return true;
            },
            [&record](exchange_result how) { record.end = how; }};
}

target_request request_to(std::string const& address, std::string const& bytes) {
    return {address, bytes, false, milliseconds{2'000}, milliseconds{10'000}};
}

constexpr char const* plain_request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

struct served {
    std::shared_ptr<http_listener> listener;
    std::string address;
    std::vector<std::shared_ptr<response_writer>> writers;
    std::vector<incoming_request> requests;
};

std::unique_ptr<served> serve(event_loop& loop) {
    auto made = std::make_unique<served>();
    made->address = address_of(free_port());
    auto opened =
        http_listener::open(loop.context, made->address, loop.clock,
                            [raw = made.get()](incoming_request request,
                                               std::shared_ptr<response_writer> const& writer) {
                                raw->requests.push_back(std::move(request));
                                raw->writers.push_back(writer);
                            });
    REQUIRE(opened);
    made->listener = opened.value();
    return made;
}

std::unique_ptr<raw_peer> connect(event_loop& loop, std::string const& address) {
    auto peer = std::make_unique<raw_peer>(loop);
    peer->socket.connect(parse_endpoint(address).value());
    peer->read();
    return peer;
}

} // namespace

// cpprestsdk notices this only at a later write; a runner would work on for nobody.
TEST_CASE("a caller that leaves while its request is pending is noticed") {
    event_loop loop;
    auto const server = serve(loop);
    auto const caller = connect(loop, server->address);
    caller->write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi");
    REQUIRE(run_until(loop, [&] { return !server->writers.empty(); }));
    CHECK(server->requests[0].body == "hi");
    bool gone = false;
    server->writers[0]->on_disconnect([&] { gone = true; });
    caller->socket.close();
    CHECK(run_until(loop, [&] { return gone; }));
}

TEST_CASE("a broken answer does not look complete, a finished one does") {
    event_loop loop;
    auto const server = serve(loop);
    for (bool const finish : {false, true}) {
        auto const caller = connect(loop, server->address);
        server->writers.clear();
        caller->write(plain_request);
        REQUIRE(run_until(loop, [&] { return !server->writers.empty(); }));
        auto const writer = server->writers[0];
        writer->start(200, {}, {});
        writer->write("part");
        REQUIRE(
            run_until(loop, [&] { return caller->received.find("part") != std::string::npos; }));
        if (finish) {
            writer->finish();
        } else {
            writer->abort();
        }
        REQUIRE(run_until(loop, [&] {
            return caller->ended || caller->received.find("0\r\n\r\n") != std::string::npos;
        }));
        CHECK((caller->received.find("0\r\n\r\n") != std::string::npos) == finish);
        CHECK(caller->ended == !finish);
    }
}

TEST_CASE("a kept connection serves one request after the other, also pipelined ones") {
    event_loop loop;
    auto const server = serve(loop);
    auto const caller = connect(loop, server->address);
    caller->write(std::string{plain_request} + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(run_until(loop, [&] { return server->writers.size() == 1; }));
    server->writers[0]->on_disconnect([] {});
    server->writers[0]->send(200, {}, "one");
    REQUIRE(run_until(loop, [&] { return server->writers.size() == 2; }));
    CHECK(server->requests[1].head.target == "/b");
    server->writers[1]->send(200, {}, "two");
    CHECK(run_until(loop, [&] { return caller->received.find("two") != std::string::npos; }));
    // A late write to the first answer changes nothing.
    server->writers[0]->send(200, {}, "three");
    settle(loop);
    CHECK(caller->received.find("three") == std::string::npos);
}

TEST_CASE("slow heads, idle connections and faulty requests") {
    event_loop loop;
    auto const server = serve(loop);
    server->listener->set_limits({1'000, 10, milliseconds{3'000}, milliseconds{15'000}});
    auto const slow = connect(loop, server->address);
    auto const idle = connect(loop, server->address);
    auto const large = connect(loop, server->address);
    auto const faulty = connect(loop, server->address);
    slow->write("GET / HT");
    large->write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
    faulty->write("nonsense\r\n\r\n");
    REQUIRE(run_until(loop, [&] { return !faulty->received.empty() && !large->received.empty(); }));
    CHECK(large->received.find(" 413 ") != std::string::npos);
    CHECK(faulty->received.find(" 400 ") != std::string::npos);
    REQUIRE(run_until(loop, [&] { return server->listener->active_connections() == 1; }));
    pause(loop.clock, now(loop.clock));
    advance_clock(loop.clock, milliseconds{4'000});
    server->listener->enforce_timeouts();
    CHECK(run_until(loop, [&] { return slow->received.find(" 408 ") != std::string::npos; }));
    CHECK_FALSE(idle->ended);
    advance_clock(loop.clock, milliseconds{12'000});
    server->listener->enforce_timeouts();
    CHECK(run_until(loop, [&] { return idle->ended; }));
}

// The faults of targets that the protocol names.
TEST_CASE("a late answer to another request is skipped and ends the connection's use") {
    event_loop loop;
    raw_target target{loop};
    target_pool pool{loop.context, loop.clock};
    call_record record;
    auto const call = pool.start(request_to(target.address, plain_request), recording(record, 404));
    REQUIRE(run_until(
        loop, [&] { return target.peers.size() == 1 && !target.peers[0]->received.empty(); }));
    target.peers[0]->write("HTTP/1.1 404 X\r\nContent-Length: 3\r\n\r\nold"
                           "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
    REQUIRE(run_until(loop, [&] { return record.end.has_value(); }));
    CHECK(record.end == exchange_result::complete);
    CHECK(record.body == "new");
    CHECK(pool.counters().unmatched_responses == 1);
    call_record second;
    auto const again = pool.start(request_to(target.address, plain_request), recording(second));
    CHECK(run_until(loop, [&] { return target.peers.size() == 2; }));
    CHECK(pool.counters().reused == 0);
}

// Found on kumamoto-shakyo, mix, seed 1042190583391: a request to a silent target was given up when
// its caller left, and reached the target two seconds later.
TEST_CASE("a call that is given up is reset, so that nothing of it is delivered later") {
    event_loop loop;
    raw_target target{loop};
    target_pool pool{loop.context, loop.clock};
    call_record record;
    auto const call = pool.start(request_to(target.address, plain_request), recording(record));
    REQUIRE(run_until(
        loop, [&] { return target.peers.size() == 1 && !target.peers[0]->received.empty(); }));
    call->cancel();
    REQUIRE(run_until(loop, [&] { return target.peers[0]->ended; }));
    CHECK(target.peers[0]->failure == net::error::connection_reset);
    CHECK_FALSE(record.end);
}

TEST_CASE("how an exchange ended") {
    event_loop loop;
    raw_target target{loop};
    target_pool pool{loop.context, loop.clock};
    auto const answered = [&](std::string const& bytes, bool reset) {
        call_record record;
        auto const before = target.peers.size();
        auto const call = pool.start(request_to(target.address, plain_request), recording(record));
        REQUIRE(run_until(loop, [&] {
            return target.peers.size() > before && !target.peers[before]->received.empty();
        }));
        auto& peer = *target.peers[before];
        if (!bytes.empty()) {
            peer.write(bytes);
            settle(loop);
        }
        if (reset) {
            peer.reset();
        } else {
            peer.socket.close();
        }
        REQUIRE(run_until(loop, [&] { return record.end.has_value(); }));
        return *record.end;
    };
    CHECK(answered("", false) == exchange_result::no_response);
    CHECK(answered("", true) == exchange_result::no_response);
    CHECK(answered("HTTP/1.1 200 OK\r\n\r\nwhole", false) == exchange_result::complete);
    CHECK(answered("HTTP/1.1 200 OK\r\n\r\npart", true) == exchange_result::response_failed);
    CHECK(answered("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", false) ==
          exchange_result::response_failed);
    CHECK(answered("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false) ==
          exchange_result::response_failed);
    call_record unreachable;
    auto const call =
        pool.start(request_to(address_of(free_port()), plain_request), recording(unreachable));
    REQUIRE(run_until(loop, [&] { return unreachable.end.has_value(); }));
    CHECK(unreachable.end == exchange_result::not_connected);
}

// A target may answer before it has read a long body and read on later: other bytes must not come
// where the rest of the body is due.
TEST_CASE("after an early answer the connection is not used again") {
    event_loop loop;
    raw_target target{loop};
    target_pool pool{loop.context, loop.clock};
    call_record record;
    std::string const body(8U << 20U, 'x');
    auto const call = pool.start(
        request_to(target.address, format_request("POST", "/", {{"Host", "h"}}, body, true)),
        recording(record));
    REQUIRE(run_until(loop, [&] { return target.peers.size() == 1; }));
    target.peers[0]->socket.cancel();
    target.peers[0]->write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(run_until(loop, [&] { return record.end.has_value(); }));
    CHECK(record.end == exchange_result::complete);
    call_record second;
    auto const again = pool.start(request_to(target.address, plain_request), recording(second));
    CHECK(run_until(loop, [&] { return target.peers.size() == 2; }));
}

TEST_CASE("a kept connection that the target closed or spoilt is not used again") {
    event_loop loop;
    raw_target target{loop};
    target_pool pool{loop.context, loop.clock};
    for (bool const spoil : {false, true}) {
        call_record record;
        auto const before = target.peers.size();
        auto const call = pool.start(request_to(target.address, plain_request), recording(record));
        REQUIRE(run_until(loop, [&] {
            return target.peers.size() > before && !target.peers[before]->received.empty();
        }));
        target.peers[before]->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        REQUIRE(run_until(loop, [&] { return record.end == exchange_result::complete; }));
        if (spoil) {
            target.peers[before]->write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
        } else {
            target.peers[before]->socket.close();
        }
        settle(loop);
    }
    CHECK(pool.counters().opened == 2);
    CHECK(pool.counters().reused == 0);
}

TEST_CASE("messages between processes arrive in order, large ones whole") {
    event_loop loop;
    auto const first = address_of(free_port());
    auto const second = address_of(free_port());
    std::vector<peer_message> received;
    auto const sender = peer_link::open(loop.context, first, [](peer_message const&) {});
    auto const receiver = peer_link::open(loop.context, second, [&](peer_message message) {
        received.push_back(std::move(message));
    });
    REQUIRE(sender);
    REQUIRE(receiver);
    for (int number = 0; number < 50; ++number) {
        sender.value()->send(second, "t", std::to_string(number));
    }
    std::string const large(3U << 20U, 'y');
    sender.value()->send(second, "large", large);
    REQUIRE(run_until(loop, [&] { return received.size() == 51; }));
    for (int number = 0; number < 50; ++number) {
        CHECK(received[static_cast<std::size_t>(number)].body == std::to_string(number));
    }
    CHECK(received[50].body == large);
    CHECK(received[50].sender == first);
    sender.value()->send_datagram(second, "d", "now");
    CHECK(run_until(loop, [&] { return received.size() == 52; }));
    CHECK(sender.value()->counters().dropped == 0);
}

} // namespace fireflycrank
