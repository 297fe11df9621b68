/// @file
/// One-way messages between processes over nng: one inbound socket, one outbound socket a peer.
/// Messages may be lost, late, duplicated or reordered.
#pragma once

#include "clock.h"
#include "error.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fireflycrank {

/// A received message.
struct inbound_message {
    std::string sender; ///< the sender's mailbox address
    std::string type;   ///< full name of the message type
    std::string body;   ///< serialized message
};

/// Called on the receiving thread, one message at a time.
using message_handler = std::function<void(inbound_message const&)>;

/// Counts of what a mailbox has done.
struct mailbox_counters {
    std::uint64_t sent{0};
    std::uint64_t sent_bytes{0};
    std::uint64_t received{0};
    std::uint64_t received_bytes{0};
    std::uint64_t dropped{0}; ///< not sent because the peer's buffer was full or no socket was left
    std::uint64_t malformed{0}; ///< received, but no envelope
};

/// An open mailbox; closed by its destructor.
class mailbox {
public:
    /// Opens the inbound socket and starts receiving.
    /// @param address "ip:port" to listen on; also the sender address of outgoing messages
    /// @param clock the runtime's clock; must outlive the mailbox
    /// @param handler called for each message until the mailbox is closed
    /// @return the mailbox; unavailable if the address cannot be bound
    static result<std::shared_ptr<mailbox>>
    open(std::string const& address, runtime_clock const& clock, message_handler handler);

    mailbox(mailbox const&) = delete;
    mailbox& operator=(mailbox const&) = delete;
    ~mailbox();

    /// Sends without blocking. A peer that cannot be reached keeps a bounded buffer; once that is
    /// full, the message is dropped and counted.
    /// @param to the peer's mailbox address
    /// @param type full name of the message type
    /// @param body serialized message
    /// @return false if the message was dropped here
    bool send(std::string const& to, std::string_view type, std::string_view body);

    /// Counts since the start.
    /// @return a copy
    mailbox_counters counters() const;

    /// The address that peers use.
    /// @return "ip:port"
    std::string const& address() const;

    /// Ends the receiving thread and closes all sockets. A socket that the library cannot close
    /// within a second is left to the process's end. Called by the destructor.
    void close();

private:
    struct implementation;
    explicit mailbox(std::unique_ptr<implementation> parts);
    std::unique_ptr<implementation> parts_;
};

} // namespace fireflycrank
