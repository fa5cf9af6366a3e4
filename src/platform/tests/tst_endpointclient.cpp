#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/server.h"
#include "http/tests/replyingserver.h"
#include "platform/documents.h"
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
    platform::EndpointClient client(context, [](const EndpointId &, const EndpointNotice &) {});
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

namespace {

struct NoticeCase
{
    const char *name_;
    //! '?' requests a report, '!' sends a load order.
    char call_;
    const char *response_;
    bool leaving_;
    bool pause_;
};

std::ostream &operator<<(std::ostream &out, const NoticeCase &test)
{
    return out << test.name_;
}

const NoticeCase NoticeCases[] = {
        {"a report", '?',
         "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nContent-Length: 14\r\n\r\n{\"Sequence\":1}", true,
         false},
        {"a refused report", '?', "HTTP/1.1 503 -\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n",
         false, true},
        {"a refused order", '!',
         "HTTP/1.1 503 -\r\nRetry-After: 2\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n", true,
         true},
        {"nothing said", '!', "HTTP/1.1 202 -\r\nContent-Length: 0\r\n\r\n", false, false},
};

} // namespace

// Responses to this process's own requests are heeded like those to callers' requests.
BOOST_DATA_TEST_CASE(noticesOfReportsAndOrders, NoticeCases, test)
{
    asio::io_context context;
    ReplyingServer server(context, {{test.response_, ""}});
    EndpointNotice seen;
    platform::EndpointClient client(
            context, [&](const EndpointId &, const EndpointNotice &notice) { seen = notice; });
    if (test.call_ == '?')
        requestReport(context, client, server.address());
    else
        sendLoadOrder(context, client, server.address());
    BOOST_TEST(seen.leaving_ == test.leaving_);
    BOOST_TEST(seen.pause_.has_value() == test.pause_);
}

namespace {

//! One page of the store's newest records, and which keys with values are read from it.
struct PageCase
{
    const char *name_;
    const char *page_;
    //! Keys, those without a value in brackets; "failed" if the read fails.
    const char *records_;
};

std::ostream &operator<<(std::ostream &out, const PageCase &test)
{
    return out << test.name_;
}

const PageCase PageCases[] = {
        {"good records",
         R"({"Items":[{"Key":"a","Value":"eA=="},{"Key":"b","Value":"eA=="}],"EndOffset":9})",
         "a b"},
        {"a value that is no text",
         R"({"Items":[{"Key":"a","Value":7},{"Key":"b","Value":"eA=="}],"EndOffset":9})", "(a) b"},
        {"a value that is no base64",
         R"({"Items":[{"Key":"a","Value":"%%%%"},{"Key":"b","Value":"eA=="}],"EndOffset":9})",
         "a b"},
        {"no value", R"({"Items":[{"Key":"a"},{"Key":"b","Value":"eA=="}],"EndOffset":9})",
         "(a) b"},
        {"a key that is no text",
         R"({"Items":[{"Key":[],"Value":"eA=="},{"Key":"b","Value":"eA=="}],"EndOffset":9})",
         "() b"},
        {"a record that is no object", R"({"Items":[5,{"Key":"b","Value":"eA=="}],"EndOffset":9})",
         "() b"},
        {"a negative end", R"({"Items":[],"EndOffset":-1})", "failed"},
        {"an end out of range", R"({"Items":[],"EndOffset":1e300})", "failed"},
        {"an end with a fraction", R"({"Items":[],"EndOffset":1.5})", "failed"},
        {"no records", R"({"Items":{},"EndOffset":1})", "failed"},
        {"no JSON", "[[[[", "failed"},
};

} // namespace

// One odd record costs that record; a response that can't be read fails the read, nothing else.
BOOST_DATA_TEST_CASE(oddRecordsAreSetApart, PageCases, test)
{
    asio::io_context context;
    ReplyingServer server(context, {{answerOf(200, test.page_), ""}});
    platform::StoreClient client(context, server.address());
    std::optional<std::string> seen;
    client.readLatest("keyed.any", [&](const Result<platform::CompactedTopic> &topic) {
        seen = topic ? "" : "failed";
        for (std::size_t i = 0; topic && i < topic->records_.size(); ++i) {
            const platform::CompactedRecord &record = topic->records_[i];
            *seen += (i == 0 ? "" : " ") + (record.value_ ? record.key_ : "(" + record.key_ + ")");
        }
    });
    BOOST_REQUIRE(runUntil(context, std::chrono::seconds(4), [&] { return seen.has_value(); }));
    BOOST_TEST(*seen == test.records_);
}

