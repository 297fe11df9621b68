#include "attempt.h"

#include <algorithm>

namespace fireflycrank {

namespace {

attempt_record* find_record(attempt_table& table, attempt_ref const& id) {
    auto const found = table.records.find({id.request_id, id.number});
    return found == table.records.end() ? nullptr : &found->second;
}

bool belongs_here(attempt_table const& table, attempt_ref const& id) {
    return id.incarnation == table.incarnation && id.target == table.target;
}

wall_time advance(attempt_table& table, wall_time now) {
    table.latest = std::max(table.latest, now);
    return table.latest;
}

void drop_output(attempt_table& table, attempt_record& record) {
    table.output_bytes -= record.output.size();
    record.output.clear();
    record.output.shrink_to_fit();
}

bool is_live(attempt_record const& record) {
    return record.state == attempt_state::queued || record.state == attempt_state::running;
}

/// The last moment before time alone changes the record; nothing while it runs.
std::optional<wall_time> next_due(attempt_table const& table, attempt_record const& record) {
    if (record.state == attempt_state::running) {
        return std::nullopt;
    }
    if (record.state == attempt_state::queued) {
        return record.start_by;
    }
    // A void relies on the records of ended attempts until start_by + retention.
    auto const from =
        record.output.empty() ? std::max(record.ended, record.start_by) : record.ended;
    return from + table.limits.retention;
}

/// Brings the indexes in line with a record. Called after each change of it; `ended` never changes
/// while the record is evictable.
void reindex(attempt_table& table, attempt_number const& key, attempt_record& record) {
    auto const due = next_due(table, record);
    if (due != record.due) {
        if (record.due) {
            table.due.erase({*record.due, key});
        }
        if (due) {
            table.due.emplace(*due, key);
        }
        record.due = due;
    }
    bool const evictable = !is_live(record) && !record.unrepeatable && !record.output.empty();
    if (evictable && !record.evictable) {
        table.evictable.emplace(record.ended, key);
    } else if (!evictable && record.evictable) {
        table.evictable.erase({record.ended, key});
    }
    record.evictable = evictable;
    bool const owed =
        record.state == attempt_state::done && !record.released && !record.output_dropped;
    table.owed += owed ? 1 : 0;
    table.owed -= record.owed ? 1 : 0;
    record.owed = owed;
}

void reindex(attempt_table& table, attempt_ref const& id, attempt_record& record) {
    reindex(table, attempt_number{id.request_id, id.number}, record);
}

/// Frees the oldest ended output of an idempotent request: it can be run again, an order cannot.
bool evict_repeatable(attempt_table& table) {
    if (table.evictable.empty()) {
        return false;
    }
    ++table.visited;
    attempt_number const key = table.evictable.begin()->second;
    auto& oldest = table.records.at(key);
    oldest.output_dropped = true;
    drop_output(table, oldest);
    reindex(table, key, oldest);
    return true;
}

bool make_output_room(attempt_table& table, std::size_t bytes) {
    while (table.output_bytes + bytes > table.limits.output_bytes) {
        if (!evict_repeatable(table)) {
            return false;
        }
    }
    return true;
}

attempt_ref make_ref(attempt_table const& table, attempt_number const& key) {
    return {key.first, key.second, table.target, table.incarnation};
}

} // namespace

start_reply start_attempt(attempt_table& table, attempt_start const& start, bool has_room,
                          wall_time now) {
    now = advance(table, now);
    if (!belongs_here(table, start.id)) {
        return {start_verdict::duplicate, attempt_state::other_incarnation};
    }
    if (auto const* known = find_record(table, start.id); known != nullptr) {
        return {start_verdict::duplicate, known->state};
    }
    if (now > start.start_by) {
        // Needs no tombstone: `latest` never falls, so every later copy is refused here too. But an
        // ended attempt's tombstone is gone by now, so this proves nothing about an earlier copy.
        return {start_verdict::duplicate, attempt_state::unknown};
    }
    if (table.records.size() >= table.limits.records) {
        return {start_verdict::dropped, attempt_state::unknown};
    }
    attempt_record record;
    record.start_by = start.start_by;
    record.unrepeatable = start.unrepeatable;
    record.alone = start.alone;
    record.fingerprint = start.fingerprint;
    bool const accepted = has_room && make_output_room(table, 1);
    record.state = accepted ? attempt_state::queued : attempt_state::refused;
    record.ended = now;
    auto& stored =
        table.records.emplace(attempt_number{start.id.request_id, start.id.number}, record)
            .first->second;
    reindex(table, start.id, stored);
    return {accepted ? start_verdict::accepted : start_verdict::refused, record.state};
}

begin_verdict begin_run(attempt_table& table, attempt_ref const& id, wall_time now) {
    now = advance(table, now);
    auto* record = belongs_here(table, id) ? find_record(table, id) : nullptr;
    if (record == nullptr || record->state != attempt_state::queued) {
        return begin_verdict::never;
    }
    if (now > record->start_by) {
        record->state = attempt_state::refused;
        record->ended = now;
        reindex(table, id, *record);
        return begin_verdict::never;
    }
    if (table.running_alone || (record->alone && table.running > 0)) {
        return begin_verdict::wait;
    }
    record->state = attempt_state::running;
    reindex(table, id, *record);
    ++table.running;
    table.running_alone = record->alone;
    return begin_verdict::run;
}

void append_output(attempt_table& table, attempt_ref const& id, std::string_view bytes) {
    auto* record = belongs_here(table, id) ? find_record(table, id) : nullptr;
    if (record == nullptr || record->state != attempt_state::running) {
        return;
    }
    record->total_bytes += bytes.size();
    if (record->output_dropped) {
        return;
    }
    bool const fits = record->total_bytes <= table.limits.one_output_bytes;
    if (!fits || !make_output_room(table, bytes.size())) {
        record->output_dropped = true;
        drop_output(table, *record);
        return;
    }
    record->output.append(bytes);
    table.output_bytes += bytes.size();
}

void end_run(attempt_table& table, attempt_ref const& id, attempt_state state, std::uint32_t status,
             std::string content_type, wall_time now) {
    now = advance(table, now);
    auto* record = belongs_here(table, id) ? find_record(table, id) : nullptr;
    if (record == nullptr || record->state != attempt_state::running) {
        return;
    }
    record->state = state;
    record->status = status;
    record->content_type = std::move(content_type);
    record->ended = now;
    --table.running;
    table.running_alone = table.running_alone && !record->alone;
    if (state != attempt_state::done) {
        record->output_dropped = true;
        drop_output(table, *record);
    }
    reindex(table, id, *record);
}

bool withdraw_run(attempt_table& table, attempt_ref const& id, wall_time now) {
    now = advance(table, now);
    auto* record = belongs_here(table, id) ? find_record(table, id) : nullptr;
    if (record == nullptr || record->state != attempt_state::running || record->total_bytes > 0) {
        return false;
    }
    record->state = attempt_state::refused;
    record->ended = now;
    --table.running;
    table.running_alone = table.running_alone && !record->alone;
    reindex(table, id, *record);
    return true;
}

std::vector<attempt_ref> crash_running(attempt_table& table, wall_time now) {
    std::vector<attempt_ref> crashed;
    for (auto const& [key, record] : table.records) {
        if (record.state == attempt_state::running) {
            crashed.push_back(make_ref(table, key));
        }
    }
    for (auto const& id : crashed) {
        end_run(table, id, attempt_state::crashed, 0, {}, now);
    }
    return crashed;
}

attempt_state query_attempt(attempt_table const& table, attempt_ref const& id) {
    if (!belongs_here(table, id)) {
        return attempt_state::other_incarnation;
    }
    auto const found = table.records.find({id.request_id, id.number});
    return found == table.records.end() ? attempt_state::unknown : found->second.state;
}

attempt_state void_attempt(attempt_table& table, attempt_ref const& id, wall_time start_by,
                           wall_time now) {
    now = advance(table, now);
    if (!belongs_here(table, id)) {
        return attempt_state::other_incarnation;
    }
    if (auto* known = find_record(table, id); known != nullptr) {
        if (known->state == attempt_state::queued) {
            known->state = attempt_state::voided;
            known->ended = now;
            reindex(table, id, *known);
        }
        return known->state;
    }
    // Records of ended attempts are kept for `retention` after start_by; after that, a missing
    // record no longer proves that the attempt did not run.
    if (now > start_by + table.limits.retention || table.records.size() >= table.limits.records) {
        return attempt_state::unknown;
    }
    attempt_record tombstone;
    tombstone.state = attempt_state::voided;
    tombstone.start_by = start_by;
    tombstone.ended = now;
    auto& stored =
        table.records.emplace(attempt_number{id.request_id, id.number}, tombstone).first->second;
    reindex(table, id, stored);
    return attempt_state::voided;
}

output_view resend_output(attempt_table const& table, attempt_ref const& id, std::uint64_t offset) {
    output_view view;
    view.state = query_attempt(table, id);
    if (view.state == attempt_state::unknown || view.state == attempt_state::other_incarnation) {
        return view;
    }
    auto const& record = table.records.at({id.request_id, id.number});
    view.total_bytes = record.total_bytes;
    view.status = record.status;
    view.content_type = record.content_type;
    view.offset = offset;
    view.available = !record.released && !record.output_dropped && offset <= record.output.size();
    if (view.available) {
        view.bytes = std::string_view{record.output}.substr(offset);
    }
    return view;
}

void release_attempt(attempt_table& table, attempt_ref const& id) {
    auto* record = belongs_here(table, id) ? find_record(table, id) : nullptr;
    if (record == nullptr || record->state == attempt_state::queued ||
        record->state == attempt_state::running) {
        return;
    }
    record->released = true;
    drop_output(table, *record);
    reindex(table, id, *record);
}

bool cancel_attempt(attempt_table& table, attempt_ref const& id, wall_time now) {
    auto* record = belongs_here(table, id) ? find_record(table, id) : nullptr;
    if (record == nullptr) {
        return false;
    }
    if (record->state == attempt_state::queued) {
        record->state = attempt_state::voided;
        record->ended = advance(table, now);
        reindex(table, id, *record);
        return false;
    }
    if (record->state != attempt_state::running || record->unrepeatable) {
        return false;
    }
    end_run(table, id, attempt_state::cancelled, 0, {}, now);
    return true;
}

std::vector<attempt_ref> expire_attempts(attempt_table& table, wall_time now) {
    now = advance(table, now);
    std::vector<attempt_ref> refused;
    while (!table.due.empty() && table.due.begin()->first < now) {
        ++table.visited;
        attempt_number const key = table.due.begin()->second;
        auto& record = table.records.at(key);
        if (record.state == attempt_state::queued) {
            record.state = attempt_state::refused;
            record.ended = now;
            refused.push_back(make_ref(table, key));
        } else if (!record.output.empty()) {
            record.output_dropped = true;
            drop_output(table, record);
        } else {
            table.due.erase(table.due.begin());
            table.owed -= record.owed ? 1 : 0;
            table.records.erase(key);
            continue;
        }
        reindex(table, key, record);
    }
    return refused;
}

} // namespace fireflycrank
