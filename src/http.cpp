#include "http.h"

#include "httpmessage.h"

#include <cpprest/http_client.h>
#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>
#include <pplx/threadpool.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <future>
#include <mutex>

namespace fireflycrank {

namespace {

namespace rest = web::http;
using stream_buffer = concurrency::streams::producer_consumer_buffer<std::uint8_t>;

constexpr std::size_t read_size = 16384;

std::string lower_case(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

http_headers read_headers(rest::http_headers const& source) {
    http_headers headers;
    for (auto const& [name, value] : source) {
        headers[lower_case(name)] = value;
    }
    return headers;
}

void write_headers(http_headers const& headers, rest::http_headers& destination) {
    for (auto const& [name, value] : headers) {
        destination.add(name, value);
    }
}

// Time for callers to take the answers of a server that closes; systemd waits 90 s for a process.
constexpr duration write_limit = std::chrono::seconds{10};

// Answers that were handed to the library and are not written yet.
class unwritten_answers {
public:
    void add() {
        std::lock_guard const lock{mutex_};
        ++count_;
    }
    void remove() {
        std::lock_guard const lock{mutex_};
        if (--count_ == 0) {
            none_.notify_all();
        }
    }
    // Waits until there are none, at the longest for a time.
    void wait(duration limit) {
        std::unique_lock lock{mutex_};
        none_.wait_for(lock, limit, [this] { return count_ == 0; });
    }

private:
    std::mutex mutex_; // guards count_
    std::condition_variable none_;
    std::size_t count_{0};
};

class rest_response : public http_response {
public:
    rest_response(rest::http_request const& request, std::shared_ptr<unwritten_answers> unwritten)
        : request_{request}, unwritten_{std::move(unwritten)} {}

    ~rest_response() override {
        if (streaming_ && !ended_) {
            abort();
        }
    }

    void send(int status, http_headers const& headers, std::string body) override {
        rest::http_response response{static_cast<rest::status_code>(status)};
        write_headers(headers, response.headers());
        auto const type = headers.find("content-type");
        response.set_body(std::move(body),
                          type == headers.end() ? "text/plain; charset=utf-8" : type->second);
        reply(response);
    }

    void start(int status, http_headers const& headers) override {
        rest::http_response response{static_cast<rest::status_code>(status)};
        write_headers(headers, response.headers());
        response.set_body(buffer_.create_istream());
        streaming_ = true;
        reply(response);
    }

    bool write(std::string const& bytes) override {
        if (*gone_ || ended_) {
            return false;
        }
        // The buffer copies at once. Its tasks are not waited for: the caller of this function may
        // hold a lock that all threads of the HTTP pool are waiting for.
        buffer_.putn_nocopy(reinterpret_cast<std::uint8_t const*>(bytes.data()), bytes.size());
        buffer_.sync();
        return !*gone_;
    }

    void finish() override {
        ended_ = true;
        buffer_.close(std::ios_base::out);
    }

    // Closing the stream with an error makes the listener drop the connection without the last
    // chunk, so that the caller can tell a broken answer from a whole one.
    void abort() override {
        ended_ = true;
        buffer_
            .close(std::ios_base::out,
                   std::make_exception_ptr(std::runtime_error{"the answer was broken off"}))
            .then([](pplx::task<void> const& closed) {
                try {
                    closed.get();
                } catch (std::exception const&) {
                    // The connection is already gone, which is what abort is for.
                }
            });
    }

    bool caller_gone() const override { return *gone_; }

private:
    void reply(rest::http_response const& response) {
        unwritten_->add();
        request_.reply(response).then(
            [gone = gone_, unwritten = unwritten_](pplx::task<void> const& done) {
                try {
                    done.get();
                } catch (std::exception const&) {
                    *gone = true;
                }
                unwritten->remove();
            });
    }

    rest::http_request request_;
    std::shared_ptr<unwritten_answers> unwritten_;
    stream_buffer buffer_;
    std::shared_ptr<std::atomic<bool>> gone_ = std::make_shared<std::atomic<bool>>(false);
    bool streaming_{false};
    std::atomic<bool> ended_{false};
};

http_request convert(rest::http_request const& source, std::string body) {
    http_request request;
    request.method = source.method();
    request.path = web::uri::decode(source.request_uri().path());
    request.query = web::uri::split_query(web::uri::decode(source.request_uri().query()));
    request.headers = read_headers(source.headers());
    request.remote_address = source.remote_address();
    request.body = std::move(body);
    return request;
}

void refuse(rest::http_request const& request, rest::status_code status, std::string const& text) {
    request.reply(status, text).then([](pplx::task<void> const& sent) {
        try {
            sent.get();
        } catch (std::exception const&) {
            // The caller is gone; there is nobody to tell.
        }
    });
}

constexpr char const* too_large_text =
    R"({"outcome":"not_run","error":"invalid_request","message":"the body is too large"})"
    "\n";
constexpr char const* unreadable_text =
    R"({"outcome":"not_run","error":"invalid_request","message":"the request cannot be read"})"
    "\n";

void receive_body(rest::http_request const& request, std::size_t max_body_bytes,
                  http_handler const& handler,
                  std::shared_ptr<unwritten_answers> const& unwritten) {
    if (request.headers().content_length() > max_body_bytes) {
        refuse(request, rest::status_codes::RequestEntityTooLarge, too_large_text);
        return;
    }
    request.extract_vector().then([request, max_body_bytes, &handler,
                                   unwritten](pplx::task<std::vector<unsigned char>> const& read) {
        std::string body;
        http_request converted;
        try {
            auto const bytes = read.get();
            body.assign(bytes.begin(), bytes.end());
            if (body.size() > max_body_bytes) {
                refuse(request, rest::status_codes::RequestEntityTooLarge, too_large_text);
                return;
            }
            converted = convert(request, std::move(body));
        } catch (std::exception const&) {
            refuse(request, rest::status_codes::BadRequest, unreadable_text);
            return;
        }
        handler(std::move(converted), std::make_shared<rest_response>(request, unwritten));
    });
}

} // namespace

struct http_server::implementation {
    rest::experimental::listener::http_listener listener;
    http_handler handler;
    std::size_t max_body_bytes{0};
    std::shared_ptr<unwritten_answers> unwritten = std::make_shared<unwritten_answers>();
    std::atomic<bool> open{false};
};

http_server::http_server(std::unique_ptr<implementation> parts) : parts_{std::move(parts)} {}

http_server::~http_server() {
    close();
}

result<std::shared_ptr<http_server>>
http_server::open(std::string const& address, std::size_t max_body_bytes, http_handler handler) {
    auto parts = std::make_unique<implementation>();
    parts->handler = std::move(handler);
    parts->max_body_bytes = max_body_bytes;
    try {
        parts->listener = rest::experimental::listener::http_listener{"http://" + address + "/"};
        auto* state = parts.get();
        parts->listener.support([state](rest::http_request const& request) {
            receive_body(request, state->max_body_bytes, state->handler, state->unwritten);
        });
        parts->listener.open().wait();
    } catch (std::exception const& failure) {
        return fail(error_kind::unavailable,
                    "HTTP address " + address + " cannot be bound: " + failure.what(),
                    "stop the process that holds it or set another http address");
    }
    parts->open = true;
    return std::shared_ptr<http_server>{new http_server{std::move(parts)}};
}

void http_server::close() {
    if (!parts_->open.exchange(false)) {
        return;
    }
    parts_->unwritten->wait(write_limit);
    try {
        parts_->listener.close().wait();
    } catch (std::exception const&) {
        // The listener is gone either way.
    }
}

namespace {

struct rest_call : http_call, std::enable_shared_from_this<rest_call> {
    pplx::cancellation_token_source cancellation;
    std::unique_ptr<rest::client::http_client> client;
    http_receiver receiver;
    std::vector<std::uint8_t> buffer = std::vector<std::uint8_t>(read_size);

