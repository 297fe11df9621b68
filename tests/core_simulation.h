/// @file
/// Simulation of entry cores, agent cores, fake control replicas and fake engines, connected by an
/// in-memory network that loses, delays, duplicates and reorders messages. Runs in virtual time and
/// is determined by its seed. It checks the guarantees to callers in every step and stores the
/// first violation.
#pragma once

#include "agentcore.h"
#include "controlclient.h"
#include "entrycore.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fireflycrank::core_simulation {

using std::chrono::milliseconds;

/// Probabilities of faults in thousandths, per message or per step of 10 ms.
struct fault_rates {
    unsigned loss{0}, duplicate{0}, delay{0}, control_loss{0}, leader_change{0};
    unsigned restart{0}, engine_crash{0}, broken_connection{0}, caller_disconnect{0},
        false_suspicion{0};
    unsigned error_status{0}; ///< per engine run
    unsigned reply_loss{0};   ///< per message of an agent, in addition to `loss`
};

inline constexpr fault_rates no_faults{};
inline constexpr fault_rates all_faults{80, 80, 60, 60, 3, 2, 3, 5, 4, 1, 100};

/// One run of a request at an engine.
struct engine_run {
    attempt_ref id;
    std::uint64_t job{0};
    std::string fingerprint, body, output;
    std::uint32_t status{200};
    std::size_t bytes_sent{0};
    milliseconds started_at{}, next_output_at{};
    bool crashes_engine{false};
};

/// A call, as its caller observes it.
struct observed_call {
    std::string body;
    std::size_t entry{0};
    milliseconds deadline{};
    bool order{false}, stream{false}, finished{false}, aborted{false}, disconnected{false};
    int status{0};
    std::string bytes, outcome, reason;
};

struct agent_node {
    agent_core core;
    bool engine_up{true}, exited{false};
    milliseconds engine_restart_at{}, next_probe_at{}, clock_skew{};
    std::vector<engine_run> runs; ///< in progress at the engine
    milliseconds engine_died_at{};
    /// When a connection last broke, by fingerprint of its request.
    std::map<std::string, milliseconds> connection_broken_at;
    std::vector<std::pair<milliseconds, milliseconds>> completed; ///< start and end of runs
};

struct entry_node {
    entry_core core;
    control_client control;
};

struct simulation {
    rng random;
    fault_rates rates;
    milliseconds now{1'000'000};
    claim_table claims;
    quarantine_table quarantine;
    std::size_t leader{0};
    std::vector<claim_command> commands;
    std::multimap<milliseconds, std::function<void()>> network;
    std::vector<agent_node> agents;
    std::vector<entry_node> entries;
    std::map<std::string, observed_call> calls;             ///< by request id
    std::map<std::string, std::vector<engine_run>> started; ///< by request id
    std::map<std::string, int> run_count;                   ///< by body
    std::string violation;
    std::uint64_t bodies_created{0}, crash_reports{0};
    bool targets_lost{false}; ///< at least one, so outcomes may be unknown

    explicit simulation(std::uint64_t seed, fault_rates fault_probabilities = no_faults,
                        std::size_t agent_count = 3)
        : random{seed}, rates{fault_probabilities}, agents(agent_count), entries(2) {
        config configuration;
        auto const add = [&configuration](std::string const& name, bool idempotent,
                                          bool resumable) {
            route_config route;
            route.name = name;
            route.serves = "m";
            route.path = "/";
            route.idempotent = idempotent;
            route.resumable = resumable;
            route.order_key.window = milliseconds{3'600'000};
            route.deadline = milliseconds{4000};
            route.max_body_bytes = 1000;
            route.max_attempts = 4;
            route.default_team = "team";
            route.output_limit = 10;
            route.long_work_tokens = 1000;
            configuration.routes[name] = route;
        };
        add("plain", true, false);
        add("resume", true, true);
        add("order", false, false);
        configuration.limits.retry_budget = 0.5;
        for (std::size_t node = 0; node < entries.size(); ++node) {
            auto& entry = entries[node];
            entry.core.name = "e" + std::to_string(node);
            entry.core.incarnation = 1;
            entry.core.random = rng{seed + node};
            entry.core.serving = entry.core.orders_possible = true;
            entry.core.live_owners = {"e0/1", "e1/1"};
            entry.control.replicas = {"c0", "c1", "c2"};
            apply_config(entry.core, configuration, 1);
        }
        for (std::size_t node = 0; node < agents.size(); ++node) {
            agents[node].clock_skew = milliseconds{random_below(100)};
            start_agent_process(node, 1);
            for (auto& entry : entries) {
                on_target_update(entry.core, info_of(node, 1), false, mono());
            }
        }
    }
    ~simulation() { CHECK(violation == ""); }
    simulation(simulation const&) = delete;
    simulation& operator=(simulation const&) = delete;

