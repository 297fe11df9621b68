#include "quarantine.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// A first crash may be one of 50 requests' fault; only the second can name the guilty one.
constexpr std::uint32_t crashes_alone = 2;
// Without knowing what ran beside it: a sound request that ran on three targets as they crashed,
// one after the other, and never ended well in between, is rare.
constexpr std::uint32_t crashes_beside_others = 3;
// One more, and whoever knows better has had the time of one message each way.
constexpr std::uint32_t crashes_for_short_hearing = 4;
// Crashes kept of a request: those that count, and others of which late reports are recognized.
constexpr std::size_t kept_crashes = 8;

std::chrono::milliseconds quarantine_span(quarantine_entry const& entry,
                                          quarantine_limits const& limits) {
    if (!entry.part) {
        return limits.quarantine_time;
    }
    auto span = limits.part_quarantine_time;
    for (auto crash = crashes_in_row(entry); crash > 1 && span < limits.quarantine_time; --crash) {
        span *= limits.part_growth;
    }
    return std::min(span, limits.quarantine_time);
}

bool quarantine_is_over(quarantine_entry const& entry, quarantine_limits const& limits,
                        wall_time now) {
    return entry.last_crash + quarantine_span(entry, limits) < now;
}

bool is_quarantined(quarantine_entry const& entry, quarantine_limits const& limits, wall_time now) {
    return entry.quarantined && now >= entry.quarantined_from &&
           !quarantine_is_over(entry, limits, now);
}

bool expired(quarantine_entry const& entry, quarantine_limits const& limits, wall_time now) {
    auto const suspect_from = entry.last_crash + (entry.quarantined ? quarantine_span(entry, limits)
                                                                    : std::chrono::milliseconds{0});
    return suspect_from + limits.suspect_time < now;
}

bool is_repeated_suspect(quarantine_entry const& entry) {
    return entry.quarantined || crashes_in_row(entry) > 1;
}

void remove_entry(quarantine_table& table, std::string const& fingerprint) {
    auto const found = table.entries.find(fingerprint);
    if (found != table.entries.end()) {
        table.revision += is_repeated_suspect(found->second) ? 1 : 0;
        table.ages.erase({found->second.last_crash, fingerprint});
        table.entries.erase(found);
    }
}

void expire_entries(quarantine_table& table) {
    std::vector<std::string> old;
    for (auto const& [at, fingerprint] : table.ages) {
        if (at + table.limits.suspect_time >= table.latest) {
            break;
        }
        if (expired(table.entries.at(fingerprint), table.limits, table.latest)) {
            old.push_back(fingerprint);
        }
    }
    for (auto const& fingerprint : old) {
        remove_entry(table, fingerprint);
    }
}

/// Makes room by dropping the oldest suspect; an entry is never dropped during its quarantine.
bool make_room(quarantine_table& table) {
    if (table.entries.size() < table.limits.entries) {
        return true;
    }
    for (auto const& [at, fingerprint] : table.ages) {
        auto const& entry = table.entries.at(fingerprint);
        if (!entry.quarantined || quarantine_is_over(entry, table.limits, table.latest)) {
            remove_entry(table, std::string{fingerprint});
            return true;
        }
    }
    return false;
}

bool knows_crash(quarantine_entry const& entry, std::string const& id) {
    return std::any_of(entry.crashes.begin(), entry.crashes.end(),
                       [&](crash_under_request const& one) { return one.id == id; });
}

void keep_crash(quarantine_entry& entry, crash_under_request crash) {
    auto const place =
        std::upper_bound(entry.crashes.begin(), entry.crashes.end(), crash,
                         [](crash_under_request const& left, crash_under_request const& right) {
                             return left.ended < right.ended;
                         });
    entry.crashes.insert(place, std::move(crash));
    if (entry.crashes.size() > kept_crashes) {
        entry.crashes.erase(entry.crashes.begin());
    }
}

// A crash has one cause. A quarantined request or part of which no run ever ended well explains the
// crashes under it to all others that ran beside it and have ended well before.
bool is_explained(quarantine_table const& table, crash_under_request const& crash) {
    return std::any_of(table.entries.begin(), table.entries.end(), [&](auto const& other) {
        auto const& entry = other.second;
        return entry.quarantined && !entry.has_finished && knows_crash(entry, crash.id);
    });
}

