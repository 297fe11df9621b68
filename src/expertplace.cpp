#include "expertplace.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace fireflycrank {

namespace {

// A smooth maximum: several ranks may be equally loaded, and relieving one of them must count.
constexpr int norm_power = 8;
// Ranks that a copy is tried on: the least loaded ones.
constexpr std::size_t tried_ranks = 8;
// A move changes the load of the ranks that hold its two experts.
constexpr std::size_t usual_changes = 16;

// One set of a group: which ranks hold which experts, and the load that follows.
struct set_state {
    std::vector<double> demand;                 ///< by expert; sums to 1
    std::vector<std::vector<unsigned>> holds;   ///< experts by rank
    std::vector<std::vector<unsigned>> holders; ///< ranks by expert
    std::vector<double> pace;                   ///< by rank
    std::vector<double> load;                   ///< by rank: its part of the demand, times its pace
    double power_sum{0};                        ///< of `load`, see norm()
    std::vector<unsigned> added;                ///< experts added by rank
};

bool holds(set_state const& set, unsigned rank, unsigned expert) {
    auto const& ranks = set.holders[expert];
    return std::find(ranks.begin(), ranks.end(), rank) != ranks.end();
}

double share(set_state const& set, unsigned expert, unsigned copies) {
    return copies == 0 ? 0.0 : set.demand[expert] / copies;
}

unsigned copies_of(set_state const& set, unsigned expert) {
    return static_cast<unsigned>(set.holders[expert].size());
}

double power_of(double load) {
    double const square = load * load;
    double const fourth = square * square;
    return fourth * fourth;
}

void recompute_loads(set_state& set) {
    std::fill(set.load.begin(), set.load.end(), 0.0);
    for (unsigned expert = 0; expert < set.holders.size(); ++expert) {
        double const part = share(set, expert, copies_of(set, expert));
        for (auto const rank : set.holders[expert]) {
            set.load[rank] += part * set.pace[rank];
        }
    }
    set.power_sum = 0;
    for (double const one : set.load) {
        set.power_sum += power_of(one);
    }
}

double norm(double power_sum) {
    return std::pow(std::max(power_sum, 0.0), 1.0 / norm_power);
}

// A change of one set: `expert` goes to `to`; there it may replace `evicted`, and it may leave
// `from`.
struct place_move {
    unsigned expert{0};
    unsigned to{0};
    std::optional<unsigned> evicted;
    std::optional<unsigned> from;
    double power_after{0}; ///< power sum of the loads afterwards
};

// Loads of a few ranks that a move changes, and the power sum that follows.
class load_changes {
public:
    explicit load_changes(set_state const& set) : set_{&set}, power_sum_{set.power_sum} {
        changed_.reserve(usual_changes);
    }

    // Adds a change of a rank's part of the demand.
    void add(unsigned rank, double part) {
        double const change = part * set_->pace[rank];
        auto found = std::find_if(changed_.begin(), changed_.end(),
                                  [&](auto const& one) { return one.first == rank; });
        if (found == changed_.end()) {
            found = changed_.insert(found, {rank, set_->load[rank]});
        }
        power_sum_ += power_of(found->second + change) - power_of(found->second);
        found->second += change;
    }

    // The change of giving an expert another number of copies, on the ranks that hold it now.
    void spread(unsigned expert, unsigned before, unsigned after) {
        double const change = share(*set_, expert, after) - share(*set_, expert, before);
        for (auto const rank : set_->holders[expert]) {
            add(rank, change);
        }
    }

