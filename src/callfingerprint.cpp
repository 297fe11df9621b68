#include "callfingerprint.h"

#include "digest.h"

namespace fireflycrank {

namespace {

// 128 bits: a caller cannot find a request that is taken for another caller's.
constexpr std::size_t fingerprint_digits = 32;

} // namespace

std::string call_fingerprint(fingerprint_fields const& identity) {
    auto digits = sha256_fields(
        {"call", identity.host, identity.method, identity.target, identity.caller, identity.body});
    digits.resize(fingerprint_digits);
    return digits;
}

} // namespace fireflycrank
