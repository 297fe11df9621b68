#include "admission.h"
#include "bench.h"
#include "drain.h"
#include "retry.h"

#include <doctest/doctest.h>

#include <map>

using namespace fireflycrank;
using namespace std::chrono_literals;

namespace {

time_point const start{100s};

admission_request request_of(std::string team, double work, time_point now) {
    admission_request request;
    request.team = std::move(team);
    request.work = work;
    request.deadline = now + 60s;
    return request;
}

struct team_counts {
    int offered{0};
    int admitted{0};
};

/// Offers requests of 10 tokens in steps of 10 ms while the targets serve `capacity` tokens per
/// second in order of arrival. Counts the requests after the first 10 s.
std::map<std::string, team_counts> run_admission(admission_state& state, duration mean_queue_wait,
                                                 double capacity,
                                                 std::map<std::string, int> const& per_second,
                                                 std::uint64_t seed) {
    rng source{seed};
    std::map<std::string, team_counts> counts;
    auto now = start;
    std::vector<std::string> running;
    double credit = 0;
    for (int step = 0; step < 3000; ++step, now += 10ms) {
        for (auto const& [team, rate] : per_second) {
            for (int trial = 0; trial < 5; ++trial) {
                if (next_unit(source) * 500 >= rate) {
                    continue;
                }
                auto request = request_of(team, 10, now);
                request.mean_queue_wait = mean_queue_wait;
                bool const counted = step > 1000;
                counts[team].offered += counted ? 1 : 0;
                if (admit(state, request, source, now).admitted) {
                    counts[team].admitted += counted ? 1 : 0;
                    running.push_back(team);
                }
            }
        }
        credit = std::min(credit + capacity / 100, 20.0);
        for (; credit >= 10 && !running.empty(); credit -= 10) {
            release_admission(state, running.front(), 10, true, now);
            running.erase(running.begin());
        }
    }
    return counts;
}

} // namespace

TEST_CASE("under overload a flooding team is limited to its share and the others are admitted") {
    // Guards against one team's flood of requests displacing those of other teams.
    for (std::uint64_t seed = 0; seed < 5; ++seed) {
        admission_state state;
        state.policies["large"].weight = 2;
        auto const counts =
            run_admission(state, 10s, 1000, {{"flood", 400}, {"small", 10}, {"large", 40}}, seed);
        for (auto const* team : {"small", "large"}) {
            auto const& one = counts.at(team);
            REQUIRE(one.admitted >= 0.98 * one.offered);
        }
        auto const& flood = counts.at("flood");
        REQUIRE(flood.admitted < 0.25 * flood.offered);
        REQUIRE(flood.admitted > 0.08 * flood.offered); // It gets what the others leave unused.
    }
}

TEST_CASE("without overload shares are not enforced, and high priority is refused last") {
    // Guards against refusing work that the targets could run.
    admission_state state;
    auto const counts = run_admission(state, 1s, 1000, {{"flood", 90}, {"small", 1}}, 1);
    CHECK(counts.at("flood").admitted == counts.at("flood").offered);
    rng source{1};
    for (int at = 0; at < 400; ++at) {
        admit(state, request_of("flood", 100, start + 30s), source, start + 30s);
    }
    auto request = request_of("flood", 10, start + 30s);
    request.mean_queue_wait = 6s;
    CHECK(admit(state, request, source, start + 30s).reason == admission_reason::over_share);
    request.priority = 1;
    CHECK(admit(state, request, source, start + 30s).admitted);
}

TEST_CASE("refusals by team limits and deadlines have a retry-after with jitter") {
    // Guards against refused callers that retry at the same moment, and against leaked in-flight
    // counts.
    admission_state state;
    state.policies["a"] = {1, 10, 5, 0};
    state.policies["b"] = {1, 0, 20, 2};
    rng source{1};
    int admitted = 0;
    duration least = 24h;
    duration most{0};
    for (int at = 0; at < 200; ++at) {
        auto const result = admit(state, request_of("a", 1, start), source, start);
        admitted += result.admitted ? 1 : 0;
        if (!result.admitted) {
            REQUIRE(result.reason == admission_reason::rate_limited);
            least = std::min(least, result.retry_after);
            most = std::max(most, result.retry_after);
        }
    }
    CHECK(admitted == 5);
    CHECK(least >= 1s);
    CHECK(most <= 1500ms);
    CHECK(most - least > 400ms);
    CHECK(admit(state, request_of("a", 1, start), source, start + 100ms).admitted);
    admit(state, request_of("b", 1, start), source, start);
    admit(state, request_of("b", 1, start), source, start);
    CHECK(admit(state, request_of("b", 1, start), source, start).reason ==
          admission_reason::in_flight_limit);
    release_admission(state, "b", 1, true, start);
    CHECK(admit(state, request_of("b", 1, start), source, start).admitted);
    auto late = request_of("c", 1, start);
    late.expected_wait = 61s;
    auto const refused = admit(state, late, source, start);
    CHECK(refused.reason == admission_reason::deadline);
    CHECK(refused.retry_after >= 60s);
}

