#include "mapmanager.h"

#include "expertswire.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// A refused or lost proposal of the first map is repeated after this period, about the length of a
// leader election.
constexpr duration create_retry_period = std::chrono::seconds{1};
// Forecast horizon in plan periods: the middle of the time for which the next plan is in force.
constexpr double forecast_windows = 1.0;
// Id of a group's first map, which assumes that all experts are equally popular.
constexpr std::uint64_t first_map_id = 1;

void append_actions(map_manager_actions& actions, managed_group const& group,
                    controller_actions&& added) {
    for (map_command& command : added.commands) {
        actions.commands.push_back(std::move(command));
    }
    for (map_view_message const& view : added.views) {
        auto const agent = group.agents.find(view.rank);
        if (agent != group.agents.end()) {
            actions.output.send.push_back(
                {agent->second, {std::string{map_view_type}, serialize(view)}});
        }
    }
}

plan_settings make_plan_settings(group_config const& shape) {
    plan_settings settings;
    settings.slots_per_rank = shape.slots_per_rank;
    return settings;
}

// Proposes the first map once the agents of all ranks have reported.
void propose_first_map(std::string const& name, managed_group& group, group_config const& shape,
                       std::uint64_t fence, map_manager_actions& actions, time_point now,
                       wall_time wall) {
    auto const ranks_with_agent =
        std::distance(group.agents.begin(), group.agents.lower_bound(shape.ranks));
    if (ranks_with_agent < shape.ranks || (group.create_proposed_at != time_point{} &&
                                           now < group.create_proposed_at + create_retry_period)) {
        return;
    }
    group.create_proposed_at = now;
    map_command command;
    command.kind = map_command_kind::create;
    command.group = name;
    command.fence = fence;
    command.at = wall;
    command.cause = "first map of the group";
    command.map.id = first_map_id;
    command.map.slots_per_rank = shape.slots_per_rank;
    std::vector<double> const load(shape.experts, 1.0);
    std::vector<double> const speed(shape.ranks, 1.0);
    layer_map const layer = full_recompute(load, speed, shape.slots_per_rank);
    command.map.layers.assign(shape.layers, layer);
    for (std::uint32_t rank = 0; rank < shape.ranks; ++rank) {
        command.map.members.push_back(rank);
    }
    actions.commands.push_back(std::move(command));
}

// Ends the current window and smooths its counts into the popularity. Returns false if no rank
// reported counts in it.
bool close_window(managed_group& group, group_config const& shape) {
    group.popularity.resize(shape.layers);
    double const coverage =
        static_cast<double>(group.counted_ranks.size()) / static_cast<double>(shape.ranks);
    ++group.window_number;
    if (group.counted_ranks.empty()) {
        return false;
    }
    for (std::size_t layer = 0; layer < group.popularity.size(); ++layer) {
        if (group.popularity[layer].level.size() != shape.experts) {
            group.popularity[layer] = {}; // the first window, or the operators changed the shape
        }
        if (layer < group.window_counts.size() &&
            group.window_counts[layer].size() == shape.experts) {
            observe(group.popularity[layer], group.window_number, group.window_counts[layer],
                    std::min(1.0, coverage), popularity_settings{});
        }
    }
    group.window_counts.clear();
    group.counted_ranks.clear();
    return true;
}

// Whether the map has the configured dimensions. The planner indexes by expert and slot, so it must
// not be given a map from before the operators changed the dimensions.
bool matches_shape(expert_map const& map, group_config const& shape) {
    return map.members.size() == shape.ranks && map.slots_per_rank == shape.slots_per_rank &&
           map.layers.size() == shape.layers &&
           std::all_of(map.layers.begin(), map.layers.end(), [&](layer_map const& layer) {
               std::uint32_t experts = 0;
               for (std::uint16_t const expert : layer.slot_expert) {
                   experts = expert == no_expert ? experts : std::max(experts, expert + 1U);
               }
               return experts == shape.experts;
           });
}

// Plans all layers. Empty if a layer has no counts yet or the map does not have the configured
// dimensions.
std::optional<group_plan> plan_map(managed_group const& group, expert_map const& current,
                                   group_config const& shape) {
    plan_settings const settings = make_plan_settings(shape);
    std::vector<double> const speed(current.members.size(), 1.0);
    std::vector<layer_plan> plans;
    if (!matches_shape(current, shape)) {
        return std::nullopt;
    }
    for (std::size_t layer = 0; layer < current.layers.size(); ++layer) {
        auto const load =
            forecast(group.popularity[layer], forecast_windows, popularity_settings{});
        if (load.size() != shape.experts) {
            return std::nullopt;
        }
        plans.push_back(plan_layer(current.layers[layer], load, speed, settings));
    }
    return plan_group(current.layers, plans, settings,
                      settings.max_moves * static_cast<std::uint32_t>(plans.size()));
}

