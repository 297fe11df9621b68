#include "path_system.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

using namespace path_test;
using nlohmann::json;

namespace {

std::string prompt(std::string const& text, int tokens, bool stream = false, int crash_after = -1) {
    json body{{"prompt", text}, {"max_tokens", tokens}, {"stream", stream}};
    if (crash_after >= 0) {
        body["crash_after"] = crash_after;
    }
    return body.dump();
}

// The words of a streamed or plain answer, in order.
std::string words(std::string const& body) {
    std::string text;
    for (std::size_t at = body.find("\"text\":\""); at != std::string::npos;
         at = body.find("\"text\":\"", at + 1)) {
        std::size_t const start = at + 8;
        text += body.substr(start, body.find('"', start) - start);
    }
    return text;
}

int count_of(std::string const& text, std::string const& part) {
    int found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}

} // namespace

TEST_CASE("requests are answered whole, wrong ones are refused truthfully") {
    // Guards against answers mixed between callers and against refusals without an outcome.
    system_under_test system;
    system.start_control();
    system.add_entry("entry-1");
    system.add_target("runner-1", "fude@1");
    system.add_target("runner-2", "fude@1");
    REQUIRE(system.eventually([&] { return system.get("entry-1", "/metrics").status == 200; }));
    CHECK(system.post("entry-1", "draft", prompt("early", 1)).status == 503);
    REQUIRE(system.apply(basic_settings()) == 0);
    REQUIRE(system.wait_ready(2));

    SUBCASE("concurrent callers each receive their own whole answer") {
        std::vector<std::thread> callers;
        callers.reserve(24);
        std::vector<std::string> answers(24);
        for (int caller = 0; caller < 24; ++caller) {
            callers.emplace_back([&, caller] {
                bool const stream = caller % 2 == 0;
                answers[static_cast<std::size_t>(caller)] =
                    words(system
                              .post("entry-1", "draft",
                                    prompt("caller " + std::to_string(caller / 2), 20, stream))
                              .body);
            });
        }
        for (std::thread& caller : callers) {
            caller.join();
        }
        for (std::size_t caller = 0; caller < answers.size(); caller += 2) {
            // A streamed and a plain request with the same prompt have the same words.
            CHECK(count_of(answers[caller], "w") == 20);
            CHECK(answers[caller] == answers[caller + 1]);
            CHECK((caller == 0 || answers[caller] != answers[caller - 1]));
        }
    }
    SUBCASE("a stream reaches the caller while the engine still generates") {
        // Guards against an answer that is held back until it is complete: the HTTP client's own
        // read waited for 16 KiB.
        fireflycrank::http_client_request request;
        request.method = "POST";
        request.address = system.http_of("entry-1");
        request.path = "/v1/routes/draft";
        request.body = prompt("early bytes", 400, true);
        std::promise<void> first;
        std::promise<bool> last;
        auto got_first = std::make_shared<bool>(false);
        auto const call = fireflycrank::start_http_call(
            request,
            {[](int, fireflycrank::http_headers const&) {},
             [&first, got_first](std::string const&) {
                 if (!std::exchange(*got_first, true)) {
                     first.set_value();
                 }
             },
             [&last](fireflycrank::result<void> const& end) { last.set_value(end.has_value()); }});
        first.get_future().wait();
        json const one = json::parse(system.get("runner-1-engine", "/runs").body);
        json const two = json::parse(system.get("runner-2-engine", "/runs").body);
        CHECK(one.at("running").get<int>() + two.at("running").get<int>() == 1);
        CHECK(last.get_future().get());
    }
    SUBCASE("wrong requests") {
        auto const unknown = system.post("entry-1", "nowhere", prompt("x", 1));
        CHECK(unknown.status == 404);
        CHECK(json::parse(unknown.body).at("outcome") == "not_run");
        auto const large = system.post("entry-1", "draft", prompt(std::string(5000, 'x'), 1));
        CHECK(large.status == 400);
        CHECK(json::parse(large.body).at("outcome") == "not_run");
        auto const huge = system.post("entry-1", "draft", std::string(17U << 20U, 'x'));
        CHECK(huge.status == 413);
        CHECK(system.post("entry-1", "draft", "").status == 400);
        auto const malformed = system.post("entry-1", "draft", "{not json");
        CHECK(malformed.status == 400); // the engine's own refusal is passed on
        CHECK(system.get("entry-1", "/v1/routes/draft").status == 405);
        CHECK(system.get("entry-1", "/nowhere").status == 404);
        auto const answered = system.post("entry-1", "draft", prompt("after", 2));
        CHECK(answered.status == 200);
        CHECK(answered.headers.contains("x-request-id"));
    }
    SUBCASE("addresses") {
        json const addresses = json::parse(system.get("entry-1", "/v1/addresses").body);
        CHECK(addresses.at("addresses") == json::array({system.http_of("entry-1")}));
        CHECK(addresses.at("ttl_ms") == 500);
    }
    SUBCASE("no target left") {
        system.kill_process("runner-1-engine");
        system.kill_process("runner-2-engine");
        auto const refused = system.post("entry-1", "draft", prompt("nobody", 2));
        CHECK(refused.status >= 500);
        CHECK(json::parse(refused.body).at("outcome") != "answered");
    }
}

