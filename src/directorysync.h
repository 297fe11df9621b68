/// @file
/// How the directory of targets and of our own processes spreads. Registrars publish; gateways,
/// rank agents and the other registrars subscribe with periodic beats. A gateway or agent is
/// attached to a few registrars only, and registrars tell each other which processes they hear, so
/// that a registrar's work does not grow with all processes. Every update repeats what the
/// subscriber has not confirmed, so a lost message needs no repair of its own. Pure.
#pragma once

#include "attachment.h"
#include "clock.h"
#include "evacuationtable.h"
#include "quarantine.h"
#include "retrylimits.h"
#include "targetdirectory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fireflycrank {

enum class daemon_role : std::uint8_t { unknown = 0, gateway = 1, registrar = 2, rank_agent = 3 };

/// One of our own processes.
struct daemon_entry {
    std::string address; ///< where its peers reach it
    daemon_role role{daemon_role::unknown};
    std::string zone;
    std::string client_address; ///< gateways: where callers connect; rank agents: the target
    bool ready{false};          ///< gateways: takes new callers
    std::string target_id;      ///< rank agents: the target beside which it runs
    std::uint64_t started{0};   ///< rises with every start of the process
    std::string group;          ///< rank agents: the group of its target
    unsigned rank{0};           ///< rank agents: the target's rank in it
    std::uint64_t edition{0};   ///< rises with every change of the above within a run
    bool operator==(daemon_entry const&) const = default;
};

struct directory_beat {
    daemon_entry self;
    std::uint64_t registrar_run{0};
    std::uint64_t known_change{0};
    std::uint64_t known_daemons{0};
    std::vector<std::string> registrars;
    std::uint64_t known_suspects{0}; ///< gateways: revision of the newest list, from any registrar
    std::uint64_t known_evacuations{0}; ///< gateways: revision of the list that it obeys
};

/// A registrar as others are told of it.
struct registrar_name {
    std::string address;
    std::string zone;
    bool operator==(registrar_name const&) const = default;
};

/// A target that no registrar has heard of lately.
struct unheard_target {
    std::string id;
    std::chrono::milliseconds unheard_for{0};
};

/// Requests that crashed more than one target, as the replicated quarantine table has them.
struct suspect_list {
    std::uint64_t revision{0}; ///< of the table, the same at all registrars
    std::vector<suspect_request> requests;
};

struct directory_update {
    std::uint64_t registrar_run{0};
    std::uint64_t change{0};
    std::vector<target_announcement> targets;
    std::uint64_t daemons_revision{0};
    std::string group;       ///< of the subscriber, by which `daemons` were chosen
    bool all_daemons{false}; ///< `daemons` holds every process that concerns the subscriber
    std::vector<daemon_entry> daemons; ///< otherwise those that changed
    std::vector<std::string> gone_daemons;
    std::vector<registrar_name> registrars;
    std::vector<unheard_target> unheard; ///< of the targets that the registrar knows
    std::uint64_t config_version{0};
    bool confirmed{false}; ///< the registrar knows that its configuration is the newest
    std::string zone;      ///< of the registrar
    std::optional<suspect_list> suspects;  ///< gateways: when newer than what they know
    std::uint64_t most_gateways{0};        ///< known to the registrar at the same time of late
    std::uint64_t evacuations_revision{0}; ///< gateways: of the registrar's list
    /// Gateways: the registrar's list, when the beat named another revision.
    std::optional<evacuation_list> evacuations;
};

/// Times of the exchange.
struct sync_settings {
    duration beat_period{std::chrono::milliseconds{500}};
    /// Rank agents are many and nothing is sent to them by callers.
    duration agent_beat_period{std::chrono::milliseconds{1000}};
    /// A process that sent no beat for this long is left out of the list: three lost beats.
    duration daemon_life{std::chrono::milliseconds{1600}};
    duration agent_life{std::chrono::milliseconds{3200}};
    /// Dropped processes are named to subscribers for this long.
    duration keep_gone{std::chrono::seconds{30}};
    /// A registrar that sent no update for this long is not believed about processes.
    duration update_life{std::chrono::milliseconds{1600}};
    /// So long a configuration is awaited from a registrar of the own zone before another one is
    /// asked: a beat and its answer are shorter, and it is a fifth of the time to take effect.
    duration zone_patience{std::chrono::milliseconds{400}};
    /// A learned registrar that was silent for this long is forgotten, unless settings name it.
    duration forget_registrar{std::chrono::seconds{30}};
    /// Targets unheard for longer are named to subscribers: two announcement periods.
    duration name_unheard_after{std::chrono::milliseconds{2500}};
    attachment_settings attachment;
};

