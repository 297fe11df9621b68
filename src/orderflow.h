/// @file
/// The entry's state machine for one order: claim and bind, send, await, finish; and takeover.
#pragma once

#include "attempt.h"
#include "attemptmessage.h"
#include "claim.h"
#include "clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace fireflycrank {

/// A target's agent, as chosen by routing.
struct order_target {
    std::string target;
    std::uint64_t incarnation{0};
};

/// One call of an order.
struct order_request {
    std::string key;
    std::string body_digest;
    std::chrono::milliseconds window{0};
    std::string request_id; ///< unique for each call: entry, its incarnation, a counter
    std::string owner;      ///< this entry and its incarnation
    time_point deadline;    ///< the caller gets a final answer at this time at the latest
    wall_time start_by;     ///< deadline on the wall clock; no attempt starts later
    /// From recall_order. Without control, it keeps a resend from being told `not_run` about an
    /// order that this entry has sent.
    std::optional<claim_view> remembered;
};

/// Periods of the flow.
struct order_timing {
    duration resend{std::chrono::milliseconds{200}};      ///< control commands and agent messages
    duration void_margin{std::chrono::milliseconds{250}}; ///< before the deadline, an attempt that
                                                          ///< has not begun is voided
    duration claim_wait{std::chrono::seconds{5}};  ///< for the claim; a control election takes less
                                                   ///< than 3 s
    duration background{std::chrono::minutes{10}}; ///< time after the deadline to store the outcome
    std::uint32_t rebinds{8};                      ///< targets tried by one call
};

/// What the caller is told.
enum class order_answer : std::uint8_t {
    response,        ///< the engine's response
    already_run,     ///< ran; the response is no longer stored
    in_progress,     ///< an attempt may run now; ask again later
    not_run,         ///< no attempt of this call has started or ever will
    outcome_unknown, ///< an attempt may have run
    conflict         ///< the key belongs to a different body
};

/// A control replica's reply. `target_alive` and `owner_alive` are this entry's present knowledge
/// about the reply's claim: is the bound incarnation alive, is the owning entry alive.
struct control_replied {
    std::string command_id;
    claim_reply reply;
    bool target_alive{true};
    bool owner_alive{true};
};

/// The control majority could not be asked; the command may have been committed or not.
struct control_failed {
    std::string command_id;
    /// The claim as some replica has it applied, when one could be reached. It may lag, but what it
    /// shows was committed.
    std::optional<claim_view> applied;
};

/// Membership declared an incarnation of a target dead.
struct target_died {
    std::string target;
    std::uint64_t incarnation{0};
};

/// Routing's reply to request_target; nothing when no target is left.
struct target_chosen {
    std::optional<order_target> target;
};

/// The caller closed its connection.
struct caller_gone {};

/// Time has passed.
struct flow_tick {};

using order_event = std::variant<control_replied, control_failed, agent_status, agent_chunk,
                                 agent_end, target_died, target_chosen, caller_gone, flow_tick>;

/// Send to the control leader; `at` is filled in there.
struct send_control {
    claim_command command;
};

/// Messages to the agent of an attempt's target.
enum class agent_request : std::uint8_t { start, void_start, query, resend, release };

/// Send to the agent.
struct send_agent {
    agent_request what{agent_request::query};
    attempt_ref id;
    wall_time start_by;      ///< of a start or void
    std::uint64_t offset{0}; ///< of a resend
};

/// Ask routing for a target and report it as target_chosen.
struct request_target {
    std::string avoid; ///< the target that failed last
};

/// Answer the caller, once.
struct answer_caller {
    order_answer outcome{order_answer::not_run};
    stored_response response;
};

/// The flow has ended; drop it.
struct flow_over {};

using order_action =
    std::variant<send_control, send_agent, request_target, answer_caller, flow_over>;

/// What the flow waits for.
enum class order_phase : std::uint8_t {
    claiming,    ///< reply to acquire
    awaiting,    ///< start sent by this flow, or found at the agent by a takeover
    taking_over, ///< reply to takeover
    querying,    ///< the agent's knowledge of another entry's attempt
    voiding,     ///< the agent's word that the attempt never starts
    choosing,    ///< a target for the next attempt
    rebinding,   ///< reply to rebind
    closing,     ///< reply to void_claim, finish or mark_unknown
    over
};

/// The state of one call.
struct order_flow {
    order_request request;
    order_timing timing;
    order_phase phase{order_phase::claiming};
    bool answered{false};
    bool caller_present{true};
    bool sent{false};  ///< this flow sent a start for `attempt`
    bool begun{false}; ///< the agent said that `attempt` is running or has run
    bool owned{false}; ///< `attempt` was bound by this flow
    attempt_ref attempt;
    wall_time start_by;
    std::uint32_t commands{0};
    std::uint32_t rebinds{0};
    std::optional<claim_command> pending; ///< sent again under its id until a reply arrives
    time_point next_resend;
    time_point claim_by;                         ///< give up on the claim
    std::optional<claim_view> applied;           ///< from control_failed
    std::map<std::uint64_t, std::string> pieces; ///< output beyond a gap
    std::string output;
    std::optional<agent_end> end;
    order_answer close_answer{order_answer::outcome_unknown}; ///< told when `closing` is confirmed
};

/// The orders that this entry has sent or seen claimed, newest last. Lost with the entry.
struct order_memory {
    std::size_t limit{20'000}; ///< about 10 MB with names of usual length
    std::map<std::string, std::pair<std::uint64_t, claim_view>, std::less<>> views;
    std::map<std::uint64_t, std::string> ages;
    std::uint64_t next_age{0};
};

/// Remembers what a flow knows of its key. Call after each step.
/// @param memory the entry's memory
/// @param flow the flow
void remember_order(order_memory& memory, order_flow const& flow);

/// Looks a key up for order_request::remembered.
/// @param memory the entry's memory
/// @param key the key
/// @return the last known claim, without its response, or nothing
std::optional<claim_view> recall_order(order_memory const& memory, std::string_view key);

/// Starts the flow of one call with a target that routing has chosen.
/// @param request the call
/// @param timing the periods
/// @param first the first target
/// @param now the present time
/// @param actions receives the actions
/// @return the flow
order_flow begin_order(order_request request, order_timing const& timing, order_target const& first,
                       time_point now, std::vector<order_action>& actions);

/// When the next tick matters to a flow that was just ticked; after any other event, the next tick
/// always does. Wall-clock limits are looked at with each resend.
/// @param flow the flow
/// @param now the time of the last tick
/// @return the time; not after `now` if the flow is to be ticked every time
time_point next_order_tick(order_flow const& flow, time_point now);

/// Advances the flow by one event. Events of earlier attempts and earlier commands are ignored.
/// @param flow the flow
/// @param event what happened
/// @param now the present time
/// @param wall the present wall time
/// @return the actions, in order
std::vector<order_action> step_order(order_flow& flow, order_event const& event, time_point now,
                                     wall_time wall);

} // namespace fireflycrank
