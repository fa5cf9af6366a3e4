//! Chooses an endpoint of a plain service by its load.
#pragma once

#include <optional>
#include <vector>

#include "core/routes.h"

namespace gypsumcroft {

struct ServiceNode
{
    std::size_t index_ = 0;
    //! Requests that run or wait there as far as is known, this entry's included.
    std::uint32_t load_ = 0;
    std::uint32_t slots_ = 1;
    bool sameDomain_ = false;
    bool avoided_ = false;
};

struct ServiceChoice
{
    std::size_t index_ = 0;
    //! Free slots there; 0 or less means that the request would wait.
    std::int64_t free_ = 0;
};

//! The node with the most free slots for its size; of equal ones one in the same domain. Avoided
//! nodes are taken only if all are avoided.
std::optional<ServiceChoice> chooseLeastLoaded(const std::vector<ServiceNode> &nodes);

} // namespace gypsumcroft
