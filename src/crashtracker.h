/// @file
/// Tracks requests that crash the targets that run them, and the reports that a gateway sends about
/// them. The registrars' replicated quarantine table collects the reports of all gateways; a
/// gateway knows only its own runs. It also records them in a table of its own, so quarantine works
/// while the registrars are unreachable. Pure functions without I/O.
#pragma once

#include "clock.h"
#include "lostruns.h"
#include "quarantine.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace fireflycrank {

/// Time and size limits.
struct crash_tracker_settings {
    lost_run_settings lost;
    /// An unacknowledged report is sent again after this time. The way of an update to a registrar,
    /// through the log and back takes less.
    duration resend_interval{std::chrono::milliseconds{300}};
    /// A report that no registrar has recorded is dropped after this time. An election and a
    /// network partition of the registrars are shorter.
    duration report_lifetime{std::chrono::seconds{30}};
    std::size_t max_reports{256};
    /// Number of requests whose last successful run is remembered; the one that first succeeded
    /// longest ago is dropped.
    std::size_t max_finished{1'000};
    /// Number of parts of prompts whose last successful run is remembered. A gateway sees fewer
    /// within `max_part_age`; when there are more, the half that finished longest ago is dropped.
    std::size_t max_finished_parts{8'000};
    duration max_part_age{std::chrono::minutes{10}};
    /// After the quarantine of a part, gateways try it again one after the other, so that one of
    /// them finds out for all. A crash is known everywhere within this time.
    duration trial_interval{std::chrono::seconds{2}};
};

/// A crash of a target with the runs that ended in it.
struct target_crash {
    struct run {
        std::string fingerprint; ///< of the request, or of a part of its prompt
        time_point sent_at{};
        std::string prior_crash_id; ///< crash seen by this gateway before the run; may be empty
        std::optional<time_point> last_finished_at; ///< last successful run of the same
        bool unproven{false};                       ///< see run_part
    };
    std::string crash_id;
    time_point crashed_at{};
    std::vector<run> runs;
};

/// A suspect request whose run was answered in full.
struct finished_suspect {
    std::string fingerprint;
    time_point finished_at{};
};

/// A report that the registrars have not acknowledged yet.
struct crash_report {
    std::variant<target_crash, finished_suspect> content;
    time_point created_at{};
    time_point next_send_at{};
};

/// Creates the empty table for a gateway's own observations. It decides alone only while no
/// registrar can be reached, so its verdicts take effect after a delay in which the registrars'
/// answers would arrive.
quarantine_table make_local_quarantine_table();

/// The state of one gateway.
struct crash_tracker {
    crash_tracker_settings settings;
    lost_runs lost;
    /// This gateway's own observations, with times on its steady clock.
    quarantine_table local_table{make_local_quarantine_table()};
    /// A suspect in the registrars' table.
    struct listed_suspect {
        time_point refuse_from{};
        time_point refuse_until{}; ///< not after `refuse_from` when there is no verdict
        bool on_trial{false};
        bool reported{false}; ///< this gateway has reported an earlier successful run of it
    };
    std::map<std::string, listed_suspect, std::less<>> listed_suspects;
    std::uint64_t list_revision{0};
    std::unordered_map<std::uint64_t, time_point> last_finished; ///< by hash of the fingerprint
    std::deque<std::uint64_t> finished_by_age; ///< its keys, by first successful run
    std::unordered_map<std::uint64_t, time_point> finished_parts; ///< by hash of the fingerprint
    std::map<std::uint64_t, crash_report> pending_reports;
    /// Starts higher in each process, so that a late acknowledgement matches no newer report.
    std::uint64_t last_report_number{0};
    std::uint64_t dropped_report_count{0};
};

/// A report as it is sent, with its number.
struct numbered_report {
    std::uint64_t number{0};
    quarantine_command command;
};

/// Returns an id for the crash in which a run ended, identical at all gateways.
std::string crash_id_of(lost_run const& run);

/// Returns the time until a request may be sent to a target again.
/// @return zero when it may be sent now
duration quarantine_remaining(crash_tracker const& tracker, std::string_view fingerprint,
                              time_point now);

/// Returns the time until a part that has been quarantined may be tried by this gateway.
/// @param turn number of gateways that try it before this one
/// @return zero when it may be tried now, or was never quarantined
duration trial_remaining(crash_tracker const& tracker, std::string_view fingerprint, unsigned turn,
                         time_point now);

/// Whether a part has been quarantined and no run with it has ended well since.
bool is_on_trial(crash_tracker const& tracker, std::string_view fingerprint, time_point now);

/// Whether this gateway has lately seen a successful run with a part.
bool is_proven_part(crash_tracker const& tracker, std::string_view fingerprint, time_point now);

/// Returns the id of the last crash that this gateway saw under a request; empty for none.
std::string last_crash_id(crash_tracker const& tracker, std::string_view fingerprint);

/// Records crashes of targets and queues reports of them.
/// @param runs runs that ended in the crashes, of one or several targets
void record_crashes(crash_tracker& tracker, std::vector<lost_run> const& runs, time_point now);

/// Records a run that was answered in full.
/// @param fingerprint of the request, or of a part of its prompt
void record_finished(crash_tracker& tracker, std::string const& fingerprint, time_point now);

/// Replaces the list of suspects by one from a registrar.
/// @param revision of the quarantine table
/// @return false if the list is not newer than the present one; nothing changes then
bool update_suspects(crash_tracker& tracker, std::uint64_t revision,
                     std::vector<suspect_request> const& suspects, time_point now);

/// Returns the reports to send now and schedules their next send. Drops reports that were not
/// recorded within `report_lifetime`.
/// @return the reports, with ages relative to `now`
std::vector<numbered_report> take_due_reports(crash_tracker& tracker, time_point now);

/// Removes a report that is in the registrars' table.
void acknowledge_report(crash_tracker& tracker, std::uint64_t number);

} // namespace fireflycrank
