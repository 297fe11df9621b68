/// @file
/// Bytes of the messages and replicated tables of expert maps, placement and rollouts.
#pragma once

#include "error.h"
#include "groupmessage.h"
#include "mapswitch.h"
#include "rollout.h"

#include <string>
#include <string_view>

namespace fireflycrank {

/// Serialization: equal values give equal bytes. Every serialize() has a parse() of the same type.
/// @return the bytes
std::string serialize(map_table const& table);
std::string serialize(map_command const& command);
std::string serialize(map_command_reply const& reply);
std::string serialize(map_view_message const& message);
std::string serialize(map_view_query const& ask);
std::string serialize(rank_report const& report);
std::string serialize(group_report const& report);
std::string serialize(map_table_query const& question);
std::string serialize(map_content const& content);
std::string serialize(placement_table const& table);
std::string serialize(placement_command const& command);
std::string serialize(placement_reply const& reply);

/// Parsing.
/// @param bytes what serialize() gave
/// @return the value, or corrupt_data when the bytes are damaged or hold an unknown enum value
result<map_table> parse_map_table(std::string_view bytes);
result<map_command> parse_map_command(std::string_view bytes);
result<map_command_reply> parse_map_reply(std::string_view bytes);
result<map_view_message> parse_map_view(std::string_view bytes);
result<map_view_query> parse_map_ask(std::string_view bytes);
result<rank_report> parse_rank_report(std::string_view bytes);
result<group_report> parse_group_report(std::string_view bytes);
result<map_table_query> parse_map_question(std::string_view bytes);
result<map_content> parse_map_content(std::string_view bytes);
result<placement_table> parse_placement_table(std::string_view bytes);
result<placement_command> parse_placement_command(std::string_view bytes);
result<placement_reply> parse_placement_reply(std::string_view bytes);

} // namespace fireflycrank
