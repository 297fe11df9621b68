#include "peerlink.h"

#include "digest.h"
#include "linkpace.h"
#include "messages.pb.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace fireflycrank {

namespace {

// A frame is a 32-bit length and an envelope; the receiver answers each batch that it read with the
// 32-bit number of frames in it.
constexpr std::size_t prefix_bytes = 4;
constexpr std::size_t max_frame_bytes = 32U << 20U;
constexpr std::size_t max_queue_bytes = 16U << 20U; // some large configurations for a slow peer
constexpr std::size_t read_bytes = 64U << 10U;
constexpr std::size_t max_datagram_bytes = 1400;
constexpr link_pace_settings paces;
// A connection whose peer has gone is closed by the kernel after this long.
constexpr std::chrono::milliseconds inbound_life{3'200};
constexpr std::chrono::milliseconds outbound_life{3'200};
constexpr std::chrono::milliseconds idle_limit{30'000};
// Without a pause, a process without free descriptors would retry to accept all the time.
constexpr std::chrono::milliseconds accept_pause{50};

using steady = std::chrono::steady_clock;

std::uint32_t read_number(char const* bytes) {
    std::uint32_t number = 0;
    for (std::size_t at = 0; at < prefix_bytes; ++at) {
        number = number << 8U | static_cast<unsigned char>(bytes[at]);
    }
    return number;
}

std::string write_number(std::uint32_t number) {
    std::string bytes(prefix_bytes, '\0');
    for (std::size_t at = 0; at < prefix_bytes; ++at) {
        bytes[prefix_bytes - 1 - at] = static_cast<char>(number >> (8U * at) & 0xffU);
    }
    return bytes;
}

std::string make_envelope(std::string const& sender, std::string_view type, std::string_view body) {
    wire::Envelope envelope;
    envelope.set_sender(sender);
    envelope.set_type(type.data(), type.size());
    envelope.set_body(body.data(), body.size());
    return envelope.SerializeAsString();
}

bool read_envelope(char const* bytes, std::size_t size, peer_message& message) {
    wire::Envelope envelope;
    if (!envelope.ParseFromArray(bytes, static_cast<int>(size))) {
        return false;
    }
    message.sender = std::move(*envelope.mutable_sender());
    message.type = std::move(*envelope.mutable_type());
    message.body = std::move(*envelope.mutable_body());
    return true;
}

// A connection that this process dialled.
struct outbound {
    explicit outbound(net::io_context& loop) : socket{loop} {}
    tcp::socket socket;
    bool connected{false};
    bool writing{false};
    bool failed{false};
    std::deque<std::string> queue; ///< frames not yet handed to the connection
    std::size_t queue_bytes{0};
    std::string in_flight;
    std::uint64_t unconfirmed{0}; ///< frames handed over and not confirmed
    steady::time_point waiting_since{};
    steady::time_point used_at{};
    std::array<char, prefix_bytes> confirmation{};
    std::size_t confirmation_size{0};
};

// A connection that a peer dialled.
struct inbound {
    explicit inbound(tcp::socket accepted) : socket{std::move(accepted)} {}
    tcp::socket socket;
    std::string buffer;
    std::string confirmations;
    std::string writing;
    std::string sender; ///< empty until its first message
    std::array<char, read_bytes> chunk{};
};

} // namespace

struct peer_link::implementation : std::enable_shared_from_this<implementation> {
    explicit implementation(net::io_context& loop)
        : context{&loop}, acceptor{loop}, accept_timer{loop}, datagrams{loop} {}

    net::io_context* context;
    std::string address;
    peer_link::handler on_message;
    tcp::acceptor acceptor;
    net::steady_timer accept_timer;
    udp::socket datagrams;
    udp::endpoint datagram_sender;
    std::array<char, 2 * max_datagram_bytes> datagram{};
    std::map<std::string, std::shared_ptr<outbound>> peers;
    std::map<std::string, steady::time_point> redial_at;
    std::map<std::string, link_pace> paces_of; ///< by peer
    std::map<std::string, std::weak_ptr<inbound>> senders;
    peer_link_counters counters;
    bool closed{false};

    void accept();
    void receive_datagram();
    void read(std::shared_ptr<inbound> const& from);
    void confirm(std::shared_ptr<inbound> const& to);
    void note_sender(std::shared_ptr<inbound> const& from, std::string const& sender);
    bool deliver(std::shared_ptr<inbound> const& from);
    void dial(std::string const& to, std::shared_ptr<outbound> const& peer);
    void write(std::string const& to, std::shared_ptr<outbound> const& peer);
    void read_confirmations(std::string const& to, std::shared_ptr<outbound> const& peer);
    void give_up(std::string const& to, std::shared_ptr<outbound> const& peer);
};

void peer_link::implementation::accept() {
    acceptor.async_accept([self = shared_from_this()](net_error failed, tcp::socket socket) {
        if (self->closed) {
            return;
        }
        if (!failed) {
            tune_socket(socket, inbound_life);
            self->read(std::make_shared<inbound>(std::move(socket)));
            self->accept();
            return;
        }
        self->accept_timer.expires_after(accept_pause);
        self->accept_timer.async_wait([self](net_error cancelled) {
            if (!cancelled && !self->closed) {
                self->accept();
            }
        });
    });
}

void peer_link::implementation::receive_datagram() {
    datagrams.async_receive_from(net::buffer(datagram), datagram_sender,
                                 [self = shared_from_this()](net_error failed, std::size_t size) {
                                     if (self->closed) {
                                         return;
                                     }
                                     peer_message message;
                                     if (!failed &&
                                         read_envelope(self->datagram.data(), size, message)) {
                                         ++self->counters.received;
                                         self->on_message(std::move(message));
                                     } else if (!failed) {
                                         ++self->counters.malformed;
                                     }
                                     self->receive_datagram();
                                 });
}

// A peer dials again only after it has given up its former connection.
void peer_link::implementation::note_sender(std::shared_ptr<inbound> const& from,
                                            std::string const& sender) {
    if (from->sender == sender) {
        return;
    }
    from->sender = sender;
    auto& known = senders[sender];
    if (auto const former = known.lock()) {
        net_error ignored;
        former->socket.close(ignored);
    }
    known = from;
}

// Hands out all whole frames in the buffer.
bool peer_link::implementation::deliver(std::shared_ptr<inbound> const& from) {
    auto& buffer = from->buffer;
    std::size_t begin = 0;
    std::uint32_t frames = 0;
    while (buffer.size() - begin >= prefix_bytes) {
        std::size_t const size = read_number(buffer.data() + begin);
        if (size > max_frame_bytes) {
            ++counters.malformed;
            return false;
        }
        if (buffer.size() - begin - prefix_bytes < size) {
            break;
        }
        peer_message message;
        if (read_envelope(buffer.data() + begin + prefix_bytes, size, message)) {
            ++counters.received;
            note_sender(from, message.sender);
            on_message(std::move(message));
        } else {
            ++counters.malformed;
        }
        begin += prefix_bytes + size;
        ++frames;
    }
    buffer.erase(0, begin);
    if (frames > 0) {
        from->confirmations += write_number(frames);
    }
    return !closed;
}

void peer_link::implementation::confirm(std::shared_ptr<inbound> const& to) {
    if (!to->writing.empty() || to->confirmations.empty()) {
        return;
    }
    to->writing = std::exchange(to->confirmations, {});
    net::async_write(to->socket, net::buffer(to->writing),
                     [self = shared_from_this(), to](net_error failed, std::size_t /*size*/) {
                         to->writing.clear();
                         if (!failed && !self->closed) {
                             self->confirm(to);
                         }
                     });
}

void peer_link::implementation::read(std::shared_ptr<inbound> const& from) {
    from->socket.async_read_some(net::buffer(from->chunk), [self = shared_from_this(), from](
                                                               net_error failed, std::size_t size) {
        if (failed || self->closed) {
            return;
        }
        from->buffer.append(from->chunk.data(), size);
        if (!self->deliver(from)) {
            return;
        }
        self->confirm(from);
        self->read(from);
    });
}

void peer_link::implementation::give_up(std::string const& to,
                                        std::shared_ptr<outbound> const& peer) {
    if (peer->failed) {
        return;
    }
    peer->failed = true;
    counters.dropped += peer->queue.size() + peer->unconfirmed;
    ++counters.redials;
    net_error ignored;
    peer->socket.close(ignored);
    auto const found = peers.find(to);
    if (found != peers.end() && found->second == peer) {
        peers.erase(found);
    }
    redial_at[to] = steady::now() + note_given_up(paces_of[to], paces, hash64(address + to));
}

void peer_link::implementation::dial(std::string const& to, std::shared_ptr<outbound> const& peer) {
    auto const endpoint = parse_endpoint(to);
    if (!endpoint) {
        give_up(to, peer);
        return;
    }
    peer->waiting_since = steady::now();
    peer->socket.async_connect(endpoint.value(),
                               [self = shared_from_this(), to, peer](net_error failed) {
                                   if (peer->failed || self->closed) {
                                       return;
                                   }
                                   if (failed) {
                                       self->give_up(to, peer);
                                       return;
                                   }
                                   tune_socket(peer->socket, outbound_life);
                                   peer->connected = true;
                                   self->read_confirmations(to, peer);
                                   self->write(to, peer);
                               });
}

void peer_link::implementation::write(std::string const& to,
                                      std::shared_ptr<outbound> const& peer) {
    if (!peer->connected || peer->writing || peer->queue.empty()) {
        return;
    }
    if (peer->unconfirmed == 0) {
        peer->waiting_since = steady::now();
    }
    peer->writing = true;
    peer->in_flight.clear();
    while (!peer->queue.empty()) {
        peer->in_flight += peer->queue.front();
        peer->queue.pop_front();
        ++peer->unconfirmed;
    }
    peer->queue_bytes = 0;
    net::async_write(peer->socket, net::buffer(peer->in_flight),
                     [self = shared_from_this(), to, peer](net_error failed, std::size_t /*size*/) {
                         peer->writing = false;
                         if (peer->failed || self->closed) {
                             return;
                         }
                         if (failed) {
                             self->give_up(to, peer);
                             return;
                         }
                         self->write(to, peer);
                     });
}

void peer_link::implementation::read_confirmations(std::string const& to,
                                                   std::shared_ptr<outbound> const& peer) {
    auto const rest = net::buffer(peer->confirmation) + peer->confirmation_size;
    peer->socket.async_read_some(
        rest, [self = shared_from_this(), to, peer](net_error failed, std::size_t size) {
            if (peer->failed || self->closed) {
                return;
            }
            if (failed) {
                self->give_up(to, peer);
                return;
            }
            peer->confirmation_size += size;
            if (peer->confirmation_size == prefix_bytes) {
                std::uint64_t const frames = read_number(peer->confirmation.data());
                peer->unconfirmed -= std::min(frames, peer->unconfirmed);
                auto const at = steady::now();
                note_confirmed(self->paces_of[to], at - peer->waiting_since);
                peer->waiting_since = at;
                peer->confirmation_size = 0;
            }
            self->read_confirmations(to, peer);
        });
}

result<std::shared_ptr<peer_link>> peer_link::open(net::io_context& loop,
                                                   std::string const& address, handler on_message) {
    BOOST_OUTCOME_TRY(endpoint, parse_endpoint(address));
    auto parts = std::make_shared<implementation>(loop);
    parts->address = address;
    parts->on_message = std::move(on_message);
    try {
        parts->acceptor.open(endpoint.protocol());
        parts->acceptor.set_option(net::socket_base::reuse_address{true});
        parts->acceptor.bind(endpoint);
        parts->acceptor.listen();
        parts->datagrams.open(udp::v4());
        parts->datagrams.set_option(net::socket_base::reuse_address{true});
        parts->datagrams.bind(udp::endpoint{endpoint.address(), endpoint.port()});
        parts->datagrams.non_blocking(true);
    } catch (boost::system::system_error const& failed) {
        return fail(error_kind::unavailable, "cannot listen on " + address + ": " + failed.what(),
                    "free the port or change the settings");
    }
    parts->accept();
    parts->receive_datagram();
    return std::shared_ptr<peer_link>{new peer_link{std::move(parts)}};
}

peer_link::peer_link(std::shared_ptr<implementation> parts) : parts_{std::move(parts)} {}

peer_link::~peer_link() {
    parts_->closed = true;
    net_error ignored;
    parts_->acceptor.close(ignored);
    parts_->datagrams.close(ignored);
    for (auto const& [to, peer] : parts_->peers) {
        peer->failed = true;
        peer->socket.close(ignored);
    }
}

void peer_link::send(std::string const& to, std::string_view type, std::string_view body) {
    auto& peer = parts_->peers[to];
    if (!peer) {
        auto const pause = parts_->redial_at.find(to);
        if (pause != parts_->redial_at.end() && steady::now() < pause->second) {
            parts_->peers.erase(to);
            ++parts_->counters.dropped;
            return;
        }
        peer = std::make_shared<outbound>(*parts_->context);
        peer->used_at = steady::now();
        parts_->dial(to, peer);
    }
    auto const envelope = make_envelope(parts_->address, type, body);
    auto const held = parts_->peers.find(to);
    if (held == parts_->peers.end() ||
        held->second->queue_bytes + envelope.size() > max_queue_bytes) {
        ++parts_->counters.dropped;
        return;
    }
    auto const target = held->second;
    target->used_at = steady::now();
    target->queue.push_back(write_number(static_cast<std::uint32_t>(envelope.size())) + envelope);
    target->queue_bytes += envelope.size();
    ++parts_->counters.sent;
    parts_->write(to, target);
}

void peer_link::send_datagram(std::string const& to, std::string_view type, std::string_view body) {
    auto const endpoint = parse_endpoint(to);
    auto const envelope = make_envelope(parts_->address, type, body);
    if (!endpoint || envelope.size() > max_datagram_bytes) {
        ++parts_->counters.dropped;
        return;
    }
    net_error failed;
    parts_->datagrams.send_to(net::buffer(envelope),
                              {endpoint.value().address(), endpoint.value().port()}, 0, failed);
    failed ? ++parts_->counters.dropped : ++parts_->counters.sent;
}

void peer_link::tick() {
    auto const now = steady::now();
    std::vector<std::pair<std::string, std::shared_ptr<outbound>>> silent;
    for (auto const& [to, peer] : parts_->peers) {
        bool const waits = !peer->connected || peer->unconfirmed > 0;
        auto const& pace = parts_->paces_of[to];
        auto const limit = peer->connected ? silent_limit(pace, paces) : connect_limit(pace, paces);
        if ((waits && now - peer->waiting_since > limit) ||
            (!waits && now - peer->used_at > idle_limit)) {
            silent.emplace_back(to, peer);
        }
    }
    for (auto const& [to, peer] : silent) {
        parts_->give_up(to, peer);
    }
    std::erase_if(parts_->redial_at, [&](auto const& entry) { return now >= entry.second; });
    std::erase_if(parts_->senders, [](auto const& entry) { return entry.second.expired(); });
}

peer_link_counters const& peer_link::counters() const {
    return parts_->counters;
}

} // namespace fireflycrank
