#include "policy/retryshare.h"

#include <algorithm>
#include <numeric>

namespace gypsumcroft {

namespace detail {
namespace {

//! Fraction of the budget that is used. The rest is a margin for gateways that know fewer peers
//! than there are and so take too large a share.
constexpr double UsableFraction = 0.8;

void advance(RetryShare &share, const RetryShareLimits &limits, TimePoint now)
{
    const Duration width
            = std::max(Duration(1), limits.window_ / static_cast<int>(RetryShareBuckets));
    const std::int64_t slot = now.time_since_epoch() / width;
    const std::int64_t steps = std::clamp<std::int64_t>(slot - share.bucket_, 0, RetryShareBuckets);
    for (std::int64_t i = 1; i <= steps; ++i) {
        const auto index = static_cast<std::size_t>((slot - steps + i)
                                                    % static_cast<std::int64_t>(RetryShareBuckets));
        share.requests_[index] = 0;
        share.retries_[index] = 0;
    }
    share.bucket_ = std::max(share.bucket_, slot);
}

std::size_t indexOf(const RetryShare &share)
{
    return static_cast<std::size_t>(share.bucket_ % static_cast<std::int64_t>(RetryShareBuckets));
}

} // namespace
} // namespace detail

void countRequest(RetryShare &share, const RetryShareLimits &limits, TimePoint now)
{
    detail::advance(share, limits, now);
    ++share.requests_[detail::indexOf(share)];
}

bool mayRetry(RetryShare &share, const RetryShareLimits &limits, std::uint32_t gatewayCount,
              TimePoint now)
{
    detail::advance(share, limits, now);
    const auto sum = [](const auto &counts) {
        return static_cast<double>(
                std::accumulate(counts.begin(), counts.end(), std::uint64_t {0}));
    };
    const double allowed
            = detail::UsableFraction
              * (limits.ratio_ * sum(share.requests_) + limits.slack_ / std::max(1U, gatewayCount));
    return sum(share.retries_) + 1 <= allowed;
}

bool takeRetry(RetryShare &share, const RetryShareLimits &limits, std::uint32_t gatewayCount,
               TimePoint now)
{
    if (!mayRetry(share, limits, gatewayCount, now))
        return false;
    ++share.retries_[detail::indexOf(share)];
    return true;
}

} // namespace gypsumcroft