    std::int64_t random_below(std::uint64_t bound) {
        return static_cast<std::int64_t>(next_below(random, bound));
    }
    bool chance(unsigned thousandths) { return random_below(1000) < thousandths; }
    time_point mono() const { return time_point{now}; }
    wall_time wall() const { return wall_time{now}; }
    wall_time wall(agent_node const& agent) const { return wall_time{now + agent.clock_skew}; }
    void require(bool holds, std::string const& what) {
        if (!holds && violation.empty()) {
            violation = what + " at " + std::to_string(now.count());
        }
    }

    void transmit(std::function<void()> const& deliver, unsigned extra_loss = 0) {
        for (int copies = chance(rates.duplicate) ? 2 : 1; copies > 0; --copies) {
            if (!chance(rates.loss + extra_loss)) {
                auto const extra_delay = chance(rates.delay) ? random_below(3000) : 0;
                network.emplace(now + milliseconds{1 + random_below(20) + extra_delay}, deliver);
            }
        }
    }

    // Targets and their engines.
    target_info info_of(std::size_t node, std::uint64_t incarnation) const {
        return {
            "t" + std::to_string(node), incarnation, std::to_string(node), "", {"m"}, {}, false};
    }
    void start_agent_process(std::size_t node, std::uint64_t incarnation) {
        agents[node].core = {};
        agents[node].core.attempts.target = "t" + std::to_string(node);
        agents[node].core.attempts.incarnation = incarnation;
        agents[node].core.queue.settings.slots = 4;
        agents[node].core.engine_up = agents[node].engine_up;
        agents[node].runs.clear();
    }
    /// The VM dies and restarts under a new incarnation; each entry learns of it at another time.
    void restart_vm(std::size_t node) {
        auto const old = agents[node].core.attempts.incarnation;
        start_agent_process(node, old + 1);
        targets_lost = true;
        for (std::size_t entry = 0; entry < entries.size(); ++entry) {
            network.emplace(now + milliseconds{random_below(2500)}, [this, node, entry, old] {
                declare_target_lost(entry, node, old);
                auto const latest = agents[node].core.attempts.incarnation;
                on_target_update(entries[entry].core, info_of(node, latest), false, mono());
            });
        }
    }
    void declare_target_lost(std::size_t entry, std::size_t node, std::uint64_t incarnation) {
        targets_lost = true;
        perform(entry, on_target_lost(entries[entry].core, "t" + std::to_string(node), incarnation,
                                      mono(), wall()));
    }
    /// At one entry, membership declares a live target dead and later finds it again.
    void suspect_live_target(std::size_t node) {
        auto const entry = static_cast<std::size_t>(random_below(entries.size()));
        auto const incarnation = agents[node].core.attempts.incarnation;
        declare_target_lost(entry, node, incarnation);
        network.emplace(now + milliseconds{random_below(1000)}, [this, entry, node] {
            auto const latest = agents[node].core.attempts.incarnation;
            on_target_update(entries[entry].core, info_of(node, latest), false, mono());
        });
    }
    void crash_engine(std::size_t node) {
        auto& agent = agents[node];
        agent.engine_up = false;
        agent.engine_restart_at = now + milliseconds{50 + random_below(1500)};
        agent.engine_died_at = now;
        for (auto const& run : std::exchange(agent.runs, {})) {
            agent.connection_broken_at[run.fingerprint] = now;
            finish_engine_run(node, run.job, engine_run_end::connection_lost,
                              milliseconds{random_below(10)});
        }
    }
    void finish_engine_run(std::size_t node, std::uint64_t job, engine_run_end end,
                           milliseconds after) {
        auto const incarnation = agents[node].core.attempts.incarnation;
        network.emplace(now + after, [this, node, job, end, incarnation] {
            auto& agent = agents[node];
            if (agent.core.attempts.incarnation != incarnation) {
                return;
            }
            agent.next_probe_at = end == engine_run_end::complete ? agent.next_probe_at : now;
            perform(node, on_engine_end(agent.core, job, end, mono(), wall(agent)));
        });
    }
    void start_engine_run(std::size_t node, std::uint64_t job) {
        auto& agent = agents[node];
        auto const& request = agent.core.jobs.at(job).request;
        auto const& id = request.start.id;
        if (!agent.engine_up) {
            return finish_engine_run(node, job, engine_run_end::not_connected, milliseconds{1});
        }
        engine_run run;
        run.id = id;
        run.job = job;
        run.fingerprint = request.start.fingerprint;
        run.body = request.body;
        run.started_at = now;
        run.next_output_at = now + milliseconds{random_below(150)};
        run.crashes_engine = request.body.find("poison") != std::string::npos;
        if (chance(rates.error_status)) {
            run.status = chance(500) ? 503 : 422;
        }
        bool const repeatable = request.route == "resume" && run.status == 200;
        run.output = "for " + request.body + (repeatable ? "" : std::to_string(next_bits(random)));
        run.output += std::string(static_cast<std::size_t>(10), 'x');
        agent.runs.push_back(run);
        started[id.request_id].push_back(run);
        auto const phase = agent.core.drain.phase;
        require(phase == drain_phase::serving || phase == drain_phase::notice,
                id.request_id + " started on a target that leaves");
        require(!request.start.unrepeatable || ++run_count[request.body] == 1,
                request.body + " ran twice");
        require(calls.at(id.request_id).outcome != "not_run",
                id.request_id + " was reported as not_run but started");
        on_engine_start(agent.core, job, run.status, "text/plain");
    }
    void run_engine(std::size_t node) {
        auto& agent = agents[node];
        agent.engine_up |= agent.engine_restart_at <= now;
        if (agent.next_probe_at <= now) {
            on_engine_probe(agent.core, agent.engine_up);
            agent.next_probe_at = now + milliseconds{500};
        }
        for (std::size_t index = 0; index < agent.runs.size();) {
            if (agent.runs[index].next_output_at > now) {
                ++index;
                continue;
            }
            auto& run = agent.runs[index];
            if (run.crashes_engine && run.bytes_sent > 0) {
                return crash_engine(node);
            }
            auto const size = std::min<std::size_t>(1 + static_cast<std::size_t>(random_below(15)),
                                                    run.output.size() - run.bytes_sent);
            auto const bytes = run.output.substr(run.bytes_sent, size);
            run.bytes_sent += size;
            run.next_output_at = now + milliseconds{random_below(200)};
            auto const job = run.job;
            bool const complete = run.bytes_sent == run.output.size();
            if (complete) {
                agent.completed.emplace_back(run.started_at, now);
                agent.runs.erase(agent.runs.begin() + static_cast<std::ptrdiff_t>(index));
            }
            perform(node, on_engine_bytes(agent.core, job, bytes));
            if (complete) {
                perform(node, on_engine_end(agent.core, job, engine_run_end::complete, mono(),
                                            wall(agent)));
            } else {
                ++index;
            }
        }
    }
    /// One connection to the engine breaks; the engine and its other runs continue.
    void break_connection(std::size_t node) {
        auto& runs = agents[node].runs;
        if (runs.size() > 1) {
            auto const victim = runs.begin() + random_below(runs.size());
            agents[node].connection_broken_at[victim->fingerprint] = now;
            finish_engine_run(node, victim->job, engine_run_end::connection_lost, milliseconds{0});
            runs.erase(victim);
        }
    }
    void perform(std::size_t node, agent_actions const& actions) {
        auto& agent = agents[node];
        for (auto const& action : actions) {
            if (auto const* start = std::get_if<start_engine>(&action)) {
                start_engine_run(node, start->job);
            } else if (auto const* cancel = std::get_if<cancel_engine>(&action)) {
                std::erase_if(agent.runs, [&](auto const& run) {
                    bool const ends = run.job == cancel->job;
                    if (ends) {
                        finish_engine_run(node, run.job, engine_run_end::connection_lost,
                                          milliseconds{random_below(300)});
                    }
                    return ends;
                });
            } else if (auto const* reply = std::get_if<agent_reply>(&action)) {
                transmit(
                    [this, entry = reply->entry, message = reply->message] {
                        auto const index = static_cast<std::size_t>(entry[1] - '0');
                        perform(index,
                                on_agent_message(entries[index].core, message, mono(), wall()));
                    },
                    rates.reply_loss);
            } else if (auto const* crash = std::get_if<engine_crashed>(&action)) {
                check_report(agent, crash->report);
                apply(quarantine, {wall(), crash->report});
            }
        }
    }
    /// An agent's crash report may name only runs whose connections broke at the same time, and may
    /// be sent only if no other run continued or completed.
    void check_report(agent_node const& agent, report_crash const& report) {
        ++crash_reports;
        auto first = now;
        for (auto const& reported : report.running) {
            auto const broken_at = agent.connection_broken_at.find(reported.fingerprint);
            bool const victim = broken_at != agent.connection_broken_at.end() &&
                                now - broken_at->second <= milliseconds{400};
            require(victim, "a crash report names a run whose connection did not break");
            first = victim ? std::min(first, broken_at->second) : first;
            require(!reported.alone || report.running.size() == 1,
                    "a run is reported as alone although others ran beside it");
        }
        if (now - agent.engine_died_at <= milliseconds{400}) {
            return;
        }
        for (auto const& run : agent.runs) {
            require(run.started_at >= first, "a crash is reported while a run goes on");
        }
        for (auto const& [started_at, end] : agent.completed) {
            require(started_at >= first || end <= first,
                    "a crash is reported though a run completed");
        }
    }
    /// An entry's report on a dead target may name only requests that were started on it.
    void check_report(report_crash const& report) {
        for (auto const& reported : report.running) {
            bool ran = false;
            for (auto const& [id, runs] : started) {
                for (auto const& run : runs) {
                    ran |= run.fingerprint == reported.fingerprint &&
                           report.crash_id ==
                               run.id.target + "/" + std::to_string(run.id.incarnation) + "/vm";
                }
            }
            require(ran, "a crash report names a request that the target never ran");
        }
    }

