//! The gateway's traffic core: requests that are handed on to endpoints, from arrival to their one
//! ending. No I/O; what is to be done is left in GatewayTraffic::effects_.
#pragma once

#include "filters/gatewaystate.h"

namespace gypsumcroft {

void onGatewayRequest(GatewayTraffic &state, const GatewayView &view, GatewayRequest request,
                      TimePoint now);

//! The caller closed its connection; its work is cancelled.
void onGatewayCallerGone(GatewayTraffic &state, const GatewayView &view, ExchangeId exchange,
                         TimePoint now);

//! Tells about a send's connection, before its head or its failure is told.
void onSendConnection(GatewayTraffic &state, SendId send, const SendConnection &connection);

//! The head of an answer arrived.
void onSendHead(GatewayTraffic &state, const GatewayView &view, SendId send, const AnswerHead &head,
                TimePoint now);

//! Whole events of a stream arrived; last is the id of the last one, if it has one.
void onSendEvents(GatewayTraffic &state, const GatewayView &view, SendId send,
                  std::optional<EventId> last, TimePoint now);

//! The answer is whole.
void onSendDone(GatewayTraffic &state, const GatewayView &view, SendId send, TimePoint now);

void onSendFailed(GatewayTraffic &state, const GatewayView &view, SendId send, SendFailure failure,
                  const std::string &reason, TimePoint now);

//! Deadlines, silences and queues; to be called every GatewayTickInterval.
void onGatewayTick(GatewayTraffic &state, const GatewayView &view, TimePoint now);
inline constexpr Duration GatewayTickInterval = std::chrono::milliseconds(25);

//! The process ends: so does every request that is still in hand.
void onGatewayStop(GatewayTraffic &state, TimePoint now);

//! True when no request is in hand.
bool isGatewayIdle(const GatewayTraffic &state);

} // namespace gypsumcroft
