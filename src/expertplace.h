/// @file
/// Where the experts of a lock-step group go when the ranks that hold an expert share its tokens
/// evenly. A pass lasts, set by set, as long as its most loaded rank, so the plan lowers the
/// highest rank load of each set with few copies. (expertplan.h plans for engines with adjustable
/// shares.)
#pragma once

#include "enginereport.h"

#include <cstdint>
#include <vector>

namespace fireflycrank {

/// The experts of a group: by rank, then by set.
using group_experts = std::vector<rank_experts>;

/// Limits of one change.
struct place_limits {
    unsigned places{0};        ///< experts that a rank may hold in a set
    unsigned spare{0};         ///< experts in a set that one change may add to a rank
    unsigned copies_a_rank{0}; ///< experts that one change may add to a rank over all sets; each
                               ///< copy takes link time, and the change waits for the last
    double least_gain{0.01}; ///< part by which a copy must lower its set's smooth maximum of loads
};

/// A plan.
struct place_plan {
    group_experts map;
    double before{0};   ///< place_skew() of the present map
    double after{0};    ///< the same for the plan
    unsigned copies{0}; ///< experts that ranks must fetch
};

/// Demand for each expert by set; only ratios within a set count.
using expert_demand = std::vector<std::vector<double>>;

/// Time that each rank takes for a unit of work; 1 at normal speed, 2 at half of it. Empty: all
/// ranks are at normal speed.
using rank_paces = std::vector<double>;

/// Plans a change.
/// @param present the map in use; every expert is on some rank
/// @param demand demand by set and expert
/// @param limits what one change may do
/// @return the best plan found; `map` equals `present` when nothing helps
place_plan plan_places(group_experts const& present, expert_demand const& demand,
                       place_limits const& limits, rank_paces const& paces = {});

/// Highest time of a rank over the mean at normal speed, averaged over the sets that have demand.
/// @param map a map
/// @param demand demand by set and expert
/// @return 1 for perfect balance
double place_skew(group_experts const& map, expert_demand const& demand,
                  rank_paces const& paces = {});

/// The pace that plans assume for a rank. Small deviations count as normal speed, and slow ranks
/// have one of few paces, so that a rank whose pace varies does not cause a change each time.
/// @param slowdown as the rank's engine reports it
double planned_pace(double slowdown);

/// Demand to which a sudden change leads. Shortly after it the fresh window still holds choices
/// from before; what it differs from the steady window is carried on.
/// @param fresh demand by set and expert in a short window
/// @param steady demand in a longer window, with the same sets and experts
/// @param further how much further the difference goes, as a part of it
/// @return the demand, with the totals of `fresh`
expert_demand extrapolate_demand(expert_demand const& fresh, expert_demand const& steady,
                                 double further);

} // namespace fireflycrank
