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

#include "http/eventsplitter.h"
#include "http/relayclient.h"
#include "http/relayserver.h"

using namespace gypsumcroft;
namespace asio = boost::asio;
using asio::ip::tcp;

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
        {"nothing", {}, "", "", 0, 0},
        {"one event", {"id: 1\ndata: a\n\n"}, "id: 1\ndata: a\n\n", "", 1, 1},
        {"an event in three reads", {"id: 1\nda", "ta: a\n", "\n"}, "id: 1\ndata: a\n\n", "", 1, 1},
        {"two events and a part",
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
        {"no space behind the colon", {"id:9\n\n"}, "id:9\n\n", "", 9, 1},
        {"a broken event is never whole", {"id: 1\ndata: a"}, "", "id: 1\ndata: a", 0, 0},
};

//! What a server writes on a connection, and what the client makes of it.
struct AnswerCase
{
    const char *name_;
    std::string bytes_;
    //! Reset the connection instead of closing it.
    bool reset_;
    const char *seen_;
};

std::ostream &operator<<(std::ostream &out, const AnswerCase &test)
{
    return out << test.name_;
}

const std::string Own = "X-Id: me\r\n";

const AnswerCase AnswerCases[] = {
        {"a whole answer", "HTTP/1.1 200 OK\r\n" + Own + "Content-Length: 2\r\n\r\nok", false,
         "200 ok done"},
        {"chunks",
         "HTTP/1.1 200 OK\r\n" + Own + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
         false, "200 ok done"},
        {"chunks without an end",
         "HTTP/1.1 200 OK\r\n" + Own + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false,
         "200 ok broken"},
        {"cut short", "HTTP/1.1 200 OK\r\n" + Own + "Content-Length: 5\r\n\r\nok", false,
         "200 ok broken"},
        {"no length, ends with the connection", "HTTP/1.1 200 OK\r\n" + Own + "\r\nok", false,
         "200 ok done"},
        {"no length, reset on the way", "HTTP/1.1 200 OK\r\n" + Own + "\r\nok", true, "broken"},
        {"no answer", "", false, "broken"},
        {"bytes that are no answer", "what is this?\r\n\r\n", false, "garbled"},
        {"an answer to another request comes first",
         "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad"
         "HTTP/1.1 200 OK\r\n"
                 + Own + "Content-Length: 2\r\n\r\nok",
         false, "200 ok done"},
        {"only answers to other requests",
         "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad", false, "broken"},
        {"bytes behind a whole answer belong to nobody",
         "HTTP/1.1 200 OK\r\n" + Own + "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", false,
         "200 ok done"},
        {"an interim answer",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + Own + "Content-Length: 2\r\n\r\nok",
         false, "200 ok done"},
};

//! What a caller writes, and the beginning of each line of status that it gets.
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

