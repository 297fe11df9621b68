#include "targetdirectory.h"

#include "utf8.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace fireflycrank {

namespace {

// Within an incarnation a target never returns from draining or departed to an earlier state,
// whatever a late announcement states.
bool supersedes(target_announcement const& candidate, target_announcement const& current) {
    if (candidate.started_at != current.started_at) {
        return candidate.started_at > current.started_at;
    }
    if (candidate.state != current.state) {
        return candidate.state > current.state;
    }
    return candidate.sequence > current.sequence;
}

bool changes_routing(target_announcement const& candidate, target_announcement const& current) {
    return candidate.started_at != current.started_at || candidate.state != current.state ||
           candidate.address != current.address || candidate.service != current.service ||
           candidate.slots != current.slots || candidate.zone != current.zone ||
           candidate.warm_up_left > current.warm_up_left; // it has become cold again
}

void mark_changed(target_directory& directory, target_record& record) {
    record.routing_change = ++directory.last_change;
}

// An address belongs to the incarnation that started last; any earlier owner has ended.
void mark_previous_owner_departed(target_directory& directory, target_announcement const& owner) {
    for (auto& [id, record] : directory.targets) {
        if (id != owner.id && record.announcement.address == owner.address &&
            record.announcement.state != target_phase::departed &&
            record.announcement.started_at < owner.started_at) {
            record.announcement.state = target_phase::departed;
            mark_changed(directory, record);
        }
    }
}

bool address_has_newer_owner(target_directory const& directory,
                             target_announcement const& announcement) {
    for (auto const& [id, record] : directory.targets) {
        if (id != announcement.id && record.announcement.address == announcement.address &&
            record.announcement.state != target_phase::departed &&
            record.announcement.started_at > announcement.started_at) {
            return true;
        }
    }
    return false;
}

std::array<std::string_view, 5> text_of(target_announcement const& announcement) {
    return {announcement.id, announcement.service, announcement.address, announcement.zone,
            announcement.version};
}

// Lower ranks are evicted first. A departure that was acknowledged outlasts a silent target.
auto eviction_rank(target_record const& record) {
    auto const& announcement = record.announcement;
    bool const is_ready = announcement.state == target_phase::ready;
    bool const never_announced = !is_ready && announcement.service.empty();
    return std::tuple{!never_announced, !is_ready, record.last_heard};
}

bool is_evictable(target_directory const& directory, target_record const& record, time_point now) {
    bool const is_ready = record.announcement.state == target_phase::ready;
    bool const never_announced = !is_ready && record.announcement.service.empty();
    return never_announced ||
           now - record.last_heard > (is_ready ? directory.limits.evictable_after
                                               : directory.limits.departed_evictable_after);
}

bool is_over(target_directory const& directory, std::size_t more_targets, std::size_t more_bytes) {
    return directory.targets.size() + more_targets > directory.limits.targets ||
           directory.text_bytes + more_bytes > directory.limits.text_bytes;
}

// Evicts targets until so many more with so much text fit, or no other can be evicted.
// @return whether they fit
bool make_room(target_directory& directory, std::size_t more_targets, std::size_t more_bytes,
               time_point now) {
    if (!is_over(directory, more_targets, more_bytes)) {
        return true;
    }
    auto& targets = directory.targets;
    std::vector<decltype(targets.begin())> victims;
    for (auto at = targets.begin(); at != targets.end(); ++at) {
        if (is_evictable(directory, at->second, now)) {
            victims.push_back(at);
        }
    }
    std::sort(victims.begin(), victims.end(), [](auto const& left, auto const& right) {
        return eviction_rank(left->second) < eviction_rank(right->second);
    });
    for (auto const& victim : victims) {
        if (!is_over(directory, more_targets, more_bytes)) {
            break;
        }
        directory.text_bytes -= text_bytes(victim->second.announcement);
        targets.erase(victim);
        ++directory.evicted;
    }
    return !is_over(directory, more_targets, more_bytes);
}

// Every change of a record's text goes through here, so that the sum stays right.
void replace(target_directory& directory, target_record& record,
             target_announcement const& announcement) {
    directory.text_bytes += text_bytes(announcement) - text_bytes(record.announcement);
    record.announcement = announcement;
}

} // namespace

std::size_t text_bytes(target_announcement const& announcement) {
    std::size_t bytes = 0;
    for (auto const text : text_of(announcement)) {
        bytes += text.size();
    }
    return bytes;
}

