//! Dispatch window of one endpoint: how much an entry keeps outstanding there.
#pragma once

#include <cstdint>

#include "core/units.h"

namespace gypsumcroft {

//! Additive increase on success, multiplicative decrease on 'busy'.
struct DispatchWindow
{
    double size_ = 1;
    std::uint32_t outstanding_ = 0;
    //! No second decrease before this time.
    TimePoint decreaseAfter_;
};

bool hasRoom(const DispatchWindow &window);

//! A stream ended well; limit is the endpoint's reported slots.
void growWindow(DispatchWindow &window, Slots limit);

//! The agent said busy.
void shrinkWindow(DispatchWindow &window, TimePoint now);

} // namespace gypsumcroft
