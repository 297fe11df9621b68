#include "groupapi.h"

#include <nlohmann/json.hpp>

namespace fireflycrank {

namespace {

using nlohmann::json;

auto invalid_step_request(char const* what) {
    return fail(error_kind::invalid_request, what,
                R"(send {"rank": 0, "step": 17, "counts": [[tokens by expert] by layer]})");
}

bool is_token_counts(json const& layers) {
    if (!layers.is_array()) {
        return false;
    }
    for (json const& layer : layers) {
        if (!layer.is_array()) {
            return false;
        }
        for (json const& count : layer) {
            if (!count.is_number_unsigned()) {
                return false;
            }
        }
    }
    return true;
}

} // namespace

result<step_request> parse_step_request(std::string const& body) {
    json const parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return invalid_step_request("the body is not a JSON object");
    }
    json const rank = parsed.value("rank", json{});
    json const step = parsed.value("step", json{});
    json const counts = parsed.value("counts", json::array());
    if (!rank.is_number_unsigned() || !step.is_number_unsigned()) {
        return invalid_step_request("rank and step must be unsigned integers");
    }
    if (!is_token_counts(counts)) {
        return invalid_step_request("counts must be an array of arrays of unsigned integers");
    }
    return step_request{rank.get<std::uint32_t>(), step.get<std::uint64_t>(),
                        counts.get<expert_token_counts>()};
}

std::string step_answer_json(step_answer const& answer) {
    json const body = answer.run ? json{{"run", true}, {"map", answer.map}}
                                 : json{{"run", false}, {"reason", answer.reason}};
    return body.dump() + "\n";
}

std::string engine_map_json(std::string const& group, engine_map_call const& call) {
    json body{{"group", group},
              {"rank", call.rank},
              {"map", call.map},
              {"load", call.content.has_value()}};
    if (call.content) {
        body["members"] = call.content->members;
        body["slots_per_rank"] = call.content->slots_per_rank;
        for (layer_map const& layer : call.content->layers) {
            body["layers"].push_back({{"slot_expert", layer.slot_expert}, {"share", layer.share}});
        }
    }
    return body.dump();
}

} // namespace fireflycrank
