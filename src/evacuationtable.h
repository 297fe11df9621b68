/// @file
/// The replicated table of evacuated availability zones, and how long the leader must not take an
/// operator's order because it may be a late copy of an earlier one. Pure.
#pragma once

#include "clock.h"
#include "controlstate.h"
#include "error.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fireflycrank {

/// The command kind of the table.
inline constexpr char const* evacuation_table_kind = "evacuations";

/// The evacuated availability zones.
struct evacuation_list {
    /// Rises with every change, also over a loss of the whole log: it is at least the leader's wall
    /// time in Unix milliseconds. 0: nothing was ever ordered.
    std::uint64_t revision{0};
    std::set<std::string> zones;
    bool operator==(evacuation_list const&) const = default;
};

/// An operator's order as a replicated command.
struct evacuation_order {
    std::string zone;
    bool evacuate{false}; ///< false: the evacuation ends
    bool copy{false};     ///< set by earlier versions for what may be a copy; changes nothing
};

/// An applied order, whether it changed the table or found it so: copies of either may follow.
struct applied_evacuation {
    std::string zone;
    bool evacuate{false};
    wall_time at; ///< the leader's wall time at the proposal
};

/// The table.
struct evacuation_table {
    evacuation_list current;
    /// When the last order of each kind was applied, by zone and evacuation_order::evacuate. Kept
    /// for some minutes, for replicas that get a snapshot in place of the orders.
    std::map<std::pair<std::string, bool>, wall_time> last_orders;
    /// Orders that this replica applied and its owner has not taken yet; not replicated.
    std::vector<applied_evacuation> applied;
};

/// The zones of a list, separated by commas.
std::string joined_zones(evacuation_list const& list);

/// Whether an order would change a list.
bool is_change(evacuation_list const& list, evacuation_order const& order);

/// Applies an order.
/// @param at the leader's wall time at the proposal
void apply(evacuation_table& table, evacuation_order const& order, wall_time at);

/// Registers the table. Its query and the replies to its commands are the serialized list.
/// @param table the table; must outlive `state`
void register_evacuations(control_state& state, evacuation_table& table);

// Parsing malformed bytes fails with `corrupt_data`.

/// Serializes an order.
std::string serialize(evacuation_order const& plain);
/// Parses an order.
result<evacuation_order> parse_evacuation_order(std::string_view bytes);
/// Serializes a list.
std::string serialize(evacuation_list const& plain);
/// Parses a list.
result<evacuation_list> parse_evacuation_list(std::string_view bytes);

/// A replica's memory of orders, for when it leads. An operator repeats an order that got no clear
/// answer for a limited time, so a copy may arrive after the opposite order took effect, and cannot
/// be told from a new order. The time counts only while the replica runs: copies that wait in the
/// sockets of a suspended leader must not outlast it.
struct evacuation_memory {
    duration repeat_time{};  ///< an order is repeated for so long at most
    duration running_time{}; ///< for which this replica has run
    time_point noted_at{};   ///< `running_time` is of then
    /// When the last order of each kind was applied, in `running_time`; by zone and
    /// evacuation_order::evacuate.
    std::map<std::pair<std::string, bool>, duration> applied_at;
    std::map<std::uint64_t, evacuation_order> pending; ///< proposed here; by request number
};

/// Advances the running time. To be called several times per second.
void note_time(evacuation_memory& memory, time_point now);

/// Records an order that this replica applied.
/// @param wall this replica's wall time; of an order that is much older, as after a restart, no
/// copy is awaited
void note_applied(evacuation_memory& memory, applied_evacuation const& applied, wall_time wall);

/// How long an order must wait because it may be a late copy of an equal one, which the opposite
/// order has overruled since. Whoever sent a copy has given up by then.
/// @param list the table as applied
/// @return zero if the order can be taken now
duration wait_for_copies(evacuation_memory const& memory, evacuation_list const& list,
                         evacuation_order const& order);

/// Whether an opposite order of the same zone is proposed and not settled, so that it cannot be
/// told yet whether this one is a copy.
bool awaits_opposite(evacuation_memory const& memory, evacuation_order const& order);

} // namespace fireflycrank
