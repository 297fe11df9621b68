/// @file
/// Chooses a target for a request from lagging load reports. Each entry decides alone.
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

/// A target's number in one route_table; numbers are reused after erase_target().
using target_index = std::uint32_t;

/// No target.
inline constexpr target_index no_target = UINT32_MAX;

/// What a target reports about its load.
struct target_load {
    std::uint32_t running{0};
    std::uint32_t queued{0};
    double queued_work{0};       ///< output tokens waiting or still to generate
    double tokens_per_second{0}; ///< measured over all slots; 0 when not yet known
    std::uint32_t slots{0};
    double waiting_short{0}; ///< part of queued_work: short requests that have not started
    double waiting_long{0}; ///< part of queued_work: long requests that have not started, or paused
};

/// One own dispatch that the last report may not include yet.
struct unreported_dispatch {
    std::uint64_t attempt{0};
    time_point sent_at;
    double work{0};
    bool is_long{false};
};

/// What a target announces about itself.
struct target_info {
    std::string name;
    std::uint64_t incarnation{0};
    std::string address;
    std::string zone;
    std::vector<std::string> serves;   ///< services and models, "name" or "name@version"
    std::vector<std::string> adapters; ///< adapters loaded now
    bool leaving{false};
};

/// One target as an entry sees it.
struct target_state {
    target_info info;
    std::vector<std::string> served_names; ///< served names it is found under, also without version
    bool in_use{false};                    ///< false marks a free slot of the table
    bool suspected{false};                 ///< membership suspects the target
    bool warming_up{false};                ///< false when the target was already up when first seen
    time_point warm_up_started_at;         ///< start of the warm-up ramp
    bool has_report{false};
    target_load load;
    time_point reported_at;
    std::int64_t short_wait_us{0};   ///< cost for a short request by the last report
    std::int64_t long_wait_us{0};    ///< cost for a long request by the last report
    std::int64_t queued_us{0};       ///< work that has not started, over the speed
    double unreported_short_work{0}; ///< sum over the short requests of `own`
    double unreported_long_work{0};  ///< sum over the long requests of `own`
    std::deque<unreported_dispatch> unreported;
};

/// The targets that serve one name, with the sum for the fleet average.
struct serving_group {
    std::vector<target_index> members;
    std::int64_t short_sum_us{0}; ///< integers, so that adding and removing never drifts
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
    double warm_up_floor{0.1}; ///< share of the speed assumed at the start of the warm-up
    double default_tokens_per_second{200};  ///< tokens per second of a target that never reported
    double prefill_tokens_per_second{4000}; ///< prompt tokens per second
    /// Part of the work in slots and of waiting long work that counts for a short request. Short
    /// requests pass it in the queue but share the lock-step with it.
    double background_weight{0.2};
    double load_bound_factor{1.25}; ///< a cached prefix counts up to this multiple of the mean
    duration load_bound_slack{std::chrono::milliseconds{500}}; ///< added to that bound when idle
};

/// The targets known to one entry.
struct route_table {
    route_settings settings;
    std::string own_zone;
    std::vector<target_state> targets;
    std::vector<target_index> free_indices;
    std::unordered_map<std::string, target_index> by_name;
    std::unordered_map<std::string, serving_group> groups; ///< by served name
};

/// A target that probably holds the beginning of a prompt.
struct prefix_match {
    target_index target{no_target};
    std::uint32_t tokens{0}; ///< cached prompt tokens
};

/// What the decision needs to know about a request.
struct route_request {
    std::string serves;  ///< "name" accepts any version, "name@version" only that one
    std::string adapter; ///< empty when none is needed
    double work{0};      ///< estimated output tokens
    bool is_long{false}; ///< class of the request
    std::vector<prefix_match> prefix_matches;
    std::vector<target_index> excluded_targets; ///< targets already tried
};

/// One candidate's expected cost in seconds, by part. Lower totals win.
struct route_candidate {
    target_index target{no_target};
    double queue{0};      ///< reported work, decayed towards the fleet average
    double unreported{0}; ///< own dispatches since the report
    double warm_up{0};    ///< extra time while warming up
    double zone{0};       ///< cost of crossing zones
    double adapter{0};    ///< loading a missing adapter
    double suspicion{0};  ///< membership suspects the target
    double prefix{0};     ///< prompt time saved, negative
    bool over_load_bound{
        false}; ///< the saving was withheld because the target is above the load bound
    double total{0};
};

/// Why a decision came out as it did.
enum class route_reason {
    least_cost,     ///< the cheapest of the sampled candidates
    cached_prefix,  ///< the saving of a cached prefix decided
    only_candidate, ///< one target was eligible
    unknown_name,   ///< no target serves the name
    none_eligible   ///< all targets that serve the name leave or are excluded
};

/// At most this many candidates are scored.
inline constexpr std::size_t max_candidates = 8;

/// A routing decision with everything its log line needs.
struct route_decision {
    target_index target{no_target};
    route_reason reason{route_reason::none_eligible};
    std::array<route_candidate, max_candidates> candidates{};
    std::size_t candidate_count{0};
    duration expected_wait{0}; ///< at the chosen target, by its report; for admission
};

/// Adds a target or replaces its facts. An announcement of an earlier incarnation is ignored, and
/// leaving is kept within an incarnation, because announcements arrive late. A new incarnation of a
/// known target forgets load, suspicion and own dispatches and starts the warm-up.
/// @return the target's number
target_index upsert_target(route_table& table, target_info const& facts, time_point now);

/// Removes a target.
/// @return false when the name is unknown
bool erase_target(route_table& table, std::string_view name);

/// Finds a target by name.
/// @return its number or no_target
target_index find_target(route_table const& table, std::string_view name);

/// Marks a target as leaving; it is never chosen again under this incarnation.
void mark_leaving(route_table& table, target_index target);

/// Marks or clears membership's suspicion.
void mark_suspected(route_table& table, target_index target, bool suspected);

/// Starts the warm-up ramp, for a target that joins while the entry runs.
void start_warm_up(route_table& table, target_index target, time_point now);

/// Takes a load report. A report of another incarnation, or older than the last, is ignored.
/// @param measured_at when the target measured, on this entry's clock (receipt minus latency)
/// @return false when the report was ignored
bool record_load_report(route_table& table, target_index target, std::uint64_t incarnation,
                        target_load const& load, time_point measured_at);

/// Remembers an own dispatch until a report includes it or it ends.
void record_dispatch(route_table& table, target_index target, std::uint64_t attempt, double work,
                     bool is_long, time_point now);

/// Forgets an own dispatch that ended or was refused.
void remove_dispatch(route_table& table, target_index target, std::uint64_t attempt);

/// Mean time to work off what has not started, over the targets that serve a name. Zero when none
/// reported. This is the pressure that admission acts on.
duration mean_queue_wait(route_table const& table, std::string const& serves);

/// Whether the target may be given new work now.
bool is_eligible(route_table const& table, target_index target);

/// Scores one target for one request.
route_candidate score_target(route_table const& table, serving_group const& group,
                             route_request const& request, target_index target, time_point now);

/// Chooses a target among sampled candidates and up to two with a cached prefix.
/// @param table the targets
/// @param request the request
/// @param source random source of the samples
/// @param now the present
/// @return the decision; `target` is no_target when none can take the request
route_decision choose_target(route_table const& table, route_request const& request, rng& source,
                             time_point now);

/// The name of a reason, for log lines.
char const* name_of(route_reason reason);

/// Formats a decision with all candidates and score parts for the log line.
std::string describe(route_table const& table, route_decision const& decision);

} // namespace fireflycrank
