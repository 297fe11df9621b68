#include "coldpace.h"

#include "digest.h"
#include "rng.h"

#include <algorithm>
#include <cmath>

namespace fireflycrank {

namespace {

// Requests that are given to gateways one by one; of more, several go to one gateway together, so
// that the work for a new set of gateways stays bounded.
constexpr unsigned max_bundles = 256;
// Gateways of the largest deployments. While a gateway does not know the others, it assumes so
// many.
constexpr std::uint64_t most_gateways = 128;
// Once it is listed among many, it assumes this multiple of them: in a zone that is cut off, a
// third of the gateways are listed. A few may be the first of many.
constexpr std::uint64_t unlisted_factor = 3;
constexpr std::uint64_t many_gateways = 16;
// A set that was not updated for this long may lack what the registrars listed meanwhile.
constexpr std::chrono::seconds max_update_gap{1};
// Interval between a gateway's first requests to a cold target, as a part of its even interval.
constexpr unsigned spacing_divisor = 2;

std::uint64_t mix(std::uint64_t seed) {
    rng mixer{seed};
    return next_bits(mixer);
}

bool remember_listed(gateway_set& gateways, std::vector<std::string> const& listed,
                     time_point now) {
    bool changed = false;
    for (auto const& address : listed) {
        if (address != gateways.self) {
            changed = gateways.listed_at.insert_or_assign(address, now).second || changed;
        }
    }
    return changed;
}

void settle(gateway_set& gateways, bool has_list, cold_pace_settings const& settings,
            time_point now) {
    if (gateways.settled) {
        return;
    }
    if (!gateways.in_touch || !has_list) {
        gateways.revision += gateways.known_since ? 1 : 0;
        gateways.known_since.reset();
        return;
    }
    if (!gateways.known_since) {
        gateways.known_since = now;
        ++gateways.revision;
    }
    if (now - *gateways.known_since >= settings.settling_time) {
        gateways.settled = true;
        ++gateways.revision;
    }
}

std::uint64_t assumed_gateways(gateway_set const& gateways) {
    std::uint64_t const listed = gateways.listed_at.size() + 1;
    bool const known = gateways.known_since && listed >= many_gateways;
    return known ? std::min(unlisted_factor * listed, most_gateways) : most_gateways;
}

// The part of a gateway that does not know the others: a request of its own to so many of the
// targets that all gateways together hardly exceed the rate at any of them, whoever they are.
unsigned unsettled_part(gateway_set const& gateways, std::string const& target, unsigned requests) {
    // The draw stays the same, so that a gateway keeps its targets when it assumes fewer others.
    rng draw{hash64(gateways.self) ^ mix(hash64(target))};
    return next_unit(draw) * static_cast<double>(assumed_gateways(gateways)) < requests ? 1 : 0;
}

std::size_t sends_since(cold_state const& state, time_point begin) {
    return static_cast<std::size_t>(
        state.sends.end() - std::upper_bound(state.sends.begin(), state.sends.end(), begin));
}

} // namespace

void update_gateway_set(gateway_set& gateways, std::vector<std::string> const& listed,
                        bool in_touch, cold_pace_settings const& settings, time_point now) {
    bool const interrupted = !gateways.in_touch || now - gateways.updated_at > max_update_gap;
    gateways.in_touch = in_touch;
    gateways.updated_at = now;
    bool changed = remember_listed(gateways, listed, now);
    if (interrupted || !in_touch) {
        for (auto& [address, at] : gateways.listed_at) {
            at = now;
        }
    }
    changed = std::erase_if(gateways.listed_at,
                            [&](auto const& entry) {
                                return now - entry.second > settings.gateway_memory;
                            }) > 0 ||
              changed;
    if (changed || gateways.self_hash == 0) {
        ++gateways.revision;
        gateways.self_hash = hash64(gateways.self);
        gateways.hashes.clear();
        for (auto const& [address, at] : gateways.listed_at) {
            gateways.hashes.push_back(hash64(address));
        }
    }
    bool const is_listed = std::find(listed.begin(), listed.end(), gateways.self) != listed.end();
    settle(gateways, is_listed, settings, now);
}

unsigned cold_requests(double rate, double overage, double allowance) {
    if (rate <= 0) {
        return 0;
    }
    // With less than one request a second, one is the least that is of use.
    double const whole = std::max(1.0, std::floor(rate));
    double const most = std::max(0.0, std::floor(rate * overage + allowance));
    constexpr double highest = 1e6;
    return static_cast<unsigned>(std::min({whole, most, highest}));
}

unsigned cold_part(gateway_set const& gateways, std::string const& target, unsigned requests) {
    if (!gateways.settled) {
        return unsettled_part(gateways, target, requests);
    }
    if (requests == 0) {
        return 0;
    }
    unsigned const bundle = (requests + max_bundles - 1) / max_bundles;
    auto const target_hash = hash64(target);
    unsigned part = 0;
    for (unsigned first = 0; first < requests; first += bundle) {
        auto const salt = mix(target_hash + first);
        auto const own = mix(gateways.self_hash ^ salt);
        bool const is_highest =
            std::none_of(gateways.hashes.begin(), gateways.hashes.end(),
                         [&](std::uint64_t other) { return mix(other ^ salt) > own; });
        part += is_highest ? std::min(bundle, requests - first) : 0;
    }
    return part;
}

bool is_cold(cold_state const& state, time_point now) {
    return state.declared && now < state.until;
}

bool is_limited(cold_state const& state, time_point now) {
    return state.paced && now < std::max(state.until, state.doubted_until);
}

void record_cold(cold_state& state, duration left, time_point now) {
    if (left > duration::zero()) {
        state.until = std::max(state.until, now + left);
    }
}

void record_doubt(cold_state& state, cold_pace_settings const& settings, time_point now) {
    state.doubted_until = now + settings.doubt_time;
}

void apply_cold_time(cold_state& state, duration cold_time) {
    if (cold_time > state.age_when_seen) {
        state.until = std::max(state.until, state.first_seen + cold_time - state.age_when_seen);
    }
}

void refresh_part(cold_state& state, gateway_set const& gateways, std::string const& target,
                  unsigned requests, cold_pace_settings const& settings, time_point now) {
    if (!is_limited(state, now)) {
        state.part = 0;
        state.part_revision = 0;
        return;
    }
    if (state.part_revision == gateways.revision && state.part_of == requests) {
        return;
    }
    bool const had_part = state.part > 0;
    state.part = cold_part(gateways, target, requests);
    state.part_of = requests;
    state.part_revision = gateways.revision;
    if (had_part || state.part == 0) {
        return;
    }
    rng phase{hash64(target) ^ gateways.self_hash};
    auto const latest = std::chrono::duration<double>{settings.window} / 2;
    state.begins_at = now + std::chrono::duration_cast<duration>(next_unit(phase) * latest);
}

void record_cold_send(cold_state& state, cold_pace_settings const& settings, time_point now) {
    if (!state.paced) {
        return;
    }
    while (!state.sends.empty() && now - state.sends.front() >= settings.window) {
        state.sends.pop_front();
    }
    state.sends.push_back(now);
}

std::optional<time_point> next_cold_send(cold_state const& state,
                                         cold_pace_settings const& settings, time_point now) {
    if (!is_limited(state, now)) {
        return now;
    }
    if (state.part == 0) {
        return std::nullopt;
    }
    auto next = std::max(now, state.begins_at);
    if (state.sends.empty()) {
        return next;
    }
    next = std::max(next, state.sends.back() + settings.window / (spacing_divisor * state.part));
    if (sends_since(state, now - settings.window) >= state.part) {
        auto const oldest = state.sends[state.sends.size() - state.part];
        next = std::max(next, oldest + settings.window);
    }
    return next;
}

bool may_send(cold_state const& state, time_point now) {
    auto const next = next_cold_send(state, {}, now);
    return next && *next <= now;
}

void add_shortage(cold_shortage& shortage, cold_state const& state) {
    auto const warm_at = std::max(state.until, state.doubted_until);
    shortage.warm_at = shortage.targets == 0 ? warm_at : std::min(shortage.warm_at, warm_at);
    shortage.parts += state.part;
    ++shortage.targets;
}

duration cold_slot_interval(cold_shortage const& shortage, cold_pace_settings const& settings,
                            time_point now) {
    auto const until_warm = std::max(duration::zero(), shortage.warm_at - now);
    return shortage.parts == 0 ? until_warm
                               : std::min(until_warm, settings.window / shortage.parts);
}

} // namespace fireflycrank
