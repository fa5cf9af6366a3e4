#include "http/server.h"

#include <algorithm>
#include <deque>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "messagereader.h"

namespace gypsumcroft::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace detail {

//! The connection is closed when more bytes of events than this wait to be sent.
constexpr std::size_t MaxUnsentBytes = 8UL * 1024 * 1024;

//! Without a delay, the thread would spin while the process is out of file descriptors.
constexpr std::chrono::milliseconds AcceptRetryDelay {20};

enum class ResponseState { Pending, Complete, Events, EventsDone };

//! One connection. Its members are accessed only on the single thread of its io_context.
struct Connection : std::enable_shared_from_this<Connection>
{
    explicit Connection(tcp::socket socket)
        : stream_(std::move(socket)), wakeTimer_(stream_.get_executor())
    {
        wakeTimer_.expires_at(asio::steady_timer::time_point::max());
    }

    //! Runs the action on the connection's thread, unless another exchange is current by then.
    void post(std::uint64_t exchange, std::function<void(Connection &)> action)
    {
        asio::post(stream_.get_executor(),
                   [self = shared_from_this(), exchange, action = std::move(action)] {
                       if (self->exchangeNumber_ != exchange)
                           return;
                       action(*self);
                       self->wakeTimer_.cancel_one();
                   });
    }

    void markDisconnected()
    {
        disconnected_ = true;
        if (onDisconnect_)
            std::exchange(onDisconnect_, nullptr)();
        wakeTimer_.cancel_one();
    }

    beast::tcp_stream stream_;
    //! Cancelled to resume the coroutine that serves the connection.
    asio::steady_timer wakeTimer_;
    ResponseState state_ = ResponseState::Pending;
    HttpResponse response_;
    //! Encoded events that wait to be sent, and their size.
    std::deque<std::string> events_;
    std::size_t unsentBytes_ = 0;
    std::function<void()> onDisconnect_;
    bool disconnected_ = false;
    bool closed_ = false;
    bool headRequest_ = false;
    //! Number of the current exchange. Calls on an Exchange with another number are ignored.
    std::uint64_t exchangeNumber_ = 0;
    std::chrono::milliseconds sendTimeout_ {};
};

std::string decodePercent(std::string_view text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            const std::string digits(text.substr(i + 1, 2));
            plain += static_cast<char>(std::strtoul(digits.c_str(), nullptr, 16));
            i += 2;
        } else {
            plain += text[i] == '+' ? ' ' : text[i];
        }
    }
    return plain;
}

void splitTarget(std::string_view target, HttpRequest &request)
{
    const auto mark = target.find('?');
    request.path_ = std::string(target.substr(0, mark));
    if (mark == std::string_view::npos)
        return;
    std::string_view rest = target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos)
            request.query_[decodePercent(pair.substr(0, equals))]
                    = decodePercent(pair.substr(equals + 1));
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
}

using Parser = MessageParser<true, beast::http::string_body>;

HttpRequest requestOf(Parser &parser)
{
    HttpRequest request;
    auto &message = parser.get();
    request.method_ = std::string(message.method_string());
    splitTarget({message.target().data(), message.target().size()}, request);
    for (const auto &field : message) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char ch) { return static_cast<char>(std::tolower(ch)); });
        request.headers_[name] = std::string(field.value());
    }
    request.body_ = std::move(message.body());
    return request;
}

