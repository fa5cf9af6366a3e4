//! The last filter of the gateway's chain: sends a request along its planned path and accounts for
//! its load on the endpoints.
#pragma once

#include "filters/gatewayfilters.h"

namespace gypsumcroft::detail {

//! Adds (sign 1) or removes (sign -1) the load of a dispatch at its endpoints.
void addEndpointLoad(const ActiveDispatch &active, GatewayTraffic &state, int sign);

//! The filter "dispatch".
GatewayFilterResult dispatch(GatewayContext &context, const GatewayView &view,
                             GatewayTraffic &state, TimePoint now);

} // namespace gypsumcroft::detail
