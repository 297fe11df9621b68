/// @file
/// The replicated table of evacuated availability zones, and how the leader recognizes a late copy
/// of an operator's order. Pure.
#pragma once

#include "clock.h"
#include "controlstate.h"
#include "error.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
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
    bool copy{false};     ///< of an order that took effect before; changes nothing
};

/// A change of the table.
struct evacuation_change {
    std::string zone;
    bool evacuate{false};
    wall_time at; ///< the leader's wall time at the proposal
};

/// The table.
struct evacuation_table {
    evacuation_list current;
    /// Changes that this replica applied and its owner has not taken yet; not replicated.
    std::vector<evacuation_change> changes;
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

/// A replica's memory of orders, by which it recognizes copies when it leads. An operator repeats
/// an order that got no clear answer for a limited time, so a copy may arrive after the opposite
/// order took effect. The time counts only while the replica runs: copies that wait in the sockets
/// of a suspended leader must not outlast it.
struct evacuation_memory {
    duration repeat_time{};  ///< an order is repeated for so long at most
    duration running_time{}; ///< for which this replica has run
    time_point noted_at{};   ///< `running_time` is of then
    /// When the last change of each kind took effect, in `running_time`.
    struct zone_changes {
        std::map<bool, duration> effect_at; ///< by evacuation_order::evacuate
    };
    std::map<std::string, zone_changes> zones;
    std::map<std::uint64_t, evacuation_order> pending; ///< proposed here; by request number
};

/// Advances the running time. To be called several times per second.
void note_time(evacuation_memory& memory, time_point now);

/// Records a change that this replica applied.
/// @param wall this replica's wall time; a change that is much older, as after a restart, takes no
/// part in the recognition of copies
void note_change(evacuation_memory& memory, evacuation_change const& change, wall_time wall);

/// Whether an order is taken for a late copy: it repeats the last but one of its zone, which took
/// effect not long ago.
/// @param list the table as applied
bool is_late_copy(evacuation_memory const& memory, evacuation_list const& list,
                  evacuation_order const& order);

/// Whether an opposite order of the same zone is proposed and not settled, so that it cannot be
/// told yet whether this one is a copy.
bool awaits_opposite(evacuation_memory const& memory, evacuation_order const& order);

} // namespace fireflycrank
