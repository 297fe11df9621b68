/// @file
/// Finds the requests that an event or a tick concerns without a walk over all of them.
#pragma once

#include "clock.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fireflycrank {

/// Under what one request is found.
struct request_keys {
    time_point due;      ///< the next tick that matters to it
    std::string command; ///< pending claim command; empty for none
    std::string
        source_request; ///< request id of an attempt taken over from another call; empty for none
    bool operator==(request_keys const&) const = default;
};

/// The index, by request id.
struct request_index {
    std::unordered_map<std::string, request_keys> keys;
    std::set<std::pair<time_point, std::string>> by_due;
    std::unordered_map<std::string, std::string> by_command;
    std::unordered_map<std::string, std::set<std::string>> by_source_request;
};

/// Files a request under its present keys, or removes it.
/// @param index the index
/// @param id the request
/// @param keys its keys; nothing once the request is over
void update_index(request_index& index, std::string const& id, std::optional<request_keys> keys);

/// The requests that are due, earliest first.
std::vector<std::string> due_requests(request_index const& index, time_point now);

/// The request that waits for a claim command; empty for none.
std::string request_for_command(request_index const& index, std::string const& command);

/// The requests that took over an attempt of another call.
std::vector<std::string> requests_for_source(request_index const& index,
                                             std::string const& source_request);

} // namespace fireflycrank
