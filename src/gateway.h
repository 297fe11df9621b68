/// @file
/// A gateway: an entry that calls targets directly. It takes callers' requests, chooses a target,
/// forwards, and repeats where that is harmless. One event loop runs it all; nothing is locked.
/// gateway.cpp keeps the state current, gatewaycall.cpp serves one request.
#pragma once

#include "beatsender.h"
#include "callmessage.h"
#include "callplan.h"
#include "callqueue.h"
#include "crashguard.h"
#include "directorysync.h"
#include "engineload.h"
#include "eventloop.h"
#include "httplistener.h"
#include "metrics.h"
#include "peerlink.h"
#include "retryledger.h"
#include "rng.h"
#include "serviceconfig.h"
#include "targetchoice.h"
#include "targetpool.h"
#include "vmsettings.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace fireflycrank {

class gateway_call;

/// What a gateway knows and has open.
struct gateway {
    explicit gateway(vm_settings configured);

    event_loop loop;
    vm_settings settings;
    std::shared_ptr<peer_link> link;
    target_pool pool;
    std::shared_ptr<metrics_registry> metrics;

    directory_subscriber subscriber;
    attached_set attached; ///< registrars that hear this gateway
    target_directory directory;
    std::map<std::string, target_view> targets;
    std::map<std::string, std::vector<std::string>> followed; ///< targets by service, sorted
    std::map<std::string, time_point> follow_told_at;         ///< to rank agents, by address
    choice_settings choice;
    std::map<std::string, retry_ledger> ledgers;       ///< by service
    std::map<std::string, failure_repeats> repeats_of; ///< by service
    crash_guard guard;             ///< against requests that crash the targets that run them
    std::set<std::string> checked; ///< targets to which a check is under way
    std::size_t next_reporter{0};  ///< number of the registrar that gets the next crash report
    retry_bound bound;
    gateway_census census;
    retry_share share; ///< of the bound's allowance

    std::shared_ptr<service_config const> config;
    std::uint64_t asked_version{0}; ///< configuration that was asked for last
    time_point asked_at{};
    bool config_confirmed{false}; ///< some registrar knew it to be the newest
    time_point started_at{};

    std::set<std::shared_ptr<gateway_call>> calls;
    std::map<std::string, service_outage> outages; ///< by service
    call_queue queue;                              ///< calls that wait for a place at a target
    std::map<std::uint64_t, std::shared_ptr<gateway_call>> queued;
    std::uint64_t last_queued{0};
    bool admitting{false};
    rng random;
    bool stopping{false};
};

/// Serves a caller's request.
/// @param owner the gateway; outlives the call
/// @param request the request
/// @param writer its answer
void serve_call(gateway& owner, incoming_request request, std::shared_ptr<response_writer> writer);

/// Goes on with calls that waited for the configuration.
/// @param owner the gateway, now sure of its configuration
void resume_calls(gateway& owner);

/// Sends waiting calls for which there is room now.
/// @param owner the gateway
void admit_calls(gateway& owner);

/// Looks whether services that had no sound target have one again, though nobody asks for them.
/// @param owner the gateway
void watch_outages(gateway& owner);

/// Ends calls whose time is over; call it every 50 ms or so.
/// @param owner the gateway
void sweep_calls(gateway& owner);

/// Notes a run that ended without a complete answer, and looks whether its target has ended.
/// @param owner the gateway
/// @param run the run
void take_lost_run(gateway& owner, lost_run const& run);

/// Sends crash reports that are due to a registrar.
/// @param owner the gateway
void send_crash_reports(gateway& owner);

/// Takes a registrar's list of requests that crash targets; calls with such requests end.
/// @param owner the gateway
/// @param from the registrar
/// @param list the list
void take_suspect_list(gateway& owner, std::string const& from, suspect_list const& list);

/// Finds lost runs whose target another incarnation has replaced.
/// @param owner the gateway, its directory just updated
void find_replaced_targets(gateway& owner);

/// Ends waiting calls whose requests are quarantined.
/// @param owner the gateway
void end_quarantined_calls(gateway& owner);

/// Takes an agent's report about its target.
/// @param owner the gateway
/// @param report the report
void take_engine_load(gateway& owner, engine_load const& report);

/// Runs a gateway until it is stopped.
/// @param read_settings reads the settings file
/// @param settings_path the file, watched for changes
/// @return nothing, or why it could not start
result<void> run_gateway(settings_source const& read_settings, std::string const& settings_path);

} // namespace fireflycrank
