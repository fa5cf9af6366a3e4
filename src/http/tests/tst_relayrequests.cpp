#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/relayserver.h"
#include "rununtil.h"

using namespace gypsumcroft;
namespace asio = boost::asio;
using asio::ip::tcp;
using http::tests::runUntil;

//! Pipelined requests, sent in pieces before the responses to earlier ones.
struct PipelineCase
{
    const char *name_;
    std::vector<std::string> pieces_;
    const char *targets_;
};

std::ostream &operator<<(std::ostream &out, const PipelineCase &test)
{
    return out << test.name_;
}

const PipelineCase PipelineCases[] = {
        {"one request in each piece",
         {"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", "GET /b HTTP/1.1\r\nHost: x\r\n\r\n",
          "GET /c HTTP/1.1\r\nHost: x\r\n\r\n"},
         "/a /b /c"},
        {"a request of another length",
         {"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", "GET /long HTTP/1.1\r\nHost: x\r\n\r\n",
          "GET /c HTTP/1.1\r\nHost: x\r\n\r\n"},
         "/a /long /c"},
        {"a body in two pieces",
         {"GET /a HTTP/1.1\r\nHost: x\r\n\r\n",
          "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab",
          "cdGET /c HTTP/1.1\r\nHost: x\r\n\r\n"},
         "/a /b:abcd /c"},
};

// Each piece is sent while the request before it is in progress. Its bytes must not be lost or
// mixed up with that request.
BOOST_DATA_TEST_CASE(pipelinedRequestsAreReadCompletely, PipelineCases, test)
{
    asio::io_context context;
    tcp::socket caller(context);
    std::string targets;
    std::size_t written = 0;
    const auto writeNext = [&] {
        if (written < test.pieces_.size())
            asio::write(caller, asio::buffer(test.pieces_[written++]));
    };
    const auto later = [&](std::function<void()> action) {
        auto timer = std::make_shared<asio::steady_timer>(context, std::chrono::milliseconds(30));
        timer->async_wait(
                [timer, action = std::move(action)](boost::system::error_code) { action(); });
    };
    http::RelayServer server(context, [&](const http::RelayRequest &request,
                                          const std::shared_ptr<http::RelayExchange> &exchange) {
        targets += (targets.empty() ? "" : " ") + request.target_
                   + (request.body_.empty() ? "" : ":" + request.body_);
        writeNext();
        later([exchange] { exchange->respond({200, {}}, "ok"); });
        later([&] { later(writeNext); });
    });
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    caller.connect({asio::ip::make_address(address->host_), address->port_});
    writeNext();
    runUntil(context, [&] { return targets.size() >= std::string(test.targets_).size(); });
    BOOST_TEST(targets == test.targets_);
}

//! Requests on one connection, each sent as soon as the previous response is complete.
struct NextRequestCase
{
    const char *name_;
    //! Target and body.
    std::vector<std::pair<const char *, const char *>> requests_;
    //! Stream the response instead of sending it at once.
    bool begun_;
};

std::ostream &operator<<(std::ostream &out, const NextRequestCase &test)
{
    return out << test.name_;
}

const NextRequestCase NextRequestCases[] = {
        {"same length", {{"/a", ""}, {"/b", ""}, {"/c", ""}, {"/d", ""}}, false},
        {"shorter", {{"/aaaa", ""}, {"/bbb", ""}, {"/cc", ""}, {"/d", ""}}, false},
        {"longer", {{"/a", ""}, {"/bb", ""}, {"/ccc", ""}, {"/dddd", ""}}, false},
        {"with a body", {{"/a", "1"}, {"/b", "22"}, {"/c", "3"}, {"/d", "4444"}}, false},
        {"same length, streamed", {{"/a", ""}, {"/b", ""}, {"/c", ""}, {"/d", ""}}, true},
        {"shorter, streamed", {{"/aaaa", ""}, {"/bbb", ""}, {"/cc", ""}, {"/d", ""}}, true},
        {"longer, streamed", {{"/a", ""}, {"/bb", ""}, {"/ccc", ""}, {"/dddd", ""}}, true},
        {"with a body, streamed", {{"/a", "1"}, {"/b", "22"}, {"/c", "3"}, {"/d", "4444"}}, true},
};

