#include "http/relayserver.h"

#include <algorithm>
#include <cstdio>

#include <boost/asio.hpp>

#include "relayconnection.h"
#include "requestreader.h"
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
constexpr std::uint16_t FirstFinalStatus = 200;
constexpr std::uint16_t StatusNoContent = 204;
constexpr std::uint16_t StatusNotModified = 304;
//! Bytes held for callers if the process does not count them itself.
constexpr std::size_t DefaultCallerBytes = 128UL * 1024 * 1024;
namespace {

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

//! Waits for the first byte of a request. Returns false if the connection is closed, the server
//! stops accepting or the idle timeout expires.
asio::awaitable<bool> awaitRequest(RelayConnection &connection)
{
    const auto until = Clock::now() + connection.shared_->limits_.idleTimeout_;
    connection.releaseReadBuffer();
    while (connection.buffer_.size() == 0) {
        if (connection.closed_ || connection.shared_->acceptingStopped_ || Clock::now() >= until)
            co_return false;
        connection.startRead();
        co_await waitForWake(connection, until);
    }
    co_return true;
}

asio::awaitable<void> serve(std::shared_ptr<RelayConnection> connection)
{
    boost::system::error_code ignored;
    connection->socket_.set_option(tcp::no_delay(true), ignored);
    while (!connection->closed_ && co_await awaitRequest(*connection)) {
        auto request = co_await readRequest(*connection);
        if (!request)
            break;
        ++connection->exchangeNumber_;
        connection->responseProgress_ = ResponseProgress::NotStarted;
        connection->requestInProgress_ = true;
        connection->lastRequestAt_ = Clock::now();
        connection->releaseReadBuffer();
        connection->readAhead();
        connection->shared_->handler_(std::move(*request),
                                      std::make_shared<RelayExchange>(connection));
        request.reset();
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
    connection_->send(std::move(text));
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
        connection_->send(std::string(bytes));
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

RelayServer::RelayServer(asio::io_context &context, RelayHandler handler,
                         std::shared_ptr<ByteBudget> callerBytes)
    : impl_(std::make_shared<Impl>(context))
{
    impl_->shared_->handler_ = std::move(handler);
    impl_->shared_->callerBytes_ = callerBytes ? std::move(callerBytes)
                                               : std::make_shared<ByteBudget>(ByteBudget {
                                                       detail::DefaultCallerBytes, 0, nullptr});
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

RelayServerCounters RelayServer::counters() const
{
    return impl_->shared_->counters_;
}

std::size_t RelayServer::bufferedBytes() const
{
    return impl_->shared_->unsentBytes_ + impl_->shared_->incompleteRequestBytes_;
}

} // namespace gypsumcroft::http
