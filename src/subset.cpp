#include "subset.h"

#include "digest.h"
#include "rng.h"

#include <algorithm>
#include <cmath>

namespace fireflycrank {

namespace {

struct hashed_node {
    subset_node const* node;
    std::uint64_t hash;
};

std::vector<hashed_node> hash_nodes(std::vector<subset_node> const& nodes, std::uint64_t seed) {
    std::vector<hashed_node> hashed;
    hashed.reserve(nodes.size());
    for (auto const& node : nodes) {
        hashed.push_back({&node, hash64(node.name, seed)});
    }
    return hashed;
}

constexpr std::uint64_t entry_seed = 1;
constexpr std::uint64_t target_seed = 2;

// Weighted rendezvous score: -weight / ln(u) keeps the share of each weight exact.
double pair_score(hashed_node const& entry, hashed_node const& target,
                  subset_options const& options) {
    rng mixer{entry.hash ^ (target.hash * 0x9e3779b97f4a7c15ULL)};
    double const unit = next_unit(mixer) + 0x1.0p-54; // never 0, whose logarithm is infinite
    double const weight = entry.node->zone == target.node->zone ? options.same_zone_weight : 1.0;
    return -weight / std::log(unit);
}

// Tells whether fewer than `keepers` entries score higher for the target than this entry does.
bool keeps(hashed_node const& entry, std::vector<hashed_node> const& entries,
           hashed_node const& target, double own, subset_options const& options) {
    std::size_t better = 0;
    for (auto const& other : entries) {
        if (other.node->name != entry.node->name && pair_score(other, target, options) > own &&
            ++better >= options.keepers) {
            return false;
        }
    }
    return options.keepers > 0;
}

} // namespace

std::vector<std::string> choose_subset(subset_node const& entry,
                                       std::vector<subset_node> const& entries,
                                       std::vector<subset_node> const& targets,
                                       subset_options const& options) {
    hashed_node const self{&entry, hash64(entry.name, entry_seed)};
    auto const others = hash_nodes(entries, entry_seed);
    struct candidate {
        double score;
        hashed_node target;
    };
    std::vector<candidate> candidates;
    for (auto const& target : hash_nodes(targets, target_seed)) {
        candidates.push_back({pair_score(self, target, options), target});
    }
    std::ranges::sort(candidates, [](auto const& left, auto const& right) {
        return left.score != right.score ? left.score > right.score
                                         : left.target.node->name < right.target.node->name;
    });
    std::vector<std::string> chosen;
    for (std::size_t rank = 0; rank < candidates.size(); ++rank) {
        auto const& [score, target] = candidates[rank];
        if (rank < options.size || keeps(self, others, target, score, options)) {
            chosen.push_back(target.node->name);
        }
    }
    std::ranges::sort(chosen);
    return chosen;
}

} // namespace fireflycrank
