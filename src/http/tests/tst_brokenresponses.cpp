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

//! The lines are added at the end of the head, the body is complete.
std::string withLines(const std::string &lines, const std::string &id = "me")
{
    return "HTTP/1.1 200 Any\r\nX-Id: " + id + "\r\nContent-Length: 4\r\n" + lines + "\r\nbody";
}

//! The lines are the whole head after the id.
std::string withHead(const std::string &lines, const std::string &body)
{
    return "HTTP/1.1 200 Any\r\nX-Id: me\r\n" + lines + "\r\n" + body;
}

std::string withTrailers(const std::string &lines)
{
    return withHead("Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n" + lines + "\r\n");
}

constexpr const char *BodyThenRefused = "200 body protocol-error";
constexpr const char *Relayed = "200 body done";
constexpr const char *Read = "200 body";
const std::string LongValue(3000, 'y');

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
        {"no body, in chunks", withHead("Transfer-Encoding: chunked\r\n", "0\r\n\r\n"), "200 done",
         "200 "},
        {"line that begins with a blank", withLines("X-Note: a\r\n X-More: b\r\n"), Refused,
         NoResponse},
        {"line that begins with a tab", withLines("X-Note: a\r\n\tX-More: b\r\n"), Refused,
         NoResponse},
        {"line of a blank", withLines("X-Note: a\r\n \r\n"), Refused, NoResponse},
        {"folded line after an empty value", withLines("X-Note:\r\n b\r\n"), Refused, NoResponse},
        {"folded line before other fields", withLines("X-Note: a\r\n b\r\nX-More: c\r\n"), Refused,
         NoResponse},
        {"long folded line", withLines("X-Note: a\r\n " + LongValue + "\r\n"), Refused, NoResponse},
        {"many folded lines", withLines("X-Note: a\r\n b\r\n c\r\n\td\r\n"), Refused, NoResponse},
        {"folded line that names the length",
         withHead("X-Note: a\r\n Content-Length: 4\r\n", "body"), Refused, NoResponse},
        {"folded line that names the coding",
         withHead("X-Note: a\r\n\tTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"),
         Refused, NoResponse},
        {"folded line in the first line of fields",
         "HTTP/1.1 200 Any\r\n X-Id: me\r\nContent-Length: 4\r\n\r\nbody", Refused, NoResponse},
        {"folded line of an interim response",
         "HTTP/1.1 100 Any\r\nX-Note: a\r\n b\r\n\r\n" + withLines(""), Refused, NoResponse},
        {"folded line of a response to another request",
         withLines("X-Note: a\r\n b\r\n", "other") + withLines(""), Refused, NoResponse},
        {"folded trailer", withTrailers("X-Note: a\r\n b\r\n"), BodyThenRefused, NoResponse},
        {"trailer line of a tab", withTrailers("X-Note: a\r\n\t\r\n"), BodyThenRefused, NoResponse},
        {"trailers that begin with a blank", withTrailers(" X-Note: a\r\n"), BodyThenRefused,
         NoResponse},
        {"folded trailer of a response to another request",
         "HTTP/1.1 200 Any\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n"
         "0\r\nX-Note: a\r\n b\r\n\r\n"
                 + withLines(""),
         Refused, NoResponse},
        {"blank in a name", withLines("X Note: a\r\n"), Refused, NoResponse},
        {"tab in a name", withLines("X\tNote: a\r\n"), Refused, NoResponse},
        {"blank before the colon", withLines("X-Note : a\r\n"), Refused, NoResponse},
        {"control byte in a name", withLines("X\x01Note: a\r\n"), Refused, NoResponse},
        {"control byte at the beginning of a name", withLines("\x0bX-Note: a\r\n"), Refused,
         NoResponse},
        {"byte 127 in a name", withLines("X\x7fNote: a\r\n"), Refused, NoResponse},
        {"zero byte in a name", withLines(std::string("X\0Note: a\r\n", 11)), Refused, NoResponse},
        {"empty name", withLines(": a\r\n"), Refused, NoResponse},
        {"control byte in a value", withLines("X-Note: a\x01\r\n"), Refused, NoResponse},
        {"line that ends without a carriage return", withLines("X-Note: a\n b\r\n"), Refused,
         NoResponse},
        {"blank in the name of a trailer", withTrailers("X Note: a\r\n"), BodyThenRefused,
         NoResponse},
        {"blanks and tabs around and in a value", withLines("X-Note: \ta \tb\t \r\n"), Relayed,
         Read},
        {"empty value", withLines("X-Note:\r\nX-More: \r\n"), Relayed, Read},
        {"trailers", withTrailers("X-Note: a\r\nX-More: b\r\n"), Relayed, Read},
        {"body with lines that begin with blanks", withHead("Content-Length: 7\r\n", " a\r\n\tb\r"),
         "200  a\r\n\tb\r done", "200  a\r\n\tb\r"},
        {"chunks with lines that begin with blanks",
         withHead("Transfer-Encoding: chunked\r\n", "4\r\na\r\n \r\n4\r\n\r\n\tb\r\n0\r\n\r\n"),
         "200 a\r\n \r\n\tb done", "200 a\r\n \r\n\tb"},
        {"chunk extension with blanks",
         withHead("Transfer-Encoding: chunked\r\n", "4 ; a = b\r\nbody\r\n0 ; c\r\n\r\n"), Relayed,
         Read},
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
