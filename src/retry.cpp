#include "retry.h"

#include <algorithm>

namespace fireflycrank {

namespace {

/// Grants one repeat after an idle period, so that an entry with few requests can repeat at all.
/// While there is traffic nothing is granted: grants by time alone raised the amplification of a
/// retry storm above 1.1.
void grant_repeat_when_idle(retry_budget& budget, time_point now) {
    if (now - budget.last_first_attempt >= budget.settings.idle_grant_period) {
        budget.retries_available = std::max(budget.retries_available, 1.0);
    }
    budget.last_first_attempt = now;
}

bool take_one(double& saved) {
    if (saved < 1) {
        return false;
    }
    saved -= 1;
    return true;
}

retry_decision give_up(give_up_reason reason) {
    return {retry_action::give_up, reason, duration::zero()};
}

/// Nothing ran, so even a request that is not idempotent may go to another target. These attempts
/// have a limit of their own: they cost a message, not a run, and must not use up the budget for
/// lost targets.
retry_decision decide_after_not_run(retry_budget& budget, retry_request const& request) {
    if (request.tries_elsewhere >= budget.settings.max_tries_elsewhere) {
        return give_up(give_up_reason::repeats_exhausted);
    }
    ++budget.tries_elsewhere;
    return {retry_action::try_elsewhere, give_up_reason::none, duration::zero()};
}

} // namespace

duration backoff(retry_settings const& settings, std::uint32_t repeat, rng& source) {
    auto span = settings.initial_backoff;
    for (std::uint32_t step = 1; step < repeat && span < settings.max_backoff; ++step) {
        span *= 2;
    }
    span = std::min(span, settings.max_backoff);
    return duration{
        static_cast<duration::rep>(static_cast<double>(span.count()) * next_unit(source))};
}

void record_first_attempt(retry_budget& budget, time_point now) {
    auto const& settings = budget.settings;
    ++budget.first_attempts;
    grant_repeat_when_idle(budget, now);
    budget.retries_available =
        std::min(settings.max_retry_budget, budget.retries_available + settings.retry_ratio);
    budget.hedges_available =
        std::min(settings.max_hedge_budget, budget.hedges_available + settings.hedge_ratio);
}

retry_decision decide_retry(retry_budget& budget, retry_request const& request,
                            attempt_outcome outcome, rng& source, time_point now) {
    if (now + budget.settings.min_time_left > request.deadline) {
        return give_up(give_up_reason::deadline);
    }
    if (outcome == attempt_outcome::not_run) {
        return decide_after_not_run(budget, request);
    }
    if (!request.idempotent) {
        return give_up(give_up_reason::not_idempotent);
    }
    if (outcome == attempt_outcome::client_error) {
        return give_up(give_up_reason::cannot_help);
    }
    // A corrupt response cannot be continued: the part that was sent may be wrong.
    bool const can_resume = request.resumable && outcome != attempt_outcome::corrupt_output;
    if (request.response_started && !can_resume) {
        return give_up(give_up_reason::partly_passed_on);
    }
    if (request.repeats >= budget.settings.max_repeats) {
        return give_up(give_up_reason::repeats_exhausted);
    }
    auto const delay = backoff(budget.settings, request.repeats + 1, source);
    if (now + delay + budget.settings.min_time_left > request.deadline) {
        return give_up(give_up_reason::deadline);
    }
    if (!take_one(budget.retries_available)) {
        return give_up(give_up_reason::budget_exhausted);
    }
    ++budget.repeats;
    return {request.response_started ? retry_action::resume : retry_action::restart,
            give_up_reason::none, delay};
}

bool try_hedge(retry_budget& budget, retry_request const& request, duration time_without_byte,
               duration p95_first_byte, time_point now) {
    if (!request.idempotent || request.response_started || request.hedged ||
        time_without_byte < p95_first_byte ||
        now + budget.settings.min_time_left > request.deadline) {
        return false;
    }
    if (!take_one(budget.hedges_available)) {
        return false;
    }
    ++budget.hedges;
    return true;
}

char const* name_of(retry_action action) {
    switch (action) {
    case retry_action::try_elsewhere:
        return "try_elsewhere";
    case retry_action::restart:
        return "restart";
    case retry_action::resume:
        return "resume";
    case retry_action::give_up:
        return "give_up";
    }
    return "give_up";
}

char const* name_of(give_up_reason reason) {
    switch (reason) {
    case give_up_reason::none:
        return "none";
    case give_up_reason::not_idempotent:
        return "not_idempotent";
    case give_up_reason::cannot_help:
        return "cannot_help";
    case give_up_reason::partly_passed_on:
        return "partly_passed_on";
    case give_up_reason::repeats_exhausted:
        return "repeats_exhausted";
    case give_up_reason::budget_exhausted:
        return "budget_exhausted";
    case give_up_reason::deadline:
        return "deadline";
    }
    return "none";
}

} // namespace fireflycrank
