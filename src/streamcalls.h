/// @file
/// Pauses and resumes streams at the engine next to an agent.
#pragma once

#include "agentcore.h"
#include "runtime.h"
#include "streamcontrol.h"

#include <mutex>
#include <string>

namespace fireflycrank {

/// Returns the id by which the engine knows the run of an attempt.
std::string engine_run_id(attempt_ref const& id);

/// Posts the pause and resume calls that are due to the worker pool. Call it with the mutex held.
/// @param control the agent's streams; must outlive the calls
/// @param engine the engine's address, "ip:port"
/// @param mutex protects `control`; must outlive the calls
void start_due_stream_calls(stream_control& control, agent_core const& core,
                            std::string const& engine, std::mutex& mutex, runtime& pool);

} // namespace fireflycrank
