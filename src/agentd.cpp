#include "agentd.h"

#include "agentcore.h"
#include "cachepoll.h"
#include "cachewire.h"
#include "claimwire.h"
#include "daemonbase.h"
#include "groupagent.h"
#include "http.h"
#include "loadreport.h"
#include "membershipwire.h"
#include "orderagent.h"
#include "runtime.h"
#include "streamcalls.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace fireflycrank {

namespace {

constexpr duration fleet_period = std::chrono::milliseconds{200};
constexpr duration core_period = std::chrono::milliseconds{20};
constexpr duration probe_period = std::chrono::milliseconds{500};
constexpr duration cache_period = std::chrono::milliseconds{200};
constexpr duration report_patience = std::chrono::seconds{30};
constexpr duration engine_wait = std::chrono::minutes{10}; // silence of an engine inside one answer
constexpr std::size_t max_operator_body = 1U << 20U;
constexpr int ok_status = 200;
constexpr int not_found_status = 404;

// Everything that the daemon's threads share. `mutex` guards all but the parts with locks of their
// own (runtime, mailbox, metrics).
struct agent_daemon {
    explicit agent_daemon(process_config configured)
        : settings{std::move(configured)}, pool{settings.workers} {}

    process_config settings;
    runtime pool;
    std::shared_ptr<metrics_registry> metrics = make_metrics();
    std::shared_ptr<mailbox> box;
    std::shared_ptr<http_server> server;

