#include "expertswire.h"

#include "experts.pb.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

namespace fireflycrank {

namespace {

// Maps are written in key order, so that replicas with equal state have equal snapshots.
template <class Message>
std::string bytes_of(Message const& message) {
    std::string bytes;
    {
        google::protobuf::io::StringOutputStream stream(&bytes);
        google::protobuf::io::CodedOutputStream coded(&stream);
        coded.SetSerializationDeterministic(true);
        message.SerializeToCodedStream(&coded);
    }
    return bytes;
}

template <class Message>
bool read(Message& message, std::string_view bytes) {
    return message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

auto damaged(char const* what) {
    return fail(error_kind::corrupt_data, std::string{what} + " cannot be parsed",
                "check that all replicas and agents run the same version");
}

// Reads an enum; values from a newer version are an error, never a guess.
template <class Enum>
bool to_enum(std::uint32_t value, Enum last, Enum& out) {
    if (value > static_cast<std::uint32_t>(last)) {
        return false;
    }
    out = static_cast<Enum>(value);
    return true;
}

std::int64_t milliseconds(wall_time time) {
    return time.time_since_epoch().count();
}

wall_time to_wall(std::int64_t time) {
    return wall_time{std::chrono::milliseconds{time}};
}

void put(wire::ExpertMap& out, expert_map const& map) {
    out.set_id(map.id);
    out.mutable_members()->Assign(map.members.begin(), map.members.end());
    out.set_slots_per_rank(map.slots_per_rank);
    for (auto const& layer : map.layers) {
        auto& added = *out.add_layers();
        added.mutable_slot_expert()->Assign(layer.slot_expert.begin(), layer.slot_expert.end());
        added.mutable_share()->Assign(layer.share.begin(), layer.share.end());
    }
}

bool take(wire::ExpertMap const& in, expert_map& map) {
    map.id = in.id();
    map.members.assign(in.members().begin(), in.members().end());
    map.slots_per_rank = in.slots_per_rank();
    for (auto const& layer : in.layers()) {
        auto& added = map.layers.emplace_back();
        for (auto const expert : layer.slot_expert()) {
            if (expert > no_expert) {
                return false;
            }
            added.slot_expert.push_back(static_cast<std::uint16_t>(expert));
        }
        added.share.assign(layer.share().begin(), layer.share().end());
    }
    return true;
}

void put(wire::GroupRecord& out, group_record const& record) {
    out.set_revision(record.revision);
    out.set_fence(record.fence);
    put(*out.mutable_current(), record.current);
    put(*out.mutable_previous(), record.previous);
    out.set_from_step(record.from_step);
    auto& pending = *out.mutable_pending();
    pending.set_id(record.pending.id);
    pending.set_phase(static_cast<std::uint32_t>(record.pending.phase));
    put(*pending.mutable_map(), record.pending.map);
    pending.mutable_dead()->Assign(record.pending.dead_ranks.begin(),
                                   record.pending.dead_ranks.end());
    pending.set_at_step(record.pending.at_step);
    pending.set_deadline_ms(milliseconds(record.pending.deadline));
    out.set_last_switch(record.last_switch);
    out.set_last_committed(record.last_committed);
    out.set_last_cause(record.last_cause);
}

bool take(wire::GroupRecord const& in, group_record& record) {
    record.revision = in.revision();
    record.fence = in.fence();
    record.from_step = in.from_step();
    auto const& pending = in.pending();
    record.pending.id = pending.id();
    record.pending.dead_ranks.assign(pending.dead().begin(), pending.dead().end());
    record.pending.at_step = pending.at_step();
    record.pending.deadline = to_wall(pending.deadline_ms());
    record.last_switch = in.last_switch();
    record.last_committed = in.last_committed();
    record.last_cause = in.last_cause();
    return take(in.current(), record.current) && take(in.previous(), record.previous) &&
           take(pending.map(), record.pending.map) &&
           to_enum(pending.phase(), switch_phase::armed, record.pending.phase);
}

void put(wire::MapAsk& out, map_view_query const& ask) {
    out.set_group(ask.group);
    out.set_rank(ask.rank);
    out.set_incarnation(ask.incarnation);
    out.set_ask(ask.query_id);
}

map_view_query take(wire::MapAsk const& in) {
    return {in.group(), in.rank(), in.incarnation(), in.ask()};
}

void put(wire::RankReport& out, rank_report const& report) {
    out.set_group(report.group);
    out.set_rank(report.rank);
    out.set_incarnation(report.incarnation);
    out.set_revision(report.revision);
    out.set_prepared_switch(report.prepared_switch);
    out.set_armed_switch(report.armed_switch);
    out.set_refused_switch(report.refused_switch);
    out.set_next_step(report.next_step);
}

rank_report take(wire::RankReport const& in) {
    return {in.group(),           in.rank(),         in.incarnation(),    in.revision(),
            in.prepared_switch(), in.armed_switch(), in.refused_switch(), in.next_step()};
}

void put(wire::PlacementChange& out, placement_change const& change) {
    out.set_action(static_cast<std::uint32_t>(change.action));
    out.set_target(change.target);
    out.set_model(change.model);
    out.set_version(change.version);
    out.set_adapter(change.adapter);
    out.set_role(static_cast<std::uint32_t>(change.role));
    out.set_fetch_bytes(change.fetch_bytes);
    out.set_cause(change.cause);
    out.set_target_incarnation(change.target_incarnation);
    out.set_gain(change.gain);
    out.set_cost_ns(change.cost.count());
}

bool take(wire::PlacementChange const& in, placement_change& change) {
    change.target = in.target();
    change.model = in.model();
    change.version = in.version();
    change.adapter = in.adapter();
    change.fetch_bytes = in.fetch_bytes();
    change.cause = in.cause();
    change.target_incarnation = in.target_incarnation();
    change.gain = in.gain();
    change.cost = duration{in.cost_ns()};
    return to_enum(in.action(), placement_action::change_role, change.action) &&
           to_enum(in.role(), target_role::decode, change.role);
}

void put(wire::RolloutRecord& out, rollout_record const& rollout) {
    out.set_id(rollout.id);
    out.set_model(rollout.model);
    out.set_from_version(rollout.from_version);
    out.set_to_version(rollout.to_version);
    out.set_bytes(rollout.bytes);
    out.set_batch(rollout.batch);
    out.set_max_failures(rollout.max_failures);
    out.set_min_ready(rollout.min_ready);
    out.set_soak_ms(rollout.soak.count());
    out.set_phase(static_cast<std::uint32_t>(rollout.phase));
    out.set_failures(rollout.failures);
    out.set_batch_done_ms(milliseconds(rollout.batch_done));
    out.set_cause(rollout.cause);
}

bool take(wire::RolloutRecord const& in, rollout_record& rollout) {
    rollout.id = in.id();
    rollout.model = in.model();
    rollout.from_version = in.from_version();
    rollout.to_version = in.to_version();
    rollout.bytes = in.bytes();
    rollout.batch = in.batch();
    rollout.max_failures = in.max_failures();
    rollout.min_ready = in.min_ready();
    rollout.soak = std::chrono::milliseconds{in.soak_ms()};
    rollout.failures = in.failures();
    rollout.batch_done = to_wall(in.batch_done_ms());
    rollout.cause = in.cause();
    return to_enum(in.phase(), rollout_phase::stopped, rollout.phase);
}

bool take(wire::RecordedOrder const& in, recorded_order& order) {
    order.id = in.id();
    order.rollout = in.rollout();
    order.recorded = to_wall(in.recorded_ms());
    order.fence = in.fence();
    order.message = in.message();
    return take(in.change(), order.change) && to_enum(in.state(), order_state::failed, order.state);
}

} // namespace

std::string serialize(map_table const& table) {
    wire::MapTable out;
    for (auto const& [name, record] : table.groups) {
        put((*out.mutable_groups())[name], record);
    }
    return bytes_of(out);
}

result<map_table> parse_map_table(std::string_view bytes) {
    wire::MapTable in;
    map_table table;
    bool good = read(in, bytes);
    for (auto const& [name, record] : in.groups()) {
        good = good && take(record, table.groups[name]);
    }
    if (!good) {
        return damaged("map table");
    }
    return table;
}

std::string serialize(map_command const& command) {
    wire::MapCommand out;
    out.set_kind(static_cast<std::uint32_t>(command.kind));
    out.set_group(command.group);
    out.set_fence(command.fence);
    out.set_revision(command.revision);
    put(*out.mutable_map(), command.map);
    out.mutable_dead()->Assign(command.dead_ranks.begin(), command.dead_ranks.end());
    out.set_at_step(command.at_step);
    out.set_commit(command.commit);
    out.set_at_ms(milliseconds(command.at));
    out.set_deadline_ms(milliseconds(command.deadline));
    out.set_cause(command.cause);
    return bytes_of(out);
}

result<map_command> parse_map_command(std::string_view bytes) {
    wire::MapCommand in;
    map_command command;
    if (!read(in, bytes) || !to_enum(in.kind(), map_command_kind::decide, command.kind) ||
        !take(in.map(), command.map)) {
        return damaged("map command");
    }
    command.group = in.group();
    command.fence = in.fence();
    command.revision = in.revision();
    command.dead_ranks.assign(in.dead().begin(), in.dead().end());
    command.at_step = in.at_step();
    command.commit = in.commit();
    command.at = to_wall(in.at_ms());
    command.deadline = to_wall(in.deadline_ms());
    command.cause = in.cause();
    return command;
}

std::string serialize(map_command_reply const& reply) {
    wire::MapCommandReply out;
    out.set_accepted(reply.accepted);
    out.set_reason(reply.reason);
    out.set_revision(reply.revision);
    return bytes_of(out);
}

result<map_command_reply> parse_map_reply(std::string_view bytes) {
    wire::MapCommandReply in;
    if (!read(in, bytes)) {
        return damaged("map reply");
    }
    return map_command_reply{in.accepted(), in.reason(), in.revision()};
}

std::string serialize(map_view_message const& message) {
    wire::MapView out;
    out.set_group(message.group);
    out.set_rank(message.rank);
    out.set_fence(message.fence);
    auto& view = *out.mutable_view();
    view.set_revision(message.view.revision);
    view.set_map(message.view.map);
    view.set_previous_map(message.view.previous_map);
    view.set_from_step(message.view.from_step);
    view.set_switch_id(message.view.switch_id);
    view.set_phase(static_cast<std::uint32_t>(message.view.phase));
    view.set_next_map(message.view.next_map);
    view.set_at_step(message.view.at_step);
    view.set_member(message.view.member);
    view.set_previous_member(message.view.previous_member);
    view.set_next_member(message.view.next_member);
    out.set_incarnation(message.incarnation);
    out.set_ask(message.query_id);
    out.set_fetch(message.may_fetch);
    return bytes_of(out);
}

result<map_view_message> parse_map_view(std::string_view bytes) {
    wire::MapView in;
    map_view_message message;
    auto& view = message.view;
    if (!read(in, bytes) || !to_enum(in.view().phase(), switch_phase::armed, view.phase)) {
        return damaged("map view");
    }
    message.group = in.group();
    message.rank = in.rank();
    message.fence = in.fence();
    view.revision = in.view().revision();
    view.map = in.view().map();
    view.previous_map = in.view().previous_map();
    view.from_step = in.view().from_step();
    view.switch_id = in.view().switch_id();
    view.next_map = in.view().next_map();
    view.at_step = in.view().at_step();
    view.member = in.view().member();
    view.previous_member = in.view().previous_member();
    view.next_member = in.view().next_member();
    message.incarnation = in.incarnation();
    message.query_id = in.ask();
    message.may_fetch = in.fetch();
    return message;
}

std::string serialize(map_view_query const& ask) {
    wire::MapAsk out;
    put(out, ask);
    return bytes_of(out);
}

result<map_view_query> parse_map_ask(std::string_view bytes) {
    wire::MapAsk in;
    if (!read(in, bytes)) {
        return damaged("map question");
    }
    return take(in);
}

std::string serialize(rank_report const& report) {
    wire::RankReport out;
    put(out, report);
    return bytes_of(out);
}

result<rank_report> parse_rank_report(std::string_view bytes) {
    wire::RankReport in;
    if (!read(in, bytes)) {
        return damaged("rank report");
    }
    return take(in);
}

std::string serialize(group_report const& report) {
    wire::GroupReport out;
    out.set_model(report.model);
    put(*out.mutable_report(), report.progress);
    for (auto const& layer : report.counts) {
        out.add_counts()->mutable_tokens()->Assign(layer.begin(), layer.end());
    }
    return bytes_of(out);
}

result<group_report> parse_group_report(std::string_view bytes) {
    wire::GroupReport in;
    if (!read(in, bytes)) {
        return damaged("group report");
    }
    group_report report{in.model(), take(in.report()), {}};
    for (auto const& layer : in.counts()) {
        report.counts.emplace_back(layer.tokens().begin(), layer.tokens().end());
    }
    return report;
}

std::string serialize(map_table_query const& question) {
    wire::MapQuestion out;
    put(*out.mutable_ask(), question.view_query);
    out.set_group(question.group);
    out.set_content(question.map_id);
    return bytes_of(out);
}

result<map_table_query> parse_map_question(std::string_view bytes) {
    wire::MapQuestion in;
    if (!read(in, bytes)) {
        return damaged("map question");
    }
    return map_table_query{take(in.ask()), in.group(), in.content()};
}

std::string serialize(map_content const& content) {
    wire::MapContent out;
    out.set_group(content.group);
    put(*out.mutable_map(), content.map);
    return bytes_of(out);
}

result<map_content> parse_map_content(std::string_view bytes) {
    wire::MapContent in;
    map_content content;
    if (!read(in, bytes) || !take(in.map(), content.map)) {
        return damaged("map content");
    }
    content.group = in.group();
    return content;
}

std::string serialize(placement_table const& table) {
    wire::PlacementTable out;
    for (auto const& [id, order] : table.orders) {
        auto& added = *out.add_orders();
        added.set_id(order.id);
        put(*added.mutable_change(), order.change);
        added.set_rollout(order.rollout);
        added.set_state(static_cast<std::uint32_t>(order.state));
        added.set_recorded_ms(milliseconds(order.recorded));
        added.set_fence(order.fence);
        added.set_message(order.message);
    }
    for (auto const& [id, rollout] : table.rollouts) {
        put(*out.add_rollouts(), rollout);
    }
    out.set_next_order(table.next_order);
    out.set_fence(table.fence);
    return bytes_of(out);
}

result<placement_table> parse_placement_table(std::string_view bytes) {
    wire::PlacementTable in;
    placement_table table;
    bool good = read(in, bytes);
    for (auto const& order : in.orders()) {
        good = good && take(order, table.orders[order.id()]);
    }
    for (auto const& rollout : in.rollouts()) {
        good = good && take(rollout, table.rollouts[rollout.id()]);
    }
    if (!good) {
        return damaged("placement table");
    }
    table.next_order = in.next_order();
    table.fence = in.fence();
    return table;
}

std::string serialize(placement_command const& command) {
    wire::PlacementCommand out;
    out.set_kind(static_cast<std::uint32_t>(command.kind));
    out.set_fence(command.fence);
    out.set_at_ms(milliseconds(command.at));
    out.set_request(command.request);
    put(*out.mutable_rollout(), command.rollout);
    put(*out.mutable_change(), command.change);
    out.set_order(command.order);
    out.set_succeeded(command.succeeded);
    out.set_message(command.message);
    return bytes_of(out);
}

result<placement_command> parse_placement_command(std::string_view bytes) {
    wire::PlacementCommand in;
    placement_command command;
    if (!read(in, bytes) ||
        !to_enum(in.kind(), placement_command_kind::stop_rollout, command.kind) ||
        !take(in.rollout(), command.rollout) || !take(in.change(), command.change)) {
        return damaged("placement command");
    }
    command.fence = in.fence();
    command.at = to_wall(in.at_ms());
    command.request = in.request();
    command.order = in.order();
    command.succeeded = in.succeeded();
    command.message = in.message();
    return command;
}

std::string serialize(placement_reply const& reply) {
    wire::PlacementCommandReply out;
    out.set_accepted(reply.accepted);
    out.set_reason(reply.reason);
    out.set_order(reply.order);
    return bytes_of(out);
}

result<placement_reply> parse_placement_reply(std::string_view bytes) {
    wire::PlacementCommandReply in;
    if (!read(in, bytes)) {
        return damaged("placement reply");
    }
    return placement_reply{in.accepted(), in.reason(), in.order()};
}

} // namespace fireflycrank
