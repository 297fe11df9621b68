#include "attachment.h"

#include "digest.h"
#include "directorysync.h"

#include <algorithm>
#include <set>

namespace fireflycrank {

namespace {

std::size_t wanted_links(directory_subscriber const& subscriber) {
    auto const& settings = subscriber.settings.attachment;
    return subscriber.self.role == daemon_role::rank_agent ? settings.agent_links
                                                           : settings.gateway_links;
}

void leave(registrar_contact& contact, attachment_settings const& settings, time_point now) {
    constexpr unsigned most_doublings = 3;
    auto const pause = settings.first_avoid * (1U << std::min(contact.failures, most_doublings));
    contact.avoid_until = now + std::min<duration>(pause, settings.longest_avoid);
    ++contact.failures;
    contact.attached = false;
}

void leave_unfit(directory_subscriber& subscriber, time_point now) {
    auto const& settings = subscriber.settings.attachment;
    for (auto& [address, contact] : subscriber.registrars) {
        if (!contact.attached) {
            continue;
        }
        bool const silent =
            now - std::max(contact.attached_at, contact.heard_at) > settings.answer_patience;
        bool const answered = contact.heard_at > contact.attached_at;
        if (answered && contact.confirmed) {
            contact.failures = 0;
            contact.unsure_since = {};
        } else if (answered && contact.unsure_since == time_point{}) {
            contact.unsure_since = now;
        }
        bool const unsure = contact.unsure_since != time_point{} &&
                            now - contact.unsure_since > settings.unsure_patience;
        if (silent || unsure) {
            leave(contact, settings, now);
        }
    }
}

struct candidate {
    std::string const* address;
    registrar_contact const* contact;
    bool avoided;
    std::uint64_t score;
};

std::vector<candidate> ranked_candidates(directory_subscriber const& subscriber, time_point now) {
    std::vector<candidate> ranked;
    auto const seed = hash64(subscriber.self.address);
    auto const named_life = subscriber.settings.attachment.named_life;
    for (auto const& [address, contact] : subscriber.registrars) {
        bool const known_lately = now - std::max(contact.heard_at, contact.learned_at) < named_life;
        bool const avoided = now < contact.avoid_until || !known_lately;
        ranked.push_back({&address, &contact, avoided, hash64(address, seed)});
    }
    std::sort(ranked.begin(), ranked.end(), [](candidate const& left, candidate const& right) {
        return left.avoided != right.avoided ? right.avoided : left.score > right.score;
    });
    return ranked;
}

// Fit registrars go first; among them one of the own zone, then one of each other zone.
std::set<std::string> preferred_registrars(directory_subscriber const& subscriber, time_point now) {
    auto const ranked = ranked_candidates(subscriber, now);
    auto const wanted = wanted_links(subscriber);
    std::set<std::string> preferred;
    std::set<std::string> zones;
    auto const pick = [&](auto const& suits) {
        for (auto const& one : ranked) {
            if (preferred.size() < wanted && suits(one) && !preferred.contains(*one.address)) {
                preferred.insert(*one.address);
                zones.insert(one.contact->zone);
            }
        }
    };
    for (bool const avoided : {false, true}) {
        pick([&](candidate const& one) {
            return one.avoided == avoided && one.contact->zone == subscriber.self.zone &&
                   !zones.contains(one.contact->zone);
        });
        pick([&](candidate const& one) {
            return one.avoided == avoided &&
                   (one.contact->zone.empty() || !zones.contains(one.contact->zone));
        });
        pick([&](candidate const& one) { return one.avoided == avoided; });
    }
    return preferred;
}

} // namespace

void choose_attachments(directory_subscriber& subscriber, time_point now) {
    leave_unfit(subscriber, now);
    auto const preferred = preferred_registrars(subscriber, now);
    bool all_fit = true;
    for (auto const& address : preferred) {
        auto& contact = subscriber.registrars.at(address);
        if (!contact.attached) {
            contact.attached = true;
            contact.attached_at = now;
            contact.unsure_since = {};
            contact.next_beat = now;
        }
        all_fit = all_fit && contact.heard_at > contact.attached_at && contact.confirmed;
    }
    if (!all_fit) {
        return;
    }
    for (auto& [address, contact] : subscriber.registrars) {
        contact.attached = contact.attached && preferred.contains(address);
    }
}

} // namespace fireflycrank
