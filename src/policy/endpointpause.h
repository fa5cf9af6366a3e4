//! How long an endpoint gets no requests after it asked for a pause.
#pragma once

#include "core/random.h"
#include "core/units.h"

namespace gypsumcroft {

struct EndpointPauseLimits
{
    //! A longer pause is cut to this, so that one wrong response can't remove an endpoint for good.
    Duration maxPause_ = std::chrono::minutes(10);
    //! Part of the pause, and longest time, by which its end is delayed at random: all gateways
    //! were told the same time and would come back in the same moment.
    double spreadPart_ = 0.25;
    Duration maxSpread_ = std::chrono::seconds(1);
};

//! Returns how long to wait. Never less than requested, up to maxPause_; zero if zero is requested.
Duration pauseTime(Duration requested, const EndpointPauseLimits &limits, Random &random);

} // namespace gypsumcroft
