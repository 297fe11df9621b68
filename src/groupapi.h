/// @file
/// JSON between an agent and the engine of an expert group.
#pragma once

#include "engineranks.h"
#include "error.h"

#include <string>

namespace fireflycrank {

/// Parses the body of POST /v1/group/step:
/// {"rank": 0, "step": 17, "counts": [[tokens by expert] by layer]}; counts may be absent.
/// @param body the body
/// @return the request; invalid_request naming the fault
result<step_request> parse_step_request(std::string const& body);

/// The answer to POST /v1/group/step.
/// @param answer the answer
/// @return {"run": true, "map": 3}, or {"run": false, "reason": "armed"}: ask again soon
std::string step_answer_json(step_answer const& answer);

/// The body of POST /v1/group/map at the engine, which answers 200 once it holds the weights, or
/// has dropped them.
/// @param group the group
/// @param call what to load or drop
/// @return {"group", "rank", "map", "load"}; with "load" also the map itself
std::string engine_map_json(std::string const& group, engine_map_call const& call);

} // namespace fireflycrank
