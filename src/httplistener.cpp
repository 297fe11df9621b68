#include "httplistener.h"

#include "platform/callheaders.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <deque>
#include <limits>
#include <optional>
#include <set>
#include <utility>

namespace fireflycrank {

namespace {

constexpr std::size_t read_bytes = 16U << 10U;
// Time for the caller to read the last response and close. Closing a socket with unread bytes at
// once would reset the connection and could lose the response.
constexpr std::chrono::milliseconds max_linger{1'000};
constexpr std::chrono::milliseconds unacknowledged_timeout{10'000};

constexpr unsigned bad_request = 400;
constexpr unsigned request_timeout = 408;
constexpr unsigned body_too_large = 413;
constexpr unsigned header_too_large = 431;
constexpr unsigned unavailable = 503;

// A connection's parser, queues, and entries in the listener and in the event loop.
constexpr std::size_t connection_bytes = 4U << 10U;
// A body is held twice while its copy for a target exists or it is decoded.
constexpr std::size_t body_copies = 2;
// A head is held by the parser and as fields.
constexpr std::size_t head_copies = 2;
// Requests up to this size may use the part of the memory that is kept for small ones.
constexpr std::size_t small_request_bytes = 64U << 10U;
// First room for a body of unknown length; it doubles from there.
constexpr std::size_t first_chunk_room = 16U << 10U;
// Larger buffers are freed after a response.
constexpr std::size_t kept_buffer_bytes = 64U << 10U;
constexpr std::chrono::milliseconds refusal_retry_after{500};
// Without a pause, a process without free descriptors would retry to accept all the time.
constexpr std::chrono::milliseconds accept_pause{50};

enum class connection_phase {
    idle,       ///< waiting for the first byte of a request
    reading,    ///< receiving a request
    responding, ///< the handler is working on the request
    lingering,  ///< the last response was sent; waiting for the caller to close
    closed
};

class connection;

} // namespace

struct http_listener::implementation : std::enable_shared_from_this<implementation> {
    implementation(net::io_context& loop, runtime_clock const& runtime)
        : acceptor{loop}, accept_timer{loop}, clock{&runtime} {}

    tcp::acceptor acceptor;
    net::steady_timer accept_timer;
    std::shared_ptr<body_admission> admission;
    std::array<char, read_bytes> read_buffer{}; ///< of the connection that is being read
    runtime_clock const* clock;
    request_handler handler;
    listener_limits limits;
    bool closing_after_responses{false};
    std::optional<duration> max_idle; ///< set by close_idle()
    bool accepting{true};
    std::set<std::shared_ptr<connection>> connections;

    void accept();
    void add(tcp::socket socket);
};

namespace {

// A caller's connection.
class connection : public held_connection, public std::enable_shared_from_this<connection> {
public:
    connection(tcp::socket socket, std::shared_ptr<http_listener::implementation> listener)
        : socket_{std::move(socket)}
        , listener_{std::move(listener)}
        , reader_{make_reader()}
        , phase_began_{now(*listener_->clock)} {
        net_error failed;
        auto const remote = socket_.remote_endpoint(failed);
        remote_ip_ = failed ? std::string{} : remote.address().to_string();
        listener_->admission->add(*this);
        update_held();
    }
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;
    ~connection() override { leave_admission(); }

    void run() {
        tune_socket(socket_, unacknowledged_timeout);
        net_error ignored;
        socket_.non_blocking(true, ignored);
        read();
    }

    void send(std::uint64_t request, unsigned status, header_list headers, std::string body) {
        if (!is_pending(request)) {
            return;
        }
        add_connection_fields(headers);
        headers.push_back({"Content-Length", std::to_string(body.size())});
        auto bytes = format_response_head(status, {}, headers);
        if (head_only_) {
            body.clear();
        }
        bool const is_small = body.size() <= small_request_bytes;
        if (is_small) {
            bytes += body;
        }
        handler_bytes_ = 0;
        queue(std::move(bytes));
        if (!is_small && is_pending(request)) {
            queue(std::move(body));
        }
        end_response();
    }

    void start(std::uint64_t request, unsigned status, std::string_view reason,
               header_list headers) {
        if (!is_pending(request)) {
            return;
        }
        add_connection_fields(headers);
        headers.push_back({"Transfer-Encoding", "chunked"});
        queue(format_response_head(status, reason, headers));
    }

    void write(std::uint64_t request, std::string_view bytes) {
        if (is_pending(request) && !bytes.empty() && !head_only_) {
            queue(format_chunk(bytes));
        }
    }

    void finish(std::uint64_t request) {
        if (!is_pending(request)) {
            return;
        }
        if (!head_only_) {
            queue(std::string{last_chunk});
        }
        end_response();
    }

    void abort(std::uint64_t request) {
        if (is_pending(request)) {
            close();
        }
    }

    [[nodiscard]] std::size_t unsent_bytes() const { return unsent_bytes_; }

    bool hold(std::uint64_t request, std::size_t bytes) {
        if (!is_pending(request)) {
            return true;
        }
        bool const fits =
            bytes <= handler_bytes_ ||
            listener_->admission->make_room(*this, bytes - handler_bytes_,
                                            bytes <= small_request_bytes, now(*listener_->clock));
        if (fits) {
            handler_bytes_ = bytes;
            update_held();
        }
        return fits;
    }

    connection_holding holding(time_point at) override {
        connection_holding out{holding_kind::busy, held_, phase_began_, request_ > 0};
        if (has_unsent()) {
            // The first bytes of a response may just have been queued.
            out.kind =
                write_progress_.at == time_point{} ? holding_kind::busy : holding_kind::unread;
            out.moved_at = write_progress_.at;
        } else if (phase_ == connection_phase::reading) {
            out.kind = holding_kind::reading;
            out.moved_at = read_progress_.at;
        } else if (phase_ == connection_phase::lingering ||
                   (phase_ == connection_phase::idle && is_delivered(at))) {
            out.kind = holding_kind::idle;
        }
        return out;
    }

    void end_for_room() override {
        if (phase_ == connection_phase::reading && !has_unsent()) {
            refuse(request_timeout);
            return;
        }
        yield_connection();
    }

    bool yield_connection() override {
        if (phase_ == connection_phase::idle && !is_quiet(socket_)) {
            return false;
        }
        // Closed later, because that calls the handler of a request that is being answered.
        ending_ = true;
        update_held();
        net::post(socket_.get_executor(), [self = shared_from_this()] { self->close(); });
        return true;
    }

    void on_disconnect(std::uint64_t request, std::function<void()> handler) {
        if (is_pending(request)) {
            disconnect_handler_ = std::move(handler);
            watch_for_disconnect();
        }
    }

    void on_flushed(std::uint64_t request, std::function<void()> handler) {
        if (is_pending(request)) {
            flushed_handler_ = std::move(handler);
        }
    }

    void enforce_timeouts(time_point at) {
        auto const& limits = listener_->limits;
        if (phase_ != connection_phase::responding && has_unsent()) {
            if (at - last_write_at_ > limits.idle_timeout) {
                close(); // the caller reads nothing
            }
            return;
        }
        bool const head_timed_out =
            !reader_.head_complete() && at - phase_began_ > limits.header_timeout;
        bool const body_timed_out = at - last_read_at_ > limits.idle_timeout;
        if (phase_ == connection_phase::reading && (head_timed_out || body_timed_out)) {
            reject(request_timeout);
            return;
        }
        bool const idle = phase_ == connection_phase::idle;
        if ((!idle && phase_ != connection_phase::lingering) || !is_delivered(at)) {
            return;
        }
        if (at - phase_began_ > (idle ? limits.idle_timeout : max_linger)) {
            close();
            return;
        }
        close_if_idle(at);
    }

    // After close_idle(), closes a connection that has waited too long for a request, unless one
    // has arrived or a response has not reached the caller yet.
    void close_if_idle(time_point at) {
        auto const& limit = listener_->max_idle;
        bool const waits = phase_ == connection_phase::idle && limit && !has_unsent();
        if (waits && is_delivered(at) && at - phase_began_ >= *limit && is_quiet(socket_)) {
            close();
        }
    }

    [[nodiscard]] bool is_active() {
        bool const may_get_request = phase_ == connection_phase::idle && listener_->max_idle;
        return phase_ == connection_phase::reading || phase_ == connection_phase::responding ||
               has_unsent() || may_get_request ||
               (!delivered_ && unacknowledged_bytes(socket_) > 0);
    }

    void close() {
        if (phase_ == connection_phase::closed) {
            return;
        }
        phase_ = connection_phase::closed;
        leave_admission();
        net_error ignored;
        socket_.close(ignored);
        flushed_handler_ = nullptr;
        auto const gone = std::exchange(disconnect_handler_, nullptr);
        listener_->connections.erase(shared_from_this());
        if (gone) {
            gone();
        }
    }

private:
    message_reader make_reader() const {
        return {http_kind::request, listener_->limits.header_bytes, listener_->limits.body_bytes};
    }

    [[nodiscard]] bool is_pending(std::uint64_t request) const {
        return phase_ == connection_phase::responding && request == request_;
    }

    // Waits until there are bytes and reads them into the buffer that all connections share: a
    // buffer for each would be most of what a silent connection holds.
    void read() {
        if (reading_) {
            return;
        }
        reading_ = true;
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](net_error failed) {
            self->reading_ = false;
            self->on_readable(failed);
        });
    }

    void on_readable(net_error failed) {
        if (phase_ == connection_phase::closed || ending_) {
            return;
        }
        std::size_t size = 0;
        if (!failed) {
            size = socket_.read_some(net::buffer(listener_->read_buffer), failed);
        }
        if (failed == net::error::would_block || failed == net::error::try_again ||
            failed == net::error::interrupted) {
            read();
            return;
        }
        on_read(failed, size);
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
        process_bytes(std::string_view{listener_->read_buffer.data(), size});
    }

    void process_bytes(std::string_view bytes) {
        last_read_at_ = now(*listener_->clock);
        if (phase_ == connection_phase::idle) {
            phase_ = connection_phase::reading;
            phase_began_ = last_read_at_;
            read_progress_ = {last_read_at_, 0};
        }
        note_progress(read_progress_, bytes.size(), held_, last_read_at_);
        bool const in_head = !reader_.head_complete();
        auto const read_error = reader_.put(bytes);
        auto const part = reader_.take_body();
        if (read_error == read_fault::none &&
            !(reserve_head(in_head ? bytes.size() : 0) && reserve_body(part.size()))) {
            listener_->admission->count_refusal("no_room");
            refuse(unavailable);
            return;
        }
        body_ += part;
        if (read_error != read_fault::none) {
            reject(read_error == read_fault::header_too_large ? header_too_large
                   : read_error == read_fault::body_too_large ? body_too_large
                                                              : bad_request);
            return;
        }
        if (reader_.complete()) {
            dispatch();
            return;
        }
        if (reader_.head_complete() && !sent_continue_ && wants_continue()) {
            sent_continue_ = true;
            queue("HTTP/1.1 100 Continue\r\n\r\n");
        }
        read();
    }

    // Takes room for a part of the head. Returns whether there is any.
    bool reserve_head(std::size_t size) {
        auto const bytes = size * head_copies;
        if (bytes == 0) {
            return true;
        }
        if (!listener_->admission->make_room(*this, bytes, true, last_read_at_)) {
            return false;
        }
        head_bytes_ += bytes;
        update_held();
        return true;
    }

    // Takes room for the whole body as soon as its length is known, otherwise for more of it as it
    // grows. Returns whether there is any.
    bool reserve_body(std::size_t more) {
        if (!reader_.head_complete()) {
            return true;
        }
        auto const needed = std::max(announced_length(), body_.size() + more);
        if (needed <= body_room_) {
            return true;
        }
        auto room = needed;
        if (reader_.framing() == body_framing::chunks && !reader_.complete()) {
            room = std::max(first_chunk_room, 2 * needed);
            if (auto const limit = listener_->limits.body_bytes; limit > 0) {
                room = std::min(room, std::max(limit, needed));
            }
        }
        auto const bytes = (room - body_room_) * body_copies;
        if (!listener_->admission->make_room(*this, bytes, room <= small_request_bytes,
                                             last_read_at_)) {
            return false;
        }
        body_room_ = room;
        body_.reserve(room);
        update_held();
        return true;
    }

    // Nothing for a body in chunks. A length over the limit has been rejected before.
    [[nodiscard]] std::size_t announced_length() const {
        if (reader_.framing() != body_framing::length) {
            return 0;
        }
        auto const* const text = find_header(reader_.head().headers, "Content-Length");
        std::size_t length = 0;
        if (text != nullptr) {
            std::from_chars(text->data(), text->data() + text->size(), length);
        }
        return length;
    }

    // Tells the account how much this connection holds.
    void update_held() {
        auto const bytes = phase_ == connection_phase::closed || ending_
                               ? 0
                               : connection_bytes + head_bytes_ + body_room_ * body_copies +
                                     handler_bytes_ + queued_bytes_ + write_buffer_.capacity();
        auto& account = listener_->admission->budget.held;
        account += bytes;
        account -= held_;
        held_ = bytes;
    }

    void leave_admission() {
        ending_ = true;
        update_held();
        listener_->admission->remove(*this);
    }

    void release_request() {
        body_ = {};
        head_bytes_ = body_room_ = handler_bytes_ = 0;
        update_held();
    }

    [[nodiscard]] bool wants_continue() const {
        auto const* const expect = find_header(reader_.head().headers, "Expect");
        return expect != nullptr && same_token(*expect, "100-continue");
    }

    void dispatch();

    // Refuses a request that has not been read whole, so that it never runs.
    void refuse(unsigned status) {
        auto const attempt = reader_.head_complete()
                                 ? platform::decode_caller_request(reader_.head()).attempt_id
                                 : std::string{};
        reject(status, platform::gateway_response_headers(attempt, refusal_retry_after));
    }

    // Answers a request that could not be read, which therefore has not run, and ends the
    // connection. What still arrives is dropped.
    void reject(unsigned status, header_list headers = {}) {
        keep_alive_ = false;
        headers.push_back({"Connection", "close"});
        reader_ = make_reader();
        release_request();
        queue(format_response(status, std::move(headers), {}));
        phase_ = connection_phase::lingering;
        phase_began_ = now(*listener_->clock);
        shutting_down_ = true;
        shut_down_when_flushed();
    }

    void add_connection_fields(header_list& headers) {
        keep_alive_ = keep_alive_ && !listener_->closing_after_responses;
        if (!keep_alive_) {
            headers.push_back({"Connection", "close"});
        }
    }

    void end_response() {
        disconnect_handler_ = nullptr;
        flushed_handler_ = nullptr;
        phase_began_ = now(*listener_->clock);
        if (!keep_alive_) {
            phase_ = connection_phase::lingering;
            release_request();
            shutting_down_ = true;
            shut_down_when_flushed();
            return;
        }
        phase_ = connection_phase::idle;
        auto rest = reader_.take_rest();
        reader_ = make_reader();
        release_request();
        sent_continue_ = false;
        if (rest.empty()) {
            read_unless_watching();
            return;
        }
        // A pipelined request has arrived, so the connection is not idle. Posted, so that its
        // handler does not run inside that of the previous request.
        phase_ = connection_phase::reading;
        read_progress_ = {phase_began_, 0};
        net::post(socket_.get_executor(), [self = shared_from_this(), rest = std::move(rest)] {
            if (self->phase_ == connection_phase::reading) {
                self->process_bytes(rest);
            }
        });
    }

    void read_unless_watching() {
        if (!watching_for_disconnect_) {
            read();
        }
        // Otherwise on_watch_event() continues reading.
    }

    // Detects that the caller disconnects while its request is pending.
    void watch_for_disconnect() {
        if (watching_for_disconnect_) {
            return;
        }
        watching_for_disconnect_ = true;
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](net_error failed) {
            self->watching_for_disconnect_ = false;
            self->on_watch_event(failed);
        });
    }

