#include "orderkey.h"

#include "digest.h"

#include <nlohmann/json.hpp>

namespace fireflycrank {

namespace {

// Longer values are malformed or hostile; order numbers and UUIDs are far shorter.
constexpr std::size_t max_explicit_key_bytes = 256;

/// Reads a string or an integer; other JSON types have no canonical text.
std::string read_json_key(std::string const& pointer, std::string_view body) {
    auto const document = nlohmann::json::parse(body, nullptr, false);
    if (document.is_discarded() || pointer.empty() || pointer.front() != '/') {
        return {};
    }
    try {
        auto const& field = document.at(nlohmann::json::json_pointer{pointer});
        if (field.is_string()) {
            return field.get<std::string>();
        }
        return field.is_number_integer() ? field.dump() : std::string{};
    } catch (nlohmann::json::exception const&) {
        return {};
    }
}

std::string explicit_value(order_key_rule const& rule, order_key_input const& input) {
    switch (rule.source) {
    case key_source::header:
        return std::string{input.header_value};
    case key_source::json_field:
        return read_json_key(rule.name, input.body);
    case key_source::digest:
        break;
    }
    return {};
}

} // namespace

result<order_key> make_order_key(order_key_rule const& rule, order_key_input const& input) {
    order_key made;
    made.body_digest = sha256_fields({"body", input.team, input.route, input.body});
    auto const value = explicit_value(rule, input);
    if (value.size() > max_explicit_key_bytes) {
        return fail(error_kind::invalid_request,
                    "the order key has " + std::to_string(value.size()) + " bytes",
                    "send a key of at most 256 bytes");
    }
    if (!value.empty()) {
        made.key = sha256_fields({"key", input.team, input.route, value});
        return made;
    }
    if (rule.source != key_source::digest && rule.require) {
        return fail(error_kind::invalid_request, "the order has no key in " + rule.name,
                    "send the header or field that the route names, once for each order");
    }
    made.key = made.body_digest;
    made.from_digest = true;
    made.window = rule.window;
    return made;
}

std::string order_fingerprint(std::string_view route, std::string_view body) {
    return sha256_fields({"fingerprint", route, body});
}

} // namespace fireflycrank
