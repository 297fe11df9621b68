/// @file
/// The replicated log's agreement protocol as a pure state machine: state, message or event, and
/// the time in; actions out. docs/control-log.md describes the protocol and argues its safety.
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

/// A replica is its name together with the identity of its disk: a replica whose disk was wiped is
/// a different one, and what the old disk promised does not bind the new one.
struct member {
    std::string name;
    std::uint64_t disk{0};
    bool voter{false}; ///< false for a learner, which receives entries but never counts
    bool operator==(member const&) const = default;
};

/// Members sorted by name.
using member_list = std::vector<member>;

/// The members in force. A change passes through a joint list, in which every decision needs a
/// majority of both lists; the plain list follows once the joint one is committed.
struct membership {
    member_list current;
    member_list previous; ///< empty unless joint
    bool operator==(membership const&) const = default;
};

/// What a log entry holds.
enum class entry_kind {
    noop,    ///< appended by each new leader, so that it can commit in its own term
    command, ///< opaque bytes for the replicated state machine
    members  ///< a new member list, in force from the moment it is appended
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

/// What a replica must have synced before it sends anything that follows from it.
struct hard_state {
    std::uint64_t cluster{0}; ///< 0 until the replica belongs to a cluster
    std::uint64_t term{0};
    std::string vote; ///< whom this replica voted for in the term
    bool operator==(hard_state const&) const = default;
};

/// What a snapshot covers.
struct snapshot_meta {
    std::uint64_t index{0}; ///< last entry covered
    std::uint64_t term{0};  ///< its term
    membership members;     ///< the members at that entry
    std::string digest;     ///< SHA-256 of the data
};

/// A snapshot of the replicated state.
struct snapshot_data {
    snapshot_meta meta;
    std::shared_ptr<std::string const> bytes;
};

/// Kinds of messages between replicas.
enum class message_kind {
    hello,       ///< a replica without a leader reports its name and disk
    hello_reply, ///< says whether the answering replica belongs to a cluster
    pre_vote,    ///< would you vote for me? changes no state at the receiver
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
    std::uint64_t index{0};    ///< append: previous entry; votes: last entry; replies: last match
    std::uint64_t log_term{0}; ///< the term of that entry
    std::uint64_t commit_index{0};
    std::vector<log_entry> entries;
    bool success{false};
    std::uint64_t reject_hint{0}; ///< refused append: the index to continue after
    std::int64_t sent_at{0};      ///< the leader's clock in ns, echoed in replies
    snapshot_meta snapshot;
    std::uint64_t offset{0}; ///< snapshot: place of the chunk, or bytes received
    std::uint64_t total{0};  ///< snapshot: size
    std::string chunk;
    std::uint64_t echo_disk{0}; ///< hello_reply: the disk of the replica that asked
};

/// Times and sizes of the protocol.
struct consensus_settings {
    duration heartbeat{std::chrono::milliseconds{50}};
    /// Also the time for which a replica that heard from a leader grants no vote.
    duration election_timeout_min{std::chrono::milliseconds{500}};
    duration election_timeout_max{std::chrono::milliseconds{1000}};
    /// Bound on the relative rate difference of any two replicas' monotonic clocks.
    double drift_bound{0.01};
    std::size_t max_append_bytes{std::size_t{1} << 20U};       ///< entries in one message
    std::size_t snapshot_chunk_bytes{std::size_t{256} << 10U}; ///< of a snapshot in one message
    std::size_t max_uncommitted_bytes{std::size_t{64} << 20U}; ///< bound on proposals in flight
    std::size_t trailing_entries{1024}; ///< kept behind a snapshot for followers that lag a little
    std::size_t trailing_bytes{std::size_t{4} << 20U};
    bool promote_learners{true}; ///< the leader gives a caught-up learner its vote
    /// Replicas that no list names may join; for deployments whose replicas change their addresses.
    bool open_membership{false};
    /// A blank replica may take part in forming a cluster. False once the cluster exists somewhere,
    /// so that replicas which lost their disks never form a second one.
    bool allow_bootstrap{true};
    /// Reads rest on the leader's lease, which needs clocks that count while a machine is
    /// suspended. Otherwise each read takes a round of messages.
    bool lease_reads{true};
};

/// A replica's part in the present term.
enum class replica_role { follower, pre_candidate, candidate, leader };

/// What the leader knows of another member.
struct peer_progress {
    std::uint64_t disk{0};
    std::uint64_t match_index{0};          ///< last entry known to be on its disk
    std::uint64_t next_index{1};           ///< next entry to send
    std::int64_t acked_sent_at{INT64_MIN}; ///< newest send time it has echoed
    time_point last_reply_at;              ///< when its last reply came
    time_point last_sent_at;               ///< when the last message went out
    std::uint64_t match_at_heartbeat{0};   ///< to detect that sent entries were lost
    snapshot_data outgoing_snapshot;       ///< bytes are null when no snapshot is being sent
    std::uint64_t snapshot_offset{0};
};

/// A linearizable read that waits for the proof that this leader still leads.
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
    std::vector<std::string> peers; ///< names that may be members, including this one; sorted
    std::vector<std::string> discovery_contacts; ///< further names to ask for the cluster
    consensus_settings settings;
    rng random;

    hard_state hard;
    std::deque<log_entry> log; ///< entries after `base_index`
    std::uint64_t base_index{0};
    std::uint64_t base_term{0};
    std::uint64_t commit_index{0};
    std::uint64_t durable_index{0}; ///< last entry synced here
    std::vector<std::pair<std::uint64_t, membership>>
        membership_log; ///< by index; front at the base
    snapshot_data snapshot;
    std::size_t uncommitted_bytes{0};

