/// @file
/// Plans and switches the expert maps of all groups on the control leader: smooths the reported
/// token counts into expert popularity, plans maps from it and runs one switch controller per
/// group. Does no I/O: takes reports, the committed table and times; returns commands, messages and
/// log lines.
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

/// State of one group on a control replica; rebuilt from reports after a restart.
struct managed_group {
    std::string model;
    std::map<std::uint32_t, std::string> agents; ///< mailbox address of each rank's agent
    std::optional<switch_controller> controller; ///< on the control leader only
    std::vector<layer_popularity> popularity;    ///< one entry per layer
    expert_token_counts window_counts;           ///< tokens reported in the current window
    std::set<std::uint32_t> counted_ranks;       ///< ranks that `window_counts` covers
    std::uint64_t window_number{0};
    time_point window_end{};
    time_point create_proposed_at{}; ///< when the first map was last proposed
};

/// One control replica's state for all groups.
struct map_manager {
    std::map<std::string, managed_group> groups;
    switch_settings switch_limits;
};

/// Results of a call.
struct map_manager_actions {
    std::vector<map_command> commands; ///< to be proposed under map_table_kind
    fleet_news output;                 ///< messages and log lines
};

/// Handles a rank's report. Every replica records the agent's address, so that a new leader can
/// reach all ranks immediately.
/// @param sender mailbox address of the rank's agent
/// @return proposals and messages; none unless this replica is the leader
map_manager_actions on_group_report(map_manager& manager, std::string const& sender,
                                    group_report const& report, time_point now, wall_time wall);

/// Runs the timers, planning and switch controllers of all groups. Call every 20 ms, after
/// committed commands have been applied.
/// @param table the committed records
/// @param operator_config the operators' configuration in force
/// @param fence the term while this replica holds the leader lease; otherwise empty
/// @return proposals and messages; none without a lease
map_manager_actions tick_map_manager(map_manager& manager, map_table const& table,
                                     config const& operator_config,
                                     std::optional<std::uint64_t> fence, time_point now,
                                     wall_time wall);

} // namespace fireflycrank
