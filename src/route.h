/// @file
/// Chooses a target for a request from delayed load reports. Each entry decides on its own.
#pragma once

#include "clock.h"
#include "rng.h"

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fireflycrank {

/// Index of a target in one route_table; reused after erase_target().
using target_index = std::uint32_t;

inline constexpr target_index no_target = UINT32_MAX;

/// Load of a target, as it reports it.
struct target_load {
    std::uint32_t running{0};
    std::uint32_t queued{0};
    double queued_work{0}; ///< output tokens still to generate, for queued and running requests
    double tokens_per_second{0}; ///< measured over all slots; 0 when unknown
    std::uint32_t slots{0};
    double waiting_short{0}; ///< part of queued_work: of short requests that have not started
    /// Part of queued_work: of long requests that have not started or are paused.
    double waiting_long{0};
};

/// An attempt that this entry sent to a target and that the target's last report may not include.
struct unreported_dispatch {
    std::uint64_t attempt{0};
    time_point sent_at;
    double work{0};
    bool is_long{false};
};

/// Identity and properties of a target, as it announces them.
struct target_info {
    std::string name;
    std::uint64_t incarnation{0};
    std::string address;
    std::string zone;
    std::vector<std::string> serves;   ///< services and models, "name" or "name@version"
    std::vector<std::string> adapters; ///< adapters that are loaded
    bool leaving{false};               ///< it accepts no new work
};

/// State of one target at this entry.
struct target_state {
    target_info info;
    /// Names under which it is found, also those without version.
    std::vector<std::string> served_names;
    bool in_use{false}; ///< false for a free index of the table
    bool suspected{false};
    bool warming_up{false}; ///< false for a target that already ran when first seen
    time_point warm_up_started_at;
    bool has_report{false};
    target_load load;
    time_point reported_at;
    std::int64_t short_wait_us{0};   ///< queue cost of a short request by the last report
    std::int64_t long_wait_us{0};    ///< queue cost of a long request by the last report
    std::int64_t queued_us{0};       ///< time to process the work that has not started
    double unreported_short_work{0}; ///< sum over the short requests in `unreported`
    double unreported_long_work{0};  ///< sum over the long requests in `unreported`
    std::deque<unreported_dispatch> unreported;
};

/// The targets that serve one name, with the sums of their reports for the averages.
struct serving_group {
    std::vector<target_index> members;
    std::int64_t short_sum_us{0}; ///< integers, so that no rounding error builds up
    std::int64_t long_sum_us{0};
    std::int64_t queued_sum_us{0};
    std::uint32_t report_count{0};
};

/// Parameters of the routing decision; docs/routing.md gives the reasons.
struct route_settings {
    std::uint32_t sample_count{4};
    duration report_decay{std::chrono::seconds{3}};
    duration zone_cost{std::chrono::milliseconds{20}};
    duration adapter_cost{std::chrono::seconds{2}};
    duration suspicion_cost{std::chrono::seconds{10}};
    duration warm_up_period{std::chrono::seconds{30}};
    double warm_up_floor{0.1}; ///< part of the full speed assumed at the start of the warm-up
    double default_tokens_per_second{200}; ///< of a target without a report
    double prefill_tokens_per_second{4000};
    /// Weight of running work and of queued long work in the cost of a short request. A short
    /// request overtakes queued long work, but shares the engine's batch steps with it.
    double background_weight{0.2};
    double load_bound_factor{1.25}; ///< a cached prefix counts up to this multiple of the mean cost
    duration load_bound_slack{std::chrono::milliseconds{500}}; ///< added to that bound
};

/// All targets known to one entry.
struct route_table {
    route_settings settings;
    std::string own_zone;
    std::vector<target_state> targets;
    std::vector<target_index> free_indices;
    std::unordered_map<std::string, target_index> by_name;
    std::unordered_map<std::string, serving_group> groups; ///< by served name
};

/// A target that probably has the beginning of a prompt in its cache.
struct prefix_match {
    target_index target{no_target};
    std::uint32_t tokens{0}; ///< cached prompt tokens
};

/// Properties of a request that the routing decision needs.
struct route_request {
    std::string serves;  ///< "name" accepts any version, "name@version" only that one
    std::string adapter; ///< empty when none is needed
    double work{0};      ///< estimated output tokens
    bool is_long{false}; ///< scheduling class: long or short
    std::vector<prefix_match> prefix_matches;
    std::vector<target_index> excluded_targets; ///< targets that were already tried
};

/// Expected cost of one candidate in seconds, by part. The lowest total wins.
struct route_candidate {
    target_index target{no_target};
    double queue{0}; ///< reported work; the older the report, the closer to the mean of the targets
    double unreported{0}; ///< attempts that this entry sent since the report
    double warm_up{0};    ///< additional time while the target warms up
    double zone{0};       ///< cost of another zone
    double adapter{0};    ///< cost of loading an adapter
    double suspicion{0};
    double prefix{0}; ///< prompt time saved by the cache, negative
    /// The saving does not count because the target exceeds the load bound.
    bool over_load_bound{false};
    double total{0};
};

/// Reason of a routing decision.
enum class route_reason {
    least_cost,     ///< the cheapest of the sampled candidates
    cached_prefix,  ///< the saving of a cached prefix decided
    only_candidate, ///< one target was eligible
    unknown_name,   ///< no target serves the name
    none_eligible   ///< all targets that serve the name leave or are excluded
};

/// At most this many candidates are scored.
inline constexpr std::size_t max_candidates = 8;

/// A routing decision with all candidates, for the log.
struct route_decision {
    target_index target{no_target};
    route_reason reason{route_reason::none_eligible};
    std::array<route_candidate, max_candidates> candidates{};
    std::size_t candidate_count{0};
    duration expected_wait{0}; ///< for a slot at the chosen target, by its report; for admission
};

/// Adds a target or updates its announced properties. Announcements may arrive late: one of an
/// earlier incarnation is ignored, and `leaving` is never cleared within an incarnation. A new
/// incarnation of a known target resets load, suspicion and unreported dispatches and starts the
/// warm-up.
target_index upsert_target(route_table& table, target_info const& info, time_point now);

/// Removes a target.
/// @return false for an unknown name
bool erase_target(route_table& table, std::string_view name);

/// Finds a target by name.
/// @return no_target for an unknown name
target_index find_target(route_table const& table, std::string_view name);

/// Marks a target as leaving; this incarnation is not chosen again.
void mark_leaving(route_table& table, target_index target);

/// Sets whether membership suspects the target of having failed.
void mark_suspected(route_table& table, target_index target, bool suspected);

/// Starts the warm-up of a target that joins while the entry runs.
void start_warm_up(route_table& table, target_index target, time_point now);

/// Stores a load report. A report of another incarnation, or older than the last, is ignored.
/// @param measured_at time of measurement on this entry's clock (receipt minus latency)
/// @return false when the report was ignored
bool record_load_report(route_table& table, target_index target, std::uint64_t incarnation,
                        target_load const& load, time_point measured_at);

/// Adds a dispatch to the target's expected load until a report includes it or it ends.
void record_dispatch(route_table& table, target_index target, std::uint64_t attempt, double work,
                     bool is_long, time_point now);

/// Removes a dispatch that ended or was refused.
void remove_dispatch(route_table& table, target_index target, std::uint64_t attempt);

/// Mean time to process the work that has not started, over the targets that serve a name; zero
/// without reports. Admission uses it as the measure of overload.
duration mean_queue_wait(route_table const& table, std::string const& serves);

/// Whether the target accepts new work.
bool is_eligible(route_table const& table, target_index target);

/// Computes a target's cost for a request.
route_candidate score_target(route_table const& table, serving_group const& group,
                             route_request const& request, target_index target, time_point now);

/// Chooses a target among sampled candidates and up to two with a cached prefix.
/// @return `target` is no_target when none can take the request
route_decision choose_target(route_table const& table, route_request const& request, rng& source,
                             time_point now);

/// The name used in log lines.
char const* name_of(route_reason reason);

/// Formats a decision with all candidates and cost parts for the log.
std::string describe(route_table const& table, route_decision const& decision);

} // namespace fireflycrank
