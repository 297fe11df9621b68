// Tests of what targets say about themselves in their responses: that they leave, and that they
// want no requests for a while.
#include "platform/callheaders.h"
#include "targetchoice.h"

#include <doctest/doctest.h>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;

time_point at_ms(std::int64_t count) {
    return time_point{milliseconds{count}};
}

std::map<std::string, target_view> make_targets() {
    std::map<std::string, target_view> targets;
    for (auto const* const id : {"t1", "t2"}) {
        auto& view = targets[id];
        view.announcement.id = id;
        view.announcement.service = "s";
        view.announcement.slots = 4;
    }
    return targets;
}

std::string choose(std::map<std::string, target_view> const& targets, std::int64_t ms) {
    rng random{1};
    return choose_target(targets, "s", "z", {}, {}, random, at_ms(ms)).id;
}

target_response decode(unsigned status, header_list headers) {
    message_head head;
    head.status = status;
    head.headers = std::move(headers);
    return platform::decode_target_response(head);
}

} // namespace

// Failure: requests reach a target that said in a response that it leaves, until its announcement
// arrives.
TEST_CASE("a target that says in a response that it leaves gets no further request") {
    CHECK(decode(200, {{"Server-Leaving", "1"}}).leaving);
    CHECK_FALSE(decode(200, {{"Server-Leaving", "0"}}).leaving);
    CHECK_FALSE(decode(200, {}).leaving);
    auto targets = make_targets();
    targets.at("t1").leaving = true;
    for (int draw = 0; draw < 20; ++draw) {
        CHECK(choose(targets, draw) == "t2");
    }
    targets.at("t2").leaving = true;
    CHECK(choose(targets, 100).empty());
}

// Failure: a target that asked for a pause is used as a last resort, because no other is left.
TEST_CASE("a target gets nothing during the pause that it asked for, also if no other is left") {
    CHECK(decode(503, {{"Retry-After", "1.5"}}).retry_after == milliseconds{1'500});
    CHECK(decode(503, {{"Retry-After", "2"}}).retry_after == milliseconds{2'000});
    CHECK_FALSE(decode(503, {{"Retry-After", "-1"}}).retry_after);
    CHECK_FALSE(decode(503, {{"Retry-After", "soon"}}).retry_after);
    CHECK_FALSE(decode(503, {}).retry_after);
    auto targets = make_targets();
    record_pause(targets.at("t1"), milliseconds{2'000}, at_ms(0));
    record_pause(targets.at("t1"), milliseconds{500}, at_ms(0)); // does not shorten the first one
    CHECK(choose(targets, 1'000) == "t2");
    record_pause(targets.at("t2"), milliseconds{5'000}, at_ms(0));
    CHECK(choose(targets, 1'999).empty());
    CHECK(choose(targets, 2'000) == "t1");
}

} // namespace fireflycrank
