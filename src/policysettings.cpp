#include "policysettings.h"

#include "jsonmerge.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

namespace fireflycrank {

namespace {

struct policy_field {
    char const* name;
    bool policy_settings::*enabled;
};

constexpr std::array policy_fields{
    policy_field{"limit_streams", &policy_settings::limit_streams},
    policy_field{"guard_urgent", &policy_settings::guard_urgent},
    policy_field{"hold_long_passes", &policy_settings::hold_long_passes},
    policy_field{"order_by_priority", &policy_settings::order_by_priority},
    policy_field{"refuse_hopeless", &policy_settings::refuse_hopeless},
    policy_field{"spread_returns", &policy_settings::spread_returns},
    policy_field{"learn_time_limits", &policy_settings::learn_time_limits},
    policy_field{"reserve_slots", &policy_settings::reserve_slots},
    policy_field{"follow_subset", &policy_settings::follow_subset},
    policy_field{"avoid_failing", &policy_settings::avoid_failing},
    policy_field{"retry_failed", &policy_settings::retry_failed},
    policy_field{"start_slowly", &policy_settings::start_slowly},
    policy_field{"weigh_prompts", &policy_settings::weigh_prompts},
    policy_field{"weigh_pace", &policy_settings::weigh_pace},
    policy_field{"plan_early", &policy_settings::plan_early},
    policy_field{"pace_cold_targets", &policy_settings::pace_cold_targets},
};

void apply_policy(merged_json& merged, policy_settings& policies, std::string const& key,
                  nlohmann::json const& value) {
    auto const field = std::find_if(policy_fields.begin(), policy_fields.end(),
                                    [&](policy_field const& known) { return known.name == key; });
    auto const path = "/" + key;
    if (field == policy_fields.end()) {
        merged.faults.push_back({origin_of(merged, path), path, "unknown policy",
                                 "use a name listed in docs/policies.md"});
    } else if (!value.is_boolean()) {
        merged.faults.push_back(
            {origin_of(merged, path), path, "not a boolean", "use true or false"});
    } else {
        policies.*(field->enabled) = value.get<bool>();
    }
}

} // namespace

result<policy_settings> parse_policies(std::string const& text) {
    auto merged = merge_json_files({{"policies.json", text}});
    policy_settings policies;
    for (auto const& [key, value] : merged.document.items()) {
        apply_policy(merged, policies, key, value);
    }
    if (!merged.faults.empty()) {
        return faults_error(merged.faults);
    }
    return policies;
}

result<policy_settings> read_policies(std::string const& path) {
    if (path.empty()) {
        return policy_settings{};
    }
    std::ifstream file{path};
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        return fail(error_kind::invalid_settings, path + " cannot be read",
                    "check the path of the policy settings file");
    }
    return parse_policies(text.str());
}

std::vector<std::string> disabled_policies(policy_settings const& policies) {
    std::vector<std::string> names;
    for (auto const& field : policy_fields) {
        if (!(policies.*(field.enabled))) {
            names.emplace_back(field.name);
        }
    }
    return names;
}

} // namespace fireflycrank
