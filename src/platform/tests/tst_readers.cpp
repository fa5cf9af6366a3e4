//! Changed copies of valid input for all readers of bytes that others send: callers' requests,
//! streams of events, peers' datagrams and the store's pages. Run under the address sanitizer.
//! Guards against reads out of bounds, exceptions that end the process, memory taken for announced
//! sizes, and account entries that are never given back.
#include <array>
#include <fstream>

#include <boost/asio.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/hash.h"
#include "core/heldbytes.h"
#include "core/random.h"
#include "http/eventsplitter.h"
#include "http/relayserver.h"
#include "platform/documents.h"
#include "platform/storeclient.h"
#include "wire/codec.h"

using namespace gypsumcroft;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int RequestRounds = 3000;
constexpr int StoreRounds = 1500;
constexpr int DecoderRounds = 60000;
constexpr std::uint64_t RandomSeed = 20261206;

std::string seed(const std::string &name)
{
    std::ifstream file("src/platform/tests/seeds/" + name, std::ios::binary);
    BOOST_REQUIRE(file);
    return {std::istreambuf_iterator<char>(file), {}};
}

//! Text that is likely to reach a rare branch of a reader.
constexpr std::array<std::string_view, 16> Tokens = {"\r\n",
                                                     "\n\n",
                                                     "0\r\n",
                                                     "ffffffffffffffff\r\n",
                                                     ";",
                                                     "Content-Length: -1\r\n",
                                                     "Transfer-Encoding: chunked\r\n",
                                                     "99999999999999999999",
                                                     "-1",
                                                     "1e400",
                                                     "{",
                                                     "[",
                                                     "\"",
                                                     "null",
                                                     "id: ",
                                                     "\\u0000"};

std::size_t placeIn(const std::string &text, Random &random)
{
    return static_cast<std::size_t>(randomBelow(random, text.size() + 1));
}

void changeOnce(std::string &text, Random &random)
{
    const std::size_t at = placeIn(text, random);
    const std::size_t length = 1 + static_cast<std::size_t>(randomBelow(random, 16));
    switch (randomBelow(random, 6)) {
    case 0:
        if (at < text.size())
            text[at] = static_cast<char>(nextRandom(random));
        return;
    case 1:
        text.erase(at, length);
        return;
    case 2:
        text.insert(at, text.substr(at, length));
        return;
    case 3:
        text.insert(at, Tokens.at(randomBelow(random, Tokens.size())));
        return;
    case 4:
        if (at < text.size())
            text[at] = static_cast<char>(text[at] ^ (1 << randomBelow(random, 8)));
        return;
    default:
        // Seldom, so that most texts keep their end.
        if (randomBelow(random, 4) == 0)
            text.resize(at);
    }
}

std::string changed(std::string text, Random &random)
{
    const std::uint64_t changes = randomBelow(random, 6);
    for (std::uint64_t i = 0; i < changes; ++i)
        changeOnce(text, random);
    return text;
}

//! Cuts a text into two parts at a random place.
std::pair<std::string, std::string> cut(const std::string &text, Random &random)
{
    const std::size_t at = placeIn(text, random);
    return {text.substr(0, at), text.substr(at)};
}

//! Sends bytes in two parts and returns what the server responds.
std::string exchange(asio::io_context &context, const Address &server,
                     const std::pair<std::string, std::string> &parts)
{
    std::string response;
    bool done = false;
    asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                boost::system::error_code error;
                auto token = asio::redirect_error(asio::use_awaitable, error);
                tcp::socket socket(context);
                co_await socket.async_connect({asio::ip::make_address(server.host_), server.port_},
                                              token);
                co_await asio::async_write(socket, asio::buffer(parts.first), token);
                co_await asio::post(context, asio::use_awaitable);
                co_await asio::async_write(socket, asio::buffer(parts.second), token);
                boost::system::error_code ignored;
                socket.shutdown(tcp::socket::shutdown_send, ignored);
                co_await asio::async_read(socket, asio::dynamic_buffer(response), token);
                done = true;
            },
            asio::detached);
    while (!done)
        context.run_one();
    return response;
}

void putLittleEndian(std::string &bytes, std::uint64_t value, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        bytes += static_cast<char>(value >> (8 * i) & 0xff);
}

//! A datagram whose header matches its payload, as a peer of another version could send it.
std::string framed(const std::string &valid, const std::string &payload)
{
    constexpr std::uint64_t HashSeed = 0x67797073756d;
    std::string bytes = valid.substr(0, 4);
    putLittleEndian(bytes, payload.size(), 4);
    putLittleEndian(bytes, hashText(payload, HashSeed), 8);
    return bytes + payload;
}

GatewayDigestMessage digest()
{
    GatewayDigestMessage message;
    message.instance_ = {"g1"};
    message.domain_ = {"a"};
    message.gateway_ = {"127.0.0.1", 7};
    message.loads_.resize(2);
    message.downEndpoints_ = {{"i-1"}, {"i-2"}};
    message.members_.resize(2);
    message.traits_.resize(1);
    message.storeNews_.emplace();
    message.demand_.resize(1);
    message.speeds_.resize(1);
    return message;
}

} // namespace

