//! Cooldown of endpoints after failures. It grows with consecutive failures up to a maximum, so
//! that an endpoint is tried again at the latest after that.
#pragma once

#include <cstdint>

#include "core/units.h"

namespace gypsumcroft {

struct EndpointHealth
{
    std::uint32_t consecutiveFailures_ = 0;
    TimePoint cooldownUntil_;
};

struct EndpointHealthLimits
{
    Duration initialCooldown_ = std::chrono::milliseconds(500);
    Duration maxCooldown_ = std::chrono::milliseconds(4000);
};

void countFailure(EndpointHealth &health, const EndpointHealthLimits &limits, TimePoint now);
void countSuccess(EndpointHealth &health);

//! True while the endpoint should be used only if no other is available.
bool isCoolingDown(const EndpointHealth &health, TimePoint now);

} // namespace gypsumcroft
