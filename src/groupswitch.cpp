#include "groupswitch.h"

#include <algorithm>

namespace fireflycrank {

namespace {

void enter_stage(group_coordinator& coordinator, switch_stage stage, time_point now) {
    coordinator.stage = stage;
    coordinator.stage_begin = now;
    coordinator.resend_at = now;
    coordinator.local_resend_at = now;
}

rank_status const* rank_0_status(group_coordinator const& coordinator) {
    auto const found = coordinator.ranks.find(0);
    return found == coordinator.ranks.end() ? nullptr : &found->second.status;
}

bool all_ranks_known(group_coordinator const& coordinator) {
    auto const* const rank_0 = rank_0_status(coordinator);
    return rank_0 != nullptr && rank_0->group_size > 0 &&
           coordinator.ranks.size() == rank_0->group_size;
}

bool all_prepared(group_coordinator const& coordinator, std::uint64_t version) {
    return all_ranks_known(coordinator) &&
           std::all_of(coordinator.ranks.begin(), coordinator.ranks.end(), [&](auto const& entry) {
               return entry.second.status.prepared_version == version;
           });
}

bool is_armed(rank_status const& status, std::uint64_t version, std::uint64_t pass) {
    return status.armed && status.armed->version == version && status.armed->pass == pass;
}

bool all_fresh(group_coordinator const& coordinator, time_point now) {
    return std::all_of(coordinator.ranks.begin(), coordinator.ranks.end(), [&](auto const& entry) {
        return now - entry.second.status_at < coordinator.settings.status_max_age;
    });
}

void add_instruction(group_coordinator const& coordinator, unsigned rank, rank_operation operation,
                     coordinator_actions& actions) {
    rank_instruction instruction;
    instruction.group = coordinator.group;
    instruction.epoch = coordinator.epoch;
    instruction.rank = rank;
    instruction.operation = operation;
    instruction.version = coordinator.version;
    instruction.pass = coordinator.switch_pass;
    if (operation == rank_operation::prepare) {
        instruction.packed_map = coordinator.packed_map;
    }
    actions.instructions.push_back(std::move(instruction));
}

std::uint64_t choose_lead_passes(group_coordinator const& coordinator) {
    auto const& settings = coordinator.settings;
    if (coordinator.pass_time <= duration::zero()) {
        return settings.default_lead_passes;
    }
    auto const expected = std::max(settings.expected_switch_time,
                                   coordinator.recent_max_hold_time + settings.switch_margin);
    auto const passes = static_cast<std::uint64_t>(
        (expected + coordinator.pass_time - duration{1}) / coordinator.pass_time);
    return std::min(1 + passes, settings.max_lead_passes);
}

void advance_preparing(group_coordinator& coordinator, time_point now,
                       coordinator_actions& actions) {
    if (all_prepared(coordinator, coordinator.version) && all_fresh(coordinator, now)) {
        coordinator.switch_pass =
            rank_0_status(coordinator)->pass + choose_lead_passes(coordinator);
        enter_stage(coordinator, switch_stage::holding, now);
        return;
    }
    if (now - coordinator.stage_begin > coordinator.settings.prepare_timeout) {
        ++coordinator.abandoned;
        enter_stage(coordinator, switch_stage::idle, now);
        return;
    }
    if (now < coordinator.resend_at) {
        return;
    }
    coordinator.resend_at = now + coordinator.settings.prepare_resend;
    // A relaying agent may be down, so resends go to each rank directly.
    auto const fanout = coordinator.map_distributed ? 0U : coordinator.settings.relay_fanout;
    coordinator.map_distributed = true;
    unsigned relayed = fanout;
    for (auto const& [rank, tracked] : coordinator.ranks) {
        if (tracked.status.prepared_version == coordinator.version) {
            continue;
        }
        // Rank 0 does not relay: relaying is there to spare its link, which is the coordinator's.
        bool const use_relay = rank != 0 && relayed < fanout;
        if (use_relay) {
            actions.instructions.back().relay_to.push_back({rank, tracked.agent_address});
            ++relayed;
            continue;
        }
        add_instruction(coordinator, rank, rank_operation::prepare, actions);
        relayed = rank == 0 ? fanout : 0;
    }
}

void advance_holding(group_coordinator& coordinator, time_point now, coordinator_actions& actions) {
    auto const& rank_0 = *rank_0_status(coordinator);
    if (rank_0.held_pass == coordinator.switch_pass) {
        enter_stage(coordinator, switch_stage::arming, now);
        return;
    }
    if (rank_0.pass >= coordinator.switch_pass) {
        // The pass began before the hold took effect. No rank was told to arm for it, so a later
        // pass can be held.
        coordinator.switch_pass = rank_0.pass + choose_lead_passes(coordinator);
        coordinator.local_resend_at = now;
    }
    if (now >= coordinator.local_resend_at) {
        coordinator.local_resend_at = now + coordinator.settings.local_resend;
        actions.hold_pass = coordinator.switch_pass;
    }
}

void advance_arming(group_coordinator& coordinator, time_point now, coordinator_actions& actions) {
    if (rank_0_status(coordinator)->pass >= coordinator.switch_pass) {
        // Another agent found the group stalled, armed the ranks and released the pass.
        ++coordinator.completed;
        enter_stage(coordinator, switch_stage::idle, now);
        return;
    }
    bool all = all_ranks_known(coordinator);
    bool const resend = now >= coordinator.resend_at;
    for (auto const& [rank, tracked] : coordinator.ranks) {
        if (!is_armed(tracked.status, coordinator.version, coordinator.switch_pass)) {
            all = false;
            if (resend) {
                add_instruction(coordinator, rank, rank_operation::arm, actions);
            }
        }
    }
    if (resend) {
        coordinator.resend_at = now + coordinator.settings.arm_resend;
    }
    if (all) {
        constexpr double decay = 0.8;
        coordinator.last_hold_time = now - coordinator.stage_begin;
        coordinator.recent_max_hold_time = std::max(
            coordinator.last_hold_time,
            std::chrono::duration_cast<duration>(decay * coordinator.recent_max_hold_time));
        enter_stage(coordinator, switch_stage::releasing, now);
    }
}

void advance_releasing(group_coordinator& coordinator, time_point now,
                       coordinator_actions& actions) {
    auto const& rank_0 = *rank_0_status(coordinator);
    bool const begun = rank_0.pass >= coordinator.switch_pass;
    // An idle group begins no pass; it changes its map with the next one.
    bool const idle = now - coordinator.stage_begin > coordinator.settings.status_max_age;
    if (!rank_0.held_pass && (begun || idle)) {
        ++coordinator.completed;
        enter_stage(coordinator, switch_stage::idle, now);
        return;
    }
    if (now >= coordinator.local_resend_at) {
        coordinator.local_resend_at = now + coordinator.settings.local_resend;
        actions.release_pass = coordinator.switch_pass;
    }
}

// Handles a hold from before a restart of this agent. If every rank has prepared the same map,
// ranks may have been told to arm it, also by orders that are still under way, so the change is
// completed. Otherwise none was told to, and the pass is only released.
void resume_hold(group_coordinator& coordinator, time_point now) {
    auto const& rank_0 = *rank_0_status(coordinator);
    if (!all_ranks_known(coordinator)) {
        return;
    }
    coordinator.switch_pass = *rank_0.held_pass;
    coordinator.version = rank_0.prepared_version;
    bool const may_be_armed = rank_0.prepared_version != 0 &&
                              rank_0.prepared_version != rank_0.map_version &&
                              all_prepared(coordinator, rank_0.prepared_version);
    enter_stage(coordinator, may_be_armed ? switch_stage::arming : switch_stage::releasing, now);
}

} // namespace

void update_rank_status(group_coordinator& coordinator, rank_status const& status,
                        std::string const& agent_address, time_point now) {
    if (status.group != coordinator.group || status.epoch < coordinator.epoch) {
        return;
    }
    if (status.epoch > coordinator.epoch) {
        // A new epoch begins with the first map and nothing prepared, armed or held.
        coordinator.epoch = status.epoch;
        coordinator.ranks.clear();
        if (coordinator.stage != switch_stage::idle) {
            ++coordinator.abandoned;
        }
        enter_stage(coordinator, switch_stage::idle, now);
    }
    auto& tracked = coordinator.ranks[status.rank];
    auto experts = std::move(tracked.status.experts);
    bool const same_map = tracked.status.map_version == status.map_version;
    tracked = {status, now, agent_address};
    if (!tracked.status.experts && same_map) {
        tracked.status.experts = std::move(experts);
    }
}

bool can_begin_switch(group_coordinator const& coordinator, time_point now) {
    auto const* const rank_0 = rank_0_status(coordinator);
    if (coordinator.stage != switch_stage::idle || !all_ranks_known(coordinator) ||
        !all_fresh(coordinator, now) || rank_0->held_pass) {
        return false;
    }
    return std::all_of(coordinator.ranks.begin(), coordinator.ranks.end(), [&](auto const& entry) {
        auto const& status = entry.second.status;
        return status.open && status.experts && !status.armed &&
               status.map_version == rank_0->map_version;
    });
}

void begin_switch(group_coordinator& coordinator, std::string packed_map, std::uint64_t min_version,
                  time_point now) {
    std::uint64_t highest = coordinator.version;
    for (auto const& [rank, tracked] : coordinator.ranks) {
        highest = std::max({highest, tracked.status.highest_version, tracked.status.map_version,
                            tracked.status.prepared_version});
    }
    coordinator.version = std::max(highest + 1, min_version);
    coordinator.packed_map = std::move(packed_map);
    coordinator.map_distributed = false;
    enter_stage(coordinator, switch_stage::preparing, now);
}

coordinator_actions advance_switch(group_coordinator& coordinator, time_point now) {
    coordinator_actions actions;
    auto const* const rank_0 = rank_0_status(coordinator);
    if (rank_0 == nullptr) {
        return actions;
    }
    if (coordinator.stage == switch_stage::idle && rank_0->held_pass) {
        resume_hold(coordinator, now);
    }
    if (coordinator.stage == switch_stage::preparing) {
        advance_preparing(coordinator, now, actions);
    }
    if (coordinator.stage == switch_stage::holding) {
        advance_holding(coordinator, now, actions);
    }
    if (coordinator.stage == switch_stage::arming) {
        advance_arming(coordinator, now, actions);
    }
    if (coordinator.stage == switch_stage::releasing) {
        advance_releasing(coordinator, now, actions);
    }
    return actions;
}

std::optional<completion_orders> plan_completion(engine_reports const& reports) {
    auto const first = reports.find(0);
    if (first == reports.end() || !first->second.group || !first->second.held_pass ||
        reports.size() != first->second.group->size) {
        return std::nullopt;
    }
    completion_orders orders;
    orders.version = first->second.prepared_version;
    orders.pass = *first->second.held_pass;
    if (orders.version == 0 || orders.version == first->second.map_version) {
        return std::nullopt;
    }
    for (auto const& [rank, report] : reports) {
        bool const prepared = report.group && report.group->epoch == first->second.group->epoch &&
                              report.group->open && report.prepared_version == orders.version;
        if (!prepared) {
            return std::nullopt;
        }
        bool const armed = report.armed && report.armed->version == orders.version &&
                           report.armed->pass == orders.pass;
        if (!armed) {
            orders.unarmed_ranks.push_back(rank);
        }
    }
    orders.release = orders.unarmed_ranks.empty();
    return orders;
}

char const* name_of(switch_stage stage) {
    switch (stage) {
    case switch_stage::idle:
        return "idle";
    case switch_stage::preparing:
        return "preparing";
    case switch_stage::holding:
        return "holding";
    case switch_stage::arming:
        return "arming";
    case switch_stage::releasing:
        return "releasing";
    }
    return "";
}

} // namespace fireflycrank
