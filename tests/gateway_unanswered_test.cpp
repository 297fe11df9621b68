// Tests of repeated orders while engines leave a part of all orders unanswered and carry them out
// only seconds later. Guards against a group of 96 ranks that waits for its slowest rank until the
// coordinator resends the order, which delayed every stream.
#include "grouptuning.h"
#include "orderrepeat.h"
#include "rng.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;

constexpr unsigned ranks = 96;
constexpr unsigned run_count = 200;
// Together with passes of 90 ms and the 40 ms that arming takes anyway, the pause between events
// stays within the 150 ms that callers accept in groups of this size.
constexpr milliseconds arm_time_limit{20};
constexpr milliseconds prepare_time_limit{300};

// Returns the time until the engine of every rank has answered an order. The coordinator resends
// the order to each rank after `resend`, and each agent repeats an unanswered order to its engine.
milliseconds time_until_all_answered(repeat_limits const& limits, duration resend, double loss_rate,
                                     rng& random) {
    std::vector<given_order> orders(ranks, given_order{limits, 0, {}, false});
    milliseconds longest{0};
    for (auto& order : orders) {
        for (milliseconds at{0}; !order.answered; ++at) {
            time_point const now{at};
            bool const resent_by_coordinator =
                at > milliseconds{0} && at % resend == duration::zero();
            if (resent_by_coordinator) {
                order = {limits, 0, {}, false};
            }
            if (give_now(order, now) && next_unit(random) >= loss_rate) {
                order.answered = true;
                longest = std::max(longest, at);
            }
        }
    }
    return longest;
}

unsigned count_runs_within(milliseconds limit, repeat_limits const& limits, duration resend,
                           double loss_rate) {
    unsigned within = 0;
    for (unsigned seed = 1; seed <= run_count; ++seed) {
        rng random{seed};
        within += time_until_all_answered(limits, resend, loss_rate, random) <= limit ? 1 : 0;
    }
    return within;
}

group_tuning budget_of_large_group() {
    return derive_group_tuning({ranks, std::size_t{16} * 192, 6}, false);
}

} // namespace

TEST_CASE("with a tenth of the orders unanswered, 96 ranks are armed before an event is late") {
    auto const resend = budget_of_large_group().arm_resend;
    CHECK(count_runs_within(arm_time_limit, arm_repeats, resend, 0.1) >= run_count * 85 / 100);
    CHECK(count_runs_within(2 * arm_time_limit, arm_repeats, resend, 0.1) >= run_count * 99 / 100);
    // Resends by the coordinator alone are too slow.
    CHECK(count_runs_within(arm_time_limit, {resend, 1}, resend, 0.1) == 0);
}

TEST_CASE("with a third of the orders unanswered, a map is prepared within the time of a change") {
    auto const resend = budget_of_large_group().prepare_resend;
    CHECK(count_runs_within(prepare_time_limit, prepare_repeats, resend, 0.35) >=
          run_count * 95 / 100);
    CHECK(count_runs_within(prepare_time_limit, {resend, 1}, resend, 0.35) == 0);
}

TEST_CASE("an order is repeated only while it is unanswered, and a limited number of times") {
    given_order order{{milliseconds{10}, 3}, 0, {}, false};
    auto const at = [](std::int64_t ms) { return time_point{milliseconds{ms}}; };
    CHECK(give_now(order, at(0)));
    CHECK_FALSE(give_now(order, at(9)));
    CHECK(give_now(order, at(10)));
    CHECK(give_now(order, at(25)));
    CHECK_FALSE(give_now(order, at(60)));
    order = {{milliseconds{10}, 3}, 0, {}, false};
    CHECK(give_now(order, at(0)));
    order.answered = true;
    CHECK_FALSE(give_now(order, at(20)));
}

} // namespace fireflycrank
