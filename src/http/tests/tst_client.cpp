#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/client.h"
#include "replyingserver.h"

using namespace gypsumcroft;
using namespace gypsumcroft::http::tests;

namespace {

constexpr std::size_t MaxBytes = 1000;

std::string responseText(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + " Any\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

//! Requests that are sent one after the other, and the results that the client reports.
struct ExchangeCase
{
    const char *name_;
    //! For each request, whether it asks for a new connection.
    std::vector<bool> newConnection_;
    std::vector<Reply> replies_;
    const char *seen_;
    std::size_t connections_;
};

std::ostream &operator<<(std::ostream &out, const ExchangeCase &test)
{
    return out << test.name_;
}

const std::string Half = "HTTP/1.1 200 OK\r\nX-Half: ";
const std::string OtherHalf = "y\r\nContent-Length: 3\r\n\r\nbad";

const ExchangeCase ExchangeCases[] = {
        {"an idle connection is reused",
         {false, false},
         {{responseText("200", "one"), ""}, {responseText("200", "two"), ""}},
         "200 one, 200 two",
         1},
        {"part of another response follows the response",
         {false, false},
         {{responseText("200", "one") + Half, OtherHalf}, {responseText("200", "two"), ""}},
         "200 one, 200 two",
         2},
        {"another response follows the response",
         {false, false},
         {{responseText("200", "one") + responseText("200", "bad"), ""},
          {responseText("200", "two"), ""}},
         "200 one, 200 two",
         2},
        {"interim response",
         {false, false},
         {{"HTTP/1.1 102 Processing\r\n\r\n" + responseText("200", "one"), ""},
          {responseText("200", "two"), ""}},
         "200 one, 200 two",
         1},
        {"a connection for a single request is not reused",
         {true, false},
         {{responseText("200", "one"), responseText("200", "bad")},
          {responseText("200", "two"), ""}},
         "200 one, 200 two",
         2},
        {"a request for a new connection reuses none",
         {false, true},
         {{responseText("200", "one"), responseText("200", "bad")},
          {responseText("200", "two"), ""}},
         "200 one, 200 two",
         2},
        {"body of the largest size",
         {false},
         {{responseText("200", std::string(MaxBytes, 'y')), ""}},
         "200 1000 bytes",
         1},
        {"body too large",
         {false},
         {{responseText("200", std::string(MaxBytes + 1, 'y')), ""}},
         "none",
         1},
        {"total size of the chunks too large",
         {false},
         {{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1F4\r\n" + std::string(500, 'y')
                   + "\r\n1F5\r\n" + std::string(501, 'y') + "\r\n0\r\n\r\n",
           ""}},
         "none",
         1},
        {"header section too large",
         {false},
         {{"HTTP/1.1 200 OK\r\nX-Long: " + std::string(16384, 'y')
                   + "\r\nContent-Length: 3\r\n\r\none",
           ""}},
         "none",
         1},
        {"chunk header too long",
         {false},
         {{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=" + std::string(300000, 'y')
                   + "\r\ny\r\n0\r\n\r\n",
           ""}},
         "none",
         1},
        {"too many interim responses",
         {false},
         {{[] {
               std::string many;
               for (int i = 0; i < 20; ++i)
                   many += "HTTP/1.1 102 Processing\r\n\r\n";
               return many + responseText("200", "one");
           }(),
           ""}},
         "none",
         1},
};

std::string textOf(const http::ClientResult &result)
{
    constexpr std::size_t MostShown = 100;
    if (!result.response_)
        return "none";
    const std::string &body = result.response_->body_;
    return std::to_string(result.response_->status_) + " "
           + (body.size() > MostShown ? std::to_string(body.size()) + " bytes" : body);
}

} // namespace

BOOST_DATA_TEST_CASE(eachRequestGetsItsOwnResponse, ExchangeCases, test)
{
    asio::io_context context;
    ReplyingServer server(context, test.replies_);
    http::Client client(context);
    std::string seen;
    for (const bool newConnection : test.newConnection_) {
        std::optional<http::ClientResult> result;
        http::HttpRequest request;
        request.path_ = "/";
        client.send(server.address(), std::move(request),
                    {std::chrono::seconds(2), newConnection, MaxBytes},
                    [&](http::ClientResult got) { result = std::move(got); });
        BOOST_REQUIRE(
                runUntil(context, std::chrono::seconds(4), [&] { return result.has_value(); }));
        seen += (seen.empty() ? "" : ", ") + textOf(*result);
    }
    BOOST_TEST(seen == test.seen_);
    BOOST_TEST(server.connections() == test.connections_);
}

namespace {

//! Sends a response in pieces of one byte, one every PieceGap, and stops after some of them.
class SlowServer
{
public:
    SlowServer(asio::io_context &context, std::size_t pieces)
        : acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          socket_(context), timer_(context), left_(pieces)
    {
        acceptor_.async_accept(socket_, [this](boost::system::error_code error) {
            if (!error)
                write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
        });
    }
    Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

private:
    static constexpr std::chrono::milliseconds PieceGap {300};

    void write(const std::string &bytes)
    {
        boost::system::error_code ignored;
        asio::write(socket_, asio::buffer(bytes), ignored);
        timer_.expires_after(PieceGap);
        timer_.async_wait([this](boost::system::error_code error) {
            if (!error && left_-- > 0)
                write("y");
        });
    }

    tcp::acceptor acceptor_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    std::size_t left_;
};

//! Response of five bytes that takes 1.5 s, and the limits of the request.
struct SlowCase
{
    const char *name_;
    std::size_t pieces_;
    int timeoutMs_;
    std::optional<int> maxTotalMs_;
    const char *seen_;
};

std::ostream &operator<<(std::ostream &out, const SlowCase &test)
{
    return out << test.name_;
}

const SlowCase SlowCases[] = {
        {"the timeout holds for the whole response", 5, 1000, std::nullopt, "none"},
        {"it holds for each part", 5, 1000, 8000, "200 yyyyy"},
        {"a response that stops", 3, 1000, 8000, "none"},
        {"a response that takes too long in all", 5, 1000, 800, "none"},
};

} // namespace

// A read of a large state on a full link must not fail while its bytes keep arriving, and be begun
// again from the start.
BOOST_DATA_TEST_CASE(slowResponsesAreReadToTheEnd, SlowCases, test)
{
    asio::io_context context;
    SlowServer server(context, test.pieces_);
    http::Client client(context);
    http::ClientOptions options;
    options.timeout_ = std::chrono::milliseconds(test.timeoutMs_);
    if (test.maxTotalMs_)
        options.maxTotalTime_ = std::chrono::milliseconds(*test.maxTotalMs_);
    std::optional<http::ClientResult> result;
    http::HttpRequest request;
    request.path_ = "/";
    client.send(server.address(), std::move(request), options,
                [&](http::ClientResult got) { result = std::move(got); });
    BOOST_REQUIRE(runUntil(context, [&] { return result.has_value(); }));
    BOOST_TEST(textOf(*result) == test.seen_);
}
