#include "gateway.h"

#include "claimwire.h"
#include "directorywire.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// A running target accepts a connection within this time; as long as for a request's own.
constexpr std::chrono::milliseconds check_limit{300};

char const* name_of(target_probe_result found) {
    switch (found) {
    case target_probe_result::connected:
        return "connected";
    case target_probe_result::refused:
        return "refused";
    case target_probe_result::timed_out:
        return "silent";
    }
    return "";
}

void take_ended(gateway& owner, std::vector<lost_run> const& runs) {
    if (runs.empty()) {
        return;
    }
    auto const at = loop_now(owner.loop);
    note_ended(owner.guard, runs, at);
    for (auto const& run : runs) {
        auto const entry = owner.guard.own.entries.find(run.fingerprint);
        log_bounded(
            owner.loop, events::crash_noted,
            {{"request", run.fingerprint},
             {"crash", crash_id_of(run)},
             {"after", run.after},
             {"ran_ms", in_millis(run.lost_at - run.sent_at)},
             {"noted_ms", in_millis(at - run.lost_at)},
             {"crashes",
              entry == owner.guard.own.entries.end() ? 0 : crashes_in_row(entry->second)},
             {"refused", refused_for(owner.guard, run.fingerprint, at) > duration::zero()}});
    }
    send_crash_reports(owner);
}

void check_target(gateway& owner, lost_run const& run) {
    if (!owner.checked.insert(run.target).second) {
        return;
    }
    auto const begun = loop_now(owner.loop);
    owner.pool.probe(run.address, check_limit, [&owner, run, begun](target_probe_result found) {
        owner.checked.erase(run.target);
        auto const runs = found == target_probe_result::timed_out
                              ? std::vector<lost_run>{}
                              : take_lost(owner.guard.lost, run.target, run.born, begun);
        log_bounded(owner.loop, events::target_checked,
                    {{"target", run.target},
                     {"born", run.born.time_since_epoch().count()},
                     {"found", name_of(found)},
                     {"lost_runs", runs.size()},
                     {"took_ms", in_millis(loop_now(owner.loop) - begun)}});
        if (found == target_probe_result::refused) {
            take_ended(owner, runs);
        }
        // Runs that were lost after the check began need another one.
        for (auto const& later : owner.guard.lost.pending) {
            if (found != target_probe_result::timed_out && later.target == run.target) {
                check_target(owner, lost_run{later});
                return;
            }
        }
    });
}

// Registrars that this gateway is attached to; those that are sure of their view first.
std::vector<std::string> reporters(gateway const& owner) {
    std::vector<std::string> sure;
    std::vector<std::string> others;
    for (auto const& [address, contact] : owner.subscriber.registrars) {
        if (contact.attached) {
            (contact.confirmed ? sure : others).push_back(address);
        }
    }
    return sure.empty() ? others : sure;
}

} // namespace

void take_lost_run(gateway& owner, lost_run const& run) {
    note_lost(owner.guard.lost, run, owner.guard.settings.lost);
    check_target(owner, run);
}

void send_crash_reports(gateway& owner) {
    if (owner.guard.reports.empty()) {
        return;
    }
    auto const dropped = owner.guard.reports_dropped;
    auto const due = due_reports(owner.guard, loop_now(owner.loop));
    if (owner.guard.reports_dropped != dropped) {
        log_bounded(owner.loop, events::crash_report_dropped,
                    {{"reports", owner.guard.reports_dropped - dropped},
                     {"reason", "no registrar recorded them in time"}});
    }
    auto const to = reporters(owner);
    for (auto const& [number, command] : due) {
        if (to.empty()) {
            return;
        }
        // A repeated report goes to another one.
        owner.link->send(to[owner.next_reporter++ % to.size()], crash_report_type,
                         serialize(crash_report_message{number, owner.subscriber.self.address,
                                                        encode_quarantine_command(command)}));
    }
}

void take_suspect_list(gateway& owner, std::string const& from, suspect_list const& list) {
    auto const at = loop_now(owner.loop);
    if (!take_suspects(owner.guard, list.revision, list.requests, at)) {
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
    end_quarantined_calls(owner);
}

void find_replaced_targets(gateway& owner) {
    if (owner.guard.lost.pending.empty()) {
        return;
    }
    for (auto const& [id, record] : owner.directory.targets) {
        if (record.announcement.state != target_state::departed) {
            take_ended(owner, take_replaced(owner.guard.lost, record.announcement.address,
                                            record.announcement.started_at));
        }
    }
}

} // namespace fireflycrank
