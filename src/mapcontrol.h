/// @file
/// Connects the map manager to the control daemon's messages, committed tables and configuration.
#pragma once

#include "controltables.h"
#include "mapmanager.h"

#include <optional>

namespace fireflycrank {

/// The map manager and the operators' configuration that it applies.
struct map_control {
    map_manager manager;
    std::uint64_t config_revision{0}; ///< of `operator_config`
    config operator_config;
};

/// Passes a group report to the map manager.
/// @param message a message of any type
/// @param fence the term while this replica holds the leader lease; otherwise empty
/// @return the resulting actions; empty if the message is not a group report
std::optional<map_manager_actions> on_map_message(map_control& state,
                                                  inbound_message const& message,
                                                  std::optional<std::uint64_t> fence,
                                                  time_point now, wall_time wall);

/// Advances the map manager; call every 20 ms.
/// @param fence the term while this replica holds the leader lease; otherwise empty
map_manager_actions tick_map_control(map_control& state, control_tables const& tables,
                                     std::optional<std::uint64_t> fence, time_point now,
                                     wall_time wall);

} // namespace fireflycrank
