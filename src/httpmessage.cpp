#include "httpmessage.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <limits>

namespace fireflycrank {

namespace {

namespace http = boost::beast::http;
using beast_error = boost::beast::error_code;
using beast_text = boost::beast::string_view;

// Chunk sizes, extensions and trailers that are not complete after this much are no message: the
// parser keeps them until they are, and nothing else bounds them.
constexpr std::size_t max_framing_bytes = 16U << 10U;

std::string text(beast_text view) {
    return std::string{view.data(), view.size()};
}

std::string_view trimmed(std::string_view token) {
    auto const first = token.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return token.substr(first, token.find_last_not_of(" \t") - first + 1);
}

bool lists_token(std::string_view list, std::string_view token) {
    while (!list.empty()) {
        auto const comma = std::min(list.find(','), list.size());
        if (same_token(trimmed(list.substr(0, comma)), token)) {
            return true;
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

// Collects the head and hands body bytes on without keeping the message.
template <bool is_request>
class collecting_parser : public http::basic_parser<is_request> {
public:
    message_head head;
    std::string body;
    bool finished{false};

private:
    void on_request_impl(http::verb /*verb*/, beast_text method, beast_text target, int /*version*/,
                         beast_error& /*failed*/) override {
        head.method = text(method);
        head.target = text(target);
    }
    void on_response_impl(int code, beast_text reason, int /*version*/,
                          beast_error& failed) override {
        if (!is_response_status(code)) {
            failed = http::error::bad_status;
            return;
        }
        head.status = static_cast<unsigned>(code);
        head.reason = text(reason);
    }
    // Beast takes any other coding for a message without a body, or with the length that the head
    // also states, and what is left of the body for the next message. Other codings cannot be
    // passed on either, since the field concerns one connection only.
    void on_field_impl(http::field field, beast_text name, beast_text value,
                       beast_error& failed) override {
        head.headers.push_back({text(name), text(value)});
        if (field == http::field::transfer_encoding &&
            !same_token(trimmed(head.headers.back().value), "chunked")) {
            failed = http::error::bad_transfer_encoding;
        }
    }
    void on_header_impl(beast_error& /*failed*/) override {}
    void on_body_init_impl(boost::optional<std::uint64_t> const& /*length*/,
                           beast_error& /*failed*/) override {}
    std::size_t on_body_impl(beast_text bytes, beast_error& /*failed*/) override {
        body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, beast_text /*extensions*/,
                              beast_error& /*failed*/) override {}
    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, beast_text bytes,
                                   beast_error& /*failed*/) override {
        body.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_finish_impl(beast_error& /*failed*/) override { finished = true; }
};

read_fault fault_of(beast_error const& failed) {
    if (failed == http::error::header_limit) {
        return read_fault::header_too_large;
    }
    if (failed == http::error::body_limit) {
        return read_fault::body_too_large;
    }
    if (failed == http::error::partial_message || failed == http::error::end_of_stream) {
        return read_fault::truncated;
    }
    return read_fault::malformed;
}

} // namespace

bool is_response_status(int status) {
    constexpr int first = 100;
    constexpr int last = 599;
    return status >= first && status <= last;
}

// One of the two parsers is in use, as the kind says.
struct message_reader::implementation {
    http_kind kind{http_kind::request};
    collecting_parser<true> request;
    collecting_parser<false> response;
    std::string unparsed; ///< bytes that the parser needs to see again with more behind them
    bool any{false};

    template <class use>
    decltype(auto) visit(use&& apply) {
        return kind == http_kind::request ? apply(request) : apply(response);
    }
};

message_reader::message_reader(http_kind kind, std::size_t max_header_bytes,
                               std::uint64_t max_body_bytes)
    : parts_{std::make_unique<implementation>()} {
    parts_->kind = kind;
    auto const prepare = [&](auto& parser) {
        parser.eager(true);
        parser.header_limit(static_cast<std::uint32_t>(
            std::min<std::size_t>(max_header_bytes, std::numeric_limits<std::uint32_t>::max())));
        // Beast 1.74 takes an absent limit for a limit of nothing.
        parser.body_limit(max_body_bytes == 0 ? std::numeric_limits<std::uint64_t>::max()
                                              : max_body_bytes);
    };
    parts_->visit([&](auto& parser) { prepare(parser); });
}

message_reader::message_reader(message_reader&&) noexcept = default;
message_reader& message_reader::operator=(message_reader&&) noexcept = default;
message_reader::~message_reader() = default;

void message_reader::expect_no_body() {
    parts_->response.skip(true);
}

read_fault message_reader::put(std::string_view bytes) {
    parts_->any = parts_->any || !bytes.empty();
    parts_->unparsed.append(bytes);
    // Parsed bytes are removed once at the end: to remove each tiny chunk from the front would move
    // the rest each time.
    std::size_t parsed = 0;
    auto const fault = parts_->visit([&](auto& parser) {
        beast_error failed;
        while (!parser.is_done() && parsed < parts_->unparsed.size()) {
            auto const left = parts_->unparsed.size() - parsed;
            auto const used =
                parser.put(boost::asio::buffer(parts_->unparsed.data() + parsed, left), failed);
            parsed += used;
            if (failed == http::error::need_more || (!failed && used == 0)) {
                bool const endless = parser.is_header_done() && left - used > max_framing_bytes;
                return endless ? read_fault::malformed : read_fault::none;
            }
            if (failed) {
                return fault_of(failed);
            }
        }
        return read_fault::none;
    });
    parts_->unparsed.erase(0, parsed);
    return fault;
}

read_fault message_reader::put_eof() {
    return parts_->visit([&](auto& parser) {
        if (parser.is_done()) {
            return read_fault::none;
        }
        if (!parts_->any || !parser.is_header_done() || !parts_->unparsed.empty()) {
            return read_fault::truncated;
        }
        beast_error failed;
        parser.put_eof(failed);
        return failed ? fault_of(failed) : read_fault::none;
    });
}

bool message_reader::started() const {
    return parts_->any;
}

bool message_reader::head_complete() const {
    return parts_->visit([](auto& parser) { return parser.is_header_done(); });
}

bool message_reader::complete() const {
    return parts_->visit([](auto& parser) { return parser.is_done(); });
}

bool message_reader::ends_with_connection() const {
    return parts_->visit([](auto& parser) { return parser.need_eof(); });
}

body_framing message_reader::framing() const {
    return parts_->visit([](auto& parser) {
        return parser.need_eof()         ? body_framing::connection
               : parser.chunked()        ? body_framing::chunks
               : parser.content_length() ? body_framing::length
                                         : body_framing::none;
    });
}

bool message_reader::keep_alive() const {
    return parts_->visit([](auto& parser) { return parser.keep_alive(); });
}

message_head const& message_reader::head() const {
    return parts_->kind == http_kind::request ? parts_->request.head : parts_->response.head;
}

std::string message_reader::take_body() {
    return parts_->visit([](auto& parser) { return std::exchange(parser.body, {}); });
}

std::string message_reader::take_rest() {
    return std::exchange(parts_->unparsed, {});
}

bool same_token(std::string_view left, std::string_view right) {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) ==
               std::tolower(static_cast<unsigned char>(b));
    });
}

std::string const* find_header(header_list const& headers, std::string_view name) {
    auto const found = std::find_if(headers.begin(), headers.end(), [&](header_field const& field) {
        return same_token(field.name, name);
    });
    return found == headers.end() ? nullptr : &found->value;
}

bool is_hop_by_hop(header_list const& headers, std::string_view name) {
    constexpr std::array<std::string_view, 9> fixed{"connection",
                                                    "keep-alive",
                                                    "proxy-connection",
                                                    "proxy-authenticate",
                                                    "proxy-authorization",
                                                    "te",
                                                    "trailer",
                                                    "transfer-encoding",
                                                    "upgrade"};
    if (std::any_of(fixed.begin(), fixed.end(),
                    [&](std::string_view one) { return same_token(one, name); })) {
        return true;
    }
    return std::any_of(headers.begin(), headers.end(), [&](header_field const& field) {
        return same_token(field.name, "connection") && lists_token(field.value, name);
    });
}

namespace {

void append_fields(std::string& out, header_list const& headers) {
    for (auto const& field : headers) {
        out.append(field.name).append(": ").append(field.value).append("\r\n");
    }
}

} // namespace

std::string format_request(std::string_view method, std::string_view target,
                           header_list const& headers, std::string_view body, bool announce_body) {
    std::string out;
    out.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    append_fields(out, headers);
    if (announce_body || !body.empty()) {
        out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    }
    out.append("\r\n").append(body);
    return out;
}

std::string format_response_head(unsigned status, std::string_view reason,
                                 header_list const& headers) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out.append(reason.empty() ? reason_of(status) : reason).append("\r\n");
    append_fields(out, headers);
    out.append("\r\n");
    return out;
}

std::string format_response(unsigned status, header_list headers, std::string_view body) {
    headers.push_back({"Content-Length", std::to_string(body.size())});
    auto out = format_response_head(status, {}, headers);
    out.append(body);
    return out;
}

std::string format_chunk(std::string_view bytes) {
    constexpr int hexadecimal = 16;
    std::array<char, 2 * sizeof(std::size_t)> size{};
    auto const end =
        std::to_chars(size.data(), size.data() + size.size(), bytes.size(), hexadecimal).ptr;
    std::string out{size.data(), end};
    out.append("\r\n").append(bytes).append("\r\n");
    return out;
}

std::string_view reason_of(unsigned status) {
    auto const phrase = http::obsolete_reason(http::int_to_status(status));
    return phrase.empty() ? std::string_view{"Status"}
                          : std::string_view{phrase.data(), phrase.size()};
}

} // namespace fireflycrank
