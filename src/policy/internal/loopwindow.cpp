#include "policy/loopwindow.h"

#include <algorithm>
#include <utility>

namespace gypsumcroft {

namespace detail {
namespace {

//! A window of which less than this part is used doesn't limit anything any more.
constexpr double UsedPart = 0.5;

void resize(LoopWindow &window, const LoopWindowLimits &limits, bool isLate, double inProgress)
{
    if (isLate) {
        const double used = std::min(window.size_.value_or(inProgress), inProgress);
        window.size_ = std::max(limits.least_, used * limits.shrinkFactor_);
    } else if (window.size_ && inProgress < UsedPart * *window.size_) {
        window.size_.reset();
    } else if (window.size_) {
        window.size_ = *window.size_ * limits.growFactor_;
    }
}

} // namespace
} // namespace detail

void adjustWindow(LoopWindow &window, const LoopWindowLimits &limits, Duration delay,
                  std::size_t inProgress, TimePoint now)
{
    ++window.ticks_;
    window.mostInProgress_ = std::max(window.mostInProgress_, inProgress);
    window.lateTicks_ += delay > limits.maxDelay_ ? 1 : 0;
    if (window.ticks_ < limits.ticks_ || now - window.adjustedAt_ < limits.interval_)
        return;
    window.adjustedAt_ = now;
    const std::size_t late = std::exchange(window.lateTicks_, 0);
    const std::size_t ticks = std::exchange(window.ticks_, 0);
    const bool isLate = late >= limits.ticks_ && 2 * late >= ticks;
    detail::resize(window, limits, isLate,
                   static_cast<double>(std::exchange(window.mostInProgress_, 0)));
}

bool hasRoom(const LoopWindow &window, std::size_t inProgress)
{
    return !window.size_ || static_cast<double>(inProgress) < *window.size_;
}

} // namespace gypsumcroft
