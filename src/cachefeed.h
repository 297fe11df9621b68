/// @file
/// The agent's side of prefix cache events: follows its engine's cache through late events with
/// gaps, and feeds each following entry within a bound of bytes a second.
#pragma once

#include "clock.h"
#include "loadreport.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace fireflycrank {

/// A cached block as it travels: the lower 32 bits of its hash. Half the bytes of the whole hash;
/// two blocks of one entry's index collide about once in 40,000 look-ups, which costs speed only.
using cache_block = std::uint32_t;

/// Shortens a hash of hash_blocks().
constexpr cache_block short_block(std::uint64_t hash) {
    return static_cast<cache_block>(hash);
}

/// One event as the engine publishes it.
struct engine_cache_event {
    std::uint64_t sequence{0}; ///< rises by one
    bool removed{false};
    std::vector<cache_block> blocks;
};

/// What the engine answered to a poll.
struct engine_cache_answer {
    std::string engine; ///< changes with every start of the engine
    bool listing{false};
    std::uint64_t last{0};                  ///< highest sequence published
    std::vector<engine_cache_event> events; ///< oldest first; empty for a listing
    std::vector<cache_block> blocks;        ///< of a listing
};

/// The next question to the engine.
struct engine_cache_poll {
    bool listing{false};
    std::uint64_t after{0};
};

/// Agent to entry: changes of the cache. Its sequence rises by one per message to one entry.
struct cache_news {
    std::string target;
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    bool listing_begins{false}; ///< forget everything known of this target first
    std::vector<cache_block> stored;
    std::vector<cache_block> removed;
};

/// Entry to agent: news was lost, list the whole cache again.
struct cache_listing_request {
    std::string entry;
};

/// An entry that follows the target's load, and what it grants to cache events.
struct cache_reader {
    std::string entry;
    std::string address;
    std::uint64_t incarnation{0};
    double bytes_per_second{0};
};

struct cache_feed_settings {
    std::size_t max_changes{4'096};     ///< about 0.5 MB; the oldest is forgotten
    std::size_t max_message_blocks{64}; ///< 256 bytes of payload
    /// Envelope, nng framing, IP and TCP headers and acknowledgement of one message.
    std::size_t message_overhead{200};
    double burst_bytes{712};                   ///< the credit saved up: two messages of 39 blocks
    double bytes_per_second{400};              ///< to all readers together
    duration refresh{std::chrono::minutes{2}}; ///< below half the lifetime in prefix_settings
};

/// One change of the engine's cache; a later change of the same block replaces it.
struct cache_change {
    cache_block block{0};
    bool removed{false};
};

/// What one entry was told.
struct cache_follower {
    std::string address;
    std::uint64_t incarnation{0};
    double rate{0};
    double credit{0};
    time_point credited_at;
    std::uint64_t sequence{0};
    std::uint64_t told{0}; ///< changes up to this number were sent
    /// Changes up to this number were sent again, so that the entry does not age them out.
    std::uint64_t refreshed{0};
    time_point refresh_at;
    bool wants_listing{true};
};

/// State of the feed.
struct cache_feed {
    cache_feed_settings settings;
    std::string target;
    std::uint64_t incarnation{0};
    std::string engine;
    std::uint64_t engine_sequence{0};
    bool wants_listing{true};
    std::map<std::uint64_t, cache_change> changes;          ///< by number, oldest first
    std::unordered_map<cache_block, std::uint64_t> numbers; ///< of each block's change
    std::uint64_t last_change{0};
    std::uint64_t last_sequence{0}; ///< no reader's sequence was higher
    std::map<std::string, cache_follower> followers;
    std::uint64_t engine_gaps{0};
    std::uint64_t sent_bytes{0}; ///< with the overhead
};

/// A message to an entry.
struct cache_outgoing {
    std::string address;
    cache_news message;
};

/// The next question to the engine.
engine_cache_poll next_poll(cache_feed const& feed);

/// Takes the engine's answer. After a gap or a restart of the engine, the next poll asks for a
/// listing.
void take_engine_cache(cache_feed& feed, engine_cache_answer const& answer);

/// The entries that follow a target's load and grant bytes to cache events.
std::vector<cache_reader> cache_readers(load_reporter const& reporter, time_point now);

/// Follows the entries that now follow the target's load.
void set_cache_readers(cache_feed& feed, std::vector<cache_reader> const& readers, time_point now);

/// Lists the whole cache to an entry again.
void take_listing_request(cache_feed& feed, cache_listing_request const& request);

/// Makes the messages that the bound allows.
std::vector<cache_outgoing> tick_cache_feed(cache_feed& feed, time_point now);

} // namespace fireflycrank
