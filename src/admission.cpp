#include "admission.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace fireflycrank {

namespace {

constexpr std::int32_t max_priority_steps = 2;

/// Under overload, work is admitted up to this multiple of the served rate. It is above 1 so that
/// an entry can take capacity that other entries leave unused: at or below 1 its served rate could
/// only fall while other entries cause overload. The agents refuse the excess tenth.
constexpr double overcommit_factor = 1.1;

/// Teams with a lower rate count as idle, in tokens per second.
constexpr double idle_rate = 0.01;

double seconds(duration span) {
    return std::chrono::duration<double>(span).count();
}

duration from_seconds(double span) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(span));
}

double rate_at(decayed_rate const& rate, time_point now, duration window) {
    return rate.value * std::exp(-std::max(seconds(now - rate.updated_at), 0.0) / seconds(window));
}

void add_to_rate(decayed_rate& rate, double work, time_point now, duration window) {
    rate.value = rate_at(rate, now, window) + work / seconds(window);
    rate.updated_at = std::max(now, rate.updated_at);
}

team_policy policy_of(admission_state const& state, std::string const& team) {
    auto const found = state.policies.find(team);
    return found == state.policies.end() ? team_policy{} : found->second;
}

/// Refills the token bucket of a team's request rate.
void refill(team_usage& usage, team_policy const& policy, time_point now) {
    double const most = std::max(policy.burst, 1.0);
    double const added = seconds(now - usage.refilled_at) * policy.max_requests_per_s;
    usage.request_tokens = usage.bucket_initialized
                               ? std::min(most, usage.request_tokens + std::max(added, 0.0))
                               : most;
    usage.refilled_at = now;
    usage.bucket_initialized = true;
}

/// Max-min fair level: the work per second and unit of weight at which the teams' demands, each
/// capped at the level times its weight, add up to the capacity. What teams below the level do not
/// use is left to the others.
double compute_fair_level(admission_state const& state, double capacity, time_point now) {
    struct demand {
        double offered;
        double weight;
    };
    std::vector<demand> demands;
    double weights = 0;
    for (auto const& [team, usage] : state.teams) {
        auto const offered = rate_at(usage.offered, now, state.settings.rate_window);
        if (offered > idle_rate) {
            demands.push_back({offered, std::max(policy_of(state, team).weight, 1e-6)});
            weights += demands.back().weight;
        }
    }
    std::sort(demands.begin(), demands.end(), [](demand const& left, demand const& right) {
        return left.offered * right.weight < right.offered * left.weight;
    });
    for (auto const& team : demands) {
        if (team.offered * weights >= capacity * team.weight) {
            return capacity / weights;
        }
        capacity -= team.offered;
        weights -= team.weight;
    }
    return HUGE_VAL; // All demands fit into the capacity.
}

bool exceeds_share(admission_state& state, admission_request const& request,
                   team_usage const& usage, time_point now) {
    auto const window = state.settings.rate_window;
    auto const steps = std::clamp(request.priority, -max_priority_steps, max_priority_steps);
    if (seconds(request.mean_queue_wait) <=
        seconds(state.settings.overload_wait) * std::exp2(steps)) {
        return false;
    }
    auto const served = rate_at(state.served_rate, now, window);
    if (served <= idle_rate) {
        return false; // Nothing has finished recently, so the capacity is unknown.
    }
    auto const capacity = served * overcommit_factor;
    if (!state.fair_level_valid ||
        now - state.fair_level_computed_at >= state.settings.fair_level_refresh) {
        state.fair_level = compute_fair_level(state, capacity, now);
        state.fair_level_computed_at = now;
        state.fair_level_valid = true;
    }
    auto const allowed = state.fair_level * policy_of(state, request.team).weight;
    return rate_at(usage.admitted, now, window) > allowed;
}

void remove_idle_teams(admission_state& state, time_point now) {
    if (state.teams.size() < state.settings.max_teams) {
        return;
    }
    std::erase_if(state.teams, [&](auto const& team) {
        return team.second.in_flight == 0 &&
               rate_at(team.second.offered, now, state.settings.rate_window) <= idle_rate;
    });
}

} // namespace

duration jitter_retry_after(admission_settings const& settings, duration base, rng& source) {
    auto const clamped = std::clamp(base, settings.min_retry_after, settings.max_retry_after);
    return from_seconds(seconds(clamped) * (1 + settings.jitter * next_unit(source)));
}

admission_result admit(admission_state& state, admission_request const& request, rng& source,
                       time_point now) {
    auto const& settings = state.settings;
    remove_idle_teams(state, now);
    auto& usage = state.teams[request.team];
    auto const policy = policy_of(state, request.team);
    auto const refuse = [&](admission_reason reason, duration after) {
        return admission_result{false, reason, jitter_retry_after(settings, after, source)};
    };
    add_to_rate(usage.offered, request.work, now, settings.rate_window);
    refill(usage, policy, now);
    if (policy.max_requests_per_s > 0 && usage.request_tokens < 1) {
        return refuse(admission_reason::rate_limited,
                      from_seconds((1 - usage.request_tokens) / policy.max_requests_per_s));
    }
    if (policy.max_in_flight > 0 && usage.in_flight >= policy.max_in_flight) {
        return refuse(admission_reason::in_flight_limit, request.expected_run);
    }
    if (now + request.expected_wait + request.expected_run > request.deadline) {
        return refuse(admission_reason::deadline, request.expected_wait);
    }
    if (exceeds_share(state, request, usage, now)) {
        return refuse(admission_reason::over_share, settings.rate_window / 2);
    }
    usage.request_tokens -= policy.max_requests_per_s > 0 ? 1 : 0;
    ++usage.in_flight;
    add_to_rate(usage.admitted, request.work, now, settings.rate_window);
    return {true, admission_reason::admitted, duration::zero()};
}

void release_admission(admission_state& state, std::string const& team, double work, bool served,
                       time_point now) {
    auto const found = state.teams.find(team);
    if (found != state.teams.end() && found->second.in_flight > 0) {
        --found->second.in_flight;
    }
    if (served) {
        add_to_rate(state.served_rate, work, now, state.settings.rate_window);
    }
}

char const* name_of(admission_reason reason) {
    switch (reason) {
    case admission_reason::admitted:
        return "admitted";
    case admission_reason::rate_limited:
        return "rate_limited";
    case admission_reason::in_flight_limit:
        return "in_flight_limit";
    case admission_reason::deadline:
        return "deadline";
    case admission_reason::over_share:
        return "over_share";
    }
    return "admitted";
}

} // namespace fireflycrank
