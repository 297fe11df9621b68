#include "packedtext.h"

#include <algorithm>
#define ZLIB_CONST // zlib then takes constant input
#include <zlib.h>

namespace fireflycrank {

namespace {

// The ratio hardly grows with slower levels on such JSON.
constexpr int level = Z_BEST_SPEED;
constexpr std::size_t step_bytes = std::size_t{64} << 10U;

Bytef const* as_bytes(std::string_view text) {
    return reinterpret_cast<Bytef const*>(text.data());
}

Bytef* as_bytes(char* text) {
    return reinterpret_cast<Bytef*>(text);
}

} // namespace

std::string pack_text(std::string_view text) {
    uLongf size = compressBound(text.size());
    std::string packed(size, '\0');
    // Fails only for a buffer below the bound or without memory; the result is then empty and
    // refused by unpack_text.
    int const outcome =
        compress2(as_bytes(packed.data()), &size, as_bytes(text), text.size(), level);
    packed.resize(outcome == Z_OK ? size : 0);
    return packed;
}

result<std::string> unpack_text(std::string_view packed, std::size_t max_bytes) {
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK) {
        return fail(error_kind::unavailable, "no memory to restore a compressed text",
                    "give the process more memory");
    }
    stream.next_in = as_bytes(packed);
    stream.avail_in = static_cast<uInt>(packed.size());
    std::string text;
    int outcome = Z_OK;
    while (outcome == Z_OK && text.size() <= max_bytes) {
        auto const used = text.size();
        text.resize(used + step_bytes);
        stream.next_out = as_bytes(text.data() + used);
        stream.avail_out = static_cast<uInt>(step_bytes);
        outcome = inflate(&stream, Z_NO_FLUSH);
        text.resize(text.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    if (outcome != Z_STREAM_END || text.size() > max_bytes) {
        return fail(error_kind::corrupt_data, "a compressed text is not whole or too long",
                    "send it again");
    }
    return text;
}

} // namespace fireflycrank
