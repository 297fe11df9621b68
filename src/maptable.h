/// @file
/// Replicated table of expert map decisions, kept in the control log.
#pragma once

#include "controlstate.h"
#include "groupmessage.h"

namespace fireflycrank {

/// Functions with which the control log validates, applies, queries and snapshots the map table. A
/// query is a serialized map_table_query; the reply is a map_view_message or a map_content.
/// @param table the table; must outlive the functions
/// @return the functions, to be registered under map_table_kind
control_table_functions map_table_functions(map_table& table);

} // namespace fireflycrank
