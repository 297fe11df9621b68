#include "fakefleet.h"

#include "cachewire.h"
#include "entrycache.h"
#include "membershipwire.h"

#include "messages.pb.h"

#include <algorithm>
#include <array>
#include <ctime>

namespace fireflycrank {

namespace {

constexpr std::array<char const*, 6> zones{"kumamoto-a", "yatsushiro-b", "aso-c",
                                           "heredia",    "cartago",      "alajuela"};
constexpr std::size_t model_count = 3;
constexpr duration read_message_cost = std::chrono::milliseconds{2};
constexpr std::size_t read_request_bytes = 160;
constexpr std::size_t preload_batch = 50;

// Runs a step of a node and adds its processor time where that is measured.
template <class Step>
void timed(fleet_node& node, Step const& step) {
    if (!node.timed) {
        step();
        return;
    }
    auto const processor = [] {
        timespec spent{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
        return std::chrono::seconds{spent.tv_sec} + std::chrono::nanoseconds{spent.tv_nsec};
    };
    auto const before = processor();
    step();
    node.processor_time += processor() - before;
}

void schedule(fake_fleet& target, std::size_t node, duration delay, std::function<void()> run) {
    target.events.push_back({target.now + delay, ++target.event_count, node, std::move(run)});
    std::ranges::push_heap(target.events, fleet_event_later{});
}

std::size_t index_of(fake_fleet const& target, fleet_node const& node) {
    return target.by_address.at(node.address);
}

duration random_span(fake_fleet& target, duration limit) {
    return duration{static_cast<std::int64_t>(next_unit(target.random) * double(limit.count()))};
}

duration travel_time(fake_fleet& target) {
    auto const range = target.faults.most_delay - target.faults.least_delay;
    return target.faults.least_delay + random_span(target, range);
}

bool lost(fake_fleet& target, std::size_t from, std::size_t to) {
    return (target.faults.cut && target.faults.cut(from, to)) ||
           next_unit(target.random) < target.faults.loss;
}

void deliver(fake_fleet& target, fleet_node& node, std::string const& bytes);
void perform(fake_fleet& target, fleet_node& node, config_actions const& actions);

// Puts a message into an envelope and gives it to the network.
template <class Message>
void post(fake_fleet& target, fleet_node& node, std::string const& address, std::string_view type,
          Message const& message) {
    wire::Envelope envelope;
    envelope.set_sender(node.address);
    envelope.set_type(std::string{type});
    envelope.set_body(encode(message));
    auto const bytes = std::make_shared<std::string const>(envelope.SerializeAsString());
    node.bytes += bytes->size() + message_overhead;
    ++node.messages;
    auto const found = target.by_address.find(address);
    if (found == target.by_address.end()) {
        return;
    }
    std::size_t const to = found->second;
    std::size_t const copies = next_unit(target.random) < target.faults.duplication ? 2 : 1;
    for (std::size_t copy = 0; copy < copies; ++copy) {
        if (!lost(target, index_of(target, node), to)) {
            schedule(target, to, travel_time(target) + node.lag + target.nodes[to]->lag,
                     [&target, to, bytes] {
                         if (target.nodes[to]->up) {
                             deliver(target, *target.nodes[to], *bytes);
                         }
                     });
        }
    }
}

void answer_read(fake_fleet& target, std::size_t reader, std::uint64_t incarnation,
                 time_point read_started) {
    auto& node = *target.nodes[reader];
    if (!node.up || node.incarnation != incarnation) {
        return;
    }
    node.bytes += read_request_bytes + message_overhead;
    perform(target, node,
            config_majority_read(node.config, target.confirmed, read_started,
                                 target.control.front(), target.now));
}

// A linearizable read at the leader, reduced to one round trip of two messages.
void read_majority(fake_fleet& target, fleet_node& node) {
    std::size_t const reader = index_of(target, node);
    node.bytes += read_request_bytes + message_overhead;
    if (!target.majority || lost(target, reader, 0) || lost(target, 0, reader)) {
        return;
    }
    auto const started = target.now;
    auto const incarnation = node.incarnation;
    schedule(target, reader, read_message_cost + node.lag, [&target, reader, incarnation, started] {
        answer_read(target, reader, incarnation, started);
    });
}

void perform(fake_fleet& target, fleet_node& node, config_actions const& actions) {
    for (auto const& [address, message] : actions.send) {
        post(target, node, address, config_type, message);
    }
    for (auto const notice : actions.notices) {
        if (target.on_config) {
            target.on_config(node, notice);
        }
    }
    if (actions.read_majority) {
        read_majority(target, node);
    }
}

void deliver(fake_fleet& target, fleet_node& node, std::string const& bytes) {
    node.bytes += bytes.size() + message_overhead;
    timed(node, [&] {
        wire::Envelope envelope;
        if (!envelope.ParseFromString(bytes)) {
            return;
        }
        auto const& from = envelope.sender();
        auto const& body = envelope.body();
        if (envelope.type() == membership_type) {
            node.members.hint = make_hint(node.config, target.now);
            perform(target, node,
                    membership_receive(node.members, from, decode_membership(body).value(),
                                       target.now));
        } else if (envelope.type() == config_type) {
            perform(target, node,
                    config_receive(node.config, from, decode_config(body).value(), target.now));
        } else if (envelope.type() == load_report_type) {
            load_received(node.reader, decode_load_report(body).value(), target.now);
        } else if (envelope.type() == load_subscribe_type) {
            load_subscribed(node.reporter, from, decode_load_subscribe(body).value(), target.now);
        }
    });
}

void tick_loads(fake_fleet& target, fleet_node& node) {
    if (node.role == member_role::entry) {
        for (auto const& [address, message] : follow_tick(node.reader, target.now)) {
            post(target, node, address, load_subscribe_type, message);
        }
    } else if (node.role == member_role::agent) {
        for (auto const& [address, message] :
             load_tick(node.reporter, node.load, duration{0}, target.now)) {
            post(target, node, address, load_report_type, message);
        }
        node.cache.target = node.name;
        node.cache.incarnation = node.incarnation;
        set_cache_readers(node.cache, cache_readers(node.reporter, target.now), target.now);
        for (auto const& [address, message] : tick_cache_feed(node.cache, target.now)) {
            post(target, node, address, cache_news_type, message);
        }
    }
}

void tick(fake_fleet& target, std::size_t place, std::uint64_t incarnation) {
    auto& node = *target.nodes[place];
    if (!node.up || node.incarnation != incarnation) {
        return;
    }
    timed(node, [&] {
        node.members.hint = make_hint(node.config, target.now);
        perform(target, node, membership_tick(node.members, target.now));
        bool const control = node.role == member_role::control;
        if (control && place == 0 && target.majority && target.confirmed.revision > 0) {
            perform(
                target, node,
                config_majority_read(node.config, target.confirmed, target.now, "", target.now));
        }
        auto const peers = random_peers(
            node.members, node.config.announces_left > 0 ? node.config.options.announce_fanout : 0);
        std::vector<std::string> const none;
        auto actions = config_tick(node.config, peers, control ? none : target.control, target.now);
        actions.read_majority = actions.read_majority && !control;
        perform(target, node, actions);
        if (target.loads) {
            tick_loads(target, node);
        }
    });
    schedule(target, place, target.membership.tick_period,
             [&target, place, incarnation] { tick(target, place, incarnation); });
}

member_record record_of(fleet_node const& node) {
    member_record record;
    record.name = node.name;
    record.address = node.address;
    record.zone = node.zone;
    record.role = node.role;
    record.incarnation = node.incarnation;
    if (node.role == member_role::agent) {
        // Three models, each in every zone.
        std::size_t const model = node.place / zones.size() % model_count;
        record.serves = {"model-" + std::to_string(model)};
    } else if (node.role == member_role::entry) {
        record.public_address = node.address;
    }
    return record;
}

void start_node(fake_fleet& target, std::size_t place, duration phase) {
    auto& node = *target.nodes[place];
    node.up = true;
    std::uint64_t const seed = target.seed + (node.incarnation * 1000) + place;
    node.members =
        start_membership(record_of(node), target.seeds, seed, target.now, target.membership);
    node.config = start_configsync(node.name, seed, target.configuration);
    if (node.role == member_role::control && target.confirmed.revision > 0) {
        perform(target, node,
                config_publish(node.config, target.confirmed, target.files, target.now));
    }
    node.reporter = {.target = node.name, .incarnation = node.incarnation};
    node.reader = {.entry = node.name, .incarnation = node.incarnation};
    auto const incarnation = node.incarnation;
    schedule(target, place, phase,
             [&target, place, incarnation] { tick(target, place, incarnation); });
}

// Gives a node the records of all members as if it had been running for long.
void acquaint(fake_fleet& target, fleet_node& node) {
    membership_message message;
    message.kind = membership_kind::sync_records;
    auto const flush = [&] {
        membership_receive(node.members, "", message, target.now);
        node.members.queue.clear();
        message.updates.clear();
    };
    for (auto const& other : target.nodes) {
        message.updates.push_back(record_of(*other));
        if (message.updates.size() == preload_batch) {
            flush();
        }
    }
    flush();
    node.members.sync_interval = target.membership.sync_period;
    node.members.next_sync += random_span(target, target.membership.sync_period);
}

} // namespace

void perform(fake_fleet& target, fleet_node& node, membership_actions const& actions) {
    for (auto const& [address, message] : actions.send) {
        post(target, node, address, membership_type, message);
    }
    for (auto const& change : actions.changes) {
        if (target.on_change) {
            target.on_change(node, change);
        }
    }
    for (auto const notice : actions.notices) {
        if (target.on_membership) {
            target.on_membership(node, notice);
        }
    }
    for (auto const& hint : actions.hints) {
        perform(target, node, config_heard(node.config, hint, target.now));
    }
}

void build_fleet(fake_fleet& target, fleet_size const& size, std::uint64_t seed, bool acquainted) {
    target.seed = seed;
    target.random.state = seed;
    // Far from zero, so that no time subtracted from it is before the clock's start.
    target.now = time_point{std::chrono::hours{100}};
    std::size_t const total = size.control + size.entries + size.agents;
    for (std::size_t place = 0; place < total; ++place) {
        auto node = std::make_unique<fleet_node>();
        bool const control = place < size.control;
        bool const entry = !control && place < size.control + size.entries;
        node->role =
            control ? member_role::control : (entry ? member_role::entry : member_role::agent);
        node->name =
            (control ? "control-" : (entry ? "entry-" : "target-")) + std::to_string(place);
        node->address = "10.0." + std::to_string(place / 250) + "." +
                        std::to_string((place % 250) + 1) + ":7000";
        node->place = place;
        node->zone = zones.at(place % zones.size());
        target.by_address[node->address] = place;
        if (control) {
            target.control.push_back(node->address);
        }
        if (place < std::max<std::size_t>(size.control, 3)) {
            target.seeds.push_back(node->address);
        }
        target.nodes.push_back(std::move(node));
    }
    for (std::size_t place = 0; place < total; ++place) {
        start_node(target, place, random_span(target, target.membership.tick_period));
        if (acquainted) {
            acquaint(target, *target.nodes[place]);
            target.nodes[place]->members.queue.clear();
        }
    }
}

void run_fleet(fake_fleet& target, duration span) {
    time_point const end = target.now + span;
    while (!target.events.empty() && target.events.front().at <= end) {
        std::ranges::pop_heap(target.events, fleet_event_later{});
        auto const event = std::move(target.events.back());
        target.events.pop_back();
        target.now = event.at;
        event.run();
    }
    target.now = end;
}

void stop_node(fake_fleet& target, std::size_t node) {
    target.nodes[node]->up = false;
}

void restart_node(fake_fleet& target, std::size_t node) {
    ++target.nodes[node]->incarnation;
    start_node(target, node, duration{0});
}

void commit_files(fake_fleet& target, config_files files) {
    target.files = std::move(files);
    ++target.confirmed.revision;
    target.confirmed.index += 3;
    target.confirmed.term = std::max<std::uint64_t>(target.confirmed.term, 1);
    target.confirmed.digest = config_digest(target.files);
    for (auto& node : target.nodes) {
        if (node->up && node->role == member_role::control) {
            perform(target, *node,
                    config_publish(node->config, target.confirmed, target.files, target.now));
        }
    }
}

void follow_subset(fake_fleet& target, fleet_node& node) {
    std::vector<subset_node> entries;
    for (auto const* record : present_members(node.members, member_role::entry)) {
        entries.push_back({record->name, record->zone});
    }
    std::map<std::string, std::vector<subset_node>> pools;
    for (auto const* record : present_members(node.members, member_role::agent)) {
        for (auto const& served : record->serves) {
            pools[served].push_back({record->name, record->zone});
        }
    }
    std::vector<load_target> followed;
    for (auto const& [served, targets] : pools) {
        for (auto const& name :
             choose_subset({node.name, node.zone}, entries, targets, target.subset)) {
            auto const* record = find_member(node.members, name);
            followed.push_back({name, record->address, record->incarnation});
        }
    }
    node.reader.cache_rate = cache_event_rate(followed.size());
    for (auto const& [address, message] : follow(node.reader, followed, target.now)) {
        post(target, node, address, load_subscribe_type, message);
    }
}

} // namespace fireflycrank
