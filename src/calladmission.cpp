#include "calladmission.h"

#include "gateway.h"

namespace fireflycrank {

namespace {

// Groups in which no further stream of this kind may start.
std::vector<std::string> full_groups(gateway const& owner, call_need const& need) {
    std::vector<std::string> names;
    for (auto const& [name, group] : owner.groups) {
        if (is_full(group, admission_of(owner, need))) {
            names.push_back(name);
        }
    }
    return names;
}

// Whether the passes of the chosen target's group are too long for another prompt.
bool is_held(gateway const& owner, call_need const& need, target_choice const& choice) {
    auto const group = owner.groups.find(choice.group);
    auto const passes = owner.pass_needs.find(need.service);
    return owner.settings.policies.hold_long_passes && group != owner.groups.end() &&
           passes != owner.pass_needs.end() &&
           should_hold(group->second, admission_of(owner, need), passes->second,
                       loop_now(owner.loop));
}

} // namespace

target_filter filter_for(gateway const& owner, call_need const& need) {
    target_filter filter;
    filter.access = need.access;
    filter.excluded = need.excluded;
    filter.only = need.only;
    auto const& policies = owner.settings.policies;
    auto const followed = owner.followed.find(need.service);
    bool const prefers = policies.follow_subset && followed != owner.followed.end();
    filter.subset = prefers ? &followed->second : nullptr;
    if (need.stream && policies.limit_streams) {
        filter.full_groups = full_groups(owner, need);
    }
    filter.reading = find_reading(owner.prompt_readings, need.service);
    filter.weigh_pace = policies.weigh_pace;
    return filter;
}

admission_request admission_of(gateway const& owner, call_need const& need) {
    return {need.resumed, need.slack,
            excess_of(find_reading(owner.prompt_readings, need.service), need.prompt_tokens)};
}

wait_cause cause_to_wait(gateway const& owner, call_need const& need, target_choice const& choice) {
    slot_request const slot{need.stream, need.resumed, need.slack,
                            owner.settings.policies.reserve_slots};
    if (!choice.healthy) {
        return is_usable(choice) ? wait_cause::cold_targets : wait_cause::no_target;
    }
    if (!has_capacity(choice, slot)) {
        return choice.group_full ? wait_cause::full_group : wait_cause::full_target;
    }
    return need.stream && is_held(owner, need, choice) ? wait_cause::long_passes : wait_cause::none;
}

} // namespace fireflycrank
