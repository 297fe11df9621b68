/// @file
/// Load reports from agents to the entries that follow them: changed values only, with keepalives.
#pragma once

#include "clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fireflycrank {

/// The load of one target.
struct load_values {
    double running{0};
    double queued{0};
    double queued_work{0}; ///< output tokens waiting or still to generate
    double tokens_per_second{0};
    double slots{0};
    double waiting_short{0}; ///< part of queued_work, as in target_load
    double waiting_long{0};  ///< part of queued_work, as in target_load
    bool operator==(load_values const&) const = default;
};

/// One field of the load with the least change worth a message.
struct load_field {
    double load_values::*member;
    double least_change{}; ///< absolute; changes of small numbers are noise
};

inline constexpr std::array<load_field, 7> load_fields{{{&load_values::running, 1},
                                                        {&load_values::queued, 1},
                                                        {&load_values::queued_work, 64},
                                                        {&load_values::tokens_per_second, 20},
                                                        {&load_values::slots, 0.5},
                                                        {&load_values::waiting_short, 64},
                                                        {&load_values::waiting_long, 64}}};

struct load_options {
    duration min_interval{std::chrono::seconds{2}};
    duration keepalive{std::chrono::seconds{10}};
    duration lease{std::chrono::seconds{90}};
    duration renew{std::chrono::seconds{30}};
    duration retry{std::chrono::seconds{3}};
    double relative_change{0.2};   ///< of the value last sent
    double reports_per_second{14}; ///< an agent with many followers reports less often to each
    duration half_life{std::chrono::seconds{8}}; ///< of a report's weight at the reader
};

/// Agent to entry. Values absent are those of the last full report, so that the next report repairs
/// a lost one.
struct load_report {
    std::string target{};
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    std::uint64_t base{0}; ///< sequence of the full report that absent values refer to; its own
                           ///< sequence for a full report
    std::array<std::optional<double>, load_fields.size()> values{};
    duration sample_age{0}; ///< age of the engine's own figures when sent
};

/// Entry to agent: send reports until the lease ends; a lease of 0 ends them.
struct load_subscribe {
    std::string entry{};
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    duration lease{0};
    std::uint32_t cache_rate{0}; ///< bytes a second granted to cache events
};

struct load_follower {
    std::string address{};
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    time_point lease_end{};
    std::uint32_t cache_rate{0};
    time_point sent_at{};
    time_point full_at{};
    bool wants_full{true};
    bool ended{false};
    load_values sent{};
    std::uint64_t base{0}; ///< sequence of the last full report
    load_values base_values{};
};

/// The agent's side.
struct load_reporter {
    load_options options{};
    std::string target{};
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    std::map<std::string, load_follower> followers{};
};

template <class Message>
struct load_outgoing {
    std::string address{};
    Message message{};
};

/// Takes a subscription; reordered and duplicated ones are ignored.
/// @param reporter the agent's state
/// @param from the entry's mailbox address
/// @param request the subscription
/// @param now the current time
void load_subscribed(load_reporter& reporter, std::string const& from,
                     load_subscribe const& request, time_point now);

/// Makes the reports that are due.
/// @param reporter the agent's state
/// @param load the present load
/// @param sample_age age of the load's figures
/// @param now the current time
/// @return reports to send
std::vector<load_outgoing<load_report>> load_tick(load_reporter& reporter, load_values const& load,
                                                  duration sample_age, time_point now);

/// What an entry knows of one target's load.
struct load_view {
    std::string address{};
    std::uint64_t agent_incarnation{0}; ///< from membership; a new one needs a new subscription
    std::uint64_t incarnation{0};       ///< of the reports
    std::uint64_t sequence{0};
    std::uint64_t base{0};
    load_values base_values{};
    load_values values{};
    time_point measured_at{}; ///< when the engine measured the values, for decay
    time_point received_at{};
    time_point next_subscribe{};
    bool known{false}; ///< at least one full report came in
};

/// The entry's side.
struct load_reader {
    load_options options{};
    std::string entry{};
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    std::uint32_t cache_rate{0};              ///< granted to the cache events of each target
    std::map<std::string, load_view> views{}; ///< by target
};

/// One target of the entry's subset.
struct load_target {
    std::string name{};
    std::string address{};
    std::uint64_t incarnation{0};
};

/// Follows exactly the given targets from here on.
/// @param reader the entry's state
/// @param subset targets of choose_subset() over all pools
/// @param now the current time
/// @return subscriptions that end, to send
std::vector<load_outgoing<load_subscribe>>
follow(load_reader& reader, std::vector<load_target> const& subset, time_point now);

/// Makes the subscriptions that are due: new ones, renewals, and those whose reports stay away.
/// @param reader the entry's state
/// @param now the current time
/// @return subscriptions to send
std::vector<load_outgoing<load_subscribe>> follow_tick(load_reader& reader, time_point now);

/// Takes a report. Stale, duplicated and unasked ones are ignored, and those whose full report was
/// lost.
/// @param reader the entry's state
/// @param report the report
/// @param now the current time
/// @return true when the view changed
bool load_received(load_reader& reader, load_report const& report, time_point now);

/// The weight of a view against the fleet's average: 1 when just measured, half after each half
/// life, 0 when unknown.
/// @param view what the entry knows
/// @param now the current time
/// @param options holds the half life
/// @return a weight in [0, 1]
double load_weight(load_view const& view, time_point now, load_options const& options);

} // namespace fireflycrank