/// A registrar as a subscriber sees it.
struct registrar_contact {
    bool configured{false}; ///< the settings name it
    std::uint64_t run{0};
    std::uint64_t change{0};
    std::uint64_t daemons_revision{0};
    std::map<std::string, daemon_entry> daemons; ///< by address
    std::uint64_t config_version{0};
    time_point config_at{}; ///< `config_version` rose
    bool confirmed{false};
    std::uint64_t evacuations_revision{0}; ///< of the newest update
    std::string zone;
    time_point heard_at{};
    time_point learned_at{};
    time_point next_beat{};
    bool attached{false}; ///< beats go to it
    time_point attached_at{};
    time_point avoid_until{}; ///< others are preferred until then
    std::uint64_t most_gateways{0};
    unsigned failures{0};      ///< times in a row that it was left for another one
    time_point unsure_since{}; ///< it answers, but does not know whether its view is the newest
};

/// The subscriber's part of a process.
struct directory_subscriber {
    daemon_entry self;
    sync_settings settings;
    std::map<std::string, registrar_contact> registrars; ///< by address
    std::uint64_t known_suspects{0}; ///< revision of the newest list of suspects taken
    evacuation_list evacuations;     ///< gateways: the newest list taken
};

/// A message with its destination.
template <class content>
struct addressed {
    std::string to;
    content message;
};

/// Names the registrars of the settings. Others stay known.
/// @param subscriber the subscriber
/// @param addresses peer addresses of the seeds
/// @param now the time
void configure_registrars(directory_subscriber& subscriber,
                          std::vector<std::string> const& addresses, time_point now);

/// The beats that are due. A registrar sends them to all registrars, others to those that they are
/// attached to (attachment.h).
/// @param subscriber the subscriber
/// @param at_once send to all of these, because something about this process changed
/// @param now the time
/// @return beats to send
std::vector<addressed<directory_beat>> due_beats(directory_subscriber& subscriber, bool at_once,
                                                 time_point now);

/// Takes an update, except the targets, which the caller merges into its directory.
/// @param subscriber the subscriber
/// @param from the registrar's address
/// @param update the update
/// @param now the time
void take_update(directory_subscriber& subscriber, std::string const& from,
                 directory_update const& update, time_point now);

/// Whether a gateway certainly obeys the newest evacuations, as far as it can tell: a registrar
/// that knows its view to be the newest has told it, and none has told of a newer revision.
/// @param waited_enough a registrar's word on its view is awaited no longer
bool knows_evacuations(directory_subscriber const& subscriber, bool waited_enough);

/// The processes of a role that some believed registrar lists.
/// @param subscriber the subscriber
/// @param role the role
/// @param now the time
/// @return entries by address
std::map<std::string, daemon_entry> listed_daemons(directory_subscriber const& subscriber,
                                                   daemon_role role, time_point now);

/// Addresses for a caller that asks where to connect: of gateways in its own region where any is
/// ready there, otherwise of all. The last of `ready` is always among them if it fits the region.
/// @param ready entries of the ready gateways
/// @param region the caller's; may be empty
/// @param most how many addresses at most
std::vector<std::string> choose_gateways(std::vector<daemon_entry> const& ready,
                                         std::string const& region,
                                         std::map<std::string, std::string> const& zone_regions,
                                         std::size_t most);

/// Where a rank agent found its group's coordinator last.
struct coordinator_contact {
    std::string group;
    std::string address; ///< empty: never found
};

/// How many gateways share what is meant for all of them: those that are known now, or were known
/// of late to this process or a registrar.
/// @param census of this gateway; updated
/// @param subscriber the gateway's subscription
/// @param now the time
/// @return the number, the gateway itself included
std::uint64_t sharing_gateways(gateway_count_history& census,
                               directory_subscriber const& subscriber, time_point now);

