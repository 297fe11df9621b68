/// @file
/// Messages between agents and control about expert groups, beside those of the map switch itself.
#pragma once

#include "mapswitch.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fireflycrank {

/// Name of map views in the envelope.
inline constexpr std::string_view map_view_type = "MapView";
/// Name of group reports in the envelope.
inline constexpr std::string_view group_report_type = "GroupReport";
/// Kind of the map table's commands and reads.
inline constexpr char const* map_table_kind = "mapswitch";

/// Tokens by layer and expert.
using expert_token_counts = std::vector<std::vector<std::uint64_t>>;

/// A rank's agent to control: where the rank is, and how far.
struct group_report {
    std::string model;
    rank_report progress;
    expert_token_counts counts; ///< since the last report with counts; empty without

    bool operator==(group_report const&) const = default;
};

/// A read of the map table.
struct map_table_query {
    map_view_query view_query; ///< answered by a map_view_message; unused when `content` is set
    std::string group;         ///< for `content`
    std::uint64_t map_id{0};   ///< id of a map; answered by a map_content
};

/// A map for the agents that load it.
struct map_content {
    std::string group;
    expert_map map;

    bool operator==(map_content const&) const = default;
};

} // namespace fireflycrank
