/// @file
/// Orders of an agent to the engine on its own VM that the engine leaves unanswered: it may have
/// lost them, or carries them out seconds later. A whole group waits for the last rank, so the
/// agent gives them again before its coordinator would. Giving an order twice does no harm: engines
/// refuse what is done or outdated. Pure.
#pragma once

#include "clock.h"

namespace fireflycrank {

/// How long to wait for an engine's answer, and how often to ask.
struct repeat_limits {
    duration patience{}; ///< time for an answer before the order is given again
    unsigned most{1};    ///< times that it is given; an engine that is down gets no more
};

/// Preparing copies experts for 0.1 s or more while passes go on, so it is less urgent.
inline constexpr repeat_limits prepare_repeats{std::chrono::milliseconds{40}, 8};
/// Passes wait for arming. An engine answers its own VM within a few milliseconds.
inline constexpr repeat_limits arm_repeats{std::chrono::milliseconds{10}, 10};

/// An order that was given.
struct given_order {
    repeat_limits limits;
    unsigned times{0};
    time_point last_at{};
    bool answered{false};
};

/// Whether the order is to be given now, and notes that it is.
/// @param order the order
/// @param now the time
/// @return true at first, and again while it is unanswered
bool give_now(given_order& order, time_point now);

} // namespace fireflycrank
