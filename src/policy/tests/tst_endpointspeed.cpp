#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>

#include "core/random.h"
#include "policy/endpointspeed.h"
#include "policy/medianratio.h"

using namespace gypsumcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(int ms)
{
    return TimePoint(seconds(1000) + milliseconds(ms));
}

struct DecayCase
{
    const char *name_;
    double slowdown_;
    double previous_;
    int ageMs_;
    double from_;
    double to_;
};

std::ostream &operator<<(std::ostream &out, const DecayCase &test)
{
    return out << test.name_;
}

const DecayCase DecayCases[] = {
        {"a new slowdown counts whole", 8, 1, 0, 7.99, 8.01},
        {"an unconfirmed one falls by half in the half-life", 8, 1, 3000, 4.49, 4.51},
        {"an old one counts as usual", 8, 1, 5001, 1, 1},
        {"it is bounded", 90, 1, 0, 19.9, 20.1},
        {"a recovery counts step by step", 1, 8, 0, 7.9, 8.1},
        {"a recovery is half over after a moment", 1, 8, 300, 4.4, 4.6},
        {"a recovery is over after two seconds", 1, 8, 2100, 1, 1.1},
        {"a faster endpoint is bounded too", 0.1, 0.5, 0, 0.49, 0.51},
};

} // namespace

BOOST_AUTO_TEST_SUITE(endpointSpeed)

// Guards against endpoints that stay avoided for good after one measurement, and against gateways
// that all return to an endpoint in the same moment.
BOOST_DATA_TEST_CASE(slowdownsAreForgotten, boost::unit_test::data::make(DecayCases), test)
{
    const EndpointSpeed speed {1, test.slowdown_, test.previous_, at(0), SpeedSource::Report};
    const double counted = slowdownAt(speed, SpeedLimits(), at(test.ageMs_));
    BOOST_TEST(counted >= test.from_);
    BOOST_TEST(counted <= test.to_);
}

namespace {

struct TakeCase
{
    const char *name_;
    std::uint64_t incarnation_;
    int measuredMs_;
    bool taken_;
    //! What counts at once.
    double counted_;
};

std::ostream &operator<<(std::ostream &out, const TakeCase &test)
{
    return out << test.name_;
}

const TakeCase TakeCases[] = {
        {"a later measurement", 5, 100, true, 8},
        {"a late digest with an older measurement", 5, -100, false, 8},
        {"the same measurement by another way", 5, 0, false, 8},
        {"the process before this one", 4, 100, false, 8},
        {"the process after it starts at the usual speed", 6, 100, true, 1},
};

} // namespace

// Guards against news that overtake each other: an older "slow" must not replace a newer "usual",
// and a restarted endpoint must not inherit the slowness of its former process.
BOOST_DATA_TEST_CASE(theNewestMeasurementCounts, boost::unit_test::data::make(TakeCases), test)
{
    const SpeedLimits limits;
    EndpointSpeeds speeds;
    BOOST_REQUIRE(takeSpeed(speeds, {"e"}, {5, 8, 1, at(0), SpeedSource::Report}, limits, at(0)));
    const EndpointSpeed next {test.incarnation_, 1, 1, at(test.measuredMs_), SpeedSource::Digest};
    BOOST_TEST(takeSpeed(speeds, {"e"}, next, limits, at(100)) == test.taken_);
    BOOST_TEST(std::abs(slowdownAt(speeds.at({"e"}), limits, at(100)) - test.counted_) < 0.5);
}

namespace {

struct PlausibleCase
{
    double slowdown_;
    bool plausible_;
};

std::ostream &operator<<(std::ostream &out, const PlausibleCase &test)
{
    return out << test.slowdown_;
}

const PlausibleCase PlausibleCases[] = {
        {1, true},
        {0.1, true},
        {100, true},
        {0.09, false},
        {101, false},
        {0, false},
        {-3, false},
        {std::numeric_limits<double>::infinity(), false},
        {std::numeric_limits<double>::quiet_NaN(), false},
};

} // namespace

// Guards against a false figure that makes an endpoint look free or unusable.
BOOST_DATA_TEST_CASE(implausibleFiguresAreRecognised, boost::unit_test::data::make(PlausibleCases),
                     test)
{
    BOOST_TEST(isPlausibleSlowdown(test.slowdown_, SpeedLimits()) == test.plausible_);
}

namespace {

struct UsualCase
{
    const char *name_;
    //! Part of the samples that come from slow endpoints, and by how much these are slower.
    double slowPart_;
    double slowFactor_;
    //! Spread of the samples, as a standard deviation in logarithms.
    double spread_;
    //! Largest deviation of the learned ratio, as a factor.
    double within_;
};

std::ostream &operator<<(std::ostream &out, const UsualCase &test)
{
    return out << test.name_;
}

const UsualCase UsualCases[] = {
        {"equal gaps", 0, 1, 0, 1.05},
        {"gaps that vary", 0, 1, 0.5, 1.25},
        {"a heavy tail", 0.1, 50, 0.3, 1.25},
        {"a fifth of the endpoints is slow", 0.2, 8, 0.2, 1.25},
};

double normal(Random &random)
{
    double sum = 0;
    for (int i = 0; i < 12; ++i)
        sum += randomUnit(random);
    return sum - 6;
}

} // namespace

