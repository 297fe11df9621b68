/// @file
/// Short calls to an engine: the whole answer or nothing, within a time limit.
#pragma once

#include "eventloop.h"
#include "targetpool.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fireflycrank {

/// An engine's answer.
struct engine_response {
    unsigned status{0};
    std::string body;
};

/// Makes a call.
/// @param loop the event loop
/// @param pool connections
/// @param address the engine
/// @param bytes the whole request
/// @param limit time until the call is given up
/// @param done called once with the answer, or with nothing: whether the engine acted is then open
void call_engine(event_loop& loop, target_pool& pool, std::string const& address, std::string bytes,
                 std::chrono::milliseconds limit,
                 std::function<void(std::optional<engine_response>)> done);

} // namespace fireflycrank
