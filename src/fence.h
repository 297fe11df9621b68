/// @file
/// Fencing rules at the agent: a target order under a stale fencing token has no effect.
#pragma once

#include "clock.h"

#include <cstdint>

namespace fireflycrank {

/// The agent's knowledge of the fencing token. It is not durable: after a restart nothing passes
/// until the token was read from a majority.
struct fence_state {
    std::uint64_t highest{0}; ///< highest token seen from any source
    std::uint64_t read_id{0}; ///< id of the last read begun
    bool learned{false};      ///< a read begun by this process returned
    time_point next_read{};
};

enum class fence_verdict : std::uint8_t {
    current, ///< may pass
    stale,   ///< a newer controller exists; must never pass
    unknown  ///< no majority read since the start; may pass when sent again later
};

/// Judges a token that came with a target order. A token higher than any seen raises the highest,
/// also before the first read: it proves that older controllers have been replaced.
/// @param state the agent's state
/// @param token the order's fencing token
/// @return whether the order may pass
fence_verdict judge_fence(fence_state& state, std::uint64_t token);

/// Judges a token once more immediately before the order is handed to the engine.
/// @param state the agent's state
/// @param token the order's fencing token
/// @return true when the order may still pass
bool fence_holds(fence_state const& state, std::uint64_t token);

/// Begins a majority read when one is due.
/// @param state the agent's state
/// @param now the current time
/// @return the read's id to send with the request, or 0 when none is due
std::uint64_t begin_fence_read(fence_state& state, time_point now);

/// Takes the result of a majority read. Replies to reads that this process did not begin are
/// ignored: a reply to a previous process at this address may carry an old term.
/// @param state the agent's state
/// @param read_id id that came back with the reply
/// @param token the leader's term
void finish_fence_read(fence_state& state, std::uint64_t read_id, std::uint64_t token);

/// Starts the state of an agent process.
/// @param incarnation the agent's incarnation; keeps read ids of different starts apart
/// @return a state that lets nothing pass
fence_state start_fence(std::uint64_t incarnation);

} // namespace fireflycrank
