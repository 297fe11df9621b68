/// @file
/// A rank agent: runs beside a model engine, reads its free reports and tells the gateways.
#pragma once

#include "eventloop.h"

#include <string>

namespace fireflycrank {

/// Runs a rank agent until it is stopped.
/// @param read_settings reads the settings file
/// @param settings_path the file, watched for changes
/// @return nothing, or why it could not start
result<void> run_rank_agent(settings_source const& read_settings, std::string const& settings_path);

} // namespace fireflycrank
