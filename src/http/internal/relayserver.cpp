#include "http/relayserver.h"

#include <algorithm>
#include <cstdio>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "relayconnection.h"
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace gypsumcroft::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace detail {

//! Time for a caller to receive the last response while bytes that it still sends are discarded.
constexpr std::chrono::milliseconds LingerTime {500};
//! Interval between checks whether the caller has all of its response.
constexpr std::chrono::milliseconds DeliveryCheckInterval {20};
//! Interval between checks for stalled and disconnected callers.
constexpr std::chrono::milliseconds CheckInterval {250};
constexpr std::uint16_t StatusTimeout = 408;
constexpr std::uint16_t StatusTooLarge = 413;
constexpr std::uint16_t StatusHeaderTooLarge = 431;
constexpr std::uint16_t StatusBadRequest = 400;
constexpr std::uint16_t StatusNotImplemented = 501;
constexpr std::uint16_t StatusUnavailable = 503;
constexpr std::uint16_t FirstFinalStatus = 200;
constexpr std::uint16_t StatusNoContent = 204;
constexpr std::uint16_t StatusNotModified = 304;
//! HTTP/1.1, the first version with chunked transfer coding and 100 (Continue).
constexpr unsigned Http11 = 11;

using Parser = beast::http::request_parser<beast::http::string_body>;

namespace {

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

//! False for responses that end with the header section, whatever its fields say.
bool statusHasBody(std::uint16_t status)
{
    return status >= FirstFinalStatus && status != StatusNoContent && status != StatusNotModified;
}

BodyFraming bodyFramingOf(const RelayConnection &connection, std::uint16_t status)
{
    if (connection.headRequest_ || !statusHasBody(status))
        return BodyFraming::NoBody;
    return connection.supportsChunked_ ? BodyFraming::Chunked : BodyFraming::UntilClose;
}

std::string chunkOf(std::string_view bytes)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    std::string text(size);
    return text.append(bytes).append("\r\n");
}

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

asio::awaitable<void> waitForWake(RelayConnection &connection, Clock::time_point until)
{
    boost::system::error_code ignored;
    connection.wakeTimer_.expires_at(until);
    co_await connection.wakeTimer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

//! Bytes that the kernel holds for the caller; 0 where it doesn't tell.
std::size_t unacknowledgedBytes(RelayConnection &connection)
{
    int bytes = 0;
    const bool isTold = !connection.closed_
                        && ioctl(connection.socket_.native_handle(), SIOCOUTQ, &bytes) == 0;
    return isTold && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

bool isDelivered(RelayConnection &connection)
{
    return connection.closed_
           || (!connection.writing_ && connection.unsentBytes_ == 0
               && unacknowledgedBytes(connection) == 0);
}

//! Shuts down sending and discards received bytes for a while. Closing a socket with unread bytes
//! would reset the connection, and the caller could lose the last response.
//! While the server stops, the connection is kept until the caller has everything: nothing is left
//! to send it once the process is gone.
asio::awaitable<void> linger(RelayConnection &connection)
{
    boost::system::error_code ignored;
    connection.socket_.shutdown(tcp::socket::shutdown_send, ignored);
    const auto until = Clock::now() + LingerTime;
    const auto untilDelivered = Clock::now() + connection.shared_->limits_.sendTimeout_;
    const auto isOver = [&] {
        const auto now = Clock::now();
        const bool mustWait = connection.shared_->acceptingStopped_ && !isDelivered(connection);
        return connection.closed_ || now >= (mustWait ? untilDelivered : until);
    };
    while (!isOver()) {
        connection.buffer_.clear();
        connection.startRead();
        co_await waitForWake(connection, std::max(until, Clock::now() + DeliveryCheckInterval));
    }
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

//! Reads until the header section or the whole message is parsed. Returns 0 on success, the status
//! to refuse the request with, or nothing if the connection was closed.
asio::awaitable<std::optional<std::uint16_t>> readUntil(RelayConnection &connection, Parser &parser,
                                                        bool headerOnly, Clock::time_point until)
{
    while (headerOnly ? !parser.is_header_done() : !parser.is_done()) {
        if (connection.buffer_.size() > 0) {
            boost::system::error_code error;
            const std::size_t used = parser.put(connection.buffer_.data(), error);
            connection.buffer_.consume(used);
            if (error && error != beast::http::error::need_more)
                co_return refusalStatus(error);
            connection.setIncompleteRequestBytes(connection.incompleteRequestBytes_ + used);
            if (connection.shared_->incompleteRequestBytes_
                > connection.shared_->limits_.maxIncompleteRequestBytes_)
                co_return StatusUnavailable;
            if (used > 0)
                continue;
        }
        if (connection.closed_)
            co_return std::nullopt;
        if (Clock::now() >= until)
            co_return StatusTimeout;
        connection.startRead();
        co_await waitForWake(connection, until);
    }
    co_return 0;
}

//! Waits for the first byte of a request. Returns false if the connection is closed, the server
//! stops accepting or the idle timeout expires.
asio::awaitable<bool> awaitRequest(RelayConnection &connection)
{
    const auto until = Clock::now() + connection.shared_->limits_.idleTimeout_;
    while (connection.buffer_.size() == 0) {
        if (connection.closed_ || connection.shared_->acceptingStopped_ || Clock::now() >= until)
            co_return false;
        connection.startRead();
        co_await waitForWake(connection, until);
    }
    co_return true;
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

asio::awaitable<bool> readRequest(RelayConnection &connection, Parser &parser)
{
    const RelayServerLimits limits = connection.shared_->limits_;
    parser.header_limit(limits.maxHeaderBytes_);
    parser.body_limit(limits.maxBodyBytes_);
    const auto start = Clock::now();
    auto status = co_await readUntil(connection, parser, true, start + limits.headerTimeout_);
    if (status == 0)
        status = framingRefusal(parser);
    if (status == 0) {
        if (!parser.is_done() && parser.get().version() >= Http11
            && beast::iequals(parser.get()[beast::http::field::expect], "100-continue"))
            connection.send("HTTP/1.1 100 Continue\r\n\r\n");
        status = co_await readUntil(connection, parser, false, Clock::now() + limits.bodyTimeout_);
    }
    connection.setIncompleteRequestBytes(0);
    if (status == 0)
        co_return true;
    if (status)
        co_await refuseUnreadable(connection, *status);
    co_return false;
}

asio::awaitable<void> serve(std::shared_ptr<RelayConnection> connection)
{
    boost::system::error_code ignored;
    connection->socket_.set_option(tcp::no_delay(true), ignored);
    while (!connection->closed_ && co_await awaitRequest(*connection)) {
        Parser parser;
        if (!co_await readRequest(*connection, parser))
            break;
        ++connection->exchangeNumber_;
        connection->responseProgress_ = ResponseProgress::NotStarted;
        connection->headRequest_ = parser.get().method() == beast::http::verb::head;
        connection->supportsChunked_ = parser.get().version() >= Http11;
        connection->keepAlive_ = parser.get().keep_alive();
        connection->requestInProgress_ = true;
        connection->lastRequestAt_ = Clock::now();
        connection->startRead();
        connection->shared_->handler_(requestOf(parser),
                                      std::make_shared<RelayExchange>(connection));
        while (!connection->closed_
               && (connection->responseProgress_ != ResponseProgress::Complete
                   || connection->writing_))
            co_await waitForWake(*connection, Clock::time_point::max());
        connection->requestInProgress_ = false;
        connection->onDisconnect_ = nullptr;
        if (!connection->keepAlive_)
            break;
    }
    if (!connection->closed_ && (!connection->keepAlive_ || !isDelivered(*connection)))
        co_await linger(*connection);
    connection->close();
}

//! Closes connections whose caller has received no bytes for longer than sendTimeout_.
void closeStalled(RelayServerState &shared, Clock::time_point now)
{
    for (RelayConnection *connection : shared.connections_) {
        if (connection->writing_ && now - connection->progressAt_ > shared.limits_.sendTimeout_)
            connection->close();
    }
}

std::optional<tcp_info> tcpInfo(RelayConnection &connection)
{
    tcp_info info {};
    socklen_t size = sizeof info;
    const int got
            = getsockopt(connection.socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
    return got == 0 ? std::optional(info) : std::nullopt;
}

//! True if the end of the connection is the next thing to be read.
bool isAtEnd(RelayConnection &connection)
{
    char byte = 0;
    boost::system::error_code error;
    connection.socket_.non_blocking(true, error);
    connection.socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error && error != asio::error::would_block;
}

//! True if the caller has closed its side of the connection, even if received bytes are unread.
bool hasDisconnected(RelayConnection &connection)
{
    const auto info = tcpInfo(connection);
    return (info && (info->tcpi_state == TCP_CLOSE_WAIT || info->tcpi_state == TCP_CLOSE))
           || isAtEnd(connection);
}

//! Time since the last bytes arrived from the caller.
Duration sinceLastBytes(RelayConnection &connection)
{
    const auto info = tcpInfo(connection);
    return info ? std::chrono::milliseconds(info->tcpi_last_data_recv) : Duration();
}

//! Closes connections whose caller has disconnected during a request. A pending read detects that
//! too, but none is started while the read buffer is full.
void closeDisconnected(RelayServerState &shared)
{
    for (RelayConnection *connection : shared.connections_) {
        if (connection->requestInProgress_ && !connection->reading_ && !connection->closed_
            && hasDisconnected(*connection))
            connection->close();
    }
}

bool isIdle(const RelayConnection &connection)
{
    return !connection.closed_ && !connection.requestInProgress_ && !connection.writing_
           && connection.incompleteRequestBytes_ == 0 && connection.buffer_.size() == 0;
}

//! Closes the connection that has been idle longest. Returns false if none is idle.
bool closeLongestIdle(RelayServerState &shared)
{
    RelayConnection *idlest = nullptr;
    for (RelayConnection *connection : shared.connections_) {
        if (isIdle(*connection)
            && (idlest == nullptr || connection->lastRequestAt_ < idlest->lastRequestAt_))
            idlest = connection;
    }
    if (idlest == nullptr)
        return false;
    idlest->close();
    return true;
}

} // namespace
} // namespace detail

struct RelayServer::Impl : std::enable_shared_from_this<RelayServer::Impl>
{
    explicit Impl(asio::io_context &context)
        : context_(context), acceptor_(context),
          shared_(std::make_shared<detail::RelayServerState>())
    { }

    static asio::awaitable<void> accept(std::shared_ptr<Impl> self)
    {
        while (self->acceptor_.is_open()) {
            co_await waitForCapacity(self);
            tcp::socket socket(self->context_);
            boost::system::error_code error;
            co_await self->acceptor_.async_accept(socket,
                                                  asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted)
                co_return;
            if (error) {
                if (error == asio::error::no_descriptors)
                    detail::closeLongestIdle(*self->shared_);
                co_await pause(self->context_, AcceptRetryDelay);
                continue;
            }
            self->serve(std::move(socket));
            self->acceptWaiting();
        }
    }

    //! Accepts the other connections that wait already. One a turn of the loop would leave new
    //! callers behind all that the open connections have to do.
    void acceptWaiting()
    {
        boost::system::error_code error;
        acceptor_.non_blocking(true, error);
        for (std::size_t i = 0; i < MaxAcceptsPerTurn && !error && acceptor_.is_open(); ++i) {
            if (shared_->connections_.size() >= shared_->limits_.maxConnections_)
                return;
            tcp::socket socket(context_);
            acceptor_.accept(socket, error);
            if (!error)
                serve(std::move(socket));
        }
    }

    void serve(tcp::socket socket)
    {
        auto connection = std::make_shared<detail::RelayConnection>(std::move(socket), shared_);
        asio::co_spawn(context_, detail::serve(std::move(connection)), asio::detached);
    }

    static asio::awaitable<void> checkCallers(std::shared_ptr<Impl> self)
    {
        while (!self->shared_->serverDestroyed_) {
            co_await pause(self->context_, detail::CheckInterval);
            detail::closeStalled(*self->shared_, detail::Clock::now());
            detail::closeDisconnected(*self->shared_);
        }
    }

    //! Waits until there are fewer connections than maxConnections_; closes idle ones to make room.
    static asio::awaitable<void> waitForCapacity(std::shared_ptr<Impl> self)
    {
        const detail::RelayServerState &shared = *self->shared_;
        while (shared.connections_.size() >= shared.limits_.maxConnections_
               && !shared.acceptingStopped_) {
            const bool closed = detail::closeLongestIdle(*self->shared_);
            co_await pause(self->context_,
                           closed ? std::chrono::milliseconds::zero() : AcceptRetryDelay);
        }
    }

    static asio::awaitable<void> pause(asio::io_context &context, std::chrono::milliseconds time)
    {
        asio::steady_timer timer(context, time);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    static constexpr std::size_t MaxAcceptsPerTurn = 256;
    //! Without a delay, the thread would spin while the process is out of file descriptors.
    static constexpr std::chrono::milliseconds AcceptRetryDelay {20};

    asio::io_context &context_;
    tcp::acceptor acceptor_;
    std::shared_ptr<detail::RelayServerState> shared_;
};

RelayExchange::RelayExchange(std::shared_ptr<detail::RelayConnection> connection)
    : connection_(std::move(connection)), exchangeNumber_(connection_->exchangeNumber_),
      readDelay_(detail::sinceLastBytes(*connection_))
{ }

void RelayExchange::respond(const ResponseHead &head, const std::string &body)
{
    if (connection_->exchangeNumber_ != exchangeNumber_
        || connection_->responseProgress_ != detail::ResponseProgress::NotStarted)
        return;
    connection_->responseProgress_ = detail::ResponseProgress::Complete;
    const bool hasBody = detail::statusHasBody(head.status_);
    std::string text = detail::headText(
            *connection_, head,
            hasBody ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "");
    if (hasBody && !connection_->headRequest_)
        text += body;
    connection_->send(text);
    connection_->wakeTimer_.cancel();
}

void RelayExchange::startResponse(const ResponseHead &head)
{
    if (connection_->exchangeNumber_ != exchangeNumber_
        || connection_->responseProgress_ != detail::ResponseProgress::NotStarted)
        return;
    connection_->responseProgress_ = detail::ResponseProgress::Started;
    connection_->bodyFraming_ = detail::bodyFramingOf(*connection_, head.status_);
    if (connection_->bodyFraming_ == detail::BodyFraming::UntilClose)
        connection_->keepAlive_ = false;
    const bool chunked = connection_->supportsChunked_ && detail::statusHasBody(head.status_);
    connection_->send(
            detail::headText(*connection_, head, chunked ? "Transfer-Encoding: chunked\r\n" : ""));
}

void RelayExchange::writeBody(std::string_view bytes)
{
    if (connection_->exchangeNumber_ != exchangeNumber_
        || connection_->responseProgress_ != detail::ResponseProgress::Started || bytes.empty()
        || connection_->bodyFraming_ == detail::BodyFraming::NoBody)
        return;
    if (connection_->bodyFraming_ == detail::BodyFraming::Chunked)
        connection_->send(detail::chunkOf(bytes));
    else
        connection_->send(bytes);
}

void RelayExchange::finishResponse()
{
    if (connection_->exchangeNumber_ != exchangeNumber_
        || connection_->responseProgress_ != detail::ResponseProgress::Started)
        return;
    connection_->responseProgress_ = detail::ResponseProgress::Complete;
    if (connection_->bodyFraming_ == detail::BodyFraming::Chunked)
        connection_->send("0\r\n\r\n");
    connection_->wakeTimer_.cancel();
}

void RelayExchange::abort()
{
    if (connection_->exchangeNumber_ != exchangeNumber_
        || connection_->responseProgress_ == detail::ResponseProgress::Complete)
        return;
    connection_->onDisconnect_ = nullptr;
    connection_->close();
}

void RelayExchange::onDisconnect(std::function<void()> handler)
{
    if (connection_->exchangeNumber_ != exchangeNumber_
        || connection_->responseProgress_ == detail::ResponseProgress::Complete)
        return;
    if (connection_->closed_)
        asio::post(connection_->socket_.get_executor(), std::move(handler));
    else
        connection_->onDisconnect_ = std::move(handler);
}

bool RelayExchange::hasCallerLeft() const
{
    return connection_->closed_ || connection_->exchangeNumber_ != exchangeNumber_
           || detail::hasDisconnected(*connection_);
}

ConnectionId RelayExchange::connectionId() const
{
    return connection_->id_;
}

RelayServer::RelayServer(asio::io_context &context, RelayHandler handler)
    : impl_(std::make_shared<Impl>(context))
{
    impl_->shared_->handler_ = std::move(handler);
}

RelayServer::~RelayServer()
{
    boost::system::error_code ignored;
    impl_->acceptor_.close(ignored);
    impl_->shared_->serverDestroyed_ = true;
}

Result<Address> RelayServer::listen(const Address &address)
{
    try {
        const tcp::endpoint endpoint(asio::ip::make_address(address.host_), address.port_);
        impl_->acceptor_ = tcp::acceptor(impl_->context_, endpoint);
        asio::co_spawn(impl_->context_, Impl::accept(impl_), asio::detached);
        asio::co_spawn(impl_->context_, Impl::checkCallers(impl_), asio::detached);
        return success(Address {address.host_, impl_->acceptor_.local_endpoint().port()});
    } catch (const boost::system::system_error &error) {
        return failure<Address>("can't listen on " + address.host_ + ":"
                                + std::to_string(address.port_) + ": " + error.code().message());
    }
}

void RelayServer::setLimits(const RelayServerLimits &limits)
{
    impl_->shared_->limits_ = limits;
}

void RelayServer::closeAfterResponses()
{
    impl_->shared_->closeAfterResponses_ = true;
}

void RelayServer::stopAccepting()
{
    boost::system::error_code ignored;
    impl_->acceptor_.close(ignored);
    impl_->shared_->acceptingStopped_ = true;
    for (detail::RelayConnection *connection : impl_->shared_->connections_)
        connection->wakeTimer_.cancel();
}

std::size_t RelayServer::connectionCount() const
{
    return impl_->shared_->connections_.size();
}

bool RelayServer::hasUndelivered() const
{
    const auto &connections = impl_->shared_->connections_;
    return std::any_of(connections.begin(), connections.end(),
                       [](auto *connection) { return !detail::isDelivered(*connection); });
}

std::size_t RelayServer::bufferedBytes() const
{
    return impl_->shared_->unsentBytes_ + impl_->shared_->incompleteRequestBytes_;
}

} // namespace gypsumcroft::http