    double power_sum() const { return power_sum_; }

private:
    set_state const* set_;
    double power_sum_;
    std::vector<std::pair<unsigned, double>> changed_; ///< rank and its new load
};

double power_after(set_state const& set, place_move const& move) {
    load_changes changes{set};
    auto const before = copies_of(set, move.expert);
    auto const after = before + 1 - (move.from ? 1 : 0);
    changes.spread(move.expert, before, after);
    changes.add(move.to, share(set, move.expert, after));
    if (move.from) {
        changes.add(*move.from, -share(set, move.expert, after));
    }
    if (move.evicted) {
        auto const copies = copies_of(set, *move.evicted);
        changes.spread(*move.evicted, copies, copies - 1);
        changes.add(move.to, -share(set, *move.evicted, copies - 1));
    }
    return changes.power_sum();
}

// The replica on a rank that is missed least: it must have another copy.
std::optional<unsigned> least_needed(set_state const& set, unsigned rank, unsigned kept) {
    std::optional<unsigned> least;
    double least_share = 0;
    for (auto const expert : set.holds[rank]) {
        if (expert == kept || copies_of(set, expert) < 2) {
            continue;
        }
        double const spread = set.demand[expert] / (copies_of(set, expert) - 1);
        if (!least || spread < least_share) {
            least = expert;
            least_share = spread;
        }
    }
    return least;
}

unsigned hottest_rank(set_state const& set) {
    return static_cast<unsigned>(std::max_element(set.load.begin(), set.load.end()) -
                                 set.load.begin());
}

std::vector<unsigned> coolest_ranks(set_state const& set) {
    std::vector<unsigned> ranks(set.load.size());
    std::iota(ranks.begin(), ranks.end(), 0U);
    // An idle slow rank is no place for a copy: what it would take counts as well.
    double const mean = 1.0 / static_cast<double>(set.load.size());
    auto const with_slowness = [&](unsigned rank) {
        return set.load[rank] + (set.pace[rank] - 1.0) * mean;
    };
    auto const cooler = [&](unsigned left, unsigned right) {
        return with_slowness(left) < with_slowness(right);
    };
    auto const tried = std::min(tried_ranks, ranks.size());
    std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(tried),
                      ranks.end(), cooler);
    ranks.resize(tried);
    return ranks;
}

std::optional<place_move> best_move(set_state const& set, place_limits const& limits,
                                    std::vector<unsigned> const& rank_copies) {
    auto const hot = hottest_rank(set);
    std::optional<place_move> best;
    // Compared as powers, so that no root is taken for each move.
    double const enough = set.power_sum * std::pow(1.0 - limits.least_gain, norm_power);
    auto const cool = coolest_ranks(set);
    for (auto const expert : set.holds[hot]) {
        for (auto const to : cool) {
            bool const room_to_add =
                set.added[to] < limits.spare && rank_copies[to] < limits.copies_a_rank;
            if (to == hot || !room_to_add || set.load[to] >= set.load[hot] ||
                holds(set, to, expert)) {
                continue;
            }
            place_move move{expert, to, std::nullopt, std::nullopt, 0};
            if (set.holds[to].size() >= limits.places) {
                move.evicted = least_needed(set, to, expert);
                if (!move.evicted) {
                    continue;
                }
            }
            for (bool const leave : {false, true}) {
                move.from = leave ? std::optional{hot} : std::nullopt;
                move.power_after = power_after(set, move);
                if (move.power_after < enough && (!best || move.power_after < best->power_after)) {
                    best = move;
                }
            }
        }
    }
    return best;
}

void apply_move(set_state& set, place_move const& move) {
    auto& to = set.holds[move.to];
    if (move.evicted) {
        std::erase(to, *move.evicted);
        std::erase(set.holders[*move.evicted], move.to);
    }
    to.push_back(move.expert);
    set.holders[move.expert].push_back(move.to);
    ++set.added[move.to];
    if (move.from) {
        std::erase(set.holds[*move.from], move.expert);
        std::erase(set.holders[move.expert], *move.from);
    }
    recompute_loads(set);
}

set_state make_set(group_experts const& map, std::size_t set, std::vector<double> const& demand,
                   rank_paces const& paces) {
    set_state state;
    state.demand = demand;
    state.pace = paces.empty() ? rank_paces(map.size(), 1.0) : paces;
    double total = 0;
    for (double const one : demand) {
        total += one;
    }
    for (double& one : state.demand) {
        one = total > 0 ? one / total : 0.0;
    }
    state.holders.resize(demand.size());
    for (unsigned rank = 0; rank < map.size(); ++rank) {
        state.holds.push_back(map[rank][set]);
        for (auto const expert : map[rank][set]) {
            state.holders[expert].push_back(rank);
        }
    }
    state.load.assign(map.size(), 0.0);
    state.added.assign(map.size(), 0);
    recompute_loads(state);
    return state;
}

