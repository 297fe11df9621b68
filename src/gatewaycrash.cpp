#include "gateway.h"

#include "claimwire.h"
#include "directorywire.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// A running target accepts a connection within this time. Equal to the limit for connections of
// requests.
constexpr std::chrono::milliseconds check_timeout{300};

char const* name_of(target_probe_result result) {
    switch (result) {
    case target_probe_result::connected:
        return "connected";
    case target_probe_result::refused:
        return "refused";
    case target_probe_result::timed_out:
        return "silent";
    }
    return "";
}

void handle_crashes(gateway& owner, std::vector<lost_run> const& runs) {
    if (runs.empty()) {
        return;
    }
    auto const now = loop_now(owner.loop);
    record_crashes(owner.crashes, runs, now);
    for (auto const& run : runs) {
        auto const entry = owner.crashes.local_table.entries.find(run.fingerprint);
        log_bounded(
            owner.loop, events::crash_noted,
            {{"request", run.fingerprint},
             {"crash", crash_id_of(run)},
             {"after", run.prior_crash_id},
             {"ran_ms", in_millis(run.lost_at - run.sent_at)},
             {"noted_ms", in_millis(now - run.lost_at)},
             {"crashes",
              entry == owner.crashes.local_table.entries.end() ? 0 : crashes_in_row(entry->second)},
             {"refused",
              quarantine_remaining(owner.crashes, run.fingerprint, now) > duration::zero()}});
        for (auto const& part : run.parts) {
            log_bounded(owner.loop, events::part_suspected,
                        {{"part", part.fingerprint},
                         {"request", run.fingerprint},
                         {"crash", crash_id_of(run)},
                         {"unproven", part.unproven},
                         {"refused", quarantine_remaining(owner.crashes, part.fingerprint, now) >
                                         duration::zero()}});
        }
    }
    send_crash_reports(owner);
    refuse_quarantined_calls(owner);
}

void check_target(gateway& owner, lost_run const& run) {
    if (!owner.targets_being_checked.insert(run.target).second) {
        return;
    }
    auto const started = loop_now(owner.loop);
    owner.pool.probe(
        run.address, check_timeout, [&owner, run, started](target_probe_result result) {
            owner.targets_being_checked.erase(run.target);
            // A process that has ended by now ended all runs that are lost by now.
            bool const ended = result == target_probe_result::refused;
            auto const runs = result == target_probe_result::timed_out
                                  ? std::vector<lost_run>{}
                                  : take_lost_runs(owner.crashes.lost, run.target, run.born,
                                                   ended ? loop_now(owner.loop) : started);
            log_bounded(owner.loop, events::target_checked,
                        {{"target", run.target},
                         {"born", run.born.time_since_epoch().count()},
                         {"found", name_of(result)},
                         {"lost_runs", runs.size()},
                         {"took_ms", in_millis(loop_now(owner.loop) - started)}});
            if (ended) {
                handle_crashes(owner, runs);
            }
            // Runs that were lost after the check began need another check.
            for (auto const& later : owner.crashes.lost.pending) {
                if (result != target_probe_result::timed_out && later.target == run.target) {
                    check_target(owner, lost_run{later});
                    return;
                }
            }
            if (auto const waiting = owner.calls_awaiting_check.extract(run.target)) {
                retry_checked_calls(waiting.mapped());
            }
        });
}

// Returns the registrars that this gateway is attached to; only those with a confirmed view if
// there are any.
std::vector<std::string> report_recipients(gateway const& owner) {
    std::vector<std::string> confirmed;
    std::vector<std::string> others;
    for (auto const& [address, contact] : owner.subscriber.registrars) {
        if (contact.attached) {
            (contact.confirmed ? confirmed : others).push_back(address);
        }
    }
    return confirmed.empty() ? others : confirmed;
}

} // namespace

void handle_lost_run(gateway& owner, lost_run const& run) {
    add_lost_run(owner.crashes.lost, run, owner.crashes.settings.lost);
    check_target(owner, run);
}

void send_crash_reports(gateway& owner) {
    if (owner.crashes.pending_reports.empty()) {
        return;
    }
    auto const dropped = owner.crashes.dropped_report_count;
    auto const due = take_due_reports(owner.crashes, loop_now(owner.loop));
    if (owner.crashes.dropped_report_count != dropped) {
        log_bounded(owner.loop, events::crash_report_dropped,
                    {{"reports", owner.crashes.dropped_report_count - dropped},
                     {"reason", "no registrar recorded them in time"}});
    }
    auto const recipients = report_recipients(owner);
    for (auto const& [number, command] : due) {
        if (recipients.empty()) {
            return;
        }
        // Reports go to the registrars in turn, so a resent one usually reaches another.
        owner.link->send(recipients[owner.next_report_registrar++ % recipients.size()],
                         crash_report_type,
                         serialize(crash_report_message{number, owner.subscriber.self.address,
                                                        encode_quarantine_command(command)}));
    }
}

void handle_suspect_list(gateway& owner, std::string const& from, suspect_list const& list) {
    auto const now = loop_now(owner.loop);
    if (!update_suspects(owner.crashes, list.revision, list.requests, now)) {
        return;
    }
    owner.subscriber.known_suspects = list.revision;
    auto const quarantined =
        std::count_if(list.requests.begin(), list.requests.end(), [](suspect_request const& one) {
            return one.quarantine_left > std::chrono::milliseconds{0};
        });
    log_bounded(owner.loop, events::quarantine_updated,
                {{"revision", list.revision},
                 {"from", from},
                 {"repeated", list.requests.size()},
                 {"quarantined", quarantined}});
    refuse_quarantined_calls(owner);
}

void record_replaced_targets(gateway& owner) {
    if (owner.crashes.lost.pending.empty()) {
        return;
    }
    for (auto const& [id, record] : owner.directory.targets) {
        if (record.announcement.state != target_phase::departed) {
            handle_crashes(owner,
                           take_replaced_runs(owner.crashes.lost, record.announcement.address,
                                              record.announcement.started_at));
        }
    }
}

} // namespace fireflycrank
