#include "benchrun.h"
#include "digest.h"
#include "explain.h"
#include "http.h"
#include "operatorclient.h"
#include "settings.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

namespace {

using namespace fireflycrank;
using nlohmann::json;

// Exit codes, as docs/OPERATORS.md lists them.
constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_refused = 2;
constexpr int exit_conflict = 3;
constexpr int exit_not_in_force = 4;

struct operator_options {
    std::vector<std::string> control{"127.0.0.1:8081"};
    std::string folder;
    std::string operator_name;
    std::string change_id;
    std::string name;
    std::string reason{"planned stop"};
    std::int64_t base{-1};
    double wait_seconds{0};
    bool dry_run{false};
    bool as_json{false};
    std::uint64_t seed{1};
    std::vector<std::string> only;
    std::vector<std::string> logs;
};

int report(error const& failure, operator_options const& options) {
    if (options.as_json) {
        std::cout << json{{"error", name_of(failure.kind)},
                          {"message", failure.message},
                          {"remedy", failure.remedy}}
                         .dump()
                  << '\n';
    } else {
        std::cerr << describe(failure) << '\n';
    }
    return failure.kind == error_kind::invalid_settings ||
                   failure.kind == error_kind::invalid_request
               ? exit_refused
               : exit_failed;
}

// Reads and checks a folder; the whole merged result must be valid.
result<settings_files> read_checked_folder(std::string const& folder) {
    BOOST_OUTCOME_TRY(files, read_settings_folder(folder));
    auto const parsed = parse_config(files);
    if (!parsed) {
        return boost::outcome_v2::failure(parsed.error());
    }
    return files;
}

std::string fresh_change_id() {
    std::random_device entropy;
    return sha256_fields(
               {std::to_string(entropy()), std::to_string(entropy()), std::to_string(entropy())})
        .substr(0, 24);
}

void print_differences(std::vector<settings_difference> const& differences) {
    for (settings_difference const& entry : differences) {
        std::cout << entry.sign << ' ' << entry.path;
        if (!entry.before.empty()) {
            std::cout << "  was " << entry.before;
        }
        if (!entry.after.empty()) {
            std::cout << "  now " << entry.after;
        }
        std::cout << '\n';
    }
}

int wait_for_revision(operator_options const& options, std::uint64_t revision) {
    auto const patience =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(options.wait_seconds));
    auto const lacking = wait_in_force(options.control, revision, patience);
    if (!lacking) {
        return report(lacking.error(), options);
    }
    if (lacking.value().empty()) {
        std::cout << "revision " << revision << " is in force on every live daemon\n";
        return exit_ok;
    }
    std::cout << "revision " << revision << " is accepted, but not yet in force on:";
    for (std::string const& name : lacking.value()) {
        std::cout << ' ' << name;
    }
    std::cout << '\n';
    return exit_not_in_force;
}

int print_change(operator_options const& options, change_result const& outcome,
                 std::string const& change_id) {
    if (options.as_json) {
        std::cout << json{{"outcome", outcome.outcome},
                          {"revision", outcome.revision},
                          {"change_id", change_id},
                          {"winner_operator", outcome.winner_operator},
                          {"winner_change_id", outcome.winner_change_id}}
                         .dump()
                  << '\n';
    } else if (outcome.outcome == "accepted") {
        std::cout << "accepted as revision " << outcome.revision << " (change " << change_id
                  << ")\n";
    } else {
        std::cout << outcome.outcome << ": the revision is " << outcome.revision;
        if (!outcome.winner_operator.empty()) {
            std::cout << ", set by " << outcome.winner_operator << " in change "
                      << outcome.winner_change_id;
        }
        std::cout << "; read the present configuration and apply your edit to it\n";
    }
    return outcome.outcome == "accepted" ? exit_ok : exit_conflict;
}

// Sends files as a change on the present revision, or on the one that the operator names.
int submit_files(operator_options const& options, control_config const& present,
                 settings_files const& files) {
    change_request change;
    change.base_revision =
        options.base >= 0 ? static_cast<std::uint64_t>(options.base) : present.revision;
    change.change_id = options.change_id.empty() ? fresh_change_id() : options.change_id;
    change.operator_name = options.operator_name;
    change.files = files;
    if (!options.as_json) {
        std::cout << "change " << change.change_id << " on revision " << change.base_revision
                  << '\n';
    }
    auto const outcome = send_change(options.control, change);
    if (!outcome) {
        std::cerr << "the outcome of change " << change.change_id
                  << " is not known; send it again with --change-id\n";
        return report(outcome.error(), options);
    }
    int const code = print_change(options, outcome.value(), change.change_id);
    if (code != exit_ok || options.wait_seconds <= 0) {
        return code;
    }
    return wait_for_revision(options, outcome.value().revision);
}

