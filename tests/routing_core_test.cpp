#include "core_simulation.h"

#include "orderkey.h"

using namespace fireflycrank;
using namespace fireflycrank::core_simulation;

namespace {

constexpr fault_rates lossy_network{80, 80, 60};
constexpr fault_rates short_loss{80, 80};

// A caller sends the body until it is refused as quarantined, at most a few times.
void send_until_quarantined(simulation& net, std::string const& body) {
    for (int sent = 0; sent < 6; ++sent) {
        auto const id = net.send(static_cast<std::size_t>(sent % 2), "plain", body);
        for (int innocent = 0; innocent < 4; ++innocent) {
            net.send(static_cast<std::size_t>(innocent % 2), "plain", net.next_body());
        }
        net.run_for(milliseconds{5000});
        if (net.calls.at(id).reason == "quarantined") {
            return;
        }
    }
}

} // namespace

TEST_CASE("under all faults callers get their own bytes, one answer in time and no false not_run") {
    // Guards against mixed, repeated or silently broken answers, and against anything left behind.
    std::uint64_t reports = 0;
    std::map<std::string, int> outcomes;
    for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
        CAPTURE(seed);
        simulation net{seed, all_faults};
        net.run_calls({"plain", "resume"}, 14, false);
        REQUIRE(net.violation == "");
        reports += net.crash_reports;
        for (auto const& [id, asked] : net.calls) {
            ++outcomes[asked.outcome];
        }
    }
    // The faults must reach every outcome, or the checks above look at nothing.
    CHECK(reports > 100);
    for (auto const* outcome : {"answered", "broken", "failed", "not_run", "outcome_unknown"}) {
        CAPTURE(outcome);
        CHECK(outcomes[outcome] > 0);
    }
}

TEST_CASE("a target that drains refuses new work and every answer that it owes arrives") {
    // Guards against work cut off by a planned stop (I6) and against starts after it (I5).
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        CAPTURE(seed);
        simulation net{seed, short_loss};
        for (int sent = 0; sent < 12; ++sent) {
            if (sent == 4) {
                leave_target(net.agents[0].core.drain, net.mono());
            }
            if (sent == 5) {
                auto facts = net.info_of(0, 1);
                facts.leaving = true;
                for (auto& entry : net.entries) {
                    on_target_update(entry.core, facts, false, net.mono());
                }
            }
            auto const* route = sent % 3 == 0 ? "order" : sent % 3 == 1 ? "plain" : "resume";
            net.send(static_cast<std::size_t>(net.random_below(2)), route, net.next_body(),
                     sent % 3 == 2);
            net.run_for(milliseconds{net.random_below(600)});
        }
        net.run_for(milliseconds{4500});
        net.settle();
        net.run_for(milliseconds{31'000}); // the wait for releases, with a margin
        REQUIRE(net.violation == "");
        REQUIRE(net.agents[0].exited);
        for (auto const& item : net.calls) {
            auto const& id = item.first;
            auto const& asked = item.second;
            CAPTURE(id);
            CAPTURE(asked.reason);
            REQUIRE(asked.outcome == "answered");
        }
    }
}

TEST_CASE("the request that crashes engines is quarantined at every entry, and no other one") {
    // Guards against a request that takes down the fleet, and against blame of those beside it.
    auto rates = lossy_network;
    rates.broken_connection = 5;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        CAPTURE(seed);
        simulation net{seed, rates};
        net.targets_lost = true;
        send_until_quarantined(net, "poison");
        net.run_for(milliseconds{1000});
        std::size_t const crashes = net.crash_reports;
        for (std::size_t entry = 0; entry < net.entries.size(); ++entry) {
            auto const id = net.send(entry, "plain", "poison");
            REQUIRE(net.calls.at(id).reason == "quarantined");
            REQUIRE_FALSE(net.started.contains(id));
        }
        net.settle();
        REQUIRE(net.violation == "");
        REQUIRE(net.crash_reports == crashes);
        for (auto const& item : net.calls) {
            auto const& id = item.first;
            auto const& asked = item.second;
            CAPTURE(id);
            bool const guilty = asked.body.find("poison") != std::string::npos;
            bool const blamed = asked.reason == "quarantined" || asked.reason == "crashed_alone";
            REQUIRE((guilty || !blamed));
        }
    }
}

TEST_CASE("a start that was sent and not heard of is never told as not_run") {
    // Guards against not_run (I3) while the start may have run or may still be on its way.
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        fault_rates rates = lossy_network;
        rates.reply_loss = 900;
        simulation net{seed, rates};
        for (auto& entry : net.entries) {
            // Shorter than the silence and the resends that lose an attempt.
            entry.core.configuration.routes.at("plain").deadline = milliseconds{600};
        }
        net.run_calls({"plain"}, 10, false);
        REQUIRE(net.violation == "");
    }
}
