#include "coldtargets.h"

#include "gateway.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// A stream holds its place for about this long, so a cold target fills at most the places of the
// requests that it takes meanwhile.
constexpr std::chrono::duration<double> place_time{1.0};
// Waiting requests look for a target every sweep, several times in this period.
constexpr std::chrono::milliseconds wait_memory{150};
// Wall clocks of two VMs may differ by this much.
constexpr std::chrono::seconds clock_tolerance{1};
// A gateway that has run for longer knew all targets, so one that it has not seen has just started.
constexpr std::chrono::seconds directory_time{3};

served_service const* service_of(gateway const& owner, target_view const& view) {
    return owner.config == nullptr ? nullptr
                                   : find_service(*owner.config, view.announcement.service);
}

bool is_in_touch(gateway const& owner, time_point now) {
    auto const& subscriber = owner.subscriber;
    return std::any_of(subscriber.registrars.begin(), subscriber.registrars.end(),
                       [&](auto const& entry) {
                           return entry.second.confirmed &&
                                  now - entry.second.heard_at <= subscriber.settings.update_life;
                       });
}

void log_change(gateway& owner, target_view& view, double rate, time_point now) {
    bool const cold = is_cold(view.cold, now);
    if (cold == view.cold.reported) {
        return;
    }
    view.cold.reported = cold;
    log_bounded(owner.loop, events::target_cold,
                {{"target", view.announcement.id},
                 {"service", view.announcement.service},
                 {"cold", cold},
                 {"left_ms", cold ? in_millis(view.cold.until - now) : 0},
                 {"rate", rate},
                 {"part", view.cold.part},
                 {"gateways", owner.gateways.listed_at.size() + 1},
                 {"settled", owner.gateways.settled}});
}

} // namespace

void refresh_cold_target(gateway& owner, target_view& view) {
    auto const* const service = service_of(owner, view);
    bool const declared = owner.settings.policies.pace_cold_targets && service != nullptr &&
                          (service->cold_rate > 0 || service->cold_time > duration::zero());
    auto& cold = view.cold;
    cold.declared = declared;
    cold.paced = declared && service->cold_rate > 0;
    if (!declared) {
        return;
    }
    auto const now = loop_now(owner.loop);
    auto const& bounds = owner.settings.bounds;
    apply_cold_time(cold, service->cold_time);
    refresh_part(cold, owner.gateways, view.announcement.id,
                 cold_requests(service->cold_rate, bounds.cold_overage, bounds.cold_allowance),
                 owner.cold_pace, now);
    log_change(owner, view, service->cold_rate, now);
}

void refresh_cold_targets(gateway& owner) {
    auto const now = loop_now(owner.loop);
    std::vector<std::string> listed;
    for (auto const& [address, entry] :
         listed_daemons(owner.subscriber, daemon_role::gateway, now)) {
        listed.push_back(address);
    }
    owner.gateways.self = owner.subscriber.self.address;
    update_gateway_set(owner.gateways, listed, is_in_touch(owner, now), owner.cold_pace, now);
    for (auto& [id, view] : owner.targets) {
        refresh_cold_target(owner, view);
    }
}

void note_cold_target(gateway& owner, target_view& view, duration left) {
    if (left > duration::zero()) {
        record_cold(view.cold, left, loop_now(owner.loop));
        refresh_cold_target(owner, view);
    }
}

duration age_when_seen(gateway const& owner, target_view const& view) {
    auto const age = wall_now(owner.loop.clock) - view.announcement.started_at;
    if (age >= -clock_tolerance) {
        return std::max<duration>(age, duration::zero());
    }
    bool const is_new = loop_now(owner.loop) - owner.started_at > directory_time;
    return is_new ? duration::zero() : duration::max();
}

void note_cold_wait(gateway& owner, std::string const& service, target_choice const& choice) {
    if (choice.cold_left_out.targets == 0) {
        return;
    }
    auto const now = loop_now(owner.loop);
    owner.cold_waits[service] = {cold_slot_interval(choice.cold_left_out, owner.cold_pace, now),
                                 now};
}

bool waits_for_cold(gateway const& owner, std::string const& service) {
    auto const wait = owner.cold_waits.find(service);
    return wait != owner.cold_waits.end() &&
           loop_now(owner.loop) - wait->second.noted_at < wait_memory;
}

duration next_slot_interval(gateway const& owner, std::string const& service) {
    return waits_for_cold(owner, service) ? owner.cold_waits.at(service).interval
                                          : slot_interval(owner, service);
}

duration take_cold_send(gateway& owner, std::string const& target) {
    auto const view = owner.targets.find(target);
    if (view == owner.targets.end()) {
        return duration::zero();
    }
    auto const now = loop_now(owner.loop);
    auto& cold = view->second.cold;
    auto const next = next_cold_send(cold, owner.cold_pace, now);
    auto const at = next.value_or(std::max(cold.until, cold.doubted_until));
    if (at <= now) {
        record_cold_send(cold, owner.cold_pace, now);
    }
    return at - now;
}

double unusable_share(gateway const& owner, target_view const& view) {
    auto const* const service = service_of(owner, view);
    if (service == nullptr || !view.cold.paced || !is_cold(view.cold, loop_now(owner.loop))) {
        return 0;
    }
    double const usable =
        service->cold_rate * place_time.count() / std::max(1U, view.announcement.slots);
    return std::max(0.0, 1.0 - usable);
}

void publish_cold_targets(gateway& owner) {
    auto const now = loop_now(owner.loop);
    std::map<std::string, std::pair<unsigned, unsigned>> by_service; // targets, parts
    for (auto const& [id, view] : owner.targets) {
        if (view.cold.declared) {
            auto& [targets, parts] = by_service[view.announcement.service];
            targets += is_cold(view.cold, now) ? 1 : 0;
            parts += is_cold(view.cold, now) ? view.cold.part : 0;
        }
    }
    for (auto const& [service, numbers] : by_service) {
        auto const labels = "service=\"" + service + "\"";
        set_gauge(*owner.metrics, "fireflycrank_cold_targets", labels, numbers.first);
        set_gauge(*owner.metrics, "fireflycrank_cold_target_parts", labels, numbers.second);
    }
}

} // namespace fireflycrank
