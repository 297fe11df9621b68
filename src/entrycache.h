/// @file
/// Prefix cache events at an entry: applies them to the prefix index and hashes prompts for its
/// look-ups.
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

/// Limit on the cache events that one entry receives from all targets together. With 600, the worst
/// daemon of bench_membership exceeded its control traffic limit: 9,024 of 9,000 bytes per second.
inline constexpr double cache_event_bytes_per_second = 400;

/// Bytes of a prompt block. Engines with another block length publish events for this one.
inline constexpr std::size_t cache_block_bytes = 128;

/// Blocks that are looked up from the beginning of a prompt.
inline constexpr std::size_t max_prompt_blocks = 128;

/// The limit on cache events for each target that the entry follows.
/// @param followed number of targets
/// @return bytes per second
std::uint32_t cache_event_rate(std::size_t followed);

/// The entry's view of the targets' prefix caches.
struct prefix_cache_view {
    prefix_index index;
    std::map<target_index, time_point> listing_requested_at; ///< last request for a full listing
    std::uint64_t listings_requested{0};                     ///< counter
};

/// The salt for hash_blocks(), so that prompts of different models, versions and adapters never
/// match.
std::uint64_t prefix_salt(std::string_view model, std::string_view version,
                          std::string_view adapter);

/// The block hashes of a prompt on a route, as cache events contain them; empty for a service.
std::vector<std::uint64_t> hash_prompt_blocks(config const& configuration,
                                              route_config const& route, std::string_view prompt);

/// Applies changes of a target's cache.
/// @return true if changes were lost and a full listing must be requested now
bool apply_cache_update(prefix_cache_view& cache, target_index target, cache_news const& update,
                        time_point now);

/// Removes a target that leaves the route table.
void remove_target_cache(prefix_cache_view& cache, target_index target);

} // namespace fireflycrank
