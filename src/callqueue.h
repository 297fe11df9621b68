/// @file
/// Requests that wait at a gateway for a free slot at a target, and the order in which they are
/// sent. Requests wait here and not in a target's own queue so that their order can still change:
/// after a surge, requests that can still meet their latency objective go before those that have
/// missed it. Pure functions without I/O.
#pragma once

#include "clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fireflycrank {

/// A queued request.
struct queued_call {
    std::uint64_t id{0};
    time_point arrived{};
    time_point send_by{};    ///< latest send time that still meets the latency objective
    time_point expires_at{}; ///< end of the wait for a slot
};

/// Queued requests by service, in order of arrival.
struct call_queue {
    std::map<std::string, std::vector<queued_call>> by_service;
};

void enqueue(call_queue& queue, std::string const& service, queued_call const& call);

/// Removes a request if it is queued.
void remove(call_queue& queue, std::string const& service, std::uint64_t id);

/// Returns the request to send next: the one with the earliest `send_by` among those that can still
/// meet their objective, otherwise the oldest one.
/// @return its id, or nothing if the queue is empty; the request stays queued
std::optional<std::uint64_t> next_call(call_queue const& queue, std::string const& service,
                                       time_point now);

/// Returns the ids of requests whose `expires_at` has passed; they stay queued.
std::vector<std::uint64_t> expired_calls(call_queue const& queue, time_point now);

/// An outage of a service as one gateway sees it.
struct service_outage {
    std::optional<time_point> since; ///< start of the time without a usable target
};

/// Starts or ends the outage.
/// @param has_target whether the service has a usable target now
void update_outage(service_outage& outage, bool has_target, time_point now);

/// Whether an outage has lasted so long that requests should be refused at once instead of waiting.
bool is_prolonged(service_outage const& outage, time_point now);

/// Returns the number of requests that wait for a service.
std::size_t queued_call_count(call_queue const& queue, std::string const& service);

} // namespace fireflycrank
