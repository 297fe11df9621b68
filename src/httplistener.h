/// @file
/// HTTP/1.1 server for programs that run one event loop. Unlike the cpprestsdk server (http.h) it
/// detects a caller that disconnects while its request is pending, aborts an incomplete response so
/// that it cannot look complete, and enforces time limits on slow senders.
#pragma once

#include "bodyadmission.h"
#include "clock.h"
#include "error.h"
#include "httpmessage.h"
#include "netio.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace fireflycrank {

/// Limits of a listener; they can be changed while it runs.
struct listener_limits {
    std::size_t header_bytes{16'384};
    std::size_t body_bytes{4'194'304};
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// A request with its whole body.
struct incoming_request {
    message_head head;
    std::string body;
    std::string remote_ip;      ///< the caller's IP address without the port
    time_point first_byte_at{}; ///< when the first byte of the request arrived
    bool declares_body{
        false}; ///< has a Content-Length or Transfer-Encoding field, even for an empty body
};

/// Writes the response to one request: either send(), or start(), any number of write(), then
/// finish() or abort(). Calls after the end of the response have no effect.
class response_writer {
public:
    response_writer() = default;
    response_writer(response_writer const&) = delete;
    response_writer& operator=(response_writer const&) = delete;
    virtual ~response_writer() = default;

    /// Sends a complete response.
    virtual void send(unsigned status, header_list headers, std::string body) = 0;
    /// Starts a response with chunked transfer encoding.
    virtual void start(unsigned status, std::string_view reason, header_list headers) = 0;
    /// Adds bytes to the body of a started response.
    virtual void write(std::string_view bytes) = 0;
    /// Ends a started response as complete.
    virtual void finish() = 0;
    /// Closes the connection without the last chunk, so that the caller sees a started response as
    /// incomplete.
    virtual void abort() = 0;
    /// Bytes that have not been written to the socket yet.
    [[nodiscard]] virtual std::size_t unsent_bytes() const = 0;
    /// Sets how many bytes the handler holds for this request besides the body and its copy.
    /// @return false if the process has no room for them; then nothing is counted
    virtual bool hold(std::size_t bytes) = 0;
    /// Sets the handler called once if the connection closes before the response ends.
    virtual void on_disconnect(std::function<void()> handler) = 0;
    /// Sets the handler called each time all queued bytes have been written to the socket.
    virtual void on_flushed(std::function<void()> handler) = 0;
};

using request_handler =
    std::function<void(incoming_request request, std::shared_ptr<response_writer> writer)>;

/// A listening socket and its connections; the destructor closes them.
class http_listener {
public:
    /// Starts to listen.
    /// @param address "ip:port" to bind
    /// @param handler called from the event loop for each request
    /// @param admission the process's account; null: nothing is limited
    /// @return the listener; `unavailable` if the address cannot be bound
    static result<std::shared_ptr<http_listener>>
    open(net::io_context& loop, std::string const& address, runtime_clock const& clock,
         request_handler handler, std::shared_ptr<body_admission> admission = nullptr);

    http_listener(http_listener const&) = delete;
    http_listener& operator=(http_listener const&) = delete;
    ~http_listener();

    /// Sets the limits. The size limits apply from each connection's next request on, the timeouts
    /// at once.
    void set_limits(listener_limits const& limits);
    /// From now on sends "Connection: close" with each response and closes the connection after it.
    void close_after_responses();
    /// Stops accepting connections; open ones go on.
    void stop_accepting();
    /// Closes connections that have waited for a request for a time since their callers
    /// acknowledged the last response. From now on enforce_timeouts() does so too.
    /// @param waited zero closes each connection that waits
    void close_idle(duration waited);
    /// Ends connections that exceeded a time limit; to be called about every 100 ms.
    void enforce_timeouts();
    /// Number of connections on which a request is being received or answered, or a response is not
    /// written and acknowledged yet; after close_idle() also those that wait for a request and are
    /// not closed yet.
    [[nodiscard]] std::size_t active_connections() const;

    struct implementation;

private:
    explicit http_listener(std::shared_ptr<implementation> impl);
    std::shared_ptr<implementation> impl_;
};

/// Sends a response with a JSON body.
/// @param json the serialized body
void send_json(response_writer& writer, unsigned status, std::string json);

} // namespace fireflycrank
