//! Dispatch windows, admission, retries, suspect requests, subsets and shutdown times.
#include <set>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/admission.h"
#include "policy/loopwindow.h"
#include "policy/retry.h"
#include "policy/stopplan.h"
#include "policy/subset.h"
#include "policy/suspects.h"
#include "policy/window.h"

using namespace gypsumcroft;

namespace {

constexpr TimePoint Start {std::chrono::seconds(100)};

struct AdmissionCase
{
    const char *name_;
    double tokensPerSecond_;
    bool known_;
    std::int64_t ahead_;
    std::int64_t timeoutMs_;
    bool admitted_;
    std::int64_t waitMs_;
};

const AdmissionCase AdmissionCases[] = {
        {"rate unknown", 0, false, 100000, 10, true, 0},
        {"nothing ahead", 100, true, 0, 10, true, 0},
        {"within the timeout and below the margin", 100, true, 180, 2000, true, 1800},
        {"exactly at the margin", 100, true, 185, 2000, true, 1850},
        {"within the margin", 100, true, 190, 2000, false, 1900},
        {"beyond the timeout", 100, true, 300, 2000, false, 3000},
        {"half of a short timeout", 1000, true, 100, 200, true, 100},
        {"beyond half of a short timeout", 1000, true, 110, 200, false, 110},
};

std::ostream &operator<<(std::ostream &out, const AdmissionCase &test)
{
    return out << test.name_;
}

struct RetryCase
{
    const char *name_;
    double budget_;
    std::uint32_t attempts_;
    Duration untilDeadline_;
    bool allowed_;
};

const RetryCase RetryCases[] = {
        {"first retry", 5, 1, std::chrono::seconds(1), true},
        {"attempts used up", 5, 4, std::chrono::seconds(1), false},
        {"deadline passed", 5, 1, Duration::zero(), false},
        {"budget empty", 0.5, 1, std::chrono::seconds(1), false},
};

std::ostream &operator<<(std::ostream &out, const RetryCase &test)
{
    return out << test.name_;
}

struct Death
{
    const char *endpoint_;
    const char *domain_;
    int atMs_;
    bool inFlight_;
};

struct SuspectCase
{
    const char *name_;
    std::vector<Death> deaths_;
    QuarantineStatus guilt_;
};

const SuspectCase SuspectCases[] = {
        {"no deaths", {}, QuarantineStatus::None},
        {"one death", {{"a", "x", 0, true}}, QuarantineStatus::Suspected},
        {"deaths of two endpoints",
         {{"a", "x", 0, true}, {"b", "y", 500, true}},
         QuarantineStatus::Quarantined},
        {"same death reported twice",
         {{"a", "x", 0, true}, {"a", "x", 100, true}},
         QuarantineStatus::Suspected},
        {"not in flight at the second death",
         {{"a", "x", 0, true}, {"b", "y", 500, false}},
         QuarantineStatus::Suspected},
        {"outage of a domain",
         {{"a", "x", 0, true}, {"b", "x", 100, true}, {"c", "x", 200, false}},
         QuarantineStatus::None},
        {"outage of a domain and a death elsewhere",
         {{"a", "x", 0, true},
          {"b", "x", 100, true},
          {"c", "x", 200, true},
          {"d", "y", 9000, true}},
         QuarantineStatus::Suspected},
};

std::ostream &operator<<(std::ostream &out, const SuspectCase &test)
{
    return out << test.name_;
}

} // namespace

BOOST_DATA_TEST_CASE(admissionComparesWaitWithTimeout, AdmissionCases)
{
    DrainRate rate;
    rate.tokensPerSecond_ = sample.tokensPerSecond_;
    rate.known_ = sample.known_;
    const auto verdict
            = admit(rate, {sample.ahead_}, {}, std::chrono::milliseconds(sample.timeoutMs_));
    BOOST_TEST(verdict.admitted_ == sample.admitted_);
    BOOST_TEST(verdict.expectedWait_.count() == sample.waitMs_ * 1000);
    BOOST_TEST((verdict.retryAfter_ > Duration::zero()) == !sample.admitted_);
}

BOOST_DATA_TEST_CASE(retriesAreBounded, RetryCases)
{
    RetryBudget budget {sample.budget_};
    BOOST_TEST(takeRetry(budget, {}, sample.attempts_, Start + sample.untilDeadline_, Start)
               == sample.allowed_);
    BOOST_TEST(budget.tokens_ == sample.budget_ - (sample.allowed_ ? 1 : 0));
}

