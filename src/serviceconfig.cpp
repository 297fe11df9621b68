#include "serviceconfig.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace fireflycrank {

namespace {

auto invalid(std::string message, std::string remedy) {
    return fail(error_kind::invalid_settings, std::move(message), std::move(remedy));
}

std::string host_key(std::string_view host) {
    std::string key{host.substr(0, host.find(':'))};
    std::transform(key.begin(), key.end(), key.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return key;
}

result<void> check_route(service_config const& config, call_route const& route) {
    if (route.path_prefix.empty() || route.path_prefix.front() != '/' ||
        route.path_prefix.back() != '/') {
        return invalid("route " + route.name + " has prefix '" + route.path_prefix + "'",
                       "begin and end it with a slash");
    }
    if (route.timeout <= std::chrono::milliseconds{0}) {
        return invalid("route " + route.name + " has no timeout", "give it a positive one");
    }
    double total = 0;
    for (auto const& share : route.services) {
        if (!config.service_by_name.contains(share.service)) {
            return invalid("route " + route.name + " names unknown service " + share.service,
                           "declare the service");
        }
        if (!(share.weight >= 0)) {
            return invalid("route " + route.name + " has a negative weight", "use 0 or more");
        }
        total += share.weight;
    }
    if (!(total > 0)) {
        return invalid("the weights of route " + route.name + " add up to 0",
                       "give one service a positive weight");
    }
    return ok();
}

result<void> index_services(service_config& config) {
    for (std::size_t at = 0; at < config.services.size(); ++at) {
        if (!config.service_by_name.emplace(config.services[at].name, at).second) {
            return invalid("service " + config.services[at].name + " is declared twice",
                           "remove one");
        }
    }
    return ok();
}

result<void> index_routes(service_config& config) {
    std::set<std::pair<std::string, std::string>> places;
    for (std::size_t at = 0; at < config.routes.size(); ++at) {
        auto& route = config.routes[at];
        route.host = host_key(route.host);
        BOOST_OUTCOME_TRYV(check_route(config, route));
        if (!places.insert({route.host, route.path_prefix}).second) {
            return invalid("route " + route.name + " has the host and prefix of another route",
                           "change one of the two prefixes");
        }
        config.by_host[route.host].push_back(at);
    }
    for (auto& [host, indices] : config.by_host) {
        std::stable_sort(indices.begin(), indices.end(), [&](std::size_t left, std::size_t right) {
            return config.routes[left].path_prefix.size() > config.routes[right].path_prefix.size();
        });
    }
    return ok();
}

result<void> index_teams(service_config& config) {
    for (std::size_t at = 0; at < config.teams.size(); ++at) {
        for (auto const& key : config.teams[at].keys) {
            auto const [found, added] = config.team_by_key.emplace(key, at);
            if (!added && found->second != at) {
                return invalid("teams " + config.teams[found->second].name + " and " +
                                   config.teams[at].name + " share a key",
                               "give each team keys of its own");
            }
        }
    }
    return ok();
}

} // namespace

result<void> index_config(service_config& config) {
    config.by_host.clear();
    config.team_by_key.clear();
    config.service_by_name.clear();
    BOOST_OUTCOME_TRYV(index_services(config));
    BOOST_OUTCOME_TRYV(index_routes(config));
    return index_teams(config);
}

call_route const* find_route(service_config const& config, std::string_view host,
                             std::string_view path) {
    auto const found = config.by_host.find(host_key(host));
    if (found == config.by_host.end()) {
        return nullptr;
    }
    path = path.substr(0, path.find('?'));
    for (auto const at : found->second) {
        if (path.starts_with(config.routes[at].path_prefix)) {
            return &config.routes[at];
        }
    }
    return nullptr;
}

caller_team const* find_team(service_config const& config, std::string const& key) {
    auto const found = config.team_by_key.find(key);
    return found == config.team_by_key.end() ? nullptr : &config.teams[found->second];
}

served_service const* find_service(service_config const& config, std::string const& name) {
    auto const found = config.service_by_name.find(name);
    return found == config.service_by_name.end() ? nullptr : &config.services[found->second];
}

std::string const& pick_service(call_route const& route, double draw) {
    double total = 0;
    for (auto const& share : route.services) {
        total += share.weight;
    }
    double left = draw * total;
    service_share const* last = &route.services.front();
    for (auto const& share : route.services) {
        if (share.weight <= 0) {
            continue;
        }
        last = &share;
        if (left < share.weight) {
            break;
        }
        left -= share.weight;
    }
    return last->service;
}

} // namespace fireflycrank
