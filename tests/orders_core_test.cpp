#include "core_simulation.h"
#include "settings.h"

using namespace fireflycrank;
using namespace fireflycrank::core_simulation;

TEST_CASE("under all faults an order runs at most once and leaves nothing behind") {
    // Guards against a second run (I4), a false not_run (I3) and flows that stay for ever.
    for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
        CAPTURE(seed);
        simulation net{seed, all_faults};
        net.run_calls({"order"}, 14, true);
        REQUIRE(net.violation == "");
    }
}

TEST_CASE("expiry and eviction look only at the attempts that are due") {
    // Guards against a tick that scans all records, and against indexes that differ from the
    // records.
    for (std::size_t const count : {1'000U, 10'000U, 100'000U}) {
        attempt_table table;
        table.target = "t";
        table.incarnation = 1;
        table.limits.records = count + 1;
        rng random{count};
        wall_time const begin{milliseconds{1'000'000}};
        auto const at = [&](std::size_t index) {
            return attempt_ref{std::to_string(index), 1, "t", 1};
        };
        std::size_t owed = 0;
        std::size_t ended = 0;
        std::size_t bytes = 0;
        for (std::size_t index = 0; index < count; ++index) {
            bool const repeatable = next_below(random, 2) == 0;
            start_attempt(table,
                          {at(index), begin + milliseconds{count + 500}, !repeatable, false, ""},
                          true, begin);
            begin_run(table, at(index), begin);
            append_output(table, at(index), "abc");
            end_run(table, at(index), attempt_state::done, 200, "", begin + milliseconds{index});
            bool const released = next_below(random, 4) == 0;
            if (released) {
                release_attempt(table, at(index));
            }
            owed += released ? 0 : 1;
            bytes += released ? 0 : 3;
            ended += repeatable && !released ? 1 : 0;
        }
        CHECK(table.owed == owed);
        CHECK(table.evictable.size() == ended);
        CHECK(table.output_bytes == bytes);
        auto const quiet = begin + milliseconds{count + 1};
        CHECK(expire_attempts(table, quiet).empty());
        CHECK(table.visited == 0);
        table.limits.output_bytes = table.output_bytes;
        start_attempt(table, {at(count), quiet, false, false, ""}, true, quiet);
        CHECK(table.visited == 1);
        CHECK(expire_attempts(table, quiet + milliseconds{1}) == std::vector{at(count)});
        CHECK(table.visited == 2);
        CHECK(expire_attempts(table, quiet + 3 * table.limits.retention).empty());
        CHECK(table.records.empty());
        CHECK(table.due.empty());
        CHECK(table.evictable.empty());
        CHECK(table.owed == 0);
    }
}

TEST_CASE("an order that took an attempt over hears its agent, beside the order that made it") {
    // Guards against a takeover at the same entry that waits for messages given only to the first
    // call, and so stays in progress for ever.
    auto const intent = parse_config(
        {{"10.json", R"({"teams":{"clerks":{}},"routes":{"print":{"kind":"service","serves":"press",
          "idempotent":false,"default_team":"clerks"}}})"}});
    REQUIRE(intent);
    entry_core core;
    core.name = "entry-1";
    core.incarnation = 1;
    apply_config(core, intent.value(), 1);
    core.serving = true;
    core.orders_possible = true;
    time_point const now{std::chrono::hours{1}};
    wall_time const wall{std::chrono::hours{1}};
    target_info press;
    press.name = "press-1";
    press.incarnation = 7;
    press.address = "127.0.0.1:1";
    press.serves = {"press"};
    on_target_update(core, press, false, now);

    http_request call;
    call.method = "POST";
    call.path = "/v1/routes/print";
    call.body = R"({"item":"spine"})";
    auto const claim_in = [](entry_actions const& actions) {
        for (entry_action const& action : actions) {
            if (auto const* claim = std::get_if<send_claim>(&action)) {
                return claim->command;
            }
        }
        return claim_command{};
    };
    std::string first;
    std::string second;
    claim_command const acquire = claim_in(on_caller_request(core, call, now, wall, first));
    claim_command const again = claim_in(on_caller_request(core, call, now, wall, second));
    claim_view bound;
    bound.state = claim_state::bound;
    bound.attempt = {first, 1, "press-1", 7};
    bound.start_by = wall + std::chrono::seconds{30};
    bound.owner = "entry-1/1";
    on_claim_reply(core, acquire.id, claim_reply{claim_outcome::accepted, bound}, now, wall);
    // The owner counts as dead, so the second call takes the claim over.
    core.live_owners.clear();
    claim_command const takeover = claim_in(
        on_claim_reply(core, again.id, claim_reply{claim_outcome::existing, bound}, now, wall));
    REQUIRE(std::holds_alternative<takeover_claim>(takeover.action));
    on_claim_reply(core, takeover.id, claim_reply{claim_outcome::accepted, bound}, now, wall);

    // The agent's word that the attempt runs reaches both calls.
    REQUIRE(core.requests.at(first).order);
    REQUIRE(core.requests.at(second).order);
    on_agent_message(core, agent_status{bound.attempt, attempt_state::running}, now, wall);
    CHECK(core.requests.at(first).order->begun);
    CHECK(core.requests.at(second).order->begun);
}
