#include "policy/retrydecision.h"

namespace gypsumcroft {

namespace detail {
namespace {

bool mayRepeat(const AttemptSummary &facts)
{
    if (!facts.beforeDeadline_ || !facts.hasRetryBudget_ || facts.dispatches_ >= MaxDispatches)
        return false;
    if (facts.responseStarted_ && facts.rerunPolicy_ != RerunPolicy::Resume)
        return false;
    if (facts.outcome_ == AttemptOutcome::NotRun)
        return facts.possibleRuns_ < facts.maxAttempts_ || !facts.earlierAttemptMayHaveRun_;
    return facts.rerunPolicy_ != RerunPolicy::Never && facts.possibleRuns_ < facts.maxAttempts_;
}

} // namespace
} // namespace detail

RetryDecision decideRetry(const AttemptSummary &facts)
{
    if (detail::mayRepeat(facts))
        return RetryDecision::Retry;
    if (facts.responseStarted_)
        return RetryDecision::Abort;
    if (facts.outcome_ == AttemptOutcome::ErrorResponse)
        return RetryDecision::ForwardError;
    if (facts.outcome_ == AttemptOutcome::NotRun && !facts.earlierAttemptMayHaveRun_)
        return RetryDecision::RefuseNotRun;
    return RetryDecision::FailUnknown;
}

} // namespace gypsumcroft
