// Ranks when capacity is below demand: limits by rank, refusals on arrival and returning callers.

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "rankfleet.h"

using namespace gypsumcroft;
using namespace gypsumcroft::rankfleet;

namespace {

//! Streams of each rank that began in a time, as a part of all that began.
std::array<double, RankCount> startedShares(const Fleet &fleet, int fromMs, int untilMs)
{
    std::array<double, RankCount> shares {};
    double total = 0;
    for (const auto &[id, call] : fleet.calls_) {
        if (call.firstEventMs_ < fromMs || call.firstEventMs_ >= untilMs)
            continue;
        ++shares.at(call.rank_);
        ++total;
    }
    for (double &share : shares)
        share /= total;
    return shares;
}

//! Part of a rank's requests of a time that began within their latency target.
double inTime(const Fleet &fleet, std::size_t rank, int fromMs, int untilMs)
{
    double sent = 0;
    double served = 0;
    for (const auto &[id, call] : fleet.calls_) {
        if (call.rank_ != rank || call.sentMs_ < fromMs || call.sentMs_ >= untilMs)
            continue;
        ++sent;
        const bool isInTime
                = call.firstEventMs_ >= 0
                  && call.firstEventMs_ - call.sentMs_ <= Kinds.at(rank).latencyTargetMs_;
        served += isInTime ? 1 : 0;
    }
    return sent > 0 ? served / sent : 1;
}

constexpr std::array<double, RankCount> Calm {0.39 * Capacity, 0.26 * Capacity, 0.15 * Capacity};
constexpr std::array<double, RankCount> Crowded {0.85 * Capacity, 0.4 * Capacity, 0.3 * Capacity};

const FleetCase ShareCases[] = {
        {"one gateway", 1, {{0, Calm}, {2000, Crowded}}, 12000},
        {"six gateways", 6, {{0, Calm}, {2000, Crowded}}, 12000},
        {"24 gateways that get few requests", 24, {{0, Calm}, {2000, Crowded}}, 12000},
        {"24 gateways, crowded from the start", 24, {{0, Crowded}}, 12000},
};

constexpr std::array<double, RankCount> Flooded {0.39 * Capacity, 0.26 * Capacity, Capacity};

struct FloodCase
{
    FleetCase fleet_;
    //! Least part of the most urgent requests that begin in time. With many gateways each knows
    //! little of the load, and their limits come apart.
    double leastInTime_;
};

std::ostream &operator<<(std::ostream &out, const FloodCase &test)
{
    return out << test.fleet_;
}

const FloodCase FloodCases[] = {
        {{"one gateway", 1, {{0, Calm}, {2000, Flooded}}, 10000}, 0.99},
        {{"six gateways", 6, {{0, Calm}, {2000, Flooded}}, 10000}, 0.97},
        {{"24 gateways that get few requests", 24, {{0, Calm}, {2000, Flooded}}, 10000}, 0.8},
};

//! A flood of the least urgent kind for six seconds, and within it of the most urgent kind.
constexpr int FloodFromMs = 2000;
constexpr int FloodUntilMs = 8000;
constexpr std::array<double, RankCount> Third {0.39 * Capacity, 0.26 * Capacity, 0.375 * Capacity};
constexpr std::array<double, RankCount> Both {0.741 * Capacity, 0.26 * Capacity, 0.375 * Capacity};
const std::vector<Load> TwoFloods
        = {{0, Calm}, {FloodFromMs, Third}, {4000, Both}, {7500, Third}, {FloodUntilMs, Calm}};

const FleetCase TwoFloodCases[] = {
        {"one gateway", 1, TwoFloods, 16000},
        {"six gateways", 6, TwoFloods, 16000},
        {"24 gateways that get few requests", 24, TwoFloods, 16000},
};

const FleetCase CalmCases[] = {
        {"one gateway", 1, {{0, Calm}}, 8000},
        {"six gateways", 6, {{0, Calm}}, 8000},
        {"24 gateways that get few requests", 24, {{0, Calm}}, 8000},
};

//! Benefit of a rank's requests of the flood: 1 for a stream that begins in time, less for a late
//! one, as a part of all of them.
double benefit(const Fleet &fleet, std::size_t rank)
{
    constexpr double LateValue = 0.3;
    double sent = 0;
    double value = 0;
    for (const auto &[id, call] : fleet.calls_) {
        if (call.rank_ != rank || call.sentMs_ < FloodFromMs || call.sentMs_ >= FloodUntilMs)
            continue;
        ++sent;
        if (call.firstEventMs_ >= 0)
            value += call.firstEventMs_ - call.sentMs_ <= Kinds.at(rank).latencyTargetMs_
                             ? 1
                             : LateValue;
    }
    return value / sent;
}

//! Part of the callers that came back whose stream began.
double servedOfReturned(const Fleet &fleet)
{
    double returned = 0;
    double served = 0;
    for (const auto &[id, call] : fleet.calls_) {
        returned += call.retried_ ? 1 : 0;
        served += call.retried_ && call.firstEventMs_ >= 0 ? 1 : 0;
    }
    return returned > 0 ? served / returned : 1;
}

std::size_t refusedOnArrival(const Fleet &fleet)
{
    std::size_t count = 0;
    for (const SeenRefusal &refusal : fleet.refusals_)
        count += refusal.onArrival_ ? 1 : 0;
    return count;
}

} // namespace

