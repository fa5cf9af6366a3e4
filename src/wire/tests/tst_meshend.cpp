#include <atomic>
#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "wire/codec.h"
#include "wire/mesh.h"
#include "wire/tests/descriptorshortage.h"

using namespace gypsumcroft;
namespace asio = boost::asio;
using asio::ip::tcp;
using tests::cpuTimeWithoutDescriptors;

namespace {

struct MeshEndCase
{
    const char *name_;
    std::size_t contexts_;
    std::size_t peers_;
    std::size_t sends_;
};

std::ostream &operator<<(std::ostream &out, const MeshEndCase &test)
{
    return out << test.name_;
}

const MeshEndCase MeshEndCases[] = {
        {"no peer", 2, 0, 0},
        {"a peer on the listener's context", 1, 1, 1},
        {"peers on contexts that outlive the listener's", 2, 4, 0},
        {"peers both ways on many contexts", 4, 16, 8},
};

} // namespace

// The io_contexts are destroyed in order, the listener's first, as at the end of a process. A
// socket that outlived its io_context would use freed memory.
BOOST_DATA_TEST_CASE(meshReleasesSocketsBeforeContexts, MeshEndCases, test)
{
    asio::io_context clients;
    std::vector<std::unique_ptr<tcp::socket>> peers;
    std::vector<std::unique_ptr<asio::io_context>> contexts;
    std::vector<asio::io_context *> pointers;
    for (std::size_t i = 0; i < test.contexts_; ++i) {
        contexts.push_back(std::make_unique<asio::io_context>(1));
        pointers.push_back(contexts.back().get());
    }
    {
        std::atomic<std::size_t> received {0};
        Mesh mesh(pointers, {[&](const Message &) { ++received; }, [](const Address &) {},
                             [](const std::string &) {}});
        const auto address = mesh.listen({"127.0.0.1", 0});
        BOOST_REQUIRE_MESSAGE(address, address.lastReason_);
        {
            std::vector<std::jthread> threads;
            std::vector<asio::executor_work_guard<asio::io_context::executor_type>> guards;
            for (const auto &context : contexts) {
                guards.push_back(asio::make_work_guard(*context));
                threads.emplace_back([&context] { context->run(); });
            }
            for (std::size_t i = 0; i < test.peers_; ++i) {
                peers.push_back(std::make_unique<tcp::socket>(clients));
                peers.back()->connect({asio::ip::make_address(address->host_), address->port_});
            }
            for (std::size_t i = 0; i < test.sends_; ++i)
                mesh.send(*address, EndStreamMessage {});
            while (received < test.sends_)
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            for (const auto &context : contexts)
                context->stop();
        }
    }
    for (auto &context : contexts)
        context.reset();
    BOOST_TEST(peers.size() == test.peers_);
}

//! Frames that are sent at once to a peer that doesn't read, so that the queue overflows; one more
//! is then sent over a new connection.
struct OverflowCase
{
    const char *name_;
    std::size_t frames_;
    std::size_t frameBytes_;
};

std::ostream &operator<<(std::ostream &out, const OverflowCase &test)
{
    return out << test.name_;
}

constexpr std::size_t Megabyte = 1024UL * 1024;

const OverflowCase OverflowCases[] = {
        {"large frames", 5, 15 * Megabyte},
        {"many frames", 64, Megabyte},
};

