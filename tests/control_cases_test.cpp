#include "control_fakes.h"

using namespace control_test;

namespace {

std::string other_than(simulated_cluster& world, std::vector<std::string> const& taken) {
    for (auto const& name : world.names) {
        if (std::find(taken.begin(), taken.end(), name) == taken.end()) {
            return name;
        }
    }
    return {};
}

void commit_many(simulated_cluster& world, int count) {
    for (int number = 0; number < count; ++number) {
        auto const base = world.model.revisions.size() - 1;
        auto const reply = world.commit_change("m" + std::to_string(base), base);
        REQUIRE_MESSAGE(reply.outcome == config_outcome::accepted, world.error_report());
    }
}

} // namespace

TEST_CASE("isolated old leader") {
    // Guards against reads and fences from a leader that a partition deposed, at the worst drift.
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed ", seed);
        simulated_cluster world{seed};
        REQUIRE(world.run_until([&] { return world.all_voting(); }));
        auto const old = world.leader();
        for (auto const& name : world.names) {
            world.replicas[name].clock_rate =
                name == old ? 0.9955 : 1.0045; // its clock runs slowest
        }
        world.run(2'000);
        REQUIRE(world.leader() == old);
        commit_many(world, 3);
        auto const term = world.running_node(old)->consensus.hard.term;
        world.isolate(old);
        bool const one_way = seed % 2 == 0;
        if (one_way) { // it still hears the others, which do not hear it
            std::erase_if(world.cut_links, [&](auto const& link) { return link.second == old; });
        }
        CHECK(world.submit_change(old, world.make_change("lost", 3)));
        CHECK(world.submit_read(old)); // waits or is answered while the lease holds, never later
        auto const successor = [&] { return !world.leader().empty() && world.leader() != old; };
        REQUIRE_MESSAGE(world.run_until(successor, 3'000), world.error_report());
        CHECK(!current_fencing_token(*world.running_node(old), world.clock(old)));
        CHECK(*current_fencing_token(*world.running_node(world.leader()),
                                     world.clock(world.leader())) > term);
        commit_many(world, 2);
        world.submit_read(old);
        world.run(2'000); // every step compares fences and reads with the successor's
        world.cut_links.clear();
        REQUIRE(world.run_until([&] { return world.converged(); }));
        CHECK_MESSAGE(world.errors.empty(), world.error_report());
        CHECK(!world.model.first_outcomes.contains("lost"));
    }
}

TEST_CASE("a read without a lease is proven by a round of messages") {
    // Guards against a read-index fallback that never answers or answers without a majority.
    simulated_cluster world{5};
    REQUIRE(world.run_until([&] { return world.all_voting(); }));
    auto const name = world.leader();
    auto& node = *world.running_node(name);
    node.consensus.settings.drift_bound = 1.0; // the lease never holds from here on
    REQUIRE(!current_fencing_token(node, world.clock(name)));
    REQUIRE(world.submit_read(name));
    CHECK(world.run_until([&] { return world.pending_calls.empty(); }, 200));
    world.isolate(name);
    REQUIRE(world.submit_read(name));
    auto const request = world.pending_calls.begin()->first;
    for (int step = 0; step < 20; ++step) {
        world.step();
    }
    CHECK(world.pending_calls.contains(request));
    CHECK_MESSAGE(world.errors.empty(), world.error_report());
}

TEST_CASE("second loss during repair") {
    // Guards against a wiped replica that votes or counts before it has caught up, so that losing
    // another one loses committed changes.
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        INFO("seed ", seed);
        simulated_cluster world{seed, 3, 10};
        REQUIRE(world.run_until([&] { return world.all_voting(); }));
        commit_many(world, 30);
        auto const wiped = world.names[seed % 3];
        world.wipe_disk(wiped);
        world.run(1'500);
        REQUIRE(world.start(wiped));
        auto const disk = world.running_node(wiped)->consensus.disk;
        // Stop at a different moment of the repair for each seed.
        world.run(static_cast<int>(seed % 30) * 20);
        auto const second = other_than(world, {wiped});
        auto const third = other_than(world, {wiped, second});
        world.stop(second, true);
        auto const voter = [&] {
            auto const& core = world.running_node(third)->consensus;
            auto const& list = members_of(core);
            return std::any_of(list.begin(), list.end(),
                               [&](member const& one) {
                                   return one.name == wiped && one.disk == disk && one.voter;
                               }) &&
                   core.membership_log.back().first <= core.commit_index;
        };
        if (!voter()) {
            // Not repaired yet: the survivor alone must not commit with the learner's help.
            auto const before = world.committed.size();
            world.submit_change(third, world.make_change("early", 30));
            world.run(1'000);
            CHECK(world.committed.size() <= before + 2); // what was already on both disks
        } else {
            REQUIRE_MESSAGE(world.run_until([&] { return !world.leader().empty(); }),
                            world.error_report());
        }
        REQUIRE(world.start(second));
        REQUIRE_MESSAGE(world.run_until([&] { return world.converged(); }), world.error_report());
        CHECK(world.model.revisions.size() >= 31);
        // Directly after the repair another disk is lost for good.
        world.wipe_disk(second);
        REQUIRE_MESSAGE(world.run_until([&] { return !world.leader().empty(); }),
                        world.error_report());
        commit_many(world, 1);
        REQUIRE(world.start(second));
        REQUIRE_MESSAGE(world.run_until([&] { return world.converged(); }), world.error_report());
        CHECK_MESSAGE(world.errors.empty(), world.error_report());
    }
}

TEST_CASE("a learner neither counts for commits nor for votes") {
    // Guards against a majority that includes a replica without a vote.
    simulated_cluster world{9};
    REQUIRE(world.run_until([&] { return world.all_voting(); }));
    for (auto const& name : world.names) {
        world.running_node(name)->consensus.settings.promote_learners = false;
    }
    auto const lead = world.leader();
    auto const learner = other_than(world, {lead});
    auto const voter = other_than(world, {lead, learner});
    member const changed{learner, world.running_node(learner)->consensus.disk, false};
    world.pending_calls[0] = {{}, 0, true};
    REQUIRE(change_member(*world.running_node(lead), 0, changed, false, world.clock(lead)));
    CHECK(!change_member(*world.running_node(lead), 0, changed, false,
                         world.clock(lead))); // one at a time
    REQUIRE(world.run_until([&] { return world.pending_calls.empty(); }));
    world.run(300);
    REQUIRE(world.running_node(lead)->consensus.membership_log.back().second.previous.empty());
    world.stop(voter, true);
    auto const before = world.committed.size();
    world.submit_change(lead, world.make_change("alone", 0));
    world.run(3'000);
    CHECK(world.committed.size() == before);
    CHECK(world.leader().empty());
    REQUIRE(world.start(voter));
    REQUIRE(world.run_until([&] { return !world.leader().empty(); }));
    CHECK_MESSAGE(world.errors.empty(), world.error_report());
    auto const status = status_of(*world.running_node(world.leader()), world.clock(world.leader()));
    CHECK((status.lease_held && status.members.current.size() == 3 && status.lag.size() == 2));
}

TEST_CASE("restart after 500 changes") {
    // Guards against a revision that a restart of all replicas forgets or reverts.
    for (std::size_t const snapshot_entries : {50U, 10'000U}) {
        simulated_cluster world{3, 3, snapshot_entries};
        REQUIRE(world.run_until([&] { return world.all_voting(); }));
        commit_many(world, 500);
        auto const first = world.replies["m7"];
        for (auto const& name : world.names) {
            world.stop(name, true);
        }
        for (auto const& name : world.names) {
            REQUIRE(world.start(name));
        }
        REQUIRE(world.run_until([&] { return world.converged(); }));
        for (auto const& name : world.names) {
            CHECK(world.replicas[name].config.revision == 500);
        }
        CHECK(world.commit_change("m7", 7) == first);
        CHECK(world.model.revisions.size() == 501);
        CHECK_MESSAGE(world.errors.empty(), world.error_report());
    }
}

TEST_CASE("restart with torn tail, damage before the tail, failed sync, full disk") {
    // Guards against a replica that acknowledges what its disk does not hold, and against one that
    // keeps running on a disk that failed.
    simulated_cluster world{4, 3, 10'000};
    REQUIRE(world.run_until([&] { return world.all_voting(); }));
    commit_many(world, 20);
    auto const name = other_than(world, {world.leader()});
    auto& one = world.replicas[name];
    world.stop(name, false);
    std::prev(one.disk.names.lower_bound("data/wal-current"))->second->bytes += "torn record";
    REQUIRE(world.start(name));
    CHECK(world.running_node(name)->torn_bytes == 11);
    REQUIRE(world.run_until([&] { return world.converged(); }));
    for (int const kind : {0, 1}) {
        kind == 0 ? one.disk.syncs_until_failure = 0 : static_cast<int>(one.disk.free_bytes = 10);
        REQUIRE(world.run_until([&] { return world.converged(); }));
        world.submit_change(world.leader(), world.make_change("disk" + std::to_string(kind), 20));
        REQUIRE(world.run_until([&] { return one.node->stop_reason.has_value(); }));
        CHECK(one.node->stop_reason->kind == error_kind::disk_failure);
        CHECK(!one.node->stop_reason->remedy.empty());
        CHECK(!submit(*one.node, 1, {"config", "", {}}));
        auto const answered = [&] { return world.replies.contains("disk" + std::to_string(kind)); };
        REQUIRE(world.run_until(answered)); // the others go on
        commit_many(world, 2);
        one.disk.clear_faults();
        world.stop(name, true);
        REQUIRE(world.start(name));
        REQUIRE(world.run_until([&] { return world.converged(); }));
    }
    world.stop(name, false);
    auto const sound = one.disk;
    auto const newest = std::prev(sound.names.lower_bound("data/wal-current"))->first;
    for (std::string const path :
         {"data/identity", "data/wal-current", "data/wal-000000000001", newest.c_str()}) {
        // Each file that recovery needs in turn is damaged, then removed.
        auto const file = sound.names.at(path);
        auto const kept = file->bytes;
        file->bytes[kept.size() / 3] ^= 1;
        auto const damaged = world.start(name);
        CHECK_MESSAGE((!damaged && damaged.error().kind == error_kind::corrupt_data), path);
        file->bytes = kept;
        one.disk = sound;
        one.disk.names.erase(path);
        auto const removed = world.start(name);
        CHECK_MESSAGE((!removed && removed.error().kind == error_kind::corrupt_data), path);
        one.disk = sound;
    }
    REQUIRE(world.start(name));
    REQUIRE(world.run_until([&] { return world.converged(); }));
    CHECK_MESSAGE(world.errors.empty(), world.error_report());
}

TEST_CASE("equal-revision race and resend across leader change") {
    // Guards against two accepted changes on one base, a conflict without its winner, and a change
    // that is applied again, or answered differently, by another leader.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed ", seed);
        simulated_cluster world{seed};
        REQUIRE(world.run_until([&] { return world.all_voting(); }));
        auto const old = world.leader();
        REQUIRE(world.submit_change(old, world.make_change("left", 0)));
        REQUIRE(world.submit_change(old, world.make_change("right", 0)));
        REQUIRE(world.run_until([&] { return world.replies.size() == 2; }));
        CHECK(world.replies["left"].outcome == config_outcome::accepted);
        CHECK(world.replies["right"].outcome == config_outcome::conflict);
        CHECK(world.replies["right"].winner_change_id == "left");
        CHECK(world.replies["right"].winner_operator == "operator-left");
        auto const left = world.replies["left"];
        auto const right = world.replies["right"];
        // This change is committed, but its reply is lost with the leader.
        REQUIRE(world.submit_change(old, world.make_change("third", 1)));
        REQUIRE(world.run_until([&] { return world.model.first_outcomes.contains("third"); }));
        world.stop(old, seed % 2 == 0);
        auto const successor = [&] { return !world.leader().empty(); };
        REQUIRE_MESSAGE(world.run_until(successor, 3'000), world.error_report());
        CHECK(world.commit_change("third", 1).revision == 2);
        CHECK(world.commit_change("right", 0) == right);
        CHECK(world.commit_change("left", 0) == left);
        CHECK(world.model.revisions.size() == 3);
        REQUIRE(world.start(old));
        REQUIRE(world.run_until([&] { return world.converged(); }));
        CHECK_MESSAGE(world.errors.empty(), world.error_report());
    }
}

TEST_CASE("a lost majority is given up only by an operator's decision") {
    // Guards against a minority that goes on by itself, and against a recovery that loses its
    // state.
    simulated_cluster world{11};
    REQUIRE(world.run_until([&] { return world.all_voting(); }));
    commit_many(world, 5);
    auto const last = other_than(world, {world.leader()});
    REQUIRE(world.run_until([&] { return world.converged(); }));
    for (auto const& name : world.names) {
        name == last ? world.stop(name, true) : world.wipe_disk(name);
    }
    for (auto const& name : world.names) {
        REQUIRE(world.start(name));
    }
    world.run(5'000);
    CHECK(world.leader().empty());
    REQUIRE(force_sole_member(*world.running_node(last), world.clock(last)));
    world.replicas[last].seen_applied = 0;
    REQUIRE_MESSAGE(world.run_until([&] { return world.all_voting(); }), world.error_report());
    for (auto const& name : world.names) {
        world.run_until([&] { return world.replicas[name].config.revision == 5; });
        CHECK(world.replicas[name].config.revision == 5);
    }
    CHECK_MESSAGE(world.errors.empty(), world.error_report());
}
