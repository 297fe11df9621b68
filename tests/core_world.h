/// @file
/// Entry cores, agent cores, fake control replicas and a fake engine, joined by an in-memory
/// network that loses, delays, duplicates and reorders. One seed decides everything; the clock is
/// given.
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

namespace fireflycrank::joined {

using std::chrono::milliseconds;

/// Chances of faults in thousandths: of a message, or of a step of 10 ms.
struct fault_rates {
    unsigned loss{0}, duplicate{0}, slow{0}, control_loss{0}, leader_change{0};
    unsigned restart{0}, engine_crash{0}, broken_connection{0}, caller_gone{0}, suspicion{0};
    unsigned error_status{0}; ///< of a run
    unsigned reply_loss{0};   ///< of an agent's message, beside `loss`
};

inline constexpr fault_rates no_faults{};
inline constexpr fault_rates all_faults{80, 80, 60, 60, 3, 2, 3, 5, 4, 1, 100};

/// One run of the engine.
struct engine_run {
    attempt_ref id;
    std::uint64_t job{0};
    std::string fingerprint, body, output;
    std::uint32_t status{200};
    std::size_t sent{0};
    milliseconds begun{}, next{};
    bool poison{false};
};

/// One call, as its caller sees it.
struct call {
    std::string body;
    std::size_t entry{0};
    milliseconds deadline{};
    bool order{false}, stream{false}, over{false}, aborted{false}, gone{false};
    int status{0};
    std::string bytes, outcome, reason;
};

struct agent_node {
    agent_core core;
    bool engine_up{true}, left{false};
    milliseconds engine_back{}, probe_at{}, skew{};
    std::vector<engine_run> runs; ///< under way at the engine
    milliseconds died{};
    std::map<std::string, milliseconds> broke; ///< last broken connection by fingerprint
    std::vector<std::pair<milliseconds, milliseconds>> completed; ///< begin and end of runs
};

struct entry_node {
    entry_core core;
    control_client control;
};

struct world {
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
    std::map<std::string, call> calls;                      ///< by request id
    std::map<std::string, std::vector<engine_run>> started; ///< by request id
    std::map<std::string, int> runs_of;                     ///< by body
    std::string violation;
    std::uint64_t bodies{0}, reports{0};
    bool lossy_targets{false}; ///< a target was lost, so outcomes may be unknown

    explicit world(std::uint64_t seed, fault_rates with = no_faults, std::size_t agent_count = 3)
        : random{seed}, rates{with}, agents(agent_count), entries(2) {
        config intent;
        auto const add = [&intent](std::string const& name, bool idempotent, bool resumable) {
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
            intent.routes[name] = route;
        };
        add("plain", true, false);
        add("resume", true, true);
        add("order", false, false);
        intent.limits.retry_budget = 0.5;
        for (std::size_t at = 0; at < entries.size(); ++at) {
            auto& entry = entries[at];
            entry.core.name = "e" + std::to_string(at);
            entry.core.incarnation = 1;
            entry.core.random = rng{seed + at};
            entry.core.serving = entry.core.orders_possible = true;
            entry.core.live_owners = {"e0/1", "e1/1"};
            entry.control.replicas = {"c0", "c1", "c2"};
            adopt_config(entry.core, intent, 1);
        }
        for (std::size_t at = 0; at < agents.size(); ++at) {
            agents[at].skew = milliseconds{below(100)};
            boot(at, 1);
            for (auto& entry : entries) {
                on_target_present(entry.core, facts(at, 1), false, mono());
            }
        }
    }
    ~world() { CHECK(violation == ""); }
    world(world const&) = delete;
    world& operator=(world const&) = delete;

    std::int64_t below(std::uint64_t bound) {
        return static_cast<std::int64_t>(next_below(random, bound));
    }
    bool chance(unsigned thousandths) { return below(1000) < thousandths; }
    time_point mono() const { return time_point{now}; }
    wall_time wall() const { return wall_time{now}; }
    wall_time wall(agent_node const& agent) const { return wall_time{now + agent.skew}; }
    void demand(bool holds, std::string const& what) {
        if (!holds && violation.empty()) {
            violation = what + " at " + std::to_string(now.count());
        }
    }

    void post(std::function<void()> const& deliver, unsigned extra_loss = 0) {
        for (int copies = chance(rates.duplicate) ? 2 : 1; copies > 0; --copies) {
            if (!chance(rates.loss + extra_loss)) {
                auto const late = chance(rates.slow) ? below(3000) : 0;
                network.emplace(now + milliseconds{1 + below(20) + late}, deliver);
            }
        }
    }

