//! Requests whose body ends with a last chunk that arrives in pieces.
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/relayserver.h"
#include "http/server.h"

using namespace gypsumcroft;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

struct PiecesCase
{
    const char *name_;
    //! Sent one after the other, after the head.
    std::vector<std::string> pieces_;
    const char *body_;
};

std::ostream &operator<<(std::ostream &out, const PiecesCase &test)
{
    return out << test.name_;
}

const PiecesCase PiecesCases[] = {
        {"no body, in one piece", {"0\r\n\r\n"}, ""},
        {"no body, line by line", {"0\r\n", "\r\n"}, ""},
        {"no body, cut in the last line", {"0\r\n", "\r", "\n"}, ""},
        {"no body, cut in the last line only", {"0\r\n\r", "\n"}, ""},
        {"no body, byte by byte", {"0", "\r", "\n", "\r", "\n"}, ""},
        {"no body, trailers", {"0\r\n", "X", "-More: a\r\n\r", "\n"}, ""},
        {"size of two digits", {"00\r\n", "\r", "\n"}, ""},
        {"a body", {"1\r\na\r\n", "0\r\n", "\r", "\n"}, "a"},
        {"a body, byte by byte",
         {"1", "\r", "\n", "a", "\r", "\n", "0", "\r", "\n", "\r", "\n"},
         "a"},
        {"a chunk like a last one", {"3\r\n0\r\n", "\r\n", "0\r\n", "\r\n"}, "0\r\n"},
};

//! Sends the request to the server and returns all that it answers.
template <typename Server>
std::string answerTo(const PiecesCase &test, asio::io_context &context, Server &server)
{
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    std::string answer;
    std::jthread caller([&] {
        asio::io_context own;
        tcp::socket socket(own);
        socket.connect({asio::ip::make_address(address->host_), address->port_});
        boost::system::error_code error;
        socket.set_option(tcp::no_delay(true), error);
        asio::write(socket,
                    asio::buffer(std::string("POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                                             "Transfer-Encoding: chunked\r\n\r\n")),
                    error);
        for (const std::string &piece : test.pieces_) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            asio::write(socket, asio::buffer(piece), error);
        }
        asio::read(socket, asio::dynamic_buffer(answer), error);
        asio::post(context, [&context] { context.stop(); });
    });
    context.run_for(std::chrono::seconds(5));
    caller.join();
    return answer;
}

std::string echoOf(const PiecesCase &test)
{
    return std::string("\r\n\r\nbody: ") + test.body_;
}

} // namespace

// Guards against an assertion of Beast's parser that ends the process.
BOOST_DATA_TEST_CASE(relayServerReadsALastChunkInPieces, PiecesCases, test)
{
    asio::io_context context;
    http::RelayServer server(context, [](const http::RelayRequest &request,
                                         const std::shared_ptr<http::RelayExchange> &exchange) {
        exchange->respond({200, {}}, "body: " + request.body_);
    });
    BOOST_TEST(answerTo(test, context, server).ends_with(echoOf(test)));
}

BOOST_DATA_TEST_CASE(serverReadsALastChunkInPieces, PiecesCases, test)
{
    asio::io_context context;
    http::Server server({&context}, [](const http::HttpRequest &request,
                                       const std::shared_ptr<http::Exchange> &exchange) {
        exchange->respond({200, "text/plain", "body: " + request.body_, {}});
    });
    BOOST_TEST(answerTo(test, context, server).ends_with(echoOf(test)));
}
