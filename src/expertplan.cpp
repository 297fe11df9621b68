#include "expertplan.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <numeric>
#include <optional>
#include <utility>

namespace fireflycrank {

namespace {

// Rank speeds below this share of the median count as slow; the way back needs the higher one, so
// that a rank near the border does not move experts back and forth.
constexpr double slow_below = 0.8;
constexpr double normal_above = 0.9;
constexpr double overloaded_above = 1.2; // of the mean tokens
constexpr double speed_smoothing = 0.5;

// A layer under planning. Slots are grouped by expert to visit replicas quickly.
struct workspace {
    layer_map map;
    std::vector<std::vector<std::uint32_t>> slots_of; // live slots of each expert
    std::vector<double> rank_load;
    std::vector<double> const* load{nullptr};
    std::vector<double> const* speed{nullptr};
    std::uint32_t per_rank{1};
    std::vector<std::size_t> touched; // experts whose slots changed, for restore()

    std::uint32_t rank_of(std::uint32_t slot) const { return slot / per_rank; }
    double speed_of(std::uint32_t slot) const { return (*speed)[rank_of(slot)]; }
    double time_of(std::uint32_t rank) const {
        return (*speed)[rank] > 0 ? rank_load[rank] / (*speed)[rank] : 0;
    }
};

void index_slots(workspace& work) {
    work.slots_of.assign(work.load->size(), {});
    for (std::uint32_t slot = 0; slot < work.map.slot_expert.size(); ++slot) {
        auto const expert = work.map.slot_expert[slot];
        if (expert < work.slots_of.size() && work.speed_of(slot) > 0) {
            work.slots_of[expert].push_back(slot);
        }
    }
}

void sum_loads(workspace& work) {
    work.rank_load.assign(work.speed->size(), 0);
    for (std::size_t expert = 0; expert < work.slots_of.size(); ++expert) {
        for (auto const slot : work.slots_of[expert]) {
            work.rank_load[work.rank_of(slot)] += work.map.share[slot] * (*work.load)[expert];
        }
    }
}

// Makes the shares of each expert's live slots sum to 1 and gives dead and empty slots none.
void normalise_shares(workspace& work) {
    std::vector<float> kept(work.map.slot_expert.size(), 0);
    work.map.share.resize(kept.size(), 0);
    for (auto const& slots : work.slots_of) {
        float sum = 0;
        for (auto const slot : slots) {
            sum += work.map.share[slot];
        }
        for (auto const slot : slots) {
            kept[slot] =
                sum > 0 ? work.map.share[slot] / sum : 1.0F / static_cast<float>(slots.size());
        }
    }
    work.map.share = std::move(kept);
}

workspace make_workspace(layer_map const& map, std::vector<double> const& load,
                         std::vector<double> const& speed, std::uint32_t per_rank) {
    workspace work;
    work.map = map;
    work.load = &load;
    work.speed = &speed;
    work.per_rank = per_rank;
    index_slots(work);
    normalise_shares(work);
    sum_loads(work);
    return work;
}

// Spreads one expert's load over its ranks so that their times are as equal as possible, all other
// loads fixed. Returns the load moved.
double spread_expert(workspace& work, std::size_t expert) {
    struct level {
        double time;
        double speed;
        std::uint32_t slot;
    };
    auto const& slots = work.slots_of[expert];
    double const total = (*work.load)[expert];
    if (slots.size() < 2 || total <= 0) {
        return 0;
    }
    work.touched.push_back(expert);
    static thread_local std::vector<level> levels;
    levels.clear();
    for (auto const slot : slots) {
        double const other = work.rank_load[work.rank_of(slot)] - work.map.share[slot] * total;
        levels.push_back({other / work.speed_of(slot), work.speed_of(slot), slot});
    }
    std::sort(levels.begin(), levels.end(),
              [](level const& left, level const& right) { return left.time < right.time; });
    double speed_sum = 0;
    double weighted = 0;
    double water = 0;
    for (std::size_t count = 0; count < levels.size(); ++count) {
        if (count > 0 && levels[count].time >= water) {
            break;
        }
        speed_sum += levels[count].speed;
        weighted += levels[count].time * levels[count].speed;
        water = (total + weighted) / speed_sum;
    }
    double moved = 0;
    for (auto const& one : levels) {
        double const amount = std::max(0.0, water - one.time) * one.speed;
        double const before = work.map.share[one.slot] * total;
        work.map.share[one.slot] = static_cast<float>(amount / total);
        work.rank_load[work.rank_of(one.slot)] += work.map.share[one.slot] * total - before;
        moved += std::abs(amount - before);
    }
    return moved;
}

void balance(workspace& work, std::uint32_t sweeps) {
    double const total = std::accumulate(work.load->begin(), work.load->end(), 0.0);
    for (std::uint32_t sweep = 0; sweep < sweeps; ++sweep) {
        double moved = 0;
        for (std::size_t expert = 0; expert < work.slots_of.size(); ++expert) {
            moved += spread_expert(work, expert);
        }
        if (moved < total * 1e-4) {
            return;
        }
    }
}

// Spreads the given experts, then those that share a rank with a replica whose load moved, for some
// rounds. In a balanced workspace this is what full sweeps would change after a change of these
// experts, at the cost of the ranks that it reaches.
void balance_around(workspace& work, std::vector<std::size_t> experts, std::uint32_t rounds) {
    double const least = std::accumulate(work.load->begin(), work.load->end(), 0.0) * 1e-4;
    static thread_local std::vector<bool> queued;
    std::vector<std::size_t> next;
    for (std::uint32_t round = 0; round < rounds && !experts.empty(); ++round) {
        queued.assign(work.slots_of.size(), false);
        next.clear();
        for (auto const expert : experts) {
            if (spread_expert(work, expert) < least) {
                continue;
            }
            for (auto const slot : work.slots_of[expert]) {
                auto const first = work.rank_of(slot) * work.per_rank;
                for (std::uint32_t place = 0; place < work.per_rank; ++place) {
                    auto const held = work.map.slot_expert[first + place];
                    if (held != no_expert && held != expert && !queued[held]) {
                        queued[held] = true;
                        next.push_back(held);
                    }
                }
            }
        }
        std::swap(experts, next);
    }
}

double highest_time(workspace const& work) {
    double highest = 0;
    for (std::uint32_t rank = 0; rank < work.rank_load.size(); ++rank) {
        highest = std::max(highest, work.time_of(rank));
    }
    return highest;
}

double mean_time(std::vector<double> const& load, std::vector<double> const& speed) {
    double const power = std::accumulate(speed.begin(), speed.end(), 0.0);
    return power > 0 ? std::accumulate(load.begin(), load.end(), 0.0) / power : 0;
}

bool rank_holds(workspace const& work, std::uint32_t rank, std::size_t expert) {
    auto const* const first = work.map.slot_expert.data() + std::size_t{rank} * work.per_rank;
    return std::find(first, first + work.per_rank, expert) != first + work.per_rank;
}

// Puts an expert into a slot; the slot's former expert hands its share to its other replicas.
void replace(workspace& work, std::uint32_t slot, std::uint16_t expert) {
    auto const former = work.map.slot_expert[slot];
    work.map.slot_expert[slot] = expert;
    work.touched.push_back(expert);
    if (former != no_expert) {
        work.touched.push_back(former);
        auto& slots = work.slots_of[former];
        std::erase(slots, slot);
        float const freed = work.map.share[slot];
        work.map.share[slot] = 0;
        work.rank_load[work.rank_of(slot)] -= freed * (*work.load)[former];
        for (auto const other : slots) {
            float const part = freed / static_cast<float>(slots.size());
            work.map.share[other] += part;
            work.rank_load[work.rank_of(other)] += part * (*work.load)[former];
        }
    }
    bool const only = work.slots_of[expert].empty();
    work.slots_of[expert].push_back(slot);
    if (only) {
        work.map.share[slot] = 1;
        work.rank_load[work.rank_of(slot)] += (*work.load)[expert];
    }
}

// The time a rank would have if the slot's load went elsewhere: a low value marks a good slot for a
// new replica. Slots that hold the only replica of an expert are never given up.
double slot_price(workspace const& work, std::uint32_t slot) {
    auto const former = work.map.slot_expert[slot];
    auto const rank = work.rank_of(slot);
    double price = work.time_of(rank);
    if (former != no_expert) {
        if (work.slots_of[former].size() < 2) {
            return std::numeric_limits<double>::infinity();
        }
        // The freed load lands on the ranks of the other replicas, which may be hot themselves.
        double const freed = work.map.share[slot] * (*work.load)[former];
        price += freed / (*work.speed)[rank];
    }
    return price;
}

std::vector<std::uint32_t> cheapest_slots(workspace const& work, std::size_t expert,
                                          std::size_t count) {
    std::vector<std::pair<double, std::uint32_t>> priced;
    for (std::uint32_t slot = 0; slot < work.map.slot_expert.size(); ++slot) {
        if (work.speed_of(slot) <= 0 || rank_holds(work, work.rank_of(slot), expert)) {
            continue;
        }
        double const price = slot_price(work, slot);
        if (std::isfinite(price)) {
            priced.emplace_back(price, slot);
        }
    }
    count = std::min(count, priced.size());
    std::partial_sort(priced.begin(), priced.begin() + static_cast<std::ptrdiff_t>(count),
                      priced.end());
    std::vector<std::uint32_t> slots;
    for (std::size_t index = 0; index < count; ++index) {
        slots.push_back(priced[index].second);
    }
    return slots;
}

// Gives every expert without a live replica a slot. Returns the moves, or nothing when impossible.
bool cover_experts(workspace& work, std::uint32_t& moves) {
    std::vector<std::size_t> missing;
    for (std::size_t expert = 0; expert < work.slots_of.size(); ++expert) {
        if (work.slots_of[expert].empty()) {
            missing.push_back(expert);
        }
    }
    std::sort(missing.begin(), missing.end(), [&](std::size_t left, std::size_t right) {
        return (*work.load)[left] > (*work.load)[right];
    });
    for (auto const expert : missing) {
        auto const slots = cheapest_slots(work, expert, 1);
        if (slots.empty()) {
            return false;
        }
        replace(work, slots.front(), static_cast<std::uint16_t>(expert));
        ++moves;
    }
    return true;
}

// Exchanges the experts of two slots together with their loads.
void exchange(workspace& work, std::uint32_t left, std::uint32_t right) {
    auto const take = [&](std::uint32_t from, std::uint32_t to, std::uint16_t expert, float share) {
        work.touched.push_back(expert);
        auto& slots = work.slots_of[expert];
        *std::find(slots.begin(), slots.end(), from) = to;
        work.map.slot_expert[to] = expert;
        work.map.share[to] = share;
        double const load = share * (*work.load)[expert];
        work.rank_load[work.rank_of(from)] -= load;
        work.rank_load[work.rank_of(to)] += load;
    };
    auto const left_expert = work.map.slot_expert[left];
    auto const right_expert = work.map.slot_expert[right];
    float const left_share = work.map.share[left];
    float const right_share = work.map.share[right];
    take(left, right, left_expert, left_share);
    take(right, left, right_expert, right_share);
}

// Slots whose exchange with the given slot would bring the higher of the two ranks lowest.
std::vector<std::uint32_t> exchange_slots(workspace const& work, std::uint32_t slot,
                                          std::size_t count) {
    auto const expert = work.map.slot_expert[slot];
    auto const rank = work.rank_of(slot);
    double const load = work.map.share[slot] * (*work.load)[expert];
    std::vector<std::pair<double, std::uint32_t>> priced;
    for (std::uint32_t other = 0; other < work.map.slot_expert.size(); ++other) {
        auto const held = work.map.slot_expert[other];
        auto const there = work.rank_of(other);
        if (held == no_expert || held == expert || work.speed_of(other) <= 0 ||
            rank_holds(work, there, expert) || rank_holds(work, rank, held)) {
            continue;
        }
        double const shift = load - work.map.share[other] * (*work.load)[held];
        double const here_time = (work.rank_load[rank] - shift) / (*work.speed)[rank];
        double const there_time = (work.rank_load[there] + shift) / (*work.speed)[there];
        priced.emplace_back(std::max(here_time, there_time), other);
    }
    count = std::min(count, priced.size());
    std::partial_sort(priced.begin(), priced.begin() + static_cast<std::ptrdiff_t>(count),
                      priced.end());
    std::vector<std::uint32_t> slots;
    for (std::size_t index = 0; index < count; ++index) {
        slots.push_back(priced[index].second);
    }
    return slots;
}

// Makes a changed copy equal to its original again, at the cost of the experts that were touched.
void restore(workspace& copy, workspace const& original) {
    auto const restore_slot = [&](std::uint32_t slot) {
        copy.map.slot_expert[slot] = original.map.slot_expert[slot];
        copy.map.share[slot] = original.map.share[slot];
        copy.rank_load[copy.rank_of(slot)] = original.rank_load[copy.rank_of(slot)];
    };
    for (auto const expert : copy.touched) {
        for (auto const slot : copy.slots_of[expert]) {
            restore_slot(slot);
        }
        copy.slots_of[expert] = original.slots_of[expert];
        for (auto const slot : copy.slots_of[expert]) {
            restore_slot(slot);
        }
    }
    copy.touched.clear();
}

// One way to relieve a rank. As an exchange, the two slots swap their experts; else a replica of
// the expert in `hot` goes into `other`.
struct relief {
    std::uint32_t hot{0};
    std::uint32_t other{0};
    bool exchanged{false};
};

std::uint32_t moves_of(relief const& step) {
    return step.exchanged ? 2 : 1;
}

// Applies a relief and spreads the experts around it.
void apply(workspace& work, relief const& step) {
    constexpr std::uint32_t spread_rounds = 4;
    auto const expert = work.map.slot_expert[step.hot];
    auto const former = work.map.slot_expert[step.other];
    std::vector<std::size_t> changed{expert};
    if (former != no_expert) {
        changed.push_back(former);
    }
    if (step.exchanged) {
        exchange(work, step.hot, step.other);
    } else {
        replace(work, step.other, expert);
    }
    balance_around(work, std::move(changed), spread_rounds);
}

// Memory that the trials of one plan share, and how many of them are left.
struct trial_space {
    workspace trial;
    std::uint32_t left{0};
};

// Relieves the hottest rank: one more replica of one of its experts, or an exchange of slots, which
// moves two replicas and needs no spare slot. Returns the replicas moved; 0 at a local optimum.
std::uint32_t improve_once(workspace& work, trial_space& space, std::uint32_t budget) {
    constexpr std::size_t replica_slots = 12;
    constexpr std::size_t exchanged_slots = 6;
    std::uint32_t hottest = 0;
    for (std::uint32_t rank = 0; rank < work.rank_load.size(); ++rank) {
        if (work.time_of(rank) > work.time_of(hottest)) {
            hottest = rank;
        }
    }
    double const before = highest_time(work);
    double best_gain = before * 1e-3; // for one moved replica
    std::optional<relief> best;
    work.touched.clear();
    space.trial = work;
    auto const attempt = [&](relief const& step) {
        if (space.left == 0) {
            return;
        }
        --space.left;
        apply(space.trial, step);
        double const gain = (before - highest_time(space.trial)) / moves_of(step);
        if (gain > best_gain) {
            best_gain = gain;
            best = step;
        }
        restore(space.trial, work);
    };
    for (std::uint32_t place = 0; place < work.per_rank; ++place) {
        auto const slot = hottest * work.per_rank + place;
        auto const expert = work.map.slot_expert[slot];
        if (expert == no_expert || work.map.share[slot] <= 0) {
            continue;
        }
        for (auto const other : cheapest_slots(work, expert, replica_slots)) {
            attempt({slot, other, false});
        }
        if (budget >= 2) {
            for (auto const other : exchange_slots(work, slot, exchanged_slots)) {
                attempt({slot, other, true});
            }
        }
    }
    if (!best) {
        return 0;
    }
    apply(work, *best);
    return moves_of(*best);
}

duration scaled(duration unit, double factor) {
    return duration{static_cast<std::int64_t>(static_cast<double>(unit.count()) * factor)};
}

duration move_cost(plan_settings const& settings, std::uint32_t moves) {
    double const seconds = moves * settings.bytes_per_expert / settings.fetch_bytes_per_s;
    return scaled(std::chrono::seconds{1}, seconds * settings.fetch_slowdown);
}

duration step_gain(plan_settings const& settings, double skew_saved) {
    return scaled(settings.mean_expert_time, skew_saved * settings.life_steps);
}

plan_cause cause_of(std::vector<double> const& speed, bool required) {
    if (required) {
        return plan_cause::dead_rank;
    }
    bool const slow = std::any_of(speed.begin(), speed.end(),
                                  [](double one) { return one > 0 && one < slow_below; });
    return slow ? plan_cause::slow_rank : plan_cause::popularity;
}

// True when a dead rank still has a share of an expert, or an expert has no live replica.
bool must_change(layer_map const& present, workspace const& work) {
    for (std::uint32_t slot = 0; slot < present.share.size(); ++slot) {
        if (work.speed_of(slot) <= 0 && present.share[slot] > 0) {
            return true;
        }
    }
    return std::any_of(work.slots_of.begin(), work.slots_of.end(),
                       [](auto const& slots) { return slots.empty(); });
}

// Least possible max over all ways to spread the slots over the experts of the highest load per
// replica, each replica on a rank of its own.
double highest_replica_load(std::vector<double> const& load, std::size_t slots, std::size_t ranks) {
    double low = 0;
    double high = *std::max_element(load.begin(), load.end());
    for (int round = 0; round < 60; ++round) {
        double const middle = (low + high) / 2;
        double needed = 0;
        bool fits = true;
        for (auto const one : load) {
            double const replicas = std::max(1.0, std::ceil(one / middle));
            fits = fits && replicas <= static_cast<double>(ranks);
            needed += replicas;
        }
        (fits && needed <= static_cast<double>(slots) ? high : low) = middle;
    }
    return high;
}

} // namespace

void observe(layer_popularity& state, std::uint64_t window,
             std::vector<std::uint64_t> const& counts, double coverage,
             popularity_settings const& settings) {
    double const total = std::accumulate(counts.begin(), counts.end(), 0.0);
    if (total <= 0 || coverage <= 0 || window + settings.max_late < state.window) {
        return;
    }
    if (state.level.size() != counts.size()) {
        state.level.assign(counts.size(), 0);
        state.trend.assign(counts.size(), 0);
        for (std::size_t expert = 0; expert < counts.size(); ++expert) {
            state.level[expert] = static_cast<double>(counts[expert]) / total;
        }
        state.window = window;
        return;
    }
    double const part = std::min(coverage, 1.0);
    if (window <= state.window) {
        auto const age = static_cast<double>(state.window - window);
        double const weight =
            settings.level_weight * part * std::pow(1 - settings.level_weight, age + 1);
        for (std::size_t expert = 0; expert < counts.size(); ++expert) {
            double const seen =
                static_cast<double>(counts[expert]) / total + state.trend[expert] * age;
            state.level[expert] += weight * (seen - state.level[expert]);
        }
        return;
    }
    auto const passed = static_cast<double>(window - state.window);
    double const weight = 1 - std::pow(1 - settings.level_weight * part, passed);
    // Experts far below the mean have too few tokens to tell a jump from noise.
    double const floor = 0.1 / static_cast<double>(counts.size());
    for (std::size_t expert = 0; expert < counts.size(); ++expert) {
        double const seen = static_cast<double>(counts[expert]) / total;
        double const before = state.level[expert];
        double const drift = state.trend[expert] * settings.trend_damping;
        double const expected = before + drift * passed;
        bool const jump = std::abs(seen - expected) > settings.jump * std::max(expected, floor);
        double const pull = jump ? std::max(weight, part) : weight;
        state.level[expert] = expected + pull * (seen - expected);
        state.trend[expert] = drift + settings.trend_weight * part *
                                          ((state.level[expert] - before) / passed - drift);
    }
    state.window = window;
}

std::vector<double> forecast(layer_popularity const& state, double windows_ahead,
                             popularity_settings const& settings) {
    // Sum of the damped trend over the windows ahead.
    double const damping = settings.trend_damping;
    double const reach = damping >= 1
                             ? windows_ahead
                             : damping * (1 - std::pow(damping, windows_ahead)) / (1 - damping);
    std::vector<double> shares(state.level.size());
    double total = 0;
    for (std::size_t expert = 0; expert < shares.size(); ++expert) {
        shares[expert] = std::max(0.0, state.level[expert] + state.trend[expert] * reach);
        total += shares[expert];
    }
    for (auto& share : shares) {
        share = total > 0 ? share / total : 1.0 / static_cast<double>(shares.size());
    }
    return shares;
}

std::vector<rank_condition> judge_ranks(std::vector<rank_sample> const& samples, duration fixed,
                                        std::vector<rank_condition> const& before) {
    std::vector<double> pace(samples.size(), 0); // nanoseconds per token
    std::vector<double> sorted;
    double tokens = 0;
    for (std::size_t rank = 0; rank < samples.size(); ++rank) {
        auto const& sample = samples[rank];
        if (sample.alive && sample.tokens > 0) {
            pace[rank] =
                std::max(0.0, static_cast<double>((sample.busy - fixed).count())) / sample.tokens;
            sorted.push_back(pace[rank]);
            tokens += sample.tokens;
        }
    }
    std::vector<rank_condition> judged(samples.size());
    if (sorted.empty()) {
        for (std::size_t rank = 0; rank < samples.size(); ++rank) {
            judged[rank] =
                samples[rank].alive ? rank_condition{} : rank_condition{rank_health::dead, 0};
        }
        return judged;
    }
    double const mean = tokens / static_cast<double>(sorted.size());
    auto const middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    for (std::size_t rank = 0; rank < samples.size(); ++rank) {
        if (!samples[rank].alive) {
            judged[rank] = {rank_health::dead, 0};
            continue;
        }
        bool const known = rank < before.size() && before[rank].health != rank_health::dead;
        double const last = known ? before[rank].speed : 1;
        // A rank without tokens shows nothing new.
        double const seen = pace[rank] > 0 ? std::min(1.0, *middle / pace[rank]) : last;
        double const speed = last + speed_smoothing * (seen - last);
        bool const was_slow = known && before[rank].health == rank_health::slow;
        bool const slow = speed < (was_slow ? normal_above : slow_below);
        bool const loaded = samples[rank].tokens > overloaded_above * mean;
        judged[rank].health = slow     ? rank_health::slow
                              : loaded ? rank_health::overloaded
                                       : rank_health::normal;
        judged[rank].speed = std::max(0.05, speed);
    }
    return judged;
}

void balance_shares(layer_map& map, std::vector<double> const& load,
                    std::vector<double> const& speed, std::uint32_t slots_per_rank,
                    std::uint32_t sweeps) {
    auto work = make_workspace(map, load, speed, slots_per_rank);
    balance(work, sweeps);
    map = std::move(work.map);
}

double skew(layer_map const& map, std::vector<double> const& load, std::vector<double> const& speed,
            std::uint32_t slots_per_rank) {
    auto const work = make_workspace(map, load, speed, slots_per_rank);
    double const mean = mean_time(load, speed);
    return mean > 0 ? highest_time(work) / mean : 1;
}

// Two bounds hold for any map: the highest rank time is at least the mean, total load over total
// speed; and some replica carries at least the least possible highest load per replica, on a rank
// no faster than the fastest.
double skew_lower_bound(std::vector<double> const& load, std::vector<double> const& speed,
                        std::uint32_t slots_per_rank) {
    double const mean = mean_time(load, speed);
    auto const live = static_cast<std::size_t>(
        std::count_if(speed.begin(), speed.end(), [](double one) { return one > 0; }));
    if (mean <= 0 || live == 0) {
        return 1;
    }
    double const fastest = *std::max_element(speed.begin(), speed.end());
    return std::max(1.0, highest_replica_load(load, live * slots_per_rank, live) / fastest / mean);
}

std::uint32_t moved_replicas(layer_map const& from, layer_map const& to,
                             std::uint32_t slots_per_rank) {
    std::uint32_t moved = 0;
    for (std::size_t first = 0; first < to.slot_expert.size(); first += slots_per_rank) {
        for (std::size_t slot = first; slot < first + slots_per_rank; ++slot) {
            auto const expert = to.slot_expert[slot];
            auto const begin = from.slot_expert.begin() + static_cast<std::ptrdiff_t>(first);
            moved += expert != no_expert && std::find(begin, begin + slots_per_rank, expert) ==
                                                begin + slots_per_rank
                         ? 1
                         : 0;
        }
    }
    return moved;
}

layer_map full_recompute(std::vector<double> const& load, std::vector<double> const& speed,
                         std::uint32_t slots_per_rank) {
    struct replica {
        double load;
        std::uint16_t expert;
    };
    std::vector<std::uint32_t> open; // live ranks
    for (std::uint32_t rank = 0; rank < speed.size(); ++rank) {
        if (speed[rank] > 0) {
            open.push_back(rank);
        }
    }
    std::vector<std::uint32_t> count(load.size(), 1);
    for (std::size_t spare = open.size() * slots_per_rank; spare > load.size(); --spare) {
        std::size_t best = 0;
        double most = -1;
        for (std::size_t expert = 0; expert < load.size(); ++expert) {
            if (count[expert] < open.size() && load[expert] / count[expert] > most) {
                most = load[expert] / count[expert];
                best = expert;
            }
        }
        count[best] += most >= 0 ? 1 : 0;
    }
    std::vector<replica> replicas;
    for (std::size_t expert = 0; expert < load.size(); ++expert) {
        replicas.insert(replicas.end(), count[expert],
                        {load[expert] / count[expert], static_cast<std::uint16_t>(expert)});
    }
    std::stable_sort(
        replicas.begin(), replicas.end(),
        [](replica const& left, replica const& right) { return left.load > right.load; });
    layer_map map;
    map.slot_expert.assign(speed.size() * slots_per_rank, no_expert);
    std::vector<double> held(speed.size(), 0);
    std::vector<std::uint32_t> used(speed.size(), 0);
    for (auto const& one : replicas) {
        std::uint32_t best = no_expert;
        for (auto const rank : open) {
            auto const* const first = map.slot_expert.data() + std::size_t{rank} * slots_per_rank;
            bool const twice =
                std::find(first, first + used[rank], one.expert) != first + used[rank];
            if (used[rank] < slots_per_rank && !twice &&
                (best == no_expert || held[rank] / speed[rank] < held[best] / speed[best])) {
                best = rank;
            }
        }
        if (best == no_expert) {
            continue; // only ranks that hold the expert have room; the slot stays empty
        }
        map.slot_expert[best * slots_per_rank + used[best]++] = one.expert;
        held[best] += one.load;
    }
    balance_shares(map, load, speed, slots_per_rank, 30);
    return map;
}

layer_plan plan_layer(layer_map const& present, std::vector<double> const& load,
                      std::vector<double> const& speed, plan_settings const& settings) {
    constexpr std::uint32_t final_sweeps = 20;
    // A trial of 128 ranks takes 30 to 50 us. 8 trials a move leave a day at 1.09 of the lower
    // bound, 16 at 1.08.
    constexpr std::uint32_t trials_per_move = 16;
    trial_space space;
    space.left = trials_per_move * settings.max_moves;
    auto work = make_workspace(present, load, speed, settings.slots_per_rank);
    double const mean = mean_time(load, speed);
    layer_plan plan;
    plan.map = present;
    plan.required = must_change(present, work);
    if (mean <= 0) {
        plan.cause = plan.required ? plan_cause::impossible : plan_cause::balanced;
        return plan;
    }
    std::uint32_t moves = 0;
    if (plan.required && !cover_experts(work, moves)) {
        plan.cause = plan_cause::impossible;
        return plan;
    }
    plan.skew_before = highest_time(work) / mean;
    plan.skew_after = plan.skew_before;
    auto const consider = [&](workspace const& state, std::uint32_t count) {
        double const after = highest_time(state) / mean;
        auto const gain = step_gain(settings, plan.skew_before - after);
        auto const cost = move_cost(settings, count);
        if (gain - cost > plan.gain - plan.cost) {
            plan.map = state.map;
            plan.moves = count;
            plan.skew_after = after;
            plan.gain = gain;
            plan.cost = cost;
        }
    };
    if (plan.required) {
        plan.map = work.map;
        plan.moves = moves;
        plan.cost = move_cost(settings, moves);
    }
    balance(work, final_sweeps);
    consider(work, moves);
    auto const limit = moves + settings.max_moves;
    while (moves < limit) {
        auto const moved = improve_once(work, space, limit - moves);
        if (moved == 0) {
            break;
        }
        moves += moved;
        consider(work, moves);
    }
    bool const worthwhile =
        plan.required || (plan.skew_before - plan.skew_after >= settings.min_skew_gain &&
                          plan.gain > scaled(plan.cost, settings.hysteresis));
    if (!worthwhile) {
        plan.map = present;
        plan.moves = 0;
        plan.skew_after = plan.skew_before;
        plan.gain = plan.cost = duration::zero();
        return plan;
    }
    plan.cause = cause_of(speed, plan.required);
    return plan;
}

group_plan plan_group(std::vector<layer_map> const& present, std::vector<layer_plan> const& plans,
                      plan_settings const& settings, std::uint32_t max_moves) {
    group_plan group;
    group.layers = present;
    group.cost = settings.stall;
    std::vector<std::size_t> order(plans.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    // Required layers first, then by gain per cost; layers without moves cost next to nothing.
    auto const rate = [&](std::size_t layer) {
        return static_cast<double>(plans[layer].gain.count()) /
               (static_cast<double>(plans[layer].cost.count()) + 1);
    };
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return plans[left].required != plans[right].required ? plans[left].required
                                                             : rate(left) > rate(right);
    });
    bool required = false;
    double before = 0;
    double after = 0;
    for (auto const layer : order) {
        auto const& plan = plans[layer];
        before += plan.skew_before;
        bool const used = plan.cause != plan_cause::balanced &&
                          plan.cause != plan_cause::impossible &&
                          (plan.required || group.moves + plan.moves <= max_moves);
        after += used ? plan.skew_after : plan.skew_before;
        if (plan.cause == plan_cause::impossible) {
            group.cause = plan_cause::impossible;
            group.layers = present;
            return group;
        }
        if (used) {
            group.layers[layer] = plan.map;
            group.moves += plan.moves;
            group.gain += plan.gain;
            group.cost += plan.cost;
            group.cause = std::max(group.cause, plan.cause);
            required = required || plan.required;
        }
    }
    auto const layers = static_cast<double>(std::max<std::size_t>(1, plans.size()));
    group.skew_before = before / layers;
    group.skew_after = after / layers;
    group.accepted = required || group.gain > scaled(group.cost, settings.hysteresis);
    if (!group.accepted) {
        group.layers = present;
        group.moves = 0;
        group.skew_after = group.skew_before;
        group.cause = plan_cause::balanced;
    }
    return group;
}

