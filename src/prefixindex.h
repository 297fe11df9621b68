/// @file
/// Which target probably caches which prompt prefix, built from cache events that arrive late and
/// with gaps. A wrong entry costs speed, never correctness.
#pragma once

#include "clock.h"
#include "route.h"

#include <cstdint>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fireflycrank {

/// What a cache event says about its blocks.
enum class cache_event_kind {
    stored,
    removed,
    cleared ///< the cache is empty, or a full listing follows; ends every doubt of a gap
};

/// One event of an engine's prefix cache. A block's hash covers the whole prompt up to its end.
struct cache_event {
    target_index target{no_target};
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0}; ///< rises by one per event of an incarnation
    cache_event_kind kind{cache_event_kind::stored};
    std::vector<std::uint64_t> blocks;
};

/// Parameters of the index.
struct prefix_settings {
    std::uint32_t block_tokens{32};
    std::size_t max_entries{100'000}; ///< about 15 MB; the oldest entry goes first
    std::size_t max_holders{32};      ///< targets kept per block
    target_index max_targets{16'384}; ///< events of higher target numbers are ignored
    duration lifetime{std::chrono::minutes{5}};
    /// Lifetime of entries from before a gap: the lost events may have removed them.
    duration doubtful_lifetime{std::chrono::seconds{20}};
};

/// One block in one target's cache.
struct prefix_entry {
    std::uint64_t block{0};
    target_index target{no_target};
    time_point seen;
};

/// The event stream of one target.
struct prefix_stream {
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0}; ///< highest seen; 0 before the first
    bool gap{false};
    time_point gap_at;
};

/// The index.
struct prefix_index {
    using position = std::list<prefix_entry>::iterator;
    prefix_settings settings;
    std::list<prefix_entry> by_age; ///< oldest first
    std::unordered_map<std::uint64_t, std::vector<position>> by_block;
    std::vector<prefix_stream> streams; ///< by target number
    std::uint64_t gaps{0};
    std::uint64_t stale_events{0};
};

/// What became of an event.
enum class event_outcome {
    applied,
    applied_after_gap, ///< events were lost; the caller asks the agent for a full listing
    stale              ///< duplicate, late or of an earlier incarnation; ignored
};

/// Applies a cache event.
event_outcome apply_event(prefix_index& index, cache_event const& event, time_point now);

/// Forgets a target.
void forget_target(prefix_index& index, target_index target);

/// Drops entries past their lifetime.
/// @param budget most entries to look at, so that one call stays short
void age_out(prefix_index& index, time_point now, std::size_t budget);

/// Finds the targets with the longest cached beginning of a prompt.
/// @param blocks the prompt's block hashes in order
/// @return at most 16 matches, longest first
std::vector<prefix_match> find_prefix(prefix_index const& index,
                                      std::span<std::uint64_t const> blocks, time_point now);

/// Hashes a prompt in blocks of bytes; each hash covers everything before it. The unfinished last
/// block is left out.
/// @param salt separates models and adapters, whose caches never match
/// @param block_bytes length of a block, above 0
/// @param max_blocks bound on the work for long prompts
std::vector<std::uint64_t> hash_blocks(std::string_view prompt, std::uint64_t salt,
                                       std::size_t block_bytes, std::size_t max_blocks);

} // namespace fireflycrank
