#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "policy/endpointhealth.h"
#include "policy/endpointpause.h"
#include "policy/leastload.h"
#include "policy/patience.h"
#include "policy/retrydecision.h"
#include "policy/retryshare.h"

using namespace gypsumcroft;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(Duration since)
{
    return TimePoint(seconds(1000) + since);
}

struct StepCase
{
    const char *name_;
    AttemptSummary facts_;
    RetryDecision next_;
};

std::ostream &operator<<(std::ostream &out, const StepCase &test)
{
    return out << test.name_;
}

//! Rerun policy, outcome, response started, earlier attempt may have run, attempts that may have
//! run, max attempts, before deadline, retry budget available, dispatches.
const StepCase StepCases[] = {
        {"not run: retried even if it must not be repeated",
         {RerunPolicy::Never, AttemptOutcome::NotRun, false, false, 0, 2, true, true, 1},
         RetryDecision::Retry},
        {"not run, deadline reached",
         {RerunPolicy::Never, AttemptOutcome::NotRun, false, false, 0, 2, false, true, 1},
         RetryDecision::RefuseNotRun},
        {"not run, no retry budget",
         {RerunPolicy::Never, AttemptOutcome::NotRun, false, false, 0, 2, true, false, 1},
         RetryDecision::RefuseNotRun},
        {"not run, too many dispatches",
         {RerunPolicy::Never, AttemptOutcome::NotRun, false, false, 0, 2, true, true,
          MaxDispatches},
         RetryDecision::RefuseNotRun},
        {"may have run, must not be repeated",
         {RerunPolicy::Never, AttemptOutcome::Unknown, false, false, 1, 2, true, true, 1},
         RetryDecision::FailUnknown},
        {"not run, but an earlier attempt may have run",
         {RerunPolicy::FromStart, AttemptOutcome::NotRun, false, true, 1, 2, false, true, 2},
         RetryDecision::FailUnknown},
        {"may have run, repeatable",
         {RerunPolicy::FromStart, AttemptOutcome::Unknown, false, false, 1, 2, true, true, 1},
         RetryDecision::Retry},
        {"may have run, no attempts left",
         {RerunPolicy::FromStart, AttemptOutcome::Unknown, false, true, 2, 2, true, true, 2},
         RetryDecision::FailUnknown},
        {"error response, repeatable",
         {RerunPolicy::FromStart, AttemptOutcome::ErrorResponse, false, false, 1, 2, true, true, 1},
         RetryDecision::Retry},
        {"error response, no attempts left",
         {RerunPolicy::FromStart, AttemptOutcome::ErrorResponse, false, true, 2, 2, true, true, 2},
         RetryDecision::ForwardError},
        {"error response, must not be repeated",
         {RerunPolicy::Never, AttemptOutcome::ErrorResponse, false, false, 1, 2, true, true, 1},
         RetryDecision::ForwardError},
        {"incomplete stream, resumable",
         {RerunPolicy::Resume, AttemptOutcome::Unknown, true, false, 1, 2, true, true, 1},
         RetryDecision::Retry},
        {"incomplete stream, not resumable",
         {RerunPolicy::FromStart, AttemptOutcome::Unknown, true, false, 1, 2, true, true, 1},
         RetryDecision::Abort},
        {"resumed stream incomplete, no attempts left",
         {RerunPolicy::Resume, AttemptOutcome::Unknown, true, true, 2, 2, true, true, 2},
         RetryDecision::Abort},
        {"resumption not run: retried",
         {RerunPolicy::Resume, AttemptOutcome::NotRun, true, true, 1, 2, true, true, 2},
         RetryDecision::Retry},
};

struct ChoiceCase
{
    const char *name_;
    std::vector<ServiceNode> nodes_;
    int index_;
    std::int64_t free_;
};

std::ostream &operator<<(std::ostream &out, const ChoiceCase &test)
{
    return out << test.name_;
}

