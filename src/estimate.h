/// @file
/// Estimates the work of a request in output tokens from its prompt length, its output limit and
/// the output lengths of earlier requests to the route.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace fireflycrank {

/// Histogram of output lengths with logarithmic buckets, four per factor of two.
struct length_histogram {
    static constexpr std::size_t bucket_count = 80; ///< up to 2^20 tokens
    std::array<std::uint32_t, bucket_count> counts{};
    std::uint32_t total{0};
};

/// Output lengths of one route: of all requests, and by prompt length in factors of four.
struct output_history {
    static constexpr std::size_t prompt_length_buckets = 10;
    length_histogram all;
    std::array<length_histogram, prompt_length_buckets> by_prompt_length{};
};

/// Parameters of the estimate.
struct estimate_settings {
    double prompt_cost{0.05};      ///< work of one uncached prompt token, in output tokens
    double default_output{256};    ///< tokens, assumed without history and output limit
    std::uint32_t min_samples{20}; ///< a histogram with fewer samples is not used
    /// At this total all counts are halved, so that old samples lose weight.
    std::uint32_t max_samples{4096};
    /// Output tokens from which a request is long, unless its route has a threshold of its own.
    double long_work_threshold{512};
    std::size_t max_routes{1024}; ///< further routes share one history
};

/// Output histories of all routes.
struct estimator {
    estimate_settings settings;
    std::unordered_map<std::string, output_history> routes;
};

/// Estimated work of one request, in output tokens.
struct work_estimate {
    double work{0};           ///< prompt work plus median output
    double p90_work{0};       ///< prompt work plus 90th percentile of the output
    bool is_long{false};      ///< scheduling class: long or short
    bool from_history{false}; ///< whether the route's history was used
};

/// Estimates a request's work.
/// @param cached_tokens part of the prompt expected in the target's cache
/// @param output_limit tokens, 0 for no limit
work_estimate estimate_work(estimator const& state, std::string const& route,
                            std::uint32_t prompt_tokens, std::uint32_t cached_tokens,
                            std::uint32_t output_limit);

/// Adds a finished request to the route's history. Truncated answers must not be reported: they
/// would make later estimates too short.
void record_output_length(estimator& state, std::string const& route, std::uint32_t prompt_tokens,
                          std::uint32_t output_tokens);

/// A quantile of a histogram, interpolated within its bucket.
/// @param quantile in (0, 1)
/// @return tokens, 0 for an empty histogram
double quantile_of(length_histogram const& histogram, double quantile);

} // namespace fireflycrank
