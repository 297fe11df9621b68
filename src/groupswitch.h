/// @file
/// Changes the expert map of a lock-step group whose engines offer prepare, arm, hold and release.
///
/// The agent of rank 0 coordinates. It has all ranks prepare the map, has its own engine told by a
/// registrar to hold a pass (whoever gives the hold may fail right after it, and the machines of
/// the ranks are needed for what follows), has all ranks arm the change for that pass, and releases
/// the pass only when the engine of every rank reports that it is armed. It never takes an arm
/// back: an order whose answer was lost may be carried out seconds later, so the only safe way out
/// of a hold is forward. A pass that is released therefore begins with every rank on the new map,
/// and a pass before it with every rank on the old one. Pure.
#pragma once

#include "clock.h"
#include "enginereport.h"
#include "expertplace.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fireflycrank {

/// What a rank's agent tells the coordinator.
struct rank_status {
    std::string group;
    std::uint64_t epoch{0};
    unsigned rank{0};
    unsigned group_size{0};
    bool open{true};
    std::uint64_t pass{0};
    std::uint64_t map_version{0};
    std::uint64_t prepared_version{0};
    std::optional<armed_change> armed;
    std::optional<std::uint64_t> held_pass;
    std::uint64_t highest_version{0}; ///< that the agent has seen or ordered
    unsigned sets{0};
    std::vector<std::uint64_t> counts;   ///< choices of experts since the last status
    std::optional<rank_experts> experts; ///< of `map_version`
    std::string engine_address;
};

enum class rank_operation : std::uint8_t { prepare = 1, arm = 2 };

/// A rank to which an instruction is passed on.
struct relay_destination {
    unsigned rank{0};
    std::string agent_address; ///< peer address
};

/// What the coordinator tells a rank's agent to order.
struct rank_instruction {
    std::string group;
    std::uint64_t epoch{0};
    unsigned rank{0};
    rank_operation operation{rank_operation::prepare};
    std::uint64_t version{0};
    std::uint64_t pass{0};  ///< arm
    std::string packed_map; ///< prepare; see countcode.h
    /// The receiver passes the instruction on to these, so that a map for many ranks does not cross
    /// the coordinator's link once for each.
    std::vector<relay_destination> relay_to;
};

/// A coordinator's request that another process orders its engine to hold a pass.
struct hold_request {
    std::string engine_address;
    std::uint64_t epoch{0};
    std::uint64_t version{0};
    std::uint64_t pass{0};
};

enum class switch_stage : std::uint8_t {
    idle,
    preparing, ///< ranks copy what they lack
    holding,   ///< the hold of the own rank is not confirmed yet
    arming,    ///< the group may stand still until all ranks are armed
    releasing
};

/// Times and limits.
struct group_switch_settings {
    duration prepare_resend{std::chrono::milliseconds{400}};
    /// An answered order takes a few milliseconds; a pause of the group over 100 ms makes every
    /// stream late.
    duration arm_resend{std::chrono::milliseconds{40}};
    duration local_resend{std::chrono::milliseconds{40}};
    /// A preparation that takes longer is given up; nothing is held meanwhile.
    duration prepare_timeout{std::chrono::seconds{6}};
    /// Statuses must be this fresh before a hold: an agent that is down would stop the group.
    duration status_max_age{std::chrono::milliseconds{600}};
    /// Instructions to prepare that one rank hands on; 0: the coordinator sends all itself.
    unsigned relay_fanout{0};
    /// Time from the newest report until every rank is armed, when no order is lost. The held pass
    /// is the first that begins later than that after a further one; an earlier one would hold the
    /// group up, a later one leaves it with the old map.
    duration expected_switch_time{std::chrono::milliseconds{70}};
    /// The same beyond the slowest arming of the last changes.
    duration switch_margin{std::chrono::milliseconds{30}};
    /// Passes until the held one while their length is not known.
    std::uint64_t default_lead_passes{3};
    std::uint64_t max_lead_passes{8};
};

struct tracked_rank {
    rank_status status;
    time_point status_at{};
    std::string agent_address; ///< peer address
};

/// The coordinator's state.
struct group_coordinator {
    std::string group;
    std::uint64_t epoch{0};
    group_switch_settings settings;
    std::map<unsigned, tracked_rank> ranks;
    switch_stage stage{switch_stage::idle};
    std::uint64_t version{0};
    std::string packed_map;
    bool map_distributed{false};  ///< the map was sent to every rank once
    std::uint64_t switch_pass{0}; ///< held and armed
    time_point stage_begin{};     ///< begin of the stage
    time_point resend_at{};
    time_point local_resend_at{};
    std::uint64_t completed{0};
    std::uint64_t abandoned{0};
    duration pass_time{};            ///< of the group lately; zero: not known
    duration last_hold_time{};       ///< from arming to release of the last change
    duration recent_max_hold_time{}; ///< the same, a decaying maximum over the last changes
};

/// What the coordinator does next.
struct coordinator_actions {
    std::vector<rank_instruction> instructions;
    std::optional<std::uint64_t>
        hold_pass; ///< have a registrar order the own rank to hold this pass
    std::optional<std::uint64_t> release_pass; ///< order the own rank to release this pass
};

/// Takes a rank's status.
/// @param coordinator the state
/// @param status the status
/// @param agent the agent's peer address
/// @param now the time
void update_rank_status(group_coordinator& coordinator, rank_status const& status,
                        std::string const& agent, time_point now);

/// Whether a change may begin: all ranks are known, fresh, in one epoch and on one map.
/// @param coordinator the state
/// @param now the time
/// @return true when begin_switch() may be called
bool can_begin_switch(group_coordinator const& coordinator, time_point now);

/// Begins a change.
/// @param coordinator the state
/// @param packed_map the map to change to, see countcode.h
/// @param least_version the wall time in milliseconds: an order of a former run may be carried out
///        seconds late, and must then find a higher version
/// @param now the time
void begin_switch(group_coordinator& coordinator, std::string packed_map,
                  std::uint64_t least_version, time_point now);

/// Decides what to do; called after each status and at a short period.
/// @param coordinator the state
/// @param now the time
/// @return orders and instructions
coordinator_actions advance_switch(group_coordinator& coordinator, time_point now);

char const* name_of(switch_stage stage);

/// What the engines of a group say of themselves, read by an agent that finds the group standing
/// still: the coordinator, or the agent that should arm a rank, may be frozen or dead. By rank.
using engine_reports = std::map<unsigned, engine_report>;

/// What an agent may order to complete a change that somebody else began.
struct completion_orders {
    std::uint64_t version{0};
    std::uint64_t pass{0};
    std::vector<unsigned> unarmed_ranks; ///< ranks that are not armed yet
    bool release{false};                 ///< all are armed: rank 0 may release the pass
};

/// Decides how to complete a change from reports alone. A hold proves that every rank had prepared
/// the map; the step is empty unless the reports still show it.
/// @param reports the engines' reports; may be some hundred milliseconds old, since what is armed
///        stays armed until the held pass begins
/// @return orders to give, or nothing when there is nothing to complete
std::optional<completion_orders> plan_completion(engine_reports const& reports);

} // namespace fireflycrank
