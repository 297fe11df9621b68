#include "entrycache.h"

#include "digest.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// The request for a listing or the listing may be lost too; the request is repeated after this
// time.
constexpr duration listing_timeout = std::chrono::seconds{10};

cache_event make_event(target_index target, cache_news const& update, std::uint64_t sequence,
                       cache_event_kind kind, std::vector<cache_block> const& blocks) {
    return {target, update.incarnation, sequence, kind, {blocks.begin(), blocks.end()}};
}

} // namespace

std::uint32_t cache_event_rate(std::size_t followed) {
    return static_cast<std::uint32_t>(cache_event_bytes_per_second /
                                      static_cast<double>(std::max<std::size_t>(followed, 1)));
}

std::uint64_t prefix_salt(std::string_view model, std::string_view version,
                          std::string_view adapter) {
    return hash64(adapter, hash64(version, hash64(model, 0)));
}

std::vector<std::uint64_t> hash_prompt_blocks(config const& configuration,
                                              route_config const& route, std::string_view prompt) {
    if (route.kind != route_kind::model || prompt.size() < cache_block_bytes) {
        return {};
    }
    auto const model = configuration.models.find(route.serves);
    std::string_view const version = !route.version.empty() ? std::string_view{route.version}
                                     : model != configuration.models.end()
                                         ? std::string_view{model->second.version}
                                         : std::string_view{};
    auto blocks = hash_blocks(prompt, prefix_salt(route.serves, version, route.adapter),
                              cache_block_bytes, max_prompt_blocks);
    for (std::uint64_t& block : blocks) {
        block = short_block(block);
    }
    return blocks;
}

bool apply_cache_update(prefix_cache_view& cache, target_index target, cache_news const& update,
                        time_point now) {
    // One message becomes two events: removals or the start of a listing, then the stored blocks.
    std::uint64_t const stored_sequence = update.sequence * 2;
    auto const first_kind =
        update.listing_begins ? cache_event_kind::cleared : cache_event_kind::removed;
    event_outcome const outcome = apply_event(
        cache.index, make_event(target, update, stored_sequence - 1, first_kind, update.removed),
        now);
    if (outcome == event_outcome::stale) {
        return false;
    }
    apply_event(
        cache.index,
        make_event(target, update, stored_sequence, cache_event_kind::stored, update.stored), now);
    if (!cache.index.streams[target].gap) {
        cache.listing_requested_at.erase(target);
        return false;
    }
    auto const requested = cache.listing_requested_at.find(target);
    if (requested != cache.listing_requested_at.end() &&
        now - requested->second < listing_timeout) {
        return false;
    }
    cache.listing_requested_at[target] = now;
    ++cache.listings_requested;
    return true;
}

void remove_target_cache(prefix_cache_view& cache, target_index target) {
    forget_target(cache.index, target);
    cache.listing_requested_at.erase(target);
}

} // namespace fireflycrank
