/// @file
/// HTTP/1.1 server for programs that run one event loop. Unlike the server over cpprestsdk (http.h)
/// it notices a caller that leaves while its request is pending, ends a broken answer so that it
/// cannot look complete, and enforces limits on slow senders.
#pragma once

#include "clock.h"
#include "error.h"
#include "httpmessage.h"
#include "netio.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace fireflycrank {

/// Limits of a listener; may change while it runs.
struct listener_limits {
    std::size_t header_bytes{16'384};
    std::size_t body_bytes{4'194'304};
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// A request as it arrived, with its whole body.
struct incoming_request {
    message_head head;
    std::string body;
    std::string remote_ip;      ///< IP address of the caller
    time_point first_byte_at{}; ///< when its first byte arrived
    bool declares_body{false};  ///< it announced a body, even an empty one
};

/// The answer to one request: either send(), or start(), any number of write() and finish() or
/// abort().
class response_writer {
public:
    response_writer() = default;
    response_writer(response_writer const&) = delete;
    response_writer& operator=(response_writer const&) = delete;
    virtual ~response_writer() = default;

    /// Sends a whole answer.
    virtual void send(unsigned status, header_list headers, std::string body) = 0;
    /// Starts an answer in chunks.
    virtual void start(unsigned status, std::string_view reason, header_list headers) = 0;
    /// Adds bytes to a started answer.
    virtual void write(std::string_view bytes) = 0;
    /// Ends a started answer as complete.
    virtual void finish() = 0;
    /// Ends the connection; a started answer is then visibly incomplete.
    virtual void abort() = 0;
    /// Bytes that the caller has not taken yet.
    [[nodiscard]] virtual std::size_t unsent_bytes() const = 0;
    /// Sets what is called once when the caller leaves before the answer is complete.
    virtual void on_disconnect(std::function<void()> handler) = 0;
    /// Sets what is called whenever the backlog becomes empty.
    virtual void on_flushed(std::function<void()> handler) = 0;
};

using request_handler =
    std::function<void(incoming_request request, std::shared_ptr<response_writer> writer)>;

/// A listening address with its connections; closed by its destructor.
class http_listener {
public:
    /// Listens.
    /// @param loop the process's event loop
    /// @param address "ip:port"
    /// @param clock the runtime's clock
    /// @param handler called for each request
    /// @return the listener; `unavailable` if the address cannot be bound
    static result<std::shared_ptr<http_listener>> open(net::io_context& loop,
                                                       std::string const& address,
                                                       runtime_clock const& clock,
                                                       request_handler handler);

    http_listener(http_listener const&) = delete;
    http_listener& operator=(http_listener const&) = delete;
    ~http_listener();

    /// Sets the limits for the requests that follow.
    void set_limits(listener_limits const& limits);
    /// Announces the close of connections with every further answer.
    void close_after_responses();
    /// Takes no new connections.
    void stop_accepting();
    /// Closes connections on which no request is pending.
    void close_idle();
    /// Closes connections that exceeded a time limit; call it every 100 ms or so.
    void enforce_timeouts();
    /// Connections on which a request is being read or answered.
    [[nodiscard]] std::size_t active_connections() const;

    struct implementation;

private:
    explicit http_listener(std::shared_ptr<implementation> parts);
    std::shared_ptr<implementation> parts_;
};

/// Answers with a JSON body.
/// @param writer the request's writer
/// @param status the status
/// @param json the body
void send_json(response_writer& writer, unsigned status, std::string json);

} // namespace fireflycrank