TEST_CASE("an engine killed in the middle of an answer") {
    // Guards against silent cuts, and against a second run of an order.
    system_under_test system;
    system.start_control();
    system.add_entry("entry-1");
    system.add_target("runner-1", "fude@1", 20);
    system.add_target("runner-2", "fude@1", 20);
    system.add_target("press-1", "press");
    system.add_target("press-2", "press");
    REQUIRE(system.apply(basic_settings()) == 0);
    REQUIRE(system.wait_ready(4));

    SUBCASE("plain: the whole answer comes from elsewhere") {
        auto const expected = system.post("entry-1", "draft", prompt("whole", 30));
        std::string const body = prompt("whole", 30);
        std::thread killer{[&] {
            // Two earlier runs of this body are counted where they ran; the third shows as running.
            CHECK(system.eventually([&] { return system.all_runs(body) == 2; }));
            std::string const running =
                json::parse(system.get("runner-1-engine", "/runs").body).at("running") == 1
                    ? "runner-1-engine"
                    : "runner-2-engine";
            system.kill_process(running);
        }};
        bool whole = false;
        auto const answer = system.post("entry-1", "draft", body, &whole);
        killer.join();
        CHECK(whole);
        CHECK(answer.status == 200);
        CHECK(words(answer.body) == words(expected.body));
    }
    SUBCASE("streamed and resumable: the bytes continue without a gap") {
        std::string const body = prompt("resume", 40, true);
        auto const expected = system.post("entry-1", "resume", body);
        std::thread killer{[&] {
            CHECK(system.eventually([&] { return system.all_runs(body) == 2; }));
            std::this_thread::sleep_for(std::chrono::milliseconds{200});
            std::string const running =
                json::parse(system.get("runner-1-engine", "/runs").body).at("running") == 1
                    ? "runner-1-engine"
                    : "runner-2-engine";
            system.kill_process(running);
        }};
        bool whole = false;
        auto const answer = system.post("entry-1", "resume", body, &whole);
        killer.join();
        CHECK(whole);
        CHECK(answer.body == expected.body);
    }
    SUBCASE("streamed and not resumable: the caller sees the break") {
        bool whole = true;
        system.post("entry-1", "draft", prompt("break", 40, true, 10), &whole);
        CHECK(!whole);
    }
    SUBCASE("order: outcome_unknown, and no second run on a resend") {
        std::string const body = R"({"order":"o-1","crash":true})";
        auto const answer = system.post("entry-1", "print", body);
        CHECK(json::parse(answer.body).at("outcome") == "outcome_unknown");
        auto const again = system.post("entry-1", "print", body);
        CHECK(json::parse(again.body).at("outcome") == "outcome_unknown");
        // One press died with its count; the other never ran the order.
        CHECK(system.all_runs(body) == 0);
    }
}

