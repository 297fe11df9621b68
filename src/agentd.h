/// @file
/// The agent daemon: connects the agent's decisions to nng, HTTP and the clock.
///
/// Lock order: the daemon's mutex, then the mailbox's, then the metrics'. HTTP calls start with no
/// lock held, because their callbacks take the daemon's mutex.
#pragma once

#include "config.h"
#include "daemonbase.h"
#include "error.h"

namespace fireflycrank {

/// Runs an agent until SIGTERM or SIGINT, then drains it. The caller has blocked these signals and
/// opened the log.
/// @param settings the process's settings
/// @return the state after a complete drain; the error that prevented the start
result<daemon_state> run_agent(process_config const& settings);

} // namespace fireflycrank
