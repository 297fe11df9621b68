// Cache events from the engine's answer to the entry's index, without processes.
#include "cachewire.h"
#include "entrycache.h"
#include "streamcontrol.h"

#include <doctest/doctest.h>

using namespace fireflycrank;
using namespace std::chrono_literals;

namespace {

time_point const start{100s};

cache_feed make_feed(int readers) {
    cache_feed feed;
    feed.target = "runner-1";
    feed.incarnation = 7;
    std::vector<cache_reader> list;
    list.reserve(static_cast<std::size_t>(readers));
    for (int number = 0; number < readers; ++number) {
        list.push_back({"entry-" + std::to_string(number), "address", 1, 400});
    }
    set_cache_readers(feed, list, start);
    return feed;
}

engine_cache_answer events(std::vector<engine_cache_event> list) {
    std::uint64_t const last = list.back().sequence;
    return {"engine", false, last, std::move(list), {}};
}

std::size_t entries(prefix_cache_view const& cache) {
    return cache.index.by_age.size();
}

} // namespace

TEST_CASE("a gap in the engine's events is repaired by differences to its listing") {
    // Guards against blocks that stay listed after their removal was lost.
    cache_feed feed = make_feed(1);
    CHECK(next_poll(feed).listing);
    take_engine_cache(feed, {"engine", true, 4, {}, {1, 2, 3}});
    CHECK_FALSE(next_poll(feed).listing);
    take_engine_cache(feed, events({{5, false, {4}}, {7, false, {6}}}));
    CHECK(next_poll(feed).listing);
    CHECK(feed.engine_gaps == 1);
    take_engine_cache(feed, {"engine", true, 7, {}, {1, 3, 4, 6}});
    prefix_cache_view cache;
    for (auto const& news : tick_cache_feed(feed, start)) {
        auto const decoded = decode_cache_news(encode(news.message));
        REQUIRE(decoded);
        CHECK_FALSE(apply_cache_update(cache, 0, *decoded, start));
    }
    CHECK(entries(cache) == 4);
    CHECK_FALSE(cache.index.by_block.contains(2));
}

TEST_CASE("a lost message makes the entry ask for a listing, which ends every doubt") {
    // Guards against an entry that trusts an index with holes.
    cache_feed feed = make_feed(1);
    prefix_cache_view cache;
    std::uint64_t sequence = 0;
    time_point now = start;
    auto const next = [&](cache_block block, bool removed) {
        now += 2s;
        take_engine_cache(feed, events({{++sequence, removed, {block}}}));
        auto const messages = tick_cache_feed(feed, now);
        REQUIRE(messages.size() == 1);
        return messages.front().message;
    };
    take_engine_cache(feed, {"engine", true, 0, {}, {}});
    CHECK_FALSE(apply_cache_update(cache, 0, next(1, false), now));
    next(1, true); // lost
    CHECK(apply_cache_update(cache, 0, next(2, false), now));
    CHECK_FALSE(apply_cache_update(cache, 0, next(3, false), now)); // asked a moment ago
    CHECK(cache.index.by_block.contains(1));
    take_listing_request(feed, {"entry-0"});
    CHECK_FALSE(apply_cache_update(cache, 0, next(4, false), now));
    CHECK_FALSE(cache.index.by_block.contains(1));
    CHECK(entries(cache) == 3);
    remove_target_cache(cache, 0);
    CHECK(entries(cache) == 0);
}

TEST_CASE("an agent's cache events stay within 400 bytes a second to all readers together") {
    // Guards against a busy cache that uses up the daemons' control budget.
    for (int const readers : {1, 36}) {
        cache_feed feed = make_feed(readers);
        std::uint64_t sequence = 0;
        take_engine_cache(feed, {"engine", true, 0, {}, {}});
        time_point now = start;
        for (; now < start + 100s; now += 200ms) {
            auto const block = static_cast<cache_block>(sequence * 16);
            take_engine_cache(feed, events({{++sequence, false, {block, block + 1, block + 2}}}));
            tick_cache_feed(feed, now);
        }
        double const burst = feed.settings.burst_bytes * readers;
        CHECK(double(feed.sent_bytes) <= 400 * 100 + burst);
        CHECK(double(feed.sent_bytes) >= 400 * 50); // the bound is used, too
    }
}

TEST_CASE("a resume that fails is repeated until the engine confirms it") {
    // Guards against a paused stream that waits for ever after one lost call.
    stream_control control;
    want_stream(control, 1, true);
    auto calls = due_stream_calls(control, start);
    REQUIRE(calls.size() == 1);
    CHECK(calls.front().pause);
    want_stream(control, 1, false); // while the call is under way
    CHECK(due_stream_calls(control, start).empty());
    end_stream_call(control, calls.front(), false, start);
    CHECK(due_stream_calls(control, start).empty());
    for (int attempt = 1; attempt <= 3; ++attempt) {
        calls = due_stream_calls(control, start + attempt * 200ms);
        REQUIRE(calls.size() == 1);
        CHECK_FALSE(calls.front().pause);
        end_stream_call(control, calls.front(), attempt == 3, start + attempt * 200ms);
    }
    CHECK(due_stream_calls(control, start + 10s).empty());
}
