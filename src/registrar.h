/// @file
/// A registrar: keeps the directory of announced targets and of our own processes in memory, and a
/// replica of the service configuration on disk. One event loop runs it all; nothing is locked.
#pragma once

#include "eventloop.h"

#include <string>

namespace fireflycrank {

/// Runs a registrar until it is stopped.
/// @param read_settings reads the settings file
/// @param settings_path the file, watched for changes
/// @return nothing, or why it could not start
result<void> run_registrar(settings_source const& read_settings, std::string const& settings_path);

} // namespace fireflycrank
