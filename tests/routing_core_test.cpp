#include "core_simulation.h"

#include "orderkey.h"

using namespace fireflycrank;
using namespace fireflycrank::core_simulation;

namespace {

constexpr fault_rates lossy_network{80, 80, 60};
constexpr fault_rates short_loss{80, 80};

// Sends a request up to six times until it is refused as quarantined, with other requests beside
// it.
void send_until_quarantined(simulation& sim, std::string const& body) {
    for (int sent = 0; sent < 6; ++sent) {
        auto const id = sim.send(static_cast<std::size_t>(sent % 2), "plain", body);
        for (int other = 0; other < 4; ++other) {
            sim.send(static_cast<std::size_t>(other % 2), "plain", sim.next_body());
        }
        sim.run_for(milliseconds{5000});
        if (sim.calls.at(id).reason == "quarantined") {
            return;
        }
    }
}

} // namespace

TEST_CASE("under all faults callers get their own bytes, one answer in time and no false not_run") {
    // Guards against mixed, repeated or silently truncated answers and against state that is left.
    std::uint64_t reports = 0;
    std::map<std::string, int> outcomes;
    for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
        CAPTURE(seed);
        simulation sim{seed, all_faults};
        sim.run_calls({"plain", "resume"}, 14, false);
        REQUIRE(sim.violation == "");
        reports += sim.crash_reports;
        for (auto const& [id, observed] : sim.calls) {
            ++outcomes[observed.outcome];
        }
    }
    // The faults must produce every outcome, or the checks above cover nothing.
    CHECK(reports > 100);
    for (auto const* outcome : {"answered", "broken", "failed", "not_run", "outcome_unknown"}) {
        CAPTURE(outcome);
        CHECK(outcomes[outcome] > 0);
    }
}

TEST_CASE("a draining target refuses new work, and all answers in progress arrive") {
    // Guards against requests aborted by a planned stop (I6) and against starts after it (I5).
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        CAPTURE(seed);
        simulation sim{seed, short_loss};
        for (int sent = 0; sent < 12; ++sent) {
            if (sent == 4) {
                leave_target(sim.agents[0].core.drain, sim.mono());
            }
            if (sent == 5) {
                auto info = sim.info_of(0, 1);
                info.leaving = true;
                for (auto& entry : sim.entries) {
                    on_target_update(entry.core, info, false, sim.mono());
                }
            }
            auto const* route = sent % 3 == 0 ? "order" : sent % 3 == 1 ? "plain" : "resume";
            sim.send(static_cast<std::size_t>(sim.random_below(2)), route, sim.next_body(),
                     sent % 3 == 2);
            sim.run_for(milliseconds{sim.random_below(600)});
        }
        sim.run_for(milliseconds{4500});
        sim.settle();
        sim.run_for(milliseconds{31'000}); // Longer than drain_settings::release_wait.
        REQUIRE(sim.violation == "");
        REQUIRE(sim.agents[0].exited);
        for (auto const& item : sim.calls) {
            auto const& id = item.first;
            auto const& observed = item.second;
            CAPTURE(id);
            CAPTURE(observed.reason);
            REQUIRE(observed.outcome == "answered");
        }
    }
}

TEST_CASE("a request that crashes engines is quarantined at every entry, and no other request") {
    // Guards against one request that crashes every target, and against quarantine of requests that
    // ran beside it.
    auto rates = lossy_network;
    rates.broken_connection = 5;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        CAPTURE(seed);
        simulation sim{seed, rates};
        sim.targets_lost = true;
        send_until_quarantined(sim, "poison");
        sim.run_for(milliseconds{1000});
        std::size_t const crashes = sim.crash_reports;
        for (std::size_t entry = 0; entry < sim.entries.size(); ++entry) {
            auto const id = sim.send(entry, "plain", "poison");
            REQUIRE(sim.calls.at(id).reason == "quarantined");
            REQUIRE_FALSE(sim.started.contains(id));
        }
        sim.settle();
        REQUIRE(sim.violation == "");
        REQUIRE(sim.crash_reports == crashes);
        for (auto const& item : sim.calls) {
            auto const& id = item.first;
            auto const& observed = item.second;
            CAPTURE(id);
            bool const sent_poison = observed.body.find("poison") != std::string::npos;
            bool const was_refused =
                observed.reason == "quarantined" || observed.reason == "crashed_alone";
            REQUIRE((sent_poison || !was_refused));
        }
    }
}

TEST_CASE("a sent start without a reply is never reported as not_run") {
    // Guards against not_run (I3) while the attempt may have run or the start may still arrive.
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        fault_rates rates = lossy_network;
        rates.reply_loss = 900;
        simulation sim{seed, rates};
        for (auto& entry : sim.entries) {
            // Shorter than the time after which an attempt counts as lost.
            entry.core.configuration.routes.at("plain").deadline = milliseconds{600};
        }
        sim.run_calls({"plain"}, 10, false);
        REQUIRE(sim.violation == "");
    }
}
