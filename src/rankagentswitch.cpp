#include "countcode.h"
#include "directorywire.h"
#include "engineclient.h"
#include "orderrepeat.h"
#include "platform/engineprotocol.h"
#include "rankagent.h"

#include <algorithm>
#include <cmath>

namespace fireflycrank {

namespace {

constexpr std::chrono::milliseconds order_timeout{300};
// For a release order, which the coordinator itself repeats until the pass begins.
constexpr repeat_limits single_attempt{order_timeout, 1};
constexpr std::chrono::milliseconds counts_timeout{500};
constexpr std::chrono::milliseconds frequent_reads_duration{1'500};
// Half-lives of the counted choices. Demand changes within seconds.
constexpr std::chrono::duration<double> long_term_half_life{0.6};
constexpr std::chrono::duration<double> short_term_half_life{0.12};
// Minimum number of counted choices of one set for planning; fewer are too noisy.
constexpr double min_choices = 300;
// If the short-term demand shows this much more imbalance than the long-term demand, demand has
// changed suddenly, and the short-term demand is used for planning.
constexpr double sudden_skew = 0.3;
// A sudden change is detected about 0.15 s after it began. By then 58% of the short-term demand and
// 16% of the long-term demand are new, so their difference, 42%, is as large as the part that is
// still missing: it is added once.
constexpr double extrapolation_factor = 1.0;
// Minimum interval between two plans.
constexpr std::chrono::milliseconds min_plan_interval{100};
constexpr std::chrono::milliseconds min_pass_sample{150};
constexpr double newest_sample_weight = 0.5; // of the newest sample
constexpr double high_skew = 2.2;
constexpr unsigned ok_status = 200;

// A group that has work but begins no pass for this long has stalled. Higher ranks wait longer, so
// that usually only one agent acts.
constexpr std::chrono::milliseconds stall_timeout{300};
constexpr std::chrono::milliseconds stall_timeout_per_rank{80};
constexpr std::chrono::milliseconds remote_timeout{300};

std::string group_name(rank_agent const& agent) {
    return agent.settings.target_service + "/" + agent.report->group->name;
}

void log_order(rank_agent& agent, char const* operation, std::uint64_t version, std::uint64_t pass,
               std::optional<engine_response> const& answer) {
    log_bounded(agent.loop, events::rank_order_ended,
                {{"operation", operation},
                 {"version", version},
                 {"pass", pass},
                 {"status", answer ? answer->status : 0}});
}

// An order to the engine on the agent's own VM.
struct local_order {
    platform::engine_command order;
    char const* name{""};
    given_order attempts;
};

void send_local_order(rank_agent& agent, std::shared_ptr<local_order> const& local) {
    auto const at = loop_now(agent.loop);
    if (!give_now(local->attempts, at)) {
        return;
    }
    auto const& address = agent.settings.target_address;
    agent.frequent_reads_until = at + frequent_reads_duration;
    call_engine(agent.loop, agent.pool, address,
                platform::encode_command_request(address, local->order), order_timeout,
                [&agent, local](std::optional<engine_response> const& answer) {
                    local->attempts.answered = local->attempts.answered || answer.has_value();
                    log_order(agent, local->name, local->order.version, local->order.pass, answer);
                    read_report(agent);
                });
    run_after(agent.loop, local->attempts.limits.patience,
              [&agent, local] { send_local_order(agent, local); });
}

void order_local_engine(rank_agent& agent, platform::engine_command order, char const* name,
                        repeat_limits const& limits) {
    auto const local = std::make_shared<local_order>();
    local->order = std::move(order);
    local->name = name;
    local->attempts.limits = limits;
    send_local_order(agent, local);
}

// Peer address of the agent of rank 0 in the same group; empty if not known.
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
    bool const up_to_date = agent.experts && agent.experts_version == report.map_version &&
                            agent.experts_epoch == report.group->epoch;
    if (up_to_date) {
        status.experts = agent.experts;
    }
    status.engine_address = agent.settings.target_address;
    status.pace = planned_pace(report.slowdown);
    return status;
}

// Whether the status differs from the last one sent in a way that may change the coordinator's
// decisions. The pass is not compared, because the coordinator uses only that of its own rank.
bool differs_for_coordinator(rank_status const& status, rank_status const& last_sent) {
    auto const same_armed = [&] {
        return status.armed.has_value() == last_sent.armed.has_value() &&
               (!status.armed || (status.armed->version == last_sent.armed->version &&
                                  status.armed->pass == last_sent.armed->pass));
    };
    return !status.counts.empty() || status.group != last_sent.group ||
           status.epoch != last_sent.epoch || status.rank != last_sent.rank ||
           status.open != last_sent.open || status.map_version != last_sent.map_version ||
           status.prepared_version != last_sent.prepared_version || !same_armed() ||
           status.held_pass != last_sent.held_pass || status.pace != last_sent.pace ||
           status.experts.has_value() != last_sent.experts.has_value();
}

void add_counts(rank_agent& agent, expert_counts const& current) {
    bool const same_series = agent.last_counts &&
                             agent.last_counts->counts.size() == current.counts.size() &&
                             agent.last_counts->epoch == current.epoch;
    if (agent.unsent_counts.size() != current.counts.size()) {
        agent.unsent_counts.assign(current.counts.size(), 0);
    }
    for (std::size_t index = 0; same_series && index < current.counts.size(); ++index) {
        auto const before = agent.last_counts->counts[index];
        agent.unsent_counts[index] +=
            current.counts[index] >= before ? current.counts[index] - before : 0;
    }
    agent.last_counts = current;
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
    call_engine(agent.loop, agent.pool, address, platform::encode_experts_request(address),
                counts_timeout, [&agent, version, epoch](std::optional<engine_response> answer) {
                    agent.reading_experts = false;
                    auto decoded = answer && answer->status == ok_status
                                       ? platform::decode_experts(answer->body)
                                       : std::nullopt;
                    bool const unchanged = agent.report && agent.report->group &&
                                           agent.report->map_version == version &&
                                           agent.report->group->epoch == epoch;
                    if (!decoded || !unchanged) {
                        return;
                    }
                    agent.experts = std::move(*decoded);
                    agent.experts_version = version;
                    agent.experts_epoch = epoch;
                    agent.expert_sets = static_cast<unsigned>(agent.experts->size());
                    send_status(agent);
                });
}

// Updates pass_time. An idle group makes no passes, so intervals without work are ignored.
void measure_pass_time(rank_agent& agent) {
    auto const& report = *agent.report;
    auto const at = loop_now(agent.loop);
    auto const span = at - agent.pass_sampled_at;
    if (span < min_pass_sample) {
        return;
    }
    auto const passes = report.pass - std::min(report.pass, agent.sampled_pass);
    bool const busy = report.running > 0 && passes > 0 && agent.sampled_pass > 0;
    if (busy) {
        auto const sample = span / static_cast<std::int64_t>(passes);
        agent.pass_time = std::chrono::duration_cast<duration>(
            newest_sample_weight * sample + (1.0 - newest_sample_weight) * agent.pass_time);
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
        for (double& count : set) {
            count *= kept;
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
    for (std::size_t index = 0; index < status.counts.size(); ++index) {
        demand[index / experts][index % experts] += static_cast<double>(status.counts[index]);
    }
}

bool has_enough_choices(decayed_demand const& window) {
    if (window.demand.empty()) {
        return false;
    }
    double total = 0;
    for (double const count : window.demand.front()) {
        total += count;
    }
    return total >= min_choices;
}

group_experts current_map(group_coordinator const& coordinator) {
    group_experts map;
    for (auto const& [rank, tracked] : coordinator.ranks) {
        map.push_back(*tracked.status.experts);
    }
    return map;
}

// Paces of the ranks relative to the fastest one; empty if all are alike.
rank_paces paces_of(rank_agent const& agent) {
    rank_paces paces;
    for (auto const& [rank, tracked] : agent.coordinator->ranks) {
        paces.push_back(tracked.status.pace);
    }
    auto const [fastest, slowest] = std::minmax_element(paces.begin(), paces.end());
    if (!agent.settings.policies.weigh_pace || paces.empty() || *fastest == *slowest) {
        return {};
    }
    double const unit = *fastest;
    for (double& pace : paces) {
        pace /= unit;
    }
    return paces;
}

// Whether every rank lists its experts for all sets and every expert is on some rank.
bool is_complete(group_experts const& map, expert_demand const& demand) {
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

bool changed_suddenly(rank_agent const& agent, group_experts const& current,
                      rank_paces const& paces) {
    auto const& short_term = agent.short_term_demand.demand;
    return has_enough_choices(agent.short_term_demand) &&
           place_skew(current, short_term, paces) >
               place_skew(current, agent.long_term_demand.demand, paces) + sudden_skew;
}

void plan_change(rank_agent& agent) {
    auto& coordinator = *agent.coordinator;
    auto const at = loop_now(agent.loop);
    if (at < agent.next_plan_at || !agent.traits || !can_begin_switch(coordinator, at) ||
        !has_enough_choices(agent.long_term_demand)) {
        return;
    }
    agent.next_plan_at = at + min_plan_interval;
    auto const current = current_map(coordinator);
    if (!is_complete(current, agent.long_term_demand.demand)) {
        return;
    }
    auto const paces = paces_of(agent);
    bool const sudden =
        agent.settings.policies.plan_early && changed_suddenly(agent, current, paces);
    auto const& long_term = agent.long_term_demand.demand;
    auto const demand =
        sudden ? extrapolate_demand(agent.short_term_demand.demand, long_term, extrapolation_factor)
               : long_term;
    auto const limits = derive_copy_limits(*agent.traits);
    auto const max_copies =
        place_skew(current, demand, paces) > high_skew ? limits.high_skew : limits.usual;
    auto const tuning = current_group_tuning(agent);
    auto const planned = plan_places(
        current, demand,
        {agent.traits->places, agent.traits->spare, max_copies, tuning.min_copy_gain}, paces);
    bool const worthwhile =
        planned.copies > 0 && planned.before - planned.after >= tuning.min_change_gain;
    if (!worthwhile) {
        return;
    }
    log_bounded(agent.loop, events::map_change_planned,
                {{"group", coordinator.group},
                 {"epoch", coordinator.epoch},
                 {"skew_before", planned.before},
                 {"skew_after", planned.after},
                 {"sudden", sudden},
                 {"copies", planned.copies},
                 {"slowest", paces.empty() ? 1.0 : *std::max_element(paces.begin(), paces.end())},
                 {"pass_ms", in_millis(agent.pass_time)}});
    auto const wall = wall_now(agent.loop.clock).time_since_epoch();
    begin_switch(coordinator, pack_map(planned.map), static_cast<std::uint64_t>(wall.count()), at);
}

// A random registrar among those heard from recently, so that repeated requests go to different
// ones; empty if there is none.
std::string pick_registrar(rank_agent& agent) {
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
    auto const registrar = pick_registrar(agent);
    if (registrar.empty()) {
        return; // the coordinator repeats the request
    }
    hold_request const request{agent.settings.target_address, agent.coordinator->epoch,
                               agent.coordinator->version, pass};
    agent.link->send(registrar, hold_request_type, serialize(request));
}

void order_release(rank_agent& agent, std::uint64_t pass) {
    platform::engine_command order;
    order.kind = platform::engine_command_kind::release;
    order.epoch = agent.coordinator->epoch;
    order.fence = agent.coordinator->version;
    order.pass = pass;
    order_local_engine(agent, order, "release", single_attempt);
}

void perform_actions(rank_agent& agent, coordinator_actions const& actions) {
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

void order_remote_engine(rank_agent& agent, std::string const& address,
                         platform::engine_command const& order, char const* name) {
    call_engine(agent.loop, agent.pool, address, platform::encode_command_request(address, order),
                remote_timeout,
                [&agent, order, name](std::optional<engine_response> const& answer) {
                    log_order(agent, name, order.version, order.pass, answer);
                });
}

void complete_switch(rank_agent& agent, engine_reports const& reports) {
    auto const orders = plan_completion(reports);
    if (!orders || !agent.report || !agent.report->group) {
        return;
    }
    log_bounded(agent.loop, events::map_change_completed,
                {{"group", agent.subscriber.self.group},
                 {"version", orders->version},
                 {"pass", orders->pass},
                 {"unarmed", orders->unarmed_ranks.size()},
                 {"release", orders->release}});
    platform::engine_command order;
    order.epoch = agent.report->group->epoch;
    order.fence = orders->version;
    order.version = orders->version;
    order.pass = orders->pass;
    order.kind = platform::engine_command_kind::arm;
    for (auto const rank : orders->unarmed_ranks) {
        order_remote_engine(agent, agent.engine_addresses.at(rank), order, "arm");
    }
    if (orders->release) {
        order.kind = platform::engine_command_kind::release;
        order_remote_engine(agent, agent.engine_addresses.at(0), order, "release");
    }
}

// Reads the reports of all engines of the group, and completes the change after the last answer or
// time-out.
void read_group_reports(rank_agent& agent) {
    struct pending_reads {
        engine_reports reports;
        std::size_t unanswered{0};
    };
    agent.completing_switch = true;
    auto const reads = std::make_shared<pending_reads>();
    reads->unanswered = agent.engine_addresses.size();
    for (auto const& [rank, address] : agent.engine_addresses) {
        call_engine(agent.loop, agent.pool, address, platform::encode_report_request(address),
                    remote_timeout,
                    [&agent, reads, rank = rank](std::optional<engine_response> answer) {
                        auto report = answer && answer->status == ok_status
                                          ? platform::decode_report(answer->body)
                                          : std::nullopt;
                        if (report && report->group && report->group->rank == rank) {
                            reads->reports[rank] = std::move(*report);
                        }
                        if (--reads->unanswered == 0) {
                            agent.completing_switch = false;
                            complete_switch(agent, reads->reports);
                        }
                    });
    }
}

void update_coordinator(rank_agent& agent) {
    bool const is_rank_0 = agent.report && agent.report->group && agent.report->group->rank == 0;
    if (!is_rank_0) {
        agent.coordinator.reset();
        return;
    }
    auto const name = group_name(agent);
    if (!agent.coordinator || agent.coordinator->group != name) {
        agent.coordinator.emplace();
        agent.coordinator->group = name;
    }
    auto const tuning = current_group_tuning(agent);
    auto& settings = agent.coordinator->settings;
    settings.prepare_resend = tuning.prepare_resend;
    settings.arm_resend = tuning.arm_resend;
    settings.status_max_age = tuning.status_max_age;
    settings.relay_fanout = tuning.relay_fanout;
}

} // namespace

void read_counts(rank_agent& agent, bool report) {
    if (agent.reading_counts || !agent.report || !agent.report->group) {
        return;
    }
    agent.reading_counts = true;
    auto const& address = agent.settings.target_address;
    call_engine(agent.loop, agent.pool, address, platform::encode_counts_request(address),
                counts_timeout, [&agent, report](std::optional<engine_response> answer) {
                    agent.reading_counts = false;
                    auto const counts = answer && answer->status == ok_status
                                            ? platform::decode_counts(answer->body)
                                            : std::nullopt;
                    if (!counts) {
                        return;
                    }
                    add_counts(agent, *counts);
                    if (!report) {
                        agent.unsent_counts.clear(); // choices from before the window
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
    measure_pass_time(agent);
    read_experts(agent);
    update_coordinator(agent);
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
    if (!due && agent.last_sent_status &&
        !differs_for_coordinator(status, *agent.last_sent_status)) {
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
    agent.long_term_demand.half_life = long_term_half_life;
    agent.short_term_demand.half_life = short_term_half_life;
    add_demand(agent.long_term_demand, status, at);
    add_demand(agent.short_term_demand, status, at);
    tick_coordinator(agent);
}

void on_rank_instruction(rank_agent& agent, rank_instruction const& instruction) {
    auto relayed = instruction;
    relayed.relay_to.clear();
    for (auto const& [rank, address] : instruction.relay_to) {
        relayed.rank = rank;
        agent.link->send(address, rank_instruction_type, serialize(relayed));
    }
    bool const for_this_rank = agent.report && agent.report->group &&
                               instruction.group == group_name(agent) &&
                               instruction.epoch == agent.report->group->epoch &&
                               instruction.rank == agent.report->group->rank;
    if (!for_this_rank) {
        return;
    }
    agent.highest_version = std::max(agent.highest_version, instruction.version);
    platform::engine_command order;
    order.epoch = instruction.epoch;
    order.fence = instruction.version;
    order.version = instruction.version;
    order.pass = instruction.pass;
    bool const prepares = instruction.operation == rank_operation::prepare;
    order.kind =
        prepares ? platform::engine_command_kind::prepare : platform::engine_command_kind::arm;
    auto map = unpack_map(instruction.packed_map);
    if (!map) {
        log_bounded(agent.loop, events::message_malformed,
                    {{"type", rank_instruction_type}, {"error", describe(map.error())}});
        return;
    }
    order.map = std::move(map).value();
    order_local_engine(agent, std::move(order), prepares ? "prepare" : "arm",
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
    auto const timeout = stall_timeout + stall_timeout_per_rank * report.group->rank;
    bool const all_engines_known = agent.engine_addresses.size() == report.group->size;
    if (report.group->open && changing && all_engines_known && !agent.completing_switch &&
        at - agent.last_pass_at > timeout) {
        agent.frequent_reads_until = at + frequent_reads_duration;
        read_group_reports(agent);
    }
}

void tick_coordinator(rank_agent& agent) {
    if (!agent.coordinator) {
        return;
    }
    agent.coordinator->pass_time = agent.pass_time;
    plan_change(agent);
    auto const actions = advance_switch(*agent.coordinator, loop_now(agent.loop));
    if (agent.coordinator->stage != switch_stage::idle) {
        agent.frequent_reads_until = loop_now(agent.loop) + frequent_reads_duration;
    }
    log_stage(agent);
    perform_actions(agent, actions);
}

} // namespace fireflycrank
