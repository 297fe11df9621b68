#include "maptable.h"

#include "expertswire.h"

namespace fireflycrank {

namespace {

expert_map const* find_map(group_record const& record, std::uint64_t id) {
    for (expert_map const* map : {&record.current, &record.previous, &record.pending.map}) {
        if (map->id == id) {
            return map;
        }
    }
    return nullptr;
}

result<std::string> answer_query(map_table const& table, std::string_view bytes) {
    BOOST_OUTCOME_TRY(question, parse_map_question(bytes));
    bool const wants_map = question.map_id != 0;
    auto const found = table.groups.find(wants_map ? question.group : question.view_query.group);
    if (found == table.groups.end()) {
        return fail(error_kind::not_found, "the group has no expert map yet",
                    "list the model's group in the operators' settings and start all its ranks");
    }
    if (!wants_map) {
        // The control reply around this view carries the term, which the agent uses as the fencing
        // token, so 0 is sent here.
        return serialize(make_query_reply(found->second, 0, question.view_query));
    }
    expert_map const* map = find_map(found->second, question.map_id);
    if (map == nullptr) {
        return fail(error_kind::not_found, "the map is no longer in use",
                    "ask for the group's record again");
    }
    return serialize(map_content{question.group, *map});
}

} // namespace

control_table_functions map_table_functions(map_table& table) {
    control_table_functions functions;
    functions.validate = [](std::string_view body) -> result<void> {
        BOOST_OUTCOME_TRYV(parse_map_command(body));
        return ok();
    };
    functions.apply = [&table](std::string_view body, std::uint64_t, wall_time at) {
        auto command = parse_map_command(body);
        if (!command) {
            return serialize(map_command_reply{false, "malformed command", 0});
        }
        command.value().at = at;
        return serialize(apply(table, command.value()));
    };
    functions.query = [&table](std::string_view question) { return answer_query(table, question); };
    functions.serialize = [&table] { return serialize(table); };
    functions.parse = [&table](std::string_view bytes) -> result<void> {
        BOOST_OUTCOME_TRY(parsed, parse_map_table(bytes));
        table = std::move(parsed);
        return ok();
    };
    return functions;
}

} // namespace fireflycrank
