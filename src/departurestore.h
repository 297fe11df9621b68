/// @file
/// Records departures on disk without holding up the event loop: a thread of its own writes and
/// syncs, and departures that come meanwhile share the next sync.
#pragma once

#include "departurelog.h"
#include "netio.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fireflycrank {

/// The departures of one registrar. All calls and callbacks are on the event loop's thread.
class departure_store {
public:
    /// @param loop must outlive the store
    /// @param files used by the store's thread only
    /// @param folder of the store alone
    departure_store(net::io_context& loop, file_layer files, std::string folder,
                    departure_log_settings settings = {});
    departure_store(departure_store const&) = delete;
    departure_store& operator=(departure_store const&) = delete;
    /// Waits for the write under way; what was not begun is dropped unrecorded.
    ~departure_store();

    /// Reads the departures of earlier processes; blocks. After a failure maintain() tries again.
    /// @return what is kept
    std::vector<target_announcement> open(wall_time now);

    /// Records a departure.
    /// @param on_durable called once it is on disk, perhaps at once; never if that fails for good
    void record(target_announcement const& target, wall_time now, std::function<void()> on_durable);

    /// Forgets expired departures, and opens a log that failed again; to be called every second or
    /// so.
    /// @param on_recovered called with what the log held
    void maintain(wall_time now,
                  std::function<void(std::vector<target_announcement>)> const& on_recovered);

    /// Departures that are kept on disk.
    [[nodiscard]] std::size_t kept() const;

private:
    struct implementation;
    std::shared_ptr<implementation> parts_;
};

} // namespace fireflycrank
