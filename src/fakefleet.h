/// @file
/// A small in-memory network of membership, configuration and load state machines, for benches and
/// tests. Time is virtual; every message passes the real encoding.
#pragma once

#include "cachefeed.h"
#include "configsync.h"
#include "loadreport.h"
#include "membership.h"
#include "subset.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fireflycrank {

/// Bytes of a message besides its envelope: IPv4 and TCP header with time stamps, nng's framing,
/// and the acknowledgement segment that goes the other way.
inline constexpr std::size_t message_overhead = 52 + 8 + 52;

/// One daemon.
struct fleet_node {
    std::size_t place{0}; ///< in fake_fleet::nodes
    std::string name;
    std::string address;
    std::string zone;
    member_role role{member_role::agent};
    std::uint64_t incarnation{1};
    bool up{true};
    duration lag{0}; ///< how late the process handles its messages
    membership_state members{};
    config_state config{};
    load_reporter reporter{};
    load_reader reader{};
    load_values load{};
    cache_feed cache{};
    std::uint64_t bytes{0}; ///< sent and received
    std::uint64_t messages{0};
    bool timed{false}; ///< measures `processor_time`
    duration processor_time{0};
};

/// What the network does to messages.
struct fleet_faults {
    double loss{0};
    double duplication{0};
    duration least_delay{std::chrono::milliseconds{1}};
    duration most_delay{std::chrono::milliseconds{3}};
    std::function<bool(std::size_t from, std::size_t to)> cut{}; ///< true: nothing gets through
};

struct fleet_event {
    time_point at{};
    std::uint64_t order{0};
    std::size_t node{0};
    std::function<void()> run{};
};

struct fleet_event_later {
    bool operator()(fleet_event const& left, fleet_event const& right) const {
        return left.at != right.at ? left.at > right.at : left.order > right.order;
    }
};

struct fake_fleet {
    rng random{};
    time_point now{};
    fleet_faults faults{};
    membership_options membership{};
    config_options configuration{};
    subset_options subset{};
    std::vector<std::unique_ptr<fleet_node>> nodes{};
    std::unordered_map<std::string, std::size_t> by_address{};
    std::vector<fleet_event> events{}; ///< a heap, the next one in front
    std::uint64_t event_count{0};
    std::uint64_t seed{0};
    std::vector<std::string> seeds{};
    std::vector<std::string> control{}; ///< mailboxes of the control replicas
    config_ident confirmed{};           ///< what a majority holds as newest
    config_files files{};
    bool majority{true}; ///< the leader can confirm and answer reads
    bool loads{false};   ///< agents report load
    std::function<void(fleet_node&, member_change const&)> on_change{};
    std::function<void(fleet_node&, membership_notice)> on_membership{};
    std::function<void(fleet_node&, config_notice)> on_config{};
};

struct fleet_size {
    std::size_t entries{0};
    std::size_t agents{0};
    std::size_t control{0};
};

/// Makes a fake_fleet: control replicas first, then entries, then agents, spread over six zones.
/// @param target an empty fake_fleet whose options are set
/// @param size how many of each
/// @param seed seed of all random choices
/// @param acquainted true when every member knows every other from the start
void build_fleet(fake_fleet& target, fleet_size const& size, std::uint64_t seed, bool acquainted);

/// Runs all events up to a moment.
/// @param target the fake_fleet
/// @param span how far
void run_fleet(fake_fleet& target, duration span);

/// Ends a process without warning.
/// @param target the fake_fleet
/// @param node which
void stop_node(fake_fleet& target, std::size_t node);

/// Starts a process again with empty state and a higher incarnation.
/// @param target the fake_fleet
/// @param node which
void restart_node(fake_fleet& target, std::size_t node);

/// Commits a revision at the control replicas.
/// @param target the fake_fleet
/// @param files the whole new content
void commit_files(fake_fleet& target, config_files files);

/// Sends what a state machine returned.
/// @param target the fake_fleet
/// @param node the sender
/// @param actions the messages and changes
void perform(fake_fleet& target, fleet_node& node, membership_actions const& actions);

/// Follows the targets of choose_subset() in every pool, as the present members stand.
/// @param target the fake_fleet
/// @param node an entry
void follow_subset(fake_fleet& target, fleet_node& node);

} // namespace fireflycrank
