/// @file
/// Which targets an entry follows: rendezvous hashing weighted by zone.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fireflycrank {

/// An entry or a target, as far as placement needs it.
struct subset_node {
    std::string name{};
    std::string zone{};
};

struct subset_options {
    std::size_t size{16};   ///< targets an entry follows of its own choice, in each pool
    std::size_t keepers{2}; ///< entries that each target is sure to have
    double same_zone_weight{4};
};

/// Chooses the targets of one pool (one service or model) that an entry follows: its own `size`
/// best, and every target that counts this entry among its `keepers` best. The second part covers
/// every target, whatever the numbers. A node's arrival or departure moves only choices that
/// involve it, since each score depends on one pair of names and zones.
/// @param entry the choosing entry
/// @param entries all present entries, the choosing one included
/// @param targets all present targets of the pool
/// @param options sizes and weight
/// @return names, sorted
std::vector<std::string> choose_subset(subset_node const& entry,
                                       std::vector<subset_node> const& entries,
                                       std::vector<subset_node> const& targets,
                                       subset_options const& options = {});

} // namespace fireflycrank
