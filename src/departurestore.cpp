#include "departurestore.h"

#include "events.h"
#include "log.h"

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <algorithm>
#include <utility>

namespace fireflycrank {

namespace {

// Confirmations of one departure that wait for its sync. Notices of it are repeated a few times.
constexpr std::size_t most_waiting = 32;

struct waiting_departure {
    stored_departure departure;
    std::vector<std::function<void()>> on_durable;
};

std::vector<target_announcement> targets_of(departure_ledger const& ledger) {
    std::vector<target_announcement> targets;
    for (auto const& [id, departure] : ledger.departures) {
        targets.push_back(departure.target);
    }
    return targets;
}

// Whether a departure that waits for its sync makes another record needless.
bool is_queued_as(waiting_departure const& waiting, target_announcement const& target) {
    auto const& queued = waiting.departure.target;
    return queued.id == target.id && queued.started_at == target.started_at &&
           queued.state >= target.state;
}

} // namespace

// `log` belongs to the thread while `busy`; all else to the event loop.
struct departure_store::implementation : std::enable_shared_from_this<implementation> {
    implementation(net::io_context& context, file_layer layer, std::string path,
                   departure_log_settings bounds)
        : loop{&context}, files{std::move(layer)}, folder{std::move(path)}, settings{bounds} {}

    net::io_context* loop;
    file_layer files;
    std::string folder;
    departure_log_settings settings;
    departure_log log;
    departure_ledger durable;
    std::vector<waiting_departure> in_flight;
    std::vector<waiting_departure> next;
    bool busy{false};
    bool usable{false};
    net::thread_pool thread{1};

    // Runs blocking work on the thread, then the rest on the event loop.
    template <class blocking, class finishing>
    void run(blocking work, finishing finish) {
        busy = true;
        net::post(thread, [this, work = std::move(work), finish = std::move(finish)]() mutable {
            auto done = work();
            net::post(*loop, [weak = weak_from_this(), finish = std::move(finish),
                              done = std::move(done)]() mutable {
                if (auto const self = weak.lock()) {
                    self->busy = false;
                    finish(std::move(done));
                }
            });
        });
    }

    void write_next() {
        if (busy || !usable || next.empty()) {
            return;
        }
        in_flight = std::exchange(next, {});
        std::vector<stored_departure> added;
        added.reserve(in_flight.size());
        for (auto const& one : in_flight) {
            added.push_back(one.departure);
        }
        run([this, added] { return write_departures(log, added, settings); },
            [this](result<bool> const& written) { finish_write(written); });
    }

    void finish_write(result<bool> const& written) {
        auto batch = std::exchange(in_flight, {});
        if (!written) {
            fail_with(written.error());
            next.insert(next.begin(), std::make_move_iterator(batch.begin()),
                        std::make_move_iterator(batch.end()));
            return;
        }
        for (auto const& one : batch) {
            add_departure(durable, one.departure, settings);
        }
        // Before the callbacks, which may record more: a rewrite covers what is durable now.
        if (written.value()) {
            rewrite();
        } else {
            write_next();
        }
        for (auto const& one : batch) {
            for (auto const& on_durable : one.on_durable) {
                on_durable();
            }
        }
    }

    void rewrite() {
        run([this, kept = durable] { return rewrite_departures(log, kept); },
            [this](result<void> const& written) {
                if (!written) {
                    fail_with(written.error());
                }
                write_next();
            });
    }

    void fail_with(error const& reason) {
        usable = false;
        log_event(events::departure_log_failed, {{"error", describe(reason)}});
    }

    std::vector<target_announcement> take(result<departure_ledger> opened) {
        if (!opened) {
            fail_with(opened.error());
            return {};
        }
        usable = true;
        durable = std::move(opened).value();
        log_event(events::departures_recovered, {{"departures", durable.departures.size()}});
        return targets_of(durable);
    }
};

departure_store::departure_store(net::io_context& loop, file_layer files, std::string folder,
                                 departure_log_settings settings)
    : parts_{
          std::make_shared<implementation>(loop, std::move(files), std::move(folder), settings)} {}

departure_store::~departure_store() {
    parts_->thread.join();
    close_wal(parts_->log.log);
}

std::vector<target_announcement> departure_store::open(wall_time now) {
    auto& parts = *parts_;
    return parts.take(
        open_departure_log(parts.log, parts.files, parts.folder, parts.settings, now));
}

void departure_store::record(target_announcement const& target, wall_time now,
                             std::function<void()> on_durable) {
    auto& parts = *parts_;
    if (covers(parts.durable, target, parts.settings, now)) {
        on_durable();
        return;
    }
    for (auto* const batch : {&parts.in_flight, &parts.next}) {
        auto const same =
            std::find_if(batch->begin(), batch->end(),
                         [&](waiting_departure const& one) { return is_queued_as(one, target); });
        if (same != batch->end()) {
            auto& waiting = same->on_durable;
            if (waiting.size() >= most_waiting) {
                waiting.erase(waiting.begin()); // its sender has given up
            }
            waiting.push_back(std::move(on_durable));
            return;
        }
    }
    if (parts.next.size() >= parts.settings.limits.targets) {
        return; // the disk stands still; nothing is promised
    }
    parts.next.push_back({{target, now}, {std::move(on_durable)}});
    parts.write_next();
}

void departure_store::maintain(
    wall_time now, std::function<void(std::vector<target_announcement>)> const& on_recovered) {
    auto& parts = *parts_;
    remove_expired(parts.durable, parts.settings, now);
    if (parts.usable || parts.busy) {
        return;
    }
    parts.run(
        [&parts, now] {
            return open_departure_log(parts.log, parts.files, parts.folder, parts.settings, now);
        },
        [&parts, on_recovered](result<departure_ledger> opened) {
            on_recovered(parts.take(std::move(opened)));
            parts.write_next();
        });
}

std::size_t departure_store::kept() const {
    return parts_->durable.departures.size();
}

} // namespace fireflycrank
