/// @file
/// The rank agent runs on a model engine's VM. It reads the engine's reports, which are free of
/// charge, sends its load to the gateways and carries out expert map changes. rankagent.cpp reads
/// and sends reports; rankagentswitch.cpp changes maps. Everything runs on one event loop, so
/// nothing is locked.
#pragma once

#include "beatsender.h"
#include "directorysync.h"
#include "engineload.h"
#include "enginereport.h"
#include "eventloop.h"
#include "expertplace.h"
#include "groupswitch.h"
#include "grouptuning.h"
#include "peerlink.h"
#include "rng.h"
#include "serviceconfig.h"
#include "targetdirectory.h"
#include "targetpool.h"
#include "vmsettings.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace fireflycrank {

/// Passes up to this length count as short: about half of the interval between stream events that
/// callers accept.
inline constexpr std::chrono::milliseconds short_pass_limit{60};

/// How often each expert was chosen recently.
struct decayed_demand {
    expert_demand demand; ///< decayed counts by set and expert
    time_point updated_at{};
    std::chrono::duration<double> half_life{1};
};

/// The state of a rank agent.
struct rank_agent {
    explicit rank_agent(vm_settings configured);

    event_loop loop;
    vm_settings settings;
    settings_source read_settings;
    std::shared_ptr<peer_link> link;
    std::shared_ptr<metrics_registry> metrics;
    std::shared_ptr<http_listener> metrics_listener;
    target_pool pool;
    directory_subscriber subscriber;
    attached_set attached_registrars; ///< registrars to which this agent is attached
    target_directory directory;
    rng random;

    std::optional<engine_report> report;
    time_point report_read_at{};
    bool reading_report{false};
    bool read_report_again{false}; ///< something changed while a report was being read
    bool engine_answering{true};
    std::uint64_t loads_sent{0};
    std::map<std::string, load_recipient> load_readers; ///< gateways by peer address
    time_point counts_read_at{};
    time_point frequent_reads_until{}; ///< until then reports are read at every tick, because of a
                                       ///< map change

    // State of the rank.
    std::optional<expert_counts> last_counts; ///< newest counts read from the engine
    std::vector<std::uint64_t> unsent_counts; ///< counts of the window that the next status covers
    bool counts_due{false};                   ///< the next status carries `unsent_counts`
    bool counts_window_begun{false};          ///< the counts at the begin of the window were read
    std::optional<rank_status> last_sent_status; ///< the last status sent, without counts
    time_point last_sent_at{};
    unsigned expert_sets{0};
    std::optional<rank_experts> experts; ///< of this rank under the map in use
    std::uint64_t experts_version{0};
    std::uint64_t experts_epoch{0};
    std::uint64_t highest_version{0};
    bool reading_counts{false};
    bool reading_experts{false};

    coordinator_contact known_coordinator;

    // For completing a change that its coordinator does not complete.
    std::map<unsigned, std::string> engine_addresses; ///< addresses of the group's engines by rank
    std::string engine_addresses_group;
    std::uint64_t last_pass{0};
    time_point last_pass_at{}; ///< when `last_pass` was seen to begin
    bool completing_switch{false};

    // State of the coordinator; used on rank 0 only.
    std::optional<group_coordinator> coordinator;
    decayed_demand long_term_demand;  ///< over about a second: little noise
    decayed_demand short_term_demand; ///< over a few passes: shows a sudden change early
    time_point next_plan_at{};
    duration pass_time{}; ///< smoothed length of the passes with work
    std::uint64_t sampled_pass{0};
    time_point pass_sampled_at{};
    std::optional<engine_traits> traits;
    std::uint64_t config_version{0};
    time_point config_requested_at{};
    switch_stage logged_stage{switch_stage::idle};
};

/// Runs a rank agent until it is stopped.
/// @param read_settings reads the settings file
/// @param settings_path the file, watched for changes
/// @return nothing, or why it could not start
result<void> run_rank_agent(settings_source const& read_settings, std::string const& settings_path);

/// The values that now apply to the agent's group.
group_tuning current_group_tuning(rank_agent const& agent);

/// Reads the engine's report and sends it on to the gateways and the coordinator.
void read_report(rank_agent& agent);

/// Reads the engine's counts.
/// @param report true: send the counts since the last reading to the coordinator; false: begin a
/// new window of counts
void read_counts(rank_agent& agent, bool report);

/// Sends the rank's status to the group's coordinator.
void send_status(rank_agent& agent);

/// Handles a rank's status; ignored unless this agent is the coordinator of the group.
/// @param agent the agent of rank 0
/// @param from peer address of the sending agent
void on_rank_status(rank_agent& agent, rank_status const& status, std::string const& from);

/// Relays and carries out an instruction of the coordinator.
void on_rank_instruction(rank_agent& agent, rank_instruction const& instruction);

/// Completes a map change that pauses the group for too long, also another agent's; call about
/// every 50 ms.
void complete_stalled_switch(rank_agent& agent);

/// Advances the coordinator; call about every 50 ms.
void tick_coordinator(rank_agent& agent);

} // namespace fireflycrank
