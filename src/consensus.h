/// @file
/// The consensus protocol of the replicated control log, a variant of Raft, as a pure state
/// machine: each function takes the replica's state, an event and the current time, and returns the
/// actions to perform. docs/control-log.md describes the protocol and its safety argument.
#pragma once

#include "clock.h"
#include "error.h"
#include "rng.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fireflycrank {

/// A replica is identified by its name and its disk's identity. A replica whose disk was wiped
/// counts as a different one: the votes and acknowledgements stored on the old disk do not hold for
/// the new one.
struct member {
    std::string name;
    std::uint64_t disk{0};
    bool voter{false}; ///< false for a learner, which receives entries but counts in no majority
    bool operator==(member const&) const = default;
};

/// Members sorted by name.
using member_list = std::vector<member>;

/// The active member lists. A change first appends a joint entry, under which every decision needs
/// a majority of both lists. Once that is committed, the leader appends the new list alone.
struct membership {
    member_list current;
    member_list previous; ///< the old list during a change; empty otherwise
    bool operator==(membership const&) const = default;
};

/// What a log entry holds.
enum class entry_kind {
    noop,    ///< appended by each new leader, so that it can commit in its own term
    command, ///< opaque bytes for the replicated state machine
    members  ///< a new member list, effective as soon as it is appended
};

/// One entry of the log.
struct log_entry {
    std::uint64_t index{0};
    std::uint64_t term{0};
    entry_kind kind{entry_kind::noop};
    std::string data;   ///< for a command
    membership members; ///< for a member change
    bool operator==(log_entry const&) const = default;
};

/// State that must be on disk before the replica sends any message that depends on it.
struct hard_state {
    std::uint64_t cluster{0}; ///< 0 until the replica belongs to a cluster
    std::uint64_t term{0};
    std::string vote; ///< NAME/DISK that this replica voted for in the term; empty if none
    bool operator==(hard_state const&) const = default;
};

/// Describes the part of the log that a snapshot covers.
struct snapshot_meta {
    std::uint64_t index{0}; ///< last log entry covered
    std::uint64_t term{0};  ///< term of that entry
    membership members;     ///< member lists as of that entry
    std::string digest;     ///< SHA-256 of the data
};

/// A snapshot of the replicated state.
struct snapshot_data {
    snapshot_meta meta;
    std::shared_ptr<std::string const> bytes;
};

/// Kinds of messages between replicas.
enum class message_kind {
    hello,       ///< sent by a replica that knows no leader; reports its name and disk
    hello_reply, ///< says whether the answering replica belongs to a cluster
    pre_vote,    ///< asks whether the receiver would grant a vote; changes no state there
    pre_vote_reply,
    vote,
    vote_reply,
    append, ///< entries, commit index and heartbeat
    append_reply,
    snapshot_chunk,
    snapshot_reply
};

/// A message between replicas. Unused fields keep their defaults.
struct consensus_message {
    message_kind kind{message_kind::hello};
    std::string from;
    std::uint64_t from_disk{0};
    std::string to;
    std::uint64_t to_disk{0}; ///< 0 when the sender does not know it
    std::uint64_t cluster{0};
    std::uint64_t term{0};
    std::uint64_t index{0}; ///< append: entry before `entries`; vote requests: last entry; replies:
                            ///< last matching entry
    std::uint64_t log_term{0}; ///< term of that entry
    std::uint64_t commit_index{0};
    std::vector<log_entry> entries;
    bool success{false};
    std::uint64_t reject_hint{0}; ///< rejected append: the leader continues after this index
    std::int64_t sent_at{0};      ///< the leader's clock in ns, echoed in replies
    snapshot_meta snapshot;
    std::uint64_t offset{0}; ///< snapshot_chunk: byte offset; snapshot_reply: bytes received
    std::uint64_t total{0};  ///< snapshot_chunk: size of the whole snapshot in bytes
    std::string chunk;
    std::uint64_t echo_disk{0}; ///< hello_reply: disk of the replica that sent the hello
};

