#include "choiceexplain.h"

#include "calladmission.h"
#include "gateway.h"
#include "http.h"

#include <algorithm>
#include <sstream>

namespace fireflycrank {

namespace {

constexpr unsigned ok_status = 200;
constexpr unsigned bad_request = 400;
constexpr unsigned forbidden = 403;
constexpr unsigned method_not_allowed = 405;
constexpr std::chrono::seconds fetch_timeout{5};

char const* name_of(target_exclusion exclusion) {
    switch (exclusion) {
    case target_exclusion::not_ready:
        return "not_ready";
    case target_exclusion::tried:
        return "tried";
    case target_exclusion::evacuated_zone:
        return "evacuated_zone";
    case target_exclusion::foreign_region:
        return "foreign_region";
    case target_exclusion::paused:
        return "paused";
    case target_exclusion::cold:
        return "cold_part_used";
    default:
        return "candidate";
    }
}

char const* name_of(health_level health) {
    switch (health) {
    case health_level::suspect:
        return "suspect";
    case health_level::quiet:
        return "quiet";
    case health_level::backing_off:
        return "backing_off";
    case health_level::silent:
        return "silent";
    default:
        return "healthy";
    }
}

nlohmann::json describe_target(rated_target const& rated, std::string const& chosen,
                               time_point now) {
    auto const& view = *rated.view;
    auto const& id = view.announcement.id;
    nlohmann::json out{{"id", id},
                       {"zone", view.announcement.zone},
                       {"group", view.group ? view.group->name : ""},
                       {"rating", id == chosen ? "chosen" : name_of(rated.exclusion)},
                       {"condition", name_of(rated.health)},
                       {"slots", view.announcement.slots},
                       {"own", view.own_in_flight}};
    if (view.load) {
        out["report_age_ms"] = in_millis(now - view.load->sampled_at);
        out["slowdown"] = view.load->slowdown;
    }
    if (is_cold(view.cold, now)) {
        out["cold_left_ms"] = in_millis(view.cold.until - now);
        out["cold_part"] = view.cold.part;
    }
    if (rated.exclusion == target_exclusion::none) {
        out["load"] = rated.load;
        out["cost"] = rated.cost;
        out["preferred"] = rated.in_subset;
        out["group_full"] = rated.group_full;
    }
    return out;
}

nlohmann::json describe_groups(gateway const& owner, call_need const& need) {
    auto groups = nlohmann::json::array();
    for (auto const& [name, group] : owner.groups) {
        if (group.service == need.service) {
            groups.push_back({{"name", name},
                              {"running", group.streams.running},
                              {"limit", group.limit},
                              {"own", group.streams.own},
                              {"own_limit", group.own_limit},
                              {"pass_ms", recent_pass(group.passes, loop_now(owner.loop)).count()},
                              {"full", is_full(group, admission_of(owner, need))}});
        }
    }
    return groups;
}

// What would happen to the request, with the reason.
struct expected_step {
    char const* outcome{"send"}; ///< "send", "wait" or "refuse"
    std::string reason;
};

expected_step expect(gateway const& owner, call_need const& need, target_choice const& choice,
                     duration expected_wait) {
    if (owner.stop) {
        return {"refuse", "stopping"};
    }
    if (is_barred(choice)) {
        return {"refuse", name_of(main_denial(choice.denied))};
    }
    auto const outage = owner.outages.find(need.service);
    bool const is_down = outage != owner.outages.end() && !is_usable(choice) &&
                         is_prolonged(outage->second, loop_now(owner.loop));
    if (need.stream && is_down) {
        return {"refuse", "service_down"};
    }
    auto cause = cause_to_wait(owner, need, choice);
    if (cause == wait_cause::none && need.stream &&
        queued_call_count(owner.queue, need.service) > 0) {
        cause = wait_cause::other_calls;
    }
    if (cause == wait_cause::none) {
        return {};
    }
    bool const refuses =
        owner.settings.policies.refuse_hopeless &&
        (waits_for_cold(owner, need.service) ||
         (owner.pass_needs.contains(need.service) && slots_are_short(owner, need.service)));
    bool const hopeless = refuses && expected_wait > std::max(need.slack, duration::zero());
    return {hopeless ? "refuse" : "wait", fireflycrank::name_of(cause)};
}

caller_team const* find_named_team(service_config const& config, std::string const& name) {
    auto const found = std::find_if(config.teams.begin(), config.teams.end(),
                                    [&](caller_team const& team) { return team.name == name; });
    return found == config.teams.end() ? nullptr : &*found;
}

} // namespace

std::string serialize(choice_question const& question) {
    return nlohmann::json{{"host", question.host},
                          {"target", question.target},
                          {"team", question.team},
                          {"prompt_tokens", question.prompt_tokens},
                          {"waited_ms", question.waited.count()}}
        .dump();
}

std::optional<choice_question> parse_question(std::string const& text) {
    auto const document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return std::nullopt;
    }
    choice_question question;
    try {
        question.host = document.at("host").get<std::string>();
        question.target = document.at("target").get<std::string>();
        question.team = document.value("team", std::string{});
        question.prompt_tokens = document.value("prompt_tokens", 0U);
        question.waited = std::chrono::milliseconds{document.value("waited_ms", 0L)};
    } catch (nlohmann::json::exception const&) {
        return std::nullopt;
    }
    return question;
}

