/// @file
/// Weighs the prompts that targets still have to read. A target reads prompts one after the other
/// and only so many tokens in a pass, so a short prompt behind a long one waits for all of it.
/// Counted in requests, a target that reads a long prompt looks as free as one that reads a short
/// one. Pure functions without I/O.
#pragma once

#include "clock.h"
#include "passmodel.h"
#include "serviceconfig.h"

#include <map>
#include <string>
#include <vector>

namespace fireflycrank {

/// How the targets of a service read prompts.
struct prompt_reading {
    double tokens_per_ms{0};              ///< 0: unknown; prompts are not weighed by their length
    double tokens_per_pass{0};            ///< at most; 0: no limit
    double most_tokens{0};                ///< longest prompt that a target accepts
    double_milliseconds million_pairs{0}; ///< for a million pairs of a token and an earlier one
    double_milliseconds fixed_pass{0};    ///< part of a pass that does not depend on the streams
    double_milliseconds stream_pass{0};   ///< what a running stream adds to a pass
    double own_share{1};      ///< part of the work for a prompt that the other ranks do not share
    double usual_tokens{0};   ///< mean of the prompts seen lately; 0: none
    double longest_tokens{0}; ///< of the prompts seen lately, falling slowly
    /// Prompts are weighed only where reading the longest takes this much longer than a usual one.
    /// Shorter waits leave callers' objectives enough time.
    double_milliseconds tolerated_wait{0};
};

/// A prompt that a target has not answered yet.
struct sent_prompt {
    unsigned tokens{0};
    time_point sent_at{};
};

/// The prompts that this gateway has sent to a target and that it has not answered yet, oldest
/// first.
using prompt_backlog = std::vector<sent_prompt>;

/// What a target does beside reading prompts.
struct target_activity {
    double streams{0};      ///< running
    double slowdown{1.0};   ///< 1 at normal speed
    time_point waited_at{}; ///< of the newest report, if it shows that requests wait there
};

/// What a prompt costs beyond one of the usual length.
struct prompt_excess {
    double_milliseconds of_pass{0};     ///< by which its target's passes become longer
    double_milliseconds first_event{0}; ///< by which its own first event comes later
};

/// Returns how the targets of each service with a model engine read prompts.
/// @param before result for the configuration before, whose usual lengths are kept
std::map<std::string, prompt_reading>
prompt_readings_of(service_config const& config,
                   std::map<std::string, prompt_reading> const& before);

/// Records the length of a prompt of a service. Nothing is recorded for a service without a model
/// engine or a prompt of unknown length.
void record_prompt(std::map<std::string, prompt_reading>& readings, std::string const& service,
                   unsigned tokens);

/// Finds how a service's targets read prompts.
/// @return null for a service without a model engine
prompt_reading const* find_reading(std::map<std::string, prompt_reading> const& readings,
                                   std::string const& service);

/// Returns how long a target takes to read a prompt, once it has begun to.
duration reading_time(prompt_reading const& reading, double tokens,
                      target_activity const& activity);

/// Adds a prompt that is sent now. One of unknown length is not added.
void add_prompt(prompt_backlog& backlog, sent_prompt const& prompt);

/// Removes a prompt that was answered, or whose run has ended.
void remove_prompt(prompt_backlog& backlog, sent_prompt const& prompt);

/// Returns how much longer a new prompt waits at a target than if no prompt there were longer than
/// usual. Zero if all prompts are alike.
duration excess_wait(prompt_backlog const& backlog, prompt_reading const& reading,
                     target_activity const& activity, time_point now);

/// Returns the load by which a target is compared with others: its requests, and its excess wait in
/// running streams. A target that has room stays below one without, so that reading a long prompt
/// never sets it aside.
/// @param load running and waiting requests
/// @param room load from which on requests would wait at the gateway
double weighed_load(double load, double room, duration excess, prompt_reading const& reading);

/// Returns what a prompt costs beyond one of the usual length; zero for shorter ones.
/// @param reading null: unknown, so zero
prompt_excess excess_of(prompt_reading const* reading, unsigned tokens);

} // namespace fireflycrank
