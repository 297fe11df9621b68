// Mailboxes over loopback, several in one process.
#include "mailbox.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <iostream>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace fireflycrank;
using namespace std::chrono_literals;

namespace {

constexpr int peers = 8;
constexpr int rounds = 20;
constexpr auto patience = 60s; // a round takes a second when the library cannot close a socket
constexpr int first_port = 20000;
constexpr int port_range = 1000;

// Ports of this process, so that test runs side by side do not meet.
std::vector<std::string> addresses() {
    std::vector<std::string> made;
    for (int index = 0; index < peers; ++index) {
        int const port = first_port + (getpid() % port_range) * peers + index;
        made.push_back("127.0.0.1:" + std::to_string(port));
    }
    return made;
}

void send_to_all(mailbox& from, std::vector<std::string> const& all) {
    for (std::string const& to : all) {
        if (to != from.address()) {
            from.send(to, "test", "body");
        }
    }
}

// All mailboxes send to each other and close at the same moment, as the daemons of one VM do.
void close_together(runtime_clock const& clock, std::vector<std::string> const& all,
                    std::chrono::milliseconds talk) {
    std::vector<std::shared_ptr<mailbox>> boxes;
    for (std::string const& address : all) {
        auto const box = mailbox::open(address, clock, [](inbound_message const&) {});
        REQUIRE(box);
        boxes.push_back(box.value());
    }
    std::atomic<bool> closing{false};
    std::vector<std::thread> threads;
    threads.reserve(boxes.size());
    for (auto const& box : boxes) {
        threads.emplace_back([&, box] {
            while (!closing) {
                send_to_all(*box, all);
                std::this_thread::sleep_for(1ms);
            }
            box->close();
        });
    }
    std::this_thread::sleep_for(talk);
    closing = true;
    for (std::thread& thread : threads) {
        thread.join();
    }
}

} // namespace

// Guards against a daemon that never ends after SIGTERM: closing an nng socket can wait for ever
// when peers connect or close at the same moment.
TEST_CASE("mailboxes that close at the same moment all close") {
    runtime_clock const clock;
    std::vector<std::string> const all = addresses();
    auto const done = std::async(std::launch::async, [&] {
        for (int round = 0; round < rounds; ++round) {
            close_together(clock, all, std::chrono::milliseconds{round % 20});
        }
    });
    bool const ended = done.wait_for(patience) == std::future_status::ready;
    CHECK(ended);
    if (!ended) {
        std::cerr << "a mailbox did not close\n";
        std::_Exit(EXIT_FAILURE); // the destructor of the future would wait as well
    }
}
