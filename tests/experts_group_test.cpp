// The expert map switch between the daemons: the agent's gates and control's loop.

#include "engineranks.h"
#include "expertswire.h"
#include "mapmanager.h"
#include "maptable.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace fireflycrank;

namespace {

constexpr wall_time wall{std::chrono::seconds{1000}};
constexpr time_point start{std::chrono::seconds{1}};

engine_ranks gates_of_rank_0() {
    process_config settings;
    settings.name = "agent-1";
    settings.target.serves = {"fude@1"};
    settings.target.group = "g1";
    settings.target.ranks = {0};
    return make_engine_ranks(settings, 7);
}

config intent_of_two_ranks() {
    config intent;
    intent.models["fude"].group = {2, 2, 1, 1, std::chrono::milliseconds{500}};
    return intent;
}

// A control with one group of two ranks, its first map committed.
struct group_control {
    map_manager loop;
    map_table table;
    config intent = intent_of_two_ranks();
    control_table functions = map_table_functions(table);

    map_manager_actions report(std::uint32_t rank, std::uint64_t step,
                               expert_token_counts counts = {}) {
        rank_report const progress{"g1", rank, 7, 0, 0, 0, 0, step};
        return on_group_report(loop, "10.0.0." + std::to_string(rank) + ":1",
                               {"fude", progress, std::move(counts)}, start, wall);
    }
    // Advances the loop and commits what it proposes.
    map_manager_actions tick(std::optional<std::uint64_t> fence, time_point now) {
        auto actions = tick_map_manager(loop, table, intent, fence, now, wall);
        for (map_command const& command : actions.commands) {
            functions.apply(serialize(command), 1, wall);
        }
        return actions;
    }
};

// Control's reply to the gates' question, from the committed table.
control_reply reply_to(group_control& control, control_call const& call) {
    control_reply reply;
    reply.accepted = true;
    reply.term = 3;
    reply.reply = control.functions.query(call.command).value();
    return reply;
}

// Brings the rank through its question and the load of the map.
void open_gate(engine_ranks& gates, group_control& control, std::uint64_t step) {
    engine_rank_actions asked;
    REQUIRE_FALSE(on_step_request(gates, {0, step, {}}, start, asked).run);
    REQUIRE(asked.calls.size() == 1);
    auto const fetch =
        on_control_reply(gates, asked.calls[0].id, reply_to(control, asked.calls[0]), start);
    REQUIRE(fetch.calls.size() == 1);
    auto const load =
        on_control_reply(gates, fetch.calls[0].id, reply_to(control, fetch.calls[0]), start);
    REQUIRE(load.engine_calls.size() == 1);
    REQUIRE(load.engine_calls[0].content->layers.size() == 1);
    on_engine_loaded(gates, 0, load.engine_calls[0].map, true);
}

group_control created_group() {
    group_control control;
    control.report(0, 0);
    control.report(1, 0);
    control.tick(3, start);
    REQUIRE(control.table.groups.contains("g1"));
    return control;
}

} // namespace

TEST_CASE("a restarted agent promises nothing before its engine has named the next step") {
    // Guards against a promise to stop at a step that the engine has already begun.
    engine_ranks gates = gates_of_rank_0();
    map_view_message view;
    view.group = "g1";
    view.fence = 3;
    view.view = {5, 1, 1, 0, 1, switch_phase::armed, 2, 40, true, true, true};
    CHECK(on_map_view(gates, view, start).reports.empty());
    CHECK(tick_engine_ranks(gates, start).reports.empty());

    engine_rank_actions asked;
    on_step_request(gates, {0, 41, {}}, start, asked);
    view.query_id = gates.ranks.at(0).participant.query_id;
    view.incarnation = 7;
    auto const answered = on_map_view(gates, view, start);
    REQUIRE(answered.reports.size() == 1);
    CHECK(answered.reports[0].progress.armed_switch == 0);
    CHECK(answered.reports[0].progress.refused_switch == 1);
}

TEST_CASE("a step asked twice gets one map, and its counts are taken once") {
    // Guards against a lost answer that skips a step, runs it again, or counts tokens twice.
    group_control control = created_group();
    engine_ranks gates = gates_of_rank_0();
    open_gate(gates, control, 0);
    engine_rank_actions actions;
    for (int question = 0; question < 2; ++question) {
        auto const answer = on_step_request(gates, {0, 0, {{5, 6}}}, start, actions);
        CHECK(answer.run);
        CHECK(answer.map == 1);
    }
    CHECK(gates.ranks.at(0).counts == expert_token_counts{{5, 6}});
    CHECK(on_step_request(gates, {0, 1, {}}, start, actions).run);
    CHECK_FALSE(on_step_request(gates, {0, 0, {}}, start, actions).accepted);
    CHECK_FALSE(on_step_request(gates, {1, 0, {}}, start, actions).accepted);
    // A later step means that the group went on without the rank: it asks again.
    CHECK_FALSE(on_step_request(gates, {0, 9, {}}, start, actions).run);
    CHECK(gates.ranks.at(0).participant.next_step == 9);
}

