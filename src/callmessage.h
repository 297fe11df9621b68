/// @file
/// The parts of a caller's request and of a target's response that the forwarding path uses. The
/// platform adapter decodes them from header fields.
#pragma once

#include "clock.h"
#include "httpmessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fireflycrank {

/// A prompt segment that several requests may share.
struct prompt_part {
    std::string id;
    unsigned tokens{0};
};

/// Header fields of a caller's request.
struct call_headers {
    std::string attempt_id; ///< of this attempt of the caller; a retry by the caller has a new one
    std::string host;
    std::string api_key;                                 ///< empty if absent
    std::optional<std::chrono::milliseconds> time_limit; ///< how long the caller waits
    std::optional<std::uint64_t> last_event_id; ///< the caller resumes a stream after this event
    unsigned prompt_tokens{0};
    unsigned max_output_tokens{0};
    std::optional<unsigned> expected_output_tokens; ///< the caller's estimate
    std::vector<prompt_part> prompt;
};

/// Header fields that the gateway adds to the request to a target.
struct forwarding_fields {
    std::string target_id; ///< a target with another id must not run the request
    std::string team;      ///< empty if unknown
    std::chrono::milliseconds time_left{0};
    std::optional<unsigned> priority;           ///< 0 is the most urgent, 9 the least
    std::optional<std::uint64_t> last_event_id; ///< the target resumes the stream after this event
};

/// Load that a target reports in a response.
struct reported_load {
    unsigned running{0};
    unsigned waiting{0};
    unsigned slots{0};
};

/// Head of a target's response.
struct target_response {
    unsigned status{0};
    std::string attempt_id;
    bool signed_by_target{false}; ///< carries the target's signature
    bool not_executed{false};     ///< the target states that it did not run the request
    std::string target_id;        ///< of the target that responded; may be empty
    std::string faulty_target_id; ///< the target because of which its group refused the request
    std::optional<reported_load> load;
    bool leaving{false};                    ///< the target is about to end
    std::chrono::milliseconds cold_left{0}; ///< the target stays cold for so long
    /// With status 503: the target wants no request from this gateway for so long.
    std::optional<std::chrono::milliseconds> retry_after;
};

} // namespace fireflycrank
