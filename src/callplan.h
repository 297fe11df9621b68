/// @file
/// What becomes of a caller's request after an attempt at a target has ended: another target, a
/// truthful refusal, or an answer that leaves the outcome open. Pure.
#pragma once

#include "rng.h"
#include "serviceconfig.h"

#include <cstdint>

namespace fireflycrank {

/// How an attempt ended.
enum class attempt_result : std::uint8_t {
    not_connected, ///< no connection could be made, so nothing was sent
    send_cut,      ///< the connection failed before the last byte had been handed to it
    refused,       ///< the target said that it did not run the request
    wrong_target,  ///< another incarnation answers at the address; it did not run the request
    lost,          ///< no usable answer after the whole request had been handed over
    broken,        ///< the answer ended early
    failed         ///< the target ran it and answered that it failed
};

/// A request so far.
struct call_progress {
    call_kind kind{call_kind::once};
    bool resumable{false};
    unsigned max_attempts{1};
    unsigned distinct_targets{0};      ///< different targets that the request was sent to
    unsigned sends{0};                 ///< sends, also repeated ones to a target that refused
    bool may_retry_same_target{false}; ///< a target that refused may be asked again
    unsigned connect_failures{0};      ///< attempts that sent nothing
    bool may_have_run{false};          ///< some target may have run it
    bool answer_started{false};        ///< the caller has a part of the answer
};

enum class call_action : std::uint8_t {
    try_another,
    refuse,         ///< 503: it has not run and never will
    report_unknown, ///< 502: it may have run
    pass_on,        ///< the target's own failure is the answer
    break_off       ///< end the started answer so that it cannot look complete
};

/// Whether another run of the request does no harm.
/// @param progress the request
/// @return true for idempotent requests and for streams that may be resumed
bool is_retry_safe(call_progress const& progress);

/// Decides after an attempt has ended. Notes in `progress` whether the request may have run.
/// @param progress the request; `sent`, `offers` and `unconnected` count the ended attempt
/// @param end how it ended
/// @param time_left whether a further attempt could still be answered in time
/// @param take_budget takes one repeated send out of the retry budget; called only when needed
/// @return what to do
template <class take_budget_function>
call_step decide_after_attempt(call_progress& progress, attempt_end end, bool time_left,
                               take_budget_function&& take_budget);

/// Whether repeating requests that a target answered with a failure has helped lately. Some
/// requests fail wherever they run.
struct failure_retry_stats {
    double success_rate{1.0}; ///< share of the last repeats that were answered well
};

/// Whether a failed request is worth another run.
/// @param repeats of its service
/// @param random decides who tries while repeats hardly help
/// @return true when it should be repeated
bool should_retry_failure(failure_retry_stats const& repeats, rng& random);

/// Notes how a repeat ended.
/// @param repeats of its service
/// @param helped the repeat was answered well
void record_retry_result(failure_retry_stats& repeats, bool helped);

/// Attempts that sent nothing before the request is given up.
inline constexpr unsigned max_connect_failures = 4;

/// Sends of one request at most, refused ones included; each counts in the retry budget.
inline constexpr unsigned max_sends = 5;

template <class take_budget_function>
call_step decide_after_attempt(call_progress& progress, attempt_end end, bool time_left,
                               take_budget_function&& take_budget) {
    progress.may_have_run = progress.may_have_run || end == attempt_end::lost ||
                            end == attempt_end::broken || end == attempt_end::failed;
    bool const harmless = !progress.may_have_run || is_retry_safe(progress);
    bool const places =
        (progress.distinct_targets < progress.max_attempts || progress.may_retry_same_target) &&
        progress.connect_failures < max_connect_failures && progress.sends < max_sends;
    bool const free_of_charge = progress.sends == 0; // the first send is no repeat
    if (harmless && places && time_left && (free_of_charge || take_budget())) {
        return call_step::try_another;
    }
    if (progress.answer_started) {
        return call_step::break_off;
    }
    if (end == attempt_end::failed) {
        return call_step::pass_on;
    }
    return progress.may_have_run ? call_step::report_unknown : call_step::refuse;
}

} // namespace fireflycrank
