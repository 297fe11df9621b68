/// @file
/// Compressed text. Configurations of several hundred kilobytes go to every gateway with each
/// change, and bytes between availability zones are dear.
#pragma once

#include "error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace fireflycrank {

/// Compresses a text.
/// @param text the text
/// @return zlib data
std::string pack_text(std::string_view text);

/// Restores a text.
/// @param packed from `pack_text`
/// @param max_bytes longest text to restore
/// @return the text; malformed if the data are not whole or the text is longer
result<std::string> unpack_text(std::string_view packed, std::size_t max_bytes);

/// Longest configuration that is restored: four times the platform's usual limit of a body.
inline constexpr std::size_t max_configuration_bytes = std::size_t{16} << 20U;

} // namespace fireflycrank
