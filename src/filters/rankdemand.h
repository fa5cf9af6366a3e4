//! Demand by rank as this gateway measures it, and what a request has to expect by the whole
//! fleet's.
#pragma once

#include "filters/gatewaystate.h"

namespace gypsumcroft {

//! Expected work of a request, for the queue's shares and the demand.
Tokens workOf(const GatewayContext &context);

void countArrived(const GatewayContext &context, GatewayTraffic &state, TimePoint now);
//! Counts a request that left the queue for an endpoint.
void countStarted(const GatewayContext &context, GatewayTraffic &state, TimePoint now);
//! Takes back the count of a dispatch that was not run.
void countNotRun(const GatewayContext &context, GatewayTraffic &state, TimePoint now);

//! Demand for all targets at this gateway.
std::vector<RankDemandReport> ownDemandReports(const GatewayTraffic &state, TimePoint now);

//! Demand for a target at all gateways; nothing while that at the others is unknown.
std::optional<TargetDemand> fleetDemand(const TargetName &target, const GatewayView &view,
                                        const GatewayTraffic &state, TimePoint now);

//! Time for which a request may wait in the queue.
Duration queueTimeout(const RouteRule &route, const GatewayLimits &limits);

//! Stores the request's expected wait in the context, for its refusal.
void estimateWait(GatewayContext &context, const GatewayView &view, const GatewayTraffic &state,
                  TimePoint now);

//! True if the request's expected wait is longer than it may still wait: in the queue, or until its
//! deadline.
bool hasTooLongWait(const GatewayContext &context, const GatewayLimits &limits, TimePoint now);

} // namespace gypsumcroft
