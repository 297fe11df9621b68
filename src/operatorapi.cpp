#include "operatorapi.h"

#include <nlohmann/json.hpp>

namespace fireflycrank {

namespace {

using nlohmann::json;

std::string dump(json const& document) {
    return document.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

char const* name_of(config_outcome outcome) {
    switch (outcome) {
    case config_outcome::accepted:
        return "accepted";
    case config_outcome::conflict:
        return "conflict";
    case config_outcome::unknown_base:
        return "unknown_base";
    case config_outcome::reused_id:
        return "reused_id";
    case config_outcome::malformed:
        break;
    }
    return "malformed";
}

char const* name_of(replica_role role) {
    switch (role) {
    case replica_role::leader:
        return "leader";
    case replica_role::candidate:
        return "candidate";
    case replica_role::pre_candidate:
        return "pre_candidate";
    case replica_role::follower:
        break;
    }
    return "follower";
}

char const* name_of(member_role role) {
    switch (role) {
    case member_role::entry:
        return "entry";
    case member_role::agent:
        return "agent";
    case member_role::control:
        break;
    }
    return "control";
}

char const* name_of(claim_outcome outcome) {
    switch (outcome) {
    case claim_outcome::accepted:
        return "accepted";
    case claim_outcome::existing:
        return "existing";
    case claim_outcome::conflict:
        return "conflict";
    case claim_outcome::full:
        return "full";
    case claim_outcome::stale:
        return "stale";
    case claim_outcome::refused:
        return "refused";
    case claim_outcome::missing:
        break;
    }
    return "missing";
}

char const* name_of(claim_state state) {
    switch (state) {
    case claim_state::bound:
        return "bound";
    case claim_state::done:
        return "done";
    case claim_state::failed:
        return "failed";
    case claim_state::unknown:
        return "unknown";
    case claim_state::voided:
        break;
    }
    return "voided";
}

json member_json(member_record const& member) {
    return {{"name", member.name},       {"role", name_of(member.role)},
            {"zone", member.zone},       {"address", member.address},
            {"leaving", member.leaving}, {"incarnation", member.incarnation},
            {"serves", member.serves},   {"suspected", member.health == member_health::suspect}};
}

} // namespace

result<config_change> parse_change_request(std::string const& body) {
    json const document = json::parse(body, nullptr, false);
    try {
        config_change change;
        change.base_revision = document.at("base_revision").get<std::uint64_t>();
        change.change_id = document.at("change_id").get<std::string>();
        change.operator_name = document.at("operator").get<std::string>();
        change.files = document.at("files").get<std::map<std::string, std::string>>();
        if (!change.change_id.empty() && !change.files.empty()) {
            return change;
        }
    } catch (json::exception const&) {
        // Reported below with the expected shape.
    }
    return fail(error_kind::invalid_request, "the change is malformed",
                "send base_revision, change_id, operator and files, as `fireflycrank apply` does");
}

std::string change_reply_json(config_reply const& reply) {
    json document{{"outcome", name_of(reply.outcome)},
                  {"revision", reply.revision},
                  {"digest", reply.digest}};
    if (reply.outcome == config_outcome::conflict) {
        document["winner_revision"] = reply.winner_revision;
        document["winner_operator"] = reply.winner_operator;
        document["winner_change_id"] = reply.winner_change_id;
    }
    return dump(document);
}

std::string config_json(config_delta const& delta) {
    return dump({{"revision", delta.to}, {"digest", delta.digest}, {"files", delta.files}});
}

std::string status_json(control_node const& node, control_tables& tables, time_point moment) {
    json replicas = json::array();
    membership const members = status_of(node, moment).members;
    bool const changing = !members.previous.empty();
    for (member const& replica : members.current) {
        // While a change is under way its replica's vote is not enough by itself.
        replicas.push_back({{"name", replica.name}, {"voter", replica.voter && !changing}});
    }
    auto const fence = current_fencing_token(node, moment);
    return dump({{"name", node.settings.name},
                 {"role", name_of(node.consensus.role)},
                 {"leader", leader_of(node)},
                 {"term", node.consensus.hard.term},
                 {"commit", node.consensus.commit_index},
                 {"lease", fence.has_value()},
                 {"revision", tables.configuration.revision},
                 {"digest", current_ident(tables).digest},
                 {"claims", tables.claims.claims.size()},
                 {"quarantined", tables.quarantine.entries.size()},
                 {"change_under_way", changing},
                 {"replicas", replicas}});
}

std::string members_json(fleet const& net, std::uint64_t revision) {
    json members = json::array();
    std::vector<std::string> daemons;
    for (member_role const role : {member_role::entry, member_role::agent, member_role::control}) {
        for (member_record const* present : present_members(net.members, role)) {
            members.push_back(member_json(*present));
            if (role != member_role::control) {
                daemons.push_back(present->name);
            }
        }
    }
    return dump({{"members", members},
                 {"revision", revision},
                 {"lacking", config_lacking(net.configuration, daemons, revision)}});
}

std::string claim_json(claim_reply const& reply) {
    json document{{"outcome", name_of(reply.outcome)},
                  {"state", name_of(reply.view.state)},
                  {"request", reply.view.attempt.request_id},
                  {"attempt", reply.view.attempt.number},
                  {"target", reply.view.attempt.target},
                  {"target_incarnation", reply.view.attempt.incarnation},
                  {"owner", reply.view.owner}};
    if (reply.view.response) {
        document["status"] = reply.view.response->status;
        document["answer"] = reply.view.response->body;
    }
    return dump(document);
}

std::string quarantine_json(quarantine_table const& table) {
    json entries = json::array();
    for (auto const& [fingerprint, entry] : table.entries) {
        json crash_ids = json::array();
        for (auto const& crash : entry.crashes) {
            crash_ids.push_back(crash.id);
        }
        entries.push_back({{"key", fingerprint},
                           {"crashes", crashes_in_row(entry)},
                           {"quarantined", entry.quarantined},
                           {"crash_ids", crash_ids}});
    }
    return dump({{"entries", entries}});
}

std::string placement_json(placement_table const& table) {
    json orders = json::array();
    for (auto const& [id, order] : table.orders) {
        placement_change const& change = order.change;
        bool const open = order.state == order_state::open;
        orders.push_back(
            {{"order", id},
             {"state", open ? "open" : (order.state == order_state::done ? "done" : "failed")},
             {"action", name_of(change.action)},
             {"target", change.target},
             {"model", change.model},
             {"version", change.version},
             {"cause", change.cause},
             {"rollout", order.rollout},
             {"message", order.message}});
    }
    json rollouts = json::array();
    for (auto const& [id, rollout] : table.rollouts) {
        rollouts.push_back({{"rollout", id},
                            {"model", rollout.model},
                            {"from", rollout.from_version},
                            {"to", rollout.to_version},
                            {"phase", name_of(rollout.phase)},
                            {"failures", rollout.failures},
                            {"cause", rollout.cause}});
    }
    return dump({{"orders", orders}, {"rollouts", rollouts}});
}

result<std::pair<std::string, std::string>> parse_operator_action(std::string const& body) {
    json const document = json::parse(body, nullptr, false);
    if (!document.is_object() || document.value("key", "").empty() ||
        document.value("operator", "").empty()) {
        return fail(error_kind::invalid_request, "the request is malformed",
                    "send key and operator, as the `fireflycrank` command does");
    }
    return std::pair{document.value("key", ""), document.value("operator", "")};
}

std::string error_json(error const& failure, std::string const& leader_http) {
    json document{
        {"error", name_of(failure.kind)}, {"message", failure.message}, {"remedy", failure.remedy}};
    if (!leader_http.empty()) {
        document["leader"] = leader_http;
    }
    return dump(document);
}

} // namespace fireflycrank
