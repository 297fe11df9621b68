#include "directorysync.h"

#include <algorithm>

namespace fireflycrank {

void configure_registrars(directory_subscriber& subscriber,
                          std::vector<std::string> const& addresses, time_point now) {
    for (auto& [address, contact] : subscriber.registrars) {
        contact.configured = false;
    }
    for (auto const& address : addresses) {
        auto& contact = subscriber.registrars[address];
        contact.configured = true;
        contact.learned_at = now;
    }
}

std::vector<addressed<directory_beat>> due_beats(directory_subscriber& subscriber, bool at_once,
                                                 time_point now) {
    std::erase_if(subscriber.registrars, [&](auto const& entry) {
        auto const& contact = entry.second;
        auto const last = std::max(contact.heard_at, contact.learned_at);
        return !contact.configured && now - last > subscriber.settings.forget_registrar;
    });
    std::vector<std::string> known;
    for (auto const& [address, contact] : subscriber.registrars) {
        known.push_back(address);
    }
    std::vector<addressed<directory_beat>> beats;
    for (auto& [address, contact] : subscriber.registrars) {
        if (address == subscriber.self.address || (!at_once && now < contact.next_beat)) {
            continue;
        }
        contact.next_beat = now + (subscriber.self.role == daemon_role::rank_agent
                                       ? subscriber.settings.agent_beat_period
                                       : subscriber.settings.beat_period);
        beats.push_back(
            {address,
             {subscriber.self, contact.run, contact.change, contact.daemons_revision, known}});
    }
    return beats;
}

void take_update(directory_subscriber& subscriber, std::string const& from,
                 directory_update const& update, time_point now) {
    auto& contact = subscriber.registrars[from];
    if (contact.run != update.registrar_run) {
        contact.change = 0;
        contact.daemons_revision = 0;
    }
    contact.run = update.registrar_run;
    contact.change = std::max(contact.change, update.change);
    if (update.all_daemons) {
        contact.daemons.clear();
    }
    for (auto const& entry : update.daemons) {
        contact.daemons[entry.address] = entry;
    }
    for (auto const& address : update.gone_daemons) {
        contact.daemons.erase(address);
    }
    contact.daemons_revision = std::max(contact.daemons_revision, update.daemons_revision);
    if (update.config_version > contact.config_version) {
        contact.config_at = now;
    }
    contact.config_version = update.config_version;
    contact.zone = update.zone;
    contact.confirmed = update.confirmed;
    contact.heard_at = now;
    for (auto const& address : update.registrars) {
        if (!subscriber.registrars.contains(address)) {
            subscriber.registrars[address].learned_at = now;
        }
    }
}

std::optional<std::string> configuration_source(directory_subscriber const& subscriber,
                                                std::uint64_t above, time_point now) {
    std::optional<std::string> near;
    std::optional<std::string> far;
    bool near_may_follow = false;
    time_point announced_at = now;
    for (auto const& [address, contact] : subscriber.registrars) {
        if (now - contact.heard_at > subscriber.settings.update_life) {
            continue;
        }
        bool const is_near = contact.zone == subscriber.self.zone;
        if (contact.config_version <= above) {
            near_may_follow = near_may_follow || is_near;
            continue;
        }
        announced_at = std::min(announced_at, contact.config_at);
        (is_near ? near : far) = address;
    }
    bool const waits = near_may_follow && now - announced_at < subscriber.settings.zone_patience;
    if (near || waits) {
        return near;
    }
    return far;
}

std::map<std::string, daemon_entry> listed_daemons(directory_subscriber const& subscriber,
                                                   daemon_role role, time_point now) {
    std::map<std::string, daemon_entry> listed;
    for (auto const& [address, contact] : subscriber.registrars) {
        // Rank agents hear less often.
        auto const life = subscriber.self.role == daemon_role::rank_agent
                              ? subscriber.settings.agent_life
                              : subscriber.settings.update_life;
        if (now - contact.heard_at > life) {
            continue;
        }
        for (auto const& [address, entry] : contact.daemons) {
            if (entry.role != role) {
                continue;
            }
            auto const [place, added] = listed.emplace(entry.address, entry);
            if (!added && entry.started >= place->second.started) {
                // Of two views of one run the one that says it is not ready is the newer one after
                // a stop began; a process becomes ready only once.
                bool const same_run = entry.started == place->second.started;
                bool const ready = entry.ready && (!same_run || place->second.ready);
                place->second = entry;
                place->second.ready = ready;
            }
        }
    }
    return listed;
}

bool take_beat(directory_publisher& publisher, directory_beat const& beat, time_point now) {
    auto& known = publisher.subscribers[beat.self.address];
    bool const changed = known.entry != beat.self;
    if (beat.self.started < known.entry.started) {
        return false; // sent before the process restarted
    }
    known.entry = beat.self;
    known.heard_at = now;
    bool const this_run = beat.registrar_run == publisher.run;
    known.known_change = this_run ? beat.known_change : 0;
    known.known_daemons = this_run ? beat.known_daemons : 0;
    if (beat.self.role == daemon_role::registrar) {
        publisher.registrars.insert(beat.self.address);
    }
    if (changed) {
        known.changed_at = ++publisher.daemons_revision;
        publisher.dropped.erase(beat.self.address);
    }
    return changed;
}

namespace {

// Gateways need gateways; an agent needs gateways and its group; registrars know each other by
// address.
bool concerns(daemon_entry const& subscriber, daemon_entry const& entry) {
    switch (subscriber.role) {
    case daemon_role::gateway:
        return entry.role == daemon_role::gateway;
    case daemon_role::rank_agent:
        return entry.role == daemon_role::gateway ||
               (entry.role == daemon_role::rank_agent && entry.group == subscriber.group);
    default:
        return false;
    }
}

void add_daemons(directory_publisher const& publisher, daemon_entry const& subscriber,
                 std::uint64_t known, directory_update& update) {
    update.all_daemons = known == 0;
    for (auto const& [address, state] : publisher.subscribers) {
        if (state.changed_at > known && concerns(subscriber, state.entry)) {
            update.daemons.push_back(state.entry);
        }
    }
    for (auto const& [address, gone] : publisher.dropped) {
        if (gone.changed_at > known) {
            update.gone_daemons.push_back(address);
        }
    }
}

// An agent needs to know how its own target announced itself.
void add_targets(target_directory const& directory, daemon_entry const& subscriber,
                 std::uint64_t known, directory_update& update) {
    update.targets = changes_after(directory, known);
    if (subscriber.role == daemon_role::rank_agent) {
        std::erase_if(update.targets, [&](target_announcement const& said) {
            return said.address != subscriber.client_address;
        });
    }
}

} // namespace

directory_update update_for(directory_publisher const& publisher, std::string const& address,
                            publisher_context const& context) {
    directory_update update;
    update.registrar_run = publisher.run;
    update.change = context.targets->last_change;
    update.daemons_revision = publisher.daemons_revision;
    update.registrars = {publisher.registrars.begin(), publisher.registrars.end()};
    update.registrars.push_back(publisher.address);
    update.config_version = context.config_version;
    update.confirmed = context.confirmed;
    update.zone = publisher.zone;
    auto const found = publisher.subscribers.find(address);
    bool const known = found != publisher.subscribers.end();
    directory_publisher::subscriber_state const fresh;
    auto const& state = known ? found->second : fresh;
    add_targets(*context.targets, state.entry, state.known_change, update);
    add_daemons(publisher, state.entry, state.known_daemons, update);
    return update;
}

bool has_news(directory_update const& update) {
    return !update.targets.empty() || !update.daemons.empty() || !update.gone_daemons.empty();
}

void forget_daemons(directory_subscriber& subscriber) {
    for (auto& [address, contact] : subscriber.registrars) {
        contact.daemons_revision = 0;
    }
}

bool drop_silent(directory_publisher& publisher, time_point now) {
    std::vector<std::string> silent;
    for (auto const& [address, state] : publisher.subscribers) {
        auto const life = state.entry.role == daemon_role::rank_agent
                              ? publisher.settings.agent_life
                              : publisher.settings.daemon_life;
        if (now - state.heard_at > life) {
            silent.push_back(address);
        }
    }
    for (auto const& address : silent) {
        publisher.subscribers.erase(address);
        publisher.dropped[address] = {++publisher.daemons_revision, now};
    }
    std::erase_if(publisher.dropped, [&](auto const& entry) {
        return now - entry.second.dropped_at > publisher.settings.keep_gone;
    });
    std::erase_if(publisher.registrars, [&](std::string const& address) {
        return !publisher.subscribers.contains(address);
    });
    return !silent.empty();
}

} // namespace fireflycrank
