//! How far behind a thread's event loop is. A loop that has more work than processor time is late
//! with everything, its timers included.
#pragma once

#include <algorithm>
#include <optional>
#include <utility>

#include "core/units.h"

namespace gypsumcroft {

struct LoopDelay
{
    //! By how much the last tick came too late.
    Duration last_ {};
    //! Longest delay since takeLongest().
    Duration longest_ {};
    //! When the next tick is due, if the loop notes it.
    std::optional<TimePoint> nextDueAt_;
};

inline void noteTick(LoopDelay &delay, Duration late)
{
    delay.last_ = std::max(Duration(), late);
    delay.longest_ = std::max(delay.longest_, delay.last_);
}

//! For how long the next tick has been overdue.
inline Duration overdueTime(const LoopDelay &delay, TimePoint now)
{
    return delay.nextDueAt_ ? std::max(Duration(), now - *delay.nextDueAt_) : Duration();
}

//! By how much the loop is late now. After a hold-up other events may come before the tick that is
//! overdue.
inline Duration currentDelay(const LoopDelay &delay, TimePoint now)
{
    return std::max(delay.last_, overdueTime(delay, now));
}

inline Duration takeLongest(LoopDelay &delay)
{
    return std::exchange(delay.longest_, Duration());
}

} // namespace gypsumcroft
