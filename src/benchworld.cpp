#include "benchworld.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>

namespace fireflycrank {

namespace {

/// One way between entry and agent.
constexpr duration link_delay = std::chrono::milliseconds{1};

constexpr std::array<char const*, 3> zones{"a", "b", "c"};

struct world_event {
    time_point at;
    std::uint64_t order{0}; ///< ties resolve by order of creation
    std::function<void()> run;
};

struct later {
    bool operator()(world_event const& left, world_event const& right) const {
        return left.at != right.at ? left.at > right.at : left.order > right.order;
    }
};

struct bench_entry {
    route_table routes;
    prefix_index prefixes;
    admission_state admission;
    estimator estimates;
    retry_budget budget;
    rng source;
    std::uint32_t next_target{0};
};

struct bench_target {
    work_queue queue;
    std::deque<std::size_t> fifo; ///< baseline only
    std::uint64_t cache_sequence{0};
};

/// What an entry remembers of a request under way.
struct open_request {
    work_estimate estimate;
    std::uint32_t target{0};
    std::vector<target_index> tried;
    std::uint32_t repeats{0};
    bool admitted{false};
};

struct world {
    world_settings settings;
    world_result result;
    std::vector<bench_entry> entries;
    std::vector<bench_target> targets;
    std::vector<open_request> open;
    std::priority_queue<world_event, std::vector<world_event>, later> events;
    std::uint64_t order{0};
    std::size_t left{0};
    time_point now;
    rng source;

