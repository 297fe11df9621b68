/// @file
/// Choice of the target for a request by one gateway, from load reports that are somewhat old,
/// corrected by the requests that this gateway has sent or finished since. Does no I/O.
#pragma once

#include "clock.h"
#include "coldpace.h"
#include "promptwork.h"
#include "rng.h"
#include "targetaccess.h"
#include "targetdirectory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fireflycrank {

/// Newest load report of a target.
struct load_sample {
    time_point sampled_at{};
    unsigned running{0};
    unsigned waiting{0};
    unsigned own_at_sample{0}; ///< target_view::own_in_flight when the report arrived
    double slowdown{1.0};      ///< 1 at normal speed, above 1 when the target is slow
    /// Smoothed length of the passes of the target's group; 0: unknown.
    std::chrono::duration<double, std::milli> pass{0};
};

/// Restricts the targets of a request.
struct target_filter {
    std::vector<std::string> excluded;
    std::vector<std::string> only; ///< targets allowed; empty allows all
    /// Sorted ids of the targets that this gateway prefers; null or empty: all. Since gateways have
    /// different subsets, they do not all send to a target that has just become free.
    std::vector<std::string> const* subset{nullptr};
    /// Groups in which no further stream may start; other targets are preferred.
    std::vector<std::string> full_groups;
    access_rules const* access{nullptr}; ///< null: all targets are allowed
    /// How the service's targets read prompts; null: targets are compared by their requests alone.
    prompt_reading const* reading{nullptr};
    bool weigh_pace{false}; ///< slow ranks get less than others of their group
};

/// A target's membership in a group of ranks that run each forward pass together.
struct group_membership {
    std::string name;
    std::uint64_t epoch{0};
    unsigned rank{0};
    bool open{true};
    time_point reported_at{};
    unsigned size{0}; ///< ranks of the group; 0: unknown
};

/// What a gateway knows of a target.
struct target_view {
    target_announcement announcement;
    time_point last_heard{};
    unsigned own_in_flight{0}; ///< unfinished requests of this gateway
    std::optional<load_sample> load;
    std::optional<time_point> heard_at; ///< newest report of its agent; empty before the first
    time_point answered_at{};           ///< newest part of a response to this gateway
    time_point quiet_until{};           ///< a run ended here while it was quiet; see is_quiet()
    std::optional<group_membership> group;
    unsigned consecutive_failures{0};
    time_point backoff_until{}; ///< other targets are preferred until then
    unsigned consecutive_errors{0};
    time_point suspect_until{}; ///< other targets are preferred until then, less strongly
    bool responsive{true};      ///< false: it does not answer its agent
    prompt_backlog prompts;     ///< sent by this gateway and not answered yet
    bool leaving{false};        ///< this incarnation said in a response that it is about to end
    time_point pauses_until{};  ///< it asked this gateway to send nothing until then
    cold_state cold;
};

/// Name under which the streams at targets whose group is not known yet are counted and limited.
std::string ungrouped_name(std::string const& service);

/// Weights and times of choose_target().
struct choice_settings {
    /// A target without an announcement for this long is used only when no other is left: three
    /// announcement periods, plus the seconds by which an announcement may be late.
    duration silent_after{std::chrono::seconds{5}};
    /// Load reports older than this are ignored.
    duration report_ttl{std::chrono::seconds{2}};
    /// A target is quiet after this long without a report or a part of a response. Longer than the
    /// longest period of reports, and short enough to repeat a stream before its caller leaves,
    /// after two seconds without an event.
    duration quiet_after{std::chrono::milliseconds{600}};
    /// A quiet target without a request of this gateway is tried again after this time, since only
    /// its agent may have ended.
    duration quiet_retry{std::chrono::seconds{5}};
    /// Backoff after the first failure; doubled with each further one in a row.
    duration initial_backoff{std::chrono::milliseconds{200}};
    duration max_backoff{std::chrono::seconds{3}};
    /// A target that answers with errors is fast and looks idle. Other targets are preferred for
    /// this long after an error; doubled with each further one in a row.
    duration initial_suspicion{std::chrono::seconds{1}};
    duration max_suspicion{std::chrono::seconds{8}};
    double cross_zone_penalty{0.3}; ///< in requests: traffic between zones costs more
    /// In requests. A random one of the targets this close to the lowest cost is chosen, so that
    /// gateways do not all send to the same one.
    double tie_margin{0.75};
};

