#include "settings.h"

#include "schemacheck.h"
#include "settings.pb.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace fireflycrank {

namespace {

constexpr std::uintmax_t max_settings_file_bytes = 1U << 20U;

settings_fault fault_at(merged_json const& merged, std::string const& path, std::string message,
                        std::string remedy) {
    return {origin_of(merged, path), path, std::move(message), std::move(remedy)};
}

order_key_config parse_order_key(settings::OrderKey const& source) {
    order_key_config key;
    key.source = source.source() == "header" ? order_key_source::header
                 : source.source() == "json" ? order_key_source::json
                                             : order_key_source::digest;
    key.name = source.name();
    key.window = std::chrono::milliseconds{source.window_ms()};
    return key;
}

route_config parse_route(std::string const& name, settings::Route const& source) {
    route_config route;
    route.name = name;
    route.kind = source.kind() == "model" ? route_kind::model : route_kind::service;
    route.serves = source.serves();
    route.version = source.version();
    route.adapter = source.adapter();
    route.path = source.path();
    route.idempotent = source.idempotent();
    route.resumable = source.resumable();
    route.order_key = parse_order_key(source.order_key());
    route.deadline = std::chrono::milliseconds{source.deadline_ms()};
    route.max_body_bytes = source.max_body_bytes();
    route.max_attempts = source.max_attempts();
    route.default_team = source.default_team();
    route.priority = source.priority();
    route.output_limit = source.output_limit();
    route.long_work_tokens = source.long_work_tokens();
    return route;
}

team_config parse_team(std::string const& name, settings::Team const& source) {
    return {name,
            source.weight(),
            source.priority(),
            source.requests_per_s(),
            source.max_in_flight(),
            {source.callers().begin(), source.callers().end()}};
}

model_config parse_model(std::string const& name, settings::Model const& source) {
    return {name,
            source.version(),
            {source.adapters().begin(), source.adapters().end()},
            source.min_ready(),
            source.targets(),
            source.priority(),
            source.weight_gb(),
            std::chrono::milliseconds{source.soak_ms()},
            {source.group().ranks(), source.group().experts(), source.group().layers(),
             source.group().slots_per_rank(),
             std::chrono::milliseconds{source.group().plan_period_ms()}}};
}

limits_config parse_limits(settings::Limits const& source) {
    return {std::chrono::milliseconds{source.address_ttl_ms()},
            std::chrono::milliseconds{source.stale_serving_limit_ms()},
            std::chrono::milliseconds{source.answer_retention_ms()},
            source.retry_budget(),
            source.long_work_share(),
            std::chrono::milliseconds{source.queue_limit_ms()},
            source.weight_store_gb_per_s()};
}

// Checks what the schema cannot express: references between objects and fields that need each
// other.
void check_route(merged_json& merged, config const& intent, route_config const& route) {
    std::string const path = "/routes/" + route.name;
    if (!intent.teams.contains(route.default_team)) {
        merged.faults.push_back(fault_at(merged, path + "/default_team",
                                         "no team \"" + route.default_team + "\" is listed",
                                         "add it under teams or name another"));
    }
    if (route.path.empty() || route.path.front() != '/') {
        merged.faults.push_back(fault_at(merged, path + "/path", "the path does not start with '/'",
                                         "write it as \"/v1/completions\""));
    }
    if (route.order_key.source != order_key_source::digest && route.order_key.name.empty()) {
        merged.faults.push_back(fault_at(merged, path + "/order_key/name",
                                         "the key's header or field has no name", "add its name"));
    }
    if (route.kind != route_kind::model) {
        return;
    }
    auto const model = intent.models.find(route.serves);
    if (model == intent.models.end()) {
        merged.faults.push_back(fault_at(merged, path + "/serves",
                                         "no model \"" + route.serves + "\" is listed",
                                         "add it under models or name another"));
        return;
    }
    auto const& adapters = model->second.adapters;
    if (!route.adapter.empty() &&
        std::find(adapters.begin(), adapters.end(), route.adapter) == adapters.end()) {
        merged.faults.push_back(
            fault_at(merged, path + "/adapter",
                     "model \"" + route.serves + "\" lists no adapter \"" + route.adapter + "\"",
                     "add it to the model's adapters or name another"));
    }
}

void check_model(merged_json& merged, model_config const& model) {
    if (model.min_ready > model.targets) {
        merged.faults.push_back(fault_at(merged, "/models/" + model.name + "/min_ready",
                                         "min_ready is greater than targets",
                                         "lower min_ready or raise targets"));
    }
    group_config const& group = model.group;
    if (group.ranks * group.slots_per_rank < group.experts) {
        merged.faults.push_back(fault_at(merged, "/models/" + model.name + "/group/slots_per_rank",
                                         "the group has fewer slots than experts",
                                         "raise slots_per_rank or ranks"));
    }
}

config parse_intent(settings::IntentSettings const& source) {
    config intent;
    for (auto const& [name, route] : source.routes()) {
        intent.routes.emplace(name, parse_route(name, route));
    }
    for (auto const& [name, team] : source.teams()) {
        intent.teams.emplace(name, parse_team(name, team));
    }
    for (auto const& [name, model] : source.models()) {
        intent.models.emplace(name, parse_model(name, model));
    }
    for (auto const& [name, stop] : source.stops()) {
        intent.stops.emplace(name, stop.reason());
    }
    intent.limits = parse_limits(source.limits());
    return intent;
}

bool is_address(std::string const& text) {
    auto const colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == text.size()) {
        return false;
    }
    auto const port = text.substr(colon + 1);
    constexpr std::size_t port_digits = 5;
    constexpr int max_port = 65535;
    if (port.size() > port_digits || !std::all_of(port.begin(), port.end(), [](char digit) {
            return digit >= '0' && digit <= '9';
        })) {
        return false;
    }
    int const number = std::stoi(port);
    return number > 0 && number <= max_port;
}

