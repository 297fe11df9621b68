/// @file
/// Decides whether a response that ended without an error of its connection is complete. A response
/// with neither a length nor chunks ends with its connection, and so does one of a target that
/// crashed. Pure functions without I/O.
#pragma once

#include "httpmessage.h"

#include <cstdint>
#include <optional>

namespace fireflycrank {

/// What is known of a response that has ended.
struct response_end {
    body_framing framing{body_framing::none};
    bool stream{false}; ///< a series of events
    /// The stream goes on for certain: it ended inside an event, or lacks one of which a part had
    /// arrived before it was resumed.
    bool cut{false};
    bool has_event{false}; ///< the response, or the one that it resumes, contains an event
    /// Since the request was sent, the target has restarted or its group has broken.
    bool target_changed{false};
    /// Whether the target itself still answers; nothing before it was asked.
    std::optional<bool> target_runs;
};

enum class response_verdict : std::uint8_t {
    complete,
    broken,      ///< the target broke off
    check_target ///< depends on whether the target still runs
};

/// Judges a response. One that ends between two events at a target that keeps running cannot be
/// told from a complete one.
response_verdict judge_response_end(response_end const& end);

} // namespace fireflycrank