int run_check(operator_options const& options) {
    auto const files = read_checked_folder(options.folder);
    if (!files) {
        return report(files.error(), options);
    }
    std::cout << files.value().size() << " files are valid\n";
    return exit_ok;
}

int run_apply(operator_options const& options) {
    auto const files = read_checked_folder(options.folder);
    if (!files) {
        return report(files.error(), options);
    }
    auto const present = read_control_config(options.control);
    if (!present) {
        return report(present.error(), options);
    }
    auto const differences = compare_settings(present.value().files, files.value());
    if (!options.as_json) {
        print_differences(differences);
    }
    if (options.dry_run) {
        return exit_ok;
    }
    if (differences.empty() && options.change_id.empty()) {
        std::cout << "nothing to change: revision " << present.value().revision
                  << " holds these settings\n";
        return options.wait_seconds > 0 ? wait_for_revision(options, present.value().revision)
                                        : exit_ok;
    }
    return submit_files(options, present.value(), files.value());
}

int run_stop(operator_options const& options, std::string const& reason) {
    auto const present = read_control_config(options.control);
    if (!present) {
        return report(present.error(), options);
    }
    auto const files = with_planned_stop(present.value().files, options.name, reason);
    if (!files) {
        return report(files.error(), options);
    }
    return submit_files(options, present.value(), files.value());
}

int run_show(operator_options const& options, std::string const& path) {
    auto const body = get_from_control(options.control, path);
    if (!body) {
        return report(body.error(), options);
    }
    json const parsed = json::parse(body.value(), nullptr, false);
    std::cout << (options.as_json || parsed.is_discarded() ? body.value() : parsed.dump(2) + "\n");
    return exit_ok;
}

int run_action(operator_options const& options, std::string const& path) {
    auto const body =
        send_operator_action(options.control, path, options.name, options.operator_name);
    if (!body) {
        return report(body.error(), options);
    }
    std::cout << body.value();
    return json::parse(body.value(), nullptr, false).value("outcome", "") == "accepted"
               ? exit_ok
               : exit_refused;
}

int run_bench_command(operator_options const& options) {
    auto const results = run_bench(options.seed, options.only);
    for (bench_result const& figure : results) {
        if (options.as_json) {
            std::cout << bench_json(figure) << '\n';
        } else {
            std::cout << figure.name << ' ' << figure.value << ' ' << figure.unit << " (baseline "
                      << figure.baseline << ", target " << figure.target << ", "
                      << (figure.holds ? "holds" : "falls short") << ")\n";
        }
    }
    std::cout << "signature " << bench_signature(results) << '\n';
    return exit_ok;
}

int run_explain(operator_options const& options) {
    log_collection collected;
    for (std::string const& path : options.logs) {
        std::ifstream file{path};
        if (!file) {
            std::cerr << "cannot read the log " << path << "; name a file that exists\n";
            return exit_refused;
        }
        read_log(collected, std::filesystem::path{path}.stem().string(), file);
    }
    if (options.logs.empty()) {
        read_log(collected, "stdin", std::cin);
    }
    if (collected.unreadable > 0) {
        std::cerr << collected.unreadable << " lines are no log events and were left out\n";
    }
    auto const story = explain_request(std::move(collected.lines), options.name);
    if (story.empty()) {
        std::cerr << "no line names " << options.name
                  << "; give the logs of all gateways or entries of that time, and look for "
                     "log_lines_dropped in them\n";
        return exit_failed;
    }
    std::cout << render_story(story);
    return exit_ok;
}

void add_control_option(CLI::App& command, operator_options& options) {
    command.add_option("--control", options.control, "HTTP addresses of control replicas, ip:port")
        ->delimiter(',')
        ->capture_default_str();
}

