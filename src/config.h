/// @file
/// Settings as plain structs: the operators' intent (replicated) and one process's own settings.
#pragma once

#include "clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fireflycrank {

/// What stands behind a route.
enum class route_kind { model, service };

/// Where the key of an order comes from.
enum class order_key_source { digest, header, json };

/// How a repeated order is recognised.
struct order_key_config {
    order_key_source source{order_key_source::digest};
    std::string name;                    ///< header or JSON field name
    std::chrono::milliseconds window{0}; ///< for digest keys: how long equal orders are the same
};

/// One route that callers post to.
struct route_config {
    std::string name;
    route_kind kind{route_kind::service};
    std::string serves;
    std::string version;
    std::string adapter;
    std::string path;
    bool idempotent{false};
    bool resumable{false};
    order_key_config order_key;
    std::chrono::milliseconds deadline{0};
    std::uint32_t max_body_bytes{0};
    std::uint32_t max_attempts{1};
    std::string default_team;
    std::int32_t priority{0};
    std::uint32_t output_limit{0};     ///< tokens
    std::uint32_t long_work_tokens{0}; ///< tokens
};

/// One team (customer).
struct team_config {
    std::string name;
    double weight{1};
    std::int32_t priority{0};
    double requests_per_s{0};         ///< 0 for no limit
    std::uint32_t max_in_flight{0};   ///< 0 for no limit
    std::vector<std::string> callers; ///< caller address prefixes
};

/// Shape of a model's expert groups.
struct group_config {
    std::uint32_t ranks{0}; ///< 0 for a model without expert parallelism
    std::uint32_t experts{0};
    std::uint32_t layers{0};
    std::uint32_t slots_per_rank{0};
    std::chrono::milliseconds plan_period{0};
};

/// One model and how it should be placed.
struct model_config {
    std::string name;
    std::string version;
    std::vector<std::string> adapters;
    std::uint32_t min_ready{0};
    std::uint32_t targets{0};
    std::int32_t priority{0};
    double weight_gb{0};
    std::chrono::milliseconds soak{0}; ///< between two steps of a rollout
    group_config group;
};

/// Limits of the whole system.
struct limits_config {
    std::chrono::milliseconds address_ttl{0};
    std::chrono::milliseconds stale_serving_limit{0};
    std::chrono::milliseconds answer_retention{0};
    double retry_budget{0};
    double long_work_share{0};
    std::chrono::milliseconds queue_limit{0};
    double weight_store_gb_per_s{0};
};

/// The operators' intent.
struct config {
    std::map<std::string, route_config> routes;
    std::map<std::string, team_config> teams;
    std::map<std::string, model_config> models;
    std::map<std::string, std::string> stops; ///< name of a target or entry to the reason
    limits_config limits;
};

/// Addresses of one control replica.
struct replica_config {
    std::string name;
    std::string mailbox;
    std::string http;
};

/// The engine or service beside an agent.
struct target_config {
    std::string engine;
    std::vector<std::string> serves;
    std::uint32_t slots{0};
    double tokens_per_second{0};
    bool checks_fence{false};
    bool cache_events{false};
    bool pauses_streams{false};
    std::string group;                ///< expert group; empty for none
    std::vector<std::uint32_t> ranks; ///< of the group, in this engine
};

/// One process's own settings.
struct process_config {
    std::string name;
    std::string zone;
    std::string mailbox;
    std::string http;
    std::vector<std::string> seeds;
    std::vector<replica_config> control;
    std::string data_folder;
    target_config target;
    std::string log_level;
    std::string log_file;
    std::uint32_t http_threads{0};
    std::uint32_t workers{0};
};

} // namespace fireflycrank
