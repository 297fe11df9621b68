#include "route.h"

#include "drain.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace fireflycrank {

namespace {

/// Unreported dispatches kept per target. Beyond it the oldest is dropped, since it is the one most
/// likely included in the last report.
constexpr std::size_t max_unreported_dispatches = 256;

/// Random draws per wanted sample before the search falls back to a scan.
constexpr std::uint32_t draws_per_sample = 3;

double seconds(duration span) {
    return std::chrono::duration<double>(span).count();
}

double speed_of(route_table const& table, target_state const& state) {
    return state.load.tokens_per_second > 0 ? state.load.tokens_per_second
                                            : table.settings.default_tokens_per_second;
}

/// The names under which a target is found: one that serves "name@version" also serves "name".
std::vector<std::string> served_names_of(target_info const& info) {
    std::vector<std::string> names;
    for (auto const& served : info.serves) {
        names.push_back(served);
        auto const index = served.find('@');
        if (index != std::string::npos) {
            names.push_back(served.substr(0, index));
        }
    }
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

/// Adds (sign 1) or subtracts (sign -1) a target's report in the sums of its groups.
void add_to_sums(route_table& table, target_state const& state, int sign) {
    if (!state.has_report) {
        return;
    }
    for (auto const& name : state.served_names) {
        auto& group = table.groups[name];
        group.short_sum_us += sign * state.short_wait_us;
        group.long_sum_us += sign * state.long_wait_us;
        group.queued_sum_us += sign * state.queued_us;
        group.report_count += static_cast<std::uint32_t>(sign);
    }
}

void remove_from_groups(route_table& table, target_index target) {
    add_to_sums(table, table.targets[target], -1);
    for (auto const& name : table.targets[target].served_names) {
        auto& members = table.groups[name].members;
        std::erase(members, target);
        if (members.empty()) {
            table.groups.erase(name);
        }
    }
}

void add_to_groups(route_table& table, target_index target) {
    for (auto const& name : table.targets[target].served_names) {
        table.groups[name].members.push_back(target);
    }
    add_to_sums(table, table.targets[target], 1);
}

void reset_load(target_state& state) {
    state.has_report = false;
    state.load = {};
    state.unreported.clear();
    state.unreported_short_work = 0;
    state.unreported_long_work = 0;
}

double mean_seconds(serving_group const& group, std::int64_t sum_us) {
    return group.report_count == 0 ? 0
                                   : static_cast<double>(sum_us) / group.report_count / 1'000'000.0;
}

std::int64_t to_us(double work, double speed) {
    return std::llround(work / speed * 1'000'000.0);
}

/// Work that has not started. For targets that do not report it by class it is estimated from the
/// fraction of requests that are queued.
double waiting_work(target_load const& load) {
    auto const by_class = load.waiting_short + load.waiting_long;
    auto const requests = load.queued + load.running;
    return by_class > 0 || requests == 0 ? by_class : load.queued_work * load.queued / requests;
}

/// Adds (sign 1) or subtracts (sign -1) a dispatch in the sum of its class.
void add_unreported(target_state& state, unreported_dispatch const& sent, int sign) {
    (sent.is_long ? state.unreported_long_work : state.unreported_short_work) += sign * sent.work;
}

void drop_oldest_unreported(target_state& state) {
    add_unreported(state, state.unreported.front(), -1);
    state.unreported.pop_front();
    if (state.unreported.empty()) {
        state.unreported_short_work = 0; // Clears accumulated rounding errors.
        state.unreported_long_work = 0;
    }
}

/// Expected wait for a slot by the last report, weighted down with the report's age. Running work
/// does not count, and short requests do not wait for long ones.
duration expected_wait(route_table const& table, route_request const& request,
                       target_state const& state, time_point now) {
    if (!state.has_report || state.load.queued == 0) {
        return duration::zero();
    }
    auto const by_class = state.load.waiting_short + state.load.waiting_long;
    auto const ahead =
        by_class > 0 && !request.is_long ? state.load.waiting_short : waiting_work(state.load);
    auto const age = std::max(seconds(now - state.reported_at), 0.0);
    auto const report_weight = std::exp(-age / seconds(table.settings.report_decay));
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(report_weight * ahead / speed_of(table, state)));
}

bool contains(std::vector<target_index> const& list, target_index target) {
    return std::find(list.begin(), list.end(), target) != list.end();
}

/// Candidates of one decision, each once.
struct candidate_set {
    std::array<target_index, max_candidates> targets{};
    std::size_t count{0};
};

bool add_candidate(candidate_set& set, route_table const& table, route_request const& request,
                   target_index target) {
    auto const* const begin = set.targets.data();
    auto const* const end = begin + set.count;
    if (set.count == max_candidates || !is_eligible(table, target) ||
        contains(request.excluded_targets, target) || std::find(begin, end, target) != end) {
        return false;
    }
    set.targets[set.count++] = target;
    return true;
}

/// Draws random members. When too few draws are eligible, it scans all members from a random start,
/// so that a single eligible target among many others is always found.
candidate_set sample(route_table const& table, serving_group const& group,
                     route_request const& request, rng& source) {
    candidate_set set;
    auto const size = group.members.size();
    auto const wanted = std::min<std::size_t>(
        {std::max(table.settings.sample_count, 1U), max_candidates - 2, size});
    if (size > wanted) {
        for (std::size_t draw = 0; draw < wanted * draws_per_sample && set.count < wanted; ++draw) {
            add_candidate(set, table, request, group.members[next_below(source, size)]);
        }
    }
    auto const first = next_below(source, size);
    for (std::size_t step = 0; step < size && set.count < wanted; ++step) {
        add_candidate(set, table, request, group.members[(first + step) % size]);
    }
    return set;
}

/// Adds up to two targets that have a prefix of the prompt cached and serve the requested name.
void add_prefix_candidates(candidate_set& set, route_table const& table,
                           route_request const& request) {
    std::size_t added = 0;
    for (auto const& match : request.prefix_matches) {
        if (added == 2) {
            return;
        }
        if (match.target >= table.targets.size()) {
            continue;
        }
        auto const& names = table.targets[match.target].served_names;
        if (std::find(names.begin(), names.end(), request.serves) != names.end() &&
            add_candidate(set, table, request, match.target)) {
            ++added;
        }
    }
}

} // namespace

