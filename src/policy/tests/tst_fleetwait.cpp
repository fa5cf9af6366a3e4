//! Expected waits by rank and the reports that they come from.
#include <cmath>
#include <limits>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/fleetwait.h"

using namespace gypsumcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint Start {seconds(100)};
constexpr PerMille MinShare {80};

struct WaitCase
{
    const char *name_;
    TargetDemand demand_;
    Rank rank_;
    int waitMs_;
};

std::ostream &operator<<(std::ostream &out, const WaitCase &test)
{
    return out << test.name_;
}

//! Waiting, arriving and started work by rank.
const WaitCase WaitCases[] = {
        {"nothing is known", {}, Rank::Background, 0},
        {"nothing was started", {{{500, 500, 0}, {500, 500, 0}, {}}}, Rank::Urgent, 0},
        {"little work waits",
         {{{0, 600, 600}, {0, 300, 300}, {99, 100, 100}}},
         Rank::Background,
         0},
        {"the most urgent rank waits for its own work only",
         {{{500, 600, 500}, {5000, 300, 300}, {5000, 200, 200}}},
         Rank::Urgent,
         500},
        {"the second rank waits for the first",
         {{{500, 600, 500}, {500, 300, 300}, {5000, 200, 200}}},
         Rank::Standard,
         2500},
        {"the third rank gets what more urgent arrivals leave",
         {{{0, 300, 300}, {0, 300, 300}, {800, 800, 400}}},
         Rank::Background,
         2000},
        {"the third rank gets its minimum share",
         {{{0, 900, 600}, {0, 400, 320}, {160, 100, 80}}},
         Rank::Background,
         2000},
        {"more urgent work doesn't delay a minimum share",
         {{{900, 900, 600}, {700, 400, 320}, {160, 100, 80}}},
         Rank::Background,
         2000},
        {"more urgent work that is soon done",
         {{{100, 500, 500}, {}, {160, 500, 500}}},
         Rank::Background,
         520},
        {"work that nobody of this rank or a more urgent one waits for",
         {{{}, {}, {5000, 1000, 1000}}},
         Rank::Standard,
         0},
        {"all requests are of one rank", {{{}, {3000, 2000, 1000}, {}}}, Rank::Standard, 3000},
        {"a wait beyond all bounds", {{{}, {1e9, 0, 1}, {}}}, Rank::Standard, 60000},
};

struct ReportCase
{
    const char *name_;
    RankDemandReport report_;
    bool plausible_;
};

std::ostream &operator<<(std::ostream &out, const ReportCase &test)
{
    return out << test.name_;
}

constexpr double Infinite = std::numeric_limits<double>::infinity();

const ReportCase ReportCases[] = {
        {"zeros", {{"t"}, Rank::Urgent, 0, 0, 0}, true},
        {"usual figures", {{"t"}, Rank::Background, 5000, 2000, 1000}, true},
        {"the largest figures", {{"t"}, Rank::Standard, 1e9, 1e9, 1e9}, true},
        {"negative work", {{"t"}, Rank::Standard, -1, 0, 0}, false},
        {"a negative rate", {{"t"}, Rank::Standard, 1, 5, -5}, false},
        {"huge work", {{"t"}, Rank::Standard, 1.1e9, 0, 0}, false},
        {"a huge rate", {{"t"}, Rank::Standard, 0, 1e300, 0}, false},
        {"infinite work", {{"t"}, Rank::Standard, Infinite, 0, 0}, false},
        {"an infinite rate", {{"t"}, Rank::Standard, 0, 0, Infinite}, false},
        {"no number", {{"t"}, Rank::Standard, std::nan(""), 0, 0}, false},
        {"an unknown rank", {{"t"}, static_cast<Rank>(3), 1, 1, 1}, false},
        {"a rank beyond all", {{"t"}, static_cast<Rank>(255), 1, 1, 1}, false},
};

struct RateCase
{
    const char *name_;
    //! 10 tokens are added in each of these milliseconds.
    std::vector<int> addedMs_;
    int nowMs_;
    double perSecond_;
};

std::ostream &operator<<(std::ostream &out, const RateCase &test)
{
    return out << test.name_;
}

