/// @file
/// The runtime of a daemon: clock, worker pool, timers and the stop signal.
#pragma once

#include "clock.h"

#include <functional>
#include <memory>

namespace fireflycrank {

/// A pool of workers that runs posted tasks and timers. Tasks take the locks they need in the order
/// that the daemon's header states; the runtime holds no lock while it runs one.
class runtime {
public:
    /// Starts the workers.
    /// @param workers number of threads, at least 1
    explicit runtime(unsigned workers);
    runtime(runtime const&) = delete;
    runtime& operator=(runtime const&) = delete;
    ~runtime();

    /// The runtime's clock.
    runtime_clock& clock();

    /// Runs a task on a worker.
    /// @param task the task
    void post(std::function<void()> task);

    /// Runs a task on a worker after a delay.
    /// @param delay how long to wait
    /// @param task the task
    void after(duration delay, std::function<void()> task);

    /// Runs a task again and again until the runtime stops; a late run does not shorten the next
    /// gap.
    /// @param period time between the end of one run and the start of the next
    /// @param task the task
    void every(duration period, std::function<void()> task);

    /// Stops taking tasks, lets running ones end, and joins the workers.
    void stop();

private:
    struct implementation;
    std::shared_ptr<implementation> parts_;
};

/// Blocks until SIGTERM or SIGINT arrives. Must be prepared by block_stop_signals() before any
/// thread starts.
void wait_for_stop_signal();

/// Blocks SIGTERM and SIGINT in this thread and all threads that it starts, and ignores SIGPIPE.
void block_stop_signals();

} // namespace fireflycrank