    void after(duration delay, std::function<void()> run) {
        events.push({now + delay, ++order, std::move(run)});
    }
};

void dispatch(world& w, std::size_t at);
void run_target(world& w, std::uint32_t target);

bench_entry& entry_of(world& w, std::size_t at) {
    return w.entries[w.result.trace[at].entry];
}

time_point deadline_of(world const& w, std::size_t at) {
    return w.result.trace[at].arrives + w.result.trace[at].patience;
}

std::string team_name(world const& w, std::size_t at) {
    return "team-" + std::to_string(w.result.trace[at].team);
}

void end_request(world& w, std::size_t at, bool done) {
    auto& result = w.result.requests[at];
    result.done = done;
    result.refused = !done;
    result.finished = w.now;
    --w.left;
    if (!w.settings.baseline) {
        release_admission(entry_of(w, at).admission, team_name(w, at), w.open[at].estimate.work,
                          done, w.now);
    }
}

/// Every message from an agent carries its load.
void take_load(world& w, std::size_t at, std::uint32_t target, target_load const& load) {
    record_load_report(entry_of(w, at).routes, target, 1, load, w.now - link_delay);
}

void attempt_failed(world& w, std::size_t at, attempt_outcome outcome) {
    if (w.result.requests[at].done || w.result.requests[at].refused) {
        return;
    }
    auto& open = w.open[at];
    if (w.settings.baseline) {
        // The baseline repeats every failure up to three times, as many clients do.
        if (++open.repeats > 3) {
            end_request(w, at, false);
        } else {
            dispatch(w, at);
        }
        return;
    }
    auto& entry = entry_of(w, at);
    auto& result = w.result.requests[at];
    remove_dispatch(entry.routes, open.target, at);
    open.tried.push_back(open.target);
    retry_request const request{
        true, false, false, open.repeats, result.elsewhere, false, deadline_of(w, at)};
    auto const decision = decide_retry(entry.budget, request, outcome, entry.source, w.now);
    if (decision.action == retry_action::give_up) {
        end_request(w, at, false);
        return;
    }
    ++(decision.action == retry_action::try_elsewhere ? result.elsewhere : open.repeats);
    w.after(decision.delay, [&w, at] { dispatch(w, at); });
}

void publish_cache(world& w, std::uint32_t target, fake_cache_change const& change) {
    auto const publish = [&](cache_event_kind kind, std::vector<std::uint64_t> const& blocks) {
        if (blocks.empty()) {
            return;
        }
        auto const event = std::make_shared<cache_event>(
            cache_event{target, 1, ++w.targets[target].cache_sequence, kind, blocks});
        for (std::size_t at = 0; at < w.entries.size(); ++at) {
            if (next_unit(w.source) >= w.settings.cache_event_loss) {
                w.after(w.settings.cache_event_lag,
                        [&w, at, event] { apply_event(w.entries[at].prefixes, *event, w.now); });
            }
        }
    };
    publish(cache_event_kind::stored, change.stored);
    publish(cache_event_kind::removed, change.removed);
}

void step_runner(world& w, std::uint32_t target);

void start_step(world& w, std::uint32_t target) {
    auto& runner = w.result.runners[target];
    auto const length = next_step(runner);
    if (!runner.stepping && length > duration::zero()) {
        runner.stepping = true;
        w.after(length, [&w, target] { step_runner(w, target); });
    }
}

/// Puts a request into a slot, or lets the attempt fail at once on a failing runner.
void start_attempt(world& w, std::size_t at, std::uint32_t target) {
    auto& result = w.result.requests[at];
    if (result.attempts++ == 0) {
        result.started = w.now;
    }

    auto const change = start_request(w.result.runners[target], w.result.trace[at].body);
    if (!w.settings.baseline) {
        publish_cache(w, target, change);
    }
}

void finish_attempt(world& w, std::size_t at, std::uint32_t target) {

    bool const fails =
        target < w.settings.failing_runners && next_unit(w.source) < w.settings.failing_share;
    target_load load;
    if (!w.settings.baseline) {
        remove_item(w.targets[target].queue, at + 1, w.now);
        load = load_of(w.targets[target].queue);
    }
    w.after(link_delay, [&w, at, target, load, fails] {
        if (!w.settings.baseline) {
            take_load(w, at, target, load);
            remove_dispatch(entry_of(w, at).routes, target, at);
        }
        if (fails) {
            attempt_failed(w, at, attempt_outcome::server_error);
        } else if (!w.result.requests[at].refused) {
            auto const& request = w.result.trace[at];
            record_output_length(entry_of(w, at).estimates, request.route,
                                 request.body.prompt_tokens, request.body.output_tokens);
            end_request(w, at, true);
        }
    });
}

void step_runner(world& w, std::uint32_t target) {
    auto& runner = w.result.runners[target];
    auto const length = next_step(runner);
    runner.stepping = false;
    for (auto const id : finish_step(runner, length)) {
        finish_attempt(w, id - 1, target);
    }
    if (!w.settings.baseline) {
        for (auto const& slot : runner.slots) {
            note_progress(w.targets[target].queue, slot.id, slot.generated);
        }
    }
    run_target(w, target);
}

void refuse_attempt(world& w, std::size_t at, std::uint32_t target) {
    auto const load = load_of(w.targets[target].queue);
    w.after(link_delay, [&w, at, target, load] {
        take_load(w, at, target, load);
        attempt_failed(w, at, attempt_outcome::not_run);
    });
}

void run_target(world& w, std::uint32_t target) {
    auto& runner = w.result.runners[target];
    if (w.settings.baseline) {
        auto& fifo = w.targets[target].fifo;
        while (!fifo.empty() && runner.slots.size() < runner.settings.slots) {
            auto const at = fifo.front();
            fifo.pop_front();
            start_attempt(w, at, target);
        }
        start_step(w, target);
        return;
    }
    for (auto const& action : schedule(w.targets[target].queue, w.now)) {
        auto const at = action.id - 1;
        switch (action.kind) {
        case queue_action_kind::start:
            start_attempt(w, at, target);
            break;
        case queue_action_kind::refuse:
            refuse_attempt(w, at, target);
            break;
        case queue_action_kind::pause:
        case queue_action_kind::resume:
            set_paused(runner, action.id, action.kind == queue_action_kind::pause);
            break;
        }
    }
    start_step(w, target);
}

/// The caller is gone at the deadline, so the entry cancels the attempt.
void cancel_late(world& w, std::size_t at) {
    auto& result = w.result.requests[at];
    if (result.done || result.refused) {
        return;
    }
    auto const target = w.open[at].target;
    remove_item(w.targets[target].queue, at + 1, w.now);
    std::erase_if(w.result.runners[target].slots,
                  [&](auto const& slot) { return slot.id == at + 1; });
    remove_dispatch(entry_of(w, at).routes, target, at);
    end_request(w, at, false);
    run_target(w, target);
}

void offer_attempt(world& w, std::size_t at, std::uint32_t target) {
    if (w.settings.baseline) {
        w.targets[target].fifo.push_back(at);
        run_target(w, target);
        return;
    }
    if (w.result.requests[at].refused) {
        return;
    }
    auto const& estimate = w.open[at].estimate;
    work_item item;
    item.id = at + 1;
    item.team = team_name(w, at);
    item.work = estimate.work;
    item.is_long = estimate.is_long;
    item.pausable = estimate.is_long;
    item.deadline = deadline_of(w, at);
    if (offer_item(w.targets[target].queue, item, w.now).accepted) {
        run_target(w, target);
    } else {
        refuse_attempt(w, at, target);
    }
}

/// Asks the entry's admission before the first attempt.
bool admit_request(world& w, std::size_t at, route_decision const& decision) {
    auto& entry = entry_of(w, at);
    admission_request asked;
    asked.team = team_name(w, at);
    asked.work = w.open[at].estimate.work;
    asked.deadline = deadline_of(w, at);
    asked.expected_wait = decision.expected_wait;
    asked.mean_queue_wait = mean_queue_wait(entry.routes, "model");
    if (!admit(entry.admission, asked, entry.source, w.now).admitted) {
        w.result.requests[at].refused = true;
        w.result.requests[at].finished = w.now;
        --w.left;
        return false;
    }
    w.open[at].admitted = true;
    record_first_attempt(entry.budget, w.now);
    w.after(w.result.trace[at].patience, [&w, at] { cancel_late(w, at); });
    return true;
}

void dispatch(world& w, std::size_t at) {
    auto& entry = entry_of(w, at);
    auto& open = w.open[at];
    if (w.settings.baseline) {
        open.target = entry.next_target++ % w.settings.trace.runners;
    } else {
        route_request request;
        request.serves = "model";
        request.work = open.estimate.work;
        request.is_long = open.estimate.is_long;
        request.prefix_matches = find_prefix(entry.prefixes, w.result.trace[at].body.blocks, w.now);
        request.excluded_targets = open.tried;
        auto const decision = choose_target(entry.routes, request, entry.source, w.now);
        if (!open.admitted && !admit_request(w, at, decision)) {
            return;
        }
        if (decision.target == no_target) {
            end_request(w, at, false);
            return;
        }
        open.target = decision.target;
        record_dispatch(entry.routes, open.target, at, open.estimate.work, open.estimate.is_long,
                        w.now);
    }
    w.after(link_delay, [&w, at, target = open.target] { offer_attempt(w, at, target); });
}

void arrive(world& w, std::size_t at) {
    auto const& request = w.result.trace[at];
    w.open[at].estimate = estimate_work(entry_of(w, at).estimates, request.route,
                                        request.body.prompt_tokens, 0, request.output_limit);
    dispatch(w, at);
}

void report_load(world& w, std::uint32_t target) {
    auto const load = load_of(w.targets[target].queue);
    auto const measured_at = w.now;
    for (auto& entry : w.entries) {
        auto const lag =
            w.settings.report_lag / 2 +
            duration{static_cast<duration::rep>(
                next_unit(w.source) * static_cast<double>(w.settings.report_lag.count()))};
        w.after(lag, [&entry, target, load, measured_at] {
            record_load_report(entry.routes, target, 1, load, measured_at);
        });
    }
    run_target(w, target);
    if (w.left > 0) {
        w.after(w.settings.report_period, [&w, target] { report_load(w, target); });
    }
}

void set_up(world& w, std::uint64_t seed) {
    w.source = rng{seed ^ 0x5eedULL};
    w.entries.resize(w.settings.trace.entries);
    w.targets.resize(w.settings.trace.runners);
    w.result.runners.resize(w.settings.trace.runners);
    for (std::size_t at = 0; at < w.entries.size(); ++at) {
        auto& entry = w.entries[at];
        entry.source = rng{next_bits(w.source)};
        entry.routes.settings = w.settings.routing;
        entry.routes.own_zone = zones.at(at % zones.size());
        entry.admission.settings = w.settings.admission;
        entry.budget.settings = w.settings.retry;
        entry.next_target = static_cast<std::uint32_t>(next_below(w.source, 16));
        for (std::uint32_t target = 0; target < w.settings.trace.runners; ++target) {
            target_info facts;
            facts.name = "runner-" + std::to_string(target);
            facts.incarnation = 1;
            facts.zone = zones.at(target % zones.size());
            facts.serves = {"model"};
            upsert_target(entry.routes, facts, w.now);
        }
    }
    for (std::uint32_t target = 0; target < w.settings.trace.runners; ++target) {
        w.targets[target].queue.settings = w.settings.queue;
        if (!w.settings.baseline) {
            w.after(w.settings.report_period * target / w.settings.trace.runners,
                    [&w, target] { report_load(w, target); });
        }
    }
}

} // namespace

world_result run_world(world_settings const& settings, std::uint64_t seed) {
    world w;
    w.settings = settings;
    w.result.trace = make_trace(settings.trace, seed);
    w.left = w.result.trace.size();
    w.result.requests.resize(w.left);
    w.open.resize(w.left);
    set_up(w, seed);
    std::size_t next = 0;
    while (w.left > 0 && (next < w.result.trace.size() || !w.events.empty())) {
        if (next < w.result.trace.size() &&
            (w.events.empty() || w.result.trace[next].arrives <= w.events.top().at)) {
            w.now = w.result.trace[next].arrives;
            arrive(w, next++);
            continue;
        }
        auto const event = w.events.top();
        w.events.pop();
        w.now = event.at;
        event.run();
    }
    w.result.ended = w.now;
    return std::move(w.result);
}

} // namespace fireflycrank
