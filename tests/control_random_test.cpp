#include "control_fakes.h"

using namespace control_test;

namespace {

void inject_fault(simulated_cluster& cluster, std::string const& name) {
    auto& random = cluster.random;
    auto& instance = cluster.replicas[name];
    switch (next_below(random, 10)) {
    case 0:
    case 1:
        cluster.stop(name, next_below(random, 3) != 0);
        break;
    case 2:
        // A disk is wiped only while all replicas are voters, since no protocol survives the loss
        // of two disks of three.
        if (cluster.all_voting()) {
            cluster.wipe_disk(name);
            ++cluster.wipes;
        }
        break;
    case 3:
        cluster.isolate(name);
        break;
    case 4:
        cluster.cut_links.insert({name, cluster.names[next_below(random, cluster.names.size())]});
        break;
    case 5:
        instance.disk.syncs_until_failure = static_cast<int>(next_below(random, 4));
        break;
    case 6:
        instance.disk.free_bytes = next_below(random, 2'000);
        break;
    default:
        cluster.cut_links.clear();
        break;
    }
}

void repair_replica(simulated_cluster& cluster, std::string const& name) {
    auto& instance = cluster.replicas[name];
    if (cluster.running_node(name) == nullptr) {
        instance.disk.clear_faults();
        instance.node.reset();
        auto const started = cluster.start(name);
        cluster.expect(static_cast<bool>(started), started ? "" : describe(started.error()));
        ++cluster.restarts;
    }
}

void submit_random_requests(simulated_cluster& cluster) {
    auto& random = cluster.random;
    auto const& name = cluster.names[next_below(random, cluster.names.size())];
    if (next_below(random, 3) == 0) {
        cluster.submit_read(name);
    }
    // A third of the changes are resends, with their original content.
    static constexpr std::uint64_t ids = 120;
    auto const id = "c" + std::to_string(next_below(random, ids));
    auto const base = cluster.model.revisions.size() - 1;
    auto const new_change =
        cluster.make_change(id, base - std::min(base, next_below(random, 3) / 2));
    auto const submitted = cluster.first_submissions.try_emplace(id, new_change).first->second;
    cluster.submit_change(name, submitted);
}

} // namespace

TEST_CASE("random faults violate no invariant of the replicated log") {
    // Guards against two leaders in a term, a lost or changed committed entry, a decreasing
    // revision, a stale read or fencing token, a change applied twice, and a replica that differs
    // from the reference model.
    std::uint64_t changes = 0;
    std::uint64_t restarts = 0;
    std::uint64_t snapshots = 0;
    std::uint64_t wipes = 0;
    std::uint64_t terms = 0;
    for (std::uint64_t seed = 1; seed <= 1'200; ++seed) {
        simulated_cluster cluster{seed, seed % 4 == 0 ? 5 : 3, 12};
        cluster.loss_percent = next_below(cluster.random, 3) * 5;
        cluster.duplicate_percent = next_below(cluster.random, 3) * 5;
        cluster.max_delay_ns =
            1'000'000 + static_cast<std::int64_t>(next_below(cluster.random, 60'000'000));
        cluster.run_until([&] { return cluster.all_voting(); });
        for (int step = 0; step < 300 && cluster.errors.empty(); ++step) {
            auto const& name = cluster.names[next_below(cluster.random, cluster.names.size())];
            if (next_below(cluster.random, 12) == 0) {
                inject_fault(cluster, name);
            } else if (next_below(cluster.random, 8) == 0) {
                repair_replica(cluster, name);
            }
            if (next_below(cluster.random, 3) == 0) {
                submit_random_requests(cluster);
            }
            cluster.step();
        }
        cluster.cut_links.clear();
        cluster.loss_percent = 0;
        cluster.max_delay_ns = 2'000'000;
        for (auto const& name : cluster.names) {
            cluster.replicas[name].disk.clear_faults();
            repair_replica(cluster, name);
        }
        bool const has_converged = cluster.run_until([&] { return cluster.converged(); });
        REQUIRE_MESSAGE(cluster.errors.empty(), cluster.error_report());
        REQUIRE_MESSAGE(has_converged, cluster.error_report(),
                        "does not converge after the repair");
        changes += cluster.model.revisions.size() - 1;
        restarts += cluster.restarts;
        wipes += cluster.wipes;
        terms += cluster.leaders.size();
        for (auto const& name : cluster.names) {
            snapshots += cluster.running_node(name)->consensus.snapshot.bytes != nullptr ? 1 : 0;
        }
    }
    MESSAGE("revisions ", changes, ", restarts ", restarts, ", terms with a leader ", terms,
            ", replicas with a snapshot ", snapshots, ", lost disks ", wipes);
    // The random schedules must reach the cases that they are meant to test.
    CHECK(changes > 5'000);
    CHECK(restarts > 2'000);
    CHECK(terms > 2'000);
    CHECK(snapshots > 1'000);
    CHECK(wipes > 500);
}
