#include "enginerun.h"

#include "eventsplit.h"
#include "httpmessage.h"
#include "responseend.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace fireflycrank {

namespace {

constexpr duration probe_timeout = std::chrono::seconds{2};
constexpr double bytes_per_token = 4;
constexpr int ok_status = 200;
constexpr int server_error_status = 500;

// What the end of a run is judged by.
struct run_watch {
    std::string address;
    response_end end;
    std::string last_bytes;
    std::function<void(engine_run_end end, std::string reason)> on_end;
};

body_framing framing_of(http_headers const& headers) {
    if (headers.contains("transfer-encoding")) {
        return body_framing::chunks;
    }
    return headers.contains("content-length") ? body_framing::length : body_framing::connection;
}

void watch_start(run_watch& watch, http_headers const& headers, std::string const& type) {
    watch.end.framing = framing_of(headers);
    watch.end.stream = type.starts_with("text/event-stream");
}

void watch_bytes(run_watch& watch, std::string_view bytes) {
    watch.end.has_event = watch.end.has_event || !bytes.empty();
    watch.last_bytes.append(bytes);
    watch.last_bytes.erase(0, watch.last_bytes.size() -
                                  std::min(watch.last_bytes.size(), longest_event_end));
}

// Ends a run whose response ended without an error.
void judge_run(std::shared_ptr<run_watch> const& watch) {
    watch->end.cut = watch->end.has_event && !ends_event(watch->last_bytes);
    switch (judge_response_end(watch->end)) {
    case response_verdict::complete:
        watch->on_end(engine_run_end::complete, "");
        return;
    case response_verdict::broken:
        watch->on_end(engine_run_end::connection_lost, "the engine ended inside its response");
        return;
    case response_verdict::check_target:
        probe_engine(watch->address, [watch](bool up) {
            watch->end.target_runs = up;
            judge_run(watch);
        });
    }
}

} // namespace

std::shared_ptr<http_call> start_engine_run(engine_request const& request,
                                            engine_run_callbacks callbacks) {
    http_client_request call;
    call.method = request.method;
    call.address = request.address;
    call.path = request.path;
    call.body = request.body;
    call.timeout = request.timeout;
    call.headers["content-type"] = request.content_type;
    call.headers["x-request-id"] = request.id;
    call.headers["x-priority"] = std::to_string(request.priority);
    auto const watch = std::make_shared<run_watch>();
    watch->address = request.address;
    watch->on_end = std::move(callbacks.on_end);
    http_receiver receiver;
    receiver.on_start =
        [watch, on_start = std::move(callbacks.on_start)](int status, http_headers const& headers) {
            auto const found = headers.find("content-type");
            auto const type = found == headers.end() ? "application/octet-stream" : found->second;
            watch_start(*watch, headers, type);
            on_start(static_cast<std::uint32_t>(status), type);
        };
    receiver.on_bytes = [watch, on_bytes = std::move(callbacks.on_bytes)](std::string bytes) {
        watch_bytes(*watch, bytes);
        on_bytes(std::move(bytes));
    };
    receiver.on_end = [watch](result<void> const& outcome) {
        if (outcome) {
            judge_run(watch);
            return;
        }
        watch->on_end(outcome.error().kind == error_kind::unreachable
                          ? engine_run_end::not_connected
                          : engine_run_end::connection_lost,
                      outcome.error().message);
    };
    return start_http_call(call, std::move(receiver));
}

void set_run_paused(std::string const& address, std::string const& id, bool pause,
                    std::function<void(bool done)> on_result) {
    http_client_request call;
    call.method = "POST";
    call.address = address;
    call.path = pause ? "/v1/control/pause" : "/v1/control/resume";
    call.headers["content-type"] = "application/json";
    call.body = nlohmann::json{{"request_id", id}}.dump();
    call.timeout = probe_timeout;
    auto const status = std::make_shared<int>(0);
    start_http_call(call, {[status](int received, http_headers const&) { *status = received; },
                           [](std::string const&) {},
                           [status, on_result = std::move(on_result)](result<void> const& outcome) {
                               on_result(outcome && *status == ok_status);
                           }});
}

void probe_engine(std::string const& address, std::function<void(bool up)> on_result) {
    http_client_request call;
    call.address = address;
    call.path = "/health";
    call.timeout = probe_timeout;
    auto const status = std::make_shared<int>(0);
    start_http_call(call, {[status](int received, http_headers const&) { *status = received; },
                           [](std::string const&) {},
                           [status, on_result = std::move(on_result)](result<void> const& outcome) {
                               on_result(outcome && *status < server_error_status);
                           }});
}

double count_tokens(std::string_view bytes, bool streamed) {
    if (!streamed) {
        return static_cast<double>(bytes.size()) / bytes_per_token;
    }
    double tokens = 0;
    constexpr std::string_view mark = "data:";
    for (auto at = bytes.find(mark); at != std::string_view::npos;
         at = bytes.find(mark, at + mark.size())) {
        ++tokens;
    }
    return tokens;
}

} // namespace fireflycrank
