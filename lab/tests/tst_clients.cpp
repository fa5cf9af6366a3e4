//! Callers that send without end, read nothing or leave at once. The gateway stays alive, within
//! the memory of its settings, gives descriptors back and serves an ordinary caller afterwards.
#include <atomic>
#include <chrono>
#include <sys/resource.h>

#include <list>

#include <boost/asio.hpp>

#include "gatewayfixture.h"

using namespace gypsumcroft;
using lab::GatewayProgram;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::uint64_t MemoryMb = 64;
constexpr std::uint64_t MaxGatewayBytes = MemoryMb * 1'000'000;
//! Descriptors that the gateway may open, and the most that it may have open: an eighth remains.
constexpr std::size_t DescriptorLimit = 1024;
constexpr std::size_t MaxGatewayDescriptors = DescriptorLimit / 8 * 7;
//! Descriptors more than before the callers came that may stay open: connections to endpoints.
constexpr std::size_t MaxLeftDescriptors = 64;
constexpr std::size_t Megabyte = 1024UL * 1024;

//! How a caller ends its connection once it has sent everything.
enum class End : std::uint8_t { WaitForGateway, Close, HalfClose, Reset };

struct CallerCase
{
    const char *name_;
    std::size_t connections_;
    //! Sent once. @ID stands for an id that no other request has.
    std::string begin_;
    std::string repeated_;
    //! Number of repeated bytes to send.
    std::size_t bytes_;
    //! Size of the plain servers' responses.
    std::size_t responseBytes_ = 0;
    //! Longest work of the plain servers.
    std::chrono::milliseconds longestWork_ {0};
    End end_ = End::WaitForGateway;
    //! Connections that each caller opens one after another.
    std::size_t rounds_ = 1;
    //! Time between two repetitions.
    std::chrono::milliseconds pause_ {0};
};

std::string repeat(const std::string &text, std::size_t times)
{
    std::string all;
    for (std::size_t i = 0; i < times; ++i)
        all += text;
    return all;
}

std::string head(const std::string &line, const std::string &fields)
{
    return line + " HTTP/1.1\r\nHost: desk\r\nX-Request-Id: @ID\r\nX-Deadline-Ms: 4000\r\n"
           + "Authorization: Bearer key\r\n" + fields;
}

const std::string Chunked = head("POST /look/x", "Transfer-Encoding: chunked\r\n\r\n");
const std::string HalfBody = head("POST /look/x", "Content-Length: 4000000\r\n\r\n");
const std::string Look = head("GET /look/x", "\r\n");
const std::string Quote
        = head("POST /quote/x", "Content-Length: 0\r\nX-Token-Count: 100,20\r\n\r\n");

const CallerCase CallerCases[] = {
        {"endless-trailers", 4, Chunked + "1\r\na\r\n0\r\n", "X-More: y\r\n", 64 * Megabyte},
        {"endless-chunk-extension", 4, Chunked + "1;", "x", 64 * Megabyte},
        {"endless-small-chunks", 64, Chunked, "1\r\na\r\n", 32 * Megabyte},
        {"pipelined-unknown-path", 8, "", "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n",
         64 * Megabyte},
        {"pipelined-answered", 16, "", Look, 16 * Megabyte, 1000},
        {"pipelined-expect", 8, "",
         "POST /nowhere HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na",
         64 * Megabyte},
        {"long-header-line", 64, "GET /look/x HTTP/1.1\r\nX-Long: ", "x", 4 * Megabyte},
        {"short-header-lines", 64, "GET /look/x HTTP/1.1\r\n", "a:\r\n", 4 * Megabyte},
        {"folded-header-lines", 64, "GET /look/x HTTP/1.1\r\nX-Long: a\r\n", " a\r\n",
         4 * Megabyte},
        {"endless-request-line", 64, "GET /", "x", 4 * Megabyte},
        {"many-heads-of-short-lines", 400, "GET /look/x HTTP/1.1\r\n", "a:\r\n", 16000},
        {"slow-heads",
         800,
         "GET /look/x HTTP/1.1\r\nX-Long: ",
         "x",
         30,
         0,
         {},
         End::WaitForGateway,
         1,
         std::chrono::milliseconds(1000)},
        {"heads-in-progress", 200, head("GET /look/x", repeat("a:\r\n", 3200) + "\r\n"), "", 0, 0,
         std::chrono::seconds(3)},
        {"half-bodies-unknown-path", 64,
         "POST /nowhere HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n", "x", 3'900'000},
        {"half-bodies", 64, HalfBody, "x", 3'900'000},
        {"announced-bodies", 400, HalfBody, "", 0},
        {"whole-bodies-in-progress", 64, HalfBody, "x", 4'000'000, 0, std::chrono::seconds(3)},
        {"unread-responses", 64, Look, "", 0, 6 * Megabyte},
        {"more-connections-than-descriptors", 1500, "GET /", "", 0},
        {"unread-streams", 200, Quote, "", 0},
        {"closed-at-once", 32, Look, "", 0, 0, {}, End::Close, 100},
        {"half-closed", 32, Look, "", 0, 0, {}, End::HalfClose, 100},
        {"reset-at-once", 32, Look, "", 0, 0, {}, End::Reset, 100},
};