target_index find_target(route_table const& table, std::string_view name) {
    auto const found = table.by_name.find(std::string{name});
    return found == table.by_name.end() ? no_target : found->second;
}

target_index upsert_target(route_table& table, target_info const& info, time_point now) {
    auto target = find_target(table, info.name);
    bool const known = target != no_target;
    if (!known) {
        if (table.free_indices.empty()) {
            target = static_cast<target_index>(table.targets.size());
            table.targets.emplace_back();
        } else {
            target = table.free_indices.back();
            table.free_indices.pop_back();
        }
        table.by_name[info.name] = target;
        table.targets[target] = {};
        table.targets[target].in_use = true;
    }
    auto& state = table.targets[target];
    if (known && info.incarnation < state.info.incarnation) {
        return target;
    }
    bool const same = known && info.incarnation == state.info.incarnation;
    bool const leaving = info.leaving || (same && state.info.leaving);
    remove_from_groups(table, target);
    if (known && !same) {
        reset_load(state);
        state.suspected = false;
        start_warm_up(table, target, now);
    }
    state.info = info;
    state.info.leaving = leaving;
    state.served_names = served_names_of(info);
    add_to_groups(table, target);
    return target;
}

void start_warm_up(route_table& table, target_index target, time_point now) {
    table.targets.at(target).warming_up = true;
    table.targets.at(target).warm_up_started_at = now;
}

