/// @file
/// A checksummed snapshot file. It is replaced atomically, so that a crash leaves either the old or
/// the new snapshot.
#pragma once

#include "filelayer.h"

#include <optional>
#include <string>
#include <string_view>

namespace fireflycrank {

/// The parts of a snapshot file.
struct snapshot_file {
    std::string header; ///< describes what the snapshot covers; not interpreted here
    std::string body;   ///< the serialized state; not interpreted here
};

/// Writes a snapshot durably.
/// @param header describes what the snapshot covers
/// @param body the serialized state
/// @return nothing, or `disk_failure`
result<void> write_snapshot(file_layer const& files, std::string const& folder,
                            std::string_view header, std::string_view body);

/// Reads the snapshot.
/// @return the snapshot, nothing when none was written, or `corrupt_data`
result<std::optional<snapshot_file>> read_snapshot(file_layer const& files,
                                                   std::string const& folder);

} // namespace fireflycrank
