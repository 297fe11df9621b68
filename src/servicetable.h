/// @file
/// The replicated table that holds the service configuration: the highest version is in force.
#pragma once

#include "controlstate.h"
#include "directorywire.h"

#include <string>

namespace fireflycrank {

/// The command kind of the table.
inline constexpr char const* service_table_kind = "services";

/// The table. Version 0 means that there is no configuration yet.
struct service_table {
    configuration_body current;
};

/// Applies an install command. Of two contents under one version the first one counts.
/// @param table the table
/// @param offered the configuration
/// @return whether it is in force now, and the version that is
install_reply apply(service_table& table, configuration_body offered);

/// Registers the table. Its query answers the serialized configuration whatever the question.
/// @param state the replicated tables
/// @param table the table; must outlive `state`
void register_services(control_state& state, service_table& table);

} // namespace fireflycrank
