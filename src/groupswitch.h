/// @file
/// Changes the expert map of a lock-step group whose engines offer the orders prepare, arm, hold
/// and release. A pass is one joint step of all ranks; a held pass does not begin.
///
/// The agent of rank 0 is the coordinator. It has all ranks prepare the map, has a registrar order
/// its own engine to hold a pass, has all ranks arm the change for that pass, and releases the pass
/// only when the engine of every rank reports that it is armed. A registrar gives the hold order
/// because the process that gives it may fail right afterwards, and the VMs of the ranks are needed
/// for the later stages. An arm order is never withdrawn: an order whose answer was lost may be
/// carried out seconds later, so the only safe end of a hold is to complete the change. A released
/// pass therefore begins with every rank on the new map, and the passes before it with every rank
/// on the old one. Does no I/O.
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

/// Sent by a rank's agent to the coordinator.
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
    std::optional<std::uint64_t> held_pass; ///< the engine waits before this pass
    std::uint64_t highest_version{0}; ///< highest map version that the agent has seen or ordered
    unsigned sets{0};                 ///< number of expert sets; each has its own experts
    std::vector<std::uint64_t>
        counts; ///< how often each expert was chosen, set by set, since the last counts
    std::optional<rank_experts> experts; ///< of this rank under `map_version`
    std::string engine_address;
    double pace{1.0}; ///< time for a unit of work; 1 at normal speed
};

enum class rank_operation : std::uint8_t { prepare = 1, arm = 2 };

/// A rank to which an instruction is relayed.
struct relay_destination {
    unsigned rank{0};
    std::string agent_address; ///< peer address
};

/// Sent by the coordinator to a rank's agent, which gives the order to its engine.
struct rank_instruction {
    std::string group;
    std::uint64_t epoch{0};
    unsigned rank{0};
    rank_operation operation{rank_operation::prepare};
    std::uint64_t version{0};
    std::uint64_t pass{0};  ///< for arm
    std::string packed_map; ///< for prepare; from pack_map()
    /// The receiver relays the instruction to these ranks, so that the map does not cross the
    /// coordinator's link once for each rank.
    std::vector<relay_destination> relay_to;
};

/// Sent by the coordinator to a registrar, which orders the coordinator's engine to hold a pass.
struct hold_request {
    std::string engine_address;
    std::uint64_t epoch{0};
    std::uint64_t version{0};
    std::uint64_t pass{0};
};

enum class switch_stage : std::uint8_t {
    idle,
    preparing, ///< the ranks copy the experts that they lack
    holding,   ///< the coordinator's engine has not confirmed the hold yet
    arming,    ///< the group may be paused until all ranks are armed
    releasing  ///< the released pass has not begun yet
};

/// Periods and limits of a change.
struct group_switch_settings {
    duration prepare_resend{std::chrono::milliseconds{400}};
    /// An order that is not lost is answered within a few milliseconds, and a pause of the group of
    /// more than 100 ms delays every stream.
    duration arm_resend{std::chrono::milliseconds{40}};
    /// Resend interval of the requests to hold and to release the pass of rank 0.
    duration local_resend{std::chrono::milliseconds{40}};
    /// A change whose preparation takes longer is abandoned; no pass is held at that stage.
    duration prepare_timeout{std::chrono::seconds{6}};
    /// A pass is held only if every rank's status is newer than this: a rank whose agent is down
    /// could not be armed, which would stop the group.
    duration status_max_age{std::chrono::milliseconds{600}};
    /// Ranks to which one rank relays the instruction to prepare; 0: the coordinator sends all
    /// instructions itself.
    unsigned relay_fanout{0};
    /// Expected time from the newest report until every rank is armed, if no order is lost. The
    /// pass to hold is one later than the first that begins after this time. Holding an earlier
    /// pass would pause the group; a later one would keep the old map in use for longer.
    duration expected_switch_time{std::chrono::milliseconds{70}};
    /// The expected time is at least recent_max_hold_time plus this margin.
    duration switch_margin{std::chrono::milliseconds{30}};
    /// Passes until the held one while the length of a pass is not known.
    std::uint64_t default_lead_passes{3};
    std::uint64_t max_lead_passes{8};
};

/// The newest status of a rank.
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
    std::uint64_t switch_pass{0}; ///< the pass that is held and for which the ranks are armed
    time_point stage_begin{};     ///< begin of the stage
    time_point resend_at{};
    time_point local_resend_at{};
    std::uint64_t completed{0}; ///< number of changes
    std::uint64_t abandoned{0}; ///< number of changes
    duration pass_time{};       ///< recent length of a pass; zero if not known
    duration last_hold_time{}; ///< of the last change, from the confirmed hold until all ranks were
                               ///< armed
    duration recent_max_hold_time{}; ///< decaying maximum of `last_hold_time`
};

/// What the coordinator does next.
struct coordinator_actions {
    std::vector<rank_instruction> instructions;
    std::optional<std::uint64_t>
        hold_pass; ///< have a registrar order rank 0's engine to hold this pass
    std::optional<std::uint64_t> release_pass; ///< order rank 0's engine to release this pass
};

/// Records a rank's status. A higher epoch than the coordinator's discards all earlier state; a
/// status of a lower epoch is ignored.
/// @param agent_address the agent's peer address
void update_rank_status(group_coordinator& coordinator, rank_status const& status,
                        std::string const& agent_address, time_point now);

/// Whether a change may begin: every rank has a recent status, and all are in the same epoch and on
/// the same map.
bool can_begin_switch(group_coordinator const& coordinator, time_point now);

/// Begins a change of the map.
/// @param packed_map the map to change to, from pack_map()
/// @param min_version lower bound of the new map's version: the wall time in milliseconds, since an
/// order from before a restart of this agent may be carried out seconds late and must then find a
/// higher version
void begin_switch(group_coordinator& coordinator, std::string packed_map, std::uint64_t min_version,
                  time_point now);

/// Advances the change and returns what to do next. Call after each status and periodically.
coordinator_actions advance_switch(group_coordinator& coordinator, time_point now);

char const* name_of(switch_stage stage);

/// Reports of the engines of a group, by rank. An agent reads them when the group has stalled: the
/// coordinator, or the agent that should arm a rank, may be frozen or down.
using engine_reports = std::map<unsigned, engine_report>;

/// Orders that any agent may give to complete a change that it did not begin.
struct completion_orders {
    std::uint64_t version{0};
    std::uint64_t pass{0};
    std::vector<unsigned> unarmed_ranks; ///< ranks that are not armed yet
    bool release{false};                 ///< all are armed: rank 0 may release the pass
};

/// Decides from the reports alone how to complete a change. A hold proves that every rank had
/// prepared the map; nothing is ordered unless the reports still show this.
/// @param reports may be some hundred milliseconds old, since an armed rank stays armed until the
/// held pass begins
/// @return the orders, or nothing if there is no change to complete
std::optional<completion_orders> plan_completion(engine_reports const& reports);

} // namespace fireflycrank
