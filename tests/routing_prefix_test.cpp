#include "estimate.h"
#include "prefixindex.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace fireflycrank;
using namespace std::chrono_literals;

namespace {

time_point const start{100s};

cache_event event_of(target_index target, std::uint64_t sequence, cache_event_kind kind,
                     std::vector<std::uint64_t> blocks) {
    return {target, 1, sequence, kind, std::move(blocks)};
}

std::uint32_t tokens_at(std::vector<prefix_match> const& matches, target_index target) {
    for (auto const& match : matches) {
        if (match.target == target) {
            return match.tokens;
        }
    }
    return 0;
}

} // namespace

TEST_CASE("the index agrees with plain sets over thousands of event streams") {
    // Guards against entries that outlive their removal, and against missed or invented matches.
    for (std::uint64_t seed = 0; seed < 2000; ++seed) {
        rng source{seed};
        prefix_index index;
        index.settings.block_tokens = 1;
        std::map<target_index, std::set<std::uint64_t>> naive;
        std::vector<std::uint64_t> sequence(4, 0);
        for (int step = 0; step < 40; ++step) {
            auto const target = static_cast<target_index>(next_below(source, 4));
            auto& held = naive[target];
            // Prompts are the block chains 1, 2, 3 ...; a cache holds beginnings of them.
            auto const draw = next_below(source, 8);
            auto event = event_of(target, ++sequence[target], cache_event_kind::stored, {});
            if (draw == 0) {
                event.kind = cache_event_kind::cleared;
                held.clear();
            } else if (draw < 4 && !held.empty()) {
                event.kind = cache_event_kind::removed;
                event.blocks = {*held.rbegin()};
                held.erase(event.blocks[0]);
            } else {
                for (std::uint64_t block = 1 + next_below(source, 12); block > 0; --block) {
                    event.blocks.push_back(block);
                    held.insert(block);
                }
            }
            REQUIRE(apply_event(index, event, start) == event_outcome::applied);
            REQUIRE(apply_event(index, event, start) == event_outcome::stale);
            std::vector<std::uint64_t> const prompt{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12};
            auto const matches = find_prefix(index, prompt, start);
            std::size_t deepest = 0;
            for (auto const& [at, blocks_held] : naive) {
                deepest = std::max(deepest, blocks_held.size());
            }
            REQUIRE((matches.empty() ? 0 : matches[0].tokens) == deepest);
            for (auto const& match : matches) {
                REQUIRE(match.tokens <= naive[match.target].size());
            }
        }
    }
}

TEST_CASE("a gap makes older entries doubtful until a full listing") {
    // Guards against trusting entries whose removal was in a lost event.
    prefix_index index;
    std::vector<std::uint64_t> const prompt{11, 12};
    apply_event(index, event_of(0, 1, cache_event_kind::stored, prompt), start);
    CHECK(apply_event(index, event_of(0, 5, cache_event_kind::stored, {99}), start + 1s) ==
          event_outcome::applied_after_gap);
    CHECK(index.gaps == 1);
    CHECK(apply_event(index, event_of(0, 3, cache_event_kind::removed, {99}), start + 1s) ==
          event_outcome::stale);
    CHECK(tokens_at(find_prefix(index, prompt, start + 19s), 0) == 64);
    CHECK(find_prefix(index, prompt, start + 21s).empty());
    apply_event(index, event_of(0, 6, cache_event_kind::cleared, prompt), start + 22s);
    CHECK(tokens_at(find_prefix(index, prompt, start + 120s), 0) == 64);
    CHECK(find_prefix(index, prompt, start + 22s + 5min + 1s).empty());
    age_out(index, start + 22s + 5min + 1s, 1000);
    CHECK(index.by_age.empty());
    CHECK(index.by_block.empty());
}

TEST_CASE("a restart forgets the cache, and memory stays bounded") {
    // Guards against routing by the cache of a dead engine, and against unbounded growth.
    prefix_index index;
    index.settings.max_entries = 100;
    index.settings.max_holders = 4;
    apply_event(index, event_of(0, 1, cache_event_kind::stored, {1, 2}), start);
    apply_event(index, {0, 2, 1, cache_event_kind::stored, {3}}, start);
    CHECK(find_prefix(index, std::vector<std::uint64_t>{1, 2}, start).empty());
    for (target_index target = 1; target < 9; ++target) {
        apply_event(index, event_of(target, 1, cache_event_kind::stored, {7}), start);
    }
    CHECK(index.by_block.at(7).size() == 4);
    for (std::uint64_t block = 0; block < 1000; ++block) {
        apply_event(index, event_of(9, block + 1, cache_event_kind::stored, {1000 + block}), start);
    }
    CHECK(index.by_age.size() == 100);
    forget_target(index, 9);
    CHECK(index.by_age.empty());
}

TEST_CASE("block hashes separate prompts, beginnings and models") {
    // Guards against a match between prompts that differ before the block.
    auto const left = hash_blocks("aaaabbbbcc", 1, 4, 100);
    auto const right = hash_blocks("xaaabbbbcc", 1, 4, 100);
    CHECK(left.size() == 2);
    CHECK(left[1] != right[1]);
    CHECK(left[0] != hash_blocks("aaaabbbb", 2, 4, 100)[0]);
    CHECK(left[0] == hash_blocks("aaaazzzz", 1, 4, 100)[0]);
    CHECK(hash_blocks("aaaabbbbcc", 1, 4, 1).size() == 1);
}

TEST_CASE("estimates follow the route, the prompt length and the limit") {
    // Guards against treating a short route as long before and after it has history.
    estimator state;
    CHECK(estimate_work(state, "question", 100, 0, 60).work == doctest::Approx(65));
    CHECK_FALSE(estimate_work(state, "question", 100, 0, 60).from_history);
    rng source{1};
    for (int sample = 0; sample < 5000; ++sample) {
        record_output_length(state, "mixed", 100,
                             30 + static_cast<std::uint32_t>(next_below(source, 20)));
        record_output_length(state, "mixed", 20'000, 2000);
    }
    auto const brief = estimate_work(state, "mixed", 100, 0, 0);
    auto const large = estimate_work(state, "mixed", 20'000, 20'000, 0);
    CHECK(brief.from_history);
    CHECK_FALSE(brief.is_long);
    CHECK(brief.work - 5 == doctest::Approx(40).epsilon(0.2));
    CHECK(large.is_long);
    CHECK(large.work == doctest::Approx(2000).epsilon(0.2));
    CHECK(estimate_work(state, "mixed", 20'000, 20'000, 100).work <= 100);
    CHECK(state.routes.at("mixed").all.total < state.settings.max_samples);
    state.settings.max_routes = 1;
    record_output_length(state, "another", 1, 1);
    record_output_length(state, "third", 1, 1);
    CHECK(state.routes.size() == 2);
}
