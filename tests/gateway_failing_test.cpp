// Tests that targets which answer every request with a failure do not attract traffic. They are
// fast and look idle, so a choice by load alone would send them most of it.
#include "retrypolicy.h"
#include "targetchoice.h"

#include <doctest/doctest.h>

#include <deque>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;

time_point at_ms(std::int64_t count) {
    return time_point{milliseconds{count}};
}

constexpr unsigned slots = 10;
constexpr milliseconds service_time{1'500}; // of a stream
constexpr milliseconds failure_time{20};
constexpr std::size_t gateways = 12;
constexpr std::size_t target_count = 40;
constexpr std::size_t failing_count = 5;
constexpr int requests_per_tick = 2; // in 10 ms; uses 70% of the slots
constexpr milliseconds tick{10};

struct traffic_totals {
    int sent{0};
    int failed{0};
};

// Simulates gateways that choose by load reports every 200 ms and their own sends. With
// `use_bad_answers` they avoid targets that answered with failures.
traffic_totals simulate(bool use_bad_answers) {
    rng random{7};
    choice_settings const settings;
    std::vector<std::map<std::string, target_view>> views(gateways);
    std::map<std::string, unsigned> running;
    struct run {
        std::int64_t ends;
        std::size_t gateway;
        std::string target;
        bool fails;
    };
    std::deque<run> runs;
    for (std::size_t number = 0; number < target_count; ++number) {
        auto const id = "t" + std::to_string(number);
        for (auto& view : views) {
            view[id].announcement = {id, "s", id, "z", "v", slots, target_phase::ready, {}, {}, 1};
        }
    }
    auto const fails = [](std::string const& id) {
        return std::stoul(id.substr(1)) < failing_count;
    };
    traffic_totals totals;
    for (std::int64_t ms = 0; ms < 8'000; ms += tick.count()) {
        std::erase_if(runs, [&](run const& entry) {
            if (entry.ends > ms) {
                return false;
            }
            auto& view = views[entry.gateway].at(entry.target);
            --view.own_in_flight;
            --running[entry.target];
            if (!entry.fails || !use_bad_answers) {
                record_success(view);
            } else {
                record_error_response(view, settings, at_ms(ms));
            }
            return true;
        });
        for (auto& view : views) {
            for (auto& [id, entry] : view) {
                entry.last_heard = at_ms(ms);
                if (ms % 200 == 0) {
                    entry.load = load_sample{at_ms(ms), running[id], 0, entry.own_in_flight, 1.0};
                }
            }
        }
        for (int request = 0; request < requests_per_tick; ++request) {
            auto const gateway = next_below(random, gateways);
            auto const choice =
                choose_target(views[gateway], "s", "z", {}, settings, random, at_ms(ms));
            bool const is_failure = fails(choice.id);
            ++totals.sent;
            totals.failed += is_failure ? 1 : 0;
            ++views[gateway].at(choice.id).own_in_flight;
            ++running[choice.id];
            auto const run_time = is_failure ? failure_time : service_time;
            runs.push_back({ms + run_time.count(), gateway, choice.id, is_failure});
        }
    }
    return totals;
}

} // namespace

// Regression: 7 of 63 targets failed every request for seven seconds and received half of the
// traffic.
TEST_CASE("targets that fail every request receive only probes") {
    auto const without_suspicion = simulate(false);
    auto const with_suspicion = simulate(true);
    REQUIRE(without_suspicion.sent == with_suspicion.sent);
    CHECK(without_suspicion.failed > without_suspicion.sent / 4);
    // Allows each gateway five requests per failing target: probes at the start and after 1, 3 and
    // 7 s, and what it sends until the first failure arrives.
    CHECK(with_suspicion.failed <= static_cast<int>(gateways * failing_count * 5));
    CHECK(with_suspicion.failed < without_suspicion.failed / 2);
}

TEST_CASE(
    "a suspect target is used if no other is left, and no longer suspect after a good answer") {
    choice_settings const settings;
    rng random{1};
    std::map<std::string, target_view> targets;
    for (auto const* const id : {"a", "b"}) {
        targets[id].announcement = {id, "s", id, "z", "v", slots, target_phase::ready, {}, {}, 1};
        targets[id].last_heard = at_ms(1'000);
    }
    auto const choose = [&] {
        return choose_target(targets, "s", "z", {}, settings, random, at_ms(1'000));
    };
    record_error_response(targets.at("a"), settings, at_ms(1'000));
    for (int choice = 0; choice < 10; ++choice) {
        CHECK(choose().id == "b");
    }
    record_error_response(targets.at("b"), settings, at_ms(1'000));
    CHECK(choose().healthy); // requests do not wait for a service whose targets all fail
    CHECK(choose().suspect);
    record_success(targets.at("a"));
    CHECK(choose().id == "a");
    CHECK_FALSE(choose().suspect);
}

TEST_CASE("a failed request is retried at another target if that is safe, otherwise the failure is "
          "passed on") {
    auto const step = [](call_kind kind, bool resumable, unsigned sent, bool budget) {
        call_progress progress;
        progress.kind = kind;
        progress.resumable = resumable;
        progress.max_attempts = 2;
        progress.distinct_targets = sent;
        progress.sends = sent;
        return decide_after_attempt(progress, attempt_result::failed, true, [&] { return budget; });
    };
    CHECK(step(call_kind::once, false, 1, true) == call_action::pass_on);
    CHECK(step(call_kind::stream, false, 1, true) == call_action::pass_on);
    CHECK(step(call_kind::stream, true, 1, true) == call_action::try_another);
    CHECK(step(call_kind::idempotent, false, 1, true) == call_action::try_another);
    CHECK(step(call_kind::idempotent, false, 1, false) == call_action::pass_on);
    CHECK(step(call_kind::idempotent, false, 2, true) == call_action::pass_on);
}

// Some requests fail at every target; retrying all of them would use up the retry budget.
TEST_CASE("failures are rarely retried while retries do not succeed") {
    rng random{2};
    failure_retry_stats stats;
    int repeated = 0;
    for (int failure = 0; failure < 400; ++failure) {
        if (should_retry_failure(stats, random)) {
            ++repeated;
            record_retry_result(stats, false);
        }
    }
    CHECK(repeated < 100);
    for (int failure = 0; failure < 60; ++failure) {
        if (should_retry_failure(stats, random)) {
            record_retry_result(stats, true);
        }
    }
    CHECK(stats.success_rate > 0.3);
}

} // namespace fireflycrank