BOOST_DATA_TEST_CASE(changedRequestsLeaveTheServerWhole,
                     boost::unit_test::data::make({"request-length.http", "request-chunked.http",
                                                   "request-pipelined.http", "request-expect.http",
                                                   "request-folded.http"}),
                     name)
{
    asio::io_context context;
    const auto account = std::make_shared<ByteBudget>(ByteBudget {1'000'000, 0, nullptr});
    http::RelayServer server(
            context,
            [](const http::RelayRequest &request,
               const std::shared_ptr<http::RelayExchange> &exchange) {
                exchange->respond({200, {}}, request.body_);
            },
            account);
    const auto address = server.listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    Random random {RandomSeed};
    const std::string valid = seed(name);
    BOOST_TEST(exchange(context, *address, {valid, ""}).starts_with("HTTP/1.1 "));
    for (int i = 0; i < RequestRounds; ++i) {
        const std::string response
                = exchange(context, *address, cut(changed(valid, random), random));
        BOOST_REQUIRE((response.empty() || response.starts_with("HTTP/1.1 ")));
    }
    while (server.connectionCount() > 0)
        context.run_one();
    BOOST_TEST(account->used_ == 0U);
}

BOOST_AUTO_TEST_CASE(eventsAreTheSameHoweverTheyAreCut)
{
    Random random {RandomSeed};
    const std::string valid = seed("stream.events");
    for (int i = 0; i < DecoderRounds; ++i) {
        const std::string text = changed(valid, random);
        http::EventSplitter whole;
        const http::CompleteEvents expected = http::splitEvents(whole, text);
        http::EventSplitter pieces;
        const auto [first, second] = cut(text, random);
        http::CompleteEvents events = http::splitEvents(pieces, first);
        const http::CompleteEvents rest = http::splitEvents(pieces, second);
        BOOST_REQUIRE(events.bytes_ + rest.bytes_ + pieces.incompleteEvent_ == text);
        BOOST_REQUIRE(events.count_ + rest.count_ == expected.count_);
        BOOST_REQUIRE((rest.lastId_ ? rest.lastId_ : events.lastId_) == expected.lastId_);
    }
}

BOOST_AUTO_TEST_CASE(changedDatagramsAreDecodedOrRejected)
{
    Random random {RandomSeed};
    const std::string valid = encodeDatagram(digest());
    BOOST_REQUIRE(decodeDatagram(valid));
    const std::string payload = valid.substr(FrameHeaderBytes);
    for (int i = 0; i < DecoderRounds; ++i) {
        const std::string bytes = framed(valid, changed(payload, random));
        stateKindOf(bytes);
        decodeDatagram(bytes);
        const auto header = decodeFrameHeader(bytes);
        BOOST_REQUIRE(header);
        decodePayload(*header, std::string_view(bytes).substr(FrameHeaderBytes));
        decodeDatagram(changed(valid, random));
    }
}

BOOST_AUTO_TEST_CASE(changedDocumentsAreDecodedOrRejected)
{
    Random random {RandomSeed};
    const std::string entry = seed("endpoint.json");
    const std::string report = seed("report.json");
    const std::string state = seed("state.json");
    BOOST_TEST(bool(platform::decodeListedEndpoint("i-1", entry)));
    BOOST_TEST(bool(platform::decodeServerReport(report)));
    BOOST_TEST(bool(platform::decodeDesiredState(state)));
    for (int i = 0; i < DecoderRounds; ++i) {
        platform::decodeListedEndpoint("i-1", changed(entry, random));
        platform::decodeServerReport(changed(report, random));
        platform::decodeDesiredState(changed(state, random));
    }
}

BOOST_AUTO_TEST_CASE(changedStorePagesAreDecodedOrRejected)
{
    asio::io_context context;
    Random random {RandomSeed};
    const std::string latest = seed("latest.json");
    const std::string range = seed("range.bin");
    const std::string join = seed("join.json");
    const std::string owners = seed("owners.json");
    int rounds = 0;
    http::RelayServer store(context, [&](const http::RelayRequest &request,
                                         const std::shared_ptr<http::RelayExchange> &exchange) {
        std::string body = owners;
        if (request.target_.starts_with("/log-newest"))
            body = latest;
        else if (request.target_.starts_with("/log-read"))
            body = range;
        else if (request.target_.starts_with("/log-join"))
            body = join;
        exchange->respond({200, {}}, rounds == 0 ? body : changed(body, random));
    });
    const auto address = store.listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    platform::StoreClient client(context, *address);
    for (; rounds < StoreRounds; ++rounds) {
        int ended = 0;
        int succeeded = 0;
        const auto count = [&](const auto &result) {
            ++ended;
            succeeded += result ? 1 : 0;
        };
        client.readLatest("t", count);
        client.read("t", 0, Duration(), count);
        client.joinGroup({"g", "m", "placement", std::chrono::seconds(1), 0}, count);
        client.listMembers("g", count);
        while (ended < 4)
            context.run_one();
        if (rounds == 0)
            BOOST_TEST(succeeded == 4);
    }
}
