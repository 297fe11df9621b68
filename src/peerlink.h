/// @file
/// Messages between processes that run one event loop: framed envelopes over TCP for what must
/// arrive in order, datagrams for reports of which only the newest counts. A message may be lost;
/// the protocols above repeat what matters. The receiver confirms what it has read, so a connection
/// that went silent is noticed and dialled again within `silent_limit`.
#pragma once

#include "clock.h"
#include "error.h"
#include "netio.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fireflycrank {

/// A received message.
struct peer_message {
    std::string sender; ///< the sender's link address
    std::string type;
    std::string body;
};

/// Counts since the start.
struct peer_link_counters {
    std::uint64_t sent{0};
    std::uint64_t received{0};
    std::uint64_t dropped{0};   ///< queue full, or the connection failed before it was confirmed
    std::uint64_t malformed{0}; ///< received, but no envelope
    std::uint64_t redials{0};   ///< connections that were given up
};

/// An open link; closed by its destructor.
class peer_link {
public:
    using handler = std::function<void(peer_message)>;

    /// Listens for peers.
    /// @param loop the process's event loop
    /// @param address "ip:port", for TCP and UDP; also the sender address of what is sent
    /// @param on_message called for each message
    /// @return the link; `unavailable` if the address cannot be bound
    static result<std::shared_ptr<peer_link>> open(net::io_context& loop,
                                                   std::string const& address, handler on_message);

    peer_link(peer_link const&) = delete;
    peer_link& operator=(peer_link const&) = delete;
    ~peer_link();

    /// Sends in order over a connection, which is made when needed.
    /// @param to the peer's link address
    /// @param type names the message
    /// @param body serialized message
    void send(std::string const& to, std::string_view type, std::string_view body);

    /// Sends a datagram.
    /// @param to the peer's link address
    /// @param type names the message
    /// @param body serialized message; under 1 KB
    void send_datagram(std::string const& to, std::string_view type, std::string_view body);

    /// Looks for silent connections; call it every 100 ms or so.
    void tick();

    /// Counts since the start.
    [[nodiscard]] peer_link_counters const& counters() const;

    struct implementation;

private:
    explicit peer_link(std::shared_ptr<implementation> parts);
    std::shared_ptr<implementation> parts_;
};

} // namespace fireflycrank
