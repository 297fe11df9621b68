/// @file
/// The configuration of services that are called directly: routes by host and path, teams and their
/// keys, services and their engines. Parsed by the platform's adapter, checked and searched here.
#pragma once

#include "clock.h"
#include "error.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fireflycrank {

/// What may be repeated.
enum class call_kind : std::uint8_t {
    idempotent, ///< may run more than once
    once,       ///< non-idempotent: runs at most once
    stream      ///< answered as a series of events
};

/// A service with its part of a route's traffic.
struct service_share {
    std::string service;
    double weight{0};
};

/// A route.
struct call_route {
    std::string name;
    std::string host;        ///< lower case
    std::string path_prefix; ///< begins and ends with a slash
    call_kind kind{call_kind::once};
    std::chrono::milliseconds timeout{0};        ///< the longest time that a caller is kept waiting
    std::chrono::milliseconds target_latency{0}; ///< for full credit; streams: to the first event
    std::chrono::milliseconds pause_target{0};   ///< streams: longest pause between events
    unsigned priority{0};                        ///< 0 is the most urgent
    unsigned max_attempts{1};                    ///< targets that one request may be sent to
    bool needs_key{true};
    bool resumable{false};            ///< streams: another target may go on after the last event
    std::vector<std::string> regions; ///< whose targets may run its requests; empty: all
    std::vector<service_share> services;
};

/// How a model engine works, as the operator declares it.
struct engine_traits {
    unsigned slots{0};
    std::uint64_t memory_tokens{0};
    unsigned steps_per_pass{1};
    std::chrono::duration<double, std::milli> step{0};              ///< of one token step
    std::chrono::duration<double, std::milli> step_per_sequence{0}; ///< for each running request
    double read_tokens_per_second{0};
    unsigned read_tokens_per_step{0}; ///< at most; 0: no limit
    /// Added to the reading for each million pairs of a token and an earlier one.
    std::chrono::duration<double, std::milli> read_million_pairs{0};
    unsigned usual_prompt_tokens{0};
    unsigned usual_answer_tokens{0};
    unsigned expert_sets{0}; ///< 0: no expert groups
    unsigned experts{0};     ///< in each set
    unsigned places{0};      ///< experts that a rank may hold in each set
    unsigned spare{0};       ///< experts in a set that one change may add to a rank
    double expert_megabytes{0};
    double link_megabits_per_second{0};
    double expert_fraction{0}; ///< share of the work for tokens that experts do
};

/// A service.
struct served_service {
    std::string name;
    std::string health_path;
    unsigned max_connections{0};
    std::optional<engine_traits> engine;
    std::chrono::milliseconds cold_time{0}; ///< a target stays cold for so long after its start
    double cold_rate{0}; ///< requests a second that a cold target tolerates; 0: no limit
};

/// What callers may send and how long they may take.
struct caller_limits {
    std::size_t header_bytes{16'384};
    std::size_t body_bytes{4'194'304};
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// A team and its keys.
struct caller_team {
    std::string name;
    std::vector<std::string> keys;
    std::optional<unsigned> priority; ///< goes before the route's
    std::vector<std::string> regions; ///< whose targets may run its requests; empty: all
};

/// One version of the configuration.
struct service_config {
    std::uint64_t version{0};
    std::vector<call_route> routes;
    std::vector<served_service> services;
    std::vector<caller_team> teams;
    bool has_teams{false}; ///< callers need keys
    caller_limits limits;

    /// Routes of a host, longest prefix first; built by index_config().
    std::unordered_map<std::string, std::vector<std::size_t>> by_host;
    std::unordered_map<std::string, std::size_t> team_by_key;
    std::map<std::string, std::size_t> service_by_name;
};

/// Checks what makes a configuration invalid and builds its indexes.
/// @param config the parsed configuration
/// @return nothing; `invalid_settings` naming the route, service or team at fault
result<void> index_config(service_config& config);

/// Finds the route of a request.
/// @param config an indexed configuration
/// @param host the Host field; a port is ignored
/// @param path path and query as sent
/// @return the route with the longest prefix, or null
call_route const* find_route(service_config const& config, std::string_view host,
                             std::string_view path);

/// Finds the team that holds a key.
/// @return the team, or null
caller_team const* find_team(service_config const& config, std::string const& key);

/// Finds a service.
/// @return the service, or null
served_service const* find_service(service_config const& config, std::string const& name);

/// Picks a service of a route by weight.
/// @param route a route of a checked configuration
/// @param draw a uniform value in [0, 1)
/// @return the service's name
std::string const& pick_service(call_route const& route, double draw);

} // namespace fireflycrank
