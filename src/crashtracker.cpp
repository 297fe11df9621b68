#include "crashtracker.h"

#include "digest.h"

#include <algorithm>

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
        command.action = report_finished{finished->fingerprint};
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
        if (run.last_finished_at) {
            one.finished_before = age(*run.last_finished_at, now);
        }
        crash.running.push_back(std::move(one));
    }
    command.action = std::move(crash);
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
        target_crash::run one{run.fingerprint, run.sent_at, run.prior_crash_id, std::nullopt};
        if (auto const found = tracker.last_finished.find(hash64(run.fingerprint));
            found != tracker.last_finished.end()) {
            one.last_finished_at = found->second;
        }
        ended.runs.push_back(std::move(one));
    }
    for (auto& [id, ended] : by_crash) {
        add_report(tracker, std::move(ended), now);
        apply(tracker.local_table,
              make_command(tracker.pending_reports.at(tracker.last_report_number), now));
    }
}

void record_finished(crash_tracker& tracker, std::string const& fingerprint, time_point now) {
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
    if (!tracker.local_table.entries.empty()) {
        apply(tracker.local_table, {steady_as_wall(now), report_finished{fingerprint}});
    }
    auto const suspect = tracker.listed_suspects.find(fingerprint);
    if (suspect != tracker.listed_suspects.end() && !in_force(suspect->second, now)) {
        // Erased so that the run is reported only once per list that contains the suspect.
        tracker.listed_suspects.erase(suspect);
        add_report(tracker, finished_suspect{fingerprint}, now);
    }
}

bool update_suspects(crash_tracker& tracker, std::uint64_t revision,
                     std::vector<suspect_request> const& suspects, time_point now) {
    if (revision <= tracker.list_revision) {
        return false;
    }
    tracker.list_revision = revision;
    tracker.listed_suspects.clear();
    for (auto const& one : suspects) {
        crash_tracker::listed_suspect const listed{now + one.refuse_after,
                                                   now + one.quarantine_left};
        auto const finished = tracker.last_finished.find(hash64(one.fingerprint));
        bool const finished_since = finished != tracker.last_finished.end() &&
                                    finished->second > now - one.first_crash_before;
        if (finished_since && !in_force(listed, now)) {
            add_report(tracker, finished_suspect{one.fingerprint}, now);
        } else {
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
    tracker.pending_reports.erase(number);
}

} // namespace fireflycrank
