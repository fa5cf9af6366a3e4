#include "policy/retrydecision.h"

namespace gypsumcroft {

namespace detail {
namespace {

bool mayRerun(const AttemptSummary &attempt)
{
    if (!attempt.beforeDeadline_ || !attempt.hasRetryBudget_
        || attempt.dispatches_ >= MaxDispatches)
        return false;
    if (attempt.responseStarted_ && attempt.rerunPolicy_ != RerunPolicy::Resume)
        return false;
    if (attempt.outcome_ == AttemptOutcome::NotRun)
        return attempt.possibleRuns_ < attempt.maxAttempts_ || !attempt.earlierAttemptMayHaveRun_;
    return attempt.rerunPolicy_ != RerunPolicy::Never
           && attempt.possibleRuns_ < attempt.maxAttempts_;
}

} // namespace
} // namespace detail

RetryDecision decideRetry(const AttemptSummary &attempt)
{
    if (detail::mayRerun(attempt))
        return RetryDecision::Retry;
    if (attempt.responseStarted_)
        return RetryDecision::Abort;
    if (attempt.outcome_ == AttemptOutcome::ErrorResponse)
        return RetryDecision::ForwardError;
    if (attempt.outcome_ == AttemptOutcome::NotRun && !attempt.earlierAttemptMayHaveRun_)
        return RetryDecision::RefuseNotRun;
    return RetryDecision::FailUnknown;
}

} // namespace gypsumcroft
