/// @file
/// File operations of the modules that store data durably, as a struct of functions, so that tests
/// can inject crashes, full disks and failed syncs.
#pragma once

#include "error.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflycrank {

/// An open file; valid for the layer that opened it.
struct file_id {
    int value{-1};
};

/// File operations. Written bytes are durable only after `sync`; created, renamed and removed names
/// are durable only after `sync_folder`. Every operation fails with `disk_failure`, except where a
/// missing file gives `not_found`.
struct file_layer {
    /// Creates a folder and its parents; an existing folder is a success.
    std::function<result<void>(std::string const& folder)> make_folder;
    /// Lists the names in a folder, sorted.
    std::function<result<std::vector<std::string>>(std::string const& folder)> list;
    /// Reads a whole file; `not_found` when it does not exist.
    std::function<result<std::string>(std::string const& path)> read;
    /// Opens a file for appending; creates it when it does not exist.
    std::function<result<file_id>(std::string const& path)> open_append;
    /// Appends all bytes; after a failure a prefix of them may be in the file.
    std::function<result<void>(file_id file, std::string_view bytes)> append;
    /// Makes the appended bytes durable. After a failure the file must not be synced again: the
    /// kernel may have dropped the dirty pages and a second sync would report a false success.
    std::function<result<void>(file_id file)> sync;
    /// Closes a file or releases a lock.
    std::function<void(file_id file)> close;
    /// Renames a file, replacing the destination.
    std::function<result<void>(std::string const& from, std::string const& to)> rename;
    /// Removes a file; a missing file is a success.
    std::function<result<void>(std::string const& path)> remove;
    /// Makes the names in a folder durable.
    std::function<result<void>(std::string const& folder)> sync_folder;
    /// Takes an exclusive lock on a file, so that two processes never use the same data folder;
    /// `conflict` when another holds it.
    std::function<result<file_id>(std::string const& path)> lock;
};

/// The file layer over the operating system's files.
/// @return a layer whose operations may be called from one thread at a time
file_layer posix_file_layer();

/// Creates a folder and makes it durable.
/// @return nothing, or `disk_failure`
result<void> make_durable_folder(file_layer const& files, std::string const& folder);

/// Replaces a file atomically, so that after a crash it holds either the old or the new content:
/// writes and syncs a temporary file in the same folder, renames it and syncs the folder.
/// @return nothing, or `disk_failure`
result<void> replace_file(file_layer const& files, std::string const& folder,
                          std::string const& name, std::string_view bytes);

} // namespace fireflycrank
