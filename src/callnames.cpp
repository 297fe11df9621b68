#include "callnames.h"

#include <algorithm>

namespace fireflycrank {

char const* name_of(attempt_result result) {
    switch (result) {
    case attempt_result::not_connected:
        return "not_connected";
    case attempt_result::send_cut:
        return "send_cut";
    case attempt_result::refused:
        return "refused";
    case attempt_result::wrong_target:
        return "wrong_target";
    case attempt_result::lost:
        return "lost";
    case attempt_result::silent:
        return "silent";
    case attempt_result::broken:
        return "broken";
    case attempt_result::failed:
        return "failed";
    }
    return "";
}

char const* name_of(call_action action) {
    switch (action) {
    case call_action::try_another:
        return "try_another";
    case call_action::refuse:
        return "refuse";
    case call_action::report_unknown:
        return "report_unknown";
    case call_action::pass_on:
        return "pass_on";
    case call_action::break_off:
        return "break_off";
    }
    return "";
}

char const* name_of(body_framing framing) {
    switch (framing) {
    case body_framing::none:
        return "none";
    case body_framing::length:
        return "length";
    case body_framing::chunks:
        return "chunks";
    case body_framing::connection:
        return "connection";
    }
    return "";
}

char const* name_of(connection_end end) {
    switch (end) {
    case connection_end::open:
        return "open";
    case connection_end::closed:
        return "closed";
    case connection_end::failed:
        return "failed";
    }
    return "";
}

std::string describe_parts(std::vector<prompt_part> const& parts) {
    constexpr std::size_t max_described = 8;
    std::string text;
    for (std::size_t number = 0; number < std::min(parts.size(), max_described); ++number) {
        text += (number > 0 ? "," : "") + parts[number].id;
    }
    return text;
}

char const* name_of(wait_cause cause) {
    switch (cause) {
    case wait_cause::none:
        return "none";
    case wait_cause::no_target:
        return "no_target";
    case wait_cause::full_group:
        return "full_group";
    case wait_cause::full_target:
        return "full_target";
    case wait_cause::long_passes:
        return "long_passes";
    case wait_cause::other_calls:
        return "other_calls";
    case wait_cause::cold_targets:
        return "cold_targets";
    }
    return "";
}

} // namespace fireflycrank
