/// @file
/// What a process on a VM of the platform is told at its start. The platform's adapter decodes it
/// from the settings file.
#pragma once

#include "clock.h"
#include "policysettings.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace fireflycrank {

/// Addresses that a process serves from; empty where its role serves nobody.
struct vm_listeners {
    std::string callers;
    std::string readiness;
    std::string control;   ///< targets and the operator
    std::string directory; ///< callers that ask where to connect
};

/// The platform's limits for the system.
struct vm_bounds {
    std::chrono::milliseconds drain{2'000};        ///< last new work at a target that leaves
    std::chrono::milliseconds grace{8'000};        ///< from SIGTERM to SIGKILL
    std::chrono::milliseconds config_apply{2'000}; ///< from an acknowledgement to effect everywhere
    std::chrono::milliseconds announcement{1'200}; ///< between two announcements of a target
    std::chrono::milliseconds directory_life{5'000}; ///< longest life of a directory answer
    std::chrono::milliseconds stall{1'500};          ///< a group waits this long for a dead rank
    std::chrono::milliseconds ack_timeout{4'000};    ///< the operator repeats an order for so long
    /// Requests to a cold target in one second, as a multiple of its declared rate, and beyond it.
    double cold_overage{1.5};
    double cold_allowance{5};
    double retry_ratio{0.2};
    double retry_allowance{50};
    std::chrono::milliseconds retry_window{10'000};
};

/// The settings of a process.
struct vm_settings {
    std::string name; ///< of the VM
    std::string role;
    std::string ip;
    std::string zone;
    std::string region;
    vm_listeners listen;
    unsigned first_peer_port{0}; ///< for messages between our own processes
    unsigned last_peer_port{0};
    std::vector<std::string> seeds; ///< control addresses of some registrars
    bool first_start{false};        ///< the whole system starts for the first time
    std::string data_folder;        ///< empty without a disk
    std::string target_address;     ///< rank agents: the target on the same VM
    std::string target_service;
    double link_megabits_per_second{0};              ///< of this VM; 0: unknown
    std::size_t memory_bytes{0};                     ///< of this process; 0: unknown
    std::size_t file_descriptors{0};                 ///< of this process; 0: unknown
    std::map<std::string, std::string> zone_regions; ///< region of each availability zone
    vm_bounds bounds;
    policy_settings policies;
};

} // namespace fireflycrank
