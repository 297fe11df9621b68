/// @file
/// An agent's share in an expert group: asks control for its ranks, answers the engine before each
/// step, has maps loaded. Pure: requests, messages and time in; messages and engine calls out.
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

/// One rank of the agent's engine.
struct engine_rank {
    switch_participant participant;
    expert_token_counts counts;  ///< not yet reported
    time_point next_report_at{}; ///< when the next periodic report is due
    std::string open_query;      ///< id of the question that control has not answered
    std::optional<time_point> waiting_since;
    bool wait_logged{false};
};

/// A map whose content an agent has asked control for.
struct map_request {
    std::uint32_t rank{0};
    std::uint64_t map{0};
};

/// All ranks of the agent's engine; empty when the target belongs to no group.
struct engine_ranks {
    std::string group;
    std::string model;
    std::string process_name; ///< names the calls to control
    std::uint64_t incarnation{0};
    std::uint64_t next_call_number{1};
    std::set<std::uint32_t> configured_ranks;
    /// Ranks whose engine has named its step since the agent's start. A rank that does not know its
    /// next step could promise to stop at one that its engine has already begun.
    std::map<std::uint32_t, engine_rank> ranks;
    std::map<std::string, map_request> map_requests; ///< by call id
    /// Rank and map, from the call for the content until the engine holds the weights.
    std::set<std::pair<std::uint32_t, std::uint64_t>> loading;
};

/// Weights that the engine must load or drop.
struct engine_map_call {
    std::uint32_t rank{0};
    std::uint64_t map{0};
    std::optional<expert_map> content; ///< nothing: drop the map's weights
};

/// What a call brought about.
struct engine_rank_actions {
    std::vector<control_call> calls;   ///< to control; replies come through on_map_reply
    std::vector<group_report> reports; ///< to every control replica
    std::vector<engine_map_call> engine_calls;
    std::vector<fleet_log> logs;
};

/// The engine's question before a step.
struct step_request {
    std::uint32_t rank{0};
    std::uint64_t step{0};
    expert_token_counts counts; ///< since the last question that was answered with `run`
};

/// The answer to the engine.
struct step_answer {
    bool accepted{true}; ///< false: the engine does not hold this rank, or the step has already run
    bool run{false};
    std::uint64_t map{0};
    std::string reason; ///< name of the gate's reason
};

/// Makes the gates of a target.
/// @param settings the process's settings
/// @param incarnation higher than at the last start
/// @return the gates
engine_ranks make_engine_ranks(process_config const& settings, std::uint64_t incarnation);

/// Answers the engine. A question asked again, after a lost answer, gets the same map.
/// @param gates the state
/// @param request the question
/// @param now the time
/// @param actions receives what follows
/// @return the answer
step_answer on_step_request(engine_ranks& gates, step_request const& request, time_point now,
                            engine_rank_actions& actions);

/// Takes a view from control.
/// @param gates the state
/// @param view the view
/// @param now the time
/// @return what follows
engine_rank_actions on_map_view(engine_ranks& gates, map_view_message const& view, time_point now);

/// Takes control's reply to one of the gates' calls; others are ignored.
/// @param gates the state
/// @param id the call
/// @param reply nothing when no replica replied in time
/// @param now the time
/// @return what follows
engine_rank_actions on_control_reply(engine_ranks& gates, std::string const& id,
                                     std::optional<control_reply> const& reply, time_point now);

/// Takes the engine's answer to a load.
/// @param gates the state
/// @param rank the rank
/// @param map the map's id
/// @param loaded false when the engine refused or did not answer; the load is tried again
/// @return what follows
engine_rank_actions on_engine_loaded(engine_ranks& gates, std::uint32_t rank, std::uint64_t map,
                                     bool loaded);

/// Asks for waiting ranks, reports, logs long waits. Call it every 20 ms.
/// @param gates the state
/// @param now the time
/// @return what follows
engine_rank_actions tick_engine_ranks(engine_ranks& gates, time_point now);

/// How long a call of the gates to control is tried.
inline constexpr duration control_call_timeout = std::chrono::milliseconds{600};

} // namespace fireflycrank
