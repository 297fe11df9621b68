#include "gateway.h"

#include "choiceexplain.h"
#include "directorywire.h"
#include "peeraddress.h"
#include "platform/callheaders.h"
#include "platform/operatorconfig.h"
#include "subset.h"

#include <algorithm>
#include <chrono>

namespace fireflycrank {

namespace {

constexpr std::chrono::milliseconds sweep_period{30};
constexpr std::chrono::milliseconds sync_period{100};
constexpr std::chrono::milliseconds housekeeping_period{1'000};
// If a registrar does not send the configuration that it announced within this time, another one is
// asked.
constexpr std::chrono::milliseconds config_reply_timeout{250};
// If no registrar confirms its view within this time, a started gateway serves with the newest
// configuration and evacuations it has received, because the registrars may lack a majority for
// much longer.
constexpr std::chrono::milliseconds max_confirmation_wait{4'000};
// Time to live of a directory answer. Short, so that callers soon leave a VM that stopped; some
// callers keep answers three times as long.
constexpr std::chrono::seconds max_directory_ttl{2};
constexpr std::size_t max_directory_addresses = 64;
constexpr unsigned ok_status = 200;
constexpr unsigned not_found = 404;
constexpr unsigned unavailable = 503;

// A gateway with its listeners and its settings source.
struct gateway_daemon {
    gateway_daemon(vm_settings settings, settings_source read)
        : state{std::move(settings)}, read_settings{std::move(read)} {}

    gateway state;
    settings_source read_settings;
    std::shared_ptr<http_listener> callers;
    std::shared_ptr<http_listener> readiness;
    std::shared_ptr<http_listener> directory;
    std::shared_ptr<http_listener> metrics;
};

bool is_ready(gateway const& owner) {
    return !owner.stop && owner.config != nullptr && owner.config_confirmed;
}

void update_readiness(gateway& owner) {
    bool const ready = is_ready(owner);
    if (ready == owner.subscriber.self.ready) {
        return;
    }
    owner.subscriber.self.ready = ready;
    ++owner.subscriber.self.edition;
    log_bounded(owner.loop, events::gateway_readiness,
                {{"ready", ready},
                 {"stopping", owner.stop.has_value()},
                 {"version", owner.config ? owner.config->version : 0},
                 {"targets", owner.targets.size()}});
    send_beats(owner.loop, *owner.link, owner.subscriber, owner.attached, true);
}

// Whether a route sends to a service.
bool is_used(service_config const& config, std::string const& route, std::string const& service) {
    return std::any_of(config.routes.begin(), config.routes.end(), [&](call_route const& one) {
        return one.name == route &&
               std::any_of(one.services.begin(), one.services.end(),
                           [&](auto const& target) { return target.service == service; });
    });
}

void install_config(gateway& owner, configuration_body const& body, std::string const& from) {
    if (owner.config != nullptr && body.version <= owner.config->version) {
        return;
    }
    auto decoded = platform::decode_compressed_configuration(body.packed);
    auto const checked = decoded ? index_config(decoded.value()) : ok();
    if (!decoded || !checked) {
        log_bounded(owner.loop, events::configuration_unreadable,
                    {{"version", body.version},
                     {"from", from},
                     {"error", describe(decoded ? checked.error() : decoded.error())}});
        return;
    }
    log_bounded(owner.loop, events::configuration_in_force,
                {{"version", body.version},
                 {"before", owner.config ? owner.config->version : 0},
                 {"from", from},
                 {"routes", decoded.value().routes.size()}});
    owner.config = std::make_shared<service_config const>(std::move(decoded).value());
    owner.pass_needs = pass_requirements_of(*owner.config);
    for (auto& [service, needs] : owner.pass_needs) {
        needs.urgent_routes = needs.urgent_routes && owner.settings.policies.guard_urgent;
    }
    refresh_cold_targets(owner);
    if (owner.settings.policies.weigh_prompts) {
        owner.prompt_readings = prompt_readings_of(*owner.config, owner.prompt_readings);
    }
    std::erase_if(owner.run_history, [&](auto const& entry) {
        auto const& [name, service] = entry.first;
        return !is_used(*owner.config, name, service);
    });
}

// Whether some service declares cold targets. Only for these are groups limited before they are
// known; see startlimit.h.
bool has_cold_targets(gateway const& owner) {
    return owner.config != nullptr &&
           std::any_of(owner.config->services.begin(), owner.config->services.end(),
                       [](served_service const& service) {
                           return service.cold_rate > 0 || service.cold_time > duration::zero();
                       });
}

void confirm_config(gateway& owner) {
    if (owner.config == nullptr || owner.config_confirmed) {
        return;
    }
    auto const now = loop_now(owner.loop);
    bool const waited_enough = now - owner.started_at > max_confirmation_wait;
    bool confirmed = waited_enough;
    std::uint64_t newest = 0;
    for (auto const& [address, contact] : owner.subscriber.registrars) {
        newest = std::max(newest, contact.config_version);
        confirmed =
            confirmed || (contact.confirmed && contact.config_version <= owner.config->version);
    }
    owner.config_confirmed = confirmed && newest <= owner.config->version &&
                             knows_evacuations(owner.subscriber, waited_enough);
    if (owner.config_confirmed) {
        if (has_cold_targets(owner)) {
            update_groups(owner); // so that the calls that waited find the limits
        }
        resume_calls(owner);
    }
}

void request_config(gateway& owner) {
    auto const have = owner.config == nullptr ? 0 : owner.config->version;
    auto const now = loop_now(owner.loop);
    auto const source = configuration_source(owner.subscriber, have, now);
    if (!source) {
        return;
    }
    auto const announced = owner.subscriber.registrars.at(*source).config_version;
    if (owner.requested_config_version >= announced &&
        now - owner.config_requested_at < config_reply_timeout) {
        return;
    }
    owner.requested_config_version = announced;
    owner.config_requested_at = now;
    owner.link->send(*source, configuration_request_type, serialize_configuration_request(have));
}

// Copies the announcements from the directory to the views of the targets. The view of a new
// incarnation starts without history.
void sync_views(gateway& owner) {
    for (auto const& [id, record] : owner.directory.targets) {
        auto& view = owner.targets[id];
        bool const is_new = view.announcement.id.empty() ||
                            view.announcement.started_at != record.announcement.started_at;
        if (is_new || view.announcement.state != record.announcement.state) {
            log_bounded(owner.loop, events::target_changed,
                        {{"target", id},
                         {"service", record.announcement.service},
                         {"address", record.announcement.address},
                         {"condition", static_cast<int>(record.announcement.state)},
                         {"sequence", record.announcement.sequence},
                         {"born", record.announcement.started_at.time_since_epoch().count()}});
        }
        if (is_new) {
            auto const running = view.own_in_flight;
            auto sends = std::move(view.cold.sends);
            view = {};
            view.own_in_flight = running;
            view.cold.sends = std::move(sends);
        }
        bool const says_anew = is_new || view.announcement.sequence != record.announcement.sequence;
        bool const refused_as_gone = !is_new && view.announcement.state == target_phase::departed;
        view.announcement = record.announcement;
        view.announcement.state =
            refused_as_gone ? target_phase::departed : record.announcement.state;
        view.last_heard = record.last_heard;
        if (is_new) {
            view.cold.first_seen = loop_now(owner.loop);
            view.cold.age_when_seen = age_when_seen(owner, view);
        }
        if (says_anew) {
            record_cold(view.cold, record.announcement.warm_up_left, loop_now(owner.loop));
            refresh_cold_target(owner, view);
        }
    }
    std::erase_if(owner.targets, [&](auto const& entry) {
        return !owner.directory.targets.contains(entry.first) && entry.second.own_in_flight == 0;
    });
}

// Chooses the targets of each service that this gateway prefers. Each gateway prefers a different
// subset.
void follow_targets(gateway& owner) {
    // With a smaller subset, a gateway would depend on few targets; with a larger one, too many
    // gateways would send to a target that has become free before its next report.
    constexpr subset_options options{8, 3, 1.0};
    std::vector<subset_node> gateways{{owner.subscriber.self.address, owner.settings.zone}};
    for (auto const& [address, entry] :
         listed_daemons(owner.subscriber, daemon_role::gateway, loop_now(owner.loop))) {
        if (address != owner.subscriber.self.address) {
            gateways.push_back({address, entry.zone});
        }
    }
    std::map<std::string, std::vector<subset_node>> targets;
    for (auto const& [id, view] : owner.targets) {
        if (view.announcement.state == target_phase::ready) {
            targets[view.announcement.service].push_back({id, view.announcement.zone});
        }
    }
    owner.followed.clear();
    for (auto const& [service, nodes] : targets) {
        owner.followed[service] = choose_subset(gateways.front(), gateways, nodes, options);
    }
}

void note_evacuations(gateway& owner, std::string const& from) {
    auto const& list = owner.subscriber.evacuations;
    log_bounded(owner.loop, events::evacuations_in_force,
                {{"revision", list.revision}, {"zones", joined_zones(list)}, {"from", from}});
    recheck_access(owner);
}

void on_update(gateway& owner, std::string const& from, directory_update const& update) {
    auto const now = loop_now(owner.loop);
    auto const evacuations_before = owner.subscriber.evacuations.revision;
    take_update(owner.subscriber, from, update, now);
    for (auto const& said : update.targets) {
        apply_announcement(owner.directory, said, announcement_source::peer, now);
    }
    refresh_heard(owner.directory, owner.subscriber.settings, update, now);
    sync_views(owner);
    record_replaced_targets(owner);
    if (update.suspects) {
        handle_suspect_list(owner, from, *update.suspects);
    }
    if (owner.subscriber.evacuations.revision != evacuations_before) {
        note_evacuations(owner, from);
    }
    request_config(owner);
    confirm_config(owner);
    update_readiness(owner);
}

// Asks the agent of a followed target for frequent load reports.
void send_follow(gateway& owner, std::string const& agent, std::string const& target) {
    constexpr std::chrono::seconds period{1};
    auto const view = owner.targets.find(target);
    if (view == owner.targets.end()) {
        return;
    }
    auto const list = owner.followed.find(view->second.announcement.service);
    bool const follows = list != owner.followed.end() &&
                         std::binary_search(list->second.begin(), list->second.end(), target);
    auto const now = loop_now(owner.loop);
    auto const last_sent = owner.follow_sent_at.find(agent);
    if (!follows || (last_sent != owner.follow_sent_at.end() && now - last_sent->second < period)) {
        return;
    }
    owner.follow_sent_at[agent] = now;
    owner.link->send_datagram(agent, follow_type, {});
}

void on_message(gateway& owner, peer_message const& message) {
    if (message.type == update_type) {
        if (auto const update = parse_update(message.body)) {
            on_update(owner, message.sender, update.value());
            return;
        }
    } else if (message.type == configuration_body_type) {
        if (auto const body = parse_configuration(message.body)) {
            install_config(owner, body.value(), message.sender);
            confirm_config(owner);
            update_readiness(owner);
            return;
        }
    } else if (message.type == crash_recorded_type) {
        if (auto const number = parse_recorded(message.body)) {
            acknowledge_report(owner.crashes, number.value());
            return;
        }
    } else if (message.type == engine_load_type) {
        if (auto const report = parse_engine_load(message.body)) {
            apply_engine_load(owner, report.value());
            send_follow(owner, message.sender, report.value().target_id);
            return;
        }
    }
    log_bounded(owner.loop, events::message_malformed,
                {{"type", message.type}, {"sender", message.sender}});
}

std::vector<std::string> caller_addresses(gateway const& owner, std::string const& region) {
    std::vector<daemon_entry> ready;
    for (auto const& [address, entry] :
         listed_daemons(owner.subscriber, daemon_role::gateway, loop_now(owner.loop))) {
        if (entry.ready && address != owner.subscriber.self.address) {
            ready.push_back(entry);
        }
    }
    if (is_ready(owner)) {
        ready.push_back(owner.subscriber.self);
    }
    return choose_gateways(ready, region, owner.settings.zone_regions, max_directory_addresses);
}

void serve_directory(gateway& owner, incoming_request const& request, response_writer& writer) {
    auto const wanted = platform::decode_resolve_request(request.head);
    if (!wanted) {
        writer.send(not_found, {}, {});
        return;
    }
    auto const addresses = caller_addresses(owner, wanted->region);
    if (addresses.empty()) {
        writer.send(unavailable, {}, {});
        return;
    }
    auto const ttl = std::min(max_directory_ttl, std::chrono::duration_cast<std::chrono::seconds>(
                                                     owner.settings.bounds.directory_life));
    send_json(writer, ok_status, platform::encode_resolve_response(addresses, ttl));
}

void serve_readiness(gateway const& owner, incoming_request const& request,
                     response_writer& writer) {
    if (!platform::is_readiness_request(request.head)) {
        writer.send(not_found, {}, {});
        return;
    }
    writer.send(is_ready(owner) ? ok_status : unavailable, {}, {});
}

listener_limits limits_of(gateway const& owner) {
    if (owner.config == nullptr) {
        return {};
    }
    auto const& limits = owner.config->limits;
    return {limits.header_bytes, limits.body_bytes, limits.header_timeout, limits.idle_timeout};
}

void reload(gateway_daemon& daemon) {
    auto new_settings = daemon.read_settings();
    if (!new_settings) {
        log_event(events::settings_refused, {{"error", describe(new_settings.error())}});
        return;
    }
    auto& owner = daemon.state;
    owner.settings.seeds = new_settings.value().seeds;
    owner.settings.bounds = new_settings.value().bounds;
    owner.settings.policies = new_settings.value().policies;
    configure_registrars(owner.subscriber, seed_peers(owner.settings), loop_now(owner.loop));
    log_event(events::settings_reloaded, {{"seeds", owner.settings.seeds.size()}});
}

void begin_stop(gateway_daemon& daemon) {
    auto& owner = daemon.state;
    if (owner.stop) {
        return;
    }
    auto const now = loop_now(owner.loop);
    owner.stop = plan_stop(now, owner.settings.bounds.grace);
    log_event(events::process_stopping, {{"in_flight", owner.calls.size()}});
    update_readiness(owner);
    daemon.callers->close_after_responses();
}

void log_stop_end(gateway const& owner, std::size_t connections) {
    log_event(events::gateway_stop_ended,
              {{"stopping_ms", in_millis(loop_now(owner.loop) - owner.stop->begun)},
               {"calls", owner.calls.size()},
               {"connections", connections}});
}

// Stops the loop once no more callers are accepted and all calls have ended, or when the grace
// period is nearly over and the last answers are written. Returns whether the gateway keeps
// running.
bool check_stop(gateway_daemon& daemon) {
    auto& owner = daemon.state;
    if (!owner.stop) {
        return true;
    }
    auto const now = loop_now(owner.loop);
    if (now > owner.stop->accept_until) {
        daemon.callers->stop_accepting();
        daemon.callers->close_idle(reuse_time);
    }
    auto const connections = daemon.callers->active_connections();
    bool const idle = owner.calls.empty() && connections == 0;
    switch (next_stop_step(*owner.stop, now, idle, owner.cut_off_at)) {
    case stop_step::wait:
        return true;
    case stop_step::cut_off:
        log_stop_end(owner, connections);
        owner.cut_off_at = now;
        cut_off_calls(owner);
        return true;
    case stop_step::exit:
        break;
    }
    if (!owner.cut_off_at) {
        log_stop_end(owner, connections);
    }
    owner.loop.context.stop();
    return false;
}

result<void> open_listeners(gateway_daemon& daemon) {
    auto& owner = daemon.state;
    auto& context = owner.loop.context;
    auto const& listen = owner.settings.listen;
    limit_outsiders(owner.loop, owner.settings);
    BOOST_OUTCOME_TRY(link, peer_link::open(context, owner.subscriber.self.address,
                                            [&owner](peer_message const& message) {
                                                on_message(owner, message);
                                            }));
    owner.link = link;
    BOOST_OUTCOME_TRY(
        callers, http_listener::open(
                     context, listen.callers, owner.loop.clock,
                     [&owner](incoming_request request, std::shared_ptr<response_writer> writer) {
                         serve_call(owner, std::move(request), std::move(writer));
                     },
                     owner.loop.admission));
    daemon.callers = callers;
    if (!listen.readiness.empty()) {
        BOOST_OUTCOME_TRY(readiness, http_listener::open(
                                         context, listen.readiness, owner.loop.clock,
                                         [&owner](incoming_request const& request,
                                                  std::shared_ptr<response_writer> const& out) {
                                             serve_readiness(owner, request, *out);
                                         },
                                         owner.loop.admission));
        daemon.readiness = readiness;
    }
    if (!listen.directory.empty()) {
        BOOST_OUTCOME_TRY(directory, http_listener::open(
                                         context, listen.directory, owner.loop.clock,
                                         [&owner](incoming_request const& request,
                                                  std::shared_ptr<response_writer> const& out) {
                                             serve_directory(owner, request, *out);
                                         },
                                         owner.loop.admission));
        daemon.directory = directory;
    }
    auto const explain = [&owner](incoming_request const& request,
                                  std::shared_ptr<response_writer> const& out) {
        if (request.head.target == explanation_path) {
            serve_explanation(owner, request, *out);
        } else {
            out->send(not_found, {}, {});
        }
    };
    BOOST_OUTCOME_TRY(metrics, open_metrics(owner.loop, owner.settings, owner.metrics, explain));
    daemon.metrics = metrics;
    return ok();
}

void publish_groups(gateway& owner) {
    for (auto const& [name, group] : owner.groups) {
        auto const labels = "group=\"" + name + "\"";
        set_gauge(*owner.metrics, "fireflycrank_group_streams", labels, group.streams.running);
        set_gauge(*owner.metrics, "fireflycrank_group_stream_limit", labels, group.limit);
        set_gauge(*owner.metrics, "fireflycrank_own_streams", labels, group.streams.own);
        set_gauge(*owner.metrics, "fireflycrank_own_stream_limit", labels, group.own_limit);
    }
}

void start_periodic_work(gateway_daemon& daemon) {
    auto& owner = daemon.state;
    run_every(owner.loop, sweep_period, [&daemon, &owner] {
        update_groups(owner);
        sweep_calls(owner);
        owner.pool.expire_connections();
        return check_stop(daemon);
    });
    run_every(owner.loop, sync_period, [&daemon, &owner] {
        owner.link->tick();
        send_beats(owner.loop, *owner.link, owner.subscriber, owner.attached, false);
        send_crash_reports(owner);
        owner.retry_share.gateways =
            sharing_gateways(owner.gateway_counts, owner.subscriber, loop_now(owner.loop));
        refresh_cold_targets(owner);
        record_census(owner.census, owner.retry_share.gateways, loop_now(owner.loop));
        confirm_config(owner);
        update_readiness(owner);
        daemon.callers->set_limits(limits_of(owner));
        daemon.callers->enforce_timeouts();
        return true;
    });
    run_every(owner.loop, housekeeping_period, [&daemon, &owner] {
        remove_expired(owner.directory, {}, loop_now(owner.loop));
        drop_expired(owner.crashes.lost, owner.crashes.settings.lost, loop_now(owner.loop));
        sync_views(owner);
        follow_targets(owner);
        refresh_outages(owner);
        std::erase_if(owner.follow_sent_at, [&](auto const& last_sent) {
            return loop_now(owner.loop) - last_sent.second > owner.target_selection.report_ttl;
        });
        for (auto const& listener : {daemon.readiness, daemon.directory, daemon.metrics}) {
            if (listener) {
                listener->enforce_timeouts();
            }
        }
        auto const& pool = owner.pool.counters();
        set_gauge(*owner.metrics, "fireflycrank_target_connections_opened", "",
                  static_cast<double>(pool.opened));
        set_gauge(*owner.metrics, "fireflycrank_target_connections_reused", "",
                  static_cast<double>(pool.reused));
        set_gauge(*owner.metrics, "fireflycrank_calls_open", "",
                  static_cast<double>(owner.calls.size()));
        set_gauge(*owner.metrics, "fireflycrank_evacuated_zones", "",
                  static_cast<double>(owner.subscriber.evacuations.zones.size()));
        publish_groups(owner);
        publish_cold_targets(owner);
        report_outsiders(owner.loop, *owner.metrics);
        return true;
    });
}

} // namespace

gateway::gateway(vm_settings configured)
    : settings{std::move(configured)}
    , pool{loop.context, loop.clock}
    , metrics{make_metrics()}
    , random{random_seed()} {
    subscriber.self.address = peer_address(settings, settings.ip);
    subscriber.self.role = daemon_role::gateway;
    subscriber.self.zone = settings.zone;
    subscriber.self.client_address = settings.listen.callers;
    subscriber.self.started =
        static_cast<std::uint64_t>(wall_now(loop.clock).time_since_epoch().count());
    shared_retry_limits.ratio = settings.bounds.retry_ratio;
    shared_retry_limits.allowance = settings.bounds.retry_allowance;
    shared_retry_limits.window = settings.bounds.retry_window;
    started_at = loop_now(loop);
    retry_share.process_started = started_at;
    census.changed_at = started_at;
    // A process makes fewer reports per millisecond, so the next process starts at higher numbers.
    constexpr std::uint64_t reports_per_ms = 1'000;
    crashes.last_report_number = subscriber.self.started * reports_per_ms;
}

void apply_engine_load(gateway& owner, engine_load const& report) {
    auto const found = owner.targets.find(report.target_id);
    if (found == owner.targets.end() ||
        found->second.announcement.started_at != report.started_at) {
        return;
    }
    auto& view = found->second;
    auto const now = loop_now(owner.loop);
    view.responsive = report.responsive;
    if (!report.responsive) {
        return;
    }
    record_report(view, now);
    note_cold_target(owner, view, report.cold_left);
    view.load = load_sample{
        now, report.running, report.waiting, view.own_in_flight, report.slowdown, report.pass_time};
    if (!report.group.empty()) {
        view.group = group_membership{report.group,      report.epoch, report.rank,
                                      report.group_open, now,          report.group_size};
    }
    bool const unlimited = view.group && !owner.groups.contains(view.group->name);
    if (unlimited && has_cold_targets(owner) &&
        owner.pass_needs.contains(view.announcement.service)) {
        update_groups(owner);
    }
    if (!owner.queued_calls.empty()) {
        admit_calls(owner);
    }
}

void refresh_outages(gateway& owner) {
    auto const now = loop_now(owner.loop);
    access_rules access;
    access.evacuated_zones = &owner.subscriber.evacuations.zones;
    target_filter filter;
    filter.access = &access;
    for (auto& [service, outage] : owner.outages) {
        if (outage.since) {
            auto const choice = choose_target(owner.targets, service, owner.settings.zone, filter,
                                              owner.target_selection, owner.random, now);
            update_outage(outage, is_usable(choice), now);
        }
    }
}

result<void> run_gateway(settings_source const& read_settings, std::string const& settings_path) {
    BOOST_OUTCOME_TRY(settings, read_settings());
    gateway_daemon daemon{std::move(settings), read_settings};
    auto& owner = daemon.state;
    configure_registrars(owner.subscriber, seed_peers(owner.settings), loop_now(owner.loop));
    handle_signals(
        owner.loop, [&daemon] { begin_stop(daemon); }, [&daemon] { reload(daemon); });
    BOOST_OUTCOME_TRYV(open_listeners(daemon));
    watch_file(owner.loop, settings_path, [&daemon] { reload(daemon); });
    start_periodic_work(daemon);
    send_beats(owner.loop, *owner.link, owner.subscriber, owner.attached, true);
    log_event(events::process_started, {{"role", "gateway"},
                                        {"process", owner.settings.name},
                                        {"incarnation", owner.subscriber.self.started}});
    owner.loop.context.run();
    log_event(events::process_stopped, {});
    return ok();
}

} // namespace fireflycrank
