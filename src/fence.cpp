#include "fence.h"

#include <algorithm>

namespace fireflycrank {

namespace {

constexpr duration read_retry = std::chrono::seconds{1};
// Read ids of one start count up from incarnation * 2^16, so those of two starts never meet while
// incarnations are at least one millisecond of wall time apart.
constexpr unsigned read_id_shift = 16;

} // namespace

fence_state start_fence(std::uint64_t incarnation) {
    return {.read_id = incarnation << read_id_shift};
}

fence_verdict judge_fence(fence_state& state, std::uint64_t token) {
    state.highest = std::max(state.highest, token);
    if (token < state.highest) {
        return fence_verdict::stale;
    }
    return state.learned ? fence_verdict::current : fence_verdict::unknown;
}

bool fence_holds(fence_state const& state, std::uint64_t token) {
    return state.learned && token >= state.highest;
}

std::uint64_t begin_fence_read(fence_state& state, time_point now) {
    if (state.learned || now < state.next_read) {
        return 0;
    }
    state.next_read = now + read_retry;
    return ++state.read_id;
}

void finish_fence_read(fence_state& state, std::uint64_t read_id, std::uint64_t token) {
    // Every read of this start shares the upper bits; an older one of them is as good.
    if (read_id == 0 || read_id > state.read_id ||
        read_id >> read_id_shift != state.read_id >> read_id_shift) {
        return;
    }
    state.highest = std::max(state.highest, token);
    state.learned = true;
}

} // namespace fireflycrank
