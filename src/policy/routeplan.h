//! Plans the route of a request: a contiguous cover of a model's layers.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "core/messages.h"
#include "core/units.h"

namespace gypsumcroft {

//! An endpoint that may serve a stage, with what the planner needs of it.
struct StageCandidate
{
    EndpointId endpoint_;
    Address agent_;
    ModelVersion version_;
    LayerRange layers_;
    LayerIndex modelLayers_;
    //! Expected time for one token, waiting included.
    Duration stepCost_ {};
    //! Time for one token on the idle endpoint; tells kinds of accelerator apart.
    Duration tokenCost_ {};
};

//! One-way delays between agents; pairs not listed take defaultDelay_.
struct LinkTable
{
    std::unordered_map<EndpointId, std::unordered_map<EndpointId, Duration>> delays_;
    Duration defaultDelay_ = std::chrono::microseconds(200);
};

Duration linkDelay(const LinkTable &links, const EndpointId &from, const EndpointId &to);

//! Endpoints of similar speed: token costs in [least_, most_].
struct SpeedClass
{
    Duration least_ {};
    Duration most_ {};
    auto operator<=>(const SpeedClass &) const = default;
};

//! A route with its expected time for one token.
struct PlannedRoute
{
    Route route_;
    ModelVersion version_;
    Duration cost_ {};
    //! The class that its endpoints belong to; set by whoever plans within one.
    SpeedClass speed_;
};

//! The cheapest contiguous cover of all layers by endpoints of one version; nothing if there is
//! none. Of equal routes the one found first in the candidates' order is taken.
std::optional<PlannedRoute> planRoute(const std::vector<StageCandidate> &candidates,
                                      const LinkTable &links);

bool isInClass(const SpeedClass &speed, Duration tokenCost);

//! The classes whose endpoints alone cover all layers. A slow stage keeps the slots of a route's
//! fast ones for longer, so routes within one class get more out of the fleet. If no class covers
//! the model, one class of all endpoints.
std::vector<SpeedClass> coveringClasses(const std::vector<StageCandidate> &candidates);

} // namespace gypsumcroft
