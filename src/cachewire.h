/// @file
/// Turns cache news and listing requests into bytes and back, and reads the engine's JSON.
#pragma once

#include "cachefeed.h"

#include <optional>
#include <string>
#include <string_view>

namespace fireflycrank {

/// Name of cache news in the envelope.
inline constexpr std::string_view cache_news_type = "CacheNews";
/// Name of listing requests in the envelope.
inline constexpr std::string_view cache_listing_type = "CacheListing";

/// Encodes cache news.
std::string encode(cache_news const& news);
/// Encodes a listing request.
std::string encode(cache_listing_request const& request);
/// Decodes cache news; nothing if it is malformed.
std::optional<cache_news> decode_cache_news(std::string const& body);
/// Decodes a listing request; nothing if it is malformed.
std::optional<cache_listing_request> decode_cache_listing(std::string const& body);

/// Reads the engine's answer: `engine`, `last`, and `events` (each with `sequence`, `kind` and
/// `blocks`) or, for a listing, `blocks`. Blocks are hexadecimal strings.
/// @param body the JSON text
/// @return the answer; nothing if it is malformed
std::optional<engine_cache_answer> parse_engine_cache(std::string const& body);

} // namespace fireflycrank
