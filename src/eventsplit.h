/// @file
/// Splits a stream of server-sent events so that only complete events are forwarded and another
/// target can resume the stream after the last of them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fireflycrank {

/// State of one caller's stream across all targets that serve it.
struct event_splitter {
    std::string partial;          ///< bytes of an incomplete event
    std::size_t scanned_bytes{0}; ///< leading bytes of `partial` known to contain no terminator
    std::size_t line_start{0};    ///< in `partial`: start of the line that the next bytes continue
    char last_forwarded{'\0'};    ///< last byte before `partial`
    std::size_t duplicate_bytes{
        0}; ///< bytes of duplicate events dropped since the last forwarded event
    std::optional<std::uint64_t> last_id; ///< id of the last forwarded event
    std::uint64_t event_count{0};         ///< number of forwarded events
    bool owes_event{false}; ///< the event after the last forwarded one was discarded incomplete
};

/// Adds bytes that a target sent. An event ends with an empty line; lines end with LF, CR LF or CR.
/// @param bytes body bytes after transfer decoding
/// @return complete events to forward, without events whose id the caller already has
std::string split_events(event_splitter& splitter, std::string_view bytes);

/// Whether the stream goes on for certain: it ended inside an event, or an event that was discarded
/// incomplete has not been received again.
bool is_cut(event_splitter const& splitter);

/// Longest empty line with the end of the line before it.
inline constexpr std::size_t longest_event_end = 4;

/// Whether a stream ends with an empty line.
/// @param last_bytes the last `longest_event_end` bytes of it, or all if it has fewer
bool ends_event(std::string_view last_bytes);

/// Whether an incomplete event or a run of duplicate events has exceeded its size limit. Such a
/// target may never send anything that can be forwarded.
/// @return true if the gateway should abandon the target
bool exceeds_limits(event_splitter const& splitter);

/// Discards the incomplete event of a target whose stream was interrupted, and resets the counters
/// of exceeds_limits().
void discard_partial(event_splitter& splitter);

} // namespace fireflycrank
