#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/tests/replyingserver.h"
#include "platform/endpointclient.h"
#include "platform/storeclient.h"

using namespace gypsumcroft;
using namespace gypsumcroft::http::tests;

namespace {

std::string answerOf(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status)
           + " Any\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string report(int orders)
{
    return answerOf(200, R"({"Sequence":)" + std::to_string(orders) + R"(,"Busy":false})");
}

//! Report requests (?) and load orders (!) to one endpoint, in order, and the result of each.
struct EndpointCase
{
    const char *name_;
    const char *calls_;
    std::vector<Reply> replies_;
    const char *expected_;
};

std::ostream &operator<<(std::ostream &out, const EndpointCase &test)
{
    return out << test.name_;
}

const EndpointCase EndpointCases[] = {
        {"a report and an order", "?!", {{report(1), ""}, {answerOf(202, ""), ""}}, "1 begun"},
        {"a late report is not taken for the response to an order",
         "?!",
         {{report(1), report(1)}, {answerOf(409, ""), ""}},
         "1 conflict"},
        {"a late response to an order is not taken for that to the next order",
         "!!",
         {{answerOf(202, ""), answerOf(202, "")}, {answerOf(409, ""), ""}},
         "begun conflict"},
        {"a late response to an order is not taken for a report",
         "!?",
         {{answerOf(409, ""), answerOf(200, R"({"Sequence":9})")}, {report(1), ""}},
         "conflict 1"},
        {"a late report is not taken for the next report",
         "??",
         {{report(1), report(7)}, {report(2), ""}},
         "1 2"},
        {"a report above the size limit",
         "?",
         {{answerOf(200, R"({"Sequence":1,"Busy":false})" + std::string(400000, ' ')), ""}},
         "none"},
};

const char *outcomeName(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Started:
        return "begun";
    case OrderOutcome::AlreadyLoaded:
        return "holds";
    case OrderOutcome::Conflict:
        return "conflict";
    case OrderOutcome::Refused:
        return "refused";
    case OrderOutcome::Unknown:
        return "unknown";
    }
    return "";
}

std::string requestReport(asio::io_context &context, platform::EndpointClient &client,
                          const Address &to)
{
    std::optional<std::string> seen;
    RequestStatusReport question;
    question.address_ = to;
    client.requestReport(question, [&](const std::optional<EndpointStatusReport> &facts) {
        seen = facts ? std::to_string(facts->acceptedOrders_.value_) : "none";
    });
    runUntil(context, std::chrono::seconds(4), [&] { return seen.has_value(); });
    return seen.value_or("nothing");
}

std::string sendLoadOrder(asio::io_context &context, platform::EndpointClient &client,
                          const Address &to)
{
    std::optional<std::string> seen;
    SendLoadOrder order;
    order.address_ = to;
    client.sendLoadOrder(order, [&](OrderOutcome outcome) { seen = outcomeName(outcome); });
    runUntil(context, std::chrono::seconds(4), [&] { return seen.has_value(); });
    return seen.value_or("nothing");
}

//! Size of the store's response to a read, and whether the client accepts it.
struct StoreCase
{
    const char *name_;
    std::size_t bytes_;
    bool accepted_;
};

std::ostream &operator<<(std::ostream &out, const StoreCase &test)
{
    return out << test.name_;
}

const StoreCase StoreCases[] = {
        {"no record", 16, true},
        {"the largest response to a read", 1024UL * 1024 + 16, true},
        {"a response above the size limit", 8UL * 1024 * 1024, false},
};

} // namespace

BOOST_DATA_TEST_CASE(lateResponsesAreNotMistaken, EndpointCases, test)
{
    asio::io_context context;
    ReplyingServer server(context, test.replies_);
    platform::EndpointClient client(context);
    std::string seen;
    for (const char call : std::string(test.calls_))
        seen += (seen.empty() ? "" : " ")
                + (call == '?' ? requestReport(context, client, server.address())
                               : sendLoadOrder(context, client, server.address()));
    BOOST_TEST(seen == test.expected_);
}

BOOST_DATA_TEST_CASE(storeResponsesAreBounded, StoreCases, test)
{
    asio::io_context context;
    // The server's write blocks, so the server runs on a thread of its own.
    asio::io_context serverContext;
    ReplyingServer server(serverContext, {{answerOf(200, std::string(test.bytes_, '\0')), ""}});
    std::jthread serving([&] { serverContext.run_for(std::chrono::seconds(4)); });
    platform::StoreClient client(context, server.address());
    std::optional<bool> accepted;
    client.read("keyed.any", 0, std::chrono::milliseconds(0),
                [&](const Result<platform::RecordRange> &span) {
                    accepted = static_cast<bool>(span);
                    serverContext.stop();
                });
    BOOST_REQUIRE(runUntil(context, std::chrono::seconds(4), [&] { return accepted.has_value(); }));
    BOOST_TEST(*accepted == test.accepted_);
}
