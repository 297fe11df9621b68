/// @file
/// What the messages of an expert group may cost. All ranks send their counts to one coordinator
/// whose VM's link also carries the orders to its engine, so periods and sizes follow from the
/// number of ranks, the numbers that each counts, the link and the time to copy an expert. Pure.
#pragma once

#include "clock.h"
#include "serviceconfig.h"

#include <cstddef>

namespace fireflycrank {

/// A group as its messages see it.
struct group_shape {
    unsigned ranks{1};
    std::size_t counters_per_rank{0};   ///< counts of one rank: experts of all sets
    double link_megabits_per_second{0}; ///< of a rank's VM; 0: unknown, taken as fast
};

/// The messages of a group.
struct group_tuning {
    duration counts_period{};  ///< between the counts of one rank
    duration counts_window{};  ///< choices that they cover, up to the period
    duration status_period{};  ///< longest time between statuses that say nothing new
    duration status_max_age{}; ///< a status must be this fresh for a change to begin
    duration prepare_resend{}; ///< to ranks that have not prepared
    duration arm_resend{};     ///< to ranks that are not armed
    unsigned relay_fanout{0};  ///< instructions to prepare that one rank hands on; 0: none
    double min_copy_gain{0};   ///< part by which a copy must lower its set's smooth maximum
    double min_change_gain{0}; ///< part of the mean by which a change must lower the highest load
};

/// Derives the messages of a group.
/// @param shape the group
/// @param at_ease passes are short, so that imbalance delays nobody
/// @return the budget
group_tuning derive_group_tuning(group_shape const& shape, bool at_ease);

/// Copies that one change may bring to each rank.
struct copy_limits {
    unsigned usual{2};
    unsigned high_skew{3}; ///< for great imbalance, which is worth a longer wait
};

/// Derives the copies of a change from the time that one takes.
/// @param traits of the engines
/// @return the limits
copy_limits derive_copy_limits(engine_traits const& traits);

} // namespace fireflycrank
