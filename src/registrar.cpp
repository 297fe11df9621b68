#include "registrar.h"

#include "consensuswire.h"
#include "controlnode.h"
#include "controltables.h"
#include "crashreportlog.h"
#include "departureservice.h"
#include "directorysync.h"
#include "directorywire.h"
#include "engineclient.h"
#include "evacuationtable.h"
#include "packedtext.h"
#include "peeraddress.h"
#include "peerlink.h"
#include "platform/callheaders.h"
#include "platform/engineprotocol.h"
#include "platform/operatorconfig.h"
#include "registrarstop.h"
#include "serviceconfig.h"
#include "servicetable.h"
#include "targetpool.h"

#include <algorithm>

namespace fireflycrank {

namespace {

constexpr std::chrono::milliseconds tick_period{50};
constexpr std::chrono::milliseconds slow_period{1'000};
// A replica whose disk failed is opened again at this period; the directory is served meanwhile.
constexpr std::chrono::milliseconds reopen_period{1'000};
// Pause between pushes of updates, and the same as a multiple of the last push's time.
constexpr std::chrono::milliseconds least_push_pause{50};
constexpr int push_pauses = 4;
// Silent processes are looked for at this period; a quarter of a gateway's life.
constexpr std::chrono::milliseconds list_period{400};
// Longer than gateways keep a silent target, so that none keeps one for not being told of it.
constexpr std::chrono::seconds forget_silent_target{120};
// A leader's message within this time proves that the applied configuration is the newest.
constexpr std::chrono::milliseconds leader_contact_life{450};
// Silence of a voter before an even number of voters is made odd. Longer than a restart takes.
constexpr std::chrono::milliseconds voter_silence{2'500};
// An operator's call is given up by then; it sends the same again.
constexpr std::chrono::milliseconds operator_patience{1'500};
constexpr std::chrono::milliseconds stop_period{20};
// Within this time the event loop notices that the sender of a request is gone.
constexpr std::chrono::milliseconds disconnect_notice{5};
constexpr std::chrono::milliseconds hold_limit{300};
// Requests that crashed targets: those of a rack lost with hundreds of targets fit.
constexpr std::size_t most_suspects_kept = 4'000;
// An hour is longer than most repairs take; a request that crashes its target again is refused on.
constexpr std::chrono::milliseconds quarantine_time{std::chrono::hours{1}};
// Requests that crashed more than one target and are told to gateways; 12 KB.
constexpr std::size_t most_suspects_told = 256;
// The time left of a quarantine is told as it was so long ago at most.
constexpr std::chrono::seconds suspects_life{1};
constexpr std::size_t max_operator_body = 16U << 20U;
// Decoded values up to this size are covered by what the process keeps for itself.
constexpr std::size_t small_json_bytes = 256U << 10U;

// A core VM has a small part of a processor, so the timers are slower than the product's own.
constexpr std::chrono::milliseconds heartbeat{100};
constexpr std::chrono::milliseconds election_timeout_min{450};
constexpr std::chrono::milliseconds election_timeout_max{900};
constexpr std::size_t snapshot_bytes = 8U << 20U; // well under the disk's and the memory's size
constexpr std::size_t kept_bytes = 2U << 20U;

constexpr unsigned ok_status = 200;
constexpr unsigned temporary_redirect = 307;
constexpr unsigned bad_request = 400;
constexpr unsigned not_found = 404;
constexpr unsigned body_too_large = 413;
constexpr unsigned unavailable = 503;

constexpr char const* empty_object = "{}";

// An operator's call that waits for the replica.
struct operator_call {
    std::shared_ptr<response_writer> writer;
    bool fetch{false};
    std::uint64_t version{0};
    time_point since{};
    std::optional<evacuation_order> evacuation;
};

struct registrar_daemon {
    explicit registrar_daemon(vm_settings configured)
        : settings{std::move(configured)}, pool{loop.context, loop.clock} {}

    event_loop loop;
    vm_settings settings;
    settings_source read_settings;
    std::string address;
    std::uint64_t run{0};
    std::shared_ptr<metrics_registry> metrics = make_metrics();
    std::shared_ptr<peer_link> link;
    target_pool pool; ///< to engines, for holds
    std::shared_ptr<http_listener> control;
    std::shared_ptr<http_listener> metrics_listener;

    target_directory directory;
    directory_publisher publisher;
    directory_subscriber subscriber; ///< to the other registrars
    departure_service departures;

    service_table services;
    evacuation_table evacuations;
    evacuation_memory evacuation_orders;
    quarantine_table quarantine;
    suspect_list suspects; ///< what gateways are told of `quarantine`
    time_point suspects_made_at{};
    control_state tables;
    std::unique_ptr<control_node> node; ///< null while the disk fails
    time_point reopen_at{};
    std::string last_leader;
    member_list last_members;
    std::uint64_t last_version{0};
    std::uint64_t last_evacuations{0};                           ///< revision
    std::map<std::uint64_t, operator_call> operator_calls;       ///< by request number
    std::map<std::uint64_t, crash_report_message> crash_reports; ///< by request number
    std::uint64_t last_request{0};
    bool flush_posted{false};
    bool push_due{false}; ///< subscribers have news that must not wait for their next beat
    time_point push_at{}; ///< not before
    bool list_due{false}; ///< another registrar told of processes
    time_point list_at{}; ///< the list is refreshed by then
    std::uint64_t pushed_version{0};
    std::optional<registrar_stop> stop; ///< after the stop signal
};

time_point daemon_now(registrar_daemon const& daemon) {
    return loop_now(daemon.loop);
}

std::string control_address(registrar_daemon const& daemon, std::string const& replica) {
    auto const& own = daemon.settings.listen.control;
    return ip_of(replica) + own.substr(own.rfind(':'));
}

void post_flush(registrar_daemon& daemon);

// --- the replica -------------------------------------------------------------------------------

void open_replica(registrar_daemon& daemon) {
    daemon.services = {};
    daemon.evacuations = {};
    daemon.evacuation_orders = {};
    daemon.evacuation_orders.repeat_time = daemon.settings.bounds.ack_timeout;
    daemon.quarantine = {};
    daemon.crash_reports.clear();
    daemon.quarantine.limits.entries = most_suspects_kept;
    daemon.quarantine.limits.quarantine_time = quarantine_time;
    daemon.tables = {};
    register_services(daemon.tables, daemon.services);
    register_evacuations(daemon.tables, daemon.evacuations);
    register_quarantine(daemon.tables, daemon.quarantine);
    control_node_settings settings;
    settings.name = daemon.address;
    settings.peers = seed_peers(daemon.settings);
    settings.folder = daemon.settings.data_folder + "/control";
    settings.snapshot_log_bytes = snapshot_bytes;
    settings.consensus.heartbeat = heartbeat;
    settings.consensus.election_timeout_min = election_timeout_min;
    settings.consensus.election_timeout_max = election_timeout_max;
    settings.consensus.trailing_bytes = kept_bytes;
    settings.consensus.open_membership = true;
    settings.consensus.allow_bootstrap = daemon.settings.first_start;
    settings.consensus.lease_reads = false;
    auto opened = open_control_node(settings, posix_file_layer(), daemon.tables, random_seed(),
                                    daemon_now(daemon));
    if (!opened) {
        log_event(events::replica_failed, {{"error", describe(opened.error())}});
        daemon.reopen_at = daemon_now(daemon) + reopen_period;
        return;
    }
    daemon.node = std::move(opened).value();
    log_event(events::replica_recovered, {{"replica", daemon.address},
                                          {"applied", daemon.tables.applied_index},
                                          {"last", last_index(daemon.node->consensus)},
                                          {"torn_bytes", daemon.node->torn_bytes},
                                          {"version", daemon.services.current.version}});
}

bool leads(registrar_daemon const& daemon) {
    return daemon.node && daemon.node->consensus.role == replica_role::leader;
}

// Whether this replica's tables are certainly the newest, as far as that can be told without
// a round of messages.
bool is_confirmed(registrar_daemon const& daemon) {
    if (!daemon.node) {
        return false;
    }
    auto const& core = daemon.node->consensus;
    auto const at = daemon_now(daemon);
    if (daemon.tables.applied_index < core.commit_index) {
        return false;
    }
    if (core.role == replica_role::leader) {
        return lease_holds(core, at);
    }
    return !core.leader.empty() && at - core.last_leader_contact < leader_contact_life;
}

void refresh_suspects(registrar_daemon& daemon) {
    auto const at = daemon_now(daemon);
    bool const current = daemon.suspects.revision == daemon.quarantine.revision &&
                         at - daemon.suspects_made_at < suspects_life;
    if (current || daemon.quarantine.revision == 0) {
        return;
    }
    daemon.suspects = {
        daemon.quarantine.revision,
        repeated_suspects(daemon.quarantine, wall_now(daemon.loop.clock), most_suspects_told)};
    daemon.suspects_made_at = at;
}

publisher_context context_of(registrar_daemon& daemon) {
    refresh_suspects(daemon);
    return {&daemon.directory,    daemon.services.current.version,
            is_confirmed(daemon), daemon_now(daemon),
            &daemon.suspects,     &daemon.evacuations.current};
}

// Tells every subscriber what it does not know. Changes of one moment share a push, and pushes
// take a bounded part of the processor, so that the replica and the operator are served meanwhile.
void push_updates(registrar_daemon& daemon) {
    auto const begun = daemon_now(daemon);
    if (begun < daemon.push_at) {
        daemon.push_due = true; // the next tick does it
        return;
    }
    daemon.push_due = false;
    auto const context = context_of(daemon);
    for (auto const& [address, state] : daemon.publisher.subscribers) {
        auto const update = update_for(daemon.publisher, address, context);
        bool const is_agent = state.entry.role == daemon_role::rank_agent;
        bool const new_version = context.config_version > daemon.pushed_version &&
                                 state.entry.role == daemon_role::gateway;
        // An agent's list of processes may wait for its next beat.
        bool const news = is_agent ? !update.targets.empty() : has_news(update);
        if (news || new_version) {
            daemon.link->send(address, update_type, serialize(update));
        }
    }
    daemon.pushed_version = context.config_version;
    auto const end = daemon_now(daemon);
    daemon.push_at = end + std::max<duration>(least_push_pause, push_pauses * (end - begun));
}

void answer_evacuation(registrar_daemon& daemon, operator_call const& call,
                       control_node_reply const& reply) {
    auto const list = parse_evacuation_list(reply.outcome.value());
    // Only what is in force is acknowledged.
    if (!list || is_change(list.value(), *call.evacuation)) {
        call.writer->send(unavailable, {}, {});
        return;
    }
    log_bounded(daemon.loop, events::evacuation_ordered,
                {{"zone", call.evacuation->zone},
                 {"evacuate", call.evacuation->evacuate},
                 {"revision", list.value().revision},
                 {"zones", joined_zones(list.value())},
                 {"index", reply.index},
                 {"term", reply.term},
                 {"took_ms", in_millis(daemon_now(daemon) - call.since)}});
    send_json(*call.writer, ok_status, empty_object);
}

void answer_operator(registrar_daemon& daemon, control_node_reply const& reply) {
    daemon.evacuation_orders.pending.erase(reply.request);
    auto const found = daemon.operator_calls.find(reply.request);
    if (found == daemon.operator_calls.end()) {
        return;
    }
    auto const call = std::move(found->second);
    daemon.operator_calls.erase(found);
    if (!reply.outcome) {
        log_bounded(daemon.loop, events::change_refused,
                    {{"version", call.version},
                     {"zone", call.evacuation ? call.evacuation->zone : std::string{}},
                     {"reason", describe(reply.outcome.error())},
                     {"fetch", call.fetch}});
        call.writer->send(unavailable, {}, {});
        return;
    }
    if (call.evacuation) {
        answer_evacuation(daemon, call, reply);
        return;
    }
    if (!call.fetch) {
        auto const outcome = parse_install_reply(reply.outcome.value());
        log_bounded(daemon.loop, events::change_committed,
                    {{"version", call.version},
                     {"in_force", outcome ? outcome.value().version : 0},
                     {"index", reply.index},
                     {"term", reply.term},
                     {"took_ms", in_millis(daemon_now(daemon) - call.since)}});
        send_json(*call.writer, ok_status, empty_object);
        return;
    }
    auto body = parse_configuration(reply.outcome.value());
    if (!body || body.value().version == 0) {
        call.writer->send(unavailable, {}, {});
        return;
    }
    auto text = unpack_text(body.value().packed, max_configuration_bytes);
    if (!text) {
        log_bounded(daemon.loop, events::configuration_unreadable,
                    {{"version", body.value().version}, {"error", describe(text.error())}});
        call.writer->send(unavailable, {}, {});
        return;
    }
    send_json(*call.writer, ok_status, std::move(text).value());
}

// Tells the gateway that its report is in the log.
void answer_crash_report(registrar_daemon& daemon, control_node_reply const& reply) {
    auto const found = daemon.crash_reports.find(reply.request);
    if (found == daemon.crash_reports.end()) {
        return;
    }
    auto const report = std::move(found->second);
    daemon.crash_reports.erase(found);
    if (!reply.outcome) {
        log_bounded(daemon.loop, events::crash_report_dropped,
                    {{"report", report.number},
                     {"gateway", report.gateway},
                     {"reason", describe(reply.outcome.error())}});
        return; // the gateway sends it again
    }
    log_recorded_report(daemon.loop, report, reply.outcome.value());
    daemon.link->send(report.gateway, crash_recorded_type, serialize_recorded(report.number));
}

void note_quarantine(registrar_daemon& daemon) {
    if (daemon.suspects.revision == daemon.quarantine.revision) {
        return;
    }
    refresh_suspects(daemon);
    auto const quarantined =
        std::count_if(daemon.suspects.requests.begin(), daemon.suspects.requests.end(),
                      [](suspect_request const& one) { return one.quarantine_left.count() > 0; });
    log_bounded(daemon.loop, events::quarantine_updated,
                {{"revision", daemon.quarantine.revision},
                 {"entries", daemon.quarantine.entries.size()},
                 {"repeated", daemon.suspects.requests.size()},
                 {"quarantined", quarantined}});
    push_updates(daemon);
}

// Gateways are told at once, as of a new configuration.
void note_evacuations(registrar_daemon& daemon) {
    for (auto const& order : std::exchange(daemon.evacuations.applied, {})) {
        note_applied(daemon.evacuation_orders, order, wall_now(daemon.loop.clock));
    }
    auto const revision = daemon.evacuations.current.revision;
    if (revision != std::exchange(daemon.last_evacuations, revision)) {
        push_updates(daemon);
    }
}

void note_changes(registrar_daemon& daemon) {
    note_evacuations(daemon);
    auto const& leader = leader_of(*daemon.node);
    if (leader != daemon.last_leader) {
        daemon.last_leader = leader;
        log_event(events::leader_changed,
                  {{"leader", leader}, {"term", daemon.node->consensus.hard.term}});
    }
    auto const& members = members_of(daemon.node->consensus);
    if (members != daemon.last_members) {
        daemon.last_members = members;
        std::string text;
        for (auto const& one : members) {
            text += one.name + (one.voter ? " " : "(learner) ");
        }
        log_event(events::replica_member_changed, {{"members", text}});
    }
    if (daemon.services.current.version != daemon.last_version) {
        log_event(events::configuration_in_force,
                  {{"version", daemon.services.current.version},
                   {"before", daemon.last_version},
                   {"from", "log"},
                   {"bytes", daemon.services.current.packed.size()}});
        daemon.last_version = daemon.services.current.version;
        push_updates(daemon);
    }
    note_quarantine(daemon);
}

void flush_replica(registrar_daemon& daemon) {
    daemon.flush_posted = false;
    if (!daemon.node) {
        return;
    }
    auto const output = flush(*daemon.node, daemon_now(daemon));
    for (auto const& message : output.messages) {
        daemon.link->send(message.to, consensus_message_type, serialize_consensus_message(message));
    }
    for (auto const& reply : output.replies) {
        answer_operator(daemon, reply);
        answer_crash_report(daemon, reply);
    }
    note_changes(daemon);
    if (output.stop_reason) {
        log_event(events::replica_failed, {{"error", describe(*output.stop_reason)}});
        daemon.node.reset();
        daemon.reopen_at = daemon_now(daemon) + reopen_period;
    }
}

// Several messages that arrived together share one sync.
void post_flush(registrar_daemon& daemon) {
    if (!daemon.flush_posted) {
        daemon.flush_posted = true;
        net::post(daemon.loop.context, [&daemon] { flush_replica(daemon); });
    }
}

void remove_superfluous_voter(registrar_daemon& daemon) {
    auto const at = daemon_now(daemon);
    auto const lost = find_removable_voter(daemon.node->consensus, voter_silence, at);
    if (!lost) {
        return;
    }
    // A refusal means that another change is under way; the next tick tries again.
    if (change_member(*daemon.node, ++daemon.last_request, *lost, true, at)) {
        log_event(events::replica_member_changed, {{"removing", lost->name}});
    }
}

void tick_replica(registrar_daemon& daemon) {
    auto const at = daemon_now(daemon);
    note_time(daemon.evacuation_orders, at);
    if (!daemon.node) {
        if (at >= daemon.reopen_at) {
            open_replica(daemon);
        }
        return;
    }
    auto& contacts = daemon.node->consensus.discovery_contacts;
    contacts.clear();
    for (auto const& [address, contact] : daemon.subscriber.registrars) {
        contacts.push_back(address);
    }
    tick(*daemon.node, at);
    remove_superfluous_voter(daemon);
    post_flush(daemon);
}

// --- the operator ------------------------------------------------------------------------------

void redirect_to_leader(registrar_daemon& daemon, incoming_request const& request,
                        response_writer& writer) {
    auto const leader = daemon.node ? leader_of(*daemon.node) : std::string{};
    if (leader.empty() || leader == daemon.address) {
        writer.send(unavailable, {}, {});
        return;
    }
    writer.send(temporary_redirect,
                {{"Location", platform::redirect_location(control_address(daemon, leader),
                                                          request.head.target)}},
                {});
}

owed_answers owed_by(registrar_daemon const& daemon) {
    return {daemon.operator_calls.size() + daemon.departures.callers.size(),
            daemon.control->active_connections()};
}

// Whether the stop is so far that a call which needs a majority may not be settled any more.
bool refuses_new(registrar_daemon const& daemon) {
    return daemon.stop &&
           step_registrar_stop(*daemon.stop, owed_by(daemon), daemon_now(daemon)).refuse_new;
}

void replace_configuration(registrar_daemon& daemon, incoming_request const& request,
                           std::shared_ptr<response_writer> const& writer) {
    auto decoded = platform::decode_configuration(request.body);
    auto const checked = decoded ? index_config(decoded.value()) : ok();
    if (!decoded || !checked) {
        auto const& reason = decoded ? checked.error() : decoded.error();
        log_bounded(
            daemon.loop, events::change_refused,
            {{"version", decoded ? decoded.value().version : 0}, {"reason", describe(reason)}});
        send_json(*writer, bad_request, "{\"error\":" + json_quote(describe(reason)) + "}");
        return;
    }
    auto const version = decoded.value().version;
    // A committed version that is not lower settles the call on any replica.
    if (version <= daemon.services.current.version) {
        log_bounded(daemon.loop, events::change_committed,
                    {{"version", version}, {"in_force", daemon.services.current.version}});
        send_json(*writer, ok_status, empty_object);
        return;
    }
    if (!leads(daemon)) {
        redirect_to_leader(daemon, request, *writer);
        return;
    }
    if (refuses_new(daemon)) {
        log_bounded(daemon.loop, events::change_refused,
                    {{"version", version}, {"reason", "this registrar is stopping"}});
        writer->send(unavailable, {}, {});
        return;
    }
    auto const number = ++daemon.last_request;
    auto const submitted =
        submit(*daemon.node, number,
               {service_table_kind, serialize(configuration_body{version, pack_text(request.body)}),
                wall_now(daemon.loop.clock)});
    if (!submitted) {
        log_bounded(daemon.loop, events::change_refused,
                    {{"version", version}, {"reason", describe(submitted.error())}});
        writer->send(unavailable, {}, {});
        return;
    }
    daemon.operator_calls[number] = {writer, false, version, daemon_now(daemon), {}};
    post_flush(daemon);
}

void fetch_configuration(registrar_daemon& daemon, incoming_request const& request,
                         std::shared_ptr<response_writer> const& writer) {
    if (!leads(daemon)) {
        redirect_to_leader(daemon, request, *writer);
        return;
    }
    auto const number = ++daemon.last_request;
    if (refuses_new(daemon) ||
        !read(*daemon.node, number, service_table_kind, {}, daemon_now(daemon))) {
        writer->send(unavailable, {}, {});
        return;
    }
    daemon.operator_calls[number] = {writer, true, 0, daemon_now(daemon), {}};
    post_flush(daemon);
}

// Why an evacuation order cannot be taken now; null if it can. The operator repeats it.
char const* evacuation_obstacle(registrar_daemon const& daemon, evacuation_order const& order) {
    if (refuses_new(daemon)) {
        return "this registrar is stopping";
    }
    // Before, the log may hold orders of an earlier leader that this one has not applied.
    if (daemon.tables.applied_index < daemon.node->consensus.term_start_index) {
        return "the log of earlier leaders is not applied yet";
    }
    return awaits_opposite(daemon.evacuation_orders, order) ? "an opposite order is not settled"
                                                            : nullptr;
}

void order_evacuation(registrar_daemon& daemon, incoming_request const& request,
                      evacuation_order const& order,
                      std::shared_ptr<response_writer> const& writer) {
    if (!daemon.settings.zone_regions.contains(order.zone)) {
        log_bounded(daemon.loop, events::change_refused,
                    {{"zone", order.zone}, {"reason", "the settings name no such zone"}});
        send_json(*writer, bad_request, "{\"error\":\"unknown zone\"}");
        return;
    }
    if (!leads(daemon)) {
        redirect_to_leader(daemon, request, *writer);
        return;
    }
    auto const refuse = [&](std::string const& reason, std::optional<duration> wait = {}) {
        // Rounded up to what the header states, so that a repeat then is not early.
        using centiseconds = std::chrono::duration<std::int64_t, std::centi>;
        std::optional<std::chrono::milliseconds> ms;
        if (wait) {
            ms = std::chrono::ceil<centiseconds>(*wait);
        }
        log_bounded(daemon.loop, events::change_refused,
                    {{"zone", order.zone},
                     {"evacuate", order.evacuate},
                     {"reason", reason},
                     {"retry_after_ms", ms ? ms->count() : 0}});
        writer->send(unavailable, platform::gateway_response_headers({}, ms), {});
    };
    if (auto const* const obstacle = evacuation_obstacle(daemon, order)) {
        refuse(obstacle);
        return;
    }
    note_time(daemon.evacuation_orders, daemon_now(daemon));
    auto const wait = wait_for_copies(daemon.evacuation_orders, daemon.evacuations.current, order);
    if (wait > duration::zero()) {
        refuse("may repeat an order that the opposite one overruled", wait);
        return;
    }
    auto const number = ++daemon.last_request;
    auto const submitted =
        submit(*daemon.node, number,
               {evacuation_table_kind, serialize(order), wall_now(daemon.loop.clock)});
    if (!submitted) {
        refuse(describe(submitted.error()));
        return;
    }
    daemon.evacuation_orders.pending[number] = order;
    daemon.operator_calls[number] = {writer, false, 0, daemon_now(daemon), order};
    post_flush(daemon);
}

// A suspended process wakes with requests in its sockets whose senders have long given up. They are
// dropped, since the operator may have ordered the opposite elsewhere.
void take_evacuation(registrar_daemon& daemon, incoming_request const& request,
                     evacuation_order const& order,
                     std::shared_ptr<response_writer> const& writer) {
    auto const gone = std::make_shared<bool>(false);
    writer->on_disconnect([gone] { *gone = true; });
    run_every(daemon.loop, disconnect_notice, [&daemon, request, order, writer, gone] {
        if (!*gone) {
            order_evacuation(daemon, request, order, writer);
        }
        return false;
    });
}

void end_operator_calls(registrar_daemon& daemon, duration least_age) {
    auto const at = daemon_now(daemon);
    std::vector<std::uint64_t> old;
    for (auto const& [number, call] : daemon.operator_calls) {
        if (at - call.since >= least_age) {
            old.push_back(number);
        }
    }
    for (auto const number : old) {
        auto const call = std::move(daemon.operator_calls.at(number));
        daemon.operator_calls.erase(number);
        log_bounded(daemon.loop, events::change_refused,
                    {{"version", call.version},
                     {"zone", call.evacuation ? call.evacuation->zone : std::string{}},
                     {"reason", "no majority in time; the outcome is open"},
                     {"fetch", call.fetch}});
        call.writer->send(unavailable, {}, {});
    }
}

// --- targets -----------------------------------------------------------------------------------

std::vector<std::string> voters(registrar_daemon const& daemon) {
    std::vector<std::string> names;
    if (daemon.node) {
        for (auto const& one : members_of(daemon.node->consensus)) {
            if (one.voter) {
                names.push_back(one.name);
            }
        }
    }
    return names;
}

// Departures that earlier processes recorded are known before anybody is served.
void take_recorded(registrar_daemon& daemon, std::vector<target_announcement> const& recorded) {
    for (auto const& target : recorded) {
        daemon.push_due = apply_announcement(daemon.directory, target, announcement_source::peer,
                                             daemon_now(daemon)) ||
                          daemon.push_due;
    }
}

void settle_departure(registrar_daemon& daemon, target_announcement const& target,
                      std::shared_ptr<response_writer> writer) {
    if (refuses_new(daemon)) {
        writer->send(unavailable, {}, {}); // the target asks another registrar
        return;
    }
    begin_departing(daemon.departures, target, std::move(writer));
}

void log_target(registrar_daemon& daemon, target_announcement const& said, char const* from) {
    log_bounded(daemon.loop, events::target_changed,
                {{"target", said.id},
                 {"service", said.service},
                 {"address", said.address},
                 {"condition", static_cast<int>(said.state)},
                 {"sequence", said.sequence},
                 {"born", said.started_at.time_since_epoch().count()},
                 {"from", from}});
}

void refuse_announcement(registrar_daemon& daemon, std::string_view type, std::string_view fault,
                         incoming_request const& request, response_writer& writer,
                         unsigned status = bad_request) {
    count(*daemon.metrics, "fireflycrank_announcements_refused_total",
          "fault=\"" + std::string{fault} + "\"");
    log_bounded(daemon.loop, events::message_malformed,
                {{"type", type}, {"sender", request.remote_ip}, {"error", fault}});
    writer.send(status, {}, {});
}

void take_heartbeat(registrar_daemon& daemon, std::string const& id,
                    incoming_request const& request,
                    std::shared_ptr<response_writer> const& writer) {
    auto const said = platform::decode_heartbeat(id, request.body);
    if (!said || !parse_endpoint(said->address)) {
        refuse_announcement(daemon, "heartbeat", "malformed", request, *writer);
        return;
    }
    if (auto const fault = check_text(*said); fault != announcement_fault::none) {
        refuse_announcement(daemon, "heartbeat", name_of(fault), request, *writer);
        return;
    }
    if (!has_room_for(daemon.directory, *said, daemon_now(daemon))) {
        refuse_announcement(daemon, "heartbeat", "no_room", request, *writer, unavailable);
        return;
    }
    bool const urgent = apply_announcement(daemon.directory, *said, announcement_source::target,
                                           daemon_now(daemon));
    if (urgent) {
        log_target(daemon, *said, "target");
        push_updates(daemon);
    }
    if (said->state == target_phase::ready) {
        send_json(*writer, ok_status, empty_object);
        return;
    }
    settle_departure(daemon, *said, writer);
}

void take_deregistration(registrar_daemon& daemon, std::string const& id,
                         incoming_request const& request,
                         std::shared_ptr<response_writer> const& writer) {
    target_announcement named;
    named.id = id;
    if (auto const fault = check_text(named); fault != announcement_fault::none) {
        refuse_announcement(daemon, "deregistration", name_of(fault), request, *writer);
        return;
    }
    auto const gone =
        apply_departure(daemon.directory, id, platform::decode_departure_start(request.body),
                        wall_now(daemon.loop.clock), daemon_now(daemon));
    log_target(daemon, gone, "target");
    push_updates(daemon);
    settle_departure(daemon, gone, writer);
}

void serve_control(registrar_daemon& daemon, incoming_request const& request,
                   std::shared_ptr<response_writer> const& writer) {
    // Values take far more memory than their text, so a legal size alone does not bound them.
    auto const decoded = decoded_json_bytes(request.body);
    if (decoded > request.body.size() + small_json_bytes && !writer->hold(decoded)) {
        auto const alone = decoded + 2 * request.body.size();
        bool const never =
            missing_bytes({daemon.loop.admission->budget.limits, 0}, alone, false) > 0;
        daemon.loop.admission->count_refusal(never ? "too_many_values" : "no_room");
        writer->send(never ? body_too_large : unavailable, {}, {});
        return;
    }
    auto const call = platform::decode_registrar_request(request.head.method, request.head.target);
    switch (call.kind) {
    case platform::registrar_request_kind::heartbeat:
        take_heartbeat(daemon, call.target_id, request, writer);
        return;
    case platform::registrar_request_kind::departure:
        take_deregistration(daemon, call.target_id, request, writer);
        return;
    case platform::registrar_request_kind::replace_configuration:
        replace_configuration(daemon, request, writer);
        return;
    case platform::registrar_request_kind::fetch_configuration:
        fetch_configuration(daemon, request, writer);
        return;
    case platform::registrar_request_kind::begin_evacuation:
        take_evacuation(daemon, request, {call.zone, true, false}, writer);
        return;
    case platform::registrar_request_kind::finish_evacuation:
        take_evacuation(daemon, request, {call.zone, false, false}, writer);
        return;
    case platform::registrar_request_kind::unknown:
        writer->send(not_found, {}, {});
    }
}

// --- our own processes -------------------------------------------------------------------------

void on_beat(registrar_daemon& daemon, directory_beat const& beat) {
    auto const at = daemon_now(daemon);
    for (auto const& address : beat.registrars) {
        if (!daemon.subscriber.registrars.contains(address)) {
            daemon.subscriber.registrars[address].learned_at = at;
        }
    }
    daemon.push_due = take_beat(daemon.publisher, beat, at) || daemon.push_due;
    daemon.link->send(
        beat.self.address, update_type,
        serialize(update_for(daemon.publisher, beat.self.address, context_of(daemon))));
}

void on_update(registrar_daemon& daemon, std::string const& from, directory_update const& update) {
    auto const at = daemon_now(daemon);
    take_update(daemon.subscriber, from, update, at);
    daemon.list_due = daemon.list_due || update.all_daemons || !update.daemons.empty() ||
                      !update.gone_daemons.empty();
    bool urgent = false;
    for (auto const& said : update.targets) {
        if (apply_announcement(daemon.directory, said, announcement_source::peer, at)) {
            urgent = true;
            if (said.state != target_phase::ready) {
                record_heard(daemon.departures, said);
            }
        }
    }
    if (urgent) {
        push_updates(daemon);
    }
}

void on_departure(registrar_daemon& daemon, std::string const& from,
                  departure_notice const& notice) {
    if (check_text(notice.target) != announcement_fault::none) {
        return; // from a registrar that does not check it; never recorded
    }
    if (apply_announcement(daemon.directory, notice.target, announcement_source::peer,
                           daemon_now(daemon))) {
        log_target(daemon, notice.target, from.c_str());
        push_updates(daemon);
    }
    record_for_peer(daemon.departures, from, notice);
}

void on_configuration_request(registrar_daemon& daemon, std::string const& from,
                              std::uint64_t above) {
    if (daemon.services.current.version > above) {
        daemon.link->send(from, configuration_body_type, serialize(daemon.services.current));
    }
}

// A gateway's report for the quarantine table. Any registrar takes it; the leader proposes it.
void on_crash_report(registrar_daemon& daemon, std::string const& from,
                     crash_report_message const& report) {
    auto const leader = daemon.node ? leader_of(*daemon.node) : std::string{};
    if (leads(daemon)) {
        auto const number = ++daemon.last_request;
        auto const submitted =
            submit(*daemon.node, number,
                   {quarantine_table_kind, report.command, wall_now(daemon.loop.clock)});
        if (submitted) {
            daemon.crash_reports[number] = report;
            post_flush(daemon);
            return;
        }
        log_bounded(daemon.loop, events::crash_report_dropped,
                    {{"report", report.number},
                     {"gateway", report.gateway},
                     {"reason", describe(submitted.error())}});
        return;
    }
    bool const passed_on = from != report.gateway;
    if (leader.empty() || leader == daemon.address || passed_on) {
        log_bounded(daemon.loop, events::crash_report_dropped,
                    {{"report", report.number},
                     {"gateway", report.gateway},
                     {"reason", passed_on ? "passed on to a registrar that does not lead"
                                          : "no leader is known"}});
        return; // the gateway sends it again
    }
    daemon.link->send(leader, crash_report_type, serialize(report));
}

// For the coordinator of an expert group; it sees the effect in its engine's report.
void on_hold_request(registrar_daemon& daemon, std::string const& from,
                     hold_request const& request) {
    platform::engine_command order;
    order.kind = platform::engine_command_kind::hold;
    order.epoch = request.epoch;
    order.fence = request.version;
    order.pass = request.pass;
    call_engine(daemon.loop, daemon.pool, request.engine_address,
                platform::encode_command_request(request.engine_address, order), hold_limit,
                [&daemon, from, request](std::optional<engine_response> answer) {
                    daemon.link->send(from, hold_answered_type, serialize(request));
                    log_bounded(daemon.loop, events::rank_order_ended,
                                {{"operation", "hold"},
                                 {"engine", request.engine_address},
                                 {"version", request.version},
                                 {"pass", request.pass},
                                 {"status", answer ? answer->status : 0}});
                });
}

bool dispatch(registrar_daemon& daemon, peer_message const& message) {
    if (message.type == consensus_message_type) {
        bool const parsed =
            !daemon.node || receive_bytes(*daemon.node, message.body, daemon_now(daemon));
        post_flush(daemon);
        return parsed;
    }
    if (message.type == beat_type) {
        auto const beat = parse_beat(message.body);
        return beat && (on_beat(daemon, beat.value()), true);
    }
    if (message.type == update_type) {
        auto const update = parse_update(message.body);
        return update && (on_update(daemon, message.sender, update.value()), true);
    }
    if (message.type == departure_type) {
        auto const notice = parse_departure(message.body);
        return notice && (on_departure(daemon, message.sender, notice.value()), true);
    }
    if (message.type == departure_recorded_type) {
        auto const number = parse_recorded(message.body);
        return number &&
               (take_confirmation(daemon.departures, message.sender, number.value()), true);
    }
    if (message.type == configuration_request_type) {
        auto const above = parse_configuration_request(message.body);
        return above && (on_configuration_request(daemon, message.sender, above.value()), true);
    }
    if (message.type == crash_report_type) {
        auto const report = parse_crash_report(message.body);
        return report && (on_crash_report(daemon, message.sender, report.value()), true);
    }
    if (message.type == hold_request_type) {
        auto const request = parse_hold_request(message.body);
        return request && (on_hold_request(daemon, message.sender, request.value()), true);
    }
    return false;
}

void on_message(registrar_daemon& daemon, peer_message const& message) {
    if (!dispatch(daemon, message)) {
        log_bounded(daemon.loop, events::message_malformed,
                    {{"type", message.type}, {"sender", message.sender}});
    }
}

// --- the process -------------------------------------------------------------------------------

void reload(registrar_daemon& daemon) {
    auto fresh = daemon.read_settings();
    if (!fresh) {
        log_event(events::settings_refused, {{"error", describe(fresh.error())}});
        return;
    }
    daemon.settings.seeds = fresh.value().seeds;
    configure_registrars(daemon.subscriber, seed_peers(daemon.settings), daemon_now(daemon));
    log_event(events::settings_reloaded, {{"seeds", daemon.settings.seeds.size()}});
}

// Answers all that no majority has settled; what was proposed may still take effect.
void refuse_waiting(registrar_daemon& daemon) {
    end_operator_calls(daemon, duration::zero());
    refuse_departures(daemon.departures);
}

// Ends the process once its answers are written, at the latest at the end of the plan.
bool advance_stop(registrar_daemon& daemon) {
    auto const step = step_registrar_stop(*daemon.stop, owed_by(daemon), daemon_now(daemon));
    if (step.refuse_new) {
        daemon.control->close_idle(duration::zero());
    }
    if (step.refuse_waiting) {
        refuse_waiting(daemon);
    }
    if (step.may_end) {
        daemon.loop.context.stop();
    }
    return !step.may_end;
}

void begin_stop(registrar_daemon& daemon) {
    if (daemon.stop) {
        return;
    }
    log_event(events::process_stopping, {{"in_flight", owed_by(daemon).calls}});
    daemon.stop = plan_registrar_stop(daemon_now(daemon), daemon.settings.bounds.grace);
    daemon.control->stop_accepting();
    daemon.control->close_after_responses();
    run_every(daemon.loop, stop_period, [&daemon] { return advance_stop(daemon); });
}

void send_beats(registrar_daemon& daemon) {
    for (auto const& beat : due_beats(daemon.subscriber, false, daemon_now(daemon))) {
        daemon.link->send(beat.to, beat_type, serialize(beat.message));
    }
}

void refresh_list(registrar_daemon& daemon) {
    auto const at = daemon_now(daemon);
    if (!daemon.list_due && at < daemon.list_at) {
        return;
    }
    daemon.list_due = false;
    daemon.list_at = at + list_period;
    if (refresh_daemons(daemon.publisher, relayed_daemons(daemon.subscriber, at), at)) {
        daemon.push_due = true;
    }
}

void start_periodic_work(registrar_daemon& daemon) {
    run_every(daemon.loop, tick_period, [&daemon] {
        daemon.link->tick();
        daemon.pool.expire_connections();
        tick_replica(daemon);
        send_beats(daemon);
        advance_departures(daemon.departures);
        refresh_list(daemon);
        if (daemon.push_due) {
            push_updates(daemon);
        }
        return true;
    });
    run_every(daemon.loop, slow_period, [&daemon] {
        directory_settings times;
        times.silent_retention = forget_silent_target;
        remove_expired(daemon.directory, times, daemon_now(daemon));
        end_operator_calls(daemon, operator_patience);
        daemon.departures.store->maintain(
            wall_now(daemon.loop.clock),
            [&daemon](auto const& recorded) { take_recorded(daemon, recorded); });
        daemon.control->enforce_timeouts();
        daemon.metrics_listener->enforce_timeouts();
        report_outsiders(daemon.loop, *daemon.metrics);
        set_gauge(*daemon.metrics, "fireflycrank_targets_known", "",
                  static_cast<double>(daemon.directory.targets.size()));
        set_gauge(*daemon.metrics, "fireflycrank_targets_evicted", "",
                  static_cast<double>(daemon.directory.evicted));
        set_gauge(*daemon.metrics, "fireflycrank_configuration_version", "",
                  static_cast<double>(daemon.services.current.version));
        set_gauge(*daemon.metrics, "fireflycrank_evacuated_zones", "",
                  static_cast<double>(daemon.evacuations.current.zones.size()));
        set_gauge(*daemon.metrics, "fireflycrank_leads", "", leads(daemon) ? 1 : 0);
        return true;
    });
}

result<void> open_listeners(registrar_daemon& daemon) {
    auto& context = daemon.loop.context;
    BOOST_OUTCOME_TRY(
        link, peer_link::open(context, daemon.address, [&daemon](peer_message const& message) {
            on_message(daemon, message);
        }));
    daemon.link = link;
    daemon.departures.link = link;
    limit_outsiders(daemon.loop, daemon.settings);
    BOOST_OUTCOME_TRY(control, http_listener::open(
                                   context, daemon.settings.listen.control, daemon.loop.clock,
                                   [&daemon](incoming_request const& request,
                                             std::shared_ptr<response_writer> const& out) {
                                       serve_control(daemon, request, out);
                                   },
                                   daemon.loop.admission));
    daemon.control = control;
    listener_limits limits;
    limits.body_bytes = max_operator_body;
    daemon.control->set_limits(limits);
    BOOST_OUTCOME_TRY(metrics, open_metrics(daemon.loop, daemon.settings, daemon.metrics));
    daemon.metrics_listener = metrics;
    return ok();
}

} // namespace

result<void> run_registrar(settings_source const& read_settings, std::string const& settings_path) {
    BOOST_OUTCOME_TRY(settings, read_settings());
    registrar_daemon daemon{std::move(settings)};
    daemon.read_settings = read_settings;
    daemon.address = peer_address(daemon.settings, daemon.settings.ip);
    daemon.run = static_cast<std::uint64_t>(wall_now(daemon.loop.clock).time_since_epoch().count());
    daemon.publisher.address = daemon.address;
    daemon.publisher.zone = daemon.settings.zone;
    daemon.publisher.run = daemon.run;
    daemon.subscriber.self.address = daemon.address;
    daemon.subscriber.self.role = daemon_role::registrar;
    daemon.subscriber.self.zone = daemon.settings.zone;
    daemon.subscriber.self.started = daemon.run;
    configure_registrars(daemon.subscriber, seed_peers(daemon.settings), daemon_now(daemon));
    handle_signals(
        daemon.loop, [&daemon] { begin_stop(daemon); }, [&daemon] { reload(daemon); });
    open_replica(daemon);
    take_recorded(daemon, open_departures(daemon.departures, daemon.loop, daemon.address,
                                          daemon.settings.data_folder + "/departures"));
    daemon.departures.voters = [&daemon] { return voters(daemon); };
    BOOST_OUTCOME_TRYV(open_listeners(daemon));
    watch_file(daemon.loop, settings_path, [&daemon] { reload(daemon); });
    start_periodic_work(daemon);
    log_event(
        events::process_started,
        {{"role", "registrar"}, {"process", daemon.settings.name}, {"incarnation", daemon.run}});
    daemon.loop.context.run();
    log_event(events::process_stopped, {});
    return ok();
}

} // namespace fireflycrank
