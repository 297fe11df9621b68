#include "controlclient.h"

#include <algorithm>

namespace fireflycrank {

namespace {

outgoing_control_call send_to_guess(control_client const& client, control_call const& call) {
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
    return {send_to_guess(client, added.call)};
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
    auto const known = std::find(client.replicas.begin(), client.replicas.end(), leader);
    if (known == client.replicas.end() || leader == from) {
        return {}; // an election is under way; the next resend asks another replica
    }
    client.presumed_leader = static_cast<std::size_t>(known - client.replicas.begin());
    found->second.next_send = now + client.timing.resend;
    return {false, {send_to_guess(client, found->second.call)}};
}

control_tick_actions tick_control_client(control_client& client, time_point now) {
    control_tick_actions step;
    bool moved = false;
    for (auto entry = client.pending.begin(); entry != client.pending.end();) {
        pending_control_call& waiting = entry->second;
        if (now >= waiting.deadline) {
            step.expired.push_back(entry->first);
            entry = client.pending.erase(entry);
            continue;
        }
        if (now >= waiting.next_send) {
            // One silent replica delays all requests alike, so one move serves all of them.
            client.presumed_leader += moved ? 0 : 1;
            moved = true;
            waiting.next_send = now + client.timing.resend;
            step.send.push_back(send_to_guess(client, waiting.call));
        }
        ++entry;
    }
    return step;
}

} // namespace fireflycrank
