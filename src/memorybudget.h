/// @file
/// The memory and the connections that outsiders may occupy in a process: how much that is, and how
/// much of it is held. No I/O.
#pragma once

#include <cstddef>
#include <string_view>

namespace fireflycrank {

/// What outsiders may hold in a process. 0: not limited.
struct memory_limits {
    std::size_t bytes{0};       ///< of all their requests, responses and connections together
    std::size_t connections{0}; ///< at all listeners together
    /// What the kernel may hold in each direction of a connection, as it is told: it takes twice.
    std::size_t socket_buffer{0};
};

/// Derives the limits from those of the process.
/// @param memory_bytes of the process; 0: unknown
/// @param file_descriptors of the process; 0: unknown
memory_limits limits_of_process(std::size_t memory_bytes, std::size_t file_descriptors);

/// Account of what is held.
struct memory_budget {
    memory_limits limits;
    std::size_t held{0}; ///< bytes
};

/// Bytes that are missing for another hold. Bodies that are not small leave a part of the limit to
/// small ones.
/// @param bytes of the hold
/// @param is_small whether it may use the whole limit
/// @return 0 if there is room
std::size_t missing_bytes(memory_budget const& budget, std::size_t bytes, bool is_small);

/// An upper estimate of what a JSON text occupies when decoded into a tree of values.
std::size_t decoded_json_bytes(std::string_view text);

/// Returns freed blocks of large bodies to the system at once, and keeps the allocator from raising
/// that threshold by itself: it would keep tens of MB of freed bodies in its heap.
void return_large_blocks();

} // namespace fireflycrank
