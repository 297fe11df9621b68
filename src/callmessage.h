/// @file
/// What the forwarding path needs to know of a caller's request and a target's answer. The
/// platform's adapter decodes these from header fields.
#pragma once

#include "clock.h"
#include "httpmessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fireflycrank {

/// A part of a prompt that several requests may share.
struct prompt_part {
    std::string id;
    unsigned tokens{0};
};

/// A caller's request.
struct caller_call {
    std::string attempt_id; ///< names this attempt of the caller; a retry has another one
    std::string host;
    std::string key;                                     ///< empty without one
    std::optional<std::chrono::milliseconds> time_limit; ///< how long the caller waits
    std::optional<std::uint64_t> after_event;            ///< the caller resumes a stream after it
    unsigned prompt_tokens{0};
    unsigned max_answer_tokens{0};
    std::optional<unsigned> expected_answer_tokens; ///< the caller's estimate
    std::vector<prompt_part> prompt;
};

/// What the gateway adds for a target.
struct forwarding_fields {
    std::string target_id; ///< only this target may run the request
    std::string team;      ///< empty without one
    std::chrono::milliseconds time_left{0};
    std::optional<unsigned> urgency;          ///< 0 is the most urgent, 9 the least
    std::optional<std::uint64_t> after_event; ///< resume after this event
};

/// Load that a target states in an answer.
struct stated_load {
    unsigned running{0};
    unsigned waiting{0};
    unsigned slots{0};
};

/// The head of a target's answer.
struct target_answer {
    unsigned status{0};
    std::string attempt_id;
    bool signed_by_target{false}; ///< carries the target's signature
    bool not_run{false};          ///< states that the request has not run
    std::string target_id;        ///< who answered, where it says so
    std::string at_fault;         ///< the target that made a group refuse
    std::optional<stated_load> load;
};

} // namespace fireflycrank