TEST_CASE("when every attempt fails, repeats and hedges stay within the budget") {
    // Guards against amplification of the load by a retry storm.
    retry_budget budget;
    rng source{1};
    auto now = start;
    retry_request request;
    request.idempotent = true;
    for (int at = 0; at < 10'000; ++at, now += 100ms) {
        record_first_attempt(budget, now);
        request.deadline = now + 60s;
        request.repeats = 0;
        while (decide_retry(budget, request, attempt_outcome::server_error, source, now).action !=
               retry_action::give_up) {
            ++request.repeats;
        }
        try_hedge(budget, request, 2s, 1s, now);
    }
    auto const extra = budget.repeats + budget.hedges;
    CHECK(extra > 900);
    CHECK(extra <= 1000 + 1); // The first request is granted one repeat, since the entry was idle.
}

TEST_CASE("only attempts that may be repeated are, and refusals have a limit of their own") {
    // Guards against running a non-idempotent request twice (I4), and against refusals that use up
    // the budget meant for lost targets.
    retry_budget budget;
    budget.retries_available = 5;
    rng source{1};
    retry_request request;
    request.deadline = start + 60s;
    auto const decide = [&](attempt_outcome outcome) {
        return decide_retry(budget, request, outcome, source, start);
    };
    for (auto const outcome :
         {attempt_outcome::target_lost, attempt_outcome::timed_out, attempt_outcome::server_error,
          attempt_outcome::client_error, attempt_outcome::corrupt_output}) {
        CHECK(decide(outcome).reason == give_up_reason::not_idempotent);
    }
    for (; request.tries_elsewhere < 3; ++request.tries_elsewhere) {
        CHECK(decide(attempt_outcome::not_run).action == retry_action::try_elsewhere);
    }
    CHECK(decide(attempt_outcome::not_run).reason == give_up_reason::repeats_exhausted);
    CHECK(budget.retries_available == 5);
    request.idempotent = true;
    CHECK(decide(attempt_outcome::client_error).reason == give_up_reason::cannot_help);
    CHECK(decide(attempt_outcome::target_lost).action == retry_action::restart);
    request.response_started = true;
    CHECK(decide(attempt_outcome::target_lost).reason == give_up_reason::partly_passed_on);
    request.resumable = true;
    CHECK(decide(attempt_outcome::target_lost).action == retry_action::resume);
    CHECK(decide(attempt_outcome::corrupt_output).reason == give_up_reason::partly_passed_on);
    CHECK(budget.retries_available == 3);
    budget.retries_available = 0;
    CHECK(decide(attempt_outcome::target_lost).reason == give_up_reason::budget_exhausted);
    request.repeats = 2;
    CHECK(decide(attempt_outcome::target_lost).reason == give_up_reason::repeats_exhausted);
    request.deadline = start + 50ms;
    CHECK(decide(attempt_outcome::not_run).reason == give_up_reason::deadline);
    for (std::uint32_t repeat = 1; repeat < 40; ++repeat) {
        CHECK(backoff(budget.settings, repeat, source) <= budget.settings.max_backoff);
    }
}

TEST_CASE("a planned stop of a target refuses within 3 s and waits for its stream") {
    // Guards against new work after 3 s (I5) and against aborting a stream in flight (I6).
    drain_state state;
    leave_target(state, start);
    CHECK_FALSE(step_target(state, {1, 0}, start + 900ms).refuse_new);
    auto actions = step_target(state, {1, 0}, start + 1s);
    CHECK(actions.refuse_new);
    CHECK(actions.hand_back_waiting);
    leave_target(state, start + 2s);
    for (int second = 2; second < 600; ++second) {
        actions = step_target(state, {1, 0}, start + 1s * second);
        REQUIRE(actions.refuse_new);
        REQUIRE_FALSE(actions.hand_back_waiting);
        REQUIRE_FALSE(actions.may_exit);
    }
    CHECK_FALSE(step_target(state, {0, 1}, start + 600s).may_exit);
    CHECK(step_target(state, {0, 0}, start + 601s).may_exit);
}

TEST_CASE("a leaving entry serves for the time to live of its address") {
    // Guards against refused connections of callers that use a cached address.
    drain_state state;
    CHECK(address_published(state));
    leave_entry(state, start);
    CHECK_FALSE(address_published(state));
    CHECK_FALSE(step_entry(state, {0, 0}, start + 31s).refuse_new);
    CHECK(step_entry(state, {1, 0}, start + 32s).refuse_new);
    CHECK_FALSE(step_entry(state, {0, 1}, start + 61s).may_exit);
    CHECK(step_entry(state, {0, 1}, start + 62s).may_exit);
}

TEST_CASE("the warm-up ramp rises from its floor to full speed") {
    // Guards against a division by zero and a share above 1.
    CHECK(warm_share(0s, 30s, 0.1) == doctest::Approx(0.1));
    CHECK(warm_share(15s, 30s, 0.1) == doctest::Approx(0.55));
    CHECK(warm_share(31s, 30s, 0.1) == 1);
    CHECK(warm_share(0s, 0s, 0.1) == 1);
}

TEST_CASE("counted bench figures are equal in all runs with one seed and meet their targets") {
    // Guards against decisions that don't depend on the seed alone, and against regressions.
    auto const first = bench_routing(1);
    auto const second = bench_routing(1);
    REQUIRE(first.size() == second.size());
    for (std::size_t at = 0; at < first.size(); ++at) {
        if (first[at].counted) {
            CAPTURE(first[at].name);
            CHECK(first[at].value == second[at].value);
            CHECK(first[at].holds);
        }
    }
}
