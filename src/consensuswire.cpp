#include "consensuswire.h"

#include "consensus.pb.h"

#include <limits>

namespace fireflycrank {

namespace {

template <class T>
result<T> parse_bytes(std::string_view bytes, char const* what) {
    T parsed;
    if (bytes.size() > std::numeric_limits<int>::max() ||
        !parsed.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return fail(error_kind::corrupt_data, std::string{what} + " cannot be parsed",
                    "check that all replicas run compatible versions");
    }
    return parsed;
}

std::int64_t milliseconds(wall_time at) {
    return at.time_since_epoch().count();
}

wall_time wall_from(std::int64_t at) {
    return wall_time{std::chrono::milliseconds{at}};
}

template <class Repeated>
void put_members(member_list const& members, Repeated* out) {
    for (auto const& one : members) {
        auto* const added = out->Add();
        added->set_name(one.name);
        added->set_disk(one.disk);
        added->set_voter(one.voter);
    }
}

template <class Repeated>
member_list take_members(Repeated const& in) {
    member_list members;
    for (auto const& one : in) {
        members.push_back({one.name(), one.disk(), one.voter()});
    }
    return members;
}

void put_entry(log_entry const& entry, wire::LogEntry& out) {
    out.set_index(entry.index);
    out.set_term(entry.term);
    out.set_kind(static_cast<std::uint32_t>(entry.kind));
    out.set_data(entry.data);
    put_members(entry.members.current, out.mutable_members());
    put_members(entry.members.previous, out.mutable_previous());
}

template <class Repeated>
std::vector<log_entry> take_entries(Repeated& in) {
    std::vector<log_entry> entries;
    entries.reserve(static_cast<std::size_t>(in.size()));
    for (auto& one : in) {
        entries.push_back({one.index(),
                           one.term(),
                           static_cast<entry_kind>(one.kind()),
                           std::move(*one.mutable_data()),
                           {take_members(one.members()), take_members(one.previous())}});
    }
    return entries;
}

void put_meta(snapshot_meta const& meta, wire::LogSnapshot& out) {
    out.set_index(meta.index);
    out.set_term(meta.term);
    out.set_digest(meta.digest);
    put_members(meta.members.current, out.mutable_members());
    put_members(meta.members.previous, out.mutable_previous());
}

snapshot_meta take_meta(wire::LogSnapshot const& in) {
    return {in.index(),
            in.term(),
            {take_members(in.members()), take_members(in.previous())},
            in.digest()};
}

template <class Map>
void put_files(settings_files const& files, Map& out) {
    for (auto const& [name, content] : files) {
        out[name] = content;
    }
}

template <class Map>
settings_files take_files(Map const& in) {
    return {in.begin(), in.end()};
}

void put_reply(config_reply const& reply, wire::ConfigReply& out) {
    out.set_outcome(static_cast<std::uint32_t>(reply.outcome));
    out.set_revision(reply.revision);
    out.set_digest(reply.digest);
    out.set_winner_revision(reply.winner_revision);
    out.set_winner_operator(reply.winner_operator);
    out.set_winner_change_id(reply.winner_change_id);
}

config_reply take_reply(wire::ConfigReply const& in) {
    return {static_cast<config_outcome>(in.outcome()),
            in.revision(),
            in.digest(),
            in.winner_revision(),
            in.winner_operator(),
            in.winner_change_id()};
}

} // namespace

std::string serialize_consensus_message(consensus_message const& plain) {
    wire::ConsensusMessage out;
    out.set_kind(static_cast<std::uint32_t>(plain.kind));
    out.set_from(plain.from);
    out.set_from_disk(plain.from_disk);
    out.set_to(plain.to);
    out.set_to_disk(plain.to_disk);
    out.set_cluster(plain.cluster);
    out.set_term(plain.term);
    out.set_index(plain.index);
    out.set_log_term(plain.log_term);
    out.set_commit(plain.commit_index);
    for (auto const& entry : plain.entries) {
        put_entry(entry, *out.add_entries());
    }
    out.set_success(plain.success);
    out.set_hint(plain.reject_hint);
    out.set_sent_at(plain.sent_at);
    if (plain.kind == message_kind::snapshot_chunk) {
        put_meta(plain.snapshot, *out.mutable_snapshot());
    }
    out.set_offset(plain.offset);
    out.set_total(plain.total);
    out.set_chunk(plain.chunk);
    out.set_echo_disk(plain.echo_disk);
    return out.SerializeAsString();
}

result<consensus_message> parse_consensus_message(std::string_view bytes) {
    BOOST_OUTCOME_TRY(in, parse_bytes<wire::ConsensusMessage>(bytes, "replica message"));
    if (in.kind() > static_cast<std::uint32_t>(message_kind::snapshot_reply)) {
        return fail(error_kind::corrupt_data, "replica message of an unknown kind",
                    "check that all replicas run compatible versions");
    }
    consensus_message plain;
    plain.kind = static_cast<message_kind>(in.kind());
    plain.from = in.from();
    plain.from_disk = in.from_disk();
    plain.to = in.to();
    plain.to_disk = in.to_disk();
    plain.cluster = in.cluster();
    plain.term = in.term();
    plain.index = in.index();
    plain.log_term = in.log_term();
    plain.commit_index = in.commit();
    plain.entries = take_entries(*in.mutable_entries());
    plain.success = in.success();
    plain.reject_hint = in.hint();
    plain.sent_at = in.sent_at();
    plain.snapshot = take_meta(in.snapshot());
    plain.offset = in.offset();
    plain.total = in.total();
    plain.chunk = std::move(*in.mutable_chunk());
    plain.echo_disk = in.echo_disk();
    return plain;
}

std::string serialize_log_record(log_record const& plain) {
    wire::LogRecord out;
    if (plain.has_hard_state) {
        out.mutable_hard()->set_cluster(plain.hard.cluster);
        out.mutable_hard()->set_term(plain.hard.term);
        out.mutable_hard()->set_vote(plain.hard.vote);
    }
    for (auto const& entry : plain.entries) {
        put_entry(entry, *out.add_entries());
    }
    return out.SerializeAsString();
}

result<log_record> parse_log_record(std::string_view bytes) {
    BOOST_OUTCOME_TRY(in, parse_bytes<wire::LogRecord>(bytes, "log record"));
    log_record plain;
    plain.has_hard_state = in.has_hard();
    plain.hard = {in.hard().cluster(), in.hard().term(), in.hard().vote()};
    plain.entries = take_entries(*in.mutable_entries());
    return plain;
}

std::string serialize_snapshot_meta(snapshot_meta const& plain) {
    wire::LogSnapshot out;
    put_meta(plain, out);
    return out.SerializeAsString();
}

result<snapshot_meta> parse_snapshot_meta(std::string_view bytes) {
    BOOST_OUTCOME_TRY(in, parse_bytes<wire::LogSnapshot>(bytes, "snapshot header"));
    return take_meta(in);
}

std::string serialize_control_command(control_command const& plain) {
    wire::ControlCommand out;
    out.set_kind(plain.kind);
    out.set_body(plain.body);
    out.set_at_ms(milliseconds(plain.at));
    return out.SerializeAsString();
}

result<control_command> parse_control_command(std::string_view bytes) {
    BOOST_OUTCOME_TRY(in, parse_bytes<wire::ControlCommand>(bytes, "control command"));
    return control_command{std::move(*in.mutable_kind()), std::move(*in.mutable_body()),
                           wall_from(in.at_ms())};
}

std::string serialize_config_change(config_change const& plain) {
    wire::ConfigChange out;
    out.set_base_revision(plain.base_revision);
    out.set_change_id(plain.change_id);
    out.set_operator_(plain.operator_name);
    put_files(plain.files, *out.mutable_files());
    return out.SerializeAsString();
}

result<config_change> parse_config_change(std::string_view bytes) {
    BOOST_OUTCOME_TRY(in, parse_bytes<wire::ConfigChange>(bytes, "configuration change"));
    return config_change{in.base_revision(), in.change_id(), in.operator_(),
                         take_files(in.files())};
}

std::string serialize_config_reply(config_reply const& plain) {
    wire::ConfigReply out;
    put_reply(plain, out);
    return out.SerializeAsString();
}

result<config_reply> parse_config_reply(std::string_view bytes) {
    BOOST_OUTCOME_TRY(in, parse_bytes<wire::ConfigReply>(bytes, "configuration reply"));
    return take_reply(in);
}

std::string serialize_config_delta(config_delta const& plain) {
    wire::ConfigDelta out;
    out.set_from(plain.from);
    out.set_to(plain.to);
    out.set_digest(plain.digest);
    put_files(plain.files, *out.mutable_files());
    out.mutable_removed()->Add(plain.removed.begin(), plain.removed.end());
    out.set_whole(plain.complete);
    return out.SerializeAsString();
}

result<config_delta> parse_config_delta(std::string_view bytes) {
    BOOST_OUTCOME_TRY(in, parse_bytes<wire::ConfigDelta>(bytes, "configuration difference"));
    return config_delta{in.from(),
                        in.to(),
                        in.digest(),
                        take_files(in.files()),
                        {in.removed().begin(), in.removed().end()},
                        in.whole()};
}

std::string serialize_config_query(std::uint64_t from) {
    wire::ConfigQuery out;
    out.set_from(from);
    return out.SerializeAsString();
}

result<std::uint64_t> parse_config_query(std::string_view bytes) {
    BOOST_OUTCOME_TRY(in, parse_bytes<wire::ConfigQuery>(bytes, "configuration query"));
    return in.from();
}

std::string serialize_config_table(config_table const& plain) {
    wire::ConfigTable out;
    out.set_revision(plain.revision);
    put_files(plain.files, *out.mutable_files());
    for (auto const& one : plain.history) {
        auto* const added = out.add_history();
        added->set_revision(one.revision);
        added->set_change_id(one.change_id);
        added->set_operator_(one.operator_name);
        added->set_digest(one.digest);
        added->set_at_ms(milliseconds(one.at));
        put_files(one.files, *added->mutable_files());
        added->mutable_removed()->Add(one.removed.begin(), one.removed.end());
    }
    for (auto const& one : plain.replies) {
        auto* const added = out.add_replies();
        added->set_change_id(one.change_id);
        added->set_content(one.content_digest);
        added->set_at_ms(milliseconds(one.at));
        put_reply(one.reply, *added->mutable_reply());
    }
    out.set_latest_ms(milliseconds(plain.latest_command_at));
    return out.SerializeAsString();
}

result<config_table> parse_config_table(std::string_view bytes) {
    BOOST_OUTCOME_TRY(in, parse_bytes<wire::ConfigTable>(bytes, "configuration table"));
    config_table plain;
    plain.revision = in.revision();
    plain.files = take_files(in.files());
    for (auto const& one : in.history()) {
        plain.history.push_back({one.revision(),
                                 one.change_id(),
                                 one.operator_(),
                                 one.digest(),
                                 wall_from(one.at_ms()),
                                 take_files(one.files()),
                                 {one.removed().begin(), one.removed().end()}});
    }
    for (auto const& one : in.replies()) {
        plain.replies.push_back(
            {one.change_id(), one.content(), wall_from(one.at_ms()), take_reply(one.reply())});
    }
    plain.latest_command_at = wall_from(in.latest_ms());
    return plain;
}

std::string serialize_table_map(std::uint64_t applied,
                                std::map<std::string, std::string> const& tables) {
    wire::ControlTables out;
    out.set_applied(applied);
    put_files(tables, *out.mutable_tables());
    return out.SerializeAsString();
}

result<std::map<std::string, std::string>> parse_table_map(std::string_view bytes,
                                                           std::uint64_t& applied) {
    BOOST_OUTCOME_TRY(in, parse_bytes<wire::ControlTables>(bytes, "snapshot of the tables"));
    applied = in.applied();
    return take_files(in.tables());
}

} // namespace fireflycrank
