// The HTTP server and client in one process, over loopback.
#include "http.h"
#include "netio.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <functional>
#include <future>
#include <iostream>
#include <mutex>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace fireflycrank;
using namespace std::chrono_literals;

namespace {

constexpr unsigned http_threads = 4;
constexpr int callers = 32;
constexpr auto patience = 30s; // a run takes under a second

// Streams to callers, as the daemons do: handlers and the writer of the streams share one mutex.
struct streaming_daemon {
    std::mutex mutex;
    std::vector<std::shared_ptr<http_response>> streams;
    std::atomic<unsigned> waiting{0}; ///< handlers that wait for the mutex

    void on_request(std::shared_ptr<http_response> const& response) {
        ++waiting;
        std::lock_guard const lock{mutex};
        --waiting;
        response->start(200, {});
        streams.push_back(response);
    }
    std::size_t stream_count() {
        std::lock_guard const lock{mutex};
        return streams.size();
    }
};

void wait_until(std::function<bool()> const& condition) {
    while (!condition()) {
        std::this_thread::sleep_for(1ms);
    }
}

void stream_to_callers(streaming_daemon& daemon, std::string const& address) {
    std::vector<std::thread> threads;
    std::atomic<int> whole{0};
    auto const add_caller = [&] {
        threads.emplace_back([&] {
            http_client_request request;
            request.address = address;
            request.path = "/stream";
            auto const answer = call_http(request);
            whole += answer && answer.value().body == "text" ? 1 : 0;
        });
    };
    add_caller();
    wait_until([&] { return daemon.stream_count() == 1; });
    {
        std::lock_guard const lock{daemon.mutex};
        for (int caller = 1; caller < callers; ++caller) {
            add_caller();
        }
        wait_until([&] { return daemon.waiting == http_threads; });
        daemon.streams.front()->write("te");
        daemon.streams.front()->write("xt");
        daemon.streams.front()->finish();
    }
    wait_until([&] { return daemon.stream_count() == callers; });
    {
        std::lock_guard const lock{daemon.mutex};
        for (std::size_t index = 1; index < daemon.streams.size(); ++index) {
            daemon.streams[index]->write("text");
            daemon.streams[index]->finish();
        }
    }
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK(whole == callers);
}

// The library's pool can be started once in a process.
void start_threads_once() {
    static bool const started = [] {
        start_http_threads(http_threads);
        return true;
    }();
    CHECK(started);
}

// A loopback address of this process, so that test runs side by side do not meet.
std::string own_address() {
    auto const host = static_cast<unsigned>(getpid()) % 60'000;
    return "127.77." + std::to_string(host / 250) + "." + std::to_string(host % 250 + 1) + ":18437";
}

// A caller that asks and reads nothing until it is told to.
class slow_caller {
public:
    explicit slow_caller(std::string const& address) {
        socket_.connect(parse_endpoint(address).value());
        net::write(socket_, net::buffer(std::string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}));
    }

    // Reads to the end of the connection.
    std::string read_all() {
        std::string text;
        net_error ended;
        net::read(socket_, net::dynamic_buffer(text), ended);
        return text;
    }

private:
    net::io_context context_;
    tcp::socket socket_{context_};
};

} // namespace

// Guards against answers that are cut because their process ends: they were handed to the library,
// and closing the server closed the connections while callers still read (LOST).
TEST_CASE("a server that closes writes the answers that it was given") {
    start_threads_once();
    std::string const body(16U << 20U, 'x'); // more than the buffers of a connection take
    for (bool const streamed : {false, true}) {
        CAPTURE(streamed);
        std::atomic<bool> answered{false};
        auto const server = http_server::open(
            own_address(), 1024,
            [&](http_request const&, std::shared_ptr<http_response> const& response) {
                if (streamed) {
                    response->start(200, {});
                    response->write(body);
                    response->finish();
                } else {
                    response->send(200, {}, body);
                }
                answered = true;
            });
        REQUIRE(server);
        slow_caller caller{own_address()};
        wait_until([&] { return answered.load(); });
        auto const closed = std::async(std::launch::async, [&server] { server.value()->close(); });
        std::this_thread::sleep_for(100ms);
        auto const text = caller.read_all();
        CHECK(text.size() > body.size());
        CHECK(text.ends_with(streamed ? "\r\n0\r\n\r\n" : "xxx"));
    }
}

// Engines and control replicas are called through this client.
TEST_CASE("an answer whose status HTTP does not define is an error") {
    start_threads_once();
    for (std::string const status : {"000", "099", "600", "999"}) {
        CAPTURE(status);
        net::io_context context;
        tcp::acceptor acceptor{context, tcp::endpoint{net::ip::address_v4::loopback(), 0}};
        auto const served = std::async(std::launch::async, [&] {
            auto peer = acceptor.accept();
            std::array<char, 1024> request{};
            peer.read_some(net::buffer(request));
            net::write(peer,
                       net::buffer("HTTP/1.1 " + status + " Text\r\nContent-Length: 2\r\n\r\nok"));
            net_error ended;
            peer.read_some(net::buffer(request), ended);
        });
        http_client_request request;
        request.method = "GET";
        request.address = text_of(acceptor.local_endpoint());
        request.path = "/health";
        request.timeout = 2s;
        CHECK_FALSE(call_http(request));
    }
}

TEST_CASE("streams are written while all threads of the server wait for the writer's lock") {
    // Guards against a deadlock: a write that waits for a task of the pool, under a lock that every
    // thread of the pool is waiting for.
    start_threads_once();
    streaming_daemon daemon;
    std::string const address = own_address();
    auto const server = http_server::open(
        address, 1024,
        [&daemon](http_request const&, std::shared_ptr<http_response> const& response) {
            daemon.on_request(response);
        });
    REQUIRE(server);
    auto run = std::async(std::launch::async, [&] { stream_to_callers(daemon, address); });
    if (run.wait_for(patience) != std::future_status::ready) {
        // The threads can't be joined any more.
        std::cerr << "tests/http_server_test.cpp: ERROR: the server is in a deadlock\n";
        std::_Exit(EXIT_FAILURE);
    }
    run.get();
    server.value()->close();
}
