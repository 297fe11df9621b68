#include "benchtrace.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace fireflycrank {

namespace {

/// One kind of request in a workload.
struct request_kind {
    char const* route;
    double share;             ///< of the requests
    double median_output;     ///< tokens
    double spread;            ///< of the logarithm of the output
    std::uint32_t own_prompt; ///< prompt tokens that no other request shares
    std::uint32_t limit;
    int patience_s;
    bool is_short;
    bool is_long;
};

constexpr std::array<request_kind, 3> kumamoto_kinds{{
    {"question", 0.80, 40, 0.4, 48, 160, 10, true, false},
    {"reading", 0.15, 90, 0.4, 96, 320, 20, true, false},
    {"sutra", 0.05, 1600, 0.3, 400, 4096, 180, false, true},
}};

constexpr std::array<request_kind, 3> cordillera_kinds{{
    {"record", 0.65, 35, 0.4, 32, 160, 10, true, false},
    {"reprint", 0.30, 200, 0.4, 160, 512, 30, false, false},
    {"volume-set", 0.05, 1500, 0.3, 320, 4096, 180, false, true},
}};

/// Prompt tokens shared by all requests: Cordillera's house style prompt.
constexpr std::uint32_t cordillera_house_tokens = 256;

/// Prompt tokens shared by the requests of one temple or series.
constexpr std::uint32_t topic_tokens = 768;

/// Temples or series. A runner's cache holds about a fifth of their prompts.
constexpr std::uint32_t topics = 64;

/// Popularity of the n-th topic falls with n to this power.
constexpr double topic_skew = 0.7;

/// Share of prompt tokens that round robin finds cached, measured on these traces; it enters the
/// work that a load is computed from.
double usual_hit_share(workload kind) {
    return kind == workload::kumamoto ? 0.35 : 0.49;
}

double normal(rng& source) {
    auto const first = std::max(next_unit(source), 1e-12);
    return std::sqrt(-2 * std::log(first)) * std::cos(2 * 3.14159265358979 * next_unit(source));
}

/// Draws an index by cumulative weights.
std::uint32_t draw(std::vector<double> const& sums, rng& source) {
    auto const at = std::upper_bound(sums.begin(), sums.end(), next_unit(source) * sums.back());
    return static_cast<std::uint32_t>(std::min(at - sums.begin(), std::ssize(sums) - 1));
}

std::vector<double> topic_sums() {
    std::vector<double> sums;
    sums.reserve(topics);
    double sum = 0;
    for (std::uint32_t topic = 0; topic < topics; ++topic) {
        sums.push_back(sum += std::pow(topic + 1, -topic_skew));
    }
    return sums;
}

/// Three large teams bring 60% of the demand.
std::vector<double> team_sums(std::uint32_t teams) {
    std::vector<double> sums;
    sums.reserve(teams);
    double sum = 0;
    for (std::uint32_t team = 0; team < teams; ++team) {
        sums.push_back(sum += team < 3 ? 0.2 : 0.4 / (teams - 3));
    }
    return sums;
}

std::array<request_kind, 3> const& kinds_of(workload kind) {
    return kind == workload::kumamoto ? kumamoto_kinds : cordillera_kinds;
}

std::uint32_t house_tokens(workload kind) {
    return kind == workload::cordillera ? cordillera_house_tokens : 0;
}

/// Mean time that one request takes of a runner whose slots are all in use.
double runner_seconds(workload kind) {
    fake_runner_settings const runner;
    auto const seconds = [](duration span) { return std::chrono::duration<double>(span).count(); };
    auto const step = seconds(runner.step_base + runner.step_per_slot * runner.slots);
    double mean = 0;
    for (auto const& each : kinds_of(kind)) {
        auto const output = each.median_output * std::exp(each.spread * each.spread / 2);
        auto const prompt = house_tokens(kind) + topic_tokens + each.own_prompt;
        mean += each.share * (output * step / runner.slots +
                              prompt * (1 - usual_hit_share(kind)) * seconds(runner.prefill_token));
    }
    return mean;
}

void fill_body(trace_request& request, request_kind const& kind, workload work, std::uint32_t topic,
               rng& source) {
    fake_runner_settings const runner;
    auto const house = house_tokens(work);
    auto const output = kind.median_output * std::exp(kind.spread * normal(source));
    request.body.prompt_tokens = house + topic_tokens + kind.own_prompt;
    request.body.output_tokens =
        static_cast<std::uint32_t>(std::clamp(output, 1.0, static_cast<double>(kind.limit)));
    auto const own_salt = next_bits(source);
    for (std::uint32_t at = 0; at + runner.block_tokens <= request.body.prompt_tokens;
         at += runner.block_tokens) {
        // A block's hash covers everything before it, so blocks differ from the first difference.
        std::uint64_t const scope = at < house                  ? 0
                                    : at < house + topic_tokens ? topic + 1
                                                                : own_salt;
        rng mixer{scope * 1'000'003 + at};
        request.body.blocks.push_back(next_bits(mixer));
    }
}

} // namespace

std::vector<trace_request> make_trace(trace_settings const& settings, std::uint64_t seed) {
    rng source{seed};
    auto const& kinds = kinds_of(settings.kind);
    auto const by_topic = topic_sums();
    auto const by_team = team_sums(settings.teams);
    std::vector<double> by_kind;
    by_kind.reserve(kinds.size());
    double sum = 0;
    for (auto const& kind : kinds) {
        by_kind.push_back(sum += kind.share);
    }
    double const rate = settings.load * settings.runners / runner_seconds(settings.kind);
    std::vector<trace_request> trace;
    double at = 0;
    auto const length = std::chrono::duration<double>(settings.length).count();
    while (true) {
        auto const present =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(at));
        bool const surging = present >= settings.surge_from && present < settings.surge_to;
        double const here = rate * (surging ? settings.surge : 1) * (1 + settings.flood);
        at += -std::log(std::max(1 - next_unit(source), 1e-12)) / here;
        if (at >= length) {
            return trace;
        }
        trace_request request;
        request.arrives =
            time_point{std::chrono::duration_cast<duration>(std::chrono::duration<double>(at))};
        request.entry = static_cast<std::uint32_t>(next_below(source, settings.entries));
        bool const flooding = next_unit(source) * (1 + settings.flood) < settings.flood;
        auto const team = draw(by_team, source);
        request.team = flooding ? 0 : team;
        auto const& kind = kinds.at(draw(by_kind, source));
        request.route = kind.route;
        request.output_limit = kind.limit;
        request.is_short = kind.is_short;
        request.is_long = kind.is_long;
        request.patience =
            settings.patient ? std::chrono::hours{1} : std::chrono::seconds{kind.patience_s};
        fill_body(request, kind, settings.kind, draw(by_topic, source), source);
        request.body.id = trace.size() + 1;
        trace.push_back(std::move(request));
    }
}

} // namespace fireflycrank
