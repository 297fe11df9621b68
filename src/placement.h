/// @file
/// Decides which target holds which model, adapter, version and role, one step at a time.
#pragma once

#include "clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fireflycrank {

enum class target_role : std::uint8_t { mixed, prefill, decode };

/// A target as control sees it.
struct placement_target {
    std::string name;
    std::string zone;
    std::uint64_t memory_bytes{0};
    std::string model; ///< empty when it holds none
    std::string version;
    target_role role{target_role::mixed};
    std::map<std::string, std::uint64_t> adapters; ///< name and bytes
    std::uint64_t model_bytes{0};
    bool alive{true};
    bool stopping{false}; ///< a planned stop is announced: it gets nothing and counts as lost soon
    bool busy{false};     ///< a target order is open
    bool pinned{false};   ///< a rollout or an expert group decides for it
};

/// What operators want of a model.
struct model_intent {
    std::string model;
    std::string version;
    std::uint64_t bytes{0};
    std::uint32_t priority{0};    ///< higher is served first when targets are short
    std::uint32_t min_ready{1};   ///< never go below by a decision of this program
    std::uint32_t max_targets{0}; ///< 0: no limit
    double target_capacity{1};    ///< work a second that one target serves
    double prefill_share{0};      ///< share of targets in the prefill role; 0: all are mixed
};

/// What a team needs, measured and smoothed by the caller.
struct team_demand {
    std::string team;
    std::string model;
    std::string adapter; ///< empty: the plain model
    std::uint64_t adapter_bytes{0};
    double work{0}; ///< a second
};

struct placement_limits {
    std::uint64_t store_bytes_per_s{2'000'000'000};
    std::chrono::milliseconds step{10'000}; ///< time between two decisions
    std::uint64_t store_bytes_open{0};      ///< still to be fetched by open target orders
    double headroom{1.25};                  ///< capacity over demand, for surges within a step
    double surplus{1.6};                    ///< a model gives targets up only above this, so that a
                                            ///< target is not moved back and forth
    std::uint32_t zone_slack{1};            ///< ready targets a zone may have above an even spread
};

struct placement_input {
    std::vector<placement_target> targets;
    std::vector<model_intent> models;
    std::vector<team_demand> teams;
    placement_limits limits;
};

enum class placement_action : std::uint8_t {
    load_model, ///< replaces the model that the target holds
    load_adapter,
    unload_adapter,
    change_role
};

/// One change. It becomes a target order once it is recorded.
struct placement_change {
    placement_action action{placement_action::load_model};
    std::string target;
    std::string model;
    std::string version;
    std::string adapter;
    target_role role{target_role::mixed};
    std::uint64_t fetch_bytes{0};
    std::string cause;
    double gain{0};                      ///< work a second that can be served in addition
    duration cost{};                     ///< time of the fetch at the store's rate
    std::uint64_t target_incarnation{0}; ///< agent start that the order is meant for; a later start
                                         ///< does not run it

    bool operator==(placement_change const&) const = default;
};

struct placement_plan {
    std::vector<placement_change> changes;
    std::uint64_t fetch_bytes{0};
    std::vector<std::string> unmet; ///< models below their wanted number after this step
};

/// Plans the next step. Call again when its changes have ended; the plan holds no state.
/// @param input targets, intent, demand and limits
/// @return changes that may all start at once without breaking a limit
placement_plan plan_placement(placement_input const& input);

/// Targets that a model should have.
/// @return model name to number, after priorities are served
std::map<std::string, std::uint32_t> wanted_targets(placement_input const& input);

/// Splits targets into prefill and decode by measured work, with a dead band.
/// @param targets how many targets
/// @param prefill_time measured target seconds a second spent in prefill
/// @param decode_time the same for decode
/// @param present prefill targets now; kept within half a target of the ideal number
/// @return number of prefill targets; at least one of each role when there are two targets
std::uint32_t prefill_targets(std::uint32_t targets, double prefill_time, double decode_time,
                              std::uint32_t present);

/// Formats a change for a log line: action, target, cause, gain, cost.
std::string describe(placement_change const& change);

char const* name_of(placement_action action);
char const* name_of(target_role role);

} // namespace fireflycrank
