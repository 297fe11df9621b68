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
    /// Latest send time that still meets the latency objective; for a resumed stream shortly after
    /// its interruption.
    time_point send_by{};
    time_point expires_at{}; ///< end of the wait for a slot
    unsigned priority{0};    ///< 0 is the most urgent
    bool resumed{false};     ///< a stream that was interrupted after its first event; goes first
};

/// Queued requests by service, in order of arrival.
struct call_queue {
    std::map<std::string, std::vector<queued_call>> by_service;
};

void enqueue(call_queue& queue, std::string const& service, queued_call const& call);

/// Removes a request if it is queued.
void remove(call_queue& queue, std::string const& service, std::uint64_t id);

/// Order in which requests are sent that can still meet their objective.
enum class queue_order : std::uint8_t {
    by_time,    ///< earliest `send_by` first
    by_priority ///< most urgent first, then earliest `send_by`
};

/// Returns the request to send next: the first by the order among those that can still meet their
/// objective, otherwise the oldest one.
/// @return its id, or nothing if the queue is empty; the request stays queued
std::optional<std::uint64_t> next_call(call_queue const& queue, std::string const& service,
                                       queue_order order, time_point now);

/// Returns the requests that would not be sent in time if slots become free at the given interval:
/// those that would miss their objective, and late ones that would wait for longer than a late
/// request should.
/// @param slot_interval mean time between two slots that become free for this gateway
/// @param late_until late requests may wait until then, because room is expected to grow
/// @return their ids; they stay queued
std::vector<std::uint64_t> hopeless_calls(call_queue const& queue, std::string const& service,
                                          queue_order order, duration slot_interval, time_point now,
                                          time_point late_until = {});

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