// Guards against slow endpoints that are learned as the usual, so that all others look fast and
// none looks slow.
BOOST_DATA_TEST_CASE(theUsualGapIsTheMedian, boost::unit_test::data::make(UsualCases), test)
{
    constexpr double Ratio = 3;
    Random random {7};
    MedianRatio usual;
    for (int ms = 0; ms < 20'000; ms += 20) {
        const double factor = randomUnit(random) < test.slowPart_ ? test.slowFactor_ : 1;
        learnRatio(usual, Ratio * factor * std::exp(test.spread_ * normal(random)), at(ms));
    }
    const auto ratio = medianOf(usual);
    BOOST_REQUIRE(ratio.has_value());
    BOOST_TEST(*ratio < Ratio * test.within_);
    BOOST_TEST(*ratio > Ratio / test.within_);
}

// Guards against judgements by a handful of gaps right after the start.
BOOST_AUTO_TEST_CASE(theUsualGapIsUnknownAtFirst)
{
    MedianRatio usual;
    for (int i = 0; i < 15; ++i)
        learnRatio(usual, 3, at(i * 20));
    BOOST_TEST(!medianOf(usual).has_value());
}

namespace {

//! Streams over random pairs of six endpoints; the first one is slow.
struct FleetCase
{
    const char *name_;
    double slowdown_;
    double spread_;
    //! The endpoints that report their speed themselves.
    bool settled_;
    double least_;
    double most_;
    //! Largest slowdown of the others.
    double others_;
};

std::ostream &operator<<(std::ostream &out, const FleetCase &test)
{
    return out << test.name_;
}

const FleetCase FleetCases[] = {
        {"a slow endpoint among usual ones", 8, 0, false, 5, 11, 1.5},
        {"one that is slower by a little", 3, 0, false, 2, 4, 1.4},
        {"gaps that vary", 8, 0.3, false, 4, 12, 1.8},
        {"all at the usual speed", 1, 0.3, false, 0.6, 1.5, 1.5},
        {"the reports settle it", 8, 0.3, true, 1, 1, 1.01},
};

constexpr int Endpoints = 6;

EndpointId nameOf(std::uint64_t index)
{
    return {"e" + std::to_string(index)};
}

} // namespace

// Guards against a slow endpoint whose slowness is laid on its neighbours in the paths.
BOOST_DATA_TEST_CASE(deviationsAreAttributed, boost::unit_test::data::make(FleetCases), test)
{
    const SpeedLimits limits;
    Random random {11};
    EndpointSpeeds estimates;
    int ms = 0;
    for (; ms < 4000; ms += 10) {
        const std::uint64_t one = randomBelow(random, Endpoints);
        const std::uint64_t other = (one + 1 + randomBelow(random, Endpoints - 1)) % Endpoints;
        std::vector<PathPart> path;
        double step = 0;
        for (const std::uint64_t index : {one, other}) {
            const double slowdown = index == 0 ? test.slowdown_ : 1;
            path.push_back({nameOf(index), 1, 10, {}});
            if (test.settled_)
                path.back().settled_ = slowdown;
            step += 10 * slowdown;
        }
        attributeStep(estimates, path, step * std::exp(test.spread_ * normal(random)), limits,
                      at(ms));
    }
    const auto estimateOf = [&](std::uint64_t index) {
        const auto found = estimates.find(nameOf(index));
        return found == estimates.end() ? 1 : slowdownAt(found->second, limits, at(ms));
    };
    BOOST_TEST(estimateOf(0) >= test.least_);
    BOOST_TEST(estimateOf(0) <= test.most_);
    for (std::uint64_t index = 1; index < Endpoints; ++index)
        BOOST_TEST(estimateOf(index) <= test.others_);
}

// Guards against estimates that outlive the streams that showed them, and grow without bound.
BOOST_AUTO_TEST_CASE(estimatesAreForgotten)
{
    const SpeedLimits limits;
    EndpointSpeeds estimates;
    const std::vector<PathPart> path {{{"e"}, 1, 10, {}}};
    for (int ms = 0; ms < 2000; ms += 20)
        attributeStep(estimates, path, 1e9, limits, at(ms));
    BOOST_TEST(slowdownAt(estimates.at({"e"}), limits, at(2000)) <= limits.maxSlowdown_);
    forgetOldSpeeds(estimates, limits, at(6900));
    BOOST_TEST(estimates.size() == 1U);
    forgetOldSpeeds(estimates, limits, at(7100));
    BOOST_TEST(estimates.empty());
}

BOOST_AUTO_TEST_SUITE_END()
