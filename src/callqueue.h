/// @file
/// Requests that wait at a gateway for a place at a target, and the order in which they get one.
/// Waiting here instead of in a target's own queue keeps the order open: after a surge, requests
/// that can still meet their objective go before those that have missed it. Pure.
#pragma once

#include "clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fireflycrank {

/// A waiting request.
struct queued_call {
    std::uint64_t id{0};
    time_point arrived{};
    time_point send_by{};    ///< sent by then, it can still meet its objective
    time_point expires_at{}; ///< refused from then on
};

/// Waiting requests by service, in the order of arrival.
struct call_queue {
    std::map<std::string, std::vector<queued_call>> by_service;
};

/// Adds a request.
/// @param queue the queue
/// @param service the service
/// @param call the request
void enqueue(call_queue& queue, std::string const& service, queued_call const& call);

/// Removes a request, if it waits.
/// @param queue the queue
/// @param service the service
/// @param id the request
void remove(call_queue& queue, std::string const& service, std::uint64_t id);

/// The request that goes next: of those that can still be on time the one with the least time left,
/// otherwise the one that has waited longest.
/// @param queue the queue
/// @param service the service
/// @param now the time
/// @return its id, or nothing; it stays in the queue
std::optional<std::uint64_t> next_call(call_queue const& queue, std::string const& service,
                                       time_point now);

/// Requests whose patience is over.
/// @param queue the queue
/// @param now the time
/// @return their ids; they stay in the queue
std::vector<std::uint64_t> expired_calls(call_queue const& queue, time_point now);

/// Since when no target of a service is sound, as a gateway sees it.
struct service_outage {
    std::optional<time_point> since;
};

/// Notes whether a sound target was found.
/// @param outage updated
/// @param sound it was
/// @param now the time
void update_outage(service_outage& outage, bool sound, time_point now);

/// Whether an outage has lasted for so long that waiting for its end is no use.
/// @param outage of the service
/// @param now the time
/// @return true when requests are better refused at once
bool is_prolonged(service_outage const& outage, time_point now);

/// Requests that wait for a service.
std::size_t queued_call_count(call_queue const& queue, std::string const& service);

} // namespace fireflycrank
