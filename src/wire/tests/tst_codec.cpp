//! Encoded messages decode to the same message; changed and random bytes are rejected.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/random.h"
#include "wire/codec.h"

using namespace gypsumcroft;

namespace {

StepMessage step()
{
    StepMessage message;
    message.plan_.request_ = {"r"};
    message.plan_.route_ = {{{"a"}, {"127.0.0.1", 7}, {{0}, {4}}}};
    message.plan_.minShare_ = {200};
    message.inputs_ = {"one", std::string(5000, 'x')};
    return message;
}

CallMessage call()
{
    CallMessage message;
    message.scope_ = IdempotencyScope {{1, 2}, std::chrono::hours(1)};
    message.body_ = "{}";
    return message;
}

const std::vector<Message> Messages = {step(),
                                       TokenMessage {{"r"}, {1}, {2}, "t", true},
                                       StreamFailedMessage {},
                                       EndStreamMessage {{"r"}, {3}},
                                       call(),
                                       CallResultMessage {},
                                       ConfigFetchMessage {},
                                       ConfigStateMessage {{{5}, {{FleetPolicy {}, {2}}}}}};

std::string payloadOf(const std::string &frame)
{
    return frame.substr(FrameHeaderBytes);
}

} // namespace

BOOST_DATA_TEST_CASE(messagesRoundTrip, boost::unit_test::data::xrange(Messages.size()))
{
    const std::string frame = encodeFrame(Messages[sample]);
    const auto header = decodeFrameHeader(frame);
    BOOST_REQUIRE(header.has_value());
    const auto read = decodePayload(*header, payloadOf(frame));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->index() == Messages[sample].index());
    BOOST_TEST(encodeFrame(*read) == frame);
}

BOOST_DATA_TEST_CASE(changedByteIsDetected, boost::unit_test::data::xrange(Messages.size()))
{
    const std::string frame = encodeFrame(Messages[sample]);
    Random random {sample + 1};
    for (int i = 0; i < 200; ++i) {
        std::string changed = frame;
        char &byte = changed[randomBelow(random, changed.size())];
        byte = static_cast<char>(byte ^ static_cast<char>(1 + randomBelow(random, 255)));
        const auto header = decodeFrameHeader(changed);
        BOOST_TEST((!header || !decodePayload(*header, payloadOf(changed)).has_value()));
    }
}

BOOST_AUTO_TEST_CASE(randomBytesAreRejected)
{
    Random random {9};
    for (int i = 0; i < 500; ++i) {
        std::string bytes(randomBelow(random, 300), '\0');
        for (char &byte : bytes)
            byte = static_cast<char>(nextRandom(random));
        BOOST_TEST(!decodeDatagram(bytes).has_value());
    }
}
