/// @file
/// Reads a folder of small JSON files, merges them in the order of their names, checks the result
/// against the schema, and fills plain structs. Nothing is applied unless everything is right.
///
/// Merge rule: objects merge by key, a later scalar wins, a later list replaces the earlier one. A
/// key whose type changes between files is refused.
#pragma once

#include "config.h"
#include "error.h"

#include <map>
#include <string>
#include <vector>

namespace fireflycrank {

/// File name (without folder) to content. A map, because the merge order is the byte order of
/// names.
using settings_files = std::map<std::string, std::string>;

/// Reads the settings files of a folder. Names that start with a dot or end with '~' are passed
/// over.
/// @param folder path of the folder
/// @return the files; invalid_settings if the folder or a file cannot be read, if a name does not
/// end in ".json", or if there is no file at all
result<settings_files> read_settings_folder(std::string const& folder);

/// Merges, checks and parses the operators' settings.
/// @param files file names and contents
/// @return the intent; invalid_settings naming file, path in the file and remedy for each fault
result<config> parse_config(settings_files const& files);

/// Merges, checks and parses one process's settings.
/// @param files file names and contents
/// @return the process's settings; invalid_settings as for parse_config
result<process_config> parse_process_config(settings_files const& files);

/// Describes every key of the schema with unit, range and default, as the Markdown page
/// docs/SETTINGS.md. The test suite compares the committed page with this text.
/// @return the page
std::string settings_reference();

} // namespace fireflycrank
