/// @file
/// Switches of the policies that decide about requests and expert maps. All are on by default; an
/// operator turns one off to compare the system with and without it.
#pragma once

#include "error.h"

#include <string>
#include <vector>

namespace fireflycrank {

/// Which policies are in use. docs/policies.md describes each of them.
struct policy_settings {
    bool limit_streams{true};     ///< limit a group's streams by the pauses that they cause
    bool guard_urgent{true};      ///< limit services with urgent routes by each single change
    bool hold_long_passes{true};  ///< let new streams wait while passes are too long
    bool order_by_priority{true}; ///< send the most urgent waiting request first
    bool refuse_hopeless{true};   ///< refuse what cannot begin in time instead of queueing it
    bool spread_returns{true};    ///< give refused callers different times to return
    bool learn_time_limits{true}; ///< tell repeated attempts from callers with short time limits
    bool reserve_slots{true};     ///< keep slots of each target for urgent and late streams
    bool follow_subset{true};     ///< prefer a different subset of the targets at each gateway
    bool avoid_failing{true};     ///< prefer other targets after one has answered with a failure
    bool retry_failed{true};      ///< run a harmless request again after a failure
    bool start_slowly{true};      ///< limit groups that are not known yet, begin with a small part
    bool weigh_prompts{true};     ///< compare targets by the prompts that they still have to read
    bool weigh_pace{true};        ///< give slow ranks of a group fewer streams and experts
    bool plan_early{true};        ///< plan an expert map on the first passes after a sudden change
    bool pace_cold_targets{true}; ///< send cold targets no more than their declared rate
};

/// Reads a JSON settings file; see parse_policies().
/// @param path of the file; empty: all policies are on
result<policy_settings> read_policies(std::string const& path);

/// Parses a JSON object whose keys are the names of policies and whose values are booleans.
/// Policies that it does not name are on.
/// @return the settings; invalid_settings naming the key at fault and the remedy
result<policy_settings> parse_policies(std::string const& text);

/// Returns the names of the policies that are off, in the order of the declaration.
std::vector<std::string> disabled_policies(policy_settings const& policies);

} // namespace fireflycrank
