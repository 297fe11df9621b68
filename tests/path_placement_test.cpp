#include "path_system.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

using namespace path_test;
using nlohmann::json;

namespace {

constexpr int targets = 4;
constexpr int min_ready = 3;

std::map<std::string, std::string> settings_of(std::string const& version) {
    auto files = basic_settings();
    files["20-models.json"] = json{
        {"models",
         {{"fude",
           {{"version", version},
            {"targets", targets},
            {"min_ready", min_ready},
            {"soak_ms", 1500}}}}}}.dump();
    return files;
}

std::string name_of(int target) {
    return "runner-" + std::to_string(target);
}

// What the leading replica tells; an empty object while none leads.
json placement(system_under_test& system) {
    for (std::string const replica : {"c1", "c2", "c3"}) {
        auto const answer = system.get(replica, "/v1/placement");
        if (answer.status == 200) {
            json placed = json::parse(answer.body, nullptr, false);
            REQUIRE_MESSAGE(!placed.is_discarded(), replica, " answered ", answer.body);
            return placed;
        }
    }
    return json::object();
}

std::string leader(system_under_test& system) {
    for (std::string replica : {"c1", "c2", "c3"}) {
        if (system.get(replica, "/v1/placement").status == 200) {
            return replica;
        }
    }
    return "";
}

int orders_in(json const& placed, std::string const& state) {
    json const orders = placed.value("orders", json::array());
    return static_cast<int>(std::count_if(orders.begin(), orders.end(), [&](json const& order) {
        return order.at("state") == state;
    }));
}

json newest_rollout(json const& placed) {
    json const rollouts = placed.value("rollouts", json::array());
    return rollouts.empty() ? json::object() : rollouts.back();
}

bool rolled_out(json const& placed, std::string const& version) {
    json const newest = newest_rollout(placed);
    return newest.value("to", "") == version && newest.value("phase", "") == "done";
}

// Keeps asking for drafts and counts whole answers.
class callers {
public:
    explicit callers(system_under_test& system) {
        for (int caller = 0; caller < 4; ++caller) {
            threads_.emplace_back([this, &system] {
                while (!stopping_) {
                    bool whole = false;
                    auto const answer = system.post("entry-1", "draft",
                                                    R"({"prompt":"p","max_tokens":20})", &whole);
                    ++(answer.status == 200 && whole ? answered_ : refused_);
                }
            });
        }
    }
    ~callers() { stop(); }
    void stop() {
        stopping_ = true;
        for (std::thread& thread : threads_) {
            thread.join();
        }
        threads_.clear();
    }
    int answered() const { return answered_; }
    int refused() const { return refused_; }

private:
    std::atomic<bool> stopping_{false};
    std::atomic<int> answered_{0};
    std::atomic<int> refused_{0};
    std::vector<std::thread> threads_;
};

} // namespace

TEST_CASE("a rollout outlives the control leader") {
    // Guards against requests lost while versions change, targets below min_ready, and a new leader
    // that repeats or loses a target order.
    system_under_test system;
    system.start_control(3);
    system.add_entry("entry-1");
    system.set_engine_arguments({"--load-ms", "300", "--checks-fence"});
    for (int target = 1; target <= targets; ++target) {
        system.add_target(name_of(target), "fude@1");
    }
    REQUIRE(system.eventually([&] { return !leader(system).empty(); }));
    REQUIRE(system.apply(settings_of("1")) == 0);
    REQUIRE(system.wait_ready(targets));
    REQUIRE(system.eventually([&] { return rolled_out(placement(system), "1"); }));
    CHECK(placement(system).at("orders").empty());

    callers load{system};
    REQUIRE(system.apply(settings_of("2")) == 0);
    int most_open = 0;
    auto const reached = [&](auto const& condition) {
        return system.eventually(
            [&] {
                json const placed = placement(system);
                most_open = std::max(most_open, orders_in(placed, "open"));
                return condition(placed);
            },
            60);
    };
    REQUIRE(reached([](json const& placed) { return orders_in(placed, "done") >= 1; }));
    CHECK(newest_rollout(placement(system)).at("phase") == "forward");
    std::string const killed = leader(system);
    REQUIRE(!killed.empty());
    system.kill_process(killed);
    REQUIRE(reached([](json const& placed) { return rolled_out(placed, "2"); }));
    load.stop();

    CHECK(leader(system) != killed);
    CHECK(most_open <= targets - min_ready);
    CHECK(load.answered() > 0);
    CHECK(load.refused() == 0);
    CHECK(orders_in(placement(system), "done") == targets);
    for (int target = 1; target <= targets; ++target) {
        json const book = json::parse(system.get(name_of(target) + "-engine", "/orders").body);
        CHECK(book.at("loaded") == "fude@2");
        CHECK(book.at("runs_while_loading") == 0);
        CHECK(book.at("orders").size() == 1);
        for (json const& order : book.at("orders")) {
            CHECK(order.at("arrivals") == 1);
        }
    }
    auto const [code, shown] =
        system.operate({"show", "placement", "--control", system.control_list()});
    CHECK(code == 0);
    CHECK(shown.find("fude/00000002") != std::string::npos);
}