BOOST_AUTO_TEST_CASE(retryDelaysStayWithinTheirBounds)
{
    Random random {7};
    const RetryLimits limits;
    for (std::uint32_t attempts = 0; attempts < 40; ++attempts) {
        const Duration delay = retryDelay(limits, attempts, random);
        BOOST_TEST(delay.count() > 0);
        BOOST_TEST((delay <= limits.maxDelay_ + Duration(1)));
    }
}

BOOST_DATA_TEST_CASE(windowGrowsToTheSlotsAndShrinksOnceAnInterval,
                     boost::unit_test::data::xrange(RankCount), index)
{
    const Rank rank = AllRanks[index];
    DispatchWindow window;
    const double &size = window.sizes_[index];
    for (int i = 0; i < 20; ++i)
        growWindow(window, rank, {8});
    BOOST_TEST(size == 8);
    window.outstanding_ = 7;
    BOOST_TEST(hasCapacity(window, rank));
    window.outstanding_ = 8;
    BOOST_TEST(!hasCapacity(window, rank));
    shrinkWindow(window, rank, Start);
    const double once = size;
    shrinkWindow(window, rank, Start + Duration(1));
    BOOST_TEST(size == once);
    for (int i = 0; i < 50; ++i)
        shrinkWindow(window, rank, Start + std::chrono::seconds(i + 1));
    BOOST_TEST(size == 1);
}

struct WindowCase
{
    const char *name_;
    Rank busy_;
    std::array<bool, RankCount> hasCapacity_;
};

std::ostream &operator<<(std::ostream &out, const WindowCase &row)
{
    return out << row.name_;
}

const WindowCase WindowCases[] = {
        {"background busy", Rank::Background, {true, true, false}},
        {"standard busy", Rank::Standard, {true, false, false}},
        {"urgent busy", Rank::Urgent, {false, false, false}},
};

BOOST_DATA_TEST_CASE(busyShrinksTheWindowOfTheRankAndThoseBelow,
                     boost::unit_test::data::make(WindowCases), row)
{
    DispatchWindow window = makeWindow(8);
    window.outstanding_ = 7;
    shrinkWindow(window, row.busy_, Start);
    for (const Rank rank : AllRanks)
        BOOST_TEST(hasCapacity(window, rank) == row.hasCapacity_[static_cast<std::size_t>(rank)]);
}

BOOST_DATA_TEST_CASE(quarantineNeedsTwoEndpoints, SuspectCases)
{
    SuspectRequests suspects;
    const Fingerprint fingerprint {42};
    for (const Death &death : sample.deaths_) {
        const EndpointDeath record {
                {death.endpoint_}, {death.domain_}, Start + std::chrono::milliseconds(death.atMs_)};
        if (death.inFlight_)
            recordSuspicion(suspects, fingerprint, record);
        else
            recordEndpointDeath(suspects, record);
    }
    const TimePoint later = Start + std::chrono::seconds(10);
    BOOST_TEST((quarantineStatus(suspects, fingerprint, later) == sample.guilt_));
    SuspectRequests peer;
    mergeSuspects(peer, reportSuspects(suspects, 10, later), later);
    if (sample.guilt_ == QuarantineStatus::Quarantined)
        BOOST_TEST((quarantineStatus(peer, fingerprint, later) == QuarantineStatus::Quarantined));
    liftQuarantine(suspects, fingerprint, later);
    BOOST_TEST((quarantineStatus(suspects, fingerprint, later) == QuarantineStatus::None));
    expireSuspects(suspects, later + std::chrono::hours(1));
    BOOST_TEST(suspects.entries_.empty());
    BOOST_TEST(suspects.recentDeaths_.empty());
}

BOOST_AUTO_TEST_CASE(rendezvousMovesOnlyTheKeysOfALostMember)
{
    std::vector<EndpointId> members;
    members.reserve(10);
    for (int i = 0; i < 10; ++i)
        members.push_back({"m" + std::to_string(i)});
    std::vector<EndpointId> fewer(members.begin(), members.end() - 1);
    int moved = 0;
    for (std::uint64_t key = 0; key < 1000; ++key) {
        const auto before = rendezvous(key, members);
        const auto after = rendezvous(key, fewer);
        if (before->value_ != "m9")
            BOOST_TEST((*before == *after));
        else
            ++moved;
    }
    BOOST_TEST(moved > 50);
    BOOST_TEST(moved < 200);
    BOOST_TEST(!rendezvous(1, {}).has_value());
}

