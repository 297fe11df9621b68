/// @file
/// Where a gateway would send a request now, and why the request would have to wait. Reads the
/// gateway's state without changing it.
#pragma once

#include "callmessage.h"
#include "callnames.h"
#include "streamadmission.h"
#include "targetaccess.h"
#include "targetchoice.h"

#include <string>
#include <vector>

namespace fireflycrank {

struct gateway;

/// Time from sending a request to the first event of its stream at a target with a free slot.
inline constexpr std::chrono::milliseconds typical_first_event_delay{150};

/// What the choice of a target for a request depends on.
struct call_need {
    std::string service;
    bool stream{false};
    bool resumed{false}; ///< a stream that was interrupted after its first event
    duration slack{};    ///< time left to send it in order to meet its objective; negative if late
    unsigned prompt_tokens{0};
    access_rules const* access{nullptr};
    std::vector<std::string> excluded; ///< targets that must not be tried again
    std::vector<std::string> only;     ///< targets allowed; empty allows all
};

/// The filter for the targets of a request.
target_filter filter_for(gateway const& owner, call_need const& need);

/// Urgency of a request for the limits of groups.
admission_request admission_of(gateway const& owner, call_need const& need);

/// Why a request could not be sent to the chosen target at once.
wait_cause cause_to_wait(gateway const& owner, call_need const& need, target_choice const& choice);

} // namespace fireflycrank