    void on_watch_event(net_error const& failed) {
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
        if (phase_ != connection_phase::responding) {
            return;
        }
        char byte = 0;
        auto const peeked = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (peeked == 0 || (peeked < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
            close();
            return;
        }
        if (peeked < 0) {
            watch_for_disconnect();
        }
        // Otherwise a pipelined request is waiting to be read; a disconnect after it is not
        // detected.
    }

    [[nodiscard]] bool has_unsent() const { return unsent_bytes_ > 0; }

    // Whether the caller has acknowledged all that was written. Until then its time to close or to
    // send a request does not begin; a caller that takes no byte for the idle timeout gets no more
    // time.
    bool is_delivered(time_point at) {
        if (delivered_) {
            return true;
        }
        auto const left = unacknowledged_bytes(socket_);
        if (left < unacknowledged_) {
            last_write_at_ = at;
        }
        unacknowledged_ = left;
        delivered_ = left == 0;
        if (delivered_ || at - last_write_at_ > listener_->limits.idle_timeout) {
            return true;
        }
        phase_began_ = at;
        return false;
    }

    void queue(std::string bytes) {
        if (!has_unsent()) {
            last_write_at_ = now(*listener_->clock);
        }
        if (!has_unsent()) {
            write_progress_ = {last_write_at_, 0};
        }
        unsent_bytes_ += bytes.size();
        queued_bytes_ += bytes.size();
        // Room is sought among others that do not read; the bytes are held in any case.
        static_cast<void>(
            listener_->admission->make_room(*this, bytes.size(), true, now(*listener_->clock)));
        output_.push_back(std::move(bytes));
        update_held();
        write_queued();
    }

    void write_queued() {
        if (writing_ || output_.empty()) {
            return;
        }
        writing_ = true;
        // Small pieces are joined; a large one is moved, so that it is never held twice.
        write_buffer_ = std::move(output_.front());
        output_.pop_front();
        while (!output_.empty() &&
               write_buffer_.size() + output_.front().size() <= kept_buffer_bytes) {
            write_buffer_ += output_.front();
            output_.pop_front();
        }
        queued_bytes_ = 0;
        for (auto const& waiting : output_) {
            queued_bytes_ += waiting.size();
        }
        update_held();
        write_rest(0);
    }

    // Writes in steps, so that a caller that reads slowly can be told from one that reads nothing.
    void write_rest(std::size_t offset) {
        socket_.async_write_some(
            net::buffer(write_buffer_) + offset,
            [self = shared_from_this(), offset](net_error failed, std::size_t size) {
                self->on_written(failed, offset + size, size);
            });
    }

    void on_written(net_error const& failed, std::size_t offset, std::size_t size) {
        unsent_bytes_ -= size;
        if (phase_ == connection_phase::closed) {
            return;
        }
        if (failed) {
            close();
            return;
        }
        last_write_at_ = now(*listener_->clock);
        note_progress(write_progress_, size, held_, last_write_at_);
        delivered_ = false;
        if (offset < write_buffer_.size()) {
            write_rest(offset);
            return;
        }
        writing_ = false;
        write_buffer_ = {};
        update_held();
        if (!output_.empty()) {
            write_queued();
            return;
        }
        on_flushed();
    }

    void on_flushed() {
        if (phase_ != connection_phase::responding && phase_ != connection_phase::reading) {
            phase_began_ = last_write_at_; // the caller can do nothing before
        }
        shut_down_when_flushed();
        if (flushed_handler_) {
            auto const notify = flushed_handler_;
            notify();
        }
    }

    void shut_down_when_flushed() {
        if (!shutting_down_ || has_unsent()) {
            return;
        }
        shutting_down_ = false;
        net_error ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        read_unless_watching();
    }

    tcp::socket socket_;
    std::shared_ptr<http_listener::implementation> listener_;
    message_reader reader_;
    std::string body_;
    std::string remote_ip_;
    connection_phase phase_{connection_phase::idle};
    time_point phase_began_{}; ///< when the current phase began
    time_point last_read_at_{};
    time_point last_write_at_{}; ///< when the socket or the caller last took bytes, or the first
                                 ///< were queued
    std::uint64_t request_{0};   ///< sequence number of the last request on this connection
    bool keep_alive_{true};
    bool head_only_{false};
    bool sent_continue_{false};
    bool watching_for_disconnect_{false};
    bool reading_{false}; ///< waits for bytes
    bool writing_{false};
    bool ending_{false}; ///< is about to close and holds nothing any more
    bool shutting_down_{false};
    std::deque<std::string> output_;
    std::string write_buffer_;
    std::size_t unsent_bytes_{0};
    std::size_t queued_bytes_{0};  ///< in output_
    std::size_t head_bytes_{0};    ///< held for the head of the request
    std::size_t body_room_{0};     ///< reserved for its body
    std::size_t handler_bytes_{0}; ///< held by the handler
    std::size_t held_{0};          ///< what the account knows
    progress_mark read_progress_;
    progress_mark write_progress_;
    std::size_t unacknowledged_{0}; ///< bytes, when is_delivered() counted them last
    bool delivered_{true};          ///< false: the caller may not have acknowledged all yet
    std::function<void()> disconnect_handler_;
    std::function<void()> flushed_handler_;
};

class connection_writer : public response_writer {
public:
    connection_writer(std::shared_ptr<connection> conn, std::uint64_t request)
        : connection_{std::move(conn)}, request_{request} {}

