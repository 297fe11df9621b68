#include "retrylimits.h"

#include <algorithm>

namespace fireflycrank {

namespace {

constexpr int buckets_per_window = 20;
// A gateway that is partitioned away is found and repaired by an operator within this time.
constexpr std::chrono::minutes gateway_count_lifetime{10};
// Only this fraction of the limit is used, because gateways may start or be counted late.
constexpr double safety_factor = 0.85;

retry_window_counts::bucket& current_bucket(retry_window_counts& counts, retry_limits const& limits,
                                            time_point now) {
    auto const width = limits.window / buckets_per_window;
    if (counts.buckets.empty() || now - counts.buckets.back().start >= width) {
        counts.buckets.push_back({now, 0, 0});
    }
    // Keeps one bucket more than the window, because the oldest one may still overlap it.
    while (now - counts.buckets.front().start > limits.window + width) {
        counts.buckets.pop_front();
    }
    return counts.buckets.back();
}

} // namespace

void count_request(retry_window_counts& counts, retry_limits const& limits, time_point now) {
    ++current_bucket(counts, limits, now).requests;
}

std::uint64_t record_gateway_count(gateway_count_history& counts, std::uint64_t known,
                                   time_point now) {
    auto& peaks = counts.peaks;
    while (!peaks.empty() && peaks.back().second <= known) {
        peaks.pop_back();
    }
    peaks.emplace_back(now, known);
    while (now - peaks.front().first > gateway_count_lifetime) {
        peaks.pop_front();
    }
    return peaks.front().second;
}

bool take_retry(retry_window_counts& counts, retry_limits const& limits,
                allowance_share const& share, time_point now) {
    auto& bucket = current_bucket(counts, limits, now);
    double requests = 0;
    double retries = 0;
    for (auto const& entry : counts.buckets) {
        // The oldest bucket may lie partly outside the window. To be safe, its requests are left
        // out and its retries are counted.
        requests += now - entry.start <= limits.window ? static_cast<double>(entry.requests) : 0.0;
        retries += static_cast<double>(entry.retries);
    }
    bool const knows_own_retries =
        now - share.process_started > limits.window + limits.window / buckets_per_window;
    auto const own_share =
        limits.allowance / static_cast<double>(std::max<std::uint64_t>(share.gateways, 1));
    auto const allowance = knows_own_retries ? own_share : 0.0;
    if (retries + 1 > safety_factor * (limits.ratio * requests + allowance)) {
        return false;
    }
    ++bucket.retries;
    return true;
}

} // namespace fireflycrank
