#include "policy/retrydecision.h"

namespace gypsumcroft {

namespace detail {
namespace {

bool mayRepeat(const AttemptFacts &facts)
{
    if (!facts.timeLeft_ || !facts.budgetLeft_ || facts.sends_ >= MaxSends)
        return false;
    if (facts.answerBegun_ && facts.repeat_ != RepeatRule::Resume)
        return false;
    if (facts.ending_ == AttemptEnding::NotRun)
        return facts.runs_ < facts.maxAttempts_ || !facts.earlierMayHaveRun_;
    return facts.repeat_ != RepeatRule::Never && facts.runs_ < facts.maxAttempts_;
}

} // namespace
} // namespace detail

NextStep nextStep(const AttemptFacts &facts)
{
    if (detail::mayRepeat(facts))
        return NextStep::SendAgain;
    if (facts.answerBegun_)
        return NextStep::BreakOff;
    if (facts.ending_ == AttemptEnding::FailureAnswer)
        return NextStep::PassFailure;
    if (facts.ending_ == AttemptEnding::NotRun && !facts.earlierMayHaveRun_)
        return NextStep::RefuseNotRun;
    return NextStep::FailUnknown;
}

} // namespace gypsumcroft