/// Result of choose_target().
struct target_choice {
    std::string id; ///< empty if there is no candidate
    double load{0}; ///< estimated running and waiting requests
    unsigned slots{0};
    unsigned candidates{0}; ///< ready targets that the filter allows
    duration report_age{}; ///< age of the report that `load` is based on; negative without a report
    bool healthy{false};   ///< announced lately, not in backoff, and its group is not closed
    bool quiet{false};     ///< see is_quiet()
    bool suspect{false};   ///< recently answered with an error
    std::string group;     ///< empty if unknown
    bool group_full{false}; ///< no further stream may start in its group
    denied_targets denied;  ///< left out by the access rules
    unsigned paused{0};     ///< allowed targets that asked for a pause
    bool cold{false};
    /// Healthy cold targets without a part left, if no other healthy target is a candidate.
    cold_shortage cold_left_out;
};

/// Whether there is a target that can take requests, now or once it has taken fewer in the last
/// second.
inline bool is_usable(target_choice const& choice) {
    return choice.healthy || choice.cold_left_out.targets > 0;
}

/// Estimates the current load of a target.
/// @return number of running and waiting requests
double estimated_load(target_view const& view, choice_settings const& settings, time_point now);

/// Condition of a target; lower is better.
enum class health_level : std::uint8_t { healthy, suspect, quiet, backing_off, silent };

/// Why a target is no candidate for a request.
enum class target_exclusion : std::uint8_t {
    none,
    not_ready, ///< it drains, leaves or has departed
    tried,     ///< the request must not be sent there again, or only where it was sent before
    evacuated_zone,
    foreign_region,
    paused, ///< it asked this gateway to send nothing for a while
    cold    ///< this gateway's part of its rate is used up
};

/// A target of a service as a request finds it.
struct rated_target {
    target_view const* view{nullptr};
    target_exclusion exclusion{target_exclusion::none};
    health_level health{health_level::healthy};
    bool in_subset{true};
    bool group_full{false};
    double load{0}; ///< estimated running and waiting requests
    double cost{0}; ///< load per slot, with all that is added; the lowest is chosen
};

/// Rates all targets of a service for a request.
std::vector<rated_target> rate_targets(std::map<std::string, target_view> const& targets,
                                       std::string const& service, std::string const& zone,
                                       target_filter const& filter, choice_settings const& settings,
                                       time_point now);

/// Chooses the target with the lowest load per slot among those in the best health.
/// @param service only targets of this service are candidates
/// @param zone this gateway's availability zone
target_choice choose_target(std::map<std::string, target_view> const& targets,
                            std::string const& service, std::string const& zone,
                            target_filter const& filter, choice_settings const& settings,
                            rng& random, time_point now);

/// Whether the access rules alone leave a request without any target, so that waiting is useless.
bool is_barred(target_choice const& choice);

/// Whether a target with an agent leaves this gateway's requests unanswered while its agent is not
/// heard of either: its VM stands still or is cut off. A silent agent alone proves nothing, since
/// the target may answer without it, and neither does a target that is asked for nothing.
bool is_quiet(target_view const& view, choice_settings const& settings, time_point now);

/// Records a report of a target's agent.
void record_report(target_view& view, time_point now);

/// Removes a run that has ended from a target's runs of this gateway.
void release_run(target_view& view, choice_settings const& settings, time_point now);

/// A request that needs a slot at a target.
struct slot_request {
    bool stream{false};
    bool resumed{false}; ///< a stream that was interrupted after its first event
    /// Time left to send it in order to meet its latency target; negative if late.
    duration slack{};
    bool reserve{true}; ///< leave some slots to urgent and late streams
};

/// Whether a request may be sent to the chosen target now.
/// @return false if the request should wait at the gateway
bool has_capacity(target_choice const& choice, slot_request const& request);

/// Marks a group as closed after one of its targets reported it.
/// @param member_id any target of the group; ignored if its group is unknown
void mark_group_closed(std::map<std::string, target_view>& targets, std::string const& member_id,
                       time_point now);

/// Records that a target failed to serve a request; it is avoided for a growing backoff.
void record_failure(target_view& view, choice_settings const& settings, time_point now);

/// Records that a target refused a request and asked this gateway to send nothing for a while.
void record_pause(target_view& view, duration pause, time_point now);

/// Records that a target ran a request and answered with an error.
void record_error_response(target_view& view, choice_settings const& settings, time_point now);

/// Records that a target served a request, and ends its backoff and suspicion.
void record_success(target_view& view);

} // namespace fireflycrank
