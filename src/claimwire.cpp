#include "claimwire.h"

#include "claims.pb.h"

#include <limits>

namespace fireflycrank {

namespace {

std::int64_t to_ms(wall_time at) {
    return at.time_since_epoch().count();
}

wall_time from_ms(std::int64_t at) {
    return wall_time{std::chrono::milliseconds{at}};
}

std::uint32_t wire_age(std::chrono::milliseconds age) {
    constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.count(), 0, most));
}

void write_attempt(wire::ClaimAttempt& out, attempt_ref const& attempt) {
    out.set_request_id(attempt.request_id);
    out.set_number(attempt.number);
    out.set_target(attempt.target);
    out.set_incarnation(attempt.incarnation);
}

attempt_ref read_attempt(wire::ClaimAttempt const& in) {
    return {in.request_id(), in.number(), in.target(), in.incarnation()};
}

void write_response(wire::ClaimResponse& out, stored_response const& response) {
    out.set_status(response.status);
    out.set_content_type(response.content_type);
    out.set_body(response.body);
}

stored_response read_response(wire::ClaimResponse const& in) {
    return {in.status(), in.content_type(), in.body()};
}

/// Writes one action into the message's field for it.
struct action_writer {
    wire::ClaimCommand& out;

    void operator()(acquire_claim const& action) const {
        auto& field = *out.mutable_acquire();
        field.set_body_digest(action.body_digest);
        field.set_window_ms(action.window.count());
        write_binding(field, action);
    }
    void operator()(rebind_claim const& action) const {
        auto& field = *out.mutable_rebind();
        write_attempt(*field.mutable_ended(), action.ended);
        write_binding(field, action);
    }
    void operator()(void_claim const& action) const {
        write_attempt(*out.mutable_void_claim()->mutable_ended(), action.ended);
    }
    void operator()(finish_claim const& action) const {
        auto& field = *out.mutable_finish();
        write_attempt(*field.mutable_ended(), action.ended);
        field.set_failed(action.failed);
        if (action.response) {
            write_response(*field.mutable_response(), *action.response);
        }
    }
    void operator()(takeover_claim const& action) const {
        write_attempt(*out.mutable_takeover()->mutable_attempt(), action.attempt);
        out.mutable_takeover()->set_owner(action.owner);
    }
    void operator()(mark_unknown const& action) const {
        write_attempt(*out.mutable_mark_unknown()->mutable_ended(), action.ended);
    }
    void operator()(prune_claim const& action) const {
        out.mutable_prune()->set_operator_name(action.operator_name);
    }
    void operator()(expire_claims const& /*action*/) const { out.mutable_expire(); }

    template <class Field, class Action>
    static void write_binding(Field& field, Action const& action) {
        field.set_request_id(action.request_id);
        field.set_target(action.target);
        field.set_incarnation(action.incarnation);
        field.set_start_by_ms(to_ms(action.start_by));
        field.set_owner(action.owner);
    }
};

template <class Action, class Field>
Action read_binding(Field const& field) {
    Action action;
    action.request_id = field.request_id();
    action.target = field.target();
    action.incarnation = field.incarnation();
    action.start_by = from_ms(field.start_by_ms());
    action.owner = field.owner();
    return action;
}

finish_claim read_finish(wire::FinishClaim const& in) {
    finish_claim finish{read_attempt(in.ended()), in.failed(), {}};
    if (in.has_response()) {
        finish.response = read_response(in.response());
    }
    return finish;
}

