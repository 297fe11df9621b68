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
    bool const is_agent = subscriber.self.role == daemon_role::rank_agent;
    bool const is_registrar = subscriber.self.role == daemon_role::registrar;
    if (!is_registrar) {
        choose_attachments(subscriber, now);
    }
    std::vector<std::string> known;
    for (auto const& [address, contact] : subscriber.registrars) {
        if (!is_agent) {
            known.push_back(address);
        }
    }
    std::vector<addressed<directory_beat>> beats;
    for (auto& [address, contact] : subscriber.registrars) {
        bool const subscribed = is_registrar || contact.attached;
        if (!subscribed || address == subscriber.self.address ||
            (!at_once && now < contact.next_beat)) {
            continue;
        }
        contact.next_beat = now + (is_agent ? subscriber.settings.agent_beat_period
                                            : subscriber.settings.beat_period);
        beats.push_back({address,
                         {subscriber.self, contact.run, contact.change, contact.daemons_revision,
                          known, subscriber.known_suspects, subscriber.evacuations.revision}});
    }
    return beats;
}

namespace {

// An answer to a beat from before the subscriber had its group lacks the group's processes, and
// must not count as known.
void take_daemons(directory_subscriber const& subscriber, registrar_contact& contact,
                  directory_update const& update) {
    if (update.group != subscriber.self.group) {
        return;
    }
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
}

} // namespace

void take_update(directory_subscriber& subscriber, std::string const& from,
                 directory_update const& update, time_point now) {
    auto& contact = subscriber.registrars[from];
    if (contact.run != update.registrar_run) {
        contact.change = 0;
        contact.daemons_revision = 0;
    }
    contact.run = update.registrar_run;
    contact.change = std::max(contact.change, update.change);
    take_daemons(subscriber, contact, update);
    if (update.config_version > contact.config_version) {
        contact.config_at = now;
    }
    contact.config_version = update.config_version;
    contact.zone = update.zone;
    contact.most_gateways = update.most_gateways;
    contact.confirmed = update.confirmed;
    contact.evacuations_revision = update.evacuations_revision;
    // A registrar that is behind, or whose message was late, takes nothing back.
    if (update.evacuations && update.evacuations->revision > subscriber.evacuations.revision) {
        subscriber.evacuations = *update.evacuations;
    }
    contact.heard_at = now;
    for (auto const& [address, zone] : update.registrars) {
        auto const [place, added] = subscriber.registrars.try_emplace(address);
        place->second.zone = zone;
        // Somebody hears it, so it is not forgotten for not being attached to.
        place->second.learned_at = now;
    }
}

bool knows_evacuations(directory_subscriber const& subscriber, bool waited_enough) {
    auto const known = subscriber.evacuations.revision;
    auto const& contacts = subscriber.registrars;
    bool const told = std::any_of(contacts.begin(), contacts.end(), [&](auto const& entry) {
        return entry.second.confirmed && entry.second.evacuations_revision <= known;
    });
    bool const behind = std::any_of(contacts.begin(), contacts.end(), [&](auto const& entry) {
        return entry.second.evacuations_revision > known;
    });
    return (told || waited_enough) && !behind;
}

