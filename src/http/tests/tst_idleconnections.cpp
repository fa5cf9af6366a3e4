// Connections that clients keep for reuse. Gateways were seen to gain some 500 descriptors with
// each release of 38 endpoints, because idle connections to the old ones were never closed.

#include <chrono>
#include <filesystem>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "http/client.h"
#include "http/internal/idleconnections.h"
#include "http/relayclient.h"
#include "rununtil.h"

using namespace gypsumcroft;
using namespace gypsumcroft::http::tests;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t RequestBytes = 4096;

//! Server that answers each request with its X-Id and keeps the connections open.
class KeepingServer
{
public:
    explicit KeepingServer(asio::io_context &context, std::string headers = {})
        : acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          headers_(std::move(headers))
    {
        accept();
    }
    Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
    //! Connections that the client has not closed.
    std::size_t open() const { return open_; }
    void closeConnections()
    {
        boost::system::error_code ignored;
        for (Connection &connection : connections_)
            connection.socket_.close(ignored);
    }

private:
    struct Connection
    {
        explicit Connection(tcp::socket socket) : socket_(std::move(socket)) { }
        tcp::socket socket_;
        char request_[RequestBytes] = {};
    };

    void accept()
    {
        acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error)
                return;
            ++open_;
            read(connections_.emplace_back(std::move(socket)));
            accept();
        });
    }

    void read(Connection &connection)
    {
        connection.socket_.async_read_some(
                asio::buffer(connection.request_),
                [this, &connection](boost::system::error_code error, std::size_t size) {
                    if (error) {
                        --open_;
                        boost::system::error_code ignored;
                        connection.socket_.close(ignored);
                        return;
                    }
                    answer(connection, {connection.request_, size});
                    read(connection);
                });
    }

    void answer(Connection &connection, std::string_view request)
    {
        constexpr std::string_view Name = "X-Id: ";
        const std::size_t at = std::min(request.find(Name), request.size());
        const std::string_view line = request.substr(at, request.find("\r\n", at) - at);
        boost::system::error_code ignored;
        asio::write(connection.socket_,
                    asio::buffer("HTTP/1.1 200 OK\r\n" + headers_
                                 + (line.empty() ? "" : std::string(line) + "\r\n")
                                 + "Content-Length: 0\r\n\r\n"),
                    ignored);
    }

    tcp::acceptor acceptor_;
    std::string headers_;
    std::size_t open_ = 0;
    std::list<Connection> connections_;
};

//! A server of a release, and the name under which it is listed.
struct ListedServer
{
    KeepingServer *server_ = nullptr;
    std::string name_;
};

//! Sends requests at the same time, so that each takes a connection of its own.
void sendAtOnce(asio::io_context &context, http::RelayClient &client,
                const std::vector<ListedServer> &servers, std::size_t perServer)
{
    static std::size_t nextId = 0;
    std::size_t done = 0;
    std::vector<http::RelayCall> calls;
    for (const ListedServer &to : servers) {
        for (std::size_t i = 0; i < perServer; ++i) {
            http::RelayCallRequest call;
            call.address_ = to.server_->address();
            call.serverName_ = to.name_;
            call.correlationHeader_ = "X-Id";
            call.correlationId_ = std::to_string(nextId++);
            call.request_ = {"GET", "/", {{"X-Id", call.correlationId_}}, {}};
            http::RelayCallHandlers handlers;
            handlers.onHead_ = [](const http::ResponseHead &) {};
            handlers.onBody_ = [](std::string_view) {};
            handlers.onComplete_ = [&] { ++done; };
            handlers.onFailed_ = [](http::RelayFailure, const std::string &reason) {
                BOOST_ERROR("call failed: " + reason);
            };
            calls.push_back(client.send(std::move(call), std::move(handlers)));
        }
    }
    BOOST_REQUIRE(runUntil(context, [&] { return done == calls.size(); }));
}

std::size_t openAt(const std::list<KeepingServer> &servers)
{
    std::size_t open = 0;
    for (const KeepingServer &server : servers)
        open += server.open();
    return open;
}

enum class Replacement : std::uint8_t {
    //! The new servers have other addresses; the old ones keep the connections open.
    NewAddresses,
    //! Other servers use the addresses again.
    SameAddresses,
    //! The old servers close their connections and stay in the list.
    ConnectionsClosed,
    //! The old servers stay in the list.
    StillListed,
};

struct ReleaseCase
{
    const char *name_;
    Replacement replacement_;
    std::size_t maxIdle_;
    //! Most idle connections after each release.
    std::size_t bound_;
};

std::ostream &operator<<(std::ostream &out, const ReleaseCase &test)
{
    return out << test.name_;
}

