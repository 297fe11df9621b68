#include "control_fakes.h"

using namespace control_test;

namespace {

wall_time hours(int count) {
    return wall_time{std::chrono::hours{count}};
}

settings_files random_files(rng& random) {
    settings_files files;
    for (auto count = next_below(random, 5); count > 0; --count) {
        files["f" + std::to_string(next_below(random, 6))] = std::to_string(next_below(random, 3));
    }
    return files;
}

} // namespace

TEST_CASE("revisions, conflicts and differences agree with the reference model") {
    // Guards against a difference that does not give the requested revision, and a conflict that
    // names the wrong winner.
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        rng random{seed};
        config_table table;
        reference_model reference;
        for (int number = 0; number < 80; ++number) {
            auto const id = "c" + std::to_string(number);
            auto const newest = reference.revisions.size() - 1;
            auto const base = next_below(random, 3) == 0 ? next_below(random, newest + 3) : newest;
            config_change const change{base, id, "op" + id, random_files(random)};
            reference.apply(change);
            auto const reply = apply_change(table, change, hours(number));
            REQUIRE(reply.outcome == reference.first_outcomes[id].first);
            REQUIRE(reply.revision == reference.first_outcomes[id].second);
            REQUIRE(reply.digest == config_digest(table.revision, reference.revisions.back()));
            if (reply.outcome == config_outcome::conflict) {
                REQUIRE(reply.winner_revision == base + 1);
                REQUIRE(reply.winner_change_id == reference.winners[base + 1].second);
                REQUIRE(reply.winner_operator == reference.winners[base + 1].first);
            }
        }
        for (int pair = 0; pair < 40; ++pair) {
            auto const to = next_below(random, table.revision + 1);
            auto const from = next_below(random, to + 1);
            auto const delta = parse_config_delta(
                serialize_config_delta(make_config_delta(table, from, to).value()));
            auto files = reference.revisions[from];
            REQUIRE(apply_delta(files, delta.value()));
            REQUIRE(files == reference.revisions[to]);
        }
    }
}

TEST_CASE("first replies are kept for seven days and 10,000 ids, and a reused id is refused") {
    // Guards against a change that is applied twice when it is resent late.
    config_table table;
    config_change const first{0, "first", "op", {{"a", "1"}}};
    auto const reply = apply_change(table, first, hours(0));
    REQUIRE(reply.outcome == config_outcome::accepted);
    for (int number = 0; number < 10'050; ++number) {
        apply_change(table, {0, "x" + std::to_string(number), "op", {}}, hours(1));
    }
    CHECK(apply_change(table, first, hours(24 * 7)) == reply);
    config_change other = first;
    other.files["a"] = "2";
    CHECK(apply_change(table, other, hours(2)).outcome == config_outcome::reused_id);
    apply_change(table, {0, "late", "op", {}}, hours(24 * 7 + 1));
    CHECK(!table.reply_numbers.contains("first"));
    CHECK(table.replies.size() >= 10'000);
    // A snapshot keeps the replies.
    control_state state;
    config_table copy;
    register_config(state, copy);
    REQUIRE(state.tables["config"].parse(serialize_config_table(table)));
    config_change const kept{0, "x10000", "op", {}};
    CHECK(apply_change(copy, kept, hours(200)) == apply_change(table, kept, hours(200)));
    CHECK(serialize_config_table(copy).size() == serialize_config_table(table).size());
}

TEST_CASE("differences from discarded revisions hold all files, and a wrong base is detected") {
    // Guards against a daemon that applies a difference to the wrong revision.
    config_table table;
    for (std::uint64_t base = 0; base < 3'000; ++base) {
        apply_change(table, {base, std::to_string(base), "op", {{"a", std::to_string(base)}}},
                     hours(0));
    }
    auto const whole = make_config_delta(table, 1, 3'000).value();
    CHECK(whole.complete);
    settings_files files{{"stale", "x"}};
    REQUIRE(apply_delta(files, whole));
    CHECK(files == table.files);
    CHECK(make_config_delta(table, 1, 2).error().kind == error_kind::not_found);
    CHECK(make_config_delta(table, 5, 3'001).error().kind == error_kind::not_found);
    settings_files wrong{{"b", "unexpected"}};
    CHECK(apply_delta(wrong, make_config_delta(table, 2'990, 3'000).value()).error().kind ==
          error_kind::corrupt_data);
    CHECK(wrong.size() == 1);
}

TEST_CASE("malformed, unknown and invalid commands are refused") {
    // Guards against a crash of every replica by one bad command, and against silent divergence.
    control_state state;
    config_table table;
    register_config(state, table, [](settings_files const& files) -> result<void> {
        if (files.contains("bad")) {
            return fail(error_kind::invalid_settings, "bad", "test");
        }
        return ok();
    });
    auto const reply = apply(state, {"config", "\xff\xff", hours(0)}, 1);
    CHECK(parse_config_reply(reply.value()).value().outcome == config_outcome::malformed);
    CHECK(apply(state, {"unregistered", "", hours(0)}, 2).error().kind == error_kind::internal);
    CHECK(state.applied_index == 1);
    auto const& validate = state.tables["config"].validate;
    CHECK(!validate(serialize_config_change({0, "", "op", {}})));
    CHECK(!validate(serialize_config_change({0, "id", "op", {{"bad", ""}}})));
    CHECK(validate(serialize_config_change({0, "id", "op", {{"good", ""}}})));
    CHECK(parse_tables(state, serialize_table_map(3, {{"unregistered", ""}})).error().kind ==
          error_kind::corrupt_data);
}
