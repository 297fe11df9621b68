/// @file
/// Internal functions of entry_core, shared by its source files.
#pragma once

#include "entrycore.h"

namespace fireflycrank {

/// Context of handling one event: the entry, the time and the actions so far.
struct event_context {
    entry_core* core{nullptr};
    time_point now;
    wall_time wall;
    entry_actions actions;
};

/// A refusal, as reported to the caller.
struct refusal {
    request_outcome outcome{request_outcome::not_run};
    int status{0};
    std::string reason;      ///< for programs, for example "over_share"
    std::string message;     ///< for people; says what can be done
    duration retry_after{0}; ///< zero when a repeat can't help
};

namespace http_status {
inline constexpr int ok = 200;
inline constexpr int bad_request = 400;
inline constexpr int not_found = 404;
inline constexpr int conflict = 409;
inline constexpr int too_large = 413;
inline constexpr int unprocessable = 422;
inline constexpr int too_many = 429;
inline constexpr int server_error = 500;
inline constexpr int bad_gateway = 502;
inline constexpr int unavailable = 503;
inline constexpr int timed_out = 504;
} // namespace http_status

/// Sends the caller a refusal and ends the request.
/// @param request erased, unless `request.order` is set: advance_order() erases that
void refuse_request(event_context& context, entry_request& request, refusal const& why);

/// Sends the caller a target's whole response and ends the request.
/// @param request erased, unless `request.order` is set: advance_order() erases that
void answer_request(event_context& context, entry_request& request, std::uint32_t status,
                    std::string const& content_type, std::string body);

/// Records the final answer of a request for logs, metrics and admission.
/// @param request erased, unless `request.order` is set: advance_order() erases that
/// @param reason for the log
void close_request(event_context& context, entry_request& request, request_outcome outcome,
                   std::string const& reason);

/// Headers of every successful response.
http_headers answer_headers(entry_request const& request);

/// Chooses a target that was not tried yet, sets the request's `attempt_work` for it and logs the
/// decision.
route_decision choose_request_target(event_context& context, entry_request& request);

/// Makes the message that starts an attempt.
/// @param start_by the attempt never starts later
attempt_request make_attempt_request(event_context const& context, entry_request const& request,
                                     attempt_ref const& id, wall_time start_by);

/// Starts the next attempt of an idempotent request. Without a target the request is refused, which
/// erases it.
void send_next_attempt(event_context& context, entry_request& request);

// Handlers of an agent's messages to an idempotent request. A message about another attempt than
// the present one is ignored. Each may end and erase the request.

/// The attempt was refused.
void handle_refusal(event_context& context, entry_request& request, attempt_refusal const& message);
/// Status of the attempt, usually in reply to a query.
void handle_status(event_context& context, entry_request& request, agent_status const& message);
/// Part of the response.
void handle_chunk(event_context& context, entry_request& request, agent_chunk const& message);
/// The attempt has ended.
void handle_end(event_context& context, entry_request& request, agent_end const& message);

/// Handles the loss of the present attempt: retries, resumes or gives up.
/// @param request erased when it is given up
/// @param reason for the log
void handle_lost_attempt(event_context& context, entry_request& request, attempt_outcome outcome,
                         std::string const& reason);

/// Starts the retries of an idempotent request that are due, asks for the state of its attempts,
/// and handles its time limits.
void tick_request(event_context& context, entry_request& request);

/// When an idempotent request next needs a tick.
time_point next_tick_time(entry_request const& request);

/// Updates a request's keys in the entry's index, or removes it if the request was erased.
void update_request_index(event_context& context, std::string const& id);

/// Starts an order, or refuses it, which erases the request.
void start_order(event_context& context, entry_request& request);

/// Passes an event to an order's state machine and performs the resulting actions.
/// @param request erased when the order is over and its caller was answered or is gone
void advance_order(event_context& context, entry_request& request, order_event const& event);

} // namespace fireflycrank