void propose_switch(std::string const& name, managed_group& group, group_config const& shape,
                    map_manager_actions& actions, wall_time wall) {
    switch_controller const& controller = *group.controller;
    group_record const& record = controller.record;
    if (!close_window(group, shape) || record.pending.phase != switch_phase::none) {
        return;
    }
    auto plan = plan_map(group, record.current, shape);
    if (!plan) {
        return;
    }
    actions.output.logs.push_back(
        {&events::map_planned,
         {{"group", name},
          {"accepted", plan->accepted},
          {"cause", name_of(plan->cause)},
          {"gain_ms", std::chrono::duration<double, std::milli>(plan->gain).count()},
          {"cost_ms", std::chrono::duration<double, std::milli>(plan->cost).count()},
          {"moves", plan->moves},
          {"skew_before", plan->skew_before},
          {"skew_after", plan->skew_after}}});
    if (!plan->accepted) {
        return;
    }
    map_command command;
    command.kind = map_command_kind::begin;
    command.group = name;
    command.fence = controller.fence;
    command.revision = record.revision;
    command.at = wall;
    command.deadline = wall + controller.settings.prepare_timeout;
    command.cause = describe(*plan);
    command.map = record.current;
    // Ranks may still hold weights of an aborted switch's map, so its id must not be used again:
    // ids grow with each switch.
    command.map.id = std::max(record.current.id, record.last_switch + first_map_id) + 1;
    command.map.layers = std::move(plan->layers);
    actions.commands.push_back(std::move(command));
}

// Logs the progress of a switch between two committed records. A new leader has no earlier record
// and logs the phase that it finds, since its predecessor may not have logged it.
void log_switch_progress(std::string const& name, group_record const& before,
                         group_record const& after, fleet_news& news) {
    if (after.revision == before.revision || after.last_switch == 0) {
        return;
    }
    auto const& pending = after.pending;
    if (pending.phase == switch_phase::none) {
        news.logs.push_back({&events::map_decided,
                             {{"group", name},
                              {"switch", after.last_switch},
                              {"committed", after.last_committed},
                              {"map", after.current.id},
                              {"from_step", after.from_step},
                              {"cause", after.last_cause}}});
    } else if (pending.phase == switch_phase::armed) {
        news.logs.push_back({&events::map_armed,
                             {{"group", name},
                              {"switch", pending.id},
                              {"map", pending.map.id},
                              {"at_step", pending.at_step}}});
    } else {
        news.logs.push_back({&events::map_preparing,
                             {{"group", name},
                              {"switch", pending.id},
                              {"map", pending.map.id},
                              {"cause", after.last_cause}}});
    }
}

// Creates the group's controller when this replica begins to lead under a new term.
void ensure_controller(map_manager const& manager, std::string const& name, managed_group& group,
                       group_config const& shape, std::uint64_t fence, time_point now) {
    if (group.controller && group.controller->fence == fence) {
        return;
    }
    group.controller.emplace();
    group.controller->group = name;
    group.controller->fence = fence;
    group.controller->settings = manager.switch_limits;
    group.window_end = now + shape.plan_period;
    group.window_counts.clear();
    group.counted_ranks.clear();
}

void add_counts(managed_group& group, group_report const& report) {
    if (report.counts.empty()) {
        return;
    }
    group.window_counts.resize(std::max(group.window_counts.size(), report.counts.size()));
    for (std::size_t layer = 0; layer < report.counts.size(); ++layer) {
        auto const& added = report.counts[layer];
        auto& sum = group.window_counts[layer];
        sum.resize(std::max(sum.size(), added.size()));
        for (std::size_t expert = 0; expert < added.size(); ++expert) {
            sum[expert] += added[expert];
        }
    }
    group.counted_ranks.insert(report.progress.rank);
}

} // namespace

map_manager_actions on_group_report(map_manager& manager, std::string const& sender,
                                    group_report const& report, time_point now, wall_time wall) {
    map_manager_actions actions;
    managed_group& group = manager.groups[report.progress.group];
    group.model = report.model;
    group.agents[report.progress.rank] = sender;
    if (group.controller) {
        add_counts(group, report);
        append_actions(actions, group, on_report(*group.controller, report.progress, now, wall));
    }
    return actions;
}

map_manager_actions tick_map_manager(map_manager& manager, map_table const& table,
                                     config const& operator_config,
                                     std::optional<std::uint64_t> fence, time_point now,
                                     wall_time wall) {
    map_manager_actions actions;
    for (auto& [name, group] : manager.groups) {
        auto const model = operator_config.models.find(group.model);
        if (!fence || model == operator_config.models.end() || model->second.group.ranks == 0) {
            group.controller.reset();
            continue;
        }
        group_config const& shape = model->second.group;
        auto const record = table.groups.find(name);
        if (record == table.groups.end()) {
            propose_first_map(name, group, shape, *fence, actions, now, wall);
            continue;
        }
        ensure_controller(manager, name, group, shape, *fence, now);
        switch_controller& controller = *group.controller;
        log_switch_progress(name, controller.record, record->second, actions.output);
        append_actions(actions, group,
                       record->second.revision > controller.record.revision
                           ? on_record(controller, record->second, now, wall)
                           : tick(controller, now, wall));
        if (now >= group.window_end) {
            group.window_end = now + shape.plan_period;
            propose_switch(name, group, shape, actions, wall);
        }
    }
    return actions;
}

} // namespace fireflycrank
