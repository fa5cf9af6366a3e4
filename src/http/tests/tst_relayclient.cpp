#include <chrono>
#include <string>
#include <vector>

#include <boost/asio.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/eventsplitter.h"
#include "relaycalls.h"
#include "replyingserver.h"

using namespace gypsumcroft;
using namespace gypsumcroft::http::tests;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

//! Server that sends a beginning and then a piece repeatedly, until the client closes the
//! connection.
class EndlessServer
{
public:
    EndlessServer(asio::io_context &context, std::string beginning, std::string piece,
                  std::chrono::milliseconds gap)
        : acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          socket_(context), gap_(context), gapTime_(gap), beginning_(std::move(beginning)),
          piece_(std::move(piece))
    {
        acceptor_.async_accept(socket_, [this](boost::system::error_code) {
            socket_.async_read_some(
                    asio::buffer(request_),
                    [this](boost::system::error_code, std::size_t) { write(beginning_); });
        });
    }
    Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
    std::size_t written() const { return written_; }
    bool callerClosed() const { return callerClosed_; }

private:
    void write(const std::string &bytes)
    {
        asio::async_write(socket_, asio::buffer(bytes),
                          [this](boost::system::error_code error, std::size_t size) {
                              written_ += size;
                              callerClosed_ = static_cast<bool>(error);
                              if (!error)
                                  writeLater();
                          });
    }

    void writeLater()
    {
        if (gapTime_ == std::chrono::milliseconds::zero())
            return write(piece_);
        gap_.expires_after(gapTime_);
        gap_.async_wait([this](boost::system::error_code error) {
            if (!error)
                write(piece_);
        });
    }

    tcp::acceptor acceptor_;
    tcp::socket socket_;
    asio::steady_timer gap_;
    std::chrono::milliseconds gapTime_;
    std::string beginning_;
    std::string piece_;
    char request_[RequestBytes] = {};
    std::size_t written_ = 0;
    bool callerClosed_ = false;
};

std::string textOf(const http::RelayCallInfo &trace)
{
    return (trace.connectionReused_ ? "reused " : "new ")
           + std::to_string(trace.unmatchedResponses_);
}

