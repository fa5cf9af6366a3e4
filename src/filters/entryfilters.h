//! The entry's filter chain.
#pragma once

#include <optional>
#include <span>

#include "filters/chain.h"
#include "filters/entrystate.h"

namespace gypsumcroft {

using EntryFilter = Filter<RequestContext, RoutingView, EntryTraffic>;

//! identify, template, quarantine, repeat, limit, queue, route, dispatch, in this order.
std::span<const EntryFilter> entryChain();

//! Index of the filter at which the chain continues with a request that left the queue.
std::size_t routeFilterIndex();

//! True if the request can be routed now; called before it leaves the queue.
bool canRoute(const RequestContext &context, const RoutingView &view, EntryTraffic &state,
              TimePoint now);

//! Removes the request from the dispatch windows of its route's endpoints.
void releaseWindows(RequestContext &context, EntryTraffic &state);

//! The request as the fair queue stores it.
QueuedRequest toQueuedRequest(const RequestContext &context);

} // namespace gypsumcroft
