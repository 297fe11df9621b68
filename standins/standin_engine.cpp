// A stand-in for a model engine or a plain service, for tests and the quick start. It speaks the
// completions protocol (JSON body, server-sent events when streamed) and counts its runs by body.

#include "digest.h"
#include "http.h"
#include "lockstep.h"
#include "log.h"
#include "runtime.h"
#include "standin_cache.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>

namespace {

using namespace fireflycrank;
using nlohmann::json;

constexpr int ok_status = 200;
constexpr int bad_request_status = 400;
constexpr int conflict_status = 409;
constexpr int unavailable_status = 503;
constexpr int not_found_status = 404;
constexpr std::chrono::milliseconds paused_look{10}; // between looks at a paused generation
constexpr std::uint64_t word_count = 997;

struct engine_options {
    std::string address{"127.0.0.1:9001"};
    std::string name{"engine"};
    int token_ms{2};
    unsigned workers{8};
    std::string model; // salts the prefix cache, as entries do
    std::string version;
    standin::cache_options cache;
    int event_delay_ms{100};
    standin::lockstep_options ranks;
    int load_ms{0};
    bool checks_fence{false};
};

// Target orders by id: how often each arrived and what its first run answered.
struct order_book {
    std::mutex mutex;
    std::map<std::string, json> orders;
    std::uint64_t highest_fence{0};
    std::uint64_t stale{0}; // refused for their fencing token
    std::string loaded;
    bool loading{false};
    int runs_while_loading{0};
};

// How often each body was run. The proof of "at most once" is read from here.
struct run_counts {
    std::mutex mutex;
    std::map<std::string, int> runs;
    int running{0};
};

struct generation {
    std::shared_ptr<http_response> response;
    std::string seed;
    std::uint64_t next{0};
    std::uint64_t limit{0};
    std::uint64_t crash_at{UINT64_MAX};
    bool stream{false};
    std::atomic<bool> paused{false};
    std::string text;
};

// The same prompt gives the same words on every engine, as a model at temperature zero does.
std::string word_at(std::string const& seed, std::uint64_t position) {
    return "w" + std::to_string(hash64(seed, position) % word_count) + " ";
}

std::string event_line(std::string const& word) {
    return "data: " + json{{"choices", json::array({json{{"text", word}}})}}.dump() + "\n\n";
}

class engine {
public:
    engine(engine_options options, runtime& pool)
        : options_{std::move(options)}
        , pool_{&pool}
        , group_{options_.ranks}
        , cache_{options_.cache,
                 std::to_string(wall_now(pool.clock()).time_since_epoch().count())} {}

    // Answers one HTTP request.
    void handle(http_request const& request, std::shared_ptr<http_response> response) {
        if (request.path == "/health") {
            response->send(ok_status, {}, "ok\n");
        } else if (request.path == "/runs") {
            send_counts(*response);
        } else if (request.path == "/v1/cache/events") {
            send_events(request, *response);
        } else if (request.path == "/v1/cache/blocks") {
            response->send(ok_status, {{"content-type", "application/json"}}, cache_.listing());
        } else if (request.path == "/v1/completions") {
            start_generation(request, std::move(response));
        } else if (request.path == "/v1/control/pause" || request.path == "/v1/control/resume") {
            steer(request, *response);
        } else if (request.path == "/steps") {
            response->send(ok_status, {{"content-type", "application/json"}}, group_.steps());
        } else if (request.path == "/v1/group/map") {
            group_.take_map(request.body, std::move(response));
        } else if (request.path == "/loads") {
            group_.set_loads(request.body);
            response->send(ok_status, {}, "");
        } else if (request.path == "/v1/control/orders") {
            take_order(request, response);
        } else if (request.path == "/orders" && request.method == "GET") {
            send_orders(*response);
        } else {
            run_service(request, response);
        }
    }

private:
    void send_events(http_request const& request, http_response& response) {
        auto const after = request.query.find("after");
        std::uint64_t const known =
            after == request.query.end() ? 0 : std::strtoull(after->second.c_str(), nullptr, 10);
        response.send(ok_status, {{"content-type", "application/json"}},
                      cache_.events_after(known, now(pool_->clock())));
    }

