//! Endpoints that send invalid responses, as the callers of a gateway see it.
#include "gatewayfixture.h"
#include "preparedserver.h"

using namespace gypsumcroft;
using lab::Answer;
using lab::ask;
using lab::tests::PreparedAnswer;
using lab::tests::PreparedServer;

namespace {

//! A response that a gateway must not take for one.
struct BrokenCase
{
    const char *name_;
    const char *status_;
    //! Of the head, besides those that make the answer the endpoint's own.
    const char *fields_;
    //! What follows the chunks of the body.
    const char *end_;
};

const BrokenCase BrokenCases[] = {
        {"status 000", "000", "", "0\r\n\r\n"},
        {"status 600", "600", "", "0\r\n\r\n"},
        {"line that begins with a blank", "200", "X-Note: a\r\n X-More: b\r\n", "0\r\n\r\n"},
        {"line that begins with a tab", "200", "X-Note: a\r\n\tX-More: b\r\n", "0\r\n\r\n"},
        {"folded line that names the coding", "200", "X-Note: a\r\n ", "0\r\n\r\n"},
        {"blank in a name", "200", "X Note: a\r\n", "0\r\n\r\n"},
        {"control byte in a name", "200", "X\x01Note: a\r\n", "0\r\n\r\n"},
        {"folded trailer", "200", "", "0\r\nX-Note: a\r\n b\r\n\r\n"},
};

//! How a request is sent, and how its endpoint may answer it.
struct RouteCase
{
    const char *method_;
    const char *path_;
    const char *contentType_;
    std::string body_;
    //! The rest of the answer, for a request that is sent again.
    std::string rest_;
    //! Requests that may reach endpoints.
    std::size_t attempts_;
};

const RouteCase RouteCases[] = {
        {"GET", "/look/x", "text/plain", "found", "found", 2},
        {"POST", "/book/x", "text/plain", "booked", "booked", 1},
        {"POST", "/quote/x", "text/event-stream", "id: 1\ndata: 1\n\n", "id: 2\ndata: 2\n\n", 2},
};

std::string chunkOf(const std::string &body)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx", body.size());
    return std::string(size) + "\r\n" + body + "\r\n";
}

PreparedAnswer answerOf(const BrokenCase &test, const RouteCase &route, const std::string &body)
{
    return {std::string("HTTP/1.1 ") + test.status_
                    + " Any\r\nX-Request-Id: @ID\r\nX-Response-Stamp: s\r\nContent-Type: "
                    + route.contentType_ + "\r\n" + test.fields_
                    + "Transfer-Encoding: chunked\r\n\r\n" + chunkOf(body) + test.end_,
            ""};
}

constexpr BrokenCase Sound = {"sound", "200", "", "0\r\n\r\n"};

//! A gateway all of whose endpoints answer as prepared.
struct Fixture : lab::tests::GatewayFixture
{
    Fixture()
    {
        server_.prepare(
                {{"HTTP/1.1 503 Any\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", ""}});
        const auto servers = platform_.servers();
        for (const std::string &server : servers)
            platform_.setEntryAddress(server, server_.listen(platform_.addressOf(server)));
        BOOST_REQUIRE(lab::tests::waitFor([&] {
            return lab::tests::countInLog(*gateways_[0], "event=endpoint-changed")
                   >= servers.size();
        }));
    }

    Answer send(const RouteCase &route, const std::string &id)
    {
        return ask(gateways_[0]->callers_, route.method_, route.path_, id, "key");
    }

    PreparedServer server_;
};

bool holds(const Answer &answer, const std::string &text)
{
    return answer.text_.find(text) != std::string::npos;
}

//! Whether the answer is the gateway's own, complete refusal.
bool isRefusal(const Answer &answer)
{
    const bool status = answer.status_ == "HTTP/1.1 502" || answer.status_ == "HTTP/1.1 503"
                        || answer.status_ == "HTTP/1.1 504";
    return status && answer.whole_ && !holds(answer, "X-Response-Stamp");
}

//! Whether events have been passed on before the fault shows.
bool isBegun(const BrokenCase &test, const RouteCase &route)
{
    const bool isStream = std::string(route.contentType_) == "text/event-stream";
    return isStream && std::string(test.end_) != Sound.end_;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(brokenAnswersReachNoCaller, Fixture)
{
    int number = 0;
    for (const BrokenCase &test : BrokenCases) {
        for (const RouteCase &route : RouteCases) {
            const std::string where = std::string(test.name_) + ", " + route.path_;
            server_.prepare({answerOf(test, route, route.body_)});
            const Answer answer = send(route, "broken" + std::to_string(++number));
            const bool isAsExpected = isBegun(test, route)
                                              ? holds(answer, route.body_) && !answer.whole_
                                              : isRefusal(answer);
            BOOST_TEST(isAsExpected, where << ": " << answer.text_);
            BOOST_TEST(server_.requests() >= 1U, where);
            BOOST_TEST(server_.requests() <= route.attempts_, where);
        }
    }
    BOOST_TEST(!gateways_[0]->hasEnded());
}

// A request is repeated only where its route allows it, and a stream goes on after what its caller
// has got.
BOOST_FIXTURE_TEST_CASE(requestsWithABrokenAnswerAreRetried, Fixture)
{
    int number = 0;
    for (const BrokenCase &test : BrokenCases) {
        for (const RouteCase &route : RouteCases) {
            const std::string where = std::string(test.name_) + ", " + route.path_;
            server_.prepare(
                    {answerOf(test, route, route.body_), answerOf(Sound, route, route.rest_)});
            const Answer answer = send(route, "retried" + std::to_string(++number));
            BOOST_TEST(server_.requests() == route.attempts_, where);
            if (route.attempts_ == 1) {
                BOOST_TEST(isRefusal(answer), where << ": " << answer.text_);
                continue;
            }
            BOOST_TEST(answer.status_ == "HTTP/1.1 200", where << ": " << answer.text_);
            BOOST_TEST(answer.whole_, where);
            BOOST_TEST(holds(answer, route.rest_), where);
        }
    }
}
