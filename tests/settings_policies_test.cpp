// Tests of the policy settings: a typing error must not silently leave a policy on.
#include "policysettings.h"

#include <doctest/doctest.h>

namespace fireflycrank {

TEST_CASE("policies are on unless a settings file turns them off") {
    auto const defaults = parse_policies("{}");
    REQUIRE(defaults);
    CHECK(disabled_policies(defaults.value()).empty());
    auto const some = parse_policies(R"({"limit_streams": false, "follow_subset": true})");
    REQUIRE(some);
    CHECK(disabled_policies(some.value()) == std::vector<std::string>{"limit_streams"});
}

TEST_CASE("a policy settings file with a fault is refused with the key at fault") {
    for (auto const* const text :
         {R"({"limit_stream": false})", R"({"limit_streams": 0})", R"({"limit_streams": "no"})",
          R"({"limit_streams": true, "limit_streams": false})", R"([])", R"({)", ""}) {
        CAPTURE(text);
        CHECK_FALSE(parse_policies(text));
    }
    auto const refused = parse_policies(R"({"limit_stream": false})");
    CHECK(describe(refused.error()).find("/limit_stream") != std::string::npos);
}

} // namespace fireflycrank