std::string requestText(const std::string &target, const std::string &body)
{
    return "POST " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

//! Body of the next response on a connection, or "none" if the connection ends first.
std::string readResponseBody(tcp::socket &socket, boost::beast::flat_buffer &buffer)
{
    namespace beast = boost::beast;
    beast::http::response<beast::http::string_body> response;
    boost::system::error_code error;
    beast::http::read(socket, buffer, response, error);
    return error ? "none" : response.body();
}

// The server's thread is delayed after each response, so that the next request arrives before the
// server processes the end of the current one. Each request must be executed once.
BOOST_DATA_TEST_CASE(requestThatArrivesBeforeThePreviousEndsRunsOnce, NextRequestCases, test)
{
    asio::io_context context;
    std::vector<std::string> ran;
    std::uint64_t place = 0;
    http::RelayServer server(context, [&](const http::RelayRequest &request,
                                          const std::shared_ptr<http::RelayExchange> &exchange) {
        BOOST_TEST(exchange->connectionId().value_ == 1U);
        BOOST_TEST(exchange->requestOrdinal().value_ == ++place);
        const std::string text = request.target_ + " " + request.body_;
        ran.push_back(text);
        const auto holdUp = [] { std::this_thread::sleep_for(std::chrono::milliseconds(20)); };
        if (!test.begun_) {
            exchange->respond({200, {}}, text);
            return holdUp();
        }
        exchange->startResponse({200, {}});
        // The last event and the end are written in one handler, so that a later handler sends the
        // end.
        const auto timer
                = std::make_shared<asio::steady_timer>(context, std::chrono::milliseconds(10));
        timer->async_wait([&context, timer, exchange, text, holdUp](boost::system::error_code) {
            exchange->writeBody(text);
            exchange->finishResponse();
            asio::post(context, holdUp);
        });
    });
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    std::vector<std::string> expected;
    for (const auto &[target, body] : test.requests_)
        expected.push_back(std::string(target) + " " + body);
    std::vector<std::string> responses;
    asio::io_context own;
    tcp::socket socket(own);
    socket.connect({asio::ip::make_address(address->host_), address->port_});
    std::jthread caller([&] {
        boost::beast::flat_buffer buffer;
        boost::system::error_code error;
        for (const auto &[target, body] : test.requests_) {
            asio::write(socket, asio::buffer(requestText(target, body)), error);
            responses.push_back(readResponseBody(socket, buffer));
        }
        asio::post(context, [&context] { context.stop(); });
    });
    context.run_for(std::chrono::seconds(5));
    boost::system::error_code ignored;
    socket.shutdown(tcp::socket::shutdown_both, ignored);
    caller.join();
    BOOST_TEST(responses == expected, boost::test_tools::per_element());
    BOOST_TEST(ran == expected, boost::test_tools::per_element());
}

//! Bytes that a caller sends before it shuts down sending, and all bytes that it receives.
struct FramingCase
{
    const char *name_;
    std::string bytes_;
    //! Targets and bodies of the executed requests.
    const char *ran_;
    std::string responses_;
};

std::ostream &operator<<(std::ostream &out, const FramingCase &test)
{
    return out << test.name_;
}

const std::string Plain = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string GetB = "GET /b HTTP/1.1\r\nHost: x\r\n\r\n";
const std::string Refused = "Content-Length: 0\r\nConnection: close\r\n\r\n";
const std::string BadRequest = "HTTP/1.1 400 Bad Request\r\n" + Refused;
const std::string NotImplemented = "HTTP/1.1 501 Not Implemented\r\n" + Refused;

const FramingCase FramingCases[] = {
        {"HEAD, complete response", "HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n" + GetB, "/a /b",
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + Plain},
        {"HEAD, streamed response", "HEAD /stream HTTP/1.1\r\nHost: x\r\n\r\n" + GetB, "/stream /b",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Plain},
        {"204, complete response", "GET /204 HTTP/1.1\r\nHost: x\r\n\r\n" + GetB, "/204 /b",
         "HTTP/1.1 204 No Content\r\n\r\n" + Plain},
        {"204, streamed response", "GET /stream204 HTTP/1.1\r\nHost: x\r\n\r\n" + GetB,
         "/stream204 /b", "HTTP/1.1 204 No Content\r\n\r\n" + Plain},
        {"304, complete response", "GET /304 HTTP/1.1\r\nHost: x\r\n\r\n" + GetB, "/304 /b",
         "HTTP/1.1 304 Not Modified\r\n\r\n" + Plain},
        {"304, streamed response", "GET /stream304 HTTP/1.1\r\nHost: x\r\n\r\n" + GetB,
         "/stream304 /b", "HTTP/1.1 304 Not Modified\r\n\r\n" + Plain},
        {"HTTP/1.0, streamed response", "GET /stream HTTP/1.0\r\nHost: x\r\n\r\n", "/stream",
         "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"},
        {"HTTP/1.0 with keep-alive, streamed response",
         "GET /stream HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n", "/stream",
         "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"},
        {"unknown transfer coding",
         "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n" + GetB, "",
         NotImplemented},
        {"transfer coding before chunked",
         "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + GetB,
         "", NotImplemented},
        {"transfer coding after chunked",
         "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n" + GetB,
         "", NotImplemented},
        {"transfer coding with a similar name, and a length",
         "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: xchunked\r\n\r\na"
                 + GetB,
         "", BadRequest},
        {"two Transfer-Encoding fields",
         "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: "
         "identity\r\n\r\n0\r\n\r\n"
                 + GetB,
         "", BadRequest},
        {"chunked with HTTP/1.0",
         "POST /a HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "",
         BadRequest},
        {"Content-Length before Transfer-Encoding",
         "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: "
         "chunked\r\n\r\n0\r\n\r\n"
                 + GetB,
         "", BadRequest},
        {"Content-Length after Transfer-Encoding",
         "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: "
         "5\r\n\r\n0\r\n\r\n"
                 + GetB,
         "", BadRequest},
        {"two values in Content-Length",
         "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1, 2\r\n\r\na" + GetB, "", BadRequest},
        {"signed Content-Length",
         "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: +1\r\n\r\na" + GetB, "", BadRequest},
        {"chunk without a size",
         "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n" + GetB, "",
         BadRequest},
        {"space before the colon",
         "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length : 1\r\n\r\na" + GetB, "", BadRequest},
        {"Expect: 100-continue, body sent at once",
         "POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na" + GetB,
         "/a:a /b", "HTTP/1.1 100 Continue\r\n\r\n" + Plain + Plain},
        {"Expect: 100-continue without a body",
         "GET /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n\r\n" + GetB, "/a /b",
         Plain + Plain},
        {"Expect: 100-continue with HTTP/1.0",
         "POST /a HTTP/1.0\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na",
         "/a:a", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"},
        {"ends in the request line", GetB + "GET /cut", "/b", Plain},
        {"ends in the header section", GetB + "GET /cut HTTP/1.1\r\nHost: x\r\n", "/b", Plain},
        {"ends in the body",
         GetB + "POST /cut HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nabcd", "/b", Plain},
        {"ends in a chunk",
         GetB + "POST /cut HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcd",
         "/b", Plain},
        {"ends before the last chunk",
         GetB + "POST /cut HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n",
         "/b", Plain},
        {"bytes after a refused request are not executed", "nonsense\r\n\r\n" + GetB, "",
         BadRequest},
        {"bytes after Connection: close are not executed",
         "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + GetB, "/a",
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"},
};

void respondByTarget(const std::string &target, http::RelayExchange &exchange)
{
    const http::ResponseHead head {static_cast<std::uint16_t>(target.ends_with("204")   ? 204
                                                              : target.ends_with("304") ? 304
                                                                                        : 200),
                                   {}};
    if (!target.starts_with("/stream"))
        return exchange.respond(head, "ok");
    exchange.startResponse(head);
    exchange.writeBody("ok");
    exchange.finishResponse();
}

// No byte of a request or response may be parsed as part of the next one.
BOOST_DATA_TEST_CASE(messagesAreFramedUnambiguously, FramingCases, test)
{
    asio::io_context context;
    std::string ran;
    http::RelayServer server(context, [&](const http::RelayRequest &request,
                                          const std::shared_ptr<http::RelayExchange> &exchange) {
        ran += (ran.empty() ? "" : " ") + request.target_
               + (request.body_.empty() ? "" : ":" + request.body_);
        respondByTarget(request.target_, *exchange);
    });
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    std::string responses;
    std::jthread caller([&] {
        asio::io_context own;
        tcp::socket socket(own);
        socket.connect({asio::ip::make_address(address->host_), address->port_});
        boost::system::error_code error;
        asio::write(socket, asio::buffer(test.bytes_), error);
        std::this_thread::sleep_for(std::chrono::milliseconds(60));
        socket.shutdown(tcp::socket::shutdown_send, error);
        asio::read(socket, asio::dynamic_buffer(responses), error);
        asio::post(context, [&context] { context.stop(); });
    });
    context.run_for(std::chrono::seconds(10));
    caller.join();
    BOOST_TEST(ran == test.ran_);
    BOOST_TEST(responses == test.responses_);
}

// A disconnect handler that is set after the response is complete must not be called for a later
// request on the connection.
BOOST_AUTO_TEST_CASE(lateDisconnectHandlerIsNotCalledForTheNextRequest)
{
    asio::io_context context;
    tcp::socket caller(context);
    bool wrong = false;
    http::RelayServer server(context, [&](const http::RelayRequest &request,
                                          const std::shared_ptr<http::RelayExchange> &exchange) {
        if (request.target_ != "/a")
            return caller.close();
        exchange->respond({200, {}}, "ok");
        const auto timer
                = std::make_shared<asio::steady_timer>(context, std::chrono::milliseconds(20));
        timer->async_wait([&, timer, exchange](boost::system::error_code) {
            exchange->onDisconnect([&wrong] { wrong = true; });
            const std::string next = "GET /b HTTP/1.1\r\nHost: x\r\n\r\n";
            asio::write(caller, asio::buffer(next));
        });
    });
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    caller.connect({asio::ip::make_address(address->host_), address->port_});
    asio::write(caller, asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")));
    runUntil(context, [&] { return !caller.is_open(); });
    context.run_for(std::chrono::milliseconds(100));
    BOOST_TEST(!wrong);
}