// The queue overflows during a write. The pending write must not use its frame after that is freed,
// and must not continue on the next connection.
BOOST_DATA_TEST_CASE(overflowDoesNotAffectNextConnection, OverflowCases, test)
{
    asio::io_context context;
    asio::io_context peer;
    tcp::acceptor acceptor(peer, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const Address to {"127.0.0.1", acceptor.local_endpoint().port()};
    std::size_t down = 0;
    Mesh mesh({&context}, {[](const Message &) {}, [&](const Address &) { ++down; },
                           [](const std::string &) {}});
    const EndStreamMessage last {RequestId {"last"}, Epoch {1}};
    mesh.send(to, EndStreamMessage {});
    context.run_for(std::chrono::milliseconds(50));
    tcp::socket first = acceptor.accept();
    TokenMessage large;
    large.text_ = std::string(test.frameBytes_, 'x');
    for (std::size_t i = 0; i < test.frames_; ++i)
        mesh.send(to, large);
    mesh.send(to, last);
    context.restart();
    context.run_for(std::chrono::milliseconds(200));
    BOOST_TEST(down == 1);
    tcp::socket second = acceptor.accept();
    std::string bytes(second.available(), '\0');
    asio::read(second, asio::buffer(bytes));
    BOOST_TEST((bytes == encodeFrame(last)));
}

// The accept loop must not spin while a peer waits and no file descriptor is left.
BOOST_AUTO_TEST_CASE(acceptDoesNotSpinWithoutDescriptors)
{
    asio::io_context context;
    Mesh mesh({&context},
              {[](const Message &) {}, [](const Address &) {}, [](const std::string &) {}});
    const auto spent = cpuTimeWithoutDescriptors(context, [&] {
        return *mesh.listen({"127.0.0.1", 0});
    });
    BOOST_TEST(spent.count() < 100);
}

//! Peers that announce a large frame and send only a part of it.
struct AnnouncedCase
{
    const char *name_;
    std::size_t peers_;
    std::uint32_t announced_;
    std::size_t sent_;
    std::size_t maxGrowthBytes_;
};

std::ostream &operator<<(std::ostream &out, const AnnouncedCase &test)
{
    return out << test.name_;
}

const AnnouncedCase AnnouncedCases[] = {
        {"nothing sent", 20, MaxPayloadBytes, 0, 32 * Megabyte},
        {"a little sent", 20, MaxPayloadBytes, 1000, 32 * Megabyte},
};

std::size_t residentBytes()
{
    constexpr std::size_t PageBytes = 4096;
    std::size_t all = 0;
    std::size_t resident = 0;
    std::ifstream("/proc/self/statm") >> all >> resident;
    return resident * PageBytes;
}

// Memory is allocated for received bytes, not for the announced length of a frame.
BOOST_DATA_TEST_CASE(announcedFramesAllocateNoMemory, AnnouncedCases, test)
{
    asio::io_context context;
    asio::io_context own;
    Mesh mesh({&context},
              {[](const Message &) {}, [](const Address &) {}, [](const std::string &) {}});
    const auto address = mesh.listen({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    std::string bytes = encodeFrame(EndStreamMessage {}).substr(0, FrameHeaderBytes);
    for (std::size_t i = 0; i < 4; ++i)
        bytes[4 + i] = static_cast<char>(test.announced_ >> (8 * i));
    bytes += std::string(test.sent_, 'x');
    const std::size_t before = residentBytes();
    std::vector<std::unique_ptr<tcp::socket>> peers;
    for (std::size_t i = 0; i < test.peers_; ++i) {
        peers.push_back(std::make_unique<tcp::socket>(own));
        peers.back()->connect({asio::ip::make_address(address->host_), address->port_});
        asio::write(*peers.back(), asio::buffer(bytes));
    }
    context.run_for(std::chrono::milliseconds(200));
    const std::size_t after = residentBytes();
    BOOST_TEST(after - std::min(before, after) <= test.maxGrowthBytes_);
}

namespace {

//! Digests that wait in the socket, and those that are handled once the receiver gets to them.
struct WaitingCase
{
    const char *name_;
    std::vector<GatewayDigestMessage> sent_;
    std::vector<std::uint64_t> handled_;
};

std::ostream &operator<<(std::ostream &out, const WaitingCase &test)
{
    return out << test.name_;
}

GatewayDigestMessage digestOf(DigestScope scope, const char *domain, std::uint64_t sequence)
{
    GatewayDigestMessage digest;
    digest.scope_ = scope;
    digest.domain_ = {domain};
    digest.sequence_ = sequence;
    return digest;
}

const WaitingCase WaitingCases[] = {
        {"one", {digestOf(DigestScope::Gateway, "a", 1)}, {1}},
        {"several of one gateway",
         {digestOf(DigestScope::Gateway, "a", 1), digestOf(DigestScope::Gateway, "a", 2),
          digestOf(DigestScope::Gateway, "a", 3)},
         {3}},
        {"own state and sums",
         {digestOf(DigestScope::Gateway, "a", 1), digestOf(DigestScope::Domain, "a", 2),
          digestOf(DigestScope::Gateway, "a", 3), digestOf(DigestScope::Domain, "a", 4)},
         {3, 4}},
        {"sums of two domains, passed on",
         {digestOf(DigestScope::RelayedDomain, "b", 1),
          digestOf(DigestScope::RelayedDomain, "c", 2),
          digestOf(DigestScope::RelayedDomain, "b", 3)},
         {2, 3}},
        {"news of crashes",
         {digestOf(DigestScope::CrashNews, "a", 1), digestOf(DigestScope::CrashNews, "a", 2),
          digestOf(DigestScope::RelayedCrashNews, "a", 3), digestOf(DigestScope::Gateway, "a", 4)},
         {1, 2, 3, 4}},
};

} // namespace

// A receiver that was held up handles the newest state of each sender, and no news is lost.
BOOST_DATA_TEST_CASE(digestsThatAreOutOfDateAreNotHandled, WaitingCases, test)
{
    asio::io_context context;
    std::vector<std::uint64_t> handled;
    const auto handle = [&](const Datagram &datagram) {
        handled.push_back(std::get<GatewayDigestMessage>(datagram).sequence_);
    };
    const auto ignore = [](const std::string &) {};
    DatagramSocket receiver(context, handle, ignore);
    const auto address = receiver.bind({"127.0.0.1", 0});
    BOOST_REQUIRE(address);
    asio::io_context own;
    DatagramSocket sender(
            own, [](const Datagram &) {}, ignore);
    BOOST_REQUIRE(sender.bind({"127.0.0.1", 0}));
    for (const GatewayDigestMessage &digest : test.sent_)
        sender.send(*address, digest);
    own.run_for(std::chrono::milliseconds(50));
    context.run_for(std::chrono::milliseconds(100));
    BOOST_TEST(handled == test.handled_, boost::test_tools::per_element());
}
