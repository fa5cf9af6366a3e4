//! What requests of the gateway's traffic are suspected of, and what control learns for it. For
//! gateway/internal/traffic.cpp.
#pragma once

#include "filters/gatewaystate.h"

namespace gypsumcroft::detail {

//! Refuses a queued request that has come into quarantine since it arrived, and moves one that has
//! become suspect out of the way of the others. Returns true if the request ended.
bool checkBlame(GatewayTraffic &state, const GatewayView &view, GatewayContext &context,
                TimePoint now);

//! Tells control when requests with suspect traits were answered last.
void reportAnswers(GatewayTraffic &state, const GatewayView &view);

//! Tells control that a dispatch lost its endpoint before that began to answer.
void reportLoss(GatewayTraffic &state, const GatewayContext &context, TimePoint now);

} // namespace gypsumcroft::detail
