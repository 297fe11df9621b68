/// @file
/// Dissemination of confirmed configuration revisions, and the rule when a daemon may serve.
///
/// Daemons hear of a revision by announcements and by hints on membership messages, and pull the
/// difference from the member that has it. Revisions only rise. Control replicas use the same state
/// as suppliers.
#pragma once

#include "clock.h"
#include "membership.h"
#include "rng.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace fireflycrank {

/// Names one committed revision.
struct config_ident {
    std::uint64_t term{0};
    std::uint64_t index{0}; ///< of the control log entry
    std::uint64_t revision{0};
    std::string digest{}; ///< config_digest() of the files
    bool operator==(config_ident const&) const = default;
};

/// A file with its digest, shared between revisions.
struct config_file {
    std::string content{};
    std::string digest{};
};

using config_files = std::map<std::string, std::shared_ptr<config_file const>>;

/// Makes a shared file.
/// @param content the file's bytes
/// @return the file with its digest
std::shared_ptr<config_file const> make_config_file(std::string content);

/// Digest of a set of files.
/// @param files the files by name
/// @return 64 hexadecimal digits
std::string config_digest(config_files const& files);

/// First 64 bits of a digest, for hints.
/// @param digest hexadecimal digits
/// @return 0 for an empty digest
std::uint64_t digest_prefix(std::string const& digest);

enum class config_kind : std::uint8_t {
    announce, ///< the sender has this confirmed revision
    pull,     ///< send me what I lack
    part,     ///< a slice of the difference
    adopted,  ///< daemon to control: the sender has this revision in effect
    adopted_ack,
    no_difference ///< the puller's revision is not in the sender's history
};

struct config_message {
    config_kind kind{config_kind::announce};
    std::string sender{};
    config_ident ident{};           ///< pull: the lowest revision wanted
    std::uint64_t base_revision{0}; ///< what the puller has; 0 for nothing
    std::string base_digest{};
    std::uint64_t payload{0};             ///< hash of the whole difference; pull: 0 for any
    std::uint64_t total{0};               ///< bytes of the whole difference
    std::uint64_t offset{0};              ///< part: place of `bytes`
    std::vector<std::uint64_t> offsets{}; ///< pull: parts wanted; empty for the first ones
    std::string bytes{};
};

struct config_outgoing {
    std::string address{};
    config_message message{};
};

struct config_options {
    std::uint32_t announce_fanout{4};
    std::uint32_t announce_rounds{3};
    duration pull_timeout{std::chrono::milliseconds{600}};
    std::uint32_t supplier_tries{2};
    duration read_period{std::chrono::seconds{1}}; ///< between majority reads until one returns
    duration read_after{std::chrono::seconds{30}}; ///< age of confirmation that makes a read due
    duration control_lost_after{std::chrono::seconds{60}};
    duration stale_serving_limit{std::chrono::hours{2}};
    duration adopted_period{std::chrono::seconds{2}};
    std::uint32_t adopted_copies{10}; ///< per control replica, until it acknowledges
    std::size_t part_bytes{std::size_t{16} * 1024};
    std::uint32_t part_window{16};
    std::size_t history{1024};
    std::size_t max_payload{std::size_t{16} * 1024 * 1024};
};

/// Which files changed on the way to a revision; their content is in the current files.
struct config_step {
    std::uint64_t base_revision{0};
    std::string base_digest{};
    std::vector<std::string> touched{};
};

/// A difference under way from a supplier.
struct config_transfer {
    bool active{false};
    std::string supplier{};
    std::vector<std::string> failed{}; ///< suppliers that did not reply in this transfer
    config_ident ident{};
    std::uint64_t base_revision{0};
    std::string base_digest{};
    std::uint64_t payload{0};
    std::uint64_t total{0};
    std::map<std::uint64_t, std::string> parts{};
    std::uint32_t awaited{0};
    std::uint64_t last_awaited{0}; ///< highest offset asked for
    std::uint32_t timeouts{0};
    time_point deadline{};
};

struct config_payload {
    std::uint64_t base_revision{0};
    std::string base_digest{};
    config_ident ident{};
    std::uint64_t hash{0};
    std::shared_ptr<std::string const> bytes{};
};

/// That a majority held `revision` as newest at a moment.
struct config_confirmation {
    std::uint64_t revision{0};
    time_point at{};
};

enum class config_serving : std::uint8_t {
    starting, ///< no confirmed revision was read from a majority since the start: serve nothing
    current,  ///< confirmed recently
    stale,    ///< contact with control lost: serve idempotent requests only
    expired   ///< contact lost for longer than stale_serving_limit: serve nothing
};

enum class config_notice : std::uint8_t {
    adopted,         ///< a new revision is in effect
    conflict,        ///< two contents under one revision number, or revisions out of log order
    digest_mismatch, ///< a difference did not give the announced digest; the full set is pulled
    repaired,        ///< own content contradicted the majority's and was dropped
    stale,           ///< contact with control lost
    expired,         ///< stale_serving_limit passed; serving stops
    contact_restored ///< confirmed again
};

