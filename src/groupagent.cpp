#include "groupagent.h"

#include "daemonbase.h"
#include "expertswire.h"
#include "groupapi.h"
#include "log.h"

namespace fireflycrank {

namespace {

constexpr int ok_status = 200;
constexpr int bad_request_status = 400;
constexpr int conflict_status = 409;
constexpr duration engine_load_timeout =
    std::chrono::minutes{10}; // as long as switch_settings::prepare_timeout

void perform_actions(group_agent& agent, engine_rank_actions const& actions);

// Tells the engine to load or unload a map. Runs on a worker thread without the lock.
void call_engine(group_agent& agent, engine_map_call const& call) {
    http_client_request request;
    request.method = "POST";
    request.address = agent.settings.target.engine;
    request.path = "/v1/group/map";
    request.headers = {{"content-type", "application/json"}};
    request.body = engine_map_json(agent.settings.target.group, call);
    request.timeout = engine_load_timeout;
    auto status = std::make_shared<int>(0);
    http_receiver receiver;
    receiver.on_start = [status](int code, http_headers const&) { *status = code; };
    receiver.on_bytes = [](std::string const&) {};
    receiver.on_end = [&agent, status, rank = call.rank, map = call.map,
                       load = call.content.has_value()](result<void> const& outcome) {
        if (!load) {
            return;
        }
        std::lock_guard const lock{agent.mutex};
        perform_actions(agent, on_engine_loaded(agent.engine, rank, map,
                                                outcome.has_value() && *status == ok_status));
    };
    start_http_call(request, std::move(receiver));
}

void perform_actions(group_agent& agent, engine_rank_actions const& actions) {
    time_point const at = now(agent.workers.clock());
    for (control_call const& call : actions.calls) {
        publish_news(*agent.outbox, ask_control(agent.fleet_state, call, control_call_timeout, at));
    }
    for (group_report const& report : actions.reports) {
        for (std::string const& replica : agent.fleet_state.control.replicas) {
            agent.outbox->send(replica, group_report_type, serialize(report));
        }
    }
    for (engine_map_call const& call : actions.engine_calls) {
        agent.workers.post([&agent, call] { call_engine(agent, call); });
    }
    for (fleet_log const& line : actions.logs) {
        log_event(*line.kind, line.fields);
    }
}

} // namespace

bool on_map_view_message(group_agent& agent, inbound_message const& message, time_point now) {
    if (message.type != map_view_type) {
        return false;
    }
    if (auto const view = parse_map_view(message.body)) {
        perform_actions(agent, on_map_view(agent.engine, view.value(), now));
    }
    return true;
}

void on_control_replies(group_agent& agent, fleet_news const& output, time_point now) {
    for (auto const& [id, reply] : output.replies) {
        perform_actions(agent, on_control_reply(agent.engine, id, reply, now));
    }
}

void tick_group(group_agent& agent, time_point now) {
    perform_actions(agent, tick_engine_ranks(agent.engine, now));
}

void serve_step(group_agent& agent, std::string const& body, http_response& response,
                time_point now) {
    auto const request = parse_step_request(body);
    if (!request) {
        response.send(bad_request_status, {}, describe(request.error()) + "\n");
        return;
    }
    engine_rank_actions actions;
    step_answer const answer = on_step_request(agent.engine, request.value(), now, actions);
    perform_actions(agent, actions);
    response.send(answer.accepted ? ok_status : conflict_status,
                  {{"content-type", "application/json"}}, step_answer_json(answer));
}

} // namespace fireflycrank
