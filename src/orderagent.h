/// @file
/// Target orders at the agent: fence reads, the wait for requests in flight, the order to the
/// engine, and what the member serves. Pure; the daemon calls it under its mutex.
#pragma once

#include "config.h"
#include "fleet.h"
#include "orderlog.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fireflycrank {

/// Where a reply goes.
using addressed_order_reply = std::pair<std::string, target_order_reply>;

/// State of target orders at one agent.
struct order_agent {
    order_applier applier;
    std::vector<std::string>
        configured;                  ///< `serves` of the settings: loaded when the engine starts
    std::vector<std::string> loaded; ///< "name@version"; what the member serves while it is up
    std::map<std::string, std::uint64_t> fence_reads; ///< control call to fence read
    std::deque<target_order> waiting;                 ///< accepted, the first one next
    bool at_engine{false};                            ///< the first one is with the engine
    std::optional<time_point> withdrawn;              ///< since when the member serves nothing
    bool leaving{false};                              ///< the process ends; nothing new is taken
};

/// Starts the state; no order passes before the fence was read.
/// @param settings the process's settings
/// @param incarnation the agent's incarnation
/// @return the state
order_agent start_order_agent(process_config const& settings, std::uint64_t incarnation);

/// Begins the majority read of the fencing token when one is due.
/// @param state the state
/// @param net sends the read
/// @param now the present time
/// @return what to send
fleet_news tick_fence(order_agent& state, fleet& net, time_point now);

/// Takes the reply to a fence read; other replies are ignored.
/// @param state the state
/// @param id id of the call
/// @param reply the reply; nothing when no replica replied
void take_fence(order_agent& state, std::string const& id,
                std::optional<control_reply> const& reply);

/// Takes a target order.
/// @param state the state
/// @param from the leader's mailbox
/// @param message the order
/// @return the reply, if one is due now
std::optional<target_order_reply> take_target_order(order_agent& state, std::string const& from,
                                                    target_order_message const& message);

/// Gives up the orders that have not reached the engine, and takes no more. The planner ends them
/// when the agent starts again. The order at the engine is still to be answered.
/// @param state the state
void stop_taking_orders(order_agent& state);

/// Whether an order waits or is with the engine; the member then serves nothing.
bool order_in_hand(order_agent const& state);

/// Whether the member was withdrawn long enough ago for entries to send it nothing more; starts
/// that time at the first call.
/// @param state the state, with an order in hand
/// @param now the present time
bool notice_over(order_agent& state, time_point now);

/// What the member serves.
/// @param state the state
/// @param engine_up whether the engine answers
/// @return services and models
std::vector<std::string> serves_now(order_agent const& state, bool engine_up);

/// An order for the engine.
struct engine_order {
    target_order order;
    std::string body; ///< JSON
};

/// Gives the next order to the engine. Orders whose fencing token has become stale are dropped.
/// @param state the state
/// @param idle whether nothing runs on the engine
/// @return the order, or nothing while none is due
std::optional<engine_order> next_engine_order(order_agent& state, bool idle);

/// Takes the engine's answer.
/// @param state the state
/// @param status HTTP status; 0 when the connection failed
/// @param result text for the planner
/// @return the reply; nothing when the engine refused the fencing token, so that the order may be
///         sent again under the present one
std::optional<addressed_order_reply> finish_engine_order(order_agent& state, int status,
                                                         std::string result);

/// The engine has started anew with what its settings load.
/// @param state the state
void engine_restarted(order_agent& state);

} // namespace fireflycrank
