/// @file
/// Compact forms of what an expert group's agents send: counts of choices, of which only sums over
/// many ranks matter, and expert maps. Pure.
#pragma once

#include "error.h"
#include "expertplace.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fireflycrank {

/// Packs counts coarsely: in units of about half of their mean, rounded at random so that sums keep
/// their expected values.
/// @param counts the counts
/// @param seed of the rounding; different for each message
/// @return the bytes; empty for no counts
std::string pack_counts(std::vector<std::uint64_t> const& counts, std::uint64_t seed);

/// Restores packed counts.
/// @param packed from pack_counts()
/// @return the counts; `corrupt_data` if they are not whole
result<std::vector<std::uint64_t>> unpack_counts(std::string_view packed);

/// Packs a map.
/// @param map experts by rank and set, each under 65,536
/// @return the bytes
std::string pack_map(group_experts const& map);

/// Restores a packed map.
/// @param packed from pack_map()
/// @return the map; `corrupt_data` if it is not whole
result<group_experts> unpack_map(std::string_view packed);

} // namespace fireflycrank
