#include "metrics.h"

#include <utility>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <map>
#include <mutex>
#include <sstream>

namespace fireflycrank {

namespace {

namespace acc = boost::accumulators;

using totals_set =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max>>;
using quantile_set = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

struct summary {
    totals_set totals;
    quantile_set median{acc::quantile_probability = 0.5};
    quantile_set p95{acc::quantile_probability = 0.95};
    quantile_set p99{acc::quantile_probability = 0.99};
};

using labelled_values = std::map<std::string, double>;

std::string series(std::string const& name, std::string const& labels,
                   std::string const& extra = "") {
    std::string const joined = labels + (labels.empty() || extra.empty() ? "" : ",") + extra;
    return joined.empty() ? name : name + "{" + joined + "}";
}

void write_summary(std::ostream& out, std::string const& name, std::string const& labels,
                   summary const& values) {
    out << series(name, labels, "quantile=\"0.5\"") << ' ' << acc::p_square_quantile(values.median)
        << '\n'
        << series(name, labels, "quantile=\"0.95\"") << ' ' << acc::p_square_quantile(values.p95)
        << '\n'
        << series(name, labels, "quantile=\"0.99\"") << ' ' << acc::p_square_quantile(values.p99)
        << '\n'
        << series(name + "_sum", labels) << ' ' << acc::sum(values.totals) << '\n'
        << series(name + "_count", labels) << ' ' << acc::count(values.totals) << '\n'
        << series(name + "_max", labels) << ' ' << acc::max(values.totals) << '\n';
}

void write_values(std::ostream& out, std::string const& type,
                  std::map<std::string, labelled_values> const& metrics) {
    for (auto const& [name, values] : metrics) {
        out << "# TYPE " << name << ' ' << type << '\n';
        for (auto const& [labels, value] : values) {
            out << series(name, labels) << ' ' << value << '\n';
        }
    }
}

} // namespace

struct metrics_registry {
    std::mutex mutex;
    std::map<std::string, labelled_values> counters;
    std::map<std::string, labelled_values> gauges;
    std::map<std::string, std::map<std::string, summary>> summaries;
};

std::shared_ptr<metrics_registry> make_metrics() {
    return std::make_shared<metrics_registry>();
}

void count(metrics_registry& registry, std::string const& name, std::string const& labels,
           double by) {
    std::lock_guard const lock{registry.mutex};
    registry.counters[name][labels] += by;
}

void set_gauge(metrics_registry& registry, std::string const& name, std::string const& labels,
               double value) {
    std::lock_guard const lock{registry.mutex};
    registry.gauges[name][labels] = value;
}

void observe(metrics_registry& registry, std::string const& name, std::string const& labels,
             double value) {
    std::lock_guard const lock{registry.mutex};
    summary& values = registry.summaries[name][labels];
    values.totals(value);
    values.median(value);
    values.p95(value);
    values.p99(value);
}

std::string render_metrics(metrics_registry& registry) {
    std::lock_guard const lock{registry.mutex};
    std::ostringstream out;
    write_values(out, "counter", registry.counters);
    write_values(out, "gauge", registry.gauges);
    for (auto const& [name, by_labels] : registry.summaries) {
        out << "# TYPE " << name << " summary\n";
        for (auto const& [labels, values] : by_labels) {
            write_summary(out, name, labels, values);
        }
    }
    return out.str();
}

} // namespace fireflycrank
