// Open membership, for deployments whose replicas change their addresses: unlisted replicas join,
// lost ones are removed, and replicas that lost their disks never bootstrap a second cluster.
#include "consensus.h"
#include "servicetable.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;

// Replicas without disks and network delay. Messages to and from isolated replicas are lost.
struct open_cluster {
    std::map<std::string, consensus_state> replicas;
    std::map<std::string, bool> isolated;
    std::deque<consensus_message> network;
    time_point now{milliseconds{1'000}};
    std::uint64_t next_disk{1};

    void add(std::string const& name, bool allow_bootstrap) {
        consensus_state state;
        state.name = name;
        state.disk = next_disk++;
        state.peers = {"a", "b", "c"};
        state.random = rng{next_disk};
        state.settings.open_membership = true;
        state.settings.allow_bootstrap = allow_bootstrap;
        state.settings.lease_reads = false;
        start_consensus(state, now);
        replicas[name] = std::move(state);
        isolated[name] = false;
    }

    void execute(consensus_state& state, consensus_actions actions) {
        mark_durable(state, now);
        for (auto& item : actions.messages) {
            network.push_back(std::move(item));
        }
    }

    void run(milliseconds span) {
        auto const end = now + span;
        while (now < end) {
            now += milliseconds{10};
            for (auto& [name, state] : replicas) {
                if (!isolated[name]) {
                    execute(state, tick(state, now));
                    consensus_actions actions;
                    replicate(state, now, actions);
                    execute(state, std::move(actions));
                }
            }
            auto batch = std::exchange(network, {});
            for (auto const& item : batch) {
                auto const receiver = replicas.find(item.to);
                if (receiver != replicas.end() && !isolated[item.to] && !isolated[item.from]) {
                    execute(receiver->second, step(receiver->second, item, now));
                }
            }
        }
    }

    consensus_state* leader() {
        for (auto& [name, state] : replicas) {
            if (state.role == replica_role::leader && !isolated[name]) {
                return &state;
            }
        }
        return nullptr;
    }

    std::size_t voters() {
        std::size_t count = 0;
        for (auto const& item : members_of(*leader())) {
            count += item.voter ? 1 : 0;
        }
        return count;
    }
};

} // namespace

TEST_CASE("unlisted replicas join and a replaced one is removed") {
    open_cluster cluster;
    for (auto const* name : {"a", "b", "c", "d", "e"}) {
        cluster.add(name, true);
    }
    cluster.run(milliseconds{5'000});
    REQUIRE(cluster.leader() != nullptr);
    CHECK(cluster.voters() == 5);

    auto const lost = cluster.leader()->name == "b" ? "c" : "b";
    cluster.isolated[lost] = true;
    cluster.run(milliseconds{5'000});
    REQUIRE(cluster.leader() != nullptr);
    // With an odd number of voters, removing one gains nothing.
    CHECK_FALSE(find_removable_voter(*cluster.leader(), milliseconds{2'500}, cluster.now));

    cluster.add("f", false);
    cluster.run(milliseconds{5'000});
    CHECK(cluster.voters() == 6);
    auto const removable =
        find_removable_voter(*cluster.leader(), milliseconds{2'500}, cluster.now);
    REQUIRE(removable);
    CHECK(removable->name == lost);
    consensus_actions actions;
    REQUIRE(propose_member(*cluster.leader(), *removable, true, cluster.now, actions));
    cluster.execute(*cluster.leader(), std::move(actions));
    cluster.run(milliseconds{2'000});
    CHECK(cluster.voters() == 5);
}

TEST_CASE("replicas that lost their disks bootstrap no second cluster") {
    open_cluster cluster;
    for (auto const* name : {"a", "b", "c"}) {
        cluster.add(name, false);
    }
    cluster.run(milliseconds{10'000});
    CHECK(cluster.leader() == nullptr);
}

// A leader that was suspended considers its lease valid until it learns of a new leader.
TEST_CASE("without lease reads an isolated leader answers no read") {
    open_cluster cluster;
    for (auto const* name : {"a", "b", "c"}) {
        cluster.add(name, true);
    }
    cluster.run(milliseconds{5'000});
    auto* const old_leader = cluster.leader();
    REQUIRE(old_leader != nullptr);
    REQUIRE(lease_holds(*old_leader, cluster.now));
    consensus_actions actions;
    REQUIRE(request_read(*old_leader, 1, cluster.now, actions));
    CHECK(take_ready_reads(*old_leader, last_index(*old_leader), cluster.now).empty());
    cluster.execute(*old_leader, std::move(actions));
    cluster.run(milliseconds{100});
    CHECK(take_ready_reads(*old_leader, last_index(*old_leader), cluster.now).size() == 1);

    REQUIRE(request_read(*old_leader, 2, cluster.now, actions));
    cluster.isolated[old_leader->name] = true;
    cluster.run(milliseconds{5'000});
    CHECK(take_ready_reads(*old_leader, last_index(*old_leader), cluster.now).empty());
}

TEST_CASE("of two contents with the same version the first committed one is kept") {
    service_table table;
    CHECK(apply(table, {5, "one"}).installed);
    CHECK_FALSE(apply(table, {5, "two"}).installed);
    CHECK_FALSE(apply(table, {4, "old"}).installed);
    CHECK(table.current.packed == "one");
    CHECK(apply(table, {6, "new"}).installed);

    control_state state;
    register_services(state, table);
    auto const bytes = serialize_tables(state);
    service_table restored;
    control_state other;
    register_services(other, restored);
    REQUIRE(parse_tables(other, bytes));
    CHECK(restored.current.version == 6);
    CHECK(restored.current.packed == "new");
}

} // namespace fireflycrank
