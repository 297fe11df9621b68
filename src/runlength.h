/// @file
/// Estimates how long the next run of a route takes, from runs that ended well. Pure functions
/// without I/O.
#pragma once

#include "clock.h"

#include <deque>
#include <optional>
#include <vector>

namespace fireflycrank {

/// A run of a route, or the part of it that has been seen.
struct known_run {
    duration took{};    ///< from sending the request to the end of the response
    unsigned tokens{0}; ///< output tokens that its request expected or allowed; 0 if unknown
};

/// Durations of a route's runs at one service.
struct run_lengths {
    std::deque<known_run> ended;        ///< the most recent ones
    std::vector<known_run> in_progress; ///< with the time that each has lasted so far
    time_point last_ended_at{};         ///< when the last one ended
    time_point in_use_since{};          ///< when the first run after the last idle time was sent
};

/// Records a run that ended well.
/// @param now when it ended
void record_run(run_lengths& lengths, known_run const& run, time_point now);

/// Records a run that was cut off before its end. Only one that lasted longer than all others tells
/// something.
/// @param now when it was cut off
void record_unfinished_run(run_lengths& lengths, known_run const& run, time_point now);

/// Returns the mean duration of a run.
/// @param tokens output tokens that the request expects or allows; 0 if unknown
/// @return nothing if no run is known
std::optional<duration> mean_run(run_lengths const& lengths, unsigned tokens);

/// Returns a duration that at most one run in a hundred exceeds, as long as runs do not become
/// longer. Runs in progress count with the time that they have lasted.
/// @param tokens as for mean_run()
/// @return nothing if too few runs are known, or if the route has been in use for so short a time
///         that the longest runs may not have ended yet
std::optional<duration> estimate_run(run_lengths const& lengths, unsigned tokens, time_point now);

} // namespace fireflycrank
