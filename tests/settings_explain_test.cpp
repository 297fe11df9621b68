// The story of a request from logs.
#include "explain.h"

#include <doctest/doctest.h>

#include <sstream>

using namespace fireflycrank;

namespace {

log_collection two_processes() {
    std::istringstream gateway{
        R"({"time":"2026-12-04T01:00:00.000Z","level":"info","event":721,"name":"target_changed","target":"t1","condition":0})"
        "\n"
        R"({"time":"2026-12-04T01:00:02.000Z","level":"info","event":721,"name":"target_changed","target":"t1","condition":1})"
        "\n"
        R"({"time":"2026-12-04T01:00:03.000Z","level":"info","event":711,"name":"call_attempt","call":"a1","target":"t1"})"
        "\n"
        R"({"time":"2026-12-04T01:00:03.500Z","level":"info","event":711,"name":"call_attempt","call":"a2","target":"t1"})"
        "\n"
        R"({"time":"2026-12-04T01:00:05.000Z","level":"warn","event":715,"name":"call_failed","call":"a1","reason":"lost"})"
        "\n"
        "not a log line\n"};
    std::istringstream agent{
        R"({"time":"2026-12-04T01:00:04.000Z","level":"warn","event":703,"name":"dependency_lost","target":"t1"})"
        "\n"
        R"({"time":"2026-12-04T01:00:09.000Z","level":"info","event":704,"name":"dependency_regained","target":"t1"})"
        "\n"};
    log_collection logs;
    read_log(logs, "agent-1", agent);
    read_log(logs, "gateway-1", gateway);
    return logs;
}

} // namespace

TEST_CASE("a request's story has its own lines, the last belief before it and news until its end") {
    // Guards against a story that leaves out why a target was chosen or lost.
    auto const logs = two_processes();
    CHECK(logs.unreadable == 1);
    auto const story = explain_request(logs.lines, "a1");
    REQUIRE(story.size() == 4);
    CHECK(story[0].line.time == "2026-12-04T01:00:02.000Z");
    CHECK(story[0].belief_about == "target t1");
    CHECK(story[1].line.name == "call_attempt");
    CHECK(story[1].belief_about.empty());
    CHECK(story[2].line.source == "agent-1");
    CHECK(story[2].line.name == "dependency_lost");
    CHECK(story[3].line.name == "call_failed");
    CHECK(render_story(story).find("gateway-1 call_failed call=a1 reason=lost") !=
          std::string::npos);
}

TEST_CASE("an order's story has the lines of its key, and an unknown id has no story") {
    // Guards against the lost half of an order that another entry resent under the same key.
    auto logs = two_processes();
    for (char const* text :
         {R"({"time":"2026-12-04T01:00:01.000Z","name":"order_claimed","request":"r1","key":"k"})",
          R"({"time":"2026-12-04T01:00:01.500Z","name":"order_ended","request":"r2","key":"k"})"}) {
        logs.lines.push_back(parse_log_line("entry-2", text).value());
    }
    CHECK(explain_request(logs.lines, "r1").size() == 2);
    CHECK(explain_request(logs.lines, "nowhere").empty());
}
