/// @file
/// Retry policy of an entry: which failed attempts are repeated, after which backoff, and within
/// which budget; likewise for hedged attempts.
#pragma once

#include "clock.h"
#include "rng.h"

#include <cstdint>

namespace fireflycrank {

/// How an attempt failed.
enum class attempt_outcome {
    not_run,       ///< refused or voided by the target's agent; it never started
    target_lost,   ///< the target died or the engine crashed; it may have run
    timed_out,     ///< no message from the agent within the time limit; it may still run
    server_error,  ///< the engine answered with a 5xx status
    client_error,  ///< the engine answered with a 4xx status; a repeat would end in the same way
    corrupt_output ///< messages about the response contradicted each other
};

/// Parameters of the retry policy; docs/routing.md gives the reasons.
struct retry_settings {
    double retry_ratio{0.08};    ///< repeats added to the budget per first attempt
    double max_retry_budget{20}; ///< repeats, cap of the saved budget
    double hedge_ratio{0.02};    ///< hedges added to their own budget per first attempt
    double max_hedge_budget{5};  ///< hedges
    /// Idle time after which one repeat is granted.
    duration idle_grant_period{std::chrono::seconds{10}};
    std::uint32_t max_repeats{2};         ///< per request, after attempts that may have run
    std::uint32_t max_tries_elsewhere{3}; ///< per request, after not_run refusals
    duration initial_backoff{std::chrono::milliseconds{50}};
    duration max_backoff{std::chrono::seconds{2}};
    /// To the deadline, to start an attempt.
    duration min_time_left{std::chrono::milliseconds{100}};
};

/// Retry budget of one route at one entry, with counters.
struct retry_budget {
    retry_settings settings;
    double retries_available{0}; ///< repeats
    double hedges_available{0};
    time_point last_first_attempt;
    std::uint64_t first_attempts{0};
    std::uint64_t repeats{0};
    std::uint64_t hedges{0};
    std::uint64_t tries_elsewhere{0};
};

/// State of a request, as the retry decision needs it.
struct retry_request {
    bool idempotent{false};
    bool resumable{false};        ///< a new attempt can continue the response at an offset
    bool response_started{false}; ///< part of the response was sent to the caller
    std::uint32_t repeats{0};
    std::uint32_t tries_elsewhere{0}; ///< after not_run refusals
    bool hedged{false};               ///< a hedged attempt was started
    time_point deadline;
};

enum class retry_action {
    try_elsewhere, ///< at another target without delay; nothing ran
    restart,       ///< from the beginning at another target after the delay
    resume,        ///< from the offset reached, at another target after the delay
    give_up        ///< answer the caller with a refusal
};

/// Why a request is given up.
enum class give_up_reason {
    none,
    not_idempotent,    ///< it may have run, so the outcome is unknown
    cannot_help,       ///< a repeated attempt would end in the same way
    partly_passed_on,  ///< part was sent and the response cannot resume; the stream ends with an
                       ///< error event
    repeats_exhausted, ///< the request's limit is reached
    budget_exhausted,  ///< the route's retry budget is empty
    deadline           ///< too little time is left
};

/// Decision after a failed attempt.
struct retry_decision {
    retry_action action{retry_action::give_up};
    give_up_reason reason{give_up_reason::none};
    duration delay{0};
};

/// Counts a first attempt and adds its part to the budgets.
void record_first_attempt(retry_budget& budget, time_point now);

/// Decides what follows a failed attempt; a repeat is taken from the budget.
retry_decision decide_retry(retry_budget& budget, retry_request const& request,
                            attempt_outcome outcome, rng& source, time_point now);

/// Takes a hedged attempt, one that runs beside a slow first attempt, from the hedging budget.
/// @param waited time without a first byte
/// @param slow_after the route's 95th percentile of the time to the first byte
/// @return false when the request may not be hedged or the budget is empty
bool try_hedge(retry_budget& budget, retry_request const& request, duration time_without_byte,
               duration p95_first_byte, time_point now);

/// Exponential backoff with full jitter.
/// @param repeat 1 for the first repeat
duration backoff(retry_settings const& settings, std::uint32_t repeat, rng& source);

/// The name used in log lines.
char const* name_of(retry_action action);

/// The name used in refusals and log lines.
char const* name_of(give_up_reason reason);

} // namespace fireflycrank
