/// @file
/// The log line of a crash report that the quarantine table has taken.
#pragma once

#include "directorywire.h"
#include "eventloop.h"

#include <string>

namespace fireflycrank {

/// Logs which gateway and which crash are behind a verdict.
/// @param reply the table's reply to the report
void log_recorded_report(event_loop& loop, crash_report_message const& report,
                         std::string const& reply);

} // namespace fireflycrank
