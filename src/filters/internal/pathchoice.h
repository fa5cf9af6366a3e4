//! Chooses the path of a request over model endpoints, or the endpoint of a plain service, from
//! what the view and this gateway know of the endpoints. For the filter chain.
#pragma once

#include <optional>

#include "filters/gatewaystate.h"
#include "policy/leastload.h"

namespace gypsumcroft::detail {

//! Engine of the request's target, or null for a plain service.
const EngineSpec *engineOf(const GatewayContext &context, const GatewayView &view);

//! Why an endpoint gets no requests now, or null if it may.
const char *reasonUnusable(const GatewayView &view, const EndpointUsage &usage,
                           const ListedEndpoint &listed, TimePoint now);

//! True if the endpoint list has the endpoint as ready, it answers probes, and it has not said that
//! it is leaving or wants no requests for now.
bool isUsable(const GatewayView &view, const EndpointUsage &usage, const ListedEndpoint &listed,
              TimePoint now);

//! Highest utilisation of a path to which the request may raise it.
double maxUtilisationOf(const GatewayContext &context, const GatewayView &view,
                        const GatewayTraffic &state, TimePoint now);

//! Cheapest path of a model request over the endpoints that are usable now.
std::optional<PlannedPath> planFor(const GatewayContext &context, const GatewayView &view,
                                   const EngineSpec &engine, GatewayTraffic &state, TimePoint now);

//! The endpoints of a model request's target that are usable now.
std::vector<PathNode> pathNodes(const GatewayContext &context, const GatewayView &view,
                                const EngineSpec &engine, GatewayTraffic &state, TimePoint now);

//! Endpoint of a plain service with the least load.
std::optional<ServiceChoice> chooseService(const GatewayContext &context, const GatewayView &view,
                                           GatewayTraffic &state, TimePoint now);

//! True if the planned path has capacity free for the request's rank and its pending prefill is
//! within the limit of that rank.
bool hasCapacityOnPath(const GatewayContext &context, const GatewayLimits &limits,
                       double maxUtilisation);

} // namespace gypsumcroft::detail
