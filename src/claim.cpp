#include "claim.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// Bounds the work of one command; commands arrive more often than claims expire.
constexpr int expiries_per_command = 16;

/// Whether a claim is known to have no further use once `due` has passed.
bool removed_when_due(claim const& entry) {
    return entry.window.count() > 0 || entry.state == claim_state::voided;
}

bool ended_with_response(claim const& entry) {
    return entry.state == claim_state::done || entry.state == claim_state::failed;
}

void schedule(claim_table& table, std::string const& key, claim const& entry) {
    if (auto const at = claim_due(entry, table.limits)) {
        table.due.emplace(*at, key);
    }
}

void unschedule(claim_table& table, std::string const& key, claim const& entry) {
    if (auto const at = claim_due(entry, table.limits)) {
        table.due.erase({*at, key});
    }
}

/// When a digest or voided claim goes: never while its attempt may still start.
wall_time removal_time(claim const& entry, claim_limits const& limits) {
    auto const safe = entry.start_by + limits.drift_bound;
    return entry.state == claim_state::voided ? safe
                                              : std::max(safe, entry.last_seen + entry.window);
}

void expire_one(claim_table& table, std::string const& key) {
    auto const found = table.claims.find(key);
    if (found == table.claims.end()) {
        return;
    }
    auto& entry = found->second;
    bool const remove = removed_when_due(entry) && removal_time(entry, table.limits) < table.latest;
    if (remove) {
        table.claims.erase(found);
        return;
    }
    entry.response.reset();
    schedule(table, key, entry);
}

void expire_due(claim_table& table) {
    for (int count = 0; count < expiries_per_command && !table.due.empty(); ++count) {
        auto const first = *table.due.begin();
        if (first.first >= table.latest) {
            break;
        }
        table.due.erase(table.due.begin());
        expire_one(table, first.second);
    }
    while (!table.reply_ages.empty()) {
        auto const& [at, id] = *table.reply_ages.begin();
        bool const old = at + table.limits.reply_retention < table.latest;
        if (!old && table.replies.size() <= table.limits.replies) {
            break;
        }
        table.replies.erase(id);
        table.reply_ages.erase(table.reply_ages.begin());
    }
}

claim_view make_view(claim const& entry) {
    return {entry.state, entry.attempt, entry.start_by, entry.owner, entry.response};
}

/// Limits how long an attempt may wait to start, whatever the entry's clock says.
wall_time limit_start(claim_table const& table, wall_time wanted) {
    return std::min(wanted, table.latest + table.limits.start_window);
}

/// One command's effect on the claim under its key.
struct applier {
    claim_table& table;
    std::string const& key;
    claim* entry;

    claim_reply reply(claim_outcome outcome) const {
        return {outcome, entry == nullptr ? claim_view{} : make_view(*entry)};
    }

    bool names_bound(attempt_ref const& attempt) const {
        return entry->attempt == attempt &&
               (entry->state == claim_state::bound || entry->state == claim_state::unknown);
    }

    claim_reply operator()(acquire_claim const& action) {
        // A copy that arrives after the claim's life would bind an attempt that nobody sends.
        bool const too_late = table.latest > action.start_by;
        if (too_late && (entry == nullptr || entry->state == claim_state::voided)) {
            return reply(claim_outcome::refused);
        }
        if (entry == nullptr) {
            if (table.claims.size() >= table.limits.claims) {
                return reply(claim_outcome::full);
            }
            entry = &table.claims[key];
            entry->state = claim_state::voided;
        }
        // A voided claim has no run behind it, so a corrected body may take its key.
        if (entry->state != claim_state::voided && entry->body_digest != action.body_digest) {
            return reply(claim_outcome::conflict);
        }
        entry->last_seen = table.latest;
        if (entry->state != claim_state::voided) {
            return reply(claim_outcome::existing);
        }
        entry->body_digest = action.body_digest;
        entry->window = action.window;
        bind(action.request_id, action.target, action.incarnation, action.start_by, action.owner);
        return reply(claim_outcome::accepted);
    }

    claim_reply operator()(rebind_claim const& action) {
        if (entry == nullptr) {
            return reply(claim_outcome::missing);
        }
        if (!names_bound(action.ended)) {
            return reply(claim_outcome::stale);
        }
        bind(action.request_id, action.target, action.incarnation, action.start_by, action.owner);
        return reply(claim_outcome::accepted);
    }

