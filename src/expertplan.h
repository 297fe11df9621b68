/// @file
/// Plans expert maps: popularity of experts, condition of ranks, replicas, placement and shares.
#pragma once

#include "clock.h"
#include "error.h"
#include "mapswitch.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fireflycrank {

/// Smoothing of the popularity counts.
struct popularity_settings {
    double level_weight{0.4};  ///< of the newest complete window
    double trend_weight{0.15}; ///< lower than the level's, or lost counts show up as a trend
    double trend_damping{0.8}; ///< a drift does not go on for ever
    double jump{0.25};         ///< a larger relative change in one window is a change of topic, not
                               ///< noise, and is followed at once
    std::uint64_t max_late{4}; ///< older windows are dropped; their weight would be under 3%
};

/// Smoothed popularity of one layer's experts, as shares of all tokens.
struct layer_popularity {
    std::vector<double> level;
    std::vector<double> trend; ///< change of the level per window
    std::uint64_t window{0};   ///< newest window seen
};

/// Adds the counts of one window. Windows may arrive late, repeatedly in parts, or not at all.
/// @param state the layer's popularity
/// @param window number of the window
/// @param counts tokens per expert; empty or zero counts are ignored
/// @param coverage share of the ranks whose counts are included, in (0, 1]
/// @param settings smoothing
void observe(layer_popularity& state, std::uint64_t window,
             std::vector<std::uint64_t> const& counts, double coverage,
             popularity_settings const& settings);

/// Forecasts the popularity.
/// @param windows_ahead middle of the plan's expected life, in windows
/// @return a share per expert; the sum is 1, or the vector is empty before the first window
std::vector<double> forecast(layer_popularity const& state, double windows_ahead,
                             popularity_settings const& settings);

enum class rank_health : std::uint8_t {
    normal,
    overloaded, ///< takes long because it has many tokens: moving experts helps
    slow,       ///< takes long for few tokens: it gets less load
    dead
};

/// One rank's step as its agent reports it.
struct rank_sample {
    bool alive{true};
    double tokens{0}; ///< tokens its experts processed
    duration busy{};  ///< time the experts took, without waiting for others
};

struct rank_condition {
    rank_health health{rank_health::normal};
    double speed{1.0}; ///< tokens per second relative to the median rank; 0 when dead
};

/// Judges the ranks by time per token against the median rank.
/// @param samples one per rank
/// @param fixed time of a step that does not depend on the tokens
/// @param before the previous result, for smoothing; may be empty
/// @return one condition per rank
std::vector<rank_condition> judge_ranks(std::vector<rank_sample> const& samples, duration fixed,
                                        std::vector<rank_condition> const& before);

/// Limits and weights of a plan.
struct plan_settings {
    std::uint32_t slots_per_rank{2};
    std::uint32_t max_moves{12}; ///< replicas moved per layer and decision
    double life_steps{20'000};   ///< steps until the next plan; about 13 min at 39 ms
    duration mean_expert_time{std::chrono::microseconds{200}}; ///< of one layer at mean rank load
    double bytes_per_expert{45e6};
    double fetch_bytes_per_s{2e9};                ///< of the weight store, for the group
    double fetch_slowdown{0.05};                  ///< share of step time lost while weights arrive
    duration stall{std::chrono::milliseconds{4}}; ///< of one map switch, for all layers
    double hysteresis{1.5};                       ///< gain must exceed cost by this factor
    double min_skew_gain{0.01};                   ///< below the noise of the counts nothing moves
};

enum class plan_cause : std::uint8_t {
    balanced,   ///< nothing to gain beyond the hysteresis
    popularity, ///< the popularity of experts has drifted
    slow_rank,  ///< a rank with reduced speed carries too much
    dead_rank,  ///< experts must be covered
    impossible  ///< fewer live slots than experts
};

/// A plan for one layer.
struct layer_plan {
    layer_map map;
    std::uint32_t moves{0};
    double skew_before{0}; ///< max over mean rank load under the present map
    double skew_after{0};
    plan_cause cause{plan_cause::balanced};
    bool required{false}; ///< the present map cannot serve all experts
    duration gain{};      ///< step time saved over the plan's life
    duration cost{};      ///< step time lost to moving weights, without the stall
};

/// Plans one layer: improves the present map within the budget of moves.
/// @param present the map in use; shares may be empty
/// @param load forecast load per expert
/// @param speed per rank; 0 for dead ranks
/// @param settings limits
/// @return the best plan found; equals the present map when nothing is worth its cost
layer_plan plan_layer(layer_map const& present, std::vector<double> const& load,
                      std::vector<double> const& speed, plan_settings const& settings);

/// The decision for a group.
struct group_plan {
    bool accepted{false};
    plan_cause cause{plan_cause::balanced};
    std::vector<layer_map> layers;
    std::uint32_t moves{0};
    double skew_before{0}; ///< mean over the layers
    double skew_after{0};
    duration gain{};
    duration cost{}; ///< moves and one stall
};

/// Weighs the layers' plans against one switch of the whole group.
/// @param present the map in use
/// @param plans one per layer
/// @param settings limits
/// @param max_moves replicas moved by the whole decision; required moves are not limited
/// @return the layers to use from the switch on
group_plan plan_group(std::vector<layer_map> const& present, std::vector<layer_plan> const& plans,
                      plan_settings const& settings, std::uint32_t max_moves);

/// Plans a layer from nothing, as if no map existed.
/// @return replicas in proportion to load, heavy replicas beside light ones
layer_map full_recompute(std::vector<double> const& load, std::vector<double> const& speed,
                         std::uint32_t slots_per_rank);

/// Sets the shares that spread each expert's load so that the highest rank load is lowest.
/// @param sweeps upper limit of passes over the experts
void balance_shares(layer_map& map, std::vector<double> const& load,
                    std::vector<double> const& speed, std::uint32_t slots_per_rank,
                    std::uint32_t sweeps);

/// Max over mean rank load, in time: load over speed.
double skew(layer_map const& map, std::vector<double> const& load, std::vector<double> const& speed,
            std::uint32_t slots_per_rank);

/// A lower bound of skew() over all maps with these slots.
double skew_lower_bound(std::vector<double> const& load, std::vector<double> const& speed,
                        std::uint32_t slots_per_rank);

/// Replicas that a rank must fetch to go from one map to the other.
std::uint32_t moved_replicas(layer_map const& from, layer_map const& to,
                             std::uint32_t slots_per_rank);

/// Formats a decision for a log line: cause, gain, cost, moves, skew.
std::string describe(group_plan const& plan);

char const* name_of(plan_cause cause);
char const* name_of(rank_health health);

} // namespace fireflycrank
