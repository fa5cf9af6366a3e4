//! The gateway's filter chain.
#pragma once

#include <span>

#include "filters/chain.h"
#include "filters/gatewaystate.h"

namespace gypsumcroft {

struct GatewayVerdict
{
    FilterAction action_ = FilterAction::Continue;
    GatewayRefusal refusal_ = GatewayRefusal::Unready;
};

using GatewayFilter = Filter<GatewayContext, GatewayView, GatewayTraffic, GatewayVerdict>;

//! state, route, authorise, target, queue, endpoint, dispatch, in this order.
std::span<const GatewayFilter> gatewayChain();

//! Index of the filter at which a request that left the queue goes on.
std::size_t endpointFilterIndex();

//! Whether the request could be sent now; asked before it leaves the queue.
bool hasRoom(GatewayContext &context, const GatewayView &view, GatewayTraffic &state,
             TimePoint now);

//! Gives back what the open send holds of endpoints, and forgets the send.
void releaseSend(GatewayContext &context, GatewayTraffic &state);

//! The prompt has been read: the endpoints of the path have that time again.
void releaseReading(GatewayContext &context, GatewayTraffic &state);

//! What this process's requests hold of the endpoints.
OwnShares ownShares(const GatewayTraffic &state);

//! Puts a request into its queue, or takes it out.
void enqueue(GatewayContext &context, GatewayTraffic &state, bool front);
void dequeue(GatewayContext &context, GatewayTraffic &state);
RequestId queueName(ExchangeId exchange);

} // namespace gypsumcroft
