/// @file
/// The figures that `fireflycrank bench` reports.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fireflycrank {

/// One figure beside its baseline and target.
struct bench_result {
    std::string name;
    std::string unit;
    double value{0};
    double baseline{0};
    double target{0};
    bool holds{false};
    bool counted{false}; ///< true when the value is counted work, equal on every run of one seed;
                         ///< only these enter the signature
};

/// Figures of the request path: routing, queues, admission, retries.
/// @param seed seed of all random choices
/// @return the figures
std::vector<bench_result> bench_routing(std::uint64_t seed);

/// Figures of expert maps and placement.
/// @param seed seed of all random choices
/// @return the figures
std::vector<bench_result> bench_experts(std::uint64_t seed);

/// Figures of the replicated log: recovery, appends per sync.
/// @param seed seed of all random choices
/// @return the figures
std::vector<bench_result> bench_control(std::uint64_t seed);

/// Figures of membership, configuration spreading and load reports.
/// @param seed seed of all random choices
/// @return the figures
std::vector<bench_result> bench_membership(std::uint64_t seed);

/// Figures of claims and attempts.
/// @param seed seed of all random choices
/// @return the figures
std::vector<bench_result> bench_orders(std::uint64_t seed);

} // namespace fireflycrank
