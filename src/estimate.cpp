#include "estimate.h"

#include <algorithm>
#include <cmath>

namespace fireflycrank {

namespace {

constexpr double buckets_per_octave = 4;

/// Name of the history that all routes beyond max_routes share.
constexpr char const* shared_route = "*";

std::size_t bucket_index(std::uint32_t tokens) {
    auto const at = std::log2(static_cast<double>(std::max(tokens, 1U))) * buckets_per_octave;
    return std::min(static_cast<std::size_t>(at), length_histogram::bucket_count - 1);
}

std::size_t prompt_length_bucket(std::uint32_t prompt_tokens) {
    auto const at = std::log2(static_cast<double>(std::max(prompt_tokens, 1U))) / 2;
    return std::min(static_cast<std::size_t>(at), output_history::prompt_length_buckets - 1);
}

void add_sample(length_histogram& histogram, std::uint32_t tokens, std::uint32_t max_samples) {
    ++histogram.counts[bucket_index(tokens)];
    ++histogram.total;
    if (histogram.total < max_samples) {
        return;
    }
    histogram.total = 0;
    for (auto& count : histogram.counts) {
        count /= 2;
        histogram.total += count;
    }
}

length_histogram const* choose_histogram(estimator const& state, std::string const& route,
                                         std::uint32_t prompt_tokens) {
    auto found = state.routes.find(route);
    if (found == state.routes.end()) {
        found = state.routes.find(shared_route);
    }
    if (found == state.routes.end()) {
        return nullptr;
    }
    auto const& similar = found->second.by_prompt_length[prompt_length_bucket(prompt_tokens)];
    if (similar.total >= state.settings.min_samples) {
        return &similar;
    }
    return found->second.all.total >= state.settings.min_samples ? &found->second.all : nullptr;
}

} // namespace

double quantile_of(length_histogram const& histogram, double quantile) {
    double const target_rank = quantile * histogram.total;
    double cumulative = 0;
    for (std::size_t at = 0; at < length_histogram::bucket_count; ++at) {
        double const count = histogram.counts[at];
        if (count > 0 && cumulative + count >= target_rank) {
            double const fraction = (target_rank - cumulative) / count;
            return std::exp2((static_cast<double>(at) + fraction) / buckets_per_octave);
        }
        cumulative += count;
    }
    return 0;
}

work_estimate estimate_work(estimator const& state, std::string const& route,
                            std::uint32_t prompt_tokens, std::uint32_t cached_tokens,
                            std::uint32_t output_limit) {
    auto const& settings = state.settings;
    double const limit = output_limit == 0 ? HUGE_VAL : output_limit;
    double const uncached = prompt_tokens - std::min(cached_tokens, prompt_tokens);
    double const prompt_work = uncached * settings.prompt_cost;
    work_estimate estimate;
    double median = std::min(limit, settings.default_output);
    double high = output_limit == 0 ? 4 * settings.default_output : limit;
    if (auto const* history = choose_histogram(state, route, prompt_tokens)) {
        median = std::min(limit, quantile_of(*history, 0.5));
        high = std::min(limit, quantile_of(*history, 0.9));
        estimate.from_history = true;
    }
    estimate.work = prompt_work + median;
    estimate.p90_work = prompt_work + high;
    estimate.is_long = estimate.work >= settings.long_work_threshold;
    return estimate;
}

void record_output_length(estimator& state, std::string const& route, std::uint32_t prompt_tokens,
                          std::uint32_t output_tokens) {
    bool const known = state.routes.contains(route);
    bool const has_room = state.routes.size() < state.settings.max_routes;
    auto& history = state.routes[known || has_room ? route : shared_route];
    add_sample(history.all, output_tokens, state.settings.max_samples);
    add_sample(history.by_prompt_length[prompt_length_bucket(prompt_tokens)], output_tokens,
               state.settings.max_samples);
}

} // namespace fireflycrank
