#include "grouptuning.h"

#include <algorithm>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;

// Fraction of the coordinator's link that counts may use; orders and reports share the rest.
constexpr double counts_share = 0.3;
// Packed counts take about three bits each (countcode.h); a status also lists the rank's experts.
constexpr double bytes_per_counter = 0.36;
constexpr double bytes_per_status = 320;
constexpr double bits_per_byte = 8;
constexpr milliseconds min_counts_period{150};
constexpr milliseconds max_counts_period{1'000};
// A longer window would hide a change of demand. Ranks report at different times, so together they
// cover the whole period.
constexpr milliseconds max_counts_window{200};
// While passes are short, the ranks of groups larger than this report counts less often, to save
// processor time on the coordinator.
constexpr unsigned max_ranks_at_full_rate = 8;
// Groups up to this size get all instructions directly from the coordinator and use the shortest
// periods.
constexpr unsigned max_small_group_ranks = 32;
constexpr milliseconds report_period{200};
constexpr milliseconds small_group_status_max_age{600};
constexpr milliseconds large_group_status_max_age{1'000};
constexpr milliseconds small_group_prepare_resend{400};
constexpr milliseconds large_group_prepare_resend{900};
// An order that is not lost is answered within a few milliseconds, and a pause of the group of more
// than 100 ms delays every stream. The coordinator needs about half a millisecond to process a
// status.
constexpr milliseconds min_arm_resend{40};
constexpr std::chrono::microseconds arm_resend_per_rank{1'200};

// Relieving one of many equally loaded ranks lowers their smooth maximum by a fraction that shrinks
// with their number, so in large groups a fixed threshold would end a plan far from balance.
constexpr double small_group_copy_gain = 0.01;
constexpr double large_group_copy_gain_times_ranks = 0.16;
// Copies have a price, and passes take longer while experts are copied. The finer plans of large
// groups find apparent gains in the noise of the counts, so large groups require a higher gain.
constexpr double small_group_change_gain = 0.10;
constexpr double large_group_change_gain = 0.20;
// While passes are short, imbalance does not delay callers.
constexpr double short_pass_change_gain = 0.25;

// Time that one change may spend copying: a fraction of the few seconds for which demand is stable.
constexpr milliseconds usual_copy_time{80};
constexpr milliseconds high_skew_copy_time{160};
// Minimum numbers of copies, even if each takes long: fewer would not balance anything.
constexpr unsigned min_usual_copies = 2;
constexpr unsigned min_high_skew_copies = 3;
constexpr unsigned max_usual_copies = 5;
constexpr unsigned max_high_skew_copies = 8;

duration transfer_time(double bytes, double megabits_per_second, double share) {
    constexpr double mega = 1e6;
    if (megabits_per_second <= 0) {
        return {};
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{
        bytes * bits_per_byte / (megabits_per_second * mega * share)});
}

unsigned copies_within(duration copying_time, duration time_per_copy, unsigned min_copies,
                       unsigned max_copies) {
    if (time_per_copy <= duration::zero()) {
        return min_copies;
    }
    return static_cast<unsigned>(
        std::clamp<std::int64_t>(copying_time / time_per_copy, min_copies, max_copies));
}

} // namespace

group_tuning derive_group_tuning(group_shape const& shape, bool short_passes) {
    bool const large = shape.ranks > max_small_group_ranks;
    double const bytes_per_round =
        shape.ranks *
        (bytes_per_counter * static_cast<double>(shape.counters_per_rank) + bytes_per_status);
    auto const link_period =
        transfer_time(bytes_per_round, shape.link_megabits_per_second, counts_share);
    auto const processing_period =
        short_passes ? min_counts_period * std::max(1U, shape.ranks / max_ranks_at_full_rate)
                     : min_counts_period;
    group_tuning tuning;
    tuning.counts_period =
        std::max<duration>(link_period, std::min<duration>(processing_period, max_counts_period));
    tuning.counts_window = std::min<duration>(tuning.counts_period, max_counts_window);
    tuning.status_period = report_period;
    tuning.status_max_age = large ? large_group_status_max_age : small_group_status_max_age;
    tuning.prepare_resend = large ? large_group_prepare_resend : small_group_prepare_resend;
    tuning.arm_resend = std::max<duration>(min_arm_resend, arm_resend_per_rank * shape.ranks);
    tuning.min_copy_gain =
        large ? large_group_copy_gain_times_ranks / shape.ranks : small_group_copy_gain;
    tuning.min_change_gain = short_passes
                                 ? short_pass_change_gain
                                 : (large ? large_group_change_gain : small_group_change_gain);
    // About as many relays as ranks behind each relay, so that both hops take equally long.
    for (unsigned relays = 1; large && relays * relays < shape.ranks; ++relays) {
        tuning.relay_fanout = relays;
    }
    return tuning;
}

copy_limits derive_copy_limits(engine_traits const& traits) {
    auto const time_per_copy =
        transfer_time(traits.expert_megabytes * 1e6, traits.link_megabits_per_second, 1);
    return {copies_within(usual_copy_time, time_per_copy, min_usual_copies, max_usual_copies),
            copies_within(high_skew_copy_time, time_per_copy, min_high_skew_copies,
                          max_high_skew_copies)};
}

} // namespace fireflycrank
