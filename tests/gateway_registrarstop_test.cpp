// Tests of a registrar's stop: what it has taken is answered, and the answer is written, before the
// process ends. The registrar runs in a thread and is stopped by a real signal.
#include "httpmessage.h"
#include "platform/names.h"
#include "rawsocket.h"
#include "registrar.h"
#include "registrarstop.h"
#include "vmsettings.h"

#include <doctest/doctest.h>

#include <csignal>
#include <filesystem>
#include <future>
#include <thread>
#include <unistd.h>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;

// A loopback address of this process, because the port of the metrics is fixed.
std::string own_ip(unsigned last) {
    constexpr unsigned hosts = 250;
    auto const host = static_cast<unsigned>(getpid()) % (hosts * hosts);
    return "127." + std::to_string(80 + last) + "." + std::to_string(host / hosts) + "." +
           std::to_string(host % hosts + 1);
}

// A registrar of a cluster of which only it runs, and one caller.
struct registrar_world {
    registrar_world(unsigned number, bool alone) : caller{loop} {
        settings.name = "r" + std::to_string(number);
        settings.ip = own_ip(number);
        settings.zone = "z";
        settings.listen.control = settings.ip + ":18460";
        settings.first_peer_port = 18461;
        settings.last_peer_port = 18461;
        settings.seeds = {settings.listen.control};
        if (!alone) {
            settings.seeds.push_back(own_ip(number + 1) + ":18460");
        }
        settings.first_start = true;
        settings.data_folder = (std::filesystem::temp_directory_path() /
                                ("registrarstop-" + std::to_string(getpid()) + settings.name))
                                   .string();
        std::filesystem::create_directories(settings.data_folder);
        ended = std::async(std::launch::async, [this] {
            return run_registrar([this]() -> result<vm_settings> { return settings; }, "")
                .has_value();
        });
        connect();
        REQUIRE(ask("GET", "/", "") == 404); // it handles signals before it serves
    }
    ~registrar_world() {
        if (!ends_within(milliseconds{0})) {
            stop();
        }
        std::filesystem::remove_all(settings.data_folder);
    }
    registrar_world(registrar_world const&) = delete;
    registrar_world& operator=(registrar_world const&) = delete;

    void connect() {
        auto const endpoint = parse_endpoint(settings.listen.control).value();
        bool const connected = run_until(loop, [&] {
            net_error failed;
            caller.socket.close(failed);
            caller.socket.connect(endpoint, failed);
            if (failed) {
                // The loop has no work yet, so it returns at once: without a pause all attempts
                // are over before the thread of the registrar runs on a busy machine.
                std::this_thread::sleep_for(run_until_round);
            }
            return !failed;
        });
        if (!connected) {
            stop(); // otherwise the thread of the registrar is waited for without end
        }
        REQUIRE(connected);
    }

    static void stop() { ::kill(::getpid(), SIGTERM); }

    void send(std::string const& method, std::string_view target, std::string const& body) {
        caller.write(method + " " + std::string{target} +
                     " HTTP/1.1\r\nHost: r\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body);
    }

    // Sends a request and reads its response.
    unsigned ask(std::string const& method, std::string_view target, std::string const& body) {
        send(method, target, body);
        return read_response();
    }

    // Status of the next response; 0 if the connection ends before it is whole.
    unsigned read_response() {
        message_reader reader{http_kind::response, 4'096, most_body};
        caller.received.clear();
        caller.ended = false;
        caller.read();
        std::size_t read = 0;
        run_until(loop, [&] {
            reader.put(std::string_view{caller.received}.substr(read));
            read = caller.received.size();
            return caller.ended || reader.complete();
        });
        body = reader.take_body();
        caller.socket.cancel();
        run_briefly(loop);
        return reader.complete() ? reader.head().status : 0;
    }

    // Lets the registrar work on while the caller reads nothing.
    static void wait(milliseconds time) { std::this_thread::sleep_for(time); }

    bool ends_within(milliseconds time) const {
        return ended.wait_for(time) == std::future_status::ready;
    }

    static constexpr std::size_t most_body = 64U << 20U;
    event_loop loop;
    vm_settings settings;
    std::string body;
    raw_connection caller;
    std::future<bool> ended;
};

// A configuration of so many bytes.
std::string make_configuration(std::size_t bytes) {
    return R"({"version":1,"services":[],"routes":[],"limits":{"max_header_bytes":1000,)"
           R"("idle_timeout_ms":15000},"note":")" +
           std::string(bytes, 'x') + R"("})";
}

} // namespace

// Guards against a registrar that ends 0.3 s after its signal while a departure waits 0.9 s for a
// majority: the target gets no answer, and waits for its own timeout before it asks another one.
TEST_CASE("a stopping registrar answers a departure that no majority has recorded") {
    registrar_world world{1, false};
    world.send("POST", std::string{platform::names::deregister_path} + "t1", "{}");
    world.wait(milliseconds{50});
    world.stop();
    CHECK(world.read_response() == 503);
    CHECK(world.ends_within(milliseconds{5'000}));
}

// Guards against a registrar that ends 0.3 s after its signal with a configuration half written.
TEST_CASE("a stopping registrar writes its answers to their end") {
    registrar_world world{3, true};
    auto const configuration = make_configuration(12U << 20U);
    bool installed = false;
    REQUIRE(run_until(world.loop, [&] {
        installed = installed ||
                    world.ask("POST", platform::names::config_replace_path, configuration) == 200;
        return installed;
    }));
    world.send("GET", platform::names::config_fetch_path, "");
    world.wait(milliseconds{50});
    world.stop();
    world.wait(milliseconds{600});
    CHECK(world.read_response() == 200);
    bool const whole = world.body == configuration;
    CHECK(whole);
    CHECK(world.ends_within(milliseconds{5'000}));
}

// Guards against calls that are begun though the majority cannot settle them before the end, and
// against a wait without a limit.
TEST_CASE("a registrar's stop takes calls for a short time and has a last moment") {
    constexpr milliseconds grace{8'000};
    time_point const begun{std::chrono::seconds{100}};
    auto const stop = plan_registrar_stop(begun, grace);
    CHECK_FALSE(step_registrar_stop(stop, {}, begun).may_end);
    CHECK_FALSE(step_registrar_stop(stop, {}, begun).refuse_new);
    auto const later = begun + milliseconds{300};
    CHECK(step_registrar_stop(stop, {}, later).may_end);
    CHECK(step_registrar_stop(stop, {1, 1}, later).refuse_new);
    CHECK_FALSE(step_registrar_stop(stop, {1, 1}, later).may_end);
    CHECK_FALSE(step_registrar_stop(stop, {0, 1}, later).may_end);
    // A call taken last has had its 1.5 s.
    CHECK_FALSE(step_registrar_stop(stop, {1, 1}, later + milliseconds{1'900}).refuse_waiting);
    CHECK(step_registrar_stop(stop, {1, 1}, later + milliseconds{2'000}).refuse_waiting);
    CHECK(step_registrar_stop(stop, {1, 1}, begun + grace - milliseconds{300}).may_end);
    auto const shorter = plan_registrar_stop(begun, milliseconds{1'000});
    CHECK(shorter.settle_until < begun + milliseconds{1'000});
    CHECK(shorter.end_at < begun + milliseconds{1'000});
}

// Guards against a stopping registrar that does not end: callers without traffic are not owed
// anything, and a caller that reads nothing holds it up to the limit only.
TEST_CASE("a registrar with idle connections ends soon after its signal") {
    registrar_world world{5, true};
    world.stop();
    CHECK(world.ends_within(milliseconds{2'000}));
}

} // namespace fireflycrank
