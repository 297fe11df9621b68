/// @file
/// SWIM-style membership: which daemons exist, where they are and whether they are reachable.
///
/// Pure state machine. The daemon calls membership_tick() every `tick_period` and
/// membership_receive() for each message, then sends what the actions hold.
#pragma once

#include "clock.h"
#include "rng.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fireflycrank {

enum class member_role : std::uint8_t { entry, agent, control };

/// Ordered by precedence at equal incarnation and version: a later one overrides an earlier one.
enum class member_health : std::uint8_t { alive, suspect, dead, left };

/// What is known of one member. Only the member itself changes anything but `health`.
struct member_record {
    std::string name{};           ///< unique in the fleet
    std::string address{};        ///< mailbox, "ip:port"
    std::string public_address{}; ///< where callers connect; entries only
    std::string zone{};
    std::vector<std::string>
        serves{}; ///< services and models, "name" or "name@version"; agents only
    member_role role{member_role::agent};
    member_health health{member_health::alive};
    bool leaving{false};          ///< takes no new work; still answers and finishes what it has
    std::uint64_t incarnation{0}; ///< one number per process start, rising with every start
    std::uint64_t version{0};     ///< rises with every refutation and every change of the record
    std::uint32_t accuser{0};     ///< hash of the member that raised a suspicion
    bool operator==(member_record const&) const = default;
};

/// What a daemon says about its configuration on every membership message.
struct config_hint {
    std::uint64_t revision{0};
    std::uint64_t digest{0};                 ///< first 64 bits of the revision's digest
    std::optional<duration> confirmed_age{}; ///< since a majority confirmed the revision as newest
};

enum class membership_kind : std::uint8_t {
    ping,
    ping_request, ///< asks a helper to ping `target`
    ack,
    nack, ///< the helper got no ack in time; shows that the requester's own links work
    gossip,
    sync_request, ///< carries the bucket hashes of the sender's table
    sync_reply,   ///< carries records of differing buckets and which buckets differ
    sync_records  ///< the requester's records of the differing buckets
};

struct membership_message {
    membership_kind kind{membership_kind::gossip};
    std::uint64_t sequence{0};
    std::string sender{};
    std::string target{}; ///< for ping and ping_request
    std::string target_address{};
    std::vector<member_record> updates{};
    std::vector<std::uint32_t> buckets{};
    std::uint64_t differing{0}; ///< bit mask of buckets
    config_hint hint{};
};

/// Timing and size limits; docs/membership.md gives the reason for each.
struct membership_options {
    duration tick_period{std::chrono::milliseconds{200}};
    duration probe_period{std::chrono::seconds{1}};
    duration probe_timeout{std::chrono::milliseconds{300}}; ///< before helpers are asked
    duration relay_timeout{std::chrono::milliseconds{300}}; ///< before a helper sends a nack
    duration suspicion_min{std::chrono::seconds{4}};
    duration suspicion_max{std::chrono::seconds{12}};
    duration sync_period{std::chrono::seconds{15}};
    duration join_period{std::chrono::seconds{1}};
    duration reconnect_period{std::chrono::seconds{5}};
    duration isolation_after{std::chrono::seconds{10}};
    duration tombstone_retention{std::chrono::hours{3}};
    duration false_alarm_decay{std::chrono::seconds{60}};
    std::uint32_t helpers{3};
    std::uint32_t confirmations{3};
    std::uint32_t gossip_fanout{3};
    std::uint32_t retransmit_factor{2}; ///< times log2 of the fleet's size
    std::uint32_t health_limit{8};
    std::size_t piggyback_bytes{1000};
    std::size_t sync_bytes{std::size_t{16} * 1024};
};

inline constexpr std::size_t membership_buckets = 64;

/// One other member, with what only this process knows of it.
struct member_slot {
    member_record record{};
    time_point changed_at{};
    time_point suspected_at{};
    time_point heard_at{};       ///< last message from it
    time_point false_alarm_at{}; ///< last counted refutation
    std::uint32_t false_alarms{0};
    std::vector<std::uint32_t> accusers{};
    std::uint32_t hash{0}; ///< its share of the bucket hash
};

struct membership_probe {
    bool active{false};
    std::uint32_t rounds{0}; ///< how often helpers were asked
    std::string target{};
    std::uint64_t sequence{0};
    std::uint32_t helpers{0};
    std::uint32_t nacks{0};
    time_point sent_at{};
    time_point relay_at{};
    time_point deadline{};
};

/// A ping sent on behalf of another member.
struct membership_relay {
    std::string requester{}; ///< address
    std::uint64_t requester_sequence{0};
    std::uint64_t sequence{0};
    time_point nack_at{};
    time_point expires_at{};
    bool nacked{false};
};

