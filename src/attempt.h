/// @file
/// The agent's table of attempts: each attempt runs at most once, on one incarnation of the agent.
#pragma once

#include "clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fireflycrank {

/// Identifies one attempt to run a request on one incarnation of one target's agent.
struct attempt_ref {
    std::string request_id; ///< made by the entry, unique for each call
    std::uint32_t number{0};
    std::string target;
    std::uint64_t incarnation{0};

    friend bool operator==(attempt_ref const&, attempt_ref const&) = default;
};

/// What the agent knows of an attempt. The order is that of the schema's AttemptState.
enum class attempt_state : std::uint8_t {
    unknown, ///< never seen by this incarnation
    queued,
    running,
    done,
    voided,           ///< never started and never will
    crashed,          ///< the engine died while it ran
    refused,          ///< not accepted; never started and never will
    cancelled,        ///< stopped by the entry; may have run in part
    other_incarnation ///< bound to another incarnation, of which this one knows nothing
};

/// Tells whether a state proves that the attempt did not run and never will.
/// @param state a state that the agent reported
/// @return true for voided and refused
constexpr bool never_runs(attempt_state state) {
    return state == attempt_state::voided || state == attempt_state::refused;
}

/// Bounds of the table.
struct attempt_limits {
    std::size_t records{100'000};            ///< attempts and tombstones together
    std::size_t output_bytes{32U << 20U};    ///< kept outputs together; half of a daemon's 64 MB
    std::size_t one_output_bytes{4U << 20U}; ///< kept output of one attempt
    std::chrono::milliseconds retention{std::chrono::minutes{10}}; ///< of an output not released
};

/// A request to run an attempt.
struct attempt_start {
    attempt_ref id;
    wall_time start_by; ///< the attempt never starts after this time on the agent's clock
    bool unrepeatable{false};
    bool alone{false}; ///< run with nothing beside it
    std::string fingerprint;
};

/// One attempt, or the tombstone of one.
struct attempt_record {
    attempt_state state{attempt_state::unknown};
    wall_time start_by;
    wall_time ended;
    bool unrepeatable{false};
    bool alone{false};
    bool released{false};
    bool output_dropped{false}; ///< the output exceeded a bound or its retention
    std::string fingerprint;
    std::string output;
    std::uint64_t total_bytes{0};
    std::uint32_t status{0};
    std::string content_type;
    // Derived: what the table's indexes hold of this record.
    std::optional<wall_time> due;
    bool evictable{false};
    bool owed{false};
};

/// Request id and number of an attempt.
using attempt_number = std::pair<std::string, std::uint32_t>;

/// The agent's table. Rebuilt from nothing after a restart, under a new incarnation.
struct attempt_table {
    std::string target;
    std::uint64_t incarnation{0};
    attempt_limits limits;
    std::map<attempt_number, attempt_record> records;
    std::size_t output_bytes{0};
    std::size_t running{0};
    bool running_alone{false};
    wall_time latest; ///< highest time seen: a clock that steps back must not revive a deadline
    // Derived from the records, so that expiry and eviction look at no record in vain.
    std::set<std::pair<wall_time, attempt_number>> due;       ///< the next change by time alone
    std::set<std::pair<wall_time, attempt_number>> evictable; ///< ended outputs, by their end
    std::size_t owed{0};      ///< answers that no entry has released yet
    std::uint64_t visited{0}; ///< records that expiry and eviction looked at: the counted cost
};

/// What became of a request to start.
enum class start_verdict : std::uint8_t {
    accepted,  ///< queue it and call begin_run when its turn comes
    duplicate, ///< known already; report the state
    refused,   ///< never started and never will; a tombstone blocks later copies
    dropped    ///< no room even for a tombstone: send no reply, since none would stay true
};

/// The verdict with the state to report.
struct start_reply {
    start_verdict verdict{start_verdict::dropped};
    attempt_state state{attempt_state::unknown};
};

/// Accepts an attempt into the table, at most once.
/// @param table the agent's table
/// @param start the request
/// @param has_room false when the agent's queue refuses it
/// @param now the agent's wall time
/// @return the verdict
start_reply start_attempt(attempt_table& table, attempt_start const& start, bool has_room,
                          wall_time now);

/// Whether an accepted attempt may be given to the engine.
enum class begin_verdict : std::uint8_t {
    run,  ///< give it to the engine now; returned once for each attempt
    wait, ///< something that must not run beside it is running
    never ///< voided, expired, started before, or not known
};

/// Moves an attempt from queued to running. Only this permits a run of the engine.
/// @param table the agent's table
/// @param id the attempt
/// @param now the agent's wall time
/// @return whether to run it
begin_verdict begin_run(attempt_table& table, attempt_ref const& id, wall_time now);

/// Keeps a piece of output until the attempt is released.
/// @param table the agent's table
/// @param id a running attempt
/// @param bytes the next bytes of its output
void append_output(attempt_table& table, attempt_ref const& id, std::string_view bytes);

/// Records the end of a run.
/// @param table the agent's table
/// @param id a running attempt
/// @param state done, crashed or cancelled
/// @param status HTTP status of the engine's response
/// @param content_type its content type
/// @param now the agent's wall time
void end_run(attempt_table& table, attempt_ref const& id, attempt_state state, std::uint32_t status,
             std::string content_type, wall_time now);

/// Takes a run back that never reached the engine, because no connection could be made. The attempt
/// counts as refused: it has not run and never will.
/// @param table the agent's table
/// @param id a running attempt without output
/// @param now the agent's wall time
/// @return true if the attempt was running and has no output
bool withdraw_run(attempt_table& table, attempt_ref const& id, wall_time now);

/// Ends every running attempt as crashed, after the death of the engine.
/// @param table the agent's table
/// @param now the agent's wall time
/// @return the attempts that ran, to be reported to their entries
std::vector<attempt_ref> crash_running(attempt_table& table, wall_time now);

/// Looks an attempt up.
/// @param table the agent's table
/// @param id the attempt
/// @return its state
attempt_state query_attempt(attempt_table const& table, attempt_ref const& id);

/// Prevents an attempt from starting, if it has not started.
/// @param table the agent's table
/// @param id the attempt
/// @param start_by the attempt's start_by, after which its tombstone can be dropped
/// @param now the agent's wall time
/// @return voided or refused if it never ran and never will; else the state that prevents voiding.
///         `unknown` when there is no room for the tombstone: nothing is promised, ask again
attempt_state void_attempt(attempt_table& table, attempt_ref const& id, wall_time start_by,
                           wall_time now);

/// Kept output from an offset on.
struct output_view {
    attempt_state state{attempt_state::unknown};
    bool available{false}; ///< false when the output was released or dropped
    std::uint64_t offset{0};
    std::string_view bytes; ///< valid until the table changes
    std::uint64_t total_bytes{0};
    std::uint32_t status{0};
    std::string_view content_type;
};

/// Reads kept output again.
/// @param table the agent's table
/// @param id the attempt
/// @param offset the first byte wanted
/// @return the bytes from there to the end of what is kept
output_view resend_output(attempt_table const& table, attempt_ref const& id, std::uint64_t offset);

/// Drops an ended attempt's output, and keeps a tombstone until start_by has passed.
/// @param table the agent's table
/// @param id the attempt
void release_attempt(attempt_table& table, attempt_ref const& id);

/// Cancels an attempt. A queued one is voided. A running non-idempotent one runs on, since stopping
/// it half way would leave its effect unknown.
/// @param table the agent's table
/// @param id the attempt
/// @param now the agent's wall time
/// @return true when the engine's run is to be stopped
bool cancel_attempt(attempt_table& table, attempt_ref const& id, wall_time now);

/// Refuses queued attempts whose start_by has passed, and drops what is past its retention.
/// @param table the agent's table
/// @param now the agent's wall time
/// @return the attempts refused, to be reported to their entries
std::vector<attempt_ref> expire_attempts(attempt_table& table, wall_time now);

} // namespace fireflycrank
