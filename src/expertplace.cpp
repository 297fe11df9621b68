#include "expertplace.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace fireflycrank {

namespace {

// A smooth maximum: several ranks may be equally loaded, and relieving one of them must count.
constexpr int norm_power = 8;
// A copy must lower its set's smooth maximum by this part at least.
constexpr double least_gain = 0.01;

// One set of a group: which ranks hold which experts, and the load that follows.
struct set_state {
    std::vector<double> demand;               ///< by expert; sums to 1
    std::vector<std::vector<unsigned>> holds; ///< experts by rank
    std::vector<unsigned> copies;             ///< by expert
    std::vector<double> load;                 ///< by rank
    std::vector<unsigned> added;              ///< experts added by rank
};

bool holds(set_state const& set, unsigned rank, unsigned expert) {
    auto const& held = set.holds[rank];
    return std::find(held.begin(), held.end(), expert) != held.end();
}

double share(set_state const& set, unsigned expert, unsigned copies) {
    return copies == 0 ? 0.0 : set.demand[expert] / copies;
}

void recompute_loads(set_state& set) {
    std::fill(set.load.begin(), set.load.end(), 0.0);
    for (std::size_t rank = 0; rank < set.holds.size(); ++rank) {
        for (auto const expert : set.holds[rank]) {
            set.load[rank] += share(set, expert, set.copies[expert]);
        }
    }
}

double norm(std::vector<double> const& load) {
    double sum = 0;
    for (double const one : load) {
        double const square = one * one;
        double const fourth = square * square;
        sum += fourth * fourth;
    }
    return std::pow(sum, 1.0 / norm_power);
}

// A change of one set: `expert` goes to `to`; there it may replace `evicted`, and it may leave
// `from`.
struct place_move {
    unsigned expert{0};
    unsigned to{0};
    std::optional<unsigned> evicted;
    std::optional<unsigned> from;
    double norm_after{0};
};

// Adds the load change of giving `expert` another number of copies, except on `to` and `from`.
void spread_change(set_state const& set, std::vector<double>& load, unsigned expert,
                   unsigned copies_before, unsigned copies_after) {
    double const change = share(set, expert, copies_after) - share(set, expert, copies_before);
    for (std::size_t rank = 0; rank < set.holds.size(); ++rank) {
        if (holds(set, static_cast<unsigned>(rank), expert)) {
            load[rank] += change;
        }
    }
}

double norm_after(set_state const& set, place_move const& move) {
    auto load = set.load;
    auto const before = set.copies[move.expert];
    auto const after = before + 1 - (move.from ? 1 : 0);
    spread_change(set, load, move.expert, before, after);
    load[move.to] += share(set, move.expert, after);
    if (move.from) {
        load[*move.from] -= share(set, move.expert, after);
    }
    if (move.evicted) {
        auto const copies = set.copies[*move.evicted];
        spread_change(set, load, *move.evicted, copies, copies - 1);
        load[move.to] -= share(set, *move.evicted, copies - 1);
    }
    return norm(load);
}

// The replica on a rank that is missed least: it must have another copy.
std::optional<unsigned> least_needed(set_state const& set, unsigned rank, unsigned kept) {
    std::optional<unsigned> least;
    double least_share = 0;
    for (auto const expert : set.holds[rank]) {
        if (expert == kept || set.copies[expert] < 2) {
            continue;
        }
        double const spread = set.demand[expert] / (set.copies[expert] - 1);
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

std::optional<place_move> best_move(set_state const& set, place_limits const& limits,
                                    std::vector<unsigned> const& rank_copies) {
    auto const hot = hottest_rank(set);
    std::optional<place_move> best;
    double const present = norm(set.load);
    for (auto const expert : set.holds[hot]) {
        for (unsigned to = 0; to < set.holds.size(); ++to) {
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
                move.norm_after = norm_after(set, move);
                if (move.norm_after < present * (1.0 - least_gain) &&
                    (!best || move.norm_after < best->norm_after)) {
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
        --set.copies[*move.evicted];
    }
    to.push_back(move.expert);
    ++set.copies[move.expert];
    ++set.added[move.to];
    if (move.from) {
        std::erase(set.holds[*move.from], move.expert);
        --set.copies[move.expert];
    }
    recompute_loads(set);
}

set_state make_set(group_experts const& map, std::size_t set, std::vector<double> const& demand) {
    set_state state;
    state.demand = demand;
    double total = 0;
    for (double const one : demand) {
        total += one;
    }
    for (double& one : state.demand) {
        one = total > 0 ? one / total : 0.0;
    }
    state.copies.assign(demand.size(), 0);
    for (auto const& rank : map) {
        state.holds.push_back(rank[set]);
        for (auto const expert : rank[set]) {
            ++state.copies[expert];
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
        double total = 0;
        for (double const one : set.load) {
            total += one;
        }
        if (total > 0) {
            sum += *std::max_element(set.load.begin(), set.load.end()) *
                   static_cast<double>(set.load.size()) / total;
            ++counted;
        }
    }
    return counted == 0 ? 1.0 : sum / static_cast<double>(counted);
}

std::vector<set_state> make_sets(group_experts const& map, expert_demand const& demand) {
    std::vector<set_state> sets;
    for (std::size_t set = 0; set < demand.size(); ++set) {
        sets.push_back(make_set(map, set, demand[set]));
    }
    return sets;
}

} // namespace

double place_skew(group_experts const& map, expert_demand const& demand) {
    return skew_of(make_sets(map, demand));
}

place_plan plan_places(group_experts const& present, expert_demand const& demand,
                       place_limits const& limits) {
    auto sets = make_sets(present, demand);
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
            double const gain = next[at] ? norm(sets[at].load) - next[at]->norm_after : 0.0;
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