    std::mutex mutex;
    std::condition_variable drained;
    agent_core core;
    fleet net;
    load_reporter reporter;
    cache_link cache;
    stream_control streams;
    order_agent orders;
    group_agent group{mutex, pool, net, box, settings, {}};
    std::map<std::uint64_t, std::shared_ptr<http_call>> calls;
    bool probing{false};
};

time_point clock_now(agent_daemon& daemon) {
    return now(daemon.pool.clock());
}
wall_time clock_wall(agent_daemon& daemon) {
    return wall_now(daemon.pool.clock());
}

void send_to_entry(agent_daemon& daemon, agent_reply const& reply) {
    encoded_message const message = encode(reply.message);
    daemon.box->send(reply.entry, message.type, message.body);
}

void report_engine_crash(agent_daemon& daemon, engine_crashed const& crash) {
    log_event(events::crash_reported,
              {{"crash", crash.report.crash_id}, {"running", crash.report.running.size()}});
    count(*daemon.metrics, "fireflycrank_engine_crashes_total");
    quarantine_command const command{clock_wall(daemon), crash.report};
    publish_news(*daemon.box, ask_control(daemon.net,
                                          {next_call_id(daemon.net), "quarantine",
                                           encode_quarantine_command(command), false},
                                          report_patience, clock_now(daemon)));
}

void perform(agent_daemon& daemon, agent_actions const& actions);
void probe(agent_daemon& daemon);

// Gives a job to the engine. Runs on a worker with no lock held.
void start_job(agent_daemon& daemon, std::uint64_t job) {
    engine_request request;
    {
        std::lock_guard const lock{daemon.mutex};
        auto const found = daemon.core.jobs.find(job);
        if (found == daemon.core.jobs.end()) {
            return;
        }
        attempt_request const& wanted = found->second.request;
        request = {daemon.settings.target.engine,
                   wanted.method,
                   wanted.path,
                   wanted.content_type,
                   wanted.body,
                   wanted.priority,
                   engine_run_id(wanted.start.id),
                   engine_wait};
        log_event(events::attempt_started, {{"request", wanted.start.id.request_id},
                                            {"attempt", wanted.start.id.number},
                                            {"team", wanted.team},
                                            {"alone", wanted.start.alone}});
    }
    engine_run_callbacks receiver;
    receiver.on_start = [&daemon, job](std::uint32_t status, std::string content_type) {
        std::lock_guard const lock{daemon.mutex};
        on_engine_start(daemon.core, job, status, std::move(content_type));
    };
    receiver.on_bytes = [&daemon, job](std::string const& bytes) {
        std::lock_guard const lock{daemon.mutex};
        perform(daemon, on_engine_bytes(daemon.core, job, bytes));
    };
    receiver.on_end = [&daemon, job](engine_run_end end, std::string const& reason) {
        std::lock_guard const lock{daemon.mutex};
        log_event(
            events::attempt_ended,
            {{"job", job}, {"complete", end == engine_run_end::complete}, {"reason", reason}});
        daemon.calls.erase(job);
        forget_stream(daemon.streams, job);
        if (end != engine_run_end::complete) {
            daemon.pool.post([&daemon] { probe(daemon); });
        }
        perform(daemon,
                on_engine_end(daemon.core, job, end, clock_now(daemon), clock_wall(daemon)));
        daemon.drained.notify_all();
    };
    auto const call = start_engine_run(request, std::move(receiver));
    std::lock_guard const lock{daemon.mutex};
    if (daemon.core.jobs.contains(job)) {
        daemon.calls[job] = call;
    }
}

// Performs actions. Called with the daemon's mutex held; engine calls go to a worker.
void perform(agent_daemon& daemon, agent_actions const& actions) {
    for (agent_action const& action : actions) {
        if (auto const* start = std::get_if<start_engine>(&action)) {
            daemon.pool.post([&daemon, job = start->job] { start_job(daemon, job); });
        } else if (auto const* cancel = std::get_if<cancel_engine>(&action)) {
            auto const call = daemon.calls.find(cancel->job);
            if (call != daemon.calls.end()) {
                // Cancelling may end the call on this thread, which takes the mutex.
                daemon.pool.post([running = call->second] { running->cancel(); });
            }
        } else if (auto const* steer = std::get_if<steer_engine>(&action)) {
            want_stream(daemon.streams, steer->job, steer->pause);
        } else if (auto const* reply = std::get_if<agent_reply>(&action)) {
            send_to_entry(daemon, *reply);
        } else if (auto const* crash = std::get_if<engine_crashed>(&action)) {
            report_engine_crash(daemon, *crash);
        }
    }
}

// Sends what the news holds and hands replies of control to those who asked.
void take_news(agent_daemon& daemon, fleet_news const& news, time_point moment) {
    publish_news(*daemon.box, news);
    on_control_replies(daemon.group, news, moment);
    for (auto const& [id, reply] : news.replies) {
        take_fence(daemon.orders, id, reply);
    }
}

// Announces what is loaded; nothing while the engine is down or an order is in hand.
void announce_serves(agent_daemon& daemon) {
    set_serves(daemon.net.members, serves_now(daemon.orders, daemon.core.engine_up));
}

// No order is in hand any more: the target takes work again when its engine is up.
void end_withdrawal(agent_daemon& daemon, bool engine_up) {
    daemon.orders.withdrawn.reset();
    on_engine_probe(daemon.core, engine_up);
    announce_serves(daemon);
}

void send_order_reply(agent_daemon& daemon, std::string const& to,
                      target_order_reply const& reply) {
    daemon.box->send(to, target_order_reply_type, encode(reply));
}

// Gives a target order to the engine. Runs on a worker with no lock held.
void run_engine_order(agent_daemon& daemon, engine_order const& order) {
    auto const status = std::make_shared<int>(0);
    auto const body = std::make_shared<std::string>();
    engine_run_callbacks receiver;
    receiver.on_start = [status](std::uint32_t code, std::string const&) {
        *status = static_cast<int>(code);
    };
    receiver.on_bytes = [body](std::string const& bytes) { *body += bytes; };
    receiver.on_end = [&daemon, status, body](engine_run_end end, std::string const& reason) {
        std::lock_guard const lock{daemon.mutex};
        bool const whole = end == engine_run_end::complete;
        auto const reply =
            finish_engine_order(daemon.orders, whole ? *status : 0, whole ? *body : reason);
        if (!order_in_hand(daemon.orders)) {
            end_withdrawal(daemon, whole);
        }
        if (reply) {
            send_order_reply(daemon, reply->first, reply->second);
        }
    };
    start_engine_run({daemon.settings.target.engine, "POST", "/v1/control/orders",
                      "application/json", order.body, 0, "", engine_wait},
                     std::move(receiver));
}

// Withdraws the target, lets requests in flight end, then gives the order to the engine.
void step_orders(agent_daemon& daemon, time_point moment) {
    take_news(daemon, tick_fence(daemon.orders, daemon.net, moment), moment);
    if (!order_in_hand(daemon.orders)) {
        return;
    }
    if (!daemon.orders.withdrawn) {
        announce_serves(daemon);
    }
    if (!notice_over(daemon.orders, moment)) {
        return;
    }
    if (daemon.core.engine_up) {
        perform(daemon, pause_engine(daemon.core, clock_wall(daemon)));
    }
    if (auto const order = next_engine_order(daemon.orders, daemon.core.jobs.empty())) {
        daemon.pool.post([&daemon, order = *order] { run_engine_order(daemon, order); });
    } else if (!order_in_hand(daemon.orders)) {
        end_withdrawal(daemon, true); // all were dropped for their fencing token
    }
}

void on_message(agent_daemon& daemon, inbound_message const& message) {
    std::lock_guard const lock{daemon.mutex};
    time_point const moment = clock_now(daemon);
    if (auto const decoded = decode_for_agent(message.type, message.body)) {
        if (auto const* request = std::get_if<attempt_request>(&*decoded)) {
            perform(daemon, on_attempt_request(daemon.core, message.sender, *request, moment,
                                               clock_wall(daemon)));
        } else {
            perform(daemon,
                    on_attempt_query(daemon.core, message.sender, std::get<attempt_query>(*decoded),
                                     moment, clock_wall(daemon)));
        }
        return;
    }
    if (message.type == load_subscribe_type) {
        if (auto const request = decode_load_subscribe(message.body)) {
            load_subscribed(daemon.reporter, message.sender, request.value(), moment);
        }
        return;
    }
    if (message.type == cache_listing_type) {
        if (auto const request = decode_cache_listing(message.body)) {
            take_listing_request(daemon.cache.feed, *request);
        }
        return;
    }
    if (message.type == target_order_type) {
        if (auto const order = decode_target_order(message.body)) {
            if (auto const reply =
                    take_target_order(daemon.orders, message.sender, order.value())) {
                send_order_reply(daemon, message.sender, *reply);
            }
        }
        return;
    }
    if (on_map_view_message(daemon.group, message, moment)) {
        return;
    }
    if (auto const news = receive_fleet(daemon.net, message, moment)) {
        take_news(daemon, *news, moment);
        return;
    }
    log_event(events::message_malformed, {{"type", message.type}, {"sender", message.sender}});
}

load_values report_values(agent_daemon const& daemon) {
    target_load const load = load_of(daemon.core);
    return {static_cast<double>(load.running),
            static_cast<double>(load.queued),
            load.queued_work,
            load.tokens_per_second,
            static_cast<double>(load.slots),
            load.waiting_short,
            load.waiting_long};
}

void tick_net(agent_daemon& daemon) {
    std::lock_guard const lock{daemon.mutex};
    time_point const moment = clock_now(daemon);
    publish_news(*daemon.box, tick_fleet(daemon.net, moment));
    for (auto const& outgoing :
         load_tick(daemon.reporter, report_values(daemon), duration::zero(), moment)) {
        daemon.box->send(outgoing.address, load_report_type, encode(outgoing.message));
    }
}

void step_drain(agent_daemon& daemon, time_point moment) {
    if (daemon.core.drain.phase == drain_phase::serving) {
        return;
    }
    drain_load load = drain_load_of(daemon.core);
    load.in_flight += daemon.orders.at_engine ? 1 : 0;
    drain_actions const todo = step_target(daemon.core.drain, load, moment);
    if (todo.hand_back_waiting) {
        perform(daemon, hand_back_waiting(daemon.core, clock_wall(daemon)));
    }
    if (todo.may_exit) {
        daemon.drained.notify_all();
    }
}

void tick_core(agent_daemon& daemon) {
    std::lock_guard const lock{daemon.mutex};
    time_point const moment = clock_now(daemon);
    perform(daemon, on_agent_tick(daemon.core, moment, clock_wall(daemon)));
    start_due_stream_calls(daemon.streams, daemon.core, daemon.settings.target.engine, daemon.mutex,
                           daemon.pool);
    take_news(daemon, tick_control_calls(daemon.net, moment), moment);
    step_orders(daemon, moment);
    tick_group(daemon.group, moment);
    step_drain(daemon, moment);
}

void probe(agent_daemon& daemon) {
    {
        std::lock_guard const lock{daemon.mutex};
        if (daemon.probing) {
            return;
        }
        daemon.probing = true;
    }
    probe_engine(daemon.settings.target.engine, [&daemon](bool up) {
        std::lock_guard const lock{daemon.mutex};
        daemon.probing = false;
        if (order_in_hand(daemon.orders)) {
            return; // the order's end tells whether the engine is up
        }
        if (on_engine_probe(daemon.core, up)) {
            log_event(events::engine_probe_changed, {{"up", up}});
            if (up) {
                engine_restarted(daemon.orders);
            }
            announce_serves(daemon);
        }
    });
}

void on_http(agent_daemon& daemon, http_request const& request, http_response& response) {
    if (request.path == "/healthz") {
        response.send(ok_status, {}, "ok\n");
        return;
    }
    if (request.path == "/v1/group/step" && request.method == "POST") {
        std::lock_guard const lock{daemon.mutex};
        serve_step(daemon.group, request.body, response, clock_now(daemon));
        return;
    }
    if (request.path != "/metrics") {
        response.send(not_found_status, {},
                      "unknown path; use /healthz, /metrics or /v1/group/step\n");
        return;
    }
    {
        std::lock_guard const lock{daemon.mutex};
        target_load const load = load_of(daemon.core);
        set_gauge(*daemon.metrics, "fireflycrank_attempts_running", "", load.running);
        set_gauge(*daemon.metrics, "fireflycrank_attempts_queued", "", load.queued);
        set_gauge(*daemon.metrics, "fireflycrank_cache_event_bytes", "",
                  static_cast<double>(daemon.cache.feed.sent_bytes));
        set_gauge(*daemon.metrics, "fireflycrank_cache_event_gaps", "",
                  static_cast<double>(daemon.cache.feed.engine_gaps));
        set_gauge(*daemon.metrics, "fireflycrank_members", "",
                  static_cast<double>(daemon.net.members.slots.size()));
    }
    export_mailbox_counters(*daemon.box, *daemon.metrics);
    response.send(ok_status, {{"content-type", "text/plain; version=0.0.4"}},
                  render_metrics(*daemon.metrics));
}

void prepare(agent_daemon& daemon) {
    std::uint64_t const incarnation = make_incarnation(clock_wall(daemon));
    target_config const& target = daemon.settings.target;
    daemon.core.attempts.target = daemon.settings.name;
    daemon.core.attempts.incarnation = incarnation;
    daemon.core.queue.settings.slots = target.slots;
    daemon.core.queue.settings.reserved =
        std::min(daemon.core.queue.settings.reserved, target.slots / 2);
    daemon.core.pauses_streams = target.pauses_streams;
    daemon.core.queue.settings.tokens_per_second = target.tokens_per_second;
    daemon.reporter.target = daemon.settings.name;
    daemon.reporter.incarnation = incarnation;
    daemon.cache.feed.target = daemon.settings.name;
    daemon.cache.feed.incarnation = incarnation;
    daemon.orders = start_order_agent(daemon.settings, incarnation);
    daemon.group.engine = make_engine_ranks(daemon.settings, incarnation);
    daemon.net =
        start_fleet(daemon.settings, member_role::agent, {}, incarnation, clock_now(daemon));
}

// Announces that the target leaves, waits until nothing is in flight, then says good-bye.
void drain_agent(agent_daemon& daemon) {
    std::unique_lock lock{daemon.mutex};
    log_event(events::process_stopping, {{"in_flight", daemon.core.jobs.size()}});
    leave_target(daemon.core.drain, clock_now(daemon));
    stop_taking_orders(daemon.orders);
    if (daemon.orders.withdrawn && !order_in_hand(daemon.orders)) {
        end_withdrawal(daemon, true); // what comes until the notice is over can be served
    }
    fleet_news news;
    take_membership(daemon.net, set_leaving(daemon.net.members, true), news, clock_now(daemon));
    publish_news(*daemon.box, news);
    daemon.drained.wait(lock, [&daemon] {
        return daemon.core.drain.phase == drain_phase::stopped && daemon.core.jobs.empty();
    });
    fleet_news last;
    take_membership(daemon.net, depart(daemon.net.members), last, clock_now(daemon));
    publish_news(*daemon.box, last);
}

} // namespace

