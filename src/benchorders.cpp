#include "bench.h"

#include "claim.h"
#include "claimwire.h"
#include "orderflow.h"
#include "rng.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace fireflycrank {

namespace {

constexpr std::size_t small_table = 1'000;
constexpr std::size_t middle_table = 10'000;
constexpr std::size_t large_table = 100'000;
constexpr std::size_t sampled_applies = 20'000;
constexpr int apply_repeats = 5;

// An order needs a claim before its start and its outcome after its end.
constexpr double commands_target = 2;
// State is counted as snapshot bytes, which are equal on every machine; memory adds the nodes of a
// map. Half of a control daemon's 64 MB holds the 100,000 tombstones of a day without pruning.
constexpr double tombstone_bytes_target = (32U << 20U) / 100'000.0;
// A claim may hold its response beside that.
constexpr std::size_t response_bytes = 512;
constexpr double claim_bytes_target = tombstone_bytes_target + response_bytes;
// A balanced tree grows by log(100,000) / log(1,000) = 1.67; the rest allows for cache misses.
constexpr double apply_ratio_target = 5;

std::string key_of(std::size_t number, std::uint64_t seed) {
    rng source{seed + number};
    std::string key(64, '0');
    for (auto& digit : key) {
        digit = "0123456789abcdef"[next_below(source, 16)];
    }
    return key;
}

claim_command acquire_of(std::size_t number, std::uint64_t seed, wall_time at) {
    auto const key = key_of(number, seed);
    return {"entry-01/1#" + std::to_string(number) + "/1", key, at,
            acquire_claim{key,
                          "entry-01/1#" + std::to_string(number),
                          "servicio-ordenes-1",
                          7,
                          at + std::chrono::seconds{30},
                          "entry-01/1",
                          {}}};
}

/// Fills a table with finished claims whose replies have aged out.
claim_table fill(std::size_t claims, std::uint64_t seed, bool keep_responses) {
    claim_table table;
    wall_time const at{std::chrono::hours{1}};
    for (std::size_t number = 0; number < claims; ++number) {
        auto const reply = apply(table, acquire_of(number, seed, at));
        finish_claim finish{reply.view.attempt, false, {}};
        if (keep_responses) {
            finish.response = stored_response{200, "text/plain", std::string(response_bytes, 'a')};
        }
        apply(table, {"finish-" + std::to_string(number), key_of(number, seed), at, finish});
    }
    apply(table, {"expire", "", at + table.limits.reply_retention * 2, expire_claims{}});
    return table;
}

double bytes_per_claim(std::size_t claims, std::uint64_t seed, bool keep_responses) {
    auto const table = fill(claims, seed, keep_responses);
    return static_cast<double>(serialize_claims(table).size()) / static_cast<double>(claims);
}

/// Runs one order without faults, with every message answered at once.
double commands_per_order(bool refused_once) {
    claim_table table;
    time_point const now{std::chrono::hours{1}};
    wall_time const wall{std::chrono::hours{1}};
    std::vector<order_action> actions;
    auto flow = begin_order({"key",
                             "digest",
                             {},
                             "request",
                             "entry",
                             now + std::chrono::seconds{30},
                             wall + std::chrono::seconds{30},
                             {}},
                            {}, {"t", 1}, now, actions);
    double commands = 0;
    while (!actions.empty()) {
        auto const action = actions.front();
        actions.erase(actions.begin());
        std::vector<order_event> events;
        if (auto const* send = std::get_if<send_control>(&action)) {
            ++commands;
            auto command = send->command;
            command.at = wall;
            events.emplace_back(control_replied{command.id, apply(table, command)});
        } else if (std::holds_alternative<request_target>(action)) {
            events.emplace_back(target_chosen{order_target{"u", 1}});
        } else if (auto const* ask = std::get_if<send_agent>(&action);
                   ask != nullptr && ask->what == agent_request::start) {
            if (refused_once && ask->id.number == 1) {
                events.emplace_back(agent_status{ask->id, attempt_state::refused});
            } else {
                events.emplace_back(agent_chunk{ask->id, 0, "answer"});
                events.emplace_back(
                    agent_end{ask->id, attempt_state::done, 200, "text/plain", 6, true});
            }
        }
        for (auto const& event : events) {
            auto const more = step_order(flow, event, now, wall);
            actions.insert(actions.end(), more.begin(), more.end());
        }
    }
    return commands;
}

/// Time of one acquire of a known key; the fastest of several rounds, since the machine is shared.
double apply_ns(std::size_t claims, std::uint64_t seed) {
    auto table = fill(claims, seed, false);
    double best = 0;
    for (int repeat = 0; repeat < apply_repeats; ++repeat) {
        rng random{seed + static_cast<std::uint64_t>(repeat)};
        std::vector<claim_command> commands;
        for (std::size_t sample = 0; sample < sampled_applies; ++sample) {
            commands.push_back(acquire_of(next_below(random, claims), seed, table.latest));
            commands.back().id = std::to_string(repeat) + "-" + std::to_string(sample);
        }
        auto const start = std::chrono::steady_clock::now();
        for (auto const& command : commands) {
            apply(table, command);
        }
        std::chrono::duration<double, std::nano> const spent =
            std::chrono::steady_clock::now() - start;
        auto const each = spent.count() / static_cast<double>(sampled_applies);
        best = repeat == 0 ? each : std::min(best, each);
    }
    return best;
}

bench_result at_most(std::string name, std::string unit, double value, double baseline,
                     double target) {
    return {std::move(name), std::move(unit), value, baseline, target, value <= target, true};
}

} // namespace

std::vector<bench_result> bench_orders(std::uint64_t seed) {
    std::vector<bench_result> results;
    results.push_back(at_most("order_control_commands", "commands", commands_per_order(false),
                              commands_target, commands_target));
    results.push_back(at_most("order_control_commands_refused_once", "commands",
                              commands_per_order(true), commands_target, commands_target + 1));
    for (auto const claims : {small_table, middle_table, large_table}) {
        auto const size = std::to_string(claims);
        results.push_back(at_most("claim_state_bytes_" + size, "bytes",
                                  bytes_per_claim(claims, seed, true), response_bytes,
                                  claim_bytes_target));
        results.push_back(at_most("claim_tombstone_bytes_" + size, "bytes",
                                  bytes_per_claim(claims, seed, false), 0, tombstone_bytes_target));
    }
    auto const small = apply_ns(small_table, seed);
    auto const large = apply_ns(large_table, seed);
    auto ratio = at_most("claim_apply_ratio", "ratio", large / small, 1, apply_ratio_target);
    ratio.counted = false;
    results.push_back(ratio);
    return results;
}

} // namespace fireflycrank
