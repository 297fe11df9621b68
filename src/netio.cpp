#include "netio.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstdint>

namespace fireflycrank {

namespace {

constexpr int keepalive_probes = 2; // one lost probe must not end a connection

// The options only shorten the time until a dead peer is noticed; a kernel that refuses one leaves
// the connection usable.
void set_option(tcp::socket& socket, int level, int name, int value) {
    (void)::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

// An IoControlCommand of Asio.
struct count_unacknowledged {
    int bytes{0};
    [[nodiscard]] static int name() { return SIOCOUTQ; }
    void* data() { return &bytes; }
};

} // namespace

result<tcp::endpoint> parse_endpoint(std::string const& address) {
    auto const colon = address.rfind(':');
    net_error failed;
    auto const ip = net::ip::make_address_v4(ip_of(address), failed);
    std::uint16_t port = 0;
    bool whole = false;
    if (colon != std::string::npos) {
        char const* const end = address.data() + address.size();
        auto const parsed = std::from_chars(address.data() + colon + 1, end, port);
        whole = parsed.ec == std::errc{} && parsed.ptr == end;
    }
    if (failed || !whole) {
        return fail(error_kind::invalid_settings, "'" + address + "' is no address",
                    "write it as IPv4:PORT");
    }
    return tcp::endpoint{ip, port};
}

std::string text_of(tcp::endpoint const& at) {
    return at.address().to_string() + ":" + std::to_string(at.port());
}

std::string ip_of(std::string const& address) {
    return address.substr(0, address.rfind(':'));
}

void tune_socket(tcp::socket& socket, std::chrono::milliseconds silent) {
    int const millis = static_cast<int>(silent.count());
    int const probe_seconds = std::max(1, millis / 1000 / keepalive_probes);
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, probe_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, millis);
}

bool is_quiet(tcp::socket& socket) {
    char byte = 0;
    auto const got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::size_t unacknowledged_bytes(tcp::socket& socket) {
    count_unacknowledged command;
    net_error failed;
    socket.io_control(command, failed);
    return failed ? 0 : static_cast<std::size_t>(std::max(0, command.bytes));
}

} // namespace fireflycrank
