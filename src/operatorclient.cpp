#include "operatorclient.h"

#include "http.h"
#include "jsonmerge.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace fireflycrank {

namespace {

using nlohmann::json;

constexpr duration call_timeout = std::chrono::seconds{3};
constexpr std::chrono::milliseconds retry_pause{200};
constexpr int rounds = 75; // with the pause, fifteen seconds: several elections on a busy vm
constexpr int ok_status = 200;
constexpr int misdirected_status = 421;
constexpr int unavailable_status = 503;
// Planned stops made by the command stand in a file of their own, merged late.
constexpr char const* stops_file = "90-stops.json";

std::string child_path(std::string path, std::string const& key) {
    path += '/';
    path += key;
    return path;
}

void compare_values(json const& before, json const& after, std::string const& path,
                    std::vector<settings_difference>& differences) {
    if (before.is_object() && after.is_object()) {
        for (auto const& [key, value] : before.items()) {
            std::string const child = child_path(path, key);
            if (after.contains(key)) {
                compare_values(value, after.at(key), child, differences);
            } else {
                differences.push_back({'-', child, value.dump(), ""});
            }
        }
        for (auto const& [key, value] : after.items()) {
            if (!before.contains(key)) {
                differences.push_back({'+', child_path(path, key), "", value.dump()});
            }
        }
    } else if (before != after) {
        differences.push_back({'~', path, before.dump(), after.dump()});
    }
}

// Asks one replica; an answer that names the leader moves that address to the front.
result<http_answer> ask(std::vector<std::string>& control, std::string const& method,
                        std::string const& path, std::string const& body) {
    http_client_request request;
    request.method = method;
    request.address = control.front();
    request.path = path;
    request.body = body;
    request.headers["content-type"] = "application/json";
    request.timeout = call_timeout;
    auto answer = call_http(request);
    bool const elsewhere = !answer || answer.value().status == misdirected_status;
    if (!elsewhere) {
        return answer;
    }
    std::rotate(control.begin(), control.begin() + 1, control.end());
    if (answer) {
        json const parsed = json::parse(answer.value().body, nullptr, false);
        std::string const leader = parsed.is_object() ? parsed.value("leader", "") : "";
        auto const found = std::find(control.begin(), control.end(), leader);
        if (found != control.end()) {
            std::rotate(control.begin(), found, control.end());
        }
    }
    return answer;
}

// Repeats a request until a replica gives a final answer.
result<std::string> ask_until_answered(std::vector<std::string> control, std::string const& method,
                                       std::string const& path, std::string const& body) {
    std::string last = "no address was given";
    for (int round = 0; round < rounds && !control.empty(); ++round) {
        if (round > 0) {
            std::this_thread::sleep_for(retry_pause);
        }
        auto const answer = ask(control, method, path, body);
        if (!answer) {
            last = answer.error().message;
            continue;
        }
        int const status = answer.value().status;
        if (status == ok_status) {
            return answer.value().body;
        }
        last = answer.value().body;
        if (status != misdirected_status && status != unavailable_status) {
            json const parsed = json::parse(last, nullptr, false);
            return fail(error_kind::invalid_request,
                        parsed.is_object() ? parsed.value("message", last) : last,
                        parsed.is_object() ? parsed.value("remedy", "") : "");
        }
    }
    return fail(error_kind::unavailable, "no control replica answered: " + last,
                "check the addresses and that a majority of the replicas runs");
}

result<json> parse_answer(std::string const& body) {
    json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return fail(error_kind::internal, "the replica's answer is no JSON object",
                    "check that the address is a control replica's HTTP address");
    }
    return parsed;
}

} // namespace

std::vector<settings_difference> compare_settings(settings_files const& before,
                                                  settings_files const& after) {
    std::vector<settings_difference> differences;
    compare_values(merge_json_files(before).document, merge_json_files(after).document, "",
                   differences);
    return differences;
}

result<std::string> get_from_control(std::vector<std::string> const& control,
                                     std::string const& path) {
    return ask_until_answered(control, "GET", path, "");
}

result<control_config> read_control_config(std::vector<std::string> const& control) {
    BOOST_OUTCOME_TRY(body, get_from_control(control, "/v1/config"));
    BOOST_OUTCOME_TRY(parsed, parse_answer(body));
    return control_config{parsed.value("revision", std::uint64_t{0}),
                          parsed.value("files", settings_files{})};
}

result<change_result> send_change(std::vector<std::string> const& control,
                                  change_request const& change) {
    json const request{{"base_revision", change.base_revision},
                       {"change_id", change.change_id},
                       {"operator", change.operator_name},
                       {"files", change.files}};
    BOOST_OUTCOME_TRY(body,
                      ask_until_answered(control, "POST", "/v1/config/changes", request.dump()));
    BOOST_OUTCOME_TRY(parsed, parse_answer(body));
    return change_result{parsed.value("outcome", ""), parsed.value("revision", std::uint64_t{0}),
                         parsed.value("winner_operator", ""), parsed.value("winner_change_id", "")};
}

result<std::vector<std::string>> wait_in_force(std::vector<std::string> const& control,
                                               std::uint64_t revision, duration patience) {
    auto const give_up = std::chrono::steady_clock::now() + patience;
    while (true) {
        BOOST_OUTCOME_TRY(
            body, get_from_control(control, "/v1/members?revision=" + std::to_string(revision)));
        BOOST_OUTCOME_TRY(parsed, parse_answer(body));
        auto lacking = parsed.value("lacking", std::vector<std::string>{});
        if (lacking.empty() || std::chrono::steady_clock::now() >= give_up) {
            return lacking;
        }
        std::this_thread::sleep_for(retry_pause);
    }
}

result<std::string> send_operator_action(std::vector<std::string> const& control,
                                         std::string const& path, std::string const& key,
                                         std::string const& operator_name) {
    json const request{{"key", key}, {"operator", operator_name}};
    return ask_until_answered(control, "POST", path, request.dump());
}

result<settings_files> with_planned_stop(settings_files files, std::string const& name,
                                         std::string const& reason) {
    json document = json::object();
    auto const present = files.find(stops_file);
    if (present != files.end()) {
        document = json::parse(present->second, nullptr, false);
        if (!document.is_object()) {
            return fail(error_kind::invalid_settings,
                        std::string{stops_file} + " in force is no JSON object",
                        "correct the file in the operators' folder and apply it");
        }
    }
    if (reason.empty()) {
        document["stops"].erase(name);
    } else {
        document["stops"][name] = {{"reason", reason}};
    }
    files[stops_file] = document.dump(2) + "\n";
    return files;
}

} // namespace fireflycrank
