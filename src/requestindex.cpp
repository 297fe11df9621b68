#include "requestindex.h"

namespace fireflycrank {

namespace {

void remove_keys(request_index& index, std::string const& id, request_keys const& keys) {
    index.by_due.erase({keys.due, id});
    if (!keys.command.empty()) {
        index.by_command.erase(keys.command);
    }
    auto const source_request = index.by_source_request.find(keys.source_request);
    if (source_request != index.by_source_request.end()) {
        source_request->second.erase(id);
        if (source_request->second.empty()) {
            index.by_source_request.erase(source_request);
        }
    }
}

} // namespace

void update_index(request_index& index, std::string const& id, std::optional<request_keys> keys) {
    auto const known = index.keys.find(id);
    if (known != index.keys.end()) {
        if (keys == known->second) {
            return;
        }
        remove_keys(index, id, known->second);
    }
    if (!keys) {
        if (known != index.keys.end()) {
            index.keys.erase(known);
        }
        return;
    }
    index.by_due.emplace(keys->due, id);
    if (!keys->command.empty()) {
        index.by_command[keys->command] = id;
    }
    if (!keys->source_request.empty()) {
        index.by_source_request[keys->source_request].insert(id);
    }
    index.keys[id] = std::move(*keys);
}

std::vector<std::string> due_requests(request_index const& index, time_point now) {
    std::vector<std::string> ids;
    for (auto const& [due, id] : index.by_due) {
        if (due > now) {
            break;
        }
        ids.push_back(id);
    }
    return ids;
}

std::string request_for_command(request_index const& index, std::string const& command) {
    auto const found = index.by_command.find(command);
    return found == index.by_command.end() ? "" : found->second;
}

std::vector<std::string> requests_for_source(request_index const& index,
                                             std::string const& source_request) {
    auto const found = index.by_source_request.find(source_request);
    return found == index.by_source_request.end()
               ? std::vector<std::string>{}
               : std::vector<std::string>{found->second.begin(), found->second.end()};
}

} // namespace fireflycrank
