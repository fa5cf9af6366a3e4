//! Endpoints that failed lately are avoided for a while; a floor keeps most of them in use.
#pragma once

#include <cstdint>

#include "core/units.h"

namespace gypsumcroft {

struct EndpointHealth
{
    std::uint32_t failuresInRow_ = 0;
    TimePoint avoidUntil_;
};

struct EndpointHealthLimits
{
    Duration firstAvoidance_ = std::chrono::milliseconds(500);
    Duration longestAvoidance_ = std::chrono::milliseconds(4000);
};

void countFailure(EndpointHealth &health, const EndpointHealthLimits &limits, TimePoint now);
void countSuccess(EndpointHealth &health);

//! True while the endpoint is to be used only if nothing else will do.
bool isAvoided(const EndpointHealth &health, TimePoint now);

} // namespace gypsumcroft
