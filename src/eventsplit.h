/// @file
/// Splits a stream of server-sent events, so that only whole events are passed on and a stream can
/// go on at another target after the last one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fireflycrank {

/// The state of one caller's stream over all targets that serve it.
struct event_splitter {
    std::string partial;                  ///< bytes of an event that is not complete
    std::size_t scanned_bytes{0};         ///< bytes of `partial` without an event's end
    std::size_t duplicate_bytes{0};       ///< bytes left out since an event was passed on
    std::optional<std::uint64_t> last_id; ///< of the last event passed on
    std::uint64_t event_count{0};         ///< passed on so far
};

/// Adds bytes of a target.
/// @param splitter the state
/// @param bytes decoded body bytes
/// @return whole events to pass on; events that the caller already has are left out
std::string split_events(event_splitter& splitter, std::string_view bytes);

/// Whether a target sends what is no stream of events: an event, or a repetition of events that the
/// caller has, without end.
/// @param splitter the state
/// @return true when the target is to be left
bool exceeds_limits(event_splitter const& splitter);

/// Drops the incomplete event of a target whose stream broke off.
/// @param splitter the state
void discard_partial(event_splitter& splitter);

} // namespace fireflycrank
