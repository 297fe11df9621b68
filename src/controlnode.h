/// @file
/// One control replica: joins consensus, write-ahead log, snapshot and replicated tables. It has no
/// sockets and no threads. A daemon calls it under one mutex: it feeds messages, requests and
/// ticks, and after each group of them calls flush(), which makes everything durable with one sync
/// and then hands out the messages to send and the replies to give.
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
    std::string name;               ///< this replica; also the destination in messages
    std::vector<std::string> peers; ///< names of all replicas of the cluster, including this one
    std::string folder;             ///< the data folder, on a disk of its own
    consensus_settings consensus;
    std::size_t snapshot_entries{2'000};                    ///< entries applied between snapshots
    std::size_t snapshot_log_bytes{std::size_t{64} << 20U}; ///< log bytes that force a snapshot
    std::size_t max_command_bytes{std::size_t{16} << 20U};  ///< largest command
};

/// The reply to a request. A failure of kind `unavailable` leaves the outcome open: the command may
/// still be committed, so the caller resends it under the same change id.
struct control_node_reply {
    std::uint64_t request{0}; ///< the caller's id
    result<std::string> outcome{std::string{}};
    std::uint64_t index{0}; ///< log index of a command; the applied index for a read
    std::uint64_t term{0};
};

/// What flush() hands out.
struct control_node_output {
    std::vector<consensus_message> messages; ///< to `message.to`; may be lost
    std::vector<control_node_reply> replies;
    std::optional<error> stop_reason; ///< the replica must end; the daemon reports this and exits
};

/// A request that waits for its entry or its proof.
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
    std::uint64_t torn_bytes{0}; ///< dropped from the log's tail at the start
    std::optional<error> stop_reason;

    control_node() = default;
    control_node(control_node const&) = delete;
    control_node& operator=(control_node const&) = delete;
    ~control_node();
};

/// Opens the data folder and recovers the replica; an empty folder makes a blank replica that joins
/// as a learner, or forms the cluster when all peers are blank.
/// @param settings the settings
/// @param files the file layer
/// @param tables the registered tables; must outlive the node
/// @param seed random bits from the machine; they also become the identity of a new disk
/// @param now the time
/// @return the replica; `corrupt_data`, `disk_failure` or `conflict` (folder in use or of another
///         replica)
result<std::unique_ptr<control_node>> open_control_node(control_node_settings settings,
                                                        file_layer files, control_state& tables,
                                                        std::uint64_t seed, time_point now);

/// Takes a message of another replica.
/// @param node the replica
/// @param received the message
/// @param now the time
void receive(control_node& node, consensus_message const& received, time_point now);

/// Takes the body of an envelope with type `consensus_message_type`.
/// @param node the replica
/// @param body the serialized message
/// @param now the time
/// @return nothing, or `corrupt_data` when it cannot be parsed; the message is then dropped
result<void> receive_bytes(control_node& node, std::string_view body, time_point now);

/// Advances timers; called every 20 ms.
/// @param node the replica
/// @param now the time
void tick(control_node& node, time_point now);

/// Proposes a command; its reply comes from a later flush().
/// @param node the replica
/// @param request the caller's id of the request
/// @param command the command, with the wall time
/// @return nothing; `not_leader`, `overloaded`, `invalid_request`, `unavailable`, or what the
///         table's validation says. On failure nothing was proposed and no reply follows.
result<void> submit(control_node& node, std::uint64_t request, control_command const& command);

/// Starts a linearizable read; its reply comes from a later flush().
/// @param node the replica
/// @param request the caller's id of the request
/// @param kind the table
/// @param question the table's question
/// @param now the time
/// @return nothing; `not_leader`, `invalid_request` or `unavailable`
result<void> read(control_node& node, std::uint64_t request, std::string const& kind,
                  std::string question, time_point now);

/// Proposes a member change; its reply (empty) comes from a later flush().
/// @param node the replica
/// @param request the caller's id of the request
/// @param changed the member
/// @param remove true to remove it
/// @param now the time
/// @return nothing; the errors of propose_member()
result<void> change_member(control_node& node, std::uint64_t request, member const& changed,
                           bool remove, time_point now);

/// Syncs all that was gathered since the last call, then applies what is committed.
/// @param node the replica
/// @param now the time
/// @return messages and replies, or the reason why the replica stopped
control_node_output flush(control_node& node, time_point now);

/// The fencing token for orders to targets.
/// @param node the replica
/// @param now the time, read after the decision to send
/// @return the term while the lease holds; nothing otherwise
std::optional<std::uint64_t> current_fencing_token(control_node const& node, time_point now);

/// The leader's name.
/// @param node the replica
/// @return the name, empty when unknown
std::string const& leader_of(control_node const& node);

/// What an operator and the metrics see of a replica.
struct control_node_status {
    std::string name;
    std::uint64_t disk{0};
    replica_role role{replica_role::follower};
    std::string leader; ///< empty when unknown
    std::uint64_t term{0};
    std::uint64_t commit_index{0};
    std::uint64_t applied_index{0};
    std::uint64_t snapshot_index{0}; ///< last entry that the snapshot covers
    membership members;              ///< in force; joint while a change is under way
    bool lease_held{false};          ///< this replica leads and its lease holds
    std::uint64_t appends{0};        ///< log records since the start
    std::uint64_t syncs{0};          ///< log syncs since the start
    std::uint64_t torn_bytes{0};
    std::map<std::string, std::uint64_t> lag; ///< leader only: entries that each member lacks
};

/// Reads a replica's status.
/// @param node the replica
/// @param now the time
/// @return the status
control_node_status status_of(control_node const& node, time_point now);

/// Makes this replica the only member of a new cluster, after the majority of the old one is lost
/// for good. Entries that only lost replicas had are gone. Must be called directly after the start;
/// the other replicas then need empty data folders.
/// @param node the replica
/// @param now the time
/// @return nothing, or `disk_failure`
result<void> force_sole_member(control_node& node, time_point now);

} // namespace fireflycrank
