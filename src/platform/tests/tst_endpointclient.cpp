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

//! Questions (?) and orders (!) to one endpoint, and what each of them comes to.
struct EndpointCase
{
    const char *name_;
    const char *calls_;
    std::vector<Reply> replies_;
    const char *seen_;
};

std::ostream &operator<<(std::ostream &out, const EndpointCase &test)
{
    return out << test.name_;
}

const EndpointCase EndpointCases[] = {
        {"a question and an order", "?!", {{report(1), ""}, {answerOf(202, ""), ""}}, "1 begun"},
        {"a late report is no outcome of an order",
         "?!",
         {{report(1), report(1)}, {answerOf(409, ""), ""}},
         "1 conflict"},
        {"a late outcome is not another order's",
         "!!",
         {{answerOf(202, ""), answerOf(202, "")}, {answerOf(409, ""), ""}},
         "begun conflict"},
        {"a late outcome is no report",
         "!?",
         {{answerOf(409, ""), answerOf(200, R"({"Sequence":9})")}, {report(1), ""}},
         "conflict 1"},
        {"a late report is no answer to the next question",
         "??",
         {{report(1), report(7)}, {report(2), ""}},
         "1 2"},
        {"a report without an end",
         "?",
         {{answerOf(200, R"({"Sequence":1,"Busy":false})" + std::string(400000, ' ')), ""}},
         "none"},
};

const char *outcomeName(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Begun:
        return "begun";
    case OrderOutcome::Holds:
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

std::string ask(asio::io_context &context, platform::EndpointClient &client, const Address &to)
{
    std::optional<std::string> seen;
    AskEndpoint question;
    question.address_ = to;
    client.ask(question, [&](const std::optional<EndpointReportFacts> &facts) {
        seen = facts ? std::to_string(facts->orders_.value_) : "none";
    });
    runUntil(context, std::chrono::seconds(4), [&] { return seen.has_value(); });
    return seen.value_or("nothing");
}

std::string order(asio::io_context &context, platform::EndpointClient &client, const Address &to)
{
    std::optional<std::string> seen;
    OrderLayers order;
    order.address_ = to;
    client.order(order, [&](OrderOutcome outcome) { seen = outcomeName(outcome); });
    runUntil(context, std::chrono::seconds(4), [&] { return seen.has_value(); });
    return seen.value_or("nothing");
}

//! What the store answers to a read of records, and whether it is taken.
struct StoreCase
{
    const char *name_;
    std::size_t bytes_;
    bool taken_;
};

std::ostream &operator<<(std::ostream &out, const StoreCase &test)
{
    return out << test.name_;
}

const StoreCase StoreCases[] = {
        {"no record", 16, true},
        {"as much as a read may bring", 1024UL * 1024 + 16, true},
        {"more than the store ever answers", 8UL * 1024 * 1024, false},
};

} // namespace

BOOST_DATA_TEST_CASE(orderOutcomesAreTheirOwn, EndpointCases, test)
{
    asio::io_context context;
    ReplyingServer server(context, test.replies_);
    platform::EndpointClient client(context);
    std::string seen;
    for (const char call : std::string(test.calls_))
        seen += (seen.empty() ? "" : " ")
                + (call == '?' ? ask(context, client, server.address())
                               : order(context, client, server.address()));
    BOOST_TEST(seen == test.seen_);
}

BOOST_DATA_TEST_CASE(storeAnswersAreBounded, StoreCases, test)
{
    asio::io_context context;
    // The server's write blocks, so it gets a thread of its own.
    asio::io_context serverContext;
    ReplyingServer server(serverContext, {{answerOf(200, std::string(test.bytes_, '\0')), ""}});
    std::jthread serving([&] { serverContext.run_for(std::chrono::seconds(4)); });
    platform::StoreClient client(context, server.address());
    std::optional<bool> taken;
    client.read("keyed.any", 0, std::chrono::milliseconds(0),
                [&](const Result<platform::KeyedSpan> &span) {
                    taken = static_cast<bool>(span);
                    serverContext.stop();
                });
    BOOST_REQUIRE(runUntil(context, std::chrono::seconds(4), [&] { return taken.has_value(); }));
    BOOST_TEST(*taken == test.taken_);
}
