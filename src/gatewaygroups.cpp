#include "coldtargets.h"
#include "gateway.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace fireflycrank {

namespace {

struct group_sample {
    group_streams streams;
    unsigned reporting{0};
    unsigned size{0}; ///< ranks of the group, as its agents say; 0: unknown
    std::string service;
};

// Targets that stay slow after their start make the end of an overrun start late. Elsewhere the
// slow start refused more than it kept in time (docs/policies.md).
bool starts_slowly(gateway const& owner, std::string const& service) {
    auto const* const known =
        owner.config == nullptr ? nullptr : find_service(*owner.config, service);
    return owner.settings.policies.start_slowly && known != nullptr &&
           (known->cold_rate > 0 || known->cold_time > duration::zero());
}

void add_report(group_sample& sample, target_view const& view, choice_settings const& settings,
                time_point now) {
    ++sample.reporting;
    sample.streams.running += estimated_load(view, settings, now);
    sample.streams.slowdown = std::max(sample.streams.slowdown, view.load->slowdown);
    sample.streams.pass = std::max(sample.streams.pass, view.load->pass);
}

// Targets whose group is not known count together until the first group of their service is.
std::map<std::string, group_sample> sample_groups(gateway const& owner, time_point now) {
    std::map<std::string, group_sample> samples;
    std::map<std::string, group_sample> ungrouped; // by service
    for (auto const& [id, view] : owner.targets) {
        auto const& service = view.announcement.service;
        auto const needs = owner.pass_needs.find(service);
        if (view.announcement.state == target_phase::departed || needs == owner.pass_needs.end() ||
            (!view.group && !needs->second.grouped)) {
            continue;
        }
        auto& sample = view.group ? samples[view.group->name] : ungrouped[service];
        sample.service = service;
        sample.size = std::max(sample.size, view.group ? view.group->size : 0U);
        ++sample.streams.ranks;
        bool const closed = owner.subscriber.evacuations.zones.contains(view.announcement.zone);
        sample.streams.closed_ranks += closed ? 1 : 0;
        sample.streams.unusable_ranks += closed ? 0.0 : unusable_share(owner, view);
        sample.streams.own += view.own_in_flight;
        if (view.load && now - view.load->sampled_at < owner.target_selection.report_ttl) {
            add_report(sample, view, owner.target_selection, now);
        }
    }
    for (auto const& entry : ungrouped) {
        bool const has_group = std::any_of(samples.begin(), samples.end(), [&](auto const& known) {
            return known.second.service == entry.first;
        });
        if (!has_group && starts_slowly(owner, entry.first)) {
            samples.emplace(ungrouped_name(entry.first), entry.second);
        }
    }
    return samples;
}

// The first reports name the group of a few targets only. Its other ranks are taken to be like
// these, since a limit for few ranks would end the admission until all have reported.
void complete_ranks(group_sample& sample) {
    auto& streams = sample.streams;
    if (streams.ranks == 0 || sample.size <= streams.ranks) {
        return;
    }
    double const scale = static_cast<double>(sample.size) / streams.ranks;
    streams.closed_ranks = static_cast<unsigned>(std::lround(streams.closed_ranks * scale));
    streams.unusable_ranks *= scale;
    streams.ranks = sample.size;
}

void log_phase(gateway& owner, std::string const& name, group_admission const& group) {
    log_bounded(owner.loop, events::group_start_changed,
                {{"group", name},
                 {"phase", static_cast<int>(group.start.phase)},
                 {"gateways", owner.census.gateways},
                 {"limit", group.limit},
                 {"own_limit", group.own_limit},
                 {"running", group.streams.running},
                 {"pass_ms", group.streams.pass.count()}});
}

void update_group(gateway& owner, std::string const& name, group_sample const& sample,
                  time_point now) {
    bool const is_new = !owner.groups.contains(name);
    auto& group = owner.groups[name];
    group.service = sample.service;
    auto const& needs = owner.pass_needs.at(sample.service);
    if (!starts_slowly(owner, sample.service)) {
        update_limits(group, sample.streams, needs, static_cast<unsigned>(owner.census.gateways),
                      now);
        return;
    }
    if (is_new) {
        group.start = begin_start(next_unit(owner.random), now);
    }
    auto const before = group.start.phase;
    update_started_limits(group, sample.streams, needs, owner.census, now);
    if (is_new || group.start.phase != before) {
        log_phase(owner, name, group);
    }
}

bool is_short(group_admission const& group) {
    bool const part_in_use =
        group.start.phase == start_phase::unshared && group.start.short_of_room;
    return group.limit <= 0 || is_busy(group) || part_in_use;
}

} // namespace

bool slots_are_short(gateway const& owner, std::string const& service) {
    return std::all_of(owner.groups.begin(), owner.groups.end(), [&](auto const& entry) {
        return entry.second.service != service || is_short(entry.second);
    });
}

time_point late_wait_end(gateway const& owner, std::string const& service) {
    time_point latest{};
    for (auto const& [name, group] : owner.groups) {
        if (group.service == service) {
            latest = std::max(latest, late_wait_end(group.start));
        }
    }
    return latest;
}

duration slot_interval(gateway const& owner, std::string const& service) {
    auto const flow = owner.slot_flows.find(service);
    auto const observed = flow == owner.slot_flows.end()
                              ? duration{}
                              : free_slot_interval(flow->second, loop_now(owner.loop));
    auto const needs = owner.pass_needs.find(service);
    if (observed > duration::zero() || needs == owner.pass_needs.end()) {
        return observed;
    }
    double part = 0;
    for (auto const& [name, group] : owner.groups) {
        bool const starts = group.service == service && group.start.phase != start_phase::none;
        part += starts ? std::max(group.own_limit, expected_part(group.limit, owner.census)) : 0;
    }
    return part > 0 ? expected_slot_interval(needs->second, part) : duration{};
}

void update_groups(gateway& owner) {
    auto const now = loop_now(owner.loop);
    auto samples = sample_groups(owner, now);
    std::erase_if(owner.groups, [&](auto const& entry) { return !samples.contains(entry.first); });
    for (auto& [name, sample] : samples) {
        if (starts_slowly(owner, sample.service)) {
            complete_ranks(sample);
        }
        sample.streams.reported = sample.reporting > 0;
        if (sample.streams.reported) {
            sample.streams.running *= static_cast<double>(sample.streams.ranks) / sample.reporting;
        } else if (!starts_slowly(owner, sample.service)) {
            owner.groups.erase(name);
            continue;
        }
        update_group(owner, name, sample, now);
    }
}

} // namespace fireflycrank