announcement_fault check_text(target_announcement const& announcement) {
    if (text_bytes(announcement) > max_announcement_text) {
        return announcement_fault::too_long;
    }
    auto const texts = text_of(announcement);
    return std::all_of(texts.begin(), texts.end(), is_utf8) ? announcement_fault::none
                                                            : announcement_fault::unreadable;
}

std::string_view name_of(announcement_fault fault) {
    switch (fault) {
    case announcement_fault::none:
        return "none";
    case announcement_fault::unreadable:
        return "unreadable";
    case announcement_fault::too_long:
        return "too_long";
    }
    return "unknown";
}

bool apply_announcement(target_directory& directory, target_announcement const& announcement,
                        announcement_source source, time_point now) {
    if (check_text(announcement) != announcement_fault::none) {
        return false; // from a peer that does not check it
    }
    auto const found = directory.targets.find(announcement.id);
    bool const known = found != directory.targets.end();
    if (known && !supersedes(announcement, found->second.announcement)) {
        if (announcement == found->second.announcement) {
            found->second.last_heard = now;
        }
        return false;
    }
    if (announcement.state != target_phase::departed &&
        address_has_newer_owner(directory, announcement)) {
        return false;
    }
    bool const affects_routing =
        !known || changes_routing(announcement, found->second.announcement);
    if (!known && !make_room(directory, 1, text_bytes(announcement), now) &&
        source == announcement_source::target) {
        return false;
    }
    auto& record = directory.targets[announcement.id];
    replace(directory, record, announcement);
    record.last_heard = now;
    if (affects_routing) {
        mark_changed(directory, record);
    } else if (source == announcement_source::target) {
        record.announced_change = ++directory.last_change;
    }
    if (announcement.state != target_phase::departed) {
        mark_previous_owner_departed(directory, announcement);
    }
    return affects_routing;
}

bool has_room_for(target_directory const& directory, target_announcement const& announcement,
                  time_point now) {
    return directory.targets.contains(announcement.id) ||
           !is_over(directory, 1, text_bytes(announcement)) ||
           std::any_of(directory.targets.begin(), directory.targets.end(), [&](auto const& entry) {
               return is_evictable(directory, entry.second, now);
           });
}

target_announcement apply_departure(target_directory& directory, std::string const& id,
                                    wall_time started_at, wall_time wall_now, time_point now) {
    if (!directory.targets.contains(id)) {
        make_room(directory, 1, id.size(), now);
    }
    auto& record = directory.targets[id];
    auto& announcement = record.announcement;
    bool const later_incarnation =
        started_at != wall_time{} && announcement.started_at > started_at;
    if (later_incarnation) {
        auto departed = announcement;
        departed.started_at = started_at;
        departed.state = target_phase::departed;
        return departed;
    }
    if (announcement.id.empty()) {
        announcement.id = id;
        directory.text_bytes += id.size();
        announcement.started_at = started_at == wall_time{} ? wall_now : started_at;
    } else if (started_at != wall_time{}) {
        announcement.started_at = started_at;
    }
    if (announcement.state != target_phase::departed) {
        announcement.state = target_phase::departed;
        mark_changed(directory, record);
    }
    record.last_heard = now;
    return announcement;
}

std::vector<target_announcement> routing_changes_after(target_directory const& directory,
                                                       std::uint64_t known) {
    std::vector<target_announcement> changed;
    for (auto const& [id, record] : directory.targets) {
        if (record.routing_change > known) {
            changed.push_back(record.announcement);
        }
    }
    return changed;
}

std::vector<target_announcement> announcements_after(target_directory const& directory,
                                                     std::uint64_t known) {
    std::vector<target_announcement> announced;
    for (auto const& [id, record] : directory.targets) {
        if (std::max(record.routing_change, record.announced_change) > known) {
            announced.push_back(record.announcement);
        }
    }
    return announced;
}

void remove_expired(target_directory& directory, directory_settings const& settings,
                    time_point now) {
    std::erase_if(directory.targets, [&](auto const& entry) {
        auto const& record = entry.second;
        bool const expired =
            now - record.last_heard > (record.announcement.state == target_phase::departed
                                           ? settings.departed_retention
                                           : settings.silent_retention);
        directory.text_bytes -= expired ? text_bytes(record.announcement) : 0;
        return expired;
    });
    make_room(directory, 0, 0, now);
}

} // namespace fireflycrank
