#include "countcode.h"
#include "directorywire.h"
#include "engineclient.h"
#include "orderrepeat.h"
#include "platform/enginecalls.h"
#include "rankagent.h"

#include <algorithm>
#include <cmath>

namespace fireflycrank {

namespace {

constexpr std::chrono::milliseconds order_limit{300};
// The coordinator itself repeats a release until the pass begins.
constexpr repeat_limits given_once{order_limit, 1};
constexpr std::chrono::milliseconds counts_limit{500};
constexpr std::chrono::milliseconds busy_span{1'500};
// Time in which old choices lose half of their weight. Demand changes within seconds.
constexpr std::chrono::duration<double> steady_half_life{0.6};
constexpr std::chrono::duration<double> fresh_half_life{0.12};
// Choices of one set in a window before a plan; fewer are noise.
constexpr double least_choices = 300;
// The fresh window decides when it shows this much more imbalance: demand has changed suddenly.
constexpr double sudden_skew = 0.3;
// A change is seen about 0.15 s after it began. The fresh window then holds 58 parts in 100 of the
// new demand and the steady one 16: what they differ by is as much as is still missing.
constexpr double carried_on = 1.0;
// Pause between the end of one change and the next plan.
constexpr std::chrono::milliseconds plan_pause{100};
constexpr std::chrono::milliseconds pass_sample{150};
constexpr double pass_weight = 0.5; // of the newest sample
constexpr double great_skew = 2.2;
constexpr unsigned ok_status = 200;

// A group that has work and begins no pass for this long stands still. Later ranks wait longer, so
// that usually one agent acts.
constexpr std::chrono::milliseconds standstill{300};
constexpr std::chrono::milliseconds standstill_per_rank{80};
constexpr std::chrono::milliseconds remote_limit{300};

std::string group_name(rank_agent const& agent) {
    return agent.settings.target_service + "/" + agent.report->group->name;
}

void log_order(rank_agent& agent, char const* operation, std::uint64_t version, std::uint64_t pass,
               std::optional<engine_answer> const& answer) {
    log_bounded(agent.loop, events::rank_order_ended,
                {{"operation", operation},
                 {"version", version},
                 {"pass", pass},
                 {"status", answer ? answer->status : 0}});
}

// An order to the own engine.
struct own_order {
    platform::rank_order order;
    char const* name{""};
    given_order given;
};

void give_own(rank_agent& agent, std::shared_ptr<own_order> const& own) {
    auto const at = loop_now(agent.loop);
    if (!give_now(own->given, at)) {
        return;
    }
    auto const& address = agent.settings.target_address;
    agent.frequent_reads_until = at + busy_span;
    call_engine(agent.loop, agent.pool, address, platform::encode_order_call(address, own->order),
                order_limit, [&agent, own](std::optional<engine_answer> const& answer) {
                    own->given.answered = own->given.answered || answer.has_value();
                    log_order(agent, own->name, own->order.version, own->order.pass, answer);
                    read_report(agent);
                });
    run_after(agent.loop, own->given.limits.patience, [&agent, own] { give_own(agent, own); });
}

void order_own(rank_agent& agent, platform::rank_order order, char const* name,
               repeat_limits const& limits) {
    auto const own = std::make_shared<own_order>();
    own->order = std::move(order);
    own->name = name;
    own->given.limits = limits;
    give_own(agent, own);
}

// The agent of rank 0 in the same group.
std::string coordinator_address(rank_agent& agent) {
    auto const& self = agent.subscriber.self;
    if (self.rank == 0) {
        return self.address;
    }
    note_coordinator_address(agent.known_coordinator, agent.subscriber, loop_now(agent.loop));
    return agent.known_coordinator.address;
}

rank_status make_status(rank_agent& agent) {
    auto const& report = *agent.report;
    rank_status status;
    status.group = group_name(agent);
    status.epoch = report.group->epoch;
    status.rank = report.group->rank;
    status.group_size = report.group->size;
    status.open = report.group->open;
    status.pass = report.pass;
    status.map_version = report.map_version;
    status.prepared_version = report.prepared_version;
    status.armed = report.armed;
    status.held_pass = report.held_pass;
    agent.highest_version =
        std::max({agent.highest_version, report.map_version, report.prepared_version});
    status.highest_version = agent.highest_version;
    status.sets = agent.expert_sets;
    if (agent.counts_due) {
        agent.counts_due = false;
        status.counts = std::exchange(agent.unsent_counts, {});
    }
    bool const known = agent.experts && agent.experts_version == report.map_version &&
                       agent.experts_epoch == report.group->epoch;
    if (known) {
        status.experts = agent.experts;
    }
    status.engine_address = agent.settings.target_address;
    return status;
}

// Whether the coordinator would decide otherwise after this status. Only its own rank's pass
// counts.
bool says_more(rank_status const& fresh, rank_status const& told) {
    auto const same_armed = [&] {
        return fresh.armed.has_value() == told.armed.has_value() &&
               (!fresh.armed || (fresh.armed->version == told.armed->version &&
                                 fresh.armed->pass == told.armed->pass));
    };
    return !fresh.counts.empty() || fresh.group != told.group || fresh.epoch != told.epoch ||
           fresh.rank != told.rank || fresh.open != told.open ||
           fresh.map_version != told.map_version ||
           fresh.prepared_version != told.prepared_version || !same_armed() ||
           fresh.held_pass != told.held_pass ||
           fresh.experts.has_value() != told.experts.has_value();
}

void add_counts(rank_agent& agent, expert_counts const& fresh) {
    bool const goes_on = agent.last_counts &&
                         agent.last_counts->counts.size() == fresh.counts.size() &&
                         agent.last_counts->epoch == fresh.epoch;
    if (agent.unsent_counts.size() != fresh.counts.size()) {
        agent.unsent_counts.assign(fresh.counts.size(), 0);
    }
    for (std::size_t at = 0; goes_on && at < fresh.counts.size(); ++at) {
        auto const before = agent.last_counts->counts[at];
        agent.unsent_counts[at] += fresh.counts[at] >= before ? fresh.counts[at] - before : 0;
    }
    agent.last_counts = fresh;
}

void read_experts(rank_agent& agent) {
    if (agent.reading_experts || !agent.report || !agent.report->group) {
        return;
    }
    auto const version = agent.report->map_version;
    auto const epoch = agent.report->group->epoch;
    if (agent.experts && agent.experts_version == version && agent.experts_epoch == epoch) {
        return;
    }
    agent.reading_experts = true;
    auto const& address = agent.settings.target_address;
    call_engine(agent.loop, agent.pool, address, platform::encode_experts_call(address),
                counts_limit, [&agent, version, epoch](std::optional<engine_answer> answer) {
                    agent.reading_experts = false;
                    auto decoded = answer && answer->status == ok_status
                                       ? platform::decode_experts(answer->body)
                                       : std::nullopt;
                    bool const still = agent.report && agent.report->group &&
                                       agent.report->map_version == version &&
                                       agent.report->group->epoch == epoch;
                    if (!decoded || !still) {
                        return;
                    }
                    agent.experts = std::move(*decoded);
                    agent.experts_version = version;
                    agent.experts_epoch = epoch;
                    agent.expert_sets = static_cast<unsigned>(agent.experts->size());
                    send_status(agent);
                });
}

// A group without work makes no passes; the time until the next one says nothing.
void time_passes(rank_agent& agent) {
    auto const& report = *agent.report;
    auto const at = loop_now(agent.loop);
    auto const span = at - agent.pass_sampled_at;
    if (span < pass_sample) {
        return;
    }
    auto const passes = report.pass - std::min(report.pass, agent.sampled_pass);
    bool const busy = report.running > 0 && passes > 0 && agent.sampled_pass > 0;
    if (busy) {
        auto const sample = span / static_cast<std::int64_t>(passes);
        agent.pass_time = std::chrono::duration_cast<duration>(
            pass_weight * sample + (1.0 - pass_weight) * agent.pass_time);
    }
    agent.sampled_pass = report.pass;
    agent.pass_sampled_at = at;
}

// --- coordinator -------------------------------------------------------------------------------

void decay_demand(decayed_demand& window, time_point at) {
    auto const span = std::chrono::duration<double>{at - window.updated_at};
    double const kept = std::exp2(-(span / window.half_life));
    window.updated_at = at;
    for (auto& set : window.demand) {
        for (double& one : set) {
            one *= kept;
        }
    }
}

void add_demand(decayed_demand& window, rank_status const& status, time_point at) {
    if (status.sets == 0 || status.counts.empty() || status.counts.size() % status.sets != 0) {
        return;
    }
    auto const experts = status.counts.size() / status.sets;
    auto& demand = window.demand;
    if (demand.size() != status.sets || demand.front().size() != experts) {
        demand.assign(status.sets, std::vector<double>(experts, 0.0));
    }
    decay_demand(window, at);
    for (std::size_t one = 0; one < status.counts.size(); ++one) {
        demand[one / experts][one % experts] += static_cast<double>(status.counts[one]);
    }
}

bool has_demand(decayed_demand const& window) {
    if (window.demand.empty()) {
        return false;
    }
    double total = 0;
    for (double const one : window.demand.front()) {
        total += one;
    }
    return total >= least_choices;
}

group_experts present_map(group_coordinator const& coordinator) {
    group_experts map;
    for (auto const& [rank, known] : coordinator.ranks) {
        map.push_back(*known.status.experts);
    }
    return map;
}

// Every rank knows its experts for the same sets, and every expert is somewhere.
bool is_whole(group_experts const& map, expert_demand const& demand) {
    for (std::size_t set = 0; set < demand.size(); ++set) {
        std::vector<bool> held(demand[set].size(), false);
        for (auto const& rank : map) {
            if (rank.size() != demand.size()) {
                return false;
            }
            for (auto const expert : rank[set]) {
                if (expert >= held.size()) {
                    return false;
                }
                held[expert] = true;
            }
        }
        if (std::find(held.begin(), held.end(), false) != held.end()) {
            return false;
        }
    }
    return true;
}

bool is_sudden(rank_agent const& agent, group_experts const& present) {
    auto const& fresh = agent.short_term_demand.demand;
    return has_demand(agent.short_term_demand) &&
           place_skew(present, fresh) >
               place_skew(present, agent.long_term_demand.demand) + sudden_skew;
}

void plan(rank_agent& agent) {
    auto& coordinator = *agent.coordinator;
    auto const at = loop_now(agent.loop);
    if (at < agent.next_plan_at || !agent.traits || !can_begin_switch(coordinator, at) ||
        !has_demand(agent.long_term_demand)) {
        return;
    }
    agent.next_plan_at = at + plan_pause;
    auto const present = present_map(coordinator);
    if (!is_whole(present, agent.long_term_demand.demand)) {
        return;
    }
    bool const sudden = is_sudden(agent, present);
    auto const& steady = agent.long_term_demand.demand;
    auto const demand =
        sudden ? extrapolate_demand(agent.short_term_demand.demand, steady, carried_on) : steady;
    auto const limits = derive_copy_limits(*agent.traits);
    auto const copies = place_skew(present, demand) > great_skew ? limits.high_skew : limits.usual;
    auto const budget = current_group_tuning(agent);
    auto const planned = plan_places(
        present, demand, {agent.traits->places, agent.traits->spare, copies, budget.min_copy_gain});
    bool const worth_it =
        planned.copies > 0 && planned.before - planned.after >= budget.min_change_gain;
    if (!worth_it) {
        return;
    }
    log_bounded(agent.loop, events::map_change_planned,
                {{"group", coordinator.group},
                 {"epoch", coordinator.epoch},
                 {"skew_before", planned.before},
                 {"skew_after", planned.after},
                 {"sudden", sudden},
                 {"copies", planned.copies},
                 {"pass_ms", in_millis(agent.pass_time)}});
    auto const wall = wall_now(agent.loop.clock).time_since_epoch();
    begin_switch(coordinator, pack_map(planned.map), static_cast<std::uint64_t>(wall.count()), at);
}

// A registrar that answered lately; another one each time.
std::string next_registrar(rank_agent& agent) {
    auto const at = loop_now(agent.loop);
    std::vector<std::string> live;
    for (auto const& [address, contact] : agent.subscriber.registrars) {
        if (at - contact.heard_at < agent.subscriber.settings.update_life) {
            live.push_back(address);
        }
    }
    return live.empty() ? std::string{} : live[next_below(agent.random, live.size())];
}

void request_hold(rank_agent& agent, std::uint64_t pass) {
    auto const registrar = next_registrar(agent);
    if (registrar.empty()) {
        return; // asked again with the next resend
    }
    hold_request const request{agent.settings.target_address, agent.coordinator->epoch,
                               agent.coordinator->version, pass};
    agent.link->send(registrar, hold_request_type, serialize(request));
}

void order_release(rank_agent& agent, std::uint64_t pass) {
    platform::rank_order order;
    order.kind = platform::rank_order_kind::release;
    order.epoch = agent.coordinator->epoch;
    order.fence = agent.coordinator->version;
    order.pass = pass;
    order_own(agent, order, "release", given_once);
}

void carry_out(rank_agent& agent, coordinator_actions const& actions) {
    auto const& coordinator = *agent.coordinator;
    for (auto const& instruction : actions.instructions) {
        auto const known = coordinator.ranks.find(instruction.rank);
        if (known == coordinator.ranks.end()) {
            continue;
        }
        if (known->second.agent_address == agent.subscriber.self.address) {
            on_rank_instruction(agent, instruction);
        } else {
            agent.link->send(known->second.agent_address, rank_instruction_type,
                             serialize(instruction));
        }
    }
    if (actions.hold_pass) {
        request_hold(agent, *actions.hold_pass);
    }
    if (actions.release_pass) {
        order_release(agent, *actions.release_pass);
    }
}

void log_stage(rank_agent& agent) {
    auto const& coordinator = *agent.coordinator;
    if (coordinator.stage == agent.logged_stage) {
        return;
    }
    agent.logged_stage = coordinator.stage;
    log_bounded(agent.loop, events::map_change_stage,
                {{"group", coordinator.group},
                 {"epoch", coordinator.epoch},
                 {"stage", name_of(coordinator.stage)},
                 {"version", coordinator.version},
                 {"pass", coordinator.switch_pass},
                 {"completed", coordinator.completed},
                 {"abandoned", coordinator.abandoned},
                 {"held_ms", in_millis(coordinator.last_hold_time)}});
}

// --- completing a change -----------------------------------------------------------------------

void order_remote(rank_agent& agent, std::string const& address, platform::rank_order const& order,
                  char const* name) {
    call_engine(agent.loop, agent.pool, address, platform::encode_order_call(address, order),
                remote_limit, [&agent, order, name](std::optional<engine_answer> const& answer) {
                    log_order(agent, name, order.version, order.pass, answer);
                });
}

void complete(rank_agent& agent, engine_reports const& reports) {
    auto const step = plan_completion(reports);
    if (!step || !agent.report || !agent.report->group) {
        return;
    }
    log_bounded(agent.loop, events::map_change_completed,
                {{"group", agent.subscriber.self.group},
                 {"version", step->version},
                 {"pass", step->pass},
                 {"unarmed", step->unarmed_ranks.size()},
                 {"release", step->release}});
    platform::rank_order order;
    order.epoch = agent.report->group->epoch;
    order.fence = step->version;
    order.version = step->version;
    order.pass = step->pass;
    order.kind = platform::rank_order_kind::arm;
    for (auto const rank : step->unarmed_ranks) {
        order_remote(agent, agent.engine_addresses.at(rank), order, "arm");
    }
    if (step->release) {
        order.kind = platform::rank_order_kind::release;
        order_remote(agent, agent.engine_addresses.at(0), order, "release");
    }
}

// Reads all engines of the group and goes on when the last has answered or not.
void read_group(rank_agent& agent) {
    struct gathering {
        engine_reports reports;
        std::size_t open{0};
    };
    agent.completing_switch = true;
    auto const gathered = std::make_shared<gathering>();
    gathered->open = agent.engine_addresses.size();
    for (auto const& [rank, address] : agent.engine_addresses) {
        call_engine(agent.loop, agent.pool, address, platform::encode_report_call(address),
                    remote_limit,
                    [&agent, gathered, rank = rank](std::optional<engine_answer> got) {
                        auto report = got && got->status == ok_status
                                          ? platform::decode_report(got->body)
                                          : std::nullopt;
                        if (report && report->group && report->group->rank == rank) {
                            gathered->reports[rank] = std::move(*report);
                        }
                        if (--gathered->open == 0) {
                            agent.completing_switch = false;
                            complete(agent, gathered->reports);
                        }
                    });
    }
}

void note_coordinator(rank_agent& agent) {
    bool const is_first = agent.report && agent.report->group && agent.report->group->rank == 0;
    if (!is_first) {
        agent.coordinator.reset();
        return;
    }
    auto const name = group_name(agent);
    if (!agent.coordinator || agent.coordinator->group != name) {
        agent.coordinator.emplace();
        agent.coordinator->group = name;
    }
    auto const budget = current_group_tuning(agent);
    auto& settings = agent.coordinator->settings;
    settings.prepare_resend = budget.prepare_resend;
    settings.arm_resend = budget.arm_resend;
    settings.status_max_age = budget.status_max_age;
    settings.relay_fanout = budget.relay_fanout;
}

} // namespace

void read_counts(rank_agent& agent, bool report) {
    if (agent.reading_counts || !agent.report || !agent.report->group) {
        return;
    }
    agent.reading_counts = true;
    auto const& address = agent.settings.target_address;
    call_engine(agent.loop, agent.pool, address, platform::encode_counts_call(address),
                counts_limit, [&agent, report](std::optional<engine_answer> answer) {
                    agent.reading_counts = false;
                    auto const counts = answer && answer->status == ok_status
                                            ? platform::decode_counts(answer->body)
                                            : std::nullopt;
                    if (!counts) {
                        return;
                    }
                    add_counts(agent, *counts);
                    if (!report) {
                        agent.unsent_counts.clear(); // choices before the reported span
                        return;
                    }
                    agent.counts_due = true;
                    send_status(agent);
                });
}

void send_status(rank_agent& agent) {
    if (!agent.report || !agent.report->group) {
        return;
    }
    time_passes(agent);
    read_experts(agent);
    note_coordinator(agent);
    auto const to = coordinator_address(agent);
    if (to.empty()) {
        return;
    }
    auto const at = loop_now(agent.loop);
    auto status = make_status(agent);
    if (to == agent.subscriber.self.address) {
        on_rank_status(agent, status, to);
        return;
    }
    bool const due = at - agent.last_sent_at >= current_group_tuning(agent).status_period;
    if (!due && agent.last_sent_status && !says_more(status, *agent.last_sent_status)) {
        return;
    }
    agent.link->send(to, rank_status_type, serialize(status));
    agent.last_sent_at = at;
    status.counts.clear();
    agent.last_sent_status = std::move(status);
}

void on_rank_status(rank_agent& agent, rank_status const& status, std::string const& from) {
    if (!agent.coordinator || agent.coordinator->group != status.group) {
        return;
    }
    update_rank_status(*agent.coordinator, status, from, loop_now(agent.loop));
    auto const at = loop_now(agent.loop);
    agent.long_term_demand.half_life = steady_half_life;
    agent.short_term_demand.half_life = fresh_half_life;
    add_demand(agent.long_term_demand, status, at);
    add_demand(agent.short_term_demand, status, at);
    tick_coordinator(agent);
}

void on_rank_instruction(rank_agent& agent, rank_instruction const& instruction) {
    auto passed_on = instruction;
    passed_on.relay_to.clear();
    for (auto const& [rank, address] : instruction.relay_to) {
        passed_on.rank = rank;
        agent.link->send(address, rank_instruction_type, serialize(passed_on));
    }
    bool const mine = agent.report && agent.report->group &&
                      instruction.group == group_name(agent) &&
                      instruction.epoch == agent.report->group->epoch &&
                      instruction.rank == agent.report->group->rank;
    if (!mine) {
        return;
    }
    agent.highest_version = std::max(agent.highest_version, instruction.version);
    platform::rank_order order;
    order.epoch = instruction.epoch;
    order.fence = instruction.version;
    order.version = instruction.version;
    order.pass = instruction.pass;
    bool const prepares = instruction.operation == rank_operation::prepare;
    order.kind = prepares ? platform::rank_order_kind::prepare : platform::rank_order_kind::arm;
    auto map = unpack_map(instruction.packed_map);
    if (!map) {
        log_bounded(agent.loop, events::message_malformed,
                    {{"type", rank_instruction_type}, {"error", describe(map.error())}});
        return;
    }
    order.map = std::move(map).value();
    order_own(agent, std::move(order), prepares ? "prepare" : "arm",
              prepares ? prepare_repeats : arm_repeats);
}

void complete_stalled_switch(rank_agent& agent) {
    if (!agent.report || !agent.report->group) {
        return;
    }
    auto const& report = *agent.report;
    auto const at = loop_now(agent.loop);
    if (report.pass != agent.last_pass || report.running == 0) {
        agent.last_pass = report.pass;
        agent.last_pass_at = at;
        return;
    }
    bool const changing =
        report.prepared_version != 0 && report.prepared_version != report.map_version;
    auto const patience = standstill + standstill_per_rank * report.group->rank;
    bool const complete_view = agent.engine_addresses.size() == report.group->size;
    if (report.group->open && changing && complete_view && !agent.completing_switch &&
        at - agent.last_pass_at > patience) {
        agent.frequent_reads_until = at + busy_span;
        read_group(agent);
    }
}

void tick_coordinator(rank_agent& agent) {
    if (!agent.coordinator) {
        return;
    }
    agent.coordinator->pass_time = agent.pass_time;
    plan(agent);
    auto const actions = advance_switch(*agent.coordinator, loop_now(agent.loop));
    if (agent.coordinator->stage != switch_stage::idle) {
        agent.frequent_reads_until = loop_now(agent.loop) + busy_span;
    }
    log_stage(agent);
    carry_out(agent, actions);
}

} // namespace fireflycrank