    void send(unsigned status, header_list headers, std::string body) override {
        connection_->send(request_, status, std::move(headers), std::move(body));
    }
    void start(unsigned status, std::string_view reason, header_list headers) override {
        connection_->start(request_, status, reason, std::move(headers));
    }
    void write(std::string_view bytes) override { connection_->write(request_, bytes); }
    void finish() override { connection_->finish(request_); }
    void abort() override { connection_->abort(request_); }
    [[nodiscard]] std::size_t unsent_bytes() const override { return connection_->unsent_bytes(); }
    bool hold(std::size_t bytes) override { return connection_->hold(request_, bytes); }
    void on_disconnect(std::function<void()> handler) override {
        connection_->on_disconnect(request_, std::move(handler));
    }
    void on_flushed(std::function<void()> handler) override {
        connection_->on_flushed(request_, std::move(handler));
    }

private:
    std::shared_ptr<connection> connection_;
    std::uint64_t request_;
};

void connection::dispatch() {
    phase_ = connection_phase::responding;
    keep_alive_ = reader_.keep_alive();
    incoming_request request;
    request.head = reader_.head();
    request.body = std::exchange(body_, {});
    request.remote_ip = remote_ip_;
    request.first_byte_at = phase_began_;
    request.declares_body = find_header(request.head.headers, "Content-Length") != nullptr ||
                            find_header(request.head.headers, "Transfer-Encoding") != nullptr;
    head_only_ = request.head.method == "HEAD";
    ++request_;
    listener_->handler(std::move(request),
                       std::make_shared<connection_writer>(shared_from_this(), request_));
}

} // namespace

