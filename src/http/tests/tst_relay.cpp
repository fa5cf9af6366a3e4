#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/eventsplitter.h"
#include "http/relayclient.h"
#include "rununtil.h"

using namespace gypsumcroft;
namespace asio = boost::asio;
using asio::ip::tcp;
using http::tests::runUntil;

namespace {

struct SplitCase
{
    const char *name_;
    std::vector<const char *> reads_;
    const char *whole_;
    const char *partial_;
    std::uint64_t lastId_;
    std::uint32_t count_;
};

std::ostream &operator<<(std::ostream &out, const SplitCase &test)
{
    return out << test.name_;
}

const SplitCase SplitCases[] = {
        {"no bytes", {}, "", "", 0, 0},
        {"one event", {"id: 1\ndata: a\n\n"}, "id: 1\ndata: a\n\n", "", 1, 1},
        {"an event in three reads", {"id: 1\nda", "ta: a\n", "\n"}, "id: 1\ndata: a\n\n", "", 1, 1},
        {"two events and a part of a third",
         {"id: 1\n\nid: 2\n\nid: 3\n"},
         "id: 1\n\nid: 2\n\n",
         "id: 3\n",
         2,
         2},
        {"carriage returns",
         {"id: 4\r\ndata: x\r", "\n\r", "\n"},
         "id: 4\r\ndata: x\r\n\r\n",
         "",
         4,
         1},
        {"without an id", {"data: x\n\n"}, "data: x\n\n", "", 0, 1},
        {"no space after the colon", {"id:9\n\n"}, "id:9\n\n", "", 9, 1},
        {"an event without an empty line is incomplete",
         {"id: 1\ndata: a"},
         "",
         "id: 1\ndata: a",
         0,
         0},
};

//! Bytes that a server sends on a connection, and the result that the client reports.
struct ReceivedResponseCase
{
    const char *name_;
    std::string bytes_;
    //! Reset the connection instead of closing it.
    bool reset_;
    const char *seen_;
};

std::ostream &operator<<(std::ostream &out, const ReceivedResponseCase &test)
{
    return out << test.name_;
}

const std::string Own = "X-Id: me\r\n";

const ReceivedResponseCase ReceivedResponseCases[] = {
        {"body with a length", "HTTP/1.1 200 OK\r\n" + Own + "Content-Length: 2\r\n\r\nok", false,
         "200 ok done"},
        {"chunked body",
         "HTTP/1.1 200 OK\r\n" + Own + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
         false, "200 ok done"},
        {"chunked body without last chunk",
         "HTTP/1.1 200 OK\r\n" + Own + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false,
         "200 ok connection-lost"},
        {"connection closed within the body",
         "HTTP/1.1 200 OK\r\n" + Own + "Content-Length: 5\r\n\r\nok", false,
         "200 ok connection-lost"},
        {"no length, connection closed", "HTTP/1.1 200 OK\r\n" + Own + "\r\nok", false,
         "200 ok done"},
        {"no length, connection reset", "HTTP/1.1 200 OK\r\n" + Own + "\r\nok", true,
         "connection-lost"},
        {"connection closed without a response", "", false, "connection-lost"},
        {"bytes that are not HTTP", "what is this?\r\n\r\n", false, "protocol-error"},
        {"after a response to another request",
         "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad"
         "HTTP/1.1 200 OK\r\n"
                 + Own + "Content-Length: 2\r\n\r\nok",
         false, "200 ok done"},
        {"only a response to another request",
         "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad", false,
         "connection-lost"},
        {"bytes after the response are ignored",
         "HTTP/1.1 200 OK\r\n" + Own + "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", false,
         "200 ok done"},
        {"interim response",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + Own + "Content-Length: 2\r\n\r\nok",
         false, "200 ok done"},
};

//! Server that accepts one connection, reads a request, sends the bytes and closes the connection.
struct OneResponseServer
{
    OneResponseServer(asio::io_context &context, const ReceivedResponseCase &test)
        : acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          socket_(context)
    {
        acceptor_.async_accept(socket_, [this, &test](boost::system::error_code) {
            socket_.async_read_some(
                    asio::buffer(request_), [this, &test](boost::system::error_code, std::size_t) {
                        boost::system::error_code ignored;
                        asio::write(socket_, asio::buffer(test.bytes_), ignored);
                        if (test.reset_)
                            socket_.set_option(asio::socket_base::linger(true, 0), ignored);
                        socket_.close(ignored);
                    });
        });
    }

    tcp::acceptor acceptor_;
    tcp::socket socket_;
    char request_[4096];
};

} // namespace

BOOST_DATA_TEST_CASE(splitsStreamIntoEvents, SplitCases, test)
{
    http::EventSplitter splitter;
    std::string whole;
    std::uint64_t last = 0;
    std::uint32_t count = 0;
    for (const char *read : test.reads_) {
        const http::CompleteEvents events = http::splitEvents(splitter, read);
        whole += events.bytes_;
        last = events.lastId_.value_or(last);
        count += events.count_;
    }
    BOOST_TEST(whole == test.whole_);
    BOOST_TEST(splitter.incompleteEvent_ == test.partial_);
    BOOST_TEST(last == test.lastId_);
    BOOST_TEST(count == test.count_);
}

BOOST_DATA_TEST_CASE(reportsResponseOrFailure, ReceivedResponseCases, test)
{
    asio::io_context context;
    OneResponseServer server(context, test);
    http::RelayClient client(context);
    std::string head;
    std::string body;
    std::string end;
    http::RelayCallRequest call;
    call.address_ = {"127.0.0.1", server.acceptor_.local_endpoint().port()};
    call.request_.method_ = "GET";
    call.request_.target_ = "/";
    call.correlationHeader_ = "X-Id";
    call.correlationId_ = "me";
    http::RelayCallHandlers handlers;
    handlers.onHead_
            = [&](const http::ResponseHead &got) { head = std::to_string(got.status_) + " "; };
    handlers.onBody_ = [&](std::string_view bytes) { body += bytes; };
    handlers.onComplete_ = [&] { end = "done"; };
    handlers.onFailed_ = [&](http::RelayFailure failure, const std::string &) {
        static constexpr const char *Names[] = {"not-sent", "connection-lost", "protocol-error"};
        end = Names[static_cast<int>(failure)];
    };
    const auto handle = client.send(std::move(call), std::move(handlers));
    BOOST_REQUIRE(runUntil(context, [&] { return !end.empty(); }));
    // The number of bytes received before a reset varies.
    const std::string seen = test.reset_ ? end : head + body + (body.empty() ? "" : " ") + end;
    BOOST_TEST(seen == test.seen_);
}

BOOST_AUTO_TEST_CASE(refusedConnectionIsReportedAsNotSent)
{
    asio::io_context context;
    tcp::acceptor closed(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const Address to {"127.0.0.1", closed.local_endpoint().port()};
    closed.close();
    http::RelayClient client(context);
    std::optional<http::RelayFailure> failure;
    http::RelayCallRequest call;
    call.address_ = to;
    call.request_.method_ = "GET";
    call.request_.target_ = "/";
    http::RelayCallHandlers handlers;
    handlers.onFailed_ = [&](http::RelayFailure got, const std::string &) { failure = got; };
    const auto handle = client.send(std::move(call), std::move(handlers));
    BOOST_REQUIRE(runUntil(context, [&] { return failure.has_value(); }));
    BOOST_TEST(static_cast<int>(*failure) == static_cast<int>(http::RelayFailure::NotSent));
}
