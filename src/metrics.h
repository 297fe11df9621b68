/// @file
/// Counters, gauges and summaries, readable in the Prometheus text format.
#pragma once

#include <memory>
#include <string>

namespace fireflycrank {

/// All metrics of a process. Thread-safe: each function takes the registry's own mutex, which is
/// the innermost in the lock order.
struct metrics_registry;

/// Makes an empty registry.
/// @return the registry
std::shared_ptr<metrics_registry> make_metrics();

/// Adds to a counter.
/// @param registry the registry
/// @param name metric name, for example "fireflycrank_requests_total"
/// @param labels label text, for example `route="draft"`; may be empty
/// @param by how much
void count(metrics_registry& registry, std::string const& name, std::string const& labels = "",
           double by = 1);

/// Sets a gauge.
/// @param registry the registry
/// @param name metric name
/// @param labels label text
/// @param value the present value
void set_gauge(metrics_registry& registry, std::string const& name, std::string const& labels,
               double value);

/// Adds a sample to a summary (count, sum, maximum, median, 95th and 99th percentile).
/// @param registry the registry
/// @param name metric name, with its unit as suffix
/// @param labels label text
/// @param value the sample
void observe(metrics_registry& registry, std::string const& name, std::string const& labels,
             double value);

/// Writes all metrics in the Prometheus text format.
/// @param registry the registry
/// @return the text
std::string render_metrics(metrics_registry& registry);

} // namespace fireflycrank
