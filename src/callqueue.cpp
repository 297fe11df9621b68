#include "callqueue.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// A group that lost a target serves again within this time: detection of the stall, restart of the
// target and forming of the group.
constexpr std::chrono::seconds prolonged_after{6};

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
                                       time_point now) {
    auto const found = queue.by_service.find(service);
    if (found == queue.by_service.end() || found->second.empty()) {
        return std::nullopt;
    }
    queued_call const* most_urgent = nullptr;
    for (auto const& call : found->second) {
        bool const on_time = call.send_by > now;
        if (on_time && (most_urgent == nullptr || call.send_by < most_urgent->send_by)) {
            most_urgent = &call;
        }
    }
    return most_urgent != nullptr ? most_urgent->id : found->second.front().id;
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
