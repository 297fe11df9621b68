/// @file
/// Index that finds the requests affected by an event or a tick without a scan of all requests.
#pragma once

#include "clock.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fireflycrank {

/// Keys under which a request is indexed.
struct request_keys {
    time_point due;             ///< earliest time at which a tick has to process the request
    std::string command;        ///< id of its pending claim command; empty for none
    std::string source_request; ///< request id under which an attempt that it took over was
                                ///< started; empty for none
    bool operator==(request_keys const&) const = default;
};

/// Requests by id and by key.
struct request_index {
    std::unordered_map<std::string, request_keys> keys;
    std::set<std::pair<time_point, std::string>> by_due;
    std::unordered_map<std::string, std::string> by_command;
    std::unordered_map<std::string, std::set<std::string>> by_source_request;
};

/// Inserts a request, updates its keys, or removes it.
/// @param id request id
/// @param keys the current keys; nothing removes the request
void update_index(request_index& index, std::string const& id, std::optional<request_keys> keys);

/// Ids of the requests that are due, earliest first.
std::vector<std::string> due_requests(request_index const& index, time_point now);

/// Id of the request that waits for a claim command; empty for none.
std::string request_for_command(request_index const& index, std::string const& command);

/// Ids of the requests that took over an attempt started under another request id.
std::vector<std::string> requests_for_source(request_index const& index,
                                             std::string const& source_request);

} // namespace fireflycrank
