#include "responseend.h"

namespace fireflycrank {

response_verdict judge_response_end(response_end const& end) {
    if (end.stream && end.inside_event) {
        return response_verdict::broken;
    }
    return response_verdict::complete;
}

} // namespace fireflycrank
