#include "engineclient.h"

namespace fireflycrank {

namespace {

constexpr std::chrono::milliseconds connect_timeout{300};
constexpr std::chrono::milliseconds max_idle{10'000};
// The expert counts and maps of a group take tens of kilobytes.
constexpr std::size_t max_response_bytes = 4U << 20U;

struct pending_call {
    std::shared_ptr<target_exchange> exchange;
    engine_response response;
    std::function<void(std::optional<engine_response>)> on_result;

    void finish(std::optional<engine_response> outcome) {
        if (auto const notify = std::exchange(on_result, nullptr)) {
            notify(std::move(outcome));
        }
    }
};

} // namespace

void call_engine(event_loop& loop, target_pool& pool, std::string const& address, std::string bytes,
                 std::chrono::milliseconds timeout,
                 std::function<void(std::optional<engine_response>)> on_result) {
    auto const call = std::make_shared<pending_call>();
    call->on_result = std::move(on_result);
    exchange_callbacks callbacks;
    callbacks.on_head = [call](message_head const& head) {
        call->response.status = head.status;
        return true;
    };
    callbacks.on_body = [call](std::string const& body) {
        call->response.body += body;
        if (call->response.body.size() > max_response_bytes && call->exchange) {
            call->exchange->cancel();
            call->exchange.reset();
            call->finish(std::nullopt);
        }
        return true;
    };
    callbacks.on_end = [call](exchange_end const& end) {
        call->exchange.reset();
        call->finish(end.result == exchange_result::complete
                         ? std::optional{std::move(call->response)}
                         : std::nullopt);
    };
    call->exchange = pool.start({address, std::move(bytes), false, connect_timeout, max_idle},
                                std::move(callbacks));
    run_after(loop, timeout, [weak = std::weak_ptr{call}] {
        auto const pending = weak.lock();
        if (pending && pending->exchange) {
            pending->exchange->cancel();
            pending->exchange.reset();
            pending->finish(std::nullopt);
        }
    });
}

} // namespace fireflycrank