void check_address(merged_json& merged, std::string const& path, std::string const& text) {
    if (!is_address(text)) {
        merged.faults.push_back(fault_at(merged, path, "\"" + text + "\" is no \"ip:port\"",
                                         "write it as \"10.0.0.5:7001\""));
    }
}

void check_process(merged_json& merged, process_config const& process, bool has_target) {
    check_address(merged, "/mailbox", process.mailbox);
    check_address(merged, "/http", process.http);
    for (std::size_t index = 0; index < process.seeds.size(); ++index) {
        check_address(merged, "/seeds/" + std::to_string(index), process.seeds[index]);
    }
    for (replica_config const& replica : process.control) {
        check_address(merged, "/control/" + replica.name + "/mailbox", replica.mailbox);
        check_address(merged, "/control/" + replica.name + "/http", replica.http);
    }
    if (has_target) {
        check_address(merged, "/target/engine", process.target.engine);
        if (process.target.group.empty() != process.target.ranks.empty() ||
            (!process.target.group.empty() && process.target.serves.empty())) {
            merged.faults.push_back(fault_at(merged, "/target/ranks",
                                             "group, ranks and serves belong together",
                                             "name the group, its ranks here and its model"));
        }
    }
}

process_config parse_process(settings::ProcessSettings const& source) {
    process_config process;
    process.name = source.name();
    process.zone = source.zone();
    process.mailbox = source.mailbox();
    process.http = source.http();
    process.seeds = {source.seeds().begin(), source.seeds().end()};
    std::map<std::string, settings::Replica> const ordered{source.control().begin(),
                                                           source.control().end()};
    for (auto const& [name, replica] : ordered) {
        process.control.push_back({name, replica.mailbox(), replica.http()});
    }
    process.data_folder = source.data_folder();
    process.target = {source.target().engine(),
                      {source.target().serves().begin(), source.target().serves().end()},
                      source.target().slots(),
                      source.target().tokens_per_second(),
                      source.target().checks_fence(),
                      source.target().cache_events(),
                      source.target().pauses_streams(),
                      source.target().group(),
                      {source.target().ranks().begin(), source.target().ranks().end()}};
    process.log_level = source.log_level();
    process.log_file = source.log_file();
    process.http_threads = source.http_threads();
    process.workers = source.workers();
    return process;
}

