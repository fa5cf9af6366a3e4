#include "policy/crossdomainbudget.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {
namespace {

//! Fraction of the bandwidth that is used. Transfers on a link queue behind one another, and at a
//! higher utilisation every token would wait.
constexpr double UsableFraction = 0.4;
//! Size of the bucket, as the time in which it fills.
constexpr double BurstSeconds = 1;
constexpr double MicrosecondsPerSecond = 1e6;

} // namespace
} // namespace detail

bool hasCrossDomainBudget(CrossDomainBudget &budget, const EngineSpec &engine,
                          std::uint32_t gatewayCount, TimePoint now)
{
    if (engine.crossDomainBytesPerSecond_ <= 0)
        return true;
    const double rate = engine.crossDomainBytesPerSecond_ * detail::UsableFraction
                        / std::max(1U, gatewayCount);
    const double seconds
            = static_cast<double>((now - budget.filledAt_).count()) / detail::MicrosecondsPerSecond;
    budget.bytes_ = std::min(rate * detail::BurstSeconds, budget.bytes_ + rate * seconds);
    budget.filledAt_ = now;
    return budget.bytes_ > 0;
}

void chargeCrossDomainHops(CrossDomainBudget &budget, const EngineSpec &engine,
                           std::uint32_t crossDomainHops, Tokens tokens)
{
    budget.bytes_ -= static_cast<double>(engine.activationBytesPerToken_.value_) * crossDomainHops
                     * static_cast<double>(tokens.value_);
}

} // namespace gypsumcroft
