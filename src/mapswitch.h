/// @file
/// Switch of a group's expert map: the replicated record, the controller and the rank.
///
/// Every message from control carries the whole recorded state of the group (a view), so a later
/// message replaces any lost one. A rank decides from the newest view alone.
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
    std::vector<std::uint16_t> slot_expert; ///< slot = rank * slots per rank + place on the rank
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
    armed      ///< the members stop at the named step until the decision is known
};

/// A switch that is recorded but not decided.
struct pending_switch {
    std::uint64_t id{0};
    switch_phase phase{switch_phase::none};
    expert_map map;
    std::vector<std::uint32_t> dead_ranks; ///< removed ranks that cannot acknowledge
    std::uint64_t at_step{0};              ///< first step under the new map, when armed
    wall_time deadline{};                  ///< the controller aborts the phase from here on

    bool operator==(pending_switch const&) const = default;
};

/// The recorded state of one group. A majority holds it before any message speaks of it.
struct group_record {
    std::uint64_t revision{0}; ///< raised by every accepted command
    std::uint64_t fence{0};    ///< highest fencing token that changed the record
    expert_map current;        ///< in force from from_step on
    expert_map previous;       ///< in force before from_step
    std::uint64_t from_step{0};
    pending_switch pending;
    std::uint64_t last_switch{0}; ///< id of the newest switch; ids are never reused
    bool last_committed{false};
    std::string last_cause; ///< why the last switch was begun or ended

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
    std::uint64_t revision{0}; ///< the revision it builds on; any other one is a conflict
    expert_map map;            ///< create, begin
    std::vector<std::uint32_t> dead_ranks; ///< begin
    std::uint64_t at_step{0};              ///< arm
    bool commit{false};                    ///< decide
    wall_time at{};                        ///< the leader's time
    wall_time deadline{};                  ///< begin, arm
    std::string cause;

    bool operator==(map_command const&) const = default;
};

struct map_command_reply {
    bool accepted{false};
    std::string reason; ///< why it was refused
    std::uint64_t revision{0};
};

/// Applies a command. A refused command changes nothing.
/// @param table the replicated table
/// @param command the command
/// @return whether it was accepted, and the group's revision afterwards
map_command_reply apply(map_table& table, map_command const& command);

/// What a rank knows of its group's record.
struct group_view {
    std::uint64_t revision{0};
    std::uint64_t map{0};
    std::uint64_t previous_map{0};
    std::uint64_t from_step{0};
    std::uint64_t switch_id{0};
    switch_phase phase{switch_phase::none};
    std::uint64_t next_map{0};
    std::uint64_t at_step{0};
    bool member{false};          ///< of the map in force
    bool previous_member{false}; ///< of the map before it
    bool next_member{false};     ///< of the next map

    bool operator==(group_view const&) const = default;
};

/// Control to a rank's agent: the recorded state. Unsolicited when `ask` is 0.
struct map_view_message {
    std::string group;
    std::uint32_t rank{0};
    std::uint64_t fence{0};
    group_view view;
    std::uint64_t incarnation{0}; ///< echoed from the question
    std::uint64_t query_id{0};    ///< echoed from the question
    bool may_fetch{false};        ///< the weight store has room for this rank's fetch now
};

/// A rank's agent to control: a question that only a linearizable read may answer.
struct map_view_query {
    std::string group;
    std::uint32_t rank{0};
    std::uint64_t incarnation{0};
    std::uint64_t query_id{0};
};

/// A rank's agent to control: how far the rank is.
struct rank_report {
    std::string group;
    std::uint32_t rank{0};
    std::uint64_t incarnation{0};
    std::uint64_t revision{0}; ///< newest view adopted
    std::uint64_t prepared_switch{0};
    std::uint64_t armed_switch{0};
    std::uint64_t refused_switch{0}; ///< the named step had already begun
    std::uint64_t next_step{0};

    bool operator==(rank_report const&) const = default;
};

/// Periods and limits of the switch.
struct switch_settings {
    // Two message delays bring the arm and its acknowledgement, two more the record and the
    // decision. At 39 ms a step and 1 ms between zones one step covers them; 4 leave room for one
    // lost message with the resend period below.
    std::uint64_t arm_lead_steps{4};
    duration resend_period{std::chrono::milliseconds{40}}; ///< about one step
    std::chrono::milliseconds prepare_timeout{std::chrono::minutes{10}};
    // Ends the wait of armed ranks when one of them does not acknowledge.
    std::chrono::milliseconds arm_timeout{1000};
    std::uint32_t max_parallel_fetches{16}; ///< ranks that may fetch weights at one time
};

