//! This gateway's share of a retry budget over all gateways, enforced without coordinating each
//! retry.
#pragma once

#include <array>
#include <cstdint>

#include "core/units.h"

namespace gypsumcroft {

//! Limits of the budget over all gateways.
struct RetryShareLimits
{
    //! Allowed retries per request within the window.
    double ratio_ = 0.2;
    //! Additional retries allowed within the window, over all gateways together.
    double slack_ = 0;
    Duration window_ = std::chrono::seconds(10);
};

inline constexpr std::size_t RetryShareBuckets = 20;

//! Requests and retries of one target within the window, in a ring of time buckets.
struct RetryShare
{
    std::array<std::uint32_t, RetryShareBuckets> requests_ {};
    std::array<std::uint32_t, RetryShareBuckets> retries_ {};
    std::int64_t bucket_ = 0;
};

void countRequest(RetryShare &share, const RetryShareLimits &limits, TimePoint now);

//! True if this gateway's share of the budget allows a retry.
bool mayRetry(RetryShare &share, const RetryShareLimits &limits, std::uint32_t gatewayCount,
              TimePoint now);

//! Counts a retry and returns true if this gateway's share of the budget allows it.
bool takeRetry(RetryShare &share, const RetryShareLimits &limits, std::uint32_t gatewayCount,
               TimePoint now);

} // namespace gypsumcroft
