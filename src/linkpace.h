/// @file
/// How long a link waits for a peer before it takes it for dead, and how soon it dials again. A
/// loaded peer answers late; giving it up costs it a handshake and everything that was under way,
/// which makes it later still. So patience follows the peer's answers, and doubles with each
/// connection that was given up. Pure.
#pragma once

#include "clock.h"

#include <cstdint>

namespace fireflycrank {

/// Times of a link to one peer.
struct link_pace_settings {
    /// Twice the slowest round trip between regions with its queueing.
    duration silent_limit{std::chrono::milliseconds{800}};
    /// A lost opening packet is sent again after a second or more; a new one is sooner.
    duration connect_limit{std::chrono::milliseconds{600}};
    /// The longest of both: within the time in which registrars must notice a lost VM twice over.
    duration longest_limit{std::chrono::milliseconds{3200}};
    /// First pause before dialling again, doubled up to `longest_pause`.
    duration redial_pause{std::chrono::milliseconds{150}};
    /// A restarted VM is reached within this and its start.
    duration longest_pause{std::chrono::milliseconds{1200}};
};

/// What a link knows of a peer's pace.
struct link_pace {
    unsigned given_up{0}; ///< connections in a row without a confirmation
    duration slowest{};   ///< decaying maximum of the time to a confirmation
    std::uint64_t dialled{0};
};

/// How long a connection may wait for a confirmation.
/// @param pace the peer's pace
/// @param settings the times
/// @return the limit
duration silent_limit(link_pace const& pace, link_pace_settings const& settings);

/// How long a connection may take to be established.
/// @param pace the peer's pace
/// @param settings the times
/// @return the limit
duration connect_limit(link_pace const& pace, link_pace_settings const& settings);

/// Notes that the peer confirmed what was sent.
/// @param pace the peer's pace
/// @param waited time since it was sent
void note_confirmed(link_pace& pace, duration waited);

/// Notes that a connection was given up.
/// @param pace the peer's pace
/// @param settings the times
/// @param salt differs between links, so that not all dial a restarted peer at the same moment
/// @return the pause before the next one
duration note_given_up(link_pace& pace, link_pace_settings const& settings, std::uint64_t salt);

} // namespace fireflycrank
