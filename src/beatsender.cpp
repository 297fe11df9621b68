#include "beatsender.h"

#include "directorywire.h"

namespace fireflycrank {

void send_beats(event_loop& loop, peer_link& link, directory_subscriber& subscriber,
                attached_set& attached, bool at_once) {
    for (auto const& beat : due_beats(subscriber, at_once, loop_now(loop))) {
        link.send(beat.to, beat_type, serialize(beat.message));
    }
    attached_set present;
    for (auto const& [address, contact] : subscriber.registrars) {
        if (contact.attached) {
            present.insert(address);
        }
    }
    if (present == attached) {
        return;
    }
    auto const at = loop_now(loop);
    for (auto const& [address, contact] : subscriber.registrars) {
        if (present.contains(address) == attached.contains(address)) {
            continue;
        }
        log_bounded(loop, events::registrar_attachment,
                    {{"registrar", address},
                     {"zone", contact.zone},
                     {"attached", contact.attached},
                     {"failures", contact.failures},
                     {"confirmed", contact.confirmed},
                     {"heard_ms_ago",
                      contact.heard_at == time_point{} ? -1.0 : in_millis(at - contact.heard_at)}});
    }
    attached = std::move(present);
}

} // namespace fireflycrank
