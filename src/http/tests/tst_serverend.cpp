#include <memory>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/server.h"

using namespace gypsumcroft;
namespace asio = boost::asio;
using asio::ip::tcp;

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
        {"no connection is open", 2, 0},
        {"a kept connection on the listener's context", 1, 1},
        {"kept connections on a context that outlives the listener's", 2, 4},
        {"kept connections on many contexts", 4, 16},
};

//! Leaves every connection idle after one answered request.
std::vector<std::unique_ptr<tcp::socket>> connectAndAsk(asio::io_context &context,
                                                        const Address &address, std::size_t count)
{
    static const std::string request = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
    std::vector<std::unique_ptr<tcp::socket>> sockets;
    for (std::size_t i = 0; i < count; ++i) {
        auto socket = std::make_unique<tcp::socket>(context);
        socket->connect({asio::ip::make_address(address.host_), address.port_});
        asio::write(*socket, asio::buffer(request));
        char answer[64];
        socket->read_some(asio::buffer(answer));
        sockets.push_back(std::move(socket));
    }
    return sockets;
}

} // namespace

// The contexts are destroyed in their order, the listener's first, as in a process that ends.
BOOST_DATA_TEST_CASE(ServerOutlivesNoContext, ShutdownCases, test)
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
