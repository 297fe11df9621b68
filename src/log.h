/// @file
/// Structured logs: one JSON object a line with the event's number, name and fields.
#pragma once

#include "error.h"
#include "events.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fireflycrank {

/// One field of a log line. Numbers are written as JSON numbers, everything else as strings.
struct log_field {
    std::string key;
    std::string json; ///< the value as JSON text

    log_field(std::string_view name, std::string_view text);
    log_field(std::string_view name, char const* text) : log_field{name, std::string_view{text}} {}
    log_field(std::string_view name, std::string const& text)
        : log_field{name, std::string_view{text}} {}
    log_field(std::string_view name, double number);
    log_field(std::string_view name, bool value) : key{name}, json{value ? "true" : "false"} {}
    template <std::integral number>
    log_field(std::string_view name, number value) : key{name}, json{std::to_string(value)} {}
};

/// Opens the log of this process.
/// @param level least severe level to write: "debug", "info", "warn" or "error"
/// @param file path of the log file, appended to; empty for standard error
/// @return nothing; invalid_settings if the file cannot be opened
result<void> open_log(std::string const& level, std::string const& file);

/// Opens the log of this process on standard output, written by a thread of its own behind a
/// bounded queue: the caller never waits, and the oldest lines are dropped when the queue is full.
/// @param level least severe level to write
/// @return nothing; invalid_settings if the level is unknown
result<void> open_background_log(std::string const& level);

/// Lines that the bounded queue has dropped since the start.
/// @return the count; 0 for a log that is not in the background
std::uint64_t dropped_log_lines();

/// Writes one event. Does nothing before open_log.
/// @param kind the event
/// @param fields what belongs to it
void log_event(log_event_kind const& kind, std::vector<log_field> const& fields);

/// Writes out buffered lines.
void flush_log();

/// Writes out what is queued and ends the log's threads.
void close_log();

/// Quotes a string as JSON.
/// @param text UTF-8 text; control characters are escaped, invalid bytes are replaced by '?'
/// @return a JSON string with its quotes
std::string json_quote(std::string_view text);

} // namespace fireflycrank
