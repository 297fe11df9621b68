#include "evacuationtable.h"

#include "directory.pb.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// A longer pause between two looks at the clock is one in which the process did not run.
constexpr std::chrono::milliseconds longest_step{500};
// By the wall clocks of leader and replica, which may differ by seconds.
constexpr int old_multiple = 2;

} // namespace

std::string joined_zones(evacuation_list const& list) {
    std::string text;
    for (auto const& zone : list.zones) {
        text += (text.empty() ? "" : ",") + zone;
    }
    return text;
}

bool is_change(evacuation_list const& list, evacuation_order const& order) {
    return !order.copy && list.zones.contains(order.zone) != order.evacuate;
}

void apply(evacuation_table& table, evacuation_order const& order, wall_time at) {
    auto& list = table.current;
    if (!is_change(list, order)) {
        return;
    }
    if (order.evacuate) {
        list.zones.insert(order.zone);
    } else {
        list.zones.erase(order.zone);
    }
    auto const ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
    list.revision =
        std::max(list.revision + 1, static_cast<std::uint64_t>(std::max<std::int64_t>(ms, 0)));
    table.changes.push_back({order.zone, order.evacuate, at});
}

void register_evacuations(control_state& state, evacuation_table& table) {
    control_table_functions functions;
    functions.validate = [](std::string_view body) -> result<void> {
        BOOST_OUTCOME_TRYV(parse_evacuation_order(body));
        return ok();
    };
    functions.apply = [&table](std::string_view body, std::uint64_t /*index*/, wall_time at) {
        if (auto const order = parse_evacuation_order(body)) {
            apply(table, order.value(), at);
        }
        return serialize(table.current);
    };
    functions.query = [&table](std::string_view /*question*/) -> result<std::string> {
        return serialize(table.current);
    };
    functions.serialize = [&table] { return serialize(table.current); };
    functions.parse = [&table](std::string_view bytes) -> result<void> {
        BOOST_OUTCOME_TRY(parsed, parse_evacuation_list(bytes));
        table.current = std::move(parsed);
        return ok();
    };
    state.tables[evacuation_table_kind] = std::move(functions);
}

std::string serialize(evacuation_order const& plain) {
    wire::EvacuationCommand wired;
    wired.set_zone(plain.zone);
    wired.set_evacuate(plain.evacuate);
    wired.set_copy(plain.copy);
    return wired.SerializeAsString();
}

result<evacuation_order> parse_evacuation_order(std::string_view bytes) {
    wire::EvacuationCommand wired;
    if (!wired.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return fail(error_kind::corrupt_data, "an evacuation order cannot be parsed",
                    "run the same version on all registrars");
    }
    return evacuation_order{wired.zone(), wired.evacuate(), wired.copy()};
}

std::string serialize(evacuation_list const& plain) {
    wire::EvacuationTable wired;
    wired.set_revision(plain.revision);
    for (auto const& zone : plain.zones) {
        wired.add_zones(zone);
    }
    return wired.SerializeAsString();
}

result<evacuation_list> parse_evacuation_list(std::string_view bytes) {
    wire::EvacuationTable wired;
    if (!wired.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return fail(error_kind::corrupt_data, "a list of evacuated zones cannot be parsed",
                    "run the same version on all registrars");
    }
    return evacuation_list{wired.revision(), {wired.zones().begin(), wired.zones().end()}};
}

void note_time(evacuation_memory& memory, time_point now) {
    if (memory.noted_at != time_point{}) {
        memory.running_time +=
            std::clamp<duration>(now - memory.noted_at, duration::zero(), longest_step);
    }
    memory.noted_at = now;
}

void note_change(evacuation_memory& memory, evacuation_change const& change, wall_time wall) {
    auto& effects = memory.zones[change.zone].effect_at;
    if (wall - change.at > old_multiple * memory.repeat_time) {
        effects.erase(change.evacuate);
        return;
    }
    effects[change.evacuate] = memory.running_time;
}

bool is_late_copy(evacuation_memory const& memory, evacuation_list const& list,
                  evacuation_order const& order) {
    if (!is_change(list, order)) {
        return false;
    }
    auto const zone = memory.zones.find(order.zone);
    if (zone == memory.zones.end()) {
        return false;
    }
    auto const same = zone->second.effect_at.find(order.evacuate);
    return same != zone->second.effect_at.end() &&
           memory.running_time - same->second < memory.repeat_time;
}

bool awaits_opposite(evacuation_memory const& memory, evacuation_order const& order) {
    return std::any_of(memory.pending.begin(), memory.pending.end(), [&](auto const& entry) {
        return entry.second.zone == order.zone && entry.second.evacuate != order.evacuate;
    });
}

} // namespace fireflycrank