const CallerCase CallerCases[] = {
        {"one request", "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", "200"},
        {"two at once", "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
         "200 200"},
        {"a body with a length", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
         "200"},
        {"a body in chunks",
         "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
         "200"},
        {"waits for leave to send the body",
         "POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na",
         "100 200"},
        {"a body over the limit", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 999\r\n\r\n",
         "413"},
        {"a header over the limit",
         "GET /a HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(2000, 'y') + "\r\n\r\n", "431"},
        {"no request", "hello there\r\n\r\n", "400"},
        {"two lengths",
         "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
        {"a header that does not end", "GET /a HTTP/1.1\r\nHost: x\r\n", "408"},
        {"a body that does not end", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab",
         "408"},
};

std::string statusesOf(const std::string &text)
{
    std::string statuses;
    for (std::size_t at = text.find("HTTP/1.1 "); at != std::string::npos;
         at = text.find("HTTP/1.1 ", at + 1))
        statuses += (statuses.empty() ? "" : " ") + text.substr(at + 9, 3);
    return statuses;
}

//! Runs until the condition holds; false if that takes longer than a test may.
bool runUntil(asio::io_context &context, const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition() && std::chrono::steady_clock::now() < end)
        context.run_one_for(std::chrono::milliseconds(50));
    return condition();
}

//! Accepts one connection, reads a request, writes bytes and ends.
struct OneAnswer
{
    OneAnswer(asio::io_context &context, const AnswerCase &test)
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

BOOST_DATA_TEST_CASE(eventsAreSplit, SplitCases, test)
{
    http::EventSplitter splitter;
    std::string whole;
    std::uint64_t last = 0;
    std::uint32_t count = 0;
    for (const char *read : test.reads_) {
        const http::WholeEvents events = http::splitEvents(splitter, read);
        whole += events.bytes_;
        last = events.lastId_.value_or(last);
        count += events.count_;
    }
    BOOST_TEST(whole == test.whole_);
    BOOST_TEST(splitter.partial_ == test.partial_);
    BOOST_TEST(last == test.lastId_);
    BOOST_TEST(count == test.count_);
}

BOOST_DATA_TEST_CASE(answersAreJudged, AnswerCases, test)
{
    asio::io_context context;
    OneAnswer server(context, test);
    http::RelayClient client(context);
    std::string head;
    std::string body;
    std::string end;
    http::RelayCallRequest call;
    call.to_ = {"127.0.0.1", server.acceptor_.local_endpoint().port()};
    call.request_.method_ = "GET";
    call.request_.target_ = "/";
    call.echoHeader_ = "X-Id";
    call.echoValue_ = "me";
    http::RelayCallHandlers handlers;
    handlers.onHead_
            = [&](const http::RelayHead &got) { head = std::to_string(got.status_) + " "; };
    handlers.onBody_ = [&](std::string_view bytes) { body += bytes; };
    handlers.onDone_ = [&] { end = "done"; };
    handlers.onFailed_ = [&](http::RelayFailure failure, const std::string &) {
        static constexpr const char *Names[] = {"not-sent", "broken", "garbled"};
        end = Names[static_cast<int>(failure)];
    };
    const auto handle = client.send(std::move(call), std::move(handlers));
    BOOST_REQUIRE(runUntil(context, [&] { return !end.empty(); }));
    // How much arrives before a reset is up to the network.
    const std::string seen = test.reset_ ? end : head + body + (body.empty() ? "" : " ") + end;
    BOOST_TEST(seen == test.seen_);
}

BOOST_AUTO_TEST_CASE(nobodyListens)
{
    asio::io_context context;
    tcp::acceptor closed(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const Address to {"127.0.0.1", closed.local_endpoint().port()};
    closed.close();
    http::RelayClient client(context);
    std::optional<http::RelayFailure> failure;
    http::RelayCallRequest call;
    call.to_ = to;
    call.request_.method_ = "GET";
    call.request_.target_ = "/";
    http::RelayCallHandlers handlers;
    handlers.onFailed_ = [&](http::RelayFailure got, const std::string &) { failure = got; };
    const auto handle = client.send(std::move(call), std::move(handlers));
    BOOST_REQUIRE(runUntil(context, [&] { return failure.has_value(); }));
    BOOST_TEST(static_cast<int>(*failure) == static_cast<int>(http::RelayFailure::NotSent));
}

BOOST_DATA_TEST_CASE(callersAreAnswered, CallerCases, test)
{
    asio::io_context context;
    http::RelayServer server(context, [](const http::RelayRequest &,
                                         const std::shared_ptr<http::RelayExchange> &exchange) {
        exchange->answer({200, {}}, "ok");
    });
    http::RelayServerLimits limits;
    limits.maxHeaderBytes_ = 1000;
    limits.maxBodyBytes_ = 100;
    limits.headerTimeout_ = limits.bodyTimeout_ = std::chrono::milliseconds(200);
    limits.idleTimeout_ = std::chrono::milliseconds(400);
    server.setLimits(limits);
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE_MESSAGE(address, address.lastReason_);
    std::string answer;
    std::jthread caller([&] {
        asio::io_context own;
        tcp::socket socket(own);
        socket.connect({asio::ip::make_address(address->host_), address->port_});
        boost::system::error_code error;
        asio::write(socket, asio::buffer(test.bytes_), error);
        asio::read(socket, asio::dynamic_buffer(answer), error);
        asio::post(context, [&context] { context.stop(); });
    });
    context.run_for(std::chrono::seconds(10));
    caller.join();
    BOOST_TEST(statusesOf(answer) == test.statuses_);
}

// A caller that closes while its request is in hand is noticed, also behind a pipelined request.
BOOST_AUTO_TEST_CASE(leavingIsNoticed)
{
    const std::string next = "GET /b HTTP/1.1\r\nHost: x\r\n\r\n";
    // The last is more than the server reads ahead.
    for (const std::string &extra : {std::string(), next, next + std::string(100000, 'y')}) {
        asio::io_context context;
        std::shared_ptr<http::RelayExchange> held;
        bool gone = false;
        tcp::socket caller(context);
        http::RelayServer server(context,
                                 [&](const http::RelayRequest &,
                                     const std::shared_ptr<http::RelayExchange> &exchange) {
                                     held = exchange;
                                     exchange->onGone([&] { gone = true; });
                                     caller.close();
                                 });
        const auto address = server.listen({"127.0.0.1", 0});
        BOOST_REQUIRE(address);
        caller.connect({asio::ip::make_address(address->host_), address->port_});
        asio::write(caller, asio::buffer("GET /a HTTP/1.1\r\nHost: x\r\n\r\n" + extra));
        BOOST_TEST(runUntil(context, [&] { return gone; }));
        held->answer({200, {}}, "late");
    }
}

//! Requests that a caller writes before the earlier ones are answered, in pieces.
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
        {"one behind each",
         {"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", "GET /b HTTP/1.1\r\nHost: x\r\n\r\n",
          "GET /c HTTP/1.1\r\nHost: x\r\n\r\n"},
         "/a /b /c"},
        {"one of another length",
         {"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", "GET /long HTTP/1.1\r\nHost: x\r\n\r\n",
          "GET /c HTTP/1.1\r\nHost: x\r\n\r\n"},
         "/a /long /c"},
        {"a body in two pieces",
         {"GET /a HTTP/1.1\r\nHost: x\r\n\r\n",
          "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab",
          "cdGET /c HTTP/1.1\r\nHost: x\r\n\r\n"},
         "/a /b:abcd /c"},
};

// Each piece is written while the request before it is in hand.
BOOST_DATA_TEST_CASE(pipelinedRequestsKeepTheirBytes, PipelineCases, test)
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
        later([exchange] { exchange->answer({200, {}}, "ok"); });
        later([&] { later(writeNext); });
    });
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    caller.connect({asio::ip::make_address(address->host_), address->port_});
    writeNext();
    runUntil(context, [&] { return targets.size() >= std::string(test.targets_).size(); });
    BOOST_TEST(targets == test.targets_);
}

