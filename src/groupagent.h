/// @file
/// Connects the ranks of an agent's engine to the agent's mailbox, to control and to the engine.
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

/// The ranks and the parts of the agent that they use. Call the functions below with `mutex` held.
struct group_agent {
    std::mutex& mutex;
    runtime& workers;
    fleet& fleet_state;
    std::shared_ptr<mailbox>& outbox;
    process_config const& settings;
    engine_ranks engine;
};

/// Handles a message if it is a map view from control.
/// @param message a message of any type
/// @return false if the message is of another type
bool on_map_view_message(group_agent& agent, inbound_message const& message, time_point now);

/// Handles control's replies to the calls of on_map_view_message() and tick_group().
/// @param output output of the fleet, which contains the replies
void on_control_replies(group_agent& agent, fleet_news const& output, time_point now);

/// Advances the ranks; call every 20 ms.
void tick_group(group_agent& agent, time_point now);

/// Answers POST /v1/group/step.
/// @param response receives the answer
void serve_step(group_agent& agent, std::string const& body, http_response& response,
                time_point now);

} // namespace fireflycrank