bool erase_target(route_table& table, std::string_view name) {
    auto const target = find_target(table, name);
    if (target == no_target) {
        return false;
    }
    remove_from_groups(table, target);
    table.by_name.erase(std::string{name});
    table.targets[target] = {};
    table.free_indices.push_back(target);
    return true;
}

void mark_leaving(route_table& table, target_index target) {
    table.targets.at(target).info.leaving = true;
}

void mark_suspected(route_table& table, target_index target, bool suspected) {
    table.targets.at(target).suspected = suspected;
}

bool record_load_report(route_table& table, target_index target, std::uint64_t incarnation,
                        target_load const& load, time_point measured_at) {
    if (target >= table.targets.size() || !table.targets[target].in_use) {
        return false;
    }
    auto& state = table.targets[target];
    if (state.info.incarnation != incarnation ||
        (state.has_report && measured_at < state.reported_at)) {
        return false;
    }
    add_to_sums(table, state, -1);
    state.load = load;
    state.has_report = true;
    state.reported_at = measured_at;
    auto const speed = speed_of(table, state);
    auto const background = load.queued_work - load.waiting_short;
    state.short_wait_us =
        to_us(load.waiting_short + table.settings.background_weight * background, speed);
    state.long_wait_us = to_us(load.queued_work, speed);
    state.queued_us = to_us(waiting_work(load), speed);
    add_to_sums(table, state, 1);
    while (!state.unreported.empty() && state.unreported.front().sent_at < measured_at) {
        drop_oldest_unreported(state);
    }
    return true;
}

void record_dispatch(route_table& table, target_index target, std::uint64_t attempt, double work,
                     bool is_long, time_point now) {
    auto& state = table.targets.at(target);
    if (state.unreported.size() == max_unreported_dispatches) {
        drop_oldest_unreported(state);
    }
    state.unreported.push_back({attempt, now, work, is_long});
    add_unreported(state, state.unreported.back(), 1);
}

void remove_dispatch(route_table& table, target_index target, std::uint64_t attempt) {
    auto& state = table.targets.at(target);
    auto const found = std::find_if(state.unreported.begin(), state.unreported.end(),
                                    [&](auto const& sent) { return sent.attempt == attempt; });
    if (found != state.unreported.end()) {
        add_unreported(state, *found, -1);
        state.unreported.erase(found);
    }
}

bool is_eligible(route_table const& table, target_index target) {
    if (target >= table.targets.size()) {
        return false;
    }
    auto const& state = table.targets[target];
    return state.in_use && !state.info.leaving;
}

route_candidate score_target(route_table const& table, serving_group const& group,
                             route_request const& request, target_index target, time_point now) {
    auto const& settings = table.settings;
    auto const& state = table.targets[target];
    auto const speed = speed_of(table, state);
    auto const mean = mean_seconds(group, request.is_long ? group.long_sum_us : group.short_sum_us);
    auto const reported_us = request.is_long ? state.long_wait_us : state.short_wait_us;
    route_candidate scored{.target = target};
    double const report_weight = state.has_report
                                     ? std::exp(-std::max(seconds(now - state.reported_at), 0.0) /
                                                seconds(settings.report_decay))
                                     : 0;
    scored.queue =
        report_weight * static_cast<double>(reported_us) / 1'000'000.0 + (1 - report_weight) * mean;
    auto const unreported_long_work =
        state.unreported_long_work * (request.is_long ? 1 : settings.background_weight);
    scored.unreported = std::max(state.unreported_short_work + unreported_long_work, 0.0) / speed;
    if (state.warming_up) {
        auto const share = warm_share(now - state.warm_up_started_at, settings.warm_up_period,
                                      settings.warm_up_floor);
        scored.warm_up =
            (request.work / speed + scored.queue + scored.unreported) * (1 / share - 1);
    }
    scored.zone = state.info.zone == table.own_zone ? 0 : seconds(settings.zone_cost);
    if (!request.adapter.empty() &&
        std::find(state.info.adapters.begin(), state.info.adapters.end(), request.adapter) ==
            state.info.adapters.end()) {
        scored.adapter = seconds(settings.adapter_cost);
    }
    scored.suspicion = state.suspected ? seconds(settings.suspicion_cost) : 0;
    for (auto const& match : request.prefix_matches) {
        if (match.target == target) {
            scored.over_load_bound =
                scored.queue + scored.unreported >
                settings.load_bound_factor * mean + seconds(settings.load_bound_slack);
            scored.prefix = scored.over_load_bound ? 0
                                                   : -static_cast<double>(match.tokens) /
                                                         settings.prefill_tokens_per_second;
            break;
        }
    }
    scored.total = scored.queue + scored.unreported + scored.warm_up + scored.zone +
                   scored.adapter + scored.suspicion + scored.prefix;
    return scored;
}

