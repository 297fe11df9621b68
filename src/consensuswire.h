/// @file
/// Conversion between the structs of the control log and protobuf (schema/consensus.proto).
#pragma once

#include "consensus.h"
#include "controlstate.h"

#include <string>
#include <string_view>
#include <vector>

namespace fireflycrank {

/// Envelope.type of a message between replicas.
inline constexpr char const* consensus_message_type = "fireflycrank.wire.ConsensusMessage";

/// One record of the write-ahead log.
struct log_record {
    bool has_hard_state{false};
    hard_state hard;
    std::vector<log_entry> entries;
};

// Parsing malformed bytes fails with `corrupt_data`.

/// Serializes a message between replicas.
std::string serialize_consensus_message(consensus_message const& value);
/// Parses a message between replicas.
result<consensus_message> parse_consensus_message(std::string_view bytes);

/// Serializes a log record.
std::string serialize_log_record(log_record const& value);
/// Parses a log record.
result<log_record> parse_log_record(std::string_view bytes);

/// Serializes a snapshot header.
std::string serialize_snapshot_meta(snapshot_meta const& value);
/// Parses a snapshot header.
result<snapshot_meta> parse_snapshot_meta(std::string_view bytes);

/// Serializes a command for a table.
std::string serialize_control_command(control_command const& value);
/// Parses a command for a table.
result<control_command> parse_control_command(std::string_view bytes);

/// Serializes a configuration change.
std::string serialize_config_change(config_change const& value);
/// Parses a configuration change.
result<config_change> parse_config_change(std::string_view bytes);

/// Serializes the reply to a change.
std::string serialize_config_reply(config_reply const& value);
/// Parses the reply to a change.
result<config_reply> parse_config_reply(std::string_view bytes);

/// Serializes a difference between revisions.
std::string serialize_config_delta(config_delta const& value);
/// Parses a difference between revisions.
result<config_delta> parse_config_delta(std::string_view bytes);

/// Serializes a query for the difference from a revision to the newest one.
std::string serialize_config_query(std::uint64_t from);
/// Parses such a query and returns the revision.
result<std::uint64_t> parse_config_query(std::string_view bytes);

/// Serializes the configuration table for a snapshot.
std::string serialize_config_table(config_table const& value);
/// Parses the configuration table; the caller rebuilds the derived fields.
result<config_table> parse_config_table(std::string_view bytes);

/// Serializes the body of a snapshot: the serialized tables by command kind, and the index of the
/// last applied entry.
std::string serialize_table_map(std::uint64_t applied,
                                std::map<std::string, std::string> const& tables);
/// Parses the body of a snapshot.
result<std::map<std::string, std::string>> parse_table_map(std::string_view bytes,
                                                           std::uint64_t& applied);

} // namespace fireflycrank
