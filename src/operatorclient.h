/// @file
/// What the operator command does: talks to the control replicas over HTTP, compares and applies
/// settings folders.
#pragma once

#include "clock.h"
#include "error.h"
#include "settings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fireflycrank {

/// The configuration as control holds it.
struct control_config {
    std::uint64_t revision{0};
    settings_files files;
};

/// One difference between two sets of settings files.
struct settings_difference {
    char sign{'~'};     ///< '+' new, '-' removed, '~' changed
    std::string path;   ///< JSON pointer in the merged settings
    std::string before; ///< JSON text; empty for a new value
    std::string after;  ///< JSON text; empty for a removed value
};

/// Compares two sets of files by the values that result from merging them.
/// @param before the files in force
/// @param after the operator's files
/// @return the differences, by path
std::vector<settings_difference> compare_settings(settings_files const& before,
                                                  settings_files const& after);

/// What became of a change.
struct change_result {
    std::string outcome; ///< "accepted", "conflict", "unknown_base", "reused_id" or "malformed"
    std::uint64_t revision{0};
    std::string winner_operator;
    std::string winner_change_id;
};

/// A change to send.
struct change_request {
    std::uint64_t base_revision{0};
    std::string change_id;
    std::string operator_name;
    settings_files files;
};

/// Sends a GET to the replicas in turn, following the leader where one is named.
/// @param control HTTP addresses of control replicas, "ip:port"
/// @param path the path
/// @return the answer's body; unavailable if no replica answered
result<std::string> get_from_control(std::vector<std::string> const& control,
                                     std::string const& path);

/// Reads the configuration that a majority confirms.
/// @param control HTTP addresses of control replicas
/// @return the configuration; revision 0 before the first change
result<control_config> read_control_config(std::vector<std::string> const& control);

/// Sends a change, again and again under its change id until a replica answers.
/// @param control HTTP addresses of control replicas
/// @param change the change
/// @return what became of it
result<change_result> send_change(std::vector<std::string> const& control,
                                  change_request const& change);

/// Waits until every live daemon has reported a revision.
/// @param control HTTP addresses of control replicas
/// @param revision the revision
/// @param patience how long to wait
/// @return names of the daemons that still lack it; empty when it is in force everywhere
result<std::vector<std::string>> wait_in_force(std::vector<std::string> const& control,
                                               std::uint64_t revision, duration patience);

/// Sends an operator's action on a key.
/// @param control HTTP addresses of control replicas
/// @param path "/v1/orders/prune" or "/v1/quarantine/release"
/// @param key the order's key or the request's fingerprint
/// @param operator_name who acts
/// @return the replica's JSON answer
result<std::string> send_operator_action(std::vector<std::string> const& control,
                                         std::string const& path, std::string const& key,
                                         std::string const& operator_name);

/// Adds or removes a planned stop in a set of files.
/// @param files the files in force
/// @param name the target or entry
/// @param reason why it stops; empty to remove the stop
/// @return the new files, or invalid_settings when the stops file cannot be read
result<settings_files> with_planned_stop(settings_files files, std::string const& name,
                                         std::string const& reason);

} // namespace fireflycrank