TEST_CASE("an order sent through two entries runs once") {
    // Guards against a duplicated print job or payment.
    system_under_test system;
    system.start_control(3);
    system.add_entry("entry-1");
    system.add_entry("entry-2");
    system.add_target("press-1", "press");
    system.add_target("press-2", "press");
    REQUIRE(system.apply(basic_settings()) == 0);
    REQUIRE(system.wait_ready(2));

    SUBCASE("at the same time") {
        for (int order = 0; order < 8; ++order) {
            std::string const body =
                R"({"order":"p-)" + std::to_string(order) + R"(","delay_ms":50})";
            std::string first;
            std::thread other{[&] { first = system.post("entry-1", "print", body).body; }};
            std::string const second = system.post("entry-2", "print", body).body;
            other.join();
            CHECK(system.all_runs(body) == 1);
            // Both have the answer, or one is told that the order is still running.
            CHECK((first == second || first.find("in_progress") != std::string::npos ||
                   second.find("in_progress") != std::string::npos));
            CHECK(system.post("entry-2", "print", body).body.find("\"run\":1") !=
                  std::string::npos);
        }
    }
    SUBCASE("the entry dies while the order runs; the resend gets the answer") {
        std::string const body = R"({"order":"q-1","delay_ms":600})";
        std::thread caller{[&] { system.post("entry-1", "print", body); }};
        CHECK(system.eventually([&] { return system.all_runs(body) == 1; }));
        system.kill_process("entry-1");
        caller.join();
        std::string answer;
        CHECK(system.eventually([&] {
            answer = system.post("entry-2", "print", body).body;
            return answer.find("\"run\":1") != std::string::npos;
        }));
        CHECK(system.all_runs(body) == 1);
    }
    SUBCASE("the control leader is killed: orders go on under the next one") {
        std::string leader;
        CHECK(system.eventually([&] {
            json const status = json::parse(system.get("c1", "/v1/status").body, nullptr, false);
            leader = status.is_object() ? status.value("leader", "") : "";
            return !leader.empty();
        }));
        system.kill_process(leader);
        std::string const body = R"({"order":"r-1"})";
        std::string answer;
        CHECK(system.eventually([&] {
            answer = system.post("entry-1", "print", body).body;
            return answer.find("\"run\":1") != std::string::npos;
        }));
        CHECK(system.all_runs(body) == 1);
        system.start_again(leader);
        // Until the answer is stored under the new leader, a resend is told that the order runs.
        CHECK(system.eventually(
            [&] { return system.post("entry-2", "print", body).body == answer; }));
        CHECK(system.all_runs(body) == 1);
    }
    SUBCASE("without a majority orders are refused as not_run, other work goes on") {
        system.add_target("runner-1", "fude@1");
        REQUIRE(system.wait_ready(3));
        system.kill_process("c2");
        system.kill_process("c3");
        std::string const body = R"({"order":"s-1"})";
        auto const refused = json::parse(system.post("entry-1", "print", body).body);
        CHECK(refused.at("outcome") != "answered");
        CHECK(system.all_runs(body) == 0);
        CHECK(system.post("entry-1", "draft", prompt("goes on", 3)).status == 200);
        system.start_again("c2");
        CHECK(system.eventually([&] {
            return system.post("entry-2", "print", body).body.find("\"run\":1") !=
                   std::string::npos;
        }));
        CHECK(system.all_runs(body) == 1);
    }
}

// Stands for the exit status of a process that did not end in time, so that a failure prints it.
constexpr int still_running = 1000;

TEST_CASE("an agent stops cleanly while its engine does not answer") {
    // Guards against a health probe that ends after the agent's state is gone.
    system_under_test system;
    system.start_control();
    system.add_entry("entry-1");
    system.add_target("runner-1", "fude@1");
    REQUIRE(system.apply(basic_settings()) == 0);
    REQUIRE(system.wait_ready(1));
    system.pause_process("runner-1-engine");
    std::this_thread::sleep_for(std::chrono::seconds{1}); // two probe periods: one is under way
    system.stop_process("runner-1");
    CHECK(system.wait_exit("runner-1").value_or(still_running) == 0);
}