void http_listener::implementation::add(tcp::socket socket) {
    if (!admission->admit_connection(now(*clock))) {
        return; // closes it
    }
    auto const accepted = std::make_shared<connection>(std::move(socket), shared_from_this());
    connections.insert(accepted);
    accepted->run();
}

void http_listener::implementation::accept() {
    acceptor.async_accept([self = shared_from_this()](net_error failed, tcp::socket socket) {
        if (!self->accepting) {
            return;
        }
        if (!failed) {
            self->add(std::move(socket));
            self->accept();
            return;
        }
        self->accept_timer.expires_after(accept_pause);
        self->accept_timer.async_wait([self](net_error cancelled) {
            if (!cancelled && self->accepting) {
                self->accept();
            }
        });
    });
}

namespace {

// Connections inherit the sizes. The kernel lowers those over its own limit.
void limit_socket_buffers(tcp::acceptor& acceptor, std::size_t bytes) {
    if (bytes == 0) {
        return;
    }
    auto const size =
        static_cast<int>(std::min<std::size_t>(bytes, std::numeric_limits<int>::max()));
    acceptor.set_option(net::socket_base::receive_buffer_size{size});
    acceptor.set_option(net::socket_base::send_buffer_size{size});
}

} // namespace

result<std::shared_ptr<http_listener>>
http_listener::open(net::io_context& loop, std::string const& address, runtime_clock const& clock,
                    request_handler handler, std::shared_ptr<body_admission> admission) {
    BOOST_OUTCOME_TRY(endpoint, parse_endpoint(address));
    auto impl = std::make_shared<implementation>(loop, clock);
    impl->handler = std::move(handler);
    impl->admission = admission ? std::move(admission) : std::make_shared<body_admission>();
    try {
        impl->acceptor.open(endpoint.protocol());
        impl->acceptor.set_option(net::socket_base::reuse_address{true});
        limit_socket_buffers(impl->acceptor, impl->admission->budget.limits.socket_buffer);
        impl->acceptor.bind(endpoint);
        impl->acceptor.listen();
    } catch (boost::system::system_error const& failed) {
        return fail(error_kind::unavailable, "cannot listen on " + address + ": " + failed.what(),
                    "free the port or change the settings");
    }
    impl->accept();
    return std::shared_ptr<http_listener>{new http_listener{std::move(impl)}};
}

