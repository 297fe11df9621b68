#include "consensus.h"

#include "digest.h"

#include <algorithm>
#include <functional>

namespace fireflycrank {

namespace {

constexpr int hello_period_heartbeats = 4; // period of hellos while no leader is known

// A vote is for a name and a disk, since a replica whose disk was wiped is not the one that was
// voted for.
std::string replica_key(std::string const& name, std::uint64_t disk) {
    return name + "/" + std::to_string(disk);
}

std::int64_t to_nanoseconds(time_point time) {
    return time.time_since_epoch().count();
}

std::uint64_t last_term(consensus_state const& state) {
    return state.log.empty() ? state.base_term : state.log.back().term;
}

log_entry const& entry_at(consensus_state const& state, std::uint64_t index) {
    return state.log[index - state.base_index - 1];
}

using member_predicate = std::function<bool(member const&)>;

bool majority(member_list const& members, member_predicate const& predicate) {
    std::size_t voter_count = 0;
    std::size_t matching_count = 0;
    for (auto const& replica : members) {
        if (replica.voter) {
            ++voter_count;
            matching_count += predicate(replica) ? 1 : 0;
        }
    }
    return voter_count == 0 || matching_count > voter_count / 2;
}

// During a member change both lists need a majority, so that a replica that regains its vote counts
// only after a majority without it has recorded the change. Whether a change is in progress depends
// on the log alone: if it depended on the commit index, which a restart resets, a second failure
// could leave no quorum.
bool quorum(consensus_state const& state, member_predicate const& predicate) {
    auto const& members = state.membership_log.back().second;
    return majority(members.current, predicate) &&
           (members.previous.empty() || majority(members.previous, predicate));
}

// The members of both lists.
member_list all_members(consensus_state const& state) {
    auto const& members = state.membership_log.back().second;
    auto all = members.current;
    all.insert(all.end(), members.previous.begin(), members.previous.end());
    return all;
}

// The largest value that a quorum has reached; `lowest` if there is none.
template <class T>
T quorum_value(consensus_state const& state, T lowest,
               std::function<T(member const&)> const& value_of) {
    std::vector<T> values;
    for (auto const& replica : all_members(state)) {
        values.push_back(value_of(replica));
    }
    std::sort(values.rbegin(), values.rend());
    for (T const candidate : values) {
        if (quorum(state, [&](member const& replica) { return value_of(replica) >= candidate; })) {
            return candidate;
        }
    }
    return lowest;
}

bool is_self(consensus_state const& state, member const& replica) {
    return replica.name == state.name && replica.disk == state.disk;
}

peer_progress const* progress_of(consensus_state const& state, member const& replica) {
    auto const found = state.progress.find(replica.name);
    return found != state.progress.end() && found->second.disk == replica.disk ? &found->second
                                                                               : nullptr;
}

member const* find_member(member_list const& members, std::string const& name) {
    auto const found = std::find_if(members.begin(), members.end(),
                                    [&](member const& replica) { return replica.name == name; });
    return found == members.end() ? nullptr : &*found;
}

bool is_voter(consensus_state const& state) {
    auto const* const self = find_member(members_of(state), state.name);
    return self != nullptr && self->voter && self->disk == state.disk;
}

// Send time of the newest messages that a quorum has answered.
time_point quorum_contact_time(consensus_state const& state, time_point now) {
    auto const sent = quorum_value<std::int64_t>(state, INT64_MIN, [&](member const& replica) {
        if (is_self(state, replica)) {
            return to_nanoseconds(now);
        }
        auto const* const peer = progress_of(state, replica);
        return peer == nullptr ? INT64_MIN : peer->acked_sent_at;
    });
    return time_point{duration{sent}};
}

bool within(time_point since, time_point now, duration span) {
    return since.time_since_epoch().count() != INT64_MIN && now - since < span;
}

// While true, this replica may have extended a leader's lease, so it must not vote for another
// leader.
bool has_recent_leader_contact(consensus_state const& state, time_point now) {
    if (state.role == replica_role::leader) {
        return within(quorum_contact_time(state, now), now, state.settings.election_timeout_min);
    }
    return now - state.last_leader_contact < state.settings.election_timeout_min;
}

// Randomized timeouts avoid repeated split votes.
void reset_election_deadline(consensus_state& state, time_point now) {
    auto const& settings = state.settings;
    auto const spread = static_cast<std::uint64_t>(
        (settings.election_timeout_max - settings.election_timeout_min).count());
    state.election_deadline =
        now + settings.election_timeout_min +
        duration{static_cast<std::int64_t>(next_below(state.random, spread + 1))};
}

consensus_message make_message(consensus_state const& state, message_kind kind,
                               std::string const& to, std::uint64_t to_disk) {
    consensus_message outgoing;
    outgoing.kind = kind;
    outgoing.from = state.name;
    outgoing.from_disk = state.disk;
    outgoing.to = to;
    outgoing.to_disk = to_disk;
    outgoing.cluster = state.hard.cluster;
    outgoing.term = state.hard.term;
    return outgoing;
}

// Echoes the cluster id, since an uninitialized replica has none of its own, and the send time,
// from which the leader computes its lease.
consensus_message make_reply(consensus_state const& state, message_kind kind,
                             consensus_message const& received) {
    consensus_message outgoing = make_message(state, kind, received.from, received.from_disk);
    outgoing.cluster = received.cluster;
    outgoing.sent_at = received.sent_at;
    return outgoing;
}

// Also drops pending reads, which only a leader can confirm.
void become_follower(consensus_state& state, std::uint64_t term, std::string leader, time_point now,
                     consensus_actions& actions) {
    if (term > state.hard.term) {
        state.hard.term = term;
        state.hard.vote.clear();
        actions.save_hard_state = true;
    }
    state.role = replica_role::follower;
    state.leader = std::move(leader);
    state.votes.clear();
    state.progress.clear();
    state.pending_reads.clear();
    reset_election_deadline(state, now);
}

// Rebuilds the progress table for the active members. A member whose disk changed starts over,
// since nothing is known to be on its new disk.
void rebuild_progress(consensus_state& state, time_point now) {
    std::map<std::string, peer_progress> rebuilt;
    for (auto const& replica : members_of(state)) {
        if (is_self(state, replica)) {
            continue;
        }
        if (progress_of(state, replica) != nullptr) {
            rebuilt[replica.name] = state.progress[replica.name];
        } else {
            auto& added = rebuilt[replica.name];
            added.disk = replica.disk;
            added.next_index = last_index(state) + 1;
            added.last_reply_at = now;
        }
    }
    state.progress = std::move(rebuilt);
}

void append_entry(consensus_state& state, log_entry entry, consensus_actions& actions) {
    if (entry.kind == entry_kind::members) {
        state.membership_log.emplace_back(entry.index, entry.members);
    }
    state.uncommitted_bytes += entry.data.size();
    actions.entries.push_back(entry);
    state.log.push_back(std::move(entry));
}

// Removes the entries from `index` on, which another leader has replaced, together with their
// member lists.
void truncate_from(consensus_state& state, std::uint64_t index) {
    while (last_index(state) >= index) {
        state.log.pop_back();
    }
    while (state.membership_log.size() > 1 && state.membership_log.back().first >= index) {
        state.membership_log.pop_back();
    }
    state.durable_index = std::min(state.durable_index, index - 1);
}

// Never decreases the commit index. Committed entries no longer count as proposals in flight.
void advance_commit(consensus_state& state, std::uint64_t index) {
    for (auto position = state.commit_index + 1; position <= index && position > state.base_index;
         ++position) {
        auto const size = entry_at(state, position).data.size();
        state.uncommitted_bytes -= std::min(state.uncommitted_bytes, size);
    }
    state.commit_index = std::max(state.commit_index, index);
}

// A leader counts acknowledgements only for entries of its own term; earlier entries are committed
// with them.
void update_commit_index(consensus_state& state) {
    if (state.role != replica_role::leader) {
        return;
    }
    auto const quorum_index = quorum_value<std::uint64_t>(state, 0, [&](member const& replica) {
        if (is_self(state, replica)) {
            return state.durable_index;
        }
        auto const* const peer = progress_of(state, replica);
        return peer == nullptr ? std::uint64_t{0} : peer->match_index;
    });
    if (quorum_index > state.commit_index && term_at(state, quorum_index) == state.hard.term) {
        advance_commit(state, quorum_index);
    }
}

// Continues the snapshot whose transfer has begun, so that a newer one does not restart it.
void send_chunk(consensus_state& state, std::string const& name, peer_progress& peer,
                time_point now, consensus_actions& actions) {
    if (peer.outgoing_snapshot.bytes == nullptr) {
        peer.outgoing_snapshot = state.snapshot;
        peer.snapshot_offset = 0;
    }
    if (peer.outgoing_snapshot.bytes == nullptr) {
        return;
    }
    auto outgoing = make_message(state, message_kind::snapshot_chunk, name, peer.disk);
    outgoing.snapshot = peer.outgoing_snapshot.meta;
    outgoing.offset = peer.snapshot_offset;
    outgoing.total = peer.outgoing_snapshot.bytes->size();
    outgoing.chunk = peer.outgoing_snapshot.bytes->substr(peer.snapshot_offset,
                                                          state.settings.snapshot_chunk_bytes);
    outgoing.sent_at = to_nanoseconds(now);
    peer.last_sent_at = now;
    actions.messages.push_back(std::move(outgoing));
}

// Advances `next_index` without waiting for the reply; the next heartbeat detects a lost message.
void send_append(consensus_state& state, std::string const& name, peer_progress& peer,
                 time_point now, consensus_actions& actions) {
    if (peer.next_index <= state.base_index || peer.outgoing_snapshot.bytes != nullptr) {
        send_chunk(state, name, peer, now, actions);
        return;
    }
    auto outgoing = make_message(state, message_kind::append, name, peer.disk);
    outgoing.index = peer.next_index - 1;
    outgoing.log_term = term_at(state, outgoing.index).value_or(0);
    outgoing.commit_index = state.commit_index;
    outgoing.sent_at = to_nanoseconds(now);
    std::size_t bytes = 0;
    while (peer.next_index <= last_index(state) && bytes < state.settings.max_append_bytes) {
        outgoing.entries.push_back(entry_at(state, peer.next_index));
        bytes += outgoing.entries.back().data.size();
        ++peer.next_index;
    }
    peer.last_sent_at = now;
    actions.messages.push_back(std::move(outgoing));
}

// The no-op lets the leader commit entries of earlier terms.
void become_leader(consensus_state& state, time_point now, consensus_actions& actions) {
    state.role = replica_role::leader;
    state.leader = state.name;
    state.votes.clear();
    state.pending_reads.clear();
    state.progress.clear();
    state.uncommitted_bytes = 0;
    for (auto position = state.commit_index + 1; position <= last_index(state); ++position) {
        state.uncommitted_bytes += entry_at(state, position).data.size();
    }
    rebuild_progress(state, now);
    state.term_start_index = last_index(state) + 1;
    append_entry(state, {state.term_start_index, state.hard.term, entry_kind::noop, {}, {}},
                 actions);
    replicate(state, now, actions);
}

bool has_votes(consensus_state const& state) {
    return quorum(state, [&](member const& replica) {
        return state.votes.contains(replica_key(replica.name, replica.disk));
    });
}

void ask_for_votes(consensus_state& state, message_kind kind, std::uint64_t term,
                   consensus_actions& actions) {
    state.votes = {replica_key(state.name, state.disk)};
    std::set<std::string> contacted = state.votes;
    for (auto const& replica : all_members(state)) {
        if (!replica.voter || !contacted.insert(replica_key(replica.name, replica.disk)).second) {
            continue;
        }
        auto outgoing = make_message(state, kind, replica.name, replica.disk);
        outgoing.term = term;
        outgoing.index = last_index(state);
        outgoing.log_term = last_term(state);
        actions.messages.push_back(std::move(outgoing));
    }
}

// Like any vote, the vote for itself is saved before messages are sent.
void campaign(consensus_state& state, time_point now, consensus_actions& actions) {
    state.role = replica_role::candidate;
    ++state.hard.term;
    state.hard.vote = replica_key(state.name, state.disk);
    actions.save_hard_state = true;
    reset_election_deadline(state, now);
    ask_for_votes(state, message_kind::vote, state.hard.term, actions);
    if (has_votes(state)) {
        become_leader(state, now, actions);
    }
}

void pre_campaign(consensus_state& state, time_point now, consensus_actions& actions) {
    state.role = replica_role::pre_candidate;
    state.leader.clear();
    reset_election_deadline(state, now);
    ask_for_votes(state, message_kind::pre_vote, state.hard.term + 1, actions);
    if (has_votes(state)) {
        campaign(state, now, actions);
    }
}

// A candidate must hold every committed entry, so its log must be at least as up to date as this
// replica's.
bool log_is_up_to_date(consensus_state const& state, consensus_message const& request) {
    return request.log_term > last_term(state) ||
           (request.log_term == last_term(state) && request.index >= last_index(state));
}

void on_pre_vote(consensus_state& state, consensus_message const& request, time_point now,
                 consensus_actions& actions) {
    auto reply = make_reply(state, message_kind::pre_vote_reply, request);
    reply.success = request.term > state.hard.term && !has_recent_leader_contact(state, now) &&
                    log_is_up_to_date(state, request);
    reply.term = reply.success ? request.term : state.hard.term;
    actions.messages.push_back(std::move(reply));
}

void on_vote(consensus_state& state, consensus_message const& request, time_point now,
             consensus_actions& actions) {
    auto reply = make_reply(state, message_kind::vote_reply, request);
    auto const key = replica_key(request.from, request.from_disk);
    bool const may_vote = state.hard.vote.empty() || state.hard.vote == key;
    reply.success = may_vote && log_is_up_to_date(state, request);
    if (reply.success) {
        state.hard.vote = key;
        actions.save_hard_state = true;
        reset_election_deadline(state, now);
    }
    actions.messages.push_back(std::move(reply));
}

void on_vote_reply(consensus_state& state, consensus_message const& reply, time_point now,
                   consensus_actions& actions) {
    bool const is_pre_vote = reply.kind == message_kind::pre_vote_reply;
    auto const expected_role = is_pre_vote ? replica_role::pre_candidate : replica_role::candidate;
    auto const term = state.hard.term + (is_pre_vote ? 1 : 0);
    if (state.role != expected_role || !reply.success || reply.term != term) {
        return;
    }
    state.votes.insert(replica_key(reply.from, reply.from_disk));
    if (!has_votes(state)) {
        return;
    }
    if (is_pre_vote) {
        campaign(state, now, actions);
    } else {
        become_leader(state, now, actions);
    }
}

// An uninitialized replica joins the cluster of the leader that addressed its disk.
void accept_leader(consensus_state& state, consensus_message const& received, time_point now,
                   consensus_actions& actions) {
    if (state.hard.cluster == 0) {
        state.hard.cluster = received.cluster;
        actions.save_hard_state = true;
    }
    become_follower(state, received.term, received.from, now, actions);
    state.last_leader_contact = now;
}

// The index after which the leader should continue on a mismatch: skips all entries of the
// conflicting term.
std::uint64_t find_reject_hint(consensus_state const& state, std::uint64_t index) {
    if (index > last_index(state)) {
        return last_index(state);
    }
    auto const term = term_at(state, index);
    auto hint = index - 1;
    while (hint > state.commit_index && term_at(state, hint) == term) {
        --hint;
    }
    return hint;
}

void on_append(consensus_state& state, consensus_message const& received, time_point now,
               consensus_actions& actions) {
    for (std::size_t position = 0; position < received.entries.size(); ++position) {
        if (received.entries[position].index != received.index + 1 + position) {
            return; // a gap would store entries at wrong indexes
        }
    }
    accept_leader(state, received, now, actions);
    auto reply = make_reply(state, message_kind::append_reply, received);
    reply.index = received.index;
    bool const covered = received.index < state.base_index;
    if (!covered && term_at(state, received.index) != received.log_term) {
        reply.reject_hint = find_reject_hint(state, received.index);
        actions.messages.push_back(std::move(reply));
        return;
    }
    for (auto const& entry : received.entries) {
        if (entry.index <= state.base_index || term_at(state, entry.index) == entry.term) {
            continue;
        }
        if (entry.index <= state.commit_index) {
            return; // committed entries never change, so no correct leader sends this
        }
        truncate_from(state, entry.index);
        append_entry(state, entry, actions);
    }
    auto const match = received.index + received.entries.size();
    advance_commit(state, std::min(received.commit_index, match));
    reply.success = true;
    reply.index = covered ? std::max(match, state.commit_index) : match;
    actions.messages.push_back(std::move(reply));
}

void on_append_reply(consensus_state& state, consensus_message const& reply, time_point now,
                     consensus_actions& actions) {
    auto const found = state.progress.find(reply.from);
    if (state.role != replica_role::leader || found == state.progress.end() ||
        found->second.disk != reply.from_disk) {
        return;
    }
    auto& peer = found->second;
    peer.last_reply_at = now;
    peer.acked_sent_at = std::max(peer.acked_sent_at, reply.sent_at);
    if (reply.kind == message_kind::snapshot_reply) {
        if (peer.outgoing_snapshot.bytes != nullptr &&
            reply.index == peer.outgoing_snapshot.meta.index &&
            reply.offset != peer.snapshot_offset) {
            peer.snapshot_offset =
                std::min<std::uint64_t>(reply.offset, peer.outgoing_snapshot.bytes->size());
            send_chunk(state, reply.from, peer, now, actions);
        }
        return;
    }
    if (reply.success) {
        peer.match_index = std::max(peer.match_index, std::min(reply.index, last_index(state)));
        peer.next_index = std::max(peer.next_index, peer.match_index + 1);
        if (peer.outgoing_snapshot.bytes != nullptr &&
            peer.match_index >= peer.outgoing_snapshot.meta.index) {
            peer.outgoing_snapshot = {};
        }
        update_commit_index(state);
        if (peer.next_index <= last_index(state)) {
            send_append(state, reply.from, peer, now, actions);
        }
    } else if (reply.index > peer.match_index && reply.reject_hint + 1 < peer.next_index) {
        peer.next_index = std::max(peer.match_index, reply.reject_hint) + 1;
        send_append(state, reply.from, peer, now, actions);
    }
}

// Replaces the log by the received snapshot, except for entries that are known to follow it.
void install_received_snapshot(consensus_state& state, consensus_actions& actions) {
    snapshot_data data{std::move(state.incoming_snapshot_meta),
                       std::make_shared<std::string const>(std::move(state.incoming_snapshot))};
    state.incoming_snapshot.clear();
    state.incoming_snapshot_meta = {};
    auto const& meta = data.meta;
    if (term_at(state, meta.index) == meta.term) {
        state.log.erase(state.log.begin(), state.log.begin() + static_cast<std::ptrdiff_t>(
                                                                   meta.index - state.base_index));
        std::erase_if(state.membership_log,
                      [&](auto const& item) { return item.first <= meta.index; });
    } else {
        state.log.clear();
        state.membership_log.clear();
    }
    state.membership_log.insert(state.membership_log.begin(), {meta.index, meta.members});
    state.base_index = meta.index;
    state.base_term = meta.term;
    state.commit_index = std::max(state.commit_index, meta.index);
    state.durable_index = std::max(std::min(state.durable_index, last_index(state)), meta.index);
    state.snapshot = data;
    actions.installed_snapshot = std::move(data);
}

void on_snapshot_chunk(consensus_state& state, consensus_message const& received, time_point now,
                       consensus_actions& actions) {
    accept_leader(state, received, now, actions);
    auto const& meta = received.snapshot;
    auto complete_reply = make_reply(state, message_kind::append_reply, received);
    complete_reply.success = true;
    if (meta.index <= state.commit_index) {
        complete_reply.index = state.commit_index;
        actions.messages.push_back(std::move(complete_reply));
        return;
    }
    if (state.incoming_snapshot_meta.index != meta.index ||
        state.incoming_snapshot_meta.digest != meta.digest) {
        state.incoming_snapshot.clear();
        state.incoming_snapshot_meta = meta;
    }
    if (received.offset == state.incoming_snapshot.size()) {
        state.incoming_snapshot += received.chunk;
    }
    if (state.incoming_snapshot.size() >= received.total) {
        if (sha256_hex(state.incoming_snapshot) == meta.digest) {
            install_received_snapshot(state, actions);
            complete_reply.index = state.commit_index;
            actions.messages.push_back(std::move(complete_reply));
            return;
        }
        state.incoming_snapshot.clear();
    }
    auto progress_reply = make_reply(state, message_kind::snapshot_reply, received);
    progress_reply.index = meta.index;
    progress_reply.offset = state.incoming_snapshot.size();
    actions.messages.push_back(std::move(progress_reply));
}

result<void> check_member_change(consensus_state const& state) {
    if (state.role != replica_role::leader) {
        return fail(error_kind::not_leader, "this replica is not the leader",
                    "ask " + state.leader);
    }
    auto const& [index, members] = state.membership_log.back();
    if (!members.previous.empty() || index > state.commit_index ||
        state.commit_index < state.term_start_index) {
        return fail(error_kind::conflict, "the previous member change is not complete yet",
                    "retry when it is");
    }
    return ok();
}

void complete_member_change(consensus_state& state, consensus_actions& actions) {
    auto const [index, members] = state.membership_log.back();
    if (members.previous.empty() || index > state.commit_index ||
        state.commit_index < state.term_start_index) {
        return;
    }
    append_entry(
        state,
        {last_index(state) + 1, state.hard.term, entry_kind::members, {}, {members.current, {}}},
        actions);
}

// A replica with a known name and an unknown disk has lost its disk. It becomes a learner, so that
// the votes and acknowledgements stored on the lost disk no longer count.
void handle_join(consensus_state& state, consensus_message const& hello, time_point now,
                 consensus_actions& actions) {
    bool const may_join = state.settings.open_membership ||
                          std::binary_search(state.peers.begin(), state.peers.end(), hello.from);
    if (state.role != replica_role::leader || !may_join ||
        (hello.cluster != 0 && hello.cluster != state.hard.cluster)) {
        return;
    }
    auto const* const known = find_member(members_of(state), hello.from);
    if (known != nullptr) {
        auto const* const peer = progress_of(state, *known);
        bool const old_disk_lives = peer != nullptr && peer->acked_sent_at != INT64_MIN &&
                                    now - peer->last_reply_at < state.settings.election_timeout_max;
        if (known->disk == hello.from_disk || old_disk_lives) {
            return;
        }
    }
    // If the proposal is refused, the replica's next hello repeats it.
    if (propose_member(state, {hello.from, hello.from_disk, false}, false, now, actions)) {
        replicate(state, now, actions);
    }
}

// Bootstraps the cluster: the peer whose name sorts first does this once every other peer has
// reported that it is uninitialized. After that no peer can bootstrap another cluster, since not
// all peers are uninitialized.
void bootstrap_cluster(consensus_state& state, time_point now, consensus_actions& actions) {
    member_list members;
    for (auto const& name : state.peers) {
        auto const disk = name == state.name ? state.disk : state.uninitialized_peers[name];
        members.push_back({name, disk, true});
    }
    state.uninitialized_peers.clear();
    state.hard.cluster = next_bits(state.random) | 1U;
    state.hard.term = std::max<std::uint64_t>(state.hard.term, 1);
    actions.save_hard_state = true;
    append_entry(state, {1, state.hard.term, entry_kind::members, {}, {std::move(members), {}}},
                 actions);
    pre_campaign(state, now, actions);
}

void on_hello(consensus_state& state, consensus_message const& received, time_point now,
              consensus_actions& actions) {
    auto reply = make_message(state, message_kind::hello_reply, received.from, received.from_disk);
    reply.echo_disk = received.from_disk;
    actions.messages.push_back(std::move(reply));
    handle_join(state, received, now, actions);
}

void on_hello_reply(consensus_state& state, consensus_message const& reply, time_point now,
                    consensus_actions& actions) {
    bool const uninitialized = state.hard.cluster == 0 && last_index(state) == 0;
    if (!uninitialized || !state.settings.allow_bootstrap || reply.echo_disk != state.disk ||
        state.peers.front() != state.name) {
        return;
    }
    if (reply.cluster != 0) {
        state.uninitialized_peers.clear();
        return;
    }
    state.uninitialized_peers[reply.from] = reply.from_disk;
    bool const all_uninitialized =
        std::all_of(state.peers.begin(), state.peers.end(), [&](auto const& name) {
            return name == state.name || state.uninitialized_peers.contains(name);
        });
    if (all_uninitialized) {
        bootstrap_cluster(state, now, actions);
    }
}

// Tells an outdated leader or candidate the current term.
void reject_old_term(consensus_state const& state, consensus_message const& received,
                     consensus_actions& actions) {
    auto kind = message_kind::append_reply;
    if (received.kind == message_kind::vote) {
        kind = message_kind::vote_reply;
    } else if (received.kind == message_kind::pre_vote) {
        kind = message_kind::pre_vote_reply;
    } else if (received.kind != message_kind::append &&
               received.kind != message_kind::snapshot_chunk) {
        return;
    }
    actions.messages.push_back(make_reply(state, kind, received));
}

void dispatch(consensus_state& state, consensus_message const& received, time_point now,
              consensus_actions& actions) {
    switch (received.kind) {
    case message_kind::hello:
    case message_kind::hello_reply:
        return;
    case message_kind::pre_vote:
        on_pre_vote(state, received, now, actions);
        return;
    case message_kind::vote:
        on_vote(state, received, now, actions);
        return;
    case message_kind::pre_vote_reply:
    case message_kind::vote_reply:
        on_vote_reply(state, received, now, actions);
        return;
    case message_kind::append:
        if (state.role != replica_role::leader) {
            on_append(state, received, now, actions);
        }
        return;
    case message_kind::snapshot_chunk:
        if (state.role != replica_role::leader) {
            on_snapshot_chunk(state, received, now, actions);
        }
        return;
    case message_kind::append_reply:
    case message_kind::snapshot_reply:
        on_append_reply(state, received, now, actions);
        return;
    }
}

void tick_leader(consensus_state& state, time_point now, consensus_actions& actions) {
    auto const& settings = state.settings;
    bool const has_quorum = quorum(state, [&](member const& replica) {
        if (is_self(state, replica)) {
            return true;
        }
        auto const* const peer = progress_of(state, replica);
        return peer != nullptr && now - peer->last_reply_at < settings.election_timeout_max;
    });
    if (!has_quorum) {
        become_follower(state, state.hard.term, {}, now, actions);
        return;
    }
    update_commit_index(state);
    for (auto const& replica : members_of(state)) {
        auto const* const peer = progress_of(state, replica);
        if (settings.promote_learners && !replica.voter && peer != nullptr &&
            peer->match_index >= state.commit_index &&
            now - peer->last_reply_at < settings.election_timeout_min &&
            propose_member(state, {replica.name, replica.disk, true}, false, now, actions)) {
            break; // one replica at a time; the list has changed
        }
    }
    for (auto& [name, peer] : state.progress) {
        if (now - peer.last_sent_at < settings.heartbeat) {
            continue;
        }
        // No progress since the last heartbeat means that the entries sent were lost, so they are
        // sent again. Before the first match, the hints of rejected appends determine `next_index`.
        if (peer.match_index == peer.match_at_heartbeat && peer.match_index > 0) {
            peer.next_index = peer.match_index + 1;
        }
        peer.match_at_heartbeat = peer.match_index;
        send_append(state, name, peer, now, actions);
    }
}

void tick_follower(consensus_state& state, time_point now, consensus_actions& actions) {
    bool const uninitialized = state.hard.cluster == 0;
    if (is_voter(state)) {
        if (now >= state.election_deadline) {
            pre_campaign(state, now, actions);
        }
        return;
    }
    if (now < state.next_hello_at || (!uninitialized && has_recent_leader_contact(state, now))) {
        return;
    }
    state.next_hello_at = now + state.settings.heartbeat * hello_period_heartbeats;
    if (uninitialized && state.settings.allow_bootstrap && state.peers.size() == 1 &&
        state.peers.front() == state.name) {
        bootstrap_cluster(state, now, actions);
        return;
    }
    std::set<std::string> contacted{state.peers.begin(), state.peers.end()};
    contacted.insert(state.discovery_contacts.begin(), state.discovery_contacts.end());
    for (auto const& name : contacted) {
        if (name != state.name) {
            actions.messages.push_back(make_message(state, message_kind::hello, name, 0));
        }
    }
}

} // namespace

void start_consensus(consensus_state& state, time_point now) {
    std::sort(state.peers.begin(), state.peers.end());
    state.role = replica_role::follower;
    state.leader.clear();
    state.last_leader_contact = now;
    state.next_hello_at = now;
    state.durable_index = last_index(state);
    state.commit_index = std::max(state.commit_index, state.base_index);
    if (state.membership_log.empty()) {
        state.membership_log.emplace_back(state.base_index, state.snapshot.meta.members);
    }
    reset_election_deadline(state, now);
}

consensus_actions step(consensus_state& state, consensus_message const& received, time_point now) {
    consensus_actions actions;
    if (received.to != state.name || received.from == state.name ||
        (received.to_disk != 0 && received.to_disk != state.disk)) {
        return actions;
    }
    if (received.kind == message_kind::hello) {
        on_hello(state, received, now, actions);
        return actions;
    }
    if (received.kind == message_kind::hello_reply) {
        on_hello_reply(state, received, now, actions);
        return actions;
    }
    if (received.cluster == 0 ||
        (state.hard.cluster != 0 && received.cluster != state.hard.cluster)) {
        return actions;
    }
    // Ignored without adopting the term, since this replica may have extended a leader's lease.
    if (received.kind == message_kind::vote && has_recent_leader_contact(state, now)) {
        return actions;
    }
    bool const keeps_term = received.kind == message_kind::pre_vote ||
                            (received.kind == message_kind::pre_vote_reply && received.success);
    if (received.term > state.hard.term && !keeps_term) {
        become_follower(state, received.term, {}, now, actions);
    }
    if (received.term < state.hard.term) {
        reject_old_term(state, received, actions);
        return actions;
    }
    dispatch(state, received, now, actions);
    return actions;
}

consensus_actions tick(consensus_state& state, time_point now) {
    consensus_actions actions;
    if (state.role == replica_role::leader) {
        tick_leader(state, now, actions);
    } else {
        tick_follower(state, now, actions);
    }
    return actions;
}

result<std::uint64_t> propose(consensus_state& state, std::string data,
                              consensus_actions& actions) {
    if (state.role != replica_role::leader) {
        return fail(error_kind::not_leader, "this replica is not the leader",
                    "ask " + state.leader);
    }
    if (state.uncommitted_bytes > 0 &&
        state.uncommitted_bytes + data.size() > state.settings.max_uncommitted_bytes) {
        return fail(error_kind::overloaded, "too many uncommitted bytes", "retry later");
    }
    auto const index = last_index(state) + 1;
    append_entry(state, {index, state.hard.term, entry_kind::command, std::move(data), {}},
                 actions);
    return index;
}

void replicate(consensus_state& state, time_point now, consensus_actions& actions) {
    if (state.role != replica_role::leader) {
        return;
    }
    complete_member_change(state, actions);
    for (auto& [name, peer] : state.progress) {
        if (peer.next_index <= last_index(state) && peer.outgoing_snapshot.bytes == nullptr) {
            send_append(state, name, peer, now, actions);
        }
    }
}

void mark_durable(consensus_state& state, time_point /*now*/) {
    state.durable_index = last_index(state);
    update_commit_index(state);
}

result<void> request_read(consensus_state& state, std::uint64_t id, time_point now,
                          consensus_actions& actions) {
    if (state.role != replica_role::leader) {
        return fail(error_kind::not_leader, "this replica is not the leader",
                    "ask " + state.leader);
    }
    bool const lease_held = state.settings.lease_reads && lease_holds(state, now);
    state.pending_reads.push_back(
        {id, std::max(state.commit_index, state.term_start_index), now, lease_held});
    if (!lease_held) {
        for (auto& [name, peer] : state.progress) {
            send_append(state, name, peer, now, actions);
        }
    }
    return ok();
}

std::vector<std::uint64_t> take_ready_reads(consensus_state& state, std::uint64_t applied,
                                            time_point now) {
    std::vector<std::uint64_t> ready_ids;
    if (state.role != replica_role::leader || state.pending_reads.empty()) {
        return ready_ids;
    }
    bool const lease_held = state.settings.lease_reads && lease_holds(state, now);
    auto const confirmed_at = quorum_contact_time(state, now);
    std::erase_if(state.pending_reads, [&](pending_read const& read) {
        bool const confirmed = read.confirmed || lease_held || confirmed_at >= read.requested_at;
        if (!confirmed || applied < read.read_index) {
            return false;
        }
        ready_ids.push_back(read.id);
        return true;
    });
    return ready_ids;
}

result<std::uint64_t> propose_member(consensus_state& state, member const& changed, bool remove,
                                     time_point now, consensus_actions& actions) {
    if (auto allowed = check_member_change(state); !allowed) {
        return boost::outcome_v2::failure(std::move(allowed).error());
    }
    auto members = members_of(state);
    auto const* const known = find_member(members, changed.name);
    if (changed.name == state.name || (remove && known == nullptr)) {
        return fail(error_kind::invalid_request,
                    "cannot change member " + changed.name + ": it is this leader or not a member",
                    "name another member; to change the leader, restart it first");
    }
    std::erase_if(members, [&](member const& replica) { return replica.name == changed.name; });
    if (!remove) {
        members.push_back(changed);
        std::sort(members.begin(), members.end(),
                  [](member const& left, member const& right) { return left.name < right.name; });
    }
    if (members == members_of(state)) {
        return fail(error_kind::conflict, "the member list already contains this change",
                    "nothing to do");
    }
    auto const index = last_index(state) + 1;
    append_entry(
        state,
        {index, state.hard.term, entry_kind::members, {}, {std::move(members), members_of(state)}},
        actions);
    rebuild_progress(state, now);
    return index;
}

std::optional<member> find_removable_voter(consensus_state const& state, duration min_silence,
                                           time_point now) {
    if (state.role != replica_role::leader) {
        return std::nullopt;
    }
    std::size_t voters = 0;
    std::optional<member> silent_voter;
    for (auto const& replica : members_of(state)) {
        voters += replica.voter ? 1 : 0;
        auto const* const peer = progress_of(state, replica);
        bool const is_silent = !is_self(state, replica) &&
                               (peer == nullptr || now - peer->last_reply_at > min_silence);
        if (!replica.voter && !is_silent) {
            return std::nullopt; // its vote is due, and the number of voters is then odd
        }
        if (replica.voter && is_silent) {
            silent_voter = replica;
        }
    }
    return voters % 2 == 0 && voters > 2 ? silent_voter : std::nullopt;
}

void compact(consensus_state& state, snapshot_data snapshot) {
    auto base = snapshot.meta.index;
    std::size_t bytes = 0;
    while (base > state.base_index &&
           snapshot.meta.index - base < state.settings.trailing_entries) {
        bytes += entry_at(state, base).data.size();
        if (bytes > state.settings.trailing_bytes) {
            break;
        }
        --base;
    }
    if (base > state.base_index) {
        state.base_term = term_at(state, base).value_or(state.base_term);
        auto const count = static_cast<std::ptrdiff_t>(base - state.base_index);
        state.log.erase(state.log.begin(), state.log.begin() + count);
        state.base_index = base;
        while (state.membership_log.size() > 1 && state.membership_log[1].first <= base) {
            state.membership_log.erase(state.membership_log.begin());
        }
    }
    state.snapshot = std::move(snapshot);
}

member_list const& members_of(consensus_state const& state) {
    return state.membership_log.back().second.current;
}

membership const& members_at(consensus_state const& state, std::uint64_t index) {
    auto found = state.membership_log.begin();
    for (auto position = found; position != state.membership_log.end() && position->first <= index;
         ++position) {
        found = position;
    }
    return found->second;
}

std::uint64_t last_index(consensus_state const& state) {
    return state.base_index + state.log.size();
}

std::optional<std::uint64_t> term_at(consensus_state const& state, std::uint64_t index) {
    if (index == state.base_index) {
        return state.base_term;
    }
    if (index < state.base_index || index > last_index(state)) {
        return std::nullopt;
    }
    return entry_at(state, index).term;
}

bool lease_holds(consensus_state const& state, time_point now) {
    if (state.role != replica_role::leader || state.commit_index < state.term_start_index) {
        return false;
    }
    auto const& settings = state.settings;
    auto const lease = duration{static_cast<std::int64_t>(
        static_cast<double>(settings.election_timeout_min.count()) * (1.0 - settings.drift_bound))};
    return within(quorum_contact_time(state, now), now, lease);
}

std::optional<std::uint64_t> current_fencing_token(consensus_state const& state, time_point now) {
    if (!lease_holds(state, now)) {
        return std::nullopt;
    }
    return state.hard.term;
}

} // namespace fireflycrank
