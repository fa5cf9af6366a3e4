#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>

#include "core/random.h"
#include "policy/outputsize.h"

using namespace gypsumcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double TokensPerEvent = 3;
constexpr Tokens Typical {150};
constexpr Tokens NoLimit {0};

TimePoint at(int ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

double normal(Random &random)
{
    double sum = 0;
    for (int i = 0; i < 12; ++i)
        sum += randomUnit(random);
    return sum - 6;
}

enum class Hints : std::uint8_t {
    None,
    //! Right at the median: they follow the length in part.
    Fair,
    //! Right at the median, but independent of the length.
    Useless,
    //! Five times the length.
    TooLarge,
};

struct SizeCase
{
    const char *name_;
    Hints hints_;
    //! Median number of events, and the spread of their logarithm.
    double median_;
    double spread_;
    //! The number of decode steps in an event is known.
    bool stepsKnown_;
    int responses_;
    //! Bounds of the mean expected length relative to the mean length.
    double least_;
    double most_;
};

std::ostream &operator<<(std::ostream &out, const SizeCase &test)
{
    return out << test.name_;
}

const SizeCase SizeCases[] = {
        {"without hints", Hints::None, 50, 0.3, true, 300, 0.85, 1.15},
        {"a heavy tail", Hints::None, 40, 1, true, 600, 0.7, 1.3},
        {"fair hints and a heavy tail", Hints::Fair, 40, 1, true, 600, 0.7, 1.3},
        {"fair hints alone", Hints::Fair, 40, 0.8, false, 600, 0.7, 1.3},
        {"hints that say nothing", Hints::Useless, 40, 0.8, true, 600, 0.7, 1.3},
        {"hints that are five times too large", Hints::TooLarge, 40, 0.8, true, 600, 0.7, 1.3},
        {"a few responses", Hints::None, 50, 0.1, true, 8, 0.8, 1.25},
};

std::optional<Tokens> hintFor(Hints hints, double median, double events, Random &random)
{
    const double noise = std::exp(0.7 * normal(random));
    switch (hints) {
    case Hints::None:
        return std::nullopt;
    case Hints::Fair:
        return Tokens {std::lround(TokensPerEvent * events * noise)};
    case Hints::Useless:
        return Tokens {std::lround(TokensPerEvent * median * noise)};
    case Hints::TooLarge:
        return Tokens {std::lround(5 * TokensPerEvent * events)};
    }
    return std::nullopt;
}

OutputKey keyOf(const char *organisation)
{
    return {{"route"}, {organisation}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(outputSize)

// Guards against reservations that are too small for the mean response, so that endpoints run full,
// or so large that capacity stays unused, when hints are missing, useless or wrong.
BOOST_DATA_TEST_CASE(expectationsMeetTheMean, boost::unit_test::data::make(SizeCases), test)
{
    Random random {5};
    OutputSizes sizes;
    const auto steps = test.stepsKnown_ ? std::optional(TokensPerEvent) : std::nullopt;
    double expected = 0;
    double actual = 0;
    for (int i = 0; i < 2 * test.responses_; ++i) {
        const double events
                = std::max(1.0, std::round(test.median_ * std::exp(test.spread_ * normal(random))));
        const auto hint = hintFor(test.hints_, test.median_, events, random);
        if (i >= test.responses_) {
            expected += static_cast<double>(
                    expectedOutput(sizes, keyOf("a"), hint, NoLimit, Typical).value_);
            actual += TokensPerEvent * events;
        }
        learnOutput(sizes, keyOf("a"), hint, static_cast<std::uint64_t>(events), steps, at(i * 50));
    }
    BOOST_TEST(expected / actual >= test.least_);
    BOOST_TEST(expected / actual <= test.most_);
}

namespace {

struct PriorCase
{
    const char *name_;
    std::optional<Tokens> hint_;
    std::int64_t limit_;
    std::int64_t typical_;
    std::int64_t expected_;
};

std::ostream &operator<<(std::ostream &out, const PriorCase &test)
{
    return out << test.name_;
}

const PriorCase PriorCases[] = {
        {"the engine's typical output", {}, 0, 150, 150},
        {"the typical output beyond the limit", {}, 100, 150, 100},
        {"the hint", Tokens {80}, 0, 150, 80},
        {"the hint beyond the limit", Tokens {300}, 200, 150, 200},
        {"nothing but the limit", {}, 400, 0, 400},
        {"nothing at all", {}, 0, 0, 0},
};

} // namespace

// Guards against a gateway that has just started and reserves nothing, or everything.
BOOST_DATA_TEST_CASE(unknownRoutesHaveAPrior, boost::unit_test::data::make(PriorCases), test)
{
    BOOST_TEST(expectedOutput({}, keyOf("a"), test.hint_, {test.limit_}, {test.typical_}).value_
               == test.expected_);
}

// Guards against an expectation that keeps to what a route's responses once were.
BOOST_AUTO_TEST_CASE(formerLengthsAreForgotten)
{
    OutputSizes sizes;
    for (int i = 0; i < 1000; ++i)
        learnOutput(sizes, keyOf("a"), {}, 50, TokensPerEvent, at(i * 10));
    BOOST_TEST(std::abs(expectedOutput(sizes, keyOf("a"), {}, NoLimit, Typical).value_ - 150) < 10);
    for (int i = 0; i < 500; ++i)
        learnOutput(sizes, keyOf("a"), {}, 200, TokensPerEvent, at(10'000 + i * 10));
    BOOST_TEST(std::abs(expectedOutput(sizes, keyOf("a"), {}, NoLimit, Typical).value_ - 600) < 90);
}

// Guards against one organisation's long responses that count for all others.
BOOST_AUTO_TEST_CASE(organisationsDiffer)
{
    OutputSizes sizes;
    for (int i = 0; i < 400; ++i) {
        learnOutput(sizes, keyOf("long"), {}, 200, TokensPerEvent, at(i * 20));
        learnOutput(sizes, keyOf("short"), {}, 20, TokensPerEvent, at(i * 20 + 10));
    }
    const auto expectedFor = [&](const char *organisation) {
        return expectedOutput(sizes, keyOf(organisation), {}, NoLimit, Typical).value_;
    };
    BOOST_TEST(expectedFor("long") > 400);
    BOOST_TEST(expectedFor("long") < 900);
    BOOST_TEST(expectedFor("short") > 40);
    BOOST_TEST(expectedFor("short") < 90);
    BOOST_TEST(expectedFor("new") > expectedFor("short"));
    BOOST_TEST(expectedFor("new") < expectedFor("long"));
}

// Guards against a hint that is one caller's mistake and fills an endpoint by itself.
BOOST_AUTO_TEST_CASE(oneExtremeResponseIsBounded)
{
    OutputSizes sizes;
    for (int i = 0; i < 200; ++i)
        learnOutput(sizes, keyOf("a"), Tokens {150}, 50, TokensPerEvent, at(i * 20));
    learnOutput(sizes, keyOf("a"), Tokens {1}, 1'000'000'000, TokensPerEvent, at(5000));
    const auto expected = expectedOutput(sizes, keyOf("a"), Tokens {150}, {2000}, Typical).value_;
    BOOST_TEST(expected >= 100);
    BOOST_TEST(expected <= 300);
}

// Guards against memory that grows with the number of routes and organisations.
BOOST_AUTO_TEST_CASE(memoryIsBounded)
{
    OutputSizes sizes;
    sizes.maxRoutes_ = 10;
    sizes.maxOrganisations_ = 20;
    for (int i = 0; i < 1000; ++i) {
        const OutputKey key {{"route-" + std::to_string(i % 50)},
                             {"organisation-" + std::to_string(i % 300)}};
        learnOutput(sizes, key, {}, 50, TokensPerEvent, at(i));
        learnOutput(sizes, key, {}, 50, TokensPerEvent, at(i));
    }
    BOOST_TEST(sizes.routes_.size() == 10U);
    BOOST_TEST(sizes.organisations_.size() == 20U);
}

BOOST_AUTO_TEST_SUITE_END()
