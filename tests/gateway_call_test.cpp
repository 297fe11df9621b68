// What becomes of a request after a failed attempt, the retry budget over all gateways, and the
// split of event streams.
#include "callplan.h"
#include "eventsplit.h"
#include "retryledger.h"
#include "rng.h"
#include "stopplan.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;

bool promises_not_run(call_step step) {
    return step == call_step::refuse;
}

} // namespace

// Over all kinds of requests and all sequences of three attempts: a refusal is given only to what
// no target can have run, and what may have run is sent again only when that does no harm.
TEST_CASE("refusals are true and only harmless requests are sent again") {
    std::vector<attempt_end> const ends{attempt_end::not_connected, attempt_end::send_cut,
                                        attempt_end::refused,       attempt_end::wrong_target,
                                        attempt_end::lost,          attempt_end::broken};
    std::size_t checked = 0;
    for (auto const kind : {call_kind::idempotent, call_kind::once, call_kind::stream}) {
        for (bool const resumable : {false, true}) {
            for (std::size_t sequence = 0; sequence < ends.size() * ends.size() * ends.size();
                 ++sequence) {
                call_progress progress;
                progress.kind = kind;
                progress.resumable = resumable;
                progress.max_attempts = 2;
                bool ran = false;
                auto rest = sequence;
                for (int attempt = 0; attempt < 3; ++attempt) {
                    auto const end = ends[rest % ends.size()];
                    rest /= ends.size();
                    ran = ran || end == attempt_end::lost || end == attempt_end::broken;
                    progress.sent += end == attempt_end::not_connected ? 0 : 1;
                    progress.offers += end == attempt_end::not_connected ? 0 : 1;
                    progress.unconnected += end == attempt_end::not_connected ? 1 : 0;
                    auto const step = after_attempt(progress, end, true, [] { return true; });
                    ++checked;
                    CHECK_FALSE((promises_not_run(step) && ran));
                    if (step != call_step::try_another) {
                        break;
                    }
                    CHECK((!ran || may_run_again(progress)));
                    CHECK(progress.sent < progress.max_attempts);
                }
            }
        }
    }
    CHECK(checked > 1'000);
}

TEST_CASE("without budget or time nothing is sent again, and a started answer is broken off") {
    call_progress stream{call_kind::stream, true, 2, 1, 1, false, 0, false, true};
    CHECK(after_attempt(stream, attempt_end::broken, true, [] { return false; }) ==
          call_step::break_off);
    call_progress plain{call_kind::idempotent, false, 2, 1, 1, false, 0, false, false};
    CHECK(after_attempt(plain, attempt_end::refused, false, [] { return true; }) ==
          call_step::refuse);
    call_progress order{call_kind::once, false, 2, 1, 1, false, 0, false, false};
    CHECK(after_attempt(order, attempt_end::lost, true, [] { return true; }) ==
          call_step::report_unknown);
    // All targets that it may be sent to refused: one of them may be asked again, a few times.
    call_progress refused{call_kind::once, false, 1, 1, 1, true, 0, false, false};
    CHECK(after_attempt(refused, attempt_end::refused, true, [] { return true; }) ==
          call_step::try_another);
    refused.offers = max_offers;
    CHECK(after_attempt(refused, attempt_end::refused, true, [] { return true; }) ==
          call_step::refuse);
}

TEST_CASE("a first send that never left needs no budget") {
    call_progress order{call_kind::once, false, 1, 0, 0, false, 1, false, false};
    CHECK(after_attempt(order, attempt_end::not_connected, true, [] { return false; }) ==
          call_step::try_another);
}

// Gateways cannot hear each other; together they must keep the bound in every sliding window.
TEST_CASE("the retry budget holds over all gateways in every window") {
    rng random{3};
    constexpr std::size_t gateways = 8;
    retry_bound const bound{0.2, 92, std::chrono::seconds{10}};
    std::vector<retry_ledger> ledgers(gateways);
    std::vector<time_point> requests;
    std::vector<time_point> repeats;
    for (int step = 0; step < 40'000; ++step) {
        auto const now = time_point{milliseconds{step}};
        // Traffic comes in bursts, and every request wants to be repeated.
        bool const burst = step / 4'000 % 2 == 0;
        if (next_below(random, burst ? 8 : 40) == 0) {
            auto& ledger = ledgers[next_below(random, gateways)];
            count_request(ledger, bound, now);
            requests.push_back(now);
            for (int wanted = 0; wanted < 3; ++wanted) {
                if (take_repeat(ledger, bound, {gateways, time_point{milliseconds{-60'000}}},
                                now)) {
                    repeats.push_back(now);
                }
            }
        }
    }
    auto const in_window = [&](std::vector<time_point> const& times, time_point end) {
        std::size_t count = 0;
        for (auto const at : times) {
            count += at <= end && end - at < bound.window ? 1 : 0;
        }
        return static_cast<double>(count);
    };
    for (int end = 0; end < 40'000; end += 250) {
        auto const at = time_point{milliseconds{end}};
        CHECK(in_window(repeats, at) <= bound.ratio * in_window(requests, at) + bound.allowance);
    }
    CHECK(repeats.size() > 100);
}

TEST_CASE("every split of a stream gives whole events once") {
    std::string const bytes = "id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid: 3\ndata: c\n\n";
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        event_splitter splitter;
        auto whole = split_events(splitter, bytes.substr(0, cut));
        whole += split_events(splitter, bytes.substr(cut));
        CHECK(whole == bytes);
        CHECK(splitter.event_count == 3);
        CHECK(splitter.last_id == 3);
    }
}

// A target that goes on after a broken one may repeat events; the caller must see each once.
TEST_CASE("a stream that goes on elsewhere repeats and joins nothing") {
    event_splitter splitter;
    CHECK(split_events(splitter, "id: 1\ndata: a\n\nid: 2\ndata: b") == "id: 1\ndata: a\n\n");
    discard_partial(splitter);
    CHECK(split_events(splitter, "id: 1\ndata: a\n\nid: 2\ndata: x\n\n") == "id: 2\ndata: x\n\n");
    CHECK(splitter.last_id == 2);
}

// Found on kumamoto-shakyo-grown, day fresh-3978: a stream taken 4.4 s after the stop signal was
// cut at the end of the grace period.
TEST_CASE("a stopping gateway takes no request that it may have to cut") {
    for (auto const grace : {milliseconds{8'000}, milliseconds{4'000}, milliseconds{500}}) {
        auto const plan = plan_stop(time_point{milliseconds{1'000}}, grace);
        auto const accepts = plan.accept_until - time_point{milliseconds{1'000}};
        CHECK(accepts <= milliseconds{3'000});
        CHECK(accepts <= grace / 2);
        CHECK(plan.cut_at > plan.accept_until - milliseconds{1});
        CHECK(plan.cut_at < time_point{milliseconds{1'000}} + grace);
    }
    auto const usual = plan_stop(time_point{milliseconds{0}}, milliseconds{8'000});
    CHECK(usual.cut_at - time_point{milliseconds{0}} > milliseconds{8'000} * 5 / 6);
}

} // namespace fireflycrank
