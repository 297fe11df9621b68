// Tests of targets that send endless bytes: in a head, between chunks, in a body, in an event. Each
// must use bounded memory and never result in a response.
#include "eventloop.h"
#include "eventsplit.h"
#include "httpmessage.h"
#include "rng.h"
#include "targetpool.h"

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace fireflycrank {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t piece_bytes = 4'096;
constexpr std::size_t max_bytes = 8U << 20U;
constexpr std::size_t max_header_bytes = 64U << 10U;

// Feeds `start` and then `piece` repeatedly to a reader. Returns the number of bytes until the
// reader reports a fault, or nothing if it never does.
std::optional<std::size_t> bytes_until_fault(std::string const& start, std::string const& piece) {
    message_reader reader{http_kind::response, max_header_bytes, 0};
    if (reader.put(start) != read_fault::none) {
        return start.size();
    }
    for (std::size_t taken = start.size(); taken < max_bytes; taken += piece.size()) {
        if (reader.put(piece) != read_fault::none) {
            return taken;
        }
        CHECK_FALSE(reader.complete());
        reader.take_body();
    }
    return std::nullopt;
}

std::string const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// A target that sends `start` on its first connection and then `piece` repeatedly until the
// connection is closed.
struct endless_target {
    endless_target(event_loop& loop, std::string first_bytes, std::string repeated_piece)
        : acceptor{loop.context, tcp::endpoint{net::ip::address_v4::loopback(), 0}}
        , socket{loop.context}
        , start{std::move(first_bytes)}
        , piece{std::move(repeated_piece)} {
        auto const endpoint = acceptor.local_endpoint();
        address = "127.0.0.1:" + std::to_string(endpoint.port());
        acceptor.async_accept(socket, [this](net_error failed) {
            if (!failed) {
                write(start);
            }
        });
    }

    void write(std::string const& bytes) {
        net::async_write(socket, net::buffer(bytes), [this](net_error failed, std::size_t size) {
            sent += size;
            closed = static_cast<bool>(failed);
            if (!failed && sent < max_bytes) {
                write(piece);
            }
        });
    }

    tcp::acceptor acceptor;
    tcp::socket socket;
    std::string start;
    std::string piece;
    std::string address;
    std::size_t sent{0};
    bool closed{false};
};

struct endless_outcome {
    std::optional<exchange_result> end;
    std::size_t sent{0};
    bool closed{false};
    unsigned heads{0};
};

// Calls an endless target. Responses with another status than 200 count as responses to other
// requests.
endless_outcome call_endless(std::string const& start, std::string const& piece) {
    event_loop loop;
    endless_target target{loop, start, piece};
    target_pool pool{loop.context, loop.clock};
    endless_outcome outcome;
    exchange_callbacks events;
    events.on_head = [&](message_head const& head) {
        ++outcome.heads;
        return head.status == 200;
    };
    events.on_body = [](std::string const&) { return true; };
    events.on_end = [&](exchange_end const& end) { outcome.end = end.result; };
    auto const call = pool.start({target.address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", false,
                                  milliseconds{2'000}, milliseconds{2'000}},
                                 std::move(events));
    constexpr int rounds = 5'000;
    auto const done = [&] { return (outcome.end && target.closed) || target.sent >= max_bytes; };
    for (int round = 0; round < rounds && !done(); ++round) {
        loop.context.restart();
        loop.context.run_for(milliseconds{2});
    }
    outcome.sent = target.sent;
    outcome.closed = target.closed;
    return outcome;
}

} // namespace

