/// @file
/// The agent's polls of its engine's cache events.
#pragma once

#include "cachefeed.h"
#include "mailbox.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace fireflycrank {

/// Polls the engine: GET /v1/cache/events?after=N, or GET /v1/cache/blocks for a listing.
/// @param engine "ip:port"
/// @param poll the question
/// @param on_answer called once; with nothing if the engine has no such events
void poll_engine_cache(std::string const& engine, engine_cache_poll const& poll,
                       std::function<void(std::optional<engine_cache_answer>)> on_answer);

/// What the agent's cache task works with.
struct cache_task {
    std::string const& engine; ///< "ip:port"
    std::mutex& mutex;         ///< guards the reporter and the link
    load_reporter const& reporter;
    mailbox& box;
};

/// The feed and its poll.
struct cache_link {
    cache_feed feed;
    bool polling{false};
};

/// Sends what is due of the cache's changes, then polls the engine unless a poll is under way.
/// Called without the mutex.
/// @param task outlives the poll, as does the link
/// @param link the feed
/// @param now the present time
void tick_cache(cache_task const& task, cache_link& link, time_point now);

} // namespace fireflycrank
