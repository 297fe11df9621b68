// The agent's decisions, without processes.
#include "agentcore.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace fireflycrank;
using namespace std::chrono_literals;

namespace {

time_point const start{100s};
wall_time const wall_start{std::chrono::milliseconds{1'000'000}};

agent_core make_agent() {
    agent_core core;
    core.attempts.target = "runner-1";
    core.attempts.incarnation = 7;
    core.queue.settings.tokens_per_second = 400;
    core.engine_up = true;
    return core;
}

// Runs one attempt that answers so many bytes after so long.
void run_attempt(agent_core& core, std::size_t bytes, duration took) {
    attempt_request request;
    request.start.id = {"request-" + std::to_string(core.next_job), 1, "runner-1", 7};
    request.start.start_by = wall_start + 60s;
    request.work = 10;
    request.time_left = 60s;
    std::uint64_t const job = core.next_job;
    on_attempt_request(core, "entry", request, start, wall_start);
    on_engine_start(core, job, 200, "application/json");
    on_engine_bytes(core, job, std::string(bytes, 'x'));
    on_engine_end(core, job, engine_run_end::complete, start + took, wall_start + 1s);
}

// Starts an attempt that the engine has begun to answer. Returns its job.
std::uint64_t begin_attempt(agent_core& core) {
    attempt_request request;
    request.start.id = {"request-" + std::to_string(core.next_job), 1, "runner-1", 7};
    request.start.fingerprint = "body-" + std::to_string(core.next_job);
    request.start.start_by = wall_start + 60s;
    request.work = 10;
    request.time_left = 60s;
    std::uint64_t const job = core.next_job;
    on_attempt_request(core, "entry", request, start, wall_start);
    on_engine_start(core, job, 200, "application/json");
    return job;
}

std::size_t crash_reports(agent_actions const& actions) {
    return static_cast<std::size_t>(
        std::count_if(actions.begin(), actions.end(), [](auto const& action) {
            return std::holds_alternative<engine_crashed>(action);
        }));
}

} // namespace

TEST_CASE("a broken connection beside a run that completes is a crash only if a probe fails") {
    // Guards against blame for a lone broken connection, and against a crash that is missed because
    // the last bytes of another answer were read after the reset.
    for (bool const engine_died : {false, true}) {
        CAPTURE(engine_died);
        agent_core core = make_agent();
        auto const broken = begin_attempt(core);
        auto const other = begin_attempt(core);
        std::size_t reports = 0;
        reports += crash_reports(on_engine_end(core, broken, engine_run_end::connection_lost,
                                               start + 1s, wall_start + 1s));
        reports += crash_reports(
            on_engine_end(core, other, engine_run_end::complete, start + 1005ms, wall_start + 1s));
        CHECK(reports == 0);
        on_engine_probe(core, !engine_died);
        for (auto passed = 1010ms; passed < 2s; passed += 10ms) {
            reports += crash_reports(on_agent_tick(core, start + passed, wall_start + 1s));
        }
        CHECK(reports == (engine_died ? 1 : 0));
    }
}

TEST_CASE("an answer of a few tokens teaches no speed") {
    // Guards against a target that looks many times faster than the others after one tiny answer,
    // whose framing counts as tokens, and then draws nearly all requests.
    agent_core core = make_agent();
    run_attempt(core, 37, 4ms);
    CHECK(load_of(core).tokens_per_second == doctest::Approx(400));
    run_attempt(core, 1000, 500ms);
    CHECK(load_of(core).tokens_per_second == doctest::Approx(500.0 * 8));
}
