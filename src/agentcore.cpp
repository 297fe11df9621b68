#include "agentcore.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// Framing makes up most of a shorter answer: one of 2 tokens once measured 45 times the speed of
// the other targets, which drew 43 of 48 requests to its target.
constexpr double least_speed_sample = 32;
constexpr double speed_smoothing = 0.2; // weight of the newest run in the measured speed
constexpr std::size_t resend_chunk_bytes = 256U << 10U;
// Connections of a dying process break within milliseconds of each other.
constexpr duration crash_window_length = std::chrono::milliseconds{300};
constexpr duration crash_settle = std::chrono::milliseconds{50};
constexpr duration least_retry_after = std::chrono::milliseconds{200};

std::pair<std::string, std::uint32_t> key_of(attempt_ref const& id) {
    return {id.request_id, id.number};
}

std::chrono::milliseconds to_millis(duration length) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(length);
}

void refuse(agent_core const& core, std::string const& entry, attempt_ref const& id,
            std::string reason, duration retry_after, agent_actions& actions) {
    actions.push_back(
        agent_reply{entry, attempt_refusal{id, std::move(reason),
                                           to_millis(std::max(retry_after, least_retry_after)),
                                           load_of(core)}});
}

void forget_job(agent_core& core, std::uint64_t job) {
    auto const found = core.jobs.find(job);
    if (found == core.jobs.end()) {
        return;
    }
    core.job_ids.erase(key_of(found->second.request.start.id));
    core.jobs.erase(found);
}

// Sends kept output and, for an ended attempt, its end.
void report_output(agent_core const& core, std::string const& entry, attempt_ref const& id,
                   std::uint64_t offset, agent_actions& actions) {
    output_view const view = resend_output(core.attempts, id, offset);
    if (view.state == attempt_state::unknown || view.state == attempt_state::queued ||
        view.state == attempt_state::other_incarnation || never_runs(view.state)) {
        actions.push_back(agent_reply{entry, agent_status{id, view.state}});
        return;
    }
    // A running attempt's status is known to its job only; the table learns it at the end.
    auto const job = core.job_ids.find(key_of(id));
    bool const running = job != core.job_ids.end();
    std::uint32_t const status = running ? core.jobs.at(job->second).status : view.status;
    std::string const type =
        running ? core.jobs.at(job->second).content_type : std::string{view.content_type};
    if (view.available) {
        for (std::size_t at = 0; at < view.bytes.size(); at += resend_chunk_bytes) {
            std::string piece{view.bytes.substr(at, resend_chunk_bytes)};
            actions.push_back(agent_reply{
                entry, agent_chunk{id, view.offset + at, std::move(piece), status, type}});
        }
    }
    if (view.state == attempt_state::running) {
        actions.push_back(agent_reply{entry, agent_status{id, view.state}});
        return;
    }
    actions.push_back(
        agent_reply{entry, agent_end{id, view.state, view.status, std::string{view.content_type},
                                     view.total_bytes, view.available, "", load_of(core)}});
}

// Performs one decision of the queue.
void perform(agent_core& core, queue_action const& decision, time_point now, wall_time wall,
             agent_actions& actions) {
    auto const found = core.jobs.find(decision.id);
    if (found == core.jobs.end()) {
        return;
    }
    agent_job& job = found->second;
    attempt_ref const id = job.request.start.id;
    if (decision.kind == queue_action_kind::refuse) {
        void_attempt(core.attempts, id, job.request.start.start_by, wall);
        refuse(core, job.entry, id, name_of(decision.reason), duration::zero(), actions);
        forget_job(core, decision.id);
        return;
    }
    if (decision.kind != queue_action_kind::start) {
        bool const pause = decision.kind == queue_action_kind::pause;
        if (pause) {
            job.paused_at = now;
        } else {
            job.started += now - job.paused_at;
        }
        actions.push_back(steer_engine{decision.id, pause});
        return;
    }
    job.running = true;
    job.request.priority += decision.engine_priority;
    actions.push_back(start_engine{decision.id});
}

