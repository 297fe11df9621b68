/// @file
/// Boost.Asio for the programs that run one event loop. Only the network modules include it.
#pragma once

// Boost 1.74's Asio needs <utility> to be included before it under C++20.
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "error.h"

#include <chrono>
#include <string>

namespace fireflycrank {

namespace net = boost::asio;
using tcp = boost::asio::ip::tcp;
using udp = boost::asio::ip::udp;
using net_error = boost::system::error_code;

/// Parses "ip:port".
/// @param address an IPv4 address and a port
/// @return the endpoint; `invalid_settings` if it is malformed
result<tcp::endpoint> parse_endpoint(std::string const& address);

/// Writes an endpoint as "ip:port".
/// @param at the endpoint
/// @return the text
std::string text_of(tcp::endpoint const& at);

/// The IP part of "ip:port".
/// @param address the address
/// @return the text before the last colon; the whole text without one
std::string ip_of(std::string const& address);

/// Sets what every connection of ours needs: no delay of small writes, and a bounded time after
/// which a silent peer is noticed.
/// @param socket a connected socket
/// @param silent after this long without an acknowledgement the connection fails
void tune_socket(tcp::socket& socket, std::chrono::milliseconds silent);

/// Tells whether a kept connection is still usable: open, and nothing waits to be read on it.
/// @param socket an idle connection
/// @return false when the peer closed it or sent bytes that no request asked for
bool is_quiet(tcp::socket& socket);

/// Bytes that the kernel has taken and the peer has not acknowledged. They are lost if the
/// connection is reset, which a close does when the peer has sent bytes that are not read, or sends
/// more.
/// @param socket a connected socket
/// @return their number; 0 if the kernel does not tell it
std::size_t unacknowledged_bytes(tcp::socket& socket);

} // namespace fireflycrank
