#include "rankagent.h"

#include "directorywire.h"
#include "engineclient.h"
#include "engineload.h"
#include "peeraddress.h"
#include "platform/engineprotocol.h"
#include "platform/operatorconfig.h"

#include <algorithm>

namespace fireflycrank {

namespace {

constexpr std::chrono::milliseconds tick_period{50};
constexpr std::chrono::milliseconds report_period{200};
constexpr std::chrono::milliseconds counts_tick_period{50};
constexpr std::chrono::milliseconds sync_period{100};
constexpr std::chrono::milliseconds housekeeping_period{1'000};
// The engine runs on the same VM and normally answers immediately.
constexpr std::chrono::milliseconds report_timeout{500};
// Only the coordinator needs the engine's traits, and they rarely change. A configuration of
// several hundred kilobytes occupies the VM's link for some hundred milliseconds.
constexpr std::chrono::milliseconds config_retry_period{500};
constexpr std::chrono::seconds config_refresh_period{30};
constexpr unsigned ok_status = 200;

// The id under which the engine announced itself from this VM's address.
std::string target_id(rank_agent const& agent) {
    for (auto const& [id, record] : agent.directory.targets) {
        if (record.announcement.address == agent.settings.target_address &&
            record.announcement.state != target_phase::departed) {
            return id;
        }
    }
    return {};
}

void send_load(rank_agent& agent) {
    auto const id = target_id(agent);
    auto const at = loop_now(agent.loop);
    std::vector<std::string> due;
    auto const gateways = listed_daemons(agent.subscriber, daemon_role::gateway, at);
    for (auto const& [address, entry] : gateways) {
        if (is_report_due(agent.load_readers[address], load_report_settings{}, at)) {
            due.push_back(address);
        }
    }
    std::erase_if(agent.load_readers,
                  [&](auto const& reader) { return !gateways.contains(reader.first); });
    if (id.empty() || due.empty()) {
        return;
    }
    engine_load load;
    load.target_id = id;
    load.started_at = agent.directory.targets.at(id).announcement.started_at;
    load.agent_run = agent.subscriber.self.started;
    load.sequence = ++agent.loads_sent;
    load.responsive = agent.engine_answering;
    if (agent.report) {
        auto const& report = *agent.report;
        load.running = report.running;
        load.waiting = report.waiting;
        load.kv_tokens_used = report.kv_tokens_used;
        load.kv_tokens_total = report.kv_tokens_total;
        load.slowdown = report.slowdown;
        load.cold_left = report.cold_left;
        if (report.group) {
            load.group = report.group->name;
            load.epoch = report.group->epoch;
            load.rank = report.group->rank;
            load.group_size = report.group->size;
            load.group_open = report.group->open;
            load.pass_time = agent.pass_time;
        }
    }
    auto const bytes = serialize(load);
    for (auto const& address : due) {
        agent.load_readers.at(address).sent_at = at;
        agent.link->send_datagram(address, engine_load_type, bytes);
    }
}

void set_engine_answering(rank_agent& agent, bool answering) {
    if (agent.engine_answering == answering) {
        return;
    }
    agent.engine_answering = answering;
    log_bounded(agent.loop, answering ? events::dependency_regained : events::dependency_lost,
                {{"dependency", "engine"}, {"address", agent.settings.target_address}});
}

// Publishes the engine's group and rank in the directory, where coordinators find the agents of
// their group and agents find their coordinator.
void publish_rank(rank_agent& agent) {
    auto& self = agent.subscriber.self;
    auto const& group = agent.report->group;
    auto const name = group ? agent.settings.target_service + "/" + group->name : std::string{};
    auto const rank = group ? group->rank : 0;
    auto const id = target_id(agent);
    if (self.group != name || self.rank != rank || self.target_id != id) {
        self.group = name;
        self.rank = rank;
        self.target_id = id;
        ++self.edition;
        forget_daemons(agent.subscriber);
        send_beats(agent.loop, *agent.link, agent.subscriber, agent.attached_registrars, true);
    }
}

void on_report(rank_agent& agent, std::string const& body) {
    auto decoded = platform::decode_report(body);
    if (!decoded) {
        log_bounded(agent.loop, events::message_malformed,
                    {{"type", "report"}, {"sender", agent.settings.target_address}});
        return;
    }
    bool const epoch_changed = agent.report && agent.report->group && decoded->group &&
                               agent.report->group->epoch != decoded->group->epoch;
    agent.report = std::move(*decoded);
    agent.report_read_at = loop_now(agent.loop);
    if (epoch_changed) {
        log_bounded(agent.loop, events::group_reformed,
                    {{"group", agent.report->group->name},
                     {"epoch", agent.report->group->epoch},
                     {"open", agent.report->group->open}});
    }
    publish_rank(agent);
}

void on_config(rank_agent& agent, configuration_body const& body) {
    if (body.version <= agent.config_version) {
        return;
    }
    auto decoded = platform::decode_compressed_configuration(body.packed);
    if (!decoded || !index_config(decoded.value())) {
        log_bounded(agent.loop, events::configuration_unreadable, {{"version", body.version}});
        return;
    }
    agent.config_version = body.version;
    auto const* const service = find_service(decoded.value(), agent.settings.target_service);
    if (service != nullptr) {
        agent.traits = service->engine;
    }
}

void request_config(rank_agent& agent) {
    auto const at = loop_now(agent.loop);
    bool const changing = agent.coordinator && agent.coordinator->stage != switch_stage::idle;
    auto const period =
        agent.traits ? duration{config_refresh_period} : duration{config_retry_period};
    if (!agent.coordinator || changing || at - agent.config_requested_at < period) {
        return;
    }
    if (auto const source = configuration_source(agent.subscriber, agent.config_version, at)) {
        agent.config_requested_at = at;
        agent.link->send(*source, configuration_request_type,
                         serialize_configuration_request(agent.config_version));
    }
}

void on_update(rank_agent& agent, std::string const& from, directory_update const& update) {
    auto const at = loop_now(agent.loop);
    take_update(agent.subscriber, from, update, at);
    for (auto const& said : update.targets) {
        apply_announcement(agent.directory, said, announcement_source::peer, at);
    }
    request_config(agent);
}

bool dispatch(rank_agent& agent, peer_message const& message) {
    if (message.type == update_type) {
        auto const update = parse_update(message.body);
        return update && (on_update(agent, message.sender, update.value()), true);
    }
    if (message.type == configuration_body_type) {
        auto const body = parse_configuration(message.body);
        return body && (on_config(agent, body.value()), true);
    }
    if (message.type == rank_status_type) {
        auto const status = parse_rank_status(message.body);
        return status && (on_rank_status(agent, status.value(), message.sender), true);
    }
    if (message.type == hold_answered_type) {
        read_report(agent);
        return true;
    }
    if (message.type == follow_type) {
        agent.load_readers[message.sender].followed_at = loop_now(agent.loop);
        return true;
    }
    if (message.type == rank_instruction_type) {
        auto const instruction = parse_rank_instruction(message.body);
        return instruction && (on_rank_instruction(agent, instruction.value()), true);
    }
    return false;
}

void on_message(rank_agent& agent, peer_message const& message) {
    if (!dispatch(agent, message)) {
        log_bounded(agent.loop, events::message_malformed,
                    {{"type", message.type}, {"sender", message.sender}});
    }
}

void reload(rank_agent& agent) {
    auto fresh = agent.read_settings();
    if (!fresh) {
        log_event(events::settings_refused, {{"error", describe(fresh.error())}});
        return;
    }
    agent.settings.seeds = fresh.value().seeds;
    agent.settings.policies = fresh.value().policies;
    configure_registrars(agent.subscriber, seed_peers(agent.settings), loop_now(agent.loop));
    log_event(events::settings_reloaded, {{"seeds", agent.settings.seeds.size()}});
}

// Remembers the addresses of the group's engines, because the directory drops an agent that is
// frozen.
void remember_engines(rank_agent& agent) {
    auto const& self = agent.subscriber.self;
    if (agent.engine_addresses_group != self.group) {
        agent.engine_addresses.clear();
        agent.engine_addresses_group = self.group;
    }
    for (auto const& [address, entry] :
         listed_daemons(agent.subscriber, daemon_role::rank_agent, loop_now(agent.loop))) {
        if (!self.group.empty() && entry.group == self.group) {
            agent.engine_addresses[entry.rank] = entry.client_address;
        }
    }
}

// Reads the counts once for each period or, if the window is shorter than the period, at the begin
// and the end of the window.
void read_counts_when_due(rank_agent& agent) {
    auto const at = loop_now(agent.loop);
    auto const tuning = current_group_tuning(agent);
    auto const age = at - agent.counts_read_at;
    if (age >= tuning.counts_period) {
        agent.counts_read_at = at;
        agent.counts_window_begun = false;
        read_counts(agent, true);
    } else if (!agent.counts_window_begun && age >= tuning.counts_period - tuning.counts_window) {
        agent.counts_window_begun = true;
        if (tuning.counts_window < tuning.counts_period) {
            read_counts(agent, false);
        }
    }
}

void start_periodic_work(rank_agent& agent) {
    run_every(agent.loop, tick_period, [&agent] {
        auto const at = loop_now(agent.loop);
        bool const due = at < agent.frequent_reads_until ||
                         at - agent.report_read_at >= report_period - tick_period;
        if (due && !agent.reading_report) {
            read_report(agent);
        }
        tick_coordinator(agent);
        complete_stalled_switch(agent);
        return true;
    });
    run_every(agent.loop, counts_tick_period, [&agent] {
        read_counts_when_due(agent);
        return true;
    });
    run_every(agent.loop, sync_period, [&agent] {
        agent.link->tick();
        agent.pool.expire_connections();
        send_beats(agent.loop, *agent.link, agent.subscriber, agent.attached_registrars, false);
        return true;
    });
    run_every(agent.loop, housekeeping_period, [&agent] {
        remove_expired(agent.directory, {}, loop_now(agent.loop));
        agent.metrics_listener->enforce_timeouts();
        report_outsiders(agent.loop, *agent.metrics);
        remember_engines(agent);
        request_config(agent);
        return true;
    });
}

} // namespace

rank_agent::rank_agent(vm_settings configured)
    : settings{std::move(configured)}
    , metrics{make_metrics()}
    , pool{loop.context, loop.clock}
    , random{random_seed()} {
    auto& self = subscriber.self;
    self.address = peer_address(settings, settings.ip);
    self.role = daemon_role::rank_agent;
    self.zone = settings.zone;
    self.client_address = settings.target_address;
    self.started = static_cast<std::uint64_t>(wall_now(loop.clock).time_since_epoch().count());
}

group_tuning current_group_tuning(rank_agent const& agent) {
    auto const size = agent.report && agent.report->group ? agent.report->group->size : 1U;
    auto const counters = agent.last_counts ? agent.last_counts->counts.size() : 0U;
    // While passes are long, planning from old counts costs callers more than the messages do.
    return derive_group_tuning({size, counters, agent.settings.link_megabits_per_second},
                               agent.pass_time < short_pass_limit);
}

void read_report(rank_agent& agent) {
    if (agent.reading_report) {
        agent.read_report_again = true;
        return;
    }
    agent.reading_report = true;
    agent.read_report_again = false;
    auto const& address = agent.settings.target_address;
    call_engine(agent.loop, agent.pool, address, platform::encode_report_request(address),
                report_timeout, [&agent](std::optional<engine_response> answer) {
                    agent.reading_report = false;
                    bool const answered = answer && answer->status == ok_status;
                    set_engine_answering(agent, answered);
                    if (answered) {
                        on_report(agent, answer->body);
                        send_status(agent);
                    } else {
                        agent.report_read_at = loop_now(agent.loop);
                    }
                    send_load(agent);
                    if (std::exchange(agent.read_report_again, false) && answered) {
                        read_report(agent);
                    }
                });
}

result<void> run_rank_agent(settings_source const& read_settings,
                            std::string const& settings_path) {
    BOOST_OUTCOME_TRY(settings, read_settings());
    rank_agent agent{std::move(settings)};
    agent.read_settings = read_settings;
    auto const& self = agent.subscriber.self;
    configure_registrars(agent.subscriber, seed_peers(agent.settings), loop_now(agent.loop));
    handle_signals(
        agent.loop,
        [&agent] {
            log_event(events::process_stopping, {{"in_flight", 0}});
            agent.loop.context.stop();
        },
        [&agent] { reload(agent); });
    BOOST_OUTCOME_TRY(link, peer_link::open(agent.loop.context, self.address,
                                            [&agent](peer_message const& message) {
                                                on_message(agent, message);
                                            }));
    agent.link = link;
    limit_outsiders(agent.loop, agent.settings);
    BOOST_OUTCOME_TRY(metrics, open_metrics(agent.loop, agent.settings, agent.metrics));
    agent.metrics_listener = metrics;
    watch_file(agent.loop, settings_path, [&agent] { reload(agent); });
    start_periodic_work(agent);
    log_event(
        events::process_started,
        {{"role", "rank_agent"}, {"process", agent.settings.name}, {"incarnation", self.started}});
    agent.loop.context.run();
    log_event(events::process_stopped, {});
    return ok();
}

} // namespace fireflycrank
