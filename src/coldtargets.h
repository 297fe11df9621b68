/// @file
/// Keeps a gateway's state of cold targets, and answers how requests wait for them. The decisions
/// are in coldpace.
#pragma once

#include "clock.h"

#include <map>
#include <string>

namespace fireflycrank {

struct gateway;
struct target_choice;
struct target_view;

/// When a request last found only cold targets whose parts are used up.
struct cold_wait {
    duration interval{}; ///< between two requests that the targets take from this gateway
    time_point noted_at{};
};

/// Updates the set of gateways and all targets. To be called several times per second.
void refresh_cold_targets(gateway& owner);

/// Updates a target after its announcement or the configuration has changed.
void refresh_cold_target(gateway& owner, target_view& view);

/// Records how long a target says that it stays cold.
void note_cold_target(gateway& owner, target_view& view, duration left);

/// Returns the time since a target's start when this gateway first hears of it.
duration age_when_seen(gateway const& owner, target_view const& view);

/// Records that a request found no target because of their coldness, if that is so.
void note_cold_wait(gateway& owner, std::string const& service, target_choice const& choice);

/// Whether the service's requests wait for cold targets.
bool waits_for_cold(gateway const& owner, std::string const& service);

/// Returns the mean time between two places for requests of a service: at cold targets while the
/// requests wait for these, otherwise between two slots that became free lately.
duration next_slot_interval(gateway const& owner, std::string const& service);

/// Records a request to a target if this gateway may send it one now.
/// @return zero if it may, otherwise the time until then
duration take_cold_send(gateway& owner, std::string const& target);

/// The part of a rank's places that it cannot fill while it is cold, from 0 to 1.
double unusable_share(gateway const& owner, target_view const& view);

/// Publishes the gauges of cold targets.
void publish_cold_targets(gateway& owner);

} // namespace fireflycrank
