#include "orderrepeat.h"

namespace fireflycrank {

bool give_now(given_order& order, time_point now) {
    bool const waiting = order.times > 0 && now - order.last_at < order.limits.patience;
    if (order.answered || waiting || order.times >= order.limits.most) {
        return false;
    }
    ++order.times;
    order.last_at = now;
    return true;
}

} // namespace fireflycrank
