/// @file
/// A gateway accepts callers' requests, chooses a target for each, forwards it, and retries where
/// that is safe. Everything runs on one event loop, so nothing is locked. gateway.cpp maintains the
/// state, gatewaygroups.cpp the limits of groups, gatewaycall.cpp serves requests, gatewaycrash.cpp
/// handles requests that crash targets.
#pragma once

#include "beatsender.h"
#include "callmessage.h"
#include "callqueue.h"
#include "coldpace.h"
#include "coldtargets.h"
#include "crashtracker.h"
#include "directorysync.h"
#include "engineload.h"
#include "eventloop.h"
#include "httplistener.h"
#include "metrics.h"
#include "peerlink.h"
#include "retrylimits.h"
#include "retrypolicy.h"
#include "returnplan.h"
#include "rng.h"
#include "runlength.h"
#include "serviceconfig.h"
#include "stopplan.h"
#include "streamadmission.h"
#include "targetchoice.h"
#include "targetpool.h"
#include "timelimits.h"
#include "vmsettings.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace fireflycrank {

class gateway_call;

/// State of a gateway.
struct gateway {
    explicit gateway(vm_settings configured);

    event_loop loop;
    vm_settings settings;
    std::shared_ptr<peer_link> link;
    target_pool pool;
    std::shared_ptr<metrics_registry> metrics;

    directory_subscriber subscriber;
    attached_set attached; ///< registrars that this gateway is attached to
    target_directory directory;
    std::map<std::string, target_view> targets;
    /// By service: sorted ids of the targets that this gateway prefers.
    std::map<std::string, std::vector<std::string>> followed;
    std::map<std::string, time_point> follow_sent_at; ///< by address of the rank agent
    choice_settings target_selection;
    std::map<std::string, retry_window_counts> retry_windows;   ///< by service
    std::map<std::string, failure_retry_stats> failure_retries; ///< by service
    crash_tracker crashes;
    std::set<std::string> targets_being_checked; ///< ids
    /// By id of the target: calls that are tried again only once it is known whether it has ended.
    std::map<std::string, std::vector<std::shared_ptr<gateway_call>>> calls_awaiting_check;
    std::size_t next_report_registrar{0}; ///< crash reports go to the registrars in turn
    retry_limits shared_retry_limits;
    gateway_count_history gateway_counts;
    allowance_share retry_share;
    gateway_set gateways; ///< that share the rate of cold targets
    cold_pace_settings cold_pace;
    gateway_census census; ///< how many gateways share the limits of groups

    std::shared_ptr<service_config const> config;
    std::uint64_t requested_config_version{0}; ///< requested last from a registrar
    time_point config_requested_at{};
    /// A registrar confirmed that `config` is the newest one, and that the evacuations which
    /// `subscriber` holds are, or none did in time.
    bool config_confirmed{false};
    time_point started_at{};

    std::set<std::shared_ptr<gateway_call>> calls;
    std::map<std::string, service_outage> outages;         ///< by service
    std::map<std::string, group_admission> groups;         ///< by name of the group
    std::map<std::string, pass_requirements> pass_needs;   ///< by service
    std::map<std::string, prompt_reading> prompt_readings; ///< by service; empty if not weighed
    std::map<std::string, slot_flow> slot_flows;           ///< by service
    std::map<std::string, return_plan> return_plans;       ///< by service
    std::map<std::string, cold_wait> cold_waits;           ///< by service
    std::map<std::pair<std::string, std::string>, run_lengths>
        run_history; ///< by route and service
    time_limit_history time_limits;
    call_queue queue; ///< calls that wait for a slot at a target
    std::map<std::uint64_t, std::shared_ptr<gateway_call>> queued_calls; ///< by id in `queue`
    std::uint64_t last_queue_id{0};
    bool admission_posted{false}; ///< admit_calls() is posted to the event loop
    rng random;
    std::optional<stop_plan> stop;        ///< set once a stop has begun
    std::optional<time_point> cut_off_at; ///< when the stop ended the calls that were left
};

/// Serves a caller's request.
/// @param owner must outlive the call
/// @param writer receives the response
void serve_call(gateway& owner, incoming_request request, std::shared_ptr<response_writer> writer);

/// Continues the calls that waited for the configuration. Call it once that is confirmed.
void resume_calls(gateway& owner);

/// Sends queued calls for which there is a free slot now.
void admit_calls(gateway& owner);

/// Whether new streams of a service can only begin when running ones end.
bool slots_are_short(gateway const& owner, std::string const& service);

/// Returns until when late requests may wait for a service whose groups have just been seen.
time_point late_wait_end(gateway const& owner, std::string const& service);

/// Returns the mean time between two slots of a service that become free for this gateway, as
/// expected while it has just started.
/// @return zero if unknown
duration slot_interval(gateway const& owner, std::string const& service);

/// Refuses queued streams of a service that could not begin in time.
void refuse_hopeless_calls(gateway& owner, std::string const& service);

/// Refuses queued calls that no target may run any more. To be called when the evacuations change.
void recheck_access(gateway& owner);

/// Ends the outages of services that have a usable target again. Needed because nothing else
/// notices when no requests arrive for such a service.
void refresh_outages(gateway& owner);

/// Recalculates how many streams this gateway may start in each group. To be called together with
/// sweep_calls().
void update_groups(gateway& owner);

/// Ends calls whose time is over. To be called several times per 100 ms.
void sweep_calls(gateway& owner);

/// Ends the calls that are left when the grace period is nearly over: cuts started responses, and
/// answers all others.
void cut_off_calls(gateway& owner);

/// Records a run that ended without a complete response, and checks whether its target has ended.
void handle_lost_run(gateway& owner, lost_run const& run);

/// Sends the crash reports that are due to registrars.
void send_crash_reports(gateway& owner);

/// Applies a registrar's list of requests that crash targets, and refuses queued calls that are
/// quarantined by it.
/// @param from the registrar's address
void handle_suspect_list(gateway& owner, std::string const& from, suspect_list const& list);

/// Records lost runs whose target another incarnation has replaced as ended in a crash. To be
/// called after each update of the directory.
void record_replaced_targets(gateway& owner);

/// Refuses queued calls whose requests or parts of prompts are quarantined, and ends runs with
/// quarantined parts that have sent nothing yet.
void refuse_quarantined_calls(gateway& owner);

/// Continues calls of `gateway::calls_awaiting_check`.
void retry_checked_calls(std::vector<std::shared_ptr<gateway_call>> const& calls);

/// Applies an agent's report about its target.
void apply_engine_load(gateway& owner, engine_load const& report);

/// Runs a gateway until it is stopped.
/// @param read_settings reads the settings file
/// @param settings_path the file, watched for changes
/// @return an error if the gateway could not start
result<void> run_gateway(settings_source const& read_settings, std::string const& settings_path);

} // namespace fireflycrank
