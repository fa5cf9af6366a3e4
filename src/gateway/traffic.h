//! The gateway's traffic logic: forwards requests to endpoints and gives each exactly one outcome.
//! Does no I/O; what is to be done is left in GatewayTraffic::effects_.
#pragma once

#include "filters/gatewaystate.h"

namespace gypsumcroft {

void onGatewayRequest(GatewayTraffic &state, const GatewayView &view, GatewayRequest request,
                      TimePoint now);

//! Handles a caller's disconnect: cancels its request.
void onGatewayCallerDisconnected(GatewayTraffic &state, const GatewayView &view,
                                 ExchangeId exchange, TimePoint now);

//! Notes which connection a dispatch uses, for the log. To be called before the head of its
//! response or its failure is handled.
void onDispatchConnection(GatewayTraffic &state, DispatchId dispatch,
                          const DispatchConnection &connection);

//! To be asked right before a dispatch is sent: false if what has been learned since it was
//! decided speaks against it. Then the request is queued again, and the dispatch must not be sent.
bool confirmDispatch(GatewayTraffic &state, const GatewayView &view, DispatchId dispatch,
                     TimePoint now);

//! Handles the head of an endpoint's response.
void onDispatchHead(GatewayTraffic &state, const GatewayView &view, DispatchId dispatch,
                    const EndpointResponseHead &head, TimePoint now);

//! Handles the arrival of complete events of a stream; last is the id of the last one, if it has
//! one.
void onDispatchEvents(GatewayTraffic &state, const GatewayView &view, DispatchId dispatch,
                      std::optional<EventId> last, TimePoint now);

//! Handles the end of a complete response.
void onDispatchDone(GatewayTraffic &state, const GatewayView &view, DispatchId dispatch,
                    TimePoint now);

void onDispatchFailed(GatewayTraffic &state, const GatewayView &view, DispatchId dispatch,
                      DispatchFailure failure, const std::string &reason, TimePoint now);

//! Checks deadlines, stalled streams and queues; to be called every GatewayTickInterval.
void onGatewayTick(GatewayTraffic &state, const GatewayView &view, TimePoint now);
inline constexpr Duration GatewayTickInterval = std::chrono::milliseconds(25);

//! To be called with each tick of the thread's loop, and with how late it is. While all ticks are
//! late, fewer requests are dispatched.
void onLoopTick(GatewayTraffic &state, Duration delay, TimePoint now);

//! From the given time on only requests that have been dispatched go on; all others are refused as
//! not run, so that none is cut off when the process ends.
void stopDispatching(GatewayTraffic &state, TimePoint from);

//! Ends every request that is still in progress, because the process ends.
void onGatewayStop(GatewayTraffic &state, TimePoint now);

//! True when no request is in progress.
bool isGatewayIdle(const GatewayTraffic &state);

} // namespace gypsumcroft
