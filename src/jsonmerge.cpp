#include "jsonmerge.h"

#include <set>

namespace fireflycrank {

namespace {

using nlohmann::json;

// Escapes a key for use in a JSON pointer (RFC 6901).
std::string escape_key(std::string const& key) {
    std::string escaped;
    for (char const character : key) {
        if (character == '~') {
            escaped += "~0";
        } else if (character == '/') {
            escaped += "~1";
        } else {
            escaped += character;
        }
    }
    return escaped;
}

// Follows the parser through a document and reports every key that stands twice in one object.
// Without it the later value would win silently.
struct duplicate_finder {
    std::vector<std::set<std::string>> open_objects;
    std::vector<std::string> duplicates;

    void handle(json::parse_event_t event, json const& parsed) {
        if (event == json::parse_event_t::object_start) {
            open_objects.emplace_back();
        } else if (event == json::parse_event_t::object_end) {
            open_objects.pop_back();
        } else if (event == json::parse_event_t::key) {
            auto key = parsed.get<std::string>();
            if (!open_objects.back().insert(key).second) {
                duplicates.push_back(std::move(key));
            }
        }
    }
};

bool parse_file(std::string const& name, std::string const& content, json& document,
                std::vector<settings_fault>& faults) {
    duplicate_finder finder;
    try {
        document = json::parse(content, [&finder](int, json::parse_event_t event, json& parsed) {
            finder.handle(event, parsed);
            return true;
        });
    } catch (json::parse_error const& failure) {
        faults.push_back({name, "/", failure.what(), "correct the JSON at that place"});
        return false;
    }
    for (std::string const& key : finder.duplicates) {
        faults.push_back(
            {name, "/", "key \"" + key + "\" stands twice in one object", "keep one of the two"});
    }
    if (!document.is_object()) {
        faults.push_back({name, "/", "the file holds no JSON object", "wrap the content in { }"});
        return false;
    }
    return finder.duplicates.empty();
}

void record_origin(json const& value, std::string const& path, std::string const& file,
                   std::map<std::string, std::string>& origin) {
    origin[path] = file;
    if (!value.is_object()) {
        return;
    }
    for (auto const& [key, child] : value.items()) {
        record_origin(child, path + "/" + escape_key(key), file, origin);
    }
}

bool types_agree(json const& left, json const& right) {
    return left.type() == right.type() || (left.is_number() && right.is_number());
}

void merge_object(json const& source, json& destination, std::string const& path,
                  std::string const& file, merged_json& merged) {
    for (auto const& [key, value] : source.items()) {
        std::string const child_path = path + "/" + escape_key(key);
        auto const present = destination.find(key);
        if (present == destination.end()) {
            destination[key] = value;
            record_origin(value, child_path, file, merged.origin);
            continue;
        }
        if (!types_agree(*present, value)) {
            merged.faults.push_back(
                {file, child_path,
                 "the value has another type than in " + origin_of(merged, child_path),
                 "use one type in both files"});
            continue;
        }
        if (value.is_object()) {
            merge_object(value, *present, child_path, file, merged);
            continue;
        }
        *present = value;
        merged.origin[child_path] = file;
    }
}

} // namespace

merged_json merge_json_files(std::map<std::string, std::string> const& files) {
    merged_json merged;
    for (auto const& [name, content] : files) {
        json document;
        if (parse_file(name, content, document, merged.faults)) {
            merge_object(document, merged.document, "", name, merged);
        }
    }
    return merged;
}

std::string origin_of(merged_json const& merged, std::string path) {
    while (true) {
        auto const found = merged.origin.find(path);
        if (found != merged.origin.end()) {
            return found->second;
        }
        auto const slash = path.rfind('/');
        if (slash == std::string::npos || path.empty()) {
            return "";
        }
        path.resize(slash);
    }
}

error faults_error(std::vector<settings_fault> const& faults) {
    error failure{error_kind::invalid_settings, "", ""};
    for (settings_fault const& fault : faults) {
        if (!failure.message.empty()) {
            failure.message += "; ";
        }
        failure.message += (fault.file.empty() ? std::string{"(merged settings)"} : fault.file) +
                           " at " + fault.path + ": " + fault.message + ", " + fault.remedy;
    }
    failure.remedy = "correct the named files; nothing was applied";
    return failure;
}

} // namespace fireflycrank