//! Requests on one connection, each sent as soon as the answer before it is whole.
struct NextRequestCase
{
    const char *name_;
    //! Target and body.
    std::vector<std::pair<const char *, const char *>> requests_;
    //! Answer by begin(), write() and finish() instead of answer().
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

//! Body of the next answer on a connection; "none" when it ends first.
std::string readAnswer(tcp::socket &socket, boost::beast::flat_buffer &buffer)
{
    namespace beast = boost::beast;
    beast::http::response<beast::http::string_body> answer;
    boost::system::error_code error;
    beast::http::read(socket, buffer, answer, error);
    return error ? "none" : answer.body();
}

// The thread is held up after each answer, so the next request is there before the end of the one
// in hand is noticed.
BOOST_DATA_TEST_CASE(nextRequestBehindQueuedWakeUpRunsOnce, NextRequestCases, test)
{
    asio::io_context context;
    std::vector<std::string> ran;
    std::uint64_t place = 0;
    http::RelayServer server(context, [&](const http::RelayRequest &request,
                                          const std::shared_ptr<http::RelayExchange> &exchange) {
        BOOST_TEST(exchange->connection().value_ == 1U);
        BOOST_TEST(exchange->ordinal().value_ == ++place);
        const std::string text = request.target_ + " " + request.body_;
        ran.push_back(text);
        const auto holdUp = [] { std::this_thread::sleep_for(std::chrono::milliseconds(20)); };
        if (!test.begun_) {
            exchange->answer({200, {}}, text);
            return holdUp();
        }
        exchange->begin({200, {}});
        // The last event and the end come together, so that the end is written by a later handler.
        const auto timer
                = std::make_shared<asio::steady_timer>(context, std::chrono::milliseconds(10));
        timer->async_wait([&context, timer, exchange, text, holdUp](boost::system::error_code) {
            exchange->write(text);
            exchange->finish();
            asio::post(context, holdUp);
        });
    });
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    std::vector<std::string> expected;
    for (const auto &[target, body] : test.requests_)
        expected.push_back(std::string(target) + " " + body);
    std::vector<std::string> answers;
    asio::io_context own;
    tcp::socket socket(own);
    socket.connect({asio::ip::make_address(address->host_), address->port_});
    std::jthread caller([&] {
        boost::beast::flat_buffer buffer;
        boost::system::error_code error;
        for (const auto &[target, body] : test.requests_) {
            asio::write(socket, asio::buffer(requestText(target, body)), error);
            answers.push_back(readAnswer(socket, buffer));
        }
        asio::post(context, [&context] { context.stop(); });
    });
    context.run_for(std::chrono::seconds(5));
    boost::system::error_code ignored;
    socket.shutdown(tcp::socket::shutdown_both, ignored);
    caller.join();
    BOOST_TEST(answers == expected, boost::test_tools::per_element());
    BOOST_TEST(ran == expected, boost::test_tools::per_element());
}

//! Bytes that a caller writes, and all bytes that it gets. The caller then ends its side.
struct FramingCase
{
    const char *name_;
    std::string bytes_;
    //! Targets and bodies of the requests that are run.
    const char *ran_;
    std::string answers_;
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
        {"HEAD, whole answer", "HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n" + GetB, "/a /b",
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + Plain},
        {"HEAD, streamed answer", "HEAD /stream HTTP/1.1\r\nHost: x\r\n\r\n" + GetB, "/stream /b",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Plain},
        {"204, whole answer", "GET /204 HTTP/1.1\r\nHost: x\r\n\r\n" + GetB, "/204 /b",
         "HTTP/1.1 204 No Content\r\n\r\n" + Plain},
        {"204, streamed answer", "GET /stream204 HTTP/1.1\r\nHost: x\r\n\r\n" + GetB,
         "/stream204 /b", "HTTP/1.1 204 No Content\r\n\r\n" + Plain},
        {"304, whole answer", "GET /304 HTTP/1.1\r\nHost: x\r\n\r\n" + GetB, "/304 /b",
         "HTTP/1.1 304 Not Modified\r\n\r\n" + Plain},
        {"304, streamed answer", "GET /stream304 HTTP/1.1\r\nHost: x\r\n\r\n" + GetB,
         "/stream304 /b", "HTTP/1.1 304 Not Modified\r\n\r\n" + Plain},
        {"HTTP/1.0, streamed answer", "GET /stream HTTP/1.0\r\nHost: x\r\n\r\n", "/stream",
         "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"},
        {"HTTP/1.0 kept alive, streamed answer",
         "GET /stream HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n", "/stream",
         "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"},
        {"an unknown coding",
         "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n" + GetB, "",
         NotImplemented},
        {"a coding before chunks",
         "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + GetB,
         "", NotImplemented},
        {"a coding after chunks",
         "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n" + GetB,
         "", NotImplemented},
        {"a coding of a similar name, and a length",
         "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: xchunked\r\n\r\na"
                 + GetB,
         "", BadRequest},
        {"codings in two headers",
         "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: "
         "identity\r\n\r\n0\r\n\r\n"
                 + GetB,
         "", BadRequest},
        {"chunks of HTTP/1.0",
         "POST /a HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "",
         BadRequest},
        {"length and chunks",
         "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: "
         "chunked\r\n\r\n0\r\n\r\n"
                 + GetB,
         "", BadRequest},
        {"chunks and length",
         "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: "
         "5\r\n\r\n0\r\n\r\n"
                 + GetB,
         "", BadRequest},
        {"two lengths in one header",
         "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1, 2\r\n\r\na" + GetB, "", BadRequest},
        {"a signed length", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: +1\r\n\r\na" + GetB, "",
         BadRequest},
        {"a chunk of no length",
         "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n" + GetB, "",
         BadRequest},
        {"a space before the colon",
         "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length : 1\r\n\r\na" + GetB, "", BadRequest},
        {"leave to send a body that is there",
         "POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na" + GetB,
         "/a:a /b", "HTTP/1.1 100 Continue\r\n\r\n" + Plain + Plain},
        {"leave to send no body",
         "GET /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n\r\n" + GetB, "/a /b",
         Plain + Plain},
        {"leave for HTTP/1.0",
         "POST /a HTTP/1.0\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na",
         "/a:a", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"},
        {"cut in the request line", GetB + "GET /cut", "/b", Plain},
        {"cut in the head", GetB + "GET /cut HTTP/1.1\r\nHost: x\r\n", "/b", Plain},
        {"cut in the body", GetB + "POST /cut HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nabcd",
         "/b", Plain},
        {"cut in a chunk",
         GetB + "POST /cut HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcd",
         "/b", Plain},
        {"cut before the last chunk",
         GetB + "POST /cut HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n",
         "/b", Plain},
        {"what follows a refusal is not run", "nonsense\r\n\r\n" + GetB, "", BadRequest},
        {"what follows the last request is not run",
         "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + GetB, "/a",
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"},
};

void answerByTarget(const std::string &target, http::RelayExchange &exchange)
{
    const http::RelayHead head {static_cast<std::uint16_t>(target.ends_with("204")   ? 204
                                                           : target.ends_with("304") ? 304
                                                                                     : 200),
                                {}};
    if (!target.starts_with("/stream"))
        return exchange.answer(head, "ok");
    exchange.begin(head);
    exchange.write("ok");
    exchange.finish();
}

// No byte of an answer or request may be taken for a part of the next one.
BOOST_DATA_TEST_CASE(messagesEndWhereTheirFramingSays, FramingCases, test)
{
    asio::io_context context;
    std::string ran;
    http::RelayServer server(context, [&](const http::RelayRequest &request,
                                          const std::shared_ptr<http::RelayExchange> &exchange) {
        ran += (ran.empty() ? "" : " ") + request.target_
               + (request.body_.empty() ? "" : ":" + request.body_);
        answerByTarget(request.target_, *exchange);
    });
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    std::string answers;
    std::jthread caller([&] {
        asio::io_context own;
        tcp::socket socket(own);
        socket.connect({asio::ip::make_address(address->host_), address->port_});
        boost::system::error_code error;
        asio::write(socket, asio::buffer(test.bytes_), error);
        std::this_thread::sleep_for(std::chrono::milliseconds(60));
        socket.shutdown(tcp::socket::shutdown_send, error);
        asio::read(socket, asio::dynamic_buffer(answers), error);
        asio::post(context, [&context] { context.stop(); });
    });
    context.run_for(std::chrono::seconds(10));
    caller.join();
    BOOST_TEST(ran == test.ran_);
    BOOST_TEST(answers == test.answers_);
}

//! A caller that has more to send than it is answered, on a connection that ends with the answer.
struct LastAnswerCase
{
    const char *name_;
    std::size_t answerBytes_;
    //! Sent behind the request, never read by the server as a request.
    std::size_t extraBytes_;
    //! The caller asks for the end; else the server begins to close with the request in hand.
    bool callerCloses_;
};

std::ostream &operator<<(std::ostream &out, const LastAnswerCase &test)
{
    return out << test.name_;
}

constexpr std::size_t Megabyte = 1024UL * 1024;

const LastAnswerCase LastAnswerCases[] = {
        {"short", 2, 0, true},
        {"large", 3 * Megabyte, 0, true},
        {"short, bytes behind the request", 2, Megabyte, true},
        {"900 KB, bytes behind the request", 900UL * 1024, Megabyte, true},
        {"large, bytes behind the request", 3 * Megabyte, Megabyte, true},
        {"the server begins to close", 2, 0, false},
        {"the server begins to close, large", 3 * Megabyte, 0, false},
};

// The answer is whole and says that the connection ends, even if the caller reads it late.
BOOST_DATA_TEST_CASE(lastAnswerIsWholeAndSaysSo, LastAnswerCases, test)
{
    namespace beast = boost::beast;
    asio::io_context context;
    std::unique_ptr<http::RelayServer> server;
    const std::string body(test.answerBytes_, 'x');
    server = std::make_unique<http::RelayServer>(
            context,
            [&](const http::RelayRequest &, const std::shared_ptr<http::RelayExchange> &exchange) {
                if (!test.callerCloses_)
                    server->closeAfterAnswers();
                exchange->answer({200, {}}, body);
            });
    const auto address = server->listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    beast::http::response_parser<beast::http::string_body> answer;
    answer.body_limit(2 * test.answerBytes_);
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
        beast::http::read(socket, buffer, answer, error);
        asio::post(context, [&context] { context.stop(); });
    });
    context.run_for(std::chrono::seconds(10));
    caller.join();
    BOOST_TEST(!error, error.message());
    BOOST_TEST(answer.get().body().size() == body.size());
    BOOST_TEST(!answer.get().keep_alive());
}

//! Many callers at once that don't read, or don't come to an end.
struct GreedyCase
{
    const char *name_;
    std::size_t callers_;
    std::string bytes_;
    //! Written again and again until the connection ends.
    std::string trickle_;
    std::size_t answerBytes_;
    std::size_t mostConnections_;
    std::size_t mostBytes_;
    //! Whether all are given up on in time.
    bool allEnd_;
};

std::ostream &operator<<(std::ostream &out, const GreedyCase &test)
{
    return out << test.name_;
}

const std::string PostHead = "POST /a HTTP/1.1\r\nHost: x\r\n";

const GreedyCase GreedyCases[] = {
        {"never read a whole answer", 1, GetB, "", 6 * Megabyte, 1, 7 * Megabyte, true},
        {"never read, many", 16, GetB, "", 6 * Megabyte, 16, 32 * Megabyte, true},
        {"never read a stream", 4, "GET /stream HTTP/1.1\r\nHost: x\r\n\r\n", "", 256UL * 1024, 4,
         8 * Megabyte, true},
        {"a head that trickles", 2, PostHead, "X-More: y\r\n", 2, 2, Megabyte, true},
        {"a body that trickles", 2, PostHead + "Content-Length: 99999\r\n\r\n", "y", 2, 2, Megabyte,
         true},
        {"chunks that trickle", 2, PostHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\ny\r\n", 2,
         2, Megabyte, true},
        {"bodies without an end, many", 40,
         PostHead + "Content-Length: 2000000\r\n\r\n" + std::string(1900000, 'y'), "", 2, 40,
         33 * Megabyte, true},
        {"idle, many", 100, "", "", 2, 20, Megabyte, false},
};

http::RelayServerLimits greedyLimits()
{
    http::RelayServerLimits limits;
    limits.headerTimeout_ = limits.bodyTimeout_ = limits.sendTimeout_
            = std::chrono::milliseconds(400);
    limits.maxConnections_ = 20;
    limits.maxWaitingBytes_ = limits.maxUnfinishedBytes_ = 32 * Megabyte;
    return limits;
}

//! Streams pieces until the caller is given up on.
void streamOn(asio::io_context &context, const std::shared_ptr<http::RelayExchange> &exchange,
              const std::shared_ptr<bool> &gone, std::size_t size)
{
    if (*gone)
        return;
    exchange->write(std::string(size, 'x'));
    auto timer = std::make_shared<asio::steady_timer>(context, std::chrono::milliseconds(5));
    timer->async_wait([&context, timer, exchange, gone, size](boost::system::error_code) {
        streamOn(context, exchange, gone, size);
    });
}

struct GreedyCaller
{
    explicit GreedyCaller(asio::io_context &context) : socket_(context) { }

