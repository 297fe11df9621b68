/// @file
/// HTTP/1.1 messages on the forwarding path: an incremental reader for requests and responses that
/// hands out body bytes as they arrive, and writers for heads and chunks. No sockets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fireflycrank {

/// One header field, in the sender's spelling.
struct header_field {
    std::string name;
    std::string value;
};

using header_list = std::vector<header_field>;

/// Looks a header up; names are compared without case.
/// @param headers the fields
/// @param name the field's name
/// @return the first value, or null
std::string const* find_header(header_list const& headers, std::string_view name);

/// Compares two header names or tokens without case.
/// @return whether they are equal
bool same_token(std::string_view left, std::string_view right);

/// Tells whether a field concerns one connection only and must not be forwarded.
/// @param headers the message's fields; its Connection field may name more
/// @param name the field
/// @return true for a hop-by-hop field
bool is_hop_by_hop(header_list const& headers, std::string_view name);

/// The start line and fields of a message.
struct message_head {
    std::string method; ///< requests only
    std::string target; ///< requests only: path and query as sent
    unsigned status{0}; ///< responses only
    std::string reason; ///< responses only
    header_list headers;
};

enum class http_kind { request, response };

/// What marks the end of a message's body.
enum class body_framing : std::uint8_t {
    none, ///< the message has no body
    length,
    chunks,
    connection ///< neither a length nor chunks: the body ends with its connection
};

enum class read_fault {
    none,
    malformed,
    header_too_large,
    body_too_large,
    truncated ///< the connection ended inside the message
};

/// Whether HTTP defines a class for a status (RFC 9110, 15: 100 to 599). What has any other one is
/// no response.
bool is_response_status(int status);

/// Reads one message. One with a transfer coding other than "chunked" is malformed, and so is a
/// response for whose status is_response_status() is false.
class message_reader {
public:
    /// Starts a message.
    /// @param kind request or response
    /// @param max_header_bytes limit of the head
    /// @param max_body_bytes limit of the body after transfer coding; 0 for none
    message_reader(http_kind kind, std::size_t max_header_bytes, std::uint64_t max_body_bytes);
    message_reader(message_reader&&) noexcept;
    message_reader& operator=(message_reader&&) noexcept;
    ~message_reader();

    /// Declares that the response has no body whatever its head says (answers to HEAD).
    void expect_no_body();

    /// Feeds bytes.
    /// @param bytes what arrived
    /// @return the fault that ends the message, or none
    read_fault put(std::string_view bytes);

    /// Tells that the connection ended in an orderly way.
    /// @return `truncated` unless the message was delimited by the end of the connection
    read_fault put_eof();

    /// Whether any byte of the message has arrived.
    [[nodiscard]] bool started() const;
    /// Whether the head is complete.
    [[nodiscard]] bool head_complete() const;
    /// Whether the whole message is complete.
    [[nodiscard]] bool complete() const;
    /// Whether the message ends with its connection.
    [[nodiscard]] bool ends_with_connection() const;
    /// What marks the end of the body; valid once head_complete().
    [[nodiscard]] body_framing framing() const;
    /// Whether the connection may carry another message.
    [[nodiscard]] bool keep_alive() const;
    /// The head; valid once head_complete().
    [[nodiscard]] message_head const& head() const;

    /// Takes the body bytes that arrived since the last call.
    /// @return decoded bytes
    std::string take_body();

    /// Takes what followed the complete message.
    /// @return bytes that belong to the next message, if to any
    std::string take_rest();

private:
    struct implementation;
    std::unique_ptr<implementation> parts_;
};

/// Writes a request with its body.
/// @param method the method
/// @param target path and query
/// @param headers all fields, without Content-Length
/// @param body the body
/// @param announce_body whether to write Content-Length even for an empty body
/// @return the bytes
std::string format_request(std::string_view method, std::string_view target,
                           header_list const& headers, std::string_view body, bool announce_body);

/// Writes the head of a response.
/// @param status the status
/// @param reason the reason phrase; empty for the usual one
/// @param headers all fields
/// @return the bytes, with the empty line
std::string format_response_head(unsigned status, std::string_view reason,
                                 header_list const& headers);

/// Writes a whole response with Content-Length.
/// @param status the status
/// @param headers fields besides Content-Length
/// @param body the body
/// @return the bytes
std::string format_response(unsigned status, header_list headers, std::string_view body);

/// Wraps bytes as one chunk of a chunked body.
/// @param bytes the payload; must not be empty
/// @return the chunk
std::string format_chunk(std::string_view bytes);

/// The end of a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

/// The usual reason phrase of a status.
/// @return the phrase, or "Status" for an unusual code
std::string_view reason_of(unsigned status);

} // namespace fireflycrank