TEST_CASE("a planned stop cuts nothing off") {
    // Guards against a restart that breaks streams.
    system_under_test system;
    system.start_control();
    system.add_entry("entry-1");
    system.add_entry("entry-2");
    system.add_target("runner-1", "fude@1", 20);
    system.add_target("runner-2", "fude@1", 20);
    REQUIRE(system.apply(basic_settings()) == 0);
    REQUIRE(system.wait_ready(2));
    std::string const body = prompt("long stream", 100, true);
    bool whole = false;
    std::string answer;
    std::thread caller{[&] { answer = system.post("entry-1", "draft", body, &whole).body; }};
    REQUIRE(system.eventually([&] { return system.all_runs(body) == 1; }));

    SUBCASE("of the target") {
        std::string const busy = system.runs("runner-1", body) == 1 ? "runner-1" : "runner-2";
        system.stop_process(busy);
        caller.join();
        CHECK(whole);
        CHECK(count_of(answer, "\"text\"") == 100);
        int const status = system.wait_exit(busy).value_or(still_running);
        INFO(system.log_end(busy));
        CHECK(status == 0);
        CHECK(system.post("entry-1", "draft", prompt("next", 2)).status == 200);
    }
    SUBCASE("of the entry") {
        system.stop_process("entry-1");
        CHECK(system.eventually([&] {
            json const addresses = json::parse(system.get("entry-2", "/v1/addresses").body);
            return addresses.at("addresses") == json::array({system.http_of("entry-2")});
        }));
        caller.join();
        CHECK(whole);
        CHECK(count_of(answer, "\"text\"") == 100);
        CHECK(system.wait_exit("entry-1", 60).value_or(still_running) == 0);
    }
    SUBCASE("by the operator's drain command") {
        std::string const busy = system.runs("runner-1", body) == 1 ? "runner-1" : "runner-2";
        CHECK(system
                  .operate({"drain", busy, "--control", system.control_list(), "--operator", "test",
                            "--wait", "16"})
                  .first == 0);
        for (int request = 0; request < 6; ++request) {
            CHECK(system.post("entry-2", "draft", prompt("drained " + std::to_string(request), 2))
                      .status == 200);
            CHECK(system.runs(busy, prompt("drained " + std::to_string(request), 2)) == 0);
        }
        caller.join();
        CHECK(whole);
    }
}

TEST_CASE("operators are told what is wrong") {
    // Guards against settings that are half applied and against lost updates.
    system_under_test system;
    system.start_control(3);
    system.add_entry("entry-1");
    REQUIRE(system.apply(basic_settings()) == 0);
    std::string const intent = system.folder() + "/intent";

    std::ofstream{intent + "/50-wrong.json"} << R"({"routes":{"draft":{"serves":"brush"}}})";
    auto const wrong = system.operate({"check", intent});
    CHECK(wrong.first == 2);
    CHECK(wrong.second.find("50-wrong.json at /routes/draft/serves") != std::string::npos);
    CHECK(system.operate({"apply", intent, "--control", system.control_list(), "--operator", "a"})
              .first == 2);

    std::ofstream{intent + "/50-wrong.json"} << R"({"teams":{"clerks":{"weight":2}}})";
    std::vector<std::string> const change{
        "apply", intent,   "--control", system.control_list(), "--operator",
        "ayumi", "--base", "1",         "--change-id",         "change-a"};
    CHECK(system.operate(change).first == 0);
    // The same change again, as after a lost answer: the first answer, and no new revision.
    auto const resent = system.operate(change);
    CHECK(resent.first == 0);
    CHECK(resent.second.find("accepted as revision 2") != std::string::npos);
    std::ofstream{intent + "/50-wrong.json"} << R"({"teams":{"clerks":{"weight":3}}})";
    auto const race = system.operate({"apply", intent, "--control", system.control_list(),
                                      "--operator", "berta", "--base", "1"});
    CHECK(race.first == 3);
    CHECK(race.second.find("ayumi") != std::string::npos);

    std::ofstream{system.folder() + "/entry-1/20-wrong.json"} << R"({"zone": 7})";
    system.kill_process("entry-1");
    system.start_again("entry-1");
    CHECK(system.wait_exit("entry-1").value_or(still_running) == 2);
    std::ifstream errors{system.folder() + "/entry-1.err"};
    std::string const text{std::istreambuf_iterator<char>{errors}, {}};
    CHECK(text.find("20-wrong.json at /zone") != std::string::npos);
}
