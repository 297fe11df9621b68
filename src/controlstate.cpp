#include "controlstate.h"

#include "consensuswire.h"
#include "digest.h"

#include <algorithm>

namespace fireflycrank {

namespace {

// A change may be resent days later; a reply is discarded only when both limits are exceeded.
constexpr std::size_t min_stored_replies = 10'000;
constexpr auto reply_retention = std::chrono::hours{24 * 7};

// Limits of the history, which holds differences for daemons that lag. A daemon that is older than
// the history receives all files.
constexpr std::size_t max_history_revisions = 2'048;
constexpr std::size_t max_history_bytes = std::size_t{16} << 20U;

std::string combine_digests(std::uint64_t revision,
                            std::map<std::string, std::string> const& digests) {
    std::string joined = std::to_string(revision) + "\n";
    for (auto const& [name, digest] : digests) {
        joined.append(digest).append(std::to_string(name.size())).append(":").append(name);
    }
    return sha256_hex(joined);
}

std::map<std::string, std::string> compute_file_digests(settings_files const& files) {
    std::map<std::string, std::string> digests;
    for (auto const& [name, content] : files) {
        digests[name] = sha256_hex(content);
    }
    return digests;
}

std::string content_digest(config_change const& change) {
    return sha256_fields({change.operator_name, std::to_string(change.base_revision),
                          combine_digests(0, compute_file_digests(change.files))});
}

std::size_t size_of(config_revision const& item) {
    std::size_t bytes = sizeof item;
    for (auto const& [name, content] : item.files) {
        bytes += name.size() + content.size();
    }
    return bytes;
}

std::string newest_digest(config_table const& table) {
    return table.history.empty() ? combine_digests(table.revision, table.file_digests)
                                 : table.history.back().digest;
}

config_revision const* find_revision(config_table const& table, std::uint64_t revision) {
    if (table.history.empty() || revision < table.history.front().revision ||
        revision > table.revision) {
        return nullptr;
    }
    return &table.history[revision - table.history.front().revision];
}

void store_reply(config_table& table, config_change const& change, std::string content,
                 config_reply const& reply) {
    table.reply_numbers[change.change_id] = table.first_reply_number + table.replies.size();
    table.replies.push_back({change.change_id, std::move(content), table.latest_command_at, reply});
    while (table.replies.size() > min_stored_replies &&
           table.latest_command_at - table.replies.front().at > reply_retention) {
        table.reply_numbers.erase(table.replies.front().change_id);
        table.replies.pop_front();
        ++table.first_reply_number;
    }
}

void append_revision(config_table& table, config_change const& change) {
    config_revision added;
    added.revision = ++table.revision;
    added.change_id = change.change_id;
    added.operator_name = change.operator_name;
    added.at = table.latest_command_at;
    for (auto const& [name, content] : change.files) {
        auto const known = table.files.find(name);
        if (known == table.files.end() || known->second != content) {
            added.files[name] = content;
            table.file_digests[name] = sha256_hex(content);
        }
    }
    for (auto const& [name, content] : table.files) {
        if (!change.files.contains(name)) {
            added.removed.push_back(name);
            table.file_digests.erase(name);
        }
    }
    added.digest = combine_digests(table.revision, table.file_digests);
    for (auto const& name : added.removed) {
        table.files.erase(name);
    }
    for (auto const& [name, content] : added.files) {
        table.files[name] = content;
    }
    table.history_bytes += size_of(added);
    table.history.push_back(std::move(added));
    while (table.history.size() > 1 && (table.history.size() > max_history_revisions ||
                                        table.history_bytes > max_history_bytes)) {
        table.history_bytes -= size_of(table.history.front());
        table.history.pop_front();
    }
}

config_reply decide_change(config_table& table, config_change const& change) {
    config_reply reply;
    if (change.base_revision == table.revision) {
        append_revision(table, change);
        reply.outcome = config_outcome::accepted;
    } else if (change.base_revision > table.revision) {
        reply.outcome = config_outcome::unknown_base;
    } else {
        // The winner is the revision after the base, or the oldest one in the history if that has
        // been discarded.
        auto const* const winner = find_revision(
            table, std::max(change.base_revision + 1, table.history.front().revision));
        reply.outcome = config_outcome::conflict;
        reply.winner_revision = winner->revision;
        reply.winner_operator = winner->operator_name;
        reply.winner_change_id = winner->change_id;
    }
    reply.revision = table.revision;
    reply.digest = newest_digest(table);
    return reply;
}

void rebuild_indexes(config_table& table) {
    table.file_digests = compute_file_digests(table.files);
    for (auto const& item : table.history) {
        table.history_bytes += size_of(item);
    }
    for (auto const& item : table.replies) {
        table.reply_numbers[item.change_id] = table.reply_numbers.size();
    }
}

} // namespace

result<std::string> apply(control_state& state, control_command const& command,
                          std::uint64_t index) {
    auto const found = state.tables.find(command.kind);
    if (found == state.tables.end()) {
        return fail(error_kind::internal, "log entry of unknown kind " + command.kind,
                    "run the same version on all control replicas");
    }
    state.applied_index = index;
    return found->second.apply(command.body, index, command.at);
}

std::string serialize_tables(control_state const& state) {
    std::map<std::string, std::string> bytes;
    for (auto const& [kind, table] : state.tables) {
        bytes[kind] = table.serialize();
    }
    return serialize_table_map(state.applied_index, bytes);
}

result<void> parse_tables(control_state& state, std::string_view bytes) {
    std::uint64_t applied = 0;
    BOOST_OUTCOME_TRY(tables, parse_table_map(bytes, applied));
    for (auto const& [kind, table] : tables) {
        if (!state.tables.contains(kind)) {
            return fail(error_kind::corrupt_data, "snapshot holds the unknown table " + kind,
                        "run the same version on all control replicas");
        }
    }
    // A table that is missing from the snapshot is parsed from an empty string, which clears it.
    for (auto const& [kind, table] : state.tables) {
        BOOST_OUTCOME_TRYV(table.parse(tables[kind]));
    }
    state.applied_index = applied;
    return ok();
}

config_reply apply_change(config_table& table, config_change const& change, wall_time at) {
    table.latest_command_at = std::max(table.latest_command_at, at);
    auto content = content_digest(change);
    auto const known = table.reply_numbers.find(change.change_id);
    if (known != table.reply_numbers.end()) {
        auto const& first = table.replies[known->second - table.first_reply_number];
        if (first.content_digest == content) {
            return first.reply;
        }
        config_reply reused;
        reused.outcome = config_outcome::reused_id;
        reused.revision = table.revision;
        reused.digest = newest_digest(table);
        return reused;
    }
    auto reply = decide_change(table, change);
    store_reply(table, change, std::move(content), reply);
    return reply;
}

result<config_delta> make_config_delta(config_table const& table, std::uint64_t from,
                                       std::uint64_t to) {
    config_delta delta;
    delta.from = from;
    delta.to = to;
    if (to > table.revision || from > to) {
        return fail(error_kind::not_found,
                    "no difference from revision " + std::to_string(from) + " to " +
                        std::to_string(to),
                    "ask a replica that has applied the revision");
    }
    if (from == to || find_revision(table, from + 1) != nullptr) {
        for (auto revision = from + 1; revision <= to; ++revision) {
            auto const& item = *find_revision(table, revision);
            for (auto const& name : item.removed) {
                delta.files.erase(name);
                delta.removed.push_back(name);
            }
            for (auto const& [name, content] : item.files) {
                std::erase(delta.removed, name);
                delta.files[name] = content;
            }
        }
    } else if (to == table.revision) {
        delta.files = table.files;
        delta.complete = true;
    } else {
        return fail(error_kind::not_found,
                    "revision " + std::to_string(from) + " is older than the history",
                    "ask for the newest revision");
    }
    auto const* const newest = find_revision(table, to);
    if (to != 0 && newest == nullptr) {
        return fail(error_kind::not_found,
                    "revision " + std::to_string(to) + " is older than the history",
                    "ask for the newest revision");
    }
    delta.digest = to == 0 ? combine_digests(0, {}) : newest->digest;
    return delta;
}

result<void> apply_delta(settings_files& files, config_delta const& delta) {
    auto changed = delta.complete ? settings_files{} : files;
    for (auto const& name : delta.removed) {
        changed.erase(name);
    }
    for (auto const& [name, content] : delta.files) {
        changed[name] = content;
    }
    if (config_digest(delta.to, changed) != delta.digest) {
        return fail(error_kind::corrupt_data,
                    "applying the difference does not give revision " + std::to_string(delta.to),
                    "ask for the whole configuration");
    }
    files = std::move(changed);
    return ok();
}

std::string config_digest(std::uint64_t revision, settings_files const& files) {
    return combine_digests(revision, compute_file_digests(files));
}

void register_config(control_state& state, config_table& table,
                     std::function<result<void>(settings_files const&)> validate) {
    control_table_functions functions;
    functions.validate = [validate = std::move(validate)](std::string_view body) -> result<void> {
        BOOST_OUTCOME_TRY(change, parse_config_change(body));
        if (change.change_id.empty()) {
            return fail(error_kind::invalid_request, "the change has no change id",
                        "give each change an id of its own, and resend it under that id");
        }
        if (validate) {
            return validate(change.files);
        }
        return ok();
    };
    functions.apply = [&table](std::string_view body, std::uint64_t /*index*/, wall_time at) {
        auto const change = parse_config_change(body);
        return serialize_config_reply(change ? apply_change(table, change.value(), at)
                                             : config_reply{});
    };
    functions.query = [&table](std::string_view query) -> result<std::string> {
        BOOST_OUTCOME_TRY(from, parse_config_query(query));
        BOOST_OUTCOME_TRY(delta,
                          make_config_delta(table, std::min(from, table.revision), table.revision));
        return serialize_config_delta(delta);
    };
    functions.serialize = [&table] { return serialize_config_table(table); };
    functions.parse = [&table](std::string_view bytes) -> result<void> {
        BOOST_OUTCOME_TRY(parsed, parse_config_table(bytes));
        table = std::move(parsed);
        rebuild_indexes(table);
        return ok();
    };
    state.tables["config"] = std::move(functions);
}

} // namespace fireflycrank
