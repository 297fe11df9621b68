/// @file
/// The entry's side of prefix cache events: keeps the prefix index and finds cached prompts.
#pragma once

#include "cachefeed.h"
#include "config.h"
#include "prefixindex.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflycrank {

/// What one entry receives of cache events, from all targets together. With 600, the worst daemon
/// of bench_membership spent 9,024 of its 9,000 bytes a second on control.
inline constexpr double cache_event_bytes_per_second = 400;

/// Bytes of a block. Engines with another block length publish events for this one.
inline constexpr std::size_t cache_block_bytes = 128;

/// Blocks of a prompt that are looked up, from its beginning.
inline constexpr std::size_t max_prompt_blocks = 128;

/// What an entry grants to the cache events of each target that it follows.
/// @param followed number of targets
/// @return bytes a second
std::uint32_t cache_event_rate(std::size_t followed);

/// The entry's knowledge of the caches.
struct prefix_cache_view {
    prefix_index index;
    std::map<target_index, time_point> listing_requested_at; ///< when a listing was last asked for
    std::uint64_t listings_requested{0};                     ///< asked for
};

/// The salt of hash_blocks(): caches of different models, versions and adapters never match.
std::uint64_t prefix_salt(std::string_view model, std::string_view version,
                          std::string_view adapter);

/// The blocks of a prompt on a route, as cache events name them; none for a service.
std::vector<std::uint64_t> hash_prompt_blocks(config const& intent, route_config const& route,
                                              std::string_view prompt);

/// Takes news of a target's cache.
/// @param cache the entry's knowledge
/// @param target the target's number
/// @param news the news
/// @param now the present time
/// @return true if news was lost and a listing is to be asked for now
bool apply_cache_update(prefix_cache_view& cache, target_index target, cache_news const& news,
                        time_point now);

/// Forgets a target that leaves the route table.
void remove_target_cache(prefix_cache_view& cache, target_index target);

} // namespace fireflycrank
