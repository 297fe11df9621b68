/// @file
/// Departures on a registrar's disk, so that an acknowledged one outlives the end of every process:
/// which are kept and for how long, and the log that holds them.
#pragma once

#include "clock.h"
#include "error.h"
#include "filelayer.h"
#include "targetdirectory.h"
#include "wal.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fireflycrank {

/// A departure, or its beginning, as it was recorded.
struct stored_departure {
    target_announcement target; ///< draining or departed
    wall_time recorded_at{};
};

/// Bounds of what is kept.
struct departure_log_settings {
    /// Announcements arrive late by seconds, and behind a partition by longer.
    std::chrono::seconds retention{120};
    directory_limits limits;
    /// Size of the log from which it is rewritten with what is still kept.
    std::uint64_t checkpoint_bytes{1U << 20U};
};

/// The departures that are kept, by the target's id.
struct departure_ledger {
    std::map<std::string, stored_departure> departures;
    std::size_t text_bytes{0}; ///< of all targets in it
};

/// Whether a ledger makes a record of this departure needless: it holds the same or a later state
/// of the target, and not for half of the retention time yet.
bool covers(departure_ledger const& ledger, target_announcement const& target,
            departure_log_settings const& settings, wall_time now);

/// Adds a departure, or replaces that of an earlier incarnation or state. Beyond the limits the
/// oldest ones are dropped, those of targets that never announced themselves first.
void add_departure(departure_ledger& ledger, stored_departure const& departure,
                   departure_log_settings const& settings);

/// Removes departures whose retention time has passed. A time of record in the future, as after a
/// step of the clock, counts as now.
void remove_expired(departure_ledger& ledger, departure_log_settings const& settings,
                    wall_time now);

/// Serializes a departure.
std::string serialize(stored_departure const& departure);
/// Parses a departure; `corrupt_data` if the bytes are malformed.
result<stored_departure> parse_stored_departure(std::string_view bytes);

/// The log on disk. Its operations block.
struct departure_log {
    file_layer files;
    wal log;
};

/// Opens the log and reads what it holds. A log that cannot be read is replaced by an empty one.
/// @param files the log's own; used by one thread at a time
/// @param folder of the log alone
/// @param now departures past their retention time are dropped
/// @return what is kept; `disk_failure` if the log cannot be used
result<departure_ledger> open_departure_log(departure_log& opened, file_layer files,
                                            std::string const& folder,
                                            departure_log_settings const& settings, wall_time now);

/// Makes departures durable, with one sync.
/// @return whether the log has grown so much that it should be rewritten; or `disk_failure`, and
/// then the log has to be opened again
result<bool> write_departures(departure_log& opened, std::vector<stored_departure> const& added,
                              departure_log_settings const& settings);

/// Replaces the log by what is kept of it.
/// @param kept all departures that are durable
/// @return nothing, or `disk_failure`; then the log has to be opened again
result<void> rewrite_departures(departure_log& opened, departure_ledger const& kept);

} // namespace fireflycrank
