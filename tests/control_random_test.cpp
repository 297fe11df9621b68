#include "control_fakes.h"

using namespace control_test;

namespace {

void inject(simulated_cluster& world, std::string const& name) {
    auto& random = world.random;
    auto& one = world.replicas[name];
    switch (next_below(random, 10)) {
    case 0:
    case 1:
        world.stop(name, next_below(random, 3) != 0);
        break;
    case 2:
        // Only a whole cluster may lose a disk: two lost disks of three exceed any protocol.
        if (world.all_voting()) {
            world.wipe_disk(name);
            ++world.wipes;
        }
        break;
    case 3:
        world.isolate(name);
        break;
    case 4:
        world.cut_links.insert({name, world.names[next_below(random, world.names.size())]});
        break;
    case 5:
        one.disk.syncs_until_failure = static_cast<int>(next_below(random, 4));
        break;
    case 6:
        one.disk.free_bytes = next_below(random, 2'000);
        break;
    default:
        world.cut_links.clear();
        break;
    }
}

void repair(simulated_cluster& world, std::string const& name) {
    auto& one = world.replicas[name];
    if (world.running_node(name) == nullptr) {
        one.disk.clear_faults();
        one.node.reset();
        auto const started = world.start(name);
        world.expect(static_cast<bool>(started), started ? "" : describe(started.error()));
        ++world.restarts;
    }
}

void use(simulated_cluster& world) {
    auto& random = world.random;
    auto const& name = world.names[next_below(random, world.names.size())];
    if (next_below(random, 3) == 0) {
        world.submit_read(name);
    }
    // A third of the changes are resends, with their first content.
    static constexpr std::uint64_t ids = 120;
    auto const id = "c" + std::to_string(next_below(random, ids));
    auto const base = world.model.revisions.size() - 1;
    auto const fresh = world.make_change(id, base - std::min(base, next_below(random, 3) / 2));
    auto const made = world.first_submissions.try_emplace(id, fresh).first->second;
    world.submit_change(name, made);
}

} // namespace

TEST_CASE("no schedule of faults breaks the replicated log") {
    // Guards against: two leaders in a term, a lost or changed committed entry, a falling revision,
    // a stale read or fence, a change applied twice, and a replica that differs from a single copy.
    std::uint64_t changes = 0;
    std::uint64_t restarts = 0;
    std::uint64_t snapshots = 0;
    std::uint64_t wipes = 0;
    std::uint64_t terms = 0;
    for (std::uint64_t seed = 1; seed <= 1'200; ++seed) {
        simulated_cluster world{seed, seed % 4 == 0 ? 5 : 3, 12};
        world.loss_percent = next_below(world.random, 3) * 5;
        world.duplicate_percent = next_below(world.random, 3) * 5;
        world.max_delay_ns =
            1'000'000 + static_cast<std::int64_t>(next_below(world.random, 60'000'000));
        world.run_until([&] { return world.all_voting(); });
        for (int step = 0; step < 300 && world.errors.empty(); ++step) {
            auto const& name = world.names[next_below(world.random, world.names.size())];
            if (next_below(world.random, 12) == 0) {
                inject(world, name);
            } else if (next_below(world.random, 8) == 0) {
                repair(world, name);
            }
            if (next_below(world.random, 3) == 0) {
                use(world);
            }
            world.step();
        }
        world.cut_links.clear();
        world.loss_percent = 0;
        world.max_delay_ns = 2'000'000;
        for (auto const& name : world.names) {
            world.replicas[name].disk.clear_faults();
            repair(world, name);
        }
        bool const settled = world.run_until([&] { return world.converged(); });
        REQUIRE_MESSAGE(world.errors.empty(), world.error_report());
        REQUIRE_MESSAGE(settled, world.error_report(), "does not settle after the repair");
        changes += world.model.revisions.size() - 1;
        restarts += world.restarts;
        wipes += world.wipes;
        terms += world.leaders.size();
        for (auto const& name : world.names) {
            snapshots += world.running_node(name)->consensus.snapshot.bytes != nullptr ? 1 : 0;
        }
    }
    MESSAGE("revisions ", changes, ", restarts ", restarts, ", terms with a leader ", terms,
            ", replicas with a snapshot ", snapshots, ", lost disks ", wipes);
    // The schedules must reach the cases that they are meant to test.
    CHECK(changes > 5'000);
    CHECK(restarts > 2'000);
    CHECK(terms > 2'000);
    CHECK(snapshots > 1'000);
    CHECK(wipes > 500);
}
