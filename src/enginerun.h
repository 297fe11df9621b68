/// @file
/// HTTP calls of the agent to the engine or service on the same VM: runs, pause and resume, and
/// probes.
#pragma once

#include "http.h"

#include <functional>
#include <memory>
#include <string>

namespace fireflycrank {

/// A request that the engine is to run.
struct engine_request {
    std::string address; ///< "ip:port"
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    std::int32_t priority{0};
    std::string id; ///< identifies the run in set_run_paused(); sent as X-Request-Id
    duration timeout{std::chrono::seconds{30}}; ///< limit of each single wait for the engine
};

/// Outcome of a run.
enum class engine_run_end {
    complete,       ///< the whole response body arrived
    not_connected,  ///< connecting failed; the engine did not receive the request
    connection_lost ///< the connection failed later; the engine may have run the request in full or
                    ///< in part
};

/// Callbacks for the engine's response. They run on HTTP threads, one at a time, on_end last.
struct engine_run_callbacks {
    std::function<void(std::uint32_t status, std::string content_type)> on_start;
    std::function<void(std::string bytes)> on_bytes;
    std::function<void(engine_run_end end, std::string reason)> on_end;
};

/// Starts a run.
/// @param callbacks may be called before this function returns
/// @return a handle that cancels the run
std::shared_ptr<http_call> start_engine_run(engine_request const& request,
                                            engine_run_callbacks callbacks);

/// Pauses or resumes a run by POST /v1/control/pause or /v1/control/resume with its request id.
/// @param address "ip:port" of the engine
/// @param id engine_request::id of the run
/// @param pause true to pause, false to resume
/// @param on_result called once; `done` is true if the engine answered with status 200
void set_run_paused(std::string const& address, std::string const& id, bool pause,
                    std::function<void(bool done)> on_result);

/// Probes the engine by GET /health.
/// @param address "ip:port" of the engine
/// @param on_result called once; `up` is true if the engine answered with a status below 500
void probe_engine(std::string const& address, std::function<void(bool up)> on_result);

/// Estimates the number of tokens in a piece of output, to measure progress and speed.
/// @param streamed true for server-sent events; each event counts as one token
/// @return tokens; a plain body counts one token for every four bytes
double count_tokens(std::string_view bytes, bool streamed);

} // namespace fireflycrank
