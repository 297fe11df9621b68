// Requests that crash the targets that run them, sent again and again at any gateway.
#include "callidentity.h"
#include "claimwire.h"
#include "crashguard.h"
#include "directorysync.h"
#include "directorywire.h"

#include <doctest/doctest.h>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;

wall_time wall_ms(std::int64_t count) {
    return wall_time{milliseconds{count}};
}

time_point at_ms(std::int64_t count) {
    return time_point{milliseconds{count}};
}

running_fingerprint ran(std::string const& fingerprint, std::int64_t began_before) {
    running_fingerprint one;
    one.fingerprint = fingerprint;
    one.began_before = milliseconds{began_before};
    return one;
}

// A run that a target's end cut off, begun 30 ms before.
lost_run lost(std::string const& fingerprint, std::string const& target, std::int64_t at) {
    return {fingerprint, target, wall_ms(7), target + ":80", at_ms(at - 30), at_ms(at)};
}

bool refuses(crash_guard const& guard, std::string const& fingerprint, std::int64_t at) {
    return refused_for(guard, fingerprint, at_ms(at)) > duration::zero();
}

} // namespace

// Found on lomos-cr: a gateway never sees that its request alone ran on a target, so no number of
// ended targets led to a verdict, and the request went on to end every target that it reached.
TEST_CASE("a request under which three targets ended is refused, however many ran beside it") {
    quarantine_table table;
    for (std::int64_t crash = 1; crash <= 3; ++crash) {
        CHECK(judge(table, "crashing", wall_ms(1'000 * crash)) != quarantine_verdict::refuse);
        auto const sound = "sound" + std::to_string(crash);
        apply(table, {wall_ms(1'000 * crash), report_crash{"target" + std::to_string(crash),
                                                           {{"crashing", false}, {sound, false}}}});
    }
    // Unless somebody saw it run to its end in the meantime.
    CHECK(judge(table, "crashing", wall_ms(3'000) + table.limits.hearing_time) ==
          quarantine_verdict::refuse);
    for (std::int64_t crash = 1; crash <= 3; ++crash) {
        auto const sound = "sound" + std::to_string(crash);
        CHECK(judge(table, sound, wall_ms(3'000) + table.limits.hearing_time) !=
              quarantine_verdict::refuse);
    }
}

// A rack takes many targets at once, and a request that comes all the time runs on all of them.
TEST_CASE("targets that end together count once against a request that ran on all of them") {
    quarantine_table table;
    for (int target = 0; target < 5; ++target) {
        // Gateways notice the end up to 200 ms apart; each run had begun before the first notice.
        report_crash crash{"t" + std::to_string(target), {ran("hot", 40 * target + 15)}};
        apply(table, {wall_ms(1'000 + 40 * target), crash});
    }
    CHECK(crashes_in_row(table.entries.at("hot")) == 1);
    apply(table, {wall_ms(5'000), report_crash{"later", {ran("hot", 15)}}});
    CHECK(crashes_in_row(table.entries.at("hot")) == 2);
    CHECK(judge(table, "hot", wall_ms(5'000)) != quarantine_verdict::refuse);
}

// Flapping targets end under the same harmless request again and again, while others answer it.
TEST_CASE("a run that ended well between two crashes starts the count again") {
    quarantine_table table;
    for (int crash = 0; crash < 20; ++crash) {
        auto run = ran("hot", 15);
        run.finished_before = milliseconds{100};
        apply(table, {wall_ms(1'000 + 500 * crash),
                      report_crash{"t" + std::to_string(crash), {std::move(run)}}});
        CHECK(crashes_in_row(table.entries.at("hot")) == 1);
    }
    apply(table, {wall_ms(20'000), report_crash{"u", {ran("hot", 15)}}});
    CHECK(crashes_in_row(table.entries.at("hot")) == 2);
    apply(table, {wall_ms(20'100), report_finished{"hot"}});
    CHECK(table.entries.empty());
}

// Reports of two crashes arrive in turn, each from several gateways that had sent the request.
TEST_CASE("a crash that several reports tell of in any order counts once") {
    quarantine_table table;
    std::int64_t at = 1'000;
    for (auto const* const id : {"a", "b", "a", "b", "a", "b"}) {
        apply(table, {wall_ms(at), report_crash{id, {ran("f", 0)}}});
        at += 300;
    }
    CHECK(crashes_in_row(table.entries.at("f")) == 2);
}

// The first report of a repeat within one call may reach the leader late, so that by its time the
// second run began before the first one ended.
TEST_CASE("a repeat after a crash counts whatever the delays of its reports") {
    quarantine_table table;
    report_crash first{"a", {ran("f", 40)}, milliseconds{5}};
    apply(table, {wall_ms(1'200), first}); // 200 ms on its way
    auto run = ran("f", 35);
    run.after = "a";
    report_crash const second{"b", {run}, milliseconds{2}};
    apply(table, {wall_ms(1'235), second});
    CHECK(crashes_in_row(table.entries.at("f")) == 2);
    quarantine_table reordered;
    apply(reordered, {wall_ms(1'035), second});
    apply(reordered, {wall_ms(1'200), report_crash{"a", {ran("f", 240)}, milliseconds{205}}});
    CHECK(crashes_in_row(reordered.entries.at("f")) == 2);
}

// The target may have been repaired; if not, one more crash shows it.
TEST_CASE("after its quarantine a request is run again, and one crash more suffices") {
    quarantine_table table;
    for (int crash = 0; crash < 3; ++crash) {
        apply(table, {wall_ms(crash), report_crash{std::to_string(crash), {ran("f", 0)}}});
    }
    auto const over = wall_ms(3) + table.limits.quarantine_time;
    CHECK(judge(table, "f", over) != quarantine_verdict::refuse);
    SUBCASE("it crashes again") {
        apply(table, {over, report_crash{"again", {ran("f", 0)}}});
        CHECK(judge(table, "f", over + milliseconds{1}) == quarantine_verdict::refuse);
    }
    SUBCASE("it runs to its end") {
        CHECK(apply(table, {over, report_finished{"f"}}).changed);
        CHECK(table.entries.empty());
    }
    SUBCASE("it never comes again") {
        apply(table, {over + table.limits.suspect_time, report_finished{"other"}});
        CHECK(table.entries.empty());
    }
}

// What gateways are told must stay small when a rack fails under a thousand requests.
TEST_CASE("only requests that crashed more than one target are told, and only so many") {
    quarantine_table table;
    report_crash rack{"rack", {}};
    for (int request = 0; request < 1'000; ++request) {
        rack.running.push_back(ran("r" + std::to_string(request), 0));
    }
    apply(table, {wall_ms(1'000), rack});
    CHECK(repeated_suspects(table, wall_ms(1'000), 10).empty());
    CHECK(table.revision == 0);
    rack.crash_id = "rack again";
    apply(table, {wall_ms(2'000), rack});
    CHECK(repeated_suspects(table, wall_ms(2'000), 10).size() == 10);
    apply(table, {wall_ms(3'000), report_crash{"third", {ran("r7", 0)}}});
    auto const told = repeated_suspects(table, wall_ms(3'000), 10);
    CHECK(told.front() == suspect_request{"r7", milliseconds{2'000}, table.limits.hearing_time,
                                          table.limits.quarantine_time});
    auto const copy = parse_quarantine(serialize_quarantine(table), table.limits).value();
    CHECK(copy.revision == table.revision);
    CHECK(repeated_suspects(copy, wall_ms(3'000), 10) == told);
}

// The core may be cut off or have no leader; a gateway must not need it for what it saw itself.
TEST_CASE("a gateway refuses without any registrar what crashed three targets under its eyes") {
    crash_guard guard;
    for (std::int64_t crash = 0; crash < 3; ++crash) {
        CHECK_FALSE(refuses(guard, "f", 1'000 * crash));
        note_ended(guard, {lost("f", "t" + std::to_string(crash), 1'000 * crash + 500)},
                   at_ms(1'000 * crash + 502));
    }
    CHECK_FALSE(refuses(guard, "f", 5'000));
    CHECK(refuses(guard, "f", 6'000));
    CHECK_FALSE(refuses(guard, "g", 6'000));
    CHECK(last_crash_of(guard, "f") == crash_id_of(lost("f", "t2", 0)));
}

// A report may be lost with its registrar, and its gateway's clock differs from the leader's.
TEST_CASE("a report is sent until it is recorded, with its ages as of the sending") {
    crash_guard guard;
    note_finished(guard, "f", at_ms(400));
    note_ended(guard, {lost("f", "a", 1'000), lost("g", "a", 1'000)}, at_ms(1'010));
    auto const first = due_reports(guard, at_ms(1'010));
    REQUIRE(first.size() == 1);
    CHECK(due_reports(guard, at_ms(1'100)).empty());
    auto const again = due_reports(guard, at_ms(2'010));
    REQUIRE(again.size() == 1);
    auto const bytes = encode_quarantine_command(again[0].command);
    auto const command = decode_quarantine_command(bytes).value();
    auto const& crash = std::get<report_crash>(command.action);
    CHECK(crash.ended_before == milliseconds{1'010});
    REQUIRE(crash.running.size() == 2);
    CHECK(crash.running[0].began_before == milliseconds{1'040});
    CHECK(crash.running[0].finished_before == milliseconds{1'610});
    CHECK_FALSE(crash.running[1].finished_before);
    note_recorded(guard, again[0].number);
    CHECK(due_reports(guard, at_ms(9'000)).empty());
    CHECK(guard.reports_dropped == 0);
}

// A flood of requests that end badly, with no registrar in reach.
TEST_CASE("what a gateway keeps of crashes is bounded") {
    crash_guard guard;
    for (int crash = 0; crash < 5'000; ++crash) {
        auto const name = std::to_string(crash);
        note_lost(guard.lost, lost(name, name, crash), guard.settings.lost);
        note_ended(guard, {lost(name, name, crash)}, at_ms(crash));
        note_finished(guard, name, at_ms(crash));
    }
    CHECK(guard.lost.pending.size() <= guard.settings.lost.most);
    CHECK(guard.reports.size() <= guard.settings.reports);
    CHECK(guard.finished.size() <= guard.settings.finished);
    CHECK(guard.finished_order.size() <= guard.settings.finished);
    CHECK(guard.own.entries.empty()); // all ran to their ends later
    due_reports(guard, at_ms(5'000) + guard.settings.report_life);
    CHECK(guard.reports.empty());
    forget_old(guard.lost, guard.settings.lost, at_ms(5'000) + guard.settings.lost.life);
    CHECK(guard.lost.pending.empty());
}

// Registrars are behind each other by a part of a second, and a gateway hears several.
TEST_CASE("an older list of suspects changes nothing, and a suspect's success is reported once") {
    crash_guard guard;
    milliseconds const none{0};
    std::vector<suspect_request> const newer{{"f", none, none, milliseconds{60'000}},
                                             {"g", none, none, none}};
    CHECK(take_suspects(guard, 5, newer, at_ms(0)));
    CHECK_FALSE(take_suspects(guard, 4, {}, at_ms(10)));
    CHECK(refuses(guard, "f", 59'000));
    CHECK_FALSE(refuses(guard, "f", 60'001));
    CHECK_FALSE(refuses(guard, "g", 10));
    note_finished(guard, "f", at_ms(20)); // began before the verdict
    note_finished(guard, "g", at_ms(20));
    note_finished(guard, "g", at_ms(30));
    auto const due = due_reports(guard, at_ms(30));
    REQUIRE(due.size() == 1);
    CHECK(std::get<report_finished>(due[0].command.action).fingerprint == "g");
    CHECK(take_suspects(guard, 6, {}, at_ms(40)));
    CHECK_FALSE(refuses(guard, "f", 40));
}

// A request that everyone sends all the time may run on three targets that end within a moment; its
// gateways know at once that others answered it.
TEST_CASE(
    "a run to the end that a gateway remembers clears an accused request before the verdict") {
    quarantine_table table;
    for (int crash = 0; crash < 3; ++crash) {
        apply(table,
              {wall_ms(1'000 + 50 * crash), report_crash{std::to_string(crash), {ran("hot", 20)}}});
    }
    CHECK(judge(table, "hot", wall_ms(1'200)) != quarantine_verdict::refuse);
    crash_guard guard;
    note_finished(guard, "hot", at_ms(1'050));
    CHECK(take_suspects(guard, 1, repeated_suspects(table, wall_ms(1'200), 10), at_ms(1'200)));
    auto const due = due_reports(guard, at_ms(1'200));
    REQUIRE(due.size() == 1);
    auto command = due[0].command;
    command.at = wall_ms(1'300);
    CHECK(apply(table, command).changed);
    CHECK(judge(table, "hot", wall_ms(1'100) + table.limits.hearing_time) ==
          quarantine_verdict::normal);
    // One that ended well before the first crash says nothing of targets that were changed since.
    crash_guard other;
    note_finished(other, "hot", at_ms(900));
    std::vector<suspect_request> const accused{
        {"hot", milliseconds{200}, milliseconds{400}, milliseconds{60'000}}};
    take_suspects(other, 1, accused, at_ms(1'200));
    CHECK(due_reports(other, at_ms(1'200)).empty());
    CHECK_FALSE(refuses(other, "hot", 1'599));
    CHECK(refuses(other, "hot", 1'600));
}

// A connection that is reset, or an answer that is lost, does not end the target.
TEST_CASE("a lost run counts only when its target has ended") {
    lost_runs runs;
    note_lost(runs, lost("f", "a", 1'000), {});
    note_lost(runs, lost("g", "a", 1'100), {});
    note_lost(runs, lost("h", "b", 1'000), {});
    CHECK(take_lost(runs, "a", wall_ms(7), at_ms(1'050)).size() == 1); // its check began then
    CHECK(take_lost(runs, "a", wall_ms(8), at_ms(2'000)).empty());     // another incarnation
    CHECK(take_replaced(runs, "b:80", wall_ms(7)).empty());
    CHECK(take_replaced(runs, "b:80", wall_ms(9)).size() == 1);
    CHECK(runs.pending.size() == 1);
}

TEST_CASE("a registrar tells suspects to gateways that do not know them yet") {
    target_directory const targets;
    directory_publisher publisher;
    publisher.run = 1;
    suspect_list const suspects{3,
                                {{"f", milliseconds{30}, milliseconds{20}, milliseconds{60'000}}}};
    publisher_context const context{&targets, 0, true, at_ms(0), &suspects};
    auto const told = [&](daemon_role role, std::uint64_t known) {
        directory_beat beat;
        beat.self.address = "p";
        beat.self.role = role;
        beat.known_suspects = known;
        take_beat(publisher, parse_beat(serialize(beat)).value(), at_ms(0));
        return parse_update(serialize(update_for(publisher, "p", context))).value().suspects;
    };
    auto const list = told(daemon_role::gateway, 2);
    REQUIRE(list);
    CHECK(list->revision == 3);
    CHECK(list->requests == suspects.requests);
    CHECK_FALSE(told(daemon_role::gateway, 3));
    CHECK_FALSE(told(daemon_role::rank_agent, 0));
}

TEST_CASE("a request keeps its fingerprint at every gateway, and shares it with no other") {
    call_identity const one{"h", "POST", "/a/b?c=1", "team", "body"};
    auto const print = call_fingerprint(one);
    CHECK(print.size() == 32);
    CHECK(call_fingerprint(one) == print);
    auto other = one;
    other.body = "bodx";
    CHECK(call_fingerprint(other) != print);
    other = one;
    other.caller = "tea";
    other.body = "mbody"; // the same bytes in a row
    CHECK(call_fingerprint(other) != print);
}

} // namespace fireflycrank