//! Index, load, slots, same domain, cooling down.
const ChoiceCase ChoiceCases[] = {
        {"no nodes", {}, -1, 0},
        {"lowest load", {{0, 3, 6, true, false}, {1, 1, 6, false, false}}, 1, 5},
        {"lowest load per slot", {{0, 3, 6, false, false}, {1, 4, 12, false, false}}, 1, 8},
        {"same domain on a tie", {{0, 2, 6, false, false}, {1, 2, 6, true, false}}, 1, 4},
        {"not a node that is cooling down", {{0, 0, 6, true, true}, {1, 6, 6, false, false}}, 1, 0},
        {"all nodes are cooling down", {{0, 1, 6, true, true}, {1, 6, 6, false, true}}, 0, 5},
        {"more requests than slots", {{0, 9, 6, true, false}}, 0, -3},
};

struct CooldownCase
{
    const char *name_;
    std::uint32_t failures_;
    Duration since_;
    bool coolingDown_;
};

std::ostream &operator<<(std::ostream &out, const CooldownCase &test)
{
    return out << test.name_;
}

const CooldownCase CooldownCases[] = {
        {"no failure", 0, milliseconds(0), false},
        {"one failure, before the cooldown ends", 1, milliseconds(499), true},
        {"one failure, cooldown over", 1, milliseconds(500), false},
        {"two failures, doubled cooldown", 2, milliseconds(999), true},
        {"many failures, maximum cooldown over", 20, milliseconds(4000), false},
        {"many failures, before the maximum cooldown ends", 20, milliseconds(3999), true},
};

} // namespace

BOOST_DATA_TEST_CASE(retryDecisionFollowsTheAttempt, StepCases, test)
{
    BOOST_TEST(static_cast<int>(decideRetry(test.facts_)) == static_cast<int>(test.next_));
}

BOOST_AUTO_TEST_CASE(requestsThatMayHaveRunAreNeitherRepeatedNorDenied)
{
    BOOST_TEST(rc::check("no repeat against the policy, no false report of not run", [] {
        AttemptSummary facts;
        facts.rerunPolicy_ = *rc::gen::element(RerunPolicy::Never, RerunPolicy::FromStart,
                                               RerunPolicy::Resume);
        facts.outcome_ = *rc::gen::element(AttemptOutcome::NotRun, AttemptOutcome::Unknown,
                                           AttemptOutcome::ErrorResponse);
        facts.responseStarted_ = *rc::gen::arbitrary<bool>();
        facts.earlierAttemptMayHaveRun_ = facts.responseStarted_ || *rc::gen::arbitrary<bool>();
        facts.maxAttempts_ = *rc::gen::inRange<std::uint32_t>(1, 4);
        facts.possibleRuns_ = *rc::gen::inRange<std::uint32_t>(
                facts.outcome_ == AttemptOutcome::NotRun ? 0 : 1, 5);
        facts.beforeDeadline_ = *rc::gen::arbitrary<bool>();
        facts.hasRetryBudget_ = *rc::gen::arbitrary<bool>();
        facts.dispatches_ = *rc::gen::inRange<std::uint32_t>(1, 8);
        const bool mayHaveRun
                = facts.earlierAttemptMayHaveRun_ || facts.outcome_ != AttemptOutcome::NotRun;
        const RetryDecision next = decideRetry(facts);
        if (next == RetryDecision::RefuseNotRun)
            RC_ASSERT(!mayHaveRun);
        if (next == RetryDecision::Retry) {
            RC_ASSERT(facts.beforeDeadline_ && facts.hasRetryBudget_);
            RC_ASSERT(!mayHaveRun || facts.possibleRuns_ < facts.maxAttempts_);
            RC_ASSERT(facts.outcome_ == AttemptOutcome::NotRun
                      || facts.rerunPolicy_ != RerunPolicy::Never);
            RC_ASSERT(!facts.responseStarted_ || facts.rerunPolicy_ == RerunPolicy::Resume);
        }
        if (facts.responseStarted_)
            RC_ASSERT(next == RetryDecision::Retry || next == RetryDecision::Abort);
    }));
}

BOOST_DATA_TEST_CASE(leastLoadedIsChosen, ChoiceCases, test)
{
    const auto choice = chooseLeastLoaded(test.nodes_);
    BOOST_TEST((choice ? static_cast<int>(choice->index_) : -1) == test.index_);
    if (choice)
        BOOST_TEST(choice->freeSlots_ == test.free_);
}

