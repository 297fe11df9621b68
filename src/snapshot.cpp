#include "snapshot.h"

#include "digest.h"

#include <array>
#include <cstdint>
#include <cstring>

namespace fireflycrank {

namespace {

constexpr char const* snapshot_name = "snapshot";
constexpr std::string_view snapshot_magic = "FFCSNAP1";
constexpr std::size_t digest_bytes = 64;
constexpr std::size_t length_bytes = sizeof(std::uint64_t);
constexpr std::size_t prefix_bytes = snapshot_magic.size() + digest_bytes + length_bytes;

} // namespace

result<void> write_snapshot(file_layer const& files, std::string const& folder,
                            std::string_view header, std::string_view body) {
    std::uint64_t const length = header.size();
    std::array<char, length_bytes> raw{};
    std::memcpy(raw.data(), &length, raw.size());
    std::string bytes{snapshot_magic};
    bytes.reserve(prefix_bytes + header.size() + body.size());
    bytes += sha256_fields({header, body});
    bytes.append(raw.data(), raw.size());
    bytes += header;
    bytes += body;
    return replace_file(files, folder, snapshot_name, bytes);
}

result<std::optional<snapshot_file>> read_snapshot(file_layer const& files,
                                                   std::string const& folder) {
    std::string const path = folder + "/" + snapshot_name;
    auto read = files.read(path);
    if (!read) {
        if (read.error().kind == error_kind::not_found) {
            return std::optional<snapshot_file>{};
        }
        return boost::outcome_v2::failure(std::move(read).error());
    }
    std::string_view const bytes = read.value();
    std::uint64_t length = 0;
    bool valid = bytes.size() >= prefix_bytes && bytes.substr(0, 8) == snapshot_magic;
    if (valid) {
        std::memcpy(&length, bytes.data() + snapshot_magic.size() + digest_bytes, length_bytes);
        valid = length <= bytes.size() - prefix_bytes;
    }
    if (valid) {
        auto const header = bytes.substr(prefix_bytes, length);
        auto const body = bytes.substr(prefix_bytes + length);
        if (sha256_fields({header, body}) == bytes.substr(snapshot_magic.size(), digest_bytes)) {
            return std::optional{snapshot_file{std::string{header}, std::string{body}}};
        }
    }
    return fail(error_kind::corrupt_data, path + " fails its checksum",
                "move the data folder away and restart: the replica rejoins as a learner");
}

} // namespace fireflycrank
