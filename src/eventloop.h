/// @file
/// What the daemons with one event loop share: loop, clock, periodic work, stop signals, settings
/// that are read again, and a bounded log.
#pragma once

#include "bodyadmission.h"
#include "clock.h"
#include "events.h"
#include "httplistener.h"
#include "log.h"
#include "metrics.h"
#include "netio.h"
#include "vmsettings.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fireflycrank {

/// Reads the settings; the platform's adapter provides it.
using settings_source = std::function<result<vm_settings>()>;

/// Limits the lines of ordinary outcomes, so that a flood of requests does not become a flood of
/// log lines. Warnings and errors have an allowance of their own.
struct log_allowance {
    std::uint64_t lines_per_second{400}; ///< of each of the two kinds
    time_point second_began{};
    std::uint64_t ordinary{0};
    std::uint64_t serious{0};
    std::uint64_t dropped{0};
};

/// An event loop with its clock.
struct event_loop {
    event_loop() { clock.counts_suspension = true; }
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;

    net::io_context context{1};
    runtime_clock clock;
    log_allowance logs;
    /// What outsiders hold at all listeners of the process.
    std::shared_ptr<body_admission> admission{std::make_shared<body_admission>()};
    std::map<std::string, std::uint64_t> reported_refusals; ///< by reason, as last logged
};

/// Sets the limits of what outsiders hold, from those of the process.
/// @param loop the loop
/// @param settings the VM
void limit_outsiders(event_loop& loop, vm_settings const& settings);

/// Publishes what outsiders hold and who was refused, and logs what changed since the last call.
/// @param loop the loop
/// @param registry the metrics
void report_outsiders(event_loop& loop, metrics_registry& registry);

/// The time.
/// @param loop the loop
/// @return the monotonic time
time_point loop_now(event_loop const& loop);

/// Runs a task again and again.
/// @param loop the loop
/// @param period time between two runs
/// @param task the task; returns false to end
void run_every(event_loop& loop, duration period, std::function<bool()> task);

/// Runs a task once after a delay.
/// @param loop the loop
/// @param delay the delay
/// @param task the task
void run_after(event_loop& loop, duration delay, std::function<void()> task);

/// Calls handlers on SIGTERM or SIGINT, and on SIGHUP. SIGPIPE is ignored.
/// @param loop the loop
/// @param on_stop called at each stop signal
/// @param on_reload called at each SIGHUP
void handle_signals(event_loop& loop, std::function<void()> on_stop,
                    std::function<void()> on_reload);

/// Calls a handler when a file's content was replaced, without any signal.
/// @param loop the loop
/// @param path the file
/// @param on_change the handler
void watch_file(event_loop& loop, std::string const& path, std::function<void()> on_change);

/// Writes a log event unless the second's allowance is used up.
/// @param loop the loop
/// @param kind the event
/// @param fields its fields
void log_bounded(event_loop& loop, log_event_kind const& kind,
                 std::vector<log_field> const& fields);

/// Serves the metrics of a process on its VM's address, where the platform collects them.
/// @param loop the loop
/// @param settings the VM
/// @param registry the metrics
/// @param others serves requests for other paths; empty: these are answered with 404
/// @return the listener; `unavailable` if the port is taken
result<std::shared_ptr<http_listener>> open_metrics(event_loop& loop, vm_settings const& settings,
                                                    std::shared_ptr<metrics_registry> registry,
                                                    request_handler others = {});

/// A time span as a number of milliseconds, for log fields.
double in_millis(duration span);

} // namespace fireflycrank
