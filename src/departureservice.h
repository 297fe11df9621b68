/// @file
/// How a registrar settles a target's departure: its own record on disk, the records of the other
/// registrars, and the answer to the target once a majority has one.
#pragma once

#include "departures.h"
#include "departurestore.h"
#include "directorywire.h"
#include "eventloop.h"
#include "httplistener.h"
#include "peerlink.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fireflycrank {

/// The departures that one registrar settles. Filled by the registrar at its start.
struct departure_service {
    event_loop* loop{nullptr};
    std::string address; ///< this registrar's, as a voter
    std::shared_ptr<peer_link> link;
    std::function<std::vector<std::string>()> voters; ///< addresses; empty while unknown
    std::unique_ptr<departure_store> store;
    departure_table table;
    std::map<std::uint64_t, std::shared_ptr<response_writer>> callers; ///< by departure number
};

/// Opens the record on disk; blocks.
/// @param address this registrar's
/// @param folder of the record
/// @return what earlier processes recorded
std::vector<target_announcement> open_departures(departure_service& service, event_loop& loop,
                                                 std::string const& address,
                                                 std::string const& folder);

/// Takes a target's own word that it is draining or gone, and answers it: 200 once a majority has
/// recorded that, 503 if no majority does in time.
void begin_departing(departure_service& service, target_announcement const& target,
                     std::shared_ptr<response_writer> writer);

/// Records a departure that another registrar received, and confirms it.
/// @param from the other registrar
void record_for_peer(departure_service& service, std::string const& from,
                     departure_notice const& notice);

/// Records a departure of which an update told; nobody waits for it.
void record_heard(departure_service& service, target_announcement const& target);

/// Takes another registrar's confirmation.
void take_confirmation(departure_service& service, std::string const& from, std::uint64_t number);

/// Answers what a majority has recorded or what has timed out, and repeats notices; to be called
/// about every 50 ms.
void advance_departures(departure_service& service);

/// Answers every waiting target with 503, as the process ends.
void refuse_departures(departure_service& service);

} // namespace fireflycrank
