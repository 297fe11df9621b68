/// @file
/// Calls to targets over kept connections. Each call tells how far it got when it fails, so that
/// the caller's decision about a repeat rests on what the target can have read.
#pragma once

#include "clock.h"
#include "httpmessage.h"
#include "netio.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fireflycrank {

/// How a call to a target ended.
enum class exchange_result : std::uint8_t {
    complete,
    not_connected,  ///< nothing was sent
    send_failed,    ///< failed before the last byte had been handed to the connection
    no_response,    ///< failed after that, before an answer began
    response_failed ///< the answer ended early or was no HTTP
};

/// A request to a target.
struct target_request {
    std::string address;
    std::string bytes; ///< the whole request
    bool head_only{false};
    std::chrono::milliseconds connect_timeout{0};
    /// A kept connection that was idle for longer is not used: the target may be closing it, and a
    /// request sent into the close may or may not have run.
    std::chrono::milliseconds max_idle{0};
};

/// What is called as the answer arrives.
struct exchange_callbacks {
    /// The head of an answer. Returning false skips that answer as one to another request.
    std::function<bool(message_head const&)> on_head;
    /// Body bytes. Not called again until resume() when it returns false.
    std::function<bool(std::string)> on_body;
    /// Called once, last.
    std::function<void(exchange_result)> on_end;
};

/// What a new connection to a target met.
enum class target_probe_result : std::uint8_t {
    connected, ///< the target runs
    refused,   ///< nothing listens there: its process has ended
    timed_out  ///< no answer in time
};

/// A call in progress.
class target_exchange {
public:
    target_exchange() = default;
    target_exchange(target_exchange const&) = delete;
    target_exchange& operator=(target_exchange const&) = delete;
    virtual ~target_exchange() = default;
    /// Gives the call up; the connection is closed and no event follows.
    virtual void cancel() = 0;
    /// Goes on reading after on_body returned false.
    virtual void resume() = 0;
};

struct target_pool_counters {
    std::uint64_t opened{0};
    std::uint64_t reused{0};
    std::uint64_t unmatched_responses{0}; ///< answers to another request, skipped
};

/// Connections to targets by address.
class target_pool {
public:
    /// @param loop the process's event loop
    /// @param clock the runtime's clock
    target_pool(net::io_context& loop, runtime_clock const& clock);
    target_pool(target_pool const&) = delete;
    target_pool& operator=(target_pool const&) = delete;
    ~target_pool();

    /// Starts a call. Events come from the event loop, never from inside this function.
    std::shared_ptr<target_exchange> start(target_request request, exchange_callbacks events);

    /// Connects to a target to see whether it still runs; the connection is kept for a later call.
    /// @param address the target
    /// @param limit how long to wait
    /// @param on_end called once, from the event loop
    void probe(std::string const& address, std::chrono::milliseconds limit,
               std::function<void(target_probe_result)> const& on_end);

    /// Ends connection attempts that take too long and closes idle connections; call it every
    /// 100 ms or so.
    void expire_connections();

    [[nodiscard]] target_pool_counters const& counters() const;

    struct implementation;

private:
    std::shared_ptr<implementation> parts_;
};

} // namespace fireflycrank
