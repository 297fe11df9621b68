// The stand-in engine's prefix cache: bounded, least recently used blocks go first, and its events
// are published late and, on demand, with gaps.
#pragma once

#include "clock.h"
#include "entrycache.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <deque>
#include <list>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace standin {

struct cache_options {
    std::size_t max_blocks{1024};
    fireflycrank::duration event_delay{std::chrono::milliseconds{100}};
    unsigned lose_every{0}; // each event whose sequence is a multiple is lost; 0 loses none
    std::size_t kept_events{512};
};

class prompt_cache {
public:
    prompt_cache(cache_options options, std::string engine)
        : options_{options}, engine_{std::move(engine)} {}

    // Looks a prompt up, then keeps its blocks. Returns how many of its first blocks were held.
    std::size_t use(std::vector<std::uint64_t> const& blocks, fireflycrank::time_point now) {
        std::lock_guard const lock{mutex_};
        std::size_t held = 0;
        while (held < blocks.size() && places_.contains(blocks[held])) {
            ++held;
        }
        lookups_ += blocks.empty() ? 0 : 1;
        hits_ += held > 0 ? 1 : 0;
        prompt_blocks_ += blocks.size();
        hit_blocks_ += held;
        if (held < blocks.size()) {
            publish("stored", {blocks.begin() + static_cast<std::ptrdiff_t>(held), blocks.end()},
                    now);
        }
        // The first block becomes the most recent, so that a prompt is evicted from its end.
        for (std::size_t place = blocks.size(); place > 0; --place) {
            touch(blocks[place - 1]);
        }
        evict(now);
        return held;
    }

    std::string events_after(std::uint64_t after, fireflycrank::time_point now) {
        std::lock_guard const lock{mutex_};
        nlohmann::json events = nlohmann::json::array();
        std::uint64_t last = 0;
        for (auto const& event : events_) {
            if (now - event.at < options_.event_delay) {
                break;
            }
            last = event.sequence;
            bool const lost = options_.lose_every != 0 && event.sequence % options_.lose_every == 0;
            if (event.sequence > after && !lost) {
                events.push_back({{"sequence", event.sequence},
                                  {"kind", event.kind},
                                  {"blocks", names(event.blocks)}});
            }
        }
        return nlohmann::json{{"engine", engine_}, {"last", last}, {"events", events}}.dump();
    }

    std::string listing() {
        std::lock_guard const lock{mutex_};
        // Most recent last, so that a prompt's first blocks would come last: reversed.
        std::vector<std::uint64_t> const blocks{by_age_.rbegin(), by_age_.rend()};
        return nlohmann::json{{"engine", engine_}, {"last", sequence_}, {"blocks", names(blocks)}}
            .dump();
    }

    nlohmann::json counts() {
        std::lock_guard const lock{mutex_};
        return {{"lookups", lookups_},
                {"hits", hits_},
                {"prompt_blocks", prompt_blocks_},
                {"hit_blocks", hit_blocks_},
                {"events", sequence_}};
    }

private:
    struct event {
        std::uint64_t sequence{0};
        std::string kind;
        std::vector<std::uint64_t> blocks;
        fireflycrank::time_point at;
    };

    static constexpr int hexadecimal = 16;

    static nlohmann::json names(std::vector<std::uint64_t> const& blocks) {
        nlohmann::json list = nlohmann::json::array();
        for (std::uint64_t const block : blocks) {
            std::array<char, 16> text{};
            auto const end =
                std::to_chars(text.data(), text.data() + text.size(), block, hexadecimal).ptr;
            list.push_back(std::string{text.data(), end});
        }
        return list;
    }

    void publish(std::string kind, std::vector<std::uint64_t> blocks,
                 fireflycrank::time_point now) {
        events_.push_back({++sequence_, std::move(kind), std::move(blocks), now});
        if (events_.size() > options_.kept_events) {
            events_.pop_front();
        }
    }

    void touch(std::uint64_t block) {
        auto const known = places_.find(block);
        if (known != places_.end()) {
            by_age_.splice(by_age_.end(), by_age_, known->second);
            return;
        }
        by_age_.push_back(block);
        places_[block] = std::prev(by_age_.end());
    }

    void evict(fireflycrank::time_point now) {
        std::vector<std::uint64_t> removed;
        while (by_age_.size() > options_.max_blocks) {
            removed.push_back(by_age_.front());
            places_.erase(by_age_.front());
            by_age_.pop_front();
        }
        if (!removed.empty()) {
            publish("removed", std::move(removed), now);
        }
    }

    cache_options options_;
    std::string engine_;
    std::mutex mutex_;
    std::list<std::uint64_t> by_age_; // oldest first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places_;
    std::deque<event> events_;
    std::uint64_t sequence_{0};
    std::uint64_t lookups_{0};
    std::uint64_t hits_{0};
    std::uint64_t prompt_blocks_{0};
    std::uint64_t hit_blocks_{0};
};

} // namespace standin
