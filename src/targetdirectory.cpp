#include "targetdirectory.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// Within an incarnation a target never returns from draining or from being gone, whatever a late
// announcement says.
bool supersedes(target_announcement const& fresh, target_announcement const& known) {
    if (fresh.started_at != known.started_at) {
        return fresh.started_at > known.started_at;
    }
    if (fresh.state != known.state) {
        return fresh.state > known.state;
    }
    return fresh.sequence > known.sequence;
}

bool differs_for_routing(target_announcement const& fresh, target_announcement const& known) {
    return fresh.started_at != known.started_at || fresh.state != known.state ||
           fresh.address != known.address || fresh.service != known.service ||
           fresh.slots != known.slots || fresh.zone != known.zone;
}

void mark_changed(target_directory& directory, target_record& record) {
    record.routing_change = ++directory.last_change;
}

// An address belongs to the incarnation that started last; whoever had it before has ended.
void release_address(target_directory& directory, target_announcement const& owner) {
    for (auto& [id, record] : directory.targets) {
        if (id != owner.id && record.announcement.address == owner.address &&
            record.announcement.state != target_state::departed &&
            record.announcement.started_at < owner.started_at) {
            record.announcement.state = target_state::departed;
            mark_changed(directory, record);
        }
    }
}

bool address_taken_later(target_directory const& directory, target_announcement const& said) {
    for (auto const& [id, record] : directory.targets) {
        if (id != said.id && record.announcement.address == said.address &&
            record.announcement.state != target_state::departed &&
            record.announcement.started_at > said.started_at) {
            return true;
        }
    }
    return false;
}

} // namespace

bool apply_announcement(target_directory& directory, target_announcement const& said,
                        announcement_source source, time_point now) {
    auto const found = directory.targets.find(said.id);
    bool const known = found != directory.targets.end();
    if (known && !supersedes(said, found->second.announcement)) {
        if (said == found->second.announcement) {
            found->second.last_heard = now;
        }
        return false;
    }
    if (said.state != target_state::departed && address_taken_later(directory, said)) {
        return false;
    }
    bool const urgent = !known || differs_for_routing(said, found->second.announcement);
    auto& record = directory.targets[said.id];
    record.announcement = said;
    record.last_heard = now;
    if (urgent) {
        mark_changed(directory, record);
    } else if (source == announcement_source::target) {
        record.announced_change = ++directory.last_change;
    }
    if (said.state != target_state::departed) {
        release_address(directory, said);
    }
    return urgent;
}

target_announcement apply_departure(target_directory& directory, std::string const& id,
                                    wall_time born, wall_time wall, time_point now) {
    auto& record = directory.targets[id];
    auto& said = record.announcement;
    bool const later_incarnation = born != wall_time{} && said.started_at > born;
    if (later_incarnation) {
        auto departed = said;
        departed.started_at = born;
        departed.state = target_state::departed;
        return departed;
    }
    if (said.id.empty()) {
        said.id = id;
        said.started_at = born == wall_time{} ? wall : born;
    } else if (born != wall_time{}) {
        said.started_at = born;
    }
    if (said.state != target_state::departed) {
        said.state = target_state::departed;
        mark_changed(directory, record);
    }
    record.last_heard = now;
    return said;
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
    std::vector<target_announcement> told;
    for (auto const& [id, record] : directory.targets) {
        if (std::max(record.routing_change, record.announced_change) > known) {
            told.push_back(record.announcement);
        }
    }
    return told;
}

void remove_expired(target_directory& directory, directory_settings const& settings,
                    time_point now) {
    std::erase_if(directory.targets, [&](auto const& entry) {
        auto const& record = entry.second;
        auto const age = now - record.last_heard;
        return age > (record.said.condition == target_state::departed ? settings.departed_retention
                                                                      : settings.silent_retention);
    });
}

} // namespace fireflycrank
