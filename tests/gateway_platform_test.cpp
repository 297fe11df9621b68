// Tests of the platform adapter: what it decodes and rejects, and that no input makes it fail
// otherwise.
#include "platform/callheaders.h"
#include "platform/engineprotocol.h"
#include "platform/operatorconfig.h"
#include "platform/settingsfile.h"
#include "rng.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;

std::string const valid_config = R"({"version":7,
 "routes":[
  {"name":"r1","host":"Ficu95.example","path_prefix":"/lohu930/","route_type":"streaming",
   "timeout_ms":8000,"target_latency_ms":400,"priority":1,"max_attempts":2,"public":false,
   "stream_resume":true,"itl_target_ms":120,
   "traffic_split":[{"service":"a","weight":90},{"service":"b","weight":10}]},
  {"name":"r2","host":"ficu95.example","path_prefix":"/lohu930/x/","route_type":"non_idempotent",
   "timeout_ms":800,"service":"b","max_attempts":1,"public":true}],
 "services":[{"name":"a","health_check_path":"/healthz","max_connections":418,
   "inference_engine":{"slots":12,"expert_sets":6,"experts":64,"placements":11,"spare_count":4,
     "chunk":512,"pairs_per_m":0.5,"usual":{"prompt":835,"answer":159}}},{"name":"b"}],
 "limits":{"max_header_bytes":1000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1},{"name":"t2","api_keys":["k3"]}]})";

std::string replaced(std::string text, std::string const& from, std::string const& to) {
    auto const at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

bool is_valid(std::string const& content) {
    auto decoded = platform::decode_configuration(content);
    return decoded && index_config(decoded.value());
}

std::string const valid_heartbeat =
    R"({"service":"a","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":12,)"
    R"("state":"ready","cold_remaining_ms":0,"sequence":4,"born":1775642652120})";

} // namespace

