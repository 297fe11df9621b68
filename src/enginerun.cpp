#include "enginerun.h"

#include <nlohmann/json.hpp>

namespace fireflycrank {

namespace {

constexpr duration probe_timeout = std::chrono::seconds{2};
constexpr double bytes_per_token = 4;
constexpr int ok_status = 200;
constexpr int server_error_status = 500;

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
    return start_http_call(
        call, {[on_start = std::move(callbacks.on_start)](int status, http_headers const& headers) {
                   auto const type = headers.find("content-type");
                   on_start(static_cast<std::uint32_t>(status),
                            type == headers.end() ? "application/octet-stream" : type->second);
               },
               std::move(callbacks.on_bytes),
               [on_end = std::move(callbacks.on_end)](result<void> const& outcome) {
                   if (outcome) {
                       on_end(engine_run_end::complete, "");
                   } else {
                       on_end(outcome.error().kind == error_kind::unreachable
                                  ? engine_run_end::not_connected
                                  : engine_run_end::connection_lost,
                              outcome.error().message);
                   }
               }});
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
