#include "entryd.h"

#include "addresses.h"
#include "cachewire.h"
#include "claimwire.h"
#include "daemonbase.h"
#include "digest.h"
#include "entrycore.h"
#include "http.h"
#include "loadreport.h"
#include "membershipwire.h"
#include "runtime.h"
#include "settings.h"
#include "subset.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace fireflycrank {

namespace {

constexpr duration membership_period = std::chrono::milliseconds{200};
constexpr duration core_period = std::chrono::milliseconds{20};
constexpr duration subset_period = std::chrono::seconds{1};
// Each entry reads once in a period; 400 entries ask the control leader 200 times per second.
constexpr duration quarantine_period = std::chrono::seconds{2};
constexpr duration claim_timeout = std::chrono::milliseconds{900};
constexpr duration quarantine_read_timeout = std::chrono::seconds{2};
constexpr duration crash_report_timeout = std::chrono::seconds{30};
constexpr std::size_t max_body_bytes = 16U << 20U;
constexpr int ok_status = 200;
constexpr int not_found_status = 404;
constexpr int method_status = 405;
constexpr int unavailable_status = 503;

// State shared by the daemon's threads. `mutex` guards all of it but the parts with their own locks
// (runtime, mailbox, metrics, responses).
struct entry_daemon {
    explicit entry_daemon(process_config configured)
        : settings{std::move(configured)}, worker_pool{settings.workers} {}

    process_config settings;
    runtime worker_pool;
    std::shared_ptr<metrics_registry> metrics = make_metrics();
    std::shared_ptr<mailbox> mailbox_ptr;
    std::shared_ptr<http_server> server;

