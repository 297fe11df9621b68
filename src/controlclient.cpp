#include "controlclient.h"

#include <algorithm>

namespace fireflycrank {

namespace {

outgoing_control_call make_outgoing(control_client const& client, control_call const& call) {
    return {client.replicas[client.presumed_leader % client.replicas.size()], call};
}

} // namespace

std::vector<outgoing_control_call> submit_control_call(control_client& client, control_call call,
                                                       time_point deadline, time_point now) {
    if (client.replicas.empty() || client.pending.contains(call.id)) {
        return {};
    }
    std::string const id = call.id;
    auto const& added = client.pending
                            .emplace(id, pending_control_call{std::move(call),
                                                              now + client.timing.resend, deadline})
                            .first->second;
    return {make_outgoing(client, added.call)};
}

control_reply_actions handle_control_reply(control_client& client, std::string const& id,
                                           std::string const& from, bool not_leader,
                                           std::string const& leader, time_point now) {
    auto const found = client.pending.find(id);
    if (found == client.pending.end()) {
        return {};
    }
    if (!not_leader) {
        client.pending.erase(found);
        return {true, {}};
    }
    auto const leader_position = std::find(client.replicas.begin(), client.replicas.end(), leader);
    if (leader_position == client.replicas.end() || leader == from) {
        return {}; // an election is under way; the next resend asks another replica
    }
    client.presumed_leader = static_cast<std::size_t>(leader_position - client.replicas.begin());
    found->second.next_send = now + client.timing.resend;
    return {false, {make_outgoing(client, found->second.call)}};
}

control_tick_actions tick_control_client(control_client& client, time_point now) {
    control_tick_actions actions;
    bool advanced = false;
    for (auto entry = client.pending.begin(); entry != client.pending.end();) {
        pending_control_call& pending = entry->second;
        if (now >= pending.deadline) {
            actions.expired.push_back(entry->first);
            entry = client.pending.erase(entry);
            continue;
        }
        if (now >= pending.next_send) {
            // A silent replica delays all requests alike, so the client moves on to the next
            // replica only once.
            client.presumed_leader += advanced ? 0 : 1;
            advanced = true;
            pending.next_send = now + client.timing.resend;
            actions.send.push_back(make_outgoing(client, pending.call));
        }
        ++entry;
    }
    return actions;
}

} // namespace fireflycrank
