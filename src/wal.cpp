#include "wal.h"

#include "digest.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <map>
#include <memory>
#include <optional>

namespace fireflycrank {

namespace {

constexpr std::uint32_t record_magic = 0x4c415746U;
constexpr std::size_t header_bytes = 24;
constexpr std::size_t link_bytes = 16; // size of a segment link without records
constexpr std::string_view segment_prefix = "wal-";
constexpr std::size_t segment_digits = 12;
constexpr char const* current_name = "wal-current"; // this file names the newest durable segment

template <class T>
void append_value(std::string& bytes, T value) {
    std::array<char, sizeof(T)> raw{};
    std::memcpy(raw.data(), &value, raw.size());
    bytes.append(raw.data(), raw.size());
}

template <class T>
T read_value(std::string_view bytes, std::size_t position) {
    T value{};
    std::memcpy(&value, bytes.data() + position, sizeof value);
    return value;
}

std::string segment_path(wal const& log, std::uint64_t segment) {
    auto const digits = std::to_string(segment);
    return log.folder + "/" + std::string{segment_prefix} +
           std::string(segment_digits - std::min(segment_digits, digits.size()), '0') + digits;
}

// The checksum covers the record's segment and position, so that bytes from elsewhere are never
// accepted as a record.
std::uint32_t header_checksum(std::uint64_t segment, std::uint64_t position, std::uint32_t length,
                              std::uint64_t durable, std::uint32_t payload_checksum) {
    std::string fields;
    append_value(fields, segment);
    append_value(fields, position);
    append_value(fields, length);
    append_value(fields, durable);
    append_value(fields, payload_checksum);
    return crc32(fields);
}

void encode(std::string& bytes, std::uint64_t segment, std::uint64_t position,
            std::uint64_t durable, std::string_view payload) {
    auto const length = static_cast<std::uint32_t>(payload.size());
    auto const checksum = crc32(payload);
    append_value(bytes, record_magic);
    append_value(bytes, length);
    append_value(bytes, durable);
    append_value(bytes, checksum);
    append_value(bytes, header_checksum(segment, position, length, durable, checksum));
    bytes += payload;
}

struct record_view {
    std::uint64_t position{0};
    std::uint64_t durable{0};
    std::string_view payload;
};

std::optional<record_view> decode(std::string_view bytes, std::uint64_t segment,
                                  std::uint64_t position) {
    if (bytes.size() < position + header_bytes ||
        read_value<std::uint32_t>(bytes, position) != record_magic) {
        return std::nullopt;
    }
    auto const length = read_value<std::uint32_t>(bytes, position + 4);
    auto const durable = read_value<std::uint64_t>(bytes, position + 8);
    auto const checksum = read_value<std::uint32_t>(bytes, position + 16);
    if (read_value<std::uint32_t>(bytes, position + 20) !=
            header_checksum(segment, position, length, durable, checksum) ||
        length > bytes.size() - position - header_bytes) {
        return std::nullopt;
    }
    auto const payload = bytes.substr(position + header_bytes, length);
    if (crc32(payload) != checksum) {
        return std::nullopt;
    }
    return record_view{position, durable, payload};
}

struct segment_view {
    std::shared_ptr<std::string const> bytes; // shared, so that moves keep the views valid
    std::vector<record_view> records;
    std::uint64_t durable{0}; ///< largest length that a record states as durable
    std::uint64_t end{0};     ///< where the valid prefix ends
};

// The link record that begins each segment.
struct segment_link {
    std::uint64_t segment{0}; ///< previous segment; 0 when the log begins here
    std::uint64_t length{0};  ///< durable bytes of the previous segment
    std::vector<std::string_view> records;
};

std::string encode_link(std::uint64_t segment, std::uint64_t length,
                        std::vector<std::string> const& records) {
    std::string bytes;
    append_value(bytes, segment);
    append_value(bytes, length);
    for (auto const& record : records) {
        append_value(bytes, static_cast<std::uint32_t>(record.size()));
        bytes += record;
    }
    return bytes;
}

segment_link decode_link(std::string_view bytes) {
    segment_link parsed{
        read_value<std::uint64_t>(bytes, 0), read_value<std::uint64_t>(bytes, 8), {}};
    for (std::size_t position = link_bytes; position + 4 <= bytes.size();) {
        auto const size = read_value<std::uint32_t>(bytes, position);
        parsed.records.push_back(bytes.substr(position + 4, size));
        position += 4 + size;
    }
    return parsed;
}

auto corruption_error(std::string const& path, std::uint64_t position) {
    return fail(error_kind::corrupt_data,
                path + " is damaged at byte " + std::to_string(position) + ", before its tail",
                "move the data folder away and restart: the replica rejoins as a learner");
}

// Whether a valid record after a damaged one proves that the damaged bytes had been synced.
bool proves_durable_past(std::string_view bytes, std::uint64_t segment, std::uint64_t damaged) {
    for (std::uint64_t position = damaged + 1; position + header_bytes <= bytes.size();
         ++position) {
        auto const record = decode(bytes, segment, position);
        if (record && record->durable > damaged) {
            return true;
        }
    }
    return false;
}

result<segment_view> read_segment(wal const& log, std::uint64_t segment) {
    segment_view view;
    auto const path = segment_path(log, segment);
    BOOST_OUTCOME_TRY(bytes, log.files->read(path));
    view.bytes = std::make_shared<std::string const>(std::move(bytes));
    while (auto const record = decode(*view.bytes, segment, view.end)) {
        view.records.push_back(*record);
        view.durable = std::max(view.durable, record->durable);
        view.end += header_bytes + record->payload.size();
    }
    if (view.durable > view.end || proves_durable_past(*view.bytes, segment, view.end)) {
        return corruption_error(path, view.end);
    }
    return view;
}

result<std::vector<std::uint64_t>> list_segments(wal const& log) {
    BOOST_OUTCOME_TRY(names, log.files->list(log.folder));
    std::vector<std::uint64_t> segments;
    for (std::string_view name : names) {
        if (!name.starts_with(segment_prefix)) {
            continue;
        }
        name.remove_prefix(segment_prefix.size());
        std::uint64_t number = 0;
        auto const [end, code] = std::from_chars(name.data(), name.data() + name.size(), number);
        if (code == std::errc{} && end == name.data() + name.size()) {
            segments.push_back(number);
        }
    }
    std::sort(segments.begin(), segments.end());
    return segments;
}

auto log_failed_error() {
    return fail(error_kind::disk_failure, "an earlier write to the log failed",
                "restart the replica after the disk is repaired");
}

result<void> write_durably(wal& log, std::string_view bytes) {
    if (log.failed) {
        return log_failed_error();
    }
    log.failed = true;
    BOOST_OUTCOME_TRYV(log.files->append(log.file, bytes));
    BOOST_OUTCOME_TRYV(log.files->sync(log.file));
    ++log.syncs;
    log.segment_bytes += bytes.size();
    log.durable_bytes = log.segment_bytes;
    log.bytes_since_checkpoint += bytes.size();
    log.failed = false;
    return ok();
}

// The marker itself is not synced: it only tells recovery more precisely what had been synced.
result<void> write_sync_marker(wal& log) {
    std::string marker;
    encode(marker, log.segment, log.segment_bytes, log.durable_bytes, {});
    log.failed = true;
    BOOST_OUTCOME_TRYV(log.files->append(log.file, marker));
    log.segment_bytes += marker.size();
    log.failed = false;
    return ok();
}

std::string current_line(std::uint64_t segment) {
    auto line = std::to_string(segment) + " ";
    return line + std::to_string(crc32(line)) + "\n";
}

// The number of the newest segment that was completely started; 0 before the first.
result<std::uint64_t> read_current(wal const& log) {
    auto const path = log.folder + "/" + current_name;
    auto const line = log.files->read(path);
    if (!line && line.error().kind == error_kind::not_found) {
        return std::uint64_t{0};
    }
    if (!line) {
        return boost::outcome_v2::failure(line.error());
    }
    std::uint64_t segment = 0;
    auto const& text = line.value();
    std::from_chars(text.data(), text.data() + text.size(), segment);
    if (text != current_line(segment)) {
        return corruption_error(path, 0);
    }
    return segment;
}

result<void> start_segment(wal& log, std::string_view link_payload) {
    if (log.file.value >= 0) {
        log.files->close(log.file);
        log.file = {};
    }
    ++log.segment;
    log.segment_bytes = 0;
    log.durable_bytes = 0;
    log.batch.clear();
    BOOST_OUTCOME_TRY(file, log.files->open_append(segment_path(log, log.segment)));
    log.file = file;
    std::string bytes;
    encode(bytes, log.segment, 0, 0, link_payload);
    BOOST_OUTCOME_TRYV(write_durably(log, bytes));
    // The segment's name is synced before the file that refers to it is renamed, because a power
    // loss may keep either name without the other.
    log.failed = true;
    BOOST_OUTCOME_TRYV(log.files->sync_folder(log.folder));
    // Without this file, the loss of the whole newest segment would look like a shorter log.
    BOOST_OUTCOME_TRYV(
        replace_file(*log.files, log.folder, current_name, current_line(log.segment)));
    log.failed = false;
    return write_sync_marker(log);
}

using segment_map = std::map<std::uint64_t, segment_view>;

// Reads the newest segment. Segments from the current one on that hold no record are removed, since
// they never became durable.
result<void> read_newest(wal const& log, std::vector<std::uint64_t>& segments, segment_map& views,
                         wal_recovery& recovery) {
    BOOST_OUTCOME_TRY(current, read_current(log));
    while (!segments.empty() && segments.back() >= current) {
        BOOST_OUTCOME_TRY(view, read_segment(log, segments.back()));
        recovery.torn_bytes += view.bytes->size() - view.end;
        if (!view.records.empty()) {
            bool const has_records =
                view.records.size() > 1 || view.records.front().payload.size() > link_bytes;
            if (current == 0 && has_records) {
                return corruption_error(log.folder + "/" + current_name, 0);
            }
            views[segments.back()] = std::move(view);
            return ok();
        }
        BOOST_OUTCOME_TRYV(log.files->remove(segment_path(log, segments.back())));
        segments.pop_back();
    }
    if (current != 0) {
        return corruption_error(segment_path(log, current), 0);
    }
    return ok();
}

// Follows the links back to the segment where the log begins. Returns each segment's number and the
// length that belongs to the log, oldest first.
result<std::vector<std::pair<std::uint64_t, std::uint64_t>>>
read_chain(wal const& log, std::uint64_t newest, segment_map& views) {
    std::vector<std::pair<std::uint64_t, std::uint64_t>> chain{{newest, views[newest].end}};
    while (true) {
        auto const previous = decode_link(views[chain.back().first].records.front().payload);
        if (previous.segment == 0) {
            std::reverse(chain.begin(), chain.end());
            return chain;
        }
        auto const path = segment_path(log, previous.segment);
        auto read = log.files->read(path);
        if (!read || previous.segment >= chain.back().first) {
            return corruption_error(path, 0);
        }
        auto& view = views[previous.segment];
        view.bytes = std::make_shared<std::string const>(std::move(read).value());
        while (view.end < previous.length) {
            auto const record = decode(*view.bytes, previous.segment, view.end);
            if (!record) {
                return corruption_error(path, view.end);
            }
            view.records.push_back(*record);
            view.end += header_bytes + record->payload.size();
        }
        chain.emplace_back(previous.segment, previous.length);
    }
}

} // namespace

result<wal_recovery> open_wal(wal& log,
                              std::function<result<void>(std::string_view)> const& replay) {
    wal_recovery recovery;
    segment_map views;
    BOOST_OUTCOME_TRY(segments, list_segments(log));
    BOOST_OUTCOME_TRYV(read_newest(log, segments, views, recovery));
    if (segments.empty()) {
        BOOST_OUTCOME_TRYV(start_segment(log, encode_link(0, 0, {})));
        recovery.created = true;
        return recovery;
    }
    log.segment = segments.back();
    BOOST_OUTCOME_TRY(chain, read_chain(log, log.segment, views));
    std::vector<std::string> unconfirmed;
    auto& newest = views[log.segment];
    auto deliver = [&](std::string_view record, bool known_durable) -> result<void> {
        ++recovery.records;
        if (!known_durable) {
            unconfirmed.emplace_back(record);
        }
        return replay(record);
    };
    for (auto const& [segment, length] : chain) {
        log.bytes_since_checkpoint += length;
        for (auto const& record : views[segment].records) {
            bool const known_durable = segment != log.segment || record.position < newest.durable;
            if (record.position == 0) {
                for (auto const part : decode_link(record.payload).records) {
                    BOOST_OUTCOME_TRYV(deliver(part, known_durable));
                }
            } else if (!record.payload.empty()) {
                BOOST_OUTCOME_TRYV(deliver(record.payload, known_durable));
            }
        }
    }
    // If the newest segment's own link is not known to be durable, the new segment replaces it and
    // links to the segment before it.
    auto const previous = decode_link(newest.records.front().payload);
    BOOST_OUTCOME_TRYV(start_segment(
        log, newest.durable == 0 ? encode_link(previous.segment, previous.length, unconfirmed)
                                 : encode_link(log.segment, newest.durable, unconfirmed)));
    return recovery;
}

void append_wal(wal& log, std::string_view record) {
    ++log.appends;
    encode(log.batch, log.segment, log.segment_bytes + log.batch.size(), log.durable_bytes, record);
}

result<void> sync_wal(wal& log) {
    if (log.failed) {
        return log_failed_error();
    }
    if (log.batch.empty()) {
        return ok();
    }
    BOOST_OUTCOME_TRYV(write_durably(log, log.batch));
    log.batch.clear();
    return write_sync_marker(log);
}

result<void> checkpoint_wal(wal& log, std::vector<std::string> const& records) {
    if (log.failed) {
        return log_failed_error();
    }
    BOOST_OUTCOME_TRYV(start_segment(log, encode_link(0, 0, records)));
    log.bytes_since_checkpoint = 0;
    BOOST_OUTCOME_TRY(segments, list_segments(log));
    for (auto const segment : segments) {
        if (segment < log.segment) {
            BOOST_OUTCOME_TRYV(log.files->remove(segment_path(log, segment)));
        }
    }
    return log.files->sync_folder(log.folder);
}

void close_wal(wal& log) {
    if (log.file.value >= 0) {
        log.files->close(log.file);
        log.file = {};
    }
    log.batch.clear();
}

} // namespace fireflycrank
