#include "rankagent.h"

#include "directorysync.h"
#include "directorywire.h"
#include "engineload.h"
#include "enginereport.h"
#include "peeraddress.h"
#include "peerlink.h"
#include "platform/enginecalls.h"
#include "targetdirectory.h"
#include "targetpool.h"

#include <algorithm>

namespace fireflycrank {

namespace {

constexpr std::chrono::milliseconds report_period{200};
constexpr std::chrono::milliseconds sync_period{100};
constexpr std::chrono::milliseconds slow_period{1'000};
// The engine is on the same VM.
constexpr std::chrono::milliseconds connect_limit{300};
constexpr std::chrono::milliseconds call_limit{700};
constexpr std::chrono::milliseconds max_idle{10'000};
constexpr unsigned ok_status = 200;

struct rank_agent {
    explicit rank_agent(vm_settings configured)
        : settings{std::move(configured)}, pool{loop.context, loop.clock} {}

    event_loop loop;
    vm_settings settings;
    settings_source read_settings;
    std::shared_ptr<peer_link> link;
    std::shared_ptr<metrics_registry> metrics = make_metrics();
    std::shared_ptr<http_listener> metrics_listener;
    target_pool pool;
    directory_subscriber subscriber;
    target_directory directory;
    std::optional<engine_report> report;
    bool reading{false};
    time_point reading_since{};
    std::shared_ptr<target_exchange> exchange;
    bool answering{true};
    std::uint64_t reports_sent{0};
};

// The id under which the engine announced itself from this VM's address.
std::string target_id(rank_agent const& agent) {
    for (auto const& [id, record] : agent.directory.targets) {
        if (record.said.address == agent.settings.target_address &&
            record.said.condition != target_condition::gone) {
            return id;
        }
    }
    return {};
}

void send_load(rank_agent& agent) {
    auto const id = target_id(agent);
    if (id.empty()) {
        return;
    }
    engine_load load;
    load.target_id = id;
    load.born = agent.directory.targets.at(id).said.born;
    load.started = agent.subscriber.self.started;
    load.number = ++agent.reports_sent;
    load.answering = agent.answering;
    if (agent.report) {
        auto const& report = *agent.report;
        load.running = report.running;
        load.waiting = report.waiting;
        load.memory_used = report.memory_used;
        load.memory_total = report.memory_total;
        load.pace = report.pace;
        if (report.group) {
            load.group = report.group->name;
            load.epoch = report.group->epoch;
            load.rank = report.group->rank;
            load.group_size = report.group->size;
            load.group_open = report.group->open;
        }
    }
    auto const bytes = serialize(load);
    auto const at = loop_now(agent.loop);
    for (auto const& [address, entry] :
         listed_daemons(agent.subscriber, daemon_role::gateway, at)) {
        agent.link->send_datagram(address, engine_load_type, bytes);
    }
}

void note_answering(rank_agent& agent, bool answering) {
    if (agent.answering == answering) {
        return;
    }
    agent.answering = answering;
    log_bounded(agent.loop, answering ? events::dependency_regained : events::dependency_lost,
                {{"dependency", "engine"}, {"address", agent.settings.target_address}});
}

void take_report(rank_agent& agent, std::string const& body) {
    auto decoded = platform::decode_report(body);
    if (!decoded) {
        log_bounded(agent.loop, events::message_malformed,
                    {{"type", "report"}, {"sender", agent.settings.target_address}});
        return;
    }
    agent.report = std::move(*decoded);
    send_load(agent);
}

void read_report(rank_agent& agent) {
    auto const at = loop_now(agent.loop);
    if (agent.reading) {
        if (at - agent.reading_since < call_limit) {
            return;
        }
        agent.exchange->cancel();
        note_answering(agent, false);
        send_load(agent);
    }
    agent.reading = true;
    agent.reading_since = at;
    auto const body = std::make_shared<std::string>();
    auto const status = std::make_shared<unsigned>(0);
    exchange_events events;
    events.on_head = [status](message_head const& head) {
        *status = head.status;
        return true;
    };
    events.on_body = [body](std::string bytes) {
        *body += bytes;
        return true;
    };
    events.on_end = [&agent, body, status](exchange_end how) {
        agent.reading = false;
        bool const answered = how == exchange_end::complete && *status == ok_status;
        note_answering(agent, answered);
        if (answered) {
            take_report(agent, *body);
        } else {
            send_load(agent);
        }
    };
    agent.exchange = agent.pool.start({agent.settings.target_address,
                                       platform::encode_report_call(agent.settings.target_address),
                                       false, connect_limit, max_idle},
                                      std::move(events));
}

void on_message(rank_agent& agent, peer_message const& message) {
    if (message.type == update_type) {
        if (auto const update = parse_update(message.body)) {
            auto const at = loop_now(agent.loop);
            take_update(agent.subscriber, message.sender, update.value(), at);
            for (auto const& said : update.value().targets) {
                take_announcement(agent.directory, said, announcement_source::peer, at);
            }
            return;
        }
    }
    log_bounded(agent.loop, events::message_malformed,
                {{"type", message.type}, {"sender", message.sender}});
}

void reload(rank_agent& agent) {
    auto fresh = agent.read_settings();
    if (!fresh) {
        log_event(events::settings_refused, {{"error", describe(fresh.error())}});
        return;
    }
    agent.settings.seeds = fresh.value().seeds;
    configure_registrars(agent.subscriber, seed_peers(agent.settings), loop_now(agent.loop));
    log_event(events::settings_reloaded, {{"seeds", agent.settings.seeds.size()}});
}

void start_periodic_work(rank_agent& agent) {
    run_every(agent.loop, report_period, [&agent] {
        read_report(agent);
        return true;
    });
    run_every(agent.loop, sync_period, [&agent] {
        agent.link->tick();
        agent.pool.sweep();
        for (auto const& beat : due_beats(agent.subscriber, false, loop_now(agent.loop))) {
            agent.link->send(beat.to, beat_type, serialize(beat.message));
        }
        return true;
    });
    run_every(agent.loop, slow_period, [&agent] {
        forget_old(agent.directory, {}, loop_now(agent.loop));
        agent.metrics_listener->sweep();
        return true;
    });
}

} // namespace

result<void> run_rank_agent(settings_source const& read_settings,
                            std::string const& settings_path) {
    BOOST_OUTCOME_TRY(settings, read_settings());
    rank_agent agent{std::move(settings)};
    agent.read_settings = read_settings;
    auto& self = agent.subscriber.self;
    self.address = peer_address(agent.settings, agent.settings.ip);
    self.role = daemon_role::rank_agent;
    self.zone = agent.settings.zone;
    self.started =
        static_cast<std::uint64_t>(wall_now(agent.loop.clock).time_since_epoch().count());
    configure_registrars(agent.subscriber, seed_peers(agent.settings), loop_now(agent.loop));
    BOOST_OUTCOME_TRY(
        link, peer_link::open(agent.loop.context, self.address,
                              [&agent](peer_message message) { on_message(agent, message); }));
    agent.link = link;
    BOOST_OUTCOME_TRY(metrics, open_metrics(agent.loop, agent.settings, agent.metrics));
    agent.metrics_listener = metrics;
    handle_signals(
        agent.loop,
        [&agent] {
            log_event(events::process_stopping, {{"in_flight", 0}});
            agent.loop.context.stop();
        },
        [&agent] { reload(agent); });
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
