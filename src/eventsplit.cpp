#include "eventsplit.h"

#include <algorithm>
#include <charconv>

namespace fireflycrank {

namespace {

constexpr std::string_view line_ends = "\r\n";
// About a hundred times the largest event of a model engine.
constexpr std::size_t max_event_bytes = 256U << 10U;
// A stream that a target restarts from the beginning repeats events that the caller has; the
// largest streams are well below this.
constexpr std::size_t max_duplicate_bytes = 1U << 20U;

std::optional<std::uint64_t> event_id(std::string_view event) {
    while (!event.empty()) {
        auto const line = event.substr(0, event.find_first_of(line_ends));
        if (line.starts_with("id:")) {
            auto digits = line.substr(3);
            while (digits.starts_with(' ')) {
                digits.remove_prefix(1);
            }
            std::uint64_t id = 0;
            auto const parsed = std::from_chars(digits.data(), digits.data() + digits.size(), id);
            return parsed.ec == std::errc{} ? std::optional{id} : std::nullopt;
        }
        event.remove_prefix(std::min(line.size() + 1, event.size()));
    }
    return std::nullopt;
}

bool is_inside_event(event_splitter const& splitter) {
    return splitter.partial.find_first_not_of(line_ends) != std::string::npos;
}

// Searches `partial` from `scanned_bytes` on for the end of an event and returns the position after
// its empty line.
std::optional<std::size_t> find_event_end(event_splitter& splitter) {
    std::string_view const bytes{splitter.partial};
    for (;;) {
        auto const at = bytes.find_first_of(line_ends, splitter.scanned_bytes);
        if (at == std::string_view::npos) {
            splitter.scanned_bytes = bytes.size();
            return std::nullopt;
        }
        char const previous = at > 0 ? bytes[at - 1] : splitter.last_forwarded;
        bool const completes_pair = bytes[at] == '\n' && previous == '\r';
        bool const is_empty = at == splitter.line_start && !completes_pair;
        bool const starts_pair = bytes.substr(at).starts_with(line_ends);
        splitter.line_start = at + (starts_pair ? line_ends.size() : 1);
        splitter.scanned_bytes = splitter.line_start;
        if (is_empty) {
            return splitter.line_start;
        }
    }
}

void forward_event(event_splitter& splitter, std::string_view event, std::string& out) {
    auto const id = event_id(event);
    if (id && splitter.last_id && *id <= *splitter.last_id) {
        splitter.duplicate_bytes += event.size();
        return;
    }
    splitter.duplicate_bytes = 0;
    if (id) {
        splitter.last_id = id;
    }
    bool const only_empty_line = event.find_first_not_of(line_ends) == std::string_view::npos;
    splitter.event_count += only_empty_line ? 0 : 1;
    splitter.owes_event = splitter.owes_event && only_empty_line;
    out.append(event);
}

} // namespace

std::string split_events(event_splitter& splitter, std::string_view bytes) {
    splitter.partial.append(bytes);
    std::string complete;
    std::size_t begin = 0;
    while (auto const end = find_event_end(splitter)) {
        auto const event = std::string_view{splitter.partial}.substr(begin, *end - begin);
        begin = *end;
        forward_event(splitter, event, complete);
        splitter.last_forwarded = event.back();
    }
    splitter.partial.erase(0, begin);
    splitter.scanned_bytes -= begin;
    splitter.line_start -= begin;
    return complete;
}

bool is_cut(event_splitter const& splitter) {
    return splitter.owes_event || is_inside_event(splitter);
}

bool ends_event(std::string_view last_bytes) {
    return last_bytes.ends_with("\n\n") || last_bytes.ends_with("\r\n\r\n") ||
           last_bytes.ends_with("\r\r");
}

bool exceeds_limits(event_splitter const& splitter) {
    return splitter.partial.size() > max_event_bytes ||
           splitter.duplicate_bytes > max_duplicate_bytes;
}

void discard_partial(event_splitter& splitter) {
    splitter.owes_event = is_cut(splitter);
    splitter.partial.clear();
    splitter.scanned_bytes = 0;
    splitter.line_start = 0;
    splitter.last_forwarded = '\0';
    splitter.duplicate_bytes = 0;
}

} // namespace fireflycrank
