#include "targetchoice.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// Share of a target's slots that streams may fill while no request is urgent or late. A forward
// pass takes longer with each running stream; this leaves room for a change in the demand for
// experts to lengthen the pass without exceeding the pause between events that callers accept.
constexpr double unhurried_slot_share = 0.75;
// Requests that an urgent or resumed stream may add beyond a target's slots, so that the next one
// is already waiting there when a slot becomes free.
constexpr double max_extra_requests = 1.0;
constexpr std::chrono::milliseconds urgent_slack{40};

// Part of its slots by which a cold target counts as filled. It is slow and its number of requests
// says little, so warm targets are preferred until they are filled as much.
constexpr double cold_fill = 0.5;

bool contains(std::vector<std::string> const& ids, std::string const& id) {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool allows(target_filter const& filter, std::string const& id) {
    return !contains(filter.excluded, id) && (filter.only.empty() || contains(filter.only, id));
}

// Slowdown of each group: all its ranks wait for the slowest one.
std::map<std::string, double> group_slowdowns(std::map<std::string, target_view> const& targets) {
    std::map<std::string, double> slowdowns;
    for (auto const& [id, view] : targets) {
        if (view.group && view.load) {
            auto& slowdown = slowdowns[view.group->name];
            slowdown = std::max(slowdown, view.load->slowdown);
        }
    }
    return slowdowns;
}

// If any target of the service has a group, one without a known group counts as backing off.
health_level health(target_view const& view, bool service_has_groups,
                    choice_settings const& settings, time_point now) {
    bool const recently_closed =
        view.group && !view.group->open && now - view.group->reported_at < settings.report_ttl;
    bool const group_closed = view.group ? recently_closed : service_has_groups;
    if (now - view.last_heard > settings.silent_after || !view.responsive) {
        return health_level::silent;
    }
    if (now < view.backoff_until || group_closed) {
        return health_level::backing_off;
    }
    if (is_quiet(view, settings, now)) {
        return health_level::quiet;
    }
    return now < view.suspect_until ? health_level::suspect : health_level::healthy;
}

bool is_in_subset(target_filter const& filter, std::string const& id) {
    return filter.subset == nullptr || filter.subset->empty() ||
           std::binary_search(filter.subset->begin(), filter.subset->end(), id);
}

// Load by which a target is compared with others, the prompts included that it still has to read.
double compared_load(target_view const& view, double load, double slowdown,
                     target_filter const& filter, choice_settings const& settings, time_point now) {
    if (filter.reading == nullptr || view.prompts.empty()) {
        return load;
    }
    bool const waits =
        view.load && view.load->waiting > 0 && now - view.load->sampled_at <= settings.report_ttl;
    target_activity const activity{load, slowdown, waits ? view.load->sampled_at : time_point{}};
    auto const excess = excess_wait(view.prompts, *filter.reading, activity, now);
    auto const room = unhurried_slot_share * static_cast<double>(view.announcement.slots);
    return weighed_load(load, room, excess, *filter.reading);
}

// Preference before the cost is compared; lower is better.
int preference_rank(rated_target const& candidate) {
    return 4 * static_cast<int>(candidate.health) + (candidate.group_full ? 2 : 0) +
           (candidate.in_subset ? 0 : 1);
}

target_exclusion judge_exclusion(target_view const& view, std::string const& id,
                                 target_filter const& filter, time_point now) {
    if (view.announcement.state != target_phase::ready || view.leaving) {
        return target_exclusion::not_ready;
    }
    if (!allows(filter, id)) {
        return target_exclusion::tried;
    }
    auto const denial = filter.access == nullptr
                            ? access_denial::none
                            : judge_access(*filter.access, view.announcement.zone);
    if (denial != access_denial::none) {
        return denial == access_denial::evacuated_zone ? target_exclusion::evacuated_zone
                                                       : target_exclusion::foreign_region;
    }
    if (now < view.pauses_until) {
        return target_exclusion::paused;
    }
    return may_send(view.cold, now) ? target_exclusion::none : target_exclusion::cold;
}

void count_exclusion(target_choice& choice, cold_shortage& left_out, rated_target const& target) {
    switch (target.exclusion) {
    case target_exclusion::evacuated_zone:
        count_denial(choice.denied, access_denial::evacuated_zone);
        return;
    case target_exclusion::foreign_region:
        count_denial(choice.denied, access_denial::foreign_region);
        return;
    case target_exclusion::paused:
        ++choice.paused;
        return;
    case target_exclusion::cold:
        if (target.health <= health_level::quiet) {
            add_shortage(left_out, target.view->cold);
        }
        return;
    default:
        return;
    }
}

} // namespace

