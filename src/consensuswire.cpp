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

std::int64_t to_milliseconds(wall_time at) {
    return at.time_since_epoch().count();
}

wall_time to_wall_time(std::int64_t at) {
    return wall_time{std::chrono::milliseconds{at}};
}

template <class Repeated>
void encode_members(member_list const& members, Repeated* out) {
    for (auto const& item : members) {
        auto* const added = out->Add();
        added->set_name(item.name);
        added->set_disk(item.disk);
        added->set_voter(item.voter);
    }
}

template <class Repeated>
member_list decode_members(Repeated const& in) {
    member_list members;
    for (auto const& item : in) {
        members.push_back({item.name(), item.disk(), item.voter()});
    }
    return members;
}

void encode_entry(log_entry const& entry, wire::LogEntry& out) {
    out.set_index(entry.index);
    out.set_term(entry.term);
    out.set_kind(static_cast<std::uint32_t>(entry.kind));
    out.set_data(entry.data);
    encode_members(entry.members.current, out.mutable_members());
    encode_members(entry.members.previous, out.mutable_previous());
}

template <class Repeated>
std::vector<log_entry> decode_entries(Repeated& in) {
    std::vector<log_entry> entries;
    entries.reserve(static_cast<std::size_t>(in.size()));
    for (auto& item : in) {
        entries.push_back({item.index(),
                           item.term(),
                           static_cast<entry_kind>(item.kind()),
                           std::move(*item.mutable_data()),
                           {decode_members(item.members()), decode_members(item.previous())}});
    }
    return entries;
}

void encode_snapshot_meta(snapshot_meta const& meta, wire::LogSnapshot& out) {
    out.set_index(meta.index);
    out.set_term(meta.term);
    out.set_digest(meta.digest);
    encode_members(meta.members.current, out.mutable_members());
    encode_members(meta.members.previous, out.mutable_previous());
}

snapshot_meta decode_snapshot_meta(wire::LogSnapshot const& in) {
    return {in.index(),
            in.term(),
            {decode_members(in.members()), decode_members(in.previous())},
            in.digest()};
}

template <class Map>
void encode_files(settings_files const& files, Map& out) {
    for (auto const& [name, content] : files) {
        out[name] = content;
    }
}

template <class Map>
settings_files decode_files(Map const& in) {
    return {in.begin(), in.end()};
}

void encode_config_reply(config_reply const& reply, wire::ConfigReply& out) {
    out.set_outcome(static_cast<std::uint32_t>(reply.outcome));
    out.set_revision(reply.revision);
    out.set_digest(reply.digest);
    out.set_winner_revision(reply.winner_revision);
    out.set_winner_operator(reply.winner_operator);
    out.set_winner_change_id(reply.winner_change_id);
}

config_reply decode_config_reply(wire::ConfigReply const& in) {
    return {static_cast<config_outcome>(in.outcome()),
            in.revision(),
            in.digest(),
            in.winner_revision(),
            in.winner_operator(),
            in.winner_change_id()};
}

} // namespace

std::string serialize_consensus_message(consensus_message const& value) {
    wire::ConsensusMessage out;
    out.set_kind(static_cast<std::uint32_t>(value.kind));
    out.set_from(value.from);
    out.set_from_disk(value.from_disk);
    out.set_to(value.to);
    out.set_to_disk(value.to_disk);
    out.set_cluster(value.cluster);
    out.set_term(value.term);
    out.set_index(value.index);
    out.set_log_term(value.log_term);
    out.set_commit(value.commit_index);
    for (auto const& entry : value.entries) {
        encode_entry(entry, *out.add_entries());
    }
    out.set_success(value.success);
    out.set_hint(value.reject_hint);
    out.set_sent_at(value.sent_at);
    if (value.kind == message_kind::snapshot_chunk) {
        encode_snapshot_meta(value.snapshot, *out.mutable_snapshot());
    }
    out.set_offset(value.offset);
    out.set_total(value.total);
    out.set_chunk(value.chunk);
    out.set_echo_disk(value.echo_disk);
    return out.SerializeAsString();
}

result<consensus_message> parse_consensus_message(std::string_view bytes) {
    BOOST_OUTCOME_TRY(in, parse_bytes<wire::ConsensusMessage>(bytes, "replica message"));
    if (in.kind() > static_cast<std::uint32_t>(message_kind::snapshot_reply)) {
        return fail(error_kind::corrupt_data, "replica message of an unknown kind",
                    "check that all replicas run compatible versions");
    }
    consensus_message value;
    value.kind = static_cast<message_kind>(in.kind());
    value.from = in.from();
    value.from_disk = in.from_disk();
    value.to = in.to();
    value.to_disk = in.to_disk();
    value.cluster = in.cluster();
    value.term = in.term();
    value.index = in.index();
    value.log_term = in.log_term();
    value.commit_index = in.commit();
    value.entries = decode_entries(*in.mutable_entries());
    value.success = in.success();
    value.reject_hint = in.hint();
    value.sent_at = in.sent_at();
    value.snapshot = decode_snapshot_meta(in.snapshot());
    value.offset = in.offset();
    value.total = in.total();
    value.chunk = std::move(*in.mutable_chunk());
    value.echo_disk = in.echo_disk();
    return value;
}

std::string serialize_log_record(log_record const& value) {
    wire::LogRecord out;
    if (value.has_hard_state) {
        out.mutable_hard()->set_cluster(value.hard.cluster);
        out.mutable_hard()->set_term(value.hard.term);
        out.mutable_hard()->set_vote(value.hard.vote);
    }
    for (auto const& entry : value.entries) {
        encode_entry(entry, *out.add_entries());
    }
    return out.SerializeAsString();
}