std::string responseText(const std::string &status, const std::string &id, const std::string &body)
{
    return "HTTP/1.1 " + status + " Any\r\n" + (id.empty() ? "" : "X-Id: " + id + "\r\n")
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string NotRun = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const std::string EventStream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n6\r\ndata:\n\r\n";

//! Calls that are sent one after the other, given by their request ids, and their results.
struct ReuseCase
{
    const char *name_;
    std::vector<const char *> calls_;
    std::vector<Reply> replies_;
    const char *seen_;
    std::uint64_t connections_;
    //! Connection of the last call, reused or new, and the number of unmatched responses on it.
    const char *trace_;
};

std::ostream &operator<<(std::ostream &out, const ReuseCase &test)
{
    return out << test.name_;
}

const ReuseCase ReuseCases[] = {
        {"an idle connection is reused",
         {"a", "b"},
         {{responseText("200", "a", "one"), ""}, {responseText("200", "b", "two"), ""}},
         "200 one done, 200 two done",
         1,
         "reused 0"},
        {"a late second response with its id is discarded",
         {"a", "b"},
         {{responseText("200", "a", "one"), responseText("200", "a", "bad")},
          {responseText("200", "b", "two"), ""}},
         "200 one done, 200 two done",
         1,
         "reused 1"},
        {"the first response on a connection needs no id",
         {"a"},
         {{responseText("200", "", "one"), ""}},
         "200 one done",
         1,
         "new 0"},
        {"a late second response without an id fails the call",
         {"a", "b"},
         {{responseText("200", "a", "one"), responseText("200", "", "bad")},
          {responseText("200", "b", "two"), ""}},
         "200 one done, protocol-error",
         1,
         "reused 1"},
        {"a late refusal without an id is not taken for the next request's",
         {"a", "b"},
         {{responseText("200", "a", "one"), NotRun}, {responseText("200", "b", "two"), ""}},
         "200 one done, protocol-error",
         1,
         "reused 1"},
        {"a late event stream without an id fails the call",
         {"a", "b"},
         {{responseText("200", "a", "one"), EventStream}, {responseText("200", "b", "two"), ""}},
         "200 one done, protocol-error",
         1,
         "reused 1"},
        {"a response without an id after one to another request",
         {"a"},
         {{responseText("200", "other", "bad") + responseText("200", "", "worse"), ""}},
         "protocol-error",
         1,
         "new 2"},
        {"a server that echoes no id gets a connection for each request",
         {"a", "b"},
         {{responseText("200", "", "one"), responseText("200", "", "bad")},
          {responseText("200", "", "two"), ""}},
         "200 one done, 200 two done",
         2,
         "new 0"},
        {"requests without an id reuse no connection",
         {"", ""},
         {{responseText("200", "", "one"), responseText("200", "", "bad")},
          {responseText("200", "", "two"), ""}},
         "200 one done, 200 two done",
         2,
         "new 0"},
        {"a request without an id reuses no connection of one with an id",
         {"a", ""},
         {{responseText("200", "a", "one"), responseText("200", "a", "bad")},
          {responseText("200", "", "two"), ""}},
         "200 one done, 200 two done",
         2,
         "new 0"},
        {"a late refusal of an earlier attempt with the same id",
         {"a", "a"},
         {{responseText("500", "a", "one"), responseText("503", "a", "bad")},
          {responseText("200", "a", "two"), ""}},
         "500 one done, 200 two done",
         2,
         "new 0"},
        {"a late response to an attempt before the previous request",
         {"a", "b", "a"},
         {{responseText("500", "a", "one"), ""},
          {responseText("200", "b", "two"), responseText("503", "a", "bad")},
          {responseText("200", "a", "three"), ""}},
         "500 one done, 200 two done, 200 three done",
         2,
         "new 0"},
        {"other requests reuse the connections of both attempts",
         {"a", "a", "b"},
         {{responseText("500", "a", "one"), ""},
          {responseText("200", "a", "two"), ""},
          {responseText("200", "b", "three"), ""}},
         "500 one done, 200 two done, 200 three done",
         2,
         "reused 0"},
};

//! A server that sends without end, and how the call ends.
struct EndlessCase
{
    const char *name_;
    std::string beginning_;
    std::string piece_;
    //! Pause before each piece.
    std::chrono::milliseconds gap_;
    const char *end_;
};

std::ostream &operator<<(std::ostream &out, const EndlessCase &test)
{
    return out << test.name_;
}

const std::string Long(16384, 'y');
const std::string OwnHead = "HTTP/1.1 200 OK\r\nX-Id: me\r\n";
const std::string UnmatchedHead = "HTTP/1.1 200 OK\r\nX-Id: other\r\n";
constexpr std::chrono::milliseconds AtOnce {0};
constexpr std::chrono::milliseconds Slowly {50};

const EndlessCase EndlessCases[] = {
        {"bytes that are not HTTP", "y", Long, AtOnce, "protocol-error"},
        {"endless header field", OwnHead + "X-Long: ", Long, AtOnce, "protocol-error"},
        {"endless number of header fields", OwnHead, "X-More: " + Long + "\r\n", AtOnce,
         "protocol-error"},
        {"endless number of folded lines", OwnHead + "X-Long: y\r\n", " " + Long + "\r\n", AtOnce,
         "protocol-error"},
        {"slow folded lines", OwnHead + "X-Long: y\r\n", " y\r\n", Slowly, "protocol-error"},
        {"slow header section", OwnHead + "X-Long: ", "y", Slowly, "protocol-error"},
        {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", AtOnce, "protocol-error"},
        {"slow interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", Slowly, "protocol-error"},
        {"slow header section of an interim response", "HTTP/1.1 100 Continue\r\nX-Long: ", "y",
         Slowly, "protocol-error"},
        {"responses to other requests", "", responseText("200", "other", "bad"), AtOnce,
         "protocol-error"},
        {"unmatched response, body with a length",
         UnmatchedHead + "Content-Length: 9000000000\r\n\r\n", Long, AtOnce, "protocol-error"},
        {"unmatched response, body without a length", UnmatchedHead + "\r\n", Long, AtOnce,
         "protocol-error"},
        {"unmatched response, chunked body", UnmatchedHead + "Transfer-Encoding: chunked\r\n\r\n",
         "4000\r\n" + Long + "\r\n", AtOnce, "protocol-error"},
        {"unmatched response, slow body", UnmatchedHead + "Content-Length: 900000\r\n\r\n", "y",
         Slowly, "protocol-error"},
        {"endless chunk header", OwnHead + "Transfer-Encoding: chunked\r\n\r\n1;a=", Long, AtOnce,
         "protocol-error"},
        {"endless trailer section", OwnHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
         "X-More: " + Long + "\r\n", AtOnce, "protocol-error"},
        {"endless folded trailer", OwnHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: y\r\n",
         " " + Long + "\r\n", AtOnce, "protocol-error"},
};

} // namespace

BOOST_DATA_TEST_CASE(responsesAreMatchedToTheirRequest, ReuseCases, test)
{
    asio::io_context context;
    ReplyingServer server(context, test.replies_);
    http::RelayClient client(context);
    std::string seen;
    std::string trace;
    for (const char *id : test.calls_) {
        CallRecord record;
        auto call = client.send(requestOf(server.address(), id), recordInto(record));
        runUntil(context, std::chrono::seconds(2), [&] { return !record.end_.empty(); });
        call.cancel();
        seen += (seen.empty() ? "" : ", ") + textOf(record);
        trace = textOf(call.info());
    }
    BOOST_TEST(seen == test.seen_);
    BOOST_TEST(trace == test.trace_);
    BOOST_TEST(client.connectionsOpened() == test.connections_);
}

BOOST_DATA_TEST_CASE(endlessInputFailsTheCall, EndlessCases, test)
{
    // The kernel's buffers of a connection and a margin.
    constexpr std::size_t MostWritten = 16UL * 1024 * 1024;
    asio::io_context context;
    EndlessServer server(context, test.beginning_, test.piece_, test.gap_);
    http::RelayClient client(context);
    CallRecord record;
    auto call = client.send(requestOf(server.address(), "me"), recordInto(record));
    runUntil(context, std::chrono::seconds(4), [&] { return !record.end_.empty(); });
    BOOST_TEST(record.end_ == test.end_);
    BOOST_TEST(server.written() < MostWritten);
    BOOST_TEST(runUntil(context, std::chrono::seconds(1), [&] { return server.callerClosed(); }));
    call.cancel();
}

//! Bytes that arrive long before the call's own response.
struct PauseCase
{
    const char *name_;
    std::string before_;
};

std::ostream &operator<<(std::ostream &out, const PauseCase &test)
{
    return out << test.name_;
}

const PauseCase PauseCases[] = {
        {"interim response", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"response to another request", responseText("200", "other", "bad")},
};

// The header timeout starts with the first byte of a response and must not limit the wait for it.
BOOST_DATA_TEST_CASE(pauseBeforeTheResponseDoesNotTimeOut, PauseCases, test)
{
    constexpr std::chrono::milliseconds Pause {2300};
    asio::io_context context;
    EndlessServer server(context, test.before_, responseText("200", "me", "ok"), Pause);
    http::RelayClient client(context);
    CallRecord record;
    auto call = client.send(requestOf(server.address(), "me"), recordInto(record));
    runUntil(context, std::chrono::seconds(4), [&] { return !record.end_.empty(); });
    BOOST_TEST(textOf(record) == "200 ok done");
    call.cancel();
}

// The ids of all requests on a connection are stored, so their number must be limited.
BOOST_AUTO_TEST_CASE(requestsPerConnectionAreLimited)
{
    constexpr std::size_t Calls = 300;
    std::vector<Reply> replies;
    for (std::size_t i = 0; i < Calls; ++i)
        replies.push_back({responseText("200", std::to_string(i), "ok"), ""});
    asio::io_context context;
    ReplyingServer server(context, replies);
    http::RelayClient client(context);
    for (std::size_t i = 0; i < Calls; ++i) {
        CallRecord record;
        auto call = client.send(requestOf(server.address(), std::to_string(i)), recordInto(record));
        runUntil(context, std::chrono::seconds(2), [&] { return !record.end_.empty(); });
        BOOST_REQUIRE(textOf(record) == "200 ok done");
    }
    BOOST_TEST(client.connectionsOpened() == 2U);
}

// A part of an event must not be forwarded: if the stream then fails over to another endpoint, the
// parts of two events would be joined.
BOOST_AUTO_TEST_CASE(endlessEventIsNotForwarded)
{
    http::EventSplitter splitter;
    http::CompleteEvents events = http::splitEvents(splitter, "id: 1\n\nid: 2\n");
    BOOST_TEST(events.bytes_ == "id: 1\n\n");
    std::size_t taken = 0;
    while (!events.eventTooLong_ && taken < 2 * http::MaxEventBytes) {
        events = http::splitEvents(splitter, Long);
        BOOST_REQUIRE(events.bytes_.empty());
        BOOST_REQUIRE(splitter.incompleteEvent_.size() <= http::MaxEventBytes);
        taken += Long.size();
    }
    BOOST_TEST(events.eventTooLong_);
    BOOST_TEST(taken <= http::MaxEventBytes + Long.size());
}

// RelayClient doesn't limit the body of a matched response. Its user does so with cancel(), which
// must close the connection.
BOOST_AUTO_TEST_CASE(cancelStopsAnEndlessBody)
{
    constexpr std::size_t Enough = 100000;
    asio::io_context context;
    EndlessServer server(context, OwnHead + "\r\n", Long, AtOnce);
    http::RelayClient client(context);
    CallRecord record;
    auto call = client.send(requestOf(server.address(), "me"), recordInto(record));
    BOOST_TEST(runUntil(context, std::chrono::seconds(4), [&] { return record.size_ > Enough; }));
    call.cancel();
    const std::size_t size = record.size_;
    BOOST_TEST(runUntil(context, std::chrono::seconds(1), [&] { return server.callerClosed(); }));
    BOOST_TEST(record.size_ == size);
    BOOST_TEST(record.end_ == "");
}

// An endless body on one connection must not starve other work on the thread.
BOOST_AUTO_TEST_CASE(endlessBodyDoesNotStarveOtherWork)
{
    constexpr int Turns = 20;
    asio::io_context context;
    EndlessServer server(context, OwnHead + "\r\n", Long, AtOnce);
    http::RelayClient client(context);
    CallRecord record;
    auto call = client.send(requestOf(server.address(), "me"), recordInto(record));
    BOOST_TEST(runUntil(context, std::chrono::seconds(4), [&] { return record.size_ > 0; }));
    int turns = 0;
    std::function<void()> other = [&] {
        if (++turns < Turns)
            asio::post(context, other);
    };
    const std::size_t before = record.size_;
    asio::post(context, other);
    BOOST_TEST(runUntil(context, std::chrono::seconds(4), [&] { return turns == Turns; }));
    BOOST_TEST(record.size_ - before < 1024UL * 1024);
    call.cancel();
}

namespace {

//! Server that writes some bytes in response to a request and closes the connection, or resets it.
class ClosingServer
{
public:
    ClosingServer(asio::io_context &context, std::string bytes, bool reset)
        : acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          socket_(context)
    {
        acceptor_.async_accept(socket_, [this, bytes = std::move(bytes),
                                         reset](boost::system::error_code) {
            socket_.async_read_some(asio::buffer(request_),
                                    [this, bytes, reset](boost::system::error_code, std::size_t) {
                                        boost::system::error_code ignored;
                                        asio::write(socket_, asio::buffer(bytes), ignored);
                                        if (reset)
                                            socket_.set_option(asio::socket_base::linger(true, 0),
                                                               ignored);
                                        socket_.close(ignored);
                                    });
        });
    }
    Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

private:
    tcp::acceptor acceptor_;
    tcp::socket socket_;
    char request_[RequestBytes] = {};
};

struct CutCase
{
    const char *name_;
    std::string head_;
    std::string body_;
    //! The response is complete when the server closes after all of it.
    bool endsWithConnection_;
};

std::ostream &operator<<(std::ostream &out, const CutCase &test)
{
    return out << test.name_;
}

const CutCase CutCases[] = {
        {"with a length", "HTTP/1.1 200 OK\r\nX-Id: me\r\nContent-Length: 4\r\n\r\n", "body",
         false},
        {"in chunks", "HTTP/1.1 200 OK\r\nX-Id: me\r\nTransfer-Encoding: chunked\r\n\r\n",
         "4\r\nbody\r\n0\r\n\r\n", false},
        {"that ends with its connection", "HTTP/1.1 200 OK\r\nX-Id: me\r\n\r\n", "body", true},
        {"of an event stream that ends with its connection",
         "HTTP/1.1 200 OK\r\nX-Id: me\r\nContent-Type: text/event-stream\r\n\r\n", "id: 1\n\n",
         true},
};

std::string endOf(const std::string &bytes, bool reset)
{
    asio::io_context context;
    ClosingServer server(context, bytes, reset);
    http::RelayClient client(context);
    CallRecord record;
    auto call = client.send(requestOf(server.address(), "me"), recordInto(record));
    runUntil(context, std::chrono::seconds(2), [&] { return !record.end_.empty(); });
    call.cancel();
    return record.end_;
}

} // namespace

// A response whose server stops in the middle of the head must not look complete, nor one that is
// cut in a body of known length or reset at any place.
BOOST_DATA_TEST_CASE(cutResponseIsIncomplete, CutCases, test)
{
    const std::string whole = test.head_ + test.body_;
    for (std::size_t size = 0; size < whole.size(); ++size) {
        const bool mayEndHere = test.endsWithConnection_ && size >= test.head_.size();
        BOOST_TEST((endOf(whole.substr(0, size), false) == "done") == mayEndHere,
                   "closed after " << size);
    }
    BOOST_TEST(endOf(whole, false) == "done");
    for (const std::size_t size :
         {std::size_t {0}, test.head_.size() / 2, test.head_.size(), test.head_.size() + 2})
        BOOST_TEST(endOf(whole.substr(0, size), true) != "done", "reset after " << size);
    if (test.endsWithConnection_)
        BOOST_TEST(endOf(whole, true) != "done");
}
