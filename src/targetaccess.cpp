#include "targetaccess.h"

#include <algorithm>
#include <utility>

namespace fireflycrank {

namespace {

bool allows(std::vector<std::string> const& regions, std::string const& region) {
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

std::string region_of(access_rules const& rules, std::string const& zone) {
    if (rules.zone_regions == nullptr) {
        return {};
    }
    auto const found = rules.zone_regions->find(zone);
    return found == rules.zone_regions->end() ? std::string{} : found->second;
}

} // namespace

access_denial judge_access(access_rules const& rules, std::string const& zone) {
    if (rules.evacuated_zones != nullptr && rules.evacuated_zones->contains(zone)) {
        return access_denial::evacuated_zone;
    }
    if (rules.route_regions.empty() && rules.team_regions.empty()) {
        return access_denial::none;
    }
    auto const region = region_of(rules, zone);
    bool const allowed = !region.empty() && allows(rules.route_regions, region) &&
                         allows(rules.team_regions, region);
    return allowed ? access_denial::none : access_denial::foreign_region;
}

void count_denial(denied_targets& denied, access_denial denial) {
    denied.evacuated_zone += denial == access_denial::evacuated_zone ? 1 : 0;
    denied.foreign_region += denial == access_denial::foreign_region ? 1 : 0;
}

access_denial main_denial(denied_targets const& denied) {
    if (denied.evacuated_zone == 0 && denied.foreign_region == 0) {
        return access_denial::none;
    }
    return denied.evacuated_zone >= denied.foreign_region ? access_denial::evacuated_zone
                                                          : access_denial::foreign_region;
}

char const* name_of(access_denial denial) {
    switch (denial) {
    case access_denial::none:
        return "none";
    case access_denial::evacuated_zone:
        return "evacuated_zone";
    case access_denial::foreign_region:
        return "foreign_region";
    }
    return "";
}

void add_left_out(std::vector<log_field>& fields, denied_targets const& denied) {
    std::string text;
    for (auto const& [denial, count] :
         {std::pair{access_denial::evacuated_zone, denied.evacuated_zone},
          std::pair{access_denial::foreign_region, denied.foreign_region}}) {
        if (count > 0) {
            text += (text.empty() ? "" : ",") + std::string{name_of(denial)} + ":" +
                    std::to_string(count);
        }
    }
    if (!text.empty()) {
        fields.emplace_back("left_out", text);
    }
}

} // namespace fireflycrank
