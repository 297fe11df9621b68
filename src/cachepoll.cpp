#include "cachepoll.h"

#include "cachewire.h"
#include "http.h"

#include <memory>

namespace fireflycrank {

namespace {

constexpr duration poll_timeout = std::chrono::seconds{2};
constexpr int ok_status = 200;
constexpr std::size_t max_answer_bytes = 1U << 20U; // a listing of 40,000 blocks

struct poll_answer {
    int status{0};
    std::string body;
};

} // namespace

void poll_engine_cache(std::string const& engine, engine_cache_poll const& poll,
                       std::function<void(std::optional<engine_cache_answer>)> on_answer) {
    http_client_request call;
    call.address = engine;
    call.path =
        poll.listing ? "/v1/cache/blocks" : "/v1/cache/events?after=" + std::to_string(poll.after);
    call.timeout = poll_timeout;
    auto const answer = std::make_shared<poll_answer>();
    start_http_call(call, {[answer](int status, http_headers const&) { answer->status = status; },
                           [answer](std::string const& bytes) {
                               if (answer->body.size() + bytes.size() <= max_answer_bytes) {
                                   answer->body += bytes;
                               }
                           },
                           [answer, on_answer = std::move(on_answer)](result<void> const& outcome) {
                               bool const whole = outcome && answer->status == ok_status;
                               on_answer(whole ? parse_engine_cache(answer->body) : std::nullopt);
                           }});
}

void tick_cache(cache_task const& task, cache_link& link, time_point now) {
    engine_cache_poll poll;
    {
        std::lock_guard const lock{task.mutex};
        set_cache_readers(link.feed, cache_readers(task.reporter, now), now);
        for (auto const& news : tick_cache_feed(link.feed, now)) {
            task.box.send(news.address, cache_news_type, encode(news.message));
        }
        if (link.polling) {
            return;
        }
        link.polling = true;
        poll = next_poll(link.feed);
    }
    poll_engine_cache(task.engine, poll, [&mutex = task.mutex, &link](auto const& answer) {
        std::lock_guard const lock{mutex};
        link.polling = false;
        if (answer) {
            take_engine_cache(link.feed, *answer);
        }
    });
}

} // namespace fireflycrank