BOOST_DATA_TEST_CASE(failedEndpointsCoolDown, CooldownCases, test)
{
    EndpointHealth health;
    for (std::uint32_t i = 0; i < test.failures_; ++i)
        countFailure(health, {}, at({}));
    BOOST_TEST(isCoolingDown(health, at(test.since_)) == test.coolingDown_);
    countSuccess(health);
    BOOST_TEST(!isCoolingDown(health, at(test.since_)));
}

// Compares with a single counter for all gateways: the retries of all gateways together never
// exceed the budget of any window.
BOOST_AUTO_TEST_CASE(retrySharesStayWithinTheBudget)
{
    BOOST_TEST(rc::check("gateways that know how many they are stay within the common budget", [] {
        const RetryShareLimits limits {0.2, 30, seconds(10)};
        const auto gatewayCount = *rc::gen::inRange<std::uint32_t>(1, 7);
        std::vector<RetryShare> shares(gatewayCount);
        std::vector<std::pair<Duration, bool>> events;
        Duration now {};
        for (int i = 0; i < 600; ++i) {
            now += milliseconds(*rc::gen::inRange(0, 100));
            RetryShare &share = shares[*rc::gen::inRange<std::size_t>(0, gatewayCount)];
            const bool retry = *rc::gen::inRange(0, 2) == 1;
            if (retry) {
                if (takeRetry(share, limits, gatewayCount, at(now)))
                    events.emplace_back(now, true);
            } else {
                countRequest(share, limits, at(now));
                events.emplace_back(now, false);
            }
        }
        for (std::size_t start = 0; start < events.size(); start += 7) {
            double requests = 0;
            double retries = 0;
            for (const auto &[time, retry] : events) {
                const Duration since = time - events[start].first;
                // Includes the requests of half a window before, which the shares may still count.
                if (retry && since >= Duration() && since < limits.window_)
                    ++retries;
                if (!retry && since >= -limits.window_ / 2 && since < limits.window_)
                    ++requests;
            }
            RC_ASSERT(retries <= limits.ratio_ * requests + limits.slack_);
        }
    }));
}

namespace {

struct PauseCase
{
    const char *name_;
    std::int64_t requestedMs_;
    std::int64_t leastMs_;
    std::int64_t mostMs_;
};

std::ostream &operator<<(std::ostream &out, const PauseCase &test)
{
    return out << test.name_;
}

const PauseCase PauseCases[] = {
        {"none", 0, 0, 0},
        {"negative", -5, 0, 0},
        {"short: spread over a quarter", 400, 400, 500},
        {"long: spread over a second", 20'000, 20'000, 21'000},
        {"longer than the limit", 3'600'000, 600'000, 601'000},
};

} // namespace

// 68 gateways that were told the same time neither come back early nor all together.
BOOST_DATA_TEST_CASE(pausesAreSpread, PauseCases, test)
{
    std::set<std::int64_t> ends;
    for (std::uint64_t gateway = 0; gateway < 68; ++gateway) {
        Random random {gateway};
        const Duration pause = pauseTime(std::chrono::milliseconds(test.requestedMs_), {}, random);
        BOOST_TEST(pause >= std::chrono::milliseconds(test.leastMs_));
        BOOST_TEST(pause <= std::chrono::milliseconds(test.mostMs_));
        ends.insert(pause.count());
    }
    BOOST_TEST(ends.size() >= (test.leastMs_ == 0 ? 1U : 60U));
}

namespace {

struct PatienceCase
{
    int latencyTargetMs_;
    int eventGapTargetMs_;
    int patienceMs_;
};

std::ostream &operator<<(std::ostream &out, const PatienceCase &test)
{
    return out << test.latencyTargetMs_ << " ms, gaps " << test.eventGapTargetMs_ << " ms";
}

const PatienceCase PatienceCases[] = {
        {0, 0, 2000},     {400, 250, 2000},  {500, 250, 2000},
        {500, 300, 2400}, {1200, 300, 4800}, {100, 1000, 8000},
};

} // namespace

BOOST_DATA_TEST_CASE(patienceFollowsTheTargets, PatienceCases, test)
{
    BOOST_TEST((streamPatience(milliseconds(test.latencyTargetMs_),
                               milliseconds(test.eventGapTargetMs_))
                == Duration(milliseconds(test.patienceMs_))));
}
