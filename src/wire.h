/// @file
/// Turns the messages of the request path and of control requests into bytes and back.
#pragma once

#include "attemptmessage.h"
#include "controlclient.h"
#include "error.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace fireflycrank {

/// A message with the name under which the envelope carries it.
struct encoded_message {
    std::string type;
    std::string body;
};

/// What an agent receives from entries.
using entry_to_agent = std::variant<attempt_request, attempt_query>;

/// What an entry receives from agents.
using agent_to_entry = std::variant<attempt_refusal, agent_status, agent_chunk, agent_end>;

/// Encodes a message to an agent.
/// @param message the message
/// @return its type and bytes
encoded_message encode(entry_to_agent const& message);

/// Encodes a message to an entry.
/// @param message the message
/// @return its type and bytes
encoded_message encode(agent_to_entry const& message);

/// Decodes a message that an agent received.
/// @param type the envelope's type
/// @param body the envelope's body
/// @return the message; nothing if the type is another or the body is malformed
std::optional<entry_to_agent> decode_for_agent(std::string_view type, std::string const& body);

/// Decodes a message that an entry received.
/// @param type the envelope's type
/// @param body the envelope's body
/// @return the message; nothing if the type is another or the body is malformed
std::optional<agent_to_entry> decode_for_entry(std::string_view type, std::string const& body);

/// The load that a message carries, if it carries one.
/// @param message the message
/// @return the load or null
target_load const* load_in(agent_to_entry const& message);

/// A request as a control replica receives it.
struct control_request {
    control_call call;
    std::string reply_to; ///< mailbox address
};

/// A control replica's reply.
struct control_reply {
    std::string id;
    bool accepted{false};
    std::string error; ///< name of an error_kind; empty when accepted
    std::string message;
    std::string leader; ///< mailbox of the leader, when known
    std::uint64_t term{0};
    std::uint64_t index{0};
    std::string reply; ///< serialized reply of the replicated table
};

/// Name of control requests in the envelope.
inline constexpr std::string_view control_request_type = "ControlRequest";
/// Name of control replies in the envelope.
inline constexpr std::string_view control_reply_type = "ControlReply";

/// Encodes a control request.
std::string encode(control_request const& request);
/// Encodes a control reply.
std::string encode(control_reply const& reply);
/// Decodes a control request; nothing if it is malformed.
std::optional<control_request> decode_control_request(std::string const& body);
/// Decodes a control reply; nothing if it is malformed.
std::optional<control_reply> decode_control_reply(std::string const& body);

} // namespace fireflycrank
