/// @file
/// Admission control of an entry, the front-end process that accepts callers' requests: weighted
/// fair shares of the teams, per-team limits and deadlines. An entry knows only its own traffic and
/// the load that targets report.
#pragma once

#include "clock.h"
#include "rng.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace fireflycrank {

/// Limits of a team, as configured by an operator.
struct team_policy {
    double weight{1};
    double max_requests_per_s{0};   ///< at this entry, 0 for no limit
    double burst{20};               ///< size of the token bucket, in requests
    std::uint32_t max_in_flight{0}; ///< at this entry, 0 for no limit
};

/// Exponentially decaying average of work per second.
struct decayed_rate {
    double value{0};
    time_point updated_at;
};

/// Traffic of one team at this entry.
struct team_usage {
    decayed_rate offered;     ///< work requested
    decayed_rate admitted;    ///< work admitted
    double request_tokens{0}; ///< token bucket of the request rate limit
    time_point refilled_at;
    bool bucket_initialized{false};
    std::uint32_t in_flight{0};
};

/// Parameters of admission; docs/routing.md gives the reasons.
struct admission_settings {
    duration rate_window{std::chrono::seconds{5}}; ///< time constant of the decaying averages
    /// Mean queue wait above which shares are enforced.
    duration overload_wait{std::chrono::seconds{4}};
    /// Period of computing the fair level again.
    duration fair_level_refresh{std::chrono::milliseconds{100}};
    duration min_retry_after{std::chrono::seconds{1}};
    duration max_retry_after{std::chrono::seconds{60}};
    double jitter{0.5};          ///< retry-after is drawn from [1, 1 + jitter] times its value
    std::size_t max_teams{4096}; ///< beyond it idle teams are removed
};

/// Admission state of one entry.
struct admission_state {
    admission_settings settings;
    std::unordered_map<std::string, team_policy> policies; ///< other teams have the default policy
    std::unordered_map<std::string, team_usage> teams;
    decayed_rate served_rate; ///< work of finished requests, the estimate of this entry's capacity
    double fair_level{0};     ///< max-min fair work per second and unit of weight
    time_point fair_level_computed_at;
    bool fair_level_valid{false};
};

/// A request to be admitted or refused.
struct admission_request {
    std::string team;
    double work{0}; ///< estimated output tokens
    /// -2 to 2; each step doubles the queue wait at which shares are enforced.
    std::int32_t priority{0};
    time_point deadline;
    duration expected_wait{0}; ///< mean for a slot, over the targets; zero when unknown
    duration expected_run{0};
    duration mean_queue_wait{0}; ///< over the targets that serve the route
};

/// Why a request was refused. A refused request has not run.
enum class admission_reason { admitted, rate_limited, in_flight_limit, deadline, over_share };

struct admission_result {
    bool admitted{false};
    admission_reason reason{admission_reason::admitted};
    duration retry_after{0}; ///< jitter included
};

/// Admits or refuses a request. Each admitted request must be ended with release_admission().
admission_result admit(admission_state& state, admission_request const& request, rng& source,
                       time_point now);

/// Ends an admitted request.
/// @param served whether the request was answered; only answered requests show the capacity
void release_admission(admission_state& state, std::string const& team, double work, bool served,
                       time_point now);

/// Adds jitter to a retry-after time so that refused callers do not retry at the same moment.
duration jitter_retry_after(admission_settings const& settings, duration base, rng& source);

/// The name used in refusals and log lines.
char const* name_of(admission_reason reason);

} // namespace fireflycrank