// Refuses everything that has not started, so that its entries try elsewhere.
void refuse_waiting(agent_core& core, std::string const& reason, wall_time wall,
                    agent_actions& actions) {
    std::vector<std::uint64_t> waiting;
    for (auto const& [job, entry] : core.jobs) {
        if (!entry.running) {
            waiting.push_back(job);
        }
    }
    for (std::uint64_t const job : waiting) {
        agent_job const& refused = core.jobs.at(job);
        attempt_start const start = refused.request.start;
        void_attempt(core.attempts, start.id, start.start_by, wall);
        refuse(core, refused.entry, start.id, reason, duration::zero(), actions);
        void_item(core.queue, job);
        forget_job(core, job);
    }
}

// Asks the attempt table before an engine run; an expired or voided attempt leaves the queue.
bool may_run(agent_core& core, std::uint64_t job_id, time_point now, wall_time wall,
             agent_actions& actions) {
    auto const found = core.jobs.find(job_id);
    if (found == core.jobs.end()) {
        return false;
    }
    agent_job& job = found->second;
    if (begin_run(core.attempts, job.request.start.id, wall) == begin_verdict::run) {
        job.started = now;
        return true;
    }
    refuse(core, job.entry, job.request.start.id, "expired", duration::zero(), actions);
    remove_item(core.queue, job_id, now);
    forget_job(core, job_id);
    return false;
}

void run_queue(agent_core& core, time_point now, wall_time wall, agent_actions& actions) {
    if (!core.engine_up) {
        return; // a run given to a dead engine would count as crashed by its request
    }
    for (queue_action const& decision : schedule(core.queue, now)) {
        if (decision.kind == queue_action_kind::start &&
            !may_run(core, decision.id, now, wall, actions)) {
            continue;
        }
        perform(core, decision, now, wall, actions);
    }
}

work_item make_item(agent_core& core, attempt_request const& request, time_point now) {
    work_item item;
    item.id = core.next_job++;
    item.team = request.team;
    item.weight = request.team_weight;
    item.priority = request.priority;
    item.work = request.work;
    item.is_long = request.is_long;
    item.alone = request.start.alone;
    item.pausable = core.pauses_streams && request.stream && request.is_long && !item.alone;
    item.deadline = now + request.time_left;
    return item;
}

// Why an attempt cannot be accepted before the queue is asked; empty if it can.
std::string refusal_reason(agent_core const& core) {
    if (!core.engine_up) {
        return "engine_down";
    }
    if (core.drain.phase == drain_phase::finishing || core.drain.phase == drain_phase::stopped) {
        return "leaving";
    }
    return "";
}

void cancel_job(agent_core& core, attempt_ref const& id, time_point now, wall_time wall,
                agent_actions& actions) {
    bool const stop = cancel_attempt(core.attempts, id, wall);
    auto const found = core.job_ids.find(key_of(id));
    if (found == core.job_ids.end()) {
        return;
    }
    std::uint64_t const job = found->second;
    if (stop) {
        core.jobs.at(job).cancelled = true;
        actions.push_back(cancel_engine{job});
    } else if (void_item(core.queue, job)) {
        forget_job(core, job);
        run_queue(core, now, wall, actions);
    }
}

void void_job(agent_core& core, std::string const& entry, attempt_query const& query,
              time_point now, wall_time wall, agent_actions& actions) {
    attempt_state const state = void_attempt(core.attempts, query.id, query.start_by, wall);
    if (never_runs(state)) {
        auto const found = core.job_ids.find(key_of(query.id));
        if (found != core.job_ids.end()) {
            void_item(core.queue, found->second);
            forget_job(core, found->second);
        }
    }
    actions.push_back(agent_reply{entry, agent_status{query.id, state}});
    run_queue(core, now, wall, actions);
}

// Opens the window in which the runs that end broken together are counted as one engine crash. Only
// one broken connection beside runs that go on is no sign of a crash.
void open_crash_window(agent_core& core, time_point now) {
    if (core.crash.open) {
        return;
    }
    core.crash = {true, now,   make_engine_crash_report(core.attempts, core.crashes + 1),
                  {},   false, false};
    for (auto const& [job, running] : core.jobs) {
        if (running.running) {
            core.crash.jobs.insert(job);
        }
    }
}

// A run that ended otherwise than by a broken connection was not a victim of the crash. One that
// completed after the connections of a dying process would have broken shows that the engine lives.
void spare_run(agent_core& core, std::uint64_t job, std::string const& fingerprint, bool complete,
               time_point now) {
    if (!core.crash.open || core.crash.jobs.erase(job) == 0) {
        return;
    }
    std::erase_if(core.crash.report.running,
                  [&](auto const& running) { return running.fingerprint == fingerprint; });
    core.crash.completed |= complete;
    core.crash.open = !complete || now - core.crash.opened < crash_settle;
}

