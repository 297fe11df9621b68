// The load pattern: engines leave a part of all orders unanswered and carry them out seconds later.
// Guards against a group of 96 ranks that is held for its slowest rank until its coordinator asks
// again, which made every stream late.
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
constexpr unsigned runs = 200;
// With passes of 90 ms and the 40 ms that arming takes anyway, events stay within the pause that
// callers accept in groups of this size (150 ms).
constexpr milliseconds held_limit{20};
constexpr milliseconds prepare_limit{300};

// Time until every rank's engine has carried an order out; the coordinator asks each rank again
// after `resend`, and the agent gives an unanswered order again by itself.
milliseconds until_all_done(repeat_limits const& limits, duration resend, double lost,
                            rng& random) {
    std::vector<given_order> given(ranks, given_order{limits, 0, {}, false});
    milliseconds longest{0};
    for (auto& order : given) {
        for (milliseconds at{0}; !order.answered; ++at) {
            time_point const now{at};
            bool const asked_again = at > milliseconds{0} && at % resend == duration::zero();
            if (asked_again) {
                order = {limits, 0, {}, false};
            }
            if (give_now(order, now) && next_unit(random) >= lost) {
                order.answered = true;
                longest = std::max(longest, at);
            }
        }
    }
    return longest;
}

unsigned runs_within(milliseconds limit, repeat_limits const& limits, duration resend,
                     double lost) {
    unsigned within = 0;
    for (unsigned seed = 1; seed <= runs; ++seed) {
        rng random{seed};
        within += until_all_done(limits, resend, lost, random) <= limit ? 1 : 0;
    }
    return within;
}

group_tuning budget_of_large_group() {
    return derive_group_tuning({ranks, std::size_t{16} * 192, 6}, false);
}

} // namespace

TEST_CASE("a tenth of the orders unanswered: 96 ranks are armed before an event is late") {
    auto const resend = budget_of_large_group().arm_resend;
    CHECK(runs_within(held_limit, arm_repeats, resend, 0.1) >= runs * 85 / 100);
    CHECK(runs_within(2 * held_limit, arm_repeats, resend, 0.1) >= runs * 99 / 100);
    // The coordinator alone is too slow.
    CHECK(runs_within(held_limit, {resend, 1}, resend, 0.1) == 0);
}

TEST_CASE("a third of the orders unanswered: a map is prepared within the time of a change") {
    auto const resend = budget_of_large_group().prepare_resend;
    CHECK(runs_within(prepare_limit, prepare_repeats, resend, 0.35) >= runs * 95 / 100);
    CHECK(runs_within(prepare_limit, {resend, 1}, resend, 0.35) == 0);
}

TEST_CASE("an order is given again only while it is unanswered, and not for ever") {
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