    void bind(std::string const& request_id, std::string const& target, std::uint64_t incarnation,
              wall_time start_by, std::string const& owner) const {
        entry->attempt = {request_id, entry->attempt.number + 1, target, incarnation};
        entry->state = claim_state::bound;
        entry->start_by = limit_start(table, start_by);
        entry->owner = owner;
        entry->last_seen = table.latest;
    }

    claim_reply operator()(void_claim const& action) const {
        return settle(action.ended, claim_state::voided, {});
    }

    claim_reply operator()(mark_unknown const& action) const {
        return settle(action.ended, claim_state::unknown, {});
    }

    claim_reply operator()(finish_claim const& action) const {
        return settle(action.ended, action.failed ? claim_state::failed : claim_state::done,
                      action.response);
    }

    claim_reply settle(attempt_ref const& ended, claim_state state,
                       std::optional<stored_response> response) const {
        if (entry == nullptr) {
            return reply(claim_outcome::missing);
        }
        if (!names_bound(ended)) {
            return reply(claim_outcome::stale);
        }
        entry->state = state;
        entry->finished = table.latest;
        if (response && response->body.size() <= table.limits.response_bytes) {
            entry->response = std::move(response);
        }
        return reply(claim_outcome::accepted);
    }

    claim_reply operator()(takeover_claim const& action) const {
        if (entry == nullptr) {
            return reply(claim_outcome::missing);
        }
        if (!names_bound(action.attempt)) {
            return reply(claim_outcome::stale);
        }
        entry->owner = action.owner;
        return reply(claim_outcome::accepted);
    }

    claim_reply operator()(prune_claim const& /*action*/) {
        if (entry == nullptr) {
            return reply(claim_outcome::missing);
        }
        bool const may_start = entry->start_by + table.limits.drift_bound >= table.latest;
        bool const open = entry->state == claim_state::bound;
        if (open || (may_start && !ended_with_response(*entry))) {
            return reply(claim_outcome::refused);
        }
        auto pruned = reply(claim_outcome::accepted);
        entry = nullptr;
        return pruned;
    }

    claim_reply operator()(expire_claims const& /*action*/) const {
        return reply(entry == nullptr ? claim_outcome::missing : claim_outcome::existing);
    }
};

claim_reply repeat_reply(claim_table const& table, kept_reply const& kept) {
    claim_reply reply{kept.outcome, kept.view};
    auto const* entry = find_claim(table, kept.key);
    if (entry != nullptr && entry->attempt == kept.view.attempt &&
        entry->state == kept.view.state) {
        reply.view.response = entry->response;
    }
    return reply;
}

void keep_reply(claim_table& table, claim_command const& command, claim_reply const& reply) {
    kept_reply kept{table.latest, command.key, reply.outcome, reply.view};
    kept.view.response.reset();
    table.replies.emplace(command.id, std::move(kept));
    table.reply_ages.emplace(table.latest, command.id);
}

} // namespace

std::optional<wall_time> claim_due(claim const& entry, claim_limits const& limits) {
    std::optional<wall_time> due;
    if (removed_when_due(entry)) {
        due = removal_time(entry, limits);
    }
    if (ended_with_response(entry) && entry.response) {
        auto const drop = entry.finished + limits.answer_retention;
        due = due ? std::min(*due, drop) : drop;
    }
    return due;
}

claim const* find_claim(claim_table const& table, std::string_view key) {
    auto const found = table.claims.find(key);
    return found == table.claims.end() ? nullptr : &found->second;
}

claim_reply apply(claim_table& table, claim_command const& command) {
    table.latest = std::max(table.latest, command.at);
    if (auto const kept = table.replies.find(command.id); kept != table.replies.end()) {
        return repeat_reply(table, kept->second);
    }
    expire_due(table);
    auto const found = table.claims.find(command.key);
    claim* const before = found == table.claims.end() ? nullptr : &found->second;
    if (before != nullptr) {
        unschedule(table, command.key, *before);
    }
    applier effect{table, command.key, before};
    auto reply = std::visit(effect, command.action);
    if (effect.entry == nullptr) {
        table.claims.erase(command.key);
    } else {
        schedule(table, command.key, *effect.entry);
    }
    if (!std::holds_alternative<expire_claims>(command.action)) {
        keep_reply(table, command, reply);
    }
    return reply;
}

} // namespace fireflycrank
