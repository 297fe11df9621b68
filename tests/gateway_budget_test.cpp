// Tests of the retry budget over all gateways while they restart and do not all know of each other.
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
constexpr std::int64_t simulated_ms = 60'000;
constexpr std::int64_t listing_delay_ms = 500; // until a started process is listed

struct simulated_traffic {
    std::vector<std::int64_t> requests; ///< times in ms
    std::vector<std::int64_t> retries;
};

std::size_t count_between(std::vector<std::int64_t> const& times, std::int64_t from,
                          std::int64_t to) {
    auto const first = std::upper_bound(times.begin(), times.end(), from);
    return static_cast<std::size_t>(std::upper_bound(first, times.end(), to) - first);
}

// Returns the largest excess of retries over the limit in any window. The requests are those of the
// same window, of the one before it or of the one half a window earlier, whichever has most.
double max_excess(simulated_traffic const& traffic, retry_limits const& limits) {
    auto const width = std::chrono::duration_cast<milliseconds>(limits.window).count();
    double excess = -limits.allowance;
    for (std::int64_t end = 0; end < simulated_ms; end += 100) {
        std::size_t requests = 0;
        for (auto const offset : {std::int64_t{0}, width / 2, width}) {
            requests = std::max(
                requests, count_between(traffic.requests, end - offset - width, end - offset));
        }
        auto const retries = count_between(traffic.retries, end - width, end);
        auto const allowed = limits.ratio * static_cast<double>(requests) + limits.allowance;
        excess = std::max(excess, static_cast<double>(retries) - allowed);
    }
    return excess;
}

struct fault_plan {
    std::int64_t restart_period_ms{0}; ///< 0: never
    bool all_at_once{false};
    std::int64_t partition_from_ms{0}; ///< between two halves of the gateways
    std::int64_t partition_to_ms{0};
};

// Simulates bursts of requests, each of which tries to take two retries.
simulated_traffic simulate(fault_plan const& faults, retry_limits const& limits,
                           std::uint64_t seed) {
    rng random{seed};
    std::array<retry_window_counts, gateway_count> counts;
    std::array<gateway_count_history, gateway_count> gateway_counts;
    std::array<std::int64_t, gateway_count> started{};
    started.fill(-60'000);
    simulated_traffic traffic;
    auto const count_listed_by = [&](std::size_t own, std::int64_t now) {
        bool const partitioned = now >= faults.partition_from_ms && now < faults.partition_to_ms;
        std::uint64_t listed = 1;
        for (std::size_t other = 0; other < gateway_count; ++other) {
            bool const both_listed =
                now - started[other] > listing_delay_ms && now - started[own] > listing_delay_ms;
            bool const same_half = own % 2 == other % 2;
            listed += other != own && both_listed && (same_half || !partitioned) ? 1 : 0;
        }
        return listed;
    };
    for (std::int64_t now = 0; now < simulated_ms; ++now) {
        if (faults.restart_period_ms != 0 && now % faults.restart_period_ms == 0) {
            auto const chosen = next_below(random, gateway_count);
            for (std::size_t index = 0; index < gateway_count; ++index) {
                if (faults.all_at_once || index == chosen) {
                    counts[index] = {};
                    gateway_counts[index] = {};
                    started[index] = now;
                }
            }
        }
        bool const burst = now / 4'000 % 2 == 0;
        if (next_below(random, burst ? 10 : 60) != 0) {
            continue;
        }
        auto const own = next_below(random, gateway_count);
        auto const at = at_ms(now);
        count_request(counts[own], limits, at);
        traffic.requests.push_back(now);
        for (int attempt = 0; attempt < 2; ++attempt) {
            // The registrars know the number of gateways from before the partition and tell it to a
            // gateway once it is attached.
            auto const known_by_registrars =
                now - started[own] > listing_delay_ms ? gateway_count : 1;
            allowance_share const share{
                std::max(record_gateway_count(gateway_counts[own], count_listed_by(own, now), at),
                         known_by_registrars),
                at_ms(started[own])};
            if (take_retry(counts[own], limits, share, at)) {
                traffic.retries.push_back(now);
            }
        }
    }
    return traffic;
}

} // namespace

// A restarted gateway does not know the retries of its former process, and used the whole allowance
// until it learned of other gateways; the two halves of a partition each used it.
TEST_CASE("the retry budget holds while gateways restart or are partitioned") {
    retry_limits const limits{0.2, 92, seconds{10}};
    std::vector<fault_plan> const plans{{},
                                        {500, false, 0, 0},
                                        {3'000, false, 0, 0},
                                        {7'000, true, 0, 0},
                                        {0, false, 20'000, 28'000},
                                        {4'000, false, 10'000, 45'000}};
    for (std::size_t number = 0; number < plans.size(); ++number) {
        CAPTURE(number);
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            CHECK(max_excess(simulate(plans[number], limits, seed), limits) <= 0);
        }
    }
}

// A gateway that starts during a partition learns only of half of the others, but the registrars
// knew all of them.
TEST_CASE("a gateway learns from registrars how many gateways share the allowance") {
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
    refresh_daemons(publisher, {}, later); // the others no longer send beats
    target_directory const targets;
    auto const update = update_for(publisher, "g0", {&targets, 0, true, later, nullptr});
    directory_subscriber subscriber;
    subscriber.self = beat_of(0).self;
    gateway_count_history gateway_counts;
    CHECK(sharing_gateways(gateway_counts, subscriber, later) == 1);
    take_update(subscriber, "r", parse_update(serialize(update)).value(), later);
    CHECK(sharing_gateways(gateway_counts, subscriber, later) == gateway_count);
    // The shares of gateways that left are released after some minutes.
    refresh_daemons(publisher, {}, later + std::chrono::minutes{11});
    CHECK(publisher.most_gateways <= 1);
}

} // namespace fireflycrank
