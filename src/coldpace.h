/// @file
/// The pace at which a gateway sends to cold targets. A cold target tolerates a declared number of
/// requests a second from all gateways together. Each gateway derives its own part of them from the
/// same facts, without asking the others. Pure functions without I/O.
#pragma once

#include "clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fireflycrank {

/// Times of the pace.
struct cold_pace_settings {
    /// A gateway sends its part in each window of this length. The declared rate is for one second;
    /// the rest allows for delays on the way, which bring sends closer together.
    duration window{std::chrono::milliseconds{1'050}};
    /// A gateway that is no longer listed keeps its part for this long, because it may be cut off
    /// from the registrars and still send.
    duration gateway_memory{std::chrono::seconds{6}};
    /// A gateway has no part until it has known the others for this long: two beats of each gateway
    /// (0.5 s), their relay between registrars (0.5 s), and one window, in which the others still
    /// sent the part that is now its own.
    duration settling_time{std::chrono::milliseconds{2'500}};
    /// A target that failed may have restarted. It counts as cold until its agent says otherwise,
    /// or for this long: two announcement periods, plus the way to the gateways.
    duration doubt_time{std::chrono::seconds{3}};
};

/// The gateways that share the rate of cold targets, as one of them knows them.
struct gateway_set {
    std::string self;
    std::map<std::string, time_point> listed_at; ///< by address, without the own one
    std::optional<time_point> known_since;       ///< when a list was first received, in touch
    bool settled{false}; ///< the others are known; before, this gateway has a small part
    bool in_touch{false};
    time_point updated_at{};
    std::uint64_t revision{1};         ///< increases when parts change
    std::uint64_t self_hash{0};        ///< of `self`
    std::vector<std::uint64_t> hashes; ///< of the addresses in `listed_at`
};

/// Updates the set. Gateways are forgotten only while this one is in touch with the majority of the
/// registrars, so that the part of a gateway that is cut off never grows.
/// @param listed addresses of the gateways that the registrars list now
/// @param in_touch a registrar that knows the newest state was heard of lately
void update_gateway_set(gateway_set& gateways, std::vector<std::string> const& listed,
                        bool in_touch, cold_pace_settings const& settings, time_point now);

/// Whole requests a second that all gateways together may send to a cold target.
/// @param rate declared by the service
/// @param overage factor on the rate that must not be exceeded
/// @param allowance requests a second beyond that
unsigned cold_requests(double rate, double overage, double allowance);

/// This gateway's part of the requests to a cold target. Rendezvous hashing gives each single
/// request a second to one gateway, so that with fewer requests than gateways a few have a part.
/// @param requests a second for all gateways together
unsigned cold_part(gateway_set const& gateways, std::string const& target, unsigned requests);

/// What a gateway knows of a target's coldness.
struct cold_state {
    bool declared{false}; ///< the service declares how long its targets are cold, or their rate
    bool paced{false};    ///< the service declares the rate of cold targets
    time_point until{};   ///< the target is cold until then, by any word about it
    time_point doubted_until{}; ///< it failed lately and may have restarted
    time_point first_seen{};
    duration age_when_seen{};       ///< time since its start
    time_point begins_at{};         ///< first request after it became cold; spreads the gateways
    unsigned part{0};               ///< requests of this gateway in each window
    unsigned part_of{0};            ///< requests of all gateways that `part` was derived from
    std::uint64_t part_revision{0}; ///< gateway_set::revision that it was derived from
    std::deque<time_point> sends;   ///< of this gateway, in the last window
    bool reported{false};           ///< the last log line said that it is cold
};

/// Whether the target is cold.
bool is_cold(cold_state const& state, time_point now);

/// Whether requests to the target are limited to this gateway's part.
bool is_limited(cold_state const& state, time_point now);

/// Records that the target stays cold for a while, from any source.
void record_cold(cold_state& state, duration left, time_point now);

/// Records that the target may have restarted.
void record_doubt(cold_state& state, cold_pace_settings const& settings, time_point now);

/// Applies the time that targets of the service stay cold after their start.
void apply_cold_time(cold_state& state, duration cold_time);

/// Sets this gateway's part, and the time of its first request if it has just got one: gateways
/// begin at different times, so that an idle target does not receive the whole rate at once.
/// @param target its id
/// @param requests as cold_requests() returns them
void refresh_part(cold_state& state, gateway_set const& gateways, std::string const& target,
                  unsigned requests, cold_pace_settings const& settings, time_point now);

/// Records a request to the target. Requests to a warm target count as well, since it may turn cold
/// at any moment.
void record_cold_send(cold_state& state, cold_pace_settings const& settings, time_point now);

/// Returns when this gateway may send the next request.
/// @return `now` if it may at once; nothing if not before the target is warm
std::optional<time_point> next_cold_send(cold_state const& state,
                                         cold_pace_settings const& settings, time_point now);

/// Whether this gateway may send a request now.
bool may_send(cold_state const& state, time_point now);

/// Cold targets that could take a request if this gateway's part of them were not used up.
struct cold_shortage {
    unsigned targets{0};
    unsigned parts{0};    ///< requests in each window, of all of them together
    time_point warm_at{}; ///< when the first of them is warm
};

/// Adds a target to the shortage.
void add_shortage(cold_shortage& shortage, cold_state const& state);

/// Returns the mean time between two requests that cold targets take from this gateway, or the time
/// until the first of them is warm if that is shorter.
duration cold_slot_interval(cold_shortage const& shortage, cold_pace_settings const& settings,
                            time_point now);

} // namespace fireflycrank
