/// @file
/// What every daemon shares: membership, the configuration in force, and requests to control. Pure:
/// messages and time in, messages and news out. A daemon calls it under its own mutex.
#pragma once

#include "config.h"
#include "configsync.h"
#include "controlclient.h"
#include "log.h"
#include "mailbox.h"
#include "membership.h"
#include "wire.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fireflycrank {

/// An encoded message with its receiver.
struct fleet_outgoing {
    std::string address;
    encoded_message message;
};

/// A log event to write.
struct fleet_log {
    log_event_kind const* kind{nullptr};
    std::vector<log_field> fields;
};

/// What a call brought about.
struct fleet_news {
    std::vector<fleet_outgoing> send;
    std::vector<member_change> changes;
    bool adopted{false}; ///< a new revision is in force
    /// Replies to fleet_ask by id; nothing when no replica replied before the deadline.
    std::vector<std::pair<std::string, std::optional<control_reply>>> replies;
    std::vector<fleet_log> logs;
};

/// State of one daemon's share in the fleet.
struct fleet {
    membership_state members;
    config_state configuration;
    control_client control;
    std::uint64_t next_call{1};
    std::optional<time_point> read_started; ///< of the majority read that is pending
    std::string read_id;
};

/// Starts membership and configuration.
/// @param settings the process's settings
/// @param role what the process is
/// @param serves services and models; agents only
/// @param incarnation higher than at the last start
/// @param now the present time
/// @return the state, not yet joined
fleet start_fleet(process_config const& settings, member_role role, std::vector<std::string> serves,
                  std::uint64_t incarnation, time_point now);

/// Advances timers; call it every 200 ms.
/// @param state the state
/// @param now the present time
/// @return what to send and what changed
fleet_news tick_fleet(fleet& state, time_point now);

/// Advances requests to control; call it every 20 ms.
/// @param state the state
/// @param now the present time
/// @return what to send and what was given up
fleet_news tick_control_calls(fleet& state, time_point now);

/// Takes a message, if it is one of membership, configuration or control.
/// @param state the state
/// @param message the message
/// @param now the present time
/// @return what to send and what changed; nothing if the message is of another kind
std::optional<fleet_news> receive_fleet(fleet& state, inbound_message const& message,
                                        time_point now);

/// Sends a request to the control leader; its reply comes with later news.
/// @param state the state
/// @param call the request
/// @param patience how long to try
/// @param now the present time
/// @return what to send
fleet_news ask_control(fleet& state, control_call call, duration patience, time_point now);

/// A request id that no other process uses.
/// @param state the state
/// @return the id
std::string next_call_id(fleet& state);

/// The settings files in force.
/// @param state the state
/// @param now the present time
/// @return files; empty while nothing may be served
std::map<std::string, std::string> files_in_force(fleet const& state, time_point now);

/// Adds what membership returned to the news.
/// @param state the state
/// @param actions from a membership function
/// @param news receives messages, changes and logs
/// @param now the present time
void take_membership(fleet& state, membership_actions&& actions, fleet_news& news, time_point now);

/// Adds what the configuration returned to the news.
/// @param state the state
/// @param actions from a configuration function
/// @param news receives messages and logs
/// @param now the present time
void take_configuration(fleet& state, config_actions&& actions, fleet_news& news, time_point now);

} // namespace fireflycrank
