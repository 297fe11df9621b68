#include "runtime.h"

#include <algorithm>
#include <condition_variable>
#include <csignal>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace fireflycrank {

struct runtime::implementation {
    runtime_clock clock;
    std::mutex mutex; // guards the tasks and the stop flag
    std::condition_variable changed;
    std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> tasks;
    std::vector<std::thread> workers;
    bool stopping{false};
};

namespace {

// Waits for the next task that is due; returns an empty function when the runtime stops.
template <class state>
std::function<void()> next_task(state& parts) {
    std::unique_lock lock{parts.mutex};
    while (!parts.stopping) {
        if (parts.tasks.empty()) {
            parts.changed.wait(lock);
            continue;
        }
        auto const due = parts.tasks.begin()->first;
        if (due > std::chrono::steady_clock::now()) {
            parts.changed.wait_until(lock, due);
            continue;
        }
        auto task = std::move(parts.tasks.begin()->second);
        parts.tasks.erase(parts.tasks.begin());
        return task;
    }
    return {};
}

} // namespace

runtime::runtime(unsigned workers) : parts_{std::make_shared<implementation>()} {
    for (unsigned index = 0; index < std::max(workers, 1U); ++index) {
        parts_->workers.emplace_back([parts = parts_.get()] {
            while (auto const task = next_task(*parts)) {
                task();
            }
        });
    }
}

runtime::~runtime() {
    stop();
}

runtime_clock& runtime::clock() {
    return parts_->clock;
}

void runtime::post(std::function<void()> task) {
    after(duration::zero(), std::move(task));
}

void runtime::after(duration delay, std::function<void()> task) {
    {
        std::lock_guard const lock{parts_->mutex};
        if (parts_->stopping) {
            return;
        }
        parts_->tasks.emplace(std::chrono::steady_clock::now() + delay, std::move(task));
    }
    parts_->changed.notify_one();
}

void runtime::every(duration period, std::function<void()> task) {
    after(period, [this, period, task = std::move(task)]() mutable {
        task();
        every(period, std::move(task));
    });
}

void runtime::stop() {
    {
        std::lock_guard const lock{parts_->mutex};
        parts_->stopping = true;
        parts_->tasks.clear();
    }
    parts_->changed.notify_all();
    for (std::thread& worker : parts_->workers) {
        if (worker.joinable()) {
            worker.join();
        }
    }
}

namespace {

sigset_t stop_signals() {
    sigset_t set{};
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

void block_stop_signals() {
    sigset_t const set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void wait_for_stop_signal() {
    sigset_t const set = stop_signals();
    int received = 0;
    sigwait(&set, &received);
}

} // namespace fireflycrank