double skew_of(std::vector<set_state> const& sets) {
    double sum = 0;
    std::size_t counted = 0;
    for (auto const& set : sets) {
        double highest = 0;
        for (double const one : set.load) {
            highest = std::max(highest, one);
        }
        if (highest > 0) { // the demand of a set sums to 1
            sum += highest * static_cast<double>(set.load.size());
            ++counted;
        }
    }
    return counted == 0 ? 1.0 : sum / static_cast<double>(counted);
}

std::vector<set_state> make_sets(group_experts const& map, expert_demand const& demand,
                                 rank_paces const& paces) {
    std::vector<set_state> sets;
    for (std::size_t set = 0; set < demand.size(); ++set) {
        sets.push_back(make_set(map, set, demand[set], paces));
    }
    return sets;
}

} // namespace

double place_skew(group_experts const& map, expert_demand const& demand, rank_paces const& paces) {
    return skew_of(make_sets(map, demand, paces));
}

double planned_pace(double slowdown) {
    constexpr double least = 1.25;
    constexpr double highest = 16.0;
    if (slowdown < least) {
        return 1.0;
    }
    // Powers of the root of two, rounded.
    double const steps = std::round(2 * std::log2(std::min(slowdown, highest)));
    return std::exp2(steps / 2);
}

place_plan plan_places(group_experts const& present, expert_demand const& demand,
                       place_limits const& limits, rank_paces const& paces) {
    auto sets = make_sets(present, demand, paces);
    place_plan plan;
    plan.before = skew_of(sets);
    std::vector<unsigned> rank_copies(present.size(), 0);
    std::vector<std::optional<place_move>> next;
    next.reserve(sets.size());
    for (auto const& set : sets) {
        next.push_back(best_move(set, limits, rank_copies));
    }
    for (;;) {
        std::optional<std::size_t> chosen;
        double most = 0;
        for (std::size_t at = 0; at < sets.size(); ++at) {
            if (next[at] && rank_copies[next[at]->to] >= limits.copies_a_rank) {
                next[at] = best_move(sets[at], limits, rank_copies);
            }
            double const gain =
                next[at] ? norm(sets[at].power_sum) - norm(next[at]->power_after) : 0.0;
            if (gain > most) {
                most = gain;
                chosen = at;
            }
        }
        if (!chosen) {
            break;
        }
        ++rank_copies[next[*chosen]->to];
        ++plan.copies;
        apply_move(sets[*chosen], *next[*chosen]);
        next[*chosen] = best_move(sets[*chosen], limits, rank_copies);
    }
    plan.after = skew_of(sets);
    plan.map.assign(present.size(), rank_experts(sets.size()));
    for (std::size_t set = 0; set < sets.size(); ++set) {
        for (std::size_t rank = 0; rank < present.size(); ++rank) {
            plan.map[rank][set] = sets[set].holds[rank];
            std::sort(plan.map[rank][set].begin(), plan.map[rank][set].end());
        }
    }
    return plan;
}

expert_demand extrapolate_demand(expert_demand const& fresh, expert_demand const& steady,
                                 double further) {
    expert_demand led_to = fresh;
    for (std::size_t set = 0; set < fresh.size() && set < steady.size(); ++set) {
        double const fresh_total = std::accumulate(fresh[set].begin(), fresh[set].end(), 0.0);
        double const steady_total = std::accumulate(steady[set].begin(), steady[set].end(), 0.0);
        if (fresh_total <= 0 || steady_total <= 0) {
            continue;
        }
        double total = 0;
        for (std::size_t expert = 0; expert < fresh[set].size(); ++expert) {
            double const before = steady[set][expert] * fresh_total / steady_total;
            double const now = fresh[set][expert];
            led_to[set][expert] = std::max(0.0, now + further * (now - before));
            total += led_to[set][expert];
        }
        for (double& one : led_to[set]) {
            one *= fresh_total / total;
        }
    }
    return led_to;
}

} // namespace fireflycrank
