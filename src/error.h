/// @file
/// Typed errors. Every error says what went wrong and what the reader can do about it.
#pragma once

// Boost 1.74's Outcome needs <utility> to be included before it under C++20.
#include <utility>

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace fireflycrank {

/// What kind of failure an error is; callers branch on this, never on the text.
enum class error_kind {
    invalid_settings, ///< a settings file is wrong; nothing was applied
    invalid_request,  ///< the caller's request is malformed or too large
    unknown_route,    ///< no route of that name in the configuration in force
    not_found,        ///< the named thing does not exist
    conflict,         ///< somebody else changed the same thing first
    not_leader,       ///< this replica cannot answer; the message names the leader when known
    unavailable,      ///< no majority, no target, or a peer that cannot be reached
    unreachable,      ///< no connection could be made, so nothing was sent
    overloaded,       ///< shed to protect other work
    timed_out,        ///< the deadline passed
    corrupt_data,     ///< durable data fails its checksum
    disk_failure,     ///< a write, sync or rename failed
    stale_fence,      ///< an order carries a stale fencing token
    internal          ///< a defect of this program
};

/// An error with its remedy.
struct error {
    error_kind kind{error_kind::internal};
    std::string message; ///< what happened, with the names and values involved
    std::string remedy;  ///< what the reader can do about it
};

/// The name of a kind, as it appears in logs and answers.
/// @param kind the kind
/// @return a lower-case name
char const* name_of(error_kind kind);

/// Formats an error for logs and terminals.
/// @param failure the error
/// @return "kind: message (remedy)"
std::string describe(error const& failure);

/// A value or an error. Reading the value of a failed result throws bad_result_access_with<error>.
template <class T>
using result = boost::outcome_v2::basic_result<
    T, error, boost::outcome_v2::policy::throw_bad_result_access<error, void>>;

/// Makes an error that converts to any result.
/// @param kind what kind of failure
/// @param message what happened
/// @param remedy what the reader can do
/// @return a failure
inline auto fail(error_kind kind, std::string message, std::string remedy) {
    return boost::outcome_v2::failure(error{kind, std::move(message), std::move(remedy)});
}

/// Makes the success of a result that holds no value.
/// @return a success
inline auto ok() {
    return boost::outcome_v2::success();
}

} // namespace fireflycrank
