//! Effects that several parts of the gateway's control logic leave behind.
#pragma once

#include "gateway/control.h"

namespace gypsumcroft::detail {

//! Has a new view published.
void publishView(GatewayControl &state);

//! Moves log events to the effects.
void emitLog(GatewayControl &state, std::vector<LogEvent> &log);

//! To be called when the endpoint list has changed.
void rebuildEndpointIndex(GatewayControl &state);

} // namespace gypsumcroft::detail