/// Reads the action; false when the message holds none that this version knows.
bool read_action(wire::ClaimCommand const& in, claim_command& out) {
    switch (in.action_case()) {
    case wire::ClaimCommand::kAcquire: {
        auto acquire = read_binding<acquire_claim>(in.acquire());
        acquire.body_digest = in.acquire().body_digest();
        acquire.window = std::chrono::milliseconds{in.acquire().window_ms()};
        out.action = std::move(acquire);
        return true;
    }
    case wire::ClaimCommand::kRebind: {
        auto rebind = read_binding<rebind_claim>(in.rebind());
        rebind.ended = read_attempt(in.rebind().ended());
        out.action = std::move(rebind);
        return true;
    }
    case wire::ClaimCommand::kVoidClaim:
        out.action = void_claim{read_attempt(in.void_claim().ended())};
        return true;
    case wire::ClaimCommand::kFinish:
        out.action = read_finish(in.finish());
        return true;
    case wire::ClaimCommand::kTakeover:
        out.action = takeover_claim{read_attempt(in.takeover().attempt()), in.takeover().owner()};
        return true;
    case wire::ClaimCommand::kMarkUnknown:
        out.action = mark_unknown{read_attempt(in.mark_unknown().ended())};
        return true;
    case wire::ClaimCommand::kPrune:
        out.action = prune_claim{in.prune().operator_name()};
        return true;
    case wire::ClaimCommand::kExpire:
        out.action = expire_claims{};
        return true;
    case wire::ClaimCommand::ACTION_NOT_SET:
        break;
    }
    return false;
}

template <class Message>
bool parse(Message& message, std::string_view bytes) {
    return bytes.size() <= static_cast<std::size_t>(std::numeric_limits<int>::max()) &&
           message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

constexpr std::uint32_t snapshot_version = 1;

void write_claim(wire::StoredClaim& out, std::string const& key, claim const& entry) {
    out.set_key(key);
    out.set_body_digest(entry.body_digest);
    out.set_state(static_cast<std::uint32_t>(entry.state));
    write_attempt(*out.mutable_attempt(), entry.attempt);
    out.set_start_by_ms(to_ms(entry.start_by));
    out.set_owner(entry.owner);
    out.set_window_ms(entry.window.count());
    out.set_last_seen_ms(to_ms(entry.last_seen));
    out.set_finished_ms(to_ms(entry.finished));
    if (entry.response) {
        write_response(*out.mutable_response(), *entry.response);
    }
}

claim read_claim(wire::StoredClaim const& in) {
    claim entry;
    entry.body_digest = in.body_digest();
    entry.state = static_cast<claim_state>(in.state());
    entry.attempt = read_attempt(in.attempt());
    entry.start_by = from_ms(in.start_by_ms());
    entry.owner = in.owner();
    entry.window = std::chrono::milliseconds{in.window_ms()};
    entry.last_seen = from_ms(in.last_seen_ms());
    entry.finished = from_ms(in.finished_ms());
    if (in.has_response()) {
        entry.response = read_response(in.response());
    }
    return entry;
}

void write_reply(wire::ClaimReply& out, claim_outcome outcome, claim_view const& view) {
    out.set_outcome(static_cast<std::uint32_t>(outcome));
    out.set_state(static_cast<std::uint32_t>(view.state));
    write_attempt(*out.mutable_attempt(), view.attempt);
    out.set_start_by_ms(to_ms(view.start_by));
    out.set_owner(view.owner);
}

bool known_state(std::uint32_t state) {
    return state <= static_cast<std::uint32_t>(claim_state::unknown);
}

bool known_reply(wire::ClaimReply const& in) {
    return in.outcome() <= static_cast<std::uint32_t>(claim_outcome::refused) &&
           known_state(in.state());
}

claim_view read_view(wire::ClaimReply const& in) {
    return {static_cast<claim_state>(in.state()), read_attempt(in.attempt()),
            from_ms(in.start_by_ms()), in.owner(), std::nullopt};
}

auto damaged_snapshot(std::string const& what) {
    return fail(error_kind::corrupt_data, what + "'s snapshot is damaged",
                "restore this replica from another one");
}

auto damaged(std::string const& what) {
    return fail(error_kind::corrupt_data, what + " cannot be decoded",
                "run the same version of fireflycrank on both sides");
}

} // namespace

std::string encode_claim_command(claim_command const& command) {
    wire::ClaimCommand out;
    out.set_id(command.id);
    out.set_key(command.key);
    out.set_at_ms(to_ms(command.at));
    std::visit(action_writer{out}, command.action);
    return out.SerializeAsString();
}

result<claim_command> decode_claim_command(std::string_view bytes) {
    wire::ClaimCommand in;
    claim_command out;
    if (!parse(in, bytes) || !read_action(in, out)) {
        return damaged("a claim command");
    }
    out.id = in.id();
    out.key = in.key();
    out.at = from_ms(in.at_ms());
    return out;
}