    // Entries, their callers and control.
    std::string send(std::size_t entry, std::string const& route, std::string const& body,
                     bool stream = false) {
        http_request request;
        request.path = "/v1/routes/" + route;
        request.body = nlohmann::json{{"prompt", body}, {"stream", stream}}.dump();
        std::string id;
        auto const actions = on_caller_request(entries[entry].core, request, mono(), wall(), id);
        auto& observed = calls[id];
        observed.body = request.body;
        observed.entry = entry;
        observed.deadline = now + milliseconds{4000};
        observed.order = route == "order";
        observed.stream = stream;
        perform(entry, actions);
        return id;
    }
    std::string next_body() { return "body-" + std::to_string(++bodies_created); }
    void disconnect_caller(std::string const& id) {
        auto& observed = calls.at(id);
        if (!observed.finished) {
            observed.finished = observed.disconnected = true;
            perform(observed.entry,
                    on_caller_disconnected(entries[observed.entry].core, id, mono(), wall()));
        }
    }

    /// Whether a run of this request produced the bytes: all its output, or the beginning of it.
    bool matches_run(std::string const& id, observed_call const& observed, bool whole) const {
        auto const fits = [&](engine_run const& run) {
            return run.body == observed.body &&
                   (whole ? run.output == observed.bytes
                          : run.output.starts_with(observed.bytes)) &&
                   (observed.status == 0 ||
                    run.status == static_cast<std::uint32_t>(observed.status));
        };
        if (observed.order) {
            return std::any_of(started.begin(), started.end(), [&](auto const& item) {
                return std::any_of(item.second.begin(), item.second.end(), fits);
            });
        }
        auto const own = started.find(id);
        return own != started.end() && std::any_of(own->second.begin(), own->second.end(), fits);
    }
    void record_outcome(std::string const& id, observed_call& observed,
                        std::string const& outcome) {
        require(!observed.finished, id + " got a second answer");
        observed.finished = true;
        observed.outcome = outcome;
        bool const ran = started.contains(id);
        require(outcome != "not_run" || !ran, id + " was reported as not_run but ran");
        require(outcome != "answered" || matches_run(id, observed, true),
                id + " got bytes that its runs did not produce: " + observed.bytes);
        require(observed.reason != "crashed_alone" || ran,
                id + " is reported as crashed_alone but did not run");
        require(observed.reason != "already_run" || targets_lost,
                id + " lost its answer though no target was lost");
    }
    void receive(send_response const& response) {
        auto& observed = calls.at(response.request);
        require(!observed.aborted && !observed.finished, response.request + " got a second answer");
        observed.bytes = response.body;
        observed.status = response.status;
        auto const outcome = response.headers.at("x-outcome");
        if (outcome != "answered") {
            observed.reason = nlohmann::json::parse(response.body).at("reason");
        }
        record_outcome(response.request, observed, outcome);
    }
    void receive(stream_response const& response) {
        auto& observed = calls.at(response.request);
        if (response.part == stream_part::start) {
            observed.status = response.status;
        } else if (response.part == stream_part::bytes &&
                   response.bytes.starts_with("event: error")) {
            observed.aborted = true;
        } else if (response.part == stream_part::bytes) {
            observed.bytes += response.bytes;
            require(matches_run(response.request, observed, false),
                    response.request + " streams bytes that no run produced: " + observed.bytes);
        } else {
            require(observed.aborted == (response.part == stream_part::abort),
                    response.request + " broke without an error event");
            record_outcome(response.request, observed, observed.aborted ? "broken" : "answered");
        }
    }
    void perform(std::size_t entry, entry_actions const& actions) {
        for (auto const& action : actions) {
            if (auto const* sent = std::get_if<send_to_agent>(&action)) {
                transmit([this, entry, sent = *sent] { deliver_to_agent(entry, sent); });
            } else if (auto const* claim = std::get_if<send_claim>(&action)) {
                commands.emplace_back(claim->command);
                send_to_control(entry,
                                submit_control_call(entries[entry].control,
                                                    {claim->command.id, "claim",
                                                     std::to_string(commands.size() - 1), false},
                                                    mono() + milliseconds{900}, mono()));
            } else if (auto const* crash = std::get_if<send_quarantine>(&action)) {
                if (auto const* report = std::get_if<report_crash>(&crash->command.action)) {
                    check_report(*report);
                }
                apply(quarantine, crash->command);
            } else if (auto const* whole = std::get_if<send_response>(&action)) {
                if (!calls.at(whole->request).disconnected) {
                    receive(*whole);
                }
            } else if (auto const* part = std::get_if<stream_response>(&action)) {
                if (!calls.at(part->request).disconnected) {
                    receive(*part);
                }
            }
        }
    }
    void deliver_to_agent(std::size_t entry, send_to_agent const& sent) {
        auto const node = static_cast<std::size_t>(std::stoul(sent.address));
        auto& agent = agents[node];
        if (agent.exited) {
            return;
        }
        auto const from = "e" + std::to_string(entry);
        auto const* start = std::get_if<attempt_request>(&sent.message);
        perform(node,
                start != nullptr
                    ? on_attempt_request(agent.core, from, *start, mono(), wall(agent))
                    : on_attempt_query(agent.core, from, std::get<attempt_query>(sent.message),
                                       mono(), wall(agent)));
    }
    void send_to_control(std::size_t entry, std::vector<outgoing_control_call> const& outgoing) {
        for (auto const& sent : outgoing) {
            transmit([this, entry, sent] { deliver_to_control(entry, sent.address, sent.call); },
                     rates.control_loss);
        }
    }
    void deliver_to_control(std::size_t entry, std::string const& address,
                            control_call const& call) {
        bool const is_leader = address == "c" + std::to_string(leader);
        claim_reply reply;
        if (is_leader) {
            auto command = commands.at(std::stoul(call.command));
            command.at = wall();
            reply = apply(claims, command);
        }
        transmit(
            [this, entry, address, id = call.id, is_leader, reply, hint = leader] {
                auto& node = entries[entry];
                auto const step = handle_control_reply(node.control, id, address, !is_leader,
                                                       "c" + std::to_string(hint), mono());
                send_to_control(entry, step.send);
                if (step.finished) {
                    perform(entry, on_claim_reply(node.core, id, reply, mono(), wall()));
                }
            },
            rates.control_loss);
    }

