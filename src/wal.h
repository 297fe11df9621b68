/// @file
/// The write-ahead log: checksummed records in numbered segment files, one sync for a batch.
///
/// Each record's header carries the length of the segment known durable when the record was
/// written, and a mark with that length follows each sync. Recovery can therefore tell a torn tail
/// (no later record claims those bytes durable) from corruption before the tail. Every start and
/// every checkpoint opens a new segment whose first record links to the durable part of its
/// predecessor and repeats the records beyond it, so that no record is trusted that only the page
/// cache holds.
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
    std::uint64_t durable_bytes{0}; ///< synced bytes of it; excludes an unsynced mark
    file_id file;                   ///< the open segment
    std::string batch;              ///< encoded records that wait for the next sync
    bool failed{false};             ///< set by the first failure; every later call fails
    std::uint64_t bytes_since_checkpoint{
        0}; ///< bytes appended to segments since the last checkpoint
    std::uint64_t appends{0};
    std::uint64_t syncs{0};
};

/// What recovery found besides the records.
struct wal_recovery {
    bool created{false}; ///< there was no log
    std::uint64_t records{0};
    std::uint64_t torn_bytes{0}; ///< bytes of an incomplete tail that were dropped
};

/// Opens the log, replays its records in order and starts a new segment.
/// @param log the log; `files` and `folder` are set by the caller
/// @param replay called for each record; its failure ends the opening
/// @return what was found; `corrupt_data` for corruption before the tail, or `disk_failure`
result<wal_recovery> open_wal(wal& log,
                              std::function<result<void>(std::string_view)> const& replay);

/// Adds a record to the current batch. Nothing is written before sync_wal().
/// @param log the log
/// @param record the bytes, at most 1 GiB
void append_wal(wal& log, std::string_view record);

/// Writes the batch and makes it durable; does nothing for an empty batch.
/// @param log the log
/// @return nothing, or `disk_failure`; after a failure the log stays failed until it is reopened
result<void> sync_wal(wal& log);

/// Replaces the whole log by the given records: starts a segment that depends on no earlier one,
/// makes it durable, then removes the earlier segments. The current batch is discarded, so the
/// records must cover it.
/// @param log the log
/// @param records the records that replace the log
/// @return nothing, or `disk_failure`
result<void> checkpoint_wal(wal& log, std::vector<std::string> const& records);

/// Closes the current segment; an unsynced batch is dropped.
/// @param log the log
void close_wal(wal& log);

} // namespace fireflycrank
