#include "explain.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

namespace fireflycrank {

namespace {

using nlohmann::json;
using subject = std::pair<std::string, std::string>; // field and value

// Fields that hold the id of a request, and those that hold what a decision was about.
constexpr std::array id_fields{"call", "request", "key", "message"};
constexpr std::array subject_fields{"target", "service", "group", "version", "dependency"};

std::string text_of(json const& value) {
    return value.is_string() ? value.get<std::string>() : value.dump();
}

bool names_any(log_line const& line, std::set<std::string> const& ids) {
    return std::any_of(id_fields.begin(), id_fields.end(), [&](char const* field) {
        auto const found = line.fields.find(field);
        return found != line.fields.end() && ids.contains(text_of(*found));
    });
}

bool is_about_a_request(log_line const& line) {
    return std::any_of(id_fields.begin(), id_fields.end(),
                       [&](char const* field) { return line.fields.contains(field); });
}

std::set<subject> subjects_of(log_line const& line) {
    std::set<subject> subjects;
    for (char const* field : subject_fields) {
        auto const found = line.fields.find(field);
        if (found != line.fields.end() && text_of(*found) != "0") {
            subjects.emplace(field, text_of(*found));
        }
    }
    return subjects;
}

// The request's id and the order keys that its lines name.
std::set<std::string> ids_of_request(std::vector<log_line> const& lines, std::string const& id) {
    std::set<std::string> ids{id};
    for (auto const& line : lines) {
        auto const key = line.fields.find("key");
        if (key != line.fields.end() && names_any(line, {id})) {
            ids.insert(text_of(*key));
        }
    }
    return ids;
}

} // namespace

std::optional<log_line> parse_log_line(std::string const& source, std::string const& text) {
    json fields = json::parse(text, nullptr, false);
    if (!fields.is_object() || !fields.contains("time") || !fields.contains("name") ||
        !fields["time"].is_string() || !fields["name"].is_string()) {
        return std::nullopt;
    }
    log_line line{source, fields["time"], fields["name"], std::move(fields)};
    for (char const* shown_apart : {"time", "name", "event", "level"}) {
        line.fields.erase(shown_apart);
    }
    return line;
}

void read_log(log_collection& logs, std::string const& source, std::istream& input) {
    for (std::string text; std::getline(input, text);) {
        if (auto line = parse_log_line(source, text)) {
            logs.lines.push_back(std::move(*line));
        } else {
            ++logs.unreadable;
        }
    }
}

std::vector<story_line> explain_request(std::vector<log_line> lines, std::string const& id) {
    std::stable_sort(lines.begin(), lines.end(), [](log_line const& left, log_line const& right) {
        return left.time < right.time;
    });
    auto const ids = ids_of_request(lines, id);
    std::set<subject> subjects;
    std::string first;
    std::string last;
    for (auto const& line : lines) {
        if (names_any(line, ids)) {
            subjects.merge(subjects_of(line));
            first = first.empty() ? line.time : first;
            last = line.time;
        }
    }
    std::vector<story_line> story;
    if (first.empty()) {
        return story;
    }
    // What each process last wrote of a subject before the request.
    std::map<std::pair<std::string, subject>, log_line const*> before;
    for (auto const& line : lines) {
        if (line.time > last) {
            break;
        }
        if (names_any(line, ids)) {
            story.push_back({line, ""});
            continue;
        }
        if (is_about_a_request(line)) {
            continue;
        }
        for (auto const& about : subjects_of(line)) {
            if (!subjects.contains(about)) {
                continue;
            }
            if (line.time < first) {
                before[{line.source, about}] = &line;
            } else {
                story.push_back({line, about.first + " " + about.second});
                break;
            }
        }
    }
    std::set<log_line const*> told;
    for (auto const& [where, line] : before) {
        if (told.insert(line).second) {
            story.push_back({*line, where.second.first + " " + where.second.second});
        }
    }
    std::stable_sort(story.begin(), story.end(),
                     [](story_line const& left, story_line const& right) {
                         return left.line.time < right.line.time;
                     });
    return story;
}

std::string render_story(std::vector<story_line> const& story) {
    std::string text;
    for (auto const& [line, belief_about] : story) {
        text += line.time + (belief_about.empty() ? " " : "   belief about " + belief_about + ": ");
        text += line.source + " " + line.name;
        for (auto const& [field, value] : line.fields.items()) {
            text += " " + field + "=" + text_of(value);
        }
        text += '\n';
    }
    return text;
}

} // namespace fireflycrank
