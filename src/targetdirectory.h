/// @file
/// Directory of the targets that announced themselves: keeps the newest announcement of each
/// target, marks departed targets, and lists the changes since a given change. Does no I/O;
/// announcements and the time are passed in.
#pragma once

#include "clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fireflycrank {

enum class target_phase : std::uint8_t {
    ready,
    draining, ///< accepts no new requests and finishes the running ones
    departed  ///< announced its end, or its address has a newer owner; not used again in this
              ///< incarnation
};

/// A target's announcement of itself.
struct target_announcement {
    std::string id;
    std::string service;
    std::string address; ///< "ip:port"
    std::string zone;
    std::string version; ///< version of the target's software
    unsigned slots{0};
    target_phase state{target_phase::ready};
    std::chrono::milliseconds warm_up_left{0};
    wall_time started_at{};    ///< start of the incarnation; a restarted target may keep its id
    std::uint64_t sequence{0}; ///< increases within an incarnation
    bool operator==(target_announcement const&) const = default;
};

/// Size of the text of one announcement: id, service, address, zone and version together. Targets
/// use some tens of bytes.
inline constexpr std::size_t max_announcement_text = 2'048;

/// Why an announcement cannot be taken.
enum class announcement_fault : std::uint8_t {
    none,
    unreadable, ///< its text is not UTF-8
    too_long    ///< its text exceeds `max_announcement_text`
};

/// Size of an announcement's text.
std::size_t text_bytes(target_announcement const& announcement);

/// Checks the text of an announcement. Any process may send one.
announcement_fault check_text(target_announcement const& announcement);

/// Name of a fault for logs and metrics.
std::string_view name_of(announcement_fault fault);

/// Directory entry of a target.
struct target_record {
    target_announcement announcement;
    time_point last_heard{};         ///< when this process last received the newest announcement
    std::uint64_t routing_change{0}; ///< number of the last change that affects routing
    /// Change number of the last announcement received from the target itself.
    std::uint64_t announced_change{0};
};

/// Bounds of a directory. 600 targets that all start anew under other ids every 20 s stay below.
struct directory_limits {
    std::size_t targets{4'096};
    std::size_t text_bytes{512U << 10U}; ///< of all announcements together
    /// Only targets that were not heard of for so long are dropped for others: two announcements
    /// and the time after which a silent target is told of.
    duration evictable_after{std::chrono::seconds{5}};
    /// The same for draining and departed targets, whose announcements may still be on their way.
    duration departed_evictable_after{std::chrono::seconds{30}};
};

/// All targets by id. Departed targets are kept for a while, so that a late announcement does not
/// add them again.
struct target_directory {
    std::map<std::string, target_record> targets;
    std::uint64_t last_change{0};
    directory_limits limits;
    std::size_t text_bytes{0}; ///< of all announcements
    std::uint64_t evicted{0};  ///< targets that were dropped because of `limits`
};

/// Where this process received an announcement from.
enum class announcement_source : std::uint8_t {
    target, ///< the target itself
    peer    ///< another process of this system
};

/// Retention times of the directory.
struct directory_settings {
    /// How long departed targets are kept. Announcements arrive late by a few seconds at most.
    duration departed_retention{std::chrono::seconds{60}};
    /// How long other targets are kept after their last announcement.
    duration silent_retention{std::chrono::seconds{60}};
};

/// Updates the directory with an announcement; one that is older than the recorded one, or that
/// check_text() refuses, is ignored. A directory at its limits drops other targets for a new one:
/// first departed ones that never announced themselves, then the one that was silent longest. If
/// none can be dropped, a target's own announcement is ignored; what a peer has taken is kept
/// beyond the limits until others can be dropped.
/// @return true if the change affects routing and must be propagated at once
bool apply_announcement(target_directory& directory, target_announcement const& announcement,
                        announcement_source source, time_point now);

/// Whether a directory takes a target's own announcement: it knows the target, has room, or can
/// drop another target for it.
bool has_room_for(target_directory const& directory, target_announcement const& announcement,
                  time_point now);

/// Marks a target as departed after its deregistration, which may omit the incarnation and may
/// concern a target that this directory does not know.
/// @param started_at start of its incarnation; the Unix epoch if it was not stated
/// @param wall_now the wall time; recorded as the start of an unknown target that did not state
/// one, of which it is an upper bound
/// @return the announcement of the departure, to be propagated
target_announcement apply_departure(target_directory& directory, std::string const& id,
                                    wall_time started_at, wall_time wall_now, time_point now);

/// Announcements of targets with a change that affects routing after a given change.
/// @param known_change number of the newest change that the requester has
std::vector<target_announcement> routing_changes_after(target_directory const& directory,
                                                       std::uint64_t known_change);

/// Like routing_changes_after(), and also every announcement received from a target itself since
/// then; for another registrar.
/// @param known_change number of the newest change that the requester has
std::vector<target_announcement> announcements_after(target_directory const& directory,
                                                     std::uint64_t known_change);

/// Removes targets whose retention time has passed, and what can be dropped beyond the limits.
void remove_expired(target_directory& directory, directory_settings const& settings,
                    time_point now);

} // namespace fireflycrank
