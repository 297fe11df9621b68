#include "httplistener.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <set>
#include <utility>

namespace fireflycrank {

namespace {

constexpr std::size_t read_bytes = 16U << 10U;
// Time for the caller to read the last answer before a connection with unread bytes is reset.
constexpr std::chrono::milliseconds linger_limit{1'000};
constexpr std::chrono::milliseconds silent_caller_limit{10'000};

constexpr unsigned bad_request = 400;
constexpr unsigned request_timeout = 408;
constexpr unsigned body_too_large = 413;
constexpr unsigned header_too_large = 431;

enum class connection_phase {
    idle,      ///< waits for the first byte of a request
    reading,   ///< a request is arriving
    answering, ///< the handler has it
    lingering, ///< the last answer was sent; waits for the caller to close
    closed
};

class connection;

} // namespace

struct http_listener::implementation : std::enable_shared_from_this<implementation> {
    implementation(net::io_context& loop, runtime_clock const& runtime)
        : acceptor{loop}, clock{&runtime} {}

    tcp::acceptor acceptor;
    runtime_clock const* clock;
    request_handler handler;
    listener_limits limits;
    bool closing_after_answers{false};
    bool accepting{true};
    std::set<std::shared_ptr<connection>> connections;

    void accept();
};

namespace {

// One caller's connection.
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(tcp::socket socket, std::shared_ptr<http_listener::implementation> owner)
        : socket_{std::move(socket)}
        , owner_{std::move(owner)}
        , reader_{make_reader()}
        , since_{now(*owner_->clock)} {
        net_error failed;
        auto const remote = socket_.remote_endpoint(failed);
        remote_ = failed ? std::string{} : remote.address().to_string();
    }

    void run() {
        tune_socket(socket_, silent_caller_limit);
        read();
    }

    void send(std::uint64_t request, unsigned status, header_list headers,
              std::string const& body) {
        if (!pending(request)) {
            return;
        }
        add_connection_fields(headers);
        headers.push_back({"Content-Length", std::to_string(body.size())});
        auto bytes = format_response_head(status, {}, headers);
        bytes += head_only_ ? std::string{} : body;
        queue(std::move(bytes));
        answered();
    }

    void start(std::uint64_t request, unsigned status, std::string_view reason,
               header_list headers) {
        if (!pending(request)) {
            return;
        }
        add_connection_fields(headers);
        headers.push_back({"Transfer-Encoding", "chunked"});
        queue(format_response_head(status, reason, headers));
    }

    void write(std::uint64_t request, std::string_view bytes) {
        if (pending(request) && !bytes.empty() && !head_only_) {
            queue(format_chunk(bytes));
        }
    }

    void finish(std::uint64_t request) {
        if (!pending(request)) {
            return;
        }
        if (!head_only_) {
            queue(std::string{last_chunk});
        }
        answered();
    }

    void abort(std::uint64_t request) {
        if (pending(request)) {
            close();
        }
    }

    [[nodiscard]] std::size_t unsent_bytes() const { return queued_bytes_; }

    void on_disconnect(std::uint64_t request, std::function<void()> handler) {
        if (pending(request)) {
            gone_ = std::move(handler);
            watch();
        }
    }

    void on_flushed(std::uint64_t request, std::function<void()> handler) {
        if (pending(request)) {
            drained_ = std::move(handler);
        }
    }

    void sweep(time_point at) {
        auto const& limits = owner_->limits;
        bool const slow_head = !reader_.head_complete() && at - since_ > limits.header_timeout;
        bool const slow_body = at - heard_ > limits.idle_timeout;
        if (phase_ == connection_phase::reading && (slow_head || slow_body)) {
            reject(request_timeout);
            return;
        }
        bool const unused = phase_ == connection_phase::idle && at - since_ > limits.idle_timeout;
        bool const lingered = phase_ == connection_phase::lingering && at - since_ > linger_limit;
        if (unused || lingered) {
            close();
        }
    }

    void close_if_idle() {
        if (phase_ == connection_phase::idle) {
            close();
        }
    }

    [[nodiscard]] bool busy() const {
        return phase_ == connection_phase::reading || phase_ == connection_phase::answering;
    }

    void close() {
        if (phase_ == connection_phase::closed) {
            return;
        }
        phase_ = connection_phase::closed;
        net_error ignored;
        socket_.close(ignored);
        drained_ = nullptr;
        auto const gone = std::exchange(gone_, nullptr);
        owner_->connections.erase(shared_from_this());
        if (gone) {
            gone();
        }
    }

private:
    message_reader make_reader() const {
        return {http_kind::request, owner_->limits.header_bytes, owner_->limits.body_bytes};
    }

    [[nodiscard]] bool pending(std::uint64_t request) const {
        return phase_ == connection_phase::answering && request == request_;
    }

    void read() {
        socket_.async_read_some(net::buffer(chunk_),
                                [self = shared_from_this()](net_error failed, std::size_t size) {
                                    self->on_read(failed, size);
                                });
    }

    void on_read(net_error const& failed, std::size_t size) {
        if (phase_ == connection_phase::closed) {
            return;
        }
        if (failed) {
            close();
            return;
        }
        if (phase_ == connection_phase::lingering) {
            read();
            return;
        }
        take(std::string_view{chunk_.data(), size});
    }

    void take(std::string_view bytes) {
        heard_ = now(*owner_->clock);
        if (phase_ == connection_phase::idle) {
            phase_ = connection_phase::reading;
            since_ = heard_;
        }
        auto const fault = reader_.put(bytes);
        body_ += reader_.take_body();
        if (fault != read_fault::none) {
            reject(fault == read_fault::header_too_large ? header_too_large
                   : fault == read_fault::body_too_large ? body_too_large
                                                         : bad_request);
            return;
        }
        if (reader_.complete()) {
            dispatch();
            return;
        }
        if (reader_.head_complete() && !continued_ && wants_continue()) {
            continued_ = true;
            queue("HTTP/1.1 100 Continue\r\n\r\n");
        }
        read();
    }

    [[nodiscard]] bool wants_continue() const {
        auto const* const expect = find_header(reader_.head().headers, "Expect");
        return expect != nullptr && same_token(*expect, "100-continue");
    }

    void dispatch();

    // Rejects what could not be read; the caller's request has not run.
    void reject(unsigned status) {
        keep_ = false;
        header_list headers{{"Connection", "close"}};
        queue(format_response(status, std::move(headers), {}));
        phase_ = connection_phase::lingering;
        since_ = now(*owner_->clock);
        ending_ = true;
        finish_output();
    }

    void add_connection_fields(header_list& headers) {
        keep_ = keep_ && !owner_->closing_after_answers;
        if (!keep_) {
            headers.push_back({"Connection", "close"});
        }
    }

    void answered() {
        gone_ = nullptr;
        drained_ = nullptr;
        since_ = now(*owner_->clock);
        if (!keep_) {
            phase_ = connection_phase::lingering;
            ending_ = true;
            finish_output();
            return;
        }
        phase_ = connection_phase::idle;
        auto rest = reader_.take_rest();
        reader_ = make_reader();
        body_.clear();
        continued_ = false;
        if (rest.empty()) {
            read_when_unwatched();
            return;
        }
        // Posted: the handler of a pipelined request must not run inside its predecessor's.
        net::post(socket_.get_executor(),
                  [self = shared_from_this(), rest = std::move(rest)] { self->take(rest); });
    }

    void read_when_unwatched() {
        if (!watching_) {
            read();
        }
        // Otherwise the watch's completion goes on reading.
    }

    // Sees a caller that leaves while its request is pending.
    void watch() {
        if (watching_) {
            return;
        }
        watching_ = true;
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](net_error failed) {
            self->watching_ = false;
            self->on_readable(failed);
        });
    }

