#include "cachefeed.h"

#include <algorithm>
#include <unordered_set>

namespace fireflycrank {

namespace {

void record_change(cache_feed& feed, cache_block block, bool removed) {
    auto const known = feed.numbers.find(block);
    if (known != feed.numbers.end()) {
        feed.changes.erase(known->second);
    }
    feed.changes[++feed.last_change] = {block, removed};
    feed.numbers[block] = feed.last_change;
    while (feed.changes.size() > feed.settings.max_changes) {
        // A reader that was not told of a removal yet ages the block out.
        feed.numbers.erase(feed.changes.begin()->second.block);
        feed.changes.erase(feed.changes.begin());
    }
}

bool is_held(cache_feed const& feed, cache_block block) {
    auto const known = feed.numbers.find(block);
    return known != feed.numbers.end() && !feed.changes.at(known->second).removed;
}

// Records the differences between what was known and what the engine lists.
void take_listing(cache_feed& feed, std::vector<cache_block> const& blocks) {
    std::unordered_set<cache_block> const listed{blocks.begin(), blocks.end()};
    std::vector<cache_block> gone;
    for (auto const& [number, change] : feed.changes) {
        if (!change.removed && !listed.contains(change.block)) {
            gone.push_back(change.block);
        }
    }
    for (cache_block const block : gone) {
        record_change(feed, block, true);
    }
    for (cache_block const block : blocks) {
        if (!is_held(feed, block)) {
            record_change(feed, block, false);
        }
    }
}

void take_event(cache_feed& feed, engine_cache_event const& event) {
    if (event.sequence <= feed.engine_sequence) {
        return;
    }
    if (event.sequence != feed.engine_sequence + 1) {
        ++feed.engine_gaps;
        feed.wants_listing = true;
    }
    feed.engine_sequence = event.sequence;
    for (cache_block const block : event.blocks) {
        if (is_held(feed, block) == event.removed) {
            record_change(feed, block, event.removed);
        }
    }
}

void restart_listing(cache_feed const& feed, cache_follower& follower, time_point now) {
    follower.told = 0;
    follower.refreshed = feed.last_change;
    follower.refresh_at = now + feed.settings.refresh;
}

// Moves changes after a position into a message. Returns the new position.
std::uint64_t fill_message(cache_feed const& feed, std::uint64_t position, std::size_t most,
                           bool with_removed, cache_news& news) {
    for (auto at = feed.changes.upper_bound(position);
         at != feed.changes.end() && news.stored.size() + news.removed.size() < most; ++at) {
        position = at->first;
        if (!at->second.removed) {
            news.stored.push_back(at->second.block);
        } else if (with_removed) {
            news.removed.push_back(at->second.block);
        }
    }
    return position;
}

void earn_credit(cache_feed const& feed, cache_follower& follower, time_point now) {
    double const seconds = std::chrono::duration<double>(now - follower.credited_at).count();
    double const share = feed.settings.bytes_per_second / double(feed.followers.size());
    follower.credit = std::min(feed.settings.burst_bytes,
                               follower.credit + seconds * std::min(follower.rate, share));
    follower.credited_at = now;
}

// How many blocks the next message may hold; 0 to wait. A message goes out once it holds all that
// is new, or as much as half of the saved credit pays for, so that its overhead is worth it.
std::size_t message_blocks(cache_feed const& feed, cache_follower const& follower) {
    std::size_t const unsent = follower.told >= feed.last_change
                                   ? feed.settings.max_message_blocks
                                   : static_cast<std::size_t>(feed.last_change - follower.told);
    double const overhead = double(feed.settings.message_overhead);
    double const paid = (follower.credit - overhead) / sizeof(cache_block);
    double const enough = (feed.settings.burst_bytes / 2 - overhead) / sizeof(cache_block);
    if (paid < 1 || paid < std::min(double(unsent), enough)) {
        return 0;
    }
    return std::min(static_cast<std::size_t>(paid), feed.settings.max_message_blocks);
}

// Makes the next message for one reader; an empty one is not sent.
cache_news make_news(cache_feed const& feed, cache_follower& follower, std::size_t most,
                     time_point now) {
    cache_news news{feed.target, feed.incarnation, 0, follower.wants_listing, {}, {}};
    if (follower.wants_listing) {
        restart_listing(feed, follower, now);
        follower.wants_listing = false;
    }
    if (follower.told < feed.last_change) {
        follower.told = fill_message(feed, follower.told, most, !news.listing_begins, news);
        return news;
    }
    if (now >= follower.refresh_at && follower.refreshed >= feed.last_change) {
        follower.refreshed = 0;
        follower.refresh_at = now + feed.settings.refresh;
    }
    if (follower.refreshed < feed.last_change) {
        follower.refreshed = fill_message(feed, follower.refreshed, most, false, news);
    }
    return news;
}

} // namespace

engine_cache_poll next_poll(cache_feed const& feed) {
    return {feed.wants_listing, feed.engine_sequence};
}

void take_engine_cache(cache_feed& feed, engine_cache_answer const& answer) {
    if (answer.engine != feed.engine && !answer.listing) {
        feed.wants_listing = true;
        return;
    }
    feed.engine = answer.engine;
    if (answer.listing) {
        take_listing(feed, answer.blocks);
        feed.engine_sequence = answer.last;
        feed.wants_listing = false;
        return;
    }
    for (engine_cache_event const& event : answer.events) {
        take_event(feed, event);
    }
    if (feed.engine_sequence < answer.last) {
        ++feed.engine_gaps;
        feed.wants_listing = true; // the newest events were lost
    }
}

std::vector<cache_reader> cache_readers(load_reporter const& reporter, time_point now) {
    std::vector<cache_reader> readers;
    for (auto const& [entry, follower] : reporter.followers) {
        if (!follower.ended && now < follower.lease_end && follower.cache_rate > 0) {
            readers.push_back({entry, follower.address, follower.incarnation,
                               static_cast<double>(follower.cache_rate)});
        }
    }
    return readers;
}

void set_cache_readers(cache_feed& feed, std::vector<cache_reader> const& readers, time_point now) {
    std::map<std::string, cache_follower> next;
    for (cache_reader const& reader : readers) {
        cache_follower& follower = next[reader.entry];
        auto const known = feed.followers.find(reader.entry);
        if (known != feed.followers.end() && known->second.incarnation == reader.incarnation) {
            follower = known->second;
        } else {
            follower.credit = feed.settings.burst_bytes;
            follower.credited_at = now;
            follower.sequence = feed.last_sequence;
        }
        follower.address = reader.address;
        follower.incarnation = reader.incarnation;
        follower.rate = reader.bytes_per_second;
    }
    feed.followers = std::move(next);
}

void take_listing_request(cache_feed& feed, cache_listing_request const& request) {
    auto const follower = feed.followers.find(request.entry);
    if (follower != feed.followers.end()) {
        follower->second.wants_listing = true;
    }
}

std::vector<cache_outgoing> tick_cache_feed(cache_feed& feed, time_point now) {
    std::vector<cache_outgoing> messages;
    for (auto& [entry, follower] : feed.followers) {
        earn_credit(feed, follower, now);
        std::size_t const most = message_blocks(feed, follower);
        if (most == 0) {
            continue;
        }
        cache_news news = make_news(feed, follower, most, now);
        if (!news.listing_begins && news.stored.empty() && news.removed.empty()) {
            continue;
        }
        std::size_t const bytes = feed.settings.message_overhead +
                                  sizeof(cache_block) * (news.stored.size() + news.removed.size());
        follower.credit -= double(bytes);
        feed.sent_bytes += bytes;
        news.sequence = ++follower.sequence;
        feed.last_sequence = std::max(feed.last_sequence, follower.sequence);
        messages.push_back({follower.address, std::move(news)});
    }
    return messages;
}

} // namespace fireflycrank
