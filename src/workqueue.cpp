#include "workqueue.h"

#include <algorithm>
#include <limits>

namespace fireflycrank {

namespace {

/// Teams remembered per class before idle ones are forgotten.
constexpr std::size_t max_tags = 1024;

/// Part of the estimate that an item still has left at least while it runs. About the mean rest of
/// the output lengths above their median; with none, a target full of overdue long streams looks
/// idle.
constexpr double overrun_share = 0.3;

double seconds(duration span) {
    return std::chrono::duration<double>(span).count();
}

duration from_seconds(double span) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(span));
}

double slot_speed(work_queue const& queue) {
    return queue.settings.tokens_per_second / std::max(queue.settings.slots, 1U);
}

double remaining(queued_item const& entry) {
    return std::max({entry.item.work - entry.done, overrun_share * entry.item.work, 1.0});
}

class_shares& shares_of(work_queue& queue, bool is_long) {
    return is_long ? queue.long_shares : queue.short_shares;
}

std::uint32_t long_limit(work_queue const& queue) {
    auto const& settings = queue.settings;
    // At least one slot stays open to long work, whatever the settings say.
    return settings.slots > settings.reserved ? settings.slots - settings.reserved : 1;
}

/// Turn of a team in its class: the team with the lowest start tag is next.
double start_tag(class_shares const& shares, std::string const& team) {
    auto const found = shares.finish_tags.find(team);
    return found == shares.finish_tags.end() ? shares.virtual_time
                                             : std::max(shares.virtual_time, found->second);
}

void charge_team(class_shares& shares, work_item const& item) {
    auto const tag = start_tag(shares, item.team);
    shares.virtual_time = tag;
    shares.finish_tags[item.team] = tag + item.work / std::max(item.weight, 1e-6);
    if (shares.finish_tags.size() > max_tags) {
        // A tag at or below the virtual time says the same as no tag.
        std::erase_if(shares.finish_tags,
                      [&](auto const& team) { return team.second <= shares.virtual_time; });
    }
}

bool starved(work_queue const& queue, queued_item const& entry, time_point now) {
    return now - entry.waiting_since >= queue.settings.starvation;
}

/// Whether `left` runs before `right`, both of one team and class.
bool goes_before(work_queue const& queue, queued_item const& left, queued_item const& right,
                 time_point now) {
    bool const left_starved = starved(queue, left, now);
    bool const right_starved = starved(queue, right, now);
    if (left_starved != right_starved) {
        return left_starved;
    }
    if (left_starved) {
        return left.waiting_since < right.waiting_since;
    }
    if (left.item.priority != right.item.priority) {
        return left.item.priority > right.item.priority;
    }
    auto const key = [&](queued_item const& entry) {
        auto const waited = seconds(now - entry.waiting_since);
        return remaining(entry) / (1 + waited / seconds(queue.settings.ageing));
    };
    return key(left) < key(right);
}

/// The next item of a class, or null. Paused streams come first: they hold the engine's memory and
/// their team has already been charged.
queued_item* next_of_class(work_queue& queue, bool is_long, time_point now) {
    auto const& shares = shares_of(queue, is_long);
    queued_item* best = nullptr;
    double best_tag = 0;
    for (auto& [id, entry] : queue.items) {
        if (entry.state == item_state::running || entry.item.alone ||
            entry.item.is_long != is_long) {
            continue;
        }
        bool const paused = entry.state == item_state::paused;
        double const tag = paused ? -1 : start_tag(shares, entry.item.team);
        bool const same_turn =
            best != nullptr && tag == best_tag && (paused || best->item.team == entry.item.team);
        if (best == nullptr || tag < best_tag ||
            (same_turn && goes_before(queue, entry, *best, now))) {
            best = &entry;
            best_tag = tag;
        }
    }
    return best;
}

queue_action start(work_queue& queue, queued_item& entry, time_point now) {
    bool const resumed = entry.state == item_state::paused;
    if (!resumed && !entry.item.alone) {
        charge_team(shares_of(queue, entry.item.is_long), entry.item);
    }
    entry.state = item_state::running;
    entry.waiting_since = now;
    ++queue.running;
    queue.running_long += entry.item.is_long ? 1 : 0;
    return {resumed ? queue_action_kind::resume : queue_action_kind::start, entry.item.id,
            entry.item.priority, refuse_reason::none};
}

/// The item for the next free slot. Long work below its floor goes first, then short work, then
/// long work up to its limit.
queued_item* next_item(work_queue& queue, bool only_paused, time_point now) {
    auto* const next_long =
        queue.running_long < long_limit(queue) ? next_of_class(queue, true, now) : nullptr;
    if (only_paused) {
        return next_long != nullptr && next_long->state == item_state::paused ? next_long : nullptr;
    }
    bool const below_floor = queue.running_long < queue.settings.long_floor;
    bool const overdue = next_long != nullptr && next_long->state == item_state::paused &&
                         starved(queue, *next_long, now);
    if (next_long != nullptr && (below_floor || overdue)) {
        return next_long;
    }
    auto* const next_short = next_of_class(queue, false, now);
    return next_short != nullptr ? next_short : next_long;
}