TEST_CASE("a load that failed is tried again, but not beside one under way") {
    // Guards against a rank that waits for ever, and against a load for each repeated view.
    group_control control = created_group();
    engine_ranks gates = gates_of_rank_0();
    engine_rank_actions asked;
    on_step_request(gates, {0, 0, {}}, start, asked);
    auto const reply = reply_to(control, asked.calls.at(0));
    auto const first = on_control_reply(gates, asked.calls[0].id, reply, start);
    REQUIRE(first.calls.size() == 1);
    auto const again = tick_engine_ranks(gates, start + std::chrono::seconds{1});
    REQUIRE(again.calls.size() == 1);
    CHECK(on_control_reply(gates, again.calls[0].id, reply, start).calls.empty());
    on_control_reply(gates, first.calls[0].id, std::nullopt, start);
    auto const third = tick_engine_ranks(gates, start + std::chrono::seconds{2});
    REQUIRE(third.calls.size() == 1);
    CHECK(on_control_reply(gates, third.calls[0].id, reply, start).calls.size() == 1);
}

TEST_CASE("control plans from reported counts, and only while its lease holds") {
    // Guards against an isolated replica that sends views, and against plans without cause.
    group_control control;
    control.report(0, 0);
    CHECK(control.tick(3, start).commands.empty()); // a rank is missing
    control.report(1, 0);
    CHECK(control.tick(std::nullopt, start).commands.empty());
    CHECK(control.tick(3, start).commands.size() == 1);
    CHECK(control.tick(3, start).output.send.size() == 2); // one view for each rank
    CHECK(control.tick(std::nullopt, start).output.send.empty());

    // Two experts on two slots leave nothing to plan; a third slot a rank does.
    control.table.groups.clear();
    control.intent.models["fude"].group.slots_per_rank = 2;
    control.intent.models["fude"].group.experts = 3;
    control.loop.groups.clear();
    control.report(0, 0);
    control.report(1, 0);
    control.tick(4, start);
    control.tick(4, start);
    // The popular expert is one that the first map holds once.
    auto const& first = control.table.groups.at("g1").current.layers.at(0).slot_expert;
    std::vector<std::uint64_t> counts(3, 10);
    for (std::size_t expert = 0; expert < counts.size(); ++expert) {
        if (std::count(first.begin(), first.end(), static_cast<std::uint16_t>(expert)) == 1) {
            counts[expert] = 900;
            break;
        }
    }
    control.report(0, 5, {counts});
    control.report(1, 5, {counts});
    CHECK(control.tick(4, start + std::chrono::milliseconds{499}).commands.empty());
    auto const planned = control.tick(4, start + std::chrono::milliseconds{500});
    REQUIRE(planned.output.logs.size() == 1);
    CHECK(planned.output.logs[0].kind == &events::map_planned);
    REQUIRE(planned.commands.size() == 1);
    group_record const& record = control.table.groups.at("g1");
    CHECK(record.pending.phase == switch_phase::preparing);
    CHECK(record.pending.map.id == 2);
    CHECK(record.pending.map.layers.at(0).slot_expert != first);
}

TEST_CASE("a changed shape stops the planning of a running group") {
    // Guards against a leader that reads beyond the popularity after an operator's edit.
    for (std::uint32_t const experts : {1U, 2U, 4U}) {
        group_control control = created_group();
        control.tick(3, start);
        control.intent.models["fude"].group = {2, experts, 1, 2, std::chrono::milliseconds{500}};
        control.report(0, 5, {std::vector<std::uint64_t>(experts, 7)});
        auto const actions = control.tick(3, start + std::chrono::seconds{1});
        CHECK(actions.commands.empty());
        CHECK(actions.output.logs.empty());
    }
}

TEST_CASE("the map table survives a snapshot and refuses damaged bytes") {
    // Guards against map decisions that a restarted replica has forgotten.
    group_control control = created_group();
    group_control restored;
    REQUIRE(restored.functions.parse(control.functions.serialize()));
    CHECK(restored.table == control.table);
    CHECK(!restored.functions.parse("\xff\xff"));
    CHECK(!restored.functions.validate("\xff\xff"));
    CHECK(!restored.functions.query(serialize(map_table_query{{}, "g1", 99})));
    group_report const report{"fude", {"g1", 1, 2, 3, 4, 5, 6, 7}, {{1, 2}, {}}};
    CHECK(parse_group_report(serialize(report)).value() == report);
}
