#include "responseend.h"

namespace fireflycrank {

response_verdict judge_response_end(response_end const& end) {
    if (end.stream && end.cut) {
        return response_verdict::broken;
    }
    if (end.framing != body_framing::connection) {
        return response_verdict::complete;
    }
    if (end.target_changed || (end.stream && !end.has_event)) {
        return response_verdict::broken;
    }
    if (!end.target_runs) {
        return response_verdict::check_target;
    }
    return *end.target_runs ? response_verdict::complete : response_verdict::broken;
}

} // namespace fireflycrank