constexpr std::size_t Releases = 30;
constexpr std::size_t ServersPerRelease = 4;
constexpr std::size_t CallsPerServer = 3;
constexpr std::size_t OneRelease = ServersPerRelease * CallsPerServer;

const ReleaseCase ReleaseCases[] = {
        {"servers at new addresses", Replacement::NewAddresses, 512, OneRelease},
        {"other servers at the same addresses", Replacement::SameAddresses, 512, OneRelease},
        {"servers that close their connections", Replacement::ConnectionsClosed, 512, OneRelease},
        {"more servers in the list than connections are kept", Replacement::StillListed, 18, 18},
};

} // namespace

// Fails if connections to servers of earlier releases are kept.
BOOST_DATA_TEST_CASE(idleConnectionsStayFlatOverReleases, ReleaseCases, test)
{
    asio::io_context context;
    http::RelayClientOptions options;
    options.maxIdleConnections_ = test.maxIdle_;
    http::RelayClient client(context, options);
    std::list<KeepingServer> servers;
    const bool sameAddresses = test.replacement_ == Replacement::SameAddresses;
    const bool oldAreListed = test.replacement_ == Replacement::ConnectionsClosed
                              || test.replacement_ == Replacement::StillListed;
    for (std::size_t release = 0; release < Releases; ++release) {
        if (test.replacement_ == Replacement::ConnectionsClosed) {
            for (KeepingServer &server : servers)
                server.closeConnections();
            BOOST_TEST(runUntil(context, [&] { return openAt(servers) == 0; }));
        }
        std::vector<ListedServer> listed;
        auto reused = servers.begin();
        for (std::size_t i = 0; i < ServersPerRelease; ++i) {
            const bool isNew = reused == servers.end() || !sameAddresses;
            KeepingServer &server = isNew ? servers.emplace_back(context) : *reused++;
            if (isNew)
                reused = servers.end();
            listed.push_back({&server, std::to_string(release) + "-" + std::to_string(i)});
        }
        sendAtOnce(context, client, listed, CallsPerServer);
        client.closeIdleExcept([&](const Address &address, const std::string &name) {
            return oldAreListed
                   || std::any_of(listed.begin(), listed.end(), [&](const ListedServer &known) {
                          return known.name_ == name && known.server_->address() == address;
                      });
        });
        BOOST_REQUIRE(client.idleConnections() <= test.bound_);
        BOOST_REQUIRE(client.idleConnections() >= OneRelease);
        BOOST_REQUIRE(runUntil(context, [&] { return openAt(servers) <= test.bound_; }));
    }
    // Those that are kept are reused.
    BOOST_TEST(client.connectionsOpened() == Releases * OneRelease);
}

// A connection to an earlier server at the address must not carry requests to the present one.
BOOST_AUTO_TEST_CASE(connectionsOfAnEarlierServerAreNotReused)
{
    asio::io_context context;
    http::RelayClient client(context);
    KeepingServer server(context);
    std::string opened;
    for (const char *name : {"old", "old", "new", "new"}) {
        sendAtOnce(context, client, {{&server, name}}, 1);
        opened += std::to_string(client.connectionsOpened());
    }
    BOOST_TEST(opened == "1122");
}

namespace {

struct KeepAliveCase
{
    const char *header_;
    //! Whether a further request reuses the connection.
    bool reused_;
};

std::ostream &operator<<(std::ostream &out, const KeepAliveCase &test)
{
    return out << test.header_;
}

const KeepAliveCase KeepAliveCases[] = {
        {"", true},
        {"Keep-Alive: timeout=5\r\n", true},
        {"Keep-Alive: timeout=0\r\n", false},
        {"Keep-Alive: timeout=-1\r\n", false},
        {"Keep-Alive: timeout=2147483647\r\n", true},
        {"Keep-Alive: timeout=99999999999999999999\r\n", false},
};

} // namespace

// An idle timeout in milliseconds that is out of range of an int must not overflow.
BOOST_DATA_TEST_CASE(idleTimeoutsOfServersAreFollowed, KeepAliveCases, test)
{
    asio::io_context context;
    http::RelayClient client(context);
    KeepingServer server(context, test.header_);
    sendAtOnce(context, client, {{&server, "s"}}, 1);
    sendAtOnce(context, client, {{&server, "s"}}, 1);
    BOOST_TEST(client.connectionsOpened() == (test.reused_ ? 1U : 2U));
}

// A connection that is too old for reuse must be closed, although no other one to its server is
// added.
BOOST_AUTO_TEST_CASE(oldIdleConnectionsAreClosed)
{
    asio::io_context context;
    http::RelayClient client(context);
    KeepingServer server(context, "Keep-Alive: timeout=1\r\n");
    sendAtOnce(context, client, {{&server, "s"}}, 3);
    BOOST_TEST(client.idleConnections() == 3U);
    BOOST_TEST(runUntil(context, [&] {
        client.closeIdleExcept([](const Address &, const std::string &) { return true; });
        return client.idleConnections() == 0 && server.open() == 0;
    }));
}

