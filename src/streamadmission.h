/// @file
/// Decides whether a gateway may start another stream in a group of ranks. The limit applies to all
/// gateways together; each derives its own part from the load reports, without asking the others.
/// Pure functions without I/O.
#pragma once

#include "clock.h"
#include "passmodel.h"
#include "promptwork.h"
#include "startlimit.h"

#include <string>

namespace fireflycrank {

/// Streams of a group.
struct group_streams {
    double running{0}; ///< running or waiting at the targets, by their load reports
    unsigned ranks{0};
    unsigned own{0};             ///< unfinished ones of this gateway
    double slowdown{1.0};        ///< of the slowest rank; 1 at normal speed
    double_milliseconds pass{0}; ///< smoothed length of the passes, by the agents; 0: unknown
    bool reported{true};         ///< there are load reports
    unsigned closed_ranks{0};    ///< those in evacuated zones: in every pass, but without places
    double unusable_ranks{0};    ///< places that cold ranks cannot fill, in ranks
};

/// A gateway's view of one group.
struct group_admission {
    std::string service; ///< that the group serves
    pass_model passes;
    group_streams streams;
    double usual_own{0};   ///< average of `streams.own` over the age of the load reports
    double limit{0};       ///< streams in the group; 0: unknown
    double gain{1.0};      ///< factor by which gateways exceed their parts to fill the group
    double own_limit{0};   ///< streams of this gateway
    time_point short_at{}; ///< a request last found all of this gateway's part in use
    time_point updated_at{};
    group_start start;
};

/// Recalculates the limits. To be called several times per second.
/// @param requirements of the service that the group serves
/// @param gateways number of gateways that share the limit
void update_limits(group_admission& group, group_streams const& streams,
                   pass_requirements const& requirements, unsigned gateways, time_point now);

/// Recalculates the limits as update_limits() does, also while the group is not well known.
void update_started_limits(group_admission& group, group_streams const& streams,
                           pass_requirements const& requirements, gateway_census const& census,
                           time_point now);

/// Urgency of a request for admission.
struct admission_request {
    bool resumed{false}; ///< a stream that was interrupted after its first event
    duration slack{};    ///< time left to send it in order to meet its objective; negative if late
    prompt_excess prompt{};
};

/// Whether the group runs nearly as many streams as it may, so that waiting requests depend on the
/// end of running ones.
bool is_busy(group_admission const& group);

/// Whether this gateway may not start another stream in the group now.
bool is_full(group_admission const& group, admission_request const& request);

/// Records that a request found the group full.
void record_shortage(group_admission& group, time_point now);

/// Whether a stream with time to spare should wait because the present passes of a busy group are
/// too long. Each prompt would lengthen them further, a long one more; it also needs more time to
/// meet its own objective.
bool should_hold(group_admission const& group, admission_request const& request,
                 pass_requirements const& requirements, time_point now);

} // namespace fireflycrank
