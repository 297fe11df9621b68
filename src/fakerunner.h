/// @file
/// A small fake of a model runner for the bench: slots, service time by tokens, lock-step, and a
/// prefix cache of limited size. It runs in virtual time at the agent's interface.
#pragma once

#include "clock.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace fireflycrank {

/// Sizes of a fake runner.
struct fake_runner_settings {
    std::uint32_t slots{8};
    duration step_base{std::chrono::milliseconds{16}};       ///< of a step with nothing in it
    duration step_per_slot{std::chrono::microseconds{1500}}; ///< added for each running request
    duration prefill_token{std::chrono::microseconds{250}};  ///< added for each prompt token read
    std::uint32_t prefill_chunk{128}; ///< prompt tokens read per step, over all slots
    std::uint32_t block_tokens{32};
    std::size_t cache_blocks{400};
};

/// A request that a fake runner runs.
struct fake_request {
    std::uint64_t id{0};
    std::uint32_t prompt_tokens{0};
    std::uint32_t output_tokens{0};
    std::vector<std::uint64_t> blocks; ///< hashes of the prompt's whole blocks
};

/// A request in a slot, or paused.
struct fake_slot {
    std::uint64_t id{0};
    std::uint32_t prompt_left{0};
    std::uint32_t output_left{0};
    std::uint32_t generated{0};
    bool paused{false};
};

/// Changes of the cache, as an engine publishes them.
struct fake_cache_change {
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> removed;
};

/// The runner's state and counters.
struct fake_runner {
    fake_runner_settings settings;
    std::vector<fake_slot> slots;
    std::list<std::uint64_t> cache_by_use; ///< least recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache;
    bool stepping{false};
    std::uint64_t prompt_tokens{0};
    std::uint64_t hit_tokens{0};
    std::uint64_t generated{0};
    duration busy{0};       ///< time in steps
    double slot_seconds{0}; ///< occupied slots times step time
};

/// Puts a request into a slot.
/// @return the change of the prefix cache
fake_cache_change start_request(fake_runner& runner, fake_request const& request);

/// Pauses or resumes a request.
void set_paused(fake_runner& runner, std::uint64_t id, bool paused);

/// Length of the next step; zero when nothing runs.
duration next_step(fake_runner const& runner);

/// Ends the step: reads prompts, then generates one token for each slot whose prompt is read.
/// @param length the step's length as given by next_step()
/// @return ids of finished requests
std::vector<std::uint64_t> finish_step(fake_runner& runner, duration length);

/// Time that a request takes alone on an empty runner without cache.
duration ideal_time(fake_runner_settings const& settings, fake_request const& request);

} // namespace fireflycrank
