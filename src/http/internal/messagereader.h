//! Reads HTTP messages with Beast's parser, one part at a time, and rejects invalid responses that
//! the parser accepts.
#pragma once

#include <string_view>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace gypsumcroft::http::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;

//! Most bytes that are received at once.
constexpr std::size_t MaxReceiveBytes = 64UL * 1024;

//! Status codes outside this range are invalid (RFC 9110, 15).
constexpr unsigned MinStatus = 100;
constexpr unsigned MaxStatus = 599;

template <bool isRequest, typename Body>
struct MessageParser : beast::http::parser<isRequest, Body>
{
    //! The parser must not be called with fewer bytes.
    std::size_t minBytes_ = 1;
};

//! Gives the bytes to the parser, which must not be eager. Returns the number of those that it has
//! parsed: fields of the head, or a part of the body. The error is need_more if there are too few.
template <bool isRequest, typename Body>
std::size_t parse(MessageParser<isRequest, Body> &parser, asio::const_buffer bytes,
                  boost::system::error_code &error)
{
    // Beast 1.81 asserts that five bytes are there once it has seen the line of a last chunk.
    constexpr std::string_view LastChunkLine = "0\r\n";
    constexpr std::size_t LastChunkBytes = 5;
    error = beast::http::error::need_more;
    if (bytes.size() < parser.minBytes_)
        return 0;
    const std::size_t size = parser.put(bytes, error);
    bytes += size;
    const bool lastChunkBegun
            = error == beast::http::error::need_more && parser.is_header_done()
              && std::string_view(static_cast<const char *>(bytes.data()), bytes.size())
                         == LastChunkLine;
    parser.minBytes_ = lastChunkBegun ? LastChunkBytes : 1;
    return size;
}

//! Whether one of the lines begins with a blank or a tab, as the continuation of a folded line does
//! (obs-fold). A proxy may reject such a response (RFC 9112, 5.2).
inline bool hasFoldedLine(std::string_view lines)
{
    for (std::size_t begin = 0; begin < lines.size();) {
        if (lines[begin] == ' ' || lines[begin] == '\t')
            return true;
        const std::size_t end = lines.find('\n', begin);
        if (end == std::string_view::npos)
            return false;
        begin = end + 1;
    }
    return false;
}

//! What is invalid in a response although the parser accepts the bytes that it has just parsed.
template <typename Body>
boost::system::error_code errorIn(const MessageParser<false, Body> &parser, std::string_view parsed,
                                  bool headWasDone)
{
    // Folded lines are joined by the parser, so that a field in one of them would go unnoticed.
    const bool areFields = !headWasDone || (parser.chunked() && parser.is_done());
    if (areFields && hasFoldedLine(parsed))
        return beast::http::error::bad_field;
    const unsigned status = parser.get().result_int();
    if (!headWasDone && parser.is_header_done() && (status < MinStatus || status > MaxStatus))
        return beast::http::error::bad_status;
    return {};
}

//! Parses and removes buffered bytes. Returns an error also if a response is invalid.
template <bool isRequest, typename Body>
boost::system::error_code parseBuffered(beast::flat_buffer &buffer,
                                        MessageParser<isRequest, Body> &parser)
{
    const bool headWasDone = parser.is_header_done();
    boost::system::error_code error;
    const auto bytes = buffer.cdata();
    const std::size_t size = parse(parser, bytes, error);
    if constexpr (!isRequest) {
        const std::string_view parsed(static_cast<const char *>(bytes.data()), size);
        if (const auto invalid = errorIn(parser, parsed, headWasDone))
            error = invalid;
    }
    buffer.consume(size);
    return error;
}

//! Parses the buffered bytes as far as the end of the message. Returns need_more if it is not
//! among them.
template <bool isRequest, typename Body>
boost::system::error_code parseMessage(beast::flat_buffer &buffer,
                                       MessageParser<isRequest, Body> &parser)
{
    boost::system::error_code error;
    while (!error && !parser.is_done())
        error = parseBuffered(buffer, parser);
    return error;
}

//! Receives bytes into the buffer. Tells the parser if the stream has ended, which may complete the
//! message.
template <typename Stream, bool isRequest, typename Body>
asio::awaitable<boost::system::error_code> receive(Stream &stream, beast::flat_buffer &buffer,
                                                   MessageParser<isRequest, Body> &parser)
{
    boost::system::error_code error;
    const std::size_t space = beast::read_size(buffer, MaxReceiveBytes);
    if (space == 0)
        co_return beast::http::error::buffer_overflow;
    const std::size_t size = co_await stream.async_read_some(
            buffer.prepare(space), asio::redirect_error(asio::use_awaitable, error));
    buffer.commit(size);
    if (error != asio::error::eof)
        co_return error;
    if (!parser.got_some())
        co_return beast::http::error::end_of_stream;
    parser.put_eof(error);
    co_return error;
}

//! Parses one more part of a message, and receives bytes for it if too few are buffered. Other
//! work of the thread runs before it returns.
template <typename Stream, bool isRequest, typename Body>
asio::awaitable<boost::system::error_code> readSome(Stream &stream, beast::flat_buffer &buffer,
                                                    MessageParser<isRequest, Body> &parser)
{
    boost::system::error_code error = parseBuffered(buffer, parser);
    if (error != beast::http::error::need_more)
        co_await asio::post(stream.get_executor(), asio::use_awaitable);
    while (error == beast::http::error::need_more) {
        error = co_await receive(stream, buffer, parser);
        if (!error && !parser.is_done())
            error = parseBuffered(buffer, parser);
    }
    co_return error;
}

//! Reads a message to its end. The handler is called each time after bytes were received.
template <typename Stream, bool isRequest, typename Body, typename Handler>
asio::awaitable<boost::system::error_code> readMessage(Stream &stream, beast::flat_buffer &buffer,
                                                       MessageParser<isRequest, Body> &parser,
                                                       Handler onReceived)
{
    boost::system::error_code error = parseMessage(buffer, parser);
    while (error == beast::http::error::need_more) {
        error = co_await receive(stream, buffer, parser);
        onReceived();
        if (!error)
            error = parseMessage(buffer, parser);
    }
    co_return error;
}

} // namespace gypsumcroft::http::detail
