/// @file
/// Conversion between the directory's plain structs and protobuf (schema/directory.proto).
#pragma once

#include "directorysync.h"
#include "engineload.h"
#include "error.h"
#include "groupswitch.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace fireflycrank {

// Names in Envelope.type.
inline constexpr std::string_view beat_type = "dir.beat";
inline constexpr std::string_view update_type = "dir.update";
inline constexpr std::string_view departure_type = "dir.departure";
inline constexpr std::string_view departure_recorded_type = "dir.recorded";
inline constexpr std::string_view configuration_request_type = "dir.wantconfig";
inline constexpr std::string_view configuration_body_type = "dir.config";
inline constexpr std::string_view engine_load_type = "dir.load";
inline constexpr std::string_view crash_report_type = "dir.crash";
inline constexpr std::string_view crash_recorded_type = "dir.crashrecorded"; // as for departures
inline constexpr std::string_view follow_type = "dir.follow"; // a gateway to an agent; no body

inline constexpr std::string_view rank_status_type = "dir.rank";
inline constexpr std::string_view hold_request_type = "dir.hold";
inline constexpr std::string_view hold_answered_type = "dir.holdanswered"; // carries the request
inline constexpr std::string_view rank_instruction_type = "dir.instruct";

/// A registrar asks the others to record a departure before it is acknowledged.
struct departure_notice {
    std::uint64_t number{0};
    target_announcement target;
};

/// A gateway's report for the quarantine table.
struct crash_report_message {
    std::uint64_t number{0};
    std::string gateway; ///< peer address
    std::string command; ///< see encode_quarantine_command()
};

/// The service configuration as the operator sent it.
struct configuration_body {
    std::uint64_t version{0};
    std::string packed; ///< the text, see pack_text
};

/// The outcome of a replicated install command.
struct install_reply {
    bool installed{false};
    std::uint64_t version{0}; ///< in force afterwards
};

// Parsing malformed bytes fails with `corrupt_data`.

/// Serializes a beat.
std::string serialize(directory_beat const& plain);
/// Parses a beat.
result<directory_beat> parse_beat(std::string_view bytes);

/// Serializes an update.
std::string serialize(directory_update const& plain);
/// Parses an update.
result<directory_update> parse_update(std::string_view bytes);

/// Serializes a notice.
std::string serialize(departure_notice const& plain);
/// Parses a notice.
result<departure_notice> parse_departure(std::string_view bytes);

/// Serializes the confirmation of a notice.
std::string serialize_recorded(std::uint64_t number);
/// Parses the confirmation of a notice.
result<std::uint64_t> parse_recorded(std::string_view bytes);

/// Serializes a report.
std::string serialize(crash_report_message const& plain);
/// Parses a report.
result<crash_report_message> parse_crash_report(std::string_view bytes);

/// Serializes a request for a configuration above a version.
std::string serialize_configuration_request(std::uint64_t above);
/// Parses a request for a configuration above a version.
result<std::uint64_t> parse_configuration_request(std::string_view bytes);

/// Serializes a configuration; also the replicated command and the snapshot of its table.
std::string serialize(configuration_body const& plain);
/// Parses a configuration.
result<configuration_body> parse_configuration(std::string_view bytes);

/// Serializes the reply of the replicated command.
std::string serialize(install_reply const& plain);
/// Parses the reply of the replicated command.
result<install_reply> parse_install_reply(std::string_view bytes);

/// Serializes a load report.
std::string serialize(engine_load const& plain);
/// Parses a load report.
result<engine_load> parse_engine_load(std::string_view bytes);

/// Serializes a rank's status.
std::string serialize(rank_status const& plain);
/// Parses a rank's status.
result<rank_status> parse_rank_status(std::string_view bytes);

/// Serializes an instruction.
std::string serialize(rank_instruction const& plain);
/// Parses an instruction.
result<rank_instruction> parse_rank_instruction(std::string_view bytes);

/// Serializes a request to hold a pass.
std::string serialize(hold_request const& plain);
/// Parses a request to hold a pass.
result<hold_request> parse_hold_request(std::string_view bytes);

} // namespace fireflycrank
