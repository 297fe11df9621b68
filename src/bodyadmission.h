/// @file
/// Decides which outsiders may occupy memory and connections of a process when these are short, and
/// who is ended for others. All listeners of a process share one instance. No I/O.
#pragma once

#include "clock.h"
#include "memorybudget.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

namespace fireflycrank {

/// What a connection does with the memory that it holds.
enum class holding_kind : std::uint8_t {
    busy,    ///< a handler works on its request, or its caller reads; never ended
    reading, ///< a request arrives
    unread,  ///< a response waits for its caller to read
    idle     ///< waits for a request, or for its caller to close
};

/// A connection as the decision sees it.
struct connection_holding {
    holding_kind kind{holding_kind::busy};
    std::size_t bytes{0};
    time_point moved_at{}; ///< when its bytes last moved at a useful pace, or it became idle
    bool used{false};      ///< has had a request before
};

/// Tells movement at a useful pace from single bytes that only keep a connection open.
struct progress_mark {
    time_point at{};
    std::size_t bytes{0}; ///< moved since
};

/// Records moved bytes.
/// @param held what the connection holds; the mark advances with a small part of it
void note_progress(progress_mark& mark, std::size_t bytes, std::size_t held, time_point now);

/// Chooses connections to end so that memory is freed: those that have not moved for a while, by
/// held bytes and time.
/// @param missing bytes to free
/// @return indices; empty if too little can be freed
std::vector<std::size_t> choose_for_memory(std::vector<connection_holding> const& holdings,
                                           std::size_t missing, time_point now);

/// Chooses the connection to close for a new one: one that never had a request, then the one that
/// has been idle or has not moved for the longest.
/// @return its index, or the number of holdings if none may be closed
std::size_t choose_for_connection(std::vector<connection_holding> const& holdings, time_point now);

/// A connection that takes part.
class held_connection {
public:
    held_connection() = default;
    held_connection(held_connection const&) = delete;
    held_connection& operator=(held_connection const&) = delete;
    virtual ~held_connection() = default;

    [[nodiscard]] virtual connection_holding holding(time_point now) = 0;
    /// Frees what it holds, and closes soon; a request that is arriving is refused first.
    virtual void end_for_room() = 0;
    /// Closes at once, unless a request has just arrived on an idle connection.
    /// @return whether it is closed
    virtual bool yield_connection() = 0;
};

/// The shared account and its connections.
class body_admission {
public:
    memory_budget budget;

    /// Whether another connection may be opened; closes one for it if needed.
    bool admit_connection(time_point now);
    void add(held_connection& one) { connections_.insert(&one); }
    void remove(held_connection& one) { connections_.erase(&one); }

    /// Asks for room, and ends other connections if that provides it. Nothing is held yet.
    /// @param asker is never ended
    /// @param bytes more than it holds
    /// @param is_small whether the asker may use the part that is kept for small requests
    bool make_room(held_connection const& asker, std::size_t bytes, bool is_small, time_point now);

    /// Counts a refusal.
    /// @param reason a name of few values
    void count_refusal(std::string const& reason) { ++refusals_[reason]; }

    [[nodiscard]] std::size_t connections() const { return connections_.size(); }
    /// Number of refusals and ended connections by reason.
    [[nodiscard]] std::map<std::string, std::uint64_t> const& refusals() const { return refusals_; }

private:
    std::vector<held_connection*> others(held_connection const* asker) const;

    std::unordered_set<held_connection*> connections_;
    std::map<std::string, std::uint64_t> refusals_;
    time_point searched_at_{};
    std::size_t not_freed_{0}; ///< bytes that the search at that time could not free
};

} // namespace fireflycrank
