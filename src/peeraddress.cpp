#include "peeraddress.h"

#include "netio.h"

#include <random>

namespace fireflycrank {

std::string peer_address(vm_settings const& settings, std::string const& ip) {
    return ip + ":" + std::to_string(settings.first_peer_port);
}

std::vector<std::string> seed_peers(vm_settings const& settings) {
    std::vector<std::string> peers;
    for (auto const& seed : settings.seeds) {
        peers.push_back(peer_address(settings, ip_of(seed)));
    }
    return peers;
}

std::uint64_t random_seed() {
    std::random_device source;
    constexpr unsigned half = 32;
    return static_cast<std::uint64_t>(source()) << half | source();
}

} // namespace fireflycrank