result<daemon_state> run_agent(process_config const& settings) {
    if (settings.target.engine.empty()) {
        return fail(error_kind::invalid_settings, "an agent needs the target object",
                    "add target.engine and target.serves to the settings");
    }
    auto const state = std::make_shared<agent_daemon>(settings);
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
                      http_server::open(settings.http, max_operator_body,
                                        [&daemon](http_request const& request,
                                                  std::shared_ptr<http_response> const& response) {
                                            on_http(daemon, request, *response);
                                        }));
    daemon.server = server;
    log_event(events::process_started, {{"role", "agent"},
                                        {"process", settings.name},
                                        {"incarnation", daemon.core.attempts.incarnation}});
    daemon.pool.every(core_period, [&daemon] { tick_core(daemon); });
    daemon.pool.every(fleet_period, [&daemon] { tick_net(daemon); });
    daemon.pool.every(probe_period, [&daemon] { probe(daemon); });
    if (settings.target.cache_events) {
        daemon.pool.every(cache_period, [&daemon] {
            tick_cache({daemon.settings.target.engine, daemon.mutex, daemon.reporter, *daemon.box},
                       daemon.cache, clock_now(daemon));
        });
    }
    wait_for_stop_signal();
    drain_agent(daemon);
    constexpr std::chrono::milliseconds farewell{200}; // for the last messages to leave
    std::this_thread::sleep_for(farewell);
    daemon.pool.stop();
    daemon.server->close();
    daemon.box->close();
    log_event(events::process_stopped, {});
    return daemon_state{state};
}

} // namespace fireflycrank
