#include "eventloop.h"

#include <sys/stat.h>

#include <csignal>

namespace fireflycrank {

namespace {

// There is no change notification on the platform; a changed file is seen within this time.
constexpr std::chrono::milliseconds file_check_period{1'000};
// deploy/system.toml names the same port and path.
constexpr char const* metrics_port = "9464";
constexpr char const* metrics_path = "/metrics";
constexpr unsigned ok_status = 200;
constexpr unsigned not_found = 404;

struct file_version {
    std::int64_t seconds{0};
    std::int64_t nanoseconds{0};
    std::int64_t size{0};
    bool operator==(file_version const&) const = default;
};

file_version version_of(std::string const& path) {
    struct stat found {};
    if (::stat(path.c_str(), &found) != 0) {
        return {};
    }
    return {found.st_mtim.tv_sec, found.st_mtim.tv_nsec, found.st_size};
}

void schedule(std::shared_ptr<net::steady_timer> const& timer, duration period,
              std::shared_ptr<std::function<bool()>> const& task) {
    timer->expires_after(period);
    timer->async_wait([timer, period, task](net_error failed) {
        if (!failed && (*task)()) {
            schedule(timer, period, task);
        }
    });
}

void wait_for_signal(std::shared_ptr<net::signal_set> const& signals,
                     std::shared_ptr<std::function<void(int)>> const& handler) {
    signals->async_wait([signals, handler](net_error failed, int number) {
        if (!failed) {
            (*handler)(number);
            wait_for_signal(signals, handler);
        }
    });
}

} // namespace

time_point loop_now(event_loop const& loop) {
    return now(loop.clock);
}

void run_every(event_loop& loop, duration period, std::function<bool()> task) {
    schedule(std::make_shared<net::steady_timer>(loop.context), period,
             std::make_shared<std::function<bool()>>(std::move(task)));
}

void run_after(event_loop& loop, duration delay, std::function<void()> task) {
    auto const timer = std::make_shared<net::steady_timer>(loop.context);
    timer->expires_after(delay);
    timer->async_wait([timer, task = std::move(task)](net_error failed) {
        if (!failed) {
            task();
        }
    });
}

void handle_signals(event_loop& loop, std::function<void()> on_stop,
                    std::function<void()> on_reload) {
    std::signal(SIGPIPE, SIG_IGN);
    auto const signals = std::make_shared<net::signal_set>(loop.context, SIGTERM, SIGINT, SIGHUP);
    wait_for_signal(signals, std::make_shared<std::function<void(int)>>(
                                 [on_stop = std::move(on_stop), on_reload = std::move(on_reload)](
                                     int number) { number == SIGHUP ? on_reload() : on_stop(); }));
}

void watch_file(event_loop& loop, std::string const& path, std::function<void()> on_change) {
    auto const seen = std::make_shared<file_version>(version_of(path));
    run_every(loop, file_check_period, [path, seen, on_change = std::move(on_change)] {
        auto const present = version_of(path);
        if (present != *seen && present != file_version{}) {
            *seen = present;
            on_change();
        }
        return true;
    });
}

void log_bounded(event_loop& loop, log_event_kind const& kind,
                 std::vector<log_field> const& fields) {
    auto& allowance = loop.logs;
    auto const at = loop_now(loop);
    if (at - allowance.second_began >= std::chrono::seconds{1}) {
        if (allowance.dropped > 0) {
            log_event(events::log_lines_dropped, {{"lines", allowance.dropped}});
        }
        allowance = {allowance.lines_per_second, at, 0, 0, 0};
    }
    auto& used = kind.level >= log_level::warn ? allowance.serious : allowance.ordinary;
    if (used >= allowance.lines_per_second) {
        ++allowance.dropped;
        return;
    }
    ++used;
    log_event(kind, fields);
}

result<std::shared_ptr<http_listener>> open_metrics(event_loop& loop, vm_settings const& settings,
                                                    std::shared_ptr<metrics_registry> registry,
                                                    request_handler others) {
    auto const serve = [registry = std::move(registry), others = std::move(others)](
                           incoming_request const& request,
                           std::shared_ptr<response_writer> const& writer) {
        if (request.head.target != metrics_path && others) {
            others(request, writer);
            return;
        }
        if (request.head.target != metrics_path) {
            writer->send(not_found, {}, {});
            return;
        }
        set_gauge(*registry, "fireflycrank_log_lines_dropped", "",
                  static_cast<double>(dropped_log_lines()));
        writer->send(ok_status, {{"Content-Type", "text/plain; version=0.0.4"}},
                     render_metrics(*registry));
    };
    return http_listener::open(loop.context, settings.ip + ":" + metrics_port, loop.clock, serve,
                               loop.admission);
}

void limit_outsiders(event_loop& loop, vm_settings const& settings) {
    auto const limits = limits_of_process(settings.memory_bytes, settings.file_descriptors);
    loop.admission->budget.limits = limits;
    if (limits.bytes > 0) {
        return_large_blocks();
    }
    log_event(events::outsider_limits, {{"bytes", limits.bytes},
                                        {"connections", limits.connections},
                                        {"socket_buffer", limits.socket_buffer}});
}

void report_outsiders(event_loop& loop, metrics_registry& registry) {
    auto const& admission = *loop.admission;
    set_gauge(registry, "fireflycrank_held_bytes", "", static_cast<double>(admission.budget.held));
    set_gauge(registry, "fireflycrank_connections", "",
              static_cast<double>(admission.connections()));
    for (auto const& [reason, total] : admission.refusals()) {
        auto& reported = loop.reported_refusals[reason];
        if (reported == total) {
            continue;
        }
        auto const labels = "reason=\"" + reason + "\"";
        count(registry, "fireflycrank_outsiders_refused_total", labels,
              static_cast<double>(total - reported));
        log_bounded(loop,
                    reason == "no_connection_free" || reason == "connection_closed"
                        ? events::connections_refused
                        : events::requests_refused,
                    {{"reason", reason},
                     {"count", total - reported},
                     {"held_bytes", admission.budget.held},
                     {"connections", admission.connections()}});
        reported = total;
    }
}

double in_millis(duration span) {
    constexpr double per_unit = 100.0; // two decimals
    auto const millis = std::chrono::duration<double, std::milli>{span}.count();
    return static_cast<double>(static_cast<std::int64_t>(millis * per_unit)) / per_unit;
}

} // namespace fireflycrank
