#include "crashtracker.h"

#include "digest.h"

#include <algorithm>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;

// The own table counts in the process's own time: nobody else reads it.
wall_time own_time(time_point at) {
    return wall_time{std::chrono::duration_cast<milliseconds>(at.time_since_epoch())};
}

milliseconds age_of(time_point at, time_point now) {
    return std::chrono::ceil<milliseconds>(now - at);
}

quarantine_command command_of(crash_report const& report, time_point now) {
    quarantine_command command;
    command.at = own_time(now);
    if (auto const* finished = std::get_if<finished_suspect>(&report.content)) {
        command.action = report_finished{finished->fingerprint};
        return command;
    }
    auto const& ended = std::get<target_crash>(report.content);
    report_crash crash;
    crash.crash_id = ended.crash_id;
    crash.ended_before = age_of(ended.crashed_at, now);
    for (auto const& run : ended.runs) {
        running_fingerprint one;
        one.fingerprint = run.fingerprint;
        one.began_before = age_of(run.sent_at, now);
        one.after = run.prior_crash_id;
        if (run.last_finished_at) {
            one.finished_before = age_of(*run.last_finished_at, now);
        }
        crash.running.push_back(std::move(one));
    }
    command.action = std::move(crash);
    return command;
}

void add_report(crash_tracker& guard, std::variant<target_crash, finished_suspect> content,
                time_point now) {
    if (guard.pending_reports.size() >= guard.settings.max_reports) {
        guard.pending_reports.erase(guard.pending_reports.begin());
        ++guard.dropped_report_count;
    }
    guard.pending_reports[++guard.last_report_number] = {std::move(content), now, now};
}

bool in_force(crash_tracker::listed_suspect const& suspect, time_point now) {
    return suspect.refuse_from <= now && now < suspect.refuse_until;
}

} // namespace

quarantine_table make_local_quarantine_table() {
    quarantine_table table;
    table.limits.entries = 1'000; // more than a gateway has running at once
    table.limits.quarantine_time = std::chrono::hours{1};
    table.limits.hearing_time = std::chrono::seconds{3};
    table.limits.short_hearing_time = table.limits.hearing_time;
    return table;
}

std::string crash_id_of(lost_run const& run) {
    return run.target + "/" + std::to_string(run.born.time_since_epoch().count());
}

duration quarantine_remaining(crash_tracker const& guard, std::string_view fingerprint,
                              time_point now) {
    duration left = quarantine_left(guard.local_table, fingerprint, own_time(now));
    auto const found = guard.listed_suspects.find(fingerprint);
    if (found != guard.listed_suspects.end() && found->second.refuse_from <= now) {
        left = std::max(left, found->second.refuse_until - now);
    }
    return std::max(left, duration::zero());
}

std::string last_crash_id(crash_tracker const& guard, std::string_view fingerprint) {
    auto const found = guard.local_table.entries.find(fingerprint);
    return found == guard.local_table.entries.end() || found->second.crashes.empty()
               ? std::string{}
               : found->second.crashes.back().id;
}

void record_crashes(crash_tracker& guard, std::vector<lost_run> const& runs, time_point now) {
    std::map<std::string, target_crash> by_crash;
    for (auto const& run : runs) {
        auto const id = crash_id_of(run);
        auto& ended = by_crash[id];
        ended.crash_id = id;
        ended.crashed_at = std::max(ended.crashed_at, run.lost_at);
        target_crash::run one{run.fingerprint, run.sent_at, run.prior_crash_id, std::nullopt};
        if (auto const found = guard.last_finished.find(hash64(run.fingerprint));
            found != guard.last_finished.end()) {
            one.last_finished_at = found->second;
        }
        ended.runs.push_back(std::move(one));
    }
    for (auto& [id, ended] : by_crash) {
        add_report(guard, std::move(ended), now);
        apply(guard.local_table,
              command_of(guard.pending_reports.at(guard.last_report_number), now));
    }
}

void record_finished(crash_tracker& guard, std::string const& fingerprint, time_point now) {
    auto const key = hash64(fingerprint);
    auto const [place, fresh] = guard.last_finished.try_emplace(key, now);
    place->second = now;
    if (fresh) {
        guard.finished_by_age.push_back(key);
        if (guard.finished_by_age.size() > guard.settings.max_finished) {
            guard.last_finished.erase(guard.finished_by_age.front());
            guard.finished_by_age.pop_front();
        }
    }
    if (!guard.local_table.entries.empty()) {
        apply(guard.local_table, {own_time(now), report_finished{fingerprint}});
    }
    auto const suspect = guard.listed_suspects.find(fingerprint);
    if (suspect != guard.listed_suspects.end() && !in_force(suspect->second, now)) {
        guard.listed_suspects.erase(suspect); // reported once for each list that names it
        add_report(guard, finished_suspect{fingerprint}, now);
    }
}

bool update_suspects(crash_tracker& guard, std::uint64_t revision,
                     std::vector<suspect_request> const& suspects, time_point now) {
    if (revision <= guard.list_revision) {
        return false;
    }
    guard.list_revision = revision;
    guard.listed_suspects.clear();
    for (auto const& one : suspects) {
        crash_tracker::listed_suspect const heard{now + one.refuse_after,
                                                  now + one.quarantine_left};
        auto const finished = guard.last_finished.find(hash64(one.fingerprint));
        bool const ran_since = finished != guard.last_finished.end() &&
                               finished->second > now - one.first_crash_before;
        if (ran_since && !in_force(heard, now)) {
            add_report(guard, finished_suspect{one.fingerprint}, now);
        } else {
            guard.listed_suspects[one.fingerprint] = heard;
        }
    }
    return true;
}

std::vector<numbered_report> take_due_reports(crash_tracker& guard, time_point now) {
    guard.dropped_report_count += std::erase_if(guard.pending_reports, [&](auto const& entry) {
        return now - entry.second.created_at > guard.settings.report_lifetime;
    });
    std::vector<numbered_report> due;
    for (auto& [number, report] : guard.pending_reports) {
        if (now >= report.next_send_at) {
            report.next_send_at = now + guard.settings.resend_interval;
            due.push_back({number, command_of(report, now)});
        }
    }
    return due;
}

void acknowledge_report(crash_tracker& guard, std::uint64_t number) {
    guard.pending_reports.erase(number);
}

} // namespace fireflycrank
