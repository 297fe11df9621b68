/// @file
/// A small seeded random number generator (splitmix64). Decisions take it as an argument, so that a
/// seed reproduces every choice.
#pragma once

#include <cstdint>

namespace fireflycrank {

/// The generator's state; aggregate, copyable, comparable by seed.
struct rng {
    std::uint64_t state{0};
};

/// Draws 64 random bits.
/// @param source the generator; advanced by one step
/// @return uniformly distributed bits
constexpr std::uint64_t next_bits(rng& source) {
    source.state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = source.state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

/// Draws an integer below a bound.
/// @param source the generator
/// @param bound exclusive upper bound; 0 gives 0
/// @return a value in [0, bound)
constexpr std::uint64_t next_below(rng& source, std::uint64_t bound) {
    return bound == 0 ? 0 : next_bits(source) % bound;
}

/// Draws a real number.
/// @param source the generator
/// @return a value in [0, 1)
constexpr double next_unit(rng& source) {
    return static_cast<double>(next_bits(source) >> 11U) * 0x1.0p-53;
}

} // namespace fireflycrank
