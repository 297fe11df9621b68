#include "timelimits.h"

#include <algorithm>
#include <vector>

namespace fireflycrank {

namespace {

constexpr std::size_t max_limits = 128;
constexpr std::size_t min_limits = 16;
// One limit in this many may belong to a repeated attempt, for another reason than a refusal here.
constexpr std::size_t unusual_divisor = 32;
// Assumed shortest limit of a first attempt, in timeouts, until enough are known.
constexpr double default_shortest = 0.85;
// Callers return within a third of the time that they have left.
constexpr int return_divisor = 3;

double shortest_usual_limit(time_limit_history const& history) {
    auto const& known = history.first_attempts;
    if (known.size() < min_limits) {
        return default_shortest;
    }
    std::vector<double> limits{known.begin(), known.end()};
    auto const shortest =
        limits.begin() + static_cast<std::ptrdiff_t>(limits.size() / unusual_divisor);
    std::nth_element(limits.begin(), shortest, limits.end());
    return *shortest;
}

} // namespace

void record_refused_caller(time_limit_history& history, duration time_left, time_point now) {
    history.quiet_from = std::max(history.quiet_from, now + time_left / return_divisor);
}

void record_time_limit(time_limit_history& history, duration limit, duration timeout,
                       time_point now) {
    if (now < history.quiet_from || timeout <= duration::zero()) {
        return;
    }
    history.first_attempts.push_back(std::chrono::duration<double>{limit} / timeout);
    if (history.first_attempts.size() > max_limits) {
        history.first_attempts.pop_front();
    }
}

duration time_spent_before(time_limit_history const& history, duration limit, duration timeout) {
    auto const usual = std::chrono::duration_cast<duration>(shortest_usual_limit(history) *
                                                            std::chrono::duration<double>{timeout});
    return std::max(duration::zero(), usual - limit);
}

} // namespace fireflycrank
