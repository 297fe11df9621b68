/// @file
/// A gateway with a caller and two targets on loopback sockets, of which a test controls every
/// byte.
#pragma once

#include "gateway.h"
#include "rawsocket.h"

#include <doctest/doctest.h>

#include <netinet/tcp.h>

#include <functional>
#include <memory>
#include <string>

namespace fireflycrank {

inline constexpr char const* event_1 = "id: 1\ndata: a\n\n";
inline constexpr char const* event_2 = "id: 2\ndata: b\n\n";
inline constexpr char const* event_3 = "id: 3\ndata: c\n\n";
inline std::string const all_events = std::string{event_1} + event_2 + event_3;
inline std::string const plain_body = "order 17 is confirmed";

enum class response_close { orderly, reset, none };

struct scripted_response {
    body_framing framing{body_framing::connection};
    std::string body;
    bool whole{true};                              ///< ends as its framing says
    response_close close{response_close::orderly}; ///< of the connection, after the response
    bool target_ends{false}; ///< the target listens no more when the connection ends
    bool silent{false};      ///< the target closes the connection without a response
    std::string status{"200 OK"};
    std::string attempt_id{"a1"}; ///< "a1" is that of the request
};

inline std::string encode(scripted_response const& script) {
    std::string out = "HTTP/1.1 " + script.status + "\r\nAttempt-Id: " + script.attempt_id +
                      "\r\nServer-Signature: s\r\n";
    auto const missing = script.whole ? 0U : 1U;
    switch (script.framing) {
    case body_framing::length:
        out += "Content-Length: " + std::to_string(script.body.size() + missing) + "\r\n\r\n";
        return out + script.body;
    case body_framing::chunks:
        out += "Transfer-Encoding: chunked\r\n\r\n";
        out += script.body.empty() ? std::string{} : format_chunk(script.body);
        return out + (script.whole ? std::string{last_chunk} : std::string{});
    default:
        return out + "\r\n" + script.body;
    }
}

struct caller_outcome {
    unsigned status{0}; ///< 0 without a response head
    bool complete{false};
    std::string body;
};

/// A gateway between a caller and two targets: the first one follows a script, the second one
/// serves every request whole, from the event on after which it is asked to resume. Its clock is
/// paused and moves with the rounds of call(), so that a busy machine lets no deadline pass.
struct gateway_world {
    explicit gateway_world(scripted_response response)
        : owner{make_settings()}
        , script{std::move(response)}
        , first{owner.loop}
        , second{owner.loop} {
        pause(owner.loop.clock, loop_now(owner.loop));
        service_config config;
        config.services.push_back({"s", "/healthz", 100, std::nullopt});
        add_route(config, "resumable", call_kind::stream, true);
        add_route(config, "stream", call_kind::stream, false);
        add_route(config, "idempotent", call_kind::idempotent, false);
        add_route(config, "once", call_kind::once, false);
        REQUIRE(index_config(config));
        owner.config = std::make_shared<service_config const>(std::move(config));
        owner.config_confirmed = true;
        // A process has no retry allowance in its first window.
        owner.retry_share.process_started -= std::chrono::minutes{1};
        add_target("first", first.address);
        auto opened = http_listener::open(
            owner.loop.context, address, owner.loop.clock,
            [this](incoming_request request, std::shared_ptr<response_writer> writer) {
                serve_call(owner, std::move(request), std::move(writer));
            });
        REQUIRE(opened);
        listener = opened.value();
    }

    static vm_settings make_settings() {
        vm_settings settings;
        settings.ip = "127.0.0.1";
        settings.zone = "z";
        return settings;
    }

    static void add_route(service_config& config, std::string const& name, call_kind kind,
                          bool resumable) {
        call_route route;
        route.name = name;
        route.host = "h";
        route.path_prefix = "/" + name + "/";
        route.kind = kind;
        route.timeout = std::chrono::seconds{8};
        route.max_attempts = 2;
        route.needs_key = false;
        route.resumable = resumable;
        route.services.push_back({"s", 1.0});
        config.routes.push_back(route);
    }

    void add_target(std::string const& id, std::string const& target_address) {
        auto& view = owner.targets[id];
        view.announcement.id = id;
        view.announcement.service = "s";
        view.announcement.address = target_address;
        view.announcement.zone = "z";
        view.announcement.slots = 12;
        view.last_heard = loop_now(owner.loop);
    }

    // Gives the first target's connections buffers as small as on a link between VMs, so that they
    // take only a part of a long body that the target does not read.
    void use_small_buffers() {
        constexpr int segment_bytes = 1448;
        constexpr int buffer_bytes = 64 << 10;
        first.acceptor.set_option(net::socket_base::receive_buffer_size{buffer_bytes});
        REQUIRE(::setsockopt(first.acceptor.native_handle(), IPPROTO_TCP, TCP_MAXSEG,
                             &segment_bytes, sizeof segment_bytes) == 0);
    }

