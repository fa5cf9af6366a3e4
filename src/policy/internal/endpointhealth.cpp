#include "policy/endpointhealth.h"

#include <algorithm>

namespace gypsumcroft {

void countFailure(EndpointHealth &health, const EndpointHealthLimits &limits, TimePoint now)
{
    constexpr std::uint32_t MaxDoublings = 8;
    const std::uint32_t doublings = std::min(health.consecutiveFailures_, MaxDoublings);
    const Duration avoidance = limits.initialCooldown_ * (1U << doublings);
    ++health.consecutiveFailures_;
    health.cooldownUntil_ = now + std::min(avoidance, limits.maxCooldown_);
}

void countSuccess(EndpointHealth &health)
{
    health = {};
}

bool isCoolingDown(const EndpointHealth &health, TimePoint now)
{
    return health.consecutiveFailures_ > 0 && now < health.cooldownUntil_;
}

} // namespace gypsumcroft
