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
constexpr std::size_t link_bytes = 16; // of a link without records
constexpr std::string_view segment_prefix = "wal-";
constexpr std::size_t segment_digits = 12;
constexpr char const* current_name = "wal-current"; // names the newest durable segment

template <class T>
void put(std::string& bytes, T value) {
    std::array<char, sizeof(T)> raw{};
    std::memcpy(raw.data(), &value, raw.size());
    bytes.append(raw.data(), raw.size());
}

template <class T>
T take(std::string_view bytes, std::size_t at) {
    T value{};
    std::memcpy(&value, bytes.data() + at, sizeof value);
    return value;
}

std::string segment_path(wal const& log, std::uint64_t segment) {
    auto const digits = std::to_string(segment);
    return log.folder + "/" + std::string{segment_prefix} +
           std::string(segment_digits - std::min(segment_digits, digits.size()), '0') + digits;
}

// The checksum covers the record's place, so that bytes of another place never pass as a record.
std::uint32_t header_checksum(std::uint64_t segment, std::uint64_t position, std::uint32_t length,
                              std::uint64_t durable, std::uint32_t payload_checksum) {
    std::string place;
    put(place, segment);
    put(place, position);
    put(place, length);
    put(place, durable);
    put(place, payload_checksum);
    return crc32(place);
}

void encode(std::string& bytes, std::uint64_t segment, std::uint64_t position,
            std::uint64_t durable, std::string_view payload) {
    auto const length = static_cast<std::uint32_t>(payload.size());
    auto const checksum = crc32(payload);
    put(bytes, record_magic);
    put(bytes, length);
    put(bytes, durable);
    put(bytes, checksum);
    put(bytes, header_checksum(segment, position, length, durable, checksum));
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
        take<std::uint32_t>(bytes, position) != record_magic) {
        return std::nullopt;
    }
    auto const length = take<std::uint32_t>(bytes, position + 4);
    auto const durable = take<std::uint64_t>(bytes, position + 8);
    auto const checksum = take<std::uint32_t>(bytes, position + 16);
    if (take<std::uint32_t>(bytes, position + 20) !=
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
    std::uint64_t durable{0}; ///< length that some record states as durable
    std::uint64_t end{0};     ///< where the sound prefix ends
};

// The link record that begins each segment.
struct link {
    std::uint64_t segment{0}; ///< predecessor; 0 when the log begins here
    std::uint64_t length{0};  ///< durable bytes of the predecessor
    std::vector<std::string_view> records;
};

std::string encode_link(std::uint64_t segment, std::uint64_t length,
                        std::vector<std::string> const& records) {
    std::string bytes;
    put(bytes, segment);
    put(bytes, length);
    for (auto const& record : records) {
        put(bytes, static_cast<std::uint32_t>(record.size()));
        bytes += record;
    }
    return bytes;
}

link decode_link(std::string_view bytes) {
    link parsed{take<std::uint64_t>(bytes, 0), take<std::uint64_t>(bytes, 8), {}};
    for (std::size_t at = link_bytes; at + 4 <= bytes.size();) {
        auto const size = take<std::uint32_t>(bytes, at);
        parsed.records.push_back(bytes.substr(at + 4, size));
        at += 4 + size;
    }
    return parsed;
}

auto corrupt(std::string const& path, std::uint64_t position) {
    return fail(error_kind::corrupt_data,
                path + " is damaged at byte " + std::to_string(position) + ", before its tail",
                "move the data folder away and restart: the replica rejoins as a learner");
}