std::string ungrouped_name(std::string const& service) {
    return service + " (group unknown)";
}

double estimated_load(target_view const& view, choice_settings const& settings, time_point now) {
    auto const own_requests = static_cast<double>(view.own_in_flight);
    if (!view.load || now - view.load->sampled_at > settings.report_ttl) {
        return own_requests;
    }
    auto const reported = static_cast<double>(view.load->running + view.load->waiting);
    return std::max(own_requests,
                    reported + own_requests - static_cast<double>(view.load->own_at_sample));
}

std::vector<rated_target> rate_targets(std::map<std::string, target_view> const& targets,
                                       std::string const& service, std::string const& zone,
                                       target_filter const& filter, choice_settings const& settings,
                                       time_point now) {
    std::vector<rated_target> rated;
    auto const slowdowns = group_slowdowns(targets);
    bool const service_has_groups =
        std::any_of(targets.begin(), targets.end(), [&](auto const& entry) {
            return entry.second.announcement.service == service && entry.second.group;
        });
    auto const ungrouped = filter.full_groups.empty() ? std::string{} : ungrouped_name(service);
    bool const ungrouped_full = contains(filter.full_groups, ungrouped);
    for (auto const& [id, view] : targets) {
        if (view.announcement.service != service) {
            continue;
        }
        rated_target target;
        target.view = &view;
        target.health = health(view, service_has_groups, settings, now);
        target.exclusion = judge_exclusion(view, id, filter, now);
        if (target.exclusion != target_exclusion::none) {
            rated.push_back(target);
            continue;
        }
        // The part of a cold target spreads the gateways already.
        target.in_subset = is_limited(view.cold, now) || is_in_subset(filter, id);
        target.group_full =
            view.group ? contains(filter.full_groups, view.group->name) : ungrouped_full;
        target.load = estimated_load(view, settings, now);
        auto const slots = std::max(1.0, static_cast<double>(view.announcement.slots));
        auto const found = view.group ? slowdowns.find(view.group->name) : slowdowns.end();
        auto const own_slowdown = view.load ? view.load->slowdown : 1.0;
        auto const slowdown =
            std::max(1.0, found == slowdowns.end() ? own_slowdown : found->second);
        auto const zone_penalty =
            view.announcement.zone == zone ? 0.0 : settings.cross_zone_penalty;
        auto const fill = is_cold(view.cold, now) ? cold_fill * slots : 0.0;
        auto const load = compared_load(view, target.load, slowdown, filter, settings, now);
        // All ranks of a group wait for the slowest one, which takes longer with each request of
        // its own.
        double const own_delay = filter.weigh_pace && view.group ? own_slowdown : 1.0;
        target.cost = ((load + fill + 1.0) * slowdown * own_delay + zone_penalty) / slots;
        rated.push_back(target);
    }
    return rated;
}

target_choice choose_target(std::map<std::string, target_view> const& targets,
                            std::string const& service, std::string const& zone,
                            target_filter const& filter, choice_settings const& settings,
                            rng& random, time_point now) {
    target_choice choice;
    cold_shortage left_out;
    std::vector<rated_target> candidates;
    for (auto const& target : rate_targets(targets, service, zone, filter, settings, now)) {
        if (target.exclusion == target_exclusion::none) {
            candidates.push_back(target);
        } else {
            count_exclusion(choice, left_out, target);
        }
    }
    choice.candidates = static_cast<unsigned>(candidates.size());
    if (candidates.empty()) {
        choice.cold_left_out = left_out;
        return choice;
    }
    auto const best = std::min_element(candidates.begin(), candidates.end(),
                                       [](rated_target const& left, rated_target const& right) {
                                           auto const left_rank = preference_rank(left);
                                           auto const right_rank = preference_rank(right);
                                           return left_rank != right_rank ? left_rank < right_rank
                                                                          : left.cost < right.cost;
                                       });
    auto const slots = std::max(1.0, static_cast<double>(best->view->announcement.slots));
    auto const max_cost = best->cost + settings.tie_margin / slots;
    std::vector<rated_target const*> tied;
    for (auto const& candidate : candidates) {
        if (preference_rank(candidate) == preference_rank(*best) && candidate.cost <= max_cost) {
            tied.push_back(&candidate);
        }
    }
    auto const& chosen = *tied[next_below(random, tied.size())];
    choice.id = chosen.view->announcement.id;
    choice.load = chosen.load;
    choice.healthy = chosen.health <= health_level::quiet;
    choice.cold_left_out = choice.healthy ? cold_shortage{} : left_out;
    choice.suspect = chosen.health == health_level::suspect;
    choice.quiet = chosen.health == health_level::quiet;
    choice.slots = chosen.view->announcement.slots;
    auto const ungrouped = filter.full_groups.empty() ? std::string{} : ungrouped_name(service);
    choice.group = chosen.view->group ? chosen.view->group->name : ungrouped;
    choice.group_full = chosen.group_full;
    choice.cold = is_cold(chosen.view->cold, now);
    choice.report_age = chosen.view->load ? now - chosen.view->load->sampled_at : duration{-1};
    return choice;
}

