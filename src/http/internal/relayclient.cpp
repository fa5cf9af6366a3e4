#include "http/relayclient.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <span>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>

#include "idleconnections.h"
#include "messagereader.h"

namespace gypsumcroft::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace detail {

using Clock = asio::steady_timer::clock_type;
using ResponseParser = MessageParser<false, beast::http::buffer_body>;

constexpr std::size_t ReadBytes = 4096;
constexpr std::uint32_t MaxHeaderBytes = 64 * 1024;
//! Read buffer ahead of the parser. Also limits a chunk header with its extensions, and a trailer
//! section.
constexpr std::size_t MaxBufferedBytes = 128UL * 1024;
//! Interim responses (1xx) to one request.
constexpr int MaxInterimResponses = 8;
//! Largest body of an unmatched response that is read to its end.
constexpr std::size_t MaxUnmatchedResponseBytes = 256UL * 1024;
//! Longest time from the first byte of a response to the end of its header section, and for an
//! unmatched response to the end of its body.
constexpr std::chrono::milliseconds HeaderTimeout {2000};
//! Unmatched responses that are discarded during a call before the call fails.
constexpr std::uint32_t MaxUnmatchedResponses = 2;
//! Requests sent on one connection before it is closed. Bounds the ids stored for a connection.
constexpr std::size_t MaxRequestsPerConnection = 256;
//! Part of the server's idle timeout for which an idle connection is reused. Less than 1, so that
//! the server doesn't close the connection while a request is sent.
constexpr double IdleTimeoutFraction = 0.7;
//! Idle timeout for servers that don't send one in Keep-Alive.
constexpr std::chrono::milliseconds DefaultIdleTimeout {2000};
//! Longer idle timeouts of servers are taken as this.
constexpr int MaxIdleTimeoutSeconds = 60;
//! The kernel closes a connection when sent bytes remain unacknowledged for this time.
constexpr int TcpUserTimeoutMs = 4000;
constexpr unsigned InformationalClass = 1;
constexpr unsigned StatusClassSize = 100;

struct ClientConnection
{
    explicit ClientConnection(asio::io_context &context)
        : socket_(context), buffer_(MaxBufferedBytes), timeout_(context)
    { }
    tcp::socket socket_;
    beast::flat_buffer buffer_;
    asio::steady_timer timeout_;
    //! It was closed because its timeout expired.
    bool timedOut_ = false;
    //! When an idle connection is no longer reused.
    Clock::time_point reusableUntil_;
    //! It has carried a response, so another one need not belong to the current request.
    bool responseReceived_ = false;
    //! Hashes of the request ids sent on it.
    std::vector<std::size_t> requestIdHashes_;
};
using ConnectionPtr = std::shared_ptr<ClientConnection>;

struct RelayCallState
{
    RelayCallRequest request_;
    RelayCallHandlers handlers_;
    ConnectionPtr connection_;
    RelayCallInfo info_;
    bool cancelled_ = false;
};

namespace {

//! Result of reading a part of a body. An error may follow bytes that were read.
struct BodyPiece
{
    std::size_t size_ = 0;
    boost::system::error_code error_;
};

enum class ResponseOwner : std::uint8_t { Call, OtherRequest, Unknown };

//! A response without the id belongs to the call only if it is the first one on its connection.
ResponseOwner ownerOf(const RelayCallState &call, const ResponseHead &head)
{
    const RelayCallRequest &request = call.request_;
    const auto echo = request.correlationHeader_.empty()
                              ? std::nullopt
                              : findHeader(head.headers_, request.correlationHeader_);
    if (echo)
        return *echo == request.correlationId_ ? ResponseOwner::Call : ResponseOwner::OtherRequest;
    return call.connection_->responseReceived_ ? ResponseOwner::Unknown : ResponseOwner::Call;
}

void closeAfter(const ConnectionPtr &connection, Clock::duration time)
{
    connection->timeout_.expires_after(time);
    connection->timeout_.async_wait(
            [weak = std::weak_ptr(connection)](boost::system::error_code error) {
                const ConnectionPtr connection = weak.lock();
                if (error || !connection || Clock::now() < connection->timeout_.expiry())
                    return;
                boost::system::error_code ignored;
                connection->timedOut_ = true;
                connection->socket_.close(ignored);
            });
}

//! Cancels the timeout set by closeAfter().
void cancelTimeout(ClientConnection &connection)
{
    connection.timeout_.expires_at(Clock::time_point::max());
}

std::string requestHeadText(const RelayCallRequest &call)
{
    const RelayRequest &request = call.request_;
    std::string text = request.method_ + " " + request.target_ + " HTTP/1.1\r\n";
    bool hasHost = false;
    for (const auto &[name, value] : request.headers_) {
        hasHost = hasHost || isSameFieldName(name, "Host");
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!hasHost)
        text += "Host: " + call.address_.host_ + "\r\n";
    const bool mayBeEmpty = request.method_ == "GET" || request.method_ == "HEAD";
    if (!request.body_.empty() || !mayBeEmpty)
        text += "Content-Length: " + std::to_string(request.body_.size()) + "\r\n";
    return text + "\r\n";
}

HeaderList headersOf(const ResponseParser &parser)
{
    HeaderList headers;
    for (const auto &field : parser.get())
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    return headers;
}

//! How long the connection may be reused after this response; none if it must be closed.
std::optional<Clock::duration> reuseTime(const ResponseParser &parser)
{
    if (!parser.get().keep_alive() || parser.need_eof())
        return std::nullopt;
    const std::string_view text = parser.get()[beast::http::field::keep_alive];
    const auto found = text.find("timeout=");
    if (found == std::string_view::npos)
        return DefaultIdleTimeout;
    int seconds = 0;
    const std::string_view digits = text.substr(found + std::string_view("timeout=").size());
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (seconds <= 0)
        return std::nullopt;
    return std::chrono::milliseconds(static_cast<int>(IdleTimeoutFraction * 1000
                                                      * std::min(seconds, MaxIdleTimeoutSeconds)));
}

//! All attempts of a request have the same id, so a late response to an earlier attempt on the same
//! connection would be accepted as the response to this one.
bool hasCarriedRequest(const ClientConnection &connection, const std::string &id)
{
    const std::size_t hash = std::hash<std::string>()(id);
    return std::find(connection.requestIdHashes_.begin(), connection.requestIdHashes_.end(), hash)
           != connection.requestIdHashes_.end();
}

ServerKey serverOf(const RelayCallRequest &call)
{
    return {call.address_, call.serverName_};
}

bool mayReuse(ClientConnection &connection, Clock::time_point now)
{
    return now < connection.reusableUntil_ && isReusable(connection.socket_);
}

} // namespace
} // namespace detail