asio::awaitable<bool> writeResponse(Connection &connection, bool keepAlive)
{
    beast::http::response<beast::http::string_body> message;
    message.result(connection.response_.status_);
    message.set(beast::http::field::content_type, connection.response_.contentType_);
    for (const auto &[name, value] : connection.response_.headers_)
        message.set(name, value);
    message.body() = std::move(connection.response_.body_);
    message.keep_alive(keepAlive);
    message.prepare_payload();
    boost::system::error_code error;
    beast::http::response_serializer<beast::http::string_body> serializer(message);
    serializer.split(connection.headRequest_);
    if (connection.headRequest_)
        co_await beast::http::async_write_header(connection.stream_, serializer,
                                                 asio::redirect_error(asio::use_awaitable, error));
    else
        co_await beast::http::async_write(connection.stream_, serializer,
                                          asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

asio::awaitable<bool> writeText(Connection &connection, std::string text)
{
    connection.stream_.expires_after(connection.sendTimeout_);
    boost::system::error_code error;
    co_await asio::async_write(connection.stream_, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

std::string chunk(std::string_view text)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + std::string(text) + "\r\n";
}

asio::awaitable<void> waitForChange(Connection &connection)
{
    boost::system::error_code ignored;
    connection.wakeTimer_.expires_at(asio::steady_timer::time_point::max());
    co_await connection.wakeTimer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<bool> writeEvents(Connection &connection)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                             "Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n\r\n";
    bool open = co_await writeText(connection, head);
    if (connection.headRequest_)
        co_return open;
    while (open && !connection.disconnected_) {
        if (connection.events_.empty() && connection.state_ == ResponseState::EventsDone)
            break;
        if (connection.events_.empty()) {
            co_await waitForChange(connection);
            continue;
        }
        std::string text;
        for (const std::string &event : connection.events_)
            text += event;
        connection.events_.clear();
        connection.unsentBytes_ = 0;
        open = co_await writeText(connection, chunk(text));
    }
    if (!open || connection.disconnected_)
        co_return false;
    co_return co_await writeText(connection, "0\r\n\r\n");
}

asio::awaitable<void> pauseAccepting(asio::io_context &context)
{
    asio::steady_timer timer(context, AcceptRetryDelay);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

//! Detects that the caller closes the connection while its request is in progress.
void watchForClose(const std::shared_ptr<Connection> &connection)
{
    connection->stream_.socket().async_wait(
            tcp::socket::wait_read,
            [connection, exchange = connection->exchangeNumber_](boost::system::error_code error) {
                if (error || connection->closed_ || connection->exchangeNumber_ != exchange
                    || connection->state_ == ResponseState::Complete)
                    return;
                char byte = 0;
                boost::system::error_code ignored;
                const auto flags = tcp::socket::message_peek;
                connection->stream_.socket().non_blocking(true, ignored);
                const std::size_t size = connection->stream_.socket().receive(
                        asio::buffer(&byte, 1), flags, ignored);
                if (size == 0 && ignored != asio::error::would_block)
                    connection->markDisconnected();
            });
}

} // namespace detail

constexpr std::size_t FirstReadBytes = 4096;
//! Bytes that are read ahead of the parser in addition to a header section of the largest size.
//! Without a limit, a chunk's extensions or trailers without end would fill the memory.
constexpr std::size_t ReadAheadBytes = 64UL * 1024;

struct Server::Impl : std::enable_shared_from_this<Server::Impl>
{
    asio::awaitable<void> accept()
    {
        std::size_t next = 0;
        while (acceptor_->is_open()) {
            auto &context = *contexts_[next++ % contexts_.size()];
            tcp::socket socket(context);
            boost::system::error_code error;
            co_await acceptor_->async_accept(socket,
                                             asio::redirect_error(asio::use_awaitable, error));
            if (error == asio::error::operation_aborted)
                co_return;
            if (error) {
                co_await detail::pauseAccepting(*contexts_.front());
                continue;
            }
            auto connection = std::make_shared<detail::Connection>(std::move(socket));
            asio::co_spawn(context, serve(shared_from_this(), std::move(connection)),
                           asio::detached);
        }
    }

    static asio::awaitable<bool> readRequest(const Impl &self, detail::Connection &connection,
                                             beast::flat_buffer &buffer, detail::Parser &parser)
    {
        boost::system::error_code error;
        parser.body_limit(self.options_.maxBodyBytes_);
        parser.header_limit(self.options_.maxHeaderBytes_);
        if (buffer.size() == 0) {
            connection.stream_.expires_after(self.options_.idleTimeout_);
            const std::size_t size = co_await connection.stream_.async_read_some(
                    buffer.prepare(FirstReadBytes),
                    asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return false;
            buffer.commit(size);
        }
        // The timeout of the stream would close it before the 408 response is sent.
        connection.stream_.expires_never();
        const auto limit = std::make_shared<asio::steady_timer>(connection.stream_.get_executor(),
                                                                self.options_.readTimeout_);
        const auto timedOut = std::make_shared<bool>(false);
        limit->async_wait([limit, timedOut, self = connection.shared_from_this()](
                                  boost::system::error_code cancelled) {
            boost::system::error_code ignored;
            *timedOut = !cancelled;
            if (!cancelled)
                self->stream_.socket().cancel(ignored);
        });
        error = co_await detail::readMessage(connection.stream_, buffer, parser, [] {});
        limit->cancel();
        if (*timedOut)
            error = beast::error::timeout;
        if (!error)
            co_return true;
        co_await refuseUnreadable(connection, error);
        co_return false;
    }

    //! Responds with the error to a request that could not be read and therefore was not executed.
    static asio::awaitable<void> refuseUnreadable(detail::Connection &connection,
                                                  boost::system::error_code error)
    {
        HttpResponse response;
        std::string code = "bad-request";
        response.status_ = 400;
        if (error == beast::http::error::end_of_stream || error == asio::error::eof
            || error == asio::error::connection_reset)
            co_return;
        if (error == beast::http::error::body_limit) {
            response.status_ = 413;
            code = "too-large";
        } else if (error == beast::http::error::header_limit
                   || error == beast::http::error::buffer_overflow) {
            response.status_ = 431;
            code = "too-large";
        } else if (error == beast::error::timeout) {
            response.status_ = 408;
            code = "timeout";
        }
        response.body_ = R"({"run":"not-run","code":")" + code + R"(","reason":")" + error.message()
                         + "\"}\n";
        connection.response_ = std::move(response);
        connection.headRequest_ = false;
        connection.stream_.expires_after(std::chrono::seconds(1));
        co_await detail::writeResponse(connection, false);
        boost::system::error_code ignored;
        connection.stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    static asio::awaitable<void> serve(std::shared_ptr<Impl> self,
                                       std::shared_ptr<detail::Connection> connection)
    {
        boost::system::error_code ignored;
        connection->stream_.socket().set_option(tcp::no_delay(true), ignored);
        beast::flat_buffer buffer(self->options_.maxHeaderBytes_ + ReadAheadBytes);
        bool open = true;
        while (open && !connection->disconnected_) {
            detail::Parser parser;
            if (!co_await readRequest(*self, *connection, buffer, parser))
                break;
            const bool keepAlive = parser.get().keep_alive();
            ++connection->exchangeNumber_;
            connection->headRequest_ = parser.get().method() == beast::http::verb::head;
            connection->state_ = detail::ResponseState::Pending;
            connection->events_.clear();
            detail::watchForClose(connection);
            self->handler_(detail::requestOf(parser), std::make_shared<Exchange>(connection));
            while (connection->state_ == detail::ResponseState::Pending
                   && !connection->disconnected_)
                co_await detail::waitForChange(*connection);
            if (connection->disconnected_)
                break;
            connection->sendTimeout_ = self->options_.sendTimeout_;
            connection->stream_.expires_after(connection->sendTimeout_);
            if (connection->state_ == detail::ResponseState::Complete)
                open = co_await detail::writeResponse(*connection, keepAlive) && keepAlive;
            else
                open = co_await detail::writeEvents(*connection) && keepAlive;
            if (!open)
                connection->markDisconnected();
            connection->onDisconnect_ = nullptr;
        }
        connection->closed_ = true;
        connection->stream_.close();
    }

    std::vector<asio::io_context *> contexts_;
    Handler handler_;
    ServerOptions options_;
    std::unique_ptr<tcp::acceptor> acceptor_;
};

Exchange::Exchange(std::shared_ptr<detail::Connection> connection)
    : connection_(std::move(connection)), exchangeNumber_(connection_->exchangeNumber_)
{ }

void Exchange::respond(HttpResponse response)
{
    connection_->post(exchangeNumber_,
                      [response = std::move(response)](detail::Connection &connection) mutable {
                          if (connection.state_ != detail::ResponseState::Pending)
                              return;
                          connection.response_ = std::move(response);
                          connection.state_ = detail::ResponseState::Complete;
                      });
}

void Exchange::startEvents()
{
    connection_->post(exchangeNumber_, [](detail::Connection &connection) {
        if (connection.state_ == detail::ResponseState::Pending)
            connection.state_ = detail::ResponseState::Events;
    });
}

void Exchange::sendEvent(const std::string &event, const std::string &data)
{
    std::string text = "event: " + event + "\ndata: " + data + "\n\n";
    connection_->post(exchangeNumber_,
                      [text = std::move(text)](detail::Connection &connection) mutable {
                          if (connection.state_ != detail::ResponseState::Events)
                              return;
                          connection.unsentBytes_ += text.size();
                          connection.events_.push_back(std::move(text));
                          if (connection.unsentBytes_ > detail::MaxUnsentBytes)
                              connection.markDisconnected();
                      });
}

void Exchange::finishEvents()
{
    connection_->post(exchangeNumber_, [](detail::Connection &connection) {
        if (connection.state_ == detail::ResponseState::Events)
            connection.state_ = detail::ResponseState::EventsDone;
    });
}

void Exchange::onDisconnect(std::function<void()> handler)
{
    connection_->post(exchangeNumber_,
                      [handler = std::move(handler)](detail::Connection &connection) mutable {
                          if (connection.disconnected_)
                              handler();
                          else
                              connection.onDisconnect_ = std::move(handler);
                      });
}

Server::Server(std::vector<asio::io_context *> contexts, Handler handler, ServerOptions options)
    : impl_(std::make_shared<Impl>())
{
    impl_->contexts_ = std::move(contexts);
    impl_->handler_ = std::move(handler);
    impl_->options_ = options;
}

//! Open connections keep Impl alive until the last context is destroyed, but the acceptor must be
//! destroyed before its own context.
Server::~Server()
{
    impl_->acceptor_.reset();
}

Result<Address> Server::listen(const Address &address)
{
    try {
        const tcp::endpoint endpoint(asio::ip::make_address(address.host_), address.port_);
        impl_->acceptor_ = std::make_unique<tcp::acceptor>(*impl_->contexts_.front(), endpoint);
        asio::co_spawn(*impl_->contexts_.front(), impl_->accept(), asio::detached);
        return success(Address {address.host_, impl_->acceptor_->local_endpoint().port()});
    } catch (const boost::system::system_error &error) {
        return failure<Address>("can't listen on " + address.host_ + ":"
                                + std::to_string(address.port_) + ": " + error.code().message());
    }
}

void Server::stopAccepting()
{
    asio::post(*impl_->contexts_.front(), [impl = impl_] {
        boost::system::error_code ignored;
        if (impl->acceptor_)
            impl->acceptor_->close(ignored);
    });
}

} // namespace gypsumcroft::http
