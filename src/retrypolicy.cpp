#include "retrypolicy.h"

namespace fireflycrank {

bool is_retry_safe(call_progress const& progress) {
    return progress.kind == call_kind::idempotent ||
           (progress.kind == call_kind::stream && progress.resumable);
}

bool should_retry_failure(failure_retry_stats const& repeats, rng& random) {
    constexpr double enough = 0.3;
    constexpr std::uint64_t one_in = 8; // so that a change is noticed
    return repeats.success_rate >= enough || next_below(random, one_in) == 0;
}

void record_retry_result(failure_retry_stats& repeats, bool helped) {
    constexpr double newest = 0.2; // weight: about the last five repeats decide
    repeats.success_rate += newest * ((helped ? 1.0 : 0.0) - repeats.success_rate);
}

} // namespace fireflycrank
