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

constexpr duration fleet_period = std::chrono::milliseconds{200};
constexpr duration core_period = std::chrono::milliseconds{20};
constexpr duration subset_period = std::chrono::seconds{1};
// Two seconds keep the reads of 400 entries at 200 a second for the leader.
constexpr duration quarantine_period = std::chrono::seconds{2};
constexpr duration claim_patience = std::chrono::milliseconds{900};
constexpr duration quarantine_patience = std::chrono::seconds{2};
constexpr duration report_patience = std::chrono::seconds{30};
constexpr std::size_t max_body_bytes = 16U << 20U;
constexpr int ok_status = 200;
constexpr int not_found_status = 404;
constexpr int method_status = 405;
constexpr int unavailable_status = 503;

// Everything that the daemon's threads share. `mutex` guards all but the parts with locks of their
// own (runtime, mailbox, metrics, responses).
struct entry_daemon {
    explicit entry_daemon(process_config configured)
        : settings{std::move(configured)}, pool{settings.workers} {}

    process_config settings;
    runtime pool;
    std::shared_ptr<metrics_registry> metrics = make_metrics();
    std::shared_ptr<mailbox> box;
    std::shared_ptr<http_server> server;

    std::mutex mutex;
    std::condition_variable drained;
    entry_core core;
    fleet net;
    load_reader loads;
    std::map<std::string, std::shared_ptr<http_response>> responses; ///< by request
    std::map<std::string, std::uint64_t> incarnations; ///< of targets that are followed
    std::string quarantine_read; ///< id of the pending read of the quarantine table
};

time_point clock_now(entry_daemon& daemon) {
    return now(daemon.pool.clock());
}
wall_time clock_wall(entry_daemon& daemon) {
    return wall_now(daemon.pool.clock());
}

void perform(entry_daemon& daemon, entry_actions const& actions);

// Writes one step of a streamed answer; a caller that is gone is noticed by the failed write.
void perform_stream(entry_daemon& daemon, answer_stream const& step) {
    auto const found = daemon.responses.find(step.request);
    if (found == daemon.responses.end()) {
        return;
    }
    std::shared_ptr<http_response> const response = found->second;
    switch (step.step) {
    case stream_step::start:
        response->start(step.status, step.headers);
        break;
    case stream_step::bytes:
        if (!response->write(step.bytes)) {
            daemon.responses.erase(step.request);
            daemon.pool.post([&daemon, id = step.request] {
                std::lock_guard const lock{daemon.mutex};
                perform(daemon,
                        on_caller_gone(daemon.core, id, clock_now(daemon), clock_wall(daemon)));
            });
        }
        break;
    case stream_step::finish:
        response->finish();
        daemon.responses.erase(step.request);
        break;
    case stream_step::abort:
        response->abort();
        daemon.responses.erase(step.request);
        break;
    }
}

void perform_answer(entry_daemon& daemon, answer_whole const& answer) {
    auto const found = daemon.responses.find(answer.request);
    if (found == daemon.responses.end()) {
        return;
    }
    found->second->send(answer.status, answer.headers, answer.body);
    daemon.responses.erase(found);
}

void count_request(entry_daemon& daemon, request_over const& over) {
    std::string const labels = "route=\"" + over.route + "\",team=\"" + over.team +
                               "\",outcome=\"" + name_of(over.outcome) + "\"";
    count(*daemon.metrics, "fireflycrank_requests_total", labels);
    observe(*daemon.metrics, "fireflycrank_request_seconds", "route=\"" + over.route + "\"",
            std::chrono::duration<double>(over.took).count());
    if (over.attempts > 1) {
        count(*daemon.metrics, "fireflycrank_repeated_attempts_total",
              "route=\"" + over.route + "\"", over.attempts - 1);
    }
}

void send_claim_command(entry_daemon& daemon, claim_command const& command) {
    publish_news(*daemon.box,
                 ask_control(daemon.net,
                             {command.id, "claim", encode_claim_command(command), false},
                             claim_patience, clock_now(daemon)));
}

void send_quarantine_command(entry_daemon& daemon, quarantine_command const& command) {
    publish_news(*daemon.box, ask_control(daemon.net,
                                          {next_call_id(daemon.net), "quarantine",
                                           encode_quarantine_command(command), false},
                                          report_patience, clock_now(daemon)));
}

