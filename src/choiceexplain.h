/// @file
/// Explains where a gateway would send a request now, and why, without sending it or changing the
/// gateway's state.
#pragma once

#include "clock.h"
#include "error.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace fireflycrank {

struct gateway;
struct incoming_request;
class response_writer;

/// A request to be explained.
struct choice_question {
    std::string host;
    std::string target; ///< path and query
    std::string team;   ///< name; empty: none
    unsigned prompt_tokens{0};
    std::chrono::milliseconds waited{0}; ///< time since the caller's first attempt
};

/// Path of explanations on the port of the metrics.
inline constexpr char const* explanation_path = "/explain-choice";

/// Encodes a question as a JSON object.
std::string serialize(choice_question const& question);

/// Decodes a JSON object.
/// @return nothing if it is malformed
std::optional<choice_question> parse_question(std::string const& text);

/// Explains the choice: the route and service, what would happen and why, the groups of the
/// service, and each of its targets with its rating or the reason why it is left out. Of several
/// services of a route, the first one is explained. Quarantines are not looked at, since they
/// depend on the whole prompt.
nlohmann::json explain_choice(gateway const& owner, choice_question const& question);

/// Serves explanations to processes on the gateway's own VM.
void serve_explanation(gateway const& owner, incoming_request const& request,
                       response_writer& writer);

/// Renders an explanation as text.
std::string render_explanation(nlohmann::json const& explanation);

/// Fetches an explanation.
/// @param address of the gateway's metrics, "ip:port"
/// @return `unavailable` if no gateway answers there
result<nlohmann::json> fetch_explanation(std::string const& address,
                                         choice_question const& question);

} // namespace fireflycrank