/// Timeouts, size limits and options of the protocol.
struct consensus_settings {
    duration heartbeat{std::chrono::milliseconds{50}};
    /// Also how long a replica grants no vote after it heard from a leader.
    duration election_timeout_min{std::chrono::milliseconds{500}};
    duration election_timeout_max{std::chrono::milliseconds{1000}};
    /// Bound on the relative rate difference of any two replicas' monotonic clocks.
    double drift_bound{0.01};
    std::size_t max_append_bytes{std::size_t{1} << 20U}; ///< soft limit for one message's entries
    std::size_t snapshot_chunk_bytes{std::size_t{256} << 10U}; ///< snapshot data per message
    std::size_t max_uncommitted_bytes{std::size_t{64} << 20U}; ///< limit for proposals in flight
    /// Log entries kept behind a snapshot, for followers that lag slightly.
    std::size_t trailing_entries{1024};
    std::size_t trailing_bytes{std::size_t{4} << 20U};
    bool promote_learners{true}; ///< the leader makes a caught-up learner a voter
    /// Replicas that are not among the peers may join, for deployments whose replicas change their
    /// addresses.
    bool open_membership{false};
    /// An uninitialized replica may take part in bootstrapping the cluster. Set to false once the
    /// cluster exists, so that replicas that lost their disks never bootstrap a second one.
    bool allow_bootstrap{true};
    /// Linearizable reads rely on the leader's lease, which requires clocks that keep counting
    /// while the machine is suspended. If false, each read takes a round of messages.
    bool lease_reads{true};
};

/// A replica's role in the current term.
enum class replica_role { follower, pre_candidate, candidate, leader };

/// The leader's view of another member's replication progress.
struct peer_progress {
    std::uint64_t disk{0};
    std::uint64_t match_index{0}; ///< last entry known to be on its disk
    std::uint64_t next_index{1};  ///< next entry to send
    /// Newest `sent_at` that it has echoed; INT64_MIN before the first.
    std::int64_t acked_sent_at{INT64_MIN};
    time_point last_reply_at; ///< when its last reply arrived
    time_point last_sent_at;  ///< when the last message to it was sent
    /// `match_index` at the last heartbeat, to detect lost entries.
    std::uint64_t match_at_heartbeat{0};
    snapshot_data outgoing_snapshot; ///< bytes are null when no snapshot is being sent
    std::uint64_t snapshot_offset{0};
};

/// A linearizable read that waits until this replica is confirmed to be still the leader.
struct pending_read {
    std::uint64_t id{0};
    std::uint64_t read_index{0}; ///< the state machine must have applied this entry
    time_point requested_at;
    bool confirmed{false};
};

/// The state of one replica's consensus.
struct consensus_state {
    std::string name;
    std::uint64_t disk{0};
    /// Names of the replicas that may be members, including this one; sorted.
    std::vector<std::string> peers;
    std::vector<std::string> discovery_contacts; ///< further replicas to send a hello to
    consensus_settings settings;
    rng random;

    hard_state hard;
    std::deque<log_entry> log; ///< entries after `base_index`
    std::uint64_t base_index{0};
    std::uint64_t base_term{0};
    std::uint64_t commit_index{0};
    std::uint64_t durable_index{0}; ///< last entry synced to this replica's disk
    /// By index of their entry; the first applies at `base_index`.
    std::vector<std::pair<std::uint64_t, membership>> membership_log;
    snapshot_data snapshot;
    std::size_t uncommitted_bytes{0};

    replica_role role{replica_role::follower};
    std::string leader; ///< leader of the current term; empty if unknown
    time_point last_leader_contact;
    time_point election_deadline;
    time_point next_hello_at;
    std::set<std::string> votes;
    std::map<std::string, peer_progress> progress; ///< leader only
    std::uint64_t term_start_index{0};             ///< leader only: index of its no-op entry
    std::vector<pending_read> pending_reads;
    /// While bootstrapping: names and disks.
    std::map<std::string, std::uint64_t> uninitialized_peers;
    std::string incoming_snapshot; ///< part of a snapshot received so far
    snapshot_meta incoming_snapshot_meta;
};

/// Actions for the caller. The hard state and `entries` must be synced before any of the messages
/// is sent; each entry, in order, replaces all logged entries from its index on. An installed
/// snapshot replaces the log up to its index: the caller writes it and a checkpoint of the
/// remaining log.
struct consensus_actions {
    bool save_hard_state{false};
    std::vector<log_entry> entries;
    std::optional<snapshot_data> installed_snapshot;
    std::vector<consensus_message> messages;
};

