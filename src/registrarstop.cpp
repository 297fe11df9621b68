#include "registrarstop.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// A majority usually settles a call within some tens of milliseconds.
constexpr std::chrono::milliseconds take_time{300};
// Longer than a departure or an operator's call waits for a majority (0.9 and 1.5 s).
constexpr std::chrono::milliseconds settle_time{2'000};
// For a configuration of some megabytes on a slow link.
constexpr std::chrono::milliseconds write_time{2'000};
// Time for the process to exit before it is killed.
constexpr std::chrono::milliseconds exit_margin{300};

} // namespace

registrar_stop plan_registrar_stop(time_point begun, duration grace) {
    auto const last = begun + std::max<duration>(grace - exit_margin, duration::zero());
    auto const settled = begun + take_time + settle_time;
    return {std::min(begun + take_time, last), std::min(settled, last),
            std::min(settled + write_time, last)};
}

registrar_stop_step step_registrar_stop(registrar_stop const& stop, owed_answers const& owed,
                                        time_point now) {
    bool const nothing_owed = owed.calls == 0 && owed.connections == 0;
    return {now >= stop.take_until, now >= stop.settle_until,
            now >= stop.end_at || (now >= stop.take_until && nothing_owed)};
}

} // namespace fireflycrank
