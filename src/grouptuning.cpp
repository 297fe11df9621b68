#include "grouptuning.h"

#include <algorithm>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;

// Counts take this part of the coordinator's link; orders and reports share the rest.
constexpr double counts_share = 0.3;
// Packed counts take about three bits each (countcode.h); a status names its experts as well.
constexpr double bytes_a_number = 0.36;
constexpr double bytes_a_status = 320;
constexpr double bits_a_byte = 8;
constexpr milliseconds least_counts_period{150};
constexpr milliseconds most_counts_period{1'000};
// Older choices would hide a change of demand. Ranks report in turn, so together they cover all of
// the time.
constexpr milliseconds most_counts_span{200};
// At ease each rank of a larger group counts less often, for the coordinator's processor.
constexpr unsigned counted_ranks = 8;
// Groups up to this size are told everything directly and at the shortest periods.
constexpr unsigned small_group = 32;
constexpr milliseconds report_period{200};
constexpr milliseconds small_status_life{600};
constexpr milliseconds large_status_life{1'000};
constexpr milliseconds small_prepare_resend{400};
constexpr milliseconds large_prepare_resend{900};
// An answered order takes a few milliseconds; a pause of the group over 100 ms makes every stream
// late. Reading a status takes the coordinator about half a millisecond.
constexpr milliseconds least_arm_resend{40};
constexpr std::chrono::microseconds arm_resend_a_rank{1'200};

// Relieving one of many equally loaded ranks lowers their smooth maximum by a part that falls with
// their number, so in large groups a fixed part would end a plan far from balance.
constexpr double small_copy_gain = 0.01;
constexpr double large_copy_gain_by_ranks = 0.16;
// Copies are priced, and passes take longer meanwhile. Finer plans find something to gain in the
// noise of the counts, so large groups ask for more.
constexpr double small_change_gain = 0.10;
constexpr double large_change_gain = 0.20;
// While passes are short, imbalance delays nobody.
constexpr double change_gain_at_ease = 0.25;

// Copying of one change: a fraction of the seconds for which demand stays as it is.
constexpr milliseconds few_copies_time{80};
constexpr milliseconds many_copies_time{160};
// A single copy may take long, but fewer of them would not balance anything.
constexpr unsigned least_few = 2;
constexpr unsigned least_many = 3;
constexpr unsigned most_few = 5;
constexpr unsigned most_many = 8;

duration link_time(double bytes, double megabits_per_second, double share) {
    constexpr double mega = 1e6;
    if (megabits_per_second <= 0) {
        return {};
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{bytes * bits_a_byte / (megabits_per_second * mega * share)});
}

unsigned copies_within(duration time, duration copy, unsigned least, unsigned most) {
    if (copy <= duration::zero()) {
        return least;
    }
    return static_cast<unsigned>(std::clamp<std::int64_t>(time / copy, least, most));
}

} // namespace

group_tuning derive_group_tuning(group_shape const& shape, bool at_ease) {
    bool const large = shape.ranks > small_group;
    double const round =
        shape.ranks *
        (bytes_a_number * static_cast<double>(shape.counters_per_rank) + bytes_a_status);
    auto const fitting = link_time(round, shape.link_megabits_per_second, counts_share);
    auto const eased = at_ease ? least_counts_period * std::max(1U, shape.ranks / counted_ranks)
                               : least_counts_period;
    group_tuning budget;
    budget.counts_period =
        std::max<duration>(fitting, std::min<duration>(eased, most_counts_period));
    budget.counts_window = std::min<duration>(budget.counts_period, most_counts_span);
    budget.status_period = report_period;
    budget.status_max_age = large ? large_status_life : small_status_life;
    budget.prepare_resend = large ? large_prepare_resend : small_prepare_resend;
    budget.arm_resend = std::max<duration>(least_arm_resend, arm_resend_a_rank * shape.ranks);
    budget.min_copy_gain = large ? large_copy_gain_by_ranks / shape.ranks : small_copy_gain;
    budget.min_change_gain =
        at_ease ? change_gain_at_ease : (large ? large_change_gain : small_change_gain);
    // About as many relays as ranks behind each, so that both steps take as long.
    for (unsigned relays = 1; large && relays * relays < shape.ranks; ++relays) {
        budget.relay_fanout = relays;
    }
    return budget;
}

copy_limits derive_copy_limits(engine_traits const& traits) {
    auto const copy = link_time(traits.expert_megabytes * 1e6, traits.link_megabits_per_second, 1);
    return {copies_within(few_copies_time, copy, least_few, most_few),
            copies_within(many_copies_time, copy, least_many, most_many)};
}

} // namespace fireflycrank
