#include "engineranks.h"

#include "expertswire.h"

#include <algorithm>

namespace fireflycrank {

namespace {

constexpr duration report_period = std::chrono::seconds{1};
// During a switch a new leader must quickly learn the ranks' steps and promises.
constexpr duration switch_report_period = std::chrono::milliseconds{200};
constexpr duration long_wait = std::chrono::seconds{1};

std::string make_call_id(engine_ranks& engine) {
    return engine.process_name + "/map/" + std::to_string(engine.incarnation) + "/" +
           std::to_string(engine.next_call_number++);
}

void request_map(engine_ranks& engine, std::uint32_t rank, std::uint64_t map,
                 engine_rank_actions& actions) {
    // Every view leads to a request for missing maps, even while a map is being loaded.
    if (!engine.loading.insert({rank, map}).second) {
        return;
    }
    map_table_query query;
    query.group = engine.group;
    query.map_id = map;
    std::string const id = make_call_id(engine);
    engine.map_requests[id] = {rank, map};
    actions.calls.push_back({id, map_table_kind, serialize(query), true});
}

void append_actions(engine_ranks& engine, engine_rank& rank, participant_actions&& added,
                    engine_rank_actions& actions) {
    for (rank_report& report : added.reports) {
        actions.reports.push_back({engine.model, std::move(report), {}});
    }
    for (map_view_query const& view_query : added.queries) {
        // One query at a time: the control client itself resends it to a new leader.
        if (rank.open_query.empty()) {
            map_table_query query;
            query.view_query = view_query;
            rank.open_query = make_call_id(engine);
            actions.calls.push_back({rank.open_query, map_table_kind, serialize(query), true});
        }
    }
    for (std::uint64_t const map : added.fetch) {
        request_map(engine, rank.participant.rank, map, actions);
    }
    for (std::uint64_t const map : added.unload) {
        engine.loading.erase({rank.participant.rank, map});
        actions.engine_calls.push_back({rank.participant.rank, map, std::nullopt});
    }
}

void add_counts(expert_token_counts& sum, expert_token_counts const& added) {
    sum.resize(std::max(sum.size(), added.size()));
    for (std::size_t layer = 0; layer < added.size(); ++layer) {
        sum[layer].resize(std::max(sum[layer].size(), added[layer].size()));
        for (std::size_t expert = 0; expert < added[layer].size(); ++expert) {
            sum[layer][expert] += added[layer][expert];
        }
    }
}

// Clears a failed load, so that the next view requests the map again.
void on_load_failed(engine_ranks& engine, map_request const& call) {
    engine.loading.erase({call.rank, call.map});
    auto const found = engine.ranks.find(call.rank);
    if (found != engine.ranks.end() && found->second.participant.fetching_map == call.map) {
        found->second.participant.fetching_map = 0;
    }
}

// Returns the rank's state, created at its first step request after the agent's start. That request
// tells the rank's next step, without which the rank may not promise anything.
engine_rank& find_or_create_rank(engine_ranks& engine, std::uint32_t number, std::uint64_t step) {
    auto const [found, created] = engine.ranks.try_emplace(number);
    engine_rank& rank = found->second;
    if (created) {
        rank.participant.group = engine.group;
        rank.participant.rank = number;
        rank.participant.incarnation = engine.incarnation;
        set_rejoin_step(rank.participant, step);
    }
    return rank;
}

// Handles a request for a later step: the group went on without this rank, which must query control
// again.
void skip_to(engine_ranks& engine, engine_rank& rank, std::uint64_t step, time_point now,
             engine_rank_actions& actions) {
    rank.participant.next_step = step;
    rank.participant.last_map = 0;
    rank.open_query.clear();
    append_actions(engine, rank, resync(rank.participant, now), actions);
}

void log_long_wait(engine_ranks const& engine, engine_rank& rank, time_point now,
                   engine_rank_actions& actions) {
    if (!rank.waiting_since || rank.wait_logged || now < *rank.waiting_since + long_wait) {
        return;
    }
    rank.wait_logged = true;
    actions.logs.push_back({&events::rank_waiting,
                            {{"group", engine.group},
                             {"rank", rank.participant.rank},
                             {"step", rank.participant.next_step},
                             {"reason", name_of(check_next_step(rank.participant).status)}}});
}

void report_when_due(engine_ranks const& engine, engine_rank& rank, time_point now,
                     engine_rank_actions& actions) {
    if (now < rank.next_report_at) {
        return;
    }
    rank.next_report_at =
        now +
        (rank.participant.view.phase == switch_phase::none ? report_period : switch_report_period);
    group_report report{engine.model, make_rank_report(rank.participant), std::move(rank.counts)};
    rank.counts.clear();
    actions.reports.push_back(std::move(report));
}

} // namespace

engine_ranks make_engine_ranks(process_config const& settings, std::uint64_t incarnation) {
    engine_ranks engine;
    target_config const& target = settings.target;
    engine.group = target.group;
    engine.process_name = settings.name;
    engine.incarnation = incarnation;
    engine.configured_ranks = {target.ranks.begin(), target.ranks.end()};
    if (!target.serves.empty()) {
        std::string const& served = target.serves.front();
        engine.model = served.substr(0, served.find('@'));
    }
    return engine;
}

step_answer on_step_request(engine_ranks& engine, step_request const& request, time_point now,
                            engine_rank_actions& actions) {
    if (!engine.configured_ranks.contains(request.rank)) {
        return {false, false, 0, "unknown_rank"};
    }
    engine_rank& rank = find_or_create_rank(engine, request.rank, request.step);
    if (rank.participant.last_map != 0 && request.step + 1 == rank.participant.next_step) {
        return {true, true, rank.participant.last_map, name_of(step_status::run)};
    }
    if (request.step < rank.participant.next_step) {
        return {false, false, 0, "step_already_run"};
    }
    if (request.step > rank.participant.next_step) {
        skip_to(engine, rank, request.step, now, actions);
    }
    step_check const check = check_next_step(rank.participant);
    if (check.status != step_status::run) {
        rank.waiting_since = rank.waiting_since.value_or(now);
        append_actions(engine, rank, tick(rank.participant, now), actions);
        return {true, false, 0, name_of(check.status)};
    }
    if (rank.wait_logged) {
        actions.logs.push_back({&events::rank_running,
                                {{"group", engine.group},
                                 {"rank", request.rank},
                                 {"step", request.step},
                                 {"map", check.map}}});
    }
    rank.waiting_since.reset();
    rank.wait_logged = false;
    add_counts(rank.counts, request.counts);
    append_actions(engine, rank, on_step_started(rank.participant), actions);
    return {true, true, check.map, name_of(check.status)};
}

engine_rank_actions on_map_view(engine_ranks& engine, map_view_message const& view,
                                time_point now) {
    engine_rank_actions actions;
    auto const found = engine.ranks.find(view.rank);
    if (view.group == engine.group && found != engine.ranks.end()) {
        append_actions(engine, found->second, on_view(found->second.participant, view, now),
                       actions);
    }
    return actions;
}

engine_rank_actions on_control_reply(engine_ranks& engine, std::string const& id,
                                     std::optional<control_reply> const& reply, time_point now) {
    engine_rank_actions actions;
    bool const accepted = reply && reply->accepted;
    if (auto const call = engine.map_requests.find(id); call != engine.map_requests.end()) {
        map_request const request = call->second;
        engine.map_requests.erase(call);
        if (accepted) {
            auto content = parse_map_content(reply->reply);
            if (content && content.value().map.id == request.map) {
                actions.engine_calls.push_back(
                    {request.rank, request.map, std::move(content.value().map)});
                return actions;
            }
        }
        on_load_failed(engine, request);
        return actions;
    }
    for (auto& [number, rank] : engine.ranks) {
        if (rank.open_query != id) {
            continue;
        }
        rank.open_query.clear();
        if (!accepted) {
            continue;
        }
        if (auto view = parse_map_view(reply->reply)) {
            view.value().fence = reply->term;
            append_actions(engine, rank, on_view(rank.participant, view.value(), now), actions);
        }
    }
    return actions;
}

engine_rank_actions on_engine_loaded(engine_ranks& engine, std::uint32_t rank, std::uint64_t map,
                                     bool loaded) {
    engine_rank_actions actions;
    auto const found = engine.ranks.find(rank);
    if (found == engine.ranks.end()) {
        return actions;
    }
    if (loaded) {
        engine.loading.erase({rank, map});
        append_actions(engine, found->second, on_loaded(found->second.participant, map), actions);
    } else {
        on_load_failed(engine, {rank, map});
    }
    return actions;
}

engine_rank_actions tick_engine_ranks(engine_ranks& engine, time_point now) {
    engine_rank_actions actions;
    for (auto& [number, rank] : engine.ranks) {
        if (rank.waiting_since) {
            append_actions(engine, rank, tick(rank.participant, now), actions);
        }
        log_long_wait(engine, rank, now, actions);
        report_when_due(engine, rank, now, actions);
    }
    return actions;
}

} // namespace fireflycrank
