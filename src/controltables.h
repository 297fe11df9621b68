/// @file
/// All replicated tables of the control log, and their registration by command kind.
#pragma once

#include "claim.h"
#include "configsync.h"
#include "controlstate.h"
#include "mapswitch.h"
#include "quarantine.h"
#include "rollout.h"

#include <string>

namespace fireflycrank {

/// All tables of one replica.
struct control_tables {
    config_table configuration;
    claim_table claims;
    quarantine_table quarantine;
    placement_table placement;
    map_table maps;
    config_ident ident; ///< identifies the newest configuration revision; see current_ident()
};

/// Queries of the configuration table: the ident of the newest revision, or its files.
inline constexpr char const* config_ident_query = "";
inline constexpr char const* config_files_query = "files";

/// The command kind of the quarantine table.
inline constexpr char const* quarantine_table_kind = "quarantine";

/// Registers only the quarantine table.
/// @param table the table; must outlive `state`
void register_quarantine(control_state& state, quarantine_table& table);

/// Registers all tables.
/// @param state receives the tables' functions
/// @param tables the tables; must outlive `state`
void register_tables(control_state& state, control_tables& tables);

/// Identifies the newest revision as configsync does: by the digest of its files.
/// @return the ident; revision 0 before the first change
config_ident const& current_ident(control_tables& tables);

/// The newest revision's files, shared with the daemons that fetch them.
config_files shared_files(control_tables const& tables);

} // namespace fireflycrank
