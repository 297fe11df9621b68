#include "streamcalls.h"

#include "enginerun.h"
#include "events.h"
#include "log.h"

namespace fireflycrank {

std::string engine_run_id(attempt_ref const& id) {
    return id.request_id + "." + std::to_string(id.number);
}

void start_due_stream_calls(stream_control& control, agent_core const& core,
                            std::string const& engine, std::mutex& mutex, runtime& pool) {
    for (stream_call const& call : due_stream_calls(control, now(pool.clock()))) {
        auto const job = core.jobs.find(call.job);
        if (job == core.jobs.end()) {
            forget_stream(control, call.job);
            continue;
        }
        attempt_ref const& attempt = job->second.request.start.id;
        log_event(events::stream_steered, {{"request", attempt.request_id}, {"pause", call.pause}});
        pool.post([&control, &mutex, &pool, call, engine, id = engine_run_id(attempt)] {
            set_run_paused(engine, id, call.pause, [&control, &mutex, &pool, call](bool succeeded) {
                std::lock_guard const lock{mutex};
                end_stream_call(control, call, succeeded, now(pool.clock()));
            });
        });
    }
}

} // namespace fireflycrank
