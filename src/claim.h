/// @file
/// The replicated table of claims on orders. See docs/orders.md for the safety argument.
#pragma once

#include "attempt.h"
#include "clock.h"
#include "error.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace fireflycrank {

/// State of a claim.
enum class claim_state : std::uint8_t {
    bound,  ///< an attempt may start, run or have run
    done,   ///< ran; the response is stored until its retention ends
    failed, ///< ran and failed; the response is stored until its retention ends
    voided, ///< no attempt has run or will; the next acquire binds a new one
    unknown ///< the attempt may have run, and nobody can tell
};

/// Bounds of the table.
struct claim_limits {
    std::size_t claims{1'000'000};
    std::size_t response_bytes{256U << 10U}; ///< larger responses are not stored
    std::size_t replies{50'000};             ///< command ids whose first reply is kept
    std::chrono::milliseconds reply_retention{std::chrono::minutes{10}};
    std::chrono::milliseconds answer_retention{std::chrono::hours{24}};
    std::chrono::milliseconds start_window{std::chrono::minutes{10}}; ///< longest time from bind to
                                                                      ///< start_by
    /// Largest difference between two machines' wall clocks. Time synchronisation keeps machines
    /// within seconds; the margin only delays the expiry of claims.
    std::chrono::milliseconds drift_bound{std::chrono::minutes{1}};
};

/// The response of an order.
struct stored_response {
    std::uint32_t status{0};
    std::string content_type;
    std::string body;

    friend bool operator==(stored_response const&, stored_response const&) = default;
};

/// One claim. At most one attempt is bound at a time.
struct claim {
    std::string body_digest;
    claim_state state{claim_state::bound};
    attempt_ref attempt;
    wall_time start_by;                  ///< the attempt never starts after this
    std::string owner;                   ///< entry and incarnation that is to finish the claim
    std::chrono::milliseconds window{0}; ///< zero for an explicit key
    wall_time last_seen;
    wall_time finished;
    std::optional<stored_response> response;
};

/// Claims an order and binds its first attempt, or tells what the key's claim is.
struct acquire_claim {
    std::string body_digest;
    std::string request_id;
    std::string target;
    std::uint64_t incarnation{0};
    wall_time start_by;
    std::string owner;
    std::chrono::milliseconds window{0};
};

/// Binds the next attempt. Sent only after the named attempt was proven never to run: voided or
/// refused by its agent, or never sent by the entry that bound it.
struct rebind_claim {
    attempt_ref ended;
    std::string request_id;
    std::string target;
    std::uint64_t incarnation{0};
    wall_time start_by;
    std::string owner;
};

/// Records that the named attempt never ran and never will; same proof as for rebind_claim.
struct void_claim {
    attempt_ref ended;
};

/// Stores the outcome of an attempt that ran.
struct finish_claim {
    attempt_ref ended;
    bool failed{false};
    std::optional<stored_response> response; ///< nothing when the output was lost
};

/// Makes another entry responsible for a bound claim.
struct takeover_claim {
    attempt_ref attempt;
    std::string owner;
};

/// Records that nobody can tell whether the named attempt ran.
struct mark_unknown {
    attempt_ref ended;
};

/// An operator removes a finished, voided or unknown claim, so that its key may run again.
struct prune_claim {
    std::string operator_name;
};

/// Expires what is due; sent by the leader when no other command does so.
struct expire_claims {};

/// One command on one key.
struct claim_command {
    std::string id; ///< a command sent again under its id gets its first reply
    std::string key;
    wall_time at; ///< the leader's wall time
    std::variant<acquire_claim, rebind_claim, void_claim, finish_claim, takeover_claim,
                 mark_unknown, prune_claim, expire_claims>
        action;
};

/// What a command did.
enum class claim_outcome : std::uint8_t {
    accepted, ///< the command changed the claim
    existing, ///< acquire: the key is claimed already; `view` says how
    conflict, ///< acquire: the key is claimed for a different body
    full,     ///< acquire: the table is full; nothing was claimed
    stale,    ///< the named attempt is not the bound one any more; `view` has the present claim
    missing,  ///< no claim under the key
    refused   ///< prune: the claim's attempt may still start or run; acquire: start_by has passed,
              ///< so the command is a late copy or the entry's clock is behind; nothing was claimed
};

/// A copy of the claim for the entry.
struct claim_view {
    claim_state state{claim_state::voided};
    attempt_ref attempt;
    wall_time start_by;
    std::string owner;
    std::optional<stored_response> response;

    friend bool operator==(claim_view const&, claim_view const&) = default;
};

/// Reply to a command.
struct claim_reply {
    claim_outcome outcome{claim_outcome::missing};
    claim_view view;

    friend bool operator==(claim_reply const&, claim_reply const&) = default;
};

/// A kept first reply, without the response, which is read from the claim.
struct kept_reply {
    wall_time at;
    std::string key;
    claim_outcome outcome{claim_outcome::missing};
    claim_view view;
};

/// The table. All replicas that applied the same commands hold equal tables.
struct claim_table {
    claim_limits limits;
    wall_time latest; ///< highest command time: a new leader's clock may be behind
    std::map<std::string, claim, std::less<>> claims;
    std::map<std::string, kept_reply, std::less<>> replies;
    // Derived from the two above, so snapshots leave them out.
    std::set<std::pair<wall_time, std::string>> due;
    std::set<std::pair<wall_time, std::string>> reply_ages;
};

/// Applies one committed command. Deterministic: depends on the table and the command alone.
/// @param table the table
/// @param command the command
/// @return the reply, equal to the first one when the command id was applied before
claim_reply apply(claim_table& table, claim_command const& command);

/// Reads a claim without a command.
/// @param table the table
/// @param key the key
/// @return the claim, or nothing
claim const* find_claim(claim_table const& table, std::string_view key);

/// When a claim next shrinks or goes.
/// @param entry the claim
/// @param limits the table's bounds
/// @return the moment, or nothing when only an operator ends the claim
std::optional<wall_time> claim_due(claim const& entry, claim_limits const& limits);

} // namespace fireflycrank