result<log_record> parse_log_record(std::string_view bytes) {
    BOOST_OUTCOME_TRY(in, parse_bytes<wire::LogRecord>(bytes, "log record"));
    log_record value;
    value.has_hard_state = in.has_hard();
    value.hard = {in.hard().cluster(), in.hard().term(), in.hard().vote()};
    value.entries = decode_entries(*in.mutable_entries());
    return value;
}

std::string serialize_snapshot_meta(snapshot_meta const& value) {
    wire::LogSnapshot out;
    encode_snapshot_meta(value, out);
    return out.SerializeAsString();
}

result<snapshot_meta> parse_snapshot_meta(std::string_view bytes) {
    BOOST_OUTCOME_TRY(in, parse_bytes<wire::LogSnapshot>(bytes, "snapshot header"));
    return decode_snapshot_meta(in);
}

std::string serialize_control_command(control_command const& value) {
    wire::ControlCommand out;
    out.set_kind(value.kind);
    out.set_body(value.body);
    out.set_at_ms(to_milliseconds(value.at));
    return out.SerializeAsString();
}

result<control_command> parse_control_command(std::string_view bytes) {
    BOOST_OUTCOME_TRY(in, parse_bytes<wire::ControlCommand>(bytes, "control command"));
    return control_command{std::move(*in.mutable_kind()), std::move(*in.mutable_body()),
                           to_wall_time(in.at_ms())};
}

std::string serialize_config_change(config_change const& value) {
    wire::ConfigChange out;
    out.set_base_revision(value.base_revision);
    out.set_change_id(value.change_id);
    out.set_operator_(value.operator_name);
    encode_files(value.files, *out.mutable_files());
    return out.SerializeAsString();
}

result<config_change> parse_config_change(std::string_view bytes) {
    BOOST_OUTCOME_TRY(in, parse_bytes<wire::ConfigChange>(bytes, "configuration change"));
    return config_change{in.base_revision(), in.change_id(), in.operator_(),
                         decode_files(in.files())};
}

std::string serialize_config_reply(config_reply const& value) {
    wire::ConfigReply out;
    encode_config_reply(value, out);
    return out.SerializeAsString();
}

result<config_reply> parse_config_reply(std::string_view bytes) {
    BOOST_OUTCOME_TRY(in, parse_bytes<wire::ConfigReply>(bytes, "configuration reply"));
    return decode_config_reply(in);
}

std::string serialize_config_delta(config_delta const& value) {
    wire::ConfigDelta out;
    out.set_from(value.from);
    out.set_to(value.to);
    out.set_digest(value.digest);
    encode_files(value.files, *out.mutable_files());
    out.mutable_removed()->Add(value.removed.begin(), value.removed.end());
    out.set_whole(value.complete);
    return out.SerializeAsString();
}

result<config_delta> parse_config_delta(std::string_view bytes) {
    BOOST_OUTCOME_TRY(in, parse_bytes<wire::ConfigDelta>(bytes, "configuration difference"));
    return config_delta{in.from(),
                        in.to(),
                        in.digest(),
                        decode_files(in.files()),
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

std::string serialize_config_table(config_table const& value) {
    wire::ConfigTable out;
    out.set_revision(value.revision);
    encode_files(value.files, *out.mutable_files());
    for (auto const& item : value.history) {
        auto* const added = out.add_history();
        added->set_revision(item.revision);
        added->set_change_id(item.change_id);
        added->set_operator_(item.operator_name);
        added->set_digest(item.digest);
        added->set_at_ms(to_milliseconds(item.at));
        encode_files(item.files, *added->mutable_files());
        added->mutable_removed()->Add(item.removed.begin(), item.removed.end());
    }
    for (auto const& item : value.replies) {
        auto* const added = out.add_replies();
        added->set_change_id(item.change_id);
        added->set_content(item.content_digest);
        added->set_at_ms(to_milliseconds(item.at));
        encode_config_reply(item.reply, *added->mutable_reply());
    }
    out.set_latest_ms(to_milliseconds(value.latest_command_at));
    return out.SerializeAsString();
}

result<config_table> parse_config_table(std::string_view bytes) {
    BOOST_OUTCOME_TRY(in, parse_bytes<wire::ConfigTable>(bytes, "configuration table"));
    config_table value;
    value.revision = in.revision();
    value.files = decode_files(in.files());
    for (auto const& item : in.history()) {
        value.history.push_back({item.revision(),
                                 item.change_id(),
                                 item.operator_(),
                                 item.digest(),
                                 to_wall_time(item.at_ms()),
                                 decode_files(item.files()),
                                 {item.removed().begin(), item.removed().end()}});
    }
    for (auto const& item : in.replies()) {
        value.replies.push_back({item.change_id(), item.content(), to_wall_time(item.at_ms()),
                                 decode_config_reply(item.reply())});
    }
    value.latest_command_at = to_wall_time(in.latest_ms());
    return value;
}

std::string serialize_table_map(std::uint64_t applied,
                                std::map<std::string, std::string> const& tables) {
    wire::ControlTables out;
    out.set_applied(applied);
    encode_files(tables, *out.mutable_tables());
    return out.SerializeAsString();
}

result<std::map<std::string, std::string>> parse_table_map(std::string_view bytes,
                                                           std::uint64_t& applied) {
    BOOST_OUTCOME_TRY(in, parse_bytes<wire::ControlTables>(bytes, "snapshot of the tables"));
    applied = in.applied();
    return decode_files(in.tables());
}

} // namespace fireflycrank
