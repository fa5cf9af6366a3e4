#include "policy/retry.h"

#include <algorithm>

namespace gypsumcroft {

void countSuccess(RetryBudget &budget, const RetryLimits &limits)
{
    budget.tokens_ = std::min(limits.budgetMaximum_, budget.tokens_ + limits.budgetPerSuccess_);
}

bool takeRetry(RetryBudget &budget, const RetryLimits &limits, std::uint32_t attemptsMade,
               TimePoint deadline, TimePoint now)
{
    if (attemptsMade >= limits.maxAttempts_ || now >= deadline || budget.tokens_ < 1)
        return false;
    budget.tokens_ -= 1;
    return true;
}

Duration retryDelay(const RetryLimits &limits, std::uint32_t attemptsMade, Random &random)
{
    constexpr std::uint32_t MaxDoublings = 16;
    const std::uint32_t doublings = std::min(attemptsMade, MaxDoublings);
    const Duration maxDelay = std::min(limits.maxDelay_, limits.baseDelay_ * (1U << doublings));
    return Duration(1
                    + static_cast<std::int64_t>(
                            randomBelow(random, static_cast<std::uint64_t>(maxDelay.count()))));
}

} // namespace gypsumcroft
