/// @file
/// The agent's queue for one target: which request runs next, which long stream pauses, and which
/// request is refused at once because its deadline cannot be met.
#pragma once

#include "clock.h"
#include "route.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace fireflycrank {

/// One request offered to the queue.
struct work_item {
    std::uint64_t id{0};
    std::string team;
    double weight{1};         ///< the team's share
    std::int32_t priority{0}; ///< higher runs first inside a team and class
    double work{0};           ///< estimated output tokens
    bool is_long{false};
    bool alone{false}; ///< must run with nothing beside it
    bool pausable{false};
    time_point deadline;
};

/// Where an item stands.
enum class item_state { waiting, running, paused };

/// An item inside the queue.
struct queued_item {
    work_item item;
    item_state state{item_state::waiting};
    time_point waiting_since; ///< arrival, or the moment of the pause
    double done{0};           ///< tokens generated so far
    std::uint32_t pauses{0};
};

/// Start-time fair queueing inside one class.
struct class_shares {
    double virtual_time{0};
    std::unordered_map<std::string, double> finish_tags;
};

/// Parameters; docs/routing.md gives the reasons.
struct queue_settings {
    std::uint32_t slots{8};
    std::uint32_t reserved{2};     ///< slots that long work may not fill
    std::uint32_t long_floor{1};   ///< slots that short work may not take while long work waits
    double tokens_per_second{200}; ///< over all slots; replaced by note_speed()
    duration ageing{std::chrono::seconds{20}};      ///< a wait of this length halves the order key
    duration starvation{std::chrono::seconds{20}};  ///< waits beyond it go first inside the team
    duration queue_limit{std::chrono::seconds{60}}; ///< longest predicted wait that is accepted
    duration alone_patience{
        std::chrono::seconds{2}};                 ///< then starts stop until the target is empty
    duration alone_gap{std::chrono::seconds{10}}; ///< ordinary work between two alone items
    duration pause_wait{std::chrono::milliseconds{500}}; ///< wait of short work before a pause
    std::uint32_t max_pauses{2};                         ///< per stream
    double hopeless_share{0.8}; ///< part of the estimated run time that must fit the deadline
};

/// The queue of one target.
struct work_queue {
    queue_settings settings;
    std::map<std::uint64_t, queued_item> items; ///< ordered, so that ties resolve by id
    class_shares short_shares;
    class_shares long_shares;
    std::uint32_t running{0};
    std::uint32_t running_long{0};
    std::uint64_t alone_running{0}; ///< id of the item that runs alone, 0 for none
    time_point alone_allowed_at;
    bool draining{false};
};

/// Why an item was not accepted, or was dropped while waiting. Every one means not_run.
enum class refuse_reason { none, draining, deadline, queue_full, duplicate };

/// Result of an offer.
struct offer_result {
    bool accepted{false};
    refuse_reason reason{refuse_reason::none};
    duration expected_wait{0};
    duration retry_after{0}; ///< without jitter; the entry spreads it
};

/// What the agent does for an item.
enum class queue_action_kind {
    start,
    pause,
    resume,
    refuse ///< answer not_run; the item never started
};

/// One action.
struct queue_action {
    queue_action_kind kind{queue_action_kind::start};
    std::uint64_t id{0};
    std::int32_t engine_priority{0}; ///< for start and resume
    refuse_reason reason{refuse_reason::none};
};

/// Offers an item. It is refused at once when the queue drains, when the wait predicted for its
/// team passes its deadline, or when that wait passes the queue limit.
offer_result offer_item(work_queue& queue, work_item const& item, time_point now);

/// Fills free slots and drops hopeless items. Call it after every offer, end and progress note, and
/// at least every 200 ms.
std::vector<queue_action> schedule(work_queue& queue, time_point now);

/// Notes tokens generated so far for a running item.
void note_progress(work_queue& queue, std::uint64_t id, double done);

/// Notes the measured speed over all slots.
void note_speed(work_queue& queue, double tokens_per_second);

/// Removes an item that ended, crashed or was cancelled.
/// @return false when the id is unknown
bool remove_item(work_queue& queue, std::uint64_t id, time_point now);

/// Removes an item only while it has never started, so that it can truthfully be called not_run.
bool void_item(work_queue& queue, std::uint64_t id);

/// Starts the drain: offers are refused from here on. Running and paused items go on.
/// @param hand_back true to take out what never started, for the entries to try elsewhere
/// @return ids to refuse as not_run
std::vector<std::uint64_t> drain_queue(work_queue& queue, bool hand_back);

/// Wait predicted for a team's next item.
duration predicted_wait(work_queue const& queue, work_item const& item);

/// The load for the next report.
target_load load_of(work_queue const& queue);

/// The name of a reason, as it appears in refusals and log lines.
char const* name_of(refuse_reason reason);

} // namespace fireflycrank
