#include "mapcontrol.h"

#include "expertswire.h"
#include "settings.h"

namespace fireflycrank {

std::optional<map_manager_actions> on_map_message(map_control& state,
                                                  inbound_message const& message,
                                                  std::optional<std::uint64_t> fence,
                                                  time_point now, wall_time wall) {
    if (message.type != group_report_type) {
        return std::nullopt;
    }
    map_manager_actions actions;
    if (auto const report = parse_group_report(message.body)) {
        actions = on_group_report(state.manager, message.sender, report.value(), now, wall);
    }
    // Without the lease another replica may already be the leader, so nothing is sent or proposed.
    return fence ? std::move(actions) : map_manager_actions{};
}

map_manager_actions tick_map_control(map_control& state, control_tables const& tables,
                                     std::optional<std::uint64_t> fence, time_point now,
                                     wall_time wall) {
    config_table const& configuration = tables.configuration;
    if (configuration.revision != state.config_revision) {
        state.config_revision = configuration.revision;
        if (auto parsed = parse_config(configuration.files)) {
            state.operator_config = std::move(parsed.value());
        }
    }
    return tick_map_manager(state.manager, tables.maps, state.operator_config, fence, now, wall);
}

} // namespace fireflycrank
