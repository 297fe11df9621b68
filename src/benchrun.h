/// @file
/// Runs the bench figures and computes their signature.
#pragma once

#include "bench.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fireflycrank {

/// Runs the figures of all areas, or of the areas that hold the named figures.
/// @param seed seed of all random choices
/// @param only names of figures; empty for all
/// @return the figures, in a fixed order
std::vector<bench_result> run_bench(std::uint64_t seed, std::vector<std::string> const& only);

/// The signature of the counted figures: equal behaviour gives an equal signature on every machine.
/// @param results the figures; times are left out
/// @return 16 hexadecimal digits
std::string bench_signature(std::vector<bench_result> const& results);

/// Writes one figure as a JSON line.
/// @param figure the figure
/// @return {"name","unit","value","baseline","target","holds"}
std::string bench_json(bench_result const& figure);

} // namespace fireflycrank
