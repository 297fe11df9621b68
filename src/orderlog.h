/// @file
/// Target orders: the replicated table, the agent's idempotent applier and the leader's sender.
///
/// A target order is recorded by a majority before it is sent. Its id makes it idempotent, its
/// fencing token (the leader's term) keeps replaced leaders out, and the target's incarnation keeps
/// an agent that restarted from running it a second time.
#pragma once

#include "clock.h"
#include "fence.h"
#include "rng.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fireflycrank {

enum class target_order_kind : std::uint8_t {
    load_model,
    unload_model,
    load_adapter,
    unload_adapter,
    load_version,
    change_role,
    switch_map
};

enum class target_order_state : std::uint8_t {
    pending,
    done,
    failed,
    unknown,  ///< the target restarted before it replied; it may have run
    cancelled ///< not sent any more; it may have run
};

/// What a target is told to do.
struct target_order {
    std::string id{}; ///< unique for ever
    target_order_kind kind{target_order_kind::load_model};
    std::string target{};
    std::uint64_t target_incarnation{0};
    std::string subject{};  ///< model, adapter or map
    std::string argument{}; ///< version, role or step
    bool operator==(target_order const&) const = default;
};

/// A recorded target order.
struct order_record {
    target_order order{};
    std::uint64_t index{0}; ///< control log index of its creation
    wall_time created{};
    target_order_state state{target_order_state::pending};
    std::string result{};
    wall_time finished{};
    bool operator==(order_record const&) const = default;
};

/// The replicated table.
struct order_table {
    std::map<std::string, order_record> orders{}; ///< by id
    bool operator==(order_table const&) const = default;
};

/// Records a new target order.
struct order_create {
    target_order order{};
    wall_time at{};
};

/// Records how a target order ended. Only the first end counts.
struct order_finish {
    std::string id{};
    target_order_state state{target_order_state::done};
    std::string result{};
    wall_time at{};
};

/// Removes ended target orders that ended before a moment.
struct order_prune {
    wall_time before{};
};

using order_command = std::variant<order_create, order_finish, order_prune>;

enum class order_outcome : std::uint8_t {
    accepted,
    repeated,  ///< recorded before with the same content; the reply carries what is recorded
    conflict,  ///< recorded before with other content; nothing changed
    not_found, ///< no such target order
    malformed  ///< the command lacks an id, a target or an end state
};

struct order_reply {
    order_outcome outcome{order_outcome::accepted};
    target_order_state state{target_order_state::pending};
    std::string result{};
};

/// Applies a committed command. Deterministic.
/// @param table the replicated table
/// @param command the command
/// @param index the command's place in the control log
/// @return the reply, equal on every replica
order_reply apply(order_table& table, order_command const& command, std::uint64_t index);

/// Leader to agent.
struct target_order_message {
    target_order order{};
    std::uint64_t fence{0};
    std::uint64_t index{0};
};

enum class applied_outcome : std::uint8_t {
    done,
    failed,
    stale_fence,   ///< a newer leader exists; not run
    fence_unknown, ///< the agent has not read the fencing token yet; not run, send again
    restarted,     ///< meant for another incarnation of the agent; not run by this one
    wrong_target,  ///< meant for another target; not run
    id_conflict,   ///< the id was used with other content; not run
    forgotten      ///< older than what the agent remembers; not run now
};

/// Agent to leader.
struct target_order_reply {
    std::string id{};
    std::string target{};
    std::uint64_t target_incarnation{0};
    applied_outcome outcome{applied_outcome::done};
    std::string result{};
    std::uint64_t highest_fence{0};
};

/// A target order that this incarnation of the agent has started.
struct applied_order {
    target_order order{};
    std::uint64_t fence{0};
    std::uint64_t index{0};
    bool finished{false};
    bool succeeded{false};
    std::string result{};
    std::string reply_to{};
};

/// The agent's side. Not durable.
struct order_applier {
    std::string target{};
    std::uint64_t incarnation{0};
    fence_state fence{};
    std::map<std::string, applied_order> applied{}; ///< by id
    std::uint64_t forgotten_index{0};               ///< highest log index removed from `applied`
    std::size_t remembered{4096};
};

/// What the agent does with a message: run the order, reply, or nothing while it runs.
struct order_decision {
    bool run{false};
    std::optional<target_order_reply> reply{};
};

/// Starts the agent's side.
/// @param target the target's name
/// @param incarnation the agent's incarnation
/// @return a state that runs nothing until the fence was read
order_applier start_order_applier(std::string target, std::uint64_t incarnation);

/// Judges a target order.
/// @param applier the agent's state
/// @param from the sender's mailbox, for the reply
/// @param message the target order
/// @return run it, reply, or neither while it is running
order_decision receive_target_order(order_applier& applier, std::string const& from,
                                    target_order_message const& message);

/// Tells whether a started target order may still be handed to the engine. To be called right
/// before: a newer leader may have appeared while the order waited.
/// @param applier the agent's state
/// @param id the order's id
/// @return true when its fencing token still holds
bool may_pass(order_applier const& applier, std::string const& id);

/// Drops a started target order that may_pass() refused, so that the next leader's resend runs it.
/// @param applier the agent's state
/// @param id the order's id
void abandon_target_order(order_applier& applier, std::string const& id);

/// Records how a started target order ended. Only the first end counts.
/// @param applier the agent's state
/// @param id the order's id
/// @param succeeded whether the engine accepted it
/// @param result text for the planner
/// @return the reply and its address; nothing for an id that was never started
std::optional<std::pair<std::string, target_order_reply>>
finish_target_order(order_applier& applier, std::string const& id, bool succeeded,
                    std::string result);

struct order_sender_options {
    duration first_retry{std::chrono::milliseconds{400}};
    duration last_retry{std::chrono::seconds{10}};
    std::size_t sends_per_tick{64}; ///< a new leader does not resend everything in one burst
};

struct order_attempt {
    time_point next_send{};
    std::uint32_t sent{0};
};

/// The leader's side. Rebuilt from the table by every new leader.
struct order_sender {
    order_sender_options options{};
    rng random{};
    std::uint64_t fence{0};
    bool fenced{false}; ///< a reply named a higher token: this leader has been replaced
    std::map<std::string, order_attempt> attempts{}; ///< by order id
};

/// Makes the target orders that are due: for each target the oldest pending one, resent with
/// backoff until its end is recorded. One at a time per target keeps their order.
/// @param sender the leader's state
/// @param table the replicated table
/// @param fence the leader's term while it holds its lease, otherwise 0
/// @param now the current time
/// @return messages; `order.target` names the recipient
std::vector<target_order_message> order_sender_tick(order_sender& sender, order_table const& table,
                                                    std::uint64_t fence, time_point now);

/// Takes an agent's reply.
/// @param sender the leader's state
/// @param table the replicated table
/// @param reply the agent's reply
/// @param at wall time for the command
/// @return the command to propose, or nothing when the reply ends nothing
std::optional<order_command> order_sender_reply(order_sender& sender, order_table const& table,
                                                target_order_reply const& reply, wall_time at);

} // namespace fireflycrank
