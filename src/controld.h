/// @file
/// The control daemon: one replica of the control log with its disk, mailbox and HTTP server.
///
/// Lock order: the replica's mutex, then the mailbox's, then the metrics'. The inbox's mutex is
/// never held together with another.
#pragma once

#include "config.h"
#include "daemonbase.h"
#include "error.h"

namespace fireflycrank {

/// Runs a control replica until SIGTERM or SIGINT. The caller has blocked these signals and opened
/// the log.
/// @param force_sole_member make this replica the only member of a new cluster
/// @return the state after a regular stop; the error that prevented the start or stopped the
/// replica
result<daemon_state> run_control(process_config const& settings, bool force_sole_member);

} // namespace fireflycrank
