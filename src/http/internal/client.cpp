#include "http/client.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "idleconnections.h"
#include "messagereader.h"

namespace gypsumcroft::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace detail {

using Clock = std::chrono::steady_clock;

constexpr std::size_t MaxIdlePerAddress = 64;
//! Idle connections to all addresses.
constexpr std::size_t MaxIdle = 128;
//! Connections that the server has closed are looked for at most this often, when one is added.
constexpr std::chrono::milliseconds IdleCheckInterval {1000};
constexpr std::uint32_t MaxHeaderBytes = 8 * 1024;
//! Read buffer ahead of the parser. Also limits a chunk header with its extensions, and a trailer
//! section.
constexpr std::size_t MaxBufferedBytes = 64UL * 1024;
//! Interim responses (1xx) to one request.
constexpr int MaxInterimResponses = 8;
constexpr unsigned InformationalClass = 1;
constexpr unsigned StatusClassSize = 100;

using StreamPtr = std::unique_ptr<beast::tcp_stream>;
using Message = beast::http::request<beast::http::string_body>;
using ResponseParser = MessageParser<false, beast::http::string_body>;

//! Encodes a name or value in a query: all bytes but the unreserved ones of RFC 3986.
std::string encodePercent(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    constexpr std::string_view Unreserved
            = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    constexpr unsigned HalfByteBits = 4;
    constexpr unsigned HalfByte = 0xf;
    std::string encoded;
    for (const char character : text) {
        if (Unreserved.find(character) != std::string_view::npos) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += Digits[byte >> HalfByteBits];
        encoded += Digits[byte & HalfByte];
    }
    return encoded;
}

Message messageOf(const Address &to, HttpRequest &request)
{
    Message message;
    message.method_string(request.method_);
    std::string target = request.path_;
    char separator = '?';
    for (const auto &[name, value] : request.query_) {
        target += separator;
        target.append(encodePercent(name)).append("=").append(encodePercent(value));
        separator = '&';
    }
    message.target(target);
    message.version(11);
    message.set(beast::http::field::host, to.host_ + ":" + std::to_string(to.port_));
    for (const auto &[name, value] : request.headers_)
        message.set(name, value);
    message.body() = std::move(request.body_);
    message.keep_alive(true);
    message.prepare_payload();
    return message;
}

bool isConnectionLost(const boost::system::error_code &error)
{
    return error == asio::error::connection_refused || error == asio::error::connection_reset
           || error == asio::error::eof || error == asio::error::broken_pipe
           || error == beast::http::error::end_of_stream
           || error == beast::http::error::partial_message;
}

HttpResponse responseOf(ResponseParser &parser)
{
    HttpResponse response;
    response.status_ = static_cast<std::uint16_t>(parser.get().result_int());
    response.contentType_ = std::string(parser.get()[beast::http::field::content_type]);
    for (const auto &field : parser.get())
        response.headers_.emplace_back(std::string(field.name_string()),
                                       std::string(field.value()));
    response.body_ = std::move(parser.get().body());
    return response;
}

} // namespace detail

struct Client::Impl : std::enable_shared_from_this<Client::Impl>
{
    explicit Impl(asio::io_context &context) : context_(context) { }

    detail::StreamPtr takeIdleConnection(const Address &to)
    {
        const auto any = [](const beast::tcp_stream &) { return true; };
        while (auto stream = detail::takeIdle(idle_, {to, {}}, any)) {
            if (detail::isReusable((*stream)->socket()))
                return std::move(*stream);
        }
        return nullptr;
    }

    void addIdleConnection(const Address &to, detail::StreamPtr stream,
                           detail::Clock::time_point now)
    {
        detail::addIdle(idle_, {to, {}}, std::move(stream));
        if (now < idleCheckedAt_ + detail::IdleCheckInterval)
            return;
        idleCheckedAt_ = now;
        detail::closeIdleIf(idle_, [](const auto &entry) {
            return !detail::isReusable(entry.connection_->socket());
        });
    }

