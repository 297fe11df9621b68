#include "directorywire.h"

#include "countcode.h"
#include "departurelog.h"
#include "directory.pb.h"

#include <limits>

namespace fireflycrank {

namespace {

template <class wire_message>
result<wire_message> parse_as(std::string_view bytes) {
    wire_message message;
    if (bytes.size() > static_cast<std::size_t>(std::numeric_limits<int>::max()) ||
        !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return fail(error_kind::corrupt_data, "a " + message.GetTypeName() + " cannot be parsed",
                    "check that all processes run the same version");
    }
    return message;
}

void fill(wire::TargetAnnouncement& wired, target_announcement const& plain) {
    wired.set_id(plain.id);
    wired.set_service(plain.service);
    wired.set_address(plain.address);
    wired.set_zone(plain.zone);
    wired.set_version(plain.version);
    wired.set_slots(plain.slots);
    wired.set_state(static_cast<std::uint32_t>(plain.state));
    wired.set_warm_up_left_ms(plain.warm_up_left.count());
    wired.set_born_ms(plain.started_at.time_since_epoch().count());
    wired.set_sequence(plain.sequence);
}

target_announcement plain_of(wire::TargetAnnouncement const& wired) {
    target_announcement plain;
    plain.id = wired.id();
    plain.service = wired.service();
    plain.address = wired.address();
    plain.zone = wired.zone();
    plain.version = wired.version();
    plain.slots = wired.slots();
    plain.state =
        wired.state() > 2 ? target_phase::departed : static_cast<target_phase>(wired.state());
    plain.warm_up_left = std::chrono::milliseconds{wired.warm_up_left_ms()};
    plain.started_at = wall_time{std::chrono::milliseconds{wired.born_ms()}};
    plain.sequence = wired.sequence();
    return plain;
}

void fill(wire::DaemonEntry& wired, daemon_entry const& plain) {
    wired.set_address(plain.address);
    wired.set_role(static_cast<std::uint32_t>(plain.role));
    wired.set_zone(plain.zone);
    wired.set_client_address(plain.client_address);
    wired.set_ready(plain.ready);
    wired.set_target_id(plain.target_id);
    wired.set_started(plain.started);
    wired.set_group(plain.group);
    wired.set_rank(plain.rank);
    wired.set_edition(plain.edition);
}

daemon_entry plain_of(wire::DaemonEntry const& wired) {
    daemon_entry plain;
    plain.address = wired.address();
    plain.role = wired.role() > 3 ? daemon_role::unknown : static_cast<daemon_role>(wired.role());
    plain.zone = wired.zone();
    plain.client_address = wired.client_address();
    plain.ready = wired.ready();
    plain.target_id = wired.target_id();
    plain.started = wired.started();
    plain.group = wired.group();
    plain.rank = wired.rank();
    plain.edition = wired.edition();
    return plain;
}

void fill(wire::RankExperts& wired, rank_experts const& plain) {
    for (auto const& set : plain) {
        wired.add_sets()->mutable_experts()->Add(set.begin(), set.end());
    }
}

rank_experts plain_of(wire::RankExperts const& wired) {
    rank_experts plain;
    for (auto const& set : wired.sets()) {
        plain.emplace_back(set.experts().begin(), set.experts().end());
    }
    return plain;
}

} // namespace

std::string serialize(directory_beat const& plain) {
    wire::DirectoryBeat wired;
    fill(*wired.mutable_self(), plain.self);
    wired.set_registrar_run(plain.registrar_run);
    wired.set_known_change(plain.known_change);
    wired.set_known_daemons(plain.known_daemons);
    for (auto const& address : plain.registrars) {
        wired.add_registrars(address);
    }
    wired.set_known_suspects(plain.known_suspects);
    wired.set_known_evacuations(plain.known_evacuations);
    return wired.SerializeAsString();
}

result<directory_beat> parse_beat(std::string_view bytes) {
    BOOST_OUTCOME_TRY(wired, parse_as<wire::DirectoryBeat>(bytes));
    directory_beat plain;
    plain.self = plain_of(wired.self());
    plain.registrar_run = wired.registrar_run();
    plain.known_change = wired.known_change();
    plain.known_daemons = wired.known_daemons();
    plain.registrars.assign(wired.registrars().begin(), wired.registrars().end());
    plain.known_suspects = wired.known_suspects();
    plain.known_evacuations = wired.known_evacuations();
    return plain;
}

std::string serialize(directory_update const& plain) {
    wire::DirectoryUpdate wired;
    wired.set_registrar_run(plain.registrar_run);
    wired.set_change(plain.change);
    for (auto const& one : plain.targets) {
        fill(*wired.add_targets(), one);
    }
    wired.set_daemons_revision(plain.daemons_revision);
    wired.set_group(plain.group);
    wired.set_all_daemons(plain.all_daemons);
    for (auto const& address : plain.gone_daemons) {
        wired.add_gone_daemons(address);
    }
    for (auto const& one : plain.daemons) {
        fill(*wired.add_daemons(), one);
    }
    for (auto const& [address, zone] : plain.registrars) {
        wired.add_registrars(address);
        wired.add_registrar_zones(zone);
    }
    for (auto const& [id, age] : plain.unheard) {
        auto& one = *wired.add_unheard();
        one.set_id(id);
        one.set_unheard_ms(age.count());
    }
    wired.set_config_version(plain.config_version);
    wired.set_confirmed(plain.confirmed);
    wired.set_zone(plain.zone);
    wired.set_most_gateways(plain.most_gateways);
    wired.set_evacuations_revision(plain.evacuations_revision);
    if (plain.evacuations) {
        wired.set_has_evacuations(true);
        for (auto const& zone : plain.evacuations->zones) {
            wired.add_evacuated_zones(zone);
        }
    }
    if (plain.suspects) {
        wired.set_has_suspects(true);
        wired.set_suspects_revision(plain.suspects->revision);
        for (auto const& request : plain.suspects->requests) {
            auto& one = *wired.add_suspects();
            one.set_fingerprint(request.fingerprint);
            one.set_first_crash_before_ms(request.first_crash_before.count());
            one.set_refuse_after_ms(request.refuse_after.count());
            one.set_quarantine_left_ms(request.quarantine_left.count());
            one.set_on_trial(request.on_trial);
            one.set_has_finished(request.has_finished);
        }
    }
    return wired.SerializeAsString();
}

result<directory_update> parse_update(std::string_view bytes) {
    BOOST_OUTCOME_TRY(wired, parse_as<wire::DirectoryUpdate>(bytes));
    directory_update plain;
    plain.registrar_run = wired.registrar_run();
    plain.change = wired.change();
    for (auto const& one : wired.targets()) {
        plain.targets.push_back(plain_of(one));
    }
    plain.daemons_revision = wired.daemons_revision();
    plain.group = wired.group();
    plain.all_daemons = wired.all_daemons();
    plain.gone_daemons.assign(wired.gone_daemons().begin(), wired.gone_daemons().end());
    for (auto const& one : wired.daemons()) {
        plain.daemons.push_back(plain_of(one));
    }
    for (int at = 0; at < wired.registrars_size(); ++at) {
        plain.registrars.push_back({wired.registrars(at), at < wired.registrar_zones_size()
                                                              ? wired.registrar_zones(at)
                                                              : std::string{}});
    }
    for (auto const& one : wired.unheard()) {
        plain.unheard.push_back({one.id(), std::chrono::milliseconds{one.unheard_ms()}});
    }
    plain.config_version = wired.config_version();
    plain.confirmed = wired.confirmed();
    plain.zone = wired.zone();
    plain.most_gateways = wired.most_gateways();
    plain.evacuations_revision = wired.evacuations_revision();
    if (wired.has_evacuations()) {
        plain.evacuations =
            evacuation_list{wired.evacuations_revision(),
                            {wired.evacuated_zones().begin(), wired.evacuated_zones().end()}};
    }
    if (wired.has_suspects()) {
        auto& suspects = plain.suspects.emplace();
        suspects.revision = wired.suspects_revision();
        for (auto const& one : wired.suspects()) {
            suspects.requests.push_back({one.fingerprint(),
                                         std::chrono::milliseconds{one.first_crash_before_ms()},
                                         std::chrono::milliseconds{one.refuse_after_ms()},
                                         std::chrono::milliseconds{one.quarantine_left_ms()},
                                         one.has_finished(), one.on_trial()});
        }
    }
    return plain;
}

std::string serialize(departure_notice const& plain) {
    wire::DepartureNotice wired;
    wired.set_number(plain.number);
    fill(*wired.mutable_target(), plain.target);
    return wired.SerializeAsString();
}

result<departure_notice> parse_departure(std::string_view bytes) {
    BOOST_OUTCOME_TRY(wired, parse_as<wire::DepartureNotice>(bytes));
    return departure_notice{wired.number(), plain_of(wired.target())};
}

std::string serialize(stored_departure const& plain) {
    wire::StoredDeparture wired;
    fill(*wired.mutable_target(), plain.target);
    wired.set_recorded_ms(
        std::chrono::duration_cast<std::chrono::milliseconds>(plain.recorded_at.time_since_epoch())
            .count());
    return wired.SerializeAsString();
}

result<stored_departure> parse_stored_departure(std::string_view bytes) {
    BOOST_OUTCOME_TRY(wired, parse_as<wire::StoredDeparture>(bytes));
    return stored_departure{plain_of(wired.target()),
                            wall_time{std::chrono::milliseconds{wired.recorded_ms()}}};
}

std::string serialize_recorded(std::uint64_t number) {
    wire::DepartureRecorded wired;
    wired.set_number(number);
    return wired.SerializeAsString();
}

result<std::uint64_t> parse_recorded(std::string_view bytes) {
    BOOST_OUTCOME_TRY(wired, parse_as<wire::DepartureRecorded>(bytes));
    return wired.number();
}

std::string serialize(crash_report_message const& plain) {
    wire::CrashReport wired;
    wired.set_number(plain.number);
    wired.set_gateway(plain.gateway);
    wired.set_command(plain.command);
    return wired.SerializeAsString();
}

result<crash_report_message> parse_crash_report(std::string_view bytes) {
    BOOST_OUTCOME_TRY(wired, parse_as<wire::CrashReport>(bytes));
    return crash_report_message{wired.number(), wired.gateway(), wired.command()};
}

std::string serialize_configuration_request(std::uint64_t above) {
    wire::ConfigurationRequest wired;
    wired.set_above_version(above);
    return wired.SerializeAsString();
}

result<std::uint64_t> parse_configuration_request(std::string_view bytes) {
    BOOST_OUTCOME_TRY(wired, parse_as<wire::ConfigurationRequest>(bytes));
    return wired.above_version();
}

std::string serialize(configuration_body const& plain) {
    wire::ConfigurationBody wired;
    wired.set_version(plain.version);
    wired.set_packed(plain.packed);
    return wired.SerializeAsString();
}

result<configuration_body> parse_configuration(std::string_view bytes) {
    BOOST_OUTCOME_TRY(wired, parse_as<wire::ConfigurationBody>(bytes));
    configuration_body plain;
    plain.version = wired.version();
    plain.packed = std::move(*wired.mutable_packed());
    return plain;
}

std::string serialize(install_reply const& plain) {
    wire::InstallReply wired;
    wired.set_installed(plain.installed);
    wired.set_version(plain.version);
    return wired.SerializeAsString();
}

result<install_reply> parse_install_reply(std::string_view bytes) {
    BOOST_OUTCOME_TRY(wired, parse_as<wire::InstallReply>(bytes));
    return install_reply{wired.installed(), wired.version()};
}

std::string serialize(engine_load const& plain) {
    wire::EngineLoad wired;
    wired.set_target_id(plain.target_id);
    wired.set_born_ms(plain.started_at.time_since_epoch().count());
    wired.set_started(plain.agent_run);
    wired.set_number(plain.sequence);
    wired.set_answering(plain.responsive);
    wired.set_running(plain.running);
    wired.set_waiting(plain.waiting);
    wired.set_memory_used(plain.kv_tokens_used);
    wired.set_memory_total(plain.kv_tokens_total);
    wired.set_pace(plain.slowdown);
    wired.set_group(plain.group);
    wired.set_epoch(plain.epoch);
    wired.set_rank(plain.rank);
    wired.set_group_size(plain.group_size);
    wired.set_group_open(plain.group_open);
    wired.set_pass_ms(plain.pass_time.count());
    wired.set_cold_left_ms(plain.cold_left.count());
    return wired.SerializeAsString();
}

result<engine_load> parse_engine_load(std::string_view bytes) {
    BOOST_OUTCOME_TRY(wired, parse_as<wire::EngineLoad>(bytes));
    engine_load plain;
    plain.target_id = wired.target_id();
    plain.started_at = wall_time{std::chrono::milliseconds{wired.born_ms()}};
    plain.agent_run = wired.started();
    plain.sequence = wired.number();
    plain.responsive = wired.answering();
    plain.running = wired.running();
    plain.waiting = wired.waiting();
    plain.kv_tokens_used = wired.memory_used();
    plain.kv_tokens_total = wired.memory_total();
    plain.slowdown = wired.pace();
    plain.group = wired.group();
    plain.epoch = wired.epoch();
    plain.rank = wired.rank();
    plain.group_size = wired.group_size();
    plain.group_open = wired.group_open();
    plain.pass_time = std::chrono::duration<double, std::milli>{wired.pass_ms()};
    plain.cold_left = std::chrono::milliseconds{wired.cold_left_ms()};
    return plain;
}

std::string serialize(rank_status const& plain) {
    wire::RankStatus wired;
    wired.set_group(plain.group);
    wired.set_epoch(plain.epoch);
    wired.set_rank(plain.rank);
    wired.set_size(plain.group_size);
    wired.set_open(plain.open);
    wired.set_pass(plain.pass);
    wired.set_map_version(plain.map_version);
    wired.set_prepared_version(plain.prepared_version);
    if (plain.armed) {
        wired.set_has_armed(true);
        wired.set_armed_version(plain.armed->version);
        wired.set_armed_pass(plain.armed->pass);
    }
    if (plain.held_pass) {
        wired.set_has_held(true);
        wired.set_held_pass(*plain.held_pass);
    }
    wired.set_highest_version(plain.highest_version);
    wired.set_sets(plain.sets);
    wired.set_packed_counts(pack_counts(plain.counts, plain.pass << 16U | plain.rank));
    if (plain.experts) {
        fill(*wired.mutable_in_use(), *plain.experts);
    }
    wired.set_engine_address(plain.engine_address);
    wired.set_pace(plain.pace);
    return wired.SerializeAsString();
}

result<rank_status> parse_rank_status(std::string_view bytes) {
    BOOST_OUTCOME_TRY(wired, parse_as<wire::RankStatus>(bytes));
    rank_status plain;
    plain.group = wired.group();
    plain.epoch = wired.epoch();
    plain.rank = wired.rank();
    plain.group_size = wired.size();
    plain.open = wired.open();
    plain.pass = wired.pass();
    plain.map_version = wired.map_version();
    plain.prepared_version = wired.prepared_version();
    if (wired.has_armed()) {
        plain.armed = armed_change{wired.armed_version(), wired.armed_pass()};
    }
    if (wired.has_held()) {
        plain.held_pass = wired.held_pass();
    }
    plain.highest_version = wired.highest_version();
    plain.sets = wired.sets();
    BOOST_OUTCOME_TRY(counts, unpack_counts(wired.packed_counts()));
    plain.counts = std::move(counts);
    if (wired.has_in_use()) {
        plain.experts = plain_of(wired.in_use());
    }
    plain.engine_address = wired.engine_address();
    plain.pace = wired.pace() > 0 ? wired.pace() : 1.0;
    return plain;
}

std::string serialize(rank_instruction const& plain) {
    wire::RankInstruction wired;
    wired.set_group(plain.group);
    wired.set_epoch(plain.epoch);
    wired.set_rank(plain.rank);
    wired.set_operation(static_cast<std::uint32_t>(plain.operation));
    wired.set_version(plain.version);
    wired.set_pass(plain.pass);
    wired.set_packed_map(plain.packed_map);
    for (auto const& [rank, agent] : plain.relay_to) {
        auto& next = *wired.add_hand_on();
        next.set_rank(rank);
        next.set_agent(agent);
    }
    return wired.SerializeAsString();
}

result<rank_instruction> parse_rank_instruction(std::string_view bytes) {
    BOOST_OUTCOME_TRY(wired, parse_as<wire::RankInstruction>(bytes));
    bool const is_arm = wired.operation() == static_cast<std::uint32_t>(rank_operation::arm);
    rank_instruction plain;
    plain.group = wired.group();
    plain.epoch = wired.epoch();
    plain.rank = wired.rank();
    plain.operation = is_arm ? rank_operation::arm : rank_operation::prepare;
    plain.version = wired.version();
    plain.pass = wired.pass();
    plain.packed_map = wired.packed_map();
    for (auto const& next : wired.hand_on()) {
        plain.relay_to.push_back({next.rank(), next.agent()});
    }
    return plain;
}

std::string serialize(hold_request const& plain) {
    wire::HoldRequest wired;
    wired.set_engine_address(plain.engine_address);
    wired.set_epoch(plain.epoch);
    wired.set_version(plain.version);
    wired.set_pass(plain.pass);
    return wired.SerializeAsString();
}

result<hold_request> parse_hold_request(std::string_view bytes) {
    BOOST_OUTCOME_TRY(wired, parse_as<wire::HoldRequest>(bytes));
    return hold_request{wired.engine_address(), wired.epoch(), wired.version(), wired.pass()};
}

} // namespace fireflycrank
