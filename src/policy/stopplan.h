//! When a process that was told to stop takes its last request and ends.
#pragma once

#include "core/units.h"

namespace gypsumcroft {

struct StopPlan
{
    //! The last time at which a new request is taken: callers are still sent here until the
    //! balancer has noticed.
    TimePoint takesUntil_;
    //! Answers that have not ended by then are cut.
    TimePoint cutAt_;
};

//! grace: time from the signal to the kill.
StopPlan planStop(Duration grace, TimePoint now);

} // namespace gypsumcroft