    // Pauses or resumes the generation that the body's "request_id" names.
    void steer(http_request const& request, http_response& response) {
        json const body = json::parse(request.body, nullptr, false);
        std::string const id = body.is_object() ? body.value("request_id", "") : "";
        bool const pause = request.path.ends_with("pause");
        std::lock_guard const lock{streams_mutex_};
        auto const found = streams_.find(id);
        auto const work = found == streams_.end() ? nullptr : found->second.lock();
        if (!work) {
            response.send(not_found_status, {}, "no such request runs\n");
            return;
        }
        pauses_ += pause ? 1 : 0;
        work->paused = pause;
        response.send(ok_status, {}, "ok\n");
    }

    void send_counts(http_response& response) {
        std::lock_guard const lock{counts_.mutex};
        json const body{{"name", options_.name},
                        {"runs", counts_.runs},
                        {"running", counts_.running},
                        {"pauses", pauses_.load()},
                        {"cache", cache_.counts()}};
        response.send(ok_status, {{"content-type", "application/json"}}, body.dump() + "\n");
    }

    void send_orders(http_response& response) {
        std::lock_guard const lock{book_.mutex};
        json const body{{"orders", book_.orders},
                        {"loaded", book_.loaded},
                        {"stale", book_.stale},
                        {"runs_while_loading", book_.runs_while_loading}};
        response.send(ok_status, {{"content-type", "application/json"}}, body.dump() + "\n");
    }

    // Runs a target order once; a repeated id gets the first result again.
    void take_order(http_request const& request, std::shared_ptr<http_response> const& response) {
        json const body = json::parse(request.body, nullptr, false);
        if (!body.is_object() || body.value("order", "").empty()) {
            response->send(bad_request_status, {}, "the order has no id\n");
            return;
        }
        std::string const id = body.value("order", "");
        std::uint64_t const fence = body.value("fence", std::uint64_t{0});
        {
            std::lock_guard const lock{book_.mutex};
            if (options_.checks_fence && fence < book_.highest_fence) {
                ++book_.stale;
                response->send(conflict_status, {}, "a newer controller exists\n");
                return;
            }
            book_.highest_fence = std::max(book_.highest_fence, fence);
            json& record = book_.orders[id];
            int const arrivals = record.is_object() ? record.value("arrivals", 0) : 0;
            if (arrivals == 0) {
                record = body;
                book_.loading = true;
            }
            record["arrivals"] = arrivals + 1;
            if (arrivals > 0) {
                response->send(ok_status, {}, "applied before\n");
                return;
            }
        }
        pool_->after(std::chrono::milliseconds{options_.load_ms}, [this, id, response] {
            std::lock_guard const lock{book_.mutex};
            json const& record = book_.orders[id];
            book_.loaded = record.value("subject", "") + "@" + record.value("argument", "");
            book_.loading = false;
            response->send(ok_status, {}, "applied\n");
        });
    }

    void count_run(std::string const& body) {
        {
            std::lock_guard const lock{book_.mutex};
            book_.runs_while_loading += book_.loading ? 1 : 0;
        }
        std::lock_guard const lock{counts_.mutex};
        ++counts_.runs[body];
        ++counts_.running;
    }

    void count_end() {
        std::lock_guard const lock{counts_.mutex};
        --counts_.running;
    }

    // Reads the completion request; "crash_after" makes the process die after so many tokens.
    void start_generation(http_request const& request, std::shared_ptr<http_response> response) {
        json const body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            response->send(bad_request_status, {}, "the body is no JSON object\n");
            return;
        }
        count_run(request.body);
        auto work = std::make_shared<generation>();
        work->response = std::move(response);
        work->seed = body.value("prompt", "");
        cache_.use(hash_blocks(work->seed,
                               prefix_salt(options_.model, options_.version,
                                           body.value("adapter", std::string{})),
                               cache_block_bytes, max_prompt_blocks),
                   now(pool_->clock()));
        work->limit = body.value("max_tokens", std::uint64_t{16});
        work->crash_at = body.value("crash_after", UINT64_MAX);
        work->stream = body.value("stream", false);
        auto const id = request.headers.find("x-request-id");
        if (id != request.headers.end()) {
            std::lock_guard const lock{streams_mutex_};
            std::erase_if(streams_, [](auto const& entry) { return entry.second.expired(); });
            streams_[id->second] = work;
        }
        if (work->stream) {
            work->response->start(ok_status, {{"content-type", "text/event-stream"}});
        }
        generate(work);
    }

