// Tests who is ended when memory or connections are short. Guards against a process that is filled
// by bodies that stop short of their end, and against ending callers that make progress or whose
// request has been handed to its handler.
#include "bodyadmission.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t megabyte = 1'000'000;
time_point const begin{seconds{100}};

connection_holding reading(std::size_t bytes, duration still) {
    return {holding_kind::reading, bytes, begin - still, false};
}

class fake_connection : public held_connection {
public:
    fake_connection(body_admission& account, connection_holding state)
        : account_{&account}, state_{state} {
        account_->add(*this);
        account_->budget.held += state_.bytes;
    }
    ~fake_connection() override { account_->remove(*this); }
    connection_holding holding(time_point /*now*/) override { return state_; }
    void end_for_room() override {
        account_->budget.held -= state_.bytes;
        state_.bytes = 0;
        ended = true;
    }
    bool yield_connection() override {
        closed = !has_request;
        return closed;
    }

    bool ended{false};
    bool closed{false};
    bool has_request{false}; ///< one has arrived that the listener has not read yet

private:
    body_admission* account_;
    connection_holding state_;
};

} // namespace

TEST_CASE("a process without known limits limits nothing") {
    auto const limits = limits_of_process(0, 0);
    memory_budget const budget{limits, 1'000 * megabyte};
    CHECK(missing_bytes(budget, 1'000 * megabyte, false) == 0);
    body_admission admission;
    CHECK(admission.admit_connection(begin));
}

TEST_CASE("the largest legal body fits on the smallest machine") {
    memory_budget const budget{limits_of_process(128 * megabyte, 2'048), 0};
    constexpr std::size_t largest_body = 4U << 20U;
    CHECK(missing_bytes(budget, 2 * largest_body, false) == 0);
}

// What waits in the kernel counts as memory of the machine, too.
TEST_CASE("sockets of all connections hold at most half as much as the process may") {
    struct machine {
        std::size_t megabytes;
        std::size_t descriptors;
    };
    for (auto const& one : {machine{48, 400}, machine{256, 1'000}, machine{4'096, 4'096}}) {
        CAPTURE(one.megabytes);
        auto const limits = limits_of_process(one.megabytes * megabyte, one.descriptors);
        constexpr std::size_t directions = 2;
        constexpr std::size_t kernel_factor = 2;
        CHECK(limits.socket_buffer >= 16 << 10);
        CHECK(limits.connections * limits.socket_buffer * directions * kernel_factor <=
              limits.bytes / 2);
    }
    CHECK(limits_of_process(0, 400).socket_buffer == 0);
    CHECK(limits_of_process(megabyte, 0).socket_buffer == 0);
}

TEST_CASE("large bodies leave room to small requests") {
    memory_budget const budget{{40 * megabyte, 0}, 30 * megabyte};
    CHECK(missing_bytes(budget, megabyte, false) == megabyte);
    CHECK(missing_bytes(budget, megabyte, true) == 0);
}

TEST_CASE("the body that holds much and stands still is ended first") {
    std::vector<connection_holding> const holdings{
        reading(megabyte, seconds{5}), reading(8 * megabyte, seconds{3}),
        reading(8 * megabyte, milliseconds{200}), reading(2 * megabyte, seconds{2})};
    CHECK(choose_for_memory(holdings, megabyte, begin) == std::vector<std::size_t>{1});
    CHECK(choose_for_memory(holdings, 9 * megabyte, begin) == std::vector<std::size_t>{1, 0});
}

TEST_CASE("nobody is ended if that does not free enough") {
    std::vector<connection_holding> const holdings{reading(megabyte, seconds{5}),
                                                   reading(8 * megabyte, milliseconds{200})};
    CHECK(choose_for_memory(holdings, 2 * megabyte, begin).empty());
}

TEST_CASE("a request at its handler and a caller that reads are never ended") {
    std::vector<connection_holding> const holdings{
        {holding_kind::busy, 8 * megabyte, begin - seconds{30}, false}};
    CHECK(choose_for_memory(holdings, megabyte, begin).empty());
    CHECK(choose_for_connection(holdings, begin) == holdings.size());
}

TEST_CASE("an answer that is not read is ended for others") {
    std::vector<connection_holding> const holdings{
        {holding_kind::unread, 8 * megabyte, begin - seconds{2}, true}};
    CHECK(choose_for_memory(holdings, megabyte, begin) == std::vector<std::size_t>{0});
}

TEST_CASE("a connection that never sent a request yields before one that has") {
    std::vector<connection_holding> const holdings{
        {holding_kind::idle, 4'096, begin - seconds{10}, true},
        {holding_kind::idle, 4'096, begin - seconds{1}, false},
        {holding_kind::idle, 4'096, begin - milliseconds{10}, false}};
    CHECK(choose_for_connection(holdings, begin) == 1);
}

TEST_CASE("of used connections the one that was idle for the longest yields") {
    std::vector<connection_holding> const holdings{
        {holding_kind::idle, 4'096, begin - seconds{1}, true},
        {holding_kind::idle, 4'096, begin - seconds{2}, true}};
    CHECK(choose_for_connection(holdings, begin) == 1);
}

TEST_CASE("single bytes do not count as progress of a large body") {
    progress_mark mark{begin, 0};
    for (int byte = 0; byte < 1'000; ++byte) {
        note_progress(mark, 1, 8 * megabyte, begin + seconds{1});
    }
    CHECK(mark.at == begin);
    note_progress(mark, 16U << 10U, 8 * megabyte, begin + seconds{2});
    CHECK(mark.at == begin + seconds{2});
}

TEST_CASE("room is made by ending stalled bodies, and refused otherwise") {
    body_admission admission;
    admission.budget.limits = {20 * megabyte, 2};
    fake_connection stalled{admission, reading(8 * megabyte, seconds{5})};
    fake_connection moving{admission, reading(6 * megabyte, milliseconds{100})};
    fake_connection const asker{admission, reading(0, seconds{0})};

    CHECK_FALSE(admission.make_room(asker, 10 * megabyte, false, begin));
    CHECK_FALSE(stalled.ended); // ending it alone frees too little
    CHECK(admission.make_room(asker, 8 * megabyte, false, begin));
    CHECK(stalled.ended);
    CHECK_FALSE(moving.ended);
    CHECK(admission.refusals().at("stalled") == 1);
    CHECK(admission.budget.held == 6 * megabyte);
}

TEST_CASE("a full process closes a stalled connection for a new one") {
    body_admission admission;
    admission.budget.limits = {0, 2};
    fake_connection moving{admission, reading(10, milliseconds{100})};
    fake_connection stalled{admission, reading(10, seconds{5})};
    CHECK(admission.admit_connection(begin));
    CHECK(stalled.closed);
    CHECK_FALSE(moving.closed);
}

TEST_CASE("a connection with a request that has just arrived is not closed for a new one") {
    body_admission admission;
    admission.budget.limits = {0, 2};
    fake_connection older{admission, {holding_kind::idle, 10, begin - seconds{5}, true}};
    fake_connection newer{admission, {holding_kind::idle, 10, begin - seconds{2}, true}};
    older.has_request = true;
    CHECK(admission.admit_connection(begin));
    CHECK_FALSE(older.closed);
    CHECK(newer.closed);
}

TEST_CASE("dense JSON is estimated far above its text") {
    std::string dense = "[";
    for (int value = 0; value < 1'000; ++value) {
        dense += "[],";
    }
    CHECK(decoded_json_bytes(dense) > 30 * dense.size());
    CHECK(decoded_json_bytes(R"({"version":1})") < 200);
}

} // namespace fireflycrank