std::uint32_t counted_crashes(quarantine_table const& table, quarantine_entry const& entry) {
    auto const crashes = crashes_in_row(entry);
    if (!entry.has_finished || crashes < crashes_beside_others) {
        return crashes; // too few for a verdict in any case
    }
    auto unexplained = entry;
    std::erase_if(unexplained.crashes,
                  [&](crash_under_request const& crash) { return is_explained(table, crash); });
    return crashes_in_row(unexplained);
}

// Crashes that lead to a verdict.
std::uint32_t needed_crashes(quarantine_entry const& entry) {
    bool const unproven = !entry.has_finished &&
                          std::any_of(entry.crashes.begin(), entry.crashes.end(),
                                      [](crash_under_request const& one) { return one.unproven; });
    return unproven ? 1 : crashes_beside_others;
}

bool is_guilty(quarantine_table const& table, quarantine_entry const& entry) {
    return counted_crashes(table, entry) >= needed_crashes(entry);
}

// A run to an end clears the request or part of all crashes before it.
void note_run_to_end(quarantine_table const& table, quarantine_entry& entry, wall_time ended) {
    entry.has_finished = true;
    if (!entry.part && is_quarantined(entry, table.limits, table.latest)) {
        // A run that started before the quarantine may end after it.
        entry.quarantined = is_guilty(table, entry);
        return;
    }
    std::erase_if(entry.crashes,
                  [&](crash_under_request const& one) { return one.ended <= ended; });
    entry.quarantined = entry.quarantined && is_guilty(table, entry);
}

// Ends the verdicts on requests and parts whose crashes a new verdict explains.
void withdraw_explained(quarantine_table& table) {
    for (auto& [fingerprint, entry] : table.entries) {
        if (entry.quarantined && entry.has_finished && !is_guilty(table, entry)) {
            entry.quarantined = false;
            ++table.revision;
        }
    }
}

void decide(quarantine_table& table, quarantine_entry& entry, bool alone,
            std::string const& fingerprint, quarantine_reply& reply) {
    auto const crashes = counted_crashes(table, entry);
    auto const needed = needed_crashes(entry);
    if (crashes < (alone ? std::min(needed, crashes_alone) : needed)) {
        return;
    }
    auto const now = table.latest;
    if (!entry.quarantined) {
        entry.quarantined = true;
        entry.quarantined_from = now + table.limits.hearing_time;
        reply.quarantined.push_back(fingerprint);
        if (!entry.has_finished) {
            withdraw_explained(table);
        }
    }
    if (alone || needed == 1) {
        entry.quarantined_from = std::min(entry.quarantined_from, now);
    } else if (crashes >= crashes_for_short_hearing) {
        entry.quarantined_from =
            std::min(entry.quarantined_from, now + table.limits.short_hearing_time);
    }
}

void add_crash(quarantine_table& table, report_crash const& crash,
               running_fingerprint const& running, quarantine_reply& reply) {
    auto found = table.entries.find(running.fingerprint);
    if (found != table.entries.end() && knows_crash(found->second, crash.crash_id)) {
        return;
    }
    if (found == table.entries.end()) {
        if (!make_room(table)) {
            return;
        }
        found = table.entries.try_emplace(running.fingerprint).first;
        reply.suspects.push_back(running.fingerprint);
    }
    auto& entry = found->second;
    bool const was_repeated = is_repeated_suspect(entry);
    entry.part = names_part(running.fingerprint);
    if (running.finished_before) {
        note_run_to_end(table, entry, table.latest - *running.finished_before);
    }
    auto const ended = table.latest - crash.ended_before;
    auto const began = std::min(ended, table.latest - running.began_before);
    keep_crash(entry, {crash.crash_id, began, ended, running.after, running.unproven});
    table.ages.erase({entry.last_crash, running.fingerprint});
    entry.last_crash = std::max(entry.last_crash, ended);
    table.ages.emplace(entry.last_crash, running.fingerprint);
    decide(table, entry, running.alone, running.fingerprint, reply);
    table.revision += was_repeated || is_repeated_suspect(entry) ? 1 : 0;
    reply.changed = true;
}

bool apply_finished(quarantine_table& table, report_finished const& finished) {
    auto const found = table.entries.find(finished.fingerprint);
    if (found == table.entries.end()) {
        return false;
    }
    auto& entry = found->second;
    auto const before = entry;
    note_run_to_end(table, entry, table.latest - finished.finished_before);
    if (entry.crashes.empty()) {
        table.revision += is_repeated_suspect(before) ? 1 : 0;
        remove_entry(table, finished.fingerprint);
        return true;
    }
    bool const changed =
        before.quarantined != entry.quarantined || before.crashes.size() != entry.crashes.size();
    table.revision += changed ? 1 : 0;
    return changed;
}

} // namespace

