// The retry budget over all gateways while they restart and do not all hear of each other.
#include "directorysync.h"
#include "directorywire.h"
#include "retrylimits.h"
#include "rng.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <vector>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point at_ms(std::int64_t count) {
    return time_point{milliseconds{count}};
}

constexpr std::size_t gateway_count = 8;
constexpr std::int64_t played_ms = 60'000;
constexpr std::int64_t unheard_ms = 500; // a process that has started is not listed before

struct played_budget {
    std::vector<std::int64_t> requests; ///< times in ms
    std::vector<std::int64_t> repeats;
};

std::size_t count_between(std::vector<std::int64_t> const& times, std::int64_t from,
                          std::int64_t to) {
    auto const first = std::upper_bound(times.begin(), times.end(), from);
    return static_cast<std::size_t>(std::upper_bound(first, times.end(), to) - first);
}

// How much the repeats of a window exceed the bound at most. Its requests are counted in that
// window, in the one before it or half a window before it, whichever has most.
double worst_excess(played_budget const& played, retry_limits const& bound) {
    auto const width = std::chrono::duration_cast<milliseconds>(bound.window).count();
    double worst = -bound.allowance;
    for (std::int64_t end = 0; end < played_ms; end += 100) {
        std::size_t requests = 0;
        for (auto const back : {std::int64_t{0}, width / 2, width}) {
            requests =
                std::max(requests, count_between(played.requests, end - back - width, end - back));
        }
        auto const repeats = count_between(played.repeats, end - width, end);
        auto const allowed = bound.ratio * static_cast<double>(requests) + bound.allowance;
        worst = std::max(worst, static_cast<double>(repeats) - allowed);
    }
    return worst;
}

struct trouble {
    std::int64_t restart_every_ms{0}; ///< 0: never
    bool all_at_once{false};
    std::int64_t cut_from_ms{0}; ///< halves that do not hear of each other
    std::int64_t cut_to_ms{0};
};

// Every request wants to be repeated twice, in bursts.
played_budget play(trouble const& what, retry_limits const& bound, std::uint64_t seed) {
    rng random{seed};
    std::array<retry_window_counts, gateway_count> ledgers;
    std::array<gateway_count_history, gateway_count> censuses;
    std::array<std::int64_t, gateway_count> started{};
    started.fill(-60'000);
    played_budget played;
    auto const listed_by = [&](std::size_t own, std::int64_t now) {
        bool const cut = now >= what.cut_from_ms && now < what.cut_to_ms;
        std::uint64_t listed = 1;
        for (std::size_t other = 0; other < gateway_count; ++other) {
            bool const heard = now - started[other] > unheard_ms && now - started[own] > unheard_ms;
            bool const same_half = own % 2 == other % 2;
            listed += other != own && heard && (same_half || !cut) ? 1 : 0;
        }
        return listed;
    };
    for (std::int64_t now = 0; now < played_ms; ++now) {
        if (what.restart_every_ms != 0 && now % what.restart_every_ms == 0) {
            auto const chosen = next_below(random, gateway_count);
            for (std::size_t one = 0; one < gateway_count; ++one) {
                if (what.all_at_once || one == chosen) {
                    ledgers[one] = {};
                    censuses[one] = {};
                    started[one] = now;
                }
            }
        }
        bool const burst = now / 4'000 % 2 == 0;
        if (next_below(random, burst ? 10 : 60) != 0) {
            continue;
        }
        auto const own = next_below(random, gateway_count);
        auto const at = at_ms(now);
        count_request(ledgers[own], bound, at);
        played.requests.push_back(now);
        for (int wanted = 0; wanted < 2; ++wanted) {
            // Registrars had heard of all before a cut, and tell that once a gateway hears them.
            auto const told = now - started[own] > unheard_ms ? gateway_count : 1;
            allowance_share const share{
                std::max(record_gateway_count(censuses[own], listed_by(own, now), at), told),
                at_ms(started[own])};
            if (take_retry(ledgers[own], bound, share, at)) {
                played.repeats.push_back(now);
            }
        }
    }
    return played;
}

} // namespace

// A gateway that starts has forgotten what it repeated, and took the whole allowance for its own
// until it heard of others; two halves that are cut off from each other each took it.
TEST_CASE("the retry budget holds while gateways restart and do not hear of each other") {
    retry_limits const bound{0.2, 92, seconds{10}};
    std::vector<trouble> const troubles{{},
                                        {500, false, 0, 0},
                                        {3'000, false, 0, 0},
                                        {7'000, true, 0, 0},
                                        {0, false, 20'000, 28'000},
                                        {4'000, false, 10'000, 45'000}};
    for (std::size_t number = 0; number < troubles.size(); ++number) {
        CAPTURE(number);
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            CHECK(worst_excess(play(troubles[number], bound, seed), bound) <= 0);
        }
    }
}

// A gateway that starts during a cut hears half of the others; the registrars heard them all.
TEST_CASE("a gateway learns from registrars how many share the allowance") {
    directory_publisher publisher;
    publisher.run = 1;
    auto const beat_of = [](std::size_t number) {
        directory_beat beat;
        beat.self.address = "g" + std::to_string(number);
        beat.self.role = daemon_role::gateway;
        return beat;
    };
    for (std::size_t number = 0; number < gateway_count; ++number) {
        take_beat(publisher, beat_of(number), at_ms(0));
    }
    refresh_daemons(publisher, {}, at_ms(100));
    auto const later = at_ms(10'000);
    take_beat(publisher, beat_of(0), later);
    refresh_daemons(publisher, {}, later); // the others have fallen silent
    target_directory const targets;
    auto const update = update_for(publisher, "g0", {&targets, 0, true, later, nullptr});
    directory_subscriber subscriber;
    subscriber.self = beat_of(0).self;
    gateway_count_history census;
    CHECK(sharing_gateways(census, subscriber, later) == 1);
    take_update(subscriber, "r", parse_update(serialize(update)).value(), later);
    CHECK(sharing_gateways(census, subscriber, later) == gateway_count);
    // Those that left for good free their parts after a while.
    refresh_daemons(publisher, {}, later + std::chrono::minutes{11});
    CHECK(publisher.most_gateways <= 1);
}

} // namespace fireflycrank
