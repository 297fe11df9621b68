#include "consensus.h"

#include "digest.h"

#include <algorithm>
#include <functional>

namespace fireflycrank {

namespace {

constexpr int hello_heartbeats = 4; // a replica without a leader reports itself at this period

// A vote names the disk too: a wiped replica is not the one that was voted for.
std::string vote_key(std::string const& name, std::uint64_t disk) {
    return name + "/" + std::to_string(disk);
}

std::int64_t nanoseconds(time_point at) {
    return at.time_since_epoch().count();
}

std::uint64_t last_term(consensus_state const& state) {
    return state.log.empty() ? state.base_term : state.log.back().term;
}

log_entry const& entry_at(consensus_state const& state, std::uint64_t index) {
    return state.log[index - state.base_index - 1];
}

using member_test = std::function<bool(member const&)>;

bool majority(member_list const& members, member_test const& holds) {
    std::size_t voters = 0;
    std::size_t holding = 0;
    for (auto const& one : members) {
        if (one.voter) {
            ++voters;
            holding += holds(one) ? 1 : 0;
        }
    }
    return voters == 0 || holding > voters / 2;
}

// A joint list needs both majorities, so that a vote just given back counts only once a majority
// without it has recorded the change. What is joint follows from the log alone: were it to follow
// from the commit index, which a restart forgets, a second loss could leave no quorum.
bool quorum(consensus_state const& state, member_test const& holds) {
    auto const& members = state.membership_log.back().second;
    return majority(members.current, holds) &&
           (members.previous.empty() || majority(members.previous, holds));
}

// All members that may take part in decisions.
member_list listed(consensus_state const& state) {
    auto const& members = state.membership_log.back().second;
    auto all = members.current;
    all.insert(all.end(), members.previous.begin(), members.previous.end());
    return all;
}

// The largest value that a quorum has reached.
template <class T>
T quorum_value(consensus_state const& state, T lowest,
               std::function<T(member const&)> const& value) {
    std::vector<T> values;
    for (auto const& one : listed(state)) {
        values.push_back(value(one));
    }
    std::sort(values.rbegin(), values.rend());
    for (T const candidate : values) {
        if (quorum(state, [&](member const& one) { return value(one) >= candidate; })) {
            return candidate;
        }
    }
    return lowest;
}

bool is_self(consensus_state const& state, member const& one) {
    return one.name == state.name && one.disk == state.disk;
}

peer_progress const* progress_of(consensus_state const& state, member const& one) {
    auto const found = state.progress.find(one.name);
    return found != state.progress.end() && found->second.disk == one.disk ? &found->second
                                                                           : nullptr;
}

member const* find_member(member_list const& members, std::string const& name) {
    auto const found = std::find_if(members.begin(), members.end(),
                                    [&](member const& one) { return one.name == name; });
    return found == members.end() ? nullptr : &*found;
}

bool votes_here(consensus_state const& state) {
    auto const* const self = find_member(members_of(state), state.name);
    return self != nullptr && self->voter && self->disk == state.disk;
}

// Start of the newest round of messages that a quorum has answered.
time_point confirmed_since(consensus_state const& state, time_point now) {
    auto const sent = quorum_value<std::int64_t>(state, INT64_MIN, [&](member const& one) {
        if (is_self(state, one)) {
            return nanoseconds(now);
        }
        auto const* const peer = progress_of(state, one);
        return peer == nullptr ? INT64_MIN : peer->acked_sent_at;
    });
    return time_point{duration{sent}};
}

bool within(time_point since, time_point now, duration span) {
    return since.time_since_epoch().count() != INT64_MIN && now - since < span;
}

// While true, this replica may have extended a leader's lease, so it must not help to elect
// another.
bool heard_lately(consensus_state const& state, time_point now) {
    if (state.role == replica_role::leader) {
        return within(confirmed_since(state, now), now, state.settings.election_timeout_min);
    }
    return now - state.last_leader_contact < state.settings.election_timeout_min;
}

// Random timeouts keep candidates from splitting the vote again and again.
void reset_election(consensus_state& state, time_point now) {
    auto const& settings = state.settings;
    auto const spread = static_cast<std::uint64_t>(
        (settings.election_timeout_max - settings.election_timeout_min).count());
    state.election_deadline =
        now + settings.election_timeout_min +
        duration{static_cast<std::int64_t>(next_below(state.random, spread + 1))};
}

consensus_message make_message(consensus_state const& state, message_kind kind,
                               std::string const& to, std::uint64_t to_disk) {
    consensus_message made;
    made.kind = kind;
    made.from = state.name;
    made.from_disk = state.disk;
    made.to = to;
    made.to_disk = to_disk;
    made.cluster = state.hard.cluster;
    made.term = state.hard.term;
    return made;
}

// Echoes the cluster, since a blank replica has none of its own, and the send time for the lease.
consensus_message make_reply(consensus_state const& state, message_kind kind,
                             consensus_message const& received) {
    consensus_message made = make_message(state, kind, received.from, received.from_disk);
    made.cluster = received.cluster;
    made.sent_at = received.sent_at;
    return made;
}

// Also drops waiting reads: only a leader can prove them.
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
    reset_election(state, now);
}

// Starts afresh for a member whose disk changed: nothing is known to be on the new one.
void sync_progress(consensus_state& state, time_point now) {
    std::map<std::string, peer_progress> kept;
    for (auto const& one : members_of(state)) {
        if (is_self(state, one)) {
            continue;
        }
        if (progress_of(state, one) != nullptr) {
            kept[one.name] = state.progress[one.name];
        } else {
            auto& added = kept[one.name];
            added.disk = one.disk;
            added.next_index = last_index(state) + 1;
            added.last_reply_at = now;
        }
    }
    state.progress = std::move(kept);
}

void append_entry(consensus_state& state, log_entry entry, consensus_actions& actions) {
    if (entry.kind == entry_kind::members) {
        state.membership_log.emplace_back(entry.index, entry.members);
    }
    state.uncommitted_bytes += entry.data.size();
    actions.entries.push_back(entry);
    state.log.push_back(std::move(entry));
}

// Drops entries that another leader replaced, with the member lists among them.
void truncate_from(consensus_state& state, std::uint64_t index) {
    while (last_index(state) >= index) {
        state.log.pop_back();
    }
    while (state.membership_log.size() > 1 && state.membership_log.back().first >= index) {
        state.membership_log.pop_back();
    }
    state.durable_index = std::min(state.durable_index, index - 1);
}

// Never falls; returns the bytes of committed entries to the bound on proposals in flight.
void advance_commit(consensus_state& state, std::uint64_t index) {
    for (auto at = state.commit_index + 1; at <= index && at > state.base_index; ++at) {
        auto const size = entry_at(state, at).data.size();
        state.uncommitted_bytes -= std::min(state.uncommitted_bytes, size);
    }
    state.commit_index = std::max(state.commit_index, index);
}

// A leader commits by counting only entries of its own term; earlier ones are committed with them.
void count_commits(consensus_state& state) {
    if (state.role != replica_role::leader) {
        return;
    }
    auto const reached = quorum_value<std::uint64_t>(state, 0, [&](member const& one) {
        if (is_self(state, one)) {
            return state.durable_index;
        }
        auto const* const peer = progress_of(state, one);
        return peer == nullptr ? std::uint64_t{0} : peer->match_index;
    });
    if (reached > state.commit_index && term_at(state, reached) == state.hard.term) {
        advance_commit(state, reached);
    }
}

// Keeps sending the snapshot it began with, so that a newer one does not restart the transfer.
void send_chunk(consensus_state& state, std::string const& name, peer_progress& peer,
                time_point now, consensus_actions& actions) {
    if (peer.outgoing_snapshot.bytes == nullptr) {
        peer.outgoing_snapshot = state.snapshot;
        peer.snapshot_offset = 0;
    }
    if (peer.outgoing_snapshot.bytes == nullptr) {
        return;
    }
    auto made = make_message(state, message_kind::snapshot_chunk, name, peer.disk);
    made.snapshot = peer.outgoing_snapshot.meta;
    made.offset = peer.snapshot_offset;
    made.total = peer.outgoing_snapshot.bytes->size();
    made.chunk = peer.outgoing_snapshot.bytes->substr(peer.snapshot_offset,
                                                      state.settings.snapshot_chunk_bytes);
    made.sent_at = nanoseconds(now);
    peer.last_sent_at = now;
    actions.messages.push_back(std::move(made));
}

// Advances `next` without waiting for the reply; a lost message is found by the next heartbeat.
void send_append(consensus_state& state, std::string const& name, peer_progress& peer,
                 time_point now, consensus_actions& actions) {
    if (peer.next_index <= state.base_index || peer.outgoing_snapshot.bytes != nullptr) {
        send_chunk(state, name, peer, now, actions);
        return;
    }
    auto made = make_message(state, message_kind::append, name, peer.disk);
    made.index = peer.next_index - 1;
    made.log_term = term_at(state, made.index).value_or(0);
    made.commit_index = state.commit_index;
    made.sent_at = nanoseconds(now);
    std::size_t bytes = 0;
    while (peer.next_index <= last_index(state) && bytes < state.settings.max_append_bytes) {
        made.entries.push_back(entry_at(state, peer.next_index));
        bytes += made.entries.back().data.size();
        ++peer.next_index;
    }
    peer.last_sent_at = now;
    actions.messages.push_back(std::move(made));
}

// The no-op lets the leader commit entries of earlier terms.
void become_leader(consensus_state& state, time_point now, consensus_actions& actions) {
    state.role = replica_role::leader;
    state.leader = state.name;
    state.votes.clear();
    state.pending_reads.clear();
    state.progress.clear();
    state.uncommitted_bytes = 0;
    for (auto at = state.commit_index + 1; at <= last_index(state); ++at) {
        state.uncommitted_bytes += entry_at(state, at).data.size();
    }
    sync_progress(state, now);
    state.term_start_index = last_index(state) + 1;
    append_entry(state, {state.term_start_index, state.hard.term, entry_kind::noop, {}, {}},
                 actions);
    replicate(state, now, actions);
}

bool has_votes(consensus_state const& state) {
    return quorum(state, [&](member const& one) {
        return state.votes.contains(vote_key(one.name, one.disk));
    });
}

void ask_for_votes(consensus_state& state, message_kind kind, std::uint64_t term,
                   consensus_actions& actions) {
    state.votes = {vote_key(state.name, state.disk)};
    std::set<std::string> asked = state.votes;
    for (auto const& one : listed(state)) {
        if (!one.voter || !asked.insert(vote_key(one.name, one.disk)).second) {
            continue;
        }
        auto made = make_message(state, kind, one.name, one.disk);
        made.term = term;
        made.index = last_index(state);
        made.log_term = last_term(state);
        actions.messages.push_back(std::move(made));
    }
}

// The vote for itself is saved before the requests leave, as any vote.
void campaign(consensus_state& state, time_point now, consensus_actions& actions) {
    state.role = replica_role::candidate;
    ++state.hard.term;
    state.hard.vote = vote_key(state.name, state.disk);
    actions.save_hard_state = true;
    reset_election(state, now);
    ask_for_votes(state, message_kind::vote, state.hard.term, actions);
    if (has_votes(state)) {
        become_leader(state, now, actions);
    }
}

void pre_campaign(consensus_state& state, time_point now, consensus_actions& actions) {
    state.role = replica_role::pre_candidate;
    state.leader.clear();
    reset_election(state, now);
    ask_for_votes(state, message_kind::pre_vote, state.hard.term + 1, actions);
    if (has_votes(state)) {
        campaign(state, now, actions);
    }
}

// A candidate must hold every committed entry, so its log may not end before this one.
bool log_is_current(consensus_state const& state, consensus_message const& asked) {
    return asked.log_term > last_term(state) ||
           (asked.log_term == last_term(state) && asked.index >= last_index(state));
}

void on_pre_vote(consensus_state& state, consensus_message const& asked, time_point now,
                 consensus_actions& actions) {
    auto reply = make_reply(state, message_kind::pre_vote_reply, asked);
    reply.success =
        asked.term > state.hard.term && !heard_lately(state, now) && log_is_current(state, asked);
    reply.term = reply.success ? asked.term : state.hard.term;
    actions.messages.push_back(std::move(reply));
}

void on_vote(consensus_state& state, consensus_message const& asked, time_point now,
             consensus_actions& actions) {
    auto reply = make_reply(state, message_kind::vote_reply, asked);
    auto const key = vote_key(asked.from, asked.from_disk);
    bool const free_vote = state.hard.vote.empty() || state.hard.vote == key;
    reply.success = free_vote && log_is_current(state, asked);
    if (reply.success) {
        state.hard.vote = key;
        actions.save_hard_state = true;
        reset_election(state, now);
    }
    actions.messages.push_back(std::move(reply));
}

void on_vote_reply(consensus_state& state, consensus_message const& reply, time_point now,
                   consensus_actions& actions) {
    bool const pre = reply.kind == message_kind::pre_vote_reply;
    auto const wanted = pre ? replica_role::pre_candidate : replica_role::candidate;
    auto const term = state.hard.term + (pre ? 1 : 0);
    if (state.role != wanted || !reply.success || reply.term != term) {
        return;
    }
    state.votes.insert(vote_key(reply.from, reply.from_disk));
    if (!has_votes(state)) {
        return;
    }
    if (pre) {
        campaign(state, now, actions);
    } else {
        become_leader(state, now, actions);
    }
}

// A blank replica joins the cluster of the leader that addressed its disk.
void follow(consensus_state& state, consensus_message const& received, time_point now,
            consensus_actions& actions) {
    if (state.hard.cluster == 0) {
        state.hard.cluster = received.cluster;
        actions.save_hard_state = true;
    }
    become_follower(state, received.term, received.from, now, actions);
    state.last_leader_contact = now;
}

// Where the leader should continue after a mismatch: before the whole conflicting term.
std::uint64_t mismatch_hint(consensus_state const& state, std::uint64_t index) {
    if (index > last_index(state)) {
        return last_index(state);
    }
    auto const term = term_at(state, index);
    auto at = index - 1;
    while (at > state.commit_index && term_at(state, at) == term) {
        --at;
    }
    return at;
}

void on_append(consensus_state& state, consensus_message const& received, time_point now,
               consensus_actions& actions) {
    for (std::size_t at = 0; at < received.entries.size(); ++at) {
        if (received.entries[at].index != received.index + 1 + at) {
            return; // a gap would put entries into wrong places
        }
    }
    follow(state, received, now, actions);
    auto reply = make_reply(state, message_kind::append_reply, received);
    reply.index = received.index;
    bool const covered = received.index < state.base_index;
    if (!covered && term_at(state, received.index) != received.log_term) {
        reply.reject_hint = mismatch_hint(state, received.index);
        actions.messages.push_back(std::move(reply));
        return;
    }
    for (auto const& entry : received.entries) {
        if (entry.index <= state.base_index || term_at(state, entry.index) == entry.term) {
            continue;
        }
        if (entry.index <= state.commit_index) {
            return; // a committed entry never changes; such a message comes from no correct leader
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
        count_commits(state);
        if (peer.next_index <= last_index(state)) {
            send_append(state, reply.from, peer, now, actions);
        }
    } else if (reply.index > peer.match_index && reply.reject_hint + 1 < peer.next_index) {
        peer.next_index = std::max(peer.match_index, reply.reject_hint) + 1;
        send_append(state, reply.from, peer, now, actions);
    }
}

// The received snapshot replaces the log, except entries that are known to follow it.
void install(consensus_state& state, consensus_actions& actions) {
    snapshot_data data{std::move(state.incoming_snapshot_meta),
                       std::make_shared<std::string const>(std::move(state.incoming_snapshot))};
    state.incoming_snapshot.clear();
    state.incoming_snapshot_meta = {};
    auto const& meta = data.meta;
    if (term_at(state, meta.index) == meta.term) {
        state.log.erase(state.log.begin(), state.log.begin() + static_cast<std::ptrdiff_t>(
                                                                   meta.index - state.base_index));
        std::erase_if(state.membership_log,
                      [&](auto const& one) { return one.first <= meta.index; });
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
    follow(state, received, now, actions);
    auto const& meta = received.snapshot;
    auto done = make_reply(state, message_kind::append_reply, received);
    done.success = true;
    if (meta.index <= state.commit_index) {
        done.index = state.commit_index;
        actions.messages.push_back(std::move(done));
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
            install(state, actions);
            done.index = state.commit_index;
            actions.messages.push_back(std::move(done));
            return;
        }
        state.incoming_snapshot.clear();
    }
    auto reply = make_reply(state, message_kind::snapshot_reply, received);
    reply.index = meta.index;
    reply.offset = state.incoming_snapshot.size();
    actions.messages.push_back(std::move(reply));
}

result<void> may_change_members(consensus_state const& state) {
    if (state.role != replica_role::leader) {
        return fail(error_kind::not_leader, "this replica does not lead", "ask " + state.leader);
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

// A known name with an unknown disk lost its disk: it becomes a learner, so that the promises of
// the lost disk (votes, acknowledged entries) no longer count for it.
void consider_joining(consensus_state& state, consensus_message const& hello, time_point now,
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
    // A refusal is no loss: the replica says hello again.
    if (propose_member(state, {hello.from, hello.from_disk, false}, false, now, actions)) {
        replicate(state, now, actions);
    }
}

// The first start of a cluster: the peer that is first by name forms it once every other peer has
// said that it is blank. After that no blank peer can form another one, since not all are blank.
void form_cluster(consensus_state& state, time_point now, consensus_actions& actions) {
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
    consider_joining(state, received, now, actions);
}

void on_hello_reply(consensus_state& state, consensus_message const& reply, time_point now,
                    consensus_actions& actions) {
    bool const blank_here = state.hard.cluster == 0 && last_index(state) == 0;
    if (!blank_here || !state.settings.allow_bootstrap || reply.echo_disk != state.disk ||
        state.peers.front() != state.name) {
        return;
    }
    if (reply.cluster != 0) {
        state.uninitialized_peers.clear();
        return;
    }
    state.uninitialized_peers[reply.from] = reply.from_disk;
    bool const all = std::all_of(state.peers.begin(), state.peers.end(), [&](auto const& name) {
        return name == state.name || state.uninitialized_peers.contains(name);
    });
    if (all) {
        form_cluster(state, now, actions);
    }
}

// Tells a deposed leader or candidate the present term.
void refuse_old_term(consensus_state const& state, consensus_message const& received,
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
    bool const reached = quorum(state, [&](member const& one) {
        if (is_self(state, one)) {
            return true;
        }
        auto const* const peer = progress_of(state, one);
        return peer != nullptr && now - peer->last_reply_at < settings.election_timeout_max;
    });
    if (!reached) {
        become_follower(state, state.hard.term, {}, now, actions);
        return;
    }
    count_commits(state);
    for (auto const& one : members_of(state)) {
        auto const* const peer = progress_of(state, one);
        if (settings.promote_learners && !one.voter && peer != nullptr &&
            peer->match_index >= state.commit_index &&
            now - peer->last_reply_at < settings.election_timeout_min &&
            propose_member(state, {one.name, one.disk, true}, false, now, actions)) {
            break; // one replica at a time; the list has changed
        }
    }
    for (auto& [name, peer] : state.progress) {
        if (now - peer.last_sent_at < settings.heartbeat) {
            continue;
        }
        // Entries sent a heartbeat ago without any progress since then were lost. Before the first
        // match the mismatch hints steer `next`.
        if (peer.match_index == peer.match_at_heartbeat && peer.match_index > 0) {
            peer.next_index = peer.match_index + 1;
        }
        peer.match_at_heartbeat = peer.match_index;
        send_append(state, name, peer, now, actions);
    }
}

void tick_follower(consensus_state& state, time_point now, consensus_actions& actions) {
    bool const blank = state.hard.cluster == 0;
    if (votes_here(state)) {
        if (now >= state.election_deadline) {
            pre_campaign(state, now, actions);
        }
        return;
    }
    if (now < state.next_hello_at || (!blank && heard_lately(state, now))) {
        return;
    }
    state.next_hello_at = now + state.settings.heartbeat * hello_heartbeats;
    if (blank && state.settings.allow_bootstrap && state.peers.size() == 1 &&
        state.peers.front() == state.name) {
        form_cluster(state, now, actions);
        return;
    }
    std::set<std::string> asked{state.peers.begin(), state.peers.end()};
    asked.insert(state.discovery_contacts.begin(), state.discovery_contacts.end());
    for (auto const& name : asked) {
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
    reset_election(state, now);
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
    // Ignored without adopting the term: this replica may be part of a leader's lease.
    if (received.kind == message_kind::vote && heard_lately(state, now)) {
        return actions;
    }
    bool const only_asks = received.kind == message_kind::pre_vote ||
                           (received.kind == message_kind::pre_vote_reply && received.success);
    if (received.term > state.hard.term && !only_asks) {
        become_follower(state, received.term, {}, now, actions);
    }
    if (received.term < state.hard.term) {
        refuse_old_term(state, received, actions);
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
        return fail(error_kind::not_leader, "this replica does not lead", "ask " + state.leader);
    }
    if (state.uncommitted_bytes > 0 &&
        state.uncommitted_bytes + data.size() > state.settings.max_uncommitted_bytes) {
        return fail(error_kind::overloaded, "too many bytes await a majority", "retry later");
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
    count_commits(state);
}

result<void> request_read(consensus_state& state, std::uint64_t id, time_point now,
                          consensus_actions& actions) {
    if (state.role != replica_role::leader) {
        return fail(error_kind::not_leader, "this replica does not lead", "ask " + state.leader);
    }
    bool const leased = state.settings.lease_reads && lease_holds(state, now);
    state.pending_reads.push_back(
        {id, std::max(state.commit_index, state.term_start_index), now, leased});
    if (!leased) {
        for (auto& [name, peer] : state.progress) {
            send_append(state, name, peer, now, actions);
        }
    }
    return ok();
}

std::vector<std::uint64_t> take_ready_reads(consensus_state& state, std::uint64_t applied,
                                            time_point now) {
    std::vector<std::uint64_t> ready;
    if (state.role != replica_role::leader || state.pending_reads.empty()) {
        return ready;
    }
    bool const leased = state.settings.lease_reads && lease_holds(state, now);
    auto const since = confirmed_since(state, now);
    std::erase_if(state.pending_reads, [&](pending_read const& read) {
        bool const confirmed = read.confirmed || leased || since >= read.requested_at;
        if (!confirmed || applied < read.read_index) {
            return false;
        }
        ready.push_back(read.id);
        return true;
    });
    return ready;
}

result<std::uint64_t> propose_member(consensus_state& state, member const& changed, bool remove,
                                     time_point now, consensus_actions& actions) {
    if (auto allowed = may_change_members(state); !allowed) {
        return boost::outcome_v2::failure(std::move(allowed).error());
    }
    auto members = members_of(state);
    auto const* const known = find_member(members, changed.name);
    if (changed.name == state.name || (remove && known == nullptr)) {
        return fail(error_kind::invalid_request,
                    "cannot change member " + changed.name + " from its own lead or as unknown",
                    "name another member; to change the leader, restart it first");
    }
    std::erase_if(members, [&](member const& one) { return one.name == changed.name; });
    if (!remove) {
        members.push_back(changed);
        std::sort(members.begin(), members.end(),
                  [](member const& left, member const& right) { return left.name < right.name; });
    }
    if (members == members_of(state)) {
        return fail(error_kind::conflict, "the member list already says so", "nothing to do");
    }
    auto const index = last_index(state) + 1;
    append_entry(
        state,
        {index, state.hard.term, entry_kind::members, {}, {std::move(members), members_of(state)}},
        actions);
    sync_progress(state, now);
    return index;
}

std::optional<member> find_removable_voter(consensus_state const& state, duration silent,
                                           time_point now) {
    if (state.role != replica_role::leader) {
        return std::nullopt;
    }
    std::size_t voters = 0;
    std::optional<member> lost;
    for (auto const& one : members_of(state)) {
        voters += one.voter ? 1 : 0;
        auto const* const peer = progress_of(state, one);
        bool const is_silent =
            !is_self(state, one) && (peer == nullptr || now - peer->last_reply_at > silent);
        if (one.voter && is_silent) {
            lost = one;
        }
    }
    return voters % 2 == 0 && voters > 2 ? lost : std::nullopt;
}

void compact(consensus_state& state, snapshot_data taken) {
    auto base = taken.meta.index;
    std::size_t bytes = 0;
    while (base > state.base_index && taken.meta.index - base < state.settings.trailing_entries) {
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
    state.snapshot = std::move(taken);
}

member_list const& members_of(consensus_state const& state) {
    return state.membership_log.back().second.current;
}

membership const& members_at(consensus_state const& state, std::uint64_t index) {
    auto found = state.membership_log.begin();
    for (auto at = found; at != state.membership_log.end() && at->first <= index; ++at) {
        found = at;
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
    return within(confirmed_since(state, now), now, lease);
}

std::optional<std::uint64_t> current_fencing_token(consensus_state const& state, time_point now) {
    if (!lease_holds(state, now)) {
        return std::nullopt;
    }
    return state.hard.term;
}

} // namespace fireflycrank