struct membership_update {
    std::string name{};
    std::uint32_t sent{0};
    bool urgent{false}; ///< leaving, left and refutations are sent before anything else
};

struct membership_state {
    membership_options options{};
    rng random{};
    member_record self{};
    std::vector<std::string> seeds{};
    std::vector<member_slot> slots{};
    std::unordered_map<std::string, std::uint32_t> index{}; ///< name to position in slots
    std::vector<std::string> suspects{};
    std::vector<std::string> probe_order{};
    std::vector<membership_update> queue{};
    std::vector<membership_relay> relays{};
    std::array<std::uint32_t, membership_buckets> buckets{};
    membership_probe probe{};
    config_hint hint{}; ///< set by the daemon before each call
    std::uint64_t sequence{0};
    std::uint32_t health_score{0}; ///< 0 is healthy; slows probing and accusing when high
    bool isolated{false};
    time_point last_tick{};
    time_point evidence_at{}; ///< last time a reply to one of our own messages came in
    time_point next_probe{};
    time_point next_sync{};
    duration sync_interval{0}; ///< doubles from join_period to sync_period
    bool sync_awaited{false};  ///< the last request was not answered yet
    time_point sync_retry{};
    time_point next_reconnect{};
    time_point next_purge{};
};

struct membership_outgoing {
    std::string address{};
    membership_message message{};
};

/// A member that joined or whose record changed.
struct member_change {
    member_record record{};
    bool added{false};
    member_health before{member_health::alive};
};

/// A configuration hint from a peer. `age_bound` is set only for a reply to our own message, since
/// only then is the time the hint spent on the way known.
struct heard_hint {
    std::string address{};
    config_hint hint{};
    std::optional<duration> age_bound{};
};

enum class membership_notice : std::uint8_t {
    refuted,             ///< others suspected this process; it answered
    isolated,            ///< no peer answers: suspect this process's own network
    isolation_ended,     ///< a peer answers again
    probe_inconclusive,  ///< a probe failed, but nothing shows that our own links work
    stalled,             ///< this process was not scheduled for several ticks
    incarnation_replaced ///< a process of this name with a higher incarnation exists or existed
};

struct membership_actions {
    std::vector<membership_outgoing> send{};
    std::vector<member_change> changes{};
    std::vector<heard_hint> hints{};
    std::vector<membership_notice> notices{};
};

/// Starts a member's state.
/// @param self its own record; `incarnation` must be higher than at the last start (wall time in
///        milliseconds serves)
/// @param seeds mailbox addresses to announce itself to
/// @param seed seed of all random choices
/// @param now the current time
/// @param options limits
/// @return the state, not yet joined
membership_state start_membership(member_record self, std::vector<std::string> seeds,
                                  std::uint64_t seed, time_point now,
                                  membership_options options = {});

/// Advances timers: probes, suspicions, gossip, joins and table synchronisation.
/// @param state the member's state
/// @param now the current time
/// @return messages to send and what changed
membership_actions membership_tick(membership_state& state, time_point now);

/// Handles one message. Lost, late, duplicated and reordered messages are harmless.
/// @param state the member's state
/// @param from the sender's mailbox address, from the envelope
/// @param message the message
/// @param now the current time
/// @return messages to send and what changed
membership_actions membership_receive(membership_state& state, std::string const& from,
                                      membership_message const& message, time_point now);

/// Announces that this member takes no new work, or takes it again. The returned messages spread
/// the news at once; ticks repeat it.
/// @param state the member's state
/// @param leaving true to leave
/// @return messages to send
membership_actions set_leaving(membership_state& state, bool leaving);

/// Announces that this member has finished and stops. The process may exit once these are sent.
/// @param state the member's state
/// @return messages to send
membership_actions depart(membership_state& state);

/// Changes what this member serves and spreads the change.
/// @param state the member's state
/// @param serves services and models
void set_serves(membership_state& state, std::vector<std::string> serves);

/// Finds a member.
/// @param state the member's state
/// @param name a member's name, also this process's own
/// @return its record, or null; valid until the next call that changes the state
member_record const* find_member(membership_state const& state, std::string const& name);

/// Lists the members that are alive or suspected, this process included, sorted by name.
/// @param state the member's state
/// @param role which members
/// @return records; valid until the next call that changes the state
std::vector<member_record const*> present_members(membership_state const& state, member_role role);

/// Draws mailbox addresses of different present members at random, never this process's own.
/// @param state the member's state; its generator advances
/// @param count how many at most
/// @return addresses
std::vector<std::string> random_peers(membership_state& state, std::size_t count);

/// Upper bound of a record's encoded size in bytes.
/// @param record a record
/// @return bytes
std::size_t record_size_bound(member_record const& record);

} // namespace fireflycrank
