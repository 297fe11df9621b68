/// @file
/// How a gateway stops: it keeps taking callers while old directory answers still lead them here,
/// but no request that could not be finished within the grace period.
#pragma once

#include "clock.h"

namespace fireflycrank {

/// Moments of a planned stop.
struct stop_plan {
    time_point accept_until{}; ///< no new connections and no idle ones from then on
    time_point cut_at{};       ///< what is still open is broken off
};

/// Plans a stop.
/// @param begun when the stop signal came
/// @param grace time until the process is killed
/// @return the moments
stop_plan plan_stop(time_point begun, duration grace);

} // namespace fireflycrank
