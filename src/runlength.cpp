#include "runlength.h"

#include <algorithm>
#include <cmath>

namespace fireflycrank {

namespace {

using float_millis = std::chrono::duration<double, std::milli>;

constexpr std::size_t max_runs = 128;
constexpr std::size_t min_runs = 16;
constexpr double deviations = 4;
// The longest of few runs is often exceeded, so the bound is raised by this many runs' part of
// them.
constexpr double margin_runs = 24;
// While a route has been in use for less than this many times the longest run, long runs are still
// in progress, so those that have ended are shorter than usual.
constexpr int min_longest_runs_in_use = 2;
// Runs are similar if neither has more than this many times the tokens of the other.
constexpr unsigned similar_tokens = 2;

double millis_of(known_run const& run) {
    return float_millis{run.took}.count();
}

duration from_millis(double millis) {
    return std::chrono::duration_cast<duration>(float_millis{millis});
}

bool is_similar(known_run const& run, unsigned tokens) {
    return tokens == 0 || (run.tokens > 0 && run.tokens <= similar_tokens * tokens &&
                           tokens <= similar_tokens * run.tokens);
}

// Durations of the runs that are similar to one with so many tokens. Those with fewer tokens count
// as if they had as many; the time to the first event does not shrink with the tokens, so those
// with more are left as they are.
template <typename Runs>
std::vector<double> similar_millis(Runs const& runs, unsigned tokens) {
    std::vector<double> millis;
    for (auto const& run : runs) {
        if (is_similar(run, tokens)) {
            double const growth = tokens > run.tokens && run.tokens > 0
                                      ? static_cast<double>(tokens) / run.tokens
                                      : 1.0;
            millis.push_back(millis_of(run) * growth);
        }
    }
    return millis;
}

double mean_of(std::vector<double> const& values) {
    double sum = 0;
    for (auto const value : values) {
        sum += value;
    }
    return sum / static_cast<double>(values.size());
}

double mean_deviation_of(std::vector<double> const& values) {
    auto const mean = mean_of(values);
    double sum = 0;
    for (auto const value : values) {
        sum += std::abs(value - mean);
    }
    return sum / static_cast<double>(values.size());
}

double largest_of(std::vector<double> const& values) {
    return values.empty() ? 0.0 : *std::max_element(values.begin(), values.end());
}

// A bound of runs that are similar to one with so many tokens.
double bound_millis(run_lengths const& lengths, unsigned tokens) {
    auto const ended = similar_millis(lengths.ended, tokens);
    auto const usual = mean_of(ended) + deviations * mean_deviation_of(ended);
    auto const margin = 1.0 + margin_runs / static_cast<double>(ended.size());
    auto const in_progress = largest_of(similar_millis(lengths.in_progress, tokens));
    return std::max({largest_of(ended), usual, in_progress}) * margin;
}

unsigned most_tokens(run_lengths const& lengths) {
    unsigned most = 0;
    for (auto const& run : lengths.ended) {
        most = std::max(most, run.tokens);
    }
    return most;
}

duration longest_known(run_lengths const& lengths) {
    return from_millis(std::max(largest_of(similar_millis(lengths.ended, 0)),
                                largest_of(similar_millis(lengths.in_progress, 0))));
}

} // namespace

void record_run(run_lengths& lengths, known_run const& run, time_point now) {
    auto const sent_at = now - run.took;
    if (lengths.ended.empty() || sent_at - lengths.last_ended_at > longest_known(lengths)) {
        lengths.in_use_since = sent_at;
    }
    lengths.last_ended_at = now;
    lengths.ended.push_back(run);
    if (lengths.ended.size() > max_runs) {
        lengths.ended.pop_front();
    }
}

void record_unfinished_run(run_lengths& lengths, known_run const& run, time_point now) {
    if (millis_of(run) > largest_of(similar_millis(lengths.ended, run.tokens))) {
        record_run(lengths, run, now);
    }
}

std::optional<duration> mean_run(run_lengths const& lengths, unsigned tokens) {
    if (lengths.ended.empty()) {
        return std::nullopt;
    }
    auto const similar = similar_millis(lengths.ended, tokens);
    return from_millis(mean_of(similar.empty() ? similar_millis(lengths.ended, 0) : similar));
}

std::optional<duration> estimate_run(run_lengths const& lengths, unsigned tokens, time_point now) {
    if (lengths.ended.size() < min_runs ||
        now - lengths.in_use_since < min_longest_runs_in_use * longest_known(lengths)) {
        return std::nullopt;
    }
    if (similar_millis(lengths.ended, tokens).size() >= min_runs) {
        return from_millis(bound_millis(lengths, tokens));
    }
    auto const most = most_tokens(lengths);
    double const growth = most > 0 && tokens > most ? static_cast<double>(tokens) / most : 1.0;
    return from_millis(bound_millis(lengths, 0) * growth);
}

} // namespace fireflycrank
