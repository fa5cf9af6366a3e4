//! Responses that are invalid, or look so and are valid, as both clients see them.
#include <optional>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/client.h"
#include "http/internal/messagereader.h"
#include "relaycalls.h"
#include "replyingserver.h"

using namespace gypsumcroft;
using namespace gypsumcroft::http::tests;
namespace beast = boost::beast;

namespace {

struct ResponseCase
{
    const char *name_;
    std::string bytes_;
    //! What RelayClient passes on.
    const char *relayed_;
    //! What Client returns.
    const char *read_;
};

std::ostream &operator<<(std::ostream &out, const ResponseCase &test)
{
    return out << test.name_;
}

constexpr const char *Refused = "protocol-error";
constexpr const char *NoResponse = "none";

std::string withStatus(const std::string &status, const std::string &id = "me")
{
    return "HTTP/1.1 " + status + " Any\r\nX-Id: " + id + "\r\nContent-Length: 4\r\n\r\nbody";
}

const ResponseCase ResponseCases[] = {
        {"status 000", withStatus("000"), Refused, NoResponse},
        {"status 001", withStatus("001"), Refused, NoResponse},
        {"status 099", withStatus("099"), Refused, NoResponse},
        {"status 600", withStatus("600"), Refused, NoResponse},
        {"status 999", withStatus("999"), Refused, NoResponse},
        {"least final status", withStatus("200"), "200 body done", "200 body"},
        {"greatest status", withStatus("599"), "599 body done", "599 body"},
        {"status of two digits", withStatus("20"), Refused, NoResponse},
        {"status of four digits", withStatus("2000"), Refused, NoResponse},
        {"status with a sign", withStatus("+20"), Refused, NoResponse},
        {"status with a letter", withStatus("2x0"), Refused, NoResponse},
        {"invalid status before the response", "HTTP/1.1 099 Any\r\n\r\n" + withStatus("200"),
         Refused, NoResponse},
        {"interim response with a valid status", "HTTP/1.1 199 Any\r\n\r\n" + withStatus("200"),
         "200 body done", "200 body"},
        {"invalid status of a response to another request",
         "HTTP/1.1 000 Any\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n" + withStatus("200"),
         Refused, NoResponse},
        {"no body, in chunks",
         "HTTP/1.1 200 Any\r\nX-Id: me\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "200 done",
         "200 "},
};

std::string textOf(std::uint16_t status, const std::string &body)
{
    return std::to_string(status) + " " + body;
}

//! A connection is used again only after a valid response.
std::size_t connectionsAfter(const ResponseCase &test)
{
    return test.read_ == NoResponse ? 2 : 1;
}

std::vector<Reply> repliesOf(const ResponseCase &test)
{
    return {{test.bytes_, ""}, {withStatus("200", "next"), ""}};
}

//! Result of reading a response of which the given numbers of bytes arrive one after the other.
std::string resultOfParsing(const std::string &bytes, const std::vector<std::size_t> &pieces)
{
    using Parser = http::detail::MessageParser<false, beast::http::string_body>;
    constexpr unsigned FirstFinalStatus = 200;
    beast::flat_buffer buffer;
    std::optional<Parser> parser(std::in_place);
    std::size_t from = 0;
    for (const std::size_t size : pieces) {
        buffer.commit(boost::asio::buffer_copy(buffer.prepare(size),
                                               boost::asio::buffer(bytes.data() + from, size)));
        from += size;
        boost::system::error_code error = http::detail::parseMessage(buffer, *parser);
        while (!error && parser->get().result_int() < FirstFinalStatus) {
            parser.emplace();
            error = http::detail::parseMessage(buffer, *parser);
        }
        if (!error)
            return textOf(static_cast<std::uint16_t>(parser->get().result_int()),
                          parser->get().body());
        if (error != beast::http::error::need_more)
            return NoResponse;
    }
    return "incomplete";
}

} // namespace

BOOST_DATA_TEST_CASE(relayedResponses, ResponseCases, test)
{
    boost::asio::io_context context;
    ReplyingServer server(context, repliesOf(test));
    http::RelayClient client(context);
    std::vector<std::string> seen;
    for (const char *id : {"me", "next"}) {
        CallRecord record;
        auto call = client.send(requestOf(server.address(), id), recordInto(record));
        runUntil(context, std::chrono::seconds(2), [&] { return !record.end_.empty(); });
        call.cancel();
        seen.push_back(textOf(record));
    }
    BOOST_TEST(seen[0] == test.relayed_);
    BOOST_TEST(seen[1] == "200 body done");
    BOOST_TEST(server.connections() == connectionsAfter(test));
}

BOOST_DATA_TEST_CASE(readResponses, ResponseCases, test)
{
    boost::asio::io_context context;
    ReplyingServer server(context, repliesOf(test));
    http::Client client(context);
    std::vector<std::string> seen;
    for (int i = 0; i < 2; ++i) {
        std::optional<http::ClientResult> result;
        http::HttpRequest request;
        request.path_ = "/";
        client.send(server.address(), std::move(request), {std::chrono::seconds(2)},
                    [&](http::ClientResult got) { result = std::move(got); });
        BOOST_REQUIRE(
                runUntil(context, std::chrono::seconds(4), [&] { return result.has_value(); }));
        seen.push_back(result->response_
                               ? textOf(result->response_->status_, result->response_->body_)
                               : NoResponse);
    }
    BOOST_TEST(seen[0] == test.read_);
    BOOST_TEST(seen[1] == "200 body");
    BOOST_TEST(server.connections() == connectionsAfter(test));
}

// The result must not depend on how a response is split into the pieces that are received.
BOOST_DATA_TEST_CASE(splitResponses, ResponseCases, test)
{
    const std::size_t size = test.bytes_.size();
    BOOST_TEST(resultOfParsing(test.bytes_, std::vector<std::size_t>(size, 1)) == test.read_);
    for (std::size_t first = 1; first < size; ++first)
        BOOST_TEST(resultOfParsing(test.bytes_, {first, size - first}) == test.read_,
                   "split after " << first);
}