// Performs actions. Called with the daemon's mutex held.
void perform(entry_daemon& daemon, entry_actions const& actions) {
    for (entry_action const& action : actions) {
        if (auto const* agent = std::get_if<send_to_agent>(&action)) {
            encoded_message const message = encode(agent->message);
            daemon.box->send(agent->address, message.type, message.body);
        } else if (auto const* listing = std::get_if<ask_cache_listing>(&action)) {
            daemon.box->send(listing->address, cache_listing_type,
                             encode(cache_listing_request{daemon.settings.name}));
        } else if (auto const* claim = std::get_if<send_claim>(&action)) {
            send_claim_command(daemon, claim->command);
        } else if (auto const* crash = std::get_if<send_quarantine>(&action)) {
            send_quarantine_command(daemon, crash->command);
        } else if (auto const* answer = std::get_if<answer_whole>(&action)) {
            perform_answer(daemon, *answer);
        } else if (auto const* stream = std::get_if<answer_stream>(&action)) {
            perform_stream(daemon, *stream);
        } else if (auto const* line = std::get_if<write_log>(&action)) {
            log_event(*line->kind, line->fields);
        } else if (auto const* over = std::get_if<request_over>(&action)) {
            count_request(daemon, *over);
        }
    }
}

target_facts facts_of(member_record const& member) {
    target_facts facts;
    facts.name = member.name;
    facts.incarnation = member.incarnation;
    facts.address = member.address;
    facts.zone = member.zone;
    facts.serves = member.serves;
    facts.leaving = member.leaving;
    return facts;
}

bool is_planned_stop(entry_daemon const& daemon, std::string const& name) {
    return daemon.core.intent.stops.contains(name);
}

void lose_target(entry_daemon& daemon, std::string const& name, std::uint64_t incarnation) {
    perform(daemon,
            on_target_gone(daemon.core, name, incarnation, clock_now(daemon), clock_wall(daemon)));
}

// Brings one agent's record into the route table. A new incarnation means that the old one is dead.
void take_agent(entry_daemon& daemon, member_record const& member) {
    auto const known = daemon.incarnations.find(member.name);
    bool const present =
        member.health == member_health::alive || member.health == member_health::suspect;
    bool const restarted =
        known != daemon.incarnations.end() && known->second != member.incarnation;
    if (known != daemon.incarnations.end() && (!present || restarted)) {
        std::uint64_t const old = known->second;
        daemon.incarnations.erase(known);
        lose_target(daemon, member.name, old);
    }
    if (!present) {
        return;
    }
    target_facts facts = facts_of(member);
    facts.leaving |= is_planned_stop(daemon, member.name);
    daemon.incarnations[member.name] = member.incarnation;
    on_target_present(daemon.core, facts, member.health == member_health::suspect,
                      clock_now(daemon));
    if (restarted) {
        mark_warming(daemon.core.targets, find_target(daemon.core.targets, member.name),
                     clock_now(daemon));
    }
}

// Reads the settings in force and hands them to the decisions.
void adopt_settings(entry_daemon& daemon) {
    auto const files = files_in_force(daemon.net, clock_now(daemon));
    if (files.empty()) {
        return;
    }
    auto const intent = parse_config(files);
    if (!intent) {
        log_event(events::config_unreadable, {{"error", describe(intent.error())}});
        return;
    }
    daemon.net.configuration.options.stale_serving_limit =
        intent.value().limits.stale_serving_limit;
    adopt_config(daemon.core, intent.value(), daemon.net.configuration.ident.revision);
    for (member_record const* agent : present_members(daemon.net.members, member_role::agent)) {
        take_agent(daemon, *agent);
    }
    bool const leaving = is_planned_stop(daemon, daemon.settings.name);
    if (leaving && daemon.core.drain.phase == drain_phase::serving) {
        leave_entry(daemon.core.drain, clock_now(daemon));
        fleet_news news;
        take_membership(daemon.net, set_leaving(daemon.net.members, true), news, clock_now(daemon));
        publish_news(*daemon.box, news);
    }
}

