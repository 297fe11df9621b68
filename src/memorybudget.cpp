#include "memorybudget.h"

#include <algorithm>

#include <malloc.h>

namespace fireflycrank {

namespace {

// The rest is for the process itself: its code, directory, messages of peers, and what malloc and
// copies that live for a moment add to the held bytes.
constexpr std::size_t outsider_divisor = 2;
// The platform reserves these for files.
constexpr std::size_t file_descriptors_reserved = 200;
// The rest is for connections to targets and peers.
constexpr std::size_t connection_quarters = 3;
constexpr std::size_t quarters = 4;
// The kernel holds at most half as much as the process, all connections, directions and the
// doubling counted.
constexpr std::size_t socket_buffer_divisor = 8;
// Less would slow down ordinary callers that are far away.
constexpr std::size_t min_socket_buffer = 16 << 10;
// A value of nlohmann::json with its share of the container, by measured peaks of dense texts.
constexpr std::size_t bytes_per_separator = 64;
constexpr int large_block_bytes = 256 << 10;
// Free memory at the end of the heap that is kept; less would cost system calls in ordinary work.
constexpr int kept_heap_bytes = 1 << 20;

} // namespace

memory_limits limits_of_process(std::size_t memory_bytes, std::size_t file_descriptors) {
    memory_limits out;
    out.bytes = memory_bytes / outsider_divisor;
    if (file_descriptors > 0) {
        auto const free = file_descriptors - std::min(file_descriptors, file_descriptors_reserved);
        out.connections = std::max<std::size_t>(1, free / quarters * connection_quarters);
    }
    if (out.bytes > 0 && out.connections > 0) {
        out.socket_buffer =
            std::max(min_socket_buffer, out.bytes / socket_buffer_divisor / out.connections);
    }
    return out;
}

std::size_t missing_bytes(memory_budget const& budget, std::size_t bytes, bool is_small) {
    auto const limit = budget.limits.bytes;
    if (limit == 0) {
        return 0;
    }
    auto const usable = is_small ? limit : limit / quarters * 3;
    auto const wanted = budget.held + bytes;
    return wanted > usable ? wanted - usable : 0;
}

std::size_t decoded_json_bytes(std::string_view text) {
    auto const separators = std::count_if(text.begin(), text.end(), [](char one) {
        return one == ',' || one == '[' || one == '{' || one == ':';
    });
    return text.size() + static_cast<std::size_t>(separators) * bytes_per_separator;
}

void return_large_blocks() {
    ::mallopt(M_MMAP_THRESHOLD, large_block_bytes);
    ::mallopt(M_TRIM_THRESHOLD, kept_heap_bytes);
}

} // namespace fireflycrank
