#include "callfingerprint.h"

#include "digest.h"
#include "quarantine.h"

namespace fireflycrank {

namespace {

// 128 bits, so that a caller cannot construct a request with the fingerprint of another caller's.
constexpr std::size_t fingerprint_length = 32;

} // namespace

std::string call_fingerprint(fingerprint_fields const& fields) {
    auto digits = sha256_fields(
        {"call", fields.host, fields.method, fields.target, fields.caller, fields.body});
    digits.resize(fingerprint_length);
    return digits;
}

std::string part_fingerprint(std::string_view id) {
    auto digits = sha256_fields({"part", id});
    digits.resize(fingerprint_length);
    return std::string{part_prefix} + digits;
}

} // namespace fireflycrank