struct config_state {
    config_options options{};
    std::string self{};
    rng random{};
    config_ident ident{};
    config_files files{};
    bool held{false}; ///< some revision is held
    time_point adopted_at{};
    std::deque<config_step> history{};
    std::optional<std::uint64_t> floor{}; ///< revision of the first majority read after the start
    std::optional<config_confirmation> confirmed{};
    std::optional<config_confirmation> pending{}; ///< applies once its revision is held
    config_transfer transfer{};
    std::map<std::string, config_ident> sources{}; ///< members known to have newer revisions
    std::vector<std::string> control{};            ///< control replicas, from the last tick
    std::deque<config_payload> payloads{};         ///< differences made lately
    std::uint32_t announces_left{0};
    std::uint32_t adopted_left{0};
    std::vector<std::string> adopted_acks{}; ///< control replicas that know of our revision
    time_point next_adopted{};
    time_point next_read{};
    bool full_only{false};
    std::uint32_t refusals{0}; ///< suppliers that had no difference from the held revision
    bool read_wanted{false};   ///< a conflict was seen: ask the majority which content is right
    bool control_reachable{true};
    config_serving reported{config_serving::starting};
    std::uint64_t conflict_reported{0};
    std::map<std::string, std::uint64_t> adopted_by{}; ///< control: revision by daemon
};

struct config_actions {
    std::vector<config_outgoing> send{};
    std::vector<config_notice> notices{};
    bool read_majority{false}; ///< start a linearizable read of the newest revision's ident
};

/// Starts the state of a process.
/// @param self the member's name
/// @param seed seed of all random choices
/// @param options limits
/// @return a state that holds nothing and serves nothing
config_state start_configsync(std::string self, std::uint64_t seed, config_options options = {});

/// Takes a revision from the control log at a control replica. Only revisions confirmed by a
/// majority may be given.
/// @param state the replica's state
/// @param ident the committed revision
/// @param files its files
/// @param now the current time
/// @return notices; a lower or contradicting revision is refused with `conflict`
config_actions config_publish(config_state& state, config_ident const& ident, config_files files,
                              time_point now);

/// Takes the result of a majority read, or the leader's own confirmation while its lease holds.
/// @param state the process's state
/// @param ident the newest confirmed revision
/// @param read_started when the read began: the confirmation is not younger
/// @param supplier address that can supply the revision; may be empty
/// @param now the current time
/// @return messages to send and notices
config_actions config_majority_read(config_state& state, config_ident const& ident,
                                    time_point read_started, std::string const& supplier,
                                    time_point now);

/// Takes a hint from a membership message. One that replied to our own message carries a bound of
/// its age; then it also confirms what is held, without a read at the leader.
/// @param state the process's state
/// @param heard the hint and its origin
/// @param now the current time
/// @return messages to send and notices
config_actions config_heard(config_state& state, heard_hint const& heard, time_point now);

/// Makes the hint that goes out on membership messages.
/// @param state the process's state
/// @param now the current time
/// @return the hint to set as membership_state::hint before each membership call
config_hint make_hint(config_state const& state, time_point now);

/// Advances timers: announcements, pulls, majority reads, stale limits.
/// @param state the process's state
/// @param peers random present members, at least announce_fanout where there are so many
/// @param control mailboxes of the control replicas
/// @param now the current time
/// @return messages to send and notices
config_actions config_tick(config_state& state, std::span<std::string const> peers,
                           std::span<std::string const> control, time_point now);

/// Handles one message. Lost, late, duplicated and reordered messages are harmless.
/// @param state the process's state
/// @param from the sender's mailbox address
/// @param message the message
/// @param now the current time
/// @return messages to send and notices
config_actions config_receive(config_state& state, std::string const& from,
                              config_message const& message, time_point now);

/// Tells how this process may serve.
/// @param state the process's state
/// @param now the current time
/// @return `starting` and `expired` forbid serving; `stale` allows idempotent requests only
config_serving serving_state(config_state const& state, time_point now);

/// Tells whether orders may be tried; otherwise they are refused as `not_run` at once.
/// @param state the process's state
/// @param now the current time
/// @return true while confirmed recently and control answers
bool orders_allowed(config_state const& state, time_point now);

/// The files to serve by.
/// @param state the process's state
/// @param now the current time
/// @return null while nothing may be served
config_files const* files_in_service(config_state const& state, time_point now);

/// Time since a majority is known to have held this process's revision as newest.
/// @param state the process's state
/// @param now the current time
/// @return nothing when never confirmed
std::optional<duration> confirmed_age(config_state const& state, time_point now);

/// At a control replica: which of the given daemons have not reported a revision or a later one.
/// @param state the replica's state
/// @param daemons member names
/// @param revision the revision
/// @return names, in the given order
std::vector<std::string> config_lacking(config_state const& state,
                                        std::span<std::string const> daemons,
                                        std::uint64_t revision);

} // namespace fireflycrank
