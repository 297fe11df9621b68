#include "departures.h"

#include <algorithm>

namespace fireflycrank {

bool has_majority(pending_departure const& pending, std::vector<std::string> const& members) {
    auto const recorded =
        std::count_if(members.begin(), members.end(), [&](std::string const& member) {
            return pending.recorded_by.contains(member);
        });
    return !members.empty() && static_cast<std::size_t>(recorded) > members.size() / 2;
}

std::uint64_t begin_departure(departure_table& table, target_announcement const& target,
                              departure_settings const& settings, time_point now) {
    auto const number = ++table.last_number;
    table.pending[number] = {target, {}, now, now + settings.timeout};
    return number;
}

departure_actions advance(departure_table& table, std::vector<std::string> const& members,
                          departure_settings const& settings, time_point now) {
    departure_actions actions;
    for (auto& [number, pending] : table.pending) {
        if (has_majority(pending, members)) {
            actions.acknowledged.push_back(number);
        } else if (now >= pending.expires_at) {
            actions.failed.push_back(number);
        } else if (now >= pending.resend_at) {
            pending.resend_at = now + settings.resend_interval;
            for (auto const& member : members) {
                if (!pending.recorded_by.contains(member)) {
                    actions.notices.emplace_back(member, number);
                }
            }
        }
    }
    for (auto const number : actions.acknowledged) {
        table.pending.erase(number);
    }
    for (auto const number : actions.failed) {
        table.pending.erase(number);
    }
    return actions;
}

} // namespace fireflycrank
