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

auto damaged(std::string const& folder, std::string const& what) {
    return fail(error_kind::corrupt_data, folder + ": " + what,
                "move the data folder away and restart: the replica rejoins as a learner");
}

auto stopped_before(control_node const& node) {
    return fail(error_kind::unavailable, "this replica stopped: " + describe(*node.stop_reason),
                "ask another replica");
}

// The first reason counts. Messages that were not handed out are dropped, as if lost.
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

// The identity is written after the log exists and before the replica says anything. A folder with
// records but without identity, or the reverse, has lost files and must not vote.
result<void> load_identity(control_node& node, bool log_created, bool empty) {
    auto const& settings = node.settings;
    auto const path = settings.folder + "/" + identity_name;
    auto const stored = node.files.read(path);
    if (!stored && stored.error().kind != error_kind::not_found) {
        return fail(stored.error().kind, stored.error().message, stored.error().remedy);
    }
    if (!stored) {
        if (!empty) {
            return damaged(settings.folder, "the identity file is missing");
        }
        node.consensus.disk = next_bits(node.consensus.random) | 1U;
        return replace_file(node.files, settings.folder, identity_name,
                            identity_line(settings.name, node.consensus.disk));
    }
    if (log_created) {
        return damaged(settings.folder, "the log is missing");
    }
    auto const& line = stored.value();
    auto const space = line.find(' ');
    if (space != std::string::npos) {
        std::from_chars(line.data() + space + 1, line.data() + line.size(), node.consensus.disk);
    }
    if (line != identity_line(line.substr(0, space), node.consensus.disk)) {
        return damaged(settings.folder, "the identity file fails its checksum");
    }
    if (line.substr(0, space) != settings.name) {
        return fail(error_kind::conflict,
                    settings.folder + " belongs to replica " + line.substr(0, space),
                    "correct the replica's name or its data folder");
    }
    return ok();
}

result<void> replay(std::deque<log_entry>& entries, hard_state& hard, std::string_view bytes) {
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
                        "the log lacks the entry before " + std::to_string(entry.index),
                        "move the data folder away and restart: the replica rejoins as a learner");
        }
        entries.push_back(std::move(entry));
    }
    return ok();
}

