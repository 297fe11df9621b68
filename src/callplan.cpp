#include "callplan.h"

namespace fireflycrank {

bool may_run_again(call_progress const& progress) {
    return progress.kind == call_kind::idempotent ||
           (progress.kind == call_kind::stream && progress.resumable);
}

} // namespace fireflycrank