/// Starts the timers, after the caller has restored `hard`, `log`, `snapshot` and the identity. The
/// replica grants no vote for one minimum election timeout, because it may have extended a leader's
/// lease just before it stopped.
void start_consensus(consensus_state& state, time_point now);

/// Handles a message from another replica.
consensus_actions step(consensus_state& state, consensus_message const& received, time_point now);

/// Runs the timers: elections, hellos, heartbeats, retransmission and promotion of learners.
consensus_actions tick(consensus_state& state, time_point now);

/// Appends a command on the leader. It is sent by the next replicate().
/// @param actions receives the entry to save
/// @return the entry's index; `not_leader` or `overloaded`
result<std::uint64_t> propose(consensus_state& state, std::string data, consensus_actions& actions);

/// Sends followers the entries they are missing; before that, completes a member change whose joint
/// entry is committed. Called once for each batch of proposals.
/// @param actions receives messages and entries
void replicate(consensus_state& state, time_point now, consensus_actions& actions);

/// Records that everything returned in actions has been synced; may advance the commit index.
void mark_durable(consensus_state& state, time_point now);

/// Registers a linearizable read on the leader.
/// @param id chosen by the caller; returned by take_ready_reads()
/// @param actions receives messages when the lease is not held and the read needs a round of
/// messages
/// @return nothing, or `not_leader`
result<void> request_read(consensus_state& state, std::uint64_t id, time_point now,
                          consensus_actions& actions);

/// Removes and returns the ids of the reads that may be answered now: leadership is confirmed for
/// them, and `applied` has reached their index.
/// @param applied index of the last entry applied to the state machine
std::vector<std::uint64_t> take_ready_reads(consensus_state& state, std::uint64_t applied,
                                            time_point now);

/// Proposes a member change on the leader: one replica at a time, and only when the previous change
/// is complete. The entry holds the joint lists; once it is committed, replicate() appends the new
/// list alone.
/// @param changed the member to add or change; for a learner, `voter` is false
/// @param remove true to remove the member of that name
/// @param actions receives the entry to save
/// @return the entry's index; `not_leader`, `conflict` or `invalid_request`
result<std::uint64_t> propose_member(consensus_state& state, member const& changed, bool remove,
                                     time_point now, consensus_actions& actions);

/// Finds a voter to remove: one that has been silent while the number of voters is even, because
/// such a cluster tolerates no more failures with it than without it. A replaced replica is thus
/// removed once its successor is a voter, while a short outage of one of an odd number of voters
/// changes nothing. Finds none while a learner answers: a wiped replica makes the number even only
/// until it votes again, and the silent voter's disk may be needed once others are lost.
/// @param min_silence minimum time since the voter's last reply
/// @return the voter, or nothing; always nothing on followers
std::optional<member> find_removable_voter(consensus_state const& state, duration min_silence,
                                           time_point now);

/// Discards the log entries that a snapshot of the state machine covers, except a limited number of
/// trailing entries for slow followers.
/// @param snapshot a snapshot at or below the commit index
void compact(consensus_state& state, snapshot_data snapshot);

/// The active member list: the newest one in the log, committed or not.
member_list const& members_of(consensus_state const& state);

/// The member lists as of a log entry, for a snapshot.
/// @param index an entry at or after `base_index`
membership const& members_at(consensus_state const& state, std::uint64_t index);

/// The index of the newest entry.
/// @return the index, 0 for an empty log
std::uint64_t last_index(consensus_state const& state);

/// The term of an entry.
/// @return its term, or nothing when it is compacted or absent
std::optional<std::uint64_t> term_at(consensus_state const& state, std::uint64_t index);

/// Whether this replica holds the leader lease, so that no other leader can have been elected.
/// @return true while this replica certainly leads and has committed an entry of its term
bool lease_holds(consensus_state const& state, time_point now);

/// The fencing token to send with orders to targets.
/// @return the term while the lease is held; nothing otherwise
std::optional<std::uint64_t> current_fencing_token(consensus_state const& state, time_point now);

} // namespace fireflycrank
