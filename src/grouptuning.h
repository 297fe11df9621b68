/// @file
/// Periods, limits and thresholds for the map changes of a lock-step group. All ranks send their
/// counts to one coordinator, whose VM's link also carries the orders to its engine, so these
/// values are derived from the number of ranks, the counters per rank, the link speed and the time
/// to copy an expert. Does no I/O.
#pragma once

#include "clock.h"
#include "serviceconfig.h"

#include <cstddef>

namespace fireflycrank {

/// The properties of a group that determine its message traffic.
struct group_shape {
    unsigned ranks{1};
    std::size_t counters_per_rank{0}; ///< expert counters of one rank, over all sets
    double link_megabits_per_second{
        0}; ///< of a rank's VM; 0 if unknown, which is treated as unlimited
};

/// The values derived for a group.
struct group_tuning {
    duration counts_period{};  ///< interval between two reports of counts from one rank
    duration counts_window{};  ///< time that each report of counts covers; at most `counts_period`
    duration status_period{};  ///< longest interval between statuses while nothing changes
    duration status_max_age{}; ///< a change begins only if every rank's status is newer than this
    duration prepare_resend{}; ///< resend interval to ranks that have not prepared
    duration arm_resend{};     ///< resend interval to ranks that are not armed
    unsigned relay_fanout{
        0}; ///< ranks to which one rank relays the instruction to prepare; 0: no relaying
    double min_copy_gain{0}; ///< fraction by which a copy must lower its set's smooth maximum load
    double min_change_gain{0}; ///< reduction of the highest rank load that a change must bring, as
                               ///< a fraction of the mean
};

/// Derives a group's values.
/// @param short_passes passes are so short that imbalance does not delay callers
group_tuning derive_group_tuning(group_shape const& shape, bool short_passes);

/// Maximum number of experts that one change may copy to each rank.
struct copy_limits {
    unsigned usual{2};
    unsigned high_skew{3}; ///< at high imbalance, which justifies a longer change
};

/// Derives the limits from the time that one copy takes.
/// @param traits size of an expert and link speed of the engines
copy_limits derive_copy_limits(engine_traits const& traits);

} // namespace fireflycrank
