//! Window of the requests in progress of a process, by how late its event loop is. Every request in
//! progress adds work to each turn of the loop, so that beyond some number all of them are late.
//! Answers the load that exceeds what the process itself can carry, whatever the endpoints could.
#pragma once

#include <cstddef>
#include <optional>

#include "core/units.h"

namespace gypsumcroft {

struct LoopWindowLimits
{
    //! Delay of ticks up to which the loop counts as keeping up.
    Duration maxDelay_ = std::chrono::milliseconds(10);
    //! The window is adjusted after this time, and at least this number of ticks; it shrinks if so
    //! many and at least half of them were late.
    Duration interval_ = std::chrono::milliseconds(200);
    std::size_t ticks_ = 2;
    double shrinkFactor_ = 0.8;
    double growFactor_ = 1.1;
    double least_ = 8;
};

struct LoopWindow
{
    //! Empty: not limited.
    std::optional<double> size_;
    //! Most requests in progress at one of the ticks since the last adjustment.
    std::size_t mostInProgress_ = 0;
    std::size_t ticks_ = 0;
    //! Ticks of these that came too late. A single one is a hold-up and no lasting load.
    std::size_t lateTicks_ = 0;
    TimePoint adjustedAt_;
};

//! To be called with each tick of the loop, and with how late it is.
void adjustWindow(LoopWindow &window, const LoopWindowLimits &limits, Duration delay,
                  std::size_t inProgress, TimePoint now);

//! True if one more request may be begun.
bool hasRoom(const LoopWindow &window, std::size_t inProgress);

} // namespace gypsumcroft