    void cancel() override { cancellation.cancel(); }

    void end(result<void> outcome) {
        if (receiver.on_end) {
            auto const on_end = std::exchange(receiver.on_end, {});
            on_end(std::move(outcome));
        }
    }

    // cpprest reports a failed connect, before anything is sent, as host_unreachable.
    void end_with_error(rest::http_exception const& failure) {
        if (failure.error_code() == std::errc::host_unreachable) {
            end(fail(error_kind::unreachable, std::string{"no connection: "} + failure.what(),
                     "check that the process at that address runs"));
        } else {
            end_with_error(std::string{failure.what()});
        }
    }

    void end_with_error(std::string const& what) {
        end(fail(error_kind::unavailable, "the connection failed: " + what,
                 "check that the process at that address runs"));
    }

    // Reads until the body ends. The library's getn waits until it has all bytes asked for, so one
    // byte is awaited and then only what has already arrived is taken; otherwise a stream of tokens
    // would be held back until 16 KiB are there.
    void read_more(concurrency::streams::istream const& body) {
        auto self = shared_from_this();
        body.streambuf()
            .getn(buffer.data(), 1)
            .then([self, body](std::size_t first) {
                std::size_t const arrived =
                    std::min(body.streambuf().in_avail(), self->buffer.size() - 1);
                if (first == 0 || arrived == 0) {
                    return pplx::task_from_result(first);
                }
                return body.streambuf()
                    .getn(self->buffer.data() + 1, arrived)
                    .then([](std::size_t rest) { return rest + 1; });
            })
            .then([self, body](pplx::task<std::size_t> const& read) { self->deliver(body, read); });
    }

