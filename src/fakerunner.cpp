#include "fakerunner.h"

#include <algorithm>

namespace fireflycrank {

namespace {

/// Prompt tokens that the next step reads.
std::uint32_t prefill_of_step(fake_runner const& runner) {
    std::uint32_t left = 0;
    for (auto const& slot : runner.slots) {
        left += slot.paused ? 0 : slot.prompt_left;
    }
    return std::min(left, runner.settings.prefill_chunk);
}

std::uint32_t running(fake_runner const& runner) {
    return static_cast<std::uint32_t>(std::count_if(runner.slots.begin(), runner.slots.end(),
                                                    [](auto const& slot) { return !slot.paused; }));
}

/// Marks a prompt's blocks as used and evicts the least recently used beyond the limit. Blocks are
/// touched from the end, so that a prompt's beginning outlives its end.
fake_cache_change touch_cache(fake_runner& runner, std::vector<std::uint64_t> const& blocks) {
    fake_cache_change change;
    std::for_each(blocks.rbegin(), blocks.rend(), [&](std::uint64_t block) {
        auto const found = runner.cache.find(block);
        if (found != runner.cache.end()) {
            runner.cache_by_use.splice(runner.cache_by_use.end(), runner.cache_by_use,
                                       found->second);
            return;
        }
        runner.cache_by_use.push_back(block);
        runner.cache[block] = std::prev(runner.cache_by_use.end());
        change.stored.push_back(block);
    });
    while (runner.cache.size() > runner.settings.cache_blocks) {
        change.removed.push_back(runner.cache_by_use.front());
        runner.cache.erase(runner.cache_by_use.front());
        runner.cache_by_use.pop_front();
    }
    return change;
}

} // namespace

fake_cache_change start_request(fake_runner& runner, fake_request const& request) {
    std::uint32_t hit = 0;
    for (auto const block : request.blocks) {
        if (!runner.cache.contains(block)) {
            break;
        }
        hit += runner.settings.block_tokens;
    }
    hit = std::min(hit, request.prompt_tokens);
    runner.prompt_tokens += request.prompt_tokens;
    runner.hit_tokens += hit;
    runner.slots.push_back(
        {request.id, request.prompt_tokens - hit, request.output_tokens, 0, false});
    return touch_cache(runner, request.blocks);
}

void set_paused(fake_runner& runner, std::uint64_t id, bool paused) {
    for (auto& slot : runner.slots) {
        slot.paused = slot.id == id ? paused : slot.paused;
    }
}

duration next_step(fake_runner const& runner) {
    auto const count = running(runner);
    if (count == 0) {
        return duration::zero();
    }
    auto const& settings = runner.settings;
    return settings.step_base + settings.step_per_slot * count +
           settings.prefill_token * prefill_of_step(runner);
}

std::vector<std::uint64_t> finish_step(fake_runner& runner, duration length) {
    auto const occupied = running(runner);
    runner.busy += length;
    runner.slot_seconds += std::chrono::duration<double>(length).count() * occupied;
    std::vector<std::uint64_t> finished;
    auto prefill = runner.settings.prefill_chunk;
    for (auto& slot : runner.slots) {
        if (slot.paused) {
            continue;
        }
        if (slot.prompt_left > 0) {
            auto const read = std::min(prefill, slot.prompt_left);
            slot.prompt_left -= read;
            prefill -= read;
            continue;
        }
        ++slot.generated;
        ++runner.generated;
        if (--slot.output_left == 0) {
            finished.push_back(slot.id);
        }
    }
    std::erase_if(runner.slots, [](auto const& slot) { return slot.output_left == 0; });
    return finished;
}

duration ideal_time(fake_runner_settings const& settings, fake_request const& request) {
    auto const chunk = settings.prefill_chunk;
    auto const steps = (request.prompt_tokens + chunk - 1) / chunk + request.output_tokens;
    return (settings.step_base + settings.step_per_slot) * steps +
           settings.prefill_token * request.prompt_tokens;
}

} // namespace fireflycrank
