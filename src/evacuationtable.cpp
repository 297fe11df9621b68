#include "evacuationtable.h"

#include "directory.pb.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// A longer pause between two looks at the clock is one in which the process did not run.
constexpr std::chrono::milliseconds longest_step{500};
// By the wall clocks of leader and replica, which may differ by seconds.
constexpr int old_multiple = 2;
// Times of orders are kept in the table for much longer than any order is repeated.
constexpr std::chrono::minutes order_time_retention{10};

std::int64_t to_ms(wall_time at) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
}

void note_order(evacuation_table& table, evacuation_order const& order, wall_time at) {
    std::erase_if(table.last_orders,
                  [&](auto const& entry) { return at - entry.second > order_time_retention; });
    table.last_orders[{order.zone, order.evacuate}] = at;
    table.applied.push_back({order.zone, order.evacuate, at});
}

wire::EvacuationTable wired_list(evacuation_list const& plain) {
    wire::EvacuationTable wired;
    wired.set_revision(plain.revision);
    for (auto const& zone : plain.zones) {
        wired.add_zones(zone);
    }
    return wired;
}

result<wire::EvacuationTable> parse_wired(std::string_view bytes) {
    wire::EvacuationTable wired;
    if (!wired.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return fail(error_kind::corrupt_data, "a list of evacuated zones cannot be parsed",
                    "run the same version on all registrars");
    }
    return wired;
}

evacuation_list plain_list(wire::EvacuationTable const& wired) {
    return {wired.revision(), {wired.zones().begin(), wired.zones().end()}};
}

std::string serialize_snapshot(evacuation_table const& table) {
    auto wired = wired_list(table.current);
    for (auto const& [order, at] : table.last_orders) {
        auto& last = *wired.add_last_orders();
        last.set_zone(order.first);
        last.set_evacuate(order.second);
        last.set_at_ms(to_ms(at));
    }
    return wired.SerializeAsString();
}

result<void> parse_snapshot(evacuation_table& table, std::string_view bytes) {
    BOOST_OUTCOME_TRY(wired, parse_wired(bytes));
    table.current = plain_list(wired);
    table.last_orders.clear();
    for (auto const& last : wired.last_orders()) {
        wall_time const at{std::chrono::milliseconds{last.at_ms()}};
        table.last_orders[{last.zone(), last.evacuate()}] = at;
        table.applied.push_back({last.zone(), last.evacuate(), at});
    }
    return ok();
}

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
    if (order.copy) {
        return;
    }
    note_order(table, order, at);
    if (!is_change(list, order)) {
        return;
    }
    if (order.evacuate) {
        list.zones.insert(order.zone);
    } else {
        list.zones.erase(order.zone);
    }
    list.revision = std::max(list.revision + 1,
                             static_cast<std::uint64_t>(std::max<std::int64_t>(to_ms(at), 0)));
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
    functions.serialize = [&table] { return serialize_snapshot(table); };
    functions.parse = [&table](std::string_view bytes) { return parse_snapshot(table, bytes); };
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
    return wired_list(plain).SerializeAsString();
}

result<evacuation_list> parse_evacuation_list(std::string_view bytes) {
    BOOST_OUTCOME_TRY(wired, parse_wired(bytes));
    return plain_list(wired);
}

void note_time(evacuation_memory& memory, time_point now) {
    if (memory.noted_at != time_point{}) {
        memory.running_time +=
            std::clamp<duration>(now - memory.noted_at, duration::zero(), longest_step);
    }
    memory.noted_at = now;
}

void note_applied(evacuation_memory& memory, applied_evacuation const& applied, wall_time wall) {
    std::pair const order{applied.zone, applied.evacuate};
    if (wall - applied.at > old_multiple * memory.repeat_time) {
        memory.applied_at.erase(order);
        return;
    }
    memory.applied_at[order] = memory.running_time;
}

duration wait_for_copies(evacuation_memory const& memory, evacuation_list const& list,
                         evacuation_order const& order) {
    auto const same = memory.applied_at.find({order.zone, order.evacuate});
    if (!is_change(list, order) || same == memory.applied_at.end()) {
        return duration::zero();
    }
    return std::max(same->second + memory.repeat_time - memory.running_time, duration::zero());
}

bool awaits_opposite(evacuation_memory const& memory, evacuation_order const& order) {
    return std::any_of(memory.pending.begin(), memory.pending.end(), [&](auto const& entry) {
        return entry.second.zone == order.zone && entry.second.evacuate != order.evacuate;
    });
}

} // namespace fireflycrank
