/// @file
/// Converts commands, replies and snapshots of the claim and quarantine tables to protobuf bytes
/// and back.
#pragma once

#include "claim.h"
#include "error.h"
#include "quarantine.h"

#include <string>
#include <string_view>

namespace fireflycrank {

/// Encodes a command for ControlRequest.command.
/// @param command the command
/// @return protobuf bytes of ClaimCommand
std::string encode_claim_command(claim_command const& command);

/// Decodes a command.
/// @param bytes from encode_claim_command
/// @return the command, or corrupt_data
result<claim_command> decode_claim_command(std::string_view bytes);

/// Encodes a reply for ControlReply.reply.
/// @param reply the reply
/// @return protobuf bytes of ClaimReply
std::string encode_claim_reply(claim_reply const& reply);

/// Decodes a reply.
/// @param bytes from encode_claim_reply
/// @return the reply, or corrupt_data
result<claim_reply> decode_claim_reply(std::string_view bytes);

/// Encodes a quarantine command for ControlRequest.command.
/// @param command the command
/// @return protobuf bytes of QuarantineCommand
std::string encode_quarantine_command(quarantine_command const& command);

/// Decodes a quarantine command.
/// @param bytes from encode_quarantine_command
/// @return the command, or corrupt_data
result<quarantine_command> decode_quarantine_command(std::string_view bytes);

/// Encodes a quarantine reply for ControlReply.reply.
/// @param reply the reply
/// @return protobuf bytes of QuarantineReply
std::string encode_quarantine_reply(quarantine_reply const& reply);

/// Decodes a quarantine reply.
/// @param bytes from encode_quarantine_reply
/// @return the reply, or corrupt_data
result<quarantine_reply> decode_quarantine_reply(std::string_view bytes);

/// Turns the table into bytes for a snapshot. Equal tables give equal bytes.
/// @param table the table
/// @return the bytes
std::string serialize_claims(claim_table const& table);

/// Restores a table from serialize_claims.
/// @param bytes a snapshot
/// @param limits the bounds in force
/// @return the table, or corrupt_data
result<claim_table> parse_claims(std::string_view bytes, claim_limits const& limits);

/// Turns the table into bytes for a snapshot. Equal tables give equal bytes.
/// @param table the table
/// @return the bytes
std::string serialize_quarantine(quarantine_table const& table);

/// Restores a table from serialize_quarantine.
/// @param bytes a snapshot
/// @param limits the bounds in force
/// @return the table, or corrupt_data
result<quarantine_table> parse_quarantine(std::string_view bytes, quarantine_limits const& limits);

} // namespace fireflycrank
