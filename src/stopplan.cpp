#include "stopplan.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// A request that comes later than 3 s after the signal must be finished whatever it takes; one that
// comes before may still run in the last sixth of the grace period.
constexpr std::chrono::milliseconds accept_limit{2'700};
constexpr int accept_divisor = 2; // of a short grace period
// For the processes of the VM to end after the last connection was closed.
constexpr std::chrono::milliseconds margin{300};

} // namespace

stop_plan plan_stop(time_point begun, duration grace) {
    auto const accept = std::min<duration>(accept_limit, grace / accept_divisor);
    return {begun + accept, begun + std::max<duration>(grace - margin, accept)};
}

} // namespace fireflycrank
