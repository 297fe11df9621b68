// Tests of the explanation of a choice: it agrees with what the gateway does and changes nothing.
#include "calladmission.h"
#include "choiceexplain.h"
#include "gatewayworld.h"

#include <doctest/doctest.h>

namespace fireflycrank {

namespace {

constexpr unsigned forbidden = 403;

// Keeps the response to an explanation.
class kept_response final : public response_writer {
public:
    void send(unsigned status, header_list /*headers*/, std::string body) override {
        status_ = status;
        body_ = std::move(body);
    }
    void start(unsigned /*status*/, std::string_view /*reason*/, header_list /*headers*/) override {
    }
    void write(std::string_view /*bytes*/) override {}
    void finish() override {}
    void abort() override {}
    [[nodiscard]] std::size_t unsent_bytes() const override { return 0; }
    bool hold(std::size_t /*bytes*/) override { return true; }
    void on_disconnect(std::function<void()> /*handler*/) override {}
    void on_flushed(std::function<void()> /*handler*/) override {}

    [[nodiscard]] unsigned status() const { return status_; }
    [[nodiscard]] std::string const& body() const { return body_; }

private:
    unsigned status_{0};
    std::string body_;
};

nlohmann::json explain(gateway_world& world, std::string const& route) {
    return explain_choice(world.owner, {"h", "/" + route + "/1", {}, 0, {}});
}

nlohmann::json target_named(nlohmann::json const& explanation, std::string const& id) {
    for (auto const& target : explanation.at("targets")) {
        if (target.at("id") == id) {
            return target;
        }
    }
    return nullptr;
}

} // namespace

// Failure: the explanation names another target than the one that the request is sent to.
TEST_CASE("the explained target is the one that the next request goes to") {
    gateway_world world{{}};
    for (int round = 0; round < 20; ++round) {
        if (round == 10) {
            world.add_target("second", world.second.address);
        }
        auto const explanation = explain(world, "idempotent");
        CHECK(explanation.at("outcome") == "send");
        auto random = world.owner.random;
        call_need need;
        need.service = "s";
        need.slack = -typical_first_event_delay;
        auto const choice =
            choose_target(world.owner.targets, "s", "z", filter_for(world.owner, need),
                          world.owner.target_selection, random, loop_now(world.owner.loop));
        CHECK(target_named(explanation, choice.id).at("rating") == "chosen");
        next_bits(world.owner.random);
    }
}

// Failure: an explanation counts as a request, or takes a draw from those of requests.
TEST_CASE("an explanation changes nothing") {
    gateway_world world{{}};
    auto random = world.owner.random;
    explain(world, "resumable");
    explain(world, "idempotent");
    CHECK(next_bits(random) == next_bits(world.owner.random));
    CHECK(world.owner.calls.empty());
    CHECK(world.owner.retry_windows.empty());
    CHECK(world.owner.outages.empty());
    CHECK(world.owner.targets.at("first").own_in_flight == 0);
    CHECK(queued_call_count(world.owner.queue, "s") == 0);
}

// Failure: an operator is told that a request would run where the rules do not allow it.
TEST_CASE("an explanation names why targets are left out") {
    gateway_world world{{}};
    world.add_target("second", world.second.address);
    auto& owner = world.owner;
    owner.targets.at("first").leaving = true;
    auto const leaving = explain(world, "idempotent");
    CHECK(target_named(leaving, "first").at("rating") == "not_ready");
    CHECK(target_named(leaving, "second").at("rating") == "chosen");
    owner.subscriber.evacuations.zones = {"z"};
    auto const evacuated = explain(world, "idempotent");
    CHECK(evacuated.at("outcome") == "refuse");
    CHECK(evacuated.at("reason") == "evacuated_zone");
    CHECK(target_named(evacuated, "second").at("rating") == "evacuated_zone");
    owner.subscriber.evacuations.zones.clear();
    for (auto& [id, view] : owner.targets) {
        view.own_in_flight = view.announcement.slots;
    }
    auto const full = explain(world, "stream");
    CHECK(full.at("outcome") == "wait");
    CHECK(full.at("reason") == "full_target");
    CHECK(explain(world, "unknown").at("reason") == "no_route");
    CHECK(explain_choice(owner, {"h", "/stream/1", "nobody", 0, {}}).at("reason") ==
          "unknown_team");
    owner.config_confirmed = false;
    CHECK(explain(world, "stream").at("reason") == "no_configuration");
}

// Failure: callers read the names and loads of all targets.
TEST_CASE("only the gateway's own VM may ask") {
    gateway_world world{{}};
    incoming_request request;
    request.head.method = "POST";
    request.body = serialize(choice_question{"h", "/idempotent/1", {}, 0, {}});
    request.remote_ip = "127.9.9.9";
    kept_response refused;
    serve_explanation(world.owner, request, refused);
    CHECK(refused.status() == forbidden);
    CHECK(refused.body().find("first") == std::string::npos);
    request.remote_ip = world.owner.settings.ip;
    kept_response answered;
    serve_explanation(world.owner, request, answered);
    CHECK(answered.status() == 200);
    auto const text = render_explanation(nlohmann::json::parse(answered.body()));
    CHECK(text.substr(0, 5) == "send\n");
    CHECK(text.find("id=first") != std::string::npos);
    request.body = "{}";
    kept_response malformed;
    serve_explanation(world.owner, request, malformed);
    CHECK(malformed.status() == 400);
}

} // namespace fireflycrank
