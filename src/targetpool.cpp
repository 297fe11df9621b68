#include "targetpool.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace fireflycrank {

namespace {

constexpr std::size_t read_bytes = 16U << 10U;
constexpr std::size_t max_header_bytes = 64U << 10U;
// Idle connections are closed after this time if the target states no limit of its own.
constexpr std::chrono::milliseconds default_idle_limit{4'000};
// Only this fraction of the target's stated idle limit is used, since the target starts to count at
// a different moment.
constexpr int idle_limit_divisor = 2;
constexpr std::chrono::milliseconds unacknowledged_timeout{3'000};
constexpr unsigned first_final_status = 200;
// Limits of the interim responses and responses to other requests that may precede the expected
// one: their number, and the total size of their bodies. Beyond them the exchange ends with
// `no_response`.
constexpr unsigned max_skipped_responses = 8;
constexpr std::size_t max_skipped_bytes = 1U << 20U;

struct idle_connection {
    std::uint64_t id;
    tcp::socket socket;
    time_point idle_since;
    std::chrono::milliseconds idle_limit;
};

std::chrono::milliseconds parse_idle_limit(header_list const& headers) {
    constexpr std::string_view key = "timeout=";
    auto const* const value = find_header(headers, "Keep-Alive");
    auto const at = value == nullptr ? std::string::npos : value->find(key);
    if (at == std::string::npos) {
        return default_idle_limit;
    }
    int seconds = 0;
    auto const* const end = value->data() + value->size();
    auto const parsed = std::from_chars(value->data() + at + key.size(), end, seconds);
    return parsed.ec == std::errc{}
               ? std::chrono::milliseconds{std::chrono::seconds{seconds}} / idle_limit_divisor
               : default_idle_limit;
}

// Whether text holds the start of a status line, "HTTP/1.x NNN".
bool holds_status_line(std::string_view text) {
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::string_view pattern = "d ddd"; // d: a digit
    for (auto at = text.find(version); at != text.npos; at = text.find(version, at + 1)) {
        auto const rest = text.substr(at + version.size());
        bool const matches =
            rest.size() >= pattern.size() &&
            std::equal(pattern.begin(), pattern.end(), rest.begin(), [](char expected, char found) {
                bool const digit = found >= '0' && found <= '9';
                return expected == 'd' ? digit : found == expected;
            });
        if (matches && (rest.size() == pattern.size() || rest[pattern.size()] == ' ')) {
            return true;
        }
    }
    return false;
}

// An extra response that was cut off inside its reason phrase or a field joins the head of the
// response after it, and the two look like one head.
bool is_joined(message_head const& head) {
    return holds_status_line(head.reason) ||
           std::any_of(head.headers.begin(), head.headers.end(),
                       [](header_field const& field) { return holds_status_line(field.value); });
}

class exchange;

// A connection attempt of target_pool::probe().
struct connect_probe {
    connect_probe(net::io_context& context, time_point until) : socket{context}, deadline{until} {}
    tcp::socket socket;
    time_point deadline;
};

} // namespace

struct target_pool::implementation : std::enable_shared_from_this<implementation> {
    implementation(net::io_context& loop, runtime_clock const& runtime)
        : context{&loop}, clock{&runtime} {}
    net::io_context* context;
    runtime_clock const* clock;
    std::map<std::string, std::vector<idle_connection>> idle;
    std::map<exchange*, std::weak_ptr<exchange>> connecting;
    std::vector<std::weak_ptr<connect_probe>> probes;
    target_pool_counters counters;
    std::uint64_t last_connection_id{0};

    std::optional<idle_connection> take_idle(target_request const& request);
};

namespace {

class exchange : public target_exchange, public std::enable_shared_from_this<exchange> {
public:
    exchange(std::shared_ptr<target_pool::implementation> pool, target_request request,
             exchange_callbacks callbacks)
        : pool_{std::move(pool)}
        , request_{std::move(request)}
        , callbacks_{std::move(callbacks)}
        , socket_{*pool_->context}
        , reader_{make_reader()} {}

    void begin() {
        if (auto pooled = pool_->take_idle(request_)) {
            ++pool_->counters.reused;
            reused_ = true;
            connection_id_ = pooled->id;
            socket_ = std::move(pooled->socket);
            send();
            return;
        }
        auto const endpoint = parse_endpoint(request_.address);
        if (!endpoint) {
            net::post(*pool_->context,
                      [self = shared_from_this()] { self->end(exchange_result::not_connected); });
            return;
        }
        ++pool_->counters.opened;
        connect_deadline_ = now(*pool_->clock) + request_.connect_timeout;
        pool_->connecting.emplace(this, weak_from_this());
        socket_.async_connect(endpoint.value(), [self = shared_from_this()](net_error failed) {
            self->pool_->connecting.erase(self.get());
            if (self->ended_) {
                return;
            }
            if (failed) {
                self->connection_ = connection_end::failed;
                self->end(exchange_result::not_connected);
                return;
            }
            tune_socket(self->socket_, unacknowledged_timeout);
            self->connection_id_ = ++self->pool_->last_connection_id;
            self->send();
        });
    }

    void cancel() override {
        if (!ended_) {
            ended_ = true;
            // Destroyed later, since cancel() may be called from one of these callbacks.
            net::post(*pool_->context, [callbacks = std::move(callbacks_)] {});
            close();
        }
    }

    void resume() override {
        if (!ended_ && paused_) {
            paused_ = false;
            read();
        }
    }

    void expire_connect(time_point at) {
        if (!ended_ && at >= connect_deadline_) {
            end(exchange_result::not_connected);
        }
    }

private:
    message_reader make_reader() const {
        message_reader reader{http_kind::response, max_header_bytes, 0};
        if (request_.head_only) {
            reader.expect_no_body();
        }
        return reader;
    }

    // Closes with a reset. After an orderly close the kernel would keep delivering a cancelled
    // request, which could reach a target that becomes responsive seconds later.
    void close() {
        pool_->connecting.erase(this);
        net_error ignored;
        socket_.set_option(net::socket_base::linger{true, 0}, ignored);
        socket_.close(ignored);
    }

    void end(exchange_result outcome) {
        if (ended_) {
            return;
        }
        ended_ = true;
        if (outcome == exchange_result::complete && reusable()) {
            pool_->idle[request_.address].push_back(
                {connection_id_, std::move(socket_), now(*pool_->clock), idle_limit_});
        } else {
            close();
        }
        auto const notify = std::exchange(callbacks_, {}).on_end;
        if (notify) {
            auto const framing = head_delivered_ ? reader_.framing() : body_framing::none;
            notify({outcome, framing, connection_, sent_bytes_, reused_, connection_id_});
        }
    }

    // After a response that came before the request was sent in full, the target still expects the
    // rest of the body.
    bool reusable() {
        return request_sent() && reader_.keep_alive() && !reader_.ends_with_connection() &&
               !saw_unmatched_ && reader_.take_rest().empty();
    }

    // The result of an exchange whose connection has failed.
    [[nodiscard]] exchange_result failed_result() const {
        if (head_delivered_) {
            return exchange_result::response_failed;
        }
        if (sent_bytes_ == 0) {
            return exchange_result::not_connected;
        }
        return request_sent() ? exchange_result::no_response : exchange_result::send_failed;
    }

    [[nodiscard]] bool request_sent() const { return sent_bytes_ == request_.bytes.size(); }

    void send() {
        write_rest();
        read();
    }

    // Writes in steps, since a composed write does not tell how much it has written before it ends.
    // A response may have arrived before a write failed, so the read decides how the exchange ends.
    void write_rest() {
        socket_.async_write_some(net::buffer(request_.bytes) + sent_bytes_,
                                 [self = shared_from_this()](net_error failed, std::size_t size) {
                                     self->sent_bytes_ += size;
                                     self->write_failed_ = static_cast<bool>(failed);
                                     if (!failed && !self->ended_ && !self->request_sent()) {
                                         self->write_rest();
                                     }
                                 });
    }

    void read() {
        socket_.async_read_some(net::buffer(chunk_),
                                [self = shared_from_this()](net_error failed, std::size_t size) {
                                    if (!self->ended_) {
                                        self->on_read(failed, size);
                                    }
                                });
    }

    void on_read(net_error const& failed, std::size_t size) {
        if (!failed) {
            process_bytes(std::string_view{chunk_.data(), size});
            return;
        }
        // The kernel reports a reset once. After a write that failed with it, reads see the end of
        // an orderly close.
        bool const orderly = failed == net::error::eof && !write_failed_;
        connection_ = orderly ? connection_end::closed : connection_end::failed;
        if (orderly && reader_.head_complete() && reader_.put_eof() == read_fault::none) {
            deliver();
            return;
        }
        end(failed_result());
    }

    void process_bytes(std::string_view bytes) {
        if (reader_.put(bytes) != read_fault::none) {
            // Not a valid HTTP response; the request may have run.
            end(head_delivered_ ? exchange_result::response_failed : exchange_result::no_response);
            return;
        }
        deliver();
    }

    void deliver() {
        if (reader_.head_complete() && !head_delivered_ && !skipping_) {
            auto const& head = reader_.head();
            if (is_joined(head)) {
                end(exchange_result::no_response);
                return;
            }
            idle_limit_ = parse_idle_limit(head.headers);
            skipping_ = head.status < first_final_status || !callbacks_.on_head(head);
            head_delivered_ = !skipping_;
            if (ended_) {
                return;
            }
        }
        auto body = reader_.take_body();
        if (skipping_ && (skipped_bytes_ += body.size()) > max_skipped_bytes) {
            end(exchange_result::no_response);
            return;
        }
        bool keep_reading = true;
        if (!skipping_ && !body.empty() && callbacks_.on_body) {
            auto const self = shared_from_this();
            keep_reading = callbacks_.on_body(std::move(body));
            if (ended_) {
                return;
            }
        }
        if (!reader_.complete()) {
            paused_ = !keep_reading;
            if (keep_reading) {
                read();
            }
            return;
        }
        if (!skipping_) {
            end(exchange_result::complete);
            return;
        }
        skip_response();
    }

    // Skips an interim response or one to an earlier request; the expected one may follow on the
    // same connection.
    void skip_response() {
        if (reader_.head().status >= first_final_status) {
            ++pool_->counters.unmatched_responses;
            saw_unmatched_ = true;
        }
        skipping_ = false;
        if (++skipped_responses_ > max_skipped_responses) {
            end(exchange_result::no_response);
            return;
        }
        // The end of a connection is reported once; a read after it would never complete.
        if (connection_ != connection_end::open) {
            end(failed_result());
            return;
        }
        auto const rest = reader_.take_rest();
        reader_ = make_reader();
        if (rest.empty()) {
            read();
        } else {
            process_bytes(rest);
        }
    }

    std::shared_ptr<target_pool::implementation> pool_;
    target_request request_;
    exchange_callbacks callbacks_;
    tcp::socket socket_;
    message_reader reader_;
    std::array<char, read_bytes> chunk_{};
    time_point connect_deadline_{};
    std::chrono::milliseconds idle_limit_{default_idle_limit};
    unsigned skipped_responses_{0};
    std::size_t skipped_bytes_{0};
    connection_end connection_{connection_end::open};
    std::uint64_t connection_id_{0};
    std::size_t sent_bytes_{0};
    bool reused_{false};
    bool write_failed_{false};
    bool head_delivered_{false};
    bool skipping_{false};
    bool saw_unmatched_{false};
    bool paused_{false};
    bool ended_{false};
};

} // namespace

// Takes the connection that was idle for the shortest time, and drops those that cannot be used
// any more.
std::optional<idle_connection>
target_pool::implementation::take_idle(target_request const& request) {
    auto const found = idle.find(request.address);
    if (request.new_connection || found == idle.end()) {
        return std::nullopt;
    }
    auto const at = now(*clock);
    auto& pooled = found->second;
    auto const& excluded = request.excluded_connections;
    for (auto next = pooled.size(); next > 0; --next) {
        if (std::find(excluded.begin(), excluded.end(), pooled[next - 1].id) != excluded.end()) {
            continue;
        }
        auto entry = std::move(pooled[next - 1]);
        pooled.erase(pooled.begin() + static_cast<std::ptrdiff_t>(next - 1));
        auto const age = at - entry.idle_since;
        if (age < entry.idle_limit && age < request.max_idle && is_quiet(entry.socket)) {
            return entry;
        }
    }
    return std::nullopt;
}

target_pool::target_pool(net::io_context& loop, runtime_clock const& clock)
    : impl_{std::make_shared<implementation>(loop, clock)} {}

target_pool::~target_pool() {
    impl_->idle.clear();
}

std::shared_ptr<target_exchange> target_pool::start(target_request request,
                                                    exchange_callbacks callbacks) {
    auto const started =
        std::make_shared<exchange>(impl_, std::move(request), std::move(callbacks));
    started->begin();
    return started;
}

void target_pool::probe(std::string const& address, std::chrono::milliseconds timeout,
                        std::function<void(target_probe_result)> const& on_end) {
    auto const endpoint = parse_endpoint(address);
    if (!endpoint) {
        net::post(*impl_->context, [on_end] { on_end(target_probe_result::timed_out); });
        return;
    }
    auto const attempt =
        std::make_shared<connect_probe>(*impl_->context, now(*impl_->clock) + timeout);
    impl_->probes.push_back(attempt);
    attempt->socket.async_connect(endpoint.value(), [attempt, address, on_end,
                                                     weak =
                                                         std::weak_ptr{impl_}](net_error failed) {
        auto const impl = weak.lock();
        if (!impl) {
            return;
        }
        if (!failed) {
            tune_socket(attempt->socket, unacknowledged_timeout);
            impl->idle[address].push_back({++impl->last_connection_id, std::move(attempt->socket),
                                           now(*impl->clock), default_idle_limit});
        }
        bool const refused = failed == net::error::connection_refused;
        on_end(!failed   ? target_probe_result::connected
               : refused ? target_probe_result::refused
                         : target_probe_result::timed_out);
    });
}

void target_pool::expire_connections() {
    auto const at = now(*impl_->clock);
    std::erase_if(impl_->probes, [&](std::weak_ptr<connect_probe> const& weak) {
        auto const entry = weak.lock();
        if (entry && at >= entry->deadline) {
            net_error ignored;
            entry->socket.close(ignored); // its handler is called with an error
        }
        return !entry || at >= entry->deadline;
    });
    auto const waiting = impl_->connecting;
    for (auto const& [key, weak] : waiting) {
        if (auto const entry = weak.lock()) {
            entry->expire_connect(at);
        }
    }
    for (auto& [address, pooled] : impl_->idle) {
        std::erase_if(pooled, [&](idle_connection& entry) {
            return at - entry.idle_since >= entry.idle_limit || !is_quiet(entry.socket);
        });
    }
    std::erase_if(impl_->idle, [](auto const& entry) { return entry.second.empty(); });
}

target_pool_counters const& target_pool::counters() const {
    return impl_->counters;
}

} // namespace fireflycrank
