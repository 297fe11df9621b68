/// @file
/// Client of the control replicas: finds the leader, resends each request until a reply arrives,
/// and gives up at its deadline. The functions do no I/O: the daemon sends the messages they
/// return.
#pragma once

#include "clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fireflycrank {

/// A request. Its id makes resending it idempotent.
struct control_call {
    std::string id;
    std::string kind;    ///< which replicated table the command belongs to
    std::string command; ///< serialized command
    bool read_only{false};
};

/// A request that has not been answered yet.
struct pending_control_call {
    control_call call;
    time_point next_send;
    time_point deadline;
};

/// A request to send now.
struct outgoing_control_call {
    std::string address;
    control_call call;
};

/// Timing of the client.
struct control_client_timing {
    duration resend{std::chrono::milliseconds{250}};
};

/// State of the client: the pending requests and the presumed leader.
struct control_client {
    std::vector<std::string> replicas; ///< mailbox addresses
    control_client_timing timing;
    /// Replica to send the next request to, modulo the number of replicas.
    std::size_t presumed_leader{0};
    std::map<std::string, pending_control_call> pending;
};

/// The result of handling a reply.
struct control_reply_actions {
    bool finished{false}; ///< the request is answered and no longer pending
    std::vector<outgoing_control_call> send;
};

/// The result of a timer tick.
struct control_tick_actions {
    std::vector<std::string> expired; ///< ids of requests whose deadline passed without an answer
    std::vector<outgoing_control_call> send;
};

/// Adds a request, unless one with the same id is already pending.
/// @param deadline when to give up
/// @return the messages to send now
std::vector<outgoing_control_call> submit_control_call(control_client& client, control_call call,
                                                       time_point deadline, time_point now);

/// Handles a reply.
/// @param id id of the request, as in the reply
/// @param from mailbox of the replica that replied
/// @param not_leader true if the replica cannot answer because it is not the leader
/// @param leader mailbox of the leader according to the replica; may be empty
/// @return whether the request is finished, and the messages to send now
control_reply_actions handle_control_reply(control_client& client, std::string const& id,
                                           std::string const& from, bool not_leader,
                                           std::string const& leader, time_point now);

/// Resends the requests that have had no reply, each time to the next replica, and drops those
/// whose deadline has passed.
control_tick_actions tick_control_client(control_client& client, time_point now);

} // namespace fireflycrank
