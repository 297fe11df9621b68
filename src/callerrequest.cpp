#include "callerrequest.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace fireflycrank {

namespace {

using nlohmann::json;

constexpr std::string_view route_prefix = "/v1/routes/";
constexpr std::size_t bytes_per_token = 4;

// Reads the fields of a JSON body that matter for routing. For a body in another format the
// defaults stay; it is forwarded unchanged.
void read_body_fields(json const& body, caller_request& request, std::string& team) {
    if (!body.is_object()) {
        return;
    }
    auto const stream = body.find("stream");
    request.stream = stream != body.end() && stream->is_boolean() && stream->get<bool>();
    auto const limit = body.find("max_tokens");
    if (limit != body.end() && limit->is_number_unsigned()) {
        request.output_limit = static_cast<std::uint32_t>(
            std::min<std::uint64_t>(limit->get<std::uint64_t>(), UINT32_MAX));
    }
    auto const prompt = body.find("prompt");
    if (prompt != body.end() && prompt->is_string()) {
        request.prompt = prompt->get<std::string>();
    }
    auto const requested_team = body.find("team");
    if (requested_team != body.end() && requested_team->is_string()) {
        team = requested_team->get<std::string>();
    }
}

} // namespace

std::string resolve_team(config const& configuration, route_config const& route,
                         std::string const& remote_address, std::string const& requested_team) {
    if (configuration.teams.contains(requested_team)) {
        return requested_team;
    }
    std::string best = route.default_team;
    std::size_t longest = 0;
    for (auto const& [name, team] : configuration.teams) {
        for (std::string const& prefix : team.callers) {
            if (prefix.size() > longest && remote_address.starts_with(prefix)) {
                best = name;
                longest = prefix.size();
            }
        }
    }
    return best;
}

result<caller_request> parse_caller_request(config const& configuration,
                                            http_request const& request) {
    caller_request parsed;
    if (!request.path.starts_with(route_prefix)) {
        return fail(error_kind::unknown_route, "no such path: " + request.path,
                    "post to /v1/routes/NAME");
    }
    parsed.route = request.path.substr(route_prefix.size());
    auto const route = configuration.routes.find(parsed.route);
    if (route == configuration.routes.end()) {
        return fail(error_kind::unknown_route, "no route \"" + parsed.route + "\" is configured",
                    "use a configured route's name");
    }
    if (request.body.empty()) {
        return fail(error_kind::invalid_request, "the body is empty",
                    "send the request in the body");
    }
    if (request.body.size() > route->second.max_body_bytes) {
        return fail(error_kind::invalid_request,
                    "the body exceeds the route's limit of " +
                        std::to_string(route->second.max_body_bytes) + " bytes",
                    "shorten it or raise max_body_bytes");
    }
    parsed.method = "POST";
    parsed.body = request.body;
    auto const type = request.headers.find("content-type");
    parsed.content_type = type == request.headers.end() ? "application/json" : type->second;
    if (route->second.order_key.source == order_key_source::header) {
        auto const key = std::find_if(
            request.headers.begin(), request.headers.end(), [&route](auto const& header) {
                return std::equal(header.first.begin(), header.first.end(),
                                  route->second.order_key.name.begin(),
                                  route->second.order_key.name.end(), [](char left, char right) {
                                      return std::tolower(static_cast<unsigned char>(left)) ==
                                             std::tolower(static_cast<unsigned char>(right));
                                  });
            });
        parsed.order_key_header = key == request.headers.end() ? "" : key->second;
    }
    std::string requested_team;
    parsed.output_limit = route->second.output_limit;
    read_body_fields(json::parse(request.body, nullptr, false), parsed, requested_team);
    parsed.prompt_tokens = static_cast<std::uint32_t>(request.body.size() / bytes_per_token);
    parsed.team =
        resolve_team(configuration, route->second, request.remote_address, requested_team);
    return parsed;
}

} // namespace fireflycrank
