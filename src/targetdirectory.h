/// @file
/// The targets that announced themselves: which announcement of several is the newest, who is gone,
/// and what changed since a subscriber last asked. Pure: announcements and the time in.
#pragma once

#include "clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fireflycrank {

enum class target_state : std::uint8_t {
    ready,
    draining, ///< takes no new work, finishes what it has
    departed  ///< has said that it ends; never used again in this incarnation
};

/// What a target says of itself.
struct target_announcement {
    std::string id;
    std::string service;
    std::string address; ///< "ip:port"
    std::string zone;
    std::string version; ///< of the target's software
    unsigned slots{0};
    target_state state{target_state::ready};
    std::chrono::milliseconds warm_up_left{0};
    wall_time started_at{};    ///< start of the incarnation; an id may start again
    std::uint64_t sequence{0}; ///< rises within an incarnation
    bool operator==(target_announcement const&) const = default;
};

/// What is known of a target.
struct target_record {
    target_announcement announcement;
    time_point last_heard{};         ///< when the newest announcement arrived here
    std::uint64_t routing_change{0}; ///< number of the last change that decides where work may go
    std::uint64_t announced_change{
        0}; ///< number of the last announcement that came from the target itself
};

/// All targets by id. Departed incarnations are kept for a while, so that a late announcement does
/// not bring them back.
struct target_directory {
    std::map<std::string, target_record> targets;
    std::uint64_t last_change{0};
};

/// How an announcement reached this process.
enum class announcement_source : std::uint8_t {
    target, ///< from the target itself
    peer    ///< from another process of ours
};

/// Times of the directory.
struct directory_settings {
    /// Departed records are forgotten after this long; announcements are late by seconds at most.
    duration departed_retention{std::chrono::seconds{60}};
    /// A target that has not been heard for this long is forgotten.
    duration silent_retention{std::chrono::seconds{60}};
};

/// Takes an announcement.
/// @param directory the targets
/// @param said the announcement
/// @param source who brought it
/// @param now the time
/// @return true when it changes what work may be sent where, so that others must hear of it at once
bool apply_announcement(target_directory& directory, target_announcement const& said,
                        announcement_source source, time_point now);

/// Marks a target as gone on its own word. The word may lack the incarnation and arrive where the
/// target is unknown.
/// @param directory the targets
/// @param id the target
/// @param born start of its incarnation; the epoch when it did not say
/// @param wall the wall time, an upper bound of `born` when that is missing
/// @param now the time
/// @return the record to pass on
target_announcement apply_departure(target_directory& directory, std::string const& id,
                                    wall_time born, wall_time wall, time_point now);

/// The announcements that changed after a given change, as far as that decides where work may go.
/// @param directory the targets
/// @param known the newest change that the reader has
/// @return the announcements
std::vector<target_announcement> routing_changes_after(target_directory const& directory,
                                                       std::uint64_t known);

/// The same with all announcements that came from the targets themselves, for another registrar.
/// @param directory the targets
/// @param known the newest change that the reader has
/// @return the announcements
std::vector<target_announcement> announcements_after(target_directory const& directory,
                                                     std::uint64_t known);

/// Drops what is too old to matter.
/// @param directory the targets
/// @param settings the times
/// @param now the time
void remove_expired(target_directory& directory, directory_settings const& settings,
                    time_point now);

} // namespace fireflycrank
