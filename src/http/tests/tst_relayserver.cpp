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

namespace {

//! Bytes that a caller sends, and the status codes that it receives.
struct CallerCase
{
    const char *name_;
    std::string bytes_;
    const char *statuses_;
};

std::ostream &operator<<(std::ostream &out, const CallerCase &test)
{
    return out << test.name_;
}

const std::string ChunkedHead = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string repeated(const std::string &text, std::size_t times)
{
    std::string all;
    for (std::size_t i = 0; i < times; ++i)
        all += text;
    return all;
}

const CallerCase CallerCases[] = {
        {"one request", "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", "200"},
        {"two pipelined requests",
         "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n", "200 200"},
        {"body with a length", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
         "200"},
        {"chunked body",
         "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
         "200"},
        {"chunk extension", ChunkedHead + "3;name=value\r\nabc\r\n0\r\n\r\n", "200"},
        {"trailers", ChunkedHead + "3\r\nabc\r\n0\r\nX-More: y\r\n\r\n", "200"},
        {"chunk extension without end", ChunkedHead + "3;" + std::string(20000, 'x'), "431"},
        {"trailers without end", ChunkedHead + "0\r\n" + repeated("X-More: y\r\n", 2000), "431"},
        {"one trailer without end", ChunkedHead + "0\r\nX-More: " + std::string(20000, 'x'), "431"},
        {"Expect: 100-continue",
         "POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na",
         "100 200"},
        {"body over the limit", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 999\r\n\r\n",
         "413"},
        {"header section over the limit",
         "GET /a HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(2000, 'y') + "\r\n\r\n", "431"},
        {"bytes that are not HTTP", "hello there\r\n\r\n", "400"},
        {"two Content-Length fields",
         "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
        {"incomplete header section", "GET /a HTTP/1.1\r\nHost: x\r\n", "408"},
        {"incomplete body", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab", "408"},
};

std::string statusesOf(const std::string &text)
{
    std::string statuses;
    for (std::size_t at = text.find("HTTP/1.1 "); at != std::string::npos;
         at = text.find("HTTP/1.1 ", at + 1))
        statuses += (statuses.empty() ? "" : " ") + text.substr(at + 9, 3);
    return statuses;
}

} // namespace

BOOST_DATA_TEST_CASE(requestsGetTheExpectedStatus, CallerCases, test)
{
    asio::io_context context;
    http::RelayServer server(context, [](const http::RelayRequest &,
                                         const std::shared_ptr<http::RelayExchange> &exchange) {
        exchange->respond({200, {}}, "ok");
    });
    http::RelayServerLimits limits;
    limits.maxHeaderBytes_ = 1000;
    limits.maxBodyBytes_ = 100;
    limits.headerTimeout_ = limits.bodyTimeout_ = std::chrono::milliseconds(200);
    limits.idleTimeout_ = std::chrono::milliseconds(400);
    server.setLimits(limits);
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE_MESSAGE(address, address.lastReason_);
    std::string response;
    std::jthread caller([&] {
        asio::io_context own;
        tcp::socket socket(own);
        socket.connect({asio::ip::make_address(address->host_), address->port_});
        boost::system::error_code error;
        asio::write(socket, asio::buffer(test.bytes_), error);
        asio::read(socket, asio::dynamic_buffer(response), error);
        asio::post(context, [&context] { context.stop(); });
    });
    context.run_for(std::chrono::seconds(10));
    caller.join();
    BOOST_TEST(statusesOf(response) == test.statuses_);
}

// A caller that disconnects while its request is in progress must be detected, also with a
// pipelined request behind it.
BOOST_AUTO_TEST_CASE(disconnectIsDetected)
{
    const std::string next = "GET /b HTTP/1.1\r\nHost: x\r\n\r\n";
    // The last one is larger than the server's read-ahead limit.
    for (const std::string &extra : {std::string(), next, next + std::string(100000, 'y')}) {
        asio::io_context context;
        std::shared_ptr<http::RelayExchange> held;
        bool gone = false;
        tcp::socket caller(context);
        http::RelayServer server(context,
                                 [&](const http::RelayRequest &,
                                     const std::shared_ptr<http::RelayExchange> &exchange) {
                                     held = exchange;
                                     exchange->onDisconnect([&] { gone = true; });
                                     caller.close();
                                 });
        const auto address = server.listen({"127.0.0.1", 0});
        BOOST_REQUIRE(address);
        caller.connect({asio::ip::make_address(address->host_), address->port_});
        asio::write(caller, asio::buffer("GET /a HTTP/1.1\r\nHost: x\r\n\r\n" + extra));
        BOOST_TEST(runUntil(context, [&] { return gone; }));
        held->respond({200, {}}, "late");
    }
}

//! A request whose response ends the connection. The caller may send more bytes than the server
//! reads.
struct LastResponseCase
{
    const char *name_;
    std::size_t responseBytes_;
    //! Sent after the request; the server must not read them as a request.
    std::size_t extraBytes_;
    //! The caller sends "Connection: close"; otherwise the server starts to close during the
    //! request.
    bool callerCloses_;
};

std::ostream &operator<<(std::ostream &out, const LastResponseCase &test)
{
    return out << test.name_;
}

constexpr std::size_t Megabyte = 1024UL * 1024;

const LastResponseCase LastResponseCases[] = {
        {"short", 2, 0, true},
        {"large", 3 * Megabyte, 0, true},
        {"short, bytes after the request", 2, Megabyte, true},
        {"900 KB, bytes after the request", 900UL * 1024, Megabyte, true},
        {"large, bytes after the request", 3 * Megabyte, Megabyte, true},
        {"server closes", 2, 0, false},
        {"server closes, large", 3 * Megabyte, 0, false},
};

// The response must arrive complete and with "Connection: close", even if the caller reads it late.
BOOST_DATA_TEST_CASE(lastResponseIsCompleteAndAnnouncesClose, LastResponseCases, test)
{
    namespace beast = boost::beast;
    asio::io_context context;
    std::unique_ptr<http::RelayServer> server;
    const std::string body(test.responseBytes_, 'x');
    server = std::make_unique<http::RelayServer>(
            context,
            [&](const http::RelayRequest &, const std::shared_ptr<http::RelayExchange> &exchange) {
                if (!test.callerCloses_)
                    server->closeAfterResponses();
                exchange->respond({200, {}}, body);
            });
    const auto address = server->listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    beast::http::response_parser<beast::http::string_body> response;
    response.body_limit(2 * test.responseBytes_);
    boost::system::error_code error;
    std::jthread caller([&] {
        asio::io_context own;
        tcp::socket socket(own);
        socket.connect({asio::ip::make_address(address->host_), address->port_});
        const std::string end = test.callerCloses_ ? "Connection: close\r\n" : "";
        asio::write(socket,
                    asio::buffer("GET /a HTTP/1.1\r\nHost: x\r\n" + end + "\r\n"
                                 + std::string(test.extraBytes_, 'y')),
                    error);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        beast::flat_buffer buffer;
        beast::http::read(socket, buffer, response, error);
        asio::post(context, [&context] { context.stop(); });
    });
    context.run_for(std::chrono::seconds(10));
    caller.join();
    BOOST_TEST(!error, error.message());
    BOOST_TEST(response.get().body().size() == body.size());
    BOOST_TEST(!response.get().keep_alive());
}

//! Concurrent callers that don't read responses or don't complete their requests.
struct SlowCallerCase
{
    const char *name_;
    std::size_t callers_;
    std::string bytes_;
    //! Sent repeatedly until the connection ends.
    std::string trickle_;
    std::size_t responseBytes_;
    std::size_t mostConnections_;
    std::size_t mostBytes_;
    //! Whether the server closes all connections within the time limit.
    bool allEnd_;
};

std::ostream &operator<<(std::ostream &out, const SlowCallerCase &test)
{
    return out << test.name_;
}

const std::string GetB = "GET /b HTTP/1.1\r\nHost: x\r\n\r\n";
const std::string PostHead = "POST /a HTTP/1.1\r\nHost: x\r\n";

const SlowCallerCase SlowCallerCases[] = {
        {"complete response never read", 1, GetB, "", 6 * Megabyte, 1, 7 * Megabyte, true},
        {"complete response never read, many callers", 16, GetB, "", 6 * Megabyte, 16,
         32 * Megabyte, true},
        {"stream never read", 4, "GET /stream HTTP/1.1\r\nHost: x\r\n\r\n", "", 256UL * 1024, 4,
         8 * Megabyte, true},
        {"slow header section", 2, PostHead, "X-More: y\r\n", 2, 2, Megabyte, true},
        {"slow body", 2, PostHead + "Content-Length: 99999\r\n\r\n", "y", 2, 2, Megabyte, true},
        {"slow chunks", 2, PostHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\ny\r\n", 2, 2,
         Megabyte, true},
        {"incomplete bodies, many callers", 40,
         PostHead + "Content-Length: 2000000\r\n\r\n" + std::string(1900000, 'y'), "", 2, 40,
         33 * Megabyte, true},
        {"idle, many callers", 100, "", "", 2, 20, Megabyte, false},
};

http::RelayServerLimits slowCallerLimits()
{
    http::RelayServerLimits limits;
    limits.headerTimeout_ = limits.bodyTimeout_ = limits.sendTimeout_
            = std::chrono::milliseconds(400);
    limits.maxConnections_ = 20;
    limits.maxUnsentBytes_ = limits.maxIncompleteRequestBytes_ = 32 * Megabyte;
    return limits;
}

//! Writes pieces of a stream until the connection is closed.
void streamOn(asio::io_context &context, const std::shared_ptr<http::RelayExchange> &exchange,
              const std::shared_ptr<bool> &gone, std::size_t size)
{
    if (*gone)
        return;
    exchange->writeBody(std::string(size, 'x'));
    auto timer = std::make_shared<asio::steady_timer>(context, std::chrono::milliseconds(5));
    timer->async_wait([&context, timer, exchange, gone, size](boost::system::error_code) {
        streamOn(context, exchange, gone, size);
    });
}

struct SlowCaller
{
    explicit SlowCaller(asio::io_context &context) : socket_(context) { }

    void write(const SlowCallerCase &test)
    {
        asio::async_write(socket_, asio::buffer(test.bytes_),
                          [this, &test](boost::system::error_code error, std::size_t) {
                              if (!error && !test.trickle_.empty())
                                  trickle(test);
                          });
    }

    void trickle(const SlowCallerCase &test)
    {
        timer_.expires_after(std::chrono::milliseconds(20));
        timer_.async_wait([this, &test](boost::system::error_code) {
            boost::system::error_code error;
            asio::write(socket_, asio::buffer(test.trickle_), error);
            if (!error)
                trickle(test);
        });
    }

    tcp::socket socket_;
    asio::steady_timer timer_ {socket_.get_executor()};
};

BOOST_DATA_TEST_CASE(resourcesOfSlowCallersAreLimited, SlowCallerCases, test)
{
    asio::io_context context;
    http::RelayServer server(context, [&](const http::RelayRequest &request,
                                          const std::shared_ptr<http::RelayExchange> &exchange) {
        if (request.target_ != "/stream")
            return exchange->respond({200, {}}, std::string(test.responseBytes_, 'x'));
        const auto gone = std::make_shared<bool>(false);
        exchange->onDisconnect([gone] { *gone = true; });
        exchange->startResponse({200, {}});
        streamOn(context, exchange, gone, test.responseBytes_);
    });
    http::RelayServerLimits limits = slowCallerLimits();
    limits.maxConnections_ = std::max<std::size_t>(test.mostConnections_, 20);
    server.setLimits(limits);
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    std::vector<std::unique_ptr<SlowCaller>> callers;
    for (std::size_t i = 0; i < test.callers_; ++i) {
        callers.push_back(std::make_unique<SlowCaller>(context));
        callers.back()->socket_.connect({asio::ip::make_address(address->host_), address->port_});
        callers.back()->write(test);
    }
    std::size_t mostConnections = 0;
    std::size_t mostBytes = 0;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(4);
    while (std::chrono::steady_clock::now() < end
           && (mostConnections == 0 || server.connectionCount() > 0)) {
        context.run_one_for(std::chrono::milliseconds(10));
        mostConnections = std::max(mostConnections, server.connectionCount());
        mostBytes = std::max(mostBytes, server.bufferedBytes());
    }
    BOOST_TEST(mostConnections <= test.mostConnections_);
    BOOST_TEST(mostBytes <= test.mostBytes_);
    BOOST_TEST((server.connectionCount() == 0) == test.allEnd_);
}

// A response to HTTP/1.0 ends with the connection, so an aborted one must end with a reset instead.
BOOST_AUTO_TEST_CASE(abortedResponseResetsHttp10Connection)
{
    asio::io_context context;
    http::RelayServer server(context, [&](const http::RelayRequest &,
                                          const std::shared_ptr<http::RelayExchange> &exchange) {
        exchange->startResponse({200, {}});
        exchange->writeBody("half");
        const auto timer
                = std::make_shared<asio::steady_timer>(context, std::chrono::milliseconds(30));
        timer->async_wait([timer, exchange](boost::system::error_code) { exchange->abort(); });
    });
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    asio::io_context own;
    tcp::socket socket(own);
    socket.connect({asio::ip::make_address(address->host_), address->port_});
    asio::write(socket, asio::buffer(std::string("GET /a HTTP/1.0\r\n\r\n")));
    boost::system::error_code end;
    std::jthread caller([&] {
        std::string response;
        asio::read(socket, asio::dynamic_buffer(response), end);
        asio::post(context, [&context] { context.stop(); });
    });
    context.run_for(std::chrono::seconds(5));
    caller.join();
    BOOST_TEST(end == asio::error::connection_reset);
}

// A server that is busy with its kept connections accepts all new ones that wait, not one in each
// turn of its loop: the last of them must not wait for as many turns as there are new connections.
BOOST_AUTO_TEST_CASE(newConnectionsDontWaitForOneAnother)
{
    constexpr std::size_t Kept = 40;
    constexpr std::size_t New = 40;
    constexpr std::chrono::milliseconds Work {2};
    const std::string request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    asio::io_context context;
    std::size_t handled = 0;
    http::RelayServer server(context, [&](const http::RelayRequest &,
                                          const std::shared_ptr<http::RelayExchange> &exchange) {
        ++handled;
        std::this_thread::sleep_for(Work);
        exchange->respond({200, {}}, "ok");
    });
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    const tcp::endpoint to(asio::ip::make_address(address->host_), address->port_);
    asio::io_context own;
    const auto connect = [&](std::size_t count) {
        std::vector<tcp::socket> callers;
        for (std::size_t i = 0; i < count; ++i) {
            callers.emplace_back(own);
            callers.back().connect(to);
            asio::write(callers.back(), asio::buffer(request));
        }
        return callers;
    };
    std::vector<tcp::socket> kept = connect(Kept);
    BOOST_REQUIRE(runUntil(context, [&] { return handled >= Kept; }));
    std::vector<tcp::socket> fresh = connect(New);
    const std::size_t before = handled;
    // The kept callers send their next request as soon as they have a response.
    std::vector<std::string> received(Kept);
    const auto goOn = [&] {
        for (std::size_t i = 0; i < Kept; ++i) {
            boost::system::error_code error;
            char bytes[256];
            kept[i].non_blocking(true, error);
            if (kept[i].read_some(asio::buffer(bytes), error) > 0)
                asio::write(kept[i], asio::buffer(request), error);
        }
    };
    const auto allAccepted = [&] { return server.connectionCount() >= Kept + New; };
    BOOST_REQUIRE(runUntil(context, [&] {
        goOn();
        return allAccepted();
    }));
    // A few turns in which each kept caller is served, where one accept a turn would take New
    // turns.
    constexpr std::size_t Turns = 5;
    BOOST_TEST(handled - before <= Turns * (Kept + New));
}
