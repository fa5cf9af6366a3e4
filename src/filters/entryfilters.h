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

//! Index of the filter at which a request that left the queue goes on.
std::size_t routeFilterIndex();

//! Whether the request could be routed now; asked before it leaves the queue.
bool canRoute(const RequestContext &context, const RoutingView &view, EntryTraffic &state,
              TimePoint now);

//! Gives back the windows that the request holds.
void releaseWindows(RequestContext &context, EntryTraffic &state);

//! Seconds-free form of the queue's entry for a context.
QueuedRequest queuedForm(const RequestContext &context);

} // namespace gypsumcroft