    // Targets and their engines.
    target_facts facts(std::size_t at, std::uint64_t incarnation) const {
        return {"t" + std::to_string(at), incarnation, std::to_string(at), "", {"m"}, {}, false};
    }
    void boot(std::size_t at, std::uint64_t incarnation) {
        agents[at].core = {};
        agents[at].core.attempts.target = "t" + std::to_string(at);
        agents[at].core.attempts.incarnation = incarnation;
        agents[at].core.queue.settings.slots = 4;
        agents[at].core.engine_up = agents[at].engine_up;
        agents[at].runs.clear();
    }
    /// The VM dies and comes back under a new incarnation; entries learn of it late, one by one.
    void restart(std::size_t at) {
        auto const old = agents[at].core.attempts.incarnation;
        boot(at, old + 1);
        lossy_targets = true;
        for (std::size_t entry = 0; entry < entries.size(); ++entry) {
            network.emplace(now + milliseconds{below(2500)}, [this, at, entry, old] {
                lose_target(entry, at, old);
                auto const latest = agents[at].core.attempts.incarnation;
                on_target_present(entries[entry].core, facts(at, latest), false, mono());
            });
        }
    }
    void lose_target(std::size_t entry, std::size_t at, std::uint64_t incarnation) {
        lossy_targets = true;
        perform(entry, on_target_gone(entries[entry].core, "t" + std::to_string(at), incarnation,
                                      mono(), wall()));
    }
    /// Membership takes a live target for dead at one entry, and finds it again.
    void suspect_falsely(std::size_t at) {
        auto const entry = static_cast<std::size_t>(below(entries.size()));
        auto const incarnation = agents[at].core.attempts.incarnation;
        lose_target(entry, at, incarnation);
        network.emplace(now + milliseconds{below(1000)}, [this, entry, at] {
            auto const latest = agents[at].core.attempts.incarnation;
            on_target_present(entries[entry].core, facts(at, latest), false, mono());
        });
    }
    void crash_engine(std::size_t at) {
        auto& agent = agents[at];
        agent.engine_up = false;
        agent.engine_back = now + milliseconds{50 + below(1500)};
        agent.died = now;
        for (auto const& run : std::exchange(agent.runs, {})) {
            agent.broke[run.fingerprint] = now;
            end_run_at(at, run.job, engine_run_end::connection_lost, milliseconds{below(10)});
        }
    }
    void end_run_at(std::size_t at, std::uint64_t job, engine_run_end end, milliseconds after) {
        auto const incarnation = agents[at].core.attempts.incarnation;
        network.emplace(now + after, [this, at, job, end, incarnation] {
            auto& agent = agents[at];
            if (agent.core.attempts.incarnation != incarnation) {
                return;
            }
            agent.probe_at = end == engine_run_end::complete ? agent.probe_at : now;
            perform(at, on_engine_end(agent.core, job, end, mono(), wall(agent)));
        });
    }
    void begin_run_at(std::size_t at, std::uint64_t job) {
        auto& agent = agents[at];
        auto const& request = agent.core.jobs.at(job).request;
        auto const& id = request.start.id;
        if (!agent.engine_up) {
            return end_run_at(at, job, engine_run_end::not_connected, milliseconds{1});
        }
        engine_run run;
        run.id = id;
        run.job = job;
        run.fingerprint = request.start.fingerprint;
        run.body = request.body;
        run.begun = now;
        run.next = now + milliseconds{below(150)};
        run.poison = request.body.find("poison") != std::string::npos;
        if (chance(rates.error_status)) {
            run.status = chance(500) ? 503 : 422;
        }
        bool const repeatable = request.route == "resume" && run.status == 200;
        run.output = "for " + request.body + (repeatable ? "" : std::to_string(next_bits(random)));
        run.output += std::string(static_cast<std::size_t>(10), 'x');
        agent.runs.push_back(run);
        started[id.request_id].push_back(run);
        auto const phase = agent.core.drain.phase;
        demand(phase == drain_phase::serving || phase == drain_phase::notice,
               id.request_id + " started on a target that leaves");
        demand(!request.start.unrepeatable || ++runs_of[request.body] == 1,
               request.body + " ran twice");
        demand(calls.at(id.request_id).outcome != "not_run",
               id.request_id + " was told not_run and started");
        on_engine_start(agent.core, job, run.status, "text/plain");
    }
    void run_engine(std::size_t at) {
        auto& agent = agents[at];
        agent.engine_up |= agent.engine_back <= now;
        if (agent.probe_at <= now) {
            on_engine_probe(agent.core, agent.engine_up);
            agent.probe_at = now + milliseconds{500};
        }
        for (std::size_t index = 0; index < agent.runs.size();) {
            if (agent.runs[index].next > now) {
                ++index;
                continue;
            }
            auto& run = agent.runs[index];
            if (run.poison && run.sent > 0) {
                return crash_engine(at);
            }
            auto const size = std::min<std::size_t>(1 + static_cast<std::size_t>(below(15)),
                                                    run.output.size() - run.sent);
            auto const bytes = run.output.substr(run.sent, size);
            run.sent += size;
            run.next = now + milliseconds{below(200)};
            auto const job = run.job;
            bool const complete = run.sent == run.output.size();
            if (complete) {
                agent.completed.emplace_back(run.begun, now);
                agent.runs.erase(agent.runs.begin() + static_cast<std::ptrdiff_t>(index));
            }
            perform(at, on_engine_bytes(agent.core, job, bytes));
            if (complete) {
                perform(at, on_engine_end(agent.core, job, engine_run_end::complete, mono(),
                                          wall(agent)));
            } else {
                ++index;
            }
        }
    }
    /// One connection to the engine breaks; the engine and its other runs go on.
    void break_connection(std::size_t at) {
        auto& runs = agents[at].runs;
        if (runs.size() > 1) {
            auto const victim = runs.begin() + below(runs.size());
            agents[at].broke[victim->fingerprint] = now;
            end_run_at(at, victim->job, engine_run_end::connection_lost, milliseconds{0});
            runs.erase(victim);
        }
    }
    void perform(std::size_t at, agent_actions const& actions) {
        auto& agent = agents[at];
        for (auto const& action : actions) {
            if (auto const* start = std::get_if<start_engine>(&action)) {
                begin_run_at(at, start->job);
            } else if (auto const* cancel = std::get_if<cancel_engine>(&action)) {
                std::erase_if(agent.runs, [&](auto const& run) {
                    bool const ends = run.job == cancel->job;
                    if (ends) {
                        end_run_at(at, run.job, engine_run_end::connection_lost,
                                   milliseconds{below(300)});
                    }
                    return ends;
                });
            } else if (auto const* reply = std::get_if<agent_reply>(&action)) {
                post(
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
    /// A crash is reported of runs that broke together, and only if no run beside them went on.
    void check_report(agent_node const& agent, report_crash const& report) {
        ++reports;
        auto first = now;
        for (auto const& blamed : report.running) {
            auto const broke = agent.broke.find(blamed.fingerprint);
            bool const victim =
                broke != agent.broke.end() && now - broke->second <= milliseconds{400};
            demand(victim, "a run is blamed whose connection did not break");
            first = victim ? std::min(first, broke->second) : first;
            demand(!blamed.alone || report.running.size() == 1, "a run is alone beside others");
        }
        if (now - agent.died <= milliseconds{400}) {
            return;
        }
        for (auto const& run : agent.runs) {
            demand(run.begun >= first, "a crash is reported while a run goes on");
        }
        for (auto const& [begun, end] : agent.completed) {
            demand(begun >= first || end <= first, "a crash is reported though a run completed");
        }
    }
    /// An entry's report on a dead target names requests that were started on it.
    void check_report(report_crash const& report) {
        for (auto const& blamed : report.running) {
            bool ran = false;
            for (auto const& [id, runs] : started) {
                for (auto const& run : runs) {
                    ran |= run.fingerprint == blamed.fingerprint &&
                           report.crash_id ==
                               run.id.target + "/" + std::to_string(run.id.incarnation) + "/vm";
                }
            }
            demand(ran, "a request is blamed for a target that never ran it");
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
        auto& asked = calls[id];
        asked.body = request.body;
        asked.entry = entry;
        asked.deadline = now + milliseconds{4000};
        asked.order = route == "order";
        asked.stream = stream;
        perform(entry, actions);
        return id;
    }
    std::string next_body() { return "body-" + std::to_string(++bodies); }
    void leave(std::string const& id) {
        auto& asked = calls.at(id);
        if (!asked.over) {
            asked.over = asked.gone = true;
            perform(asked.entry, on_caller_gone(entries[asked.entry].core, id, mono(), wall()));
        }
    }

    /// Whether the bytes are those of a run of this request: the whole output or its beginning.
    bool produced(std::string const& id, call const& asked, bool whole) const {
        auto const fits = [&](engine_run const& run) {
            return run.body == asked.body &&
                   (whole ? run.output == asked.bytes : run.output.starts_with(asked.bytes)) &&
                   (asked.status == 0 || run.status == static_cast<std::uint32_t>(asked.status));
        };
        if (asked.order) {
            return std::any_of(started.begin(), started.end(), [&](auto const& item) {
                return std::any_of(item.second.begin(), item.second.end(), fits);
            });
        }
        auto const own = started.find(id);
        return own != started.end() && std::any_of(own->second.begin(), own->second.end(), fits);
    }
    void finish(std::string const& id, call& asked, std::string const& outcome) {
        demand(!asked.over, id + " got a second answer");
        asked.over = true;
        asked.outcome = outcome;
        bool const ran = started.contains(id);
        demand(outcome != "not_run" || !ran, id + " ran and was told not_run");
        demand(outcome != "answered" || produced(id, asked, true),
               id + " got bytes that its runs did not produce: " + asked.bytes);
        demand(asked.reason != "crashed_alone" || ran, id + " is blamed and did not run");
        demand(asked.reason != "already_run" || lossy_targets,
               id + " lost its answer though no target was lost");
    }
    void tell(answer_whole const& told) {
        auto& asked = calls.at(told.request);
        demand(!asked.aborted && !asked.over, told.request + " got a second answer");
        asked.bytes = told.body;
        asked.status = told.status;
        auto const outcome = told.headers.at("x-outcome");
        if (outcome != "answered") {
            asked.reason = nlohmann::json::parse(told.body).at("reason");
        }
        finish(told.request, asked, outcome);
    }
    void tell(answer_stream const& told) {
        auto& asked = calls.at(told.request);
        if (told.step == stream_step::start) {
            asked.status = told.status;
        } else if (told.step == stream_step::bytes && told.bytes.starts_with("event: error")) {
            asked.aborted = true;
        } else if (told.step == stream_step::bytes) {
            asked.bytes += told.bytes;
            demand(produced(told.request, asked, false),
                   told.request + " streams bytes that no run produced: " + asked.bytes);
        } else {
            demand(asked.aborted == (told.step == stream_step::abort),
                   told.request + " broke without an error event");
            finish(told.request, asked, asked.aborted ? "broken" : "answered");
        }
    }
    void perform(std::size_t entry, entry_actions const& actions) {
        for (auto const& action : actions) {
            if (auto const* sent = std::get_if<send_to_agent>(&action)) {
                post([this, entry, sent = *sent] { at_agent(entry, sent); });
            } else if (auto const* claim = std::get_if<send_claim>(&action)) {
                commands.emplace_back(claim->command);
                ask(entry, submit_control_call(entries[entry].control,
                                               {claim->command.id, "claim",
                                                std::to_string(commands.size() - 1), false},
                                               mono() + milliseconds{900}, mono()));
            } else if (auto const* crash = std::get_if<send_quarantine>(&action)) {
                if (auto const* report = std::get_if<report_crash>(&crash->command.action)) {
                    check_report(*report);
                }
                apply(quarantine, crash->command);
            } else if (auto const* whole = std::get_if<answer_whole>(&action)) {
                if (!calls.at(whole->request).gone) {
                    tell(*whole);
                }
            } else if (auto const* part = std::get_if<answer_stream>(&action)) {
                if (!calls.at(part->request).gone) {
                    tell(*part);
                }
            }
        }
    }
    void at_agent(std::size_t entry, send_to_agent const& sent) {
        auto const at = static_cast<std::size_t>(std::stoul(sent.address));
        auto& agent = agents[at];
        if (agent.left) {
            return;
        }
        auto const from = "e" + std::to_string(entry);
        auto const* start = std::get_if<attempt_request>(&sent.message);
        perform(at, start != nullptr
                        ? on_attempt_request(agent.core, from, *start, mono(), wall(agent))
                        : on_attempt_query(agent.core, from, std::get<attempt_query>(sent.message),
                                           mono(), wall(agent)));
    }
    void ask(std::size_t entry, std::vector<outgoing_control_call> const& outgoing) {
        for (auto const& sent : outgoing) {
            post([this, entry, sent] { at_control(entry, sent.address, sent.call); },
                 rates.control_loss);
        }
    }
    void at_control(std::size_t entry, std::string const& address, control_call const& call) {
        bool const leads = address == "c" + std::to_string(leader);
        claim_reply reply;
        if (leads) {
            auto command = commands.at(std::stoul(call.command));
            command.at = wall();
            reply = apply(claims, command);
        }
        post(
            [this, entry, address, id = call.id, leads, reply, hint = leader] {
                auto& node = entries[entry];
                auto const step = handle_control_reply(node.control, id, address, !leads,
                                                       "c" + std::to_string(hint), mono());
                ask(entry, step.send);
                if (step.finished) {
                    perform(entry, on_claim_reply(node.core, id, reply, mono(), wall()));
                }
            },
            rates.control_loss);
    }

    void inject_faults() {
        auto const at = static_cast<std::size_t>(below(agents.size()));
        leader = chance(rates.leader_change) ? (leader + 1) % 3 : leader;
        if (chance(rates.restart)) {
            restart(at);
        }
        if (chance(rates.engine_crash)) {
            lossy_targets = true;
            crash_engine(at);
        }
        if (chance(rates.broken_connection)) {
            lossy_targets = true;
            break_connection(at);
        }
        if (chance(rates.suspicion)) {
            suspect_falsely(at);
        }
        if (chance(rates.caller_gone) && !calls.empty()) {
            leave(std::next(calls.begin(), below(calls.size()))->first);
        }
    }
    void drain(std::size_t at) {
        auto& agent = agents[at];
        if (agent.core.drain.phase == drain_phase::serving || agent.left) {
            return;
        }
        drain_actions const todo = step_target(agent.core.drain, drain_load_of(agent.core), mono());
        if (todo.hand_back_waiting) {
            perform(at, hand_back_waiting(agent.core, wall(agent)));
        }
        if (todo.may_exit && agent.core.jobs.empty()) {
            agent.left = true;
            auto const incarnation = agent.core.attempts.incarnation;
            for (std::size_t entry = 0; entry < entries.size(); ++entry) {
                network.emplace(now + milliseconds{below(500)}, [this, entry, at, incarnation] {
                    perform(entry, on_target_gone(entries[entry].core, "t" + std::to_string(at),
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
        for (std::size_t at = 0; at < agents.size(); ++at) {
            if (!agents[at].left) {
                run_engine(at);
                if (now.count() % 20 == 0) {
                    perform(at, on_agent_tick(agents[at].core, mono(), wall(agents[at])));
                    drain(at);
                }
            }
        }
        for (std::size_t at = 0; at < entries.size() && now.count() % 20 == 0; ++at) {
            auto& entry = entries[at];
            perform(at, on_entry_tick(entry.core, mono(), wall()));
            auto const due = tick_control_client(entry.control, mono());
            ask(at, due.send);
            for (auto const& id : due.expired) {
                perform(at, on_claim_reply(entry.core, id, std::nullopt, mono(), wall()));
            }
            if (now.count() % 1000 == 0) {
                entry.core.quarantine = quarantine;
            }
        }
        for (auto const& [id, asked] : calls) {
            demand(asked.over || now <= asked.deadline + milliseconds{20},
                   id + " has no answer at its deadline");
        }
    }
    void run_for(milliseconds span) {
        for (auto const end = now + span; now < end;) {
            step();
        }
    }
    /// Callers send requests to the routes for some seconds; some send an order again, to any
    /// entry.
    void run_calls(std::vector<std::string> const& routes, int count, bool again) {
        std::string body;
        for (int sent = 0; sent < count; ++sent) {
            body = !again || body.empty() || chance(600) ? next_body() : body;
            auto const entry = static_cast<std::size_t>(below(entries.size()));
            auto const& route = routes[static_cast<std::size_t>(below(routes.size()))];
            send(entry, route, body, route != "order" && chance(600));
            run_for(milliseconds{below(300)});
        }
        run_for(milliseconds{4500});
        settle();
    }
    /// Ends all faults; then nothing of the requests may be left anywhere.
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
            demand(agent.left || (agent.core.jobs.empty() && agent.core.job_ids.empty() &&
                                  agent.core.queue.items.empty() && agent.core.queue.running == 0 &&
                                  agent.core.attempts.running == 0),
                   "an agent keeps work");
        }
        for (auto const& entry : entries) {
            demand(entry.core.requests.empty(),
                   "an entry keeps " + (entry.core.requests.empty()
                                            ? std::string{}
                                            : entry.core.requests.begin()->first));
            for (auto const& [team, usage] : entry.core.admission.teams) {
                demand(usage.in_flight == 0, "an admission count is left");
            }
            for (auto const& target : entry.core.targets.targets) {
                demand(target.own.empty(), "an own dispatch is left");
            }
            demand(entry.control.pending.empty(), "a control call is left");
        }
    }
};

} // namespace fireflycrank::joined