    void inject_faults() {
        auto const node = static_cast<std::size_t>(random_below(agents.size()));
        leader = chance(rates.leader_change) ? (leader + 1) % 3 : leader;
        if (chance(rates.restart)) {
            restart_vm(node);
        }
        if (chance(rates.engine_crash)) {
            targets_lost = true;
            crash_engine(node);
        }
        if (chance(rates.broken_connection)) {
            targets_lost = true;
            break_connection(node);
        }
        if (chance(rates.false_suspicion)) {
            suspect_live_target(node);
        }
        if (chance(rates.caller_disconnect) && !calls.empty()) {
            disconnect_caller(std::next(calls.begin(), random_below(calls.size()))->first);
        }
    }
    void step_drain(std::size_t node) {
        auto& agent = agents[node];
        if (agent.core.drain.phase == drain_phase::serving || agent.exited) {
            return;
        }
        drain_actions const actions =
            step_target(agent.core.drain, drain_load_of(agent.core), mono());
        if (actions.hand_back_waiting) {
            perform(node, hand_back_waiting(agent.core, wall(agent)));
        }
        if (actions.may_exit && agent.core.jobs.empty()) {
            agent.exited = true;
            auto const incarnation = agent.core.attempts.incarnation;
            for (std::size_t entry = 0; entry < entries.size(); ++entry) {
                network.emplace(now + milliseconds{random_below(500)}, [this, entry, node,
                                                                        incarnation] {
                    perform(entry, on_target_lost(entries[entry].core, "t" + std::to_string(node),
                                                  incarnation, mono(), wall()));
                });
            }
        }
    }
    void step() {
        now += milliseconds{10};
        inject_faults();
        while (!network.empty() && network.begin()->first <= now) {
            auto const message = network.begin()->second;
            network.erase(network.begin());
            message();
        }
        for (std::size_t node = 0; node < agents.size(); ++node) {
            if (!agents[node].exited) {
                run_engine(node);
                if (now.count() % 20 == 0) {
                    perform(node, on_agent_tick(agents[node].core, mono(), wall(agents[node])));
                    step_drain(node);
                }
            }
        }
        for (std::size_t node = 0; node < entries.size() && now.count() % 20 == 0; ++node) {
            auto& entry = entries[node];
            perform(node, on_entry_tick(entry.core, mono(), wall()));
            auto const due = tick_control_client(entry.control, mono());
            send_to_control(node, due.send);
            for (auto const& id : due.expired) {
                perform(node, on_claim_reply(entry.core, id, std::nullopt, mono(), wall()));
            }
            if (now.count() % 1000 == 0) {
                entry.core.quarantine = quarantine;
            }
        }
        for (auto const& [id, observed] : calls) {
            require(observed.finished || now <= observed.deadline + milliseconds{20},
                    id + " has no answer at its deadline");
        }
    }
    void run_for(milliseconds span) {
        for (auto const end = now + span; now < end;) {
            step();
        }
    }
    /// Callers send requests to random routes and entries, with pauses up to 300 ms; then all of
    /// them end.
    /// @param repeat_bodies whether some requests repeat the previous body
    void run_calls(std::vector<std::string> const& routes, int count, bool repeat_bodies) {
        std::string body;
        for (int sent = 0; sent < count; ++sent) {
            body = !repeat_bodies || body.empty() || chance(600) ? next_body() : body;
            auto const entry = static_cast<std::size_t>(random_below(entries.size()));
            auto const& route = routes[static_cast<std::size_t>(random_below(routes.size()))];
            send(entry, route, body, route != "order" && chance(600));
            run_for(milliseconds{random_below(300)});
        }
        run_for(milliseconds{4500});
        settle();
    }
    /// Stops injecting faults and waits until all requests have ended; then no state of them may be
    /// left.
    void settle() {
        rates = no_faults;
        auto const idle = [this] {
            return network.empty() &&
                   std::all_of(entries.begin(), entries.end(),
                               [](auto const& entry) { return entry.core.requests.empty(); }) &&
                   std::all_of(agents.begin(), agents.end(),
                               [](auto const& agent) { return agent.core.jobs.empty(); });
        };
        for (auto const end = now + milliseconds{20'000}; now < end && !idle();) {
            step();
        }
        for (auto const& agent : agents) {
            require(agent.exited ||
                        (agent.core.jobs.empty() && agent.core.job_ids.empty() &&
                         agent.core.queue.items.empty() && agent.core.queue.running == 0 &&
                         agent.core.attempts.running == 0),
                    "an agent still has work");
        }
        for (auto const& entry : entries) {
            require(entry.core.requests.empty(),
                    "an entry still has " + (entry.core.requests.empty()
                                                 ? std::string{}
                                                 : entry.core.requests.begin()->first));
            for (auto const& [team, usage] : entry.core.admission.teams) {
                require(usage.in_flight == 0, "an admission count is left");
            }
            for (auto const& target : entry.core.routing.targets) {
                require(target.unreported.empty(), "an unreported dispatch is left");
            }
            require(entry.control.pending.empty(), "a control call is left");
        }
    }
};

} // namespace fireflycrank::core_simulation
