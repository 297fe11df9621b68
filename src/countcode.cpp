#include "countcode.h"

#include "packedtext.h"
#include "rng.h"

#include <algorithm>
#include <numeric>

namespace fireflycrank {

namespace {

constexpr unsigned bits_a_byte = 8;
constexpr std::uint64_t byte_mask = 0xff;
constexpr std::size_t unit_bytes = 8;
constexpr double units_of_the_mean = 2;
constexpr std::uint64_t most_units = 255;
// Counts of a group's rank and maps of a group are a few thousand numbers.
constexpr std::size_t max_unpacked = std::size_t{1} << 20U;

void put(std::string& bytes, std::uint64_t number, std::size_t size) {
    for (std::size_t at = 0; at < size; ++at) {
        bytes.push_back(static_cast<char>(number >> (bits_a_byte * at) & byte_mask));
    }
}

// Reads numbers from unpacked bytes; `whole` turns false when they end early.
struct byte_reader {
    std::string_view rest;
    bool whole{true};

    std::uint64_t take(std::size_t size) {
        if (rest.size() < size) {
            whole = false;
            return 0;
        }
        std::uint64_t number = 0;
        for (std::size_t at = 0; at < size; ++at) {
            number |= std::uint64_t{static_cast<unsigned char>(rest[at])} << (bits_a_byte * at);
        }
        rest.remove_prefix(size);
        return number;
    }
};

auto not_whole(char const* what) {
    return fail(error_kind::corrupt_data, std::string{what} + " cannot be unpacked",
                "check that all processes run the same version");
}

} // namespace

std::string pack_counts(std::vector<std::uint64_t> const& counts, std::uint64_t seed) {
    if (counts.empty()) {
        return {};
    }
    auto const total = std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
    double const mean = static_cast<double>(total) / static_cast<double>(counts.size());
    auto const largest = *std::max_element(counts.begin(), counts.end());
    // The largest count must fit as well.
    auto const unit =
        std::max({std::uint64_t{1}, static_cast<std::uint64_t>(mean / units_of_the_mean),
                  (largest + most_units - 1) / most_units});
    std::string bytes;
    bytes.reserve(unit_bytes + counts.size());
    put(bytes, unit, unit_bytes);
    rng random{seed};
    for (auto const count : counts) {
        auto const rounded_up = next_below(random, unit) < count % unit ? 1U : 0U;
        put(bytes, std::min(count / unit + rounded_up, most_units), 1);
    }
    return pack_text(bytes);
}

result<std::vector<std::uint64_t>> unpack_counts(std::string_view packed) {
    std::vector<std::uint64_t> counts;
    if (packed.empty()) {
        return counts;
    }
    BOOST_OUTCOME_TRY(bytes, unpack_text(packed, max_unpacked));
    byte_reader reader{bytes};
    auto const unit = reader.take(unit_bytes);
    while (!reader.rest.empty()) {
        counts.push_back(unit * reader.take(1));
    }
    if (!reader.whole || unit == 0) {
        return not_whole("counts of experts");
    }
    return counts;
}

std::string pack_map(group_experts const& map) {
    constexpr std::size_t number_bytes = 2;
    std::string bytes;
    put(bytes, map.size(), number_bytes);
    put(bytes, map.empty() ? 0 : map.front().size(), number_bytes);
    for (auto const& rank : map) {
        for (auto const& set : rank) {
            put(bytes, set.size(), number_bytes);
            for (auto const expert : set) {
                put(bytes, expert, number_bytes);
            }
        }
    }
    return pack_text(bytes);
}

result<group_experts> unpack_map(std::string_view packed) {
    constexpr std::size_t number_bytes = 2;
    if (packed.empty()) {
        return group_experts{};
    }
    BOOST_OUTCOME_TRY(bytes, unpack_text(packed, max_unpacked));
    byte_reader reader{bytes};
    auto const ranks = reader.take(number_bytes);
    auto const sets = reader.take(number_bytes);
    group_experts map(ranks, rank_experts(sets));
    for (auto& rank : map) {
        for (auto& set : rank) {
            auto const experts = reader.take(number_bytes);
            for (std::uint64_t one = 0; one < experts && reader.whole; ++one) {
                set.push_back(static_cast<unsigned>(reader.take(number_bytes)));
            }
        }
    }
    if (!reader.whole || !reader.rest.empty()) {
        return not_whole("an expert map");
    }
    return map;
}

} // namespace fireflycrank
