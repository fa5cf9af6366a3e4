//! Times of a graceful shutdown: until when requests are accepted, and when responses are aborted.
#pragma once

#include "core/units.h"

namespace gypsumcroft {

struct StopPlan
{
    //! New requests are accepted until then, since the load balancer sends callers here until its
    //! probes have failed.
    TimePoint acceptUntil_;
    //! Responses that are still incomplete then are aborted.
    TimePoint abortAt_;
};

//! grace is the time between the termination signal and the kill.
StopPlan planStop(Duration grace, TimePoint now);

} // namespace gypsumcroft
