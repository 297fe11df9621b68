#include "control_fakes.h"

using namespace control_test;

namespace {

std::string find_other(simulated_cluster& cluster, std::vector<std::string> const& excluded) {
    for (auto const& name : cluster.names) {
        if (std::find(excluded.begin(), excluded.end(), name) == excluded.end()) {
            return name;
        }
    }
    return {};
}

void commit_changes(simulated_cluster& cluster, int count) {
    for (int number = 0; number < count; ++number) {
        auto const base = cluster.model.revisions.size() - 1;
        auto const reply = cluster.commit_change("m" + std::to_string(base), base);
        REQUIRE_MESSAGE(reply.outcome == config_outcome::accepted, cluster.error_report());
    }
}

} // namespace

TEST_CASE("an isolated old leader answers no reads and has no fencing token") {
    // Guards against reads and fencing tokens from a leader that was replaced during a partition,
    // at the largest permitted clock drift.
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed ", seed);
        simulated_cluster cluster{seed};
        REQUIRE(cluster.run_until([&] { return cluster.all_voting(); }));
        auto const old_leader = cluster.leader();
        for (auto const& name : cluster.names) {
            cluster.replicas[name].clock_rate =
                name == old_leader ? 0.9955 : 1.0045; // its clock runs slowest
        }
        cluster.run(2'000);
        REQUIRE(cluster.leader() == old_leader);
        commit_changes(cluster, 3);
        auto const term = cluster.running_node(old_leader)->consensus.hard.term;
        cluster.isolate(old_leader);
        bool const can_receive = seed % 2 == 0;
        if (can_receive) { // it still receives messages, but none of its own arrive
            std::erase_if(cluster.cut_links,
                          [&](auto const& link) { return link.second == old_leader; });
        }
        CHECK(cluster.submit_change(old_leader, cluster.make_change("lost", 3)));
        CHECK(cluster.submit_read(old_leader)); // answered while the lease is held, or not at all
        auto const successor = [&] {
            return !cluster.leader().empty() && cluster.leader() != old_leader;
        };
        REQUIRE_MESSAGE(cluster.run_until(successor, 3'000), cluster.error_report());
        CHECK(!current_fencing_token(*cluster.running_node(old_leader), cluster.clock(old_leader)));
        CHECK(*current_fencing_token(*cluster.running_node(cluster.leader()),
                                     cluster.clock(cluster.leader())) > term);
        commit_changes(cluster, 2);
        cluster.submit_read(old_leader);
        cluster.run(2'000); // every step checks fencing tokens and reads against the new leader's
        cluster.cut_links.clear();
        REQUIRE(cluster.run_until([&] { return cluster.converged(); }));
        CHECK_MESSAGE(cluster.errors.empty(), cluster.error_report());
        CHECK(!cluster.model.first_outcomes.contains("lost"));
    }
}

TEST_CASE("a read without a lease is confirmed by a round of messages") {
    // Guards against a read-index fallback that never answers or answers without a majority.
    simulated_cluster cluster{5};
    REQUIRE(cluster.run_until([&] { return cluster.all_voting(); }));
    auto const name = cluster.leader();
    auto& node = *cluster.running_node(name);
    node.consensus.settings.drift_bound = 1.0; // the lease is never held from here on
    REQUIRE(!current_fencing_token(node, cluster.clock(name)));
    REQUIRE(cluster.submit_read(name));
    CHECK(cluster.run_until([&] { return cluster.pending_calls.empty(); }, 200));
    cluster.isolate(name);
    REQUIRE(cluster.submit_read(name));
    auto const request = cluster.pending_calls.begin()->first;
    for (int step = 0; step < 20; ++step) {
        cluster.step();
    }
    CHECK(cluster.pending_calls.contains(request));
    CHECK_MESSAGE(cluster.errors.empty(), cluster.error_report());
}

TEST_CASE("a second replica fails while the first one is repaired") {
    // Guards against a wiped replica that votes or counts before it has caught up, so that a second
    // failure loses committed changes.
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        INFO("seed ", seed);
        simulated_cluster cluster{seed, 3, 10};
        REQUIRE(cluster.run_until([&] { return cluster.all_voting(); }));
        commit_changes(cluster, 30);
        auto const wiped = cluster.names[seed % 3];
        cluster.wipe_disk(wiped);
        cluster.run(1'500);
        REQUIRE(cluster.start(wiped));
        auto const disk = cluster.running_node(wiped)->consensus.disk;
        // For each seed, another replica stops at a different time of the repair.
        cluster.run(static_cast<int>(seed % 30) * 20);
        auto const other = find_other(cluster, {wiped});
        auto const survivor = find_other(cluster, {wiped, other});
        cluster.stop(other, true);
        auto const regained_vote = [&] {
            auto const& state = cluster.running_node(survivor)->consensus;
            auto const& list = members_of(state);
            return std::any_of(list.begin(), list.end(),
                               [&](member const& one) {
                                   return one.name == wiped && one.disk == disk && one.voter;
                               }) &&
                   state.membership_log.back().first <= state.commit_index;
        };
        if (!regained_vote()) {
            // Not repaired yet: the survivor must not commit with only the learner's
            // acknowledgement.
            auto const committed_before = cluster.committed.size();
            cluster.submit_change(survivor, cluster.make_change("early", 30));
            cluster.run(1'000);
            CHECK(cluster.committed.size() <=
                  committed_before + 2); // what was already on both disks
        } else {
            REQUIRE_MESSAGE(cluster.run_until([&] { return !cluster.leader().empty(); }),
                            cluster.error_report());
        }
        REQUIRE(cluster.start(other));
        REQUIRE_MESSAGE(cluster.run_until([&] { return cluster.converged(); }),
                        cluster.error_report());
        CHECK(cluster.model.revisions.size() >= 31);
        // Directly after the repair another disk is permanently lost.
        cluster.wipe_disk(other);
        REQUIRE_MESSAGE(cluster.run_until([&] { return !cluster.leader().empty(); }),
                        cluster.error_report());
        commit_changes(cluster, 1);
        REQUIRE(cluster.start(other));
        REQUIRE_MESSAGE(cluster.run_until([&] { return cluster.converged(); }),
                        cluster.error_report());
        CHECK_MESSAGE(cluster.errors.empty(), cluster.error_report());
    }
}

TEST_CASE("a learner counts neither for commits nor for votes") {
    // Guards against a majority that includes a replica without a vote.
    simulated_cluster cluster{9};
    REQUIRE(cluster.run_until([&] { return cluster.all_voting(); }));
    for (auto const& name : cluster.names) {
        cluster.running_node(name)->consensus.settings.promote_learners = false;
    }
    auto const leader = cluster.leader();
    auto const learner = find_other(cluster, {leader});
    auto const voter = find_other(cluster, {leader, learner});
    member const changed{learner, cluster.running_node(learner)->consensus.disk, false};
    cluster.pending_calls[0] = {{}, 0, true};
    REQUIRE(change_member(*cluster.running_node(leader), 0, changed, false, cluster.clock(leader)));
    CHECK(!change_member(*cluster.running_node(leader), 0, changed, false,
                         cluster.clock(leader))); // one change at a time
    REQUIRE(cluster.run_until([&] { return cluster.pending_calls.empty(); }));
    cluster.run(300);
    REQUIRE(cluster.running_node(leader)->consensus.membership_log.back().second.previous.empty());
    cluster.stop(voter, true);
    auto const committed_before = cluster.committed.size();
    cluster.submit_change(leader, cluster.make_change("alone", 0));
    cluster.run(3'000);
    CHECK(cluster.committed.size() == committed_before);
    CHECK(cluster.leader().empty());
    REQUIRE(cluster.start(voter));
    REQUIRE(cluster.run_until([&] { return !cluster.leader().empty(); }));
    CHECK_MESSAGE(cluster.errors.empty(), cluster.error_report());
    auto const status =
        status_of(*cluster.running_node(cluster.leader()), cluster.clock(cluster.leader()));
    CHECK((status.lease_held && status.members.current.size() == 3 && status.lag.size() == 2));
}

TEST_CASE("all replicas restart after 500 changes") {
    // Guards against a revision that is lost or reverted when all replicas restart.
    for (std::size_t const snapshot_entries : {50U, 10'000U}) {
        simulated_cluster cluster{3, 3, snapshot_entries};
        REQUIRE(cluster.run_until([&] { return cluster.all_voting(); }));
        commit_changes(cluster, 500);
        auto const first = cluster.replies["m7"];
        for (auto const& name : cluster.names) {
            cluster.stop(name, true);
        }
        for (auto const& name : cluster.names) {
            REQUIRE(cluster.start(name));
        }
        REQUIRE(cluster.run_until([&] { return cluster.converged(); }));
        for (auto const& name : cluster.names) {
            CHECK(cluster.replicas[name].config.revision == 500);
        }
        CHECK(cluster.commit_change("m7", 7) == first);
        CHECK(cluster.model.revisions.size() == 501);
        CHECK_MESSAGE(cluster.errors.empty(), cluster.error_report());
    }
}

TEST_CASE("restart with a torn tail, damage before the tail, a failed sync and a full disk") {
    // Guards against a replica that acknowledges data that its disk does not hold, and against one
    // that keeps running after its disk failed.
    simulated_cluster cluster{4, 3, 10'000};
    REQUIRE(cluster.run_until([&] { return cluster.all_voting(); }));
    commit_changes(cluster, 20);
    auto const name = find_other(cluster, {cluster.leader()});
    auto& instance = cluster.replicas[name];
    cluster.stop(name, false);
    std::prev(instance.disk.names.lower_bound("data/wal-current"))->second->bytes += "torn record";
    REQUIRE(cluster.start(name));
    CHECK(cluster.running_node(name)->torn_bytes == 11);
    REQUIRE(cluster.run_until([&] { return cluster.converged(); }));
    for (int const fault : {0, 1}) {
        fault == 0 ? instance.disk.syncs_until_failure = 0
                   : static_cast<int>(instance.disk.free_bytes = 10);
        REQUIRE(cluster.run_until([&] { return cluster.converged(); }));
        cluster.submit_change(cluster.leader(),
                              cluster.make_change("disk" + std::to_string(fault), 20));
        REQUIRE(cluster.run_until([&] { return instance.node->stop_reason.has_value(); }));
        CHECK(instance.node->stop_reason->kind == error_kind::disk_failure);
        CHECK(!instance.node->stop_reason->remedy.empty());
        CHECK(!submit(*instance.node, 1, {"config", "", {}}));
        auto const answered = [&] {
            return cluster.replies.contains("disk" + std::to_string(fault));
        };
        REQUIRE(cluster.run_until(answered)); // the other replicas continue
        commit_changes(cluster, 2);
        instance.disk.clear_faults();
        cluster.stop(name, true);
        REQUIRE(cluster.start(name));
        REQUIRE(cluster.run_until([&] { return cluster.converged(); }));
    }
    cluster.stop(name, false);
    auto const intact_disk = instance.disk;
    auto const newest = std::prev(intact_disk.names.lower_bound("data/wal-current"))->first;
    for (std::string const path :
         {"data/identity", "data/wal-current", "data/wal-000000000001", newest.c_str()}) {
        // Each file that recovery needs is first damaged, then removed.
        auto const file = intact_disk.names.at(path);
        auto const original = file->bytes;
        file->bytes[original.size() / 3] ^= 1;
        auto const after_damage = cluster.start(name);
        CHECK_MESSAGE((!after_damage && after_damage.error().kind == error_kind::corrupt_data),
                      path);
        file->bytes = original;
        instance.disk = intact_disk;
        instance.disk.names.erase(path);
        auto const after_removal = cluster.start(name);
        CHECK_MESSAGE((!after_removal && after_removal.error().kind == error_kind::corrupt_data),
                      path);
        instance.disk = intact_disk;
    }
    REQUIRE(cluster.start(name));
    REQUIRE(cluster.run_until([&] { return cluster.converged(); }));
    CHECK_MESSAGE(cluster.errors.empty(), cluster.error_report());
}

TEST_CASE("concurrent changes to one revision, and resends to a new leader") {
    // Guards against two accepted changes to one base revision, a conflict reply without the
    // winner, and a change that is applied again, or answered differently, by another leader.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed ", seed);
        simulated_cluster cluster{seed};
        REQUIRE(cluster.run_until([&] { return cluster.all_voting(); }));
        auto const old_leader = cluster.leader();
        REQUIRE(cluster.submit_change(old_leader, cluster.make_change("left", 0)));
        REQUIRE(cluster.submit_change(old_leader, cluster.make_change("right", 0)));
        REQUIRE(cluster.run_until([&] { return cluster.replies.size() == 2; }));
        CHECK(cluster.replies["left"].outcome == config_outcome::accepted);
        CHECK(cluster.replies["right"].outcome == config_outcome::conflict);
        CHECK(cluster.replies["right"].winner_change_id == "left");
        CHECK(cluster.replies["right"].winner_operator == "operator-left");
        auto const left_reply = cluster.replies["left"];
        auto const right_reply = cluster.replies["right"];
        // This change is committed, but its reply is lost with the leader.
        REQUIRE(cluster.submit_change(old_leader, cluster.make_change("third", 1)));
        REQUIRE(cluster.run_until([&] { return cluster.model.first_outcomes.contains("third"); }));
        cluster.stop(old_leader, seed % 2 == 0);
        auto const has_leader = [&] { return !cluster.leader().empty(); };
        REQUIRE_MESSAGE(cluster.run_until(has_leader, 3'000), cluster.error_report());
        CHECK(cluster.commit_change("third", 1).revision == 2);
        CHECK(cluster.commit_change("right", 0) == right_reply);
        CHECK(cluster.commit_change("left", 0) == left_reply);
        CHECK(cluster.model.revisions.size() == 3);
        REQUIRE(cluster.start(old_leader));
        REQUIRE(cluster.run_until([&] { return cluster.converged(); }));
        CHECK_MESSAGE(cluster.errors.empty(), cluster.error_report());
    }
}

TEST_CASE("without a majority, only an operator can restart the cluster") {
    // Guards against a minority that continues on its own, and against a forced recovery that loses
    // the state.
    simulated_cluster cluster{11};
    REQUIRE(cluster.run_until([&] { return cluster.all_voting(); }));
    commit_changes(cluster, 5);
    auto const survivor = find_other(cluster, {cluster.leader()});
    REQUIRE(cluster.run_until([&] { return cluster.converged(); }));
    for (auto const& name : cluster.names) {
        name == survivor ? cluster.stop(name, true) : cluster.wipe_disk(name);
    }
    for (auto const& name : cluster.names) {
        REQUIRE(cluster.start(name));
    }
    cluster.run(5'000);
    CHECK(cluster.leader().empty());
    REQUIRE(force_sole_member(*cluster.running_node(survivor), cluster.clock(survivor)));
    cluster.replicas[survivor].seen_applied = 0;
    REQUIRE_MESSAGE(cluster.run_until([&] { return cluster.all_voting(); }),
                    cluster.error_report());
    for (auto const& name : cluster.names) {
        cluster.run_until([&] { return cluster.replicas[name].config.revision == 5; });
        CHECK(cluster.replicas[name].config.revision == 5);
    }
    CHECK_MESSAGE(cluster.errors.empty(), cluster.error_report());
}
