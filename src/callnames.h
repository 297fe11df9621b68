/// @file
/// Why a gateway's request waits, and the names of states of requests in log lines.
#pragma once

#include "callmessage.h"
#include "retrypolicy.h"
#include "targetpool.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fireflycrank {

/// Why a request is not sent at once.
enum class wait_cause : std::uint8_t {
    none,
    no_target,
    full_group,  ///< this gateway's part of the group's limit is in use
    full_target, ///< the chosen target has no slot for it
    long_passes,
    other_calls, ///< that wait already
    cold_targets ///< this gateway's part of their rate is used up
};

/// Names as log lines have them.
char const* name_of(attempt_result result);
char const* name_of(call_action action);
char const* name_of(body_framing framing);
char const* name_of(connection_end end);
char const* name_of(wait_cause cause);

/// Lists the ids of the first eight parts of a prompt, separated by commas.
std::string describe_parts(std::vector<prompt_part> const& parts);

} // namespace fireflycrank
