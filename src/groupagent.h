/// @file
/// Joins an agent's rank gates to its mailbox, control calls and engine.
#pragma once

#include "engineranks.h"
#include "fleet.h"
#include "http.h"
#include "mailbox.h"
#include "runtime.h"

#include <memory>
#include <mutex>
#include <string>

namespace fireflycrank {

/// What the gates share with their agent. The functions below are called with `mutex` held.
struct group_agent {
    std::mutex& mutex;
    runtime& workers;
    fleet& fleet_state;
    std::shared_ptr<mailbox>& outbox;
    process_config const& settings;
    engine_ranks engine;
};

/// Takes a view from control.
/// @param agent the state
/// @param message any message
/// @param now the time
/// @return false if the message is of another kind
bool on_map_view_message(group_agent& agent, inbound_message const& message, time_point now);

/// Takes replies of control to the gates' calls.
/// @param agent the state
/// @param news what the fleet returned
/// @param now the time
void on_control_replies(group_agent& agent, fleet_news const& news, time_point now);

/// Advances the gates; call it every 20 ms.
/// @param agent the state
/// @param now the time
void tick_group(group_agent& agent, time_point now);

/// Answers POST /v1/group/step.
/// @param agent the state
/// @param body the request's body
/// @param response receives the answer
/// @param now the time
void serve_step(group_agent& agent, std::string const& body, http_response& response,
                time_point now);

} // namespace fireflycrank
