/// @file
/// Protobuf encoding of membership, configuration, load and target order messages.
///
/// Every decode function returns `corrupt_data` for bytes that are no such message or hold a value
/// out of range; the daemon drops the message and counts it.
#pragma once

#include "configsync.h"
#include "error.h"
#include "loadreport.h"
#include "membership.h"
#include "orderlog.h"

#include <string>
#include <string_view>

namespace fireflycrank {

// Envelope.type of each message.
inline constexpr std::string_view membership_type = "fireflycrank.wire.MembershipMessage";
inline constexpr std::string_view config_type = "fireflycrank.wire.ConfigMessage";
inline constexpr std::string_view load_report_type = "fireflycrank.wire.LoadReport";
inline constexpr std::string_view load_subscribe_type = "fireflycrank.wire.LoadSubscribe";
inline constexpr std::string_view target_order_type = "fireflycrank.wire.TargetOrder";
inline constexpr std::string_view target_order_reply_type = "fireflycrank.wire.TargetOrderReply";

/// Encodes a message as the body of an envelope.
/// @param message the message
/// @return its bytes
std::string encode(membership_message const& message);
std::string encode(config_message const& message);
std::string encode(load_report const& message);
std::string encode(load_subscribe const& message);
std::string encode(target_order_message const& message);
std::string encode(target_order_reply const& message);
std::string encode(order_command const& command);
std::string encode(order_reply const& reply);

/// Decodes the body of an envelope.
/// @param bytes the body
/// @return the message, or `corrupt_data`
result<membership_message> decode_membership(std::string_view bytes);
result<config_message> decode_config(std::string_view bytes);
result<load_report> decode_load_report(std::string_view bytes);
result<load_subscribe> decode_load_subscribe(std::string_view bytes);
result<target_order_message> decode_target_order(std::string_view bytes);
result<target_order_reply> decode_target_order_reply(std::string_view bytes);
result<order_command> decode_order_command(std::string_view bytes);
result<order_reply> decode_order_reply(std::string_view bytes);

/// Serializes the order table for a snapshot; equal tables give equal bytes.
/// @param table the table
/// @return its bytes
std::string order_table_bytes(order_table const& table);

/// Parses the order table from a snapshot.
/// @param bytes what order_table_bytes() returned
/// @return the table, or `corrupt_data`
result<order_table> parse_order_table(std::string_view bytes);

} // namespace fireflycrank
