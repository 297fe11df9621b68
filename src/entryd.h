/// @file
/// The entry daemon: the process around entry_core. It receives HTTP requests and messages,
/// performs the core's actions and runs its timers.
///
/// Lock order: the daemon's mutex, then those of a response, the mailbox and the metrics.
#pragma once

#include "config.h"
#include "daemonbase.h"
#include "error.h"

namespace fireflycrank {

/// Runs an entry until SIGTERM or SIGINT, then drains it. The caller must have blocked these
/// signals and opened the log.
/// @return the state after a complete drain, or the error that prevented the start
result<daemon_state> run_entry(process_config const& settings);

} // namespace fireflycrank