std::string encode_claim_reply(claim_reply const& reply) {
    wire::ClaimReply out;
    write_reply(out, reply.outcome, reply.view);
    if (reply.view.response) {
        write_response(*out.mutable_response(), *reply.view.response);
    }
    return out.SerializeAsString();
}

result<claim_reply> decode_claim_reply(std::string_view bytes) {
    wire::ClaimReply in;
    if (!parse(in, bytes) || !known_reply(in)) {
        return damaged("a claim reply");
    }
    claim_reply out;
    out.outcome = static_cast<claim_outcome>(in.outcome());
    out.view = read_view(in);
    if (in.has_response()) {
        out.view.response = read_response(in.response());
    }
    return out;
}

std::string encode_quarantine_command(quarantine_command const& command) {
    wire::QuarantineCommand out;
    out.set_at_ms(to_ms(command.at));
    if (auto const* crash = std::get_if<report_crash>(&command.action)) {
        out.mutable_crash()->set_crash_id(crash->crash_id);
        for (auto const& running : crash->running) {
            auto& added = *out.mutable_crash()->add_running();
            added.set_fingerprint(running.fingerprint);
            added.set_alone(running.alone);
            added.set_began_before_ms(wire_age(running.began_before));
            added.set_after(running.after);
            added.set_unproven(running.unproven);
            added.set_finished(running.finished_before.has_value());
            added.set_finished_before_ms(
                wire_age(running.finished_before.value_or(std::chrono::milliseconds{0})));
        }
        out.mutable_crash()->set_ended_before_ms(wire_age(crash->ended_before));
    } else if (auto const* finished = std::get_if<report_finished>(&command.action)) {
        out.mutable_finished()->set_fingerprint(finished->fingerprint);
        out.mutable_finished()->set_finished_before_ms(wire_age(finished->finished_before));
    } else if (auto const* release = std::get_if<release_fingerprint>(&command.action)) {
        out.mutable_release()->set_fingerprint(release->fingerprint);
        out.mutable_release()->set_operator_name(release->operator_name);
    }
    return out.SerializeAsString();
}

result<quarantine_command> decode_quarantine_command(std::string_view bytes) {
    wire::QuarantineCommand in;
    if (!parse(in, bytes)) {
        return damaged("a quarantine command");
    }
    quarantine_command out;
    out.at = from_ms(in.at_ms());
    switch (in.action_case()) {
    case wire::QuarantineCommand::kCrash: {
        report_crash crash;
        crash.crash_id = in.crash().crash_id();
        crash.ended_before = std::chrono::milliseconds{in.crash().ended_before_ms()};
        for (auto const& running : in.crash().running()) {
            running_fingerprint one{running.fingerprint(),
                                    running.alone(),
                                    std::chrono::milliseconds{running.began_before_ms()},
                                    running.after(),
                                    std::nullopt,
                                    running.unproven()};
            if (running.finished()) {
                one.finished_before = std::chrono::milliseconds{running.finished_before_ms()};
            }
            crash.running.push_back(std::move(one));
        }
        out.action = std::move(crash);
        return out;
    }
    case wire::QuarantineCommand::kFinished:
        out.action = report_finished{in.finished().fingerprint(),
                                     std::chrono::milliseconds{in.finished().finished_before_ms()}};
        return out;
    case wire::QuarantineCommand::kRelease:
        out.action = release_fingerprint{in.release().fingerprint(), in.release().operator_name()};
        return out;
    case wire::QuarantineCommand::ACTION_NOT_SET:
        break;
    }
    return damaged("a quarantine command");
}

std::string encode_quarantine_reply(quarantine_reply const& reply) {
    wire::QuarantineReply out;
    for (auto const& suspect : reply.suspects) {
        out.add_suspects(suspect);
    }
    for (auto const& fingerprint : reply.quarantined) {
        out.add_quarantined(fingerprint);
    }
    out.set_changed(reply.changed);
    return out.SerializeAsString();
}

result<quarantine_reply> decode_quarantine_reply(std::string_view bytes) {
    wire::QuarantineReply in;
    if (!parse(in, bytes)) {
        return damaged("a quarantine reply");
    }
    quarantine_reply out;
    out.suspects.assign(in.suspects().begin(), in.suspects().end());
    out.quarantined.assign(in.quarantined().begin(), in.quarantined().end());
    out.changed = in.changed();
    return out;
}

