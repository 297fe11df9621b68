#include "crashtracker.h"

#include "digest.h"

#include <algorithm>
#include <utility>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;

// The local table takes times on the steady clock in place of wall time: no other process reads it.
wall_time steady_as_wall(time_point at) {
    return wall_time{std::chrono::duration_cast<milliseconds>(at.time_since_epoch())};
}

milliseconds age(time_point at, time_point now) {
    return std::chrono::ceil<milliseconds>(now - at);
}

quarantine_command make_command(crash_report const& report, time_point now) {
    quarantine_command command;
    command.at = steady_as_wall(now);
    if (auto const* finished = std::get_if<finished_suspect>(&report.content)) {
        command.action = report_finished{finished->fingerprint, age(finished->finished_at, now)};
        return command;
    }
    auto const& ended = std::get<target_crash>(report.content);
    report_crash crash;
    crash.crash_id = ended.crash_id;
    crash.ended_before = age(ended.crashed_at, now);
    for (auto const& run : ended.runs) {
        running_fingerprint one;
        one.fingerprint = run.fingerprint;
        one.began_before = age(run.sent_at, now);
        one.after = run.prior_crash_id;
        one.unproven = run.unproven;
        if (run.last_finished_at) {
            one.finished_before = age(*run.last_finished_at, now);
        }
        crash.running.push_back(std::move(one));
    }
    command.action = std::move(crash);
    return command;
}

// The command for the gateway's own table. A process that has seen no part in a good run yet leaves
// unproven parts to the registrars: others know more.
quarantine_command make_own_command(crash_tracker const& tracker, crash_report const& report,
                                    time_point now) {
    auto command = make_command(report, now);
    if (tracker.finished_parts.empty()) {
        for (auto& running : std::get<report_crash>(command.action).running) {
            running.unproven = false;
        }
    }
    return command;
}

void add_report(crash_tracker& tracker, std::variant<target_crash, finished_suspect> content,
                time_point now) {
    if (tracker.pending_reports.size() >= tracker.settings.max_reports) {
        tracker.pending_reports.erase(tracker.pending_reports.begin());
        ++tracker.dropped_report_count;
    }
    tracker.pending_reports[++tracker.last_report_number] = {std::move(content), now, now};
}

bool in_force(crash_tracker::listed_suspect const& suspect, time_point now) {
    return suspect.refuse_from <= now && now < suspect.refuse_until;
}

std::optional<time_point> last_finished_at(crash_tracker const& tracker,
                                           std::string_view fingerprint) {
    auto const& finished = names_part(fingerprint) ? tracker.finished_parts : tracker.last_finished;
    auto const found = finished.find(hash64(fingerprint));
    return found == finished.end() ? std::nullopt : std::optional{found->second};
}

void remember_finished_part(crash_tracker& tracker, std::string_view fingerprint, time_point now) {
    auto& finished = tracker.finished_parts;
    finished[hash64(fingerprint)] = now;
    if (finished.size() <= tracker.settings.max_finished_parts) {
        return;
    }
    std::vector<time_point> times;
    times.reserve(finished.size());
    for (auto const& [key, at] : finished) {
        times.push_back(at);
    }
    auto const middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    std::erase_if(finished, [&](auto const& entry) { return entry.second < *middle; });
}

void remember_finished_request(crash_tracker& tracker, std::string_view fingerprint,
                               time_point now) {
    auto const key = hash64(fingerprint);
    auto const [position, inserted] = tracker.last_finished.try_emplace(key, now);
    position->second = now;
    if (inserted) {
        tracker.finished_by_age.push_back(key);
        if (tracker.finished_by_age.size() > tracker.settings.max_finished) {
            tracker.last_finished.erase(tracker.finished_by_age.front());
            tracker.finished_by_age.pop_front();
        }
    }
}

// Adds the parts of a lost run to the runs of its crash; each part once.
void add_parts(target_crash& ended, lost_run const& lost, crash_tracker const& tracker) {
    for (auto const& part : lost.parts) {
        auto const known =
            std::find_if(ended.runs.begin(), ended.runs.end(), [&](target_crash::run const& run) {
                return run.fingerprint == part.fingerprint;
            });
        if (known != ended.runs.end()) {
            known->unproven = known->unproven || part.unproven;
            continue;
        }
        ended.runs.push_back({part.fingerprint, lost.sent_at, lost.prior_crash_id,
                              last_finished_at(tracker, part.fingerprint), part.unproven});
    }
}

// The registrars' table has this crash now, and their list brings the verdict or withdraws it. Of a
// request its last crash is kept, for last_crash_id().
void forget_own_verdict(crash_tracker& tracker, target_crash const& ended) {
    auto& table = tracker.local_table;
    for (auto const& run : ended.runs) {
        if (names_part(run.fingerprint)) {
            apply(table, {table.latest, release_fingerprint{run.fingerprint, {}}});
            continue;
        }
        auto const found = table.entries.find(run.fingerprint);
        if (found != table.entries.end() && !found->second.crashes.empty()) {
            auto& crashes = found->second.crashes;
            crashes.erase(crashes.begin(), crashes.end() - 1);
            found->second.quarantined = false;
        }
    }
}

} // namespace

quarantine_table make_local_quarantine_table() {
    quarantine_table table;
    table.limits.entries = 1'000; // suspects; more than lose a run at the same time
    table.limits.quarantine_time = std::chrono::hours{1};
    table.limits.hearing_time = std::chrono::seconds{3};
    table.limits.short_hearing_time = table.limits.hearing_time;
    return table;
}

std::string crash_id_of(lost_run const& run) {
    return run.target + "/" + std::to_string(run.born.time_since_epoch().count());
}

