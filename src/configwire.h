/// @file
/// Turns the difference between two configuration revisions into protobuf bytes and back.
#pragma once

#include "configsync.h"

#include <set>
#include <string>
#include <string_view>

namespace fireflycrank {

/// Encodes what changed on the way to a set of files.
/// @param files the files after the change
/// @param touched names of changed, new and removed files
/// @return bytes; equal input gives equal bytes
std::string encode_file_changes(config_files const& files, std::set<std::string> const& touched);

/// Applies a difference.
/// @param bytes from encode_file_changes
/// @param files the files before the change; become those after it
/// @return false, with files unchanged, when the bytes are malformed
bool apply_file_changes(std::string_view bytes, config_files& files);

} // namespace fireflycrank
