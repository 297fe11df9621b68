#include "targetchoice.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// Part of a target's slots that streams fill while nobody is short of time. A pass takes longer
// with each running stream, and with fewer of them a change in the demand for experts does not
// lengthen it over the pause that callers accept.
constexpr double easy_share = 0.75;
// Requests that a target may have beyond its slots for callers that are short of time: the next one
// is there when a slot becomes free.
constexpr double room_beyond_slots = 1.0;
constexpr std::chrono::milliseconds short_of_time{40};

bool contains(std::vector<std::string> const& ids, std::string const& id) {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool passes(target_filter const& filter, std::string const& id) {
    return !contains(filter.excluded, id) && (filter.only.empty() || contains(filter.only, id));
}

// All ranks of a group wait for the slowest one.
std::map<std::string, double> group_paces(std::map<std::string, target_view> const& targets) {
    std::map<std::string, double> paces;
    for (auto const& [id, view] : targets) {
        if (view.group && view.load) {
            auto& slowdown = paces[view.group->name];
            slowdown = std::max(slowdown, view.load->slowdown);
        }
    }
    return paces;
}

// Lower is better. Where targets work in groups, one whose group is unknown is avoided.
enum class doubt_level : std::uint8_t { none, suspect, avoided, silent };

doubt_level doubt(target_view const& view, bool in_groups, choice_settings const& settings,
                  time_point now) {
    bool const closed_lately =
        view.group && !view.group->open && now - view.group->reported_at < settings.report_ttl;
    bool const group_closed = view.group ? closed_lately : in_groups;
    if (now - view.last_heard > settings.silent_after || !view.responsive) {
        return doubt_level::silent;
    }
    if (now < view.backoff_until || group_closed) {
        return doubt_level::avoided;
    }
    return now < view.suspect_until ? doubt_level::suspect : doubt_level::none;
}

bool is_followed(target_filter const& filter, std::string const& id) {
    return filter.subset == nullptr || filter.subset->empty() ||
           std::binary_search(filter.subset->begin(), filter.subset->end(), id);
}

struct scored_target {
    target_view const* view{nullptr};
    doubt_level doubt{doubt_level::none};
    bool followed{true};
    double load{0};
    double cost{0};
};

// The order of preference apart from the cost.
int rank_of(scored_target const& one) {
    return 2 * static_cast<int>(one.doubt) + (one.followed ? 0 : 1);
}

} // namespace

double estimated_load(target_view const& view, choice_settings const& settings, time_point now) {
    auto const own = static_cast<double>(view.own_in_flight);
    if (!view.load || now - view.load->sampled_at > settings.report_ttl) {
        return own;
    }
    auto const reported = static_cast<double>(view.load->running + view.load->waiting);
    return std::max(own, reported + own - static_cast<double>(view.load->own_at_sample));
}

target_choice choose_target(std::map<std::string, target_view> const& targets,
                            std::string const& service, std::string const& zone,
                            target_filter const& filter, choice_settings const& settings,
                            rng& random, time_point now) {
    std::vector<scored_target> scored;
    auto const paces = group_paces(targets);
    bool const in_groups = std::any_of(targets.begin(), targets.end(), [&](auto const& entry) {
        return entry.second.announcement.service == service && entry.second.group;
    });
    for (auto const& [id, view] : targets) {
        if (view.announcement.service != service ||
            view.announcement.state != target_state::ready || !passes(filter, id)) {
            continue;
        }
        scored_target one{&view, doubt(view, in_groups, settings, now), is_followed(filter, id),
                          estimated_load(view, settings, now), 0};
        auto const slots = std::max(1.0, static_cast<double>(view.announcement.slots));
        auto const found = view.group ? paces.find(view.group->name) : paces.end();
        auto const own_pace = view.load ? view.load->slowdown : 1.0;
        auto const slowdown = std::max(1.0, found == paces.end() ? own_pace : found->second);
        auto const farther = view.announcement.zone == zone ? 0.0 : settings.cross_zone_penalty;
        one.cost = ((one.load + 1.0) * slowdown + farther) / slots;
        scored.push_back(one);
    }
    target_choice choice;
    choice.candidates = static_cast<unsigned>(scored.size());
    if (scored.empty()) {
        return choice;
    }
    auto const best = std::min_element(
        scored.begin(), scored.end(), [](scored_target const& left, scored_target const& right) {
            auto const left_rank = rank_of(left);
            auto const right_rank = rank_of(right);
            return left_rank != right_rank ? left_rank < right_rank : left.cost < right.cost;
        });
    auto const slots = std::max(1.0, static_cast<double>(best->view->announcement.slots));
    auto const bound = best->cost + settings.tie_margin / slots;
    std::vector<scored_target const*> equal;
    for (auto const& one : scored) {
        if (rank_of(one) == rank_of(*best) && one.cost <= bound) {
            equal.push_back(&one);
        }
    }
    auto const& chosen = *equal[next_below(random, equal.size())];
    choice.id = chosen.view->announcement.id;
    choice.load = chosen.load;
    choice.healthy = chosen.doubt <= doubt_level::suspect;
    choice.suspect = chosen.doubt == doubt_level::suspect;
    choice.slots = chosen.view->announcement.slots;
    choice.report_age = chosen.view->load ? now - chosen.view->load->sampled_at : duration{-1};
    return choice;
}

bool has_capacity(target_choice const& choice, slot_request const& need) {
    // A plain service sheds what is too much at once; a stream would wait there behind others.
    if (!choice.healthy || !need.stream || choice.slots == 0) {
        return choice.healthy;
    }
    auto const slots = static_cast<double>(choice.slots);
    bool const late = need.slack <= duration::zero();
    if (need.resumed || (!late && need.slack < short_of_time)) {
        return choice.load < slots + room_beyond_slots;
    }
    return choice.load < (late ? slots : slots * easy_share);
}

void mark_group_closed(std::map<std::string, target_view>& targets, std::string const& of,
                       time_point now) {
    auto const found = targets.find(of);
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
    constexpr unsigned most_doublings = 6;
    auto const pause =
        settings.initial_backoff * (1U << std::min(view.consecutive_failures, most_doublings));
    ++view.consecutive_failures;
    view.backoff_until = now + std::min(pause, settings.max_backoff);
}

void record_error_response(target_view& view, choice_settings const& settings, time_point now) {
    constexpr unsigned most_doublings = 6;
    auto const pause =
        settings.initial_suspicion * (1U << std::min(view.consecutive_errors, most_doublings));
    ++view.consecutive_errors;
    view.suspect_until = now + std::min(pause, settings.max_suspicion);
    // It answers, so it is not down.
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
