/// @file
/// The story of one request, from the logs of any number of processes.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <istream>
#include <optional>
#include <string>
#include <vector>

namespace fireflycrank {

/// One line of a process's log.
struct log_line {
    std::string source; ///< the log's name, which tells the process
    std::string time;   ///< UTC; sorts as text
    std::string name;   ///< of the event, see docs/EVENTS.md
    nlohmann::json fields;
};

/// Logs that were read.
struct log_collection {
    std::vector<log_line> lines;
    std::size_t unreadable{0}; ///< lines that are no log events
};

/// One line of a story.
struct story_line {
    log_line line;
    std::string belief_about; ///< "target runner-1" for a line that does not name the request
};

/// Decodes one line.
/// @param source the log's name
/// @param text the line
/// @return the line; nothing if it is no log event
std::optional<log_line> parse_log_line(std::string const& source, std::string const& text);

/// Reads a log to its end.
/// @param logs receives the lines
/// @param source the log's name
/// @param input the log
void read_log(log_collection& logs, std::string const& source, std::istream& input);

/// Puts together what the logs say of a request: every line that names it, also by its order key,
/// and for each target, service, group or configuration version in these lines what each process
/// last believed of it before, and what it learnt until the request's last line.
/// @param lines lines of all processes, in any order
/// @param id the request's id
/// @return the story by time; empty if no line names the request
std::vector<story_line> explain_request(std::vector<log_line> lines, std::string const& id);

/// Renders a story, one line each; beliefs are indented.
/// @param story the story
/// @return the text
std::string render_story(std::vector<story_line> const& story);

} // namespace fireflycrank