// A rank that the limit keeps from the endpoints while more urgent requests fill them must not stay
// locked out, however few requests a gateway gets and of whatever rank: the least urgent one is to
// keep about 0.08.
BOOST_DATA_TEST_CASE(leastUrgentRankKeepsItsMinimumShare, ShareCases, test)
{
    constexpr double LeastShare = 0.07;
    const Fleet fleet = play(test);
    const auto shares = startedShares(fleet, 4000, 12000);
    BOOST_TEST_MESSAGE(test << ": shares " << shares[0] << " " << shares[1] << " " << shares[2]
                            << ", rejected " << fleet.rejected_ << ", " << refusalsText(fleet));
    BOOST_TEST(shares[2] >= LeastShare);
}

// A flood of the least urgent kind fills the endpoints, and without limits by rank urgent requests
// that could all be served wait for the end of one of its streams.
BOOST_DATA_TEST_CASE(floodOfLeastUrgentRankLeavesRoom, FloodCases, test)
{
    const Fleet fleet = play(test.fleet_);
    const std::array<double, RankCount> parts {inTime(fleet, 0, 2000, 9000),
                                               inTime(fleet, 1, 2000, 9000),
                                               inTime(fleet, 2, 2000, 9000)};
    BOOST_TEST_MESSAGE(test << ": in time " << parts[0] << " " << parts[1] << " " << parts[2]
                            << ", rejected " << fleet.rejected_ << ", " << refusalsText(fleet));
    BOOST_TEST(parts[0] >= test.leastInTime_);
    BOOST_TEST(parts[0] >= parts[1]);
    BOOST_TEST(parts[1] >= parts[2]);
}

// An urgent kind that is served worse than a less urgent one, although the fleet could serve all of
// the urgent one; a least urgent kind that gets nothing while the others use all capacity.
BOOST_DATA_TEST_CASE(benefitFollowsTheOrderOfRanks, TwoFloodCases, test)
{
    constexpr double LeastShare = 0.07;
    const Fleet fleet = play(test);
    const std::array<double, RankCount> benefits {benefit(fleet, 0), benefit(fleet, 1),
                                                  benefit(fleet, 2)};
    const auto shares = startedShares(fleet, 4500, 7500);
    BOOST_TEST_MESSAGE(test << ": benefit " << benefits[0] << " " << benefits[1] << " "
                            << benefits[2] << ", shares in both floods " << shares[0] << " "
                            << shares[1] << " " << shares[2] << ", rejected " << fleet.rejected_
                            << ", " << refusalsText(fleet) << ", served of returned "
                            << servedOfReturned(fleet));
    BOOST_TEST(benefits[0] >= benefits[1]);
    BOOST_TEST(benefits[1] >= benefits[2]);
    BOOST_TEST(shares[2] >= LeastShare);
}

// A refusal by the fleet's figures while there is room for the request, and one that is not given
// at once.
BOOST_DATA_TEST_CASE(refusalsOnArrivalAreForWantOfRoom, TwoFloodCases, test)
{
    const Fleet fleet = play(test);
    const RankRoomLimits limits;
    double leastFill = 1;
    for (const SeenRefusal &refusal : fleet.refusals_) {
        if (!refusal.onArrival_)
            continue;
        leastFill = std::min(leastFill, refusal.fill_ / limits.maxUtilisation_.at(refusal.rank_));
        BOOST_TEST(refusal.waitedMs_ <= GatewayTickInterval / milliseconds(1));
    }
    BOOST_TEST_MESSAGE(test << ": least part of the rank's room in use " << leastFill);
    BOOST_TEST(leastFill >= 0.9);
}

// Refusals of a fleet that has capacity for everything.
BOOST_DATA_TEST_CASE(nothingIsRefusedOnArrivalWhileCalm, CalmCases, test)
{
    const Fleet fleet = play(test);
    BOOST_TEST_MESSAGE(test << ": " << refusalsText(fleet));
    BOOST_TEST(refusedOnArrival(fleet) == 0U);
}

// Callers that are told to come back while there is still no capacity are refused again.
BOOST_DATA_TEST_CASE(returningCallersAreServedBetter, TwoFloodCases, test)
{
    constexpr std::uint64_t Seeds = 8;
    double told = 0;
    double atOnce = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        FleetCase played = test;
        played.seed_ = seed;
        told += servedOfReturned(play(played)) / Seeds;
        played.constantRetryAfter_ = milliseconds(400);
        atOnce += servedOfReturned(play(played)) / Seeds;
    }
    BOOST_TEST_MESSAGE(test << ": served of returned " << told << ", after 0.4 s " << atOnce);
    BOOST_TEST(told > atOnce);
}
