#include "mapswitch.h"

#include <algorithm>

namespace fireflycrank {

namespace {

bool contains(std::vector<std::uint32_t> const& ranks, std::uint32_t rank) {
    return std::binary_search(ranks.begin(), ranks.end(), rank);
}

map_command_reply refuse(group_record const& record, std::string reason) {
    return {false, std::move(reason), record.revision};
}

bool is_valid_map(expert_map const& map) {
    return map.id != 0 && !map.members.empty() &&
           std::adjacent_find(map.members.begin(), map.members.end(),
                              std::greater_equal<std::uint32_t>{}) == map.members.end();
}

std::string apply_begin(group_record& record, map_command const& command) {
    if (record.pending.phase != switch_phase::none) {
        return "another switch is under way; wait for its decision";
    }
    // A map id must never be reused for other content, or a rank would take old weights for new
    // ones.
    if (!is_valid_map(command.map) || command.map.id <= record.current.id) {
        return "the map needs members in ascending order and an id above the current one";
    }
    record.pending = {.id = ++record.last_switch,
                      .phase = switch_phase::preparing,
                      .map = command.map,
                      .dead_ranks = command.dead_ranks,
                      .at_step = 0,
                      .deadline = command.deadline};
    return {};
}

std::string apply_arm(group_record& record, map_command const& command) {
    if (record.pending.phase != switch_phase::preparing) {
        return "no switch is being prepared";
    }
    // Ranks know only the current and the previous map, so a switch must take effect after the last
    // one.
    if (command.at_step <= record.from_step) {
        return "the switch step must be after that of the last switch";
    }
    record.pending.phase = switch_phase::armed;
    record.pending.at_step = command.at_step;
    record.pending.deadline = command.deadline;
    return {};
}

std::string apply_decide(group_record& record, map_command const& command) {
    if (record.pending.phase == switch_phase::none ||
        (command.commit && record.pending.phase != switch_phase::armed)) {
        return "no armed switch to decide";
    }
    if (command.commit) {
        record.previous = std::move(record.current);
        record.current = std::move(record.pending.map);
        record.from_step = record.pending.at_step;
    }
    record.last_committed = command.commit;
    record.pending = {};
    return {};
}

std::string apply_to(group_record& record, map_command const& command) {
    switch (command.kind) {
    case map_command_kind::create:
        return "the group exists";
    case map_command_kind::begin:
        return apply_begin(record, command);
    case map_command_kind::arm:
        return apply_arm(record, command);
    case map_command_kind::decide:
        return apply_decide(record, command);
    }
    return "unknown command";
}

// Ranks whose acknowledgement a commit needs: the members of the current and the next map, except
// failed ranks that the next map removes.
std::vector<std::uint32_t> required_ranks(group_record const& record) {
    std::vector<std::uint32_t> required;
    std::set_union(record.current.members.begin(), record.current.members.end(),
                   record.pending.map.members.begin(), record.pending.map.members.end(),
                   std::back_inserter(required));
    std::erase_if(required, [&](std::uint32_t rank) {
        return std::find(record.pending.dead_ranks.begin(), record.pending.dead_ranks.end(),
                         rank) != record.pending.dead_ranks.end() &&
               !contains(record.pending.map.members, rank);
    });
    return required;
}

map_command make_command(switch_controller const& controller, map_command_kind kind,
                         wall_time wall) {
    map_command command;
    command.kind = kind;
    command.group = controller.group;
    command.fence = controller.fence;
    command.revision = controller.record.revision;
    command.at = wall;
    return command;
}

map_command abort_command(switch_controller const& controller, std::string cause, wall_time wall) {
    auto command = make_command(controller, map_command_kind::decide, wall);
    command.cause = std::move(cause);
    return command;
}

// Whether all given ranks have reported and their last reports satisfy the condition.
template <class Condition>
bool all_reported(switch_controller const& controller, std::vector<std::uint32_t> const& ranks,
                  Condition condition) {
    return std::all_of(ranks.begin(), ranks.end(), [&](std::uint32_t rank) {
        auto const found = controller.ranks.find(rank);
        return found != controller.ranks.end() && found->second.reported &&
               condition(found->second.last_report);
    });
}

// Returns the command that the record and the reports require, if any.
std::vector<map_command> choose_command(switch_controller const& controller, wall_time wall) {
    auto const& record = controller.record;
    auto const& pending = record.pending;
    if (pending.phase == switch_phase::none) {
        return {};
    }
    auto const required = required_ranks(record);
    auto const reported = [&](auto condition) {
        return all_reported(controller, required, condition);
    };
    if (pending.phase == switch_phase::armed &&
        reported([&](rank_report const& last) { return last.armed_switch == pending.id; })) {
        auto command = make_command(controller, map_command_kind::decide, wall);
        command.commit = true;
        command.cause = "all ranks armed";
        return {command};
    }
    for (auto const rank : required) {
        auto const found = controller.ranks.find(rank);
        if (found != controller.ranks.end() &&
            found->second.last_report.refused_switch == pending.id) {
            return {abort_command(
                controller, "rank " + std::to_string(rank) + " had already begun the switch step",
                wall)};
        }
    }
    if (wall >= pending.deadline) {
        return {abort_command(controller, "deadline passed", wall)};
    }
    if (pending.phase == switch_phase::armed || !reported([&](rank_report const& last) {
            return last.next_step >= record.from_step &&
                   (last.prepared_switch == pending.id ||
                    !contains(pending.map.members, last.rank));
        })) {
        return {};
    }
    auto command = make_command(controller, map_command_kind::arm, wall);
    command.at_step = record.from_step;
    for (auto const rank : required) {
        command.at_step =
            std::max(command.at_step, controller.ranks.at(rank).last_report.next_step);
    }
    command.at_step += std::max<std::uint64_t>(1, controller.settings.arm_lead_steps);
    command.deadline = wall + controller.settings.arm_timeout;
    command.cause = "all ranks prepared";
    return {command};
}

std::vector<map_command> propose(switch_controller& controller, time_point now, wall_time wall) {
    // A proposal may be lost with its leader or its log entry, so it is repeated after the resend
    // period.
    if (controller.proposed_revision == controller.record.revision &&
        now < controller.proposed_at + controller.settings.resend_period) {
        return {};
    }
    auto commands = choose_command(controller, wall);
    if (!commands.empty()) {
        controller.proposed_revision = controller.record.revision;
        controller.proposed_at = now;
    }
    return commands;
}

// Whether the rank's last report shows that it needs no further message.
bool up_to_date(group_record const& record, rank_progress const& progress) {
    if (!progress.reported || progress.last_report.revision < record.revision) {
        return false;
    }
    auto const id = record.pending.id;
    switch (record.pending.phase) {
    case switch_phase::none:
        return true;
    case switch_phase::preparing:
        return progress.last_report.prepared_switch == id &&
               progress.last_report.next_step >= record.from_step;
    case switch_phase::armed:
        return progress.last_report.armed_switch == id || progress.last_report.refused_switch == id;
    }
    return true;
}

std::vector<map_view_message> make_due_views(switch_controller& controller, time_point now) {
    auto const& record = controller.record;
    auto ranks = record.pending.phase == switch_phase::none ? record.current.members
                                                            : required_ranks(record);
    std::uint32_t fetching = 0;
    for (auto const& [rank, progress] : controller.ranks) {
        fetching += progress.fetching ? 1 : 0;
    }
    std::vector<map_view_message> views;
    for (auto const rank : ranks) {
        auto& progress = controller.ranks[rank];
        if (up_to_date(record, progress) ||
            (progress.view_sent && progress.sent_revision == record.revision &&
             now < progress.sent_at + controller.settings.resend_period)) {
            continue;
        }
        if (record.pending.phase == switch_phase::preparing && !progress.fetching &&
            progress.last_report.prepared_switch != record.pending.id &&
            fetching < controller.settings.max_parallel_fetches) {
            progress.fetching = true;
            ++fetching;
        }
        progress.view_sent = true;
        progress.sent_revision = record.revision;
        progress.sent_at = now;
        map_view_message message;
        message.group = controller.group;
        message.rank = rank;
        message.fence = controller.fence;
        message.view = make_group_view(record, rank);
        message.may_fetch = progress.fetching;
        views.push_back(std::move(message));
    }
    return views;
}

map_view_query make_query(switch_participant& rank, time_point now) {
    rank.query_sent = true;
    rank.queried_at = now;
    return {rank.group, rank.rank, rank.incarnation, rank.query_id};
}

// Acknowledges arming, which is a promise to stop before at_step, or refuses if that step has
// already begun.
void acknowledge_arming(switch_participant& rank) {
    auto const& view = rank.view;
    if (!rank.synced || view.phase != switch_phase::armed || view.switch_id == rank.armed_switch ||
        view.switch_id == rank.refused_switch) {
        return;
    }
    if (rank.next_step > view.at_step) {
        rank.refused_switch = view.switch_id;
    } else if (rank.next_step >= view.from_step || !view.member) {
        // Before from_step the rank would need the previous, the current and the next map, but it
        // knows only two. A rank that joins with the next map runs no step before at_step.
        rank.armed_switch = view.switch_id;
    }
}

bool needs_previous_map(switch_participant const& rank) {
    return rank.next_step < rank.view.from_step;
}

// Unloads the maps that the engine can no longer use. The last step may still run, or be requested
// again after a lost answer, so its map stays until a step has started under another one.
void unload_unused_maps(switch_participant& rank, participant_actions& actions) {
    auto const& view = rank.view;
    std::erase_if(rank.loaded_maps, [&](std::uint64_t map) {
        bool const still_needed = map == rank.last_map || map == view.map ||
                                  (needs_previous_map(rank) && map == view.previous_map) ||
                                  (view.phase != switch_phase::none && map == view.next_map);
        if (!still_needed) {
            actions.unload.push_back(map);
        }
        return !still_needed;
    });
}

// Requests the maps that the rank needs and may fetch.
void fetch_maps(switch_participant& rank, bool fetch_allowed, participant_actions& actions) {
    auto const& view = rank.view;
    auto const fetch = [&](std::uint64_t map) {
        if (rank.fetching_map != map && std::find(rank.loaded_maps.begin(), rank.loaded_maps.end(),
                                                  map) == rank.loaded_maps.end()) {
            rank.fetching_map = map;
            actions.fetch.push_back(map);
        }
    };
    if (view.member) {
        fetch(view.map);
    }
    if (needs_previous_map(rank) && view.previous_member) {
        fetch(view.previous_map);
    }
    if (view.phase != switch_phase::none && view.next_member &&
        (fetch_allowed || view.phase == switch_phase::armed)) {
        fetch(view.next_map);
    }
}

} // namespace

map_command_reply apply(map_table& table, map_command const& command) {
    if (command.kind == map_command_kind::create && !table.groups.contains(command.group)) {
        if (!is_valid_map(command.map)) {
            return {false, "the map needs members in ascending order and an id above 0", 0};
        }
        group_record record;
        record.revision = 1;
        record.fence = command.fence;
        record.current = command.map;
        record.previous = command.map;
        record.last_cause = command.cause;
        table.groups.emplace(command.group, std::move(record));
        return {true, {}, 1};
    }
    auto const found = table.groups.find(command.group);
    if (found == table.groups.end()) {
        return {false, "no such group; create it first", 0};
    }
    auto& record = found->second;
    if (command.fence < record.fence) {
        return refuse(record, "stale fencing token");
    }
    if (command.revision != record.revision) {
        return refuse(record, "the record has changed; read it again");
    }
    if (auto reason = apply_to(record, command); !reason.empty()) {
        return refuse(record, std::move(reason));
    }
    record.fence = command.fence;
    record.last_cause = command.cause;
    return {true, {}, ++record.revision};
}

group_view make_group_view(group_record const& record, std::uint32_t rank) {
    return {.revision = record.revision,
            .map = record.current.id,
            .previous_map = record.previous.id,
            .from_step = record.from_step,
            .switch_id = record.pending.id,
            .phase = record.pending.phase,
            .next_map = record.pending.map.id,
            .at_step = record.pending.at_step,
            .member = contains(record.current.members, rank),
            .previous_member = contains(record.previous.members, rank),
            .next_member = contains(record.pending.map.members, rank)};
}

map_view_message make_query_reply(group_record const& record, std::uint64_t fence,
                                  map_view_query const& query) {
    map_view_message message;
    message.group = query.group;
    message.rank = query.rank;
    message.fence = fence;
    message.view = make_group_view(record, query.rank);
    message.incarnation = query.incarnation;
    message.query_id = query.query_id;
    return message;
}

controller_actions on_record(switch_controller& controller, group_record const& record,
                             time_point now, wall_time wall) {
    if (record.revision >= controller.record.revision) {
        if (record.pending.id != controller.record.pending.id) {
            for (auto& [rank, progress] : controller.ranks) {
                progress.fetching = false;
            }
        }
        controller.record = record;
    }
    return tick(controller, now, wall);
}

controller_actions on_report(switch_controller& controller, rank_report const& report,
                             time_point now, wall_time wall) {
    auto& progress = controller.ranks[report.rank];
    auto const& last = progress.last_report;
    bool const newer = !progress.reported || report.incarnation > last.incarnation ||
                       (report.incarnation == last.incarnation &&
                        (report.revision > last.revision ||
                         (report.revision == last.revision && report.next_step >= last.next_step &&
                          report.prepared_switch >= last.prepared_switch &&
                          report.armed_switch >= last.armed_switch)));
    if (!newer) {
        return {};
    }
    progress.reported = true;
    progress.last_report = report;
    if (report.prepared_switch == controller.record.pending.id) {
        progress.fetching = false;
    }
    return tick(controller, now, wall);
}

controller_actions tick(switch_controller& controller, time_point now, wall_time wall) {
    return {propose(controller, now, wall), make_due_views(controller, now)};
}

controller_actions abort_switch(switch_controller const& controller, std::string const& cause,
                                wall_time wall) {
    if (controller.record.pending.phase == switch_phase::none) {
        return {};
    }
    return {{abort_command(controller, cause, wall)}, {}};
}

step_check check_next_step(switch_participant const& rank) {
    auto const& view = rank.view;
    if (!rank.synced) {
        return {step_status::not_synced, 0};
    }
    if (view.phase == switch_phase::armed && rank.next_step >= view.at_step) {
        return {step_status::armed, 0};
    }
    bool const before_switch = rank.next_step < view.from_step;
    auto const map = before_switch ? view.previous_map : view.map;
    if (!(before_switch ? view.previous_member : view.member)) {
        return {step_status::not_member, 0};
    }
    // Cannot happen while a commit requires every rank's acknowledgement; stops the rank if that
    // rule is violated.
    if (!before_switch && rank.last_map != 0 && rank.last_map != map &&
        rank.next_step > view.from_step) {
        return {step_status::fault, 0};
    }
    if (std::find(rank.loaded_maps.begin(), rank.loaded_maps.end(), map) ==
        rank.loaded_maps.end()) {
        return {step_status::not_loaded, map};
    }
    return {step_status::run, map};
}

participant_actions on_step_started(switch_participant& rank) {
    participant_actions actions;
    rank.last_map = check_next_step(rank).map;
    ++rank.next_step;
    unload_unused_maps(rank, actions);
    return actions;
}

rank_report make_rank_report(switch_participant const& rank) {
    rank_report report;
    report.group = rank.group;
    report.rank = rank.rank;
    report.incarnation = rank.incarnation;
    report.revision = rank.view.revision;
    bool const loaded = std::find(rank.loaded_maps.begin(), rank.loaded_maps.end(),
                                  rank.view.next_map) != rank.loaded_maps.end();
    if (rank.view.phase != switch_phase::none && (loaded || !rank.view.next_member)) {
        report.prepared_switch = rank.view.switch_id;
    }
    report.armed_switch = rank.armed_switch;
    report.refused_switch = rank.refused_switch;
    report.next_step = rank.next_step;
    return report;
}

void set_rejoin_step(switch_participant& rank, std::uint64_t step) {
    if (rank.last_map == 0) {
        rank.next_step = std::max(rank.next_step, step);
    }
}

participant_actions resync(switch_participant& rank, time_point now) {
    rank.synced = false;
    ++rank.query_id;
    participant_actions actions;
    actions.queries.push_back(make_query(rank, now));
    return actions;
}

participant_actions on_view(switch_participant& rank, map_view_message const& message,
                            time_point now) {
    participant_actions actions;
    if (message.group != rank.group || message.rank != rank.rank) {
        return actions;
    }
    if (message.fence < rank.fence) {
        ++rank.stale_messages;
        return actions;
    }
    rank.fence = message.fence;
    if (message.view.revision > rank.view.revision) {
        rank.view = message.view;
    }
    // Only an answer to this incarnation's own query proves that the view is at least as new as
    // every promise that an earlier incarnation of the rank has given.
    if (message.query_id != 0 && message.query_id == rank.query_id &&
        message.incarnation == rank.incarnation) {
        rank.synced = true;
    }
    acknowledge_arming(rank);
    if (rank.synced) {
        bool const fetch_allowed = message.may_fetch && message.view.revision == rank.view.revision;
        unload_unused_maps(rank, actions);
        fetch_maps(rank, fetch_allowed, actions);
        actions.reports.push_back(make_rank_report(rank));
    } else if (!rank.query_sent || now >= rank.queried_at + rank.query_period) {
        actions.queries.push_back(make_query(rank, now));
    }
    return actions;
}

participant_actions on_loaded(switch_participant& rank, std::uint64_t map) {
    participant_actions actions;
    if (rank.fetching_map == map) {
        rank.fetching_map = 0;
    }
    if (std::find(rank.loaded_maps.begin(), rank.loaded_maps.end(), map) ==
        rank.loaded_maps.end()) {
        rank.loaded_maps.push_back(map);
    }
    if (rank.synced) {
        actions.reports.push_back(make_rank_report(rank));
    }
    return actions;
}

participant_actions tick(switch_participant& rank, time_point now) {
    participant_actions actions;
    auto const status = check_next_step(rank).status;
    bool const must_wait = status != step_status::run;
    if (must_wait && (!rank.query_sent || now >= rank.queried_at + rank.query_period)) {
        actions.queries.push_back(make_query(rank, now));
    }
    return actions;
}

char const* name_of(step_status status) {
    switch (status) {
    case step_status::run:
        return "run";
    case step_status::not_synced:
        return "not_synced";
    case step_status::armed:
        return "armed";
    case step_status::not_member:
        return "not_member";
    case step_status::not_loaded:
        return "not_loaded";
    case step_status::fault:
        return "fault";
    }
    return "fault";
}

} // namespace fireflycrank
