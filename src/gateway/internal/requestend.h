//! How requests of the gateway's traffic end. For gateway/internal/traffic.cpp and its parts.
#pragma once

#include "filters/gatewaystate.h"

namespace gypsumcroft::detail {

void emit(GatewayTraffic &state, GatewayEffect effect);

//! Begins a log line about a request.
LogLine requestLine(const char *event, const GatewayContext &context, TimePoint now);

//! Adds the connection of the dispatch in progress.
void addEndpointConnection(LogLine &line, const GatewayContext &context);

//! Removes a request from all queues and tables. References to its context become invalid.
void removeRequest(GatewayTraffic &state, GatewayContext &context);

void cancelDispatch(GatewayTraffic &state, GatewayContext &context);

void refuse(GatewayTraffic &state, GatewayContext &context, GatewayRefusal refusal,
            const std::string &reason, TimePoint now);

//! Delay before a retry that the caller of a refused request is told.
Duration retryAfter(GatewayTraffic &state, const GatewayContext &context, GatewayRefusal refusal,
                    TimePoint now);

void abortResponse(GatewayTraffic &state, GatewayContext &context, const std::string &reason,
                   TimePoint now);

//! Ends a request at once. If it was dispatched, it may have run, and the refusal for an unknown
//! outcome is used.
void endRequest(GatewayTraffic &state, GatewayContext &context, GatewayRefusal notRun,
                GatewayRefusal unknown, const std::string &reason, TimePoint now);

} // namespace gypsumcroft::detail
