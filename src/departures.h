/// @file
/// A target's word that it leaves is acknowledged only after a majority of the registrars has it:
/// every gateway that hears a majority then learns of it, also when the registrar that took the
/// word is cut off from the others. Pure.
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

/// A departure that waits for its majority.
struct pending_departure {
    target_announcement target;
    std::set<std::string> recorded; ///< registrars that have it, including this one
    time_point resend_at{};
    time_point fails_at{};
};

/// All that wait, by number.
struct departure_table {
    std::map<std::uint64_t, pending_departure> pending;
    std::uint64_t last_number{0};
};

/// Times of the exchange.
struct departure_settings {
    duration resend{std::chrono::milliseconds{200}};
    /// A target asks another registrar after a second.
    duration limit{std::chrono::milliseconds{900}};
};

/// Whether more than half of the members has the departure.
/// @param pending the departure
/// @param members the registrars that count; none means that no majority can be known
bool has_majority(pending_departure const& pending, std::vector<std::string> const& members);

/// Begins a departure.
/// @param table the table
/// @param self this registrar
/// @param target the target
/// @param settings the times
/// @param now the time
/// @return its number
std::uint64_t begin_departure(departure_table& table, std::string const& self,
                              target_announcement const& target, departure_settings const& settings,
                              time_point now);

/// What a look at the table brought about.
struct departure_actions {
    std::vector<std::uint64_t> acknowledged;
    std::vector<std::uint64_t> failed;                          ///< no majority in time
    std::vector<std::pair<std::string, std::uint64_t>> notices; ///< registrar and number
};

/// Ends what can be ended and repeats notices that are due.
/// @param table the table
/// @param members the registrars that count
/// @param settings the times
/// @param now the time
/// @return what to do; ended numbers are no longer in the table
departure_actions advance(departure_table& table, std::vector<std::string> const& members,
                          departure_settings const& settings, time_point now);

} // namespace fireflycrank