BOOST_AUTO_TEST_CASE(subsetsSpreadOverFailureDomains)
{
    std::vector<SubsetMember> members;
    members.reserve(300);
    for (int i = 0; i < 300; ++i)
        members.push_back({{"e" + std::to_string(i)}, {"d" + std::to_string(i % 9)}});
    const auto subset = pickSubset({"entry-1"}, members, 27);
    BOOST_TEST(subset.size() == 27U);
    std::map<std::string, int> perDomain;
    std::set<std::string> distinct;
    for (const EndpointId &endpoint : subset) {
        ++perDomain["d" + std::to_string(std::stoi(endpoint.value_.substr(1)) % 9)];
        distinct.insert(endpoint.value_);
    }
    BOOST_TEST(distinct.size() == 27U);
    for (const auto &[domain, count] : perDomain)
        BOOST_TEST(count == 3);
    BOOST_TEST((subset == pickSubset({"entry-1"}, members, 27)));
}

namespace {

//! The load balancer stops sending callers here after two failed probes, one a second.
constexpr Duration BalancerNoticeTime = std::chrono::seconds(2);
//! Requests that are sent later than this after the signal must not be aborted. They need some time
//! to arrive.
constexpr Duration LastThatMayBeAborted = std::chrono::seconds(3);
constexpr Duration RequestTransitTime = std::chrono::milliseconds(150);

struct StopPlanCase
{
    int graceMs_;
    int acceptForMs_;
    int abortAfterMs_;
};

std::ostream &operator<<(std::ostream &out, const StopPlanCase &test)
{
    return out << "grace " << test.graceMs_ << " ms";
}

const StopPlanCase StopPlanCases[] = {
        {1000, 500, 500},   {4000, 2000, 3500},   {5600, 2800, 5100},
        {8000, 2800, 7500}, {30000, 2800, 29500},
};

} // namespace

// Guards against aborting requests that were sent after the balancer must have noticed the stop:
// one that was accepted 3.1 s after the signal was aborted.
BOOST_DATA_TEST_CASE(requestsAreAcceptedUntilTheBalancerNotices, StopPlanCases, test)
{
    const Duration grace = std::chrono::milliseconds(test.graceMs_);
    const StopPlan plan = planStop(grace, Start);
    BOOST_TEST((plan.acceptUntil_ - Start == std::chrono::milliseconds(test.acceptForMs_)));
    BOOST_TEST((plan.abortAt_ - Start == std::chrono::milliseconds(test.abortAfterMs_)));
    BOOST_TEST((plan.acceptUntil_ - Start <= LastThatMayBeAborted - RequestTransitTime));
    BOOST_TEST((plan.acceptUntil_ - Start >= std::min(BalancerNoticeTime, grace / 2)));
}

namespace {

//! Ticks of a loop, and the window of requests in progress after them; -1: no limit.
struct LoopWindowCase
{
    const char *name_;
    //! How late each tick is.
    std::vector<int> delaysMs_;
    std::size_t inProgress_;
    double before_;
    double after_;
};

std::ostream &operator<<(std::ostream &out, const LoopWindowCase &test)
{
    return out << test.name_;
}

const std::vector<int> OnTime(8, 1);
const std::vector<int> Late(8, 30);

const LoopWindowCase LoopWindowCases[] = {
        {"a loop that keeps up", OnTime, 100, -1, -1},
        {"one hold-up", {0, 0, 0, 2000, 0, 0, 0, 0}, 100, -1, -1},
        {"two late ticks of eight", {0, 30, 0, 0, 30, 0, 0, 0}, 100, -1, -1},
        {"every other tick is late", {0, 30, 0, 30, 0, 30, 0, 30}, 100, -1, 80},
        {"a late loop", Late, 100, -1, 80},
        {"a late loop with few requests", Late, 5, -1, 8},
        {"a late loop with more in progress than the window", Late, 100, 60, 48},
        {"a late loop with less in progress than the window", Late, 50, 60, 40},
        {"a loop that keeps up with a full window", OnTime, 60, 60, 66},
        {"a loop that keeps up with half of its window", OnTime, 30, 60, 66},
        {"a loop that keeps up with less than that", OnTime, 29, 60, -1},
};

} // namespace

BOOST_DATA_TEST_CASE(windowFollowsTheDelayOfTheLoop, LoopWindowCases, test)
{
    constexpr std::chrono::milliseconds TickInterval {25};
    LoopWindow window;
    window.adjustedAt_ = Start;
    if (test.before_ >= 0)
        window.size_ = test.before_;
    TimePoint now = Start;
    for (const int delayMs : test.delaysMs_) {
        now += TickInterval;
        adjustWindow(window, {}, std::chrono::milliseconds(delayMs), test.inProgress_, now);
    }
    BOOST_TEST(window.size_.value_or(-1) == test.after_, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(hasRoom(window, 7) == true);
    BOOST_TEST(hasRoom(window, 1000) == (test.after_ < 0));
}