    // Sends a request and returns what its caller gets.
    caller_outcome call(std::string const& route, std::string const& method = "POST",
                        std::string const& more_headers = {}, std::string const& body = {}) {
        caller = std::make_unique<raw_connection>(owner.loop);
        caller->socket.connect(parse_endpoint(address).value());
        caller->read();
        std::string const length =
            body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        auto const request = method + " /" + route +
                             "/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nDeadline-Ms: 4000\r\n" +
                             length + more_headers + "\r\n" + body;
        net::async_write(caller->socket, net::buffer(request), [](net_error, std::size_t) {});
        message_reader reader{http_kind::response, 4096, 0};
        if (method == "HEAD") {
            reader.expect_no_body();
        }
        std::size_t read = 0;
        REQUIRE(run_until(owner.loop, [&] {
            serve_first();
            serve_second(route);
            sweep_calls(owner);
            owner.pool.expire_connections();
            advance_clock(owner.loop.clock, round_length);
            if (event && loop_now(owner.loop) >= event_at) {
                std::exchange(event, nullptr)();
            }
            reader.put(std::string_view{caller->received}.substr(read));
            read = caller->received.size();
            return caller->ended || reader.complete();
        }));
        if (!reader.head_complete()) {
            return {};
        }
        auto const status = reader.head().status;
        return {status, reader.complete(), reader.take_body()};
    }

    // Runs a task once during call(), after a delay on the world's clock.
    void schedule(std::chrono::milliseconds delay, std::function<void()> task) {
        event_at = loop_now(owner.loop) + delay;
        event = std::move(task);
    }

    void serve_first() {
        // Peers may arrive while the loop runs below; they are served in the next round.
        auto const count = first.peers.size();
        for (std::size_t index = 0; index < count; ++index) {
            auto* const peer = first.peers[index].get();
            if (!first_answers || peer->received.find("\r\n\r\n") == std::string::npos) {
                continue;
            }
            bool const is_health_check = peer->received.starts_with("GET /healthz ");
            peer->received.clear();
            if (is_health_check) {
                peer->write(health_response);
                continue;
            }
            if (first_handler) {
                add_target("second", second.address);
                first_handler(*peer);
                continue;
            }
            peer->reads = first_reads_body;
            add_target("second", second.address);
            if (!script.silent) {
                peer->write(encode(script));
            }
            if (script.close == response_close::reset) {
                run_briefly(owner.loop); // a reset discards what the gateway has not read
            }
            if (script.target_ends) {
                first.acceptor.close();
            }
            if (script.close == response_close::orderly) {
                peer->socket.shutdown(tcp::socket::shutdown_send);
            } else if (script.close == response_close::reset) {
                peer->reset();
            }
        }
    }

    // Whether the bytes are a request with the whole body that its head announces.
    static bool is_whole_request(std::string const& bytes) {
        constexpr std::string_view head_end = "\r\n\r\n";
        constexpr std::string_view length_field = "Content-Length: ";
        auto const end = bytes.find(head_end);
        if (end == std::string::npos) {
            return false;
        }
        auto const length = bytes.rfind(length_field, end);
        auto const body_bytes = length == std::string::npos
                                    ? 0
                                    : std::stoul(bytes.substr(length + length_field.size()));
        return bytes.size() == end + head_end.size() + body_bytes;
    }

    void serve_second(std::string const& route) {
        for (auto& peer : second.peers) {
            if (!is_whole_request(peer->received)) {
                continue;
            }
            auto const request = std::exchange(peer->received, {});
            ++second_requests;
            scripted_response response{body_framing::chunks, plain_body};
            if (route == "stream" || route == "resumable") {
                auto const resumed = [&](int id) {
                    return request.find("Last-Event-Id: " + std::to_string(id)) !=
                           std::string::npos;
                };
                response.body = resumed(3)   ? ""
                                : resumed(2) ? event_3
                                : resumed(1) ? std::string{event_2} + event_3
                                             : all_events;
            }
            peer->write(encode(response));
        }
    }

    gateway owner;
    scripted_response script;
    raw_target first;
    raw_target second;
    std::unique_ptr<raw_connection> caller;
    std::string address{address_of(free_port())};
    std::shared_ptr<http_listener> listener;
    int second_requests{0};
    /// What a round of call() adds to the clock; 0 if the test moves it.
    std::chrono::milliseconds round_length{run_until_round};
    time_point event_at{};
    std::function<void()> event; ///< due at event_at; may be empty
    bool first_answers{true};    ///< false: it reads requests and says nothing
    /// To health checks of the first target. After a crash another incarnation may give it.
    std::string health_response{
        "HTTP/1.1 200 OK\r\nInstance-Id: first\r\nContent-Length: 0\r\n\r\n"};
    /// Answers requests at the first target in place of the script; may be empty.
    std::function<void(raw_connection& peer)> first_handler;
    bool first_reads_body{true}; ///< false: it reads each connection to the end of a head
};

inline void set_max_attempts(gateway_world& world, unsigned count) {
    auto config = std::make_shared<service_config>(*world.owner.config);
    for (auto& route : config->routes) {
        route.max_attempts = count;
    }
    REQUIRE(index_config(*config));
    world.owner.config = config;
}

} // namespace fireflycrank
