// Tests of the quarantine of requests that crash the targets that run them and are sent repeatedly
// through any gateway.
#include "callfingerprint.h"
#include "claimwire.h"
#include "crashtracker.h"
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

running_fingerprint make_run(std::string const& fingerprint, std::int64_t began_before) {
    running_fingerprint one;
    one.fingerprint = fingerprint;
    one.began_before = milliseconds{began_before};
    return one;
}

// Creates a run that was sent 30 ms before its target crashed.
lost_run make_lost_run(std::string const& fingerprint, std::string const& target, std::int64_t at) {
    return {fingerprint, target, wall_ms(7), target + ":80", at_ms(at - 30), at_ms(at)};
}

bool is_refused(crash_tracker const& tracker, std::string const& fingerprint, std::int64_t at) {
    return quarantine_remaining(tracker, fingerprint, at_ms(at)) > duration::zero();
}

} // namespace

// Regression: a gateway cannot know whether its request ran alone on a target, so no number of
// crashes led to a verdict, and the request crashed every target that it reached.
TEST_CASE(
    "a request under which three targets crashed is refused, however many others ran beside it") {
    quarantine_table table;
    for (std::int64_t crash = 1; crash <= 3; ++crash) {
        CHECK(judge(table, "crashing", wall_ms(1'000 * crash)) != quarantine_verdict::refuse);
        auto const sound = "sound" + std::to_string(crash);
        apply(table, {wall_ms(1'000 * crash), report_crash{"target" + std::to_string(crash),
                                                           {{"crashing", false}, {sound, false}}}});
    }
    // The verdict takes effect after the hearing time, unless a successful run is reported before.
    CHECK(judge(table, "crashing", wall_ms(3'000) + table.limits.hearing_time) ==
          quarantine_verdict::refuse);
    for (std::int64_t crash = 1; crash <= 3; ++crash) {
        auto const sound = "sound" + std::to_string(crash);
        CHECK(judge(table, sound, wall_ms(3'000) + table.limits.hearing_time) !=
              quarantine_verdict::refuse);
    }
}

// A failure of a rack ends many targets at once, and a frequent request runs on all of them.
TEST_CASE("targets that crash together count once against a request that ran on all of them") {
    quarantine_table table;
    for (int target = 0; target < 5; ++target) {
        // Gateways notice the crashes up to 200 ms apart; each run had begun before the first was
        // noticed.
        report_crash crash{"t" + std::to_string(target), {make_run("hot", 40 * target + 15)}};
        apply(table, {wall_ms(1'000 + 40 * target), crash});
    }
    CHECK(crashes_in_row(table.entries.at("hot")) == 1);
    apply(table, {wall_ms(5'000), report_crash{"later", {make_run("hot", 15)}}});
    CHECK(crashes_in_row(table.entries.at("hot")) == 2);
    CHECK(judge(table, "hot", wall_ms(5'000)) != quarantine_verdict::refuse);
}

// Targets that restart repeatedly end under the same harmless request, while other targets complete
// it.
TEST_CASE("a successful run between two crashes resets the count") {
    quarantine_table table;
    for (int crash = 0; crash < 20; ++crash) {
        auto run = make_run("hot", 15);
        run.finished_before = milliseconds{100};
        apply(table, {wall_ms(1'000 + 500 * crash),
                      report_crash{"t" + std::to_string(crash), {std::move(run)}}});
        CHECK(crashes_in_row(table.entries.at("hot")) == 1);
    }
    apply(table, {wall_ms(20'000), report_crash{"u", {make_run("hot", 15)}}});
    CHECK(crashes_in_row(table.entries.at("hot")) == 2);
    apply(table, {wall_ms(20'100), report_finished{"hot"}});
    CHECK(table.entries.empty());
}

// Reports of two crashes arrive alternately, each from several gateways that had sent the request.
TEST_CASE("a crash in several reports counts once, whatever their order") {
    quarantine_table table;
    std::int64_t at = 1'000;
    for (auto const* const id : {"a", "b", "a", "b", "a", "b"}) {
        apply(table, {wall_ms(at), report_crash{id, {make_run("f", 0)}}});
        at += 300;
    }
    CHECK(crashes_in_row(table.entries.at("f")) == 2);
}

// The report of a call's first attempt may reach the leader late, so that by the leader's clock the
// second run began before the first crash.
TEST_CASE("a retry after a crash counts as a second crash, whatever the delays of the reports") {
    quarantine_table table;
    report_crash first{"a", {make_run("f", 40)}, milliseconds{5}};
    apply(table, {wall_ms(1'200), first}); // 200 ms in transit
    auto run = make_run("f", 35);
    run.after = "a";
    report_crash const second{"b", {run}, milliseconds{2}};
    apply(table, {wall_ms(1'235), second});
    CHECK(crashes_in_row(table.entries.at("f")) == 2);
    quarantine_table reordered;
    apply(reordered, {wall_ms(1'035), second});
    apply(reordered, {wall_ms(1'200), report_crash{"a", {make_run("f", 240)}, milliseconds{205}}});
    CHECK(crashes_in_row(reordered.entries.at("f")) == 2);
}

// The targets may have been repaired; if not, one more crash shows that.
TEST_CASE("after its quarantine a request is run again, and one more crash renews it") {
    quarantine_table table;
    for (int crash = 0; crash < 3; ++crash) {
        apply(table, {wall_ms(crash), report_crash{std::to_string(crash), {make_run("f", 0)}}});
    }
    auto const over = wall_ms(3) + table.limits.quarantine_time;
    CHECK(judge(table, "f", over) != quarantine_verdict::refuse);
    SUBCASE("it crashes again") {
        apply(table, {over, report_crash{"again", {make_run("f", 0)}}});
        CHECK(judge(table, "f", over + milliseconds{1}) == quarantine_verdict::refuse);
    }
    SUBCASE("it completes") {
        CHECK(apply(table, {over, report_finished{"f"}}).changed);
        CHECK(table.entries.empty());
    }
    SUBCASE("it is never sent again") {
        apply(table, {over + table.limits.suspect_time, report_finished{"other"}});
        CHECK(table.entries.empty());
    }
}

// The list sent to gateways must stay small when a rack fails under a thousand requests.
TEST_CASE("the list has only requests that crashed more than one target, and is bounded") {
    quarantine_table table;
    report_crash rack_crash{"rack", {}};
    for (int request = 0; request < 1'000; ++request) {
        rack_crash.running.push_back(make_run("r" + std::to_string(request), 0));
    }
    apply(table, {wall_ms(1'000), rack_crash});
    CHECK(repeated_suspects(table, wall_ms(1'000), 10).empty());
    CHECK(table.revision == 0);
    rack_crash.crash_id = "rack again";
    apply(table, {wall_ms(2'000), rack_crash});
    CHECK(repeated_suspects(table, wall_ms(2'000), 10).size() == 10);
    apply(table, {wall_ms(3'000), report_crash{"third", {make_run("r7", 0)}}});
    auto const listed = repeated_suspects(table, wall_ms(3'000), 10);
    CHECK(listed.front() == suspect_request{"r7", milliseconds{2'000}, table.limits.hearing_time,
                                            table.limits.quarantine_time});
    auto const copy = parse_quarantine(serialize_quarantine(table), table.limits).value();
    CHECK(copy.revision == table.revision);
    CHECK(repeated_suspects(copy, wall_ms(3'000), 10) == listed);
}

// The registrars may be unreachable or without a leader; a gateway must not need them to act on its
// own observations.
TEST_CASE("a gateway without registrars refuses a request that it saw crash three targets") {
    crash_tracker tracker;
    for (std::int64_t crash = 0; crash < 3; ++crash) {
        CHECK_FALSE(is_refused(tracker, "f", 1'000 * crash));
        record_crashes(tracker,
                       {make_lost_run("f", "t" + std::to_string(crash), 1'000 * crash + 500)},
                       at_ms(1'000 * crash + 502));
    }
    CHECK_FALSE(is_refused(tracker, "f", 5'000));
    CHECK(is_refused(tracker, "f", 6'000));
    CHECK_FALSE(is_refused(tracker, "g", 6'000));
    CHECK(last_crash_id(tracker, "f") == crash_id_of(make_lost_run("f", "t2", 0)));
}

// A report may be lost with its registrar, and the clocks of gateway and leader differ, so a report
// contains ages and not times.
TEST_CASE("a report is resent until it is acknowledged, with ages relative to the send time") {
    crash_tracker tracker;
    record_finished(tracker, "f", at_ms(400));
    record_crashes(tracker, {make_lost_run("f", "a", 1'000), make_lost_run("g", "a", 1'000)},
                   at_ms(1'010));
    auto const first = take_due_reports(tracker, at_ms(1'010));
    REQUIRE(first.size() == 1);
    CHECK(take_due_reports(tracker, at_ms(1'100)).empty());
    auto const again = take_due_reports(tracker, at_ms(2'010));
    REQUIRE(again.size() == 1);
    auto const bytes = encode_quarantine_command(again[0].command);
    auto const command = decode_quarantine_command(bytes).value();
    auto const& crash = std::get<report_crash>(command.action);
    CHECK(crash.ended_before == milliseconds{1'010});
    REQUIRE(crash.running.size() == 2);
    CHECK(crash.running[0].began_before == milliseconds{1'040});
    CHECK(crash.running[0].finished_before == milliseconds{1'610});
    CHECK_FALSE(crash.running[1].finished_before);
    acknowledge_report(tracker, again[0].number);
    CHECK(take_due_reports(tracker, at_ms(9'000)).empty());
    CHECK(tracker.dropped_report_count == 0);
}

// Many requests crash targets while no registrar is reachable.
TEST_CASE("a gateway's records of crashes are bounded") {
    crash_tracker tracker;
    for (int crash = 0; crash < 5'000; ++crash) {
        auto const name = std::to_string(crash);
        add_lost_run(tracker.lost, make_lost_run(name, name, crash), tracker.settings.lost);
        record_crashes(tracker, {make_lost_run(name, name, crash)}, at_ms(crash));
        record_finished(tracker, name, at_ms(crash));
    }
    CHECK(tracker.lost.pending.size() <= tracker.settings.lost.max_runs);
    CHECK(tracker.pending_reports.size() <= tracker.settings.max_reports);
    CHECK(tracker.last_finished.size() <= tracker.settings.max_finished);
    CHECK(tracker.finished_by_age.size() <= tracker.settings.max_finished);
    CHECK(tracker.local_table.entries.empty()); // each had a successful run later
    take_due_reports(tracker, at_ms(5'000) + tracker.settings.report_lifetime);
    CHECK(tracker.pending_reports.empty());
    drop_expired(tracker.lost, tracker.settings.lost, at_ms(5'000) + tracker.settings.lost.max_age);
    CHECK(tracker.lost.pending.empty());
}

// A gateway receives lists from several registrars, which lag each other by fractions of a second.
TEST_CASE("an older list of suspects is ignored, and a suspect's successful run is reported once") {
    crash_tracker tracker;
    milliseconds const none{0};
    std::vector<suspect_request> const newer{{"f", none, none, milliseconds{60'000}},
                                             {"g", none, none, none}};
    CHECK(update_suspects(tracker, 5, newer, at_ms(0)));
    CHECK_FALSE(update_suspects(tracker, 4, {}, at_ms(10)));
    CHECK(is_refused(tracker, "f", 59'000));
    CHECK_FALSE(is_refused(tracker, "f", 60'001));
    CHECK_FALSE(is_refused(tracker, "g", 10));
    record_finished(tracker, "f", at_ms(20)); // began before the verdict
    record_finished(tracker, "g", at_ms(20));
    record_finished(tracker, "g", at_ms(30));
    auto const due = take_due_reports(tracker, at_ms(30));
    REQUIRE(due.size() == 1);
    CHECK(std::get<report_finished>(due[0].command.action).fingerprint == "g");
    CHECK(update_suspects(tracker, 6, {}, at_ms(40)));
    CHECK_FALSE(is_refused(tracker, "f", 40));
}

// A very frequent request may run on three targets that end within a short time; its gateways know
// at once that other targets completed it.
TEST_CASE("a successful run that a gateway remembers clears a suspect before the verdict") {
    quarantine_table table;
    for (int crash = 0; crash < 3; ++crash) {
        apply(table, {wall_ms(1'000 + 50 * crash),
                      report_crash{std::to_string(crash), {make_run("hot", 20)}}});
    }
    CHECK(judge(table, "hot", wall_ms(1'200)) != quarantine_verdict::refuse);
    crash_tracker tracker;
    record_finished(tracker, "hot", at_ms(1'050));
    CHECK(update_suspects(tracker, 1, repeated_suspects(table, wall_ms(1'200), 10), at_ms(1'200)));
    auto const due = take_due_reports(tracker, at_ms(1'200));
    REQUIRE(due.size() == 1);
    auto command = due[0].command;
    command.at = wall_ms(1'300);
    CHECK(apply(table, command).changed);
    CHECK(judge(table, "hot", wall_ms(1'100) + table.limits.hearing_time) ==
          quarantine_verdict::normal);
    // A successful run before the first crash does not clear the request, because the targets may
    // have been changed since.
    crash_tracker other;
    record_finished(other, "hot", at_ms(900));
    std::vector<suspect_request> const accused{
        {"hot", milliseconds{200}, milliseconds{400}, milliseconds{60'000}}};
    update_suspects(other, 1, accused, at_ms(1'200));
    auto const earlier = take_due_reports(other, at_ms(1'200));
    REQUIRE(earlier.size() == 1);
    quarantine_table convicted;
    for (std::int64_t crash = 0; crash < 3; ++crash) {
        apply(convicted, {wall_ms(1'000 + 50 * crash),
                          report_crash{std::to_string(crash), {make_run("hot", 20)}}});
    }
    auto vouching = earlier[0].command;
    vouching.at = wall_ms(1'200);
    apply(convicted, vouching);
    CHECK(judge(convicted, "hot", wall_ms(1'200) + convicted.limits.hearing_time) ==
          quarantine_verdict::refuse);
    CHECK_FALSE(is_refused(other, "hot", 1'599));
    CHECK(is_refused(other, "hot", 1'600));
}

// Regression: a sound request that many callers sent ran on the only group each time that another
// request crashed it, never ended well in between, and was refused for an hour.
TEST_CASE("a crash that one request explains is not held against those that ended well before") {
    for (bool const known_late : {false, true}) {
        for (bool const hot_first : {false, true}) {
            quarantine_table table;
            for (std::int64_t crash = 1; crash <= 3; ++crash) {
                auto crashing = make_run("crashing", 30);
                auto hot = make_run("hot", 40);
                if (!known_late) {
                    hot.finished_before = milliseconds{500 + 1'000 * crash};
                }
                auto const id = std::to_string(crash);
                auto const at = wall_ms(10'000 + 1'000 * crash);
                apply(table, {at, report_crash{id, {hot_first ? hot : crashing}}});
                apply(table, {at, report_crash{id, {hot_first ? crashing : hot}}});
            }
            apply(table, {wall_ms(13'100), report_finished{"hot", milliseconds{4'000}}});
            auto const later = wall_ms(13'100) + table.limits.hearing_time;
            CHECK(judge(table, "crashing", later) == quarantine_verdict::refuse);
            CHECK(judge(table, "hot", later) != quarantine_verdict::refuse);
        }
    }
}

// Regression: a gateway that had seen a sound request on three crashed targets refused it for an
// hour, although the registrars knew what explained the crashes.
TEST_CASE("a gateway decides alone only about crashes that the registrars have not recorded") {
    for (bool const recorded : {false, true}) {
        crash_tracker tracker;
        for (std::int64_t crash = 1; crash <= 3; ++crash) {
            auto const at = 1'000 * crash;
            record_crashes(tracker, {make_lost_run("hot", "t" + std::to_string(crash), at)},
                           at_ms(at + 1));
            for (auto const& report : take_due_reports(tracker, at_ms(at + 1))) {
                if (recorded) {
                    acknowledge_report(tracker, report.number);
                }
            }
            CHECK(last_crash_id(tracker, "hot").starts_with("t" + std::to_string(crash)));
        }
        CHECK(is_refused(tracker, "hot", 7'000) == !recorded);
    }
}

// A reset connection or a lost response does not mean that the target has ended.
TEST_CASE("a lost run counts as a crash only if its target has ended") {
    lost_runs runs;
    add_lost_run(runs, make_lost_run("f", "a", 1'000), {});
    add_lost_run(runs, make_lost_run("g", "a", 1'100), {});
    add_lost_run(runs, make_lost_run("h", "b", 1'000), {});
    // The second run of "a" was lost after the check of its target began.
    CHECK(take_lost_runs(runs, "a", wall_ms(7), at_ms(1'050)).size() == 1);
    CHECK(take_lost_runs(runs, "a", wall_ms(8), at_ms(2'000)).empty()); // another incarnation
    CHECK(take_replaced_runs(runs, "b:80", wall_ms(7)).empty());
    CHECK(take_replaced_runs(runs, "b:80", wall_ms(9)).size() == 1);
    CHECK(runs.pending.size() == 1);
}

TEST_CASE("a registrar sends the list of suspects to gateways that do not have it") {
    target_directory const targets;
    directory_publisher publisher;
    publisher.run = 1;
    suspect_list const suspects{3,
                                {{"f", milliseconds{30}, milliseconds{20}, milliseconds{60'000}}}};
    publisher_context const context{&targets, 0, true, at_ms(0), &suspects};
    auto const listed = [&](daemon_role role, std::uint64_t known) {
        directory_beat beat;
        beat.self.address = "p";
        beat.self.role = role;
        beat.known_suspects = known;
        take_beat(publisher, parse_beat(serialize(beat)).value(), at_ms(0));
        return parse_update(serialize(update_for(publisher, "p", context))).value().suspects;
    };
    auto const list = listed(daemon_role::gateway, 2);
    REQUIRE(list);
    CHECK(list->revision == 3);
    CHECK(list->requests == suspects.requests);
    CHECK_FALSE(listed(daemon_role::gateway, 3));
    CHECK_FALSE(listed(daemon_role::rank_agent, 0));
}

TEST_CASE("a fingerprint depends only on the request and is unique to it") {
    fingerprint_fields const one{"h", "POST", "/a/b?c=1", "team", "body"};
    auto const fingerprint = call_fingerprint(one);
    CHECK(fingerprint.size() == 32);
    CHECK(call_fingerprint(one) == fingerprint);
    auto other = one;
    other.body = "bodx";
    CHECK(call_fingerprint(other) != fingerprint);
    other = one;
    other.caller = "tea";
    other.body = "mbody"; // the same concatenation of bytes
    CHECK(call_fingerprint(other) != fingerprint);
}

} // namespace fireflycrank
