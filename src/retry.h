/// @file
/// Which attempts may be repeated, how soon, and how many: retry budget, hedging limit, backoff.
#pragma once

#include "clock.h"
#include "rng.h"

#include <cstdint>

namespace fireflycrank {

/// How an attempt ended without a complete response.
enum class attempt_outcome {
    not_run,       ///< refused or voided by the agent; it never started
    target_lost,   ///< the target died or the engine crashed; it may have run
    timed_out,     ///< no sign of life within the attempt's limit; it may still run
    server_error,  ///< the engine answered with a 5xx status
    client_error,  ///< the engine answered with a 4xx status; repeating cannot help
    corrupt_output ///< the response contradicted itself
};

/// Parameters; docs/routing.md gives the reasons.
struct retry_settings {
    double retry_ratio{0.08};    ///< repeated attempts per first attempt
    double max_retry_budget{20}; ///< budget kept for later
    double hedge_ratio{0.02};    ///< hedged attempts per first attempt, beside `share`
    double max_hedge_budget{5};
    duration idle_grant_period{
        std::chrono::seconds{10}};        ///< without traffic, then one repeat is granted
    std::uint32_t max_repeats{2};         ///< per request, of attempts that may have run
    std::uint32_t max_tries_elsewhere{3}; ///< per request, after not_run refusals
    duration initial_backoff{std::chrono::milliseconds{50}};
    duration max_backoff{std::chrono::seconds{2}};
    duration min_time_left{std::chrono::milliseconds{100}};
};

/// Budget of one entry and route.
struct retry_budget {
    retry_settings settings;
    double retries_available{0};
    double hedges_available{0};
    time_point last_first_attempt;
    std::uint64_t first_attempts{0};
    std::uint64_t repeats{0};
    std::uint64_t hedges{0};
    std::uint64_t tries_elsewhere{0};
};

/// What the decision needs to know about a request.
struct retry_request {
    bool idempotent{false};
    bool resumable{false};            ///< the route can continue at an offset
    bool response_started{false};     ///< the caller has received part of the response
    std::uint32_t repeats{0};         ///< so far
    std::uint32_t tries_elsewhere{0}; ///< so far
    bool hedged{false};
    time_point deadline;
};

/// What to do after a failed attempt.
enum class retry_action {
    try_elsewhere, ///< another target at once; nothing ran
    restart,       ///< from the beginning on another target after the delay
    resume,        ///< from the offset reached on another target after the delay
    give_up        ///< final response now
};

/// Why a request is given up.
enum class give_up_reason {
    none,
    not_idempotent,    ///< it may have run; outcome_unknown
    cannot_help,       ///< repeating gives the same result
    partly_passed_on,  ///< the route cannot resume; the stream ends with an error event
    repeats_exhausted, ///< limit of the request
    budget_exhausted,  ///< limit of the entry
    deadline           ///< too little time left
};

/// The decision.
struct retry_decision {
    retry_action action{retry_action::give_up};
    give_up_reason reason{give_up_reason::none};
    duration delay{0};
};

/// Counts a first attempt and adds its share to the budget.
void record_first_attempt(retry_budget& budget, time_point now);

/// Decides after a failed attempt and takes from the budget.
retry_decision decide_retry(retry_budget& budget, retry_request const& request,
                            attempt_outcome outcome, rng& source, time_point now);

/// Whether a second attempt may run beside a slow first one; takes from the hedging budget.
/// @param waited time without a first byte
/// @param slow_after the route's 95th percentile of that time
bool try_hedge(retry_budget& budget, retry_request const& request, duration waited,
               duration slow_after, time_point now);

/// Backoff with full jitter.
/// @param repeat 1 for the first repeat
duration backoff(retry_settings const& settings, std::uint32_t repeat, rng& source);

/// The name of an action, for log lines.
char const* name_of(retry_action action);

/// The name of a reason, as it appears in refusals and log lines.
char const* name_of(give_up_reason reason);

} // namespace fireflycrank
