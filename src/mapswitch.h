/// @file
/// Protocol by which an expert group switches its expert map at the same step on all ranks: the
/// replicated record, the controller on the control leader and the participant at each rank.
///
/// Every message from control carries the complete recorded state of the group (a view), so a later
/// message makes up for any lost one. A rank decides from its newest view only.
#pragma once

#include "clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fireflycrank {

/// Marks an empty slot of an expert map.
inline constexpr std::uint16_t no_expert = 0xffff;

/// Which expert each slot holds, and the share of its expert's tokens that each slot receives.
struct layer_map {
    std::vector<std::uint16_t> slot_expert; ///< by slot: rank * slots per rank + slot on the rank
    std::vector<float> share;               ///< shares of the slots of one expert sum to 1

    bool operator==(layer_map const&) const = default;
};

/// An expert map of a group: one entry per layer.
struct expert_map {
    std::uint64_t id{0};
    std::vector<std::uint32_t> members; ///< ranks that take part in a step, ascending
    std::uint32_t slots_per_rank{0};
    std::vector<layer_map> layers;

    bool operator==(expert_map const&) const = default;
};

enum class switch_phase : std::uint8_t {
    none,      ///< no switch is under way
    preparing, ///< the members fetch the weights of the next map
    armed      ///< the members stop before `at_step` until the switch is decided
};

/// A switch that has begun and is neither committed nor aborted.
struct pending_switch {
    std::uint64_t id{0};
    switch_phase phase{switch_phase::none};
    expert_map map;
    std::vector<std::uint32_t>
        dead_ranks;           ///< failed ranks that the new map removes; they need not acknowledge
    std::uint64_t at_step{0}; ///< first step under the new map, when armed
    wall_time deadline{};     ///< the controller aborts the switch at this time

    bool operator==(pending_switch const&) const = default;
};

/// The replicated state of one group. A majority has stored it before any message carries it.
struct group_record {
    std::uint64_t revision{0}; ///< raised by every accepted command
    std::uint64_t fence{0};    ///< highest fencing token that changed the record
    expert_map current;        ///< in force from from_step on
    expert_map previous;       ///< in force before from_step
    std::uint64_t from_step{0};
    pending_switch pending;
    std::uint64_t last_switch{0}; ///< id of the newest switch; ids are never reused
    bool last_committed{false};
    std::string last_cause; ///< cause given by the last accepted command

    bool operator==(group_record const&) const = default;
};

/// The replicated table of map decisions.
struct map_table {
    std::map<std::string, group_record> groups;

    bool operator==(map_table const&) const = default;
};

enum class map_command_kind : std::uint8_t { create, begin, arm, decide };

/// A command to the replicated table.
struct map_command {
    map_command_kind kind{map_command_kind::create};
    std::string group;
    std::uint64_t fence{0};
    std::uint64_t revision{
        0};         ///< the revision that it is based on; refused if the record has another
    expert_map map; ///< for create and begin
    std::vector<std::uint32_t> dead_ranks; ///< for begin
    std::uint64_t at_step{0};              ///< for arm
    bool commit{false};                    ///< for decide; false: abort
    wall_time at{};                        ///< wall time on the leader
    wall_time deadline{};                  ///< for begin and arm
    std::string cause;

    bool operator==(map_command const&) const = default;
};

/// Result of a command.
struct map_command_reply {
    bool accepted{false};
    std::string reason; ///< why it was refused
    std::uint64_t revision{0};
};

/// Applies a command. A refused command changes nothing.
/// @return whether it was accepted, and the group's revision afterwards
map_command_reply apply(map_table& table, map_command const& command);

/// The part of a group's record that one rank needs.
struct group_view {
    std::uint64_t revision{0};
    std::uint64_t map{0};
    std::uint64_t previous_map{0};
    std::uint64_t from_step{0};
    std::uint64_t switch_id{0};
    switch_phase phase{switch_phase::none};
    std::uint64_t next_map{0};
    std::uint64_t at_step{0};
    bool member{false};          ///< the rank belongs to the current map
    bool previous_member{false}; ///< the rank belongs to the previous map
    bool next_member{false};     ///< the rank belongs to the next map

    bool operator==(group_view const&) const = default;
};

/// Sent by control to a rank's agent: the recorded state. Unsolicited if `query_id` is 0.
struct map_view_message {
    std::string group;
    std::uint32_t rank{0};
    std::uint64_t fence{0};
    group_view view;
    std::uint64_t incarnation{0}; ///< copied from the query
    std::uint64_t query_id{0};    ///< copied from the query
    bool may_fetch{
        false}; ///< the rank may fetch the next map's weights now; see max_parallel_fetches
};

/// Sent by a rank's agent to control: asks for the rank's view. Only a linearizable read may answer
/// it.
struct map_view_query {
    std::string group;
    std::uint32_t rank{0};
    std::uint64_t incarnation{0};
    std::uint64_t query_id{0};
};

/// Sent by a rank's agent to control: the rank's progress.
struct rank_report {
    std::string group;
    std::uint32_t rank{0};
    std::uint64_t incarnation{0};
    std::uint64_t revision{0};        ///< of the newest view received
    std::uint64_t prepared_switch{0}; ///< its map is loaded or not needed on this rank
    std::uint64_t armed_switch{0};    ///< the rank has promised to stop before `at_step`
    std::uint64_t refused_switch{0};  ///< not armed because `at_step` had already begun
    std::uint64_t next_step{0};

    bool operator==(rank_report const&) const = default;
};

