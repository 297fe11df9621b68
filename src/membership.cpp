#include "membership.h"

#include "digest.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <tuple>

namespace fireflycrank {

namespace {

// Ticks missed in a row after which this process counts as stalled: two may be scheduling noise.
constexpr int stalled_ticks = 4;
// A member that refuted several suspicions gets at most this many times the usual patience more.
constexpr std::uint32_t false_alarm_limit = 3;
constexpr std::uint32_t helper_rounds = 2;
constexpr duration relay_lifetime = std::chrono::seconds{10};
constexpr duration purge_period = std::chrono::seconds{60};
// Wake-up fan-out of an urgent announcement; ten first copies halve the time to 1,000 members.
constexpr std::size_t urgent_fanout = 10;
// Field tags and lengths of a record besides its strings: see schema/membership.proto.
constexpr std::size_t record_overhead = 56;

std::uint32_t short_hash(std::string const& name) {
    return static_cast<std::uint32_t>(hash64(name));
}

std::size_t bucket_of(std::string const& name) {
    return hash64(name, 1) % membership_buckets;
}

// A suspicion is not part of the hash: it is transient, and would make every table differ.
// Tombstones neither: they expire at different times at different members.
std::uint32_t record_hash(member_record const& record) {
    if (record.health >= member_health::dead) {
        return 0;
    }
    rng mixer{hash64(record.name) ^ (record.incarnation * 31) ^ record.version};
    return static_cast<std::uint32_t>(next_bits(mixer) >> 32U) | 1U;
}

bool present(member_record const& record) {
    return record.health <= member_health::suspect;
}

std::size_t fleet_size(membership_state const& state) {
    return state.slots.size() + 1;
}

std::uint32_t transmission_limit(membership_state const& state) {
    return state.options.retransmit_factor *
           static_cast<std::uint32_t>(std::bit_width(fleet_size(state) + 1));
}

member_slot* find_slot(membership_state& state, std::string const& name) {
    auto const found = state.index.find(name);
    return found == state.index.end() ? nullptr : &state.slots[found->second];
}

void rehash(membership_state& state, member_slot& slot) {
    std::uint32_t const fresh = record_hash(slot.record);
    state.buckets.at(bucket_of(slot.record.name)) ^= slot.hash ^ fresh;
    slot.hash = fresh;
}

void queue_update(membership_state& state, std::string const& name, bool urgent) {
    auto const found = std::ranges::find(state.queue, name, &membership_update::name);
    if (found == state.queue.end()) {
        state.queue.push_back({name, 0, urgent});
    } else {
        found->sent = 0;
        found->urgent = urgent;
    }
}

// Changes this process's own record under a new version and spreads it first.
void republish_self(membership_state& state, std::uint64_t incarnation, std::uint64_t version) {
    auto& bucket = state.buckets.at(bucket_of(state.self.name));
    bucket ^= record_hash(state.self);
    state.self.incarnation = incarnation;
    state.self.version = version;
    bucket ^= record_hash(state.self);
    queue_update(state, state.self.name, true);
}

member_record const* record_of(membership_state const& state, std::string const& name) {
    if (name == state.self.name) {
        return &state.self;
    }
    auto const found = state.index.find(name);
    return found == state.index.end() ? nullptr : &state.slots[found->second].record;
}

// Adds queued updates within the byte limit: urgent ones first, then those sent least often, so
// that a burst of changes cannot starve the newest.
void piggyback(membership_state& state, membership_message& message, std::string const& recipient) {
    std::size_t room = state.options.piggyback_bytes;
    for (auto const& record : message.updates) {
        room -= std::min(room, record_size_bound(record));
    }
    auto const add = [&](member_record const& record) {
        std::size_t const size = record_size_bound(record);
        if (size > room && !message.updates.empty()) {
            return false;
        }
        room -= std::min(size, room);
        message.updates.push_back(record);
        return true;
    };
    // The recipient hears at once what is said of it, so that it can refute before the timeout.
    if (auto const* slot = find_slot(state, recipient);
        slot != nullptr && slot->record.health != member_health::alive) {
        add(slot->record);
    }
    if (state.queue.empty()) {
        return;
    }
    std::ranges::stable_sort(state.queue, [](auto const& left, auto const& right) {
        return std::tuple{!left.urgent, left.sent} < std::tuple{!right.urgent, right.sent};
    });
    for (auto& update : state.queue) {
        auto const* record = record_of(state, update.name);
        if (record != nullptr && !add(*record)) {
            break;
        }
        ++update.sent;
    }
    std::uint32_t const limit = transmission_limit(state);
    std::erase_if(state.queue, [limit](auto const& update) { return update.sent >= limit; });
}

membership_message make_message(membership_state const& state, membership_kind kind,
                                std::uint64_t sequence) {
    membership_message message;
    message.kind = kind;
    message.sequence = sequence;
    message.sender = state.self.name;
    message.hint = state.hint;
    return message;
}

void send(membership_state& state, membership_actions& actions, std::string const& address,
          std::string const& recipient, membership_message message) {
    piggyback(state, message, recipient);
    actions.send.push_back({address, std::move(message)});
}

// Draws a present member other than `except` that passes the test; null after a bounded search.
template <class Test>
member_slot* random_slot(membership_state& state, Test const& test) {
    if (state.slots.empty()) {
        return nullptr;
    }
    for (int attempt = 0; attempt < 16; ++attempt) {
        auto& slot = state.slots[next_below(state.random, state.slots.size())];
        if (test(slot)) {
            return &slot;
        }
    }
    std::size_t const start = next_below(state.random, state.slots.size());
    for (std::size_t step = 0; step < state.slots.size(); ++step) {
        auto& slot = state.slots[(start + step) % state.slots.size()];
        if (test(slot)) {
            return &slot;
        }
    }
    return nullptr;
}

void gossip_to(membership_state& state, membership_actions& actions, std::size_t fanout) {
    for (std::size_t copy = 0; copy < fanout && !state.queue.empty(); ++copy) {
        auto* const peer =
            random_slot(state, [](auto const& slot) { return present(slot.record); });
        if (peer == nullptr) {
            return;
        }
        send(state, actions, peer->record.address, peer->record.name,
             make_message(state, membership_kind::gossip, 0));
    }
}

std::uint32_t patience(member_slot const& slot) {
    return 1 + std::min(slot.false_alarms, false_alarm_limit);
}

// Independent accusers shorten the timeout: one accuser may itself have a bad link.
time_point suspicion_deadline(membership_state const& state, member_slot const& slot) {
    auto const& options = state.options;
    std::size_t const others = fleet_size(state) > 2 ? fleet_size(state) - 2 : 0;
    auto const needed = static_cast<double>(std::min<std::size_t>(options.confirmations, others));
    double const accusers = slot.accusers.empty() ? 0 : double(slot.accusers.size() - 1);
    double const share = needed < 1 ? 1 : std::min(1.0, std::log1p(accusers) / std::log1p(needed));
    auto const wait = options.suspicion_max -
                      duration{static_cast<std::int64_t>(
                          share * double((options.suspicion_max - options.suspicion_min).count()))};
    return slot.suspected_at + wait * patience(slot);
}

void note_change(membership_actions& actions, member_slot const& slot, bool added,
                 member_health before) {
    actions.changes.push_back({slot.record, added, before});
}

void begin_suspicion(membership_state& state, member_slot& slot, time_point now) {
    slot.suspected_at = now;
    slot.accusers.assign(1, slot.record.accuser);
    if (std::ranges::find(state.suspects, slot.record.name) == state.suspects.end()) {
        state.suspects.push_back(slot.record.name);
    }
}

// Another accuser of the same version. Each is passed on, up to the number that counts.
void confirm_suspicion(membership_state& state, member_slot& slot, std::uint32_t accuser) {
    if (slot.accusers.size() > state.options.confirmations ||
        std::ranges::find(slot.accusers, accuser) != slot.accusers.end()) {
        return;
    }
    slot.accusers.push_back(accuser);
    slot.record.accuser = accuser;
    queue_update(state, slot.record.name, false);
}

void add_member(membership_state& state, member_record const& record, bool spread, time_point now,
                membership_actions& actions) {
    // A tombstone of a member never seen is not taken over: it would never expire fleet-wide.
    if (!present(record) || record.name.empty()) {
        return;
    }
    state.index.emplace(record.name, static_cast<std::uint32_t>(state.slots.size()));
    state.slots.push_back({.record = record, .changed_at = now});
    auto& slot = state.slots.back();
    rehash(state, slot);
    state.probe_order.push_back(record.name);
    std::swap(state.probe_order[next_below(state.random, state.probe_order.size())],
              state.probe_order.back());
    if (record.health == member_health::suspect) {
        begin_suspicion(state, slot, now);
    }
    if (spread) {
        queue_update(state, record.name, record.leaving);
    }
    note_change(actions, slot, true, record.health);
}

// News about this process itself. Anything but "alive at my version" is answered by a higher
// version, which overrides it everywhere.
void merge_self(membership_state& state, member_record const& record, membership_actions& actions) {
    auto& self = state.self;
    if (self.health == member_health::left) {
        return;
    }
    if (record.incarnation > self.incarnation) {
        // The wall clock went back between two starts, or two processes share one name.
        republish_self(state, record.incarnation + 1, 0);
        actions.notices.push_back(membership_notice::incarnation_replaced);
        return;
    }
    bool const accused = record.version == self.version && record.health != member_health::alive;
    if (record.incarnation < self.incarnation || (record.version <= self.version && !accused)) {
        return;
    }
    republish_self(state, self.incarnation, record.version + 1);
    state.health_score = std::min(state.health_score + 1, state.options.health_limit);
    actions.notices.push_back(membership_notice::refuted);
}

void replace_record(membership_state& state, member_slot& slot, member_record record,
                    time_point now, membership_actions& actions) {
    member_health const before = slot.record.health;
    bool const restarted = record.incarnation > slot.record.incarnation;
    bool const refuted = !restarted && record.health == member_health::alive &&
                         (before == member_health::suspect || before == member_health::dead);
    bool const urgent =
        refuted || record.leaving != slot.record.leaving || record.health == member_health::left;
    if (restarted) {
        slot.false_alarms = 0;
    } else if (refuted) {
        slot.false_alarms = std::min(slot.false_alarms + 1, false_alarm_limit);
        slot.false_alarm_at = now;
    }
    bool const newly_suspect = record.health == member_health::suspect;
    slot.record = std::move(record);
    slot.changed_at = now;
    rehash(state, slot);
    if (newly_suspect) {
        begin_suspicion(state, slot, now);
    } else {
        std::erase(state.suspects, slot.record.name);
    }
    queue_update(state, slot.record.name, urgent);
    note_change(actions, slot, false, before);
}

// Merges one record. From a table sync, "dead" counts as a suspicion only: after a partition each
// side holds the other as dead, and believing that would take the whole fleet out of service.
void merge(membership_state& state, member_record record, bool from_sync, std::uint32_t sender,
           time_point now, membership_actions& actions) {
    if (record.name == state.self.name) {
        merge_self(state, record, actions);
        return;
    }
    auto* const slot = find_slot(state, record.name);
    if (slot == nullptr) {
        // A table just learned is not news to others: a joining member would gossip the whole
        // fleet.
        bool const spread = !from_sync || short_hash(record.name) == sender;
        add_member(state, record, spread, now, actions);
        return;
    }
    auto const known = std::tuple{slot->record.incarnation, slot->record.version};
    auto const heard = std::tuple{record.incarnation, record.version};
    if (heard < known) {
        return;
    }
    if (from_sync && record.health == member_health::dead && present(slot->record)) {
        record.health = member_health::suspect;
        record.accuser = sender;
    }
    if (heard > known || record.health > slot->record.health) {
        replace_record(state, *slot, std::move(record), now, actions);
    } else if (record.health == member_health::suspect &&
               slot->record.health == member_health::suspect) {
        confirm_suspicion(state, *slot, record.accuser);
    }
}

void accuse(membership_state& state, std::string const& target, time_point now,
            membership_actions& actions) {
    auto* const slot = find_slot(state, target);
    if (slot == nullptr || !present(slot->record)) {
        return;
    }
    std::uint32_t const me = short_hash(state.self.name);
    if (slot->record.health == member_health::suspect) {
        confirm_suspicion(state, *slot, me);
        return;
    }
    auto record = slot->record;
    record.health = member_health::suspect;
    record.accuser = me;
    replace_record(state, *slot, std::move(record), now, actions);
}

// Ends a failed probe. An accusation needs proof that this process's own links work: a nack from a
// helper. Without it the fault may be here.
void conclude_failed_probe(membership_state& state, time_point now, membership_actions& actions) {
    auto& probe = state.probe;
    probe.active = false;
    bool const pair = probe.helpers == 0 && fleet_size(state) <= 2;
    if (probe.nacks < probe.helpers || probe.helpers == 0) {
        state.health_score = std::min(state.health_score + 1, state.options.health_limit);
    }
    if (probe.nacks > 0 || pair) {
        accuse(state, probe.target, now, actions);
    } else {
        actions.notices.push_back(membership_notice::probe_inconclusive);
    }
}

void send_ping(membership_state& state, member_slot const& target, membership_actions& actions) {
    auto message = make_message(state, membership_kind::ping, state.probe.sequence);
    message.target = target.record.name;
    send(state, actions, target.record.address, target.record.name, std::move(message));
}

// Asks helpers to ping the target, and pings it again. At 10% loss one ping and one round of
// helpers fail one probe in 130 by chance (0.19 x 0.34^3); two rounds with further pings one in
// 90,000.
void ask_helpers(membership_state& state, membership_actions& actions) {
    auto& probe = state.probe;
    auto const* const target = find_slot(state, probe.target);
    ++probe.rounds;
    if (target == nullptr) {
        return;
    }
    send_ping(state, *target, actions);
    std::vector<std::string> asked;
    auto const ask = [&](member_slot const& helper) {
        asked.push_back(helper.record.name);
        auto message = make_message(state, membership_kind::ping_request, probe.sequence);
        message.target = probe.target;
        message.target_address = target->record.address;
        send(state, actions, helper.record.address, helper.record.name, std::move(message));
    };
    auto const usable = [&](member_slot const& slot) {
        return slot.record.health == member_health::alive && slot.record.name != probe.target &&
               std::ranges::find(asked, slot.record.name) == asked.end();
    };
    // The member heard last is the most likely to answer, which matters when few are reachable.
    member_slot const* recent = nullptr;
    for (auto const& slot : state.slots) {
        if (usable(slot) && (recent == nullptr || slot.heard_at > recent->heard_at)) {
            recent = &slot;
        }
    }
    if (recent != nullptr) {
        ask(*recent);
    }
    while (asked.size() < state.options.helpers) {
        auto const* const helper = random_slot(state, usable);
        if (helper == nullptr) {
            break;
        }
        ask(*helper);
    }
    probe.helpers += static_cast<std::uint32_t>(asked.size());
}

// The next member in a shuffled round, so that each is probed within one round of the fleet.
member_slot* next_probe_target(membership_state& state) {
    for (int round = 0; round < 2; ++round) {
        while (!state.probe_order.empty()) {
            auto const name = std::move(state.probe_order.back());
            state.probe_order.pop_back();
            auto* const slot = find_slot(state, name);
            if (slot != nullptr && present(slot->record)) {
                return slot;
            }
        }
        for (auto const& slot : state.slots) {
            if (present(slot.record)) {
                state.probe_order.push_back(slot.record.name);
            }
        }
        for (std::size_t left = state.probe_order.size(); left > 1; --left) {
            std::swap(state.probe_order[left - 1],
                      state.probe_order[next_below(state.random, left)]);
        }
    }
    return nullptr;
}

void start_probe(membership_state& state, time_point now, membership_actions& actions) {
    auto const& options = state.options;
    std::int64_t const slowdown = std::int64_t{1} + state.health_score;
    state.next_probe = now + options.probe_period * slowdown;
    auto* const slot = next_probe_target(state);
    if (slot == nullptr) {
        return;
    }
    if (slot->false_alarms > 0 && now - slot->false_alarm_at >= options.false_alarm_decay) {
        --slot->false_alarms;
        slot->false_alarm_at = now;
    }
    state.probe = {.active = true, .target = slot->record.name, .sequence = ++state.sequence};
    state.probe.sent_at = now;
    state.probe.relay_at = now + options.probe_timeout * slowdown;
    state.probe.deadline = now + options.probe_period * slowdown * patience(*slot);
    send_ping(state, *slot, actions);
}

void advance_probe(membership_state& state, time_point now, membership_actions& actions) {
    auto& probe = state.probe;
    if (probe.active && probe.rounds < helper_rounds && now >= probe.relay_at) {
        probe.relay_at += probe.relay_at - probe.sent_at;
        ask_helpers(state, actions);
    }
    if (state.probe.active && now >= state.probe.deadline) {
        conclude_failed_probe(state, now, actions);
    }
    if (!state.probe.active && now >= state.next_probe) {
        start_probe(state, now, actions);
    }
}

void advance_relays(membership_state& state, time_point now, membership_actions& actions) {
    for (auto& relay : state.relays) {
        if (!relay.nacked && now >= relay.nack_at) {
            relay.nacked = true;
            actions.send.push_back({relay.requester, make_message(state, membership_kind::nack,
                                                                  relay.requester_sequence)});
        }
    }
    std::erase_if(state.relays, [now](auto const& relay) { return now >= relay.expires_at; });
}

void expire_suspicions(membership_state& state, time_point now, membership_actions& actions) {
    auto const names = state.suspects;
    for (auto const& name : names) {
        auto* const slot = find_slot(state, name);
        if (slot == nullptr || slot->record.health != member_health::suspect) {
            std::erase(state.suspects, name);
        } else if (now >= suspicion_deadline(state, *slot)) {
            auto record = slot->record;
            record.health = member_health::dead;
            replace_record(state, *slot, std::move(record), now, actions);
        }
    }
}

void purge_tombstones(membership_state& state, time_point now) {
    if (now < state.next_purge) {
        return;
    }
    state.next_purge = now + purge_period;
    for (std::size_t place = 0; place < state.slots.size();) {
        auto& slot = state.slots[place];
        if (present(slot.record) || now - slot.changed_at < state.options.tombstone_retention) {
            ++place;
            continue;
        }
        state.index.erase(slot.record.name);
        if (place + 1 != state.slots.size()) {
            slot = std::move(state.slots.back());
            state.index[slot.record.name] = static_cast<std::uint32_t>(place);
        }
        state.slots.pop_back();
    }
}

void request_sync(membership_state& state, membership_actions& actions, std::string const& address,
                  std::string const& recipient) {
    auto message = make_message(state, membership_kind::sync_request, 0);
    message.buckets.assign(state.buckets.begin(), state.buckets.end());
    message.updates.push_back(state.self);
    send(state, actions, address, recipient, std::move(message));
}

// Joins through the seeds, compares tables with a random peer now and then, and tries members held
// as dead, so that two sides of a healed partition find each other.
void advance_sync(membership_state& state, time_point now, membership_actions& actions) {
    auto* const peer = random_slot(state, [](auto const& slot) { return present(slot.record); });
    if (now >= state.next_sync || (state.sync_awaited && now >= state.sync_retry)) {
        // A member that just started asks the seeds too, since its peers may know as little as it
        // does, and asks more often at first.
        bool const young = state.sync_interval < state.options.sync_period;
        bool const use_seed = !state.seeds.empty() &&
                              (peer == nullptr || (young && next_below(state.random, 2) == 0));
        if (use_seed) {
            auto const& seed = state.seeds[next_below(state.random, state.seeds.size())];
            if (seed != state.self.address) {
                request_sync(state, actions, seed, "");
            }
        } else if (peer != nullptr) {
            request_sync(state, actions, peer->record.address, peer->record.name);
        }
        state.sync_awaited = peer != nullptr;
        state.sync_retry = now + state.options.join_period;
        state.next_sync = now + (peer != nullptr ? state.sync_interval : state.options.join_period);
        if (peer != nullptr) {
            state.sync_interval = std::min(state.sync_interval * 2, state.options.sync_period);
        }
    }
    if (now < state.next_reconnect) {
        return;
    }
    state.next_reconnect = now + state.options.reconnect_period;
    auto* const gone = random_slot(
        state, [](auto const& slot) { return slot.record.health == member_health::dead; });
    if (gone != nullptr) {
        request_sync(state, actions, gone->record.address, gone->record.name);
    }
    if (peer == nullptr || state.seeds.empty()) {
        return;
    }
    auto const& seed = state.seeds[next_below(state.random, state.seeds.size())];
    bool const known =
        seed == state.self.address || std::ranges::any_of(state.slots, [&seed](auto const& slot) {
            return present(slot.record) && slot.record.address == seed;
        });
    if (!known) {
        request_sync(state, actions, seed, "");
    }
}

// Sends all records of the marked buckets, split into messages of bounded size.
void send_buckets(membership_state& state, membership_actions& actions, std::string const& address,
                  membership_kind kind, std::uint64_t marked) {
    auto message = make_message(state, kind, 0);
    message.differing = kind == membership_kind::sync_reply ? marked : 0;
    // In bucket order, so that a lost message leaves few buckets to repair.
    std::vector<std::pair<std::size_t, member_record const*>> chosen;
    auto const choose = [&](member_record const& record) {
        auto const bucket = bucket_of(record.name);
        if ((marked >> bucket & 1U) != 0) {
            chosen.emplace_back(bucket, &record);
        }
    };
    choose(state.self);
    for (auto const& slot : state.slots) {
        choose(slot.record);
    }
    std::ranges::stable_sort(chosen, {}, [](auto const& entry) { return entry.first; });
    std::size_t size = 0;
    for (auto const& [bucket, record] : chosen) {
        if (size >= state.options.sync_bytes) {
            actions.send.push_back({address, message});
            message.updates.clear();
            message.differing = 0;
            size = 0;
        }
        size += record_size_bound(*record);
        message.updates.push_back(*record);
    }
    actions.send.push_back({address, std::move(message)});
}

void answer_sync(membership_state& state, membership_actions& actions, std::string const& address,
                 membership_message const& request) {
    if (request.buckets.size() != membership_buckets) {
        return;
    }
    std::uint64_t differing = 0;
    for (std::size_t bucket = 0; bucket < membership_buckets; ++bucket) {
        if (request.buckets[bucket] != state.buckets.at(bucket)) {
            differing |= std::uint64_t{1} << bucket;
        }
    }
    // Equal tables get a reply too, so that the requester knows that its request was not lost.
    send_buckets(state, actions, address, membership_kind::sync_reply, differing);
}

void note_evidence(membership_state& state, time_point now, membership_actions& actions) {
    state.evidence_at = now;
    if (state.isolated) {
        state.isolated = false;
        actions.notices.push_back(membership_notice::isolation_ended);
    }
}

// An ack ends our probe, or is passed back to the member that asked us to ping.
void receive_ack(membership_state& state, membership_message const& message, time_point now,
                 membership_actions& actions) {
    if (state.probe.active && message.sequence == state.probe.sequence) {
        state.probe.active = false;
        state.health_score -= state.health_score > 0 ? 1 : 0;
        note_evidence(state, now, actions);
        return;
    }
    auto const relay =
        std::ranges::find(state.relays, message.sequence, &membership_relay::sequence);
    if (relay != state.relays.end()) {
        auto reply = make_message(state, membership_kind::ack, relay->requester_sequence);
        actions.send.push_back({relay->requester, std::move(reply)});
        state.relays.erase(relay);
    }
}

void receive_ping_request(membership_state& state, std::string const& from,
                          membership_message const& message, time_point now,
                          membership_actions& actions) {
    auto const sequence = ++state.sequence;
    state.relays.push_back({.requester = from,
                            .requester_sequence = message.sequence,
                            .sequence = sequence,
                            .nack_at = now + state.options.relay_timeout,
                            .expires_at = now + relay_lifetime});
    auto ping = make_message(state, membership_kind::ping, sequence);
    ping.target = message.target;
    auto const* const slot = find_slot(state, message.target);
    auto const& address = slot != nullptr ? slot->record.address : message.target_address;
    send(state, actions, address, message.target, std::move(ping));
}

void receive_ping(membership_state& state, std::string const& from,
                  membership_message const& message, membership_actions& actions) {
    // A replaced VM may have taken over the address: only the named member may ack.
    bool const named = message.target == state.self.name;
    auto reply = make_message(state, named ? membership_kind::ack : membership_kind::gossip,
                              message.sequence);
    if (!named || find_slot(state, message.sender) == nullptr) {
        reply.updates.push_back(state.self);
    }
    send(state, actions, from, message.sender, std::move(reply));
}

// Wakes up after this process was not scheduled: what it did not hear in that time is no evidence.
void absorb_stall(membership_state& state, time_point now, membership_actions& actions) {
    duration const gap = now - state.last_tick;
    state.last_tick = now;
    if (gap < state.options.tick_period * stalled_ticks) {
        return;
    }
    state.probe.active = false;
    state.evidence_at += gap;
    for (auto const& name : state.suspects) {
        if (auto* const slot = find_slot(state, name); slot != nullptr) {
            slot->suspected_at += gap;
        }
    }
    state.health_score = std::min(state.health_score + 1, state.options.health_limit);
    actions.notices.push_back(membership_notice::stalled);
}

} // namespace

membership_state start_membership(member_record self, std::vector<std::string> seeds,
                                  std::uint64_t seed, time_point now, membership_options options) {
    membership_state state;
    state.options = options;
    state.random.state = seed ^ hash64(self.name);
    state.self = std::move(self);
    state.seeds = std::move(seeds);
    state.buckets.at(bucket_of(state.self.name)) ^= record_hash(state.self);
    state.last_tick = now;
    state.evidence_at = now;
    state.next_sync = now;
    state.sync_interval = options.join_period;
    // Spread over the period, so that daemons started together do not probe in step.
    auto const spread = [&state](duration period) {
        return duration{
            static_cast<std::int64_t>(next_unit(state.random) * double(period.count()))};
    };
    state.next_probe = now + spread(options.probe_period);
    state.next_reconnect = now + options.reconnect_period + spread(options.reconnect_period);
    state.next_purge = now + purge_period;
    queue_update(state, state.self.name, true);
    return state;
}

membership_actions membership_tick(membership_state& state, time_point now) {
    membership_actions actions;
    if (state.self.health == member_health::left) {
        return actions;
    }
    absorb_stall(state, now, actions);
    advance_relays(state, now, actions);
    advance_probe(state, now, actions);
    expire_suspicions(state, now, actions);
    purge_tombstones(state, now);
    gossip_to(state, actions, state.options.gossip_fanout);
    advance_sync(state, now, actions);
    bool const alone = state.slots.empty();
    if (!alone && !state.isolated && now - state.evidence_at >= state.options.isolation_after) {
        state.isolated = true;
        actions.notices.push_back(membership_notice::isolated);
    }
    return actions;
}

membership_actions membership_receive(membership_state& state, std::string const& from,
                                      membership_message const& message, time_point now) {
    membership_actions actions;
    if (state.self.health == member_health::left) {
        return actions;
    }
    if (message.kind == membership_kind::sync_reply && message.differing != 0) {
        // Before merging: what the peer just sent need not go back.
        send_buckets(state, actions, from, membership_kind::sync_records, message.differing);
    }
    bool const sync = message.kind >= membership_kind::sync_request;
    std::uint32_t const sender = short_hash(message.sender);
    for (auto const& record : message.updates) {
        merge(state, record, sync, sender, now, actions);
    }
    if (auto* const slot = find_slot(state, message.sender); slot != nullptr) {
        slot->heard_at = now;
    }
    heard_hint heard{from, message.hint, std::nullopt};
    bool const own_probe = state.probe.active && message.sequence == state.probe.sequence;
    if (message.kind == membership_kind::ack && own_probe && message.hint.confirmed_age) {
        heard.age_bound = *message.hint.confirmed_age + (now - state.probe.sent_at);
    }
    actions.hints.push_back(std::move(heard));
    switch (message.kind) {
    case membership_kind::ping:
        receive_ping(state, from, message, actions);
        break;
    case membership_kind::ping_request:
        receive_ping_request(state, from, message, now, actions);
        break;
    case membership_kind::ack:
        receive_ack(state, message, now, actions);
        break;
    case membership_kind::nack:
        if (own_probe) {
            ++state.probe.nacks;
            note_evidence(state, now, actions);
        }
        break;
    case membership_kind::sync_request:
        answer_sync(state, actions, from, message);
        break;
    case membership_kind::sync_reply:
        note_evidence(state, now, actions);
        state.sync_awaited = false;
        break;
    case membership_kind::gossip:
    case membership_kind::sync_records:
        break;
    }
    return actions;
}

membership_actions set_leaving(membership_state& state, bool leaving) {
    membership_actions actions;
    if (state.self.leaving != leaving) {
        state.self.leaving = leaving;
        republish_self(state, state.self.incarnation, state.self.version + 1);
        gossip_to(state, actions, urgent_fanout);
    }
    return actions;
}

membership_actions depart(membership_state& state) {
    membership_actions actions;
    republish_self(state, state.self.incarnation, state.self.version + 1);
    state.self.leaving = true;
    state.self.health = member_health::left;
    gossip_to(state, actions, urgent_fanout);
    return actions;
}

void set_serves(membership_state& state, std::vector<std::string> serves) {
    if (state.self.serves != serves) {
        state.self.serves = std::move(serves);
        republish_self(state, state.self.incarnation, state.self.version + 1);
    }
}

member_record const* find_member(membership_state const& state, std::string const& name) {
    return record_of(state, name);
}

std::vector<member_record const*> present_members(membership_state const& state, member_role role) {
    std::vector<member_record const*> found;
    if (state.self.role == role && present(state.self)) {
        found.push_back(&state.self);
    }
    for (auto const& slot : state.slots) {
        if (slot.record.role == role && present(slot.record)) {
            found.push_back(&slot.record);
        }
    }
    std::ranges::sort(found, {}, [](auto const* record) { return record->name; });
    return found;
}

std::vector<std::string> random_peers(membership_state& state, std::size_t count) {
    std::vector<std::string> peers;
    while (peers.size() < count) {
        auto const* const slot = random_slot(state, [&peers](auto const& candidate) {
            return present(candidate.record) &&
                   std::ranges::find(peers, candidate.record.address) == peers.end();
        });
        if (slot == nullptr) {
            break;
        }
        peers.push_back(slot->record.address);
    }
    return peers;
}

std::size_t record_size_bound(member_record const& record) {
    std::size_t size = record_overhead + record.name.size() + record.address.size() +
                       record.public_address.size() + record.zone.size();
    for (auto const& served : record.serves) {
        size += served.size() + 2;
    }
    return size;
}

} // namespace fireflycrank
