/// @file
/// Runs a trace in virtual time through entries, queues and fake runners, with this project's
/// decisions or with the baseline: round robin over targets with one first-in-first-out queue each.
#pragma once

#include "admission.h"
#include "benchtrace.h"
#include "estimate.h"
#include "prefixindex.h"
#include "retry.h"
#include "route.h"
#include "workqueue.h"

#include <cstdint>
#include <vector>

namespace fireflycrank {

/// How a trace is run.
struct world_settings {
    bool baseline{false};
    trace_settings trace;
    duration report_period{std::chrono::milliseconds{500}};
    duration report_lag{std::chrono::milliseconds{250}};
    duration cache_event_lag{std::chrono::milliseconds{300}};
    double cache_event_loss{0.02};
    std::uint32_t failing_runners{0}; ///< the first ones fail part of their attempts
    double failing_share{0};
    route_settings routing;
    queue_settings queue;
    admission_settings admission;
    retry_settings retry;
};

/// What became of one request.
struct request_result {
    time_point started; ///< first time in a slot
    time_point finished;
    bool done{false};
    bool refused{false};
    std::uint32_t attempts{0};  ///< that reached a slot
    std::uint32_t elsewhere{0}; ///< tries after not_run refusals
};

/// What became of a trace.
struct world_result {
    std::vector<trace_request> trace;
    std::vector<request_result> requests;
    std::vector<fake_runner> runners;
    time_point ended;
};

/// Runs a trace until every request has ended.
world_result run_world(world_settings const& settings, std::uint64_t seed);

} // namespace fireflycrank
