#include "streamcontrol.h"

namespace fireflycrank {

void want_stream(stream_control& control, std::uint64_t job, bool paused) {
    control.streams[job].wanted = paused;
}

std::vector<stream_call> due_stream_calls(stream_control& control, time_point now) {
    std::vector<stream_call> calls;
    for (auto& [job, stream] : control.streams) {
        if (stream.wanted != stream.known && !stream.busy && now >= stream.next_call) {
            stream.busy = true;
            calls.push_back({job, stream.wanted});
        }
    }
    return calls;
}

void end_stream_call(stream_control& control, stream_call const& call, bool done, time_point now) {
    auto const found = control.streams.find(call.job);
    if (found == control.streams.end()) {
        return;
    }
    steered_stream& stream = found->second;
    stream.busy = false;
    if (done) {
        stream.known = call.pause;
        return;
    }
    // A call without an answer may have been carried out, so the opposite counts as known.
    stream.known = !stream.wanted;
    stream.next_call = now + control.retry;
}

void forget_stream(stream_control& control, std::uint64_t job) {
    control.streams.erase(job);
}

} // namespace fireflycrank
