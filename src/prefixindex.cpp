#include "prefixindex.h"

#include "digest.h"

#include <algorithm>

namespace fireflycrank {

namespace {

constexpr std::size_t max_matches = 16;

/// Entries of a target are removed from the block's list, and the list when it is empty.
void unlink(prefix_index& index, prefix_index::position at) {
    auto const found = index.by_block.find(at->block);
    std::erase(found->second, at);
    if (found->second.empty()) {
        index.by_block.erase(found);
    }
    index.by_age.erase(at);
}

bool alive(prefix_index const& index, prefix_entry const& entry, time_point now) {
    auto const& stream = index.streams[entry.target];
    bool const doubtful = stream.gap && entry.seen <= stream.gap_at;
    return now - entry.seen <=
           (doubtful ? index.settings.doubtful_lifetime : index.settings.lifetime);
}

void store_block(prefix_index& index, std::uint64_t block, target_index target, time_point now) {
    auto& holders = index.by_block[block];
    auto const known = std::find_if(holders.begin(), holders.end(),
                                    [&](auto const& at) { return at->target == target; });
    if (known != holders.end()) {
        (*known)->seen = now;
        index.by_age.splice(index.by_age.end(), index.by_age, *known);
        return;
    }
    if (holders.size() >= index.settings.max_holders) {
        auto const oldest = std::min_element(
            holders.begin(), holders.end(),
            [](auto const& left, auto const& right) { return left->seen < right->seen; });
        index.by_age.erase(*oldest);
        holders.erase(oldest);
    }
    index.by_age.push_back({block, target, now});
    holders.push_back(std::prev(index.by_age.end()));
    while (index.by_age.size() > index.settings.max_entries) {
        unlink(index, index.by_age.begin());
    }
}

void remove_block(prefix_index& index, std::uint64_t block, target_index target) {
    auto const found = index.by_block.find(block);
    if (found == index.by_block.end()) {
        return;
    }
    auto const held = std::find_if(found->second.begin(), found->second.end(),
                                   [&](auto const& at) { return at->target == target; });
    if (held != found->second.end()) {
        unlink(index, *held);
    }
}

void drop_entries(prefix_index& index, target_index target) {
    for (auto at = index.by_age.begin(); at != index.by_age.end();) {
        auto const next = std::next(at);
        if (at->target == target) {
            unlink(index, at);
        }
        at = next;
    }
}

/// Adds the live holders of one block that are not matched yet.
void add_matches(prefix_index const& index, std::uint64_t block, std::uint32_t tokens,
                 time_point now, std::vector<prefix_match>& matches) {
    auto const found = index.by_block.find(block);
    // Holders of a longer beginning also hold this one, so an equal count brings nothing new.
    if (found == index.by_block.end() || found->second.size() <= matches.size()) {
        return;
    }
    for (auto const& at : found->second) {
        if (matches.size() == max_matches) {
            return;
        }
        bool const known = std::any_of(matches.begin(), matches.end(), [&](auto const& match) {
            return match.target == at->target;
        });
        if (!known && alive(index, *at, now)) {
            matches.push_back({at->target, tokens});
        }
    }
}

} // namespace

event_outcome apply_event(prefix_index& index, cache_event const& event, time_point now) {
    if (event.target >= index.settings.max_targets) {
        ++index.stale_events;
        return event_outcome::stale;
    }
    if (event.target >= index.streams.size()) {
        index.streams.resize(event.target + 1);
    }
    auto& stream = index.streams[event.target];
    if (event.incarnation < stream.incarnation ||
        (event.incarnation == stream.incarnation && event.sequence <= stream.sequence)) {
        ++index.stale_events;
        return event_outcome::stale;
    }
    if (event.incarnation > stream.incarnation) {
        if (stream.incarnation != 0) {
            drop_entries(index, event.target); // A restarted engine starts with an empty cache.
        }
        // The first event seen may come in mid-stream: nothing from before it is held, so nothing
        // is in doubt.
        stream = {event.incarnation, event.sequence - 1, false, {}};
    }
    bool const gap = event.sequence != stream.sequence + 1;
    stream.sequence = event.sequence;
    if (event.kind == cache_event_kind::cleared) {
        drop_entries(index, event.target);
        stream.gap = false;
    } else if (gap) {
        stream.gap = true;
        stream.gap_at = now;
        ++index.gaps;
    }
    for (auto const block : event.blocks) {
        if (event.kind == cache_event_kind::removed) {
            remove_block(index, block, event.target);
        } else {
            store_block(index, block, event.target, now);
        }
    }
    return stream.gap && gap ? event_outcome::applied_after_gap : event_outcome::applied;
}

void forget_target(prefix_index& index, target_index target) {
    drop_entries(index, target);
    if (target < index.streams.size()) {
        index.streams[target] = {};
    }
}

void age_out(prefix_index& index, time_point now, std::size_t budget) {
    for (auto at = index.by_age.begin(); at != index.by_age.end() && budget > 0; --budget) {
        if (now - at->seen <= index.settings.doubtful_lifetime) {
            return; // Everything behind is younger still.
        }
        auto const next = std::next(at);
        if (!alive(index, *at, now)) {
            unlink(index, at);
        }
        at = next;
    }
}

std::vector<prefix_match> find_prefix(prefix_index const& index,
                                      std::span<std::uint64_t const> blocks, time_point now) {
    // Engines evict from the end of a prompt, so the known blocks of a prompt form a beginning and
    // its length can be found by bisection.
    std::size_t known = 0;
    std::size_t unknown = blocks.size() + 1;
    while (unknown - known > 1) {
        auto const middle = (known + unknown) / 2;
        (index.by_block.contains(blocks[middle - 1]) ? known : unknown) = middle;
    }
    std::vector<prefix_match> matches;
    matches.reserve(max_matches);
    // Holders of ever shorter beginnings follow: when the few deep holders are busy, a target with
    // the shared house prompt is still better than one with nothing.
    for (auto depth = known; depth > 0 && matches.size() < max_matches; depth /= 2) {
        auto const tokens = static_cast<std::uint32_t>(depth * index.settings.block_tokens);
        add_matches(index, blocks[depth - 1], tokens, now, matches);
    }
    return matches;
}

std::vector<std::uint64_t> hash_blocks(std::string_view prompt, std::uint64_t salt,
                                       std::size_t block_bytes, std::size_t max_blocks) {
    std::vector<std::uint64_t> hashes;
    auto const count = std::min(prompt.size() / block_bytes, max_blocks);
    hashes.reserve(count);
    std::uint64_t chain = salt;
    for (std::size_t at = 0; at < count; ++at) {
        chain = hash64(prompt.substr(at * block_bytes, block_bytes), chain);
        hashes.push_back(chain);
    }
    return hashes;
}

} // namespace fireflycrank
