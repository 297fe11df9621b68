/// @file
/// Parses JSON files with a check for duplicate keys and merges them, remembering which file each
/// value came from.
#pragma once

#include "error.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace fireflycrank {

/// One fault in a settings file.
struct settings_fault {
    std::string file;
    std::string path; ///< JSON pointer, for example "/routes/draft/deadline_ms"
    std::string message;
    std::string remedy;
};

/// A merged document and where its values came from.
struct merged_json {
    nlohmann::json document = nlohmann::json::object();
    std::map<std::string, std::string> origin; ///< JSON pointer to the file that set it last
    std::vector<settings_fault> faults;
};

/// Parses and merges files in the order of their names.
/// @param files file name to content
/// @return the merged document and every fault found
merged_json merge_json_files(std::map<std::string, std::string> const& files);

/// Finds the file that set a value, or the closest enclosing value.
/// @param merged the merged document
/// @param path JSON pointer
/// @return a file name; empty if nothing set the path or its parents
std::string origin_of(merged_json const& merged, std::string path);

/// Joins faults into one error.
/// @param faults at least one fault
/// @return an invalid_settings error that lists file, path, message and remedy of each
error faults_error(std::vector<settings_fault> const& faults);

} // namespace fireflycrank
