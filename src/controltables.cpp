#include "controltables.h"

#include "claimwire.h"
#include "consensuswire.h"
#include "expertswire.h"
#include "maptable.h"
#include "membershipwire.h"
#include "settings.h"

namespace fireflycrank {

namespace {

// How long ended target orders are kept for operators and for late results.
constexpr std::chrono::hours order_retention{24};

result<void> validate_settings(settings_files const& files) {
    auto const parsed = parse_config(files);
    if (!parsed) {
        return boost::outcome_v2::failure(parsed.error());
    }
    return ok();
}

template <class value>
result<void> discard_value(result<value> const& parsed) {
    if (!parsed) {
        return boost::outcome_v2::failure(parsed.error());
    }
    return ok();
}

result<std::string> query_config(control_tables& tables, std::string_view query) {
    if (query == config_files_query) {
        auto const delta =
            make_config_delta(tables.configuration, 0, tables.configuration.revision);
        if (!delta) {
            return boost::outcome_v2::failure(delta.error());
        }
        return serialize_config_delta(delta.value());
    }
    config_message announce;
    announce.kind = config_kind::announce;
    announce.ident = current_ident(tables);
    return encode(announce);
}

control_table_functions claim_functions(control_tables& tables) {
    control_table_functions functions;
    functions.validate = [](std::string_view body) {
        return discard_value(decode_claim_command(body));
    };
    functions.apply = [&tables](std::string_view body, std::uint64_t, wall_time at) {
        auto command = decode_claim_command(body);
        if (!command) {
            return encode_claim_reply({});
        }
        command.value().at = at;
        return encode_claim_reply(apply(tables.claims, command.value()));
    };
    functions.query = [&tables](std::string_view key) -> result<std::string> {
        claim const* found = find_claim(tables.claims, key);
        if (found == nullptr) {
            return fail(error_kind::not_found, "no order has the key " + std::string{key},
                        "take the key from log event 301 of the entry");
        }
        claim_reply reply;
        reply.outcome = claim_outcome::existing;
        reply.view = {found->state, found->attempt, found->start_by, found->owner, found->response};
        return encode_claim_reply(reply);
    };
    functions.serialize = [&tables] { return serialize_claims(tables.claims); };
    functions.parse = [&tables](std::string_view bytes) -> result<void> {
        auto parsed = parse_claims(bytes, tables.claims.limits);
        if (!parsed) {
            return boost::outcome_v2::failure(parsed.error());
        }
        tables.claims = std::move(parsed.value());
        return ok();
    };
    return functions;
}

control_table_functions quarantine_functions(quarantine_table& table) {
    control_table_functions functions;
    functions.validate = [](std::string_view body) {
        return discard_value(decode_quarantine_command(body));
    };
    functions.apply = [&table](std::string_view body, std::uint64_t, wall_time at) {
        auto command = decode_quarantine_command(body);
        if (!command) {
            return encode_quarantine_reply({});
        }
        command.value().at = at;
        return encode_quarantine_reply(apply(table, command.value()));
    };
    functions.query = [&table](std::string_view) -> result<std::string> {
        return serialize_quarantine(table);
    };
    functions.serialize = [&table] { return serialize_quarantine(table); };
    functions.parse = [&table](std::string_view bytes) -> result<void> {
        auto parsed = parse_quarantine(bytes, table.limits);
        if (!parsed) {
            return boost::outcome_v2::failure(parsed.error());
        }
        table = std::move(parsed.value());
        return ok();
    };
    return functions;
}

control_table_functions placement_functions(control_tables& tables) {
    control_table_functions functions;
    functions.validate = [](std::string_view body) {
        return discard_value(parse_placement_command(body));
    };
    functions.apply = [&tables](std::string_view body, std::uint64_t, wall_time at) {
        auto command = parse_placement_command(body);
        if (!command) {
            return serialize(placement_reply{false, "malformed command", {}});
        }
        command.value().at = at;
        auto const reply = apply(tables.placement, command.value());
        prune(tables.placement, at - order_retention);
        return serialize(reply);
    };
    functions.query = [&tables](std::string_view) -> result<std::string> {
        return serialize(tables.placement);
    };
    functions.serialize = [&tables] { return serialize(tables.placement); };
    functions.parse = [&tables](std::string_view bytes) -> result<void> {
        auto parsed = parse_placement_table(bytes);
        if (!parsed) {
            return boost::outcome_v2::failure(parsed.error());
        }
        tables.placement = std::move(parsed.value());
        return ok();
    };
    return functions;
}

} // namespace

void register_quarantine(control_state& state, quarantine_table& table) {
    state.tables[quarantine_table_kind] = quarantine_functions(table);
}

void register_tables(control_state& state, control_tables& tables) {
    register_config(state, tables.configuration, validate_settings);
    state.tables["config"].query = [&tables](std::string_view query) {
        return query_config(tables, query);
    };
    state.tables["claim"] = claim_functions(tables);
    register_quarantine(state, tables.quarantine);
    state.tables["placement"] = placement_functions(tables);
    state.tables[map_table_kind] = map_table_functions(tables.maps);
}

config_ident const& current_ident(control_tables& tables) {
    if (tables.ident.revision != tables.configuration.revision) {
        // The log orders the revisions, so the revision number also serves as the index. The log
        // index of the entry is not preserved across snapshots.
        tables.ident.revision = tables.configuration.revision;
        tables.ident.index = tables.configuration.revision;
        tables.ident.digest = config_digest(shared_files(tables));
    }
    return tables.ident;
}

config_files shared_files(control_tables const& tables) {
    config_files shared;
    for (auto const& [name, content] : tables.configuration.files) {
        shared.emplace(name, make_config_file(content));
    }
    return shared;
}

} // namespace fireflycrank