/// Drops what never started and cannot meet its deadline any more.
void drop_hopeless(work_queue& queue, time_point now, std::vector<queue_action>& actions) {
    auto const speed = slot_speed(queue);
    for (auto at = queue.items.begin(); at != queue.items.end();) {
        auto const& entry = at->second;
        auto const run = from_seconds(queue.settings.hopeless_share * remaining(entry) / speed);
        if (entry.state == item_state::waiting && now + run > entry.item.deadline) {
            actions.push_back({queue_action_kind::refuse, at->first, 0, refuse_reason::deadline});
            at = queue.items.erase(at);
        } else {
            ++at;
        }
    }
}

/// What an alone item does to the others.
enum class alone_effect { none, blocks_starts, runs };

alone_effect handle_alone(work_queue& queue, time_point now, std::vector<queue_action>& actions) {
    if (queue.alone_running != 0) {
        return alone_effect::runs;
    }
    queued_item* oldest = nullptr;
    bool others_wait = false;
    bool paused = false;
    for (auto& [id, entry] : queue.items) {
        paused = paused || entry.state == item_state::paused;
        others_wait = others_wait || (!entry.item.alone && entry.state == item_state::waiting);
        if (entry.item.alone && entry.state == item_state::waiting &&
            (oldest == nullptr || entry.waiting_since < oldest->waiting_since)) {
            oldest = &entry;
        }
    }
    if (oldest == nullptr || (others_wait && now < queue.alone_allowed_at)) {
        return alone_effect::none;
    }
    // A paused stream counts as beside it: a crash would lose it too.
    if (queue.running == 0 && !paused) {
        actions.push_back(start(queue, *oldest, now));
        queue.alone_running = oldest->item.id;
        return alone_effect::runs;
    }
    bool const patient = now - oldest->waiting_since < queue.settings.alone_patience;
    return patient ? alone_effect::none : alone_effect::blocks_starts;
}

/// Pauses the long stream with the most left when short work has waited too long.
bool pause_for_short(work_queue& queue, time_point now, std::vector<queue_action>& actions) {
    if (queue.running_long <= std::max(queue.settings.long_floor, 1U)) {
        return false;
    }
    auto const* const next_short = next_of_class(queue, false, now);
    if (next_short == nullptr || now - next_short->waiting_since < queue.settings.pause_wait) {
        return false;
    }
    queued_item* victim = nullptr;
    for (auto& [id, entry] : queue.items) {
        if (entry.state == item_state::running && entry.item.is_long && entry.item.pausable &&
            entry.pauses < queue.settings.max_pauses &&
            (victim == nullptr || remaining(entry) > remaining(*victim))) {
            victim = &entry;
        }
    }
    if (victim == nullptr) {
        return false;
    }
    victim->state = item_state::paused;
    victim->waiting_since = now;
    ++victim->pauses;
    --queue.running;
    --queue.running_long;
    actions.push_back({queue_action_kind::pause, victim->item.id, 0, refuse_reason::none});
    return true;
}

/// What is ahead of a new item of one class.
struct class_load {
    double waiting{0};      ///< work of the class
    double team_waiting{0}; ///< work of the item's team in the class
    double weights{0};      ///< of the teams that wait, and of the item's team
    double least_left{
        std::numeric_limits<double>::infinity()}; ///< of the running items it may follow
};

class_load load_ahead(work_queue const& queue, work_item const& item) {
    class_load ahead;
    std::unordered_map<std::string_view, double> weights{{item.team, item.weight}};
    for (auto const& [id, entry] : queue.items) {
        if (entry.state == item_state::running) {
            bool const follows =
                !item.is_long || entry.item.is_long || queue.running_long < long_limit(queue);
            ahead.least_left =
                follows ? std::min(ahead.least_left, remaining(entry)) : ahead.least_left;
        } else if (entry.item.is_long == item.is_long && entry.item.priority >= item.priority) {
            ahead.waiting += remaining(entry);
            ahead.team_waiting += entry.item.team == item.team ? remaining(entry) : 0;
            weights[entry.item.team] = entry.item.weight;
        }
    }
    for (auto const& [team, weight] : weights) {
        ahead.weights += weight;
    }
    return ahead;
}

} // namespace

