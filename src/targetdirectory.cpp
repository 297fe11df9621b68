#include "targetdirectory.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// Within an incarnation a target never returns from draining or from being gone, whatever a late
// announcement says.
bool supersedes(target_announcement const& fresh, target_announcement const& known) {
    if (fresh.born != known.born) {
        return fresh.born > known.born;
    }
    if (fresh.condition != known.condition) {
        return fresh.condition > known.condition;
    }
    return fresh.sequence > known.sequence;
}

bool differs_for_routing(target_announcement const& fresh, target_announcement const& known) {
    return fresh.born != known.born || fresh.condition != known.condition ||
           fresh.address != known.address || fresh.service != known.service ||
           fresh.slots != known.slots || fresh.zone != known.zone;
}

void mark_changed(target_directory& directory, target_record& record) {
    record.changed_at = ++directory.last_change;
}

// An address belongs to the incarnation that started last; whoever had it before has ended.
void release_address(target_directory& directory, target_announcement const& owner) {
    for (auto& [id, record] : directory.targets) {
        if (id != owner.id && record.said.address == owner.address &&
            record.said.condition != target_condition::gone && record.said.born < owner.born) {
            record.said.condition = target_condition::gone;
            mark_changed(directory, record);
        }
    }
}

bool address_taken_later(target_directory const& directory, target_announcement const& said) {
    for (auto const& [id, record] : directory.targets) {
        if (id != said.id && record.said.address == said.address &&
            record.said.condition != target_condition::gone && record.said.born > said.born) {
            return true;
        }
    }
    return false;
}

} // namespace

bool take_announcement(target_directory& directory, target_announcement const& said,
                       announcement_source source, time_point now) {
    auto const found = directory.targets.find(said.id);
    bool const known = found != directory.targets.end();
    if (known && !supersedes(said, found->second.said)) {
        if (said == found->second.said) {
            found->second.heard_at = now;
        }
        return false;
    }
    if (said.condition != target_condition::gone && address_taken_later(directory, said)) {
        return false;
    }
    bool const urgent = !known || differs_for_routing(said, found->second.said);
    auto& record = directory.targets[said.id];
    record.said = said;
    record.heard_at = now;
    if (urgent) {
        mark_changed(directory, record);
    } else if (source == announcement_source::target) {
        record.told_at = ++directory.last_change;
    }
    if (said.condition != target_condition::gone) {
        release_address(directory, said);
    }
    return urgent;
}

target_announcement take_departure(target_directory& directory, std::string const& id,
                                   wall_time born, wall_time wall, time_point now) {
    auto& record = directory.targets[id];
    auto& said = record.said;
    bool const later_incarnation = born != wall_time{} && said.born > born;
    if (later_incarnation) {
        auto departed = said;
        departed.born = born;
        departed.condition = target_condition::gone;
        return departed;
    }
    if (said.id.empty()) {
        said.id = id;
        said.born = born == wall_time{} ? wall : born;
    } else if (born != wall_time{}) {
        said.born = born;
    }
    if (said.condition != target_condition::gone) {
        said.condition = target_condition::gone;
        mark_changed(directory, record);
    }
    record.heard_at = now;
    return said;
}

std::vector<target_announcement> changes_after(target_directory const& directory,
                                               std::uint64_t known) {
    std::vector<target_announcement> changed;
    for (auto const& [id, record] : directory.targets) {
        if (record.changed_at > known) {
            changed.push_back(record.said);
        }
    }
    return changed;
}

std::vector<target_announcement> announcements_after(target_directory const& directory,
                                                     std::uint64_t known) {
    std::vector<target_announcement> told;
    for (auto const& [id, record] : directory.targets) {
        if (std::max(record.changed_at, record.told_at) > known) {
            told.push_back(record.said);
        }
    }
    return told;
}

void forget_old(target_directory& directory, directory_settings const& settings, time_point now) {
    std::erase_if(directory.targets, [&](auto const& entry) {
        auto const& record = entry.second;
        auto const age = now - record.heard_at;
        return age > (record.said.condition == target_condition::gone ? settings.keep_departed
                                                                      : settings.forget_silent);
    });
}

} // namespace fireflycrank
