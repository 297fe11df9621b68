#include "bench.h"

#include "consensuswire.h"
#include "controlnode.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <set>

namespace fireflycrank {

namespace {

constexpr int recovered_changes = 10'000;
constexpr double recovery_target_ms = 1'000;
constexpr std::size_t unused_file_bytes = 2'048; // the unchanged part of an operator's folder
constexpr int concurrent_proposals = 32;
constexpr int proposal_rounds = 200;
constexpr auto round_time = std::chrono::milliseconds{1};

// One replica with its tables; the tables' functions refer to the members, so it stays in place.
struct bench_replica {
    control_state tables;
    config_table config;
    std::unique_ptr<control_node> node;
};

// A cluster whose messages arrive at the next step, over real or counting files.
struct bench_cluster {
    std::map<std::string, bench_replica> replicas;
    std::vector<consensus_message> flying;
    time_point at;
    std::uint64_t entry_messages{0}; ///< append messages with entries, and replies to them
    std::set<std::pair<std::string, std::int64_t>> unanswered; ///< receiver and send time of those
};

// Files that keep nothing: the counted figures concern calls, not contents.
file_layer discarding_files() {
    file_layer files;
    files.make_folder = [](auto const&) -> result<void> { return ok(); };
    files.list = [](auto const&) -> result<std::vector<std::string>> {
        return std::vector<std::string>{};
    };
    files.read = [](std::string const& path) -> result<std::string> {
        return fail(error_kind::not_found, path, "none");
    };
    files.open_append = [](auto const&) -> result<file_id> { return file_id{1}; };
    files.append = [](file_id, std::string_view) -> result<void> { return ok(); };
    files.sync = [](file_id) -> result<void> { return ok(); };
    files.close = [](file_id) {};
    files.rename = [](auto const&, auto const&) -> result<void> { return ok(); };
    files.remove = [](auto const&) -> result<void> { return ok(); };
    files.sync_folder = [](auto const&) -> result<void> { return ok(); };
    files.lock = [](auto const&) -> result<file_id> { return file_id{2}; };
    return files;
}

control_node_settings settings_of(std::string const& name, std::vector<std::string> const& peers,
                                  std::string const& folder) {
    control_node_settings settings;
    settings.name = name;
    settings.peers = peers;
    settings.folder = folder;
    return settings;
}

void open_replica(bench_replica& one, control_node_settings settings, file_layer files,
                  std::uint64_t seed, time_point at) {
    one.node.reset();
    one.tables = {};
    one.config = {};
    register_config(one.tables, one.config);
    one.node =
        open_control_node(std::move(settings), std::move(files), one.tables, seed, at).value();
}

std::string make_change(std::uint64_t base, std::uint64_t id, rng& random) {
    config_change change{base, "change-" + std::to_string(id), "operator", {}};
    change.files["routes.json"] = std::to_string(next_bits(random));
    change.files["teams.json"] = std::string(unused_file_bytes, 't');
    return serialize_config_change(change);
}

// Heartbeats are left out: their number depends on time, not on entries.
void count_message(bench_cluster& world, consensus_message const& one) {
    if (one.kind == message_kind::append && !one.entries.empty()) {
        ++world.entry_messages;
        world.unanswered.emplace(one.to, one.sent_at);
    } else if (one.kind == message_kind::append_reply) {
        world.entry_messages += world.unanswered.erase({one.from, one.sent_at});
    }
}

void step_cluster(bench_cluster& world) {
    world.at += round_time;
    std::vector<consensus_message> sent;
    auto const arriving = std::move(world.flying);
    world.flying.clear();
    for (auto const& one : arriving) {
        count_message(world, one);
        receive(*world.replicas.at(one.to).node, one, world.at);
    }
    for (auto& [name, one] : world.replicas) {
        tick(*one.node, world.at);
        auto output = flush(*one.node, world.at);
        std::move(output.messages.begin(), output.messages.end(), std::back_inserter(world.flying));
    }
}

control_node* leader_in(bench_cluster& world) {
    for (auto& [name, one] : world.replicas) {
        if (current_fencing_token(*one.node, world.at)) {
            return one.node.get();
        }
    }
    return nullptr;
}

bench_cluster make_cluster(int size, std::uint64_t seed) {
    bench_cluster world;
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(size));
    for (int number = 0; number < size; ++number) {
        names.push_back("replica-" + std::to_string(number));
    }
    for (auto const& name : names) {
        open_replica(world.replicas[name], settings_of(name, names, "data"), discarding_files(),
                     seed++, world.at);
    }
    while (leader_in(world) == nullptr) {
        step_cluster(world);
    }
    return world;
}

struct proposal_counts {
    double appends_per_sync{0};
    double messages_per_entry{0};
};

// Proposals that arrive together share a sync and a message to each follower.
proposal_counts count_proposals(int size, int together, std::uint64_t seed) {
    auto world = make_cluster(size, seed);
    rng random{seed};
    auto& leader = *leader_in(world);
    for (int settle = 0; settle < 10; ++settle) {
        step_cluster(world);
    }
    auto const syncs = leader.log.syncs;
    auto const appends = leader.log.appends;
    auto const commit = leader.consensus.commit_index;
    world.entry_messages = 0;
    std::uint64_t accepted = 0;
    for (int round = 0; round < proposal_rounds; ++round) {
        for (int one = 0; one < together; ++one) {
            control_command const command{"config", make_change(0, accepted, random), wall_time{}};
            accepted += submit(leader, accepted, command) ? 1 : 0;
        }
        step_cluster(world);
    }
    while (leader.consensus.commit_index < commit + accepted) {
        step_cluster(world);
    }
    return {static_cast<double>(leader.log.appends - appends) /
                static_cast<double>(leader.log.syncs - syncs),
            static_cast<double>(world.entry_messages) / static_cast<double>(accepted)};
}

void drive_alone(bench_replica& one, time_point& at, std::uint64_t revision) {
    while (one.config.revision < revision) {
        at += std::chrono::milliseconds{20};
        tick(*one.node, at);
        flush(*one.node, at);
    }
}

// Fills a real folder, closes it and measures until all changes are applied again. The election
// timeout runs on a simulated clock and is no part of the figure.
double measure_recovery(std::uint64_t seed, std::size_t snapshot_entries, bool& recovered) {
    std::string const replaced_by_mkdtemp(6, 'X');
    auto folder = (std::filesystem::temp_directory_path() / "fireflycrank-bench-").string() +
                  replaced_by_mkdtemp;
    if (::mkdtemp(folder.data()) == nullptr) {
        return -1;
    }
    auto settings = settings_of("alone", {"alone"}, folder);
    settings.snapshot_entries = snapshot_entries;
    settings.snapshot_log_bytes = SIZE_MAX;
    rng random{seed};
    bench_replica one;
    time_point at;
    open_replica(one, settings, posix_file_layer(), seed, at);
    while (!current_fencing_token(*one.node, at)) {
        at += std::chrono::milliseconds{20};
        tick(*one.node, at);
        flush(*one.node, at);
    }
    for (std::uint64_t base = 0; base < recovered_changes; ++base) {
        control_command const command{"config", make_change(base, base, random), wall_time{}};
        bool const taken = static_cast<bool>(submit(*one.node, base, command));
        if (!taken || base % 100 == 99) {
            flush(*one.node, at);
            flush(*one.node, at);
        }
    }
    drive_alone(one, at, recovered_changes);
    auto const digest = one.config.history.back().digest;
    one.node.reset();
    auto const began = std::chrono::steady_clock::now();
    open_replica(one, settings, posix_file_layer(), seed + 1, at);
    drive_alone(one, at, recovered_changes);
    auto const took = std::chrono::steady_clock::now() - began;
    recovered = one.config.history.back().digest == digest;
    one.node.reset();
    std::filesystem::remove_all(folder);
    return std::chrono::duration<double, std::milli>(took).count();
}

} // namespace