duration mean_queue_wait(route_table const& table, std::string const& serves) {
    auto const found = table.groups.find(serves);
    if (found == table.groups.end()) {
        return duration::zero();
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(mean_seconds(found->second, found->second.queued_sum_us)));
}

route_decision choose_target(route_table const& table, route_request const& request, rng& source,
                             time_point now) {
    route_decision decision;
    auto const found = table.groups.find(request.serves);
    if (found == table.groups.end()) {
        decision.reason = route_reason::unknown_name;
        return decision;
    }
    auto set = sample(table, found->second, request, source);
    add_prefix_candidates(set, table, request);
    if (set.count == 0) {
        return decision;
    }
    std::size_t best = 0;
    std::size_t best_without_prefix = 0;
    auto& scored = decision.candidates;
    for (std::size_t index = 0; index < set.count; ++index) {
        scored[index] = score_target(table, found->second, request, set.targets[index], now);
        best = scored[index].total < scored[best].total ? index : best;
        auto const cost_without_prefix = [&](std::size_t i) {
            return scored[i].total - scored[i].prefix;
        };
        best_without_prefix = cost_without_prefix(index) < cost_without_prefix(best_without_prefix)
                                  ? index
                                  : best_without_prefix;
    }
    decision.candidate_count = set.count;
    decision.target = scored[best].target;
    decision.expected_wait = expected_wait(table, request, table.targets[decision.target], now);
    if (set.count == 1) {
        decision.reason = route_reason::only_candidate;
    } else {
        decision.reason =
            best == best_without_prefix ? route_reason::least_cost : route_reason::cached_prefix;
    }
    return decision;
}

char const* name_of(route_reason reason) {
    switch (reason) {
    case route_reason::least_cost:
        return "least_cost";
    case route_reason::cached_prefix:
        return "cached_prefix";
    case route_reason::only_candidate:
        return "only_candidate";
    case route_reason::unknown_name:
        return "unknown_name";
    case route_reason::none_eligible:
        return "none_eligible";
    }
    return "none_eligible";
}

std::string describe(route_table const& table, route_decision const& decision) {
    auto const name = [&](target_index target) {
        return target < table.targets.size() ? table.targets[target].info.name
                                             : std::string{"none"};
    };
    std::ostringstream line;
    line << std::fixed << std::setprecision(3) << "target=" << name(decision.target)
         << " reason=" << name_of(decision.reason);
    for (std::size_t index = 0; index < decision.candidate_count; ++index) {
        auto const& scored = decision.candidates[index];
        line << " [" << name(scored.target) << " total=" << scored.total
             << " queue=" << scored.queue << " own=" << scored.unreported
             << " warm_up=" << scored.warm_up << " zone=" << scored.zone
             << " adapter=" << scored.adapter << " suspicion=" << scored.suspicion
             << " prefix=" << scored.prefix << (scored.over_load_bound ? " bounded]" : "]");
    }
    return line.str();
}

} // namespace fireflycrank