namespace {

const char *const OddMemberships[] = {
        R"({"Generation":-1,"parts":[]})",
        R"({"Generation":1e300,"parts":[]})",
        R"({"Generation":1,"parts":[["t",-1,0]]})",
        R"({"Generation":1,"parts":[["t",1e300,0]]})",
        R"({"Generation":1,"parts":[["t",4294967296,0]]})",
        R"({"Generation":1,"parts":[[1,2,3]]})",
        R"({"Generation":1,"parts":{}})",
        "[[[[[[",
};

} // namespace

BOOST_DATA_TEST_CASE(oddMembershipFailsTheJoin, OddMemberships, body)
{
    asio::io_context context;
    ReplyingServer server(context, {{answerOf(200, body), ""}});
    platform::StoreClient client(context, server.address());
    std::optional<bool> joined;
    client.joinGroup({"g", "m", "t", std::chrono::seconds(1), 0},
                     [&](const Result<platform::GroupMembership> &membership) {
                         joined = static_cast<bool>(membership);
                     });
    BOOST_REQUIRE(runUntil(context, std::chrono::seconds(4), [&] { return joined.has_value(); }));
    BOOST_TEST(!*joined);
}

namespace {

//! The last key of the pages of a store, and how the read ends.
struct LastKeyCase
{
    const char *name_;
    //! As in the pages' JSON, and as it must come back in the request for the next page.
    const char *json_;
    const char *key_;
    //! The store answers each request with the same page.
    bool repeats_;
    const char *result_;
};

std::ostream &operator<<(std::ostream &out, const LastKeyCase &test)
{
    return out << test.name_;
}

const LastKeyCase LastKeyCases[] = {
        {"a plain key", "i-1", "i-1", false, "2 records"},
        {"separators of a query", "i&After=a=b#c?d", "i&After=a=b#c?d", false, "2 records"},
        {"percent signs, spaces and signs", "i%41 +/", "i%41 +/", false, "2 records"},
        {"bytes beyond ASCII and below the space", "\\u00e9\\u0001", "\xc3\xa9\x01", false,
         "2 records"},
        {"pages that don't go on", "i-1", "i-1", true,
         "a page of /log-newest doesn't go on after the one before"},
};

} // namespace

// Another writer chooses the keys: the next page must be asked for by the very key, and a store
// that shows the same page again must not be read without end.
BOOST_DATA_TEST_CASE(pagesGoOnAfterTheLastKey, LastKeyCases, test)
{
    asio::io_context context;
    std::vector<std::string> asked;
    http::Server server({&context}, [&](const http::HttpRequest &request,
                                        const std::shared_ptr<http::Exchange> &exchange) {
        const auto after = request.query_.find("After");
        asked.push_back(after == request.query_.end() ? "" : after->second);
        const bool isLast = asked.size() > 1 && !test.repeats_;
        http::HttpResponse response;
        response.status_ = 200;
        response.body_ = R"({"Items":[{"Key":")" + std::string(isLast ? "z" : test.json_)
                         + R"(","Value":"eA=="}],"HasMore":)" + (isLast ? "false" : "true")
                         + R"(,"EndOffset":9})";
        exchange->respond(response);
    });
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    platform::StoreClient client(context, *address);
    std::optional<std::string> result;
    client.readLatest("keyed.any", [&](const Result<platform::CompactedTopic> &topic) {
        result = topic ? std::to_string(topic->records_.size()) + " records" : topic.lastReason_;
    });
    BOOST_REQUIRE(runUntil(context, std::chrono::seconds(4), [&] { return result.has_value(); }));
    BOOST_TEST(*result == test.result_);
    BOOST_REQUIRE(asked.size() == 2U);
    BOOST_TEST(asked[1] == test.key_);
}

namespace {

//! A page that the store refuses some times.
struct RefusedPageCase
{
    const char *name_;
    std::size_t refusedPage_;
    std::size_t refusals_;
    const char *result_;
    std::size_t requests_;
};

std::ostream &operator<<(std::ostream &out, const RefusedPageCase &test)
{
    return out << test.name_;
}

const RefusedPageCase RefusedPageCases[] = {
        {"no refusal", 0, 0, "3 records", 3},
        {"the first page once", 1, 1, "HTTP status 503", 1},
        {"the second page three times", 2, 3, "3 records", 6},
        {"the last page once", 3, 1, "3 records", 4},
        {"the second page four times", 2, 4, "HTTP status 503", 5},
};

} // namespace