    void on_readable(net_error const& failed) {
        if (phase_ == connection_phase::closed) {
            return;
        }
        if (failed) {
            close();
            return;
        }
        if (phase_ == connection_phase::idle || phase_ == connection_phase::lingering) {
            read();
            return;
        }
        if (phase_ != connection_phase::answering) {
            return;
        }
        char byte = 0;
        auto const got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
            close();
            return;
        }
        if (got < 0) {
            watch();
        }
        // Otherwise a further request waits behind this one; a close behind it cannot be seen.
    }

    void queue(std::string bytes) {
        queued_bytes_ += bytes.size();
        output_.push_back(std::move(bytes));
        pump();
    }

    void pump() {
        if (writing_ || output_.empty()) {
            return;
        }
        writing_ = true;
        in_flight_.clear();
        while (!output_.empty()) {
            in_flight_ += output_.front();
            output_.pop_front();
        }
        net::async_write(socket_, net::buffer(in_flight_),
                         [self = shared_from_this()](net_error failed, std::size_t /*size*/) {
                             self->on_written(failed);
                         });
    }

    void on_written(net_error const& failed) {
        writing_ = false;
        queued_bytes_ -= std::min(queued_bytes_, in_flight_.size());
        if (phase_ == connection_phase::closed) {
            return;
        }
        if (failed) {
            close();
            return;
        }
        if (!output_.empty()) {
            pump();
            return;
        }
        finish_output();
        if (drained_) {
            auto const notify = drained_;
            notify();
        }
    }

    void finish_output() {
        if (!ending_ || writing_ || !output_.empty()) {
            return;
        }
        ending_ = false;
        net_error ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        read_when_unwatched();
    }