    std::mutex mutex;
    std::condition_variable drained;
    entry_core core;
    fleet fleet_view;
    load_reader loads;
    std::map<std::string, std::shared_ptr<http_response>> responses; ///< by request id
    std::map<std::string, std::uint64_t> incarnations;               ///< of live targets, by name
    std::string quarantine_read; ///< call id of the pending read of the quarantine table
};

time_point clock_now(entry_daemon& daemon) {
    return now(daemon.worker_pool.clock());
}
wall_time clock_wall(entry_daemon& daemon) {
    return wall_now(daemon.worker_pool.clock());
}

void perform(entry_daemon& daemon, entry_actions const& actions);

// Writes a part of a streamed response. A failed write shows that the caller has disconnected.
void perform_stream(entry_daemon& daemon, stream_response const& response_part) {
    auto const found = daemon.responses.find(response_part.request);
    if (found == daemon.responses.end()) {
        return;
    }
    std::shared_ptr<http_response> const response = found->second;
    switch (response_part.part) {
    case stream_part::start:
        response->start(response_part.status, response_part.headers);
        break;
    case stream_part::bytes:
        if (!response->write(response_part.bytes)) {
            daemon.responses.erase(response_part.request);
            daemon.worker_pool.post([&daemon, id = response_part.request] {
                std::lock_guard const lock{daemon.mutex};
                perform(daemon, on_caller_disconnected(daemon.core, id, clock_now(daemon),
                                                       clock_wall(daemon)));
            });
        }
        break;
    case stream_part::finish:
        response->finish();
        daemon.responses.erase(response_part.request);
        break;
    case stream_part::abort:
        response->abort();
        daemon.responses.erase(response_part.request);
        break;
    }
}

void perform_answer(entry_daemon& daemon, send_response const& answer) {
    auto const found = daemon.responses.find(answer.request);
    if (found == daemon.responses.end()) {
        return;
    }
    found->second->send(answer.status, answer.headers, answer.body);
    daemon.responses.erase(found);
}

void count_request(entry_daemon& daemon, request_finished const& finished) {
    std::string const labels = "route=\"" + finished.route + "\",team=\"" + finished.team +
                               "\",outcome=\"" + name_of(finished.outcome) + "\"";
    count(*daemon.metrics, "fireflycrank_requests_total", labels);
    observe(*daemon.metrics, "fireflycrank_request_seconds", "route=\"" + finished.route + "\"",
            std::chrono::duration<double>(finished.took).count());
    if (finished.attempts > 1) {
        count(*daemon.metrics, "fireflycrank_repeated_attempts_total",
              "route=\"" + finished.route + "\"", finished.attempts - 1);
    }
}

void send_claim_command(entry_daemon& daemon, claim_command const& command) {
    publish_news(*daemon.mailbox_ptr,
                 ask_control(daemon.fleet_view,
                             {command.id, "claim", encode_claim_command(command), false},
                             claim_timeout, clock_now(daemon)));
}

void send_quarantine_command(entry_daemon& daemon, quarantine_command const& command) {
    publish_news(*daemon.mailbox_ptr, ask_control(daemon.fleet_view,
                                                  {next_call_id(daemon.fleet_view), "quarantine",
                                                   encode_quarantine_command(command), false},
                                                  crash_report_timeout, clock_now(daemon)));
}

// Performs actions. The daemon's mutex must be held.
void perform(entry_daemon& daemon, entry_actions const& actions) {
    for (entry_action const& action : actions) {
        if (auto const* agent = std::get_if<send_to_agent>(&action)) {
            encoded_message const message = encode(agent->message);
            daemon.mailbox_ptr->send(agent->address, message.type, message.body);
        } else if (auto const* listing = std::get_if<request_cache_listing>(&action)) {
            daemon.mailbox_ptr->send(listing->address, cache_listing_type,
                                     encode(cache_listing_request{daemon.settings.name}));
        } else if (auto const* claim = std::get_if<send_claim>(&action)) {
            send_claim_command(daemon, claim->command);
        } else if (auto const* crash = std::get_if<send_quarantine>(&action)) {
            send_quarantine_command(daemon, crash->command);
        } else if (auto const* answer = std::get_if<send_response>(&action)) {
            perform_answer(daemon, *answer);
        } else if (auto const* stream = std::get_if<stream_response>(&action)) {
            perform_stream(daemon, *stream);
        } else if (auto const* line = std::get_if<write_log>(&action)) {
            log_event(*line->kind, line->fields);
        } else if (auto const* finished = std::get_if<request_finished>(&action)) {
            count_request(daemon, *finished);
        }
    }
}

target_info info_of(member_record const& member) {
    target_info info;
    info.name = member.name;
    info.incarnation = member.incarnation;
    info.address = member.address;
    info.zone = member.zone;
    info.serves = member.serves;
    info.leaving = member.leaving;
    return info;
}

bool is_planned_stop(entry_daemon const& daemon, std::string const& name) {
    return daemon.core.configuration.stops.contains(name);
}

void remove_target(entry_daemon& daemon, std::string const& name, std::uint64_t incarnation) {
    perform(daemon,
            on_target_lost(daemon.core, name, incarnation, clock_now(daemon), clock_wall(daemon)));
}

// Updates the route table from an agent's membership record. A new incarnation implies that the old
// one is dead.
void update_agent(entry_daemon& daemon, member_record const& member) {
    auto const known = daemon.incarnations.find(member.name);
    bool const present =
        member.health == member_health::alive || member.health == member_health::suspect;
    bool const restarted =
        known != daemon.incarnations.end() && known->second != member.incarnation;
    if (known != daemon.incarnations.end() && (!present || restarted)) {
        std::uint64_t const old = known->second;
        daemon.incarnations.erase(known);
        remove_target(daemon, member.name, old);
    }
    if (!present) {
        return;
    }
    target_info info = info_of(member);
    info.leaving |= is_planned_stop(daemon, member.name);
    daemon.incarnations[member.name] = member.incarnation;
    on_target_update(daemon.core, info, member.health == member_health::suspect, clock_now(daemon));
    if (restarted) {
        start_warm_up(daemon.core.routing, find_target(daemon.core.routing, member.name),
                      clock_now(daemon));
    }
}

// Parses the configuration in force and applies it.
void apply_settings(entry_daemon& daemon) {
    auto const files = files_in_force(daemon.fleet_view, clock_now(daemon));
    if (files.empty()) {
        return;
    }
    auto const configuration = parse_config(files);
    if (!configuration) {
        log_event(events::config_unreadable, {{"error", describe(configuration.error())}});
        return;
    }
    daemon.fleet_view.configuration.options.stale_serving_limit =
        configuration.value().limits.stale_serving_limit;
    apply_config(daemon.core, configuration.value(),
                 daemon.fleet_view.configuration.ident.revision);
    for (member_record const* agent :
         present_members(daemon.fleet_view.members, member_role::agent)) {
        update_agent(daemon, *agent);
    }
    bool const leaving = is_planned_stop(daemon, daemon.settings.name);
    if (leaving && daemon.core.drain.phase == drain_phase::serving) {
        leave_entry(daemon.core.drain, clock_now(daemon));
        fleet_news news;
        take_membership(daemon.fleet_view, set_leaving(daemon.fleet_view.members, true), news,
                        clock_now(daemon));
        publish_news(*daemon.mailbox_ptr, news);
    }
}

void apply_quarantine_reply(entry_daemon& daemon, std::optional<control_reply> const& reply) {
    daemon.quarantine_read.clear();
    if (!reply || !reply->accepted) {
        return;
    }
    auto table = parse_quarantine(reply->reply, daemon.core.quarantine.limits);
    if (!table) {
        return;
    }
    if (table.value().entries.size() != daemon.core.quarantine.entries.size()) {
        log_event(events::quarantine_updated, {{"entries", table.value().entries.size()}});
    }
    daemon.core.quarantine = std::move(table.value());
}

void handle_control_reply(entry_daemon& daemon, std::string const& id,
                          std::optional<control_reply> const& reply) {
    if (id == daemon.quarantine_read) {
        apply_quarantine_reply(daemon, reply);
        return;
    }
    std::optional<claim_reply> answer;
    if (reply && reply->accepted) {
        if (auto decoded = decode_claim_reply(reply->reply)) {
            answer = std::move(decoded.value());
        }
    }
    if (!answer) {
        log_event(events::order_claim_lost,
                  {{"command", id}, {"reason", reply ? reply->message : "no reply"}});
    }
    perform(daemon, on_claim_reply(daemon.core, id, answer, clock_now(daemon), clock_wall(daemon)));
}

void update_live_owners(entry_daemon& daemon) {
    daemon.core.live_owners.clear();
    for (member_record const* entry :
         present_members(daemon.fleet_view.members, member_role::entry)) {
        daemon.core.live_owners.insert(entry->name + "/" + std::to_string(entry->incarnation));
    }
}

void handle_fleet_news(entry_daemon& daemon, fleet_news const& news) {
    publish_news(*daemon.mailbox_ptr, news);
    for (member_change const& change : news.changes) {
        if (change.record.role == member_role::agent) {
            update_agent(daemon, change.record);
        } else if (change.record.role == member_role::entry) {
            update_live_owners(daemon);
        }
    }
    if (news.adopted) {
        apply_settings(daemon);
    }
    for (auto const& [id, reply] : news.replies) {
        handle_control_reply(daemon, id, reply);
    }
}

void handle_load_report(entry_daemon& daemon, inbound_message const& message) {
    auto const report = decode_load_report(message.body);
    if (!report || !load_received(daemon.loads, report.value(), clock_now(daemon))) {
        return;
    }
    load_view const& view = daemon.loads.views.at(report.value().target);
    on_target_load(daemon.core, report.value().target, view.incarnation,
                   {static_cast<std::uint32_t>(view.values.running),
                    static_cast<std::uint32_t>(view.values.queued), view.values.queued_work,
                    view.values.tokens_per_second, static_cast<std::uint32_t>(view.values.slots),
                    view.values.waiting_short, view.values.waiting_long},
                   view.measured_at);
}

void on_message(entry_daemon& daemon, inbound_message const& message) {
    std::lock_guard const lock{daemon.mutex};
    time_point const current_time = clock_now(daemon);
    if (auto const decoded = decode_for_entry(message.type, message.body)) {
        perform(daemon, on_agent_message(daemon.core, *decoded, current_time, clock_wall(daemon)));
        if (target_load const* load = load_in(*decoded)) {
            std::visit(
                [&daemon, load, current_time](auto const& received) {
                    on_target_load(daemon.core, received.id.target, received.id.incarnation, *load,
                                   current_time);
                },
                *decoded);
        }
        return;
    }
    if (message.type == load_report_type) {
        handle_load_report(daemon, message);
        return;
    }
    if (message.type == cache_news_type) {
        if (auto const cached = decode_cache_news(message.body)) {
            perform(daemon, on_cache_update(daemon.core, *cached, current_time));
        }
        return;
    }
    if (auto const news = receive_fleet(daemon.fleet_view, message, current_time)) {
        handle_fleet_news(daemon, *news);
        return;
    }
    log_event(events::message_malformed, {{"type", message.type}, {"sender", message.sender}});
}

// Subscribes to the load of this entry's subset of the targets of every pool (service or model).
void update_followed_targets(entry_daemon& daemon) {
    std::lock_guard const lock{daemon.mutex};
    time_point const current_time = clock_now(daemon);
    std::vector<subset_node> entries;
    for (member_record const* entry :
         present_members(daemon.fleet_view.members, member_role::entry)) {
        entries.push_back({entry->name, entry->zone});
    }
    std::map<std::string, std::vector<subset_node>> pools;
    std::map<std::string, member_record const*> agents;
    for (member_record const* agent :
         present_members(daemon.fleet_view.members, member_role::agent)) {
        agents[agent->name] = agent;
        for (std::string const& served : agent->serves) {
            pools[served].push_back({agent->name, agent->zone});
        }
    }
    std::map<std::string, load_target> followed;
    for (auto const& [served, targets] : pools) {
        for (std::string const& name :
             choose_subset({daemon.settings.name, daemon.settings.zone}, entries, targets)) {
            followed[name] = {name, agents[name]->address, agents[name]->incarnation};
        }
    }
    std::vector<load_target> subset;
    subset.reserve(followed.size());
    for (auto const& [name, target] : followed) {
        subset.push_back(target);
    }
    daemon.loads.cache_rate = cache_event_rate(subset.size());
    auto outgoing = follow(daemon.loads, subset, current_time);
    auto const due = follow_tick(daemon.loads, current_time);
    outgoing.insert(outgoing.end(), due.begin(), due.end());
    for (auto const& message : outgoing) {
        daemon.mailbox_ptr->send(message.address, load_subscribe_type, encode(message.message));
    }
}

void advance_drain(entry_daemon& daemon) {
    if (daemon.core.drain.phase == drain_phase::serving) {
        return;
    }
    drain_load load;
    load.in_flight = static_cast<std::uint32_t>(daemon.core.requests.size());
    if (step_entry(daemon.core.drain, load, clock_now(daemon)).may_exit) {
        daemon.drained.notify_all();
    }
}

void tick_membership(entry_daemon& daemon) {
    std::lock_guard const lock{daemon.mutex};
    time_point const current_time = clock_now(daemon);
    handle_fleet_news(daemon, tick_fleet(daemon.fleet_view, current_time));
    config_serving const state = serving_state(daemon.fleet_view.configuration, current_time);
    bool const may_serve = state == config_serving::current || state == config_serving::stale;
    if (may_serve && daemon.core.config_revision == 0) {
        apply_settings(daemon);
    }
    daemon.core.serving = may_serve && daemon.core.config_revision != 0;
    daemon.core.orders_possible = orders_allowed(daemon.fleet_view.configuration, current_time);
}

void tick_core(entry_daemon& daemon) {
    std::lock_guard const lock{daemon.mutex};
    time_point const current_time = clock_now(daemon);
    perform(daemon, on_entry_tick(daemon.core, current_time, clock_wall(daemon)));
    handle_fleet_news(daemon, tick_control_calls(daemon.fleet_view, current_time));
    advance_drain(daemon);
}

void read_quarantine(entry_daemon& daemon) {
    std::lock_guard const lock{daemon.mutex};
    if (!daemon.quarantine_read.empty()) {
        return;
    }
    daemon.quarantine_read = next_call_id(daemon.fleet_view);
    publish_news(*daemon.mailbox_ptr,
                 ask_control(daemon.fleet_view, {daemon.quarantine_read, "quarantine", "", true},
                             quarantine_read_timeout, clock_now(daemon)));
}

void send_addresses(entry_daemon& daemon, http_request const& request, http_response& response) {
    std::string body;
    {
        std::lock_guard const lock{daemon.mutex};
        auto const entries = present_members(daemon.fleet_view.members, member_role::entry);
        std::vector<member_record const*> published;
        for (member_record const* entry : entries) {
            if (!is_planned_stop(daemon, entry->name)) {
                published.push_back(entry);
            }
        }
        body = addresses_json(
            choose_addresses(published, daemon.settings.zone, request.remote_address),
            daemon.core.configuration.limits.address_ttl);
    }
    response.send(ok_status, {{"content-type", "application/json"}}, body);
}

void send_metrics(entry_daemon& daemon, http_response& response) {
    {
        std::lock_guard const lock{daemon.mutex};
        set_gauge(*daemon.metrics, "fireflycrank_requests_in_flight", "",
                  static_cast<double>(daemon.core.requests.size()));
        set_gauge(*daemon.metrics, "fireflycrank_config_revision", "",
                  static_cast<double>(daemon.core.config_revision));
        set_gauge(*daemon.metrics, "fireflycrank_serving", "", daemon.core.serving ? 1 : 0);
        set_gauge(*daemon.metrics, "fireflycrank_orders_possible", "",
                  daemon.core.orders_possible ? 1 : 0);
        set_gauge(*daemon.metrics, "fireflycrank_targets", "",
                  static_cast<double>(std::count_if(
                      daemon.core.routing.targets.begin(), daemon.core.routing.targets.end(),
                      [](target_state const& target) {
                          return target.in_use && !target.info.serves.empty();
                      })));
        set_gauge(*daemon.metrics, "fireflycrank_quarantined", "",
                  static_cast<double>(std::count_if(
                      daemon.core.quarantine.entries.begin(), daemon.core.quarantine.entries.end(),
                      [](auto const& entry) { return entry.second.quarantined; })));
        set_gauge(*daemon.metrics, "fireflycrank_prefix_entries", "",
                  static_cast<double>(daemon.core.cache_view.index.by_age.size()));
        set_gauge(*daemon.metrics, "fireflycrank_prefix_gaps", "",
                  static_cast<double>(daemon.core.cache_view.index.gaps));
        set_gauge(*daemon.metrics, "fireflycrank_members", "",
                  static_cast<double>(daemon.fleet_view.members.slots.size()));
    }
    export_mailbox_counters(*daemon.mailbox_ptr, *daemon.metrics);
    response.send(ok_status, {{"content-type", "text/plain; version=0.0.4"}},
                  render_metrics(*daemon.metrics));
}

void on_http(entry_daemon& daemon, http_request const& request,
             std::shared_ptr<http_response> const& response) {
    if (request.path == "/v1/addresses") {
        send_addresses(daemon, request, *response);
    } else if (request.path == "/metrics") {
        send_metrics(daemon, *response);
    } else if (request.path == "/healthz") {
        std::lock_guard const lock{daemon.mutex};
        response->send(daemon.core.serving ? ok_status : unavailable_status, {},
                       daemon.core.serving ? "serving\n" : "no confirmed configuration\n");
    } else if (!request.path.starts_with("/v1/routes/")) {
        response->send(
            not_found_status, {{"content-type", "application/json"}},
            R"({"outcome":"not_run","reason":"unknown_path","message":"post to /v1/routes/NAME"})"
            "\n");
    } else if (request.method != "POST") {
        response->send(method_status, {{"content-type", "application/json"}, {"allow", "POST"}},
                       R"({"outcome":"not_run","reason":"method","message":"use POST"})"
                       "\n");
    } else {
        std::lock_guard const lock{daemon.mutex};
        std::string id;
        auto const actions =
            on_caller_request(daemon.core, request, clock_now(daemon), clock_wall(daemon), id);
        daemon.responses[id] = response;
        perform(daemon, actions);
    }
}

void initialize(entry_daemon& daemon) {
    std::uint64_t const incarnation = make_incarnation(clock_wall(daemon));
    daemon.core.name = daemon.settings.name;
    daemon.core.incarnation = incarnation;
    daemon.core.random = rng{hash64(daemon.settings.name, incarnation)};
    daemon.core.routing.own_zone = daemon.settings.zone;
    daemon.loads.entry = daemon.settings.name;
    daemon.loads.incarnation = incarnation;
    daemon.fleet_view =
        start_fleet(daemon.settings, member_role::entry, {}, incarnation, clock_now(daemon));
    update_live_owners(daemon);
}

// Withdraws the entry's address, serves on for the time that callers may use it, and finishes the
// requests in flight.
void drain_entry(entry_daemon& daemon) {
    std::unique_lock lock{daemon.mutex};
    log_event(events::process_stopping, {{"in_flight", daemon.core.requests.size()}});
    leave_entry(daemon.core.drain, clock_now(daemon));
    fleet_news news;
    take_membership(daemon.fleet_view, set_leaving(daemon.fleet_view.members, true), news,
                    clock_now(daemon));
    publish_news(*daemon.mailbox_ptr, news);
    daemon.drained.wait(lock,
                        [&daemon] { return daemon.core.drain.phase == drain_phase::stopped; });
    fleet_news last;
    take_membership(daemon.fleet_view, depart(daemon.fleet_view.members), last, clock_now(daemon));
    publish_news(*daemon.mailbox_ptr, last);
}

} // namespace

