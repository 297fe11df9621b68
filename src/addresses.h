/// @file
/// The answer to callers who ask which of the system's addresses to use.
#pragma once

#include "clock.h"
#include "membership.h"

#include <string>
#include <vector>

namespace fireflycrank {

/// Chooses the addresses for a caller: entries that are alive and not leaving, those of the asked
/// entry's zone first. The order inside a zone differs from caller to caller, so that callers who
/// take the first address spread over the entries.
/// @param entries present entries
/// @param zone the asked entry's zone
/// @param caller the caller's address
/// @return public addresses, "ip:port"
std::vector<std::string> choose_addresses(std::vector<member_record const*> const& entries,
                                          std::string const& zone, std::string const& caller);

/// Writes the answer as JSON.
/// @param addresses the addresses, best first
/// @param time_to_live how long the caller may keep them
/// @return {"addresses":[...],"ttl_ms":N}
std::string addresses_json(std::vector<std::string> const& addresses,
                           std::chrono::milliseconds time_to_live);

} // namespace fireflycrank
