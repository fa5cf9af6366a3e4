//! Gateways that are asked to stop while something outside is slow.
#include <fcntl.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/stat.h>

#include <boost/asio.hpp>
#include <boost/test/data/test_case.hpp>

#include "gatewayfixture.h"

using namespace gypsumcroft;
using lab::ask;
using lab::GatewayProgram;
using lab::tests::waitFor;
using Fixture = lab::tests::GatewayFixture;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

using Clock = std::chrono::steady_clock;

//! Grace period in the gateways' settings.
constexpr std::chrono::seconds Grace {8};

//! Sends a request and reads its answer at a rate, through a small window. Returns the bytes that
//! were read of head and body.
std::size_t readSlowly(const Address &gateway, const std::string &id, std::size_t bytesPerSecond)
{
    constexpr int Window = 65536;
    constexpr int Segment = 1460;
    constexpr std::chrono::milliseconds Pause {20};
    asio::io_context context;
    tcp::socket socket(context);
    socket.open(tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(Window));
    // The loopback's large segments would let the kernel hold the whole answer.
    socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>(Segment));
    socket.connect({asio::ip::make_address(gateway.host_), gateway.port_});
    asio::write(socket, asio::buffer("POST /book/x HTTP/1.1\r\nHost: desk\r\nX-Request-Id: " + id
                                     + "\r\nX-Deadline-Ms: 20000\r\nX-Token-Count: 100,20\r\n"
                                       "Authorization: Bearer key\r\nContent-Length: 0\r\n\r\n"));
    const auto start = Clock::now();
    std::vector<char> buffer(Window);
    std::size_t got = 0;
    boost::system::error_code error;
    while (!error) {
        const auto due = std::chrono::duration<double>(static_cast<double>(got)
                                                       / static_cast<double>(bytesPerSecond));
        if (Clock::now() - start < due)
            std::this_thread::sleep_for(Pause);
        else
            got += socket.read_some(asio::buffer(buffer), error);
    }
    return got;
}

struct SlowCallerCase
{
    const char *name_;
    std::size_t answerBytes_;
    std::size_t bytesPerSecond_;
};

std::ostream &operator<<(std::ostream &out, const SlowCallerCase &test)
{
    return out << test.name_;
}

const SlowCallerCase SlowCallerCases[] = {
        {"6 MB in 6 s", 6'000'000, 1'000'000},
        {"5 MB in 5 s", 5'000'000, 1'000'000},
};

} // namespace

// The answers have left their endpoints when the signal comes, and would be through within the
// grace period.
BOOST_DATA_TEST_CASE(aStopWaitsForSlowCallers, SlowCallerCases, test)
{
    constexpr std::size_t Callers = 2;
    constexpr std::chrono::milliseconds SignalAfter {500};
    Fixture fixture;
    fixture.platform_.setAnswerBytes(test.answerBytes_);
    GatewayProgram &gateway = *fixture.gateways_[0];
    std::vector<std::size_t> got(Callers);
    {
        std::vector<std::jthread> callers;
        for (std::size_t i = 0; i < Callers; ++i)
            callers.emplace_back([&, i] {
                got[i] = readSlowly(gateway.callers_, "slow-" + std::to_string(i),
                                    test.bytesPerSecond_);
            });
        std::this_thread::sleep_for(SignalAfter);
        const auto signalled = Clock::now();
        BOOST_TEST(lab::tests::stop(gateway) == 0);
        BOOST_TEST((Clock::now() - signalled < Grace));
    }
    for (const std::size_t bytes : got)
        BOOST_TEST(bytes > test.answerBytes_);
}

// Whoever reads the log may have stopped reading.
BOOST_FIXTURE_TEST_CASE(aStopEndsThoughNobodyReadsTheLog, Fixture)
{
    constexpr int PipeBytes = 4096;
    constexpr int Requests = 200;
    GatewayProgram &gateway = *gateways_[0];
    BOOST_REQUIRE(lab::tests::stop(gateway) == 0);
    const std::string log = folder_ + "/g1.log";
    std::filesystem::remove(log);
    BOOST_REQUIRE(mkfifo(log.c_str(), 0600) == 0);
    const int reader = open(log.c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC);
    BOOST_REQUIRE(fcntl(reader, F_SETPIPE_SZ, PipeBytes) >= 0);
    gateway.restart();
    BOOST_REQUIRE(waitFor([&] { return gateway.isReady(); }));
    int served = 0;
    for (int i = 0; i < Requests; ++i)
        served += ask(gateway.callers_, "GET", "/look/x", "look-" + std::to_string(i), "key")
                                          .status_
                                  == "HTTP/1.1 200"
                          ? 1
                          : 0;
    BOOST_TEST(served == Requests);
    const auto signalled = Clock::now();
    BOOST_TEST(lab::tests::stop(gateway) == 0);
    BOOST_TEST((Clock::now() - signalled < Grace));
    close(reader);
}
