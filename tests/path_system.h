// Runs a small system of real processes on loopback for the path tests.
#pragma once

#include "http.h"

#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace path_test {

// Starts and ends processes; everything that it started is ended by its destructor.
class system_under_test {
public:
    system_under_test();
    ~system_under_test();
    system_under_test(system_under_test const&) = delete;
    system_under_test& operator=(system_under_test const&) = delete;

    // Further arguments of the stand-in engines that are added from now on.
    void set_engine_arguments(std::vector<std::string> arguments);
    // Starts one stand-in engine and the agent before it.
    void add_target(std::string const& name, std::string const& serves, int token_ms = 2,
                    int slots = 8, std::vector<std::string> const& engine_options = {});
    // Starts one stand-in engine with lock-step ranks, and one agent for each list of ranks.
    void add_group(std::string const& name, std::string const& serves,
                   std::map<std::string, std::vector<unsigned>> const& agents);
    void add_entry(std::string const& name);
    void start_control(int replicas = 1);

    // Applies settings files and waits until they are in force; returns the exit code.
    int apply(std::map<std::string, std::string> const& files);
    // Waits until every entry serves and knows so many targets.
    bool wait_ready(int targets);

    // Runs the operator command; returns exit code and output.
    std::pair<int, std::string> operate(std::vector<std::string> const& arguments);

    void kill_process(std::string const& name);  // SIGKILL
    void stop_process(std::string const& name);  // SIGTERM
    void pause_process(std::string const& name); // SIGSTOP
    void start_again(std::string const& name);
    // Waits until a process has ended; the exit code, or nothing after the patience.
    std::optional<int> wait_exit(std::string const& name, int seconds = 20);

    fireflycrank::http_answer post(std::string const& entry, std::string const& route,
                                   std::string const& body, bool* whole = nullptr);
    fireflycrank::http_answer get(std::string const& process, std::string const& path);
    // How often a target's engine ran a body.
    int runs(std::string const& target, std::string const& body);
    int all_runs(std::string const& body);
    // A count of a target's prefix cache, for example "hit_blocks".
    int cache_count(std::string const& target, std::string const& name);
    // Whether agents poll the cache events of the models' engines; for targets added later.
    void use_cache_events(bool used) { cache_events_ = used; }
    // Polls until a condition holds; false after the patience.
    static bool eventually(std::function<bool()> const& condition, int seconds = 20);

    std::string http_of(std::string const& process) const;
    std::string control_list() const;
    std::string folder() const { return folder_; }
    // The last lines of a process's log, to print with a failed check.
    std::string log_end(std::string const& process) const;

private:
    struct process {
        std::vector<std::string> command;
        std::string http;
        pid_t pid{0};
    };
    void launch(std::string const& name);
    std::string write_settings(std::string const& name, std::string const& extra);
    static std::string free_address();

    std::string folder_;
    std::string bin_;
    std::map<std::string, process> processes_;
    std::map<std::string, std::string> mailboxes_;
    std::vector<std::string> entries_;
    std::vector<std::string> targets_;
    std::vector<std::string> engine_arguments_;
    std::string control_json_;
    std::string seeds_json_;
    bool cache_events_{true};
};

// A configuration with a model route, a resumable one, and an order route.
std::map<std::string, std::string> basic_settings();

} // namespace path_test