result<daemon_state> run_entry(process_config const& settings) {
    auto const state = std::make_shared<entry_daemon>(settings);
    auto& daemon = *state;
    initialize(daemon);
    {
        // Handlers of messages that arrive before the mailbox is stored wait for the mutex.
        std::lock_guard const lock{daemon.mutex};
        BOOST_OUTCOME_TRY(mailbox_ptr, mailbox::open(settings.mailbox, daemon.worker_pool.clock(),
                                                     [&daemon](inbound_message const& message) {
                                                         on_message(daemon, message);
                                                     }));
        daemon.mailbox_ptr = mailbox_ptr;
    }
    BOOST_OUTCOME_TRY(server,
                      http_server::open(settings.http, max_body_bytes,
                                        [&daemon](http_request const& request,
                                                  std::shared_ptr<http_response> const& response) {
                                            on_http(daemon, request, response);
                                        }));
    daemon.server = server;
    log_event(
        events::process_started,
        {{"role", "entry"}, {"process", settings.name}, {"incarnation", daemon.core.incarnation}});
    daemon.worker_pool.every(core_period, [&daemon] { tick_core(daemon); });
    daemon.worker_pool.every(membership_period, [&daemon] { tick_membership(daemon); });
    daemon.worker_pool.every(subset_period, [&daemon] { update_followed_targets(daemon); });
    daemon.worker_pool.every(quarantine_period, [&daemon] { read_quarantine(daemon); });
    wait_for_stop_signal();
    drain_entry(daemon);
    constexpr std::chrono::milliseconds final_send_time{200}; // for the last messages to be sent
    std::this_thread::sleep_for(final_send_time);
    daemon.worker_pool.stop();
    daemon.server->close();
    daemon.mailbox_ptr->close();
    log_event(events::process_stopped, {});
    return daemon_state{state};
}

} // namespace fireflycrank
