#include "wire.h"

#include "messages.pb.h"

#include <array>

namespace fireflycrank {

namespace {

std::int64_t to_millis(wall_time at) {
    return at.time_since_epoch().count();
}

wall_time to_wall(std::int64_t millis) {
    return wall_time{std::chrono::milliseconds{millis}};
}

void put(attempt_ref const& id, wire::AttemptId& out) {
    out.set_request_id(id.request_id);
    out.set_number(id.number);
    out.set_target(id.target);
    out.set_target_incarnation(id.incarnation);
}

attempt_ref take(wire::AttemptId const& id) {
    return {id.request_id(), id.number(), id.target(), id.target_incarnation()};
}

void put(target_load const& load, wire::TargetLoad& out) {
    out.set_running(load.running);
    out.set_queued(load.queued);
    out.set_queued_work(load.queued_work);
    out.set_tokens_per_second(load.tokens_per_second);
    out.set_slots(load.slots);
    out.set_waiting_short(load.waiting_short);
    out.set_waiting_long(load.waiting_long);
}

target_load take(wire::TargetLoad const& load) {
    target_load plain;
    plain.running = load.running();
    plain.queued = load.queued();
    plain.queued_work = load.queued_work();
    plain.tokens_per_second = load.tokens_per_second();
    plain.slots = load.slots();
    plain.waiting_short = load.waiting_short();
    plain.waiting_long = load.waiting_long();
    return plain;
}

constexpr std::array<std::pair<attempt_state, wire::AttemptState>, 9> states{
    {{attempt_state::unknown, wire::ATTEMPT_UNKNOWN},
     {attempt_state::queued, wire::ATTEMPT_QUEUED},
     {attempt_state::running, wire::ATTEMPT_RUNNING},
     {attempt_state::done, wire::ATTEMPT_DONE},
     {attempt_state::voided, wire::ATTEMPT_VOIDED},
     {attempt_state::crashed, wire::ATTEMPT_CRASHED},
     {attempt_state::refused, wire::ATTEMPT_REFUSED},
     {attempt_state::cancelled, wire::ATTEMPT_CANCELLED},
     {attempt_state::other_incarnation, wire::ATTEMPT_OTHER_INCARNATION}}};

wire::AttemptState put(attempt_state state) {
    for (auto const& [plain, coded] : states) {
        if (plain == state) {
            return coded;
        }
    }
    return wire::ATTEMPT_UNKNOWN;
}

attempt_state take(wire::AttemptState state) {
    for (auto const& [plain, coded] : states) {
        if (coded == state) {
            return plain;
        }
    }
    return attempt_state::unknown;
}

wire::AttemptStart to_wire(attempt_request const& message) {
    wire::AttemptStart out;
    put(message.start.id, *out.mutable_id());
    out.set_route(message.route);
    out.set_team(message.team);
    out.set_method(message.method);
    out.set_path(message.path);
    out.set_content_type(message.content_type);
    out.set_body(message.body);
    out.set_stream(message.stream);
    out.set_idempotent(!message.start.unrepeatable);
    out.set_deadline_ms(static_cast<std::uint64_t>(message.time_left.count()));
    out.set_work(message.work);
    out.set_priority(message.priority);
    out.set_fingerprint(message.start.fingerprint);
    out.set_alone(message.start.alone);
    out.set_start_by_ms(to_millis(message.start.start_by));
    out.set_team_weight(message.team_weight);
    out.set_is_long(message.is_long);
    return out;
}

attempt_request from_wire(wire::AttemptStart const& in) {
    attempt_request message;
    message.start = {take(in.id()), to_wall(in.start_by_ms()), !in.idempotent(), in.alone(),
                     in.fingerprint()};
    message.route = in.route();
    message.team = in.team();
    message.team_weight = in.team_weight();
    message.priority = in.priority();
    message.method = in.method();
    message.path = in.path();
    message.content_type = in.content_type();
    message.body = in.body();
    message.stream = in.stream();
    message.work = in.work();
    message.is_long = in.is_long();
    message.time_left = std::chrono::milliseconds{in.deadline_ms()};
    return message;
}

encoded_message encode_query(attempt_query const& query) {
    switch (query.kind) {
    case attempt_query_kind::void_start: {
        wire::AttemptVoid out;
        put(query.id, *out.mutable_id());
        out.set_start_by_ms(to_millis(query.start_by));
        return {"AttemptVoid", out.SerializeAsString()};
    }
    case attempt_query_kind::query: {
        wire::AttemptQuery out;
        put(query.id, *out.mutable_id());
        return {"AttemptQuery", out.SerializeAsString()};
    }
    case attempt_query_kind::resend: {
        wire::AttemptResend out;
        put(query.id, *out.mutable_id());
        out.set_offset(query.offset);
        return {"AttemptResend", out.SerializeAsString()};
    }
    case attempt_query_kind::release: {
        wire::AttemptRelease out;
        put(query.id, *out.mutable_id());
        return {"AttemptRelease", out.SerializeAsString()};
    }
    case attempt_query_kind::cancel:
        break;
    }
    wire::AttemptCancel out;
    put(query.id, *out.mutable_id());
    return {"AttemptCancel", out.SerializeAsString()};
}

struct agent_encoder {
    encoded_message operator()(attempt_refusal const& message) const {
        wire::AttemptRefused out;
        put(message.id, *out.mutable_id());
        out.set_reason(message.reason);
        out.set_retry_after_ms(static_cast<std::uint64_t>(message.retry_after.count()));
        put(message.load, *out.mutable_load());
        return {"AttemptRefused", out.SerializeAsString()};
    }
    encoded_message operator()(agent_status const& message) const {
        wire::AttemptStatus out;
        put(message.id, *out.mutable_id());
        out.set_state(put(message.state));
        return {"AttemptStatus", out.SerializeAsString()};
    }
    encoded_message operator()(agent_chunk const& message) const {
        wire::AttemptChunk out;
        put(message.id, *out.mutable_id());
        out.set_offset(message.offset);
        out.set_bytes(message.bytes);
        out.set_http_status(message.status);
        out.set_content_type(message.content_type);
        return {"AttemptChunk", out.SerializeAsString()};
    }
    encoded_message operator()(agent_end const& message) const {
        wire::AttemptEnd out;
        put(message.id, *out.mutable_id());
        out.set_state(put(message.state));
        out.set_http_status(message.status);
        out.set_content_type(message.content_type);
        out.set_total_bytes(message.total_bytes);
        out.set_reason(message.reason);
        out.set_output_available(message.output_available);
        put(message.load, *out.mutable_load());
        return {"AttemptEnd", out.SerializeAsString()};
    }
};

template <class message>
std::optional<message> parse(std::string const& body) {
    message parsed;
    if (!parsed.ParseFromString(body)) {
        return std::nullopt;
    }
    return parsed;
}

template <class message>
std::optional<entry_to_agent> parse_query(attempt_query_kind kind, std::string const& body) {
    auto const parsed = parse<message>(body);
    if (!parsed) {
        return std::nullopt;
    }
    attempt_query query;
    query.kind = kind;
    query.id = take(parsed->id());
    if constexpr (requires { parsed->start_by_ms(); }) {
        query.start_by = to_wall(parsed->start_by_ms());
    }
    if constexpr (requires { parsed->offset(); }) {
        query.offset = parsed->offset();
    }
    return query;
}

} // namespace

encoded_message encode(entry_to_agent const& message) {
    if (auto const* start = std::get_if<attempt_request>(&message)) {
        return {"AttemptStart", to_wire(*start).SerializeAsString()};
    }
    return encode_query(std::get<attempt_query>(message));
}

encoded_message encode(agent_to_entry const& message) {
    return std::visit(agent_encoder{}, message);
}

std::optional<entry_to_agent> decode_for_agent(std::string_view type, std::string const& body) {
    if (type == "AttemptStart") {
        auto const parsed = parse<wire::AttemptStart>(body);
        return parsed ? std::optional<entry_to_agent>{from_wire(*parsed)} : std::nullopt;
    }
    if (type == "AttemptVoid") {
        return parse_query<wire::AttemptVoid>(attempt_query_kind::void_start, body);
    }
    if (type == "AttemptQuery") {
        return parse_query<wire::AttemptQuery>(attempt_query_kind::query, body);
    }
    if (type == "AttemptResend") {
        return parse_query<wire::AttemptResend>(attempt_query_kind::resend, body);
    }
    if (type == "AttemptRelease") {
        return parse_query<wire::AttemptRelease>(attempt_query_kind::release, body);
    }
    if (type == "AttemptCancel") {
        return parse_query<wire::AttemptCancel>(attempt_query_kind::cancel, body);
    }
    return std::nullopt;
}

std::optional<agent_to_entry> decode_for_entry(std::string_view type, std::string const& body) {
    if (type == "AttemptRefused") {
        auto const in = parse<wire::AttemptRefused>(body);
        return in ? std::optional<agent_to_entry>{attempt_refusal{
                        take(in->id()), in->reason(),
                        std::chrono::milliseconds{in->retry_after_ms()}, take(in->load())}}
                  : std::nullopt;
    }
    if (type == "AttemptStatus") {
        auto const in = parse<wire::AttemptStatus>(body);
        return in ? std::optional<agent_to_entry>{agent_status{take(in->id()), take(in->state())}}
                  : std::nullopt;
    }
    if (type == "AttemptChunk") {
        auto const in = parse<wire::AttemptChunk>(body);
        return in ? std::optional<agent_to_entry>{agent_chunk{take(in->id()), in->offset(),
                                                              in->bytes(), in->http_status(),
                                                              in->content_type()}}
                  : std::nullopt;
    }
    if (type == "AttemptEnd") {
        auto const in = parse<wire::AttemptEnd>(body);
        return in ? std::optional<agent_to_entry>{agent_end{
                        take(in->id()), take(in->state()), in->http_status(), in->content_type(),
                        in->total_bytes(), in->output_available(), in->reason(), take(in->load())}}
                  : std::nullopt;
    }
    return std::nullopt;
}

target_load const* load_in(agent_to_entry const& message) {
    if (auto const* refusal = std::get_if<attempt_refusal>(&message)) {
        return &refusal->load;
    }
    if (auto const* end = std::get_if<agent_end>(&message)) {
        return &end->load;
    }
    return nullptr;
}

std::string encode(control_request const& request) {
    wire::ControlRequest out;
    out.set_id(request.call.id);
    out.set_reply_to(request.reply_to);
    out.set_kind(request.call.kind);
    out.set_command(request.call.command);
    out.set_read_only(request.call.read_only);
    return out.SerializeAsString();
}

std::string encode(control_reply const& reply) {
    wire::ControlReply out;
    out.set_id(reply.id);
    out.set_accepted(reply.accepted);
    out.set_error_kind(reply.error);
    out.set_message(reply.message);
    out.set_leader(reply.leader);
    out.set_term(reply.term);
    out.set_index(reply.index);
    out.set_reply(reply.reply);
    return out.SerializeAsString();
}

std::optional<control_request> decode_control_request(std::string const& body) {
    auto const in = parse<wire::ControlRequest>(body);
    if (!in) {
        return std::nullopt;
    }
    return control_request{{in->id(), in->kind(), in->command(), in->read_only()}, in->reply_to()};
}

std::optional<control_reply> decode_control_reply(std::string const& body) {
    auto const in = parse<wire::ControlReply>(body);
    if (!in) {
        return std::nullopt;
    }
    return control_reply{in->id(),     in->accepted(), in->error_kind(), in->message(),
                         in->leader(), in->term(),     in->index(),      in->reply()};
}

} // namespace fireflycrank
