#include "addresses.h"

#include "digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <tuple>

namespace fireflycrank {

std::vector<std::string> choose_addresses(std::vector<member_record const*> const& entries,
                                          std::string const& zone, std::string const& caller) {
    std::vector<std::tuple<bool, std::uint64_t, std::string>> ranked;
    for (member_record const* entry : entries) {
        if (entry->leaving || entry->health != member_health::alive ||
            entry->public_address.empty()) {
            continue;
        }
        ranked.emplace_back(entry->zone != zone, hash64(caller + "\n" + entry->name),
                            entry->public_address);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> addresses;
    addresses.reserve(ranked.size());
    for (auto const& [other_zone, rank, address] : ranked) {
        addresses.push_back(address);
    }
    return addresses;
}

std::string addresses_json(std::vector<std::string> const& addresses,
                           std::chrono::milliseconds time_to_live) {
    nlohmann::json const body{{"addresses", addresses}, {"ttl_ms", time_to_live.count()}};
    return body.dump() + "\n";
}

} // namespace fireflycrank
