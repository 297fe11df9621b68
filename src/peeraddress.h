/// @file
/// Where the processes of the directory reach each other, from the settings of their VMs.
#pragma once

#include "vmsettings.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fireflycrank {

/// The peer address of the process on a VM.
/// @param settings this VM's settings; the ports are the same everywhere
/// @param ip the VM
/// @return "ip:port"
std::string peer_address(vm_settings const& settings, std::string const& ip);

/// The peer addresses of the registrars that the settings name.
/// @param settings this VM's settings
/// @return "ip:port" each
std::vector<std::string> seed_peers(vm_settings const& settings);

/// Random bits from the machine.
/// @return a seed
std::uint64_t random_seed();

} // namespace fireflycrank
