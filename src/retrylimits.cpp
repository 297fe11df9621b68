#include "retrylimits.h"

#include <algorithm>

namespace fireflycrank {

namespace {

constexpr int buckets_per_window = 20;
// Longer than a gateway is cut off without anybody looking after it.
constexpr std::chrono::minutes census_life{10};
// Part of the allowance and of the ratio that is used: gateways may start or be counted late.
constexpr double used_share = 0.85;

retry_window_counts::bucket& current(retry_window_counts& ledger, retry_limits const& bound,
                                     time_point now) {
    auto const width = bound.window / buckets_per_window;
    if (ledger.buckets.empty() || now - ledger.buckets.back().start >= width) {
        ledger.buckets.push_back({now, 0, 0});
    }
    // One bucket more than the window: the oldest one may still reach into it.
    while (now - ledger.buckets.front().start > bound.window + width) {
        ledger.buckets.pop_front();
    }
    return ledger.buckets.back();
}

} // namespace

void count_request(retry_window_counts& ledger, retry_limits const& bound, time_point now) {
    ++current(ledger, bound, now).requests;
}

std::uint64_t record_gateway_count(gateway_count_history& census, std::uint64_t known,
                                   time_point now) {
    auto& peaks = census.peaks;
    while (!peaks.empty() && peaks.back().second <= known) {
        peaks.pop_back();
    }
    peaks.emplace_back(now, known);
    while (now - peaks.front().first > census_life) {
        peaks.pop_front();
    }
    return peaks.front().second;
}

bool take_retry(retry_window_counts& ledger, retry_limits const& bound,
                allowance_share const& share, time_point now) {
    auto& present = current(ledger, bound, now);
    double requests = 0;
    double repeats = 0;
    for (auto const& one : ledger.buckets) {
        // Requests of the oldest bucket may already be outside the window; its repeats may not.
        requests += now - one.start <= bound.window ? static_cast<double>(one.requests) : 0.0;
        repeats += static_cast<double>(one.retries);
    }
    bool const knows_window =
        now - share.process_started > bound.window + bound.window / buckets_per_window;
    auto const part =
        bound.allowance / static_cast<double>(std::max<std::uint64_t>(share.gateways, 1));
    auto const shared = knows_window ? part : 0.0;
    if (repeats + 1 > used_share * (bound.ratio * requests + shared)) {
        return false;
    }
    ++present.retries;
    return true;
}

} // namespace fireflycrank