duration quarantine_remaining(crash_tracker const& tracker, std::string_view fingerprint,
                              time_point now) {
    duration remaining = quarantine_left(tracker.local_table, fingerprint, steady_as_wall(now));
    auto const found = tracker.listed_suspects.find(fingerprint);
    if (found != tracker.listed_suspects.end() && found->second.refuse_from <= now) {
        remaining = std::max(remaining, found->second.refuse_until - now);
    }
    return std::max(remaining, duration::zero());
}

bool is_on_trial(crash_tracker const& tracker, std::string_view fingerprint, time_point now) {
    auto const found = tracker.listed_suspects.find(fingerprint);
    if (found == tracker.listed_suspects.end() || in_force(found->second, now)) {
        return false;
    }
    bool const had_verdict = found->second.refuse_from < found->second.refuse_until;
    return found->second.on_trial || had_verdict;
}

duration trial_remaining(crash_tracker const& tracker, std::string_view fingerprint, unsigned turn,
                         time_point now) {
    if (!is_on_trial(tracker, fingerprint, now)) {
        return {};
    }
    auto const opens_at = tracker.listed_suspects.find(fingerprint)->second.refuse_until +
                          turn * tracker.settings.trial_interval;
    return std::max(opens_at - now, duration::zero());
}

bool is_proven_part(crash_tracker const& tracker, std::string_view fingerprint, time_point now) {
    auto const finished = last_finished_at(tracker, fingerprint);
    return finished && now - *finished < tracker.settings.max_part_age;
}

std::string last_crash_id(crash_tracker const& tracker, std::string_view fingerprint) {
    auto const found = tracker.local_table.entries.find(fingerprint);
    return found == tracker.local_table.entries.end() || found->second.crashes.empty()
               ? std::string{}
               : found->second.crashes.back().id;
}

void record_crashes(crash_tracker& tracker, std::vector<lost_run> const& runs, time_point now) {
    std::map<std::string, target_crash> by_crash;
    for (auto const& run : runs) {
        auto const id = crash_id_of(run);
        auto& ended = by_crash[id];
        ended.crash_id = id;
        ended.crashed_at = std::max(ended.crashed_at, run.lost_at);
        ended.runs.push_back({run.fingerprint, run.sent_at, run.prior_crash_id,
                              last_finished_at(tracker, run.fingerprint)});
        add_parts(ended, run, tracker);
    }
    for (auto& [id, ended] : by_crash) {
        add_report(tracker, std::move(ended), now);
        apply(
            tracker.local_table,
            make_own_command(tracker, tracker.pending_reports.at(tracker.last_report_number), now));
    }
}

void record_finished(crash_tracker& tracker, std::string const& fingerprint, time_point now) {
    bool const part = names_part(fingerprint);
    if (part) {
        remember_finished_part(tracker, fingerprint, now);
    } else {
        remember_finished_request(tracker, fingerprint, now);
    }
    if (!tracker.local_table.entries.empty()) {
        apply(tracker.local_table, {steady_as_wall(now), report_finished{fingerprint}});
    }
    auto const suspect = tracker.listed_suspects.find(fingerprint);
    if (suspect != tracker.listed_suspects.end() && (part || !in_force(suspect->second, now))) {
        // Erased so that the run is reported only once per list that contains the suspect.
        tracker.listed_suspects.erase(suspect);
        add_report(tracker, finished_suspect{fingerprint, now}, now);
    }
}
bool update_suspects(crash_tracker& tracker, std::uint64_t revision,
                     std::vector<suspect_request> const& suspects, time_point now) {
    if (revision <= tracker.list_revision) {
        return false;
    }
    tracker.list_revision = revision;
    auto const previous = std::exchange(tracker.listed_suspects, {});
    for (auto const& one : suspects) {
        crash_tracker::listed_suspect listed{now + one.refuse_after, now + one.quarantine_left};
        auto const known = previous.find(one.fingerprint);
        listed.on_trial = one.on_trial;
        if (known != previous.end() && one.on_trial) {
            // The list does not tell since when the quarantine is over.
            listed.refuse_until = std::min(known->second.refuse_until, now);
        }
        listed.reported = known != previous.end() && known->second.reported;
        auto const finished = last_finished_at(tracker, one.fingerprint);
        bool const part = names_part(one.fingerprint);
        bool const clears = finished && *finished > now - one.first_crash_before &&
                            (part || !in_force(listed, now));
        if (part && finished && !one.has_finished) {
            listed.refuse_until = listed.refuse_from; // the registrars withdraw it on our report
            listed.on_trial = false;
        }
        if (clears || (finished && !listed.reported)) {
            listed.reported = true;
            add_report(tracker, finished_suspect{one.fingerprint, *finished}, now);
        }
        if (!clears) {
            tracker.listed_suspects[one.fingerprint] = listed;
        }
    }
    return true;
}

std::vector<numbered_report> take_due_reports(crash_tracker& tracker, time_point now) {
    tracker.dropped_report_count += std::erase_if(tracker.pending_reports, [&](auto const& entry) {
        return now - entry.second.created_at > tracker.settings.report_lifetime;
    });
    std::vector<numbered_report> due;
    for (auto& [number, report] : tracker.pending_reports) {
        if (now >= report.next_send_at) {
            report.next_send_at = now + tracker.settings.resend_interval;
            due.push_back({number, make_command(report, now)});
        }
    }
    return due;
}

void acknowledge_report(crash_tracker& tracker, std::uint64_t number) {
    auto const found = tracker.pending_reports.find(number);
    if (found == tracker.pending_reports.end()) {
        return;
    }
    if (auto const* ended = std::get_if<target_crash>(&found->second.content)) {
        forget_own_verdict(tracker, *ended);
    }
    tracker.pending_reports.erase(found);
}

} // namespace fireflycrank
