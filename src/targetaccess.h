/// @file
/// Whether a request may run at a target: not in an evacuated availability zone, and only in the
/// regions that its route and its team allow. Pure.
#pragma once

#include "log.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fireflycrank {

/// Why a request may not run at a target.
enum class access_denial : std::uint8_t {
    none,
    evacuated_zone,
    foreign_region, ///< the region of its availability zone is not allowed or unknown
};

/// What decides about access. A null pointer or an empty list restricts nothing.
struct access_rules {
    std::set<std::string> const* evacuated_zones{nullptr};
    std::map<std::string, std::string> const* zone_regions{nullptr};
    std::vector<std::string> route_regions;
    std::vector<std::string> team_regions;
};

/// Ready targets that a request could use but for the access rules.
struct denied_targets {
    unsigned evacuated_zone{0};
    unsigned foreign_region{0};
};

/// Tells whether a request may run at a target.
/// @param zone the target's availability zone
/// @return why not; `none` if it may
access_denial judge_access(access_rules const& rules, std::string const& zone);

/// Counts a denial.
void count_denial(denied_targets& denied, access_denial denial);

/// The denial to report when targets were left out: the more frequent one.
access_denial main_denial(denied_targets const& denied);

/// Name for log lines and as the reason of a refusal.
char const* name_of(access_denial denial);

/// Adds reasons and counts to a log line if any target was left out.
void add_left_out(std::vector<log_field>& fields, denied_targets const& denied);

} // namespace fireflycrank
