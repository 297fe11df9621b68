#include "servicetable.h"

namespace fireflycrank {

install_reply apply(service_table& table, configuration_body offered) {
    bool const newer = offered.version > table.current.version;
    if (newer) {
        table.current = std::move(offered);
    }
    return {newer, table.current.version};
}

void register_services(control_state& state, service_table& table) {
    control_table_functions functions;
    functions.validate = [](std::string_view body) -> result<void> {
        BOOST_OUTCOME_TRYV(parse_configuration(body));
        return ok();
    };
    functions.apply = [&table](std::string_view body, std::uint64_t /*index*/, wall_time /*at*/) {
        auto offered = parse_configuration(body);
        return serialize(offered ? apply(table, std::move(offered).value())
                                 : install_reply{false, table.current.version});
    };
    functions.query = [&table](std::string_view /*question*/) -> result<std::string> {
        return serialize(table.current);
    };
    functions.serialize = [&table] { return serialize(table.current); };
    functions.parse = [&table](std::string_view bytes) -> result<void> {
        BOOST_OUTCOME_TRY(parsed, parse_configuration(bytes));
        table.current = std::move(parsed);
        return ok();
    };
    state.tables[service_table_kind] = std::move(functions);
}

} // namespace fireflycrank