// A list of many pages was read from the start again whenever one page failed: after a restart of
// 300 gateways before 3,000 endpoints the store was busy with first pages for half a minute.
BOOST_DATA_TEST_CASE(refusedPagesAreAskedForAgain, RefusedPageCases, test)
{
    asio::io_context context;
    std::size_t requests = 0;
    std::size_t refusals = 0;
    http::Server server({&context}, [&](const http::HttpRequest &request,
                                        const std::shared_ptr<http::Exchange> &exchange) {
        ++requests;
        const auto after = request.query_.find("After");
        const std::size_t page = after == request.query_.end() ? 1 : std::stoul(after->second) + 1;
        http::HttpResponse response;
        response.status_ = 503;
        if (page != test.refusedPage_ || refusals++ >= test.refusals_) {
            response.status_ = 200;
            response.body_ = R"({"Items":[{"Key":")" + std::to_string(page)
                             + R"(","Value":"eA=="}],"HasMore":)" + (page < 3 ? "true" : "false")
                             + R"(,"EndOffset":9})";
        }
        exchange->respond(response);
    });
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    platform::StoreClient client(context, *address);
    std::optional<std::string> result;
    client.readLatest("keyed.any", [&](const Result<platform::CompactedTopic> &topic) {
        result = topic ? std::to_string(topic->records_.size()) + " records" : topic.lastReason_;
    });
    BOOST_REQUIRE(runUntil(context, std::chrono::seconds(4), [&] { return result.has_value(); }));
    BOOST_TEST(*result == test.result_);
    BOOST_TEST(requests == test.requests_);
}

namespace {

struct TenantsCase
{
    const char *json_;
    bool keysRequired_;
};

std::ostream &operator<<(std::ostream &out, const TenantsCase &test)
{
    return out << test.json_;
}

const TenantsCase TenantsCases[] = {
        {R"({"Version":1,"Routes":[],"Services":[]})", false},
        {R"({"Version":1,"Routes":[],"Services":[],"Tenants":null})", false},
        {R"({"Version":1,"Routes":[],"Services":[],"Tenants":[]})", true},
        {R"({"Version":1,"Routes":[],"Services":[],"Tenants":[{"Name":"t","ApiKeys":["k"]}]})",
         true},
};

} // namespace

// A state that takes the last organisation away still demands keys.
BOOST_DATA_TEST_CASE(statesWithTenantsDemandKeys, TenantsCases, test)
{
    const auto state = platform::decodeDesiredState(test.json_);
    BOOST_REQUIRE_MESSAGE(state, state.lastReason_);
    BOOST_TEST(state->keysRequired_ == test.keysRequired_);
}

namespace {

//! A read of records from offset 5 on, the end of the log, and what was returned.
struct RangeCase
{
    const char *name_;
    char end_;
    const char *keys_;
    std::uint64_t nextOffset_;
    bool hasMore_;
};

std::ostream &operator<<(std::ostream &out, const RangeCase &test)
{
    return out << test.name_;
}

const RangeCase RangeCases[] = {
        {"nothing new", 5, "", 5, false},
        {"all records", 7, "ab", 7, false},
        {"the first ones of many records", 9, "ab", 7, true},
};

//! Body of a response of /log-read with one record for each key.
std::string rangeOf(char end, const std::string &keys)
{
    const std::string zeros(7, '\0');
    std::string body = zeros + end + zeros + '\0';
    for (const char key : keys)
        body += std::string("\0\0\0\3\1", 5) + key + 'v';
    return body;
}

} // namespace

// The store returns at most a megabyte at once. Where large states follow each other quickly, the
// last one returned was taken for the newest, and confirmed as such to other gateways.
BOOST_DATA_TEST_CASE(recordsLeftAtTheStoreAreTold, RangeCases, test)
{
    asio::io_context context;
    ReplyingServer server(context, {{answerOf(200, rangeOf(test.end_, test.keys_)), ""}});
    platform::StoreClient client(context, server.address());
    std::optional<Result<platform::RecordRange>> read;
    client.read("keyed.any", 5, Duration(),
                [&](const Result<platform::RecordRange> &range) { read = range; });
    BOOST_REQUIRE(runUntil(context, std::chrono::seconds(4), [&] { return read.has_value(); }));
    BOOST_REQUIRE(*read);
    BOOST_TEST((*read)->records_.size() == std::string(test.keys_).size());
    BOOST_TEST((*read)->nextOffset_ == test.nextOffset_);
    BOOST_TEST((*read)->hasMore_ == test.hasMore_);
}
