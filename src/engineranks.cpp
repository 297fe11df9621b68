#include "engineranks.h"

#include "expertswire.h"

#include <algorithm>

namespace fireflycrank {

namespace {

constexpr duration report_period = std::chrono::seconds{1};
// During a switch a new leader must learn quickly where the ranks are and what they have promised.
constexpr duration switch_report_period = std::chrono::milliseconds{200};
constexpr duration long_wait = std::chrono::seconds{1};

std::string next_call(engine_ranks& gates) {
    return gates.process_name + "/map/" + std::to_string(gates.incarnation) + "/" +
           std::to_string(gates.next_call_number++);
}

void ask_content(engine_ranks& gates, std::uint32_t rank, std::uint64_t map,
                 engine_rank_actions& all) {
    // Every view asks for what is missing, also while it is on its way.
    if (!gates.loading.insert({rank, map}).second) {
        return;
    }
    map_table_query question;
    question.group = gates.group;
    question.map_id = map;
    std::string const id = next_call(gates);
    gates.map_requests[id] = {rank, map};
    all.calls.push_back({id, map_table_kind, serialize(question), true});
}

void append(engine_ranks& gates, engine_rank& rank, participant_actions&& actions,
            engine_rank_actions& all) {
    for (rank_report& report : actions.reports) {
        all.reports.push_back({gates.model, std::move(report), {}});
    }
    for (map_view_query const& ask : actions.queries) {
        // One question at a time: control resends it to the next leader by itself.
        if (rank.open_query.empty()) {
            map_table_query question;
            question.view_query = ask;
            rank.open_query = next_call(gates);
            all.calls.push_back({rank.open_query, map_table_kind, serialize(question), true});
        }
    }
    for (std::uint64_t const map : actions.fetch) {
        ask_content(gates, rank.participant.rank, map, all);
    }
    for (std::uint64_t const map : actions.unload) {
        gates.loading.erase({rank.participant.rank, map});
        all.engine_calls.push_back({rank.participant.rank, map, std::nullopt});
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
void load_failed(engine_ranks& gates, map_request const& call) {
    gates.loading.erase({call.rank, call.map});
    auto const found = gates.ranks.find(call.rank);
    if (found != gates.ranks.end() && found->second.participant.fetching_map == call.map) {
        found->second.participant.fetching_map = 0;
    }
}

// Finds the rank. The first question after the agent's start tells the rank's next step; only then
// may it promise anything.
engine_rank& rank_at(engine_ranks& gates, std::uint32_t number, std::uint64_t step) {
    auto const [found, fresh] = gates.ranks.try_emplace(number);
    engine_rank& rank = found->second;
    if (fresh) {
        rank.participant.group = gates.group;
        rank.participant.rank = number;
        rank.participant.incarnation = gates.incarnation;
        set_rejoin_step(rank.participant, step);
    }
    return rank;
}

// A group that went on without the rank names a later step; the rank then asks again.
void skip_to(engine_ranks& gates, engine_rank& rank, std::uint64_t step, time_point now,
             engine_rank_actions& actions) {
    rank.participant.next_step = step;
    rank.participant.last_map = 0;
    rank.open_query.clear();
    append(gates, rank, resync(rank.participant, now), actions);
}

void log_wait(engine_ranks const& gates, engine_rank& rank, time_point now,
              engine_rank_actions& all) {
    if (!rank.waiting_since || rank.wait_logged || now < *rank.waiting_since + long_wait) {
        return;
    }
    rank.wait_logged = true;
    all.logs.push_back({&events::rank_waiting,
                        {{"group", gates.group},
                         {"rank", rank.participant.rank},
                         {"step", rank.participant.next_step},
                         {"reason", name_of(check_next_step(rank.participant).status)}}});
}

void report_when_due(engine_ranks const& gates, engine_rank& rank, time_point now,
                     engine_rank_actions& all) {
    if (now < rank.next_report_at) {
        return;
    }
    rank.next_report_at =
        now +
        (rank.participant.view.phase == switch_phase::none ? report_period : switch_report_period);
    group_report report{gates.model, make_rank_report(rank.participant), std::move(rank.counts)};
    rank.counts.clear();
    all.reports.push_back(std::move(report));
}

} // namespace

engine_ranks make_engine_ranks(process_config const& settings, std::uint64_t incarnation) {
    engine_ranks gates;
    target_config const& target = settings.target;
    gates.group = target.group;
    gates.process_name = settings.name;
    gates.incarnation = incarnation;
    gates.configured_ranks = {target.ranks.begin(), target.ranks.end()};
    if (!target.serves.empty()) {
        std::string const& served = target.serves.front();
        gates.model = served.substr(0, served.find('@'));
    }
    return gates;
}

step_answer on_step_request(engine_ranks& gates, step_request const& request, time_point now,
                            engine_rank_actions& actions) {
    if (!gates.configured_ranks.contains(request.rank)) {
        return {false, false, 0, "unknown_rank"};
    }
    engine_rank& rank = rank_at(gates, request.rank, request.step);
    if (rank.participant.last_map != 0 && request.step + 1 == rank.participant.next_step) {
        return {true, true, rank.participant.last_map, name_of(step_status::run)};
    }
    if (request.step < rank.participant.next_step) {
        return {false, false, 0, "step_already_run"};
    }
    if (request.step > rank.participant.next_step) {
        skip_to(gates, rank, request.step, now, actions);
    }
    step_check const open = check_next_step(rank.participant);
    if (open.status != step_status::run) {
        rank.waiting_since = rank.waiting_since.value_or(now);
        append(gates, rank, tick(rank.participant, now), actions);
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
    on_step_started(rank.participant);
    return {true, true, open.map, name_of(open.status)};
}

engine_rank_actions on_map_view(engine_ranks& gates, map_view_message const& view, time_point now) {
    engine_rank_actions all;
    auto const found = gates.ranks.find(view.rank);
    if (view.group == gates.group && found != gates.ranks.end()) {
        append(gates, found->second, on_view(found->second.participant, view, now), all);
    }
    return all;
}

engine_rank_actions on_control_reply(engine_ranks& gates, std::string const& id,
                                     std::optional<control_reply> const& reply, time_point now) {
    engine_rank_actions all;
    bool const accepted = reply && reply->accepted;
    if (auto const call = gates.map_requests.find(id); call != gates.map_requests.end()) {
        map_request const wanted = call->second;
        gates.map_requests.erase(call);
        if (accepted) {
            auto content = parse_map_content(reply->reply);
            if (content && content.value().map.id == wanted.map) {
                all.engine_calls.push_back(
                    {wanted.rank, wanted.map, std::move(content.value().map)});
                return all;
            }
        }
        load_failed(gates, wanted);
        return all;
    }
    for (auto& [number, rank] : gates.ranks) {
        if (rank.open_query != id) {
            continue;
        }
        rank.open_query.clear();
        if (!accepted) {
            continue;
        }
        if (auto view = parse_map_view(reply->reply)) {
            view.value().fence = reply->term;
            append(gates, rank, on_view(rank.participant, view.value(), now), all);
        }
    }
    return all;
}

engine_rank_actions on_engine_loaded(engine_ranks& gates, std::uint32_t rank, std::uint64_t map,
                                     bool loaded) {
    engine_rank_actions all;
    auto const found = gates.ranks.find(rank);
    if (found == gates.ranks.end()) {
        return all;
    }
    if (loaded) {
        gates.loading.erase({rank, map});
        append(gates, found->second, on_loaded(found->second.participant, map), all);
    } else {
        load_failed(gates, {rank, map});
    }
    return all;
}

engine_rank_actions tick_engine_ranks(engine_ranks& gates, time_point now) {
    engine_rank_actions all;
    for (auto& [number, rank] : gates.ranks) {
        if (rank.waiting_since) {
            append(gates, rank, tick(rank.participant, now), all);
        }
        log_wait(gates, rank, now, all);
        report_when_due(gates, rank, now, all);
    }
    return all;
}

} // namespace fireflycrank
