//! Gateways that are held up while callers, endpoints and the store go on.
#include <boost/asio.hpp>

#include "gatewayfixture.h"

using namespace gypsumcroft;
using lab::ask;
using lab::GatewayProgram;
using lab::tests::waitFor;
using Fixture = lab::tests::GatewayFixture;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

//! A caller with a connection of its own.
class Caller
{
public:
    explicit Caller(const Address &gateway) : socket_(context_)
    {
        socket_.connect({asio::ip::make_address(gateway.host_), gateway.port_});
    }

    void send(const std::string &method, const std::string &path, const std::string &id)
    {
        asio::write(socket_,
                    asio::buffer(method + " " + path
                                 + " HTTP/1.1\r\nHost: desk\r\nX-Request-Id: " + id
                                 + "\r\nX-Deadline-Ms: 4000\r\nX-Token-Count: 100,20\r\n"
                                   "Authorization: Bearer key\r\nContent-Length: 0\r\n\r\n"));
    }

    //! Status of the next response, which is read to its end; empty if it is invalid or incomplete.
    std::string status()
    {
        std::string text;
        boost::system::error_code error;
        const std::size_t head
                = asio::read_until(socket_, asio::dynamic_buffer(text), "\r\n\r\n", error);
        const std::string length = "Content-Length: ";
        const auto at = text.find(length);
        if (at != std::string::npos && at < head) {
            const std::size_t whole = head + std::stoul(text.substr(at + length.size()));
            if (whole > text.size())
                asio::read(socket_, asio::dynamic_buffer(text),
                           asio::transfer_exactly(whole - text.size()), error);
        } else if (!text.ends_with("0\r\n\r\n")) {
            asio::read_until(socket_, asio::dynamic_buffer(text), "\r\n0\r\n\r\n", error);
        }
        if (!lab::isWholeResponse(text))
            return {};
        return text.substr(0, std::string("HTTP/1.1 200").size());
    }

    void leave() { socket_.close(); }

private:
    asio::io_context context_;
    tcp::socket socket_;
};

struct LeaverCase
{
    const char *name_;
    const char *method_;
    const char *path_;
    //! The connection has carried a request before.
    bool kept_;
};

const LeaverCase LeaverCases[] = {
        {"quotes", "POST", "/quote/x", false},
        {"quotes on kept connections", "POST", "/quote/x", true},
        {"bookings", "POST", "/book/x", false},
        {"bookings on kept connections", "POST", "/book/x", true},
        {"lookups on kept connections", "GET", "/look/x", true},
};

std::size_t arrivalsOf(Fixture &fixture, const std::string &prefix)
{
    const auto arrivals = fixture.platform_.arrivals();
    return static_cast<std::size_t>(
            std::count_if(arrivals.begin(), arrivals.end(),
                          [&](const auto &run) { return run.request_.starts_with(prefix); }));
}

} // namespace

// A gateway that is held up finds requests and their callers' closes in its sockets at once.
BOOST_FIXTURE_TEST_CASE(requestOfCallerThatLeftReachesNoEndpoint, Fixture)
{
    constexpr int Callers = 6;
    constexpr std::chrono::milliseconds Sent {100};
    constexpr std::chrono::milliseconds GoneFor {600};
    GatewayProgram &gateway = *gateways_[0];
    for (const LeaverCase &test : LeaverCases) {
        const std::string name = std::to_string(&test - LeaverCases);
        std::vector<std::unique_ptr<Caller>> leaving;
        std::vector<std::unique_ptr<Caller>> staying;
        for (int i = 0; i < Callers; ++i) {
            leaving.push_back(std::make_unique<Caller>(gateway.callers_));
            staying.push_back(std::make_unique<Caller>(gateway.callers_));
            for (Caller *caller : {leaving.back().get(), staying.back().get()}) {
                if (!test.kept_)
                    continue;
                caller->send("GET", "/look/x", "first-" + name);
                BOOST_TEST(caller->status() == "HTTP/1.1 200");
            }
        }
        BOOST_REQUIRE(gateway.holdUp());
        for (int i = 0; i < Callers; ++i) {
            const auto number = static_cast<std::size_t>(i);
            leaving[number]->send(test.method_, test.path_, "left-" + name);
            staying[number]->send(test.method_, test.path_, "stays-" + name);
        }
        std::this_thread::sleep_for(Sent);
        for (const auto &caller : leaving)
            caller->leave();
        std::this_thread::sleep_for(GoneFor);
        gateway.signal(SIGCONT);
        for (const auto &caller : staying)
            BOOST_TEST(caller->status() == "HTTP/1.1 200", test.name_);
        BOOST_TEST(arrivalsOf(*this, "left-" + name) == 0U, test.name_);
    }
}

namespace {

struct DrainCase
{
    const char *name_;
    const char *method_;
    const char *path_;
};

const DrainCase DrainCases[] = {
        {"bookings", "POST", "/book/x"},
        {"lookups", "GET", "/look/x"},
};

} // namespace

// A gateway that was held up finds requests in its sockets before it has read the list again.
BOOST_AUTO_TEST_CASE(requestAfterHoldUpReachesNoDrainingEndpoint)
{
    constexpr int Callers = 8;
    // The shortest time within which the platform wants a draining endpoint left alone.
    constexpr std::chrono::milliseconds DrainBound {2000};
    for (const DrainCase &test : DrainCases) {
        Fixture fixture(2);
        GatewayProgram &gateway = *fixture.gateways_[0];
        std::vector<std::unique_ptr<Caller>> callers;
        for (int i = 0; i < Callers; ++i) {
            callers.push_back(std::make_unique<Caller>(gateway.callers_));
            callers.back()->send("GET", "/look/x", "first");
            BOOST_TEST(callers.back()->status() == "HTTP/1.1 200");
        }
        BOOST_REQUIRE(gateway.holdUp());
        fixture.platform_.setDraining("i-desk");
        std::this_thread::sleep_for(DrainBound);
        for (const auto &caller : callers)
            caller->send(test.method_, test.path_, "waiting");
        gateway.signal(SIGCONT);
        for (const auto &caller : callers)
            BOOST_TEST(caller->status() == "HTTP/1.1 200", test.name_);
        for (const standins::ServerRun &run : fixture.platform_.arrivals())
            BOOST_TEST((run.request_ != "waiting" || run.server_ != "i-desk"), test.name_);
    }
}

// A gateway that was held up for longer than a key may be used unconfirmed knows the state again
// within a moment; what lay in its sockets is served and not refused.
BOOST_AUTO_TEST_CASE(requestAfterHoldUpBeyondTheKeysBoundIsServed)
{
    constexpr int Callers = 8;
    // The gateways' settings want a revoked key refused after three seconds.
    constexpr std::chrono::milliseconds HoldUp {3500};
    Fixture fixture;
    GatewayProgram &gateway = *fixture.gateways_[0];
    std::vector<std::unique_ptr<Caller>> callers;
    for (int i = 0; i < Callers; ++i) {
        callers.push_back(std::make_unique<Caller>(gateway.callers_));
        callers.back()->send("GET", "/look/x", "first");
        BOOST_TEST(callers.back()->status() == "HTTP/1.1 200");
    }
    BOOST_REQUIRE(gateway.holdUp());
    std::this_thread::sleep_for(HoldUp);
    for (const auto &caller : callers)
        caller->send("POST", "/book/x", "waiting");
    gateway.signal(SIGCONT);
    for (const auto &caller : callers)
        BOOST_TEST(caller->status() == "HTTP/1.1 200");
}
