#include "loadreport.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace fireflycrank {

namespace {

// A reader that misses two keepalives and some delay takes the subscription for lost.
constexpr double silent_keepalives = 2.5;

duration scaled(duration value, double factor) {
    return duration{static_cast<std::int64_t>(double(value.count()) * factor)};
}

bool differs(load_reporter const& reporter, load_field const& field, double value, double last) {
    double const change = std::abs(value - last);
    return change >= field.least_change &&
           change > std::abs(last) * reporter.options.relative_change;
}

bool any_differs(load_reporter const& reporter, load_values const& load, load_values const& last) {
    return std::ranges::any_of(load_fields, [&](auto const& field) {
        return differs(reporter, field, load.*field.member, last.*field.member);
    });
}

// The pause between two reports to one follower. It grows with the followers, so that an agent's
// total stays within its rate.
duration report_interval(load_reporter const& reporter) {
    double const seconds = double(reporter.followers.size()) / reporter.options.reports_per_second;
    return std::max(reporter.options.min_interval, scaled(std::chrono::seconds{1}, seconds));
}

load_report make_report(load_reporter& reporter, load_follower& follower, load_values const& load,
                        duration sample_age, time_point now) {
    load_report report{.target = reporter.target,
                       .incarnation = reporter.incarnation,
                       .sequence = ++reporter.sequence,
                       .sample_age = sample_age};
    bool const full = follower.wants_full;
    if (full) {
        follower.base = report.sequence;
        follower.base_values = load;
        follower.full_at = now;
        follower.wants_full = false;
    }
    report.base = follower.base;
    for (std::size_t field = 0; field < load_fields.size(); ++field) {
        double const value = load.*load_fields.at(field).member;
        if (full || value != follower.base_values.*load_fields.at(field).member) {
            report.values.at(field) = value;
        }
    }
    follower.sent_at = now;
    follower.sent = load;
    return report;
}

} // namespace

void load_subscribed(load_reporter& reporter, std::string const& from,
                     load_subscribe const& request, time_point now) {
    auto& follower = reporter.followers[request.entry];
    if (std::tuple{request.incarnation, request.sequence} <=
        std::tuple{follower.incarnation, follower.sequence}) {
        return;
    }
    bool const fresh = follower.ended || follower.incarnation != request.incarnation ||
                       follower.address != from || now >= follower.lease_end;
    follower.address = from;
    follower.incarnation = request.incarnation;
    follower.sequence = request.sequence;
    follower.cache_rate = request.cache_rate;
    // An ended subscription stays as a marker for one lease, so that a late renewal cannot revive
    // it.
    follower.ended = request.lease <= duration{0};
    follower.lease_end = now + (follower.ended ? reporter.options.lease : request.lease);
    follower.wants_full = follower.wants_full || fresh;
}

std::vector<load_outgoing<load_report>> load_tick(load_reporter& reporter, load_values const& load,
                                                  duration sample_age, time_point now) {
    std::erase_if(reporter.followers,
                  [now](auto const& entry) { return now >= entry.second.lease_end; });
    duration const interval = report_interval(reporter);
    std::vector<load_outgoing<load_report>> reports;
    for (auto& [name, follower] : reporter.followers) {
        if (follower.ended) {
            continue;
        }
        follower.wants_full =
            follower.wants_full || now - follower.full_at >= reporter.options.keepalive;
        bool const due = now - follower.sent_at >= interval;
        if (follower.wants_full || (due && any_differs(reporter, load, follower.sent))) {
            reports.push_back(
                {follower.address, make_report(reporter, follower, load, sample_age, now)});
        }
    }
    return reports;
}

std::vector<load_outgoing<load_subscribe>>
follow(load_reader& reader, std::vector<load_target> const& subset, time_point now) {
    std::map<std::string, load_view> next;
    for (auto const& target : subset) {
        auto& view = next[target.name];
        if (auto known = reader.views.extract(target.name); !known.empty()) {
            view = std::move(known.mapped());
        }
        if (view.agent_incarnation != target.incarnation || view.address != target.address) {
            view = {.address = target.address,
                    .agent_incarnation = target.incarnation,
                    .received_at = now,
                    .next_subscribe = now};
        }
    }
    std::vector<load_outgoing<load_subscribe>> ended;
    for (auto const& [name, view] : reader.views) {
        ended.push_back({view.address,
                         {.entry = reader.entry,
                          .incarnation = reader.incarnation,
                          .sequence = ++reader.sequence}});
    }
    reader.views = std::move(next);
    return ended;
}

std::vector<load_outgoing<load_subscribe>> follow_tick(load_reader& reader, time_point now) {
    std::vector<load_outgoing<load_subscribe>> due;
    for (auto& [name, view] : reader.views) {
        if (now < view.next_subscribe) {
            continue;
        }
        bool const silent = !view.known || now - view.received_at >=
                                               scaled(reader.options.keepalive, silent_keepalives);
        view.next_subscribe = now + (silent ? reader.options.retry : reader.options.renew);
        due.push_back({view.address,
                       {.entry = reader.entry,
                        .incarnation = reader.incarnation,
                        .sequence = ++reader.sequence,
                        .lease = reader.options.lease,
                        .cache_rate = reader.cache_rate}});
    }
    return due;
}

bool load_received(load_reader& reader, load_report const& report, time_point now) {
    auto const found = reader.views.find(report.target);
    if (found == reader.views.end() || report.incarnation != found->second.agent_incarnation) {
        return false;
    }
    auto& view = found->second;
    bool const full = report.base == report.sequence;
    bool const stale =
        view.known && report.incarnation == view.incarnation && report.sequence <= view.sequence;
    bool const base_missing = !full && (!view.known || report.base != view.base);
    if (stale || base_missing) {
        return false;
    }
    load_values values = view.base_values;
    for (std::size_t field = 0; field < load_fields.size(); ++field) {
        if (report.values.at(field)) {
            values.*load_fields.at(field).member = *report.values.at(field);
        }
    }
    if (full) {
        view.base = report.base;
        view.base_values = values;
        view.known = true;
    }
    view.values = values;
    view.incarnation = report.incarnation;
    view.sequence = report.sequence;
    view.measured_at = now - report.sample_age;
    view.received_at = now;
    return true;
}

double load_weight(load_view const& view, time_point now, load_options const& options) {
    if (!view.known) {
        return 0;
    }
    double const age = double((now - view.measured_at).count());
    return std::min(1.0, std::exp2(-age / double(options.half_life.count())));
}

} // namespace fireflycrank
