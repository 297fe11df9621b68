// A cluster whose replicas change their addresses: unlisted replicas join, lost ones leave, and a
// replica without its disk never forms a second cluster.
#include "consensus.h"
#include "servicetable.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;

// Replicas without disks or delays; a message to a silent replica is lost.
struct open_cluster {
    std::map<std::string, consensus_state> replicas;
    std::map<std::string, bool> silent;
    std::deque<consensus_message> network;
    time_point now{milliseconds{1'000}};
    std::uint64_t next_disk{1};

    void add(std::string const& name, bool may_form) {
        consensus_state state;
        state.name = name;
        state.disk = next_disk++;
        state.peers = {"a", "b", "c"};
        state.random = rng{next_disk};
        state.settings.open_membership = true;
        state.settings.allow_bootstrap = may_form;
        state.settings.lease_reads = false;
        start_consensus(state, now);
        replicas[name] = std::move(state);
        silent[name] = false;
    }

    void absorb(consensus_state& state, consensus_actions actions) {
        mark_durable(state, now);
        for (auto& one : actions.messages) {
            network.push_back(std::move(one));
        }
    }

    void run(milliseconds span) {
        auto const end = now + span;
        while (now < end) {
            now += milliseconds{10};
            for (auto& [name, state] : replicas) {
                if (!silent[name]) {
                    absorb(state, tick(state, now));
                    consensus_actions more;
                    replicate(state, now, more);
                    absorb(state, std::move(more));
                }
            }
            auto batch = std::exchange(network, {});
            for (auto const& one : batch) {
                auto const found = replicas.find(one.to);
                if (found != replicas.end() && !silent[one.to] && !silent[one.from]) {
                    absorb(found->second, step(found->second, one, now));
                }
            }
        }
    }

    consensus_state* leader() {
        for (auto& [name, state] : replicas) {
            if (state.role == replica_role::leader && !silent[name]) {
                return &state;
            }
        }
        return nullptr;
    }

    std::size_t voters() {
        std::size_t count = 0;
        for (auto const& one : members_of(*leader())) {
            count += one.voter ? 1 : 0;
        }
        return count;
    }
};

} // namespace

TEST_CASE("unlisted replicas join and a replaced one leaves") {
    open_cluster here;
    for (auto const* name : {"a", "b", "c", "d", "e"}) {
        here.add(name, true);
    }
    here.run(milliseconds{5'000});
    REQUIRE(here.leader() != nullptr);
    CHECK(here.voters() == 5);

    auto const lost = here.leader()->name == "b" ? "c" : "b";
    here.silent[lost] = true;
    here.run(milliseconds{5'000});
    REQUIRE(here.leader() != nullptr);
    // One of an odd number: removing it would gain nothing.
    CHECK_FALSE(find_removable_voter(*here.leader(), milliseconds{2'500}, here.now));

    here.add("f", false);
    here.run(milliseconds{5'000});
    CHECK(here.voters() == 6);
    auto const superfluous = find_removable_voter(*here.leader(), milliseconds{2'500}, here.now);
    REQUIRE(superfluous);
    CHECK(superfluous->name == lost);
    consensus_actions actions;
    REQUIRE(propose_member(*here.leader(), *superfluous, true, here.now, actions));
    here.absorb(*here.leader(), std::move(actions));
    here.run(milliseconds{2'000});
    CHECK(here.voters() == 5);
}

TEST_CASE("replicas without their disks form no second cluster") {
    open_cluster here;
    for (auto const* name : {"a", "b", "c"}) {
        here.add(name, false);
    }
    here.run(milliseconds{10'000});
    CHECK(here.leader() == nullptr);
}

// A leader that was suspended believes in its lease until it hears otherwise.
TEST_CASE("without lease reads a cut-off leader answers no read") {
    open_cluster here;
    for (auto const* name : {"a", "b", "c"}) {
        here.add(name, true);
    }
    here.run(milliseconds{5'000});
    auto* const old = here.leader();
    REQUIRE(old != nullptr);
    REQUIRE(lease_holds(*old, here.now));
    consensus_actions actions;
    REQUIRE(request_read(*old, 1, here.now, actions));
    CHECK(take_ready_reads(*old, last_index(*old), here.now).empty());
    here.absorb(*old, std::move(actions));
    here.run(milliseconds{100});
    CHECK(take_ready_reads(*old, last_index(*old), here.now).size() == 1);

    REQUIRE(request_read(*old, 2, here.now, actions));
    here.silent[old->name] = true;
    here.run(milliseconds{5'000});
    CHECK(take_ready_reads(*old, last_index(*old), here.now).empty());
}

TEST_CASE("of two contents under one version the first one committed counts") {
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