TEST_CASE("a configuration is decoded and indexed") {
    auto decoded = platform::decode_configuration(valid_config);
    REQUIRE(decoded);
    REQUIRE(index_config(decoded.value()));
    auto const& config = decoded.value();
    CHECK(config.version == 7);
    CHECK(config.has_teams);
    auto const* const stream = find_route(config, "FICU95.example:80", "/lohu930/2f?x=1");
    REQUIRE(stream != nullptr);
    CHECK(stream->kind == call_kind::stream);
    CHECK(stream->needs_key);
    CHECK(stream->timeout == milliseconds{8'000});
    CHECK(stream->resumable);
    auto const* const longest = find_route(config, "ficu95.example", "/lohu930/x/y");
    REQUIRE(longest != nullptr);
    CHECK(longest->name == "r2");
    CHECK(longest->kind == call_kind::once);
    CHECK_FALSE(longest->needs_key);
    CHECK(find_route(config, "ficu95.example", "/other/") == nullptr);
    CHECK(find_route(config, "other", "/lohu930/") == nullptr);
    CHECK(find_team(config, "k2")->name == "t1");
    CHECK(find_team(config, "k9") == nullptr);
    CHECK(find_service(config, "a")->engine->expert_sets == 6);
    CHECK(find_service(config, "a")->engine->read_tokens_per_step == 512);
    CHECK(find_service(config, "a")->engine->read_million_pairs.count() == 0.5);
    CHECK(config.limits.header_bytes == 1'000);
    CHECK(pick_service(*stream, 0.89) == "a");
    CHECK(pick_service(*stream, 0.91) == "b");
    CHECK(pick_service(*stream, 0.999999) == "b");
}

TEST_CASE("each kind of invalid configuration is rejected") {
    CHECK(is_valid(valid_config));
    CHECK_FALSE(is_valid(valid_config.substr(0, valid_config.size() / 2)));
    CHECK_FALSE(is_valid(replaced(valid_config, R"("service":"b","max_attempts")",
                                  R"("service":"nobody","max_attempts")")));
    CHECK_FALSE(is_valid(replaced(valid_config, "/lohu930/x/", "/lohu930/")));
    CHECK_FALSE(is_valid(replaced(replaced(valid_config, R"("weight":90)", R"("weight":0)"),
                                  R"("weight":10)", R"("weight":0)")));
    CHECK_FALSE(is_valid(replaced(valid_config, R"("timeout_ms":800,)", R"("timeout_ms":0,)")));
    CHECK_FALSE(is_valid(replaced(valid_config, R"(["k3"])", R"(["k1"])")));
    CHECK_FALSE(is_valid(replaced(valid_config, R"("version":7)", R"("version":"7")")));
    CHECK_FALSE(is_valid(replaced(valid_config, R"("version":7)", R"("version":-7)")));
    CHECK_FALSE(is_valid("[]"));
    CHECK_FALSE(is_valid(""));
}

// A heartbeat of another format must neither add a target nor affect others.
TEST_CASE("malformed heartbeats are rejected") {
    auto const heartbeat = platform::decode_heartbeat("i-1", valid_heartbeat);
    REQUIRE(heartbeat);
    CHECK(heartbeat->state == target_phase::ready);
    CHECK(heartbeat->sequence == 4);
    CHECK(heartbeat->started_at == wall_time{milliseconds{1'775'642'652'120}});
    for (auto const& edit : std::vector<std::pair<std::string, std::string>>{
             {R"("state":"ready")", R"("state":"resting")"},
             {R"("state":"ready",)", ""},
             {R"("slots":12)", R"("slots":"many")"},
             {R"("sequence":4)", R"("sequence":"4")"},
             {R"("sequence":4)", R"("sequence":-4)"},
             {R"("born":1775642652120)", R"("born":1.5)"},
             {R"(,"born":1775642652120)", ""},
             {R"("address":"10.0.0.9:8080")", R"("address":[1])"}}) {
        CAPTURE(edit.second);
        CHECK_FALSE(
            platform::decode_heartbeat("i-1", replaced(valid_heartbeat, edit.first, edit.second)));
    }
    CHECK_FALSE(platform::decode_heartbeat("", valid_heartbeat));
    CHECK_FALSE(platform::decode_heartbeat("i-1", "\xff\xfe{"));
}

TEST_CASE("a request to a target carries the team and the remaining time, never the caller's key") {
    message_head head;
    head.method = "POST";
    head.target = "/lohu930/2f";
    head.headers = {{"Host", "h"},
                    {"Attempt-Id", "a1"},
                    {"credential", "secret"},
                    {"Tenant", "forged"},
                    {"Deadline-Ms", "8000"},
                    {"Last-Event-Id", "3"},
                    {"Connection", "X-Own"},
                    {"X-Own", "1"},
                    {"Token-Usage", "1460,80"},
                    {"Prompt-Prefix", "5c1e:800,91bd:410"}};
    auto const call = platform::decode_caller_request(head);
    CHECK(call.attempt_id == "a1");
    CHECK(call.api_key == "secret");
    CHECK(call.time_limit == milliseconds{8'000});
    CHECK(call.last_event_id == 3);
    CHECK(call.prompt_tokens == 1'460);
    CHECK(call.max_output_tokens == 80);
    REQUIRE(call.prompt.size() == 2);
    CHECK(call.prompt[1].tokens == 410);
    auto const fields =
        platform::encode_target_headers(head, {"i-9", "team", milliseconds{700}, 4U, 12U});
    CHECK(find_header(fields, "Credential") == nullptr);
    CHECK(find_header(fields, "X-Own") == nullptr);
    CHECK(*find_header(fields, "Tenant") == "team");
    CHECK(*find_header(fields, "Deadline-Ms") == "700");
    CHECK(*find_header(fields, "Expected-Instance") == "i-9");
    CHECK(*find_header(fields, "Last-Event-Id") == "12");
    CHECK(*find_header(fields, "Token-Usage") == "1460,80");
    CHECK(std::count_if(fields.begin(), fields.end(), [](header_field const& field) {
              return same_token(field.name, "tenant") || same_token(field.name, "last-event-id");
          }) == 2);
}

TEST_CASE("a target's response states whether the request has run") {
    message_head head;
    head.status = 503;
    head.headers = {{"Not-Executed", "1"}, {"Server-Load", "3,1,8"}, {"At-Server", "i-2"}};
    auto const refused = platform::decode_target_response(head);
    CHECK(refused.not_executed);
    CHECK(refused.load->waiting == 1);
    CHECK(refused.faulty_target_id == "i-2");
    head.headers.clear();
    CHECK_FALSE(platform::decode_target_response(head).not_executed);
    head.status = 421;
    CHECK(platform::decode_target_response(head).not_executed);
    auto const fields = platform::gateway_response_headers("a1", milliseconds{1'250});
    CHECK(*find_header(fields, "Retry-After") == "1.25");
}

TEST_CASE("requests for gateway addresses are decoded and answered") {
    message_head head;
    head.method = "GET";
    head.target = "/-/resolve?name=ficu95.example&region=cr%2Dcentral&zone=heredia";
    auto const question = platform::decode_resolve_request(head);
    REQUIRE(question);
    CHECK(question->region == "cr-central");
    head.target = "/-/other";
    CHECK_FALSE(platform::decode_resolve_request(head));
    CHECK(platform::encode_resolve_response({"10.1.0.40:8227"}, std::chrono::seconds{2}) ==
          R"({"addresses":["10.1.0.40:8227"],"ttl_s":2})");
}

TEST_CASE("an engine's report, counts and experts are decoded") {
    auto const report = platform::decode_report(
        R"({"group":{"name":"g0-0","epoch":1,"rank":2,"state":"open"},"size":8,"busy":false,)"
        R"("sequence":3,"queued":1,"active":4,"kv_allocated":2,"kv_capacity":9,"pace":1.5,)"
        R"("born":1775642652293,"step":18,"placement_map":7,"is_prepared":9,)"
        R"("is_armed":{"version":9,"step":20},"held":20})");
    REQUIRE(report);
    CHECK(report->group->rank == 2);
    CHECK(report->group->size == 8);
    CHECK(report->pass == 18);
    CHECK(report->map_version == 7);
    CHECK(report->prepared_version == 9);
    CHECK(report->armed->pass == 20);
    CHECK(report->held_pass == 20);
    auto const idle = platform::decode_report(R"({"active":0,"is_prepared":null,"held":null})");
    REQUIRE(idle);
    CHECK_FALSE(idle->group);
    CHECK_FALSE(idle->held_pass);
    CHECK(platform::decode_counts(R"({"step":1,"epoch":2,"counts":[1,2]})")->counts.size() == 2);
    CHECK(platform::decode_experts(R"({"placement_map":{"version":0,"experts":[[0,8],[1]]}})")
              ->front()
              .size() == 2);
    platform::engine_command order;
    order.map = {{{0}, {1}}, {{2}, {3}}};
    order.version = 4;
    CHECK(platform::encode_command_request("h", order).find("[[[0],[2]],[[1],[3]]]") !=
          std::string::npos);
}

TEST_CASE("settings: unknown fields are ignored, missing required ones are rejected") {
    std::string const text = "node_name: \"edge-1\"\nip: \"10.1.0.40\"\nzone: \"a\"\n"
                             "internal_ports:\n  - 7340\n  - 7355\nseed_nodes:\n"
                             "  - \"10.1.0.43:8229\"\nbootstrap: true\ndata_dir: null\n"
                             "new_field:\n  - 1\nlisten:\n  frontend: \"10.1.0.40:8227\"\n"
                             "bounds:\n  grace_s: 8\n  retry_budget_ratio: 0.2\n";
    auto const settings = platform::decode_settings(text);
    REQUIRE(settings);
    CHECK(settings.value().first_start);
    CHECK(settings.value().data_folder.empty());
    CHECK(settings.value().seeds.size() == 1);
    CHECK(settings.value().bounds.grace == milliseconds{8'000});
    CHECK_FALSE(platform::decode_settings("ip: \"1.2.3.4\"\n"));
    CHECK_FALSE(platform::decode_settings("[1, 2]"));
    CHECK_FALSE(platform::decode_settings("a: [b\n"));
}

// Regression: of two values for one key the first one counted, without a word.
TEST_CASE("a settings file with a key that stands twice is refused, and the error names the key") {
    std::string const text = "ip: \"1.2.3.4\"\ninternal_ports: [8240, 8256]\n"
                             "limits: {memory_mb: 256}\nbounds:\n  grace_s: 8\n";
    REQUIRE(platform::decode_settings(text));
    for (auto const& one :
         {std::pair{"ip: \"1.2.3.5\"\n", "ip"}, std::pair{"  grace_s: 9\n", "bounds.grace_s"},
          std::pair{"extra: [{a: 1, a: 2}]\n", "extra.a"}}) {
        auto const key = std::string{"\""} + one.second + "\"";
        CAPTURE(key);
        auto const settings = platform::decode_settings(text + one.first);
        REQUIRE_FALSE(settings);
        CHECK(settings.error().message.find(key) != std::string::npos);
    }
    CHECK(platform::decode_settings(text + "itself: &itself [*itself]\n"));
}

// Decoders must accept or reject any bytes from outside without a crash or an uncaught exception.
TEST_CASE("damaged input never crashes a decoder") {
    rng random{9};
    std::vector<std::string> const samples{valid_config, valid_heartbeat,
                                           R"({"group":{"name":1},"is_armed":[1],"held":{}})"};
    for (int round = 0; round < 4'000; ++round) {
        auto text = samples[next_below(random, samples.size())];
        for (std::uint64_t edits = 1 + next_below(random, 4); edits > 0; --edits) {
            auto const at = next_below(random, text.size());
            switch (next_below(random, 3)) {
            case 0:
                text[at] = static_cast<char>(next_bits(random));
                break;
            case 1:
                text.erase(at, next_below(random, 9));
                break;
            default:
                text.insert(at, text.substr(next_below(random, text.size()), 5));
            }
            if (text.empty()) {
                break;
            }
        }
        (void)is_valid(text);
        (void)platform::decode_heartbeat("i", text);
        (void)platform::decode_report(text);
        (void)platform::decode_counts(text);
        (void)platform::decode_experts(text);
        (void)platform::decode_settings(text);
        message_reader reader{http_kind::request, 1'024, 1'024};
        (void)reader.put("POST / HTTP/1.1\r\n" + text + "\r\n\r\n");
    }
    CHECK(is_valid(valid_config));
}

} // namespace fireflycrank
