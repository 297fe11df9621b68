/// @file
/// The expert map decisions as a table of the control log.
#pragma once

#include "controlstate.h"
#include "groupmessage.h"

namespace fireflycrank {

/// The functions of the map table. A read takes a map_question.
/// @param table the table; must outlive the functions
/// @return the functions, to be registered under map_table_kind
control_table map_table_functions(map_table& table);

} // namespace fireflycrank
