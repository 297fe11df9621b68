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
// Without a stated limit of the target, a connection idle for this long is closed.
constexpr std::chrono::milliseconds default_idle_limit{4'000};
// Part of the target's stated limit that is used: its clock and ours start at different moments.
constexpr int idle_limit_divisor = 2;
constexpr std::chrono::milliseconds silent_target_limit{3'000};
constexpr unsigned first_final_status = 200;
// Interim answers and answers to other requests that may come before the awaited one, and the bytes
// of their bodies. A target that sends more is taken for one that never answers.
constexpr unsigned max_skipped_answers = 8;
constexpr std::size_t max_skipped_bytes = 1U << 20U;

struct kept_connection {
    tcp::socket socket;
    time_point idle_since;
    std::chrono::milliseconds idle_limit;
};

std::chrono::milliseconds stated_idle_limit(header_list const& headers) {
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

class exchange;

// A connection attempt of target_pool::check().
struct running_check {
    running_check(net::io_context& context, time_point until)
        : socket{context}, give_up_at{until} {}
    tcp::socket socket;
    time_point give_up_at;
};

} // namespace

struct target_pool::implementation : std::enable_shared_from_this<implementation> {
    implementation(net::io_context& loop, runtime_clock const& runtime)
        : context{&loop}, clock{&runtime} {}
    net::io_context* context;
    runtime_clock const* clock;
    std::map<std::string, std::vector<kept_connection>> idle;
    std::map<exchange*, std::weak_ptr<exchange>> connecting;
    std::vector<std::weak_ptr<running_check>> checks;
    target_pool_counters counters;

    std::optional<tcp::socket> take_idle(std::string const& address,
                                         std::chrono::milliseconds max_idle);
};

namespace {

class exchange : public target_exchange, public std::enable_shared_from_this<exchange> {
public:
    exchange(std::shared_ptr<target_pool::implementation> pool, target_request request,
             exchange_callbacks events)
        : pool_{std::move(pool)}
        , request_{std::move(request)}
        , events_{std::move(events)}
        , socket_{*pool_->context}
        , reader_{make_reader()} {}

    void begin() {
        if (auto kept = pool_->take_idle(request_.address, request_.max_idle)) {
            ++pool_->counters.reused;
            socket_ = std::move(*kept);
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
        connect_by_ = now(*pool_->clock) + request_.connect_timeout;
        pool_->connecting.emplace(this, weak_from_this());
        socket_.async_connect(endpoint.value(), [self = shared_from_this()](net_error failed) {
            self->pool_->connecting.erase(self.get());
            if (self->ended_) {
                return;
            }
            if (failed) {
                self->end(exchange_result::not_connected);
                return;
            }
            tune_socket(self->socket_, silent_target_limit);
            self->send();
        });
    }

    void cancel() override {
        if (!ended_) {
            ended_ = true;
            // Destroyed later: one of these handlers may be what calls this.
            net::post(*pool_->context, [events = std::move(events_)] {});
            close();
        }
    }

    void resume() override {
        if (!ended_ && paused_) {
            paused_ = false;
            read();
        }
    }

    void check_connect(time_point at) {
        if (!ended_ && at >= connect_by_) {
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

    // With a reset: after an orderly close the kernel would go on delivering a request that is
    // given up, to a target that comes back seconds later.
    void close() {
        pool_->connecting.erase(this);
        net_error ignored;
        socket_.set_option(net::socket_base::linger{true, 0}, ignored);
        socket_.close(ignored);
    }

    void end(exchange_result how) {
        if (ended_) {
            return;
        }
        ended_ = true;
        if (how == exchange_result::complete && reusable()) {
            pool_->idle[request_.address].push_back(
                {std::move(socket_), now(*pool_->clock), idle_limit_});
        } else {
            close();
        }
        auto const notify = std::exchange(events_, {}).on_end;
        if (notify) {
            notify(how);
        }
    }

    // After an early answer the target still expects the rest of the request's body.
    bool reusable() {
        return sent_ && reader_.keep_alive() && !reader_.ends_with_connection() && !stray_ &&
               reader_.take_rest().empty();
    }

    void send() {
        net::async_write(socket_, net::buffer(request_.bytes),
                         [self = shared_from_this()](net_error failed, std::size_t /*size*/) {
                             self->sent_ = !failed;
                         });
        read();
    }

    // A failed write may come with an answer that arrived before; the read decides.
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
            take(std::string_view{chunk_.data(), size});
            return;
        }
        if (failed == net::error::eof && reader_.head_complete() &&
            reader_.put_eof() == read_fault::none) {
            deliver();
            return;
        }
        if (head_seen_) {
            end(exchange_result::response_failed);
        } else {
            end(sent_ ? exchange_result::no_response : exchange_result::send_failed);
        }
    }

    void take(std::string_view bytes) {
        if (reader_.put(bytes) != read_fault::none) {
            // Bytes that are no answer: whether the request ran is open.
            end(head_seen_ ? exchange_result::response_failed : exchange_result::no_response);
            return;
        }
        deliver();
    }

    void deliver() {
        if (reader_.head_complete() && !head_seen_ && !skipping_) {
            auto const& head = reader_.head();
            idle_limit_ = stated_idle_limit(head.headers);
            skipping_ = head.status < first_final_status || !events_.on_head(head);
            head_seen_ = !skipping_;
            if (ended_) {
                return;
            }
        }
        auto body = reader_.take_body();
        if (skipping_ && (skipped_bytes_ += body.size()) > max_skipped_bytes) {
            end(exchange_result::no_response);
            return;
        }
        bool go_on = true;
        if (!skipping_ && !body.empty() && events_.on_body) {
            auto const self = shared_from_this();
            go_on = events_.on_body(std::move(body));
            if (ended_) {
                return;
            }
        }
        if (!reader_.complete()) {
            paused_ = !go_on;
            if (go_on) {
                read();
            }
            return;
        }
        if (!skipping_) {
            end(exchange_result::complete);
            return;
        }
        skip_answer();
    }

    // An interim answer, or one to an earlier request; ours may follow on the same connection.
    void skip_answer() {
        if (reader_.head().status >= first_final_status) {
            ++pool_->counters.unmatched_responses;
            stray_ = true;
        }
        skipping_ = false;
        if (++skipped_answers_ > max_skipped_answers) {
            end(exchange_result::no_response);
            return;
        }
        auto const rest = reader_.take_rest();
        reader_ = make_reader();
        if (rest.empty()) {
            read();
        } else {
            take(rest);
        }
    }

    std::shared_ptr<target_pool::implementation> pool_;
    target_request request_;
    exchange_callbacks events_;
    tcp::socket socket_;
    message_reader reader_;
    std::array<char, read_bytes> chunk_{};
    time_point connect_by_{};
    std::chrono::milliseconds idle_limit_{default_idle_limit};
    unsigned skipped_answers_{0};
    std::size_t skipped_bytes_{0};
    bool sent_{false};
    bool head_seen_{false};
    bool skipping_{false};
    bool stray_{false};
    bool paused_{false};
    bool ended_{false};
};

} // namespace

std::optional<tcp::socket>
target_pool::implementation::take_idle(std::string const& address,
                                       std::chrono::milliseconds max_idle) {
    auto const found = idle.find(address);
    if (found == idle.end()) {
        return std::nullopt;
    }
    auto const at = now(*clock);
    auto& kept = found->second;
    while (!kept.empty()) {
        auto one = std::move(kept.back());
        kept.pop_back();
        auto const age = at - one.idle_since;
        if (age < one.idle_limit && age < max_idle && is_quiet(one.socket)) {
            return std::move(one.socket);
        }
    }
    return std::nullopt;
}

target_pool::target_pool(net::io_context& loop, runtime_clock const& clock)
    : parts_{std::make_shared<implementation>(loop, clock)} {}

target_pool::~target_pool() {
    parts_->idle.clear();
}

std::shared_ptr<target_exchange> target_pool::start(target_request request,
                                                    exchange_callbacks events) {
    auto const made = std::make_shared<exchange>(parts_, std::move(request), std::move(events));
    made->begin();
    return made;
}

void target_pool::probe(std::string const& address, std::chrono::milliseconds limit,
                        std::function<void(target_probe_result)> const& on_end) {
    auto const endpoint = parse_endpoint(address);
    if (!endpoint) {
        net::post(*parts_->context, [on_end] { on_end(target_probe_result::timed_out); });
        return;
    }
    auto const one = std::make_shared<running_check>(*parts_->context, now(*parts_->clock) + limit);
    parts_->checks.push_back(one);
    one->socket.async_connect(
        endpoint.value(), [one, address, on_end, weak = std::weak_ptr{parts_}](net_error failed) {
            auto const parts = weak.lock();
            if (!parts) {
                return;
            }
            if (!failed) {
                tune_socket(one->socket, silent_target_limit);
                parts->idle[address].push_back(
                    {std::move(one->socket), now(*parts->clock), default_idle_limit});
            }
            bool const refused = failed == net::error::connection_refused;
            on_end(!failed   ? target_probe_result::connected
                   : refused ? target_probe_result::refused
                             : target_probe_result::timed_out);
        });
}

void target_pool::expire_connections() {
    auto const at = now(*parts_->clock);
    std::erase_if(parts_->checks, [&](std::weak_ptr<running_check> const& weak) {
        auto const one = weak.lock();
        if (one && at >= one->give_up_at) {
            net_error ignored;
            one->socket.close(ignored); // its handler is called with an error
        }
        return !one || at >= one->give_up_at;
    });
    auto const waiting = parts_->connecting;
    for (auto const& [key, weak] : waiting) {
        if (auto const one = weak.lock()) {
            one->check_connect(at);
        }
    }
    for (auto& [address, kept] : parts_->idle) {
        std::erase_if(kept, [&](kept_connection& one) {
            return at - one.idle_since >= one.idle_limit || !is_quiet(one.socket);
        });
    }
    std::erase_if(parts_->idle, [](auto const& entry) { return entry.second.empty(); });
}

target_pool_counters const& target_pool::counters() const {
    return parts_->counters;
}

} // namespace fireflycrank