// Whether a run that was under way when the window opened has not ended yet.
bool runs_go_on(agent_core const& core) {
    return std::any_of(core.crash.jobs.begin(), core.crash.jobs.end(),
                       [&core](std::uint64_t job) { return core.jobs.contains(job); });
}

// Reports a crash when all runs of the window have broken. The last bytes of an answer can be read
// after another connection broke, so a completed run does not rule a crash out; then a failed probe
// has to confirm it.
void close_crash_window(agent_core& core, time_point now, agent_actions& actions) {
    bool const confirmed = !core.crash.completed || core.crash.probe_failed;
    bool const may_change = runs_go_on(core) || !confirmed;
    if (!core.crash.open || (may_change && now - core.crash.opened < crash_window_length)) {
        return;
    }
    core.crash.open = false;
    if (may_change || core.crash.report.running.empty()) {
        return;
    }
    ++core.crashes;
    actions.push_back(engine_crashed{std::move(core.crash.report)});
}

void learn_speed(agent_core& core, agent_job const& job, time_point now) {
    double const seconds = std::chrono::duration<double>(now - job.started).count();
    if (job.tokens < least_speed_sample || seconds <= 0) {
        return;
    }
    double const speed = job.tokens / seconds;
    core.measured_speed =
        core.measured_speed == 0
            ? speed
            : core.measured_speed + speed_smoothing * (speed - core.measured_speed);
    note_speed(core.queue, core.measured_speed * core.queue.settings.slots);
}

} // namespace

agent_actions on_attempt_request(agent_core& core, std::string const& entry,
                                 attempt_request const& request, time_point now, wall_time wall) {
    agent_actions actions;
    attempt_ref const& id = request.start.id;
    attempt_state const known = query_attempt(core.attempts, id);
    if (known == attempt_state::other_incarnation) {
        // No refusal: the earlier incarnation may have run it.
        actions.push_back(agent_reply{entry, agent_status{id, known}});
        return actions;
    }
    if (known != attempt_state::unknown) {
        report_output(core, entry, id, 0, actions);
        return actions;
    }
    std::string reason = refusal_reason(core);
    duration retry_after = duration::zero();
    work_item const item = make_item(core, request, now);
    if (reason.empty()) {
        offer_result const offer = offer_item(core.queue, item, now);
        retry_after = offer.retry_after;
        reason = offer.accepted ? "" : name_of(offer.reason);
    }
    start_reply const reply = start_attempt(core.attempts, request.start, reason.empty(), wall);
    if (reply.verdict == start_verdict::accepted) {
        core.jobs.emplace(item.id, agent_job{request, entry, false, false, 0, 0, "", {}, {}});
        core.job_ids.emplace(key_of(id), item.id);
        run_queue(core, now, wall, actions);
        return actions;
    }
    void_item(core.queue, item.id);
    if (reply.verdict == start_verdict::refused) {
        refuse(core, entry, id, reason.empty() ? "expired" : reason, retry_after, actions);
    }
    return actions;
}

agent_actions on_attempt_query(agent_core& core, std::string const& entry,
                               attempt_query const& query, time_point now, wall_time wall) {
    agent_actions actions;
    switch (query.kind) {
    case attempt_query_kind::void_start:
        void_job(core, entry, query, now, wall, actions);
        break;
    case attempt_query_kind::query:
        actions.push_back(
            agent_reply{entry, agent_status{query.id, query_attempt(core.attempts, query.id)}});
        break;
    case attempt_query_kind::resend: {
        // The asking entry may have taken the order over; later output goes to it.
        auto const found = core.job_ids.find(key_of(query.id));
        if (found != core.job_ids.end()) {
            core.jobs.at(found->second).entry = entry;
        }
        report_output(core, entry, query.id, query.offset, actions);
        break;
    }
    case attempt_query_kind::release:
        release_attempt(core.attempts, query.id);
        break;
    case attempt_query_kind::cancel:
        cancel_job(core, query.id, now, wall, actions);
        break;
    }
    return actions;
}

void on_engine_start(agent_core& core, std::uint64_t job, std::uint32_t status,
                     std::string content_type) {
    auto const found = core.jobs.find(job);
    if (found != core.jobs.end()) {
        found->second.status = status;
        found->second.content_type = std::move(content_type);
    }
}

