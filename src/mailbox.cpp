#include "mailbox.h"

#include "log.h"
#include "messages.pb.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <chrono>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace fireflycrank {

namespace {

constexpr int send_buffer_messages = 1024;
constexpr int receive_buffer_messages = 4096;
constexpr nng_duration reconnect_min_ms = 20;
constexpr nng_duration reconnect_max_ms = 1000;
constexpr nng_duration receive_timeout_ms =
    200; // how often the thread looks whether it should stop
constexpr std::size_t max_message_bytes = 32U << 20U;
// Peers unused for this long lose their socket, so that replaced vms do not leave sockets behind.
constexpr std::chrono::minutes idle_peer_limit{2};
// Closing takes under a millisecond, or never ends (see close_apart).
constexpr std::chrono::seconds close_limit{1};

struct peer {
    nng_socket socket{};
    time_point last_used;
};

} // namespace

struct mailbox::implementation {
    std::string address;
    runtime_clock const* clock{nullptr};
    message_handler handler;
    nng_socket inbound{};
    std::thread receiver;
    std::atomic<bool> stopping{false};
    mutable std::mutex mutex; // guards peers and counters
    std::map<std::string, peer> peers;
    mailbox_counters counters;
};

namespace {

result<nng_socket> open_inbound(std::string const& address) {
    nng_socket socket{};
    if (nng_pull0_open(&socket) != 0) {
        return fail(error_kind::unavailable, "no nng socket could be opened",
                    "raise the limit of open files");
    }
    nng_socket_set_int(socket, NNG_OPT_RECVBUF, receive_buffer_messages);
    nng_socket_set_ms(socket, NNG_OPT_RECVTIMEO, receive_timeout_ms);
    nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, max_message_bytes);
    int const code = nng_listen(socket, ("tcp://" + address).c_str(), nullptr, 0);
    if (code != 0) {
        nng_close(socket);
        return fail(error_kind::unavailable,
                    "mailbox address " + address + " cannot be bound: " + nng_strerror(code),
                    "stop the process that holds it or set another mailbox address");
    }
    return socket;
}

bool open_peer(std::string const& address, peer& opened) {
    if (nng_push0_open(&opened.socket) != 0) {
        return false;
    }
    nng_socket_set_int(opened.socket, NNG_OPT_SENDBUF, send_buffer_messages);
    nng_socket_set_ms(opened.socket, NNG_OPT_RECONNMINT, reconnect_min_ms);
    nng_socket_set_ms(opened.socket, NNG_OPT_RECONNMAXT, reconnect_max_ms);
    if (nng_dial(opened.socket, ("tcp://" + address).c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
        nng_close(opened.socket);
        return false;
    }
    return true;
}

bool send_bytes(nng_socket socket, std::string const& bytes) {
    nng_msg* message = nullptr;
    if (nng_msg_alloc(&message, 0) != 0) {
        return false;
    }
    if (nng_msg_append(message, bytes.data(), bytes.size()) != 0 ||
        nng_sendmsg(socket, message, NNG_FLAG_NONBLOCK) != 0) {
        nng_msg_free(message);
        return false;
    }
    return true;
}

// Closes sockets on a thread of their own: nng_close (nng 1.5.2) can wait for ever for a connection
// that a peer opens or closes at the same moment. A socket that does not close ends with the
// process.
std::future<void> close_apart(std::vector<nng_socket> sockets) {
    std::promise<void> closed;
    auto done = closed.get_future();
    std::thread{[sockets = std::move(sockets), closed = std::move(closed)]() mutable {
        for (nng_socket const socket : sockets) {
            nng_close(socket);
        }
        closed.set_value();
    }}.detach();
    return done;
}

} // namespace

mailbox::mailbox(std::unique_ptr<implementation> parts) : parts_{std::move(parts)} {}

mailbox::~mailbox() {
    close();
}

result<std::shared_ptr<mailbox>>
mailbox::open(std::string const& address, runtime_clock const& clock, message_handler handler) {
    auto parts = std::make_unique<implementation>();
    parts->address = address;
    parts->clock = &clock;
    parts->handler = std::move(handler);
    BOOST_OUTCOME_TRY(socket, open_inbound(address));
    parts->inbound = socket;
    auto* state = parts.get();
    state->receiver = std::thread{[state] {
        while (!state->stopping.load()) {
            nng_msg* message = nullptr;
            if (nng_recvmsg(state->inbound, &message, 0) != 0) {
                continue;
            }
            wire::Envelope envelope;
            auto const size = nng_msg_len(message);
            bool const parsed =
                envelope.ParseFromArray(nng_msg_body(message), static_cast<int>(size));
            nng_msg_free(message);
            {
                std::lock_guard const lock{state->mutex};
                ++state->counters.received;
                state->counters.received_bytes += size;
                state->counters.malformed += parsed ? 0 : 1;
            }
            if (parsed) {
                state->handler(
                    {envelope.sender(), envelope.type(), std::move(*envelope.mutable_body())});
            }
        }
    }};
    return std::shared_ptr<mailbox>{new mailbox{std::move(parts)}};
}

bool mailbox::send(std::string const& to, std::string_view type, std::string_view body) {
    wire::Envelope envelope;
    envelope.set_sender(parts_->address);
    envelope.set_type(std::string{type});
    envelope.set_body(std::string{body});
    std::string const bytes = envelope.SerializeAsString();
    time_point const moment = now(*parts_->clock);

    std::lock_guard const lock{parts_->mutex};
    if (parts_->stopping.load()) {
        return false;
    }
    auto found = parts_->peers.find(to);
    if (found == parts_->peers.end()) {
        std::vector<nng_socket> idle_sockets;
        std::erase_if(parts_->peers, [moment, &idle_sockets](auto const& entry) {
            bool const idle = moment - entry.second.last_used > idle_peer_limit;
            if (idle) {
                idle_sockets.push_back(entry.second.socket);
            }
            return idle;
        });
        if (!idle_sockets.empty()) {
            close_apart(std::move(idle_sockets));
        }
        peer opened;
        if (!open_peer(to, opened)) {
            ++parts_->counters.dropped;
            return false;
        }
        found = parts_->peers.emplace(to, opened).first;
    }
    found->second.last_used = moment;
    if (!send_bytes(found->second.socket, bytes)) {
        ++parts_->counters.dropped;
        return false;
    }
    ++parts_->counters.sent;
    parts_->counters.sent_bytes += bytes.size();
    return true;
}

mailbox_counters mailbox::counters() const {
    std::lock_guard const lock{parts_->mutex};
    return parts_->counters;
}

std::string const& mailbox::address() const {
    return parts_->address;
}

void mailbox::close() {
    if (parts_->stopping.exchange(true)) {
        return;
    }
    if (parts_->receiver.joinable()) {
        parts_->receiver.join();
    }
    std::vector<nng_socket> outbound;
    {
        std::lock_guard const lock{parts_->mutex};
        for (auto const& [address, entry] : parts_->peers) {
            outbound.push_back(entry.socket);
        }
        parts_->peers.clear();
    }
    // The inbound socket by itself, so that its address is free again whatever the others do.
    auto const inbound_closed = close_apart({parts_->inbound});
    auto const outbound_closed = close_apart(std::move(outbound));
    auto const limit = std::chrono::steady_clock::now() + close_limit;
    bool const closed = inbound_closed.wait_until(limit) == std::future_status::ready &&
                        outbound_closed.wait_until(limit) == std::future_status::ready;
    if (!closed) {
        log_event(events::mailbox_close_stuck, {{"address", parts_->address}});
    }
}

} // namespace fireflycrank
