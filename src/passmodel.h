/// @file
/// Estimates how the length of a group's forward passes depends on the number of running streams,
/// and from that how many streams may run so that the pauses between their events stay short. All
/// ranks of a group execute each pass together, so the interval between two events of any stream
/// shows the length of a pass. Pure functions without I/O.
#pragma once

#include "clock.h"
#include "serviceconfig.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace fireflycrank {

using double_milliseconds = std::chrono::duration<double, std::milli>;

/// What a group does at a moment.
struct group_activity {
    double streams_per_rank{0}; ///< running
    double slowdown{1.0};       ///< of its slowest rank; 1 at normal speed
};

/// Passes observed during a short interval.
struct pass_interval {
    time_point begin{};
    std::vector<double_milliseconds> passes; ///< observed, over all streams; ascending
    group_activity activity;                 ///< when the interval began
};

/// Recent observations of one group, oldest first.
struct pass_model {
    std::deque<pass_interval> intervals;
};

/// What a group's passes must comply with.
struct pass_requirements {
    double_milliseconds fixed{0};        ///< part of a pass that does not depend on the streams
    double_milliseconds pause_target{0}; ///< longest pause between events; 0: none
    double slots{0};                     ///< streams that a rank runs at most
    /// Work for the prompts that a rank reads during a pass, in streams.
    double prompt_work{0};
    double_milliseconds per_stream{0}; ///< part of a pass for each stream on a rank, evenly spread
    double expert_fraction{0};         ///< share of `per_stream` that experts do
    double usual_passes{0};            ///< of a stream of usual length; 0: unknown
    bool grouped{false};               ///< its targets are ranks of groups
    /// Its streaming routes differ in priority. Late urgent requests lose most of their worth, so
    /// the limit follows the long passes of a single change of demand.
    bool urgent_routes{false};
};

/// Returns the requirements of each service with a model engine: the strictest of its routes.
std::map<std::string, pass_requirements> pass_requirements_of(service_config const& config);

/// Records the interval between two events of a stream.
void record_pass(pass_model& model, duration pass, group_activity const& activity, time_point now);

/// Returns the usual length of the newest passes.
/// @return zero if no pass was observed lately
double_milliseconds recent_pass(pass_model const& model, time_point now);

/// Whether enough passes with enough streams were observed to tell how many streams may run.
bool has_observations(pass_model const& model, pass_requirements const& requirements,
                      time_point now);

/// Returns the number of streams per rank at which even the longest passes of the last seconds
/// would have stayed within the pause target. After a change in the demand for experts, passes are
/// several times as long until the expert map follows, so the longest ones decide.
/// @param slowdown of the group now
/// @return at most the slots of a rank; the slots if no number of streams would help
double sustainable_streams(pass_model const& model, pass_requirements const& requirements,
                           double slowdown, time_point now);

} // namespace fireflycrank
