/// @file
/// Joins the map loop to the control daemon: messages, the committed tables and settings.
#pragma once

#include "controltables.h"
#include "mapmanager.h"

#include <optional>

namespace fireflycrank {

/// The map loop with the settings that it follows.
struct map_control {
    map_manager manager;
    std::uint64_t config_revision{0}; ///< of `intent`
    config operator_config;
};

/// Takes a group report.
/// @param state the state
/// @param message any message
/// @param fence the term while the lease holds
/// @param now the time
/// @param wall the wall time
/// @return what follows; nothing if the message is of another kind
std::optional<map_manager_actions> on_map_message(map_control& state,
                                                  inbound_message const& message,
                                                  std::optional<std::uint64_t> fence,
                                                  time_point now, wall_time wall);

/// Advances the loop; call it every 20 ms.
/// @param state the state
/// @param tables the committed tables
/// @param fence the term while the lease holds
/// @param now the time
/// @param wall the wall time
/// @return what follows
map_manager_actions tick_map_control(map_control& state, control_tables const& tables,
                                     std::optional<std::uint64_t> fence, time_point now,
                                     wall_time wall);

} // namespace fireflycrank
