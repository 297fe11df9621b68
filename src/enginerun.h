/// @file
/// The agent's calls to the engine or service beside it.
#pragma once

#include "http.h"

#include <functional>
#include <memory>
#include <string>

namespace fireflycrank {

/// What the engine is asked to run.
struct engine_request {
    std::string address; ///< "ip:port"
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    std::int32_t priority{0};
    std::string id; ///< names the run in steer_run(); sent as X-Request-Id
    duration timeout{std::chrono::seconds{30}}; ///< for each wait on the engine
};

/// How a run ended.
enum class engine_run_end {
    complete,       ///< the whole body arrived
    not_connected,  ///< no connection could be made; the engine never saw the request
    connection_lost ///< the connection failed; the engine may have run the request, wholly or in
                    ///< part
};

/// Receives the engine's answer; called on HTTP threads, one call at a time, on_end last.
struct engine_run_callbacks {
    std::function<void(std::uint32_t status, std::string content_type)> on_start;
    std::function<void(std::string bytes)> on_bytes;
    std::function<void(engine_run_end end, std::string reason)> on_end;
};

/// Starts a run.
/// @param request what to run
/// @param receiver receives the answer; may be called before this function returns
/// @return a handle that cancels the run
std::shared_ptr<http_call> start_engine_run(engine_request const& request,
                                            engine_run_callbacks receiver);

/// Pauses or resumes a run: POST /v1/control/pause or /v1/control/resume with its request id.
/// @param address "ip:port"
/// @param id the run's id
/// @param pause true to pause
/// @param on_result called once; false if the engine did not do it
void set_run_paused(std::string const& address, std::string const& id, bool pause,
                    std::function<void(bool done)> on_result);

/// Asks whether the engine answers.
/// @param address "ip:port"
/// @param on_result called once with the answer
void probe_engine(std::string const& address, std::function<void(bool up)> on_result);

/// Counts tokens in a piece of output, for progress and speed.
/// @param bytes a piece of the output
/// @param streamed true for server-sent events, of which each is one token
/// @return tokens; a plain body counts one for every four bytes
double count_tokens(std::string_view bytes, bool streamed);

} // namespace fireflycrank
