#include "controld.h"

#include "claimwire.h"
#include "consensuswire.h"
#include "controlnode.h"
#include "controltables.h"
#include "daemonbase.h"
#include "expertswire.h"
#include "http.h"
#include "mapcontrol.h"
#include "membershipwire.h"
#include "operatorapi.h"
#include "placementloop.h"
#include "runtime.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

namespace fireflycrank {

namespace {

constexpr std::chrono::milliseconds tick_period{20};
constexpr duration fleet_tick_period = std::chrono::milliseconds{200};
constexpr std::size_t max_request_body_bytes = 32U << 20U;
constexpr int ok_status = 200;
constexpr int bad_request_status = 400;
constexpr int not_found_status = 404;
constexpr int misdirected_status = 421;
constexpr int unavailable_status = 503;

using reply_function = std::function<void(control_node_reply const&)>;

// The state shared by the daemon's threads. The inbox collects tasks while a batch is being synced,
// so that one sync covers the whole next batch.
struct control_daemon {
    explicit control_daemon(process_config configured)
        : settings{std::move(configured)}, pool{settings.workers} {}

    process_config settings;
    runtime pool;
    std::shared_ptr<metrics_registry> metrics = make_metrics();
    std::shared_ptr<mailbox> own_mailbox;
    std::shared_ptr<http_server> server;

    std::mutex inbox_mutex;
    std::condition_variable inbox_changed;
    std::deque<std::function<void()>> inbox;
    bool stopping{false};

