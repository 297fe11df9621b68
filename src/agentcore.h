/// @file
/// Decisions of the agent: joins the attempt table, the queue and the drain of one target. Events
/// in, actions out; the daemon performs the actions.
#pragma once

#include "attempt.h"
#include "attemptmessage.h"
#include "drain.h"
#include "enginerun.h"
#include "quarantine.h"
#include "workqueue.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace fireflycrank {

/// An accepted attempt until its run has ended.
struct agent_job {
    attempt_request request;
    std::string entry; ///< mailbox of the entry that is told about it
    bool running{false};
    bool cancelled{false};
    double tokens{0};
    std::uint32_t status{0};
    std::string content_type;
    time_point started;   ///< moved by pauses, for the measured speed
    time_point paused_at; ///< of the present pause
};

/// Runs that broke at about the same time.
struct crash_window {
    bool open{false};
    time_point opened;
    report_crash report; ///< everything that ran when the first run broke
    std::set<std::uint64_t> jobs;
    bool completed{false};    ///< a run completed since, so broken runs alone show no crash
    bool probe_failed{false}; ///< the engine did not answer a health probe since
};

/// State of an agent.
struct agent_core {
    attempt_table attempts;
    work_queue queue;
    drain_state drain;
    std::map<std::uint64_t, agent_job> jobs;                                ///< by queue id
    std::map<std::pair<std::string, std::uint32_t>, std::uint64_t> job_ids; ///< by attempt
    std::uint64_t next_job{1};
    bool engine_up{false};
    bool pauses_streams{false}; ///< the engine can pause and resume a stream
    std::uint64_t crashes{0};   ///< of the engine under this incarnation
    crash_window crash;
    double measured_speed{0}; ///< tokens per second of one stream, smoothed
};

/// Give a job to the engine.
struct start_engine {
    std::uint64_t job{0};
};

/// Stop a job's run.
struct cancel_engine {
    std::uint64_t job{0};
};

/// Pause or resume a job's stream at the engine.
struct steer_engine {
    std::uint64_t job{0};
    bool pause{false};
};

/// Send a message to an entry.
struct agent_reply {
    std::string entry;
    std::variant<attempt_refusal, agent_status, agent_chunk, agent_end> message;
};

/// Report to control that the engine died while requests ran.
struct engine_crashed {
    report_crash report;
};

using agent_action =
    std::variant<start_engine, cancel_engine, steer_engine, agent_reply, engine_crashed>;
using agent_actions = std::vector<agent_action>;

/// Takes a request to run an attempt. A known attempt is not run again; its state is reported.
/// @param core the agent
/// @param entry mailbox of the asking entry
/// @param request the request
/// @param now the present time
/// @param wall the present wall time
/// @return actions
agent_actions on_attempt_request(agent_core& core, std::string const& entry,
                                 attempt_request const& request, time_point now, wall_time wall);

/// Takes a question or command about an attempt.
/// @param core the agent
/// @param entry mailbox of the asking entry
/// @param query the question
/// @param now the present time
/// @param wall the present wall time
/// @return actions
agent_actions on_attempt_query(agent_core& core, std::string const& entry,
                               attempt_query const& query, time_point now, wall_time wall);

/// The engine has begun to answer.
/// @param core the agent
/// @param job the job
/// @param status HTTP status
/// @param content_type its content type
void on_engine_start(agent_core& core, std::uint64_t job, std::uint32_t status,
                     std::string content_type);

/// The engine has produced output.
/// @param core the agent
/// @param job the job
/// @param bytes the output
/// @return actions
agent_actions on_engine_bytes(agent_core& core, std::uint64_t job, std::string const& bytes);

/// The engine's run has ended.
/// @param core the agent
/// @param job the job
/// @param end how it ended
/// @param now the present time
/// @param wall the present wall time
/// @return actions
agent_actions on_engine_end(agent_core& core, std::uint64_t job, engine_run_end end, time_point now,
                            wall_time wall);

/// The result of a probe of the engine.
/// @param core the agent
/// @param up whether it answered
/// @return true if the state changed
bool on_engine_probe(agent_core& core, bool up);

/// Starts what fits, refuses what cannot meet its deadline, drops what has expired.
/// @param core the agent
/// @param now the present time
/// @param wall the present wall time
/// @return actions
agent_actions on_agent_tick(agent_core& core, time_point now, wall_time wall);

/// A planned stop: refuses what waits, so that its entries try elsewhere.
/// @param core the agent
/// @param wall the present wall time
/// @return actions
agent_actions hand_back_waiting(agent_core& core, wall_time wall);

/// What a planned stop waits for: attempts under way, and answers that no entry has released yet.
/// @param core the agent
/// @return the counts
drain_load drain_load_of(agent_core const& core);

/// A target order is about to run: refuses what waits and starts nothing until on_engine_probe()
/// tells that the engine is up again. What runs goes on.
/// @param core the agent
/// @param wall the present wall time
/// @return actions
agent_actions pause_engine(agent_core& core, wall_time wall);

/// The target's load for reports and replies.
/// @param core the agent
/// @return the load
target_load load_of(agent_core const& core);

} // namespace fireflycrank
