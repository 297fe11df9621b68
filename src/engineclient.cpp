#include "engineclient.h"

namespace fireflycrank {

namespace {

constexpr std::chrono::milliseconds connect_timeout{300};
constexpr std::chrono::milliseconds max_idle{10'000};
// The expert counts and maps of a group take tens of kilobytes.
constexpr std::size_t max_answer_bytes = 4U << 20U;

struct pending_call {
    std::shared_ptr<target_exchange> exchange;
    engine_response answer;
    std::function<void(std::optional<engine_response>)> on_result;

    void finish(std::optional<engine_response> outcome) {
        if (auto const notify = std::exchange(on_result, nullptr)) {
            notify(std::move(outcome));
        }
    }
};

} // namespace

void call_engine(event_loop& loop, target_pool& pool, std::string const& address, std::string bytes,
                 std::chrono::milliseconds limit,
                 std::function<void(std::optional<engine_response>)> on_result) {
    auto const call = std::make_shared<pending_call>();
    call->on_result = std::move(on_result);
    exchange_callbacks events;
    events.on_head = [call](message_head const& head) {
        call->answer.status = head.status;
        return true;
    };
    events.on_body = [call](std::string const& body) {
        call->answer.body += body;
        if (call->answer.body.size() > max_answer_bytes && call->exchange) {
            call->exchange->cancel();
            call->exchange.reset();
            call->finish(std::nullopt);
        }
        return true;
    };
    events.on_end = [call](exchange_result exchange_outcome) {
        call->exchange.reset();
        call->finish(exchange_outcome == exchange_result::complete
                         ? std::optional{std::move(call->answer)}
                         : std::nullopt);
    };
    call->exchange = pool.start({address, std::move(bytes), false, connect_timeout, max_idle},
                                std::move(events));
    run_after(loop, limit, [weak = std::weak_ptr{call}] {
        auto const pending = weak.lock();
        if (pending && pending->exchange) {
            pending->exchange->cancel();
            pending->exchange.reset();
            pending->finish(std::nullopt);
        }
    });
}

} // namespace fireflycrank
