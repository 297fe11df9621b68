#include "digest.h"

#include "rng.h"

#include <openssl/evp.h>

#include <array>
#include <memory>
#include <stdexcept>

namespace fireflycrank {

namespace {

constexpr std::size_t sha256_bytes = 32;
constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnv_prime = 0x100000001b3ULL;

using digest_context = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

digest_context start_sha256() {
    digest_context context{EVP_MD_CTX_new(), &EVP_MD_CTX_free};
    if (!context || EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("SHA-256 is not available in this OpenSSL build");
    }
    return context;
}

std::string finish_hex(EVP_MD_CTX* context) {
    std::array<unsigned char, sha256_bytes> raw{};
    EVP_DigestFinal_ex(context, raw.data(), nullptr);
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(raw.size() * 2);
    for (unsigned char const byte : raw) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0xfU]);
    }
    return text;
}

constexpr std::array<std::uint32_t, 256> make_crc_table() {
    std::array<std::uint32_t, 256> table{};
    for (std::uint32_t index = 0; index < table.size(); ++index) {
        std::uint32_t value = index;
        for (int bit = 0; bit < 8; ++bit) {
            value = (value & 1U) != 0 ? (value >> 1U) ^ 0xedb88320U : value >> 1U;
        }
        table.at(index) = value;
    }
    return table;
}

} // namespace

std::string sha256_hex(std::string_view bytes) {
    auto const context = start_sha256();
    EVP_DigestUpdate(context.get(), bytes.data(), bytes.size());
    return finish_hex(context.get());
}

std::string sha256_fields(std::initializer_list<std::string_view> fields) {
    auto const context = start_sha256();
    for (std::string_view const field : fields) {
        std::uint64_t const length = field.size();
        EVP_DigestUpdate(context.get(), &length, sizeof length);
        EVP_DigestUpdate(context.get(), field.data(), field.size());
    }
    return finish_hex(context.get());
}

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed) {
    std::uint64_t value = fnv_offset ^ seed;
    for (char const character : bytes) {
        value = (value ^ static_cast<unsigned char>(character)) * fnv_prime;
    }
    rng mixer{value};
    return next_bits(mixer);
}

std::uint32_t crc32(std::string_view bytes) {
    static constexpr auto table = make_crc_table();
    std::uint32_t value = 0xffffffffU;
    for (char const character : bytes) {
        auto const index = (value ^ static_cast<unsigned char>(character)) & 0xffU;
        value = (value >> 8U) ^ table.at(index);
    }
    return ~value;
}

} // namespace fireflycrank
