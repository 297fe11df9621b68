#include "utf8.h"

#include <algorithm>
#include <cstdint>

namespace fireflycrank {

namespace {

// How one lead byte continues: the second byte's range is narrower where the lead byte would
// otherwise permit an overlong form, a surrogate or a code point above U+10FFFF.
struct sequence_form {
    std::size_t length{0}; ///< 0: no lead byte
    std::uint8_t second_min{0x80};
    std::uint8_t second_max{0xbf};
};

sequence_form form_of(std::uint8_t lead) {
    if (lead < 0x80) {
        return {1};
    }
    if (lead >= 0xc2 && lead <= 0xdf) {
        return {2};
    }
    if (lead >= 0xe0 && lead <= 0xef) {
        return {3, static_cast<std::uint8_t>(lead == 0xe0 ? 0xa0 : 0x80),
                static_cast<std::uint8_t>(lead == 0xed ? 0x9f : 0xbf)};
    }
    if (lead >= 0xf0 && lead <= 0xf4) {
        return {4, static_cast<std::uint8_t>(lead == 0xf0 ? 0x90 : 0x80),
                static_cast<std::uint8_t>(lead == 0xf4 ? 0x8f : 0xbf)};
    }
    return {};
}

bool is_continuation(char byte) {
    return (static_cast<std::uint8_t>(byte) & 0xc0U) == 0x80U;
}

} // namespace

bool is_utf8(std::string_view bytes) {
    while (!bytes.empty()) {
        auto const form = form_of(static_cast<std::uint8_t>(bytes.front()));
        if (form.length == 0 || bytes.size() < form.length) {
            return false;
        }
        if (form.length > 1) {
            auto const second = static_cast<std::uint8_t>(bytes[1]);
            auto const rest = bytes.substr(2, form.length - 2);
            if (second < form.second_min || second > form.second_max ||
                !std::all_of(rest.begin(), rest.end(), is_continuation)) {
                return false;
            }
        }
        bytes.remove_prefix(form.length);
    }
    return true;
}

} // namespace fireflycrank
