#include "daemonbase.h"

#include "http.h"
#include "runtime.h"
#include "settings.h"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <iostream>

namespace fireflycrank {

namespace {

constexpr int settings_refused_exit = 2;

result<process_config> read_process_settings(std::string const& folder) {
    BOOST_OUTCOME_TRY(files, read_settings_folder(folder));
    return parse_process_config(files);
}

} // namespace

int run_daemon(
    int argc, char** argv, std::string const& description, bool is_control,
    std::function<result<daemon_state>(process_config const&, daemon_switches const&)> const& run) {
    CLI::App app{description};
    std::string folder;
    bool check_only = false;
    app.add_option("--settings", folder, "folder with this process's settings")->required();
    app.add_flag("--check", check_only, "check the settings and exit");
    daemon_switches switches;
    if (is_control) {
        app.add_flag("--force-sole-member", switches.force_sole_member,
                     "make this replica the only member, after the majority is lost for good");
    }
    CLI11_PARSE(app, argc, argv);

    auto const settings = read_process_settings(folder);
    if (!settings) {
        std::cerr << describe(settings.error()) << '\n';
        return settings_refused_exit;
    }
    if (check_only) {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    block_stop_signals();
    auto const log = open_log(settings.value().log_level, settings.value().log_file);
    if (!log) {
        std::cerr << describe(log.error()) << '\n';
        return settings_refused_exit;
    }
    start_http_threads(settings.value().http_threads);
    auto const outcome = run(settings.value(), switches);
    if (!outcome) {
        log_event(events::process_failed, {{"error", describe(outcome.error())}});
        std::cerr << describe(outcome.error()) << '\n';
    }
    flush_log();
    // Threads of the HTTP library may still run; leaving without static destructors avoids races
    // between them and the library's own tear-down.
    std::cout.flush();
    std::_Exit(outcome ? EXIT_SUCCESS : EXIT_FAILURE);
}

std::uint64_t make_incarnation(wall_time wall) {
    return static_cast<std::uint64_t>(wall.time_since_epoch().count());
}

void publish_news(mailbox& box, fleet_news const& news) {
    for (fleet_outgoing const& outgoing : news.send) {
        box.send(outgoing.address, outgoing.message.type, outgoing.message.body);
    }
    for (fleet_log const& line : news.logs) {
        log_event(*line.kind, line.fields);
    }
}

void export_mailbox_counters(mailbox const& box, metrics_registry& metrics) {
    mailbox_counters const counters = box.counters();
    set_gauge(metrics, "fireflycrank_mailbox_sent_messages", "",
              static_cast<double>(counters.sent));
    set_gauge(metrics, "fireflycrank_mailbox_sent_bytes", "",
              static_cast<double>(counters.sent_bytes));
    set_gauge(metrics, "fireflycrank_mailbox_received_messages", "",
              static_cast<double>(counters.received));
    set_gauge(metrics, "fireflycrank_mailbox_received_bytes", "",
              static_cast<double>(counters.received_bytes));
    set_gauge(metrics, "fireflycrank_mailbox_dropped_messages", "",
              static_cast<double>(counters.dropped));
    set_gauge(metrics, "fireflycrank_mailbox_malformed_messages", "",
              static_cast<double>(counters.malformed));
}

} // namespace fireflycrank
