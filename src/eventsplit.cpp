#include "eventsplit.h"

#include <algorithm>
#include <charconv>

namespace fireflycrank {

namespace {

constexpr std::string_view event_end = "\n\n";

std::optional<std::uint64_t> id_of(std::string_view event) {
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
    std::string whole;
    std::size_t begin = 0;
    for (;;) {
        auto const end = splitter.partial.find(event_end, begin);
        if (end == std::string::npos) {
            break;
        }
        auto const event =
            std::string_view{splitter.partial}.substr(begin, end + event_end.size() - begin);
        begin = end + event_end.size();
        auto const id = id_of(event);
        if (id && splitter.last_id && *id <= *splitter.last_id) {
            continue;
        }
        if (id) {
            splitter.last_id = id;
        }
        ++splitter.events;
        whole.append(event);
    }
    splitter.partial.erase(0, begin);
    return whole;
}

void drop_partial(event_splitter& splitter) {
    splitter.partial.clear();
}

} // namespace fireflycrank