//! Connections to a gateway that follow one case, on a thread of their own.
class Crowd
{
public:
    Crowd(const CallerCase &test, const Address &gateway)
        : test_(test), gateway_(asio::ip::make_address(gateway.host_), gateway.port_)
    {
        constexpr std::size_t BlockBytes = 64UL * 1024;
        const bool single = test.pause_ != std::chrono::milliseconds::zero();
        if (!test.repeated_.empty())
            block_ = repeat(test.repeated_, single ? 1 : BlockBytes / test.repeated_.size() + 1);
        for (std::size_t i = 0; i < test.connections_; ++i)
            connect(callers_.emplace_back(context_));
        thread_ = std::jthread([this] { context_.run(); });
    }

    ~Crowd() { context_.stop(); }
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    //! True once every caller's connection has ended or has been stalled for some seconds.
    bool isOver() const
    {
        constexpr std::chrono::seconds Stall {4};
        const auto now = std::chrono::steady_clock::now().time_since_epoch();
        return ended_ == test_.connections_ || now - progressAt_.load() > Stall;
    }

private:
    struct Caller
    {
        explicit Caller(asio::io_context &context) : socket_(context), timer_(context) { }
        tcp::socket socket_;
        asio::steady_timer timer_;
        std::string bytes_;
        //! Bytes that the connection has still to send.
        std::size_t left_ = 0;
        std::size_t rounds_ = 0;
        char received_ = 0;
    };

    std::string withIds(const std::string &text)
    {
        constexpr std::string_view Place = "@ID";
        std::string filled;
        std::size_t from = 0;
        for (std::size_t at = text.find(Place); at != std::string::npos;
             at = text.find(Place, from)) {
            filled.append(text, from, at - from).append("c" + std::to_string(++ids_));
            from = at + Place.size();
        }
        return filled.append(text, from);
    }

    void noteProgress() { progressAt_ = std::chrono::steady_clock::now().time_since_epoch(); }

    void connect(Caller &caller)
    {
        caller.socket_ = tcp::socket(context_, tcp::v4());
        // A small window keeps unread responses in the gateway.
        caller.socket_.set_option(asio::socket_base::receive_buffer_size(4096));
        caller.socket_.async_connect(gateway_, [this, &caller](boost::system::error_code error) {
            if (error)
                return end(caller);
            caller.bytes_ = withIds(test_.begin_);
            caller.left_ = caller.bytes_.size() + test_.bytes_;
            write(caller);
        });
    }

    void write(Caller &caller)
    {
        asio::async_write(caller.socket_, asio::buffer(caller.bytes_),
                          [this, &caller](boost::system::error_code error, std::size_t size) {
                              caller.left_ -= size;
                              noteProgress();
                              if (error)
                                  return end(caller);
                              if (caller.left_ == 0)
                                  return finish(caller);
                              caller.bytes_ = withIds(block_).substr(0, caller.left_);
                              writeAfterPause(caller);
                          });
    }

    void writeAfterPause(Caller &caller)
    {
        if (test_.pause_ == std::chrono::milliseconds::zero())
            return write(caller);
        caller.timer_.expires_after(test_.pause_);
        caller.timer_.async_wait([this, &caller](boost::system::error_code error) {
            if (!error)
                write(caller);
        });
    }

