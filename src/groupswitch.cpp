#include "groupswitch.h"

#include <algorithm>

namespace fireflycrank {

namespace {

void enter(group_coordinator& coordinator, switch_stage stage, time_point now) {
    coordinator.stage = stage;
    coordinator.stage_begin = now;
    coordinator.resend_at = now;
    coordinator.local_resend_at = now;
}

rank_status const* own_status(group_coordinator const& coordinator) {
    auto const found = coordinator.ranks.find(0);
    return found == coordinator.ranks.end() ? nullptr : &found->second.status;
}

bool all_known(group_coordinator const& coordinator) {
    auto const* const own = own_status(coordinator);
    return own != nullptr && own->group_size > 0 && coordinator.ranks.size() == own->group_size;
}

bool all_prepared(group_coordinator const& coordinator, std::uint64_t version) {
    return all_known(coordinator) &&
           std::all_of(coordinator.ranks.begin(), coordinator.ranks.end(), [&](auto const& entry) {
               return entry.second.status.prepared_version == version;
           });
}

bool is_armed(rank_status const& status, std::uint64_t version, std::uint64_t pass) {
    return status.armed && status.armed->version == version && status.armed->pass == pass;
}

bool all_fresh(group_coordinator const& coordinator, time_point now) {
    return std::all_of(coordinator.ranks.begin(), coordinator.ranks.end(), [&](auto const& entry) {
        return now - entry.second.heard_at < coordinator.settings.status_max_age;
    });
}

void instruct(group_coordinator const& coordinator, unsigned rank, rank_operation operation,
              coordinator_actions& actions) {
    rank_instruction made;
    made.group = coordinator.group;
    made.epoch = coordinator.epoch;
    made.rank = rank;
    made.operation = operation;
    made.version = coordinator.version;
    made.pass = coordinator.switch_pass;
    if (operation == rank_operation::prepare) {
        made.packed_map = coordinator.packed_map;
    }
    actions.instructions.push_back(std::move(made));
}

std::uint64_t lead_passes(group_coordinator const& coordinator) {
    auto const& settings = coordinator.settings;
    if (coordinator.pass_time <= duration::zero()) {
        return settings.default_lead_passes;
    }
    auto const needed = std::max(settings.expected_switch_time,
                                 coordinator.recent_max_hold_time + settings.switch_margin);
    auto const passes = static_cast<std::uint64_t>((needed + coordinator.pass_time - duration{1}) /
                                                   coordinator.pass_time);
    return std::min(1 + passes, settings.max_lead_passes);
}

void advance_preparing(group_coordinator& coordinator, time_point now,
                       coordinator_actions& actions) {
    if (all_prepared(coordinator, coordinator.version) && all_fresh(coordinator, now)) {
        coordinator.switch_pass = own_status(coordinator)->pass + lead_passes(coordinator);
        enter(coordinator, switch_stage::holding, now);
        return;
    }
    if (now - coordinator.stage_begin > coordinator.settings.prepare_timeout) {
        ++coordinator.abandoned;
        enter(coordinator, switch_stage::idle, now);
        return;
    }
    if (now < coordinator.resend_at) {
        return;
    }
    coordinator.resend_at = now + coordinator.settings.prepare_resend;
    // Whoever should hand on may be down, so the next time each rank is told directly.
    auto const hand_on = coordinator.map_distributed ? 0U : coordinator.settings.relay_fanout;
    coordinator.map_distributed = true;
    unsigned handed = hand_on;
    for (auto const& [rank, known] : coordinator.ranks) {
        if (known.status.prepared_version == coordinator.version) {
            continue;
        }
        // Rank 0 is the coordinator's own; its link is the one to spare.
        bool const passed_on = rank != 0 && handed < hand_on;
        if (passed_on) {
            actions.instructions.back().relay_to.push_back({rank, known.agent_address});
            ++handed;
            continue;
        }
        instruct(coordinator, rank, rank_operation::prepare, actions);
        handed = rank == 0 ? hand_on : 0;
    }
}

void advance_holding(group_coordinator& coordinator, time_point now, coordinator_actions& actions) {
    auto const& own = *own_status(coordinator);
    if (own.held_pass == coordinator.switch_pass) {
        enter(coordinator, switch_stage::arming, now);
        return;
    }
    if (own.pass >= coordinator.switch_pass) {
        // The pass began without a hold. No rank was told to arm for it.
        coordinator.switch_pass = own.pass + lead_passes(coordinator);
        coordinator.local_resend_at = now;
    }
    if (now >= coordinator.local_resend_at) {
        coordinator.local_resend_at = now + coordinator.settings.local_resend;
        actions.hold_pass = coordinator.switch_pass;
    }
}

void advance_arming(group_coordinator& coordinator, time_point now, coordinator_actions& actions) {
    if (own_status(coordinator)->pass >= coordinator.switch_pass) {
        // Another agent found the group standing still, armed the ranks and released the pass.
        ++coordinator.completed;
        enter(coordinator, switch_stage::idle, now);
        return;
    }
    bool all = all_known(coordinator);
    bool const resend = now >= coordinator.resend_at;
    for (auto const& [rank, known] : coordinator.ranks) {
        if (!is_armed(known.status, coordinator.version, coordinator.switch_pass)) {
            all = false;
            if (resend) {
                instruct(coordinator, rank, rank_operation::arm, actions);
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
        enter(coordinator, switch_stage::releasing, now);
    }
}

void advance_releasing(group_coordinator& coordinator, time_point now,
                       coordinator_actions& actions) {
    auto const& own = *own_status(coordinator);
    bool const begun = own.pass >= coordinator.switch_pass;
    // A group without work begins no pass; the change happens with the next one.
    bool const at_rest = now - coordinator.stage_begin > coordinator.settings.status_max_age;
    if (!own.held_pass && (begun || at_rest)) {
        ++coordinator.completed;
        enter(coordinator, switch_stage::idle, now);
        return;
    }
    if (now >= coordinator.local_resend_at) {
        coordinator.local_resend_at = now + coordinator.settings.local_resend;
        actions.release_pass = coordinator.switch_pass;
    }
}

// A hold of a former run of this agent. If every rank has one map prepared, ranks may have been
// told to arm it, also by orders still under way; the change is then completed. Otherwise none was.
void resume_hold(group_coordinator& coordinator, time_point now) {
    auto const& own = *own_status(coordinator);
    if (!all_known(coordinator)) {
        return;
    }
    coordinator.switch_pass = *own.held_pass;
    coordinator.version = own.prepared_version;
    bool const may_be_armed = own.prepared_version != 0 &&
                              own.prepared_version != own.map_version &&
                              all_prepared(coordinator, own.prepared_version);
    enter(coordinator, may_be_armed ? switch_stage::arming : switch_stage::releasing, now);
}

} // namespace

void update_rank_status(group_coordinator& coordinator, rank_status const& status,
                        std::string const& agent, time_point now) {
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
        enter(coordinator, switch_stage::idle, now);
    }
    auto& known = coordinator.ranks[status.rank];
    auto experts = std::move(known.status.experts);
    bool const same_map = known.status.map_version == status.map_version;
    known = {status, now, agent};
    if (!known.status.experts && same_map) {
        known.status.experts = std::move(experts);
    }
}

bool can_begin_switch(group_coordinator const& coordinator, time_point now) {
    auto const* const own = own_status(coordinator);
    if (coordinator.stage != switch_stage::idle || !all_known(coordinator) ||
        !all_fresh(coordinator, now) || own->held_pass) {
        return false;
    }
    return std::all_of(coordinator.ranks.begin(), coordinator.ranks.end(), [&](auto const& entry) {
        auto const& status = entry.second.status;
        return status.open && status.in_use && !status.armed &&
               status.map_version == own->map_version;
    });
}

void begin_switch(group_coordinator& coordinator, std::string packed_map,
                  std::uint64_t least_version, time_point now) {
    std::uint64_t highest = coordinator.version;
    for (auto const& [rank, known] : coordinator.ranks) {
        highest = std::max({highest, known.status.highest_version, known.status.map_version,
                            known.status.prepared_version});
    }
    coordinator.version = std::max(highest + 1, least_version);
    coordinator.packed_map = std::move(packed_map);
    coordinator.map_distributed = false;
    enter(coordinator, switch_stage::preparing, now);
}

coordinator_actions advance_switch(group_coordinator& coordinator, time_point now) {
    coordinator_actions actions;
    auto const* const own = own_status(coordinator);
    if (own == nullptr) {
        return actions;
    }
    if (coordinator.stage == switch_stage::idle && own->held_pass) {
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
    completion_orders step;
    step.version = first->second.prepared_version;
    step.pass = *first->second.held_pass;
    if (step.version == 0 || step.version == first->second.map_version) {
        return std::nullopt;
    }
    for (auto const& [rank, report] : reports) {
        bool const same = report.group && report.group->epoch == first->second.group->epoch &&
                          report.group->open && report.prepared_version == step.version;
        if (!same) {
            return std::nullopt;
        }
        bool const armed = report.armed && report.armed->version == step.version &&
                           report.armed->pass == step.pass;
        if (!armed) {
            step.unarmed_ranks.push_back(rank);
        }
    }
    step.release = step.unarmed_ranks.empty();
    return step;
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