agent_actions on_engine_bytes(agent_core& core, std::uint64_t job, std::string const& bytes) {
    agent_actions actions;
    auto const found = core.jobs.find(job);
    if (found == core.jobs.end()) {
        return actions;
    }
    agent_job& running = found->second;
    attempt_ref const& id = running.request.start.id;
    std::uint64_t const offset = resend_output(core.attempts, id, UINT64_MAX).total_bytes;
    append_output(core.attempts, id, bytes);
    running.tokens += count_tokens(bytes, running.request.stream);
    note_progress(core.queue, job, running.tokens);
    actions.push_back(agent_reply{
        running.entry, agent_chunk{id, offset, bytes, running.status, running.content_type}});
    return actions;
}

agent_actions on_engine_end(agent_core& core, std::uint64_t job, engine_run_end end, time_point now,
                            wall_time wall) {
    agent_actions actions;
    auto const found = core.jobs.find(job);
    if (found == core.jobs.end()) {
        return actions;
    }
    agent_job const running = found->second;
    attempt_ref const& id = running.request.start.id;
    if (end == engine_run_end::not_connected && withdraw_run(core.attempts, id, wall)) {
        core.engine_up = false; // until the next probe
        spare_run(core, job, running.request.start.fingerprint, false, now);
        remove_item(core.queue, job, now);
        forget_job(core, job);
        refuse(core, running.entry, id, "engine_down", duration::zero(), actions);
        refuse_waiting(core, "engine_down", wall, actions);
        return actions;
    }
    attempt_state const state = running.cancelled                 ? attempt_state::cancelled
                                : end != engine_run_end::complete ? attempt_state::crashed
                                                                  : attempt_state::done;
    if (state == attempt_state::done) {
        learn_speed(core, running, now);
    }
    if (state != attempt_state::crashed) {
        spare_run(core, job, running.request.start.fingerprint, end == engine_run_end::complete,
                  now);
    } else if (state == attempt_state::crashed) {
        open_crash_window(core, now);
    }
    end_run(core.attempts, id, state, running.status, running.content_type, wall);
    remove_item(core.queue, job, now);
    forget_job(core, job);
    if (state == attempt_state::crashed) {
        core.engine_up = false; // until the next probe, which the daemon starts at once
        refuse_waiting(core, "engine_down", wall, actions);
        close_crash_window(core, now, actions);
    }
    // Asked from the start: an offset past the end would make kept output look dropped.
    output_view const view = resend_output(core.attempts, id, 0);
    actions.push_back(
        agent_reply{running.entry, agent_end{id, state, running.status, running.content_type,
                                             view.total_bytes, view.available, "", load_of(core)}});
    run_queue(core, now, wall, actions);
    return actions;
}

bool on_engine_probe(agent_core& core, bool up) {
    core.crash.probe_failed |= !up;
    if (core.engine_up == up) {
        return false;
    }
    core.engine_up = up;
    return true;
}

agent_actions on_agent_tick(agent_core& core, time_point now, wall_time wall) {
    agent_actions actions;
    for (attempt_ref const& id : expire_attempts(core.attempts, wall)) {
        auto const found = core.job_ids.find(key_of(id));
        if (found == core.job_ids.end()) {
            continue;
        }
        std::uint64_t const job = found->second;
        refuse(core, core.jobs.at(job).entry, id, "expired", duration::zero(), actions);
        void_item(core.queue, job);
        forget_job(core, job);
    }
    close_crash_window(core, now, actions);
    run_queue(core, now, wall, actions);
    return actions;
}

agent_actions hand_back_waiting(agent_core& core, wall_time wall) {
    agent_actions actions;
    refuse_waiting(core, "leaving", wall, actions);
    drain_queue(core.queue, false);
    return actions;
}

drain_load drain_load_of(agent_core const& core) {
    return {static_cast<std::uint32_t>(core.jobs.size()),
            static_cast<std::uint32_t>(core.attempts.owed)};
}

agent_actions pause_engine(agent_core& core, wall_time wall) {
    agent_actions actions;
    core.engine_up = false;
    refuse_waiting(core, "target_order", wall, actions);
    return actions;
}

target_load load_of(agent_core const& core) {
    target_load load = load_of(core.queue);
    load.tokens_per_second = core.queue.settings.tokens_per_second;
    return load;
}

} // namespace fireflycrank
