#include "callplan.h"

namespace fireflycrank {

bool may_run_again(call_progress const& progress) {
    return progress.kind == call_kind::idempotent ||
           (progress.kind == call_kind::stream && progress.resumable);
}

bool worth_repeating(failure_repeats const& repeats, rng& random) {
    constexpr double enough = 0.3;
    constexpr std::uint64_t one_in = 8; // so that a change is noticed
    return repeats.helped >= enough || next_below(random, one_in) == 0;
}

void note_repeat(failure_repeats& repeats, bool helped) {
    constexpr double newest = 0.2; // weight: about the last five repeats decide
    repeats.helped += newest * ((helped ? 1.0 : 0.0) - repeats.helped);
}

} // namespace fireflycrank
