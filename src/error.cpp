#include "error.h"

namespace fireflycrank {

char const* name_of(error_kind kind) {
    switch (kind) {
    case error_kind::invalid_settings:
        return "invalid_settings";
    case error_kind::invalid_request:
        return "invalid_request";
    case error_kind::unknown_route:
        return "unknown_route";
    case error_kind::not_found:
        return "not_found";
    case error_kind::conflict:
        return "conflict";
    case error_kind::not_leader:
        return "not_leader";
    case error_kind::unavailable:
        return "unavailable";
    case error_kind::unreachable:
        return "unreachable";
    case error_kind::overloaded:
        return "overloaded";
    case error_kind::timed_out:
        return "timed_out";
    case error_kind::corrupt_data:
        return "corrupt_data";
    case error_kind::disk_failure:
        return "disk_failure";
    case error_kind::stale_fence:
        return "stale_fence";
    case error_kind::internal:
        return "internal";
    }
    return "internal";
}

std::string describe(error const& failure) {
    return std::string{name_of(failure.kind)} + ": " + failure.message + " (" + failure.remedy +
           ")";
}

} // namespace fireflycrank