    void write(const GreedyCase &test)
    {
        asio::async_write(socket_, asio::buffer(test.bytes_),
                          [this, &test](boost::system::error_code error, std::size_t) {
                              if (!error && !test.trickle_.empty())
                                  trickle(test);
                          });
    }

    void trickle(const GreedyCase &test)
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

BOOST_DATA_TEST_CASE(greedyCallersAreBounded, GreedyCases, test)
{
    asio::io_context context;
    http::RelayServer server(context, [&](const http::RelayRequest &request,
                                          const std::shared_ptr<http::RelayExchange> &exchange) {
        if (request.target_ != "/stream")
            return exchange->answer({200, {}}, std::string(test.answerBytes_, 'x'));
        const auto gone = std::make_shared<bool>(false);
        exchange->onGone([gone] { *gone = true; });
        exchange->begin({200, {}});
        streamOn(context, exchange, gone, test.answerBytes_);
    });
    http::RelayServerLimits limits = greedyLimits();
    limits.maxConnections_ = std::max<std::size_t>(test.mostConnections_, 20);
    server.setLimits(limits);
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    std::vector<std::unique_ptr<GreedyCaller>> callers;
    for (std::size_t i = 0; i < test.callers_; ++i) {
        callers.push_back(std::make_unique<GreedyCaller>(context));
        callers.back()->socket_.connect({asio::ip::make_address(address->host_), address->port_});
        callers.back()->write(test);
    }
    std::size_t mostConnections = 0;
    std::size_t mostBytes = 0;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(4);
    while (std::chrono::steady_clock::now() < end
           && (mostConnections == 0 || server.connections() > 0)) {
        context.run_one_for(std::chrono::milliseconds(10));
        mostConnections = std::max(mostConnections, server.connections());
        mostBytes = std::max(mostBytes, server.bytesHeld());
    }
    BOOST_TEST(mostConnections <= test.mostConnections_);
    BOOST_TEST(mostBytes <= test.mostBytes_);
    BOOST_TEST((server.connections() == 0) == test.allEnd_);
}

// The end of the connection ends an answer to HTTP/1.0, so one that is broken off must be reset.
BOOST_AUTO_TEST_CASE(brokenOffAnswerIsNotWholeToOldCallers)
{
    asio::io_context context;
    http::RelayServer server(context, [&](const http::RelayRequest &,
                                          const std::shared_ptr<http::RelayExchange> &exchange) {
        exchange->begin({200, {}});
        exchange->write("half");
        const auto timer
                = std::make_shared<asio::steady_timer>(context, std::chrono::milliseconds(30));
        timer->async_wait([timer, exchange](boost::system::error_code) { exchange->breakOff(); });
    });
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    asio::io_context own;
    tcp::socket socket(own);
    socket.connect({asio::ip::make_address(address->host_), address->port_});
    asio::write(socket, asio::buffer(std::string("GET /a HTTP/1.0\r\n\r\n")));
    boost::system::error_code end;
    std::jthread caller([&] {
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), end);
        asio::post(context, [&context] { context.stop(); });
    });
    context.run_for(std::chrono::seconds(5));
    caller.join();
    BOOST_TEST(end == asio::error::connection_reset);
}

// A handler that is registered once the answer is whole must not hear of a later request.
BOOST_AUTO_TEST_CASE(handlerOfAWholeAnswerIsNotCalledForTheNextRequest)
{
    asio::io_context context;
    tcp::socket caller(context);
    bool wrong = false;
    http::RelayServer server(context, [&](const http::RelayRequest &request,
                                          const std::shared_ptr<http::RelayExchange> &exchange) {
        if (request.target_ != "/a")
            return caller.close();
        exchange->answer({200, {}}, "ok");
        const auto timer
                = std::make_shared<asio::steady_timer>(context, std::chrono::milliseconds(20));
        timer->async_wait([&, timer, exchange](boost::system::error_code) {
            exchange->onGone([&wrong] { wrong = true; });
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
