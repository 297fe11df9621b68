/// @file
/// Fingerprints by which retries of the same request are recognized.
#pragma once

#include <string>
#include <string_view>

namespace fireflycrank {

/// The parts of a request that do not change when the caller retries it, at any gateway.
struct fingerprint_fields {
    std::string_view host;
    std::string_view method;
    std::string_view target; ///< path and query as received
    std::string_view caller; ///< the team name, or the API key when no team is known
    std::string_view body;
};

/// Computes the fingerprint of a request.
/// @return 32 hexadecimal digits, identical at all gateways
std::string call_fingerprint(fingerprint_fields const& fields);

/// Computes the fingerprint of a part of prompts, which no request has.
/// @param id the part's id as the caller sent it
/// @return the prefix of parts and 32 hexadecimal digits, identical at all gateways
std::string part_fingerprint(std::string_view id);

} // namespace fireflycrank
