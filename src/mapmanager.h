/// @file
/// Control's work on expert groups: popularity, plans and switch controllers. Pure: reports, the
/// committed table and time in; commands, messages and log lines out.
#pragma once

#include "config.h"
#include "expertplan.h"
#include "fleet.h"
#include "groupmessage.h"
#include "mapswitch.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fireflycrank {

/// What a replica knows of one group; learnt anew from reports after a restart.
struct managed_group {
    std::string model;
    std::map<std::uint32_t, std::string> agents; ///< mailbox of each rank's agent
    std::optional<switch_controller> controller; ///< on the leader only
    std::vector<layer_popularity> popularity;    ///< by layer
    expert_token_counts window_counts;           ///< of the present window
    std::set<std::uint32_t> counted_ranks;       ///< ranks in `counts`
    std::uint64_t window_number{0};
    time_point window_end{};
    time_point create_proposed_at{}; ///< when the group's creation was last proposed
};

/// The leader's state for all groups.
struct map_manager {
    std::map<std::string, managed_group> groups;
    switch_settings switch_limits;
};

/// What a call brought about.
struct map_manager_actions {
    std::vector<map_command> commands; ///< to be proposed under map_table_kind
    fleet_news output;                 ///< messages and log lines
};

/// Takes a rank's report. Every replica keeps the agent's address, so that a new leader can reach
/// all ranks at once.
/// @param loop the state
/// @param sender mailbox of the rank's agent
/// @param report the report
/// @param now the time
/// @param wall the wall time
/// @return proposals and messages; none unless this replica leads
map_manager_actions on_group_report(map_manager& loop, std::string const& sender,
                                    group_report const& report, time_point now, wall_time wall);

/// Advances all groups; call it every 20 ms after committed commands were applied.
/// @param loop the state
/// @param table the committed records
/// @param intent the operators' settings in force
/// @param fence the term while this replica's lease holds; nothing otherwise
/// @param now the time
/// @param wall the wall time
/// @return proposals and messages; none without a lease
map_manager_actions tick_map_manager(map_manager& loop, map_table const& table,
                                     config const& intent, std::optional<std::uint64_t> fence,
                                     time_point now, wall_time wall);

} // namespace fireflycrank