bool is_settings_name(std::string const& name) {
    return !name.empty() && name.front() != '.' && name.back() != '~';
}

result<std::string> read_settings_file(std::filesystem::path const& path) {
    std::error_code code;
    auto const size = std::filesystem::file_size(path, code);
    if (code || size > max_settings_file_bytes) {
        return fail(error_kind::invalid_settings,
                    path.filename().string() + " is no regular file of at most 1 MiB",
                    "replace it with a small regular file");
    }
    std::ifstream stream{path, std::ios::binary};
    std::string content{std::istreambuf_iterator<char>{stream}, std::istreambuf_iterator<char>{}};
    if (!stream || content.size() != size) {
        return fail(error_kind::invalid_settings, path.filename().string() + " cannot be read",
                    "check that the file exists and that this user may read it");
    }
    return content;
}

} // namespace

result<settings_files> read_settings_folder(std::string const& folder) {
    std::error_code code;
    std::filesystem::directory_iterator entries{folder, code};
    if (code) {
        return fail(error_kind::invalid_settings,
                    "folder " + folder + " cannot be read: " + code.message(),
                    "name an existing folder that this user may read");
    }
    settings_files files;
    for (auto const& entry : entries) {
        std::string const name = entry.path().filename().string();
        if (!is_settings_name(name)) {
            continue;
        }
        if (entry.path().extension() != ".json") {
            return fail(error_kind::invalid_settings, name + " does not end in .json",
                        "rename it to end in .json or move it out of the folder");
        }
        BOOST_OUTCOME_TRY(content, read_settings_file(entry.path()));
        files.emplace(name, std::move(content));
    }
    if (files.empty()) {
        return fail(error_kind::invalid_settings, "folder " + folder + " holds no .json file",
                    "add at least one settings file");
    }
    return files;
}

result<config> parse_config(settings_files const& files) {
    merged_json merged = merge_json_files(files);
    settings::IntentSettings message;
    fill_message(merged, message);
    if (!merged.faults.empty()) {
        return boost::outcome_v2::failure(faults_error(merged.faults));
    }
    config intent = parse_intent(message);
    for (auto const& [name, route] : intent.routes) {
        check_route(merged, intent, route);
    }
    for (auto const& [name, model] : intent.models) {
        check_model(merged, model);
    }
    if (!merged.faults.empty()) {
        return boost::outcome_v2::failure(faults_error(merged.faults));
    }
    return intent;
}

result<process_config> parse_process_config(settings_files const& files) {
    merged_json merged = merge_json_files(files);
    settings::ProcessSettings message;
    fill_message(merged, message);
    if (merged.faults.empty()) {
        process_config process = parse_process(message);
        check_process(merged, process, message.has_target());
        if (merged.faults.empty()) {
            return process;
        }
    }
    return boost::outcome_v2::failure(faults_error(merged.faults));
}

std::string settings_reference() {
    static constexpr char const* table_head =
        "| key | type | range | default | meaning |\n| --- | --- | --- | --- | --- |\n";
    std::string page =
        "# Settings\n\nGenerated from the schema by `fireflycrank settings`; the test "
        "suite compares this page with the schema.\n\n";
    page += "## The operators' folder\n\nIn force everywhere once a control majority has accepted "
            "it.\n\n";
    page += table_head + describe_fields(*settings::IntentSettings::descriptor(), "");
    page += "\n## The folder of one process\n\nRead once, when the process starts.\n\n";
    page += table_head + describe_fields(*settings::ProcessSettings::descriptor(), "");
    return page;
}

} // namespace fireflycrank