/// Looks the coordinator of the own group up: the agent of rank 0. While no registrar lists it, as
/// when all of them have restarted, the last one found stays; one that is no coordinator any more
/// drops what it is sent.
/// @param known updated
/// @param subscriber the subscriber of a rank agent
/// @param now the time
void note_coordinator_address(coordinator_contact& known, directory_subscriber const& subscriber,
                              time_point now);

/// Every process that some believed registrar hears itself, for a registrar's own list.
/// @param subscriber the registrar's subscription to the others
/// @param now the time
/// @return entries by address
std::map<std::string, daemon_entry> relayed_daemons(directory_subscriber const& subscriber,
                                                    time_point now);

/// Notes in a directory which targets a registrar has heard of lately. A target that the update
/// does not name as unheard may have been silent for as long as that takes.
/// @param directory the subscriber's targets
/// @param settings the times
/// @param update the registrar's update
/// @param now the time
void refresh_heard(target_directory& directory, sync_settings const& settings,
                   directory_update const& update, time_point now);

/// The registrar to ask for a configuration. One in the own zone goes first, since bytes between
/// zones are dear; another one is asked when none there has the version in time.
/// @param subscriber the subscriber
/// @param above the version that the subscriber has
/// @param now the time
/// @return its address; nothing when no registrar has a higher version, or it is worth waiting
std::optional<std::string> configuration_source(directory_subscriber const& subscriber,
                                                std::uint64_t above, time_point now);

/// The publisher's part of a registrar.
struct directory_publisher {
    std::string address; ///< this registrar's own
    std::string zone;
    std::uint64_t run{0};
    sync_settings settings;
    struct subscriber_state {
        daemon_entry entry;
        time_point heard_at{};
        std::uint64_t known_change{0};
        std::uint64_t known_daemons{0};
        std::uint64_t known_suspects{0};
        std::uint64_t known_evacuations{0};
    };
    std::map<std::string, subscriber_state> subscribers; ///< by address
    /// A process that this registrar or another one hears.
    struct listed_daemon {
        daemon_entry entry;
        std::uint64_t changed_at{0}; ///< daemons_revision at which `entry` or `direct` changed
        bool direct{false};          ///< heard by this registrar; only these are told to others
    };
    std::map<std::string, listed_daemon> listed; ///< by address
    struct dropped_daemon {
        std::uint64_t changed_at{0};
        time_point dropped_at{};
    };
    std::map<std::string, dropped_daemon> dropped; ///< by address
    std::uint64_t daemons_revision{1};
    gateway_count_history census;
    std::uint64_t most_gateways{0}; ///< as the census has it
};

/// What a registrar adds to its updates.
struct publisher_context {
    target_directory const* targets{nullptr};
    std::uint64_t config_version{0};
    bool confirmed{false};
    time_point now{};
    suspect_list const* suspects{nullptr};       ///< may be null
    evacuation_list const* evacuations{nullptr}; ///< may be null
};

/// Takes a beat.
/// @param publisher the publisher
/// @param beat the beat
/// @param now the time
/// @return true when the list of processes changed
bool take_beat(directory_publisher& publisher, directory_beat const& beat, time_point now);

/// The update for one subscriber.
/// @param publisher the publisher
/// @param address the subscriber
/// @param context what belongs to it
/// @return the update
directory_update update_for(directory_publisher const& publisher, std::string const& address,
                            publisher_context const& context);

/// Whether an update tells its subscriber anything new.
/// @return false for a plain answer to a beat
bool has_news(directory_update const& update);

/// Asks for all processes again, because others than before concern this one now.
/// @param subscriber the subscriber
void forget_daemons(directory_subscriber& subscriber);

/// Drops processes that fell silent, and takes over what the other registrars list.
/// @param publisher the publisher
/// @param relayed what the others hear, see relayed_daemons()
/// @param now the time
/// @return true when the list of processes changed
bool refresh_daemons(directory_publisher& publisher,
                     std::map<std::string, daemon_entry> const& relayed, time_point now);

} // namespace fireflycrank
