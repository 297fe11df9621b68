#include "callqueue.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// A group that lost a target serves again within this time: detection of the stall, restart of the
// target and forming of the group.
constexpr std::chrono::seconds prolonged_after{6};
// A late request gains nothing by a long wait here; its caller may return when there is more room.
constexpr std::chrono::milliseconds max_late_wait{100};

bool is_late(queued_call const& call, time_point now) {
    return !call.resumed && call.send_by <= now;
}

bool goes_before(queued_call const& left, queued_call const& right, queue_order order,
                 time_point now) {
    if (left.resumed != right.resumed) {
        return left.resumed;
    }
    bool const late = is_late(left, now);
    if (late != is_late(right, now)) {
        return !late;
    }
    if (late) {
        return left.arrived < right.arrived;
    }
    if (order == queue_order::by_priority && left.priority != right.priority) {
        return left.priority < right.priority;
    }
    return left.send_by < right.send_by;
}

} // namespace

void enqueue(call_queue& queue, std::string const& service, queued_call const& call) {
    auto& waiting = queue.by_service[service];
    auto const position = std::upper_bound(waiting.begin(), waiting.end(), call,
                                           [](queued_call const& left, queued_call const& right) {
                                               return left.arrived < right.arrived;
                                           });
    waiting.insert(position, call);
}

void remove(call_queue& queue, std::string const& service, std::uint64_t id) {
    auto const found = queue.by_service.find(service);
    if (found != queue.by_service.end()) {
        std::erase_if(found->second, [&](queued_call const& call) { return call.id == id; });
    }
}

std::optional<std::uint64_t> next_call(call_queue const& queue, std::string const& service,
                                       queue_order order, time_point now) {
    auto const found = queue.by_service.find(service);
    if (found == queue.by_service.end() || found->second.empty()) {
        return std::nullopt;
    }
    auto const first = std::min_element(found->second.begin(), found->second.end(),
                                        [&](queued_call const& left, queued_call const& right) {
                                            return goes_before(left, right, order, now);
                                        });
    return first->id;
}

std::vector<std::uint64_t> hopeless_calls(call_queue const& queue, std::string const& service,
                                          queue_order order, duration slot_interval, time_point now,
                                          time_point late_until) {
    std::vector<std::uint64_t> ids;
    auto const found = queue.by_service.find(service);
    if (found == queue.by_service.end()) {
        return ids;
    }
    auto waiting = found->second;
    std::sort(waiting.begin(), waiting.end(),
              [&](queued_call const& left, queued_call const& right) {
                  return goes_before(left, right, order, now);
              });
    auto sent_at = now;
    for (auto const& call : waiting) {
        auto const latest =
            is_late(call, now) ? std::max(call.arrived + max_late_wait, late_until) : call.send_by;
        if (!call.resumed && sent_at + slot_interval > latest) {
            ids.push_back(call.id);
        } else {
            sent_at += slot_interval;
        }
    }
    return ids;
}

std::vector<std::uint64_t> expired_calls(call_queue const& queue, time_point now) {
    std::vector<std::uint64_t> ids;
    for (auto const& [service, waiting] : queue.by_service) {
        for (auto const& call : waiting) {
            if (call.expires_at <= now) {
                ids.push_back(call.id);
            }
        }
    }
    return ids;
}

void update_outage(service_outage& outage, bool has_target, time_point now) {
    if (has_target) {
        outage.since.reset();
    } else if (!outage.since) {
        outage.since = now;
    }
}

bool is_prolonged(service_outage const& outage, time_point now) {
    return outage.since && now - *outage.since > prolonged_after;
}

std::size_t queued_call_count(call_queue const& queue, std::string const& service) {
    auto const found = queue.by_service.find(service);
    return found == queue.by_service.end() ? 0 : found->second.size();
}

} // namespace fireflycrank
