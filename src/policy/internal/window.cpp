#include "policy/window.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {

constexpr double DecreaseFactor = 0.7;
constexpr Duration DecreaseInterval = std::chrono::milliseconds(100);

} // namespace detail

bool hasRoom(const DispatchWindow &window)
{
    return static_cast<double>(window.outstanding_) + 1.0 <= window.size_;
}

void growWindow(DispatchWindow &window, Slots limit)
{
    const double most = std::max<double>(1.0, limit.value_);
    window.size_ = std::min(most, window.size_ + 1.0);
}

void shrinkWindow(DispatchWindow &window, TimePoint now)
{
    if (now < window.decreaseAfter_)
        return;
    //! What is outstanding now is already too much; a far larger window would say nothing.
    const double held = std::min(window.size_, static_cast<double>(window.outstanding_));
    window.size_ = std::max(1.0, held * detail::DecreaseFactor);
    window.decreaseAfter_ = now + detail::DecreaseInterval;
}

} // namespace gypsumcroft
