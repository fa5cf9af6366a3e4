#include "requestreader.h"

#include <algorithm>

#include <boost/beast/http.hpp>

#include "messagereader.h"

namespace gypsumcroft::http::detail {

namespace {

constexpr std::uint16_t StatusTimeout = 408;
constexpr std::uint16_t StatusTooLarge = 413;
constexpr std::uint16_t StatusHeaderTooLarge = 431;
constexpr std::uint16_t StatusBadRequest = 400;
constexpr std::uint16_t StatusNotImplemented = 501;
constexpr std::uint16_t StatusUnavailable = 503;
//! HTTP/1.1, the first version with chunked transfer coding and 100 (Continue).
constexpr unsigned Http11 = 11;

//! Memory that the parser takes for a header field in addition to its text.
constexpr std::size_t FieldBytes = 96;

using Parser = MessageParser<true, beast::http::string_body>;

//! A request that is being read.
struct Reading
{
    Parser parser_;
    //! Memory of the header section so far.
    std::size_t headBytes_ = 0;
};

RelayRequest requestOf(Parser &parser)
{
    auto &message = parser.get();
    RelayRequest request;
    request.method_ = std::string(message.method_string());
    request.target_ = std::string(message.target());
    for (const auto &field : message)
        request.headers_.emplace_back(std::string(field.name_string()), std::string(field.value()));
    request.body_ = std::move(message.body());
    return request;
}

//! Responds with an error status to a request that could not be read.
asio::awaitable<void> refuseUnreadable(RelayConnection &connection, std::uint16_t status)
{
    connection.keepAlive_ = false;
    connection.send(headText(connection, {status, {}}, "Content-Length: 0\r\n"));
    while (connection.writing_ && !connection.closed_)
        co_await waitForWake(connection, Clock::time_point::max());
}

std::uint16_t refusalStatus(const boost::system::error_code &error)
{
    if (error == beast::http::error::body_limit)
        return StatusTooLarge;
    if (error == beast::http::error::header_limit || error == beast::http::error::buffer_overflow)
        return StatusHeaderTooLarge;
    return StatusBadRequest;
}

//! Memory of a header section by its text: one field a line.
std::size_t headMemoryOf(std::string_view text)
{
    const auto lines = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
    return text.size() + lines * FieldBytes;
}

//! Memory of the request so far. The memory that is reserved for a body of known length counts once
//! it is used.
std::size_t memoryOf(Reading &reading)
{
    const std::string &body = reading.parser_.get().body();
    return reading.headBytes_ + (reading.parser_.chunked() ? body.capacity() : body.size());
}

bool isOutOfMemory(const RelayServerState &shared)
{
    return isOverLimit(*shared.callerBytes_)
           || shared.incompleteRequestBytes_ > shared.limits_.maxIncompleteRequestBytes_;
}

//! True if the request must be refused for lack of memory. The largest incomplete requests are
//! refused first.
bool mustGiveWay(RelayConnection &connection)
{
    if (connection.refusedForMemory_)
        return true;
    const RelayServerState &shared = *connection.shared_;
    if (!isOutOfMemory(shared))
        return false;
    const auto &all = shared.connections_;
    RelayConnection *largest = *std::max_element(
            all.begin(), all.end(), [](const RelayConnection *left, const RelayConnection *right) {
                return left->incompleteRequestBytes_ < right->incompleteRequestBytes_;
            });
    if (connection.incompleteRequestBytes_ >= largest->incompleteRequestBytes_ / 2)
        return true;
    largest->refusedForMemory_ = true;
    largest->wakeTimer_.cancel();
    return false;
}

//! Parses received bytes. Returns the status to refuse the request with; 0 if it goes on; nothing
//! if more bytes are needed.
std::optional<std::uint16_t> parseReceived(RelayConnection &connection, Reading &reading)
{
    if (connection.buffer_.size() == 0)
        return std::nullopt;
    Parser &parser = reading.parser_;
    const bool inHead = !parser.is_header_done();
    const auto bytes = connection.buffer_.cdata();
    boost::system::error_code error;
    const std::size_t used = parse(parser, bytes, error);
    if (inHead)
        reading.headBytes_ += headMemoryOf({static_cast<const char *>(bytes.data()), used});
    connection.buffer_.consume(used);
    connection.setIncompleteRequestBytes(memoryOf(reading));
    if (error && error != beast::http::error::need_more)
        return refusalStatus(error);
    if (used > 0)
        return 0;
    // The parser takes a chunk's extensions or the trailers only when they are complete.
    if (connection.buffer_.size() > connection.shared_->limits_.maxHeaderBytes_)
        return StatusHeaderTooLarge;
    return std::nullopt;
}

//! Reads until the header section or the whole message is parsed. Returns 0 on success, the status
//! to refuse the request with, or nothing if the connection was closed.
asio::awaitable<std::optional<std::uint16_t>>
readUntil(RelayConnection &connection, Reading &reading, bool headerOnly, Clock::time_point until)
{
    const Parser &parser = reading.parser_;
    while (headerOnly ? !parser.is_header_done() : !parser.is_done()) {
        const auto status = parseReceived(connection, reading);
        if (status && *status != 0)
            co_return *status;
        if (mustGiveWay(connection)) {
            ++connection.shared_->counters_.refusedForMemory_;
            co_return StatusUnavailable;
        }
        if (status)
            continue;
        if (connection.closed_)
            co_return std::nullopt;
        if (Clock::now() >= until)
            co_return StatusTimeout;
        connection.startRead();
        co_await waitForWake(connection, until);
    }
    co_return 0;
}

//! Status to refuse a request with whose length can't be determined reliably; 0 if it can.
std::uint16_t framingRefusal(Parser &parser)
{
    const auto &message = parser.get();
    const auto field = beast::http::field::transfer_encoding;
    const auto count = message.count(field);
    if (count == 0)
        return 0;
    if (message.version() < Http11)
        return StatusBadRequest;
    return count == 1 && beast::iequals(message[field], "chunked") ? 0 : StatusNotImplemented;
}

//! Reads a request. Returns like readUntil().
asio::awaitable<std::optional<std::uint16_t>> readWhole(RelayConnection &connection,
                                                        Reading &reading)
{
    const RelayServerLimits limits = connection.shared_->limits_;
    Parser &parser = reading.parser_;
    parser.header_limit(limits.maxHeaderBytes_);
    parser.body_limit(limits.maxBodyBytes_);
    const auto start = Clock::now();
    auto status = co_await readUntil(connection, reading, true, start + limits.headerTimeout_);
    if (status == 0)
        status = framingRefusal(parser);
    if (status != 0)
        co_return status;
    if (!parser.is_done() && parser.get().version() >= Http11
        && beast::iequals(parser.get()[beast::http::field::expect], "100-continue"))
        connection.send("HTTP/1.1 100 Continue\r\n\r\n");
    co_return co_await readUntil(connection, reading, false, Clock::now() + limits.bodyTimeout_);
}

} // namespace

std::string headText(RelayConnection &connection, const ResponseHead &head,
                     const std::string &framing)
{
    connection.keepAlive_ = connection.keepAlive_ && !connection.shared_->closeAfterResponses_;
    std::string text = "HTTP/1.1 " + std::to_string(head.status_) + " ";
    text += std::string_view(
            beast::http::obsolete_reason(static_cast<beast::http::status>(head.status_)));
    text += "\r\n";
    for (const auto &[name, value] : head.headers_) {
        if (!isHopByHopField(head.headers_, name))
            text.append(name).append(": ").append(value).append("\r\n");
    }
    text += framing;
    if (!connection.keepAlive_)
        text += "Connection: close\r\n";
    return text + "\r\n";
}

asio::awaitable<void> waitForWake(RelayConnection &connection, Clock::time_point until)
{
    boost::system::error_code ignored;
    connection.wakeTimer_.expires_at(until);
    co_await connection.wakeTimer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<std::optional<RelayRequest>> readRequest(RelayConnection &connection)
{
    std::optional<Reading> reading(std::in_place);
    const auto status = co_await readWhole(connection, *reading);
    connection.setIncompleteRequestBytes(0);
    if (status != 0) {
        // Callers that are slow to receive the refusal hold no more than that.
        reading.reset();
        if (status)
            co_await refuseUnreadable(connection, *status);
        co_return std::nullopt;
    }
    Parser &parser = reading->parser_;
    connection.headRequest_ = parser.get().method() == beast::http::verb::head;
    connection.supportsChunked_ = parser.get().version() >= Http11;
    connection.keepAlive_ = parser.get().keep_alive();
    co_return requestOf(parser);
}

} // namespace gypsumcroft::http::detail