namespace {

//! Connections are added in order, each named by its server and a digit.
struct LimitCase
{
    const char *name_;
    http::detail::IdleLimits limits_;
    std::vector<std::string> added_;
    //! What is left, least recently used first.
    const char *kept_;
    //! Taken for server a afterwards.
    const char *taken_;
};

std::ostream &operator<<(std::ostream &out, const LimitCase &test)
{
    return out << test.name_;
}

const LimitCase LimitCases[] = {
        {"none", {2, 3}, {}, "", "-"},
        {"within the limits", {2, 3}, {"a1", "b1", "a2"}, "a1 b1 a2 ", "a2"},
        {"above the limit of a server", {2, 9}, {"a1", "b1", "a2", "a3"}, "b1 a2 a3 ", "a3"},
        {"above the limit of all", {2, 3}, {"a1", "b1", "c1", "a2", "b2"}, "c1 a2 b2 ", "a2"},
        {"the server's are closed for others", {2, 2}, {"a1", "b1", "c1"}, "b1 c1 ", "-"},
        {"none may be kept", {0, 3}, {"a1"}, "", "-"},
        {"none of any server may be kept", {2, 0}, {"a1", "b1"}, "", "-"},
};

} // namespace

// Above a limit the connection that was not used for the longest time is closed, not the newest.
BOOST_DATA_TEST_CASE(leastRecentlyUsedIsClosedFirst, LimitCases, test)
{
    http::detail::IdleConnections<std::unique_ptr<std::string>> idle {test.limits_, {}, {}};
    for (const std::string &name : test.added_)
        http::detail::addIdle(idle, {{"10.0.0.1", 80}, name.substr(0, 1)},
                              std::make_unique<std::string>(name));
    std::string kept;
    std::size_t indexed = 0;
    for (const auto &entry : idle.entries_)
        kept += *entry.connection_ + " ";
    for (const auto &[server, entries] : idle.byServer_)
        indexed += entries.size();
    BOOST_TEST(kept == test.kept_);
    BOOST_TEST(indexed == idle.entries_.size());
    const auto taken = http::detail::takeIdle(idle, {{"10.0.0.1", 80}, "a"},
                                              [](const std::string &) { return true; });
    BOOST_TEST((taken ? **taken : "-") == test.taken_);
}

namespace {

std::size_t openDescriptors()
{
    const std::filesystem::directory_iterator descriptors("/proc/self/fd");
    return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

void request(asio::io_context &context, http::Client &client, const Address &to, std::size_t count)
{
    std::size_t done = 0;
    for (std::size_t i = 0; i < count; ++i) {
        http::HttpRequest request;
        request.path_ = "/";
        client.send(to, std::move(request), {}, [&](const http::ClientResult &result) {
            BOOST_TEST(result.response_.has_value());
            ++done;
        });
    }
    BOOST_REQUIRE(runUntil(context, [&] { return done == count; }));
}

} // namespace

// Fails if the client of reports, orders and the store keeps connections that servers have closed:
// one to each of these servers.
BOOST_AUTO_TEST_CASE(clientDropsConnectionsThatServersClosed)
{
    constexpr std::size_t Servers = 40;
    asio::io_context context;
    http::Client client(context);
    std::list<KeepingServer> servers;
    for (std::size_t i = 0; i < Servers; ++i)
        servers.emplace_back(context);
    const std::size_t before = openDescriptors();
    for (KeepingServer &server : servers) {
        request(context, client, server.address(), 1);
        server.closeConnections();
    }
    KeepingServer &last = servers.back();
    BOOST_TEST(runUntil(context, [&] {
        request(context, client, last.address(), 1);
        // Both ends of the connection to the last server.
        return openDescriptors() <= before + 2;
    }));
}

// The number of idle connections of the client is limited over all servers.
BOOST_AUTO_TEST_CASE(clientLimitsIdleConnections)
{
    constexpr std::size_t Servers = 5;
    constexpr std::size_t PerServer = 40;
    constexpr std::size_t MaxIdle = 128;
    asio::io_context context;
    http::Client client(context);
    std::list<KeepingServer> servers;
    for (std::size_t i = 0; i < Servers; ++i)
        request(context, client, servers.emplace_back(context).address(), PerServer);
    BOOST_TEST(runUntil(context, [&] { return openAt(servers) <= MaxIdle; }), openAt(servers));
    BOOST_TEST(openAt(servers) == MaxIdle);
}
