#include "lostruns.h"

#include <algorithm>
#include <iterator>

namespace fireflycrank {

namespace {

template <class predicate>
std::vector<lost_run> extract_if(lost_runs& runs, predicate&& matches) {
    auto const first_taken =
        std::stable_partition(runs.pending.begin(), runs.pending.end(),
                              [&](lost_run const& run) { return !matches(run); });
    std::vector<lost_run> taken{std::make_move_iterator(first_taken),
                                std::make_move_iterator(runs.pending.end())};
    runs.pending.erase(first_taken, runs.pending.end());
    return taken;
}

} // namespace

void add_lost_run(lost_runs& runs, lost_run run, lost_run_settings const& settings) {
    runs.pending.push_back(std::move(run));
    if (runs.pending.size() > settings.max_runs) {
        runs.pending.pop_front();
    }
}

std::vector<lost_run> take_lost_runs(lost_runs& runs, std::string const& target, wall_time born,
                                     time_point until) {
    return extract_if(runs, [&](lost_run const& run) {
        return run.target == target && run.born == born && run.lost_at <= until;
    });
}

std::vector<lost_run> take_replaced_runs(lost_runs& runs, std::string const& address,
                                         wall_time born) {
    return extract_if(
        runs, [&](lost_run const& run) { return run.address == address && run.born < born; });
}

void drop_expired(lost_runs& runs, lost_run_settings const& settings, time_point now) {
    std::erase_if(runs.pending,
                  [&](lost_run const& run) { return now - run.lost_at > settings.max_age; });
}

} // namespace fireflycrank