// Joins the snapshot and the log. The log may still hold what a received snapshot replaced, when
// the replica stopped between writing the snapshot and the checkpoint.
result<void> join_log(control_node& node, std::deque<log_entry> entries) {
    auto& core = node.consensus;
    auto const& meta = core.snapshot.meta;
    core.base_index = meta.index;
    core.base_term = meta.term;
    std::optional<std::uint64_t> term;
    if (!entries.empty() && entries.front().index > meta.index + 1) {
        return damaged(node.settings.folder, "the snapshot that the log continues is missing");
    }
    while (!entries.empty() && entries.front().index <= meta.index) {
        term = entries.front().index == meta.index ? std::optional{entries.front().term} : term;
        entries.pop_front();
    }
    if (term && *term != meta.term) {
        entries.clear();
    }
    core.log = std::move(entries);
    core.membership_log = {{meta.index, meta.members}};
    for (auto const& entry : core.log) {
        if (entry.kind == entry_kind::members) {
            core.membership_log.emplace_back(entry.index, entry.members);
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
    BOOST_OUTCOME_TRYV(node.files.make_folder(node.settings.folder));
    BOOST_OUTCOME_TRY(lock, node.files.lock(node.settings.folder + "/" + lock_name));
    node.lock = lock;
    BOOST_OUTCOME_TRYV(load_snapshot(node));
    std::deque<log_entry> entries;
    BOOST_OUTCOME_TRY(found, open_wal(node.log, [&](std::string_view bytes) {
                          return replay(entries, node.consensus.hard, bytes);
                      }));
    node.torn_bytes = found.torn_bytes;
    bool const empty = found.records == 0 && node.consensus.snapshot.bytes == nullptr;
    BOOST_OUTCOME_TRYV(load_identity(node, found.created, empty));
    return join_log(node, std::move(entries));
}

// One record that replaces the log: the promises and all entries behind the snapshot.
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

// Queues records and messages until flush(); only a received snapshot is written at once.
void absorb(control_node& node, consensus_actions actions) {
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

void reply_to(control_node& node, pending_request const& asked, result<std::string> outcome,
              std::uint64_t index) {
    node.replies.push_back({asked.request, std::move(outcome), index, node.consensus.hard.term});
}

auto outcome_open() {
    return fail(error_kind::unavailable,
                "the leader changed or stopped before the outcome was known",
                "resend under the same id");
}

result<void> apply_entry(control_node& node, log_entry const& entry) {
    std::string answer;
    if (entry.kind == entry_kind::command) {
        BOOST_OUTCOME_TRY(command, parse_control_command(entry.data));
        BOOST_OUTCOME_TRY(applied, apply(*node.tables, command, entry.index));
        answer = std::move(applied);
    }
    node.tables->applied_index = entry.index;
    auto const waiting = node.proposals.find(entry.index);
    if (waiting != node.proposals.end()) {
        if (waiting->second.term == entry.term) {
            reply_to(node, waiting->second, std::move(answer), entry.index);
        } else {
            reply_to(node, waiting->second, outcome_open(), entry.index);
        }
        node.proposals.erase(waiting);
    }
    return ok();
}

result<void> apply_committed(control_node& node) {
    auto const& core = node.consensus;
    while (node.tables->applied_index < core.commit_index) {
        BOOST_OUTCOME_TRYV(
            apply_entry(node, core.log[node.tables->applied_index - core.base_index]));
    }
    return ok();
}

void answer_reads(control_node& node, time_point now) {
    for (auto const number : take_ready_reads(node.consensus, node.tables->applied_index, now)) {
        auto const found = node.reads.find(number);
        if (found == node.reads.end()) {
            continue;
        }
        auto const& asked = found->second;
        reply_to(node, asked, node.tables->tables[asked.kind].query(asked.query),
                 node.tables->applied_index);
        node.reads.erase(found);
    }
}

// A request does not outlive the leadership in which it was taken.
void fail_orphans(control_node& node) {
    auto const lost = [&](auto const& waiting) {
        bool const leads = node.consensus.role == replica_role::leader && !node.stop_reason &&
                           waiting.second.term == node.consensus.hard.term;
        if (!leads) {
            reply_to(node, waiting.second, outcome_open(), 0);
        }
        return !leads;
    };
    std::erase_if(node.proposals, lost);
    std::erase_if(node.reads, lost);
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
    auto const behind = node.tables->applied_index - node.consensus.snapshot.meta.index;
    bool const due = behind >= node.settings.snapshot_entries ||
                     node.log.bytes_since_checkpoint >= node.settings.snapshot_log_bytes;
    if (!due || behind == 0) {
        return ok();
    }
    return take_snapshot(node, members_at(node.consensus, node.tables->applied_index));
}

result<void> make_progress(control_node& node, time_point now) {
    consensus_actions actions;
    replicate(node.consensus, now, actions);
    absorb(node, std::move(actions));
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
    auto& core = node->consensus;
    core.name = node->settings.name;
    core.peers = node->settings.peers;
    core.settings = node->settings.consensus;
    core.random = rng{seed};
    BOOST_OUTCOME_TRYV(recover(*node));
    start_consensus(core, now);
    return node;
}

void receive(control_node& node, consensus_message const& received, time_point now) {
    if (!node.stop_reason) {
        absorb(node, step(node.consensus, received, now));
    }
}

result<void> receive_bytes(control_node& node, std::string_view body, time_point now) {
    BOOST_OUTCOME_TRY(received, parse_consensus_message(body));
    receive(node, received, now);
    return ok();
}

void tick(control_node& node, time_point now) {
    if (!node.stop_reason) {
        absorb(node, tick(node.consensus, now));
    }
}

result<void> submit(control_node& node, std::uint64_t request, control_command const& command) {
    if (node.stop_reason) {
        return stopped_before(node);
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
    absorb(node, std::move(actions));
    node.proposals[index] = {request, node.consensus.hard.term, {}, {}};
    return ok();
}

result<void> read(control_node& node, std::uint64_t request, std::string const& kind,
                  std::string question, time_point now) {
    if (node.stop_reason) {
        return stopped_before(node);
    }
    auto const table = node.tables->tables.find(kind);
    if (table == node.tables->tables.end() || !table->second.query) {
        return fail(error_kind::invalid_request, "table " + kind + " answers no reads",
                    "use a kind that answers reads");
    }
    consensus_actions actions;
    BOOST_OUTCOME_TRYV(request_read(node.consensus, ++node.last_read_number, now, actions));
    absorb(node, std::move(actions));
    node.reads[node.last_read_number] = {request, node.consensus.hard.term, kind,
                                         std::move(question)};
    return ok();
}

result<void> change_member(control_node& node, std::uint64_t request, member const& changed,
                           bool remove, time_point now) {
    if (node.stop_reason) {
        return stopped_before(node);
    }
    consensus_actions actions;
    BOOST_OUTCOME_TRY(index, propose_member(node.consensus, changed, remove, now, actions));
    absorb(node, std::move(actions));
    node.proposals[index] = {request, node.consensus.hard.term, {}, {}};
    return ok();
}

control_node_output flush(control_node& node, time_point now) {
    if (!node.stop_reason) {
        if (auto progressed = make_progress(node, now); !progressed) {
            stop(node, std::move(progressed).error());
        }
    }
    fail_orphans(node);
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
    auto const& core = node.consensus;
    control_node_status status;
    status.name = core.name;
    status.disk = core.disk;
    status.role = core.role;
    status.leader = core.leader;
    status.term = core.hard.term;
    status.commit_index = core.commit_index;
    status.applied_index = node.tables->applied_index;
    status.snapshot_index = core.snapshot.meta.index;
    status.members = core.membership_log.back().second;
    status.lease_held = current_fencing_token(node, now).has_value();
    status.appends = node.log.appends;
    status.syncs = node.log.syncs;
    status.torn_bytes = node.torn_bytes;
    for (auto const& [name, peer] : core.progress) {
        status.lag[name] = last_index(core) - std::min(peer.match_index, last_index(core));
    }
    return status;
}

result<void> force_sole_member(control_node& node, time_point now) {
    auto& core = node.consensus;
    core.commit_index = last_index(core);
    BOOST_OUTCOME_TRYV(apply_committed(node));
    core.hard = {next_bits(core.random) | 1U, core.hard.term + 1, {}};
    core.settings.trailing_entries = 0;
    BOOST_OUTCOME_TRYV(take_snapshot(node, {{{core.name, core.disk, true}}, {}}));
    core.settings.trailing_entries = node.settings.consensus.trailing_entries;
    core.membership_log = {{core.base_index, core.snapshot.meta.members}};
    start_consensus(core, now);
    return ok();
}

} // namespace fireflycrank
