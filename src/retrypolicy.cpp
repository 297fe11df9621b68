#include "retrypolicy.h"

namespace fireflycrank {

bool promises_not_run(unsigned status) {
    constexpr unsigned request_timeout = 408;
    constexpr unsigned misdirected_request = 421;
    constexpr unsigned too_many_requests = 429;
    constexpr unsigned unavailable = 503;
    return status == request_timeout || status == misdirected_request ||
           status == too_many_requests || status == unavailable;
}

bool is_retry_safe(call_progress const& progress) {
    return progress.kind == call_kind::idempotent ||
           (progress.kind == call_kind::stream && progress.resumable);
}

bool should_retry_failure(failure_retry_stats const& stats, rng& random) {
    constexpr double min_success_rate = 0.3;
    constexpr std::uint64_t retry_one_in = 8; // so that a recovery is noticed
    return stats.success_rate >= min_success_rate || next_below(random, retry_one_in) == 0;
}

void record_retry_result(failure_retry_stats& stats, bool succeeded) {
    constexpr double newest_weight = 0.2; // averages over about the last five retries
    stats.success_rate += newest_weight * ((succeeded ? 1.0 : 0.0) - stats.success_rate);
}

} // namespace fireflycrank
