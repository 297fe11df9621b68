/// @file
/// Decides whether a response that ended without an error of its connection is complete. Pure
/// functions without I/O.
#pragma once

#include <cstdint>

namespace fireflycrank {

/// What is known of a response that has ended.
struct response_end {
    bool stream{false};       ///< a series of events
    bool inside_event{false}; ///< bytes of an incomplete event are left
};

enum class response_verdict : std::uint8_t {
    complete,
    broken ///< the target broke off
};

/// Judges a response.
response_verdict judge_response_end(response_end const& end);

} // namespace fireflycrank
