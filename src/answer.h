/// @file
/// Assembles the response of one request from chunks that may be lost, late, duplicated or
/// reordered, over one or more attempts. Never takes a byte of another request or attempt.
#pragma once

#include "attempt.h"
#include "clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fireflycrank {

/// Parameters.
struct answer_settings {
    std::size_t max_ahead{1U << 20U};  ///< bytes kept beyond a gap; more are dropped and resent
    std::size_t max_whole{64U << 20U}; ///< longest response of a request that is not streamed
    duration resend_after{std::chrono::milliseconds{50}}; ///< age of a gap before a resend request
    std::uint32_t most_resends{6}; ///< without progress; then the attempt counts as lost
};

/// Where the assembly stands.
enum class answer_phase {
    receiving,
    complete, ///< every byte up to the announced length was passed on
    failed    ///< visible failure: the stream ends with an error event
};

/// Why an attempt or response failed.
enum class answer_fault {
    none,
    contradicting_chunk, ///< bytes past the end, or other bytes at a received offset
    wrong_length,        ///< the announced length is below what arrived
    too_long,            ///< longer than max_whole
    resends_exhausted,   ///< a gap stayed open
    partly_passed_on     ///< the attempt was lost, and the route cannot resume
};

/// State of one response.
struct answer_state {
    answer_settings settings;
    bool stream{false};    ///< pass on bytes as they come; otherwise only the whole response
    bool resumable{false}; ///< a new attempt may continue at an offset
    attempt_ref attempt;   ///< the only attempt whose chunks are taken
    answer_phase phase{answer_phase::receiving};
    answer_fault fault{answer_fault::none};
    std::uint64_t received{0};  ///< bytes in order so far
    std::uint64_t passed_on{0}; ///< bytes given to the caller
    std::string whole;          ///< bytes in order, not yet passed on (not streamed)
    std::map<std::uint64_t, std::string> ahead; ///< chunks beyond a gap, by offset, disjoint
    std::size_t ahead_bytes{0};
    std::optional<std::uint64_t> total; ///< announced by the end message
    std::uint32_t resends{0};           ///< since the last progress
    time_point waiting_since;           ///< last progress or resend request
    std::uint64_t dropped{0};           ///< stale and duplicate messages
};

/// What the entry does after an event.
struct answer_actions {
    std::string pass_on;                      ///< bytes for the caller, in order
    std::optional<std::uint64_t> resend_from; ///< ask the agent to resend from this offset
    bool completed{false};                    ///< the response is complete; release the attempt
    bool attempt_broken{false}; ///< treat the attempt as lost, then ask the retry decision
};

/// How a lost attempt can be continued.
enum class continue_from {
    beginning, ///< nothing was passed on
    offset,    ///< resume at `received`
    nowhere    ///< visible failure
};

/// Starts the assembly or its next attempt. Bytes of an earlier attempt that were not passed on are
/// dropped unless the attempt resumes.
/// @param resume true to continue at `received`; chunks then start at that offset
void begin_attempt(answer_state& state, attempt_ref const& attempt, bool resume, time_point now);

/// Takes a chunk.
answer_actions on_chunk(answer_state& state, attempt_ref const& attempt, std::uint64_t offset,
                        std::string_view bytes, time_point now);

/// Takes the end message of an attempt that ran to its end.
answer_actions on_end(answer_state& state, attempt_ref const& attempt, std::uint64_t total,
                      time_point now);

/// Asks for resends of gaps that stay open. Call it every 20 ms while bytes are missing.
/// @param silent true when the whole attempt has shown no sign of life for the route's limit, so
///        that a lost end message is also asked for
answer_actions tick_answer(answer_state& state, bool silent, time_point now);

/// When tick_answer() next acts.
/// @param silent_from when it will be told that the attempt is silent
/// @return the time
time_point next_resend(answer_state const& state, time_point silent_from);

/// The agent says that the attempt waits, runs or is paused: its silence is no loss. Resends count
/// again from zero, unless a gap shows that output is missing.
void note_attempt_alive(answer_state& state);

/// How to go on after the attempt was lost; fails the response when there is no way.
/// @param may_resume false when the bytes passed on are not to be trusted
continue_from on_attempt_lost(answer_state& state, bool may_resume);

/// Fails the response visibly.
void fail_answer(answer_state& state, answer_fault fault);

/// The name of a fault, for log lines and error events.
char const* name_of(answer_fault fault);

} // namespace fireflycrank