    // Generates one token, then schedules the next.
    void generate(std::shared_ptr<generation> const& work) {
        if (work->paused) {
            pool_->after(paused_look, [this, work] { generate(work); });
            return;
        }
        if (work->next >= work->crash_at) {
            std::_Exit(EXIT_FAILURE);
        }
        if (work->next == work->limit) {
            finish(*work);
            return;
        }
        std::string const word = word_at(work->seed, work->next++);
        bool const present = work->stream ? work->response->write(event_line(word)) : true;
        work->text += word;
        if (!present || work->response->caller_gone()) {
            count_end();
            return;
        }
        pool_->after(std::chrono::milliseconds{options_.token_ms},
                     [this, work] { generate(work); });
    }

    void finish(generation& work) {
        if (work.stream) {
            work.response->write("data: [DONE]\n\n");
            work.response->finish();
        } else {
            json const body{{"choices", json::array({json{{"text", work.text}}})}};
            work.response->send(ok_status, {{"content-type", "application/json"}},
                                body.dump() + "\n");
        }
        count_end();
    }

    // A plain service: confirms the order with the run's number. "delay_ms" and "crash" steer it.
    void run_service(http_request const& request, std::shared_ptr<http_response> const& response) {
        json const body = json::parse(request.body, nullptr, false);
        count_run(request.body);
        int number = 0;
        {
            std::lock_guard const lock{counts_.mutex};
            number = counts_.runs[request.body];
        }
        if (body.is_object() && body.value("crash", false)) {
            std::_Exit(EXIT_FAILURE);
        }
        int const delay = body.is_object() ? body.value("delay_ms", 0) : 0;
        int const status =
            body.is_object() && body.value("fail", false) ? unavailable_status : ok_status;
        pool_->after(std::chrono::milliseconds{delay}, [this, response, number, status] {
            json const answer{
                {"confirmed", status == ok_status}, {"run", number}, {"by", options_.name}};
            response->send(status, {{"content-type", "application/json"}}, answer.dump() + "\n");
            count_end();
        });
    }

    engine_options options_;
    run_counts counts_;
    order_book book_;
    runtime* pool_{nullptr};
    standin::lockstep_group group_;
    standin::prompt_cache cache_;
    std::mutex streams_mutex_;
    std::map<std::string, std::weak_ptr<generation>> streams_; // by X-Request-Id
    std::atomic<int> pauses_{0};
};

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Stand-in for a model engine or service"};
    engine_options options;
    app.add_option("--address", options.address, "ip:port to listen on")->capture_default_str();
    app.add_option("--name", options.name, "name in answers")->capture_default_str();
    app.add_option("--token-ms", options.token_ms, "milliseconds for each token")
        ->capture_default_str();
    app.add_option("--model", options.model, "model whose prompts are cached");
    app.add_option("--model-version", options.version, "its version");
    app.add_option("--cache-blocks", options.cache.max_blocks, "bound of the prefix cache")
        ->capture_default_str();
    app.add_option("--event-delay-ms", options.event_delay_ms, "lag of cache events")
        ->capture_default_str();
    app.add_option("--lose-event", options.cache.lose_every,
                   "lose each cache event whose sequence is a multiple; 0 loses none");
    app.add_option("--gate", options.ranks.gates, "RANK ip:port of a lock-step rank's agent");
    app.add_option("--step-ms", options.ranks.step_ms, "milliseconds of a lock-step step")
        ->capture_default_str();
    app.add_option("--load-ms", options.load_ms, "milliseconds for each target order")
        ->capture_default_str();
    app.add_flag("--checks-fence", options.checks_fence,
                 "refuse target orders with a lower fencing token than the highest seen");
    CLI11_PARSE(app, argc, argv);

    block_stop_signals();
    start_http_threads(options.workers);
    runtime pool{options.workers};
    options.cache.event_delay = std::chrono::milliseconds{options.event_delay_ms};
    engine stand_in{options, pool};
    constexpr std::size_t max_body_bytes = 16U << 20U;
    auto const server = http_server::open(
        options.address, max_body_bytes,
        [&stand_in](http_request const& request, std::shared_ptr<http_response> response) {
            stand_in.handle(request, std::move(response));
        });
    if (!server) {
        std::cerr << describe(server.error()) << '\n';
        return EXIT_FAILURE;
    }
    wait_for_stop_signal();
    pool.stop();
    server.value()->close();
    return EXIT_SUCCESS;
}
