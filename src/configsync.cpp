#include "configsync.h"

#include "configwire.h"
#include "digest.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <tuple>

namespace fireflycrank {

namespace {

// Differences kept for further pullers; the byte limit matters with large full sets only.
constexpr std::size_t payload_cache = 4;
constexpr std::size_t payload_cache_bytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t source_limit = 16;
// Parts of one window come nearly together: once the last is here, missing ones are probably lost.
constexpr duration early_retry = std::chrono::milliseconds{100};
constexpr std::uint32_t control_tries = 6;
// Suppliers without a difference from the held revision, after which the full set is pulled: a
// member that just started knows no older revision, but most others do.
constexpr std::uint32_t refusal_limit = 3;
// Lost contact makes every daemon read at once; each waits this many read periods, with jitter.
constexpr int late_read_periods = 5;

bool same_file(std::shared_ptr<config_file const> const& left,
               std::shared_ptr<config_file const> const& right) {
    return left == right || left->digest == right->digest;
}

std::vector<std::string> touched_files(config_files const& before, config_files const& after) {
    std::vector<std::string> touched;
    for (auto const& [name, file] : after) {
        auto const old = before.find(name);
        if (old == before.end() || !same_file(old->second, file)) {
            touched.push_back(name);
        }
    }
    for (auto const& [name, file] : before) {
        if (!after.contains(name)) {
            touched.push_back(name);
        }
    }
    return touched;
}

config_message make_message(config_state const& state, config_kind kind) {
    config_message message;
    message.kind = kind;
    message.sender = state.self;
    message.ident = state.ident;
    return message;
}

std::uint64_t held_revision(config_state const& state) {
    return state.held ? state.ident.revision : 0;
}

// Revisions and log positions must rise together; anything else is no successor of what is held.
bool contradicts(config_state const& state, config_ident const& ident) {
    if (!state.held || ident.revision < state.ident.revision) {
        return false;
    }
    if (ident.revision == state.ident.revision) {
        return ident.digest != state.ident.digest;
    }
    return ident.index <= state.ident.index || ident.term < state.ident.term;
}

void report_conflict(config_state& state, std::uint64_t revision, config_actions& actions) {
    if (state.conflict_reported != revision) {
        state.conflict_reported = revision;
        state.read_wanted = true;
        actions.notices.push_back(config_notice::conflict);
    }
}

// Notes that everything confirmed by `at` is contained in `revision`.
void note_confirmation(config_state& state, std::uint64_t revision, time_point at) {
    auto& slot = state.held && revision <= state.ident.revision ? state.confirmed : state.pending;
    if (!slot || at > slot->at) {
        slot = config_confirmation{revision, at};
    }
}

void adopt(config_state& state, config_ident const& ident, config_files files, time_point now,
           config_actions& actions) {
    state.adopted_at = now;
    if (state.held) {
        state.history.push_back(
            {state.ident.revision, state.ident.digest, touched_files(state.files, files)});
        if (state.history.size() > state.options.history) {
            state.history.pop_front();
        }
    }
    state.ident = ident;
    state.files = std::move(files);
    state.held = true;
    state.full_only = false;
    state.refusals = 0;
    state.announces_left = state.options.announce_rounds;
    state.adopted_left = state.options.adopted_copies;
    state.adopted_acks.clear();
    if (state.pending && state.pending->revision <= ident.revision) {
        note_confirmation(state, state.pending->revision, state.pending->at);
        state.pending.reset();
    }
    std::erase_if(state.sources, [&ident](auto const& source) {
        return source.second.revision <= ident.revision;
    });
    actions.notices.push_back(config_notice::adopted);
}

void send_pull(config_state& state, time_point now, config_actions& actions) {
    auto& transfer = state.transfer;
    auto message = make_message(state, config_kind::pull);
    message.ident = {.revision = held_revision(state) + 1};
    if (state.held && !state.full_only) {
        message.base_revision = state.ident.revision;
        message.base_digest = state.ident.digest;
    }
    message.payload = transfer.payload;
    transfer.awaited = 1;
    transfer.last_awaited = 0;
    if (transfer.payload != 0) {
        for (std::uint64_t offset = 0; offset < transfer.total;
             offset += state.options.part_bytes) {
            if (!transfer.parts.contains(offset)) {
                message.offsets.push_back(offset);
            }
            if (message.offsets.size() >= state.options.part_window) {
                break;
            }
        }
        transfer.awaited = static_cast<std::uint32_t>(message.offsets.size());
        transfer.last_awaited = message.offsets.empty() ? 0 : message.offsets.back();
    }
    // A second try gets more time for a slow path. The growth starts over with each supplier,
    // because losses at one say nothing about the next; late parts count whoever sent them.
    transfer.deadline =
        now + state.options.pull_timeout * (1 + transfer.timeouts % state.options.supplier_tries);
    actions.send.push_back({transfer.supplier, std::move(message)});
}

// Tells whether a difference applies to what is held.
template <class Based>
bool usable_base(config_state const& state, Based const& based) {
    return based.base_revision == 0 ||
           (state.held && !state.full_only && based.base_revision == state.ident.revision &&
            based.base_digest == state.ident.digest);
}

// Leaves out suppliers that have failed in this transfer, unless that leaves none. A dead replica
// that is drawn again and again costs seconds each time.
void avoid_failed(std::vector<std::string>& failed, std::vector<std::string>& suppliers) {
    auto const has_failed = [&failed](std::string const& supplier) {
        return std::ranges::find(failed, supplier) != failed.end();
    };
    if (std::ranges::all_of(suppliers, has_failed)) {
        failed.clear();
    }
    std::erase_if(suppliers, has_failed);
}

// Pulls from a random one of the members known to have the newest revision. Parts of a difference
// under way are kept: another supplier makes the same one, or its own parts replace them.
void start_transfer(config_state& state, time_point now, config_actions& actions) {
    std::uint64_t newest = held_revision(state);
    std::vector<std::string> best;
    for (auto const& [address, ident] : state.sources) {
        if (ident.revision > newest) {
            newest = ident.revision;
            best.clear();
        }
        if (ident.revision == newest) {
            best.push_back(address);
        }
    }
    if (best.empty()) {
        state.transfer = {};
        return;
    }
    // A full set costs a daemon its byte rate for a minute, so the replicas supply it while they
    // can.
    if ((!state.held || state.full_only) && state.transfer.timeouts < control_tries &&
        !state.control.empty()) {
        best = state.control;
    }
    avoid_failed(state.transfer.failed, best);
    if (state.transfer.payload != 0 && !usable_base(state, state.transfer)) {
        auto failed = std::move(state.transfer.failed);
        state.transfer = {};
        state.transfer.failed = std::move(failed);
    }
    state.transfer.active = true;
    state.transfer.supplier = best[next_below(state.random, best.size())];
    send_pull(state, now, actions);
}

void add_source(config_state& state, std::string const& address, config_ident const& ident,
                time_point now, config_actions& actions) {
    if (address.empty() || ident.revision <= held_revision(state)) {
        return;
    }
    if (state.sources.size() < source_limit || state.sources.contains(address)) {
        state.sources[address] = ident;
    }
    if (!state.transfer.active) {
        start_transfer(state, now, actions);
    }
}

// Makes the difference from the puller's revision, or the full set for revision 0; null when that
// revision is not in the history. Differences are kept for the next pullers of the same revision.
config_payload const* payload_for(config_state& state, std::uint64_t base_revision,
                                  std::string const& base_digest) {
    auto const step = std::ranges::find_if(state.history, [&](auto const& candidate) {
        return candidate.base_revision == base_revision && candidate.base_digest == base_digest;
    });
    bool const full = base_revision == 0;
    if (!full && step == state.history.end()) {
        return nullptr;
    }
    for (auto const& made : state.payloads) {
        if (made.ident == state.ident && made.base_revision == base_revision &&
            made.base_digest == base_digest) {
            return &made;
        }
    }
    std::set<std::string> touched;
    for (auto place = step; place != state.history.end(); ++place) {
        touched.insert(place->touched.begin(), place->touched.end());
    }
    if (full) {
        for (auto const& [name, file] : state.files) {
            touched.insert(name);
        }
    }
    auto bytes = std::make_shared<std::string const>(encode_file_changes(state.files, touched));
    std::uint64_t const hash = hash64(*bytes, base_revision) | 1U;
    state.payloads.push_front({base_revision, base_digest, state.ident, hash, std::move(bytes)});
    std::size_t kept = 0;
    for (auto const& made : state.payloads) {
        kept += made.bytes->size();
    }
    while (state.payloads.size() > payload_cache ||
           (state.payloads.size() > 1 && kept > payload_cache_bytes)) {
        kept -= state.payloads.back().bytes->size();
        state.payloads.pop_back();
    }
    return &state.payloads.front();
}

void answer_pull(config_state& state, std::string const& from, config_message const& pull,
                 config_actions& actions) {
    if (!state.held || state.ident.revision < pull.ident.revision) {
        return;
    }
    // A transfer that began before this member moved on is finished from the kept difference.
    auto const kept = std::ranges::find(state.payloads, pull.payload, &config_payload::hash);
    auto const* const found = pull.payload != 0 && kept != state.payloads.end()
                                  ? &*kept
                                  : payload_for(state, pull.base_revision, pull.base_digest);
    if (found == nullptr) {
        actions.send.push_back({from, make_message(state, config_kind::no_difference)});
        return;
    }
    auto const& payload = *found;
    bool const resumed = payload.hash == pull.payload;
    std::vector<std::uint64_t> offsets;
    if (resumed) {
        offsets = pull.offsets;
    }
    std::uint64_t const step = state.options.part_bytes;
    for (std::uint64_t place = 0; offsets.empty() || (!resumed && place < payload.bytes->size());
         place += step) {
        if (offsets.size() >= state.options.part_window) {
            break;
        }
        offsets.push_back(place);
    }
    offsets.resize(std::min<std::size_t>(offsets.size(), state.options.part_window));
    for (std::uint64_t const offset : offsets) {
        if (offset > payload.bytes->size()) {
            continue;
        }
        auto part = make_message(state, config_kind::part);
        part.ident = payload.ident;
        part.base_revision = payload.base_revision;
        part.base_digest = payload.base_digest;
        part.payload = payload.hash;
        part.total = payload.bytes->size();
        part.offset = offset;
        part.bytes = payload.bytes->substr(offset, step);
        actions.send.push_back({from, std::move(part)});
    }
}

void finish_transfer(config_state& state, time_point now, config_actions& actions) {
    auto const transfer = std::move(state.transfer);
    state.transfer = {};
    std::string bytes;
    for (auto const& [offset, part] : transfer.parts) {
        bytes += part;
    }
    config_files files = transfer.base_revision == 0 ? config_files{} : state.files;
    bool const whole = (hash64(bytes, transfer.base_revision) | 1U) == transfer.payload;
    if (!whole || !apply_file_changes(bytes, files) ||
        config_digest(files) != transfer.ident.digest) {
        state.full_only = true;
        actions.notices.push_back(config_notice::digest_mismatch);
        state.sources.erase(transfer.supplier);
    } else {
        adopt(state, transfer.ident, std::move(files), now, actions);
    }
    start_transfer(state, now, actions);
}

void receive_part(config_state& state, std::string const& from, config_message const& part,
                  time_point now, config_actions& actions) {
    auto& transfer = state.transfer;
    std::uint64_t const expected =
        part.offset > part.total
            ? 0
            : std::min<std::uint64_t>(state.options.part_bytes, part.total - part.offset);
    bool const shaped = part.total <= state.options.max_payload &&
                        part.offset % state.options.part_bytes == 0 && part.offset <= part.total &&
                        part.bytes.size() == expected;
    if (!transfer.active || !usable_base(state, part) || !shaped ||
        part.ident.revision <= held_revision(state)) {
        return;
    }
    if (contradicts(state, part.ident)) {
        report_conflict(state, part.ident.revision, actions);
        state.sources.erase(from);
        start_transfer(state, now, actions);
        return;
    }
    if (part.payload != transfer.payload) {
        // Late parts of an abandoned difference must not displace the one under way.
        bool const newer = part.ident.revision > transfer.ident.revision;
        bool const replaces = part.ident == transfer.ident && from == transfer.supplier;
        if (transfer.payload != 0 && !newer && !replaces) {
            return;
        }
        transfer.parts.clear();
        transfer.payload = part.payload;
        transfer.ident = part.ident;
        transfer.base_revision = part.base_revision;
        transfer.base_digest = part.base_digest;
        transfer.total = part.total;
        std::uint64_t const count =
            (part.total + state.options.part_bytes - 1) / state.options.part_bytes;
        transfer.awaited = static_cast<std::uint32_t>(
            std::min<std::uint64_t>(std::max<std::uint64_t>(count, 1), state.options.part_window));
        transfer.last_awaited = (transfer.awaited - 1) * state.options.part_bytes;
    }
    if (!transfer.parts.emplace(part.offset, part.bytes).second) {
        return;
    }
    transfer.timeouts = 0;
    transfer.deadline =
        now + (part.offset >= transfer.last_awaited ? early_retry : state.options.pull_timeout);
    transfer.awaited -= transfer.awaited > 0 ? 1 : 0;
    std::uint64_t stored = 0;
    for (auto const& [offset, bytes] : transfer.parts) {
        stored += bytes.size();
    }
    if (stored >= transfer.total) {
        finish_transfer(state, now, actions);
    } else if (transfer.awaited == 0) {
        send_pull(state, now, actions);
    }
}

// The supplier knows our revision no more, or never did: another one may.
void receive_no_difference(config_state& state, std::string const& from, time_point now,
                           config_actions& actions) {
    if (!state.transfer.active || from != state.transfer.supplier || state.full_only) {
        return;
    }
    if (++state.refusals >= refusal_limit) {
        state.full_only = true;
    } else {
        state.sources.erase(from);
    }
    start_transfer(state, now, actions);
}

void receive_announce(config_state& state, std::string const& from, config_ident const& ident,
                      time_point now, config_actions& actions) {
    if (contradicts(state, ident)) {
        report_conflict(state, ident.revision, actions);
        return;
    }
    if (ident.revision < held_revision(state)) {
        actions.send.push_back({from, make_message(state, config_kind::announce)});
        return;
    }
    add_source(state, from, ident, now, actions);
}

void advance_transfer(config_state& state, time_point now, config_actions& actions) {
    auto& transfer = state.transfer;
    if (!transfer.active || now < transfer.deadline) {
        return;
    }
    if (++transfer.timeouts % state.options.supplier_tries != 0) {
        send_pull(state, now, actions);
        return;
    }
    state.sources.erase(transfer.supplier);
    transfer.failed.push_back(transfer.supplier);
    start_transfer(state, now, actions);
}

duration jittered(config_state& state, duration period) {
    return duration{
        static_cast<std::int64_t>((0.5 + next_unit(state.random)) * double(period.count()))};
}

bool read_due(config_state& state, time_point now) {
    auto const age = confirmed_age(state, now);
    bool const first = !state.floor;
    bool const recent = age && *age < state.options.read_after && !state.read_wanted;
    if ((!first && recent) || now < state.next_read) {
        return false;
    }
    state.read_wanted = false;
    auto const period = state.options.read_period * (first ? 1 : late_read_periods);
    state.next_read = now + jittered(state, period);
    return true;
}

void report_serving(config_state& state, time_point now, config_actions& actions) {
    auto const serving = serving_state(state, now);
    if (serving == state.reported) {
        return;
    }
    if (serving == config_serving::stale) {
        actions.notices.push_back(config_notice::stale);
    } else if (serving == config_serving::expired) {
        actions.notices.push_back(config_notice::expired);
    } else if (serving == config_serving::current && state.reported != config_serving::starting) {
        actions.notices.push_back(config_notice::contact_restored);
    }
    state.reported = serving;
}

void report_adopted(config_state& state, std::span<std::string const> control, time_point now,
                    config_actions& actions) {
    if (state.adopted_left == 0 || now < state.next_adopted) {
        return;
    }
    state.next_adopted = now + jittered(state, state.options.adopted_period);
    --state.adopted_left;
    for (auto const& address : control) {
        if (std::ranges::find(state.adopted_acks, address) == state.adopted_acks.end()) {
            actions.send.push_back({address, make_message(state, config_kind::adopted)});
        }
    }
}

} // namespace

std::shared_ptr<config_file const> make_config_file(std::string content) {
    auto digest = sha256_hex(content);
    return std::make_shared<config_file const>(config_file{std::move(content), std::move(digest)});
}

std::string config_digest(config_files const& files) {
    std::string fields;
    for (auto const& [name, file] : files) {
        fields += name;
        fields.push_back('\0'); // no file name holds it, so names and digests cannot run together
        fields += file->digest;
    }
    return sha256_hex(fields);
}

std::uint64_t digest_prefix(std::string const& digest) {
    std::uint64_t prefix = 0;
    constexpr std::size_t digits = 16;
    constexpr int base = 16;
    std::from_chars(digest.data(), digest.data() + std::min(digest.size(), digits), prefix, base);
    return prefix;
}

config_state start_configsync(std::string self, std::uint64_t seed, config_options options) {
    config_state state;
    state.options = options;
    state.random.state = seed ^ hash64(self);
    state.self = std::move(self);
    return state;
}

config_actions config_publish(config_state& state, config_ident const& ident, config_files files,
                              time_point now) {
    config_actions actions;
    if (contradicts(state, ident) || config_digest(files) != ident.digest) {
        report_conflict(state, ident.revision, actions);
    } else if (ident.revision > held_revision(state)) {
        state.floor = state.floor.value_or(ident.revision);
        adopt(state, ident, std::move(files), now, actions);
        state.transfer = {};
        start_transfer(state, now, actions);
    }
    return actions;
}

config_actions config_majority_read(config_state& state, config_ident const& ident,
                                    time_point read_started, std::string const& supplier,
                                    time_point now) {
    config_actions actions;
    if (ident.revision < held_revision(state)) {
        // A read begun after the adoption must return at least what is held: the majority lost a
        // confirmed revision. One begun earlier was overtaken by a change.
        if (read_started > state.adopted_at) {
            report_conflict(state, ident.revision, actions);
        }
        return actions;
    }
    // Only the first read after the start holds serving back: a later one that names a newer
    // revision must not stop a daemon that is about to pull it.
    state.floor = state.floor.value_or(ident.revision);
    if (state.held && ident.revision == state.ident.revision &&
        ident.digest != state.ident.digest) {
        state.held = false;
        state.floor = ident.revision;
        state.files.clear();
        state.history.clear();
        state.payloads.clear();
        state.confirmed.reset();
        actions.notices.push_back(config_notice::repaired);
    }
    note_confirmation(state, ident.revision, read_started);
    add_source(state, supplier, ident, now, actions);
    return actions;
}

config_actions config_heard(config_state& state, heard_hint const& heard, time_point now) {
    config_actions actions;
    auto const& hint = heard.hint;
    if (state.held && hint.revision == state.ident.revision &&
        hint.digest != digest_prefix(state.ident.digest)) {
        report_conflict(state, hint.revision, actions);
        return actions;
    }
    if (heard.age_bound && hint.revision != 0) {
        note_confirmation(state, hint.revision, now - *heard.age_bound);
    }
    add_source(state, heard.address, {.revision = hint.revision}, now, actions);
    return actions;
}

config_hint make_hint(config_state const& state, time_point now) {
    if (!state.held) {
        return {};
    }
    return {state.ident.revision, digest_prefix(state.ident.digest), confirmed_age(state, now)};
}

config_actions config_tick(config_state& state, std::span<std::string const> peers,
                           std::span<std::string const> control, time_point now) {
    config_actions actions;
    state.control.assign(control.begin(), control.end());
    advance_transfer(state, now, actions);
    if (state.held && state.announces_left > 0) {
        --state.announces_left;
        auto const fanout = std::min<std::size_t>(peers.size(), state.options.announce_fanout);
        for (auto const& peer : peers.first(fanout)) {
            actions.send.push_back({peer, make_message(state, config_kind::announce)});
        }
    }
    report_adopted(state, control, now, actions);
    actions.read_majority = read_due(state, now);
    report_serving(state, now, actions);
    return actions;
}

config_actions config_receive(config_state& state, std::string const& from,
                              config_message const& message, time_point now) {
    config_actions actions;
    switch (message.kind) {
    case config_kind::announce:
        receive_announce(state, from, message.ident, now, actions);
        break;
    case config_kind::pull:
        answer_pull(state, from, message, actions);
        break;
    case config_kind::part:
        receive_part(state, from, message, now, actions);
        break;
    case config_kind::no_difference:
        receive_no_difference(state, from, now, actions);
        break;
    case config_kind::adopted: {
        auto& known = state.adopted_by[message.sender];
        known = std::max(known, message.ident.revision);
        auto reply = make_message(state, config_kind::adopted_ack);
        reply.ident = message.ident;
        actions.send.push_back({from, std::move(reply)});
        break;
    }
    case config_kind::adopted_ack:
        if (state.held && message.ident == state.ident) {
            state.adopted_acks.push_back(from);
        }
        break;
    }
    return actions;
}

config_serving serving_state(config_state const& state, time_point now) {
    if (!state.floor || !state.held || state.ident.revision < *state.floor) {
        return config_serving::starting;
    }
    auto const age = confirmed_age(state, now);
    if (!age || *age >= state.options.stale_serving_limit) {
        return config_serving::expired;
    }
    return *age < state.options.control_lost_after ? config_serving::current
                                                   : config_serving::stale;
}

bool orders_allowed(config_state const& state, time_point now) {
    return state.control_reachable && serving_state(state, now) == config_serving::current;
}

config_files const* files_in_service(config_state const& state, time_point now) {
    auto const serving = serving_state(state, now);
    bool const serves = serving == config_serving::current || serving == config_serving::stale;
    return serves ? &state.files : nullptr;
}

std::optional<duration> confirmed_age(config_state const& state, time_point now) {
    if (!state.confirmed || !state.held) {
        return std::nullopt;
    }
    return now - state.confirmed->at;
}

std::vector<std::string> config_lacking(config_state const& state,
                                        std::span<std::string const> daemons,
                                        std::uint64_t revision) {
    std::vector<std::string> lacking;
    for (auto const& daemon : daemons) {
        auto const known = state.adopted_by.find(daemon);
        if (known == state.adopted_by.end() || known->second < revision) {
            lacking.push_back(daemon);
        }
    }
    return lacking;
}

} // namespace fireflycrank
