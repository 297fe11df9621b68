/// @file
/// JSON messages between an agent and the engine of an expert group.
#pragma once

#include "engineranks.h"
#include "error.h"

#include <string>

namespace fireflycrank {

/// Parses the body of POST /v1/group/step:
/// {"rank": 0, "step": 17, "counts": [[tokens by expert] by layer]}; counts may be absent.
/// @return the request; invalid_request with the reason
result<step_request> parse_step_request(std::string const& body);

/// Makes the body of the answer to POST /v1/group/step.
/// @return {"run": true, "map": 3}, or {"run": false, "reason": "armed"}; after "run": false the
/// engine asks again shortly
std::string step_answer_json(step_answer const& answer);

/// Makes the body of POST /v1/group/map, which tells the engine to load or unload a map's weights.
/// The engine answers 200 once it has done so.
/// @param call what to load or unload
/// @return a JSON object with "group", "rank", "map" and "load"; if "load" is true, also with the
/// map's content
std::string engine_map_json(std::string const& group, engine_map_call const& call);

} // namespace fireflycrank
