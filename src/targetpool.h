/// @file
/// HTTP requests to targets over pooled connections. A failed exchange states how far it got, so
/// that the gateway can decide whether a retry could run the request twice.
#pragma once

#include "clock.h"
#include "httpmessage.h"
#include "netio.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fireflycrank {

/// Outcome of an exchange.
enum class exchange_result : std::uint8_t {
    complete,
    not_connected,  ///< no connection, or one that took no byte: nothing was sent
    send_failed,    ///< failed after the connection had taken a part of the request
    no_response,    ///< failed after it had taken the whole request, before a response head
    response_failed ///< the response ended early or was not valid HTTP
};

/// State of the connection when an exchange ended.
enum class connection_end : std::uint8_t {
    open,
    closed, ///< the target closed it in an orderly way
    failed  ///< reset, timed out, or never opened
};

/// How an exchange ended.
struct exchange_end {
    exchange_result result{exchange_result::not_connected};
    body_framing framing{body_framing::none}; ///< of the response; `none` before its head
    connection_end connection{connection_end::open};
    std::size_t sent_bytes{0};      ///< of the request, taken by the connection
    bool reused{false};             ///< the connection had served an earlier exchange
    std::uint64_t connection_id{0}; ///< unique in the pool; 0 without a connection
};

/// A request to a target.
struct target_request {
    std::string address;
    std::string bytes; ///< the whole encoded request
    bool head_only{false};
    std::chrono::milliseconds connect_timeout{0};
    /// A pooled connection that was idle for longer is not reused: the target may be closing it,
    /// and whether a request sent at that moment ran would be unknown.
    std::chrono::milliseconds max_idle{0};
    /// Ids of pooled connections that are not used for this request.
    std::vector<std::uint64_t> excluded_connections{};
    bool new_connection{false}; ///< use none of the pooled connections
};

/// Callbacks of an exchange.
struct exchange_callbacks {
    /// Called with the head of a response. Returning false skips the response as one to another
    /// request.
    std::function<bool(message_head const&)> on_head;
    /// Called with bytes of the body. Returning false pauses reading until resume().
    std::function<bool(std::string)> on_body;
    /// Called once, after all other callbacks.
    std::function<void(exchange_end const&)> on_end;
};

/// Result of target_pool::probe().
enum class target_probe_result : std::uint8_t {
    connected, ///< the target is running
    refused,   ///< nothing listens on the port: the target's process has ended
    timed_out  ///< no connection within the time limit, or another error
};

/// A request and its response in progress.
class target_exchange {
public:
    target_exchange() = default;
    target_exchange(target_exchange const&) = delete;
    target_exchange& operator=(target_exchange const&) = delete;
    virtual ~target_exchange() = default;
    /// Aborts the exchange: the connection is reset and no callback follows.
    virtual void cancel() = 0;
    /// Resumes reading after on_body returned false.
    virtual void resume() = 0;
};

struct target_pool_counters {
    std::uint64_t opened{0};
    std::uint64_t reused{0};
    std::uint64_t unmatched_responses{0}; ///< skipped responses to other requests
};

/// Pool of connections to targets, by address.
class target_pool {
public:
    target_pool(net::io_context& loop, runtime_clock const& clock);
    target_pool(target_pool const&) = delete;
    target_pool& operator=(target_pool const&) = delete;
    ~target_pool();

    /// Starts an exchange. Callbacks run from the event loop, never inside this function.
    std::shared_ptr<target_exchange> start(target_request request, exchange_callbacks callbacks);

    /// Connects to a target to see whether it is still running. The connection is kept for a later
    /// exchange.
    /// @param address "ip:port"
    /// @param timeout how long to wait for the connection
    /// @param on_end called once, from the event loop
    void probe(std::string const& address, std::chrono::milliseconds timeout,
               std::function<void(target_probe_result)> const& on_end);

    /// Ends connection attempts that exceeded their time limit and closes expired idle connections;
    /// to be called about every 100 ms.
    void expire_connections();

    [[nodiscard]] target_pool_counters const& counters() const;

    struct implementation;

private:
    std::shared_ptr<implementation> impl_;
};

} // namespace fireflycrank