nlohmann::json explain_choice(gateway const& owner, choice_question const& question) {
    if (owner.config == nullptr || !owner.config_confirmed) {
        return {{"outcome", "wait"}, {"reason", "no_configuration"}};
    }
    auto const& config = *owner.config;
    auto const* const route = find_route(config, question.host, question.target);
    if (route == nullptr) {
        return {{"outcome", "refuse"}, {"reason", "no_route"}, {"version", config.version}};
    }
    auto const* const team = find_named_team(config, question.team);
    if (!question.team.empty() && team == nullptr) {
        return {{"outcome", "refuse"}, {"reason", "unknown_team"}, {"version", config.version}};
    }
    access_rules access{
        &owner.subscriber.evacuations.zones, &owner.settings.zone_regions, route->regions, {}};
    if (team != nullptr) {
        access.team_regions = team->regions;
    }
    call_need need;
    need.service = pick_service(*route, 0);
    need.stream = route->kind == call_kind::stream;
    need.slack = route->target_latency - typical_first_event_delay - question.waited;
    need.prompt_tokens = question.prompt_tokens;
    need.access = &access;

    auto const now = loop_now(owner.loop);
    auto const filter = filter_for(owner, need);
    auto draws = owner.random; // a copy, so that the next request is chosen for as without it
    auto const choice = choose_target(owner.targets, need.service, owner.settings.zone, filter,
                                      owner.target_selection, draws, now);
    auto const queued = queued_call_count(owner.queue, need.service);
    auto const interval = next_slot_interval(owner, need.service);
    auto const expected_wait = interval * static_cast<std::int64_t>(queued + 1);
    auto const step = expect(owner, need, choice, expected_wait);
    nlohmann::json out{{"outcome", step.outcome},
                       {"reason", step.reason},
                       {"route", route->name},
                       {"service", need.service},
                       {"team", question.team},
                       {"version", config.version},
                       {"slack_ms", in_millis(need.slack)},
                       {"queued", queued},
                       {"slot_interval_ms", in_millis(interval)},
                       {"groups", describe_groups(owner, need)}};
    auto const rated = rate_targets(owner.targets, need.service, owner.settings.zone, filter,
                                    owner.target_selection, now);
    auto targets = nlohmann::json::array();
    for (auto const& target : rated) {
        targets.push_back(describe_target(target, choice.id, now));
    }
    out["targets"] = std::move(targets);
    return out;
}

void serve_explanation(gateway const& owner, incoming_request const& request,
                       response_writer& writer) {
    // It names targets and teams, so only processes of the gateway's own VM may ask.
    if (request.remote_ip != owner.settings.ip && request.remote_ip != "127.0.0.1") {
        writer.send(forbidden, {}, "ask from the gateway's own VM\n");
        return;
    }
    if (request.head.method != "POST") {
        writer.send(method_not_allowed, {}, {});
        return;
    }
    auto const question = parse_question(request.body);
    if (!question) {
        writer.send(bad_request, {}, "the question is no JSON object with host and target\n");
        return;
    }
    writer.send(ok_status, {{"Content-Type", "application/json"}},
                explain_choice(owner, *question).dump());
}

std::string render_explanation(nlohmann::json const& explanation) {
    std::ostringstream out;
    auto const text = [](nlohmann::json const& value) {
        return value.is_string() ? value.get<std::string>() : value.dump();
    };
    out << text(explanation.at("outcome"));
    if (auto const reason = explanation.value("reason", std::string{}); !reason.empty()) {
        out << ": " << reason;
    }
    out << '\n';
    for (auto const& [key, value] : explanation.items()) {
        if (!value.is_array() && key != "outcome" && key != "reason") {
            out << "  " << key << ' ' << text(value) << '\n';
        }
    }
    for (char const* const list : {"groups", "targets"}) {
        for (auto const& entry : explanation.value(list, nlohmann::json::array())) {
            out << list << ':';
            for (auto const& [key, value] : entry.items()) {
                out << ' ' << key << '=' << text(value);
            }
            out << '\n';
        }
    }
    return out.str();
}

result<nlohmann::json> fetch_explanation(std::string const& address,
                                         choice_question const& question) {
    http_client_request request;
    request.method = "POST";
    request.address = address;
    request.path = explanation_path;
    request.body = serialize(question);
    request.timeout = fetch_timeout;
    BOOST_OUTCOME_TRY(answer, call_http(request));
    auto document = nlohmann::json::parse(answer.body, nullptr, false);
    if (answer.status != static_cast<int>(ok_status) || !document.is_object()) {
        return fail(error_kind::unavailable,
                    "no explanation from " + address + ": status " + std::to_string(answer.status) +
                        " " + answer.body,
                    "ask a gateway from its own VM, at the address of its metrics");
    }
    return document;
}

} // namespace fireflycrank
