#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/server.h"
#include "wire/tests/descriptorshortage.h"

using namespace gypsumcroft;
namespace asio = boost::asio;
using asio::ip::tcp;
using tests::cpuTimeWithoutDescriptors;

namespace {

struct ShutdownCase
{
    const char *name_;
    std::size_t contexts_;
    std::size_t keptConnections_;
};

std::ostream &operator<<(std::ostream &out, const ShutdownCase &test)
{
    return out << test.name_;
}

const ShutdownCase ShutdownCases[] = {
        {"no open connection", 2, 0},
        {"one idle connection on the listener's context", 1, 1},
        {"idle connections on a context destroyed after the listener's", 2, 4},
        {"idle connections on many contexts", 4, 16},
};

//! Opens connections and exchanges one request and response on each, which leaves them idle.
std::vector<std::unique_ptr<tcp::socket>> connectAndAsk(asio::io_context &context,
                                                        const Address &address, std::size_t count)
{
    static const std::string request = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
    std::vector<std::unique_ptr<tcp::socket>> sockets;
    for (std::size_t i = 0; i < count; ++i) {
        auto socket = std::make_unique<tcp::socket>(context);
        socket->connect({asio::ip::make_address(address.host_), address.port_});
        asio::write(*socket, asio::buffer(request));
        char response[64];
        socket->read_some(asio::buffer(response));
        sockets.push_back(std::move(socket));
    }
    return sockets;
}

} // namespace

// The contexts are destroyed in order, the listener's first, as when a process exits. Idle
// connections keep the server's state alive, and its acceptor must not outlive its context.
BOOST_DATA_TEST_CASE(acceptorIsDestroyedBeforeItsContext, ShutdownCases, test)
{
    asio::io_context clients;
    std::vector<std::unique_ptr<tcp::socket>> sockets;
    std::vector<std::unique_ptr<asio::io_context>> contexts;
    std::vector<asio::io_context *> pointers;
    for (std::size_t i = 0; i < test.contexts_; ++i) {
        contexts.push_back(std::make_unique<asio::io_context>(1));
        pointers.push_back(contexts.back().get());
    }
    {
        http::Server server(pointers, [](const http::HttpRequest &,
                                         const std::shared_ptr<http::Exchange> &exchange) {
            exchange->respond({});
        });
        const auto address = server.listen({"127.0.0.1", 0});
        BOOST_REQUIRE_MESSAGE(address, address.lastReason_);
        std::vector<std::jthread> threads;
        std::vector<asio::executor_work_guard<asio::io_context::executor_type>> guards;
        for (const auto &context : contexts) {
            guards.push_back(asio::make_work_guard(*context));
            threads.emplace_back([&context] { context->run(); });
        }
        sockets = connectAndAsk(clients, *address, test.keptConnections_);
        server.stopAccepting();
        for (const auto &context : contexts)
            context->stop();
    }
    for (auto &context : contexts)
        context.reset();
    BOOST_TEST(sockets.size() == test.keptConnections_);
}

//! A call on the exchange of an earlier request while the next one is in progress.
struct LateCallCase
{
    const char *name_;
    std::function<void(http::Exchange &)> call_;
};

std::ostream &operator<<(std::ostream &out, const LateCallCase &test)
{
    return out << test.name_;
}

const LateCallCase LateCallCases[] = {
        {"none", [](http::Exchange &) {}},
        {"a second response",
         [](http::Exchange &earlier) {
             earlier.respond({200, "text/plain", "late", {}});
         }},
        {"events",
         [](http::Exchange &earlier) {
             earlier.startEvents();
             earlier.sendEvent("token", "late");
             earlier.finishEvents();
         }},
        {"a disconnect handler",
         [](http::Exchange &earlier) {
             earlier.onDisconnect(
                     [] { BOOST_ERROR("disconnect handler of an earlier request was called"); });
         }},
};

// A late call must not change the response to the next request on the connection, nor replace its
// disconnect handler.
BOOST_DATA_TEST_CASE(lateCallsDoNotAffectTheNextRequest, LateCallCases, test)
{
    namespace beast = boost::beast;
    asio::io_context context;
    std::shared_ptr<http::Exchange> earlier;
    std::atomic<bool> left {false};
    http::Server server({&context}, [&](const http::HttpRequest &request,
                                        const std::shared_ptr<http::Exchange> &exchange) {
        if (request.path_ == "/c") {
            exchange->onDisconnect([&] { left = true; });
            return test.call_(*earlier);
        }
        if (earlier)
            test.call_(*earlier);
        earlier = exchange;
        exchange->respond({200, "text/plain", request.path_, {}});
    });
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE_MESSAGE(address, address.lastReason_);
    std::string responses;
    std::jthread caller([&] {
        asio::io_context own;
        tcp::socket socket(own);
        socket.connect({asio::ip::make_address(address->host_), address->port_});
        beast::flat_buffer buffer;
        boost::system::error_code error;
        for (const std::string path : {"/a", "/b"}) {
            asio::write(socket, asio::buffer("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"),
                        error);
            beast::http::response<beast::http::string_body> response;
            beast::http::read(socket, buffer, response, error);
            responses += response.body();
        }
        asio::write(socket, asio::buffer(std::string("GET /c HTTP/1.1\r\nHost: x\r\n\r\n")), error);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    });
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!left && std::chrono::steady_clock::now() < end)
        context.run_one_for(std::chrono::milliseconds(20));
    BOOST_TEST(left);
    caller.join();
    BOOST_TEST(responses == "/a/b");
}