    void finish(Caller &caller)
    {
        if (test_.end_ == End::WaitForGateway)
            return;
        boost::system::error_code ignored;
        if (test_.end_ == End::Reset)
            caller.socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        if (test_.end_ != End::HalfClose)
            return end(caller);
        caller.socket_.shutdown(tcp::socket::shutdown_send, ignored);
        asio::async_read(caller.socket_, asio::buffer(&caller.received_, 1),
                         [this, &caller](boost::system::error_code, std::size_t) { end(caller); });
    }

    void end(Caller &caller)
    {
        noteProgress();
        boost::system::error_code ignored;
        caller.socket_.close(ignored);
        if (++caller.rounds_ < test_.rounds_)
            connect(caller);
        else
            ++ended_;
    }

    const CallerCase &test_;
    tcp::endpoint gateway_;
    std::string block_;
    std::uint64_t ids_ = 0;
    asio::io_context context_;
    std::list<Caller> callers_;
    std::atomic<std::size_t> ended_ {0};
    std::atomic<std::chrono::steady_clock::duration> progressAt_ {
            std::chrono::steady_clock::now().time_since_epoch()};
    std::jthread thread_;
};

//! Lowers the descriptor limit of the processes that are started while it lives.
class LoweredDescriptorLimit
{
public:
    LoweredDescriptorLimit()
    {
        BOOST_REQUIRE(getrlimit(RLIMIT_NOFILE, &before_) == 0);
        rlimit lowered = before_;
        lowered.rlim_cur = DescriptorLimit;
        BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    }
    ~LoweredDescriptorLimit() { setrlimit(RLIMIT_NOFILE, &before_); }
    LoweredDescriptorLimit(const LoweredDescriptorLimit &) = delete;
    LoweredDescriptorLimit &operator=(const LoweredDescriptorLimit &) = delete;

private:
    rlimit before_ {};
};

const CallerCase *caseNamed(const std::string &name)
{
    const auto *found = std::find_if(std::begin(CallerCases), std::end(CallerCases),
                                     [&](const CallerCase &test) { return name == test.name_; });
    return found == std::end(CallerCases) ? nullptr : found;
}

} // namespace

// Guards against a process that runs out of memory or descriptors under such callers. The case is
// named on the command line, so that CTest runs each one by itself.
BOOST_AUTO_TEST_CASE(hostileCallersLeaveTheGatewayItsMemory)
{
    const auto &suite = boost::unit_test::framework::master_test_suite();
    BOOST_REQUIRE(suite.argc > 2);
    const CallerCase *test = caseNamed(suite.argv[2]);
    BOOST_REQUIRE(test != nullptr);
    std::optional<LoweredDescriptorLimit> lowered(std::in_place);
    lab::tests::GatewayFixture fixture(1, 3,
                                       R"("limits":{"memoryMb":)" + std::to_string(MemoryMb) + "}");
    lowered.reset();
    fixture.platform_.setAnswerBytes(test->responseBytes_);
    fixture.platform_.setLongestWork(test->longestWork_);
    GatewayProgram &gateway = *fixture.gateways_[0];
    const std::size_t descriptors = gateway.openDescriptors();
    const std::uint64_t before = gateway.peakBytes();
    std::size_t mostDescriptors = 0;
    {
        const Crowd crowd(*test, gateway.callers_);
        while (!crowd.isOver() && !gateway.hasEnded()
               && gateway.peakBytes() < 4 * MaxGatewayBytes) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            mostDescriptors = std::max(mostDescriptors, gateway.openDescriptors());
        }
    }
    BOOST_TEST_MESSAGE(test->name_ << ": peak " << gateway.peakBytes() << " bytes, before "
                                   << before << "; at most " << mostDescriptors << " descriptors");
    BOOST_TEST(!gateway.hasEnded());
    BOOST_TEST(gateway.peakBytes() < MaxGatewayBytes);
    BOOST_TEST(mostDescriptors <= MaxGatewayDescriptors);
    int tries = 0;
    BOOST_TEST(lab::tests::waitFor(
            [&] { return fixture.quote("after" + std::to_string(++tries)).whole_; }));
    BOOST_TEST(lab::tests::waitFor(
            [&] { return gateway.openDescriptors() <= descriptors + MaxLeftDescriptors; }));
}
