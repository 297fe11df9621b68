/// @file
/// The control leader's planner step: configuration, members and the replicated table in; commands
/// to propose and target orders to send out. Pure; the daemon calls it under its mutex.
#pragma once

#include "config.h"
#include "fleet.h"
#include "orderlog.h"
#include "rollout.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fireflycrank {

/// What a target served last.
struct seen_serves {
    std::string model;
    std::string version;
    time_point at{};
};

/// What the planner remembers between two steps. What was decided is in the table alone, so that a
/// new leader goes on from there.
struct placement_loop {
    time_point started{};      ///< of this process
    std::uint64_t revision{0}; ///< of `intent`
    config intent;
    std::uint64_t fence{0};
    std::map<std::string, std::uint64_t> sent; ///< orders to the step of their last sending
    std::uint64_t steps{0};
    std::map<std::string, seen_serves> seen; ///< by target
    std::map<std::string, rollout_phase> phases;
    std::set<std::string> ending; ///< orders whose end is being proposed
    std::size_t proposals{0};     ///< commands of the planner whose reply is awaited
    time_point next_step{};
};

/// A target order for an agent.
struct placement_outgoing {
    std::string address;
    target_order_message message;
};

/// What the leader does next.
struct placement_step {
    std::vector<placement_command> commands;
    std::vector<placement_outgoing> send;
    std::vector<fleet_log> logs;
};

/// Times at the leader.
struct placement_moment {
    std::uint64_t fence{0}; ///< the leader's term, while its lease holds
    time_point now{};
    wall_time wall{};
};

/// Takes the configuration in force.
/// @param loop the planner's state
/// @param revision its number; an equal one is not parsed again
/// @param files its files; a set that cannot be parsed leaves the last intent
void take_intent(placement_loop& loop, std::uint64_t revision,
                 std::map<std::string, std::string> const& files);

/// Lists the targets that placement decides for: members that serve one configured model and
/// nothing else. Targets of open orders are always listed.
/// @param loop the planner's state
/// @param table the committed table
/// @param members the members known to this replica
/// @param now the present time
/// @return targets sorted by name
std::vector<placement_target> placement_targets(placement_loop const& loop,
                                                placement_table const& table,
                                                membership_state const& members, time_point now);

/// Notes what targets serve; called on every replica, so that a new leader knows what a target held
/// that is silent for a moment.
/// @param loop the planner's state
/// @param table the committed table
/// @param members the members known to this replica
/// @param now the present time
void observe_targets(placement_loop& loop, placement_table const& table,
                     membership_state const& members, time_point now);

/// Plans the next step, once a second and only while no command of the last step is on its way.
/// @param loop the planner's state
/// @param table the committed table
/// @param members the members known to this replica
/// @param moment fencing token and times
/// @return commands, target orders and log lines
placement_step step_placement(placement_loop& loop, placement_table const& table,
                              membership_state const& members, placement_moment const& moment);

/// Takes an agent's reply to a target order.
/// @param table the committed table
/// @param reply the reply
/// @param moment fencing token and times
/// @return the command that records the order's end; nothing when the reply ends nothing
std::optional<placement_command> end_of_order(placement_table const& table,
                                              target_order_reply const& reply,
                                              placement_moment const& moment);

/// The log line of a command that was accepted, if it has one.
/// @param table the committed table
/// @param command the command
/// @param reply the table's reply
/// @return the log line
std::optional<fleet_log> log_of(placement_table const& table, placement_command const& command,
                                placement_reply const& reply);

} // namespace fireflycrank
