#include "policy/window.h"

#include <algorithm>

namespace gypsumcroft {

namespace detail {

constexpr double DecreaseFactor = 0.7;
//! One slot in eight is reserved. This covers the urgent requests that arrive before a background
//! stream ends and frees its slot.
constexpr std::uint32_t ReservedDivisor = 8;
constexpr Duration DecreaseInterval = std::chrono::milliseconds(100);

} // namespace detail

Slots reservedSlots(Slots slots)
{
    return {slots.value_ / detail::ReservedDivisor};
}

DispatchWindow makeWindow(double size)
{
    DispatchWindow window;
    window.sizes_.fill(std::max(1.0, size));
    return window;
}

bool hasCapacity(const DispatchWindow &window, Rank rank)
{
    return static_cast<double>(window.outstanding_) + 1.0
           <= window.sizes_[static_cast<std::size_t>(rank)];
}

void growWindow(DispatchWindow &window, Rank rank, Slots limit)
{
    const double most = std::max<double>(1.0, limit.value_);
    const auto own = static_cast<std::size_t>(rank);
    window.sizes_[own] = std::min(most, window.sizes_[own] + 1.0);
    for (std::size_t i = 0; i < own; ++i)
        window.sizes_[i] = std::max(window.sizes_[i], window.sizes_[own]);
}

void shrinkWindow(DispatchWindow &window, Rank rank, TimePoint now)
{
    const auto own = static_cast<std::size_t>(rank);
    if (now < window.nextDecreaseAt_[own])
        return;
    //! The outstanding requests are already too many. A much larger window doesn't reflect the
    //! endpoint's capacity, so the decrease starts from the smaller of the two.
    const double inUse = std::min(window.sizes_[own], static_cast<double>(window.outstanding_));
    const double size = std::max(1.0, inUse * detail::DecreaseFactor);
    for (std::size_t i = own; i < RankCount; ++i) {
        window.sizes_[i] = std::min(window.sizes_[i], size);
        window.nextDecreaseAt_[i] = now + detail::DecreaseInterval;
    }
}

} // namespace gypsumcroft
