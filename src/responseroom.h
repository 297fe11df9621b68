/// @file
/// Memory for responses that a gateway collects whole before it passes them on.
#pragma once

#include "httplistener.h"

#include <cstddef>
#include <string>

namespace fireflycrank {

/// Takes room in the process's account: for the whole response if its length is announced,
/// otherwise for more of it as it grows.
/// @param writer of the response to the caller
/// @param head of the target's response
/// @param collected what has arrived; its capacity is raised to what was taken
/// @param more bytes about to be added
/// @return false if there is no room; what has arrived may still be added
bool reserve_response(response_writer& writer, message_head const& head, std::string& collected,
                      std::size_t more);

} // namespace fireflycrank
