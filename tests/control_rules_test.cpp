#include "control_fakes.h"

using namespace control_test;

namespace {

time_point ms(int count) {
    return time_point{milliseconds{count}};
}

/// Replica a of a, b and c (disks 1, 2 and 3), with entries of terms 1, 1 and 2, started at 0 ms.
consensus_state replica_a() {
    consensus_state state;
    state.name = "a";
    state.disk = 1;
    state.peers = {"a", "b", "c"};
    state.hard = {7, 2, ""};
    membership const members{{{"a", 1, true}, {"b", 2, true}, {"c", 3, true}}, {}};
    state.log = {{1, 1, entry_kind::members, "", members},
                 {2, 1, entry_kind::noop, "", {}},
                 {3, 2, entry_kind::noop, "", {}}};
    state.membership_log = {{0, {}}, {1, members}};
    start_consensus(state, ms(0));
    return state;
}

consensus_message from(std::string const& name, std::uint64_t disk, message_kind kind,
                       std::uint64_t term, std::uint64_t index = 0, std::uint64_t log_term = 0) {
    consensus_message built;
    built.kind = kind;
    built.from = name;
    built.from_disk = disk;
    built.to = "a";
    built.to_disk = 1;
    built.cluster = 7;
    built.term = term;
    built.index = index;
    built.log_term = log_term;
    built.success = true;
    return built;
}

/// Lets replica a win term 3 with b's vote at 2,000 ms; its no-op is entry 4.
consensus_state leader_a() {
    auto state = replica_a();
    tick(state, ms(2'000));
    step(state, from("b", 2, message_kind::pre_vote_reply, 3), ms(2'000));
    step(state, from("b", 2, message_kind::vote_reply, 3), ms(2'000));
    REQUIRE(state.role == replica_role::leader);
    REQUIRE(last_index(state) == 4);
    return state;
}

} // namespace

TEST_CASE(
    "a vote needs an up-to-date log and no lease, is saved first, and granted once per term") {
    // Guards against electing a leader that lacks committed entries, or two leaders in a term. The
    // random schedules rarely reach these rules, since the pre-vote rejects such candidates first.
    auto state = replica_a();
    auto const vote = message_kind::vote;
    CHECK(step(state, from("c", 3, vote, 3, 3, 2), ms(499)).messages.empty()); // just restarted
    CHECK(state.hard.term == 2);
    auto wrong_disk = from("c", 3, vote, 3, 3, 2);
    wrong_disk.to_disk = 5;
    CHECK(step(state, wrong_disk, ms(600)).messages.empty());
    CHECK(!step(state, from("b", 2, vote, 3, 2, 2), ms(600)).messages.at(0).success); // shorter log
    CHECK(!step(state, from("b", 2, vote, 3, 9, 1), ms(600)).messages.at(0).success); // older term
    CHECK(state.hard == hard_state{7, 3, ""});
    auto const granted = step(state, from("c", 3, vote, 3, 3, 2), ms(600));
    CHECK(granted.messages.at(0).success);
    CHECK(granted.save_hard_state);
    CHECK(state.hard == hard_state{7, 3, "c/3"});
    CHECK(!step(state, from("b", 2, vote, 3, 9, 2), ms(600)).messages.at(0).success);
    CHECK(step(state, from("c", 3, vote, 3, 3, 2), ms(600)).messages.at(0).success); // resent
    step(state, from("c", 3, message_kind::append, 3, 3, 2), ms(700));
    CHECK(step(state, from("b", 2, vote, 4, 9, 2), ms(1'199)).messages.empty());
    CHECK(state.hard.term == 3);
    auto const pre = message_kind::pre_vote;
    CHECK(!step(state, from("b", 2, pre, 4, 9, 2), ms(1'199)).messages.at(0).success);
    CHECK(step(state, from("b", 2, pre, 4, 9, 2), ms(1'201)).messages.at(0).success);
    CHECK(state.hard.term == 3);
}

TEST_CASE("a leader counts only entries of its own term, and only what it has synced itself") {
    // Guards against committing an entry of an earlier term that a later leader may still replace.
    auto state = leader_a();
    auto const reply = message_kind::append_reply;
    step(state, from("b", 2, reply, 3, 3), ms(2'010));
    CHECK(state.commit_index == 0);
    step(state, from("b", 2, reply, 3, 4), ms(2'010));
    CHECK(state.commit_index == 0); // a has not synced entry 4
    mark_durable(state, ms(2'010));
    CHECK(state.commit_index == 4);
    CHECK(!current_fencing_token(state, ms(2'010))); // no round of messages is confirmed yet
    auto confirmed = from("b", 2, reply, 3, 4);
    confirmed.sent_at = ms(2'005).time_since_epoch().count();
    step(state, confirmed, ms(2'020));
    CHECK(current_fencing_token(state, ms(2'499)) == 3U);
    CHECK(!current_fencing_token(state, ms(2'501))); // 2,005 + 500 x 0.99 = 2,500
}

TEST_CASE("a replica that lost its disk has no vote until it caught up and a majority without it "
          "agreed") {
    // Guards against a wiped replica that votes, counts, or is promoted too early.
    auto state = leader_a();
    auto const reply = message_kind::append_reply;
    step(state, from("b", 2, reply, 3, 4), ms(2'010));
    mark_durable(state, ms(2'010));
    REQUIRE(state.commit_index == 4);
    step(state, from("c", 3, reply, 3, 4), ms(2'010));
    auto hello = from("c", 9, message_kind::hello, 0);
    hello.to_disk = 0;
    hello.cluster = 0;
    step(state, hello, ms(2'020));
    CHECK(last_index(state) == 4); // the old disk replied recently
    step(state, from("b", 2, reply, 3, 4), ms(3'100));
    step(state, hello, ms(3'100));
    REQUIRE(last_index(state) == 5);
    member const learner{"c", 9, false};
    CHECK(members_of(state).back() == learner);
    mark_durable(state, ms(3'110));
    step(state, from("c", 9, reply, 3, 5), ms(3'110));
    step(state, from("c", 3, reply, 3, 5), ms(3'110));
    CHECK(state.commit_index == 4); // neither disk of c counts
    step(state, from("b", 2, reply, 3, 5), ms(3'110));
    CHECK(state.commit_index == 5);
    consensus_actions actions;
    replicate(state, ms(3'110), actions); // appends the new list alone
    mark_durable(state, ms(3'110));
    step(state, from("b", 2, reply, 3, 6), ms(3'110));
    REQUIRE(state.commit_index == 6);
    tick(state, ms(3'120));
    CHECK(last_index(state) == 6); // c has entry 5 only
    step(state, from("c", 9, reply, 3, 6), ms(3'130));
    tick(state, ms(3'130));
    REQUIRE(last_index(state) == 7);
    CHECK(members_of(state).back() == member{"c", 9, true});
    mark_durable(state, ms(3'130));
    step(state, from("c", 9, reply, 3, 7), ms(3'130));
    CHECK(state.commit_index ==
          6); // a and c are a majority of the new list, but not of the old one
    step(state, from("b", 2, reply, 3, 7), ms(3'130));
    CHECK(state.commit_index == 7);
}
