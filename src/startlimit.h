/// @file
/// The first seconds of a group at a gateway that has observed none of its passes: the number of
/// streams that the group may run, and this gateway's part of it while it does not know how many
/// gateways share them. Pure functions without I/O.
#pragma once

#include "clock.h"
#include "passmodel.h"
#include "serviceconfig.h"

#include <cstdint>
#include <map>
#include <string>

namespace fireflycrank {

/// What the agents of a group report.
struct group_reports {
    double streams_per_rank{0};  ///< running or waiting
    double_milliseconds pass{0}; ///< smoothed length of the group's passes; 0: unknown
    double slowdown{1.0};        ///< of its slowest rank; 1 at normal speed
};

/// Returns the number of streams per rank that keep passes within the pause target, from the
/// engine's traits with an expert map that does not follow the demand yet, and from the reports.
/// @return at most the slots of a rank; the slots if no number of streams would help
double start_streams(pass_requirements const& requirements, group_reports const& reports);

/// How many gateways share a limit, as far as this one knows.
struct gateway_census {
    std::uint64_t gateways{1};
    time_point changed_at{}; ///< when the number changed last; the start of the process at first
};

/// Records the number of gateways that is known now.
void record_census(gateway_census& census, std::uint64_t gateways, time_point now);

/// Phases of a group's limit after its first appearance.
enum class start_phase : std::uint8_t {
    none,     ///< the limit follows the observed passes
    unshared, ///< the number of gateways is unknown: the part begins small and grows by the reports
    shared    ///< the part is known; the limit follows from traits and reports
};

/// A group that this gateway does not know well yet.
struct group_start {
    start_phase phase{start_phase::none};
    time_point begun{};
    time_point round_begun{}; ///< the part stays the same for a round
    double first_part{0};     ///< streams
    double part{0};           ///< streams
    double offset{0};         ///< fixed random value in [0, 1) that rounds small parts
    bool reported{false};     ///< load reports have arrived
    bool in_use{false};       ///< the first reports showed streams of other gateways
    double limit{0};          ///< streams per rank
    time_point updated_at{};
    bool short_of_room{false}; ///< a request of this round found the part in use
};

/// Begins the start of a group.
/// @param draw a uniform value in [0, 1)
group_start begin_start(double draw, time_point now);

/// What a group's part is calculated from.
struct start_view {
    double ranks{1};
    double running{0};        ///< streams of the group, by the reports
    double own{0};            ///< of these, this gateway's
    bool reported{false};     ///< there are reports
    bool passes_known{false}; ///< enough passes were observed
    double start_limit{0};    ///< streams per rank, as start_streams() returns it
    double slots{0};          ///< of a rank
    double usual_limit{0};    ///< streams per rank, as sustainable_streams() returns it
};

/// Moves the start to its present phase and recalculates its limit and part. To be called several
/// times per second.
void advance_start(group_start& start, start_view const& view, gateway_census const& census,
                   time_point now);

/// The part that this gateway is expected to have when its start is over.
double expected_part(double limit, gateway_census const& census);

/// Returns until when late requests may wait for room at a gateway that has just started.
time_point late_wait_end(group_start const& start);

/// Returns how long a stream of usual length runs.
duration usual_stream(pass_requirements const& requirements);

/// Returns the mean time between two streams of a part that end.
/// @param part streams of this gateway
/// @return zero if the usual length of a stream is unknown
duration expected_slot_interval(pass_requirements const& requirements, double part);

} // namespace fireflycrank
