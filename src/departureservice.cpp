#include "departureservice.h"

#include "events.h"

namespace fireflycrank {

namespace {

constexpr unsigned ok_status = 200;
constexpr unsigned unavailable = 503;

void answer(departure_service& service, std::uint64_t number, unsigned status) {
    auto const writer = service.callers.extract(number);
    if (!writer.empty()) {
        send_json(*writer.mapped(), status, "{}");
    }
    log_bounded(*service.loop, events::departure_settled,
                {{"departure", number}, {"acknowledged", status == ok_status}});
}

void record(departure_service& service, target_announcement const& target,
            std::function<void()> on_durable) {
    service.store->record(target, wall_now(service.loop->clock), std::move(on_durable));
}

} // namespace

std::vector<target_announcement> open_departures(departure_service& service, event_loop& loop,
                                                 std::string const& address,
                                                 std::string const& folder) {
    service.loop = &loop;
    service.address = address;
    service.store = std::make_unique<departure_store>(loop.context, posix_file_layer(), folder);
    return service.store->open(wall_now(loop.clock));
}

void begin_departing(departure_service& service, target_announcement const& target,
                     std::shared_ptr<response_writer> writer) {
    auto const number = begin_departure(service.table, target, {}, loop_now(*service.loop));
    service.callers[number] = std::move(writer);
    advance_departures(service); // the others record it at the same time
    record(service, target,
           [&service, number] { take_confirmation(service, service.address, number); });
}

void record_for_peer(departure_service& service, std::string const& from,
                     departure_notice const& notice) {
    record(service, notice.target, [&service, from, number = notice.number] {
        service.link->send(from, departure_recorded_type, serialize_recorded(number));
    });
}

void record_heard(departure_service& service, target_announcement const& target) {
    record(service, target, [] {});
}

void take_confirmation(departure_service& service, std::string const& from, std::uint64_t number) {
    auto const found = service.table.pending.find(number);
    if (found != service.table.pending.end()) {
        found->second.recorded_by.insert(from);
        advance_departures(service);
    }
}

void advance_departures(departure_service& service) {
    auto const actions = advance(service.table, service.voters(), {}, loop_now(*service.loop));
    for (auto const& [member, number] : actions.notices) {
        if (member != service.address) {
            auto const& target = service.table.pending.at(number).target;
            service.link->send(member, departure_type, serialize(departure_notice{number, target}));
        }
    }
    for (auto const number : actions.acknowledged) {
        answer(service, number, ok_status);
    }
    for (auto const number : actions.failed) {
        answer(service, number, unavailable);
    }
}

void refuse_departures(departure_service& service) {
    while (!service.callers.empty()) {
        answer(service, service.callers.begin()->first, unavailable);
    }
    service.table.pending.clear();
}

} // namespace fireflycrank