bool is_barred(target_choice const& choice) {
    return choice.candidates == 0 && choice.paused == 0 && choice.cold_left_out.targets == 0 &&
           main_denial(choice.denied) != access_denial::none;
}

bool is_quiet(target_view const& view, choice_settings const& settings, time_point now) {
    bool const asked = view.own_in_flight > 0 || now < view.quiet_until;
    return asked && view.heard_at &&
           now - std::max(*view.heard_at, view.answered_at) > settings.quiet_after;
}

void record_report(target_view& view, time_point now) {
    view.heard_at = now;
    view.quiet_until = {};
    view.cold.doubted_until = {};
}

void release_run(target_view& view, choice_settings const& settings, time_point now) {
    if (is_quiet(view, settings, now)) {
        view.quiet_until = now + settings.quiet_retry;
    }
    view.own_in_flight -= view.own_in_flight > 0 ? 1 : 0;
}

bool has_capacity(target_choice const& choice, slot_request const& request) {
    // A plain service rejects excess requests at once, so they need not wait at the gateway. A
    // stream would wait at the target behind other requests.
    if (!choice.healthy || !request.stream || choice.slots == 0) {
        return choice.healthy;
    }
    if (choice.group_full) {
        return false;
    }
    auto const slots = static_cast<double>(choice.slots);
    bool const overdue = request.slack <= duration::zero();
    if (request.resumed || (!overdue && request.slack < urgent_slack)) {
        return choice.load < slots + max_extra_requests;
    }
    return choice.load < (overdue || !request.reserve ? slots : slots * unhurried_slot_share);
}

void mark_group_closed(std::map<std::string, target_view>& targets, std::string const& member_id,
                       time_point now) {
    auto const found = targets.find(member_id);
    if (found == targets.end() || !found->second.group) {
        return;
    }
    auto const name = found->second.group->name;
    for (auto& [id, view] : targets) {
        if (view.group && view.group->name == name) {
            view.group->open = false;
            view.group->reported_at = now;
        }
    }
}

void record_failure(target_view& view, choice_settings const& settings, time_point now) {
    constexpr unsigned max_doublings = 6;
    auto const interval =
        settings.initial_backoff * (1U << std::min(view.consecutive_failures, max_doublings));
    ++view.consecutive_failures;
    view.backoff_until = now + std::min(interval, settings.max_backoff);
    record_doubt(view.cold, {}, now);
}

void record_pause(target_view& view, duration pause, time_point now) {
    view.pauses_until = std::max(view.pauses_until, now + pause);
}

void record_error_response(target_view& view, choice_settings const& settings, time_point now) {
    constexpr unsigned max_doublings = 6;
    auto const interval =
        settings.initial_suspicion * (1U << std::min(view.consecutive_errors, max_doublings));
    ++view.consecutive_errors;
    view.suspect_until = now + std::min(interval, settings.max_suspicion);
    // It responded, so it is not unreachable.
    view.consecutive_failures = 0;
    view.backoff_until = {};
}

void record_success(target_view& view) {
    view.consecutive_failures = 0;
    view.backoff_until = {};
    view.consecutive_errors = 0;
    view.suspect_until = {};
}

} // namespace fireflycrank
