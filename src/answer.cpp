#include "answer.h"

#include <algorithm>
#include <iterator>

namespace fireflycrank {

namespace {

bool accepts(answer_state& state, attempt_ref const& attempt) {
    if (state.phase == answer_phase::receiving && attempt == state.attempt) {
        return true;
    }
    ++state.dropped;
    return false;
}

/// Breaks the attempt, not yet the response: the retry decision may find another way.
answer_actions broken(answer_state& state, answer_fault fault) {
    state.fault = fault;
    state.attempt = {}; // No further message of this attempt is taken.
    answer_actions actions;
    actions.attempt_broken = true;
    return actions;
}

/// Whether bytes that arrived before, in order and not yet passed on, differ from a repeat.
bool contradicts_received(answer_state const& state, std::uint64_t offset, std::string_view bytes) {
    auto const kept_from = state.received - state.whole.size();
    auto const from = std::max(offset, kept_from);
    auto const to = std::min(offset + bytes.size(), state.received);
    return from < to && bytes.substr(from - offset, to - from) !=
                            std::string_view{state.whole}.substr(from - kept_from, to - from);
}

/// Keeps the parts of a chunk that are not held yet.
/// @return false when it contradicts bytes held at the same offset
bool keep_ahead(answer_state& state, std::uint64_t offset, std::string_view bytes) {
    while (!bytes.empty()) {
        auto next = state.ahead.upper_bound(offset);
        if (next != state.ahead.begin()) {
            auto const& [held_at, held] = *std::prev(next);
            if (held_at + held.size() > offset) {
                auto const same =
                    std::min<std::uint64_t>(held_at + held.size() - offset, bytes.size());
                if (std::string_view{held}.substr(offset - held_at, same) !=
                    bytes.substr(0, same)) {
                    return false;
                }
                offset += same;
                bytes.remove_prefix(same);
                continue;
            }
        }
        auto const room = next == state.ahead.end()
                              ? bytes.size()
                              : std::min<std::uint64_t>(next->first - offset, bytes.size());
        // Bytes beyond the bound are dropped; the resend of the gap brings them again.
        if (state.ahead_bytes + room > state.settings.max_ahead) {
            return true;
        }
        state.ahead.emplace(offset, bytes.substr(0, room));
        state.ahead_bytes += room;
        offset += room;
        bytes.remove_prefix(room);
    }
    return true;
}

/// Moves chunks that follow without a gap into `fresh`.
void join_ahead(answer_state& state, std::string& fresh) {
    auto end = state.received + fresh.size();
    while (!state.ahead.empty() && state.ahead.begin()->first <= end) {
        auto const first = state.ahead.begin();
        auto const known = end - first->first;
        if (known < first->second.size()) {
            fresh.append(first->second, known);
            end = state.received + fresh.size();
        }
        state.ahead_bytes -= first->second.size();
        state.ahead.erase(first);
    }
}

/// Passes on what may be passed on and completes the response when its length is reached.
answer_actions settle(answer_state& state, std::string fresh, time_point now) {
    answer_actions actions;
    if (!fresh.empty()) {
        state.received += fresh.size();
        state.resends = 0;
        state.waiting_since = now;
    }
    if (state.stream) {
        actions.pass_on = std::move(fresh);
    } else {
        state.whole += fresh;
    }
    if (state.total == state.received) {
        state.phase = answer_phase::complete;
        actions.completed = true;
        if (!state.stream) {
            actions.pass_on = std::move(state.whole);
            state.whole.clear();
        }
    }
    state.passed_on += actions.pass_on.size();
    return actions;
}

} // namespace

void begin_attempt(answer_state& state, attempt_ref const& attempt, bool resume, time_point now) {
    state.attempt = attempt;
    state.ahead.clear();
    state.ahead_bytes = 0;
    state.total.reset();
    state.resends = 0;
    state.waiting_since = now;
    state.fault = answer_fault::none;
    if (!resume) {
        state.received = 0;
        state.whole.clear();
    }
}

answer_actions on_chunk(answer_state& state, attempt_ref const& attempt, std::uint64_t offset,
                        std::string_view bytes, time_point now) {
    if (!accepts(state, attempt)) {
        return {};
    }
    auto const end = offset + bytes.size();
    if (end < offset || (state.total && end > *state.total) ||
        contradicts_received(state, offset, bytes)) {
        return broken(state, answer_fault::contradicting_chunk);
    }
    if (!state.stream && end > state.settings.max_whole) {
        return broken(state, answer_fault::too_long);
    }
    if (end <= state.received) {
        ++state.dropped;
        return {};
    }
    if (offset > state.received) {
        return keep_ahead(state, offset, bytes) ? answer_actions{}
                                                : broken(state, answer_fault::contradicting_chunk);
    }
    std::string fresh{bytes.substr(state.received - offset)};
    join_ahead(state, fresh);
    return settle(state, std::move(fresh), now);
}

answer_actions on_end(answer_state& state, attempt_ref const& attempt, std::uint64_t total,
                      time_point now) {
    if (!accepts(state, attempt)) {
        return {};
    }
    auto held_to = state.received;
    if (!state.ahead.empty()) {
        auto const& [offset, bytes] = *std::prev(state.ahead.end());
        held_to = std::max(held_to, offset + bytes.size());
    }
    if (held_to > total || (state.total && *state.total != total)) {
        return broken(state, answer_fault::wrong_length);
    }
    if (!state.stream && total > state.settings.max_whole) {
        return broken(state, answer_fault::too_long);
    }
    state.total = total;
    return settle(state, {}, now);
}

answer_actions tick_answer(answer_state& state, bool silent, time_point now) {
    bool const gap = !state.ahead.empty() || state.total.has_value();
    if (state.phase != answer_phase::receiving || state.attempt == attempt_ref{} ||
        !(gap || silent) || now - state.waiting_since < state.settings.resend_after) {
        return {};
    }
    if (state.resends >= state.settings.most_resends) {
        return broken(state, answer_fault::resends_exhausted);
    }
    ++state.resends;
    state.waiting_since = now;
    answer_actions actions;
    actions.resend_from = state.received;
    return actions;
}

time_point next_resend(answer_state const& state, time_point silent_from) {
    bool const gap = !state.ahead.empty() || state.total.has_value();
    time_point const resend = state.waiting_since + state.settings.resend_after;
    return gap ? resend : std::max(resend, silent_from);
}

void note_attempt_alive(answer_state& state) {
    if (state.ahead.empty() && !state.total) {
        state.resends = 0;
    }
}

continue_from on_attempt_lost(answer_state& state, bool may_resume) {
    state.attempt = {};
    state.ahead.clear();
    state.ahead_bytes = 0;
    if (state.phase != answer_phase::receiving) {
        return continue_from::nowhere;
    }
    if (state.passed_on == 0) {
        return continue_from::beginning;
    }
    bool const trusted = state.fault != answer_fault::contradicting_chunk &&
                         state.fault != answer_fault::wrong_length;
    if (state.resumable && may_resume && trusted) {
        return continue_from::offset;
    }
    fail_answer(state,
                state.fault == answer_fault::none ? answer_fault::partly_passed_on : state.fault);
    return continue_from::nowhere;
}

void fail_answer(answer_state& state, answer_fault fault) {
    if (state.phase == answer_phase::complete) {
        return;
    }
    state.phase = answer_phase::failed;
    state.fault = fault;
    state.attempt = {};
    state.whole.clear();
    state.ahead.clear();
    state.ahead_bytes = 0;
}

char const* name_of(answer_fault fault) {
    switch (fault) {
    case answer_fault::none:
        return "none";
    case answer_fault::contradicting_chunk:
        return "contradicting_chunk";
    case answer_fault::wrong_length:
        return "wrong_length";
    case answer_fault::too_long:
        return "too_long";
    case answer_fault::resends_exhausted:
        return "resends_exhausted";
    case answer_fault::partly_passed_on:
        return "partly_passed_on";
    }
    return "none";
}

} // namespace fireflycrank
