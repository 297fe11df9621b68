#include "passmodel.h"

#include <algorithm>
#include <functional>
#include <set>
#include <vector>

namespace fireflycrank {

namespace {

// Shorter than a pass of a busy group. All streams of a group have their events within a few
// milliseconds, so an interval holds one pass.
constexpr std::chrono::milliseconds interval_length{50};
// Long enough to contain the long passes after one or two changes of demand.
constexpr std::chrono::seconds horizon{6};
// Fewer events show the delays of single streams.
constexpr std::size_t min_passes = 4;
// With fewer streams, prompts dominate a pass and hide the share of each stream.
constexpr double min_slot_share = 0.25;
// A lower limit would leave the group idle for the sake of a pause target that it cannot meet.
constexpr double min_limit_share = 0.4;
// Leaves time for the delivery of an event.
constexpr double usable_pause = 0.95;
// Longer passes have another cause than the number of streams: a failed or slow rank.
constexpr double max_pause_multiple = 2.0;
constexpr std::chrono::milliseconds recent_age{250};
// Prompts that a rank reads during a long pass at high load.
constexpr double prompts_per_pass = 1.0;
// Half a second of passes.
constexpr std::ptrdiff_t min_observations = 10;
// Two changes of demand make at least this many passes long before the expert map follows.
constexpr std::size_t peak_passes = 6;
// A single change makes at least this many passes long.
constexpr std::size_t min_peak_passes = 3;
// Passes of a change differ from the usual one by more than this part of the largest difference.
constexpr double peak_threshold = 1.0 / 3;

// The median, because lost packets delay the events of single streams.
double_milliseconds usual_pass(pass_interval const& interval) {
    return interval.passes.empty() ? double_milliseconds{0}
                                   : interval.passes[interval.passes.size() / 2];
}

// Returns how many streams lengthen one pass as much as reading one prompt does.
double prompt_in_streams(engine_traits const& engine) {
    auto const stream = engine.step_per_sequence * engine.steps_per_pass;
    if (stream <= double_milliseconds{0} || engine.read_tokens_per_second <= 0) {
        return 0;
    }
    std::chrono::duration<double> const prompt{engine.usual_prompt_tokens /
                                               engine.read_tokens_per_second};
    return prompt / stream;
}

// Number of values that belong to changes of demand, which differ in size.
std::size_t count_peak(std::vector<double_milliseconds> const& descending) {
    if (descending.empty()) {
        return 0;
    }
    auto const usual = descending[descending.size() / 2];
    auto const between = usual + peak_threshold * (descending.front() - usual);
    auto const end =
        std::find_if(descending.begin(), descending.end(),
                     [&](double_milliseconds const& value) { return value < between; });
    return static_cast<std::size_t>(end - descending.begin());
}

// Averages the largest values, because a single one may be an outlier.
// @param strict the passes of one change are enough
double_milliseconds mean_of_largest(std::vector<double_milliseconds>& values, bool strict) {
    std::sort(values.begin(), values.end(), std::greater<>{});
    auto const wanted =
        strict ? std::clamp(count_peak(values), min_peak_passes, peak_passes) : peak_passes;
    auto const count = std::min(wanted, values.size());
    double_milliseconds sum{0};
    for (std::size_t index = 0; index < count; ++index) {
        sum += values[index];
    }
    return count == 0 ? sum : sum / static_cast<double>(count);
}

bool is_usable(pass_interval const& interval, pass_requirements const& requirements,
               time_point now) {
    return interval.passes.size() >= min_passes && now - interval.begin <= horizon &&
           interval.activity.streams_per_rank >= min_slot_share * requirements.slots &&
           usual_pass(interval) < requirements.pause_target * max_pause_multiple;
}

void apply_pause_target(pass_requirements& service, double_milliseconds target) {
    bool const stricter = service.pause_target <= double_milliseconds{0} ||
                          (target > double_milliseconds{0} && target < service.pause_target);
    service.pause_target = stricter ? target : service.pause_target;
}

} // namespace

std::map<std::string, pass_requirements> pass_requirements_of(service_config const& config) {
    std::map<std::string, pass_requirements> by_service;
    for (auto const& service : config.services) {
        if (service.engine) {
            auto& requirements = by_service[service.name];
            requirements.fixed = service.engine->step * service.engine->steps_per_pass;
            requirements.slots = service.engine->slots;
            requirements.prompt_work = prompts_per_pass * prompt_in_streams(*service.engine);
            requirements.per_stream =
                service.engine->step_per_sequence * service.engine->steps_per_pass;
            requirements.grouped = service.engine->expert_sets > 0;
            requirements.expert_fraction = service.engine->expert_fraction;
            requirements.usual_passes = static_cast<double>(service.engine->usual_answer_tokens) /
                                        std::max(1U, service.engine->steps_per_pass);
        }
    }
    std::map<std::string, std::set<unsigned>> priorities; // of streaming routes, by service
    for (auto const& route : config.routes) {
        for (auto const& share : route.services) {
            auto const found = by_service.find(share.service);
            if (found != by_service.end()) {
                apply_pause_target(found->second, route.pause_target);
                if (route.kind == call_kind::stream) {
                    priorities[share.service].insert(route.priority);
                }
            }
        }
    }
    for (auto const& [service, of_routes] : priorities) {
        by_service.at(service).urgent_routes = of_routes.size() > 1;
    }
    return by_service;
}

void record_pass(pass_model& model, duration pass, group_activity const& activity, time_point now) {
    auto& intervals = model.intervals;
    if (intervals.empty() || now - intervals.back().begin >= interval_length) {
        intervals.push_back({now, {}, activity});
    }
    auto& passes = intervals.back().passes;
    double_milliseconds const length{pass};
    passes.insert(std::upper_bound(passes.begin(), passes.end(), length), length);
    while (now - intervals.front().begin > horizon) {
        intervals.pop_front();
    }
}

double_milliseconds recent_pass(pass_model const& model, time_point now) {
    for (auto interval = model.intervals.rbegin();
         interval != model.intervals.rend() && now - interval->begin <= recent_age; ++interval) {
        if (interval->passes.size() >= min_passes) {
            return usual_pass(*interval);
        }
    }
    return double_milliseconds{0};
}

bool has_observations(pass_model const& model, pass_requirements const& requirements,
                      time_point now) {
    auto const usable =
        std::count_if(model.intervals.begin(), model.intervals.end(),
                      [&](auto const& interval) { return is_usable(interval, requirements, now); });
    return usable >= min_observations;
}

double sustainable_streams(pass_model const& model, pass_requirements const& requirements,
                           double slowdown, time_point now) {
    auto const target = requirements.pause_target * usable_pause;
    if (target <= requirements.fixed * slowdown) {
        return requirements.slots;
    }
    std::vector<double_milliseconds> shares; // of a pass, for each stream on a rank
    for (auto const& interval : model.intervals) {
        auto const pass = usual_pass(interval);
        auto const& [streams, slowdown_then] = interval.activity;
        if (is_usable(interval, requirements, now)) {
            shares.push_back((pass / slowdown_then - requirements.fixed) /
                             (streams + requirements.prompt_work));
        }
    }
    auto const peak = mean_of_largest(shares, requirements.urgent_routes);
    if (peak <= double_milliseconds{0}) {
        return requirements.slots;
    }
    double const streams =
        (target / slowdown - requirements.fixed) / peak - requirements.prompt_work;
    return std::clamp(streams, min_limit_share * requirements.slots, requirements.slots);
}

} // namespace fireflycrank
