/// @file
/// Admission at an entry: weighted team shares, team limits, deadlines. An entry knows only its own
/// traffic and the load that targets report.
#pragma once

#include "clock.h"
#include "rng.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace fireflycrank {

/// What an operator configures for a team.
struct team_policy {
    double weight{1};
    double max_requests_per_s{0};   ///< requests per second at this entry, 0 for no limit
    double burst{20};               ///< requests above the rate at once
    std::uint32_t max_in_flight{0}; ///< at this entry, 0 for no limit
};

/// Work per second, averaged with an exponential window.
struct decayed_rate {
    double value{0};
    time_point updated_at;
};

/// What an entry remembers of a team.
struct team_usage {
    decayed_rate offered;
    decayed_rate admitted;
    double request_tokens{0}; ///< of the request rate limit
    time_point refilled_at;
    bool bucket_initialized{false};
    std::uint32_t in_flight{0};
};

/// Parameters; docs/routing.md gives the reasons.
struct admission_settings {
    duration rate_window{std::chrono::seconds{5}};   ///< of the averaged rates
    duration overload_wait{std::chrono::seconds{4}}; ///< fleet wait from which shares are enforced
    duration fair_level_refresh{std::chrono::milliseconds{100}}; ///< age of the computed share
    duration min_retry_after{std::chrono::seconds{1}};
    duration max_retry_after{std::chrono::seconds{60}};
    double jitter{0.5};          ///< retry-after is spread over [1, 1 + jitter] times its value
    std::size_t max_teams{4096}; ///< idle teams are forgotten beyond it
};

/// State of one entry.
struct admission_state {
    admission_settings settings;
    std::unordered_map<std::string, team_policy> policies; ///< default policy for other teams
    std::unordered_map<std::string, team_usage> teams;
    decayed_rate served_rate; ///< work of finished requests: what the targets give this entry
    double fair_level{0};     ///< work per second and unit of weight
    time_point fair_level_computed_at;
    bool fair_level_valid{false};
};

/// One request at the entry.
struct admission_request {
    std::string team;
    double work{0};           ///< estimated output tokens
    std::int32_t priority{0}; ///< each step doubles the pressure at which it is shed, from -2 to 2
    time_point deadline;
    duration expected_wait{0}; ///< at the best target known; zero when unknown
    duration expected_run{0};
    duration mean_queue_wait{0}; ///< mean over the targets
};

/// Why a request was refused. Every one means not_run.
enum class admission_reason { admitted, rate_limited, in_flight_limit, deadline, over_share };

/// Result of the admission.
struct admission_result {
    bool admitted{false};
    admission_reason reason{admission_reason::admitted};
    duration retry_after{0}; ///< with jitter
};

/// Admits or refuses a request. An admitted one must be ended with note_admission_end().
admission_result admit(admission_state& state, admission_request const& request, rng& source,
                       time_point now);

/// Notes the end of an admitted request.
/// @param served true when the request ran; refused attempts do not show capacity
void release_admission(admission_state& state, std::string const& team, double work, bool served,
                       time_point now);

/// Spreads a retry-after time so that refused callers do not come back together.
duration jitter_retry_after(admission_settings const& settings, duration base, rng& source);

/// The name of a reason, as it appears in refusals and log lines.
char const* name_of(admission_reason reason);

} // namespace fireflycrank
