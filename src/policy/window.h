//! Dispatch window of one endpoint: how much an entry keeps outstanding there.
#pragma once

#include <array>
#include <cstdint>

#include "core/template.h"
#include "core/units.h"

namespace gypsumcroft {

//! Additive increase on success, multiplicative decrease on 'busy'. Each rank has a size of its
//! own, never above that of a more urgent one: a flood of background work narrows only its own.
struct DispatchWindow
{
    std::array<double, RankCount> sizes_ {1, 1, 1};
    std::uint32_t outstanding_ = 0;
    //! No second decrease of a rank before this time.
    std::array<TimePoint, RankCount> decreaseAfter_ {};
};

//! Slots of an endpoint that background work above its floor leaves to the rest.
Slots slotsReserved(Slots slots);

DispatchWindow windowOfSize(double size);

bool hasRoom(const DispatchWindow &window, Rank rank);

//! A stream ended well; limit is the endpoint's reported slots.
void growWindow(DispatchWindow &window, Rank rank, Slots limit);

//! The agent said busy to work of this rank.
void shrinkWindow(DispatchWindow &window, Rank rank, TimePoint now);

} // namespace gypsumcroft
