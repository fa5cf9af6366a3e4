//! Dispatch window of an endpoint: limits the outstanding requests of one entry there.
#pragma once

#include <array>
#include <cstdint>

#include "core/template.h"
#include "core/units.h"

namespace gypsumcroft {

//! Additive increase on success, multiplicative decrease on 'busy'. Each rank has its own size,
//! never above that of a more urgent rank, so that a flood of background work only reduces its own
//! window.
struct DispatchWindow
{
    std::array<double, RankCount> sizes_ {1, 1, 1};
    std::uint32_t outstanding_ = 0;
    //! No second decrease of a rank before this time.
    std::array<TimePoint, RankCount> nextDecreaseAt_ {};
};

//! Slots of an endpoint that are reserved for other ranks when background work exceeds its minimum
//! share.
Slots reservedSlots(Slots slots);

DispatchWindow makeWindow(double size);

bool hasCapacity(const DispatchWindow &window, Rank rank);

//! To be called when a stream succeeded. limit is the number of slots the endpoint reports.
void growWindow(DispatchWindow &window, Rank rank, Slots limit);

//! To be called when the agent refused work of this rank as busy.
void shrinkWindow(DispatchWindow &window, Rank rank, TimePoint now);

} // namespace gypsumcroft
