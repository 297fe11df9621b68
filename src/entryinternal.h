/// @file
/// Parts of the entry's decisions that its source files share; not for use by the daemon.
#pragma once

#include "entrycore.h"

namespace fireflycrank {

/// Where an event is handled: the entry, the time and the actions so far.
struct event_context {
    entry_core* core{nullptr};
    time_point now;
    wall_time wall;
    entry_actions actions;
};

/// Why a request is refused, for the caller.
struct refusal {
    request_outcome outcome{request_outcome::not_run};
    int status{0};
    std::string reason;  ///< machine-readable, for example "over_share"
    std::string message; ///< what the caller's operator can do
    duration retry_after{0};
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

/// Tells the caller that the request is given up, and ends it.
/// @param step the event's step
/// @param request the request; erased unless an order goes on in the background
/// @param why the refusal
void refuse_request(event_context& step, entry_request& request, refusal const& why);

/// Answers the caller with the target's whole response.
/// @param step the event's step
/// @param request the request
/// @param status HTTP status
/// @param content_type content type
/// @param body the body
void answer_request(event_context& step, entry_request& request, std::uint32_t status,
                    std::string const& content_type, std::string body);

/// Records that a request has its final answer, for logs, metrics and admission.
/// @param step the event's step
/// @param request the request
/// @param outcome what the caller was told
/// @param reason why
void close_request(event_context& step, entry_request& request, request_outcome outcome,
                   std::string const& reason);

/// Headers that every answer to a request carries.
/// @param request the request
/// @return the headers
http_headers answer_headers(entry_request const& request);

/// Chooses a target that was not tried yet, and logs the decision.
/// @param step the event's step
/// @param request the request; its `attempt_work` is set for the chosen target
/// @return the decision
route_decision choose_request_target(event_context& step, entry_request& request);

/// Makes the message that starts an attempt.
/// @param step the event's step
/// @param request the request
/// @param id the attempt
/// @param start_by the attempt never starts later
/// @return the message
attempt_request make_attempt_request(event_context const& step, entry_request const& request,
                                     attempt_ref const& id, wall_time start_by);

/// Starts the next attempt of an idempotent request, or refuses it.
/// @param step the event's step
/// @param request the request; may be ended
void send_next_attempt(event_context& step, entry_request& request);

/// Takes an agent's message about the present attempt of an idempotent request.
void handle_refusal(event_context& step, entry_request& request, attempt_refusal const& message);
/// Takes a status; see take_refusal.
void handle_status(event_context& step, entry_request& request, agent_status const& message);
/// Takes a piece of output; see take_refusal.
void handle_chunk(event_context& step, entry_request& request, agent_chunk const& message);
/// Takes the end of the attempt; see take_refusal.
void handle_end(event_context& step, entry_request& request, agent_end const& message);

/// The present attempt is lost: retries, resumes or gives up.
/// @param step the event's step
/// @param request the request; may be ended
/// @param outcome how it was lost
/// @param reason for the log
void handle_lost_attempt(event_context& step, entry_request& request, attempt_outcome outcome,
                         std::string const& reason);

/// Advances an idempotent request.
void tick_request(event_context& step, entry_request& request);

/// When the next tick matters to an idempotent request.
/// @param request the request
/// @return the time
time_point next_tick_time(entry_request const& request);

/// Files a request in the entry's index under its present keys, or removes one that is over.
/// @param step the event's step
/// @param id the request
void update_request_index(event_context& step, std::string const& id);

/// Starts an order.
/// @param step the event's step
/// @param request the request; may be ended
void start_order(event_context& step, entry_request& request);

/// Advances an order by one event and performs its actions.
/// @param step the event's step
/// @param request the request; erased when its flow is over
/// @param event what happened
void advance_order(event_context& step, entry_request& request, order_event const& event);

} // namespace fireflycrank
