//! Chooses an endpoint of a plain service by its load.
#pragma once

#include <optional>
#include <vector>

#include "core/routes.h"

namespace gypsumcroft {

struct ServiceNode
{
    std::size_t index_ = 0;
    //! Known number of running and waiting requests there, including this gateway's.
    std::uint32_t load_ = 0;
    std::uint32_t slots_ = 1;
    bool sameDomain_ = false;
    bool coolingDown_ = false;
};

struct ServiceChoice
{
    std::size_t index_ = 0;
    //! Free slots; at 0 or less the request would have to wait.
    std::int64_t freeSlots_ = 0;
};

//! Chooses the node with the lowest load per slot, on a tie one in the same failure domain. Nodes
//! that are cooling down after failures are chosen only if all are.
std::optional<ServiceChoice> chooseLeastLoaded(const std::vector<ServiceNode> &nodes);

} // namespace gypsumcroft