/// Periods and limits of the switch.
struct switch_settings {
    // Arming and its acknowledgement take two message delays, recording and announcing the decision
    // two more. At 39 ms per step and 1 ms between zones one step covers them; 4 steps leave room
    // for one lost message at the resend period below.
    std::uint64_t arm_lead_steps{4};
    duration resend_period{std::chrono::milliseconds{40}}; ///< about one step
    std::chrono::milliseconds prepare_timeout{std::chrono::minutes{10}};
    // Time-out for all ranks to acknowledge arming. Ends the wait of the armed ranks if one does
    // not.
    std::chrono::milliseconds arm_timeout{1000};
    std::uint32_t max_parallel_fetches{16}; ///< ranks that may fetch weights at the same time
};

/// What the controller knows about a rank. Not stored; a new controller rebuilds it from reports.
struct rank_progress {
    bool reported{false};
    rank_report last_report;
    bool fetching{false};
    bool view_sent{false};
    std::uint64_t sent_revision{0};
    time_point sent_at{};
};

/// The controller of one group; runs on the control leader.
struct switch_controller {
    std::string group;
    std::uint64_t fence{0}; ///< the leader's term
    switch_settings settings;
    group_record record; ///< the newest committed record
    std::map<std::uint32_t, rank_progress> ranks;
    std::uint64_t proposed_revision{0}; ///< record revision that the last proposal is based on
    time_point proposed_at{};
};

struct controller_actions {
    std::vector<map_command> commands; ///< to be proposed to the replicated log
    std::vector<map_view_message> views;
};

/// Handles a committed record. Call after each applied command, and first of all on a new leader.
/// @param record the committed record; older ones are ignored
/// @param wall the wall time, for deadlines
/// @return proposals and messages
controller_actions on_record(switch_controller& controller, group_record const& record,
                             time_point now, wall_time wall);

/// Handles a rank's report. A report older than the last one is ignored.
/// @return proposals and messages
controller_actions on_report(switch_controller& controller, rank_report const& report,
                             time_point now, wall_time wall);

/// Resends unacknowledged views and enforces deadlines. Call every `settings.resend_period`.
/// @return proposals and messages
controller_actions tick(switch_controller& controller, time_point now, wall_time wall);

/// Aborts the pending switch, for example because a member failed.
/// @param cause for the record and the log line
/// @return the proposal; empty when no switch is pending
controller_actions abort_switch(switch_controller const& controller, std::string const& cause,
                                wall_time wall);

/// Makes the answer to a rank's query.
/// @param record the record from a linearizable read that began after the query arrived
/// @param fence the leader's term
map_view_message make_query_reply(group_record const& record, std::uint64_t fence,
                                  map_view_query const& query);

/// The part of a record that concerns one rank.
group_view make_group_view(group_record const& record, std::uint32_t rank);

/// The protocol's state at one rank; held in its agent's memory and not stored.
struct switch_participant {
    std::string group;
    std::uint32_t rank{0};
    std::uint64_t incarnation{0}; ///< differs between any two starts of the agent
    duration query_period{std::chrono::milliseconds{40}};
    std::uint64_t fence{0};    ///< highest fencing token seen
    bool synced{false};        ///< this incarnation has received an answer to its own query
    std::uint64_t query_id{1}; ///< id of the current query
    time_point queried_at{};
    bool query_sent{false};
    group_view view;
    std::uint64_t next_step{0};
    std::uint64_t last_map{0}; ///< map of the last step started, which may still run; 0 before it
    std::uint64_t armed_switch{0};
    std::uint64_t refused_switch{0};
    std::uint64_t fetching_map{0};
    std::vector<std::uint64_t> loaded_maps; ///< maps whose weights are in the engine's memory
    std::uint64_t stale_messages{0};        ///< messages dropped for an old fencing token
};

struct participant_actions {
    std::vector<rank_report> reports;
    std::vector<map_view_query> queries;
    std::vector<std::uint64_t> fetch;  ///< maps whose weights the engine must load
    std::vector<std::uint64_t> unload; ///< maps that no running or later step can use
};

enum class step_status : std::uint8_t {
    run,        ///< the step may run
    not_synced, ///< restarted or rejoined, and its query is not answered yet
    armed,      ///< waits for the decision on the armed switch
    not_member, ///< removed from the group
    not_loaded, ///< the map's weights are not loaded
    fault       ///< the record contradicts a step already run; needs an operator
};

/// Whether the next step may run, and under which map.
struct step_check {
    step_status status{step_status::not_synced};
    std::uint64_t map{0};
};

/// Checks whether the next step may run. The agent calls this before it lets the engine start a
/// step, so it also protects engines that do not check fencing tokens.
step_check check_next_step(switch_participant const& rank);

/// Records that the engine starts the next step under the map that check_next_step() returned. Call
/// it only once the engine's earlier steps have ended.
/// @return maps to unload
participant_actions on_step_started(switch_participant& rank);

/// Makes the report of the rank's progress.
rank_report make_rank_report(switch_participant const& rank);

/// Sets the next step of a rank that rejoins; ignored for a rank that has run a step.
void set_rejoin_step(switch_participant& rank, std::uint64_t step);

/// Makes the rank query control before its next step. For use after a lost connection or a long
/// stall.
/// @return the query
participant_actions resync(switch_participant& rank, time_point now);

/// Handles a view from control. Views with an old fencing token or an old revision are ignored.
/// @return reports, queries and maps to fetch and unload
participant_actions on_view(switch_participant& rank, map_view_message const& message,
                            time_point now);

/// Records that the engine has loaded a map's weights.
participant_actions on_loaded(switch_participant& rank, std::uint64_t map);

/// Queries control while the next step may not run. Call every `query_period`, and whenever
/// check_next_step() does not return `run`.
participant_actions tick(switch_participant& rank, time_point now);

/// Name of a status, for log lines and for the answer to the engine.
char const* name_of(step_status status);

} // namespace fireflycrank
