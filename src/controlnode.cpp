#include "controlnode.h"

#include "consensuswire.h"
#include "digest.h"
#include "snapshot.h"

#include <algorithm>
#include <charconv>

namespace fireflycrank {

namespace {

constexpr char const* identity_name = "identity";
constexpr char const* lock_name = "lock";

auto corrupt_folder_error(std::string const& folder, std::string const& what) {
    return fail(error_kind::corrupt_data, folder + ": " + what,
                "move the data folder away and restart: the replica rejoins as a learner");
}

auto replica_stopped_error(control_node const& node) {
    return fail(error_kind::unavailable, "this replica stopped: " + describe(*node.stop_reason),
                "ask another replica");
}

// Keeps the first error. Messages that flush() has not returned yet are dropped, as if lost in the
// network.
void stop(control_node& node, error reason) {
    if (!node.stop_reason) {
        node.stop_reason = std::move(reason);
    }
    node.outbox.clear();
}

std::string identity_line(std::string const& name, std::uint64_t disk) {
    auto line = name + " " + std::to_string(disk) + " ";
    return line + std::to_string(crc32(line)) + "\n";
}

// The identity is written after the log exists and before the replica sends any message. A folder
// with records but no identity, or with an identity but no log, has lost files, and its replica
// must not vote.
result<void> load_identity(control_node& node, bool log_created, bool has_no_data) {
    auto const& settings = node.settings;
    auto const path = settings.folder + "/" + identity_name;
    auto const stored = node.files.read(path);
    if (!stored && stored.error().kind != error_kind::not_found) {
        return fail(stored.error().kind, stored.error().message, stored.error().remedy);
    }
    if (!stored) {
        if (!has_no_data) {
            return corrupt_folder_error(settings.folder, "the identity file is missing");
        }
        node.consensus.disk = next_bits(node.consensus.random) | 1U;
        return replace_file(node.files, settings.folder, identity_name,
                            identity_line(settings.name, node.consensus.disk));
    }
    if (log_created) {
        return corrupt_folder_error(settings.folder, "the log is missing");
    }
    auto const& line = stored.value();
    auto const space = line.find(' ');
    if (space != std::string::npos) {
        std::from_chars(line.data() + space + 1, line.data() + line.size(), node.consensus.disk);
    }
    if (line != identity_line(line.substr(0, space), node.consensus.disk)) {
        return corrupt_folder_error(settings.folder, "the identity file fails its checksum");
    }
    if (line.substr(0, space) != settings.name) {
        return fail(error_kind::conflict,
                    settings.folder + " belongs to replica " + line.substr(0, space),
                    "correct the replica's name or its data folder");
    }
    return ok();
}

result<void> replay_record(std::deque<log_entry>& entries, hard_state& hard,
                           std::string_view bytes) {
    BOOST_OUTCOME_TRY(record, parse_log_record(bytes));
    if (record.has_hard_state) {
        hard = record.hard;
    }
    for (auto& entry : record.entries) {
        while (!entries.empty() && entries.back().index >= entry.index) {
            entries.pop_back();
        }
        if (!entries.empty() && entries.back().index + 1 != entry.index) {
            return fail(error_kind::corrupt_data,
                        "the log is missing the entry before " + std::to_string(entry.index),
                        "move the data folder away and restart: the replica rejoins as a learner");
        }
        entries.push_back(std::move(entry));
    }
    return ok();
}

// Combines the snapshot and the log. The log may still hold entries that a received snapshot
// replaced, if the replica stopped between writing the snapshot and the checkpoint.
result<void> restore_log(control_node& node, std::deque<log_entry> entries) {
    auto& consensus = node.consensus;
    auto const& meta = consensus.snapshot.meta;
    consensus.base_index = meta.index;
    consensus.base_term = meta.term;
    std::optional<std::uint64_t> term;
    if (!entries.empty() && entries.front().index > meta.index + 1) {
        return corrupt_folder_error(node.settings.folder,
                                    "the snapshot that precedes the log is missing");
    }
    while (!entries.empty() && entries.front().index <= meta.index) {
        term = entries.front().index == meta.index ? std::optional{entries.front().term} : term;
        entries.pop_front();
    }
    if (term && *term != meta.term) {
        entries.clear();
    }
    consensus.log = std::move(entries);
    consensus.membership_log = {{meta.index, meta.members}};
    for (auto const& entry : consensus.log) {
        if (entry.kind == entry_kind::members) {
            consensus.membership_log.emplace_back(entry.index, entry.members);
        }
    }
    return ok();
}

result<void> load_snapshot(control_node& node) {
    BOOST_OUTCOME_TRY(stored, read_snapshot(node.files, node.settings.folder));
    if (!stored) {
        return ok();
    }
    BOOST_OUTCOME_TRY(meta, parse_snapshot_meta(stored->header));
    BOOST_OUTCOME_TRYV(parse_tables(*node.tables, stored->body));
    node.consensus.snapshot = {std::move(meta),
                               std::make_shared<std::string const>(std::move(stored->body))};
    return ok();
}

result<void> recover(control_node& node) {
    BOOST_OUTCOME_TRYV(make_durable_folder(node.files, node.settings.folder));
    BOOST_OUTCOME_TRY(lock, node.files.lock(node.settings.folder + "/" + lock_name));
    node.lock = lock;
    BOOST_OUTCOME_TRYV(load_snapshot(node));
    std::deque<log_entry> entries;
    BOOST_OUTCOME_TRY(recovery, open_wal(node.log, [&](std::string_view bytes) {
                          return replay_record(entries, node.consensus.hard, bytes);
                      }));
    node.torn_bytes = recovery.torn_bytes;
    bool const empty = recovery.records == 0 && node.consensus.snapshot.bytes == nullptr;
    BOOST_OUTCOME_TRYV(load_identity(node, recovery.created, empty));
    return restore_log(node, std::move(entries));
}

// Replaces the log by one record: the hard state and all entries after the snapshot.
result<void> checkpoint(control_node& node) {
    log_record record{true, node.consensus.hard, {}};
    for (auto const& entry : node.consensus.log) {
        if (entry.index > node.consensus.snapshot.meta.index) {
            record.entries.push_back(entry);
        }
    }
    return checkpoint_wal(node.log, {serialize_log_record(record)});
}

result<void> install_snapshot(control_node& node, snapshot_data const& data) {
    BOOST_OUTCOME_TRYV(write_snapshot(node.files, node.settings.folder,
                                      serialize_snapshot_meta(data.meta), *data.bytes));
    BOOST_OUTCOME_TRYV(parse_tables(*node.tables, *data.bytes));
    return checkpoint(node);
}

// Queues records and messages until flush(); only a received snapshot is written immediately.
void queue_actions(control_node& node, consensus_actions actions) {
    if (actions.installed_snapshot) {
        if (auto installed = install_snapshot(node, *actions.installed_snapshot); !installed) {
            stop(node, std::move(installed).error());
            return;
        }
    } else if (actions.save_hard_state || !actions.entries.empty()) {
        append_wal(node.log, serialize_log_record({actions.save_hard_state, node.consensus.hard,
                                                   std::move(actions.entries)}));
    }
    std::move(actions.messages.begin(), actions.messages.end(), std::back_inserter(node.outbox));
}

void queue_reply(control_node& node, pending_request const& pending, result<std::string> outcome,
                 std::uint64_t index) {
    node.replies.push_back({pending.request, std::move(outcome), index, node.consensus.hard.term});
}

auto unknown_outcome_error() {
    return fail(error_kind::unavailable,
                "the leader changed or stopped before the outcome was known",
                "resend under the same id");
}

result<void> apply_entry(control_node& node, log_entry const& entry) {
    std::string reply;
    if (entry.kind == entry_kind::command) {
        BOOST_OUTCOME_TRY(command, parse_control_command(entry.data));
        BOOST_OUTCOME_TRY(applied, apply(*node.tables, command, entry.index));
        reply = std::move(applied);
    }
    node.tables->applied_index = entry.index;
    auto const pending = node.proposals.find(entry.index);
    if (pending != node.proposals.end()) {
        if (pending->second.term == entry.term) {
            queue_reply(node, pending->second, std::move(reply), entry.index);
        } else {
            queue_reply(node, pending->second, unknown_outcome_error(), entry.index);
        }
        node.proposals.erase(pending);
    }
    return ok();
}

result<void> apply_committed(control_node& node) {
    auto const& consensus = node.consensus;
    while (node.tables->applied_index < consensus.commit_index) {
        BOOST_OUTCOME_TRYV(
            apply_entry(node, consensus.log[node.tables->applied_index - consensus.base_index]));
    }
    return ok();
}

void answer_reads(control_node& node, time_point now) {
    for (auto const number : take_ready_reads(node.consensus, node.tables->applied_index, now)) {
        auto const found = node.reads.find(number);
        if (found == node.reads.end()) {
            continue;
        }
        auto const& pending = found->second;
        queue_reply(node, pending, node.tables->tables[pending.kind].query(pending.query),
                    node.tables->applied_index);
        node.reads.erase(found);
    }
}

// A request fails when this replica loses the leadership under which it accepted the request.
void fail_abandoned_requests(control_node& node) {
    auto const fail_if_abandoned = [&](auto const& pending) {
        bool const still_leads = node.consensus.role == replica_role::leader && !node.stop_reason &&
                                 pending.second.term == node.consensus.hard.term;
        if (!still_leads) {
            queue_reply(node, pending.second, unknown_outcome_error(), 0);
        }
        return !still_leads;
    };
    std::erase_if(node.proposals, fail_if_abandoned);
    std::erase_if(node.reads, fail_if_abandoned);
}

result<void> take_snapshot(control_node& node, membership members) {
    auto bytes = std::make_shared<std::string const>(serialize_tables(*node.tables));
    snapshot_meta meta{
        node.tables->applied_index,
        term_at(node.consensus, node.tables->applied_index).value_or(node.consensus.base_term),
        std::move(members), sha256_hex(*bytes)};
    BOOST_OUTCOME_TRYV(
        write_snapshot(node.files, node.settings.folder, serialize_snapshot_meta(meta), *bytes));
    compact(node.consensus, {std::move(meta), std::move(bytes)});
    return checkpoint(node);
}

result<void> maybe_snapshot(control_node& node) {
    auto const entries_since_snapshot =
        node.tables->applied_index - node.consensus.snapshot.meta.index;
    bool const due = entries_since_snapshot >= node.settings.snapshot_entries ||
                     node.log.bytes_since_checkpoint >= node.settings.snapshot_log_bytes;
    if (!due || entries_since_snapshot == 0) {
        return ok();
    }
    return take_snapshot(node, members_at(node.consensus, node.tables->applied_index));
}

result<void> sync_and_apply(control_node& node, time_point now) {
    consensus_actions actions;
    replicate(node.consensus, now, actions);
    queue_actions(node, std::move(actions));
    BOOST_OUTCOME_TRYV(sync_wal(node.log));
    mark_durable(node.consensus, now);
    BOOST_OUTCOME_TRYV(apply_committed(node));
    answer_reads(node, now);
    return maybe_snapshot(node);
}

} // namespace

control_node::~control_node() {
    close_wal(log);
    if (lock.value >= 0) {
        files.close(lock);
    }
}

result<std::unique_ptr<control_node>> open_control_node(control_node_settings settings,
                                                        file_layer files, control_state& tables,
                                                        std::uint64_t seed, time_point now) {
    auto node = std::make_unique<control_node>();
    node->settings = std::move(settings);
    node->files = std::move(files);
    node->tables = &tables;
    node->log.files = &node->files;
    node->log.folder = node->settings.folder;
    auto& consensus = node->consensus;
    consensus.name = node->settings.name;
    consensus.peers = node->settings.peers;
    consensus.settings = node->settings.consensus;
    consensus.random = rng{seed};
    BOOST_OUTCOME_TRYV(recover(*node));
    start_consensus(consensus, now);
    return node;
}

void receive(control_node& node, consensus_message const& received, time_point now) {
    if (!node.stop_reason) {
        queue_actions(node, step(node.consensus, received, now));
    }
}

result<void> receive_bytes(control_node& node, std::string_view body, time_point now) {
    BOOST_OUTCOME_TRY(received, parse_consensus_message(body));
    receive(node, received, now);
    return ok();
}

void tick(control_node& node, time_point now) {
    if (!node.stop_reason) {
        queue_actions(node, tick(node.consensus, now));
    }
}

result<void> submit(control_node& node, std::uint64_t request, control_command const& command) {
    if (node.stop_reason) {
        return replica_stopped_error(node);
    }
    auto const table = node.tables->tables.find(command.kind);
    if (table == node.tables->tables.end()) {
        return fail(error_kind::invalid_request, "no table of kind " + command.kind,
                    "use a kind that this version knows");
    }
    if (command.body.size() > node.settings.max_command_bytes) {
        return fail(error_kind::invalid_request, "the command is too large",
                    "keep it under " + std::to_string(node.settings.max_command_bytes) + " bytes");
    }
    if (table->second.validate) {
        BOOST_OUTCOME_TRYV(table->second.validate(command.body));
    }
    consensus_actions actions;
    BOOST_OUTCOME_TRY(index, propose(node.consensus, serialize_control_command(command), actions));
    queue_actions(node, std::move(actions));
    node.proposals[index] = {request, node.consensus.hard.term, {}, {}};
    return ok();
}

result<void> read(control_node& node, std::uint64_t request, std::string const& kind,
                  std::string query, time_point now) {
    if (node.stop_reason) {
        return replica_stopped_error(node);
    }
    auto const table = node.tables->tables.find(kind);
    if (table == node.tables->tables.end() || !table->second.query) {
        return fail(error_kind::invalid_request, "table " + kind + " does not support reads",
                    "use a kind that supports reads");
    }
    consensus_actions actions;
    BOOST_OUTCOME_TRYV(request_read(node.consensus, ++node.last_read_number, now, actions));
    queue_actions(node, std::move(actions));
    node.reads[node.last_read_number] = {request, node.consensus.hard.term, kind, std::move(query)};
    return ok();
}

result<void> change_member(control_node& node, std::uint64_t request, member const& changed,
                           bool remove, time_point now) {
    if (node.stop_reason) {
        return replica_stopped_error(node);
    }
    consensus_actions actions;
    BOOST_OUTCOME_TRY(index, propose_member(node.consensus, changed, remove, now, actions));
    queue_actions(node, std::move(actions));
    node.proposals[index] = {request, node.consensus.hard.term, {}, {}};
    return ok();
}

control_node_output flush(control_node& node, time_point now) {
    if (!node.stop_reason) {
        if (auto flushed = sync_and_apply(node, now); !flushed) {
            stop(node, std::move(flushed).error());
        }
    }
    fail_abandoned_requests(node);
    control_node_output output{std::move(node.outbox), std::move(node.replies), node.stop_reason};
    node.outbox.clear();
    node.replies.clear();
    return output;
}

std::optional<std::uint64_t> current_fencing_token(control_node const& node, time_point now) {
    return node.stop_reason ? std::nullopt : current_fencing_token(node.consensus, now);
}

std::string const& leader_of(control_node const& node) {
    return node.consensus.leader;
}

control_node_status status_of(control_node const& node, time_point now) {
    auto const& consensus = node.consensus;
    control_node_status status;
    status.name = consensus.name;
    status.disk = consensus.disk;
    status.role = consensus.role;
    status.leader = consensus.leader;
    status.term = consensus.hard.term;
    status.commit_index = consensus.commit_index;
    status.applied_index = node.tables->applied_index;
    status.snapshot_index = consensus.snapshot.meta.index;
    status.members = consensus.membership_log.back().second;
    status.lease_held = current_fencing_token(node, now).has_value();
    status.appends = node.log.appends;
    status.syncs = node.log.syncs;
    status.torn_bytes = node.torn_bytes;
    for (auto const& [name, peer] : consensus.progress) {
        status.lag[name] =
            last_index(consensus) - std::min(peer.match_index, last_index(consensus));
    }
    return status;
}

result<void> force_sole_member(control_node& node, time_point now) {
    auto& consensus = node.consensus;
    consensus.commit_index = last_index(consensus);
    BOOST_OUTCOME_TRYV(apply_committed(node));
    consensus.hard = {next_bits(consensus.random) | 1U, consensus.hard.term + 1, {}};
    consensus.settings.trailing_entries = 0;
    BOOST_OUTCOME_TRYV(take_snapshot(node, {{{consensus.name, consensus.disk, true}}, {}}));
    consensus.settings.trailing_entries = node.settings.consensus.trailing_entries;
    consensus.membership_log = {{consensus.base_index, consensus.snapshot.meta.members}};
    start_consensus(consensus, now);
    return ok();
}

} // namespace fireflycrank
