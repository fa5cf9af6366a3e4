//! Plans the route of a request: stages that together run all layers of a model in order.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "core/messages.h"
#include "core/units.h"

namespace gypsumcroft {

//! The data of an endpoint that can serve a stage.
struct StageCandidate
{
    EndpointId endpoint_;
    Address agent_;
    ModelVersion version_;
    LayerRange layers_;
    LayerIndex modelLayers_;
    //! Expected time for one token, including the time it waits at the endpoint.
    Duration stepCost_ {};
    //! Time for one token on the idle endpoint, which depends on the accelerator kind.
    Duration tokenCost_ {};
};

//! One-way delays between agents. Pairs that are not listed have defaultDelay_.
struct LinkTable
{
    std::unordered_map<EndpointId, std::unordered_map<EndpointId, Duration>> delays_;
    Duration defaultDelay_ = std::chrono::microseconds(200);
};

Duration linkDelay(const LinkTable &links, const EndpointId &from, const EndpointId &to);

//! Endpoints of similar speed: those with a token cost in this closed range.
struct SpeedClass
{
    Duration minTokenCost_ {};
    Duration maxTokenCost_ {};
    auto operator<=>(const SpeedClass &) const = default;
};

//! A route with its expected time for one token.
struct PlannedRoute
{
    Route route_;
    ModelVersion version_;
    Duration cost_ {};
    //! The class that its endpoints belong to; set by callers that plan within one class.
    SpeedClass speed_;
};

//! Returns the cheapest route by endpoints of one model version whose ranges join to all layers, or
//! nothing if there is none. Of equally cheap routes it returns the first in the candidates' order.
std::optional<PlannedRoute> planRoute(const std::vector<StageCandidate> &candidates,
                                      const LinkTable &links);

bool isInClass(const SpeedClass &speed, Duration tokenCost);

//! Returns the speed classes whose endpoints alone cover all layers. A slow stage occupies the
//! slots of the route's fast stages for longer, so routes within one class use the fleet better. If
//! no class covers the model, returns one class of all endpoints.
std::vector<SpeedClass> coveringClasses(const std::vector<StageCandidate> &candidates);

} // namespace gypsumcroft