    tcp::socket socket_;
    std::shared_ptr<http_listener::implementation> owner_;
    message_reader reader_;
    std::string body_;
    std::string remote_;
    std::array<char, read_bytes> chunk_{};
    connection_phase phase_{connection_phase::idle};
    time_point since_{}; ///< start of the phase
    time_point heard_{};
    std::uint64_t request_{0}; ///< number of the pending request on this connection
    bool keep_{true};
    bool head_only_{false};
    bool continued_{false};
    bool watching_{false};
    bool writing_{false};
    bool ending_{false};
    std::deque<std::string> output_;
    std::string in_flight_;
    std::size_t queued_bytes_{0};
    std::function<void()> gone_;
    std::function<void()> drained_;
};

class connection_writer : public response_writer {
public:
    connection_writer(std::shared_ptr<connection> to, std::uint64_t request)
        : to_{std::move(to)}, request_{request} {}

    void send(unsigned status, header_list headers, std::string body) override {
        to_->send(request_, status, std::move(headers), body);
    }
    void start(unsigned status, std::string_view reason, header_list headers) override {
        to_->start(request_, status, reason, std::move(headers));
    }
    void write(std::string_view bytes) override { to_->write(request_, bytes); }
    void finish() override { to_->finish(request_); }
    void abort() override { to_->abort(request_); }
    [[nodiscard]] std::size_t unsent_bytes() const override { return to_->unsent_bytes(); }
    void on_disconnect(std::function<void()> handler) override {
        to_->on_disconnect(request_, std::move(handler));
    }
    void on_flushed(std::function<void()> handler) override {
        to_->on_flushed(request_, std::move(handler));
    }

private:
    std::shared_ptr<connection> to_;
    std::uint64_t request_;
};

void connection::dispatch() {
    phase_ = connection_phase::answering;
    keep_ = reader_.keep_alive();
    incoming_request request;
    request.head = reader_.head();
    request.body = std::exchange(body_, {});
    request.remote_ip = remote_;
    request.first_byte_at = since_;
    request.declares_body = find_header(request.head.headers, "Content-Length") != nullptr ||
                            find_header(request.head.headers, "Transfer-Encoding") != nullptr;
    head_only_ = request.head.method == "HEAD";
    ++request_;
    owner_->handler(std::move(request),
                    std::make_shared<connection_writer>(shared_from_this(), request_));
}

} // namespace

void http_listener::implementation::accept() {
    acceptor.async_accept([self = shared_from_this()](net_error failed, tcp::socket socket) {
        if (!self->accepting) {
            return;
        }
        if (!failed) {
            auto const accepted = std::make_shared<connection>(std::move(socket), self);
            self->connections.insert(accepted);
            accepted->run();
        }
        self->accept();
    });
}

result<std::shared_ptr<http_listener>> http_listener::open(net::io_context& loop,
                                                           std::string const& address,
                                                           runtime_clock const& clock,
                                                           request_handler handler) {
    BOOST_OUTCOME_TRY(endpoint, parse_endpoint(address));
    auto parts = std::make_shared<implementation>(loop, clock);
    parts->handler = std::move(handler);
    try {
        parts->acceptor.open(endpoint.protocol());
        parts->acceptor.set_option(net::socket_base::reuse_address{true});
        parts->acceptor.bind(endpoint);
        parts->acceptor.listen();
    } catch (boost::system::system_error const& failed) {
        return fail(error_kind::unavailable, "cannot listen on " + address + ": " + failed.what(),
                    "free the port or change the settings");
    }
    parts->accept();
    return std::shared_ptr<http_listener>{new http_listener{std::move(parts)}};
}

http_listener::http_listener(std::shared_ptr<implementation> parts) : parts_{std::move(parts)} {}

http_listener::~http_listener() {
    stop_accepting();
    auto const open = parts_->connections;
    for (auto const& one : open) {
        one->close();
    }
}

void http_listener::set_limits(listener_limits const& limits) {
    parts_->limits = limits;
}

void http_listener::close_after_responses() {
    parts_->closing_after_answers = true;
}

void http_listener::stop_accepting() {
    parts_->accepting = false;
    net_error ignored;
    parts_->acceptor.close(ignored);
}

void http_listener::close_idle() {
    auto const open = parts_->connections;
    for (auto const& one : open) {
        one->close_if_idle();
    }
}

void http_listener::enforce_timeouts() {
    auto const at = now(*parts_->clock);
    auto const open = parts_->connections;
    for (auto const& one : open) {
        one->sweep(at);
    }
}

std::size_t http_listener::active_connections() const {
    std::size_t count = 0;
    for (auto const& one : parts_->connections) {
        count += one->busy() ? 1 : 0;
    }
    return count;
}

void send_json(response_writer& writer, unsigned status, std::string json) {
    writer.send(status, {{"Content-Type", "application/json"}}, std::move(json));
}

} // namespace fireflycrank
