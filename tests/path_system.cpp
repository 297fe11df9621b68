#include "path_system.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace path_test {

using namespace fireflycrank;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds poll_pause{20};

void signal_process(pid_t pid, int signal) {
    if (pid > 0) {
        kill(pid, signal);
    }
}

} // namespace

system_under_test::system_under_test() {
    std::string pattern = std::filesystem::temp_directory_path() / "fireflycrank-path-XXXXXX";
    folder_ = mkdtemp(pattern.data());
    char const* bin = std::getenv("FIREFLYCRANK_BIN");
    bin_ = bin == nullptr ? "." : bin;
}

system_under_test::~system_under_test() {
    for (auto& [name, entry] : processes_) {
        signal_process(entry.pid, SIGKILL);
        if (entry.pid > 0) {
            waitpid(entry.pid, nullptr, 0);
        }
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

// Never given out twice, and outside of 127.0.0.1 and the ports that the system gives to sockets:
// there, tests that run beside this one could take the address of a process that is not started
// yet, or is down.
std::string system_under_test::free_address() {
    constexpr int first_network = 200;
    constexpr int networks = 50;
    constexpr int hosts = 250;
    constexpr int first_port = 20'000;
    static std::string const ip = "127." + std::to_string(first_network + getpid() % networks) +
                                  "." + std::to_string(getpid() / networks % hosts) + ".1:";
    static int given = 0;
    return ip + std::to_string(first_port + given++);
}

std::string system_under_test::write_settings(std::string const& name, std::string const& extra) {
    std::string folder = folder_ + "/" + name;
    std::filesystem::create_directories(folder);
    std::string const http = free_address();
    if (!mailboxes_.contains(name)) {
        mailboxes_[name] = free_address();
    }
    std::ofstream{folder + "/10-process.json"}
        << R"({"name":")" << name << R"(","zone":"a","mailbox":")" << mailboxes_[name]
        << R"(","http":")" << (processes_[name].http.empty() ? http : processes_[name].http)
        << R"(","log_file":")" << folder_ << "/" << name << R"(.log","seeds":[)" << seeds_json_
        << R"(],"control":)" << control_json_ << extra << "}";
    if (processes_[name].http.empty()) {
        processes_[name].http = http;
    }
    return folder;
}

void system_under_test::launch(std::string const& name) {
    process& entry = processes_[name];
    std::vector<char*> arguments;
    for (std::string& part : entry.command) {
        arguments.push_back(part.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    std::string const errors = folder_ + "/" + name + ".err";
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errors.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, errors.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    int const failure =
        posix_spawn(&entry.pid, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    REQUIRE(failure == 0);
}

void system_under_test::start_control(int replicas) {
    json control = json::object();
    for (int number = 1; number <= replicas; ++number) {
        std::string const name = "c" + std::to_string(number);
        mailboxes_[name] = free_address();
        processes_[name].http = free_address();
        control[name] = {{"mailbox", mailboxes_[name]}, {"http", processes_[name].http}};
    }
    control_json_ = control.dump();
    mailboxes_["entry-1"] = free_address();
    seeds_json_ = "\"" + mailboxes_["entry-1"] + "\"";
    for (auto const& [name, addresses] : control.items()) {
        std::string const folder =
            write_settings(name, R"(,"data_folder":")" + folder_ + "/data-" + name + "\"");
        processes_[name].command = {bin_ + "/fireflycrank-control", "--settings", folder};
        launch(name);
    }
}

void system_under_test::add_entry(std::string const& name) {
    std::string const folder = write_settings(name, "");
    processes_[name].command = {bin_ + "/fireflycrank-entry", "--settings", folder};
    entries_.push_back(name);
    launch(name);
}

void system_under_test::set_engine_arguments(std::vector<std::string> arguments) {
    engine_arguments_ = std::move(arguments);
}

void system_under_test::add_target(std::string const& name, std::string const& serves, int token_ms,
                                   int slots, std::vector<std::string> const& engine_options) {
    std::string const engine = name + "-engine";
    processes_[engine].http = free_address();
    processes_[engine].command = {bin_ + "/standin-engine",
                                  "--name",
                                  name,
                                  "--address",
                                  processes_[engine].http,
                                  "--token-ms",
                                  std::to_string(token_ms)};
    auto const at = serves.find('@');
    bool const is_model = at != std::string::npos;
    auto& command = processes_[engine].command;
    if (is_model) {
        command.insert(command.end(),
                       {"--model", serves.substr(0, at), "--model-version", serves.substr(at + 1)});
    }
    command.insert(command.end(), engine_options.begin(), engine_options.end());
    command.insert(command.end(), engine_arguments_.begin(), engine_arguments_.end());
    launch(engine);
    std::string const folder = write_settings(
        name, R"(,"target":{"engine":")" + processes_[engine].http + R"(","serves":[")" + serves +
                  R"("],"slots":)" + std::to_string(slots) +
                  (is_model && cache_events_ ? R"(,"cache_events":true)" : "") +
                  (is_model ? R"(,"pauses_streams":true})" : "}"));
    processes_[name].command = {bin_ + "/fireflycrank-agent", "--settings", folder};
    targets_.push_back(name);
    launch(name);
}