TEST_CASE("endless heads and framing are refused after a bounded number of bytes") {
    std::string const long_text(piece_bytes, 'a');
    struct {
        std::string name;
        std::string start;
        std::string piece;
    } const cases[]{
        {"status line", "HTTP/1.1 200 ", long_text},
        {"header line", "HTTP/1.1 200 OK\r\nX: ", long_text},
        {"list of headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
        {"chunk size", chunked, std::string(piece_bytes, '0')},
        {"chunk extension", chunked + "5;a=", long_text},
        {"second chunk's extension", chunked + "1\r\nx\r\n5;a=", long_text},
        {"trailer", chunked + "0\r\nX: ", long_text},
        {"list of trailers", chunked + "0\r\n", "X: y\r\n"},
        {"no protocol", "", long_text},
    };
    for (auto const& test : cases) {
        CAPTURE(test.name);
        auto const taken = bytes_until_fault(test.start, test.piece);
        REQUIRE(taken);
        CHECK(*taken <= max_header_bytes + 2 * piece_bytes);
    }
}

TEST_CASE("endless interim responses and responses to other requests end the call") {
    struct {
        std::string name;
        std::string start;
        std::string piece;
    } const cases[]{
        {"interim answers", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"answers to others", "HTTP/1.1 404 X\r\nContent-Length: 1\r\n\r\nx",
         "HTTP/1.1 404 X\r\nContent-Length: 1\r\n\r\nx"},
        {"a body of another answer", "HTTP/1.1 404 X\r\nContent-Length: 99999999999\r\n\r\n",
         std::string(piece_bytes, 'x')},
        {"no answer", "", std::string(piece_bytes, 'x')},
    };
    for (auto const& test : cases) {
        CAPTURE(test.name);
        auto const outcome = call_endless(test.start, test.piece);
        CHECK(outcome.end == exchange_result::no_response);
        CHECK(outcome.closed);
        CHECK(outcome.sent < max_bytes);
        CHECK(outcome.heads <= 9);
    }
}

// Regression: searching a partial event from its start for each piece took 409 ms of processor time
// for an event of 8 MB.
TEST_CASE("an endless event is detected, and its bytes are searched only once") {
    event_splitter splitter;
    std::string const piece(piece_bytes, 'x');
    std::size_t fed = 0;
    while (!exceeds_limits(splitter) && fed < max_bytes) {
        CHECK(split_events(splitter, piece).empty());
        CHECK(splitter.scanned_bytes + 1 >= splitter.partial.size());
        fed += piece.size();
    }
    CHECK(exceeds_limits(splitter));
    CHECK(fed <= (256U << 10U) + 2 * piece_bytes);
    discard_partial(splitter);
    CHECK_FALSE(exceeds_limits(splitter));
    CHECK(split_events(splitter, "id: 1\ndata: a\n\n") == "id: 1\ndata: a\n\n");
}

TEST_CASE("an endless repetition of events that the caller has is detected") {
    event_splitter splitter;
    split_events(splitter, "id: 5\ndata: a\n\n");
    std::size_t fed = 0;
    std::string const repeated_event = "id: 5\ndata: " + std::string(piece_bytes, 'x') + "\n\n";
    while (!exceeds_limits(splitter) && fed < max_bytes) {
        CHECK(split_events(splitter, repeated_event).empty());
        fed += repeated_event.size();
    }
    CHECK(exceeds_limits(splitter));
    CHECK(fed < (2U << 20U));
}

// Guards against events that are held back because their lines end with CR LF or CR.
TEST_CASE("every split of a stream yields the same events, whatever ends its lines") {
    rng random{4};
    for (std::string const line_end : {"\n", "\r\n", "\r"}) {
        std::string stream;
        for (int event = 1; event <= 40; ++event) {
            stream.append("id: ").append(std::to_string(event)).append(line_end);
            stream.append("data: ").append(event % 7, 'x').append(line_end).append(line_end);
        }
        for (int round = 0; round < 200; ++round) {
            event_splitter splitter;
            std::string events;
            for (std::size_t at = 0; at < stream.size();) {
                auto const size = 1 + next_below(random, 60);
                events += split_events(splitter, std::string_view{stream}.substr(at, size));
                at += size;
            }
            CHECK(events + splitter.partial == stream);
            CHECK_FALSE(is_cut(splitter));
            CHECK(splitter.event_count == 40);
            CHECK(splitter.last_id.value_or(0) == splitter.event_count);
        }
    }
}

} // namespace fireflycrank