http_listener::http_listener(std::shared_ptr<implementation> impl) : impl_{std::move(impl)} {}

http_listener::~http_listener() {
    stop_accepting();
    auto const open = impl_->connections;
    for (auto const& one : open) {
        one->close();
    }
}

void http_listener::set_limits(listener_limits const& limits) {
    impl_->limits = limits;
}

void http_listener::close_after_responses() {
    impl_->closing_after_responses = true;
}

void http_listener::stop_accepting() {
    impl_->accepting = false;
    net_error ignored;
    impl_->acceptor.close(ignored);
    impl_->accept_timer.cancel();
}

void http_listener::close_idle(duration waited) {
    impl_->max_idle = waited;
    auto const at = now(*impl_->clock);
    auto const open = impl_->connections;
    for (auto const& one : open) {
        one->close_if_idle(at);
    }
}

void http_listener::enforce_timeouts() {
    auto const at = now(*impl_->clock);
    auto const open = impl_->connections;
    for (auto const& one : open) {
        one->enforce_timeouts(at);
    }
}

std::size_t http_listener::active_connections() const {
    std::size_t count = 0;
    for (auto const& one : impl_->connections) {
        count += one->is_active() ? 1 : 0;
    }
    return count;
}

void send_json(response_writer& writer, unsigned status, std::string json) {
    writer.send(status, {{"Content-Type", "application/json"}}, std::move(json));
}

} // namespace fireflycrank
