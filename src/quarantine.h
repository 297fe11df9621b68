/// @file
/// Requests that crash the targets that run them, and parts of prompts that do so whatever else the
/// request holds: a replicated table by fingerprint.
#pragma once

#include "attempt.h"
#include "clock.h"
#include "error.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace fireflycrank {

/// Bounds of the table.
struct quarantine_limits {
    std::size_t entries{20'000};
    std::chrono::milliseconds suspect_time{std::chrono::hours{1}};
    /// After this time the request is a suspect again: the target may have been repaired, and the
    /// next crash shows that it was not.
    std::chrono::milliseconds quarantine_time{std::chrono::hours{24}};
    /// A verdict by three crashes without knowing what ran beside takes effect after this time,
    /// unless a run to the end is reported. An election and a lost message fit, and with the way of
    /// the reports it is two thirds of the time within which all gateways must know.
    std::chrono::milliseconds hearing_time{1'500};
    /// The same after a fourth crash: the way of a message through the log and back.
    std::chrono::milliseconds short_hearing_time{400};
    /// The quarantine of a part after its first crash. Each further crash in a row multiplies it by
    /// `part_growth`, up to `quarantine_time`. A false verdict ends after it, and a true one costs
    /// a group the time to form again.
    std::chrono::milliseconds part_quarantine_time{std::chrono::seconds{15}};
    int part_growth{8};
};

/// A crash under a request, with the run that it cut off.
struct crash_under_request {
    std::string id; ///< equal in every report of one crash
    wall_time began;
    wall_time ended;
    std::string after; ///< id of a crash that the reporter saw before the run began; may be empty
    bool unproven{false}; ///< see running_fingerprint
};

/// What is held against one fingerprint.
struct quarantine_entry {
    /// Since the last run to an end, by `ended`; the newest few.
    std::vector<crash_under_request> crashes;
    bool part{false};         ///< of prompts, not a request
    bool has_finished{false}; ///< some process saw a run to an end, at any time
    bool quarantined{false};
    wall_time quarantined_from; ///< the verdict's effect
    wall_time last_crash;
};

/// Counts crashes of which each run began after the one before had ended. Targets that end
/// together, as with a rack, count once, in whichever order their reports arrive.
/// @param entry what is held against a request
/// @return the count
std::uint32_t crashes_in_row(quarantine_entry const& entry);

/// The table. All replicas that applied the same commands hold equal tables.
struct quarantine_table {
    quarantine_limits limits;
    wall_time latest;
    std::map<std::string, quarantine_entry, std::less<>> entries;
    std::set<std::pair<wall_time, std::string>> ages; ///< derived: (last_crash, fingerprint)
    /// Rises whenever what repeated_suspects() returns changes, except by time alone.
    std::uint64_t revision{0};
};

/// A request that ran on a target when it crashed. Ages are counted back from the command's time:
/// reporters' clocks differ.
struct running_fingerprint {
    std::string fingerprint;
    bool alone{false}; ///< nothing else ran beside it, so it alone may have caused the crash
    std::chrono::milliseconds began_before{0};
    std::string after{}; ///< id of a crash that the reporter saw before the run began; may be empty
    /// The reporter saw a run of it end well so long ago.
    std::optional<std::chrono::milliseconds> finished_before{};
    /// Parts only: the run had sent nothing, and the reporter knows of no run with the part that
    /// ended well. One such crash leads to a verdict.
    bool unproven{false};

    friend bool operator==(running_fingerprint const&, running_fingerprint const&) = default;
};

/// A target or its engine crashed.
struct report_crash {
    std::string crash_id; ///< equal in every report of one crash
    std::vector<running_fingerprint> running;
    std::chrono::milliseconds ended_before{0}; ///< the crash, counted back from the command's time
};

/// A suspect ran to its end without a crash.
struct report_finished {
    std::string fingerprint;
    std::chrono::milliseconds finished_before{0}; ///< counted back from the command's time
};

/// An operator releases a fingerprint.
struct release_fingerprint {
    std::string fingerprint;
    std::string operator_name;
};

/// One command.
struct quarantine_command {
    wall_time at; ///< the leader's wall time
    std::variant<report_crash, report_finished, release_fingerprint> action;
};

/// Reply to a command.
struct quarantine_reply {
    std::vector<std::string> suspects;    ///< new suspects
    std::vector<std::string> quarantined; ///< newly quarantined
    bool changed{false};
};

/// Applies one committed command. Deterministic.
/// @param table the table
/// @param command the command
/// @return what changed
quarantine_reply apply(quarantine_table& table, quarantine_command const& command);

/// How a request is to be run.
enum class quarantine_verdict : std::uint8_t {
    normal,
    alone, ///< suspected: run it with nothing beside it
    refuse ///< quarantined: refuse it as `failed`
};

/// Judges a request.
/// @param table the table, or an entry's copy of it
/// @param fingerprint from order_fingerprint
/// @param now the wall time
/// @return how to run it
quarantine_verdict judge(quarantine_table const& table, std::string_view fingerprint,
                         wall_time now);

/// Time until a quarantined request may be tried again.
/// @param table the table
/// @param fingerprint the request
/// @param now the wall time
/// @return zero when it is not quarantined, or not yet
std::chrono::milliseconds quarantine_left(quarantine_table const& table,
                                          std::string_view fingerprint, wall_time now);

/// Begins the fingerprints of parts of prompts.
inline constexpr std::string_view part_prefix = "part/";

/// Whether a fingerprint names a part of prompts, see part_fingerprint().
bool names_part(std::string_view fingerprint);

/// A request that is quarantined or has crashed more than one target, or a quarantined part.
struct suspect_request {
    std::string fingerprint;
    std::chrono::milliseconds first_crash_before{0}; ///< a run to an end since then clears it
    std::chrono::milliseconds refuse_after{0};       ///< the verdict takes effect then
    std::chrono::milliseconds quarantine_left{0};    ///< zero: there is no verdict in force
    bool has_finished{false}; ///< the verdict takes into account that a run of it ended well
    bool on_trial{false};     ///< its quarantine is over, and no run has ended well since

    friend bool operator==(suspect_request const&, suspect_request const&) = default;
};

/// What whoever runs requests needs to know; the many that crashed one target are left out.
/// @param table the table
/// @param now the wall time
/// @param most entries at most, quarantined ones first
/// @return the requests
std::vector<suspect_request> repeated_suspects(quarantine_table const& table, wall_time now,
                                               std::size_t most);

/// Makes the agent's report after its engine died. Call before crash_running.
/// @param table the agent's attempts
/// @param engine_start counts the engine's starts under this incarnation
/// @return the report; running attempts are `alone` when there is exactly one
report_crash make_engine_crash_report(attempt_table const& table, std::uint64_t engine_start);

/// Makes an entry's report after a target's VM died. Entries know only their own requests, so
/// `alone` is true only for attempts that were started in alone-mode.
/// @param target the target's name
/// @param incarnation the incarnation that died
/// @param running this entry's attempts on it
/// @return the report, with the same crash id from every entry
report_crash make_target_death_report(std::string_view target, std::uint64_t incarnation,
                                      std::vector<running_fingerprint> running);

} // namespace fireflycrank
