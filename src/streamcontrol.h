/// @file
/// Keeps the engine's streams in the state that the queue wants: one call for a stream at a time,
/// and a call that fails is repeated, because a lost resume would leave its stream waiting.
#pragma once

#include "clock.h"

#include <cstdint>
#include <map>
#include <vector>

namespace fireflycrank {

/// One stream.
struct steered_stream {
    bool wanted{false}; ///< true for paused
    bool known{false};  ///< what the engine last confirmed
    bool busy{false};   ///< a call is under way
    time_point next_call;
};

/// All streams that were ever paused and still run, by job.
struct stream_control {
    duration retry{std::chrono::milliseconds{200}}; ///< after a call that failed
    std::map<std::uint64_t, steered_stream> streams;
};

/// One call to make.
struct stream_call {
    std::uint64_t job{0};
    bool pause{false};
};

/// Notes what the queue wants of a stream.
void want_stream(stream_control& control, std::uint64_t job, bool paused);

/// The calls to make now.
std::vector<stream_call> due_stream_calls(stream_control& control, time_point now);

/// Notes the end of a call.
void end_stream_call(stream_control& control, stream_call const& call, bool done, time_point now);

/// Forgets a stream that has ended.
void forget_stream(stream_control& control, std::uint64_t job);

} // namespace fireflycrank