    std::mutex mutex; // guards all members below
    control_tables tables;
    control_state state;
    std::unique_ptr<control_node> node;
    fleet fleet_state;
    map_control maps;
    std::map<std::uint64_t, reply_function> pending_replies; ///< by request number
    std::uint64_t last_request_number{0};
    std::uint64_t published_revision{0};
    std::atomic<std::uint64_t> operator_actions{0};
    bool expiry_pending{false};
    std::string logged_leader;
    member_list logged_members;
    placement_loop placement;
    std::optional<error> failure;
};

time_point clock_now(control_daemon& daemon) {
    return now(daemon.pool.clock());
}

void enqueue(control_daemon& daemon, std::function<void()> task) {
    {
        std::lock_guard const lock{daemon.inbox_mutex};
        daemon.inbox.push_back(std::move(task));
    }
    daemon.inbox_changed.notify_one();
}

std::string mailbox_address_of(control_daemon const& daemon, std::string const& replica) {
    for (replica_config const& config : daemon.settings.control) {
        if (config.name == replica) {
            return config.mailbox;
        }
    }
    return "";
}

std::string http_address_of(control_daemon const& daemon, std::string const& replica) {
    for (replica_config const& config : daemon.settings.control) {
        if (config.name == replica) {
            return config.http;
        }
    }
    return "";
}

// Starts a command or read. The reply comes from a later flush, or immediately if the request is
// refused.
void begin_request(control_daemon& daemon, control_call const& call, reply_function on_reply) {
    std::uint64_t const number = ++daemon.last_request_number;
    auto const refused =
        call.read_only ? read(*daemon.node, number, call.kind, call.command, clock_now(daemon))
                       : submit(*daemon.node, number,
                                {call.kind, call.command, wall_now(daemon.pool.clock())});
    if (!refused) {
        control_node_reply reply;
        reply.request = number;
        reply.outcome = boost::outcome_v2::failure(refused.error());
        on_reply(reply);
        return;
    }
    daemon.pending_replies.emplace(number, std::move(on_reply));
}

control_reply make_reply(control_daemon const& daemon, std::string const& id,
                         control_node_reply const& from_node) {
    control_reply reply;
    reply.id = id;
    reply.accepted = from_node.outcome.has_value();
    reply.leader = mailbox_address_of(daemon, leader_of(*daemon.node));
    reply.term = from_node.term;
    reply.index = from_node.index;
    if (reply.accepted) {
        reply.reply = from_node.outcome.value();
    } else {
        reply.error = name_of(from_node.outcome.error().kind);
        reply.message = from_node.outcome.error().message;
    }
    return reply;
}

void on_control_request(control_daemon& daemon, inbound_message const& message) {
    auto const request = decode_control_request(message.body);
    if (!request) {
        log_event(events::message_malformed, {{"type", message.type}, {"sender", message.sender}});
        return;
    }
    begin_request(
        daemon, request->call,
        [&daemon, id = request->call.id, to = request->reply_to](control_node_reply const& reply) {
            daemon.own_mailbox->send(to, control_reply_type, encode(make_reply(daemon, id, reply)));
        });
}

void send_fleet_news(control_daemon& daemon, fleet_news const& news) {
    publish_news(*daemon.own_mailbox, news);
}

// Sends the messages and proposes the commands of the map loop, which repeats a lost proposal.
void execute_map_actions(control_daemon& daemon, map_manager_actions const& actions) {
    send_fleet_news(daemon, actions.output);
    for (map_command const& command : actions.commands) {
        begin_request(daemon, {"", map_table_kind, serialize(command), false},
                      [](control_node_reply const&) {});
    }
}

placement_moment make_placement_moment(control_daemon& daemon, time_point current_time) {
    return {current_fencing_token(*daemon.node, current_time).value_or(0), current_time,
            wall_now(daemon.pool.clock())};
}

void propose_placement(control_daemon& daemon, placement_command const& command) {
    ++daemon.placement.proposals;
    begin_request(daemon, {"", "placement", serialize(command), false},
                  [&daemon, command](control_node_reply const& reply) {
                      --daemon.placement.proposals;
                      daemon.placement.ending.erase(command.order);
                      if (!reply.outcome) {
                          return;
                      }
                      auto const answer = parse_placement_reply(reply.outcome.value());
                      if (!answer) {
                          return;
                      }
                      if (auto const line =
                              log_of(daemon.tables.placement, command, answer.value())) {
                          log_event(*line->kind, line->fields);
                      }
                  });
}

void on_order_reply(control_daemon& daemon, inbound_message const& message,
                    time_point current_time) {
    auto const reply = decode_target_order_reply(message.body);
    if (!reply) {
        return;
    }
    auto const command = end_of_order(daemon.tables.placement, reply.value(),
                                      make_placement_moment(daemon, current_time));
    if (command && command->fence != 0 && daemon.placement.ending.insert(command->order).second) {
        propose_placement(daemon, *command);
    }
}

void run_placement(control_daemon& daemon, time_point current_time) {
    take_intent(daemon.placement, daemon.tables.configuration.revision,
                daemon.tables.configuration.files);
    placement_step const step =
        step_placement(daemon.placement, daemon.tables.placement, daemon.fleet_state.members,
                       make_placement_moment(daemon, current_time));
    for (placement_outgoing const& order : step.send) {
        daemon.own_mailbox->send(order.address, target_order_type, encode(order.message));
    }
    for (fleet_log const& line : step.logs) {
        log_event(*line.kind, line.fields);
    }
    for (placement_command const& command : step.commands) {
        propose_placement(daemon, command);
    }
}

// Handles one message on the replica's thread, with the mutex held.
void handle_message(control_daemon& daemon, inbound_message const& message) {
    time_point const current_time = clock_now(daemon);
    if (message.type == consensus_message_type) {
        if (auto const parsed = parse_consensus_message(message.body)) {
            receive(*daemon.node, parsed.value(), current_time);
        }
        return;
    }
    if (message.type == control_request_type) {
        on_control_request(daemon, message);
        return;
    }
    if (auto const actions =
            on_map_message(daemon.maps, message, current_fencing_token(*daemon.node, current_time),
                           current_time, wall_now(daemon.pool.clock()))) {
        execute_map_actions(daemon, *actions);
        return;
    }
    if (message.type == target_order_reply_type) {
        on_order_reply(daemon, message, current_time);
        return;
    }
    if (auto const news = receive_fleet(daemon.fleet_state, message, current_time)) {
        send_fleet_news(daemon, *news);
        return;
    }
    log_event(events::message_malformed, {{"type", message.type}, {"sender", message.sender}});
}

// Publishes the newest committed revision to the daemons and, while the lease is held, confirms it
// as the newest.
void publish_configuration(control_daemon& daemon) {
    time_point const current_time = clock_now(daemon);
    fleet_news news;
    config_ident const& ident = current_ident(daemon.tables);
    if (ident.revision > daemon.published_revision) {
        daemon.published_revision = ident.revision;
        log_event(events::change_committed,
                  {{"revision", ident.revision}, {"digest", ident.digest}});
        take_configuration(daemon.fleet_state,
                           config_publish(daemon.fleet_state.configuration, ident,
                                          shared_files(daemon.tables), current_time),
                           news, current_time);
    }
    if (ident.revision > 0 && current_fencing_token(*daemon.node, current_time)) {
        take_configuration(daemon.fleet_state,
                           config_majority_read(daemon.fleet_state.configuration, ident,
                                                current_time, "", current_time),
                           news, current_time);
    }
    send_fleet_news(daemon, news);
}

// The leader proposes the expiry of claims that are due, because tables receive the time only with
// a command.
void expire_due_claims(control_daemon& daemon) {
    auto const& due = daemon.tables.claims.due;
    if (daemon.expiry_pending || due.empty() ||
        due.begin()->first > wall_now(daemon.pool.clock()) ||
        !current_fencing_token(*daemon.node, clock_now(daemon))) {
        return;
    }
    daemon.expiry_pending = true;
    claim_command const command{
        "expire/" + std::to_string(daemon.state.applied_index), "", {}, expire_claims{}};
    begin_request(daemon, {"", "claim", encode_claim_command(command), false},
                  [&daemon](control_node_reply const&) { daemon.expiry_pending = false; });
}

void log_changes(control_daemon& daemon) {
    if (leader_of(*daemon.node) != daemon.logged_leader) {
        daemon.logged_leader = leader_of(*daemon.node);
        log_event(events::leader_changed,
                  {{"leader", daemon.logged_leader}, {"term", daemon.node->consensus.hard.term}});
    }
    if (members_of(daemon.node->consensus) != daemon.logged_members) {
        daemon.logged_members = members_of(daemon.node->consensus);
        std::string text;
        for (member const& replica : daemon.logged_members) {
            text +=
                (text.empty() ? "" : " ") + replica.name + (replica.voter ? ":voter" : ":learner");
        }
        log_event(events::replica_member_changed, {{"members", text}});
    }
}

// Makes the batch durable, then sends its messages and replies.
void flush_batch(control_daemon& daemon) {
    control_node_output output = flush(*daemon.node, clock_now(daemon));
    for (consensus_message const& outgoing : output.messages) {
        daemon.own_mailbox->send(mailbox_address_of(daemon, outgoing.to), consensus_message_type,
                                 serialize_consensus_message(outgoing));
    }
    for (control_node_reply const& reply : output.replies) {
        auto const found = daemon.pending_replies.find(reply.request);
        if (found != daemon.pending_replies.end()) {
            auto const on_reply = std::move(found->second);
            daemon.pending_replies.erase(found);
            on_reply(reply);
        }
    }
    if (output.stop_reason) {
        daemon.failure = output.stop_reason;
    }
    log_changes(daemon);
}

// Takes all queued tasks, waiting at most one tick for the first.
std::deque<std::function<void()>> next_batch(control_daemon& daemon, bool& stopping) {
    std::unique_lock lock{daemon.inbox_mutex};
    daemon.inbox_changed.wait_for(lock, tick_period,
                                  [&daemon] { return !daemon.inbox.empty() || daemon.stopping; });
    stopping = daemon.stopping;
    return std::exchange(daemon.inbox, {});
}

// Main loop of the replica's thread.
void run_replica(control_daemon& daemon) {
    time_point next_tick = clock_now(daemon);
    time_point next_fleet_tick = next_tick;
    bool stopping = false;
    while (!stopping) {
        auto const batch = next_batch(daemon, stopping);
        std::lock_guard const lock{daemon.mutex};
        for (auto const& task : batch) {
            task();
        }
        time_point const current_time = clock_now(daemon);
        if (current_time >= next_tick) {
            next_tick = current_time + tick_period;
            tick(*daemon.node, current_time);
            execute_map_actions(daemon,
                                tick_map_control(daemon.maps, daemon.tables,
                                                 current_fencing_token(*daemon.node, current_time),
                                                 current_time, wall_now(daemon.pool.clock())));
        }
        flush_batch(daemon);
        if (current_time >= next_fleet_tick) {
            next_fleet_tick = current_time + fleet_tick_period;
            publish_configuration(daemon);
            expire_due_claims(daemon);
            send_fleet_news(daemon, tick_fleet(daemon.fleet_state, current_time));
            run_placement(daemon, current_time);
        }
        if (daemon.failure) {
            return;
        }
    }
}

void send_error(control_daemon& daemon, http_response& response, error const& failure) {
    bool const redirect = failure.kind == error_kind::not_leader;
    int const status = redirect                                ? misdirected_status
                       : failure.kind == error_kind::not_found ? not_found_status
                       : failure.kind == error_kind::invalid_request ||
                               failure.kind == error_kind::invalid_settings
                           ? bad_request_status
                           : unavailable_status;
    response.send(
        status, {{"content-type", "application/json"}},
        error_json(failure, redirect ? http_address_of(daemon, leader_of(*daemon.node)) : ""));
}

// Runs an operator's request; `to_json` turns the table's reply into the response body.
void serve_request(control_daemon& daemon, control_call const& call,
                   std::shared_ptr<http_response> const& response,
                   std::function<result<std::string>(std::string const&)> const& to_json) {
    enqueue(daemon, [&daemon, call, response, to_json] {
        begin_request(daemon, call, [&daemon, response, to_json](control_node_reply const& reply) {
            if (!reply.outcome) {
                send_error(daemon, *response, reply.outcome.error());
                return;
            }
            auto const body = to_json(reply.outcome.value());
            if (!body) {
                send_error(daemon, *response, body.error());
                return;
            }
            response->send(ok_status, {{"content-type", "application/json"}}, body.value());
        });
    });
}

void serve_change(control_daemon& daemon, http_request const& request,
                  std::shared_ptr<http_response> const& response) {
    auto const change = parse_change_request(request.body);
    if (!change) {
        response->send(bad_request_status, {{"content-type", "application/json"}},
                       error_json(change.error(), ""));
        return;
    }
    serve_request(daemon, {"", "config", serialize_config_change(change.value()), false}, response,
                  [](std::string const& bytes) -> result<std::string> {
                      BOOST_OUTCOME_TRY(reply, parse_config_reply(bytes));
                      if (reply.outcome != config_outcome::accepted) {
                          log_event(events::change_refused, {{"revision", reply.revision},
                                                             {"winner", reply.winner_operator}});
                      }
                      return change_reply_json(reply);
                  });
}

void serve_config(control_daemon& daemon, std::shared_ptr<http_response> const& response) {
    serve_request(daemon, {"", "config", config_files_query, true}, response,
                  [](std::string const& bytes) -> result<std::string> {
                      BOOST_OUTCOME_TRY(delta, parse_config_delta(bytes));
                      return config_json(delta);
                  });
}

// Removes the claim on an order at an operator's request, so that an order with its key may run
// again.
void serve_claim_prune(control_daemon& daemon, http_request const& request,
                       std::shared_ptr<http_response> const& response) {
    auto const action = parse_operator_action(request.body);
    if (!action) {
        send_error(daemon, *response, action.error());
        return;
    }
    auto const& [key, operator_name] = action.value();
    claim_command const command{"prune/" + operator_name + "/" +
                                    std::to_string(++daemon.operator_actions),
                                key,
                                {},
                                prune_claim{operator_name}};
    serve_request(daemon, {"", "claim", encode_claim_command(command), false}, response,
                  [](std::string const& bytes) -> result<std::string> {
                      BOOST_OUTCOME_TRY(reply, decode_claim_reply(bytes));
                      return claim_json(reply);
                  });
}

// Releases a request from quarantine at an operator's request.
void serve_quarantine_release(control_daemon& daemon, http_request const& request,
                              std::shared_ptr<http_response> const& response) {
    auto const action = parse_operator_action(request.body);
    if (!action) {
        send_error(daemon, *response, action.error());
        return;
    }
    quarantine_command const command{
        {}, release_fingerprint{action.value().first, action.value().second}};
    serve_request(daemon, {"", "quarantine", encode_quarantine_command(command), false}, response,
                  [](std::string const&) -> result<std::string> {
                      return std::string{"{\"outcome\":\"accepted\"}\n"};
                  });
}

void serve_claim_query(control_daemon& daemon, http_request const& request,
                       std::shared_ptr<http_response> const& response) {
    auto const key = request.query.find("key");
    serve_request(daemon, {"", "claim", key == request.query.end() ? "" : key->second, true},
                  response, [](std::string const& bytes) -> result<std::string> {
                      BOOST_OUTCOME_TRY(reply, decode_claim_reply(bytes));
                      return claim_json(reply);
                  });
}

void serve_quarantine(control_daemon& daemon, std::shared_ptr<http_response> const& response) {
    serve_request(daemon, {"", "quarantine", "", true}, response,
                  [](std::string const& bytes) -> result<std::string> {
                      BOOST_OUTCOME_TRY(table, parse_quarantine(bytes, quarantine_limits{}));
                      return quarantine_json(table);
                  });
}

void serve_placement(control_daemon& daemon, std::shared_ptr<http_response> const& response) {
    serve_request(daemon, {"", "placement", "", true}, response,
                  [](std::string const& bytes) -> result<std::string> {
                      BOOST_OUTCOME_TRY(table, parse_placement_table(bytes));
                      return placement_json(table);
                  });
}

std::uint64_t revision_in(http_request const& request, std::uint64_t fallback) {
    auto const found = request.query.find("revision");
    if (found == request.query.end() || found->second.empty() ||
        found->second.find_first_not_of("0123456789") != std::string::npos) {
        return fallback;
    }
    return std::strtoull(found->second.c_str(), nullptr, 10);
}

void serve_metrics(control_daemon& daemon, http_response& response) {
    {
        std::lock_guard const lock{daemon.mutex};
        set_gauge(*daemon.metrics, "fireflycrank_control_term", "",
                  static_cast<double>(daemon.node->consensus.hard.term));
        set_gauge(*daemon.metrics, "fireflycrank_control_commit", "",
                  static_cast<double>(daemon.node->consensus.commit_index));
        set_gauge(*daemon.metrics, "fireflycrank_control_lease", "",
                  current_fencing_token(*daemon.node, clock_now(daemon)) ? 1 : 0);
        set_gauge(*daemon.metrics, "fireflycrank_config_revision", "",
                  static_cast<double>(daemon.tables.configuration.revision));
        set_gauge(*daemon.metrics, "fireflycrank_claims", "",
                  static_cast<double>(daemon.tables.claims.claims.size()));
    }
    export_mailbox_counters(*daemon.own_mailbox, *daemon.metrics);
    response.send(ok_status, {{"content-type", "text/plain; version=0.0.4"}},
                  render_metrics(*daemon.metrics));
}

void handle_http(control_daemon& daemon, http_request const& request,
                 std::shared_ptr<http_response> const& response) {
    if (request.path == "/v1/config/changes" && request.method == "POST") {
        serve_change(daemon, request, response);
    } else if (request.path == "/v1/orders/prune" && request.method == "POST") {
        serve_claim_prune(daemon, request, response);
    } else if (request.path == "/v1/quarantine/release" && request.method == "POST") {
        serve_quarantine_release(daemon, request, response);
    } else if (request.path == "/v1/orders") {
        serve_claim_query(daemon, request, response);
    } else if (request.path == "/v1/quarantine") {
        serve_quarantine(daemon, response);
    } else if (request.path == "/v1/placement") {
        serve_placement(daemon, response);
    } else if (request.path == "/v1/config") {
        serve_config(daemon, response);
    } else if (request.path == "/metrics") {
        serve_metrics(daemon, *response);
    } else if (request.path == "/healthz") {
        response->send(ok_status, {}, "ok\n");
    } else if (request.path == "/v1/status") {
        std::lock_guard const lock{daemon.mutex};
        response->send(ok_status, {{"content-type", "application/json"}},
                       status_json(*daemon.node, daemon.tables, clock_now(daemon)));
    } else if (request.path == "/v1/members") {
        std::lock_guard const lock{daemon.mutex};
        response->send(ok_status, {{"content-type", "application/json"}},
                       members_json(daemon.fleet_state,
                                    revision_in(request, daemon.tables.configuration.revision)));
    } else {
        response->send(not_found_status, {{"content-type", "application/json"}},
                       error_json({error_kind::not_found, "no such path: " + request.path,
                                   "use /v1/config, /v1/status, /v1/members, /v1/orders, "
                                   "/v1/quarantine, /v1/placement, /metrics or /healthz"},
                                  ""));
    }
}

result<void> open_replica(control_daemon& daemon) {
    process_config const& settings = daemon.settings;
    control_node_settings node;
    node.name = settings.name;
    node.folder = settings.data_folder;
    for (replica_config const& replica : settings.control) {
        node.peers.push_back(replica.name);
    }
    register_tables(daemon.state, daemon.tables);
    std::random_device entropy;
    std::uint64_t const seed = (std::uint64_t{entropy()} << 32U) | entropy();
    BOOST_OUTCOME_TRY(opened, open_control_node(std::move(node), posix_file_layer(), daemon.state,
                                                seed, clock_now(daemon)));
    daemon.node = std::move(opened);
    log_event(events::replica_recovered, {{"revision", daemon.tables.configuration.revision},
                                          {"commit", daemon.node->consensus.commit_index},
                                          {"torn_bytes", daemon.node->torn_bytes}});
    return ok();
}

result<void> check_settings(process_config const& settings) {
    bool listed = false;
    for (replica_config const& replica : settings.control) {
        listed |= replica.name == settings.name && replica.mailbox == settings.mailbox;
    }
    if (settings.data_folder.empty() || !listed) {
        return fail(error_kind::invalid_settings,
                    "a control replica needs data_folder and must be listed under control with its "
                    "mailbox",
                    "add them to this process's settings");
    }
    return ok();
}

} // namespace

result<daemon_state> run_control(process_config const& settings, bool force_sole_member) {
    BOOST_OUTCOME_TRYV(check_settings(settings));
    auto const state = std::make_shared<control_daemon>(settings);
    auto& daemon = *state;
    BOOST_OUTCOME_TRYV(open_replica(daemon));
    if (force_sole_member) {
        BOOST_OUTCOME_TRYV(fireflycrank::force_sole_member(*daemon.node, clock_now(daemon)));
    }
    std::uint64_t const incarnation = make_incarnation(wall_now(daemon.pool.clock()));
    daemon.fleet_state =
        start_fleet(settings, member_role::control, {}, incarnation, clock_now(daemon));
    daemon.placement.started = clock_now(daemon);
    BOOST_OUTCOME_TRY(own_mailbox, mailbox::open(settings.mailbox, daemon.pool.clock(),
                                                 [&daemon](inbound_message const& message) {
                                                     enqueue(daemon, [&daemon, message] {
                                                         handle_message(daemon, message);
                                                     });
                                                 }));
    daemon.own_mailbox = own_mailbox;
    BOOST_OUTCOME_TRY(server,
                      http_server::open(settings.http, max_request_body_bytes,
                                        [&daemon](http_request const& request,
                                                  std::shared_ptr<http_response> const& response) {
                                            handle_http(daemon, request, response);
                                        }));
    daemon.server = server;
    log_event(events::process_started,
              {{"role", "control"}, {"process", settings.name}, {"incarnation", incarnation}});
    std::thread replica{[&daemon] {
        run_replica(daemon);
        if (daemon.failure) {
            log_event(events::replica_failed, {{"error", describe(*daemon.failure)}});
            flush_log();
            std::cerr << describe(*daemon.failure) << '\n';
            std::_Exit(EXIT_FAILURE);
        }
    }};
    wait_for_stop_signal();
    log_event(events::process_stopping, {});
    {
        std::lock_guard const lock{daemon.inbox_mutex};
        daemon.stopping = true;
    }
    daemon.inbox_changed.notify_one();
    replica.join();
    daemon.server->close();
    daemon.pool.stop();
    daemon.own_mailbox->close();
    log_event(events::process_stopped, {});
    return daemon_state{state};
}

} // namespace fireflycrank
