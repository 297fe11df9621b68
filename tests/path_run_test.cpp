// Tests of an agent's runs at an engine whose response ends early.
#include "enginerun.h"
#include "netio.h"

#include <doctest/doctest.h>

#include <array>
#include <future>
#include <thread>

namespace fireflycrank {

namespace {

// An engine that answers one run with given bytes and ends the connection in an orderly way. It
// answers a probe after it, or listens no more.
class scripted_engine {
public:
    scripted_engine(std::string response, bool keeps_running)
        : acceptor_{context_, tcp::endpoint{net::ip::address_v4::loopback(), 0}}
        , address_{"127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())}
        , thread_{[this, response = std::move(response), keeps_running] {
            serve(response, keeps_running);
        }} {}
    scripted_engine(scripted_engine const&) = delete;
    scripted_engine& operator=(scripted_engine const&) = delete;
    ~scripted_engine() {
        net_error ignored;
        tcp::socket last{context_}; // wakes a thread that still waits for a probe
        last.connect(parse_endpoint(address_).value(), ignored);
        last.close();
        thread_.join();
    }

    [[nodiscard]] std::string const& address() const { return address_; }

private:
    static void read_head(tcp::socket& socket) {
        std::string received;
        std::array<char, 1024> piece{};
        net_error failed;
        while (!failed && received.find("\r\n\r\n") == std::string::npos) {
            received.append(piece.data(), socket.read_some(net::buffer(piece), failed));
        }
    }

    void serve(std::string const& response, bool keeps_running) {
        auto run = acceptor_.accept();
        read_head(run);
        if (!keeps_running) {
            acceptor_.close();
        }
        net::write(run, net::buffer(response));
        run.close();
        if (keeps_running) {
            auto probe = acceptor_.accept();
            read_head(probe);
            net_error ignored;
            std::string const healthy = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            net::write(probe, net::buffer(healthy), ignored);
        }
    }

    net::io_context context_;
    tcp::acceptor acceptor_;
    std::string address_;
    std::thread thread_;
};

engine_run_end end_of_run(scripted_engine const& engine, std::string const& request_body) {
    std::promise<engine_run_end> ended;
    engine_request request;
    request.address = engine.address();
    request.method = "POST";
    request.path = "/run";
    request.body = request_body;
    request.timeout = std::chrono::seconds{10};
    auto const call = start_engine_run(
        request, {[](std::uint32_t, std::string const&) {}, [](std::string const&) {},
                  [&](engine_run_end end, std::string const&) { ended.set_value(end); }});
    return ended.get_future().get();
}

engine_run_end end_of_run(std::string const& head, std::string const& body, bool keeps_running) {
    return end_of_run({"HTTP/1.1 200 OK\r\n" + head + "\r\n" + body, keeps_running}, {});
}

} // namespace

// Regression (ORDER): an agent took the end of its engine's connection for the end of a response
// with neither a length nor chunks, also when the engine had crashed.
TEST_CASE("a run whose engine ends inside its response is not complete") {
    std::string const events = "Connection: close\r\nContent-Type: text/event-stream\r\n";
    std::string const plain = "Connection: close\r\nContent-Type: text/plain\r\n";
    CHECK(end_of_run(events, "data: a\n\n", true) == engine_run_end::complete);
    CHECK(end_of_run(events, "data: a\n\n", false) == engine_run_end::connection_lost);
    CHECK(end_of_run(events, "data: a\n\nda", true) == engine_run_end::connection_lost);
    CHECK(end_of_run(events, "", true) == engine_run_end::connection_lost);
    CHECK(end_of_run(plain, "text", true) == engine_run_end::complete);
    CHECK(end_of_run(plain, "te", false) == engine_run_end::connection_lost);
    CHECK(end_of_run(plain + "Content-Length: 4\r\n", "text", false) == engine_run_end::complete);
    CHECK(end_of_run(plain + "Content-Length: 4\r\n", "te", false) ==
          engine_run_end::connection_lost);
}

// Guards against an order that runs twice: an engine may begin to run a request before it has read
// the whole body, so only one that no connection was made for is withdrawn.
TEST_CASE("a run whose connection fails while its request is being sent may have run") {
    std::string const long_body(16U << 20U, 'x');
    CHECK(end_of_run({"", false}, long_body) == engine_run_end::connection_lost);
    scripted_engine const gone{"", false};
    CHECK(end_of_run(gone, "") == engine_run_end::connection_lost);
    CHECK(end_of_run(gone, "") == engine_run_end::not_connected);
}

} // namespace fireflycrank