std::vector<bench_result> bench_control(std::uint64_t seed) {
    std::vector<bench_result> results;
    bool whole_log = false;
    bool from_snapshot = false;
    auto const replayed = measure_recovery(seed, SIZE_MAX, whole_log);
    auto const usual =
        measure_recovery(seed, control_node_settings{}.snapshot_entries, from_snapshot);
    // The baseline is the same state recovered from a log without snapshots.
    results.push_back({"config_recovery_ms", "ms", usual, replayed, recovery_target_ms,
                       from_snapshot && usual <= recovery_target_ms, false});
    results.push_back({"config_recovery_log_only_ms", "ms", replayed, replayed, recovery_target_ms,
                       whole_log && replayed <= recovery_target_ms, false});
    auto const grouped = count_proposals(3, concurrent_proposals, seed);
    auto const single = count_proposals(3, 1, seed);
    results.push_back({"log_appends_per_sync", "appends", grouped.appends_per_sync,
                       single.appends_per_sync, 1, grouped.appends_per_sync > 1, true});
    for (int const size : {3, 5}) {
        // One request and one acknowledgement for each follower.
        auto const bound = 2.0 * (size - 1);
        auto const alone = count_proposals(size, 1, seed).messages_per_entry;
        auto const together = count_proposals(size, concurrent_proposals, seed).messages_per_entry;
        results.push_back({"log_messages_per_entry_" + std::to_string(size), "messages", alone,
                           bound, bound, alone <= bound, true});
        results.push_back({"log_messages_per_entry_grouped_" + std::to_string(size), "messages",
                           together, alone, bound, together <= bound, true});
    }
    return results;
}

} // namespace fireflycrank
