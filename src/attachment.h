/// @file
/// Which registrars a gateway or rank agent sends its beats to. With a few each, spread by
/// rendezvous hashing, a registrar hears a bounded part of all processes. Pure.
#pragma once

#include "clock.h"

#include <cstddef>

namespace fireflycrank {

struct directory_subscriber;

/// Numbers and times of the choice.
struct attachment_settings {
    /// Two registrars may be lost at once; callers must still reach what a gateway knows.
    std::size_t gateway_links{3};
    /// Agents are many, and an old list of gateways does less harm there.
    std::size_t agent_links{2};
    /// A registrar that answers no beat for this long is left: two beats of a gateway and a loaded
    /// registrar's answer.
    duration answer_patience{std::chrono::milliseconds{1400}};
    /// So long a registrar may be unsure of its view before it is left. An election is shorter.
    duration unsure_patience{std::chrono::milliseconds{1000}};
    /// A registrar that was left is avoided for this long, doubled each time.
    duration first_avoid{std::chrono::seconds{2}};
    duration longest_avoid{std::chrono::seconds{16}};
    /// A registrar that neither answered nor was named by another one for this long is avoided.
    duration named_life{std::chrono::seconds{5}};
};

/// Attaches the subscriber to its preferred registrars: one in its own zone, the others spread over
/// zones. Registrars that do not answer or are unsure of their view are left; a new one has to
/// answer and be sure before an old one is left for being less preferred.
/// @param subscriber the subscriber
/// @param now the time
void choose_attachments(directory_subscriber& subscriber, time_point now);

} // namespace fireflycrank
