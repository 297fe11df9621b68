/// @file
/// Acknowledges a target's departure notice only after a majority of the registrars has recorded
/// it on disk. Every gateway in contact with a majority then learns of the departure, even if the
/// registrar that received the notice is partitioned from the others, or if all of them were killed
/// meanwhile. Pure functions without I/O.
#pragma once

#include "clock.h"
#include "targetdirectory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fireflycrank {

/// A departure that no majority has recorded yet.
struct pending_departure {
    target_announcement target;
    std::set<std::string> recorded_by; ///< addresses of registrars that have it on disk
    time_point resend_at{};
    time_point expires_at{};
};

/// Pending departures by number.
struct departure_table {
    std::map<std::uint64_t, pending_departure> pending;
    std::uint64_t last_number{0};
};

struct departure_settings {
    duration resend_interval{std::chrono::milliseconds{200}};
    /// Shorter than the second after which a target asks another registrar.
    duration timeout{std::chrono::milliseconds{900}};
};

/// Whether more than half of the members have recorded the departure.
/// @param members addresses of the voting registrars; if empty, there is no majority
bool has_majority(pending_departure const& pending, std::vector<std::string> const& members);

/// Adds a departure that no registrar has recorded yet.
/// @return the departure's number
std::uint64_t begin_departure(departure_table& table, target_announcement const& target,
                              departure_settings const& settings, time_point now);

/// Work that advance() found.
struct departure_actions {
    std::vector<std::uint64_t> acknowledged;                    ///< recorded by a majority
    std::vector<std::uint64_t> failed;                          ///< no majority in time
    std::vector<std::pair<std::string, std::uint64_t>> notices; ///< registrar and departure number
};

/// Removes departures that are acknowledged or have timed out, and schedules the next notices to
/// registrars that have not recorded a departure.
/// @param members addresses of the voting registrars
departure_actions advance(departure_table& table, std::vector<std::string> const& members,
                          departure_settings const& settings, time_point now);

} // namespace fireflycrank