/// What the controller knows of a rank; lost with the controller and learnt again from reports.
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
    std::uint64_t proposed_revision{0}; ///< record revision that the last proposal builds on
    time_point proposed_at{};
};

struct controller_actions {
    std::vector<map_command> commands; ///< to be proposed to the replicated log
    std::vector<map_view_message> views;
};

/// Takes over a new committed record: after each apply, and first of all on a new leader.
/// @param controller the controller
/// @param record the committed record; older ones are ignored
/// @param now the time
/// @param wall the wall time, for deadlines
/// @return proposals and messages
controller_actions on_record(switch_controller& controller, group_record const& record,
                             time_point now, wall_time wall);

/// Takes a rank's report.
/// @return proposals and messages
controller_actions on_report(switch_controller& controller, rank_report const& report,
                             time_point now, wall_time wall);

/// Resends what is not acknowledged and enforces deadlines. Call every `settings.resend`.
/// @return proposals and messages
controller_actions tick(switch_controller& controller, time_point now, wall_time wall);

/// Aborts the pending switch, for example because a member died.
/// @param cause for the record and the log line
/// @return the proposal; empty when no switch is pending
controller_actions abort_switch(switch_controller const& controller, std::string const& cause,
                                wall_time wall);

/// Answers a question.
/// @param record the record from a linearizable read that began after the question arrived
/// @param fence the leader's term
/// @param ask the question
/// @return the message to the rank's agent
map_view_message make_query_reply(group_record const& record, std::uint64_t fence,
                                  map_view_query const& ask);

/// The part of a record that concerns one rank.
group_view make_group_view(group_record const& record, std::uint32_t rank);

/// One rank's side; held by its agent, in memory only.
struct switch_participant {
    std::string group;
    std::uint32_t rank{0};
    std::uint64_t incarnation{0}; ///< differs between any two starts of the agent
    duration query_period{std::chrono::milliseconds{40}};
    std::uint64_t fence{0};    ///< highest fencing token seen
    bool synced{false};        ///< an answer to this incarnation's own question has arrived
    std::uint64_t query_id{1}; ///< id of the open question
    time_point queried_at{};
    bool query_sent{false};
    group_view view;
    std::uint64_t next_step{0};
    std::uint64_t last_map{0}; ///< map of the last step run; 0 before the first
    std::uint64_t armed_switch{0};
    std::uint64_t refused_switch{0};
    std::uint64_t fetching_map{0};
    std::vector<std::uint64_t> loaded_maps; ///< maps whose weights are in the engine's memory
    std::uint64_t stale_messages{0};        ///< dropped for an old fencing token
};

struct participant_actions {
    std::vector<rank_report> reports;
    std::vector<map_view_query> queries;
    std::vector<std::uint64_t> fetch;  ///< maps whose weights the engine must load
    std::vector<std::uint64_t> unload; ///< maps that no step can use any more
};

enum class step_status : std::uint8_t {
    run,
    not_synced, ///< restarted or rejoined and not yet answered
    armed,      ///< waits for the decision
    not_member, ///< removed from the group
    not_loaded, ///< the weights of the map are missing
    fault       ///< the record contradicts a step already run; needs an operator
};

/// Whether the next step may run, and under which map.
struct step_check {
    step_status status{step_status::not_synced};
    std::uint64_t map{0};
};

/// Checks the next step. The agent calls it before it lets the engine start a step, so that engines
/// which ignore fencing tokens are covered as well.
step_check check_next_step(switch_participant const& rank);

/// Notes that the engine starts the next step under the map that gate() gave.
void on_step_started(switch_participant& rank);

/// What the rank tells control about itself.
rank_report make_rank_report(switch_participant const& rank);

/// Sets the next step of a rank that rejoins; ignored for a rank that has run a step.
void set_rejoin_step(switch_participant& rank, std::uint64_t step);

/// Makes the rank ask before its next step: after a lost connection or a long stall.
/// @return the question
participant_actions resync(switch_participant& rank, time_point now);

/// Takes a message from control. Old fencing tokens and old revisions are ignored.
/// @return reports, questions and weights to fetch
participant_actions on_view(switch_participant& rank, map_view_message const& message,
                            time_point now);

/// Notes that the engine holds a map's weights.
/// @return a report
participant_actions on_loaded(switch_participant& rank, std::uint64_t map);

/// Asks while the rank waits. Call every `ask_period` and whenever the gate is closed.
/// @return questions
participant_actions tick(switch_participant& rank, time_point now);

/// The name of a reason, for log lines.
char const* name_of(step_status reason);

} // namespace fireflycrank
