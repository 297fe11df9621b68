#include "linkpace.h"

#include "rng.h"

#include <algorithm>

namespace fireflycrank {

namespace {

constexpr unsigned most_doublings = 4;
// Confirmations of one peer vary by about this much from one to the next.
constexpr int spread = 3;
constexpr double slowest_decay = 0.9;
// A pause is shortened by up to this part.
constexpr double jitter = 0.5;

duration doubled(duration time, unsigned times, duration longest) {
    return std::min<duration>(time * (1U << std::min(times, most_doublings)), longest);
}

} // namespace

duration silent_limit(link_pace const& pace, link_pace_settings const& settings) {
    auto const patience = doubled(settings.silent_limit, pace.given_up, settings.longest_limit);
    return std::min(std::max(patience, spread * pace.slowest), settings.longest_limit);
}

duration connect_limit(link_pace const& pace, link_pace_settings const& settings) {
    return doubled(settings.connect_limit, pace.given_up, settings.longest_limit);
}

void note_confirmed(link_pace& pace, duration waited) {
    pace.given_up = 0;
    pace.slowest =
        std::max(waited, std::chrono::duration_cast<duration>(slowest_decay * pace.slowest));
}

duration note_given_up(link_pace& pace, link_pace_settings const& settings, std::uint64_t salt) {
    auto const pause = doubled(settings.redial_pause, pace.given_up, settings.longest_pause);
    ++pace.given_up;
    rng random{salt + ++pace.dialled};
    return std::chrono::duration_cast<duration>(pause * (1.0 - jitter * next_unit(random)));
}

} // namespace fireflycrank
