/// @file
/// Request handling of an entry, without I/O: combines admission, routing, retries, response
/// assembly and orders (requests that are not idempotent). Each event handler returns the actions
/// that the daemon performs.
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

/// Outcome of a request, as reported to the caller.
enum class request_outcome { answered, not_run, outcome_unknown, failed };

/// The name used in responses and logs.
char const* name_of(request_outcome outcome);

/// An attempt of an idempotent request that has not ended.
struct running_attempt {
    attempt_ref id;
    target_index target{no_target};
    std::uint64_t dispatch_number{0}; ///< identifies it in record_dispatch() and remove_dispatch()
    time_point sent_at;
    time_point last_heard_at;   ///< last message from the agent
    time_point last_queried_at; ///< last status query to the agent, or message from it
    bool started{false};        ///< the agent reported that it runs or ran
};

/// A request in progress.
struct entry_request {
    std::string id;
    route_config route;
    caller_request call;
    time_point received_at;
    time_point deadline;
    wall_time start_by; ///< the deadline in wall time; no attempt starts later
    work_estimate estimate;
    std::vector<std::uint64_t> prompt_block_hashes; ///< for prefix matches
    double attempt_work{0}; ///< estimated work without the part that the chosen target has cached
    std::string fingerprint;
    bool run_alone{false};    ///< no other request beside it: it may have crashed a target
    bool may_have_run{false}; ///< an attempt was lost that may have started
    std::uint32_t attempts{0};
    std::uint32_t repeats{0};               ///< after attempts that may have run
    std::uint32_t tries_elsewhere{0};       ///< after attempts that did not run
    std::vector<std::string> tried_targets; ///< targets that refused or lost an attempt
    std::optional<running_attempt> attempt;
    std::optional<time_point> retry_at; ///< start of the next attempt
    answer_state answer;
    std::uint32_t status{0}; ///< HTTP status of the present attempt's response
    std::string content_type;
    bool stream_started{false};     ///< a streamed response has begun
    std::uint32_t stream_status{0}; ///< HTTP status that the caller has received
    std::optional<order_flow> order;
    bool last_event_was_tick{false}; ///< for an order
    bool closed{false}; ///< the final answer was decided, and reported unless the caller is gone
};

/// State of an entry's request handling.
struct entry_core {
    std::string name;
    std::uint64_t incarnation{0};
    config configuration;
    std::uint64_t config_revision{0};
    bool serving{false};         ///< a configuration confirmed by a control majority is in force
    bool orders_possible{false}; ///< a control majority can be reached
    route_table routing;
    prefix_cache_view cache_view;
    std::set<std::string> live_owners; ///< "entry/incarnation" of all live entries
    estimator work_estimator;
    admission_state admission;
    std::unordered_map<std::string, retry_budget> retry_budgets; ///< by route
    quarantine_table quarantine;
    order_memory known_orders; ///< seen by this entry; used without a control majority
    drain_state drain;
    rng random;
    std::uint64_t next_request_number{1};
    std::uint64_t next_dispatch_number{1};
    std::map<std::string, entry_request> requests;
    request_index index;               ///< updated after every event of a request
    std::uint64_t requests_visited{0}; ///< counts the requests examined by events and ticks
};

/// Send a message to a target's agent.
struct send_to_agent {
    std::string address;
    std::variant<attempt_request, attempt_query> message;
};

/// Request a full listing of the prefix cache from a target's agent.
struct request_cache_listing {
    std::string address;
};

/// Send a claim command to control.
struct send_claim {
    claim_command command;
};

/// Report to control that requests ran when a target crashed, or that a suspected one finished.
struct send_quarantine {
    quarantine_command command;
};

/// Send a whole response to a caller.
struct send_response {
    std::string request; ///< request id
    int status{0};
    http_headers headers;
    std::string body;
};

/// Part of a streamed response; `abort` ends it incomplete.
enum class stream_part { start, bytes, finish, abort };

/// Send a part of a streamed response.
struct stream_response {
    std::string request; ///< request id
    stream_part part{stream_part::bytes};
    int status{0};
    http_headers headers;
    std::string bytes;
};

/// Log an event.
struct write_log {
    log_event_kind const* kind{nullptr};
    std::vector<log_field> fields;
};

/// Count a finished request in the metrics.
struct request_finished {
    std::string route;
    std::string team;
    request_outcome outcome{request_outcome::answered};
    duration took{0}; ///< from arrival to the final answer
    std::uint32_t attempts{0};
};

using entry_action = std::variant<send_to_agent, request_cache_listing, send_claim, send_quarantine,
                                  send_response, stream_response, write_log, request_finished>;
using entry_actions = std::vector<entry_action>;

/// Applies a configuration.
void apply_config(entry_core& core, config const& configuration, std::uint64_t revision);

/// A caller sent a request.
/// @param id receives the request id that the actions contain
entry_actions on_caller_request(entry_core& core, http_request const& request, time_point now,
                                wall_time wall, std::string& id);

/// The caller closed its connection.
entry_actions on_caller_disconnected(entry_core& core, std::string const& id, time_point now,
                                     wall_time wall);

/// An agent sent a message about an attempt.
entry_actions
on_agent_message(entry_core& core,
                 std::variant<attempt_refusal, agent_status, agent_chunk, agent_end> const& message,
                 time_point now, wall_time wall);

/// Control replied to a claim command, or could not be asked.
/// @param reply empty when control could not be asked
entry_actions on_claim_reply(entry_core& core, std::string const& command_id,
                             std::optional<claim_reply> const& reply, time_point now,
                             wall_time wall);

/// Membership announced a target or a change of it.
/// @param suspected whether membership suspects it of having failed
void on_target_update(entry_core& core, target_info const& info, bool suspected, time_point now);

/// An incarnation of a target has died or was replaced.
entry_actions on_target_lost(entry_core& core, std::string const& target, std::uint64_t incarnation,
                             time_point now, wall_time wall);

/// A target reported its load.
/// @param measured_at time of measurement on this entry's clock
void on_target_load(entry_core& core, std::string const& target, std::uint64_t incarnation,
                    target_load const& load, time_point measured_at);

/// A target's prefix cache changed.
entry_actions on_cache_update(entry_core& core, cache_news const& update, time_point now);

/// Handles deadlines, status queries, resends, retries and orders that are due; call it every 20
/// ms.
entry_actions on_entry_tick(entry_core& core, time_point now, wall_time wall);

} // namespace fireflycrank
