#include "responseroom.h"

#include <algorithm>
#include <charconv>

namespace fireflycrank {

namespace {

// Shorter responses are covered by what the process keeps for itself.
constexpr std::size_t small_response_bytes = 32U << 10U;
// Longer announced responses are refused by the gateway; they take room as they grow.
constexpr std::size_t longest_announced = 32U << 20U;

std::size_t announced_length(message_head const& head) {
    auto const* const text = find_header(head.headers, "Content-Length");
    std::size_t length = 0;
    if (text != nullptr) {
        std::from_chars(text->data(), text->data() + text->size(), length);
    }
    return std::min(length, longest_announced);
}

} // namespace

bool reserve_response(response_writer& writer, message_head const& head, std::string& collected,
                      std::size_t more) {
    auto const announced = announced_length(head);
    auto const needed = collected.size() + more;
    if (std::max(announced, needed) <= small_response_bytes ||
        (collected.capacity() > small_response_bytes && needed <= collected.capacity())) {
        return true;
    }
    auto const room = needed <= announced ? announced : 2 * needed;
    if (!writer.hold(room)) {
        return false;
    }
    collected.reserve(room);
    return true;
}

} // namespace fireflycrank
