#include "eventsplit.h"

#include <algorithm>
#include <charconv>

namespace fireflycrank {

namespace {

constexpr std::string_view event_end = "\n\n";
// About a hundred times the largest event of a model engine.
constexpr std::size_t max_event_bytes = 256U << 10U;
// A stream that a target restarts from the beginning repeats events that the caller has; the
// largest streams are well below this.
constexpr std::size_t max_duplicate_bytes = 1U << 20U;

std::optional<std::uint64_t> event_id(std::string_view event) {
    while (!event.empty()) {
        auto const line = event.substr(0, event.find('\n'));
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

} // namespace

std::string split_events(event_splitter& splitter, std::string_view bytes) {
    splitter.partial.append(bytes);
    std::string complete;
    std::size_t begin = 0;
    std::size_t from = splitter.scanned_bytes;
    for (;;) {
        auto const end = splitter.partial.find(event_end, from);
        if (end == std::string::npos) {
            break;
        }
        auto const event =
            std::string_view{splitter.partial}.substr(begin, end + event_end.size() - begin);
        begin = end + event_end.size();
        from = begin;
        auto const id = event_id(event);
        if (id && splitter.last_id && *id <= *splitter.last_id) {
            splitter.duplicate_bytes += event.size();
            continue;
        }
        splitter.duplicate_bytes = 0;
        if (id) {
            splitter.last_id = id;
        }
        ++splitter.event_count;
        complete.append(event);
    }
    splitter.partial.erase(0, begin);
    // The first byte of the terminator may already have arrived.
    auto const size = splitter.partial.size();
    splitter.scanned_bytes = size - std::min(size, event_end.size() - 1);
    return complete;
}

bool exceeds_limits(event_splitter const& splitter) {
    return splitter.partial.size() > max_event_bytes ||
           splitter.duplicate_bytes > max_duplicate_bytes;
}

void discard_partial(event_splitter& splitter) {
    splitter.partial.clear();
    splitter.scanned_bytes = 0;
    splitter.duplicate_bytes = 0;
}

} // namespace fireflycrank
