/// @file
/// A daemon's requests to the control replicas: finds the leader, sends again until a reply
/// arrives, gives up at a deadline. Pure: the daemon sends what the functions return.
#pragma once

#include "clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fireflycrank {

/// One request. The id makes a request that is sent again idempotent.
struct control_call {
    std::string id;
    std::string kind;    ///< which replicated table the command belongs to
    std::string command; ///< serialized command
    bool read_only{false};
};

/// A request on its way.
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

/// Periods of the client.
struct control_client_timing {
    duration resend{std::chrono::milliseconds{250}};
};

/// The state: what is pending and which replica probably leads.
struct control_client {
    std::vector<std::string> replicas; ///< mailbox addresses
    control_client_timing timing;
    std::size_t presumed_leader{0}; ///< index of the replica that is asked next
    std::map<std::string, pending_control_call> pending;
};

/// What a reply means for a pending request.
struct control_reply_actions {
    bool finished{false}; ///< the request is answered and no longer pending
    std::vector<outgoing_control_call> send;
};

/// What the passing of time means.
struct control_tick_actions {
    std::vector<std::string> expired; ///< ids whose deadline passed without an answer
    std::vector<outgoing_control_call> send;
};

/// Adds a request. A request whose id is pending already is not added again.
/// @param client the client
/// @param call the request
/// @param deadline when to give up
/// @param now the present time
/// @return what to send now
std::vector<outgoing_control_call> submit_control_call(control_client& client, control_call call,
                                                       time_point deadline, time_point now);

/// Takes a reply.
/// @param client the client
/// @param id the id in the reply
/// @param from mailbox of the replica that replied
/// @param not_leader true if the replica cannot answer because it does not lead
/// @param leader mailbox of the leader as the replica knows it; may be empty
/// @param now the present time
/// @return whether the request is finished, and what to send again
control_reply_actions handle_control_reply(control_client& client, std::string const& id,
                                           std::string const& from, bool not_leader,
                                           std::string const& leader, time_point now);

/// Sends again what has had no reply, to the next replica each time.
/// @param client the client
/// @param now the present time
/// @return what to send and what to give up
control_tick_actions tick_control_client(control_client& client, time_point now);

} // namespace fireflycrank
