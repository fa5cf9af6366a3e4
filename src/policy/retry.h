//! Limits retries by the number of attempts, the deadline and a budget that successes refill.
#pragma once

#include <cstdint>

#include "core/random.h"
#include "core/units.h"

namespace gypsumcroft {

//! Number of retries available. A success adds a fraction of one, a retry takes one.
struct RetryBudget
{
    double tokens_ = 10;
};

struct RetryLimits
{
    std::uint32_t maxAttempts_ = 4;
    double budgetPerSuccess_ = 0.1;
    double budgetMaximum_ = 50;
    Duration baseDelay_ = std::chrono::milliseconds(20);
    Duration maxDelay_ = std::chrono::milliseconds(500);
};

void countSuccess(RetryBudget &budget, const RetryLimits &limits);

//! Takes one retry from the budget if attempts, deadline and budget allow it.
bool takeRetry(RetryBudget &budget, const RetryLimits &limits, std::uint32_t attemptsMade,
               TimePoint deadline, TimePoint now);

//! Exponential backoff with full jitter before attempt attemptsMade + 1.
Duration retryDelay(const RetryLimits &limits, std::uint32_t attemptsMade, Random &random);

} // namespace gypsumcroft
