//! Capacity limits by rank.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/rankroom.h"

using namespace gypsumcroft;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint Now {std::chrono::seconds(100)};

struct RoomCase
{
    const char *name_;
    RanksPresent present_;
    Rank rank_;
    bool belowMinShare_;
    //! Time since a request of the rank was started; negative for never.
    int startedMsAgo_;
    double limit_;
    //! Work of all ranks since then; the request has 80 tokens.
    std::int64_t startedSince_ = 0;
};

std::ostream &operator<<(std::ostream &out, const RoomCase &test)
{
    return out << test.name_;
}

constexpr RanksPresent All {true, true, true};

const RoomCase RoomCases[] = {
        {"the most urgent rank", All, Rank::Urgent, false, 10, 1.0},
        {"the second rank", All, Rank::Standard, false, 10, 0.93},
        {"the third rank", All, Rank::Background, false, 10, 0.85},
        {"the third rank without the second",
         {true, false, true},
         Rank::Background,
         false,
         10,
         .85},
        {"the second rank is the most urgent one present",
         {false, true, true},
         Rank::Standard,
         false,
         10,
         1.0},
        {"the third rank after the second", {false, true, true}, Rank::Background, false, 10, 0.85},
        {"all requests are of the second rank", {false, true, false}, Rank::Standard, false, 10, 1},
        {"all requests are of the third rank",
         {false, false, true},
         Rank::Background,
         false,
         10,
         1},
        {"a target without routes", {}, Rank::Background, false, 10, 1.0},
        {"a priority that no route has, less urgent than the routes'",
         {true, false, false},
         Rank::Background,
         false,
         10,
         0.85},
        {"below its minimum share", All, Rank::Background, true, 10, 1.0},
        {"its share is not due yet", All, Rank::Background, false, 10, 0.85, 1000},
        {"its share is due", All, Rank::Background, false, 10, 1.0, 1001},
        {"nothing started yet", All, Rank::Background, false, -1, 1.0},
        {"nothing started for nearly two seconds", All, Rank::Standard, false, 1999, 0.93},
        {"nothing started for two seconds", All, Rank::Standard, false, 2000, 1.0},
};

struct RankCase
{
    std::uint32_t priority_;
    Rank rank_;
};

std::ostream &operator<<(std::ostream &out, const RankCase &test)
{
    return out << test.priority_;
}

const RankCase RankCases[] = {{0, Rank::Urgent},
                              {1, Rank::Standard},
                              {2, Rank::Background},
                              {3, Rank::Background},
                              {4'000'000'000, Rank::Background}};

} // namespace

// Without limits less urgent requests fill the endpoints, and urgent ones wait until one of them
// ends. With limits for a rank that nothing more urgent competes with, or for one below its minimum
// share, capacity would stay free while requests wait.
BOOST_DATA_TEST_CASE(lessUrgentRanksLeaveRoom, RoomCases, test)
{
    RankService service;
    service.belowMinShare_ = test.belowMinShare_;
    service.work_ = {80};
    service.startedSince_ = {test.startedSince_};
    if (test.startedMsAgo_ >= 0)
        service.startedAt_ = Now - milliseconds(test.startedMsAgo_);
    BOOST_TEST(maxUtilisation({}, test.present_, test.rank_, service, Now) == test.limit_);
}

// A priority beyond the known ranks must not index past them.
BOOST_DATA_TEST_CASE(prioritiesHaveRanks, RankCases, test)
{
    BOOST_CHECK(rankOf({test.priority_}) == test.rank_);
}