//! A HEAD request that is pipelined with a second request, and text that the response must contain.
struct HeadCase
{
    const char *name_;
    const char *path_;
    const char *contained_;
};

std::ostream &operator<<(std::ostream &out, const HeadCase &test)
{
    return out << test.name_;
}

const HeadCase HeadCases[] = {
        {"complete response", "/whole", "Content-Length: 5"},
        {"server-sent events", "/events", "Transfer-Encoding: chunked"},
};

// A body in the response to HEAD would be parsed as the start of the next response.
BOOST_DATA_TEST_CASE(responseToHeadHasNoBody, HeadCases, test)
{
    asio::io_context context;
    http::Server server({&context}, [&](const http::HttpRequest &request,
                                        const std::shared_ptr<http::Exchange> &exchange) {
        if (request.path_ == "/last")
            return exchange->respond({200, "text/plain", "last", {}});
        if (request.path_ == "/whole")
            return exchange->respond({200, "text/plain", "whole", {}});
        exchange->startEvents();
        exchange->sendEvent("token", "event");
        exchange->finishEvents();
    });
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE_MESSAGE(address, address.lastReason_);
    std::string responses;
    std::jthread caller([&] {
        asio::io_context own;
        tcp::socket socket(own);
        socket.connect({asio::ip::make_address(address->host_), address->port_});
        boost::system::error_code error;
        asio::write(socket,
                    asio::buffer(std::string("HEAD ") + test.path_
                                 + " HTTP/1.1\r\nHost: x\r\n\r\nGET /last HTTP/1.1\r\nHost: "
                                   "x\r\nConnection: close\r\n\r\n"),
                    error);
        asio::read(socket, asio::dynamic_buffer(responses), error);
        asio::post(context, [&context] { context.stop(); });
    });
    context.run_for(std::chrono::seconds(5));
    caller.join();
    const std::size_t end = responses.find("\r\n\r\n");
    BOOST_REQUIRE(end != std::string::npos);
    BOOST_TEST(responses.substr(0, end).find(test.contained_) != std::string::npos);
    BOOST_TEST(responses.substr(end + 4).starts_with("HTTP/1.1 200 OK"));
    BOOST_TEST(responses.ends_with("last"));
}

// While the process is out of file descriptors and a caller waits, the thread must not spin.
BOOST_AUTO_TEST_CASE(acceptingWaitsForDescriptors)
{
    asio::io_context context;
    http::Server server({&context},
                        [](const http::HttpRequest &, const std::shared_ptr<http::Exchange> &) {});
    const auto spent = cpuTimeWithoutDescriptors(context, [&] {
        return *server.listen({"127.0.0.1", 0});
    });
    BOOST_TEST(spent.count() < 100);
}

namespace {

//! What a caller sends, or does not read.
struct HostileCase
{
    const char *name_;
    std::string begin_;
    std::string repeated_;
    std::size_t responseBytes_;
};

std::ostream &operator<<(std::ostream &out, const HostileCase &test)
{
    return out << test.name_;
}

const std::string ChunkedPost = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t HostileBytes = 16UL * 1024 * 1024;

const HostileCase HostileCases[] = {
        {"endless chunk extension", ChunkedPost + "1;", "x", 0},
        {"endless trailers", ChunkedPost + "0\r\n", "X-More: y\r\n", 0},
        {"endless small chunks", ChunkedPost, "1\r\nx\r\n", 0},
        {"a response that is not read", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "", HostileBytes},
};

//! Bytes that the caller could send or, without any to send, receive after a pause.
std::size_t bytesOfHostileCaller(const HostileCase &test, const Address &server)
{
    constexpr std::size_t BlockBytes = 64UL * 1024;
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address(server.host_), server.port_});
    boost::system::error_code error;
    asio::write(socket, asio::buffer(test.begin_), error);
    std::string block;
    if (test.repeated_.empty()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        return asio::read(socket, asio::dynamic_buffer(block), asio::transfer_exactly(HostileBytes),
                          error);
    }
    while (block.size() < BlockBytes)
        block += test.repeated_;
    std::size_t sent = 0;
    while (!error && sent < HostileBytes)
        sent += asio::write(socket, asio::buffer(block), error);
    return sent;
}

} // namespace

// Guards against a process that buffers a chunk's extensions or trailers without end, or holds a
// response for a caller that never reads it.
BOOST_DATA_TEST_CASE(connectionsOfHostileCallersAreClosed, HostileCases, test)
{
    asio::io_context context;
    http::ServerOptions options;
    options.sendTimeout_ = std::chrono::milliseconds(200);
    http::Server server(
            {&context},
            [&](const http::HttpRequest &, const std::shared_ptr<http::Exchange> &exchange) {
                http::HttpResponse response;
                response.body_ = std::string(test.responseBytes_, 'x');
                exchange->respond(std::move(response));
            },
            options);
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    std::size_t bytes = 0;
    {
        const std::jthread caller([&] {
            bytes = bytesOfHostileCaller(test, *address);
            asio::post(context, [&context] { context.stop(); });
        });
        context.run_for(std::chrono::seconds(30));
    }
    BOOST_TEST(bytes < HostileBytes);
}
