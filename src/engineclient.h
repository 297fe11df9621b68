/// @file
/// Short HTTP calls to an engine that return the whole response, or nothing after a failure or
/// timeout.
#pragma once

#include "eventloop.h"
#include "targetpool.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fireflycrank {

/// An HTTP response of an engine.
struct engine_response {
    unsigned status{0};
    std::string body;
};

/// Sends a request to an engine and collects the response.
/// @param address "ip:port" of the engine
/// @param bytes the whole encoded request
/// @param timeout after this time the exchange is cancelled
/// @param on_result called once with the response, or with nothing after a failure; the engine may
/// then have acted on the request
void call_engine(event_loop& loop, target_pool& pool, std::string const& address, std::string bytes,
                 std::chrono::milliseconds timeout,
                 std::function<void(std::optional<engine_response>)> on_result);

} // namespace fireflycrank
