/// @file
/// HTTP server and client over cpprestsdk, behind plain types so that no other file includes it.
#pragma once

#include "clock.h"
#include "error.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fireflycrank {

/// Header names are kept in lower case.
using http_headers = std::map<std::string, std::string>;

/// A request as it arrived, with its whole body.
struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    http_headers headers;
    std::string remote_address; ///< IP address of the caller
    std::string body;
};

/// The answer to one request; exactly one of send and start is called, once.
class http_response {
public:
    http_response() = default;
    http_response(http_response const&) = delete;
    http_response& operator=(http_response const&) = delete;
    virtual ~http_response() = default;

    /// Sends a whole answer.
    /// @param status HTTP status
    /// @param headers headers to add; "content-type" sets the type
    /// @param body the body
    virtual void send(int status, http_headers const& headers, std::string body) = 0;

    /// Starts a streamed answer (chunked transfer coding).
    /// @param status HTTP status
    /// @param headers headers to add
    virtual void start(int status, http_headers const& headers) = 0;

    /// Adds bytes to a streamed answer.
    /// @param bytes the bytes
    /// @return false once the caller is gone
    virtual bool write(std::string const& bytes) = 0;

    /// Ends a streamed answer; the caller sees a complete body.
    virtual void finish() = 0;

    /// Breaks a streamed answer off; the caller sees an incomplete body.
    virtual void abort() = 0;

    /// Whether the connection is known to be lost.
    virtual bool caller_gone() const = 0;
};

/// Handles a request; may keep the response and answer later from any thread.
using http_handler = std::function<void(http_request, std::shared_ptr<http_response>)>;

/// A running HTTP server; stopped by its destructor.
class http_server {
public:
    /// Starts a server.
    /// @param address "ip:port"
    /// @param max_body_bytes larger bodies are refused with status 413 before they are read
    /// @param handler called for each request with a readable body
    /// @return the server; unavailable if the address cannot be bound
    static result<std::shared_ptr<http_server>>
    open(std::string const& address, std::size_t max_body_bytes, http_handler handler);

    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;
    ~http_server();

    /// Waits until the answers that were sent or finished are written, 10 s at most, then closes
    /// all connections. Not for use on HTTP threads.
    void close();

private:
    struct implementation;
    explicit http_server(std::unique_ptr<implementation> parts);
    std::unique_ptr<implementation> parts_;
};

/// Receives the answer to a client request. Called on HTTP threads, never at the same time.
struct http_receiver {
    std::function<void(int status, http_headers const& headers)> on_start;
    std::function<void(std::string bytes)> on_bytes;
    /// Called once, last. A success means that the whole body arrived.
    std::function<void(result<void> outcome)> on_end;
};

/// A client call in progress.
class http_call {
public:
    http_call() = default;
    http_call(http_call const&) = delete;
    http_call& operator=(http_call const&) = delete;
    virtual ~http_call() = default;

    /// Closes the connection; on_end follows with an error.
    virtual void cancel() = 0;
};

/// What a client sends.
struct http_client_request {
    std::string method{"GET"};
    std::string address; ///< "ip:port"
    std::string path;
    http_headers headers;
    std::string body;
    duration timeout{std::chrono::seconds{30}}; ///< for each wait on the peer
};

/// Starts a request.
/// @param request what to send
/// @param receiver receives the answer
/// @return a handle that can cancel the call
std::shared_ptr<http_call> start_http_call(http_client_request const& request,
                                           http_receiver receiver);

/// A whole answer.
struct http_answer {
    int status{0};
    http_headers headers;
    std::string body;
};

/// Sends a request and waits for the whole answer. Not for use on HTTP threads.
/// @param request what to send
/// @return the answer; unavailable if the connection failed or broke
result<http_answer> call_http(http_client_request const& request);

/// Sizes the HTTP thread pool. Call before any other function of this file.
/// @param threads number of threads
void start_http_threads(unsigned threads);

} // namespace fireflycrank
