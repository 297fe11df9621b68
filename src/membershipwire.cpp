#include "membershipwire.h"

#include "membership.pb.h"

#include <optional>
#include <utility>

namespace fireflycrank {

namespace {

auto corrupt(char const* what) {
    return fail(error_kind::corrupt_data, std::string{"malformed "} + what,
                "check that both processes run compatible versions; the message was dropped");
}

template <class Message>
bool parse(Message& message, std::string_view bytes) {
    return message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

// Converts a number to an enumeration whose last value is given; false when out of range.
template <class Enum>
bool to_enum(std::uint32_t number, Enum last, Enum& value) {
    value = static_cast<Enum>(number);
    return number <= static_cast<std::uint32_t>(last);
}

std::uint64_t whole_milliseconds_up(duration value) {
    auto const rounded = std::chrono::ceil<std::chrono::milliseconds>(value).count();
    return rounded < 0 ? 0 : static_cast<std::uint64_t>(rounded);
}

// Bounded to a year, so that a corrupt value cannot overflow the arithmetic of time points.
duration milliseconds_from(std::uint64_t count) {
    constexpr std::uint64_t year = 366ULL * 24 * 3600 * 1000;
    return std::chrono::milliseconds{std::min(count, year)};
}

std::int64_t wire_time(wall_time at) {
    return at.time_since_epoch().count();
}

wall_time time_from(std::int64_t count) {
    return wall_time{std::chrono::milliseconds{count}};
}

void fill(wire::MemberRecord& out, member_record const& record) {
    out.set_name(record.name);
    out.set_address(record.address);
    out.set_public_address(record.public_address);
    out.set_zone(record.zone);
    for (auto const& served : record.serves) {
        out.add_serves(served);
    }
    out.set_role(static_cast<std::uint32_t>(record.role));
    out.set_health(static_cast<std::uint32_t>(record.health));
    out.set_leaving(record.leaving);
    out.set_incarnation(record.incarnation);
    out.set_version(record.version);
    out.set_accuser(record.accuser);
}

bool read(wire::MemberRecord const& in, member_record& record) {
    record.name = in.name();
    record.address = in.address();
    record.public_address = in.public_address();
    record.zone = in.zone();
    record.serves.assign(in.serves().begin(), in.serves().end());
    record.leaving = in.leaving();
    record.incarnation = in.incarnation();
    record.version = in.version();
    record.accuser = in.accuser();
    return !record.name.empty() && to_enum(in.role(), member_role::control, record.role) &&
           to_enum(in.health(), member_health::left, record.health);
}

void fill(wire::ConfigIdent& out, config_ident const& ident) {
    out.set_term(ident.term);
    out.set_index(ident.index);
    out.set_revision(ident.revision);
    out.set_digest(ident.digest);
}

config_ident read(wire::ConfigIdent const& in) {
    return {in.term(), in.index(), in.revision(), in.digest()};
}

void fill(wire::TargetOrderSpec& out, target_order const& order) {
    out.set_id(order.id);
    out.set_kind(static_cast<std::uint32_t>(order.kind));
    out.set_target(order.target);
    out.set_target_incarnation(order.target_incarnation);
    out.set_subject(order.subject);
    out.set_argument(order.argument);
}

bool read(wire::TargetOrderSpec const& in, target_order& order) {
    order.id = in.id();
    order.target = in.target();
    order.target_incarnation = in.target_incarnation();
    order.subject = in.subject();
    order.argument = in.argument();
    return to_enum(in.kind(), target_order_kind::switch_map, order.kind);
}

} // namespace

std::string encode(membership_message const& message) {
    wire::MembershipMessage out;
    out.set_kind(static_cast<std::uint32_t>(message.kind));
    out.set_sequence(message.sequence);
    out.set_sender(message.sender);
    out.set_target(message.target);
    out.set_target_address(message.target_address);
    for (auto const& record : message.updates) {
        fill(*out.add_updates(), record);
    }
    out.mutable_buckets()->Add(message.buckets.begin(), message.buckets.end());
    out.set_differing(message.differing);
    out.set_config_revision(message.hint.revision);
    out.set_config_digest(message.hint.digest);
    if (message.hint.confirmed_age) {
        out.set_config_age_ms(whole_milliseconds_up(*message.hint.confirmed_age) + 1);
    }
    return out.SerializeAsString();
}

result<membership_message> decode_membership(std::string_view bytes) {
    wire::MembershipMessage in;
    membership_message message;
    if (!parse(in, bytes) || !to_enum(in.kind(), membership_kind::sync_records, message.kind)) {
        return corrupt("membership message");
    }
    message.sequence = in.sequence();
    message.sender = in.sender();
    message.target = in.target();
    message.target_address = in.target_address();
    message.updates.resize(static_cast<std::size_t>(in.updates_size()));
    for (std::size_t place = 0; place < message.updates.size(); ++place) {
        if (!read(in.updates(static_cast<int>(place)), message.updates[place])) {
            return corrupt("member record");
        }
    }
    message.buckets.assign(in.buckets().begin(), in.buckets().end());
    message.differing = in.differing();
    message.hint.revision = in.config_revision();
    message.hint.digest = in.config_digest();
    if (in.config_age_ms() > 0) {
        message.hint.confirmed_age = milliseconds_from(in.config_age_ms() - 1);
    }
    return message;
}

std::string encode(config_message const& message) {
    wire::ConfigMessage out;
    out.set_kind(static_cast<std::uint32_t>(message.kind));
    out.set_sender(message.sender);
    fill(*out.mutable_ident(), message.ident);
    out.set_base_revision(message.base_revision);
    out.set_base_digest(message.base_digest);
    out.set_payload(message.payload);
    out.set_total(message.total);
    out.set_offset(message.offset);
    out.mutable_offsets()->Add(message.offsets.begin(), message.offsets.end());
    out.set_bytes(message.bytes);
    return out.SerializeAsString();
}

result<config_message> decode_config(std::string_view bytes) {
    wire::ConfigMessage in;
    config_message message;
    if (!parse(in, bytes) || !to_enum(in.kind(), config_kind::no_difference, message.kind)) {
        return corrupt("configuration message");
    }
    message.sender = in.sender();
    message.ident = read(in.ident());
    message.base_revision = in.base_revision();
    message.base_digest = in.base_digest();
    message.payload = in.payload();
    message.total = in.total();
    message.offset = in.offset();
    message.offsets.assign(in.offsets().begin(), in.offsets().end());
    message.bytes = in.bytes();
    return message;
}

std::string encode(load_report const& message) {
    wire::LoadReport out;
    out.set_target(message.target);
    out.set_incarnation(message.incarnation);
    out.set_sequence(message.sequence);
    out.set_base(message.base);
    auto const& [running, queued, queued_work, speed, slots, waiting_short, waiting_long] =
        message.values;
    if (running) {
        out.set_running(static_cast<float>(*running));
    }
    if (queued) {
        out.set_queued(static_cast<float>(*queued));
    }
    if (queued_work) {
        out.set_queued_work(static_cast<float>(*queued_work));
    }
    if (speed) {
        out.set_tokens_per_second(static_cast<float>(*speed));
    }
    if (slots) {
        out.set_slots(static_cast<float>(*slots));
    }
    if (waiting_short) {
        out.set_waiting_short(static_cast<float>(*waiting_short));
    }
    if (waiting_long) {
        out.set_waiting_long(static_cast<float>(*waiting_long));
    }
    out.set_sample_age_ms(whole_milliseconds_up(message.sample_age));
    return out.SerializeAsString();
}

result<load_report> decode_load_report(std::string_view bytes) {
    wire::LoadReport in;
    if (!parse(in, bytes)) {
        return corrupt("load report");
    }
    load_report message{.target = in.target(),
                        .incarnation = in.incarnation(),
                        .sequence = in.sequence(),
                        .base = in.base(),
                        .sample_age = milliseconds_from(in.sample_age_ms())};
    auto const optional = [](bool present, float value) {
        return present ? std::optional<double>{value} : std::nullopt;
    };
    message.values = {optional(in.has_running(), in.running()),
                      optional(in.has_queued(), in.queued()),
                      optional(in.has_queued_work(), in.queued_work()),
                      optional(in.has_tokens_per_second(), in.tokens_per_second()),
                      optional(in.has_slots(), in.slots()),
                      optional(in.has_waiting_short(), in.waiting_short()),
                      optional(in.has_waiting_long(), in.waiting_long())};
    return message;
}

std::string encode(load_subscribe const& message) {
    wire::LoadSubscribe out;
    out.set_entry(message.entry);
    out.set_incarnation(message.incarnation);
    out.set_sequence(message.sequence);
    out.set_lease_ms(whole_milliseconds_up(message.lease));
    out.set_cache_rate(message.cache_rate);
    return out.SerializeAsString();
}

result<load_subscribe> decode_load_subscribe(std::string_view bytes) {
    wire::LoadSubscribe in;
    if (!parse(in, bytes)) {
        return corrupt("load subscription");
    }
    return load_subscribe{in.entry(), in.incarnation(), in.sequence(),
                          milliseconds_from(in.lease_ms()), in.cache_rate()};
}

std::string encode(target_order_message const& message) {
    wire::TargetOrder out;
    fill(*out.mutable_order(), message.order);
    out.set_fence(message.fence);
    out.set_index(message.index);
    return out.SerializeAsString();
}

result<target_order_message> decode_target_order(std::string_view bytes) {
    wire::TargetOrder in;
    target_order_message message;
    if (!parse(in, bytes) || !read(in.order(), message.order)) {
        return corrupt("target order");
    }
    message.fence = in.fence();
    message.index = in.index();
    return message;
}

std::string encode(target_order_reply const& message) {
    wire::TargetOrderReply out;
    out.set_id(message.id);
    out.set_target(message.target);
    out.set_target_incarnation(message.target_incarnation);
    out.set_outcome(static_cast<std::uint32_t>(message.outcome));
    out.set_result(message.result);
    out.set_highest_fence(message.highest_fence);
    return out.SerializeAsString();
}

result<target_order_reply> decode_target_order_reply(std::string_view bytes) {
    wire::TargetOrderReply in;
    target_order_reply message;
    if (!parse(in, bytes) || !to_enum(in.outcome(), applied_outcome::forgotten, message.outcome)) {
        return corrupt("target order reply");
    }
    message.id = in.id();
    message.target = in.target();
    message.target_incarnation = in.target_incarnation();
    message.result = in.result();
    message.highest_fence = in.highest_fence();
    return message;
}

std::string encode(order_command const& command) {
    wire::OrderCommand out;
    if (auto const* create = std::get_if<order_create>(&command)) {
        fill(*out.mutable_create()->mutable_order(), create->order);
        out.mutable_create()->set_at_ms(wire_time(create->at));
    } else if (auto const* finish = std::get_if<order_finish>(&command)) {
        out.mutable_finish()->set_id(finish->id);
        out.mutable_finish()->set_state(static_cast<std::uint32_t>(finish->state));
        out.mutable_finish()->set_result(finish->result);
        out.mutable_finish()->set_at_ms(wire_time(finish->at));
    } else {
        out.mutable_prune()->set_before_ms(wire_time(std::get<order_prune>(command).before));
    }
    return out.SerializeAsString();
}

result<order_command> decode_order_command(std::string_view bytes) {
    wire::OrderCommand in;
    if (!parse(in, bytes)) {
        return corrupt("order command");
    }
    if (in.has_create()) {
        order_create create{.at = time_from(in.create().at_ms())};
        if (!read(in.create().order(), create.order)) {
            return corrupt("order command");
        }
        return order_command{std::move(create)};
    }
    if (in.has_finish()) {
        order_finish finish{.id = in.finish().id(),
                            .result = in.finish().result(),
                            .at = time_from(in.finish().at_ms())};
        if (!to_enum(in.finish().state(), target_order_state::cancelled, finish.state)) {
            return corrupt("order command");
        }
        return order_command{std::move(finish)};
    }
    if (in.has_prune()) {
        return order_command{order_prune{time_from(in.prune().before_ms())}};
    }
    return corrupt("order command");
}

std::string encode(order_reply const& reply) {
    wire::OrderCommandReply out;
    out.set_outcome(static_cast<std::uint32_t>(reply.outcome));
    out.set_state(static_cast<std::uint32_t>(reply.state));
    out.set_result(reply.result);
    return out.SerializeAsString();
}

result<order_reply> decode_order_reply(std::string_view bytes) {
    wire::OrderCommandReply in;
    order_reply reply;
    if (!parse(in, bytes) || !to_enum(in.outcome(), order_outcome::malformed, reply.outcome) ||
        !to_enum(in.state(), target_order_state::cancelled, reply.state)) {
        return corrupt("order reply");
    }
    reply.result = in.result();
    return reply;
}

std::string order_table_bytes(order_table const& table) {
    wire::OrderTable out;
    for (auto const& [id, record] : table.orders) {
        auto& row = *out.add_orders();
        fill(*row.mutable_order(), record.order);
        row.set_index(record.index);
        row.set_created_ms(wire_time(record.created));
        row.set_state(static_cast<std::uint32_t>(record.state));
        row.set_result(record.result);
        row.set_finished_ms(wire_time(record.finished));
    }
    return out.SerializeAsString();
}

result<order_table> parse_order_table(std::string_view bytes) {
    wire::OrderTable in;
    if (!parse(in, bytes)) {
        return corrupt("order table");
    }
    order_table table;
    for (auto const& row : in.orders()) {
        order_record record{.index = row.index(),
                            .created = time_from(row.created_ms()),
                            .result = row.result(),
                            .finished = time_from(row.finished_ms())};
        if (!read(row.order(), record.order) ||
            !to_enum(row.state(), target_order_state::cancelled, record.state)) {
            return corrupt("order table");
        }
        auto const id = record.order.id;
        table.orders.emplace(id, std::move(record));
    }
    return table;
}

} // namespace fireflycrank