    replica_role role{replica_role::follower};
    std::string leader; ///< known leader of the present term
    time_point last_leader_contact;
    time_point election_deadline;
    time_point next_hello_at;
    std::set<std::string> votes;
    std::map<std::string, peer_progress> progress; ///< leader only
    std::uint64_t term_start_index{0};             ///< leader only: index of its noop
    std::vector<pending_read> pending_reads;
    std::map<std::string, std::uint64_t> uninitialized_peers; ///< formation: names and disks
    std::string incoming_snapshot;                            ///< received part of a snapshot
    snapshot_meta incoming_snapshot_meta;
};

/// What the caller must do. `hard` and `entries` (in order; an entry replaces those from its index
/// on) must be synced before any of the messages is sent. An installed snapshot replaces the log up
/// to its index; the caller writes it and a checkpoint of the remaining log.
struct consensus_actions {
    bool save_hard_state{false};
    std::vector<log_entry> entries;
    std::optional<snapshot_data> installed_snapshot;
    std::vector<consensus_message> messages;
};

/// Starts the timers after the caller restored `hard`, `log`, `snapshot` and identity. The replica
/// grants no vote for one minimal election timeout, because it may have extended a leader's lease
/// just before it stopped.
/// @param state the replica
/// @param now the time
void start_consensus(consensus_state& state, time_point now);

/// Handles a message from another replica.
/// @param state the replica
/// @param received the message
/// @param now the time
/// @return what to do
consensus_actions step(consensus_state& state, consensus_message const& received, time_point now);

/// Advances timers: elections, heartbeats, retransmission, repair of the membership.
/// @param state the replica
/// @param now the time
/// @return what to do
consensus_actions tick(consensus_state& state, time_point now);

/// Appends a command on the leader. It is sent by the next replicate().
/// @param state the replica
/// @param data the command
/// @param actions receives the entry to save
/// @return the entry's index; `not_leader` or `overloaded`
result<std::uint64_t> propose(consensus_state& state, std::string data, consensus_actions& actions);

/// Sends entries that followers lack, after completing a member change whose joint list is
/// committed. Called once for a batch of proposals.
/// @param state the replica
/// @param now the time
/// @param actions receives messages and entries
void replicate(consensus_state& state, time_point now, consensus_actions& actions);

/// Tells that everything handed out in actions has been synced; may advance the commit index.
/// @param state the replica
/// @param now the time
void mark_durable(consensus_state& state, time_point now);

/// Registers a linearizable read on the leader.
/// @param state the replica
/// @param id the caller's id of the read
/// @param now the time
/// @param actions receives messages when the lease does not hold and a round is needed
/// @return nothing; `not_leader` or `unavailable`
result<void> request_read(consensus_state& state, std::uint64_t id, time_point now,
                          consensus_actions& actions);

/// Takes the reads that are proven linearizable once `applied` has reached their index.
/// @param state the replica
/// @param applied the last entry applied to the state machine
/// @param now the time
/// @return ids of reads that may be answered now
std::vector<std::uint64_t> take_ready_reads(consensus_state& state, std::uint64_t applied,
                                            time_point now);

/// Proposes a member change on the leader: one replica at a time, and only when the previous change
/// is complete. The entry is the joint list; replicate() appends the plain list when it is
/// committed.
/// @param state the replica
/// @param changed the member's new entry; a learner with `voter` false
/// @param remove true to remove the member of that name
/// @param now the time
/// @param actions receives the entry to save
/// @return the entry's index; `not_leader`, `conflict`, `invalid_request` or `unavailable`
result<std::uint64_t> propose_member(consensus_state& state, member const& changed, bool remove,
                                     time_point now, consensus_actions& actions);

/// Names a voter that should be removed: one that has been silent while the number of voters is
/// even. Such a cluster tolerates no more losses with it than without it. A replaced replica leaves
/// the list this way once its successor has its vote; a short loss of one of an odd number changes
/// nothing.
/// @param state the replica
/// @param silent how long a voter must have been silent
/// @param now the time
/// @return the voter, or nothing (always nothing on followers)
std::optional<member> find_removable_voter(consensus_state const& state, duration silent,
                                           time_point now);

/// Drops the log up to a snapshot of the state machine, except a short tail for slow followers.
/// @param state the replica
/// @param taken a snapshot at or below the commit index
void compact(consensus_state& state, snapshot_data taken);

/// The member list in force: the newest one in the log, committed or not.
/// @param state the replica
/// @return the members
member_list const& members_of(consensus_state const& state);

/// The members at an entry, for a snapshot.
/// @param state the replica
/// @param index an entry at or after the log's base
/// @return the members
membership const& members_at(consensus_state const& state, std::uint64_t index);

/// The index of the newest entry.
/// @param state the replica
/// @return the index, 0 for an empty log
std::uint64_t last_index(consensus_state const& state);

/// The term of an entry.
/// @param state the replica
/// @param index an entry
/// @return its term, or nothing when it is compacted or absent
std::optional<std::uint64_t> term_at(consensus_state const& state, std::uint64_t index);

/// Tells whether the leader's lease holds: no successor can have been elected.
/// @param state the replica
/// @param now the time
/// @return true while this replica certainly leads and has committed an entry of its term
bool lease_holds(consensus_state const& state, time_point now);

/// The fencing token for orders to targets.
/// @param state the replica
/// @param now the time
/// @return the term while the lease holds; nothing otherwise
std::optional<std::uint64_t> current_fencing_token(consensus_state const& state, time_point now);

} // namespace fireflycrank