bool names_part(std::string_view fingerprint) {
    return fingerprint.starts_with(part_prefix);
}

std::uint32_t crashes_in_row(quarantine_entry const& entry) {
    std::uint32_t count = 0;
    wall_time last_end = wall_time::min();
    for (auto one = entry.crashes.begin(); one != entry.crashes.end(); ++one) {
        // By the reporter's word where the reports' delays make the times overlap.
        bool const follows =
            std::any_of(entry.crashes.begin(), one, [&](crash_under_request const& earlier) {
                return earlier.id == one->after && earlier.ended >= last_end;
            });
        if (one->began >= last_end || follows) {
            ++count;
            last_end = one->ended;
        }
    }
    return count;
}

quarantine_reply apply(quarantine_table& table, quarantine_command const& command) {
    table.latest = std::max(table.latest, command.at);
    expire_entries(table);
    quarantine_reply reply;
    if (auto const* crash = std::get_if<report_crash>(&command.action)) {
        for (auto const& running : crash->running) {
            add_crash(table, *crash, running, reply);
        }
        return reply;
    }
    if (auto const* finished = std::get_if<report_finished>(&command.action)) {
        reply.changed = apply_finished(table, *finished);
        return reply;
    }
    auto const& release = std::get<release_fingerprint>(command.action);
    reply.changed = table.entries.contains(release.fingerprint);
    remove_entry(table, release.fingerprint);
    return reply;
}

quarantine_verdict judge(quarantine_table const& table, std::string_view fingerprint,
                         wall_time now) {
    auto const found = table.entries.find(fingerprint);
    if (found == table.entries.end() || expired(found->second, table.limits, now)) {
        return quarantine_verdict::normal;
    }
    return is_quarantined(found->second, table.limits, now) ? quarantine_verdict::refuse
                                                            : quarantine_verdict::alone;
}

std::chrono::milliseconds quarantine_left(quarantine_table const& table,
                                          std::string_view fingerprint, wall_time now) {
    auto const found = table.entries.find(fingerprint);
    if (found == table.entries.end() || !is_quarantined(found->second, table.limits, now)) {
        return {};
    }
    return found->second.last_crash + quarantine_span(found->second, table.limits) - now;
}

std::vector<suspect_request> repeated_suspects(quarantine_table const& table, wall_time now,
                                               std::size_t most) {
    std::vector<suspect_request> suspects;
    for (auto const& [fingerprint, entry] : table.entries) {
        if (!is_repeated_suspect(entry) || expired(entry, table.limits, now)) {
            continue;
        }
        std::chrono::milliseconds const none{0};
        bool const over = quarantine_is_over(entry, table.limits, now);
        suspects.push_back({fingerprint, std::max(none, now - entry.crashes.front().ended),
                            entry.quarantined ? std::max(none, entry.quarantined_from - now) : none,
                            entry.quarantined && !over
                                ? entry.last_crash + quarantine_span(entry, table.limits) - now
                                : none,
                            entry.has_finished, entry.quarantined && over});
    }
    auto const longer = [](suspect_request const& left, suspect_request const& right) {
        return left.quarantine_left > right.quarantine_left;
    };
    if (suspects.size() > most) {
        std::stable_sort(suspects.begin(), suspects.end(), longer);
        suspects.resize(most);
    }
    return suspects;
}

report_crash make_engine_crash_report(attempt_table const& table, std::uint64_t engine_start) {
    report_crash report;
    report.crash_id = table.target + "/" + std::to_string(table.incarnation) + "/engine-" +
                      std::to_string(engine_start);
    for (auto const& [key, record] : table.records) {
        if (record.state == attempt_state::running) {
            running_fingerprint running;
            running.fingerprint = record.fingerprint;
            running.alone = table.running == 1;
            report.running.push_back(std::move(running));
        }
    }
    return report;
}

report_crash make_target_death_report(std::string_view target, std::uint64_t incarnation,
                                      std::vector<running_fingerprint> running) {
    return {
        std::string{target} + "/" + std::to_string(incarnation) + "/vm", std::move(running), {}};
}

} // namespace fireflycrank