void add_change_options(CLI::App& command, operator_options& options) {
    add_control_option(command, options);
    command.add_option("--operator", options.operator_name, "your name, for conflicts and logs")
        ->required();
    command.add_option(
        "--change-id", options.change_id,
        "id of an earlier try whose answer was lost; the first answer is given again");
    command.add_option("--base", options.base,
                       "revision that was edited (default: the present one)");
    command.add_option("--wait", options.wait_seconds,
                       "seconds to wait until every live daemon has the revision");
    command.add_flag("--json", options.as_json, "JSON output");
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Operates a fireflycrank system"};
    app.require_subcommand(1);
    operator_options options;
    constexpr unsigned threads = 2;
    start_http_threads(threads);

    auto* check = app.add_subcommand("check", "check a settings folder");
    check->add_option("folder", options.folder, "the folder")->required();
    check->add_flag("--json", options.as_json, "JSON output");
    auto* apply =
        app.add_subcommand("apply", "show the difference and put a settings folder in force");
    apply->add_option("folder", options.folder, "the folder")->required();
    apply->add_flag("--dry-run", options.dry_run, "show the difference only");
    add_change_options(*apply, options);
    auto* drain = app.add_subcommand("drain", "plan the stop of a target or entry");
    drain->add_option("name", options.name, "target or entry")->required();
    drain->add_option("--reason", options.reason, "why")->capture_default_str();
    add_change_options(*drain, options);
    auto* undrain = app.add_subcommand("undrain", "take back a planned stop");
    undrain->add_option("name", options.name, "target or entry")->required();
    add_change_options(*undrain, options);
    auto* show = app.add_subcommand("show", "show the system's state");
    show->require_subcommand(1);
    auto* show_config = show->add_subcommand("config", "the configuration in force");
    auto* show_status = show->add_subcommand("status", "a control replica");
    auto* show_members = show->add_subcommand("members", "the live daemons and what they lack");
    auto* show_placement = show->add_subcommand("placement", "target orders and rollouts");
    for (auto* command : {show_config, show_status, show_members, show_placement}) {
        add_control_option(*command, options);
        command->add_flag("--json", options.as_json, "JSON output");
    }
    auto* show_order = show->add_subcommand("order", "the claim of an order");
    show_order->add_option("key", options.name, "key from the entry's event 301")->required();
    auto* show_quarantine = show->add_subcommand("quarantine", "requests that crashed targets");
    for (auto* command : {show_order, show_quarantine}) {
        add_control_option(*command, options);
        command->add_flag("--json", options.as_json, "JSON output");
    }
    auto* prune = app.add_subcommand(
        "prune", "remove the claim of an ended order, so that its key may run again");
    prune->add_option("key", options.name, "key from the entry's event 301")->required();
    auto* release = app.add_subcommand("release", "release a request from quarantine");
    release->add_option("key", options.name, "key from show quarantine")->required();
    for (auto* command : {prune, release}) {
        add_control_option(*command, options);
        command->add_option("--operator", options.operator_name, "your name, for the logs")
            ->required();
    }
    auto* explain =
        app.add_subcommand("explain", "tell the story of one request from processes' logs");
    explain->add_option("id", options.name, "the request's id")->required();
    explain->add_option("logs", options.logs, "logs of any processes; standard input without any");
    auto* settings = app.add_subcommand("settings", "print the reference of all settings");
    auto* bench = app.add_subcommand("bench", "measure; the last line is the signature");
    bench->add_option("--seed", options.seed, "seed of all random choices")->capture_default_str();
    bench->add_option("--only", options.only, "names of figures")->delimiter(',');
    bench->add_flag("--json", options.as_json, "JSON lines");
    CLI11_PARSE(app, argc, argv);

    int code = exit_ok;
    if (*check) {
        code = run_check(options);
    } else if (*apply) {
        code = run_apply(options);
    } else if (*drain) {
        code = run_stop(options, options.reason);
    } else if (*undrain) {
        code = run_stop(options, "");
    } else if (*show_config) {
        code = run_show(options, "/v1/config");
    } else if (*show_status) {
        code = run_show(options, "/v1/status");
    } else if (*show_members) {
        code = run_show(options, "/v1/members");
    } else if (*show_placement) {
        code = run_show(options, "/v1/placement");
    } else if (*show_order) {
        code = run_show(options, "/v1/orders?key=" + options.name);
    } else if (*show_quarantine) {
        code = run_show(options, "/v1/quarantine");
    } else if (*prune) {
        code = run_action(options, "/v1/orders/prune");
    } else if (*release) {
        code = run_action(options, "/v1/quarantine/release");
    } else if (*explain) {
        code = run_explain(options);
    } else if (*settings) {
        std::cout << settings_reference();
    } else if (*bench) {
        code = run_bench_command(options);
    }
    std::cout.flush();
    // The HTTP library's threads may still run; see run_daemon.
    std::_Exit(code);
}