const RateCase RateCases[] = {
        {"nothing", {}, 0, 0},
        {"the current step doesn't count yet", {0}, 99, 0},
        {"a complete step", {0}, 100, 10},
        {"the last second", {0, 300, 600, 900}, 1000, 40},
        {"what is older is forgotten", {0, 300, 600, 900}, 1400, 20},
        {"after a long pause", {0, 300, 600, 900}, 60'000, 0},
        {"again after a long pause", {0, 300, 60'000}, 60'100, 10},
};

struct DelayCase
{
    const char *name_;
    int waitMs_;
    int allowedMs_;
    int leftMs_;
    int fromMs_;
    int untilMs_;
};

std::ostream &operator<<(std::ostream &out, const DelayCase &test)
{
    return out << test.name_;
}

const DelayCase DelayCases[] = {
        {"no wait known", 0, 1900, 18000, 400, 600},
        {"a wait that is allowed", 1500, 1900, 18000, 400, 600},
        {"a long wait", 3900, 1900, 18000, 2000, 3000},
        {"callers don't wait longer than a third of what they have left", 30000, 1900, 18000, 6000,
         6000},
        {"a caller that has nearly no time left", 3900, 900, 600, 400, 400},
};

} // namespace

// A wait that is too short keeps requests until their callers leave; one that is too long refuses
// what could be served.
BOOST_DATA_TEST_CASE(waitsFollowFromDemand, WaitCases, test)
{
    const WaitEstimate estimate = expectedFleetWait(test.demand_, test.rank_, MinShare);
    BOOST_TEST(estimate.wait_ / milliseconds(1) == test.waitMs_);
}

// One gateway with a fault, or another sender, must not make all gateways refuse their requests.
BOOST_DATA_TEST_CASE(nonsenseIsDropped, ReportCases, test)
{
    std::vector<RankDemandReport> reports {{{"t"}, Rank::Urgent, 1, 2, 3}, test.report_};
    BOOST_TEST(removeImplausible(reports) == (test.plausible_ ? 0U : 1U));
    FleetDemand sums;
    addDemand(sums, reports);
    BOOST_TEST(
            std::isfinite(expectedFleetWait(sums[{"t"}], Rank::Background, MinShare).aheadTokens_));
}

// Rates that include an incomplete step, or work of long ago, give waits that jump.
BOOST_DATA_TEST_CASE(ratesCoverTheLastSecond, RateCases, test)
{
    constexpr double Work = 10;
    WorkRate rate;
    for (const int ms : test.addedMs_)
        addWork(rate, Work, Start + milliseconds(ms));
    BOOST_TEST(tokensPerSecond(rate, Start + milliseconds(test.nowMs_)) == test.perSecond_);
}

// A gateway that has just started has seen less than a second of its requests: its rates are too
// low, and waits by them too long.
BOOST_AUTO_TEST_CASE(demandIsUnknownAtFirst)
{
    constexpr std::array<Tokens, RankCount> Waiting {Tokens {0}, Tokens {70}, Tokens {0}};
    DemandMeter meter;
    BOOST_TEST(!measuredDemand(meter, Waiting, Start).has_value());
    noteArrived(meter, Rank::Standard, {100}, Start);
    noteStarted(meter, Rank::Standard, {30}, Start);
    noteStarted(meter, Rank::Standard, {10}, Start);
    noteNotRun(meter, Rank::Standard, {10}, Start);
    BOOST_TEST(!measuredDemand(meter, Waiting, Start + milliseconds(999)).has_value());
    const auto known = measuredDemand(meter, Waiting, Start + seconds(1));
    BOOST_REQUIRE(known.has_value());
    BOOST_CHECK(known->at(1) == (RankDemand {70, 100, 30}));
}

// Callers that are refused together and told the same time come back together, and what is told as
// a time that they don't have is no answer.
BOOST_DATA_TEST_CASE(refusedCallersComeBackSpread, DelayCases, test)
{
    constexpr int Callers = 200;
    Random random {7};
    Duration shortest = seconds(1000);
    Duration longest {};
    for (int i = 0; i < Callers; ++i) {
        const Duration delay
                = retryDelayFor(milliseconds(test.waitMs_), milliseconds(test.allowedMs_),
                                milliseconds(400), milliseconds(test.leftMs_), random);
        shortest = std::min(shortest, delay);
        longest = std::max(longest, delay);
    }
    const Duration span = milliseconds(test.untilMs_ - test.fromMs_);
    BOOST_TEST(shortest >= milliseconds(test.fromMs_));
    BOOST_TEST(longest <= milliseconds(test.untilMs_));
    BOOST_TEST((longest - shortest) * 10 >= span * 9);
}
