/// @file
/// Messages between entry and agent about attempts, as plain structs. Every one names its attempt
/// by request id, number, target and incarnation, so that a late or duplicated one is recognised.
#pragma once

#include "attempt.h"
#include "clock.h"
#include "route.h"

#include <cstdint>
#include <string>

namespace fireflycrank {

/// Entry to agent: run this request once, unless it is voided first.
struct attempt_request {
    attempt_start start;
    std::string route;
    std::string team;
    double team_weight{1};
    std::int32_t priority{0};
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    bool stream{false};
    double work{0}; ///< estimated output tokens
    bool is_long{false};
    std::chrono::milliseconds time_left{0}; ///< to the caller's deadline, when sent
};

/// What an entry may ask about an attempt once it was started.
enum class attempt_query_kind : std::uint8_t { void_start, query, resend, release, cancel };

/// Entry to agent, about an attempt.
struct attempt_query {
    attempt_query_kind kind{attempt_query_kind::query};
    attempt_ref id;
    wall_time start_by;      ///< of void_start: after it the tombstone may go
    std::uint64_t offset{0}; ///< of resend
};

/// Agent to entry: not accepted; it never started and never will.
struct attempt_refusal {
    attempt_ref id;
    std::string reason;
    std::chrono::milliseconds retry_after{0};
    target_load load;
};

/// Agent to entry: what the agent knows of an attempt.
struct agent_status {
    attempt_ref id;
    attempt_state state{attempt_state::unknown};
};

/// Agent to entry: a piece of output.
struct agent_chunk {
    attempt_ref id;
    std::uint64_t offset{0};
    std::string bytes;
    std::uint32_t status{0}; ///< HTTP status of the engine's response
    std::string content_type{};
};

/// Agent to entry: the end of an attempt.
struct agent_end {
    attempt_ref id;
    attempt_state state{attempt_state::done};
    std::uint32_t status{0};
    std::string content_type;
    std::uint64_t total_bytes{0};
    bool output_available{true}; ///< false when the agent can't send the output again
    std::string reason{};
    target_load load{};
};

} // namespace fireflycrank