std::string describe(group_plan const& plan) {
    auto const milliseconds = [](duration time) { return static_cast<double>(time.count()) / 1e6; };
    char text[200];
    std::snprintf(text, sizeof text, // NOLINT(cppcoreguidelines-pro-type-vararg)
                  "%s cause=%s moves=%u skew=%.3f->%.3f gain_ms=%.1f cost_ms=%.1f",
                  plan.accepted ? "accepted" : "kept", name_of(plan.cause), plan.moves,
                  plan.skew_before, plan.skew_after, milliseconds(plan.gain),
                  milliseconds(plan.cost));
    return text;
}

char const* name_of(plan_cause cause) {
    switch (cause) {
    case plan_cause::balanced:
        return "balanced";
    case plan_cause::popularity:
        return "popularity";
    case plan_cause::slow_rank:
        return "slow_rank";
    case plan_cause::dead_rank:
        return "dead_rank";
    case plan_cause::impossible:
        return "impossible";
    }
    return "impossible";
}

char const* name_of(rank_health health) {
    switch (health) {
    case rank_health::normal:
        return "normal";
    case rank_health::overloaded:
        return "overloaded";
    case rank_health::slow:
        return "slow";
    case rank_health::dead:
        return "dead";
    }
    return "dead";
}

} // namespace fireflycrank
