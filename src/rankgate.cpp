#include "rankgate.h"

#include "expertswire.h"

#include <algorithm>

namespace fireflycrank {

namespace {

constexpr duration report_period = std::chrono::seconds{1};
// During a switch a new leader must learn quickly where the ranks are and what they have promised.
constexpr duration switch_report_period = std::chrono::milliseconds{200};
constexpr duration long_wait = std::chrono::seconds{1};

std::string next_call(rank_gates& gates) {
    return gates.process + "/map/" + std::to_string(gates.incarnation) + "/" +
           std::to_string(gates.next_call++);
}

void ask_content(rank_gates& gates, std::uint32_t rank, std::uint64_t map, rank_gate_actions& all) {
    // Every view asks for what is missing, also while it is on its way.
    if (!gates.loading.insert({rank, map}).second) {
        return;
    }
    map_table_query question;
    question.group = gates.group;
    question.map_id = map;
    std::string const id = next_call(gates);
    gates.contents[id] = {rank, map};
    all.calls.push_back({id, map_table_kind, serialize(question), true});
}

void append(rank_gates& gates, gated_rank& rank, participant_actions&& actions,
            rank_gate_actions& all) {
    for (rank_report& report : actions.reports) {
        all.reports.push_back({gates.model, std::move(report), {}});
    }
    for (map_view_query const& ask : actions.queries) {
        // One question at a time: control resends it to the next leader by itself.
        if (rank.open_ask.empty()) {
            map_table_query question;
            question.view_query = ask;
            rank.open_ask = next_call(gates);
            all.calls.push_back({rank.open_ask, map_table_kind, serialize(question), true});
        }
    }
    for (std::uint64_t const map : actions.fetch) {
        ask_content(gates, rank.state.rank, map, all);
    }
    for (std::uint64_t const map : actions.unload) {
        gates.loading.erase({rank.state.rank, map});
        all.engine.push_back({rank.state.rank, map, std::nullopt});
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

// Lets the next view fetch the map again.
void load_failed(rank_gates& gates, content_call const& call) {
    gates.loading.erase({call.rank, call.map});
    auto const found = gates.ranks.find(call.rank);
    if (found != gates.ranks.end() && found->second.state.fetching_map == call.map) {
        found->second.state.fetching_map = 0;
    }
}

// Finds the rank. The first question after the agent's start tells the rank's next step; only then
// may it promise anything.
gated_rank& rank_at(rank_gates& gates, std::uint32_t number, std::uint64_t step) {
    auto const [found, fresh] = gates.ranks.try_emplace(number);
    gated_rank& rank = found->second;
    if (fresh) {
        rank.state.group = gates.group;
        rank.state.rank = number;
        rank.state.incarnation = gates.incarnation;
        set_rejoin_step(rank.state, step);
    }
    return rank;
}

// A group that went on without the rank names a later step; the rank then asks again.
void skip_to(rank_gates& gates, gated_rank& rank, std::uint64_t step, time_point now,
             rank_gate_actions& actions) {
    rank.state.next_step = step;
    rank.state.last_map = 0;
    rank.open_ask.clear();
    append(gates, rank, resync(rank.state, now), actions);
}

void log_wait(rank_gates const& gates, gated_rank& rank, time_point now, rank_gate_actions& all) {
    if (!rank.waiting_since || rank.wait_logged || now < *rank.waiting_since + long_wait) {
        return;
    }
    rank.wait_logged = true;
    all.logs.push_back({&events::rank_waiting,
                        {{"group", gates.group},
                         {"rank", rank.state.rank},
                         {"step", rank.state.next_step},
                         {"reason", name_of(check_next_step(rank.state).status)}}});
}

void report_when_due(rank_gates const& gates, gated_rank& rank, time_point now,
                     rank_gate_actions& all) {
    if (now < rank.report_at) {
        return;
    }
    rank.report_at =
        now + (rank.state.view.phase == switch_phase::none ? report_period : switch_report_period);
    group_report report{gates.model, make_rank_report(rank.state), std::move(rank.counts)};
    rank.counts.clear();
    all.reports.push_back(std::move(report));
}

} // namespace

rank_gates make_rank_gates(process_config const& settings, std::uint64_t incarnation) {
    rank_gates gates;
    target_config const& target = settings.target;
    gates.group = target.group;
    gates.process = settings.name;
    gates.incarnation = incarnation;
    gates.configured = {target.ranks.begin(), target.ranks.end()};
    if (!target.serves.empty()) {
        std::string const& served = target.serves.front();
        gates.model = served.substr(0, served.find('@'));
    }
    return gates;
}

step_answer on_step_request(rank_gates& gates, step_request const& request, time_point now,
                            rank_gate_actions& actions) {
    if (!gates.configured.contains(request.rank)) {
        return {false, false, 0, "unknown_rank"};
    }
    gated_rank& rank = rank_at(gates, request.rank, request.step);
    if (rank.state.last_map != 0 && request.step + 1 == rank.state.next_step) {
        return {true, true, rank.state.last_map, name_of(gate_reason::run)};
    }
    if (request.step < rank.state.next_step) {
        return {false, false, 0, "step_already_run"};
    }
    if (request.step > rank.state.next_step) {
        skip_to(gates, rank, request.step, now, actions);
    }
    step_check const open = check_next_step(rank.state);
    if (open.status != gate_reason::run) {
        rank.waiting_since = rank.waiting_since.value_or(now);
        append(gates, rank, tick(rank.state, now), actions);
        return {true, false, 0, name_of(open.status)};
    }
    if (rank.wait_logged) {
        actions.logs.push_back({&events::rank_running,
                                {{"group", gates.group},
                                 {"rank", request.rank},
                                 {"step", request.step},
                                 {"map", open.map}}});
    }
    rank.waiting_since.reset();
    rank.wait_logged = false;
    add_counts(rank.counts, request.counts);
    on_step_started(rank.state);
    return {true, true, open.map, name_of(open.status)};
}

rank_gate_actions on_map_view(rank_gates& gates, map_view_message const& view, time_point now) {
    rank_gate_actions all;
    auto const found = gates.ranks.find(view.rank);
    if (view.group == gates.group && found != gates.ranks.end()) {
        append(gates, found->second, on_view(found->second.state, view, now), all);
    }
    return all;
}

rank_gate_actions on_map_reply(rank_gates& gates, std::string const& id,
                               std::optional<control_reply> const& reply, time_point now) {
    rank_gate_actions all;
    bool const accepted = reply && reply->accepted;
    if (auto const call = gates.contents.find(id); call != gates.contents.end()) {
        content_call const wanted = call->second;
        gates.contents.erase(call);
        if (accepted) {
            auto content = parse_map_content(reply->reply);
            if (content && content.value().map.id == wanted.map) {
                all.engine.push_back({wanted.rank, wanted.map, std::move(content.value().map)});
                return all;
            }
        }
        load_failed(gates, wanted);
        return all;
    }
    for (auto& [number, rank] : gates.ranks) {
        if (rank.open_ask != id) {
            continue;
        }
        rank.open_ask.clear();
        if (!accepted) {
            continue;
        }
        if (auto view = parse_map_view(reply->reply)) {
            view.value().fence = reply->term;
            append(gates, rank, on_view(rank.state, view.value(), now), all);
        }
    }
    return all;
}

rank_gate_actions on_engine_loaded(rank_gates& gates, std::uint32_t rank, std::uint64_t map,
                                   bool loaded) {
    rank_gate_actions all;
    auto const found = gates.ranks.find(rank);
    if (found == gates.ranks.end()) {
        return all;
    }
    if (loaded) {
        gates.loading.erase({rank, map});
        append(gates, found->second, on_loaded(found->second.state, map), all);
    } else {
        load_failed(gates, {rank, map});
    }
    return all;
}

rank_gate_actions tick_rank_gates(rank_gates& gates, time_point now) {
    rank_gate_actions all;
    for (auto& [number, rank] : gates.ranks) {
        if (rank.waiting_since) {
            append(gates, rank, tick(rank.state, now), all);
        }
        log_wait(gates, rank, now, all);
        report_when_due(gates, rank, now, all);
    }
    return all;
}

} // namespace fireflycrank