struct RelayClient::Impl : std::enable_shared_from_this<RelayClient::Impl>
{
    Impl(asio::io_context &context, RelayClientOptions options)
        : context_(context), options_(options), idle_ {{options.maxIdleConnectionsPerServer_,
                                                        options.maxIdleConnections_},
                                                       {},
                                                       {}}
    { }

    //! The most recently used idle connection that is still usable and has carried no earlier
    //! attempt of this call.
    detail::ConnectionPtr takeIdleConnection(const RelayCallRequest &call,
                                             detail::Clock::time_point now)
    {
        while (auto connection = detail::takeIdle(
                       idle_, detail::serverOf(call), [&](const detail::ClientConnection &idle) {
                           return !detail::hasCarriedRequest(idle, call.correlationId_);
                       })) {
            if (detail::mayReuse(**connection, now))
                return *connection;
        }
        return nullptr;
    }

    //! Opens a connection. Returns the reason for a failure, or an empty string.
    asio::awaitable<std::string> connect(detail::RelayCallState &call)
    {
        call.connection_ = std::make_shared<detail::ClientConnection>(context_);
        boost::system::error_code error;
        const auto host = asio::ip::make_address(call.request_.address_.host_, error);
        if (error)
            co_return "not an IP address: " + call.request_.address_.host_;
        tcp::socket &socket = call.connection_->socket_;
        detail::closeAfter(call.connection_, options_.connectTimeout_);
        co_await socket.async_connect({host, call.request_.address_.port_},
                                      asio::redirect_error(asio::use_awaitable, error));
        detail::cancelTimeout(*call.connection_);
        if (call.connection_->timedOut_)
            co_return "connect timed out";
        if (error)
            co_return "can't connect: " + error.message();
        ++connectionsOpened_;
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const int limitMs = detail::TcpUserTimeoutMs;
        setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limitMs, sizeof limitMs);
        co_return std::string();
    }

    static bool maySend(const detail::RelayCallState &call)
    {
        return !call.cancelled_ && (!call.handlers_.maySend_ || call.handlers_.maySend_());
    }

    static asio::awaitable<void> run(std::shared_ptr<Impl> self,
                                     std::shared_ptr<detail::RelayCallState> call)
    {
        // send() returns its handle before the call starts.
        co_await asio::post(self->context_, asio::use_awaitable);
        if (!maySend(*call))
            co_return;
        if (!call->request_.newConnection_ && !call->request_.correlationHeader_.empty())
            call->connection_ = self->takeIdleConnection(call->request_, detail::Clock::now());
        call->info_.connectionReused_ = call->connection_ != nullptr;
        if (!call->connection_) {
            const std::string reason = co_await self->connect(*call);
            if (call->cancelled_)
                co_return;
            if (!reason.empty()) {
                call->handlers_.onFailed_(RelayFailure::NotSent, reason);
                co_return;
            }
            if (!maySend(*call))
                co_return;
        }
        call->connection_->requestIdHashes_.push_back(
                std::hash<std::string>()(call->request_.correlationId_));
        const std::string head = detail::requestHeadText(call->request_);
        std::string &body = call->request_.request_.body_;
        const std::array<asio::const_buffer, 2> buffers {asio::buffer(head), asio::buffer(body)};
        boost::system::error_code error;
        co_await asio::async_write(call->connection_->socket_, buffers,
                                   asio::redirect_error(asio::use_awaitable, error));
        std::string().swap(body);
        if (call->cancelled_)
            co_return;
        if (error) {
            call->handlers_.onFailed_(RelayFailure::ConnectionLost,
                                      "can't send the request: " + error.message());
            co_return;
        }
        co_await readResponse(*self, *call);
    }

    static asio::awaitable<void> readResponse(Impl &self, detail::RelayCallState &call)
    {
        int interim = 0;
        while (true) {
            detail::ResponseParser parser;
            if (!co_await readHead(call, parser))
                co_return;
            if (parser.get().result_int() / detail::StatusClassSize == detail::InformationalClass) {
                if (++interim > detail::MaxInterimResponses)
                    co_return failWithProtocolError(call, "too many interim responses (1xx)");
                continue;
            }
            ResponseHead head {static_cast<std::uint16_t>(parser.get().result_int()),
                               detail::headersOf(parser)};
            const detail::ResponseOwner owner = detail::ownerOf(call, head);
            call.connection_->responseReceived_ = true;
            if (owner != detail::ResponseOwner::Call) {
                ++call.info_.unmatchedResponses_;
                ++self.unmatchedResponses_;
            }
            if (owner == detail::ResponseOwner::Unknown)
                co_return failWithProtocolError(
                        call, "response without request id is not the first on its connection");
            if (owner == detail::ResponseOwner::Call)
                co_return co_await forwardResponse(self, call, parser, std::move(head));
            if (call.info_.unmatchedResponses_ > detail::MaxUnmatchedResponses)
                co_return failWithProtocolError(call, "too many responses to other requests");
            if (!co_await discardResponse(call, parser))
                co_return;
        }
    }

    //! Returns false if the call has ended. The timeout keeps running while the body is read.
    static asio::awaitable<bool> readHead(detail::RelayCallState &call,
                                          detail::ResponseParser &parser)
    {
        parser.header_limit(detail::MaxHeaderBytes);
        parser.body_limit(boost::none);
        if (call.request_.request_.method_ == "HEAD")
            parser.skip(true);
        detail::ClientConnection &connection = *call.connection_;
        boost::system::error_code error;
        detail::cancelTimeout(connection);
        if (connection.buffer_.size() == 0)
            co_await connection.socket_.async_wait(
                    tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
        if (!call.cancelled_ && !error) {
            detail::closeAfter(call.connection_, detail::HeaderTimeout);
            while (!error && !parser.is_header_done())
                error = co_await detail::readSome(connection.socket_, connection.buffer_, parser);
        }
        if (!call.cancelled_ && error)
            fail(call, error);
        co_return !call.cancelled_ && !error;
    }

    //! Passes the response of this call to its handlers.
    static asio::awaitable<void> forwardResponse(Impl &self, detail::RelayCallState &call,
                                                 detail::ResponseParser &parser, ResponseHead head)
    {
        detail::cancelTimeout(*call.connection_);
        const bool echoed = findHeader(head.headers_, call.request_.correlationHeader_).has_value();
        call.handlers_.onHead_(std::move(head));
        char bytes[detail::ReadBytes];
        while (!call.cancelled_ && !parser.is_done()) {
            const detail::BodyPiece piece = co_await readBody(call, parser, bytes);
            if (piece.size_ > 0 && !call.cancelled_)
                call.handlers_.onBody_({bytes, piece.size_});
            if (piece.error_ && !call.cancelled_)
                co_return fail(call, piece.error_);
        }
        if (!call.cancelled_)
            finish(self, call, parser, echoed);
    }

    //! Reads and discards the body of an unmatched response. Returns false if the call has ended.
    static asio::awaitable<bool> discardResponse(detail::RelayCallState &call,
                                                 detail::ResponseParser &parser)
    {
        char bytes[detail::ReadBytes];
        std::size_t total = 0;
        while (!parser.is_done()) {
            const detail::BodyPiece piece = co_await readBody(call, parser, bytes);
            if (call.cancelled_)
                co_return false;
            if (piece.error_) {
                fail(call, piece.error_);
                co_return false;
            }
            total += piece.size_;
            if (total > detail::MaxUnmatchedResponseBytes) {
                failWithProtocolError(call, "response to another request is too large");
                co_return false;
            }
        }
        co_return true;
    }

    static asio::awaitable<detail::BodyPiece> readBody(detail::RelayCallState &call,
                                                       detail::ResponseParser &parser,
                                                       std::span<char, detail::ReadBytes> bytes)
    {
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        detail::BodyPiece piece;
        piece.error_ = co_await detail::readSome(call.connection_->socket_,
                                                 call.connection_->buffer_, parser);
        if (piece.error_ == beast::http::error::need_buffer)
            piece.error_ = {};
        piece.size_ = bytes.size() - parser.get().body().size;
        co_return piece;
    }

    //! Reuses the connection only if the server echoes request ids, so that later responses on it
    //! can be matched to their requests.
    static void finish(Impl &self, detail::RelayCallState &call, detail::ResponseParser &parser,
                       bool echoed)
    {
        const auto reusableFor = detail::reuseTime(parser);
        const bool requestLimitReached
                = call.connection_->requestIdHashes_.size() >= detail::MaxRequestsPerConnection;
        if (reusableFor && echoed && !requestLimitReached
            && call.connection_->buffer_.size() == 0) {
            call.connection_->reusableUntil_ = detail::Clock::now() + *reusableFor;
            detail::addIdle(self.idle_, detail::serverOf(call.request_),
                            std::move(call.connection_));
        }
        call.connection_.reset();
        call.handlers_.onComplete_();
    }

    //! Fails the call because of an invalid or unmatched response; the request may have been
    //! executed.
    static void failWithProtocolError(detail::RelayCallState &call, const char *reason)
    {
        call.connection_.reset();
        call.handlers_.onFailed_(RelayFailure::ProtocolError, reason);
    }

    static void fail(detail::RelayCallState &call, boost::system::error_code error)
    {
        const bool timedOut = call.connection_->timedOut_;
        const bool broken = error == asio::error::connection_reset || error == asio::error::eof
                            || error == asio::error::broken_pipe || error == asio::error::timed_out
                            || error == beast::http::error::end_of_stream
                            || error == beast::http::error::partial_message;
        call.connection_.reset();
        call.handlers_.onFailed_(broken ? RelayFailure::ConnectionLost
                                        : RelayFailure::ProtocolError,
                                 timedOut ? "response timed out" : error.message());
    }

    asio::io_context &context_;
    RelayClientOptions options_;
    detail::IdleConnections<detail::ConnectionPtr> idle_;
    std::uint64_t connectionsOpened_ = 0;
    std::uint64_t unmatchedResponses_ = 0;
};

