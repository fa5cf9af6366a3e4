//! The gateway's filter chain.
#pragma once

#include <span>

#include "filters/chain.h"
#include "filters/gatewaystate.h"

namespace gypsumcroft {

struct GatewayFilterResult
{
    FilterAction action_ = FilterAction::Continue;
    GatewayRefusal refusal_ = GatewayRefusal::Unready;
    //! For the log.
    const char *reason_ = "filter";
};

using GatewayFilter = Filter<GatewayContext, GatewayView, GatewayTraffic, GatewayFilterResult>;

//! state, route, authorise, target, quarantine, admit, queue, endpoint, dispatch, in this order.
std::span<const GatewayFilter> gatewayChain();

//! Index of the filter at which the chain continues with a request that left the queue.
std::size_t endpointFilterIndex();

//! False for a request that has to wait whatever the endpoints' capacity: for its retry delay, for
//! another request of which the same is suspected, or because the process stops.
bool mayBeDispatched(const GatewayContext &context, const GatewayView &view,
                     const GatewayTraffic &state, TimePoint now);

//! True while nothing says that an endpoint of the dispatch's path leaves, is down or wants no
//! requests, by a list that is fresh.
bool isPathUsable(const GatewayContext &context, const GatewayView &view,
                  const GatewayTraffic &state, TimePoint now);

//! True if the endpoints have capacity for the request; called before it leaves the queue. Stores
//! the planned path of a model request in the context.
bool hasCapacity(GatewayContext &context, const GatewayView &view, GatewayTraffic &state,
                 TimePoint now);

//! True for a request that was never dispatched and no longer may be, because the process stops.
bool isTooLateToDispatch(const GatewayContext &context, const GatewayTraffic &state, TimePoint now);

//! Releases the endpoint load of the dispatch in progress, and removes the dispatch.
void releaseDispatch(GatewayContext &context, GatewayTraffic &state);

//! Notes that an endpoint began to answer the dispatch in progress.
void noteDispatchAnswered(GatewayContext &context, GatewayTraffic &state, TimePoint now);

//! What the request is suspected of; nothing once its response has begun.
RequestBlame blameOfRequest(const GatewayContext &context, const GatewayView &view, TimePoint now);

//! Subtracts the dispatch's remaining prefill time from the endpoints of its path.
void releasePendingPrefill(GatewayContext &context, GatewayTraffic &state);

//! Load that this gateway's requests place on the endpoints, and the demand for each target.
OwnEndpointLoads ownEndpointLoads(const GatewayTraffic &state, TimePoint now);

//! Time since arrival after which a queued request isn't expected to meet its latency target.
Duration overdueAfter(const GatewayContext &context, const GatewayTraffic &state);

//! Adds a request to its queue; a retry is added at the front.
void enqueue(GatewayContext &context, GatewayTraffic &state, bool front);
//! Removes a request from its queue; does nothing if it is not queued.
void dequeue(GatewayContext &context, GatewayTraffic &state);
//! Id of a request in the fair queue; request ids of callers may repeat.
RequestId queueId(ExchangeId exchange);

} // namespace gypsumcroft