duration predicted_wait(work_queue const& queue, work_item const& item) {
    auto const ahead = load_ahead(queue, item);
    bool const full = queue.running >= queue.settings.slots ||
                      (item.is_long && queue.running_long >= long_limit(queue));
    if (!full && ahead.waiting == 0) {
        return duration::zero();
    }
    auto const slots = item.is_long
                           ? std::max(queue.running_long, 1U)
                           : queue.settings.slots - std::min(queue.running_long, long_limit(queue));
    auto const rate = slot_speed(queue) * std::max(slots, 1U);
    auto const share = item.weight / ahead.weights;
    auto const turn = std::min(ahead.waiting, ahead.team_waiting / share) / rate;
    auto const first = full && ahead.least_left < std::numeric_limits<double>::infinity()
                           ? ahead.least_left / slot_speed(queue)
                           : 0;
    return from_seconds(first + turn);
}

offer_result offer_item(work_queue& queue, work_item const& item, time_point now) {
    if (queue.draining) {
        return {false, refuse_reason::draining, {}, {}};
    }
    if (queue.items.contains(item.id)) {
        return {false, refuse_reason::duplicate, {}, {}};
    }
    auto const wait = predicted_wait(queue, item);
    auto const run = from_seconds(queue.settings.hopeless_share * item.work / slot_speed(queue));
    if (now + wait + run > item.deadline) {
        return {false, refuse_reason::deadline, wait, wait};
    }
    if (wait > queue.settings.queue_limit) {
        return {false, refuse_reason::queue_full, wait, wait - queue.settings.queue_limit};
    }
    queue.items[item.id] = {item, item_state::waiting, now, 0, 0};
    return {true, refuse_reason::none, wait, {}};
}

std::vector<queue_action> schedule(work_queue& queue, time_point now) {
    std::vector<queue_action> actions;
    drop_hopeless(queue, now, actions);
    auto const effect = handle_alone(queue, now, actions);
    if (effect == alone_effect::runs) {
        return actions;
    }
    while (true) {
        if (queue.running >= queue.settings.slots &&
            (effect != alone_effect::none || !pause_for_short(queue, now, actions))) {
            return actions;
        }
        auto* const next = next_item(queue, effect == alone_effect::blocks_starts, now);
        if (next == nullptr) {
            return actions;
        }
        actions.push_back(start(queue, *next, now));
    }
}

void note_progress(work_queue& queue, std::uint64_t id, double done) {
    auto const found = queue.items.find(id);
    if (found != queue.items.end()) {
        found->second.done = std::max(found->second.done, done);
    }
}

void note_speed(work_queue& queue, double tokens_per_second) {
    if (tokens_per_second > 0) {
        queue.settings.tokens_per_second = tokens_per_second;
    }
}

bool remove_item(work_queue& queue, std::uint64_t id, time_point now) {
    auto const found = queue.items.find(id);
    if (found == queue.items.end()) {
        return false;
    }
    if (found->second.state == item_state::running) {
        --queue.running;
        queue.running_long -= found->second.item.is_long ? 1 : 0;
    }
    if (queue.alone_running == id) {
        queue.alone_running = 0;
        queue.alone_allowed_at = now + queue.settings.alone_gap;
    }
    queue.items.erase(found);
    if (queue.items.empty()) {
        queue.short_shares = {};
        queue.long_shares = {};
    }
    return true;
}

bool void_item(work_queue& queue, std::uint64_t id) {
    auto const found = queue.items.find(id);
    if (found == queue.items.end() || found->second.state != item_state::waiting) {
        return false;
    }
    queue.items.erase(found);
    return true;
}

std::vector<std::uint64_t> drain_queue(work_queue& queue, bool hand_back) {
    queue.draining = true;
    std::vector<std::uint64_t> handed_back;
    if (hand_back) {
        for (auto const& [id, entry] : queue.items) {
            if (entry.state == item_state::waiting) {
                handed_back.push_back(id);
            }
        }
        for (auto const id : handed_back) {
            queue.items.erase(id);
        }
    }
    return handed_back;
}

target_load load_of(work_queue const& queue) {
    target_load load;
    load.running = queue.running;
    load.queued = static_cast<std::uint32_t>(queue.items.size()) - queue.running;
    for (auto const& [id, entry] : queue.items) {
        load.queued_work += remaining(entry);
        if (entry.state != item_state::running) {
            (entry.item.is_long ? load.waiting_long : load.waiting_short) += remaining(entry);
        }
    }
    load.tokens_per_second = queue.settings.tokens_per_second;
    load.slots = queue.settings.slots;
    return load;
}

char const* name_of(refuse_reason reason) {
    switch (reason) {
    case refuse_reason::none:
        return "none";
    case refuse_reason::draining:
        return "draining";
    case refuse_reason::deadline:
        return "deadline";
    case refuse_reason::queue_full:
        return "queue_full";
    case refuse_reason::duplicate:
        return "duplicate";
    }
    return "none";
}

} // namespace fireflycrank
