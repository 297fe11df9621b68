#include "departurelog.h"

#include "directorywire.h"

#include <algorithm>
#include <tuple>

namespace fireflycrank {

namespace {

bool is_older(stored_departure const& left, stored_departure const& right) {
    return std::tuple{!left.target.service.empty(), left.recorded_at} <
           std::tuple{!right.target.service.empty(), right.recorded_at};
}

void enforce_limits(departure_ledger& ledger, directory_limits const& limits) {
    auto& kept = ledger.departures;
    while (kept.size() > limits.targets || ledger.text_bytes > limits.text_bytes) {
        auto const oldest =
            std::min_element(kept.begin(), kept.end(), [](auto const& left, auto const& right) {
                return is_older(left.second, right.second);
            });
        ledger.text_bytes -= text_bytes(oldest->second.target);
        kept.erase(oldest);
    }
}

result<departure_ledger> read_log(departure_log& opened, std::string const& folder,
                                  departure_log_settings const& settings, wall_time now) {
    departure_ledger ledger;
    close_wal(opened.log);
    opened.log = {};
    opened.log.files = &opened.files;
    opened.log.folder = folder;
    BOOST_OUTCOME_TRYV(make_durable_folder(opened.files, folder));
    BOOST_OUTCOME_TRYV(open_wal(opened.log, [&](std::string_view record) -> result<void> {
        BOOST_OUTCOME_TRY(departure, parse_stored_departure(record));
        add_departure(ledger, departure, settings);
        return ok();
    }));
    remove_expired(ledger, settings, now);
    return ledger;
}

// What the log holds is of use for two minutes, and the other registrars hold it too.
result<void> remove_log(departure_log& opened, std::string const& folder) {
    close_wal(opened.log);
    BOOST_OUTCOME_TRY(names, opened.files.list(folder));
    for (auto const& name : names) {
        std::string path = folder;
        path.append("/").append(name);
        BOOST_OUTCOME_TRYV(opened.files.remove(path));
    }
    return opened.files.sync_folder(folder);
}

} // namespace

bool covers(departure_ledger const& ledger, target_announcement const& target,
            departure_log_settings const& settings, wall_time now) {
    auto const found = ledger.departures.find(target.id);
    if (found == ledger.departures.end()) {
        return false;
    }
    auto const& kept = found->second;
    bool const as_late = std::tuple{kept.target.started_at, kept.target.state} >=
                         std::tuple{target.started_at, target.state};
    return as_late && now - kept.recorded_at < settings.retention / 2;
}

void add_departure(departure_ledger& ledger, stored_departure const& departure,
                   departure_log_settings const& settings) {
    auto& kept = ledger.departures[departure.target.id];
    bool const is_later = std::tuple{departure.target.started_at, departure.target.state} >=
                          std::tuple{kept.target.started_at, kept.target.state};
    if (kept.target.id.empty() || is_later) {
        ledger.text_bytes += text_bytes(departure.target) - text_bytes(kept.target);
        kept = departure;
    }
    enforce_limits(ledger, settings.limits);
}

void remove_expired(departure_ledger& ledger, departure_log_settings const& settings,
                    wall_time now) {
    for (auto& [id, departure] : ledger.departures) {
        departure.recorded_at = std::min(departure.recorded_at, now);
    }
    std::erase_if(ledger.departures, [&](auto const& entry) {
        bool const expired = now - entry.second.recorded_at > settings.retention;
        ledger.text_bytes -= expired ? text_bytes(entry.second.target) : 0;
        return expired;
    });
}

result<departure_ledger> open_departure_log(departure_log& opened, file_layer files,
                                            std::string const& folder,
                                            departure_log_settings const& settings, wall_time now) {
    opened.files = std::move(files);
    auto ledger = read_log(opened, folder, settings, now);
    if (!ledger && ledger.error().kind == error_kind::corrupt_data) {
        BOOST_OUTCOME_TRYV(remove_log(opened, folder));
        ledger = read_log(opened, folder, settings, now);
    }
    BOOST_OUTCOME_TRY(kept, std::move(ledger));
    // Every opening begins a segment; what is expired goes with the earlier ones. Without room for
    // it the log serves as it is, and the next write fails.
    if (opened.log.bytes_since_checkpoint > 0) {
        (void)rewrite_departures(opened, kept);
    }
    return kept;
}

result<bool> write_departures(departure_log& opened, std::vector<stored_departure> const& added,
                              departure_log_settings const& settings) {
    for (auto const& departure : added) {
        append_wal(opened.log, serialize(departure));
    }
    BOOST_OUTCOME_TRYV(sync_wal(opened.log));
    return opened.log.bytes_since_checkpoint > settings.checkpoint_bytes;
}

result<void> rewrite_departures(departure_log& opened, departure_ledger const& kept) {
    std::vector<std::string> records;
    records.reserve(kept.departures.size());
    for (auto const& [id, departure] : kept.departures) {
        records.push_back(serialize(departure));
    }
    return checkpoint_wal(opened.log, records);
}

} // namespace fireflycrank