    static asio::awaitable<ClientResult> connect(beast::tcp_stream &stream, Address to)
    {
        ClientResult result;
        boost::system::error_code error;
        const auto host = asio::ip::make_address(to.host_, error);
        if (!error)
            co_await stream.async_connect(tcp::endpoint(host, to.port_),
                                          asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            boost::system::error_code ignored;
            stream.socket().set_option(tcp::no_delay(true), ignored);
            co_return result;
        }
        result.notSent_ = true;
        result.connectionLost_ = detail::isConnectionLost(error);
        result.reason_ = "can't connect: " + error.message();
        co_return result;
    }

    //! Reads one response; where the options say so, each part of it may take the timeout.
    static asio::awaitable<boost::system::error_code> readMessage(beast::tcp_stream &stream,
                                                                  beast::flat_buffer &buffer,
                                                                  detail::ResponseParser &parser,
                                                                  const ClientOptions &options,
                                                                  detail::Clock::time_point end)
    {
        const auto extendTimeout = [&] {
            if (options.maxTotalTime_)
                stream.expires_at(std::min(end, detail::Clock::now() + options.timeout_));
        };
        co_return co_await detail::readMessage(stream, buffer, parser, extendTimeout);
    }

    //! Reads the final response; interim responses (1xx) are skipped.
    static asio::awaitable<boost::system::error_code>
    readResponse(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                 std::optional<detail::ResponseParser> &parser, const ClientOptions &options,
                 detail::Clock::time_point end)
    {
        for (int interim = 0; interim <= detail::MaxInterimResponses; ++interim) {
            parser.emplace();
            parser->header_limit(detail::MaxHeaderBytes);
            parser->body_limit(options.maxResponseBytes_);
            const boost::system::error_code error
                    = co_await readMessage(stream, buffer, *parser, options, end);
            const unsigned status = parser->get().result_int();
            if (error || status / detail::StatusClassSize != detail::InformationalClass)
                co_return error;
        }
        co_return beast::http::error::bad_status;
    }

    static asio::awaitable<ClientResult> exchange(std::shared_ptr<Impl> self, Address to,
                                                  HttpRequest request, ClientOptions options)
    {
        detail::StreamPtr stream = options.newConnection_ ? nullptr : self->takeIdleConnection(to);
        const bool opensConnection = stream == nullptr;
        if (opensConnection)
            stream = std::make_unique<beast::tcp_stream>(self->context_);
        stream->expires_after(options.timeout_);
        const auto end = detail::Clock::now() + options.maxTotalTime_.value_or(options.timeout_);
        if (opensConnection) {
            ClientResult connected = co_await connect(*stream, to);
            if (!connected.reason_.empty())
                co_return connected;
        }
        boost::system::error_code error;
        detail::Message message = detail::messageOf(to, request);
        co_await beast::http::async_write(*stream, message,
                                          asio::redirect_error(asio::use_awaitable, error));
        beast::flat_buffer buffer(detail::MaxBufferedBytes);
        std::optional<detail::ResponseParser> parser;
        if (!error)
            error = co_await readResponse(*stream, buffer, parser, options, end);
        ClientResult result;
        if (error) {
            result.connectionLost_ = detail::isConnectionLost(error);
            result.reason_ = error.message();
            co_return result;
        }
        result.response_ = detail::responseOf(*parser);
        stream->expires_never();
        // Surplus bytes would be parsed as part of the next response.
        if (parser->keep_alive() && buffer.size() == 0 && !options.newConnection_)
            self->addIdleConnection(to, std::move(stream), detail::Clock::now());
        co_return result;
    }

    asio::io_context &context_;
    detail::IdleConnections<detail::StreamPtr> idle_ {
            {detail::MaxIdlePerAddress, detail::MaxIdle}, {}, {}};
    detail::Clock::time_point idleCheckedAt_;
};

Client::Client(asio::io_context &context) : impl_(std::make_shared<Impl>(context)) { }

Client::~Client() = default;

void Client::send(const Address &to, HttpRequest request, ClientOptions options,
                  std::function<void(ClientResult)> callback)
{
    asio::co_spawn(
            impl_->context_, Impl::exchange(impl_, to, std::move(request), options),
            [callback = std::move(callback)](const std::exception_ptr &error, ClientResult result) {
                if (error)
                    result.reason_ = "internal error";
                callback(std::move(result));
            });
}

} // namespace gypsumcroft::http
