/// @file
/// The entry daemon: connects the entry's decisions to callers, agents, control and the clock.
///
/// Lock order: the daemon's mutex, then the responses' own, the mailbox's, and the metrics'.
#pragma once

#include "config.h"
#include "daemonbase.h"
#include "error.h"

namespace fireflycrank {

/// Runs an entry until SIGTERM or SIGINT, then drains it. The caller has blocked these signals and
/// opened the log.
/// @param settings the process's settings
/// @return the state after a complete drain; the error that prevented the start
result<daemon_state> run_entry(process_config const& settings);

} // namespace fireflycrank
