/// @file
/// Reads what the system needs from a caller's request. Callers cannot be updated, so everything
/// has a default and no header is needed.
#pragma once

#include "config.h"
#include "http.h"

#include <cstdint>
#include <string>

namespace fireflycrank {

/// A caller's request to a route.
struct caller_request {
    std::string route;
    std::string team;
    std::string method;
    std::string content_type;
    std::string body;
    std::string order_key_header; ///< value of the route's key header; empty when absent
    bool stream{false};
    std::string prompt;             ///< the body's "prompt"; empty when it has none
    std::uint32_t prompt_tokens{0}; ///< estimated from its length
    std::uint32_t output_limit{0};  ///< tokens; the route's default when the body names none
};

/// Reads a request.
/// @param intent the configuration in force
/// @param request the HTTP request; its path is "/v1/routes/NAME"
/// @return the request; unknown_route, or invalid_request for an empty or too large body
result<caller_request> parse_caller_request(config const& intent, http_request const& request);

/// The team whose address prefix is the longest match; the route's default team if none matches.
/// @param intent the configuration in force
/// @param route the route
/// @param remote_address the caller's IP address
/// @param named team named in the body; it is used only if a team of that name exists
/// @return a team's name
std::string resolve_team(config const& intent, route_config const& route,
                         std::string const& remote_address, std::string const& named);

} // namespace fireflycrank