void take_quarantine(entry_daemon& daemon, std::optional<control_reply> const& reply) {
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
        take_quarantine(daemon, reply);
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

void refresh_owners(entry_daemon& daemon) {
    daemon.core.live_owners.clear();
    for (member_record const* entry : present_members(daemon.net.members, member_role::entry)) {
        daemon.core.live_owners.insert(entry->name + "/" + std::to_string(entry->incarnation));
    }
}

void take_news(entry_daemon& daemon, fleet_news const& news) {
    publish_news(*daemon.box, news);
    for (member_change const& change : news.changes) {
        if (change.record.role == member_role::agent) {
            take_agent(daemon, change.record);
        } else if (change.record.role == member_role::entry) {
            refresh_owners(daemon);
        }
    }
    if (news.adopted) {
        adopt_settings(daemon);
    }
    for (auto const& [id, reply] : news.replies) {
        handle_control_reply(daemon, id, reply);
    }
}

void take_load(entry_daemon& daemon, inbound_message const& message) {
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
    time_point const moment = clock_now(daemon);
    if (auto const decoded = decode_for_entry(message.type, message.body)) {
        perform(daemon, on_agent_message(daemon.core, *decoded, moment, clock_wall(daemon)));
        if (target_load const* load = load_in(*decoded)) {
            std::visit(
                [&daemon, load, moment](auto const& received) {
                    on_target_load(daemon.core, received.id.target, received.id.incarnation, *load,
                                   moment);
                },
                *decoded);
        }
        return;
    }
    if (message.type == load_report_type) {
        take_load(daemon, message);
        return;
    }
    if (message.type == cache_news_type) {
        if (auto const cached = decode_cache_news(message.body)) {
            perform(daemon, on_cache_news(daemon.core, *cached, moment));
        }
        return;
    }
    if (auto const news = receive_fleet(daemon.net, message, moment)) {
        take_news(daemon, *news);
        return;
    }
    log_event(events::message_malformed, {{"type", message.type}, {"sender", message.sender}});
}

// Follows the load of this entry's share of the targets of every pool.
void refresh_subset(entry_daemon& daemon) {
    std::lock_guard const lock{daemon.mutex};
    time_point const moment = clock_now(daemon);
    std::vector<subset_node> entries;
    for (member_record const* entry : present_members(daemon.net.members, member_role::entry)) {
        entries.push_back({entry->name, entry->zone});
    }
    std::map<std::string, std::vector<subset_node>> pools;
    std::map<std::string, member_record const*> agents;
    for (member_record const* agent : present_members(daemon.net.members, member_role::agent)) {
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
    daemon.loads.cache_rate = cache_rate(subset.size());
    auto outgoing = follow(daemon.loads, subset, moment);
    auto const due = follow_tick(daemon.loads, moment);
    outgoing.insert(outgoing.end(), due.begin(), due.end());
    for (auto const& message : outgoing) {
        daemon.box->send(message.address, load_subscribe_type, encode(message.message));
    }
}

void step_drain(entry_daemon& daemon) {
    if (daemon.core.drain.phase == drain_phase::serving) {
        return;
    }
    drain_load load;
    load.in_flight = static_cast<std::uint32_t>(daemon.core.requests.size());
    if (step_entry(daemon.core.drain, load, clock_now(daemon)).may_exit) {
        daemon.drained.notify_all();
    }
}

void tick_net(entry_daemon& daemon) {
    std::lock_guard const lock{daemon.mutex};
    time_point const moment = clock_now(daemon);
    take_news(daemon, tick_fleet(daemon.net, moment));
    config_serving const state = serving_state(daemon.net.configuration, moment);
    bool const may_serve = state == config_serving::current || state == config_serving::stale;
    if (may_serve && daemon.core.revision == 0) {
        adopt_settings(daemon);
    }
    daemon.core.serving = may_serve && daemon.core.revision != 0;
    daemon.core.orders_possible = orders_allowed(daemon.net.configuration, moment);
}

void tick_core(entry_daemon& daemon) {
    std::lock_guard const lock{daemon.mutex};
    time_point const moment = clock_now(daemon);
    perform(daemon, on_entry_tick(daemon.core, moment, clock_wall(daemon)));
    take_news(daemon, tick_control_calls(daemon.net, moment));
    step_drain(daemon);
}

void read_quarantine(entry_daemon& daemon) {
    std::lock_guard const lock{daemon.mutex};
    if (!daemon.quarantine_read.empty()) {
        return;
    }
    daemon.quarantine_read = next_call_id(daemon.net);
    publish_news(*daemon.box,
                 ask_control(daemon.net, {daemon.quarantine_read, "quarantine", "", true},
                             quarantine_patience, clock_now(daemon)));
}

void send_addresses(entry_daemon& daemon, http_request const& request, http_response& response) {
    std::string body;
    {
        std::lock_guard const lock{daemon.mutex};
        auto const entries = present_members(daemon.net.members, member_role::entry);
        std::vector<member_record const*> published;
        for (member_record const* entry : entries) {
            if (!is_planned_stop(daemon, entry->name)) {
                published.push_back(entry);
            }
        }
        body = addresses_json(
            choose_addresses(published, daemon.settings.zone, request.remote_address),
            daemon.core.intent.limits.address_ttl);
    }
    response.send(ok_status, {{"content-type", "application/json"}}, body);
}

void send_metrics(entry_daemon& daemon, http_response& response) {
    {
        std::lock_guard const lock{daemon.mutex};
        set_gauge(*daemon.metrics, "fireflycrank_requests_in_flight", "",
                  static_cast<double>(daemon.core.requests.size()));
        set_gauge(*daemon.metrics, "fireflycrank_config_revision", "",
                  static_cast<double>(daemon.core.revision));
        set_gauge(*daemon.metrics, "fireflycrank_serving", "", daemon.core.serving ? 1 : 0);
        set_gauge(*daemon.metrics, "fireflycrank_orders_possible", "",
                  daemon.core.orders_possible ? 1 : 0);
        set_gauge(*daemon.metrics, "fireflycrank_targets", "",
                  static_cast<double>(std::count_if(
                      daemon.core.targets.targets.begin(), daemon.core.targets.targets.end(),
                      [](target_entry const& target) {
                          return target.used && !target.facts.serves.empty();
                      })));
        set_gauge(*daemon.metrics, "fireflycrank_quarantined", "",
                  static_cast<double>(std::count_if(
                      daemon.core.quarantine.entries.begin(), daemon.core.quarantine.entries.end(),
                      [](auto const& entry) { return entry.second.quarantined; })));
        set_gauge(*daemon.metrics, "fireflycrank_prefix_entries", "",
                  static_cast<double>(daemon.core.caches.index.by_age.size()));
        set_gauge(*daemon.metrics, "fireflycrank_prefix_gaps", "",
                  static_cast<double>(daemon.core.caches.index.gaps));
        set_gauge(*daemon.metrics, "fireflycrank_members", "",
                  static_cast<double>(daemon.net.members.slots.size()));
    }
    export_mailbox_counters(*daemon.box, *daemon.metrics);
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

void prepare(entry_daemon& daemon) {
    std::uint64_t const incarnation = make_incarnation(clock_wall(daemon));
    daemon.core.name = daemon.settings.name;
    daemon.core.incarnation = incarnation;
    daemon.core.random = rng{hash64(daemon.settings.name, incarnation)};
    daemon.core.targets.own_zone = daemon.settings.zone;
    daemon.loads.entry = daemon.settings.name;
    daemon.loads.incarnation = incarnation;
    daemon.net =
        start_fleet(daemon.settings, member_role::entry, {}, incarnation, clock_now(daemon));
    refresh_owners(daemon);
}

// Leaves the address answers, serves for their time to live, then finishes what is in flight.
void drain_entry(entry_daemon& daemon) {
    std::unique_lock lock{daemon.mutex};
    log_event(events::process_stopping, {{"in_flight", daemon.core.requests.size()}});
    leave_entry(daemon.core.drain, clock_now(daemon));
    fleet_news news;
    take_membership(daemon.net, set_leaving(daemon.net.members, true), news, clock_now(daemon));
    publish_news(*daemon.box, news);
    daemon.drained.wait(lock,
                        [&daemon] { return daemon.core.drain.phase == drain_phase::stopped; });
    fleet_news last;
    take_membership(daemon.net, depart(daemon.net.members), last, clock_now(daemon));
    publish_news(*daemon.box, last);
}

} // namespace

result<daemon_state> run_entry(process_config const& settings) {
    auto const state = std::make_shared<entry_daemon>(settings);
    auto& daemon = *state;
    prepare(daemon);
    {
        // Messages that arrive before the mailbox is stored wait for the mutex.
        std::lock_guard const lock{daemon.mutex};
        BOOST_OUTCOME_TRY(box, mailbox::open(settings.mailbox, daemon.pool.clock(),
                                             [&daemon](inbound_message const& message) {
                                                 on_message(daemon, message);
                                             }));
        daemon.box = box;
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
    daemon.pool.every(core_period, [&daemon] { tick_core(daemon); });
    daemon.pool.every(fleet_period, [&daemon] { tick_net(daemon); });
    daemon.pool.every(subset_period, [&daemon] { refresh_subset(daemon); });
    daemon.pool.every(quarantine_period, [&daemon] { read_quarantine(daemon); });
    wait_for_stop_signal();
    drain_entry(daemon);
    constexpr std::chrono::milliseconds farewell{200}; // for the last messages to leave
    std::this_thread::sleep_for(farewell);
    daemon.pool.stop();
    daemon.server->close();
    daemon.box->close();
    log_event(events::process_stopped, {});
    return daemon_state{state};
}

} // namespace fireflycrank
