/// @file
/// Decisions of the entry: joins admission, routing, retries, assembly of answers and orders.
/// Events in, actions out; the daemon performs the actions.
#pragma once

#include "admission.h"
#include "answer.h"
#include "attemptmessage.h"
#include "callerrequest.h"
#include "claim.h"
#include "config.h"
#include "drain.h"
#include "entrycache.h"
#include "estimate.h"
#include "log.h"
#include "orderflow.h"
#include "quarantine.h"
#include "requestindex.h"
#include "retry.h"
#include "rng.h"
#include "route.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace fireflycrank {

/// The outcome of a request as the caller is told.
enum class request_outcome { answered, not_run, outcome_unknown, failed };

/// The name of an outcome, as it appears in answers and logs.
/// @param outcome the outcome
/// @return "answered", "not_run", "outcome_unknown" or "failed"
char const* name_of(request_outcome outcome);

/// One attempt of an idempotent request.
struct running_attempt {
    attempt_ref id;
    target_index target{no_target};
    std::uint64_t dispatch_number{0}; ///< number of the dispatch in the route table
    time_point sent_at;
    time_point last_heard_at;   ///< last sign of life from the agent
    time_point last_queried_at; ///< last question to the agent
    bool started{false};        ///< the agent said that it runs or ran
};

/// A request until its final answer.
struct entry_request {
    std::string id;
    route_config route;
    caller_request call;
    time_point received_at;
    time_point deadline;
    wall_time start_by;
    work_estimate estimate;
    std::vector<std::uint64_t> prompt_block_hashes; ///< of the prompt, for prefix matches
    double attempt_work{0}; ///< the estimate without what the present target has cached
    std::string fingerprint;
    bool run_alone{false}; ///< suspected of crashing targets
    bool may_have_run{false};
    std::uint32_t attempts{0};
    std::uint32_t repeats{0};
    std::uint32_t tries_elsewhere{0};
    std::vector<std::string> tried_targets; ///< targets that refused or lost an attempt
    std::optional<running_attempt> attempt;
    std::optional<time_point> retry_at; ///< the next attempt starts then
    answer_state answer;
    std::uint32_t status{0};
    std::string content_type;
    bool stream_started{false};     ///< a streamed answer has begun
    std::uint32_t stream_status{0}; ///< that the caller has received
    std::optional<order_flow> order;
    bool last_event_was_tick{false}; ///< the order's last event was a tick
    bool closed{false};
};

/// State of an entry.
struct entry_core {
    std::string name;
    std::uint64_t incarnation{0};
    config configuration;
    std::uint64_t config_revision{0};
    bool serving{false};         ///< a revision confirmed by a majority is in force
    bool orders_possible{false}; ///< control answers
    route_table routing;
    prefix_cache_view cache_view;
    std::set<std::string> live_owners; ///< "entry/incarnation" of all present entries
    estimator work_estimator;
    admission_state admission;
    std::unordered_map<std::string, retry_budget> retry_budgets; ///< by route
    quarantine_table quarantine;
    order_memory known_orders; ///< what this entry has seen of orders, for times without a majority
    drain_state drain;
    rng random;
    std::uint64_t next_request_number{1};
    std::uint64_t next_dispatch_number{1};
    std::map<std::string, entry_request> requests;
    request_index index;               ///< kept up to date after every event of a request
    std::uint64_t requests_visited{0}; ///< requests looked at by events and ticks
};

/// Send to a target's agent.
struct send_to_agent {
    std::string address;
    std::variant<attempt_request, attempt_query> message;
};

/// Ask a target's agent for the whole listing of its prefix cache.
struct request_cache_listing {
    std::string address;
};

/// Send to control: a command on a claim.
struct send_claim {
    claim_command command;
};

/// Send to control: this request ran when a target crashed, or finished after it was suspected.
struct send_quarantine {
    quarantine_command command;
};

/// Answer a caller completely.
struct send_response {
    std::string request;
    int status{0};
    http_headers headers;
    std::string body;
};

/// Start, continue, finish or break off a streamed answer.
enum class stream_part { start, bytes, finish, abort };

/// One step of a streamed answer.
struct stream_response {
    std::string request;
    stream_part part{stream_part::bytes};
    int status{0};
    http_headers headers;
    std::string bytes;
};

/// Write a log event.
struct write_log {
    log_event_kind const* kind{nullptr};
    std::vector<log_field> fields;
};

/// A request has its final answer; for metrics.
struct request_finished {
    std::string route;
    std::string team;
    request_outcome outcome{request_outcome::answered};
    duration took{0};
    std::uint32_t attempts{0};
};

using entry_action = std::variant<send_to_agent, request_cache_listing, send_claim, send_quarantine,
                                  send_response, stream_response, write_log, request_finished>;
using entry_actions = std::vector<entry_action>;

/// Puts a configuration in force.
/// @param core the entry
/// @param intent the configuration
/// @param revision its revision
void apply_config(entry_core& core, config const& intent, std::uint64_t revision);

/// Takes a caller's request.
/// @param core the entry
/// @param request the HTTP request
/// @param now the present time
/// @param wall the present wall time
/// @param id receives the request's id, under which actions name it
/// @return actions
entry_actions on_caller_request(entry_core& core, http_request const& request, time_point now,
                                wall_time wall, std::string& id);

/// The caller closed its connection.
/// @param core the entry
/// @param id the request
/// @param now the present time
/// @param wall the present wall time
/// @return actions
entry_actions on_caller_disconnected(entry_core& core, std::string const& id, time_point now,
                                     wall_time wall);

/// Takes a message from an agent.
/// @param core the entry
/// @param message the message
/// @param now the present time
/// @param wall the present wall time
/// @return actions
entry_actions
on_agent_message(entry_core& core,
                 std::variant<attempt_refusal, agent_status, agent_chunk, agent_end> const& message,
                 time_point now, wall_time wall);

/// Takes control's reply to a claim command.
/// @param core the entry
/// @param command_id id of the command
/// @param reply the reply; nothing when control could not be asked
/// @param now the present time
/// @param wall the present wall time
/// @return actions
entry_actions on_claim_reply(entry_core& core, std::string const& command_id,
                             std::optional<claim_reply> const& reply, time_point now,
                             wall_time wall);

/// Adds or updates a target.
/// @param core the entry
/// @param facts what is known of it
/// @param suspected whether membership suspects it
/// @param now the present time
void on_target_update(entry_core& core, target_info const& facts, bool suspected, time_point now);

/// A target's incarnation has died or was replaced.
/// @param core the entry
/// @param target its name
/// @param incarnation the incarnation that is gone
/// @param now the present time
/// @param wall the present wall time
/// @return actions
entry_actions on_target_lost(entry_core& core, std::string const& target, std::uint64_t incarnation,
                             time_point now, wall_time wall);

/// Takes a load report.
/// @param core the entry
/// @param target the target's name
/// @param incarnation its incarnation
/// @param load the load
/// @param measured_at when it was measured
void on_target_load(entry_core& core, std::string const& target, std::uint64_t incarnation,
                    target_load const& load, time_point measured_at);

/// Takes news of a target's prefix cache.
/// @param core the entry
/// @param news the news
/// @param now the present time
/// @return actions
entry_actions on_cache_update(entry_core& core, cache_news const& news, time_point now);

/// Advances deadlines, questions, resends, retries and orders; call it every 20 ms.
/// @param core the entry
/// @param now the present time
/// @param wall the present wall time
/// @return actions
entry_actions on_entry_tick(entry_core& core, time_point now, wall_time wall);

} // namespace fireflycrank
