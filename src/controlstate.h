/// @file
/// The replicated state machine: tables that commands change in log order. The table of
/// configuration revisions is defined here; other modules register their tables by command kind.
#pragma once

#include "clock.h"
#include "error.h"
#include "settings.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fireflycrank {

/// A command for one table, as stored in a log entry.
struct control_command {
    std::string kind; ///< the table, as in ControlRequest.kind
    std::string body; ///< serialized command of that table
    wall_time at;     ///< the leader's wall time at the proposal
};

/// The functions of one replicated table. All are deterministic; the module that registers them
/// holds the table's data.
struct control_table_functions {
    /// Checks a command before the leader proposes it. May be empty.
    std::function<result<void>(std::string_view body)> validate;
    /// Applies a committed command and returns the serialized reply. A malformed body must give an
    /// error reply, never an exception: every replica applies it.
    std::function<std::string(std::string_view body, std::uint64_t index, wall_time at)> apply;
    /// Answers a read. The caller ensures that the read is linearizable. May be empty.
    std::function<result<std::string>(std::string_view query)> query;
    /// Serializes the table for a snapshot.
    std::function<std::string()> serialize;
    /// Replaces the table with the content of a snapshot; `corrupt_data` when it is malformed.
    std::function<result<void>(std::string_view bytes)> parse;
};

/// The replicated tables by command kind, and the last entry applied to them.
struct control_state {
    std::map<std::string, control_table_functions> tables;
    std::uint64_t applied_index{0};
};

/// Applies a committed command.
/// @param index its log index; must be above the last applied one
/// @return the table's reply, or `internal` for a kind that no table is registered for: the replica
///         must then stop, since it would diverge from replicas that know the kind
result<std::string> apply(control_state& state, control_command const& command,
                          std::uint64_t index);

/// Serializes all tables.
/// @return bytes for a snapshot
std::string serialize_tables(control_state const& state);

/// Replaces all tables by a snapshot's.
/// @param bytes a snapshot of serialize_tables()
/// @return nothing, or `corrupt_data`
result<void> parse_tables(control_state& state, std::string_view bytes);

/// A change of the configuration.
struct config_change {
    std::uint64_t base_revision{0}; ///< the revision that the operator edited
    std::string change_id;          ///< makes a resent change idempotent
    std::string operator_name;
    settings_files files; ///< all files of the operator's folder after merging
};

/// The outcome of a change.
enum class config_outcome {
    accepted,
    conflict,     ///< another change to the same base revision was committed first
    unknown_base, ///< the base revision does not exist
    reused_id,    ///< the change id belongs to a change with different content
    malformed     ///< the command could not be parsed
};

/// The reply to a change. In a conflict, the winner is the change that was applied to the base
/// revision.
struct config_reply {
    config_outcome outcome{config_outcome::malformed};
    std::uint64_t revision{0}; ///< the accepted revision; otherwise the newest one
    std::string digest;        ///< digest of that revision
    std::uint64_t winner_revision{0};
    std::string winner_operator;
    std::string winner_change_id;
    bool operator==(config_reply const&) const = default;
};

/// One revision, as a difference from the previous one.
struct config_revision {
    std::uint64_t revision{0};
    std::string change_id;
    std::string operator_name;
    std::string digest;
    wall_time at;
    settings_files files;             ///< changed and new files
    std::vector<std::string> removed; ///< files that the revision no longer has
};

/// The first reply to a change id, repeated when the change is resent.
struct config_first_reply {
    std::string change_id;
    std::string content_digest; ///< digest of the change, to detect a reused id
    wall_time at;
    config_reply reply;
};

/// The difference between two revisions.
struct config_delta {
    std::uint64_t from{0};
    std::uint64_t to{0};
    std::string digest; ///< of revision `to`
    settings_files files;
    std::vector<std::string> removed;
    bool complete{false}; ///< `files` holds all files; `from` is irrelevant
};

/// The table of configuration revisions.
struct config_table {
    std::uint64_t revision{0};
    settings_files files; ///< of the newest revision
    std::map<std::string, std::string> file_digests;
    std::deque<config_revision> history; ///< the newest revisions, ascending
    std::size_t history_bytes{0};
    std::deque<config_first_reply> replies;             ///< in log order
    std::map<std::string, std::uint64_t> reply_numbers; ///< number of the reply to each change id
    std::uint64_t first_reply_number{0};                ///< number of the front of `replies`
    wall_time latest_command_at; ///< the latest command time; never decreases
};

/// Applies a change: checks its base revision and stores the first reply.
/// @param at the leader's wall time inside the command
/// @return the reply; for a resent change, the first reply
config_reply apply_change(config_table& table, config_change const& change, wall_time at);

/// Computes the difference from a revision to a later one, to be sent to daemons.
/// @param from the revision that a daemon has; 0 for none
/// @param to the revision it needs
/// @return the difference; all files when `from` is older than the history and `to` is the newest
/// revision; `not_found` when `to` is unknown or can no longer be derived
result<config_delta> make_config_delta(config_table const& table, std::uint64_t from,
                                       std::uint64_t to);

/// Applies a difference to a daemon's files.
/// @param files the files of revision `delta.from`; become those of `delta.to`
/// @return nothing, or `corrupt_data` when the digest does not match; the files are then unchanged
result<void> apply_delta(settings_files& files, config_delta const& delta);

/// The digest of a revision, equal on every daemon that has the same files.
/// @return 64 hexadecimal digits
std::string config_digest(std::uint64_t revision, settings_files const& files);

/// Registers the configuration table under kind `config`. Its query takes a serialized ConfigQuery
/// and returns a serialized ConfigDelta to the newest revision.
/// @param table the table; must outlive `state`
/// @param validate the settings parser, run on a change before it is proposed; may be empty
void register_config(control_state& state, config_table& table,
                     std::function<result<void>(settings_files const&)> validate = {});

} // namespace fireflycrank
