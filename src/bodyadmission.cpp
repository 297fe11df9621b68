#include "bodyadmission.h"

#include <algorithm>
#include <utility>

namespace fireflycrank {

namespace {

// Callers on the slowest links of the platform move several packets in this time.
constexpr std::chrono::milliseconds patience{1'000};
// A new connection gets this long to send its first request before it yields to another one.
constexpr std::chrono::milliseconds first_request_patience{300};
// While nothing could be freed, connections are not searched more often than this: a crowd of
// refused requests would have each search all of them.
constexpr std::chrono::milliseconds search_period{50};
// Idle connections on which a request has just arrived are passed over this often.
constexpr unsigned most_tries = 4;
constexpr std::size_t progress_divisor = 64;
constexpr std::size_t largest_progress = 16U << 10U;

double weight(connection_holding const& one, time_point now) {
    return static_cast<double>(one.bytes) *
           std::chrono::duration<double>{now - one.moved_at}.count();
}

bool yields_memory(connection_holding const& one, time_point now) {
    bool const holds = one.kind == holding_kind::reading || one.kind == holding_kind::unread;
    return holds && one.bytes > 0 && now - one.moved_at >= patience;
}

bool yields_connection(connection_holding const& one, time_point now) {
    if (one.kind == holding_kind::busy) {
        return false;
    }
    bool const is_new = one.kind == holding_kind::idle && !one.used;
    auto const wait = one.kind == holding_kind::idle
                          ? (is_new ? first_request_patience : std::chrono::milliseconds{0})
                          : patience;
    return now - one.moved_at >= wait;
}

// Lower is closed first.
int connection_rank(connection_holding const& one) {
    if (one.kind != holding_kind::idle) {
        return 1;
    }
    return one.used ? 2 : 0;
}

std::vector<connection_holding> holdings_of(std::vector<held_connection*> const& open,
                                            time_point now) {
    std::vector<connection_holding> out;
    out.reserve(open.size());
    for (auto* const one : open) {
        out.push_back(one->holding(now));
    }
    return out;
}

} // namespace

void note_progress(progress_mark& mark, std::size_t bytes, std::size_t held, time_point now) {
    mark.bytes += bytes;
    if (mark.bytes >= std::min(held / progress_divisor, largest_progress)) {
        mark = {now, 0};
    }
}

std::vector<std::size_t> choose_for_memory(std::vector<connection_holding> const& holdings,
                                           std::size_t missing, time_point now) {
    std::vector<std::size_t> order;
    for (std::size_t index = 0; index < holdings.size(); ++index) {
        if (yields_memory(holdings[index], now)) {
            order.push_back(index);
        }
    }
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return weight(holdings[left], now) > weight(holdings[right], now);
    });
    std::size_t freed = 0;
    std::size_t count = 0;
    while (freed < missing && count < order.size()) {
        freed += holdings[order[count++]].bytes;
    }
    order.resize(freed < missing ? 0 : count);
    return order;
}

std::size_t choose_for_connection(std::vector<connection_holding> const& holdings, time_point now) {
    auto best = holdings.size();
    for (std::size_t index = 0; index < holdings.size(); ++index) {
        auto const& one = holdings[index];
        if (!yields_connection(one, now)) {
            continue;
        }
        auto const key = std::pair{connection_rank(one), one.moved_at};
        if (best == holdings.size() ||
            key < std::pair{connection_rank(holdings[best]), holdings[best].moved_at}) {
            best = index;
        }
    }
    return best;
}

std::vector<held_connection*> body_admission::others(held_connection const* asker) const {
    std::vector<held_connection*> out;
    for (auto* const one : connections_) {
        if (one != asker) {
            out.push_back(one);
        }
    }
    return out;
}

bool body_admission::admit_connection(time_point now) {
    auto const limit = budget.limits.connections;
    if (limit == 0 || connections_.size() < limit) {
        return true;
    }
    auto const open = others(nullptr);
    auto holdings = holdings_of(open, now);
    for (auto tries = most_tries; tries > 0; --tries) {
        auto const chosen = choose_for_connection(holdings, now);
        if (chosen == open.size()) {
            break;
        }
        if (open[chosen]->yield_connection()) {
            count_refusal("connection_closed");
            return true;
        }
        holdings[chosen].kind = holding_kind::busy;
    }
    count_refusal("no_connection_free");
    return false;
}

bool body_admission::make_room(held_connection const& asker, std::size_t bytes, bool is_small,
                               time_point now) {
    auto const missing = missing_bytes(budget, bytes, is_small);
    if (missing == 0) {
        return true;
    }
    if (now - searched_at_ < search_period && missing >= not_freed_) {
        return false;
    }
    auto const open = others(&asker);
    auto const holdings = holdings_of(open, now);
    auto const chosen = choose_for_memory(holdings, missing, now);
    if (chosen.empty()) {
        searched_at_ = now;
        not_freed_ = missing;
        return false;
    }
    for (auto const index : chosen) {
        count_refusal(holdings[index].kind == holding_kind::unread ? "response_not_read"
                                                                   : "stalled");
        open[index]->end_for_room();
    }
    return missing_bytes(budget, bytes, is_small) == 0;
}

} // namespace fireflycrank
