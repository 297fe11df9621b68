/// @file
/// Digests: SHA-256 for keys that must not collide, and a fast 64-bit hash for placement.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fireflycrank {

/// SHA-256 of a byte string.
/// @param bytes any bytes
/// @return 64 lower-case hexadecimal digits
std::string sha256_hex(std::string_view bytes);

/// SHA-256 over several fields, each prefixed by its length so that boundaries cannot be confused.
/// @param fields the fields, in order
/// @return 64 lower-case hexadecimal digits
std::string sha256_fields(std::initializer_list<std::string_view> fields);

/// FNV-1a with a final mix; stable across machines and versions.
/// @param bytes any bytes
/// @param seed distinguishes independent hash functions
/// @return a 64-bit hash
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// CRC-32 (reflected polynomial 0xEDB88320) that guards records on disk.
/// @param bytes any bytes
/// @return the checksum
std::uint32_t crc32(std::string_view bytes);

} // namespace fireflycrank
