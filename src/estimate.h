/// @file
/// Estimates the work of a request in output tokens from its prompt, its limit and what the route
/// has produced so far.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace fireflycrank {

/// Histogram of output lengths on a logarithmic scale with four buckets per octave.
struct length_histogram {
    static constexpr std::size_t bucket_count = 80; ///< up to 2^20 tokens
    std::array<std::uint32_t, bucket_count> counts{};
    std::uint32_t total{0};
};

/// What one route has shown: over all prompts, and by prompt length in factors of four.
struct output_history {
    static constexpr std::size_t prompt_length_buckets = 10;
    length_histogram all;
    std::array<length_histogram, prompt_length_buckets> by_prompt_length{};
};

/// Parameters of the estimate.
struct estimate_settings {
    double prompt_cost{0.05};        ///< output tokens that one uncached prompt token costs
    double default_output{256};      ///< assumed without history and limit
    std::uint32_t min_samples{20};   ///< a histogram with fewer is not used
    std::uint32_t max_samples{4096}; ///< at this count all counts are halved, so history ages
    double long_work_threshold{512}; ///< expected work from which a request is long
    std::size_t max_routes{1024};    ///< further routes share one history
};

/// All histories of one process.
struct estimator {
    estimate_settings settings;
    std::unordered_map<std::string, output_history> routes;
};

/// The estimate for one request.
struct work_estimate {
    double work{0};           ///< expected work: prompt cost plus median output
    double p90_work{0};       ///< work with the 90th percentile of the output
    bool is_long{false};      ///< class of the request
    bool from_history{false}; ///< history was used
};

/// Estimates a request's work.
/// @param prompt_tokens length of the prompt
/// @param cached_tokens part of the prompt expected in the target's cache
/// @param output_limit the caller's limit in tokens, 0 when none was given
work_estimate estimate_work(estimator const& state, std::string const& route,
                            std::uint32_t prompt_tokens, std::uint32_t cached_tokens,
                            std::uint32_t output_limit);

/// Learns from a finished request. Cut-off answers must not be reported: they would teach the
/// cut-off, not the length.
void record_output_length(estimator& state, std::string const& route, std::uint32_t prompt_tokens,
                          std::uint32_t output_tokens);

/// A quantile of a histogram, interpolated inside its bucket.
/// @param quantile in (0, 1)
/// @return tokens, 0 for an empty histogram
double quantile_of(length_histogram const& histogram, double quantile);

} // namespace fireflycrank
