/// @file
/// The start of every daemon: command line, settings, log, signals.
#pragma once

#include "config.h"
#include "error.h"
#include "fleet.h"
#include "mailbox.h"
#include "metrics.h"

#include <functional>
#include <memory>
#include <string>

namespace fireflycrank {

/// Switches of the command line besides the settings.
struct daemon_switches {
    bool force_sole_member{false}; ///< control only; see docs/control-log.md
};

/// A stopped daemon's state. Threads of the HTTP library may still end a call of it, so it has to
/// live as long as the process.
using daemon_state = std::shared_ptr<void>;

/// Reads the command line and the settings, opens the log and runs a daemon.
/// @param argc from main
/// @param argv from main
/// @param description for --help
/// @param is_control true for the control daemon, which has a switch of its own
/// @param run the daemon; returns its state when it has stopped
/// @return the exit code: 0 after a regular stop, 1 for a failure, 2 for refused settings
int run_daemon(
    int argc, char** argv, std::string const& description, bool is_control,
    std::function<result<daemon_state>(process_config const&, daemon_switches const&)> const& run);

/// A number that rises with every start of a process, from the wall clock in milliseconds.
/// @param wall the present wall time
/// @return the incarnation
std::uint64_t make_incarnation(wall_time wall);

/// Sends all messages of the news and writes its log lines.
/// @param box the daemon's mailbox
/// @param news the news
void publish_news(mailbox& box, fleet_news const& news);

/// Copies the mailbox's counters into the metrics.
/// @param box the daemon's mailbox
/// @param metrics the daemon's metrics
void export_mailbox_counters(mailbox const& box, metrics_registry& metrics);

} // namespace fireflycrank