RelayCall::RelayCall(std::shared_ptr<detail::RelayCallState> state) : state_(std::move(state)) { }

void RelayCall::cancel()
{
    if (!state_ || state_->cancelled_)
        return;
    state_->cancelled_ = true;
    if (!state_->connection_)
        return;
    boost::system::error_code ignored;
    state_->connection_->socket_.close(ignored);
}

RelayCallInfo RelayCall::info() const
{
    return state_ ? state_->info_ : RelayCallInfo();
}

RelayClient::RelayClient(asio::io_context &context, RelayClientOptions options)
    : impl_(std::make_shared<Impl>(context, options))
{ }

RelayClient::~RelayClient() = default;

RelayCall RelayClient::send(RelayCallRequest request, RelayCallHandlers handlers)
{
    auto call = std::make_shared<detail::RelayCallState>();
    call->request_ = std::move(request);
    call->handlers_ = std::move(handlers);
    asio::co_spawn(impl_->context_, Impl::run(impl_, call), asio::detached);
    return RelayCall(call);
}

void RelayClient::closeIdleExcept(const RelayServerFilter &isKnown)
{
    const auto now = detail::Clock::now();
    detail::closeIdleIf(impl_->idle_, [&](const auto &entry) {
        const auto &[address, name] = entry.server_;
        return !isKnown(address, name) || !detail::mayReuse(*entry.connection_, now);
    });
}

std::size_t RelayClient::idleConnections() const
{
    return impl_->idle_.entries_.size();
}

std::uint64_t RelayClient::connectionsOpened() const
{
    return impl_->connectionsOpened_;
}

std::uint64_t RelayClient::unmatchedResponses() const
{
    return impl_->unmatchedResponses_;
}

} // namespace gypsumcroft::http