void system_under_test::add_group(std::string const& name, std::string const& serves,
                                  std::map<std::string, std::vector<unsigned>> const& agents) {
    std::string const engine = name + "-engine";
    processes_[engine].http = free_address();
    std::vector<std::string> command{bin_ + "/standin-engine", "--name", name, "--address",
                                     processes_[engine].http};
    for (auto const& [agent, ranks] : agents) {
        json const target{{"engine", processes_[engine].http},
                          {"serves", {serves}},
                          {"group", name},
                          {"ranks", ranks}};
        std::string const folder = write_settings(agent, ",\"target\":" + target.dump());
        processes_[agent].command = {bin_ + "/fireflycrank-agent", "--settings", folder};
        for (unsigned const rank : ranks) {
            command.insert(command.end(), {"--gate", std::to_string(rank), http_of(agent)});
        }
        launch(agent);
    }
    processes_[engine].command = std::move(command);
    launch(engine);
}

std::string system_under_test::http_of(std::string const& process) const {
    return processes_.at(process).http;
}

std::string system_under_test::control_list() const {
    std::string list;
    json const control = json::parse(control_json_);
    for (auto const& [name, addresses] : control.items()) {
        list += (list.empty() ? "" : ",") + addresses.at("http").get<std::string>();
    }
    return list;
}

std::pair<int, std::string> system_under_test::operate(std::vector<std::string> const& arguments) {
    std::string command = bin_ + "/fireflycrank";
    for (std::string const& argument : arguments) {
        command += " '" + argument + "'";
    }
    std::string output;
    FILE* pipe = popen((command + " 2>&1").c_str(), "r");
    std::array<char, 4096> buffer{};
    while (std::fgets(buffer.data(), static_cast<int>(buffer.size()), pipe) != nullptr) {
        output += buffer.data();
    }
    int const status = pclose(pipe);
    return {WEXITSTATUS(status), output};
}

int system_under_test::apply(std::map<std::string, std::string> const& files) {
    std::string const folder = folder_ + "/intent";
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    for (auto const& [name, content] : files) {
        std::ofstream{std::filesystem::path{folder} / name} << content;
    }
    return operate(
               {"apply", folder, "--control", control_list(), "--operator", "test", "--wait", "16"})
        .first;
}

bool system_under_test::eventually(std::function<bool()> const& condition, int seconds) {
    auto const give_up = std::chrono::steady_clock::now() + std::chrono::seconds{seconds};
    while (!condition()) {
        if (std::chrono::steady_clock::now() > give_up) {
            return false;
        }
        std::this_thread::sleep_for(poll_pause);
    }
    return true;
}

