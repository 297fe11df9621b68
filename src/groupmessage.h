/// @file
/// Messages between agents and control about expert groups, in addition to those of the map switch
/// protocol (mapswitch.h).
#pragma once

#include "mapswitch.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fireflycrank {

/// Message type of map views.
inline constexpr std::string_view map_view_type = "MapView";
/// Message type of group reports.
inline constexpr std::string_view group_report_type = "GroupReport";
/// Kind under which the control log carries the map table's commands and queries.
inline constexpr char const* map_table_kind = "mapswitch";

/// Number of tokens routed to each expert, indexed by layer and expert.
using expert_token_counts = std::vector<std::vector<std::uint64_t>>;

/// Sent by a rank's agent to control: the rank's progress and its token counts.
struct group_report {
    std::string model;
    rank_report progress;
    expert_token_counts counts; ///< since the last report that had counts; may be empty

    bool operator==(group_report const&) const = default;
};

/// A linearizable query of the map table.
struct map_table_query {
    map_view_query view_query; ///< answered by a map_view_message; ignored if `map_id` is set
    std::string group;         ///< of the map `map_id`
    std::uint64_t map_id{
        0}; ///< if not 0, the query is for this map's content, answered by a map_content
};

/// A map's content, for the agents whose engines load it.
struct map_content {
    std::string group;
    expert_map map;

    bool operator==(map_content const&) const = default;
};

} // namespace fireflycrank
