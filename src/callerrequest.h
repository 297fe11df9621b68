/// @file
/// Parses callers' HTTP requests. Existing callers cannot be changed, so every field has a default
/// and no header is required.
#pragma once

#include "config.h"
#include "http.h"

#include <cstdint>
#include <string>

namespace fireflycrank {

/// A parsed request to a route.
struct caller_request {
    std::string route;
    std::string team;
    std::string method;
    std::string content_type;
    std::string body;
    std::string
        order_key_header; ///< value of the header that holds the order key; empty when absent
    bool stream{false};
    std::string prompt;             ///< "prompt" of the body; empty when absent
    std::uint32_t prompt_tokens{0}; ///< estimated from the body's length
    std::uint32_t output_limit{
        0}; ///< tokens; "max_tokens" of the body, or else the route's default
};

/// Parses a request.
/// @param request its path is "/v1/routes/NAME"
/// @return unknown_route, or invalid_request for an empty or too large body, as errors
result<caller_request> parse_caller_request(config const& configuration,
                                            http_request const& request);

/// Finds a caller's team: the team named in the body if it is configured, else the team with the
/// longest prefix of the caller's IP address, else the route's default team.
/// @param remote_address the caller's IP address
/// @param requested_team "team" of the body; may be empty
std::string resolve_team(config const& configuration, route_config const& route,
                         std::string const& remote_address, std::string const& requested_team);

} // namespace fireflycrank
