/// @file
/// An agent's side of an expert group: queries control for the ranks of its engine, tells the
/// engine before each step whether the step may run, and has maps loaded. Does no I/O: takes
/// requests, messages and times; returns messages and engine calls.
#pragma once

#include "config.h"
#include "fleet.h"
#include "groupmessage.h"
#include "mapswitch.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fireflycrank {

/// One rank that the agent's engine runs.
struct engine_rank {
    switch_participant participant;
    expert_token_counts counts;  ///< counts not yet reported
    time_point next_report_at{}; ///< when the next periodic report is due
    std::string open_query;      ///< call id of the unanswered query, or empty
    std::optional<time_point> waiting_since;
    bool wait_logged{false};
};

/// A request to control for the content of a map.
struct map_request {
    std::uint32_t rank{0};
    std::uint64_t map{0};
};

/// All ranks of the agent's engine; empty if the target belongs to no group.
struct engine_ranks {
    std::string group;
    std::string model;
    std::string process_name; ///< part of the ids of calls to control
    std::uint64_t incarnation{0};
    std::uint64_t next_call_number{1};
    std::set<std::uint32_t> configured_ranks;
    /// Ranks for which the engine has sent its next step since the agent's start. A rank that does
    /// not know its next step could promise to stop before one that the engine has already begun.
    std::map<std::uint32_t, engine_rank> ranks;
    std::map<std::string, map_request> map_requests; ///< by call id
    /// Rank and map, from the request for the content until the engine has loaded the weights.
    std::set<std::pair<std::uint32_t, std::uint64_t>> loading;
};

/// Weights that the engine must load or unload.
struct engine_map_call {
    std::uint32_t rank{0};
    std::uint64_t map{0};
    std::optional<expert_map> content; ///< empty: unload the map's weights
};

/// Results of a call.
struct engine_rank_actions {
    std::vector<control_call> calls;   ///< to control; replies come through on_control_reply
    std::vector<group_report> reports; ///< to every control replica
    std::vector<engine_map_call> engine_calls;
    std::vector<fleet_log> logs;
};

/// The engine's request to run a step, made once the rank's earlier steps have ended.
struct step_request {
    std::uint32_t rank{0};
    std::uint64_t step{0};
    expert_token_counts counts; ///< since the last request that was answered with `run`
};

/// The answer to the engine.
struct step_answer {
    bool accepted{true}; ///< false: not a rank of this engine, or the step has already run
    bool run{false};
    std::uint64_t map{0};
    std::string reason; ///< name of the step_status, or why the request was not accepted
};

/// Makes the state for a target's engine, without ranks until the engine asks.
/// @param incarnation higher than at the last start
engine_ranks make_engine_ranks(process_config const& settings, std::uint64_t incarnation);

/// Answers the engine. A request repeated after a lost answer gets the same map.
/// @param actions receives the resulting actions
step_answer on_step_request(engine_ranks& engine, step_request const& request, time_point now,
                            engine_rank_actions& actions);

/// Handles a view from control.
engine_rank_actions on_map_view(engine_ranks& engine, map_view_message const& view, time_point now);

/// Handles control's reply to a call from engine_rank_actions; replies to other calls are ignored.
/// @param id id of the call
/// @param reply empty if no replica replied in time
engine_rank_actions on_control_reply(engine_ranks& engine, std::string const& id,
                                     std::optional<control_reply> const& reply, time_point now);

/// Handles the engine's answer to loading a map.
/// @param loaded false if the engine refused or did not answer; the load is tried again
engine_rank_actions on_engine_loaded(engine_ranks& engine, std::uint32_t rank, std::uint64_t map,
                                     bool loaded);

/// Queries control for waiting ranks, sends periodic reports and logs long waits. Call every 20 ms.
engine_rank_actions tick_engine_ranks(engine_ranks& engine, time_point now);

/// How long a call to control is tried.
inline constexpr duration control_call_timeout = std::chrono::milliseconds{600};

} // namespace fireflycrank