std::string serialize_claims(claim_table const& table) {
    wire::ClaimTable out;
    out.set_version(snapshot_version);
    out.set_latest_ms(to_ms(table.latest));
    for (auto const& [key, entry] : table.claims) {
        write_claim(*out.add_claims(), key, entry);
    }
    for (auto const& [id, kept] : table.replies) {
        wire::KeptClaimReply& reply = *out.add_replies();
        reply.set_id(id);
        reply.set_at_ms(to_ms(kept.at));
        reply.set_key(kept.key);
        write_reply(*reply.mutable_reply(), kept.outcome, kept.view);
    }
    return out.SerializeAsString();
}

result<claim_table> parse_claims(std::string_view bytes, claim_limits const& limits) {
    wire::ClaimTable in;
    if (!parse(in, bytes) || in.version() != snapshot_version) {
        return damaged_snapshot("the claim table");
    }
    claim_table table;
    table.limits = limits;
    table.latest = from_ms(in.latest_ms());
    for (wire::StoredClaim const& stored : in.claims()) {
        if (!known_state(stored.state())) {
            return damaged_snapshot("the claim table");
        }
        claim entry = read_claim(stored);
        if (auto const at = claim_due(entry, limits)) {
            table.due.emplace(*at, stored.key());
        }
        table.claims.emplace(stored.key(), std::move(entry));
    }
    for (wire::KeptClaimReply const& kept : in.replies()) {
        if (!known_reply(kept.reply())) {
            return damaged_snapshot("the claim table");
        }
        wall_time const at = from_ms(kept.at_ms());
        table.reply_ages.emplace(at, kept.id());
        table.replies.emplace(kept.id(),
                              kept_reply{at, kept.key(),
                                         static_cast<claim_outcome>(kept.reply().outcome()),
                                         read_view(kept.reply())});
    }
    return table;
}

std::string serialize_quarantine(quarantine_table const& table) {
    wire::QuarantineTable out;
    out.set_version(snapshot_version);
    out.set_latest_ms(to_ms(table.latest));
    for (auto const& [fingerprint, entry] : table.entries) {
        wire::QuarantineEntry& stored = *out.add_entries();
        stored.set_fingerprint(fingerprint);
        stored.set_quarantined(entry.quarantined);
        stored.set_quarantined_from_ms(to_ms(entry.quarantined_from));
        stored.set_last_crash_ms(to_ms(entry.last_crash));
        stored.set_has_finished(entry.has_finished);
        for (auto const& crash : entry.crashes) {
            auto& kept = *stored.add_crashes();
            kept.set_id(crash.id);
            kept.set_began_ms(to_ms(crash.began));
            kept.set_ended_ms(to_ms(crash.ended));
            kept.set_after(crash.after);
            kept.set_unproven(crash.unproven);
        }
    }
    out.set_revision(table.revision);
    return out.SerializeAsString();
}

result<quarantine_table> parse_quarantine(std::string_view bytes, quarantine_limits const& limits) {
    wire::QuarantineTable in;
    if (!parse(in, bytes) || in.version() != snapshot_version) {
        return damaged_snapshot("the quarantine table");
    }
    quarantine_table table;
    table.limits = limits;
    table.latest = from_ms(in.latest_ms());
    table.revision = in.revision();
    for (wire::QuarantineEntry const& stored : in.entries()) {
        quarantine_entry entry;
        entry.quarantined = stored.quarantined();
        entry.quarantined_from = from_ms(stored.quarantined_from_ms());
        entry.last_crash = from_ms(stored.last_crash_ms());
        entry.has_finished = stored.has_finished();
        entry.part = names_part(stored.fingerprint());
        for (auto const& crash : stored.crashes()) {
            entry.crashes.push_back({crash.id(), from_ms(crash.began_ms()),
                                     from_ms(crash.ended_ms()), crash.after(), crash.unproven()});
        }
        table.ages.emplace(entry.last_crash, stored.fingerprint());
        table.entries.emplace(stored.fingerprint(), std::move(entry));
    }
    return table;
}

} // namespace fireflycrank