    void deliver(concurrency::streams::istream const& body, pplx::task<std::size_t> const& read) {
        std::size_t size = 0;
        try {
            size = read.get();
        } catch (std::exception const& failure) {
            end_with_error(std::string{failure.what()});
            return;
        }
        if (size == 0) {
            end(ok());
            return;
        }
        receiver.on_bytes(
            std::string{buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(size)});
        read_more(body);
    }

    void start(rest::http_request const& request) {
        auto self = shared_from_this();
        client->request(request, cancellation.get_token())
            .then([self](pplx::task<rest::http_response> const& received) {
                rest::http_response response;
                try {
                    response = received.get();
                } catch (rest::http_exception const& failure) {
                    self->end_with_error(failure);
                    return;
                } catch (std::exception const& failure) {
                    self->end_with_error(failure.what());
                    return;
                }
                if (!is_response_status(response.status_code())) {
                    self->cancel();
                    self->end_with_error("the answer has no status that HTTP defines");
                    return;
                }
                self->receiver.on_start(response.status_code(), read_headers(response.headers()));
                self->read_more(response.body());
            });
    }
};

} // namespace

std::shared_ptr<http_call> start_http_call(http_client_request const& request,
                                           http_receiver receiver) {
    auto call = std::make_shared<rest_call>();
    call->receiver = std::move(receiver);
    try {
        rest::client::http_client_config settings;
        settings.set_timeout(
            std::chrono::duration_cast<std::chrono::microseconds>(request.timeout));
        call->client =
            std::make_unique<rest::client::http_client>("http://" + request.address, settings);
        rest::http_request message{request.method};
        message.set_request_uri(request.path);
        write_headers(request.headers, message.headers());
        if (!request.body.empty()) {
            auto const type = request.headers.find("content-type");
            message.set_body(request.body,
                             type == request.headers.end() ? "application/json" : type->second);
        }
        call->start(message);
    } catch (std::exception const& failure) {
        call->end_with_error(failure.what());
    }
    return call;
}

result<http_answer> call_http(http_client_request const& request) {
    auto answer = std::make_shared<http_answer>();
    auto done = std::make_shared<std::promise<result<void>>>();
    auto const call = start_http_call(
        request, {[answer](int status, http_headers const& headers) {
                      answer->status = status;
                      answer->headers = headers;
                  },
                  [answer](std::string const& bytes) { answer->body += bytes; },
                  [done](result<void> outcome) { done->set_value(std::move(outcome)); }});
    result<void> const outcome = done->get_future().get();
    if (!outcome) {
        return boost::outcome_v2::failure(outcome.error());
    }
    return std::move(*answer);
}

void start_http_threads(unsigned threads) {
    crossplat::threadpool::initialize_with_threads(threads);
}

} // namespace fireflycrank