// Finds a sound record behind a damaged one that proves the damaged bytes had been synced.
bool durable_beyond(std::string_view bytes, std::uint64_t segment, std::uint64_t damaged) {
    for (std::uint64_t at = damaged + 1; at + header_bytes <= bytes.size(); ++at) {
        auto const record = decode(bytes, segment, at);
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
    if (view.durable > view.end || durable_beyond(*view.bytes, segment, view.end)) {
        return corrupt(path, view.end);
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

auto failed_before() {
    return fail(error_kind::disk_failure, "the log failed before",
                "restart the replica after the disk is repaired");
}

result<void> write_durably(wal& log, std::string_view bytes) {
    if (log.failed) {
        return failed_before();
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

// Not synced itself: it only sharpens the recovery's knowledge of what had been synced.
result<void> write_mark(wal& log) {
    std::string mark;
    encode(mark, log.segment, log.segment_bytes, log.durable_bytes, {});
    log.failed = true;
    BOOST_OUTCOME_TRYV(log.files->append(log.file, mark));
    log.segment_bytes += mark.size();
    log.failed = false;
    return ok();
}

std::string current_line(std::uint64_t segment) {
    auto line = std::to_string(segment) + " ";
    return line + std::to_string(crc32(line)) + "\n";
}

// The newest segment that was completely started; 0 before the first.
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
        return corrupt(path, 0);
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
    // Also syncs the folder, and with it the name of the new segment. Without this file the loss of
    // the whole newest segment would look like a shorter log.
    log.failed = true;
    BOOST_OUTCOME_TRYV(
        replace_file(*log.files, log.folder, current_name, current_line(log.segment)));
    log.failed = false;
    return write_mark(log);
}

using segment_map = std::map<std::uint64_t, segment_view>;

// Reads the newest segment. Segments behind the current one without any record are dropped: they
// never became durable.
result<void> read_newest(wal const& log, std::vector<std::uint64_t>& segments, segment_map& views,
                         wal_recovery& found) {
    BOOST_OUTCOME_TRY(current, read_current(log));
    while (!segments.empty() && segments.back() >= current) {
        BOOST_OUTCOME_TRY(view, read_segment(log, segments.back()));
        found.torn_bytes += view.bytes->size() - view.end;
        if (!view.records.empty()) {
            bool const used =
                view.records.size() > 1 || view.records.front().payload.size() > link_bytes;
            if (current == 0 && used) {
                return corrupt(log.folder + "/" + current_name, 0);
            }
            views[segments.back()] = std::move(view);
            return ok();
        }
        BOOST_OUTCOME_TRYV(log.files->remove(segment_path(log, segments.back())));
        segments.pop_back();
    }
    if (current != 0) {
        return corrupt(segment_path(log, current), 0);
    }
    return ok();
}

// Follows the links back to the segment where the log begins, oldest first in the result.
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
            return corrupt(path, 0);
        }
        auto& view = views[previous.segment];
        view.bytes = std::make_shared<std::string const>(std::move(read).value());
        while (view.end < previous.length) {
            auto const record = decode(*view.bytes, previous.segment, view.end);
            if (!record) {
                return corrupt(path, view.end);
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
    wal_recovery found;
    segment_map views;
    BOOST_OUTCOME_TRY(segments, list_segments(log));
    BOOST_OUTCOME_TRYV(read_newest(log, segments, views, found));
    if (segments.empty()) {
        BOOST_OUTCOME_TRYV(start_segment(log, encode_link(0, 0, {})));
        found.created = true;
        return found;
    }
    log.segment = segments.back();
    BOOST_OUTCOME_TRY(chain, read_chain(log, log.segment, views));
    std::vector<std::string> unproven;
    auto& newest = views[log.segment];
    auto deliver = [&](std::string_view record, bool proven) -> result<void> {
        ++found.records;
        if (!proven) {
            unproven.emplace_back(record);
        }
        return replay(record);
    };
    for (auto const& [segment, length] : chain) {
        log.bytes_since_checkpoint += length;
        for (auto const& record : views[segment].records) {
            bool const proven = segment != log.segment || record.position < newest.durable;
            if (record.position == 0) {
                for (auto const part : decode_link(record.payload).records) {
                    BOOST_OUTCOME_TRYV(deliver(part, proven));
                }
            } else if (!record.payload.empty()) {
                BOOST_OUTCOME_TRYV(deliver(record.payload, proven));
            }
        }
    }
    // A newest segment whose own link is unproven is replaced: the new link takes over its place.
    auto const previous = decode_link(newest.records.front().payload);
    BOOST_OUTCOME_TRYV(start_segment(
        log, newest.durable == 0 ? encode_link(previous.segment, previous.length, unproven)
                                 : encode_link(log.segment, newest.durable, unproven)));
    return found;
}

void append_wal(wal& log, std::string_view record) {
    ++log.appends;
    encode(log.batch, log.segment, log.segment_bytes + log.batch.size(), log.durable_bytes, record);
}

result<void> sync_wal(wal& log) {
    if (log.failed) {
        return failed_before();
    }
    if (log.batch.empty()) {
        return ok();
    }
    BOOST_OUTCOME_TRYV(write_durably(log, log.batch));
    log.batch.clear();
    return write_mark(log);
}

result<void> checkpoint_wal(wal& log, std::vector<std::string> const& records) {
    if (log.failed) {
        return failed_before();
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