void refresh_heard(target_directory& directory, sync_settings const& settings,
                   directory_update const& update, time_point now) {
    std::map<std::string_view, duration> unheard;
    for (auto const& [id, age] : update.unheard) {
        unheard[id] = age;
    }
    for (auto& [id, record] : directory.targets) {
        if (record.announcement.state == target_phase::departed) {
            continue;
        }
        auto const found = unheard.find(id);
        auto const age = found == unheard.end() ? settings.name_unheard_after : found->second;
        record.last_heard = std::max(record.last_heard, now - age);
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

namespace {

// Of two views of one run the one that says it is not ready is the newer one after a stop began; a
// process becomes ready only once.
daemon_entry newer_view(daemon_entry const& left, daemon_entry const& right) {
    if (left.started != right.started) {
        return left.started > right.started ? left : right;
    }
    if (left.edition != right.edition) {
        return left.edition > right.edition ? left : right;
    }
    auto view = right;
    view.ready = left.ready && right.ready;
    return view;
}

void merge_view(std::map<std::string, daemon_entry>& listed, daemon_entry const& entry) {
    auto const [place, added] = listed.emplace(entry.address, entry);
    if (!added) {
        place->second = newer_view(place->second, entry);
    }
}

} // namespace

std::map<std::string, daemon_entry> listed_daemons(directory_subscriber const& subscriber,
                                                   daemon_role role, time_point now) {
    std::map<std::string, daemon_entry> listed;
    // Rank agents hear less often.
    auto const life = subscriber.self.role == daemon_role::rank_agent
                          ? subscriber.settings.agent_life
                          : subscriber.settings.update_life;
    for (auto const& [registrar, contact] : subscriber.registrars) {
        if (now - contact.heard_at > life) {
            continue;
        }
        for (auto const& [address, entry] : contact.daemons) {
            if (entry.role == role) {
                merge_view(listed, entry);
            }
        }
    }
    return listed;
}

std::vector<std::string> choose_gateways(std::vector<daemon_entry> const& ready,
                                         std::string const& region,
                                         std::map<std::string, std::string> const& zone_regions,
                                         std::size_t most) {
    std::vector<std::string> near;
    std::vector<std::string> all;
    for (auto const& entry : ready) {
        all.push_back(entry.client_address);
        auto const place = zone_regions.find(entry.zone);
        if (place != zone_regions.end() && place->second == region) {
            near.push_back(entry.client_address);
        }
    }
    auto& chosen = near.empty() ? all : near;
    if (chosen.size() > most) {
        chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(most) - 1, chosen.end() - 1);
    }
    return chosen;
}

std::uint64_t sharing_gateways(gateway_count_history& census,
                               directory_subscriber const& subscriber, time_point now) {
    auto listed = listed_daemons(subscriber, daemon_role::gateway, now);
    listed[subscriber.self.address] = subscriber.self;
    auto most = record_gateway_count(census, listed.size(), now);
    for (auto const& [registrar, contact] : subscriber.registrars) {
        most = std::max(most, contact.most_gateways);
    }
    return most;
}

void note_coordinator_address(coordinator_contact& known, directory_subscriber const& subscriber,
                              time_point now) {
    auto const& group = subscriber.self.group;
    if (known.group != group) {
        known = {group, {}};
    }
    for (auto const& [address, entry] : listed_daemons(subscriber, daemon_role::rank_agent, now)) {
        if (entry.group == group && entry.rank == 0) {
            known.address = address;
        }
    }
}

std::map<std::string, daemon_entry> relayed_daemons(directory_subscriber const& subscriber,
                                                    time_point now) {
    std::map<std::string, daemon_entry> listed;
    for (auto const& [registrar, contact] : subscriber.registrars) {
        if (now - contact.heard_at > subscriber.settings.update_life) {
            continue;
        }
        for (auto const& [address, entry] : contact.daemons) {
            merge_view(listed, entry);
        }
    }
    return listed;
}

namespace {

bool is_relayed_role(daemon_role role) {
    return role == daemon_role::gateway || role == daemon_role::rank_agent;
}

// Puts a process on the list; returns whether that changes it.
bool list_daemon(directory_publisher& publisher, daemon_entry const& entry, bool direct) {
    auto& listed = publisher.listed[entry.address];
    if (listed.changed_at != 0 && listed.entry == entry && listed.direct == direct) {
        return false;
    }
    listed = {entry, ++publisher.daemons_revision, direct};
    publisher.dropped.erase(entry.address);
    return true;
}

} // namespace

bool take_beat(directory_publisher& publisher, directory_beat const& beat, time_point now) {
    auto& known = publisher.subscribers[beat.self.address];
    if (beat.self.started < known.entry.started) {
        return false; // sent before the process restarted
    }
    known.entry = beat.self;
    known.heard_at = now;
    bool const this_run = beat.registrar_run == publisher.run;
    known.known_change = this_run ? beat.known_change : 0;
    known.known_daemons = this_run ? beat.known_daemons : 0;
    known.known_suspects = beat.known_suspects;
    known.known_evacuations = beat.known_evacuations;
    return list_daemon(publisher, beat.self, true);
}

namespace {

// Gateways need gateways; an agent needs gateways and its group. Registrars are told what this one
// hears itself, so that none lists a process on another's word alone for longer than that lasts.
bool concerns(daemon_entry const& subscriber, directory_publisher::listed_daemon const& listed) {
    auto const& entry = listed.entry;
    switch (subscriber.role) {
    case daemon_role::gateway:
        return entry.role == daemon_role::gateway;
    case daemon_role::rank_agent:
        return entry.role == daemon_role::gateway ||
               (entry.role == daemon_role::rank_agent && entry.group == subscriber.group);
    case daemon_role::registrar:
        return is_relayed_role(entry.role) && listed.direct;
    default:
        return false;
    }
}

void add_daemons(directory_publisher const& publisher, daemon_entry const& subscriber,
                 std::uint64_t known, directory_update& update) {
    update.all_daemons = known == 0;
    if (known == publisher.daemons_revision) {
        return;
    }
    bool const is_registrar = subscriber.role == daemon_role::registrar;
    for (auto const& [address, listed] : publisher.listed) {
        if (listed.changed_at <= known) {
            continue;
        }
        if (concerns(subscriber, listed)) {
            update.daemons.push_back(listed.entry);
        } else if (is_registrar && is_relayed_role(listed.entry.role)) {
            update.gone_daemons.push_back(address); // no longer heard here
        }
    }
    for (auto const& [address, gone] : publisher.dropped) {
        if (gone.changed_at > known) {
            update.gone_daemons.push_back(address);
        }
    }
}

// An agent needs to know how its own target announced itself; registrars must hear every
// announcement, the others what changes their choice.
void add_targets(target_directory const& directory, daemon_entry const& subscriber,
                 std::uint64_t known, directory_update& update) {
    if (known == directory.last_change) {
        return;
    }
    update.targets = subscriber.role == daemon_role::registrar
                         ? announcements_after(directory, known)
                         : routing_changes_after(directory, known);
    if (subscriber.role == daemon_role::rank_agent) {
        std::erase_if(update.targets, [&](target_announcement const& said) {
            return said.address != subscriber.client_address;
        });
    }
}

void add_unheard(target_directory const& directory, daemon_entry const& subscriber,
                 sync_settings const& settings, time_point now, directory_update& update) {
    if (subscriber.role != daemon_role::gateway) {
        return;
    }
    for (auto const& [id, record] : directory.targets) {
        auto const age = now - record.last_heard;
        if (record.announcement.state != target_phase::departed &&
            age > settings.name_unheard_after) {
            update.unheard.push_back(
                {id, std::chrono::duration_cast<std::chrono::milliseconds>(age)});
        }
    }
}

std::vector<registrar_name> registrar_names(directory_publisher const& publisher) {
    std::vector<registrar_name> names{{publisher.address, publisher.zone}};
    for (auto const& [address, listed] : publisher.listed) {
        if (listed.entry.role == daemon_role::registrar) {
            names.push_back({address, listed.entry.zone});
        }
    }
    return names;
}

} // namespace

directory_update update_for(directory_publisher const& publisher, std::string const& address,
                            publisher_context const& context) {
    directory_update update;
    update.registrar_run = publisher.run;
    update.change = context.targets->last_change;
    update.daemons_revision = publisher.daemons_revision;
    update.registrars = registrar_names(publisher);
    update.config_version = context.config_version;
    update.confirmed = context.confirmed;
    update.zone = publisher.zone;
    update.most_gateways = publisher.most_gateways;
    auto const found = publisher.subscribers.find(address);
    bool const known = found != publisher.subscribers.end();
    directory_publisher::subscriber_state const fresh;
    auto const& state = known ? found->second : fresh;
    update.group = state.entry.group;
    add_targets(*context.targets, state.entry, state.known_change, update);
    add_daemons(publisher, state.entry, state.known_daemons, update);
    add_unheard(*context.targets, state.entry, publisher.settings, context.now, update);
    bool const is_gateway = state.entry.role == daemon_role::gateway;
    if (is_gateway && context.suspects && context.suspects->revision > state.known_suspects) {
        update.suspects = *context.suspects;
    }
    if (is_gateway && context.evacuations) {
        update.evacuations_revision = context.evacuations->revision;
        if (context.evacuations->revision != state.known_evacuations) {
            update.evacuations = *context.evacuations;
        }
    }
    return update;
}

bool has_news(directory_update const& update) {
    return !update.targets.empty() || !update.daemons.empty() || !update.gone_daemons.empty() ||
           update.suspects || update.evacuations;
}

void forget_daemons(directory_subscriber& subscriber) {
    for (auto& [address, contact] : subscriber.registrars) {
        contact.daemons_revision = 0;
    }
}

bool refresh_daemons(directory_publisher& publisher,
                     std::map<std::string, daemon_entry> const& relayed, time_point now) {
    std::erase_if(publisher.subscribers, [&](auto const& entry) {
        auto const& state = entry.second;
        auto const life = state.entry.role == daemon_role::rank_agent
                              ? publisher.settings.agent_life
                              : publisher.settings.daemon_life;
        return now - state.heard_at > life;
    });
    bool changed = false;
    for (auto const& [address, entry] : relayed) {
        auto const own = publisher.subscribers.find(address);
        bool const direct = own != publisher.subscribers.end();
        auto const view = direct ? newer_view(own->second.entry, entry) : entry;
        changed = list_daemon(publisher, view, direct) || changed;
    }
    for (auto place = publisher.listed.begin(); place != publisher.listed.end();) {
        if (publisher.subscribers.contains(place->first) || relayed.contains(place->first)) {
            ++place;
            continue;
        }
        publisher.dropped[place->first] = {++publisher.daemons_revision, now};
        place = publisher.listed.erase(place);
        changed = true;
    }
    auto const gateways =
        std::count_if(publisher.listed.begin(), publisher.listed.end(), [](auto const& entry) {
            return entry.second.entry.role == daemon_role::gateway;
        });
    publisher.most_gateways =
        record_gateway_count(publisher.census, static_cast<std::uint64_t>(gateways), now);
    std::erase_if(publisher.dropped, [&](auto const& entry) {
        return now - entry.second.dropped_at > publisher.settings.keep_gone;
    });
    return changed;
}

} // namespace fireflycrank
