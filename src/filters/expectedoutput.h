//! Expected lengths of the responses of a gateway's requests.
#pragma once

#include "controllers/gatewayview.h"
#include "filters/gatewaystate.h"

namespace gypsumcroft {

//! Length of the whole response to expect of a request: for a model's stream the learned one, for
//! others what the caller said.
Tokens expectedOutputOf(const GatewayContext &context, const GatewayView &view,
                        const GatewayTraffic &state);

//! Learns from a complete response.
void learnOutput(const GatewayContext &context, GatewayTraffic &state, TimePoint now);

} // namespace gypsumcroft
