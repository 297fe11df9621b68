/// @file
/// The write-ahead log: checksummed records in numbered segment files, with one sync per batch.
///
/// Each record header states how many bytes of the segment were durable when the record was
/// written, and an empty record with that number, the sync marker, follows each sync. Recovery can
/// therefore distinguish a torn tail (no later record states those bytes as durable) from
/// corruption before the tail. Every start and every checkpoint opens a new segment. Its first
/// record links to the durable part of the previous segment and repeats the records after that
/// part, so that recovery never relies on a record that is only in the page cache.
#pragma once

#include "filelayer.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflycrank {

/// An open log. Plain data; `files` must outlive it.
struct wal {
    file_layer const* files{nullptr};
    std::string folder;
    std::uint64_t segment{0};       ///< number of the segment being appended to
    std::uint64_t segment_bytes{0}; ///< bytes in that segment
    /// Synced bytes in that segment; excludes an unsynced sync marker.
    std::uint64_t durable_bytes{0};
    file_id file;       ///< the open segment
    std::string batch;  ///< encoded records to be written by the next sync
    bool failed{false}; ///< set by the first failure; every later call fails
    /// Bytes appended to segments since the last checkpoint.
    std::uint64_t bytes_since_checkpoint{0};
    std::uint64_t appends{0};
    std::uint64_t syncs{0};
};

/// The result of recovery, besides the records.
struct wal_recovery {
    bool created{false}; ///< no log existed
    std::uint64_t records{0};
    std::uint64_t torn_bytes{0}; ///< bytes of an incomplete tail that were dropped
};

/// Opens the log, replays its records in order and starts a new segment.
/// @param log the log; `files` and `folder` are set by the caller
/// @param replay called for each record; an error aborts the recovery
/// @return the result; `corrupt_data` for corruption before the tail, or `disk_failure`
result<wal_recovery> open_wal(wal& log,
                              std::function<result<void>(std::string_view)> const& replay);

/// Adds a record to the current batch, which sync_wal() writes.
/// @param record at most 1 GiB
void append_wal(wal& log, std::string_view record);

/// Writes the batch and makes it durable; does nothing for an empty batch.
/// @return nothing, or `disk_failure`; after a failure the log stays failed until it is reopened
result<void> sync_wal(wal& log);

/// Replaces the whole log by the given records: starts a segment that does not depend on an earlier
/// one, makes it durable, then removes the earlier segments. The current batch is discarded, so the
/// records must cover it.
/// @param records the records that replace the log
/// @return nothing, or `disk_failure`
result<void> checkpoint_wal(wal& log, std::vector<std::string> const& records);

/// Closes the current segment; an unsynced batch is dropped.
void close_wal(wal& log);

} // namespace fireflycrank
