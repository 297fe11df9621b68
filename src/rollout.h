/// @file
/// Rollout of versions and the replicated table of placement: target orders and rollouts.
#pragma once

#include "clock.h"
#include "placement.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fireflycrank {

enum class order_state : std::uint8_t { open, done, failed };

/// A recorded target order. It is recorded by a majority before it is first sent.
struct recorded_order {
    std::string id; ///< the agent runs an id once and repeats its first result
    placement_change change;
    std::string rollout; ///< empty when it belongs to no rollout
    order_state state{order_state::open};
    wall_time recorded{};
    std::uint64_t fence{0}; ///< of the leader that recorded it
    std::string message;    ///< the target's result

    bool operator==(recorded_order const&) const = default;
};

enum class rollout_phase : std::uint8_t { forward, rolling_back, done, rolled_back, stopped };

/// A recorded rollout of one version.
struct rollout_record {
    std::string id;
    std::string model;
    std::string from_version;
    std::string to_version;
    std::uint64_t bytes{0};
    std::uint32_t batch{1};                 ///< targets changed at one time
    std::uint32_t max_failures{0};          ///< more failed targets roll the version back
    std::uint32_t min_ready{1};             ///< targets of the model that stay ready
    std::chrono::milliseconds soak{60'000}; ///< a batch serves this long before the next one
    rollout_phase phase{rollout_phase::forward};
    std::uint32_t failures{0};
    wall_time batch_done{}; ///< when the last order of the newest batch ended
    std::string cause;

    bool operator==(rollout_record const&) const = default;
};

/// The replicated table.
struct placement_table {
    std::map<std::string, recorded_order> orders;
    std::map<std::string, rollout_record> rollouts;
    std::uint64_t next_order{1}; ///< order ids are never used again
    std::uint64_t fence{0};      ///< highest fencing token that changed the table

    bool operator==(placement_table const&) const = default;
};

enum class placement_command_kind : std::uint8_t {
    begin_rollout,
    record_order,
    record_result,
    roll_back, ///< by an operator, or because a soak found errors
    stop_rollout
};

struct placement_command {
    placement_command_kind kind{placement_command_kind::record_order};
    std::uint64_t fence{0};
    wall_time at{};
    std::string request;     ///< record_order: the planner's id; a repeated one gets the same order
    rollout_record rollout;  ///< begin_rollout; others name it by its id
    placement_change change; ///< record_order
    std::string order;       ///< record_result
    bool succeeded{false};   ///< record_result
    std::string message;

    bool operator==(placement_command const&) const = default;
};

struct placement_reply {
    bool accepted{false};
    std::string reason;
    std::string order; ///< id of the recorded order
};

/// Applies a command. A refused command changes nothing.
/// @param table the replicated table
/// @param command the command
/// @return whether it was accepted, and the order's id
placement_reply apply(placement_table& table, placement_command const& command);

/// Drops ended orders that no rollout under way needs.
/// @param keep_after orders recorded later stay, so that a late result finds its order
void prune(placement_table& table, wall_time keep_after);

/// What the leader does next.
struct rollout_actions {
    std::vector<placement_command> commands; ///< to be proposed
    std::vector<recorded_order> send;        ///< recorded, open: to be sent under the present term
};

/// Plans the next step of all rollouts from recorded state alone, so that a new leader goes on
/// where the old one stopped. Sends every open order again; agents run an order id once.
/// @param table the committed table
/// @param targets all members, dead ones included; the orders of others count as failed
/// @param fence the leader's term
/// @param now the leader's wall time
/// @return commands and open orders
rollout_actions plan_rollouts(placement_table const& table,
                              std::vector<placement_target> const& targets, std::uint64_t fence,
                              wall_time now);

/// Turns a placement plan into commands.
/// @param table the committed table; targets with an open order get no second one
/// @param plan the planned step
/// @return commands that record one order each
std::vector<placement_command> order_commands(placement_table const& table,
                                              placement_plan const& plan, std::uint64_t fence,
                                              wall_time now);

/// Marks targets that are busy with an open order or held by a rollout under way.
void mark_targets(placement_table const& table, std::vector<placement_target>& targets);

/// Bytes that open orders may still fetch from the weight store.
std::uint64_t open_bytes(placement_table const& table);

/// Formats a rollout for a log line.
std::string describe(rollout_record const& rollout);

char const* name_of(rollout_phase phase);

} // namespace fireflycrank
