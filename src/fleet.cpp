#include "fleet.h"

#include "digest.h"
#include "membershipwire.h"

namespace fireflycrank {

namespace {

constexpr duration majority_read_patience = std::chrono::seconds{2};

char const* name_of(member_health health) {
    switch (health) {
    case member_health::alive:
        return "alive";
    case member_health::suspect:
        return "suspect";
    case member_health::dead:
        return "dead";
    case member_health::left:
        return "left";
    }
    return "dead";
}

char const* name_of(membership_notice notice) {
    switch (notice) {
    case membership_notice::refuted:
        return "refuted";
    case membership_notice::isolated:
        return "isolated";
    case membership_notice::isolation_ended:
        return "isolation_ended";
    case membership_notice::probe_inconclusive:
        return "probe_inconclusive";
    case membership_notice::stalled:
        return "stalled";
    case membership_notice::incarnation_replaced:
        return "incarnation_replaced";
    }
    return "unknown";
}

log_event_kind const& event_of(config_notice notice) {
    switch (notice) {
    case config_notice::adopted:
        return events::config_adopted;
    case config_notice::stale:
        return events::config_stale;
    case config_notice::expired:
        return events::config_expired;
    case config_notice::contact_restored:
        return events::config_contact_restored;
    case config_notice::conflict:
    case config_notice::digest_mismatch:
    case config_notice::repaired:
        break;
    }
    return events::config_repaired;
}

std::vector<std::string> control_mailboxes(fleet const& state) {
    return state.control.replicas;
}

void send_calls(fleet const& state, std::vector<outgoing_control_call> const& calls,
                fleet_news& news) {
    for (outgoing_control_call const& call : calls) {
        news.send.push_back({call.address,
                             {std::string{control_request_type},
                              encode(control_request{call.call, state.members.self.address})}});
    }
}

void set_hint(fleet& state, time_point now) {
    state.members.hint = make_hint(state.configuration, now);
}

// Begins the linearizable read that tells which revision a majority holds as newest.
void begin_majority_read(fleet& state, fleet_news& news, time_point now) {
    if (state.read_started || state.members.self.role == member_role::control) {
        return;
    }
    state.read_started = now;
    state.read_id = next_call_id(state);
    send_calls(state,
               submit_control_call(state.control, {state.read_id, "config", "", true},
                                   now + majority_read_patience, now),
               news);
}

void finish_majority_read(fleet& state, std::optional<control_reply> const& reply,
                          std::string const& from, fleet_news& news, time_point now) {
    time_point const started = *state.read_started;
    state.read_started.reset();
    if (!reply || !reply->accepted) {
        return;
    }
    auto const answer = decode_config(reply->reply);
    if (!answer || answer.value().ident.revision == 0) {
        return;
    }
    take_configuration(
        state, config_majority_read(state.configuration, answer.value().ident, started, from, now),
        news, now);
}

void take_reply(fleet& state, inbound_message const& message, fleet_news& news, time_point now) {
    auto reply = decode_control_reply(message.body);
    if (!reply) {
        return;
    }
    bool const redirected = reply->error == name_of(error_kind::not_leader);
    control_reply_actions const step = handle_control_reply(
        state.control, reply->id, message.sender, redirected, reply->leader, now);
    send_calls(state, step.send, news);
    if (!step.finished) {
        return;
    }
    if (reply->id == state.read_id && state.read_started) {
        finish_majority_read(state, reply, message.sender, news, now);
        return;
    }
    std::string const id = reply->id;
    news.replies.emplace_back(id, std::move(reply));
}

} // namespace

fleet start_fleet(process_config const& settings, member_role role, std::vector<std::string> serves,
                  std::uint64_t incarnation, time_point now) {
    member_record self;
    self.name = settings.name;
    self.address = settings.mailbox;
    self.public_address = role == member_role::agent ? "" : settings.http;
    self.zone = settings.zone;
    self.serves = std::move(serves);
    self.role = role;
    self.incarnation = incarnation;
    fleet state;
    std::uint64_t const seed = hash64(settings.name, incarnation);
    for (replica_config const& replica : settings.control) {
        state.control.replicas.push_back(replica.mailbox);
    }
    state.control.presumed_leader = seed;
    std::vector<std::string> seeds = settings.seeds;
    seeds.insert(seeds.end(), state.control.replicas.begin(), state.control.replicas.end());
    state.members = start_membership(std::move(self), std::move(seeds), seed, now);
    state.configuration = start_configsync(settings.name, seed);
    return state;
}

void take_membership(fleet& state, membership_actions&& actions, fleet_news& news, time_point now) {
    for (membership_outgoing const& outgoing : actions.send) {
        news.send.push_back(
            {outgoing.address, {std::string{membership_type}, encode(outgoing.message)}});
    }
    for (member_change& change : actions.changes) {
        news.logs.push_back({&events::member_changed,
                             {{"member", change.record.name},
                              {"health", name_of(change.record.health)},
                              {"leaving", change.record.leaving},
                              {"incarnation", change.record.incarnation},
                              {"added", change.added}}});
        news.changes.push_back(std::move(change));
    }
    for (membership_notice const notice : actions.notices) {
        news.logs.push_back({&events::membership_notice_given, {{"notice", name_of(notice)}}});
    }
    for (heard_hint const& heard : actions.hints) {
        take_configuration(state, config_heard(state.configuration, heard, now), news, now);
    }
}

void take_configuration(fleet& state, config_actions&& actions, fleet_news& news, time_point now) {
    for (config_outgoing const& outgoing : actions.send) {
        news.send.push_back(
            {outgoing.address, {std::string{config_type}, encode(outgoing.message)}});
    }
    for (config_notice const notice : actions.notices) {
        news.adopted |= notice == config_notice::adopted;
        news.logs.push_back(
            {&event_of(notice), {{"revision", state.configuration.ident.revision}}});
    }
    if (actions.read_majority) {
        begin_majority_read(state, news, now);
    }
}

fleet_news tick_fleet(fleet& state, time_point now) {
    fleet_news news;
    set_hint(state, now);
    take_membership(state, membership_tick(state.members, now), news, now);
    auto const peers = random_peers(state.members, state.configuration.options.announce_fanout);
    take_configuration(
        state, config_tick(state.configuration, peers, control_mailboxes(state), now), news, now);
    return news;
}

fleet_news tick_control_calls(fleet& state, time_point now) {
    fleet_news news;
    control_tick_actions const step = tick_control_client(state.control, now);
    send_calls(state, step.send, news);
    for (std::string const& id : step.expired) {
        if (id == state.read_id && state.read_started) {
            finish_majority_read(state, std::nullopt, "", news, now);
        } else {
            news.replies.emplace_back(id, std::nullopt);
        }
    }
    return news;
}

std::optional<fleet_news> receive_fleet(fleet& state, inbound_message const& message,
                                        time_point now) {
    fleet_news news;
    if (message.type == membership_type) {
        set_hint(state, now);
        if (auto const parsed = decode_membership(message.body)) {
            take_membership(state,
                            membership_receive(state.members, message.sender, parsed.value(), now),
                            news, now);
        }
        return news;
    }
    if (message.type == config_type) {
        if (auto const parsed = decode_config(message.body)) {
            take_configuration(
                state, config_receive(state.configuration, message.sender, parsed.value(), now),
                news, now);
        }
        return news;
    }
    if (message.type == control_reply_type) {
        take_reply(state, message, news, now);
        return news;
    }
    return std::nullopt;
}

fleet_news ask_control(fleet& state, control_call call, duration patience, time_point now) {
    fleet_news news;
    send_calls(state, submit_control_call(state.control, std::move(call), now + patience, now),
               news);
    return news;
}

std::string next_call_id(fleet& state) {
    return state.members.self.name + "/" + std::to_string(state.members.self.incarnation) + "/" +
           std::to_string(state.next_call++);
}

std::map<std::string, std::string> files_in_force(fleet const& state, time_point now) {
    std::map<std::string, std::string> plain;
    config_files const* files = files_in_service(state.configuration, now);
    if (files == nullptr) {
        return plain;
    }
    for (auto const& [name, file] : *files) {
        plain.emplace(name, file->content);
    }
    return plain;
}

} // namespace fireflycrank
