/// @file
/// JSON documents that operators exchange with a control replica over HTTP.
#pragma once

#include "controlnode.h"
#include "controltables.h"
#include "fleet.h"

#include <string>

namespace fireflycrank {

/// Parses the body of POST /v1/config/changes.
/// @param body {"base_revision":N,"change_id":"...","operator":"...","files":{"10-a.json":"..."}}
/// @return the change, or invalid_request
result<config_change> parse_change_request(std::string const& body);

/// Writes the reply to a change.
/// @param reply the reply
/// @return JSON with "outcome" and what belongs to it
std::string change_reply_json(config_reply const& reply);

/// Writes the newest revision with its files.
/// @param delta the whole difference from nothing
/// @return JSON
std::string config_json(config_delta const& delta);

/// Writes the state of a replica.
/// @param node the replica
/// @param tables its tables
/// @param moment the present time
/// @return JSON
std::string status_json(control_node const& node, control_tables& tables, time_point moment);

/// Writes the members that this replica knows.
/// @param net the replica's share in the fleet
/// @param revision daemons that have not reported this revision or a later one are "lacking"
/// @return JSON
std::string members_json(fleet const& net, std::uint64_t revision);

/// Writes the claim of an order.
/// @param reply the claim table's reply
/// @return JSON
std::string claim_json(claim_reply const& reply);

/// Writes the quarantine table.
/// @param table the table
/// @return JSON
std::string quarantine_json(quarantine_table const& table);

/// Writes the target orders and rollouts.
/// @param table the table
/// @return JSON
std::string placement_json(placement_table const& table);

/// Parses the body of POST /v1/orders/prune and POST /v1/quarantine/release.
/// @param body {"key":"...","operator":"..."}
/// @return key and operator, or invalid_request
result<std::pair<std::string, std::string>> parse_operator_action(std::string const& body);

/// Writes an error with its remedy, and the leader's HTTP address when the replica does not lead.
/// @param failure the error
/// @param leader_http "ip:port"; may be empty
/// @return JSON
std::string error_json(error const& failure, std::string const& leader_http);

} // namespace fireflycrank
