/// @file
/// Sends a process's beats to the registrars that it is attached to, and logs when those change.
#pragma once

#include "directorysync.h"
#include "eventloop.h"
#include "peerlink.h"

#include <set>
#include <string>

namespace fireflycrank {

/// Registrars that a process was attached to when it last sent beats.
using attached_set = std::set<std::string>;

/// Sends the beats that are due.
/// @param loop the process's loop
/// @param link the process's link
/// @param subscriber the process's subscription
/// @param attached the registrars attached to; updated
/// @param at_once send to all of them now
void send_beats(event_loop& loop, peer_link& link, directory_subscriber& subscriber,
                attached_set& attached, bool at_once);

} // namespace fireflycrank
