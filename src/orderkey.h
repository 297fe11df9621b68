/// @file
/// The key under which an order is claimed.
#pragma once

#include "error.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace fireflycrank {

/// Where the key of a route's orders comes from.
enum class key_source : std::uint8_t {
    digest,    ///< digest of team, route and body; needs nothing from the caller
    header,    ///< a request header
    json_field ///< a field of the JSON body, named by a JSON pointer
};

/// How the keys of one route are made.
struct order_key_rule {
    key_source source{key_source::digest};
    std::string name; ///< header name, or JSON pointer such as "/order/number"
    std::chrono::milliseconds window{std::chrono::hours{1}}; ///< life of a digest key since it was
                                                             ///< last seen
    bool require{false}; ///< refuse a request without the header or field, instead of using the
                         ///< digest
};

/// The parts of a request that make its key.
struct order_key_input {
    std::string_view team;
    std::string_view route;
    std::string_view header_value; ///< value of the configured header; empty when absent
    std::string_view body;
};

/// A key with the digest that tells whether two requests under it are the same.
struct order_key {
    std::string key;         ///< 64 hexadecimal digits
    std::string body_digest; ///< digest of team, route and body
    bool from_digest{false}; ///< the key is the body digest, so it expires with its window
    std::chrono::milliseconds window{0}; ///< zero for explicit keys, which do not expire
};

/// Makes the key of an order. Explicit keys are digested with team and route, so that two teams
/// never share a key and every key has the same size.
/// @param rule the route's rule
/// @param input the request's parts
/// @return the key, or invalid_request when a required header or field is missing or too long
result<order_key> make_order_key(order_key_rule const& rule, order_key_input const& input);

/// Recognises a request that is sent again, whatever its key and caller.
/// @param route the route's name
/// @param body the request's body
/// @return digest of route and body, used for quarantine
std::string order_fingerprint(std::string_view route, std::string_view body);

} // namespace fireflycrank
