#include "promptwork.h"

#include <algorithm>
#include <limits>

namespace fireflycrank {

namespace {

// Weight of the newest prompt in the usual length: some hundred prompts are remembered.
constexpr double newest_weight = 0.01;
constexpr double pairs_per_unit = 1e6;
// A target begins to read a prompt when the pass in progress ends.
constexpr double begun_passes = 0.5;
// Callers state any length; without a declared memory this bounds what is believed.
constexpr double most_believed_tokens = 1e6;
// Of the strictest latency objective of a service's routes. The rest is for the queue, the prompt
// itself and the first pass.
constexpr double tolerated_share = 0.25;
// Keeps the sum of the reading times of many prompts within the range of a duration.
constexpr double_milliseconds max_reading_time{60'000};

// The part of the work that is left to a rank when the ranks of its group share the experts.
double own_share_of(engine_traits const& engine) {
    return engine.expert_sets > 0 ? 1.0 - engine.expert_fraction : 1.0;
}

prompt_reading reading_of(engine_traits const& engine) {
    constexpr double ms_per_second = 1'000;
    prompt_reading reading;
    reading.tokens_per_ms = engine.read_tokens_per_second / ms_per_second;
    reading.tokens_per_pass = static_cast<double>(engine.read_tokens_per_step) *
                              static_cast<double>(engine.steps_per_pass);
    reading.most_tokens =
        engine.memory_tokens > 0 ? static_cast<double>(engine.memory_tokens) : most_believed_tokens;
    reading.million_pairs = engine.read_million_pairs;
    reading.fixed_pass = engine.step * engine.steps_per_pass;
    reading.stream_pass = engine.step_per_sequence * engine.steps_per_pass;
    reading.own_share = own_share_of(engine);
    return reading;
}

void apply_objective(prompt_reading& reading, std::chrono::milliseconds objective) {
    auto const tolerated = tolerated_share * double_milliseconds{objective};
    bool const stricter = reading.tolerated_wait <= double_milliseconds{0} ||
                          (objective > objective.zero() && tolerated < reading.tolerated_wait);
    reading.tolerated_wait = stricter ? tolerated : reading.tolerated_wait;
}

// Whether the prompts of a service differ enough to be weighed.
bool is_weighed(prompt_reading const& reading) {
    if (reading.tokens_per_ms <= 0 || reading.stream_pass <= double_milliseconds{0} ||
        reading.usual_tokens <= 0) {
        return false;
    }
    double_milliseconds const longer{reading_time(reading, reading.longest_tokens, {}) -
                                     reading_time(reading, reading.usual_tokens, {})};
    return longer >= reading.tolerated_wait;
}

double_milliseconds pass_length(prompt_reading const& reading, target_activity const& activity) {
    return (reading.fixed_pass + reading.stream_pass * activity.streams) * activity.slowdown;
}

// Work for the tokens alone, without the passes that it is spread over.
double_milliseconds token_work(prompt_reading const& reading, double tokens) {
    auto const pairs = tokens * tokens / 2 / pairs_per_unit;
    return double_milliseconds{tokens / reading.tokens_per_ms} + pairs * reading.million_pairs;
}

// Time until all prompts are read.
// @param most_tokens longer prompts count as if they had this length
duration time_to_read(prompt_backlog const& backlog, prompt_reading const& reading,
                      target_activity const& activity, double most_tokens, time_point now) {
    auto const begun = std::chrono::duration_cast<duration>(
        std::min(begun_passes * pass_length(reading, activity), max_reading_time));
    time_point end{};
    for (auto const& prompt : backlog) {
        auto const tokens = std::min(static_cast<double>(prompt.tokens), most_tokens);
        // While requests wait there, the target reads more slowly than declared.
        auto const begin = prompt.sent_at < activity.waited_at ? now : prompt.sent_at + begun;
        end = std::max(end, begin) + reading_time(reading, tokens, activity);
    }
    return std::max(end - now, duration::zero());
}

} // namespace

std::map<std::string, prompt_reading>
prompt_readings_of(service_config const& config,
                   std::map<std::string, prompt_reading> const& before) {
    std::map<std::string, prompt_reading> by_service;
    for (auto const& service : config.services) {
        if (!service.engine) {
            continue;
        }
        auto& reading = by_service[service.name] = reading_of(*service.engine);
        if (auto const known = before.find(service.name); known != before.end()) {
            reading.usual_tokens = known->second.usual_tokens;
            reading.longest_tokens = known->second.longest_tokens;
        }
    }
    for (auto const& route : config.routes) {
        for (auto const& share : route.services) {
            if (auto const found = by_service.find(share.service); found != by_service.end()) {
                apply_objective(found->second, route.target_latency);
            }
        }
    }
    return by_service;
}

void record_prompt(std::map<std::string, prompt_reading>& readings, std::string const& service,
                   unsigned tokens) {
    auto const found = readings.find(service);
    if (found == readings.end() || tokens == 0) {
        return;
    }
    auto& usual = found->second.usual_tokens;
    double const length = std::min<double>(tokens, found->second.most_tokens);
    usual += (usual > 0 ? newest_weight : 1.0) * (length - usual);
    auto& longest = found->second.longest_tokens;
    longest = std::max(length, longest - newest_weight * (longest - usual));
}

prompt_reading const* find_reading(std::map<std::string, prompt_reading> const& readings,
                                   std::string const& service) {
    auto const found = readings.find(service);
    return found == readings.end() ? nullptr : &found->second;
}

duration reading_time(prompt_reading const& reading, double tokens,
                      target_activity const& activity) {
    double const read = std::min(tokens, reading.most_tokens);
    double const passes = reading.tokens_per_pass > 0 ? read / reading.tokens_per_pass : 0.0;
    auto const time =
        token_work(reading, read) * activity.slowdown + passes * pass_length(reading, activity);
    return std::chrono::duration_cast<duration>(std::min(time, max_reading_time));
}

void add_prompt(prompt_backlog& backlog, sent_prompt const& prompt) {
    if (prompt.tokens > 0) {
        backlog.push_back(prompt);
    }
}

void remove_prompt(prompt_backlog& backlog, sent_prompt const& prompt) {
    auto const found = std::find_if(backlog.begin(), backlog.end(), [&](sent_prompt const& sent) {
        return sent.tokens == prompt.tokens && sent.sent_at == prompt.sent_at;
    });
    if (found != backlog.end()) {
        backlog.erase(found);
    }
}

duration excess_wait(prompt_backlog const& backlog, prompt_reading const& reading,
                     target_activity const& activity, time_point now) {
    bool const has_long =
        is_weighed(reading) &&
        std::any_of(backlog.begin(), backlog.end(), [&](sent_prompt const& prompt) {
            return prompt.tokens > reading.usual_tokens;
        });
    if (!has_long) {
        return duration::zero();
    }
    auto const longest = std::numeric_limits<double>::infinity();
    return time_to_read(backlog, reading, activity, longest, now) -
           time_to_read(backlog, reading, activity, reading.usual_tokens, now);
}

double weighed_load(double load, double room, duration excess, prompt_reading const& reading) {
    if (excess <= duration::zero() || load >= room) {
        return load;
    }
    // Stays apart from a target without room by more than choose_target() takes for equal.
    constexpr double distance = 1.0;
    double const streams = double_milliseconds{excess} / reading.stream_pass;
    return std::max(load, std::min(load + streams, room - distance));
}

prompt_excess excess_of(prompt_reading const* reading, unsigned tokens) {
    if (reading == nullptr || !is_weighed(*reading) || tokens <= reading->usual_tokens) {
        return {};
    }
    double const usual = reading->usual_tokens;
    double const most = reading->tokens_per_pass > 0 ? reading->tokens_per_pass : tokens;
    double const more_in_pass = std::min<double>(tokens, most) - std::min(usual, most);
    target_activity const idle{};
    return {reading->own_share * double_milliseconds{more_in_pass / reading->tokens_per_ms},
            double_milliseconds{reading_time(*reading, tokens, idle) -
                                reading_time(*reading, usual, idle)}};
}

} // namespace fireflycrank
