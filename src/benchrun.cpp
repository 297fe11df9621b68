#include "benchrun.h"

#include "digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace fireflycrank {

namespace {

using bench_area = std::vector<bench_result> (*)(std::uint64_t);

constexpr std::array<bench_area, 5> areas{bench_routing, bench_experts, bench_control,
                                          bench_membership, bench_orders};

// Counted values are whole or ratios of whole numbers; six digits keep apart what differs and
// ignore the last bits, in which compilers may disagree.
std::string stable_text(double value) {
    std::ostringstream text;
    text << std::setprecision(6) << value;
    return text.str();
}

} // namespace

std::vector<bench_result> run_bench(std::uint64_t seed, std::vector<std::string> const& only) {
    std::vector<bench_result> results;
    for (bench_area const area : areas) {
        for (bench_result& figure : area(seed)) {
            if (only.empty() || std::find(only.begin(), only.end(), figure.name) != only.end()) {
                results.push_back(std::move(figure));
            }
        }
    }
    return results;
}

std::string bench_signature(std::vector<bench_result> const& results) {
    std::string text;
    for (bench_result const& figure : results) {
        if (figure.counted) {
            text += figure.name + "=" + stable_text(figure.value) + "\n";
        }
    }
    constexpr std::size_t signature_digits = 16;
    return sha256_hex(text).substr(0, signature_digits);
}

std::string bench_json(bench_result const& figure) {
    nlohmann::ordered_json const line{{"name", figure.name},     {"unit", figure.unit},
                                      {"value", figure.value},   {"baseline", figure.baseline},
                                      {"target", figure.target}, {"holds", figure.holds}};
    return line.dump();
}

} // namespace fireflycrank
