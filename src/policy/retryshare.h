//! This entry's part of a retry budget that all entries share without agreeing on each retry.
#pragma once

#include <array>
#include <cstdint>

#include "core/units.h"

namespace gypsumcroft {

//! Bounds of the budget over all entries.
struct RetryShareLimits
{
    //! Retries for each request of the window.
    double ratio_ = 0.2;
    //! Retries of the window beyond that, over all entries together.
    double slack_ = 0;
    Duration window_ = std::chrono::seconds(10);
};

inline constexpr std::size_t RetryShareSlots = 20;

//! Requests and retries of one target, by slots of a twentieth of the window.
struct RetryShare
{
    std::array<std::uint32_t, RetryShareSlots> requests_ {};
    std::array<std::uint32_t, RetryShareSlots> retries_ {};
    std::int64_t slot_ = 0;
};

void countRequest(RetryShare &share, const RetryShareLimits &limits, TimePoint now);

//! True while this entry's part of the budget has room for a retry.
bool mayRetry(RetryShare &share, const RetryShareLimits &limits, std::uint32_t entries,
              TimePoint now);

//! Counts a retry and returns true if this entry's part of the budget allows it.
bool takeRetry(RetryShare &share, const RetryShareLimits &limits, std::uint32_t entries,
               TimePoint now);

} // namespace gypsumcroft
