/// @file
/// One control replica: combines consensus, write-ahead log, snapshot and replicated tables. It has
/// no sockets and no threads. A daemon calls it under one mutex: it passes in messages, requests
/// and ticks, and after each batch calls flush(), which makes everything durable with one sync and
/// then returns the messages and replies to send.
#pragma once

#include "consensus.h"
#include "controlstate.h"
#include "filelayer.h"
#include "wal.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflycrank {

/// Settings of a replica.
struct control_node_settings {
    std::string name;               ///< this replica's name, also its address in messages
    std::vector<std::string> peers; ///< names of all replicas of the cluster, including this one
    std::string folder;             ///< the data folder, on a disk of its own
    consensus_settings consensus;
    std::size_t snapshot_entries{2'000};                    ///< entries applied between snapshots
    std::size_t snapshot_log_bytes{std::size_t{64} << 20U}; ///< log size that triggers a snapshot
    std::size_t max_command_bytes{std::size_t{16} << 20U};  ///< maximum size of a command
};

/// The reply to a request. After a failure of kind `unavailable` the outcome is unknown: the
/// command may still be committed, so the caller resends it under the same change id.
struct control_node_reply {
    std::uint64_t request{0}; ///< the caller's id
    result<std::string> outcome{std::string{}};
    std::uint64_t index{0}; ///< log index of a command; the applied index for a read
    std::uint64_t term{0};
};

/// The result of flush().
struct control_node_output {
    std::vector<consensus_message> messages; ///< each for the replica `to`; delivery may fail
    std::vector<control_node_reply> replies;
    /// Set when the replica must stop; the daemon reports the error and exits.
    std::optional<error> stop_reason;
};

/// A request that waits until its entry is committed or its read is confirmed.
struct pending_request {
    std::uint64_t request{0};
    std::uint64_t term{0};
    std::string kind;
    std::string query;
};

/// One replica. Plain state; change it only through the functions below.
struct control_node {
    control_node_settings settings;
    file_layer files;
    control_state* tables{nullptr};
    wal log;
    consensus_state consensus;
    file_id lock;
    std::vector<consensus_message> outbox;
    std::vector<control_node_reply> replies;
    std::map<std::uint64_t, pending_request> proposals; ///< by log index
    std::map<std::uint64_t, pending_request> reads;     ///< by read number
    std::uint64_t last_read_number{0};
    std::uint64_t torn_bytes{0}; ///< bytes of an incomplete log tail dropped at start-up
    std::optional<error> stop_reason;

    control_node() = default;
    control_node(control_node const&) = delete;
    control_node& operator=(control_node const&) = delete;
    ~control_node();
};

/// Opens the data folder and recovers the replica. An empty folder gives an uninitialized replica
/// that joins the cluster as a learner, or takes part in bootstrapping it when all peers are
/// uninitialized.
/// @param tables the registered tables; must outlive the node
/// @param seed entropy from the operating system; also determines the identity of a new disk
/// @return the replica; `corrupt_data`, `disk_failure` or `conflict` (folder in use or of another
///         replica)
result<std::unique_ptr<control_node>> open_control_node(control_node_settings settings,
                                                        file_layer files, control_state& tables,
                                                        std::uint64_t seed, time_point now);

/// Handles a message from another replica.
void receive(control_node& node, consensus_message const& received, time_point now);

/// Parses and handles the body of an envelope of type `consensus_message_type`.
/// @param body the serialized message
/// @return nothing, or `corrupt_data` when it cannot be parsed; the message is then dropped
result<void> receive_bytes(control_node& node, std::string_view body, time_point now);

/// Runs the timers; called every 20 ms.
void tick(control_node& node, time_point now);

/// Proposes a command. A later flush() returns the reply.
/// @param request the request's id, chosen by the caller
/// @param command the command, with the current wall time
/// @return nothing; `not_leader`, `overloaded`, `invalid_request`, `unavailable`, or the error of
/// the table's validation. After a failure nothing was proposed and no reply follows.
result<void> submit(control_node& node, std::uint64_t request, control_command const& command);

/// Starts a linearizable read. A later flush() returns the reply.
/// @param request the request's id, chosen by the caller
/// @param query in the format that the table expects
/// @return nothing; `not_leader`, `invalid_request` or `unavailable`
result<void> read(control_node& node, std::uint64_t request, std::string const& kind,
                  std::string query, time_point now);

/// Proposes a member change. A later flush() returns an empty reply.
/// @param request the request's id, chosen by the caller
/// @return nothing; `unavailable` from a stopped replica, or the errors of propose_member()
result<void> change_member(control_node& node, std::uint64_t request, member const& changed,
                           bool remove, time_point now);

/// Syncs everything queued since the last call, then applies the committed entries.
/// @return messages and replies, or the error that stopped the replica
control_node_output flush(control_node& node, time_point now);

/// The fencing token to send with orders to targets.
/// @param now the time, read after the decision to send
/// @return the term while the lease is held; nothing otherwise
std::optional<std::uint64_t> current_fencing_token(control_node const& node, time_point now);

/// The leader's name.
/// @return the name, empty when unknown
std::string const& leader_of(control_node const& node);

/// Status of a replica for operators and metrics.
struct control_node_status {
    std::string name;
    std::uint64_t disk{0};
    replica_role role{replica_role::follower};
    std::string leader; ///< empty when unknown
    std::uint64_t term{0};
    std::uint64_t commit_index{0};
    std::uint64_t applied_index{0};
    std::uint64_t snapshot_index{0}; ///< last entry that the snapshot covers
    membership members;              ///< active lists; joint during a change
    bool lease_held{false};          ///< this replica is the leader and holds the lease
    std::uint64_t appends{0};        ///< log records since the start
    std::uint64_t syncs{0};          ///< log syncs since the start
    std::uint64_t torn_bytes{0};
    /// Leader only: number of entries missing at each member.
    std::map<std::string, std::uint64_t> lag;
};

/// Reads a replica's status.
control_node_status status_of(control_node const& node, time_point now);

/// Makes this replica the only member of a new cluster, after a majority of the old one is
/// permanently lost. Entries that only the lost replicas held are lost. Must be called directly
/// after open_control_node(); the other replicas must then start with empty data folders.
/// @return nothing, or `disk_failure`
result<void> force_sole_member(control_node& node, time_point now);

} // namespace fireflycrank