bool system_under_test::wait_ready(int targets) {
    std::string const wanted = "fireflycrank_targets " + std::to_string(targets) + "\n";
    return eventually([&] {
        for (std::string const& entry : entries_) {
            std::string const metrics = get(entry, "/metrics").body;
            if (metrics.find(wanted) == std::string::npos ||
                metrics.find("fireflycrank_serving 1") == std::string::npos ||
                metrics.find("fireflycrank_orders_possible 1") == std::string::npos) {
                return false;
            }
        }
        return true;
    });
}

void system_under_test::kill_process(std::string const& name) {
    signal_process(processes_.at(name).pid, SIGKILL);
    waitpid(processes_.at(name).pid, nullptr, 0);
    processes_.at(name).pid = 0;
}

void system_under_test::stop_process(std::string const& name) {
    signal_process(processes_.at(name).pid, SIGTERM);
}

void system_under_test::pause_process(std::string const& name) {
    signal_process(processes_.at(name).pid, SIGSTOP);
}

void system_under_test::start_again(std::string const& name) {
    launch(name);
}

std::string system_under_test::log_end(std::string const& process) const {
    constexpr std::size_t shown = 2'000; // bytes, some ten lines
    std::ifstream file{folder_ + "/" + process + ".log"};
    std::string const text{std::istreambuf_iterator<char>{file}, {}};
    return text.substr(text.size() - std::min(text.size(), shown));
}

std::optional<int> system_under_test::wait_exit(std::string const& name, int seconds) {
    pid_t& pid = processes_.at(name).pid;
    int status = 0;
    bool const ended = eventually([&] { return waitpid(pid, &status, WNOHANG) == pid; }, seconds);
    if (!ended) {
        return std::nullopt;
    }
    pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

http_answer system_under_test::post(std::string const& entry, std::string const& route,
                                    std::string const& body, bool* whole) {
    http_client_request request;
    request.method = "POST";
    request.address = http_of(entry);
    request.path = "/v1/routes/" + route;
    request.body = body;
    request.timeout = std::chrono::seconds{60};
    auto const answer = call_http(request);
    if (whole != nullptr) {
        *whole = answer.has_value();
    }
    return answer ? answer.value() : http_answer{};
}

http_answer system_under_test::get(std::string const& process, std::string const& path) {
    http_client_request request;
    request.address = http_of(process);
    request.path = path;
    request.timeout = std::chrono::seconds{5};
    auto const answer = call_http(request);
    return answer ? answer.value() : http_answer{};
}

int system_under_test::runs(std::string const& target, std::string const& body) {
    json const counts = json::parse(get(target + "-engine", "/runs").body, nullptr, false);
    return counts.is_object() ? counts.at("runs").value(body, 0) : 0;
}

int system_under_test::all_runs(std::string const& body) {
    int sum = 0;
    for (std::string const& target : targets_) {
        sum += runs(target, body);
    }
    return sum;
}

int system_under_test::cache_count(std::string const& target, std::string const& name) {
    json const counts = json::parse(get(target + "-engine", "/runs").body, nullptr, false);
    return counts.is_object() ? counts.at("cache").value(name, 0) : 0;
}

std::map<std::string, std::string> basic_settings() {
    return {{"10-teams.json", R"({"teams":{"clerks":{"weight":1}}})"},
            {"20-models.json", R"({"models":{"fude":{"version":"1"}}})"},
            {"30-routes.json", R"({"routes":{
                "draft":{"kind":"model","serves":"fude","idempotent":true,"default_team":"clerks",
                         "max_body_bytes":4096},
                "resume":{"kind":"model","serves":"fude","idempotent":true,"resumable":true,
                          "default_team":"clerks"},
                "print":{"kind":"service","serves":"press","path":"/print","idempotent":false,
                         "order_key":{"source":"json","name":"order"},"default_team":"clerks",
                         "deadline_ms":8000}}})"},
            {"40-limits.json", R"({"limits":{"address_ttl_ms":500,"retry_budget":1}})"}};
}

} // namespace path_test
